//! Zone evacuation: the availability zones whose backend servers take no new work.
//!
//! An operator evacuates a zone and takes that back, and each change must hold everywhere within seconds, also at
//! entries that cannot read the directory and after the one that read it has died. So the whole set travels with the
//! revision of the directory at which it held, and the latest revision wins wherever it comes from. A directory that has
//! gone back to an older copy of itself may have lost an evacuation: it holds until it can have been written again.

use std::collections::BTreeSet;

use crate::ids::Name;
use crate::revision::Revision;
use crate::value_type;

value_type! {
    /// The evacuated availability zones at a revision of the directory.
    #[derive(Default)]
    pub struct EvacuatedZones {
        /// The zones.
        pub zones: BTreeSet<Name>,
        /// The revision; zero where nothing is known yet.
        pub revision: Revision,
    }
}

/// What a newer set has changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Zones that take no new work any more.
    pub begun: Vec<Name>,
    /// Zones that take work again.
    pub ended: Vec<Name>,
}

impl EvacuationChange {
    /// Whether no zone changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

impl EvacuatedZones {
    /// Whether anything is known.
    pub fn is_known(&self) -> bool {
        self.revision.is_known()
    }

    /// Whether the zone is evacuated.
    pub fn contains(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// Takes a set over, if it is of a later revision. One of an incomplete listing ends no evacuation.
    pub fn update(&mut self, other: &EvacuatedZones) -> EvacuationChange {
        if other.revision <= self.revision {
            return EvacuationChange::default();
        }
        let mut next = other.clone();
        if !next.revision.whole {
            next.zones.extend(self.zones.iter().cloned());
        }
        let change = EvacuationChange {
            begun: next.zones.difference(&self.zones).cloned().collect(),
            ended: self.zones.difference(&next.zones).cloned().collect(),
        };
        *self = next;
        change
    }
}
