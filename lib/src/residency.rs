//! Data residency: the regions in which a request may be served, and its data kept.
//!
//! A route and a workspace may each name allowed regions, and both bind. The restriction holds wherever a request,
//! the memory of its run or its answer would go: the choice of a backend server, retries, and moves of runs.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ids::Name;
use crate::value_type;

value_type! {
    /// The regions in which a request may be served.
    #[derive(Default)]
    pub enum AllowedRegions {
        /// All regions.
        #[default]
        Any,
        /// These regions only. Where there are none, the request may be served nowhere.
        Only(Arc<BTreeSet<Name>>),
    }
}

/// No restriction, for requests that have none to borrow.
pub static ANY_REGION: AllowedRegions = AllowedRegions::Any;

impl AllowedRegions {
    /// Restricts to the regions.
    pub fn only(regions: impl IntoIterator<Item = Name>) -> Self {
        AllowedRegions::Only(Arc::new(regions.into_iter().collect()))
    }

    /// Whether the region is allowed.
    pub fn permits(&self, region: &Name) -> bool {
        match self {
            AllowedRegions::Any => true,
            AllowedRegions::Only(regions) => regions.contains(region),
        }
    }

    /// Both restrictions at once.
    pub fn and(&self, other: &AllowedRegions) -> AllowedRegions {
        match (self, other) {
            (AllowedRegions::Any, only) | (only, AllowedRegions::Any) => only.clone(),
            (AllowedRegions::Only(one), AllowedRegions::Only(two)) => {
                AllowedRegions::only(one.intersection(two).cloned())
            }
        }
    }
}
