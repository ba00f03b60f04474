//! Data residency: the regions in which a request may be served and its data stored.
//!
//! A route and a workspace can each restrict the allowed regions, and both restrictions apply. They cover every place
//! that a request, the KV memory of its run or its answer may go: the choice of a backend server, retries, and moves of
//! runs.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ids::Name;
use crate::value_type;

value_type! {
    /// The regions in which a request may be served.
    #[derive(Default)]
    pub enum AllowedRegions {
        /// Any region.
        #[default]
        Any,
        /// Only these regions. If the set is empty, the request cannot be served.
        Only(Arc<BTreeSet<Name>>),
    }
}

/// No restriction, for callers that need a reference.
pub static ANY_REGION: AllowedRegions = AllowedRegions::Any;

impl AllowedRegions {
    /// Allows only `regions`.
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

    /// The regions that both restrictions allow.
    pub fn and(&self, other: &AllowedRegions) -> AllowedRegions {
        match (self, other) {
            (AllowedRegions::Any, only) | (only, AllowedRegions::Any) => only.clone(),
            (AllowedRegions::Only(one), AllowedRegions::Only(two)) => {
                AllowedRegions::only(one.intersection(two).cloned())
            }
        }
    }
}
