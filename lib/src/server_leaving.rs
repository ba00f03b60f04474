//! Backend servers that are leaving, and how that became known.
//!
//! Load pattern: the directory is unreachable for seconds while servers leave. A leaving server states so in its
//! answers and in its scout's reports, but its entry in the directory still lists it as ready. Entries that wait
//! for the directory send to it until it has ended, and cut off callers.
//!
//! A statement from any source therefore takes effect at once, and ends only with the incarnation: an older list,
//! a report made before or a directory that was rolled back does not revoke it.

use crate::copy_type;
use crate::time::Time;

copy_type! {
    /// How an entry learned that a server is leaving.
    pub enum LeavingSource {
        /// The directory lists it as draining, or no longer lists it.
        Directory,
        /// Its scout reports it.
        Scout,
        /// The server itself stated it in an answer.
        Answer,
    }

    /// Since when a server is known to be leaving, and from which source.
    pub struct Leaving {
        /// When this entry learned of it.
        pub since: Time,
        /// The first source.
        pub source: LeavingSource,
    }
}

impl LeavingSource {
    /// The name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            LeavingSource::Directory => "directory",
            LeavingSource::Scout => "scout",
            LeavingSource::Answer => "answer",
        }
    }
}
