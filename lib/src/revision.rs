//! Revisions of the directory, which order what is known of it wherever it comes from.
//!
//! A store may go back to a copy of itself some seconds old. What it had taken since is gone and is written again, and
//! the numbers of its revisions are given out again: a number says nothing without the copy that it counts on from.

use std::fmt;
use std::time::Duration;

use crate::copy_type;
use crate::time::Time;

/// How long after the directory's return entries may be missing, or be there again, until those who wrote them have
/// written them anew.
pub const RETURN: Duration = Duration::from_millis(2_300);

copy_type! {
    /// The revision of the directory that a listing or change belongs to. Later ones are greater.
    #[derive(Default)]
    pub struct Revision {
        /// How often the directory has gone back to an older copy of itself.
        pub era: u64,
        /// Its number, within the era.
        pub number: u64,
        /// Whether the listing has all that the directory has taken: after its return entries are missing that
        /// are written again.
        pub whole: bool,
    }
}

impl Revision {
    /// The revision of a complete listing, or of a change that follows on one.
    pub fn new(era: u64, number: u64) -> Self {
        Revision {
            era,
            number,
            whole: true,
        }
    }

    /// The same revision, of a listing that is complete or not.
    pub fn with_whole(self, whole: bool) -> Self {
        Revision { whole, ..self }
    }

    /// Whether anything was read.
    pub fn is_known(self) -> bool {
        self > Revision::default()
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// The latest era of the directory, and since when it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeenEra {
    seen: Option<(u64, Time)>,
}

impl SeenEra {
    /// The era; zero where none is known.
    pub fn era(&self) -> u64 {
        self.seen.map_or(0, |(era, _)| era)
    }

    /// Something was read at the revision; whether that shows that the directory has gone back.
    pub fn saw(&mut self, now: Time, revision: Revision) -> bool {
        match self.seen {
            Some((era, _)) if revision.era <= era => false,
            before => {
                self.seen = Some((revision.era, now));
                before.is_some()
            }
        }
    }

    /// Whether all has been written again that was lost at the beginning of the era. A process that has just started does
    /// not know when that was.
    pub fn is_settled(&self, now: Time) -> bool {
        let since = self.seen.filter(|(era, _)| *era > 0);
        since.is_none_or(|(_, since)| now.since(since) >= RETURN)
    }
}
