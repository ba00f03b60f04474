//! Zone evacuation: the availability zones whose backend servers take no new work.
//!
//! An operator can evacuate a zone and revert that, and either change must take effect everywhere within seconds, even
//! at entries that cannot read the directory and after the entry that read it has died. So processes exchange the
//! whole set together with its directory revision, and the latest revision wins, whichever process it comes from. A
//! directory that was restored from an older copy may have lost an evacuation: the evacuation stays in force until it
//! can have been written again.

use std::collections::BTreeSet;

use crate::ids::Name;
use crate::revision::Revision;
use crate::value_type;

value_type! {
    /// The set of evacuated availability zones at a revision of the directory.
    #[derive(Default)]
    pub struct EvacuatedZones {
        /// Evacuated zones.
        pub zones: BTreeSet<Name>,
        /// The directory revision; zero if nothing is known yet.
        pub revision: Revision,
    }
}

/// The difference that a newer set made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Zones that were evacuated.
    pub begun: Vec<Name>,
    /// Zones whose evacuation ended.
    pub ended: Vec<Name>,
}

impl EvacuationChange {
    /// Whether no zone changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

impl EvacuatedZones {
    /// Whether a set has been received.
    pub fn is_known(&self) -> bool {
        self.revision.is_known()
    }

    /// Whether the zone is evacuated.
    pub fn contains(&self, zone: &Name) -> bool {
        self.zones.contains(zone)
    }

    /// Adopts the set if its revision is later. A set from an incomplete listing adds zones but removes none.
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
