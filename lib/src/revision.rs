//! Revisions of the directory, which order its listings and changes regardless of their source.
//!
//! The store may revert to a copy that is some seconds old. Entries written since then are lost until their writers
//! write them again, and revision numbers are reused, so a number is only meaningful together with its era.

use std::fmt;
use std::time::Duration;

use crate::copy_type;
use crate::time::Time;

/// How long after the directory has reverted entries may be missing, or deleted ones present again, until their writers
/// have written them again.
pub const ERA_SETTLE_TIME: Duration = Duration::from_millis(2_300);

copy_type! {
    /// The revision of the directory at which a listing or change was read. Later revisions compare greater.
    #[derive(Default)]
    pub struct Revision {
        /// How often the directory has reverted to an older copy.
        pub era: u64,
        /// The revision number within the era.
        pub number: u64,
        /// Whether the listing is complete. After the directory has reverted, entries are missing until they are
        /// written again.
        pub whole: bool,
    }
}

impl Revision {
    /// Creates the revision of a complete listing, or of a change to one.
    pub fn new(era: u64, number: u64) -> Self {
        Revision {
            era,
            number,
            whole: true,
        }
    }

    /// Returns the same revision for a complete or incomplete listing.
    pub fn with_whole(self, whole: bool) -> Self {
        Revision { whole, ..self }
    }

    /// Whether this is the revision of something that was read, not the default.
    pub fn is_known(self) -> bool {
        self > Revision::default()
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// Tracks the latest era of the directory, and when it was first seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    seen: Option<(u64, Time)>,
}

impl EraTracker {
    /// Returns the latest era; zero if none is known.
    pub fn era(&self) -> u64 {
        self.seen.map_or(0, |(era, _)| era)
    }

    /// Records the revision of something that was read. Returns whether it shows that the directory has reverted.
    pub fn observe(&mut self, now: Time, revision: Revision) -> bool {
        match self.seen {
            Some((era, _)) if revision.era <= era => false,
            previous => {
                self.seen = Some((revision.era, now));
                previous.is_some()
            }
        }
    }

    /// Whether enough time has passed since the directory reverted for lost entries to have been written again. A
    /// process that has just started does not know when it reverted, and counts from the first revision it sees.
    pub fn is_settled(&self, now: Time) -> bool {
        let since = self.seen.filter(|(era, _)| *era > 0);
        since.is_none_or(|(_, since)| now.since(since) >= ERA_SETTLE_TIME)
    }
}
