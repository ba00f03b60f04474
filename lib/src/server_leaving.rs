//! Backend servers that are leaving, and how that became known.
//!
//! Load pattern: the directory is unreachable for seconds while servers leave. A leaving server states so in its
//! answers and in its scout's reports, but its entry in the directory still lists it as ready. Entries that wait
//! for the directory send to it until it has ended, and cut off callers.
//!
//! A statement from any source therefore takes effect at once, and ends only with the incarnation: an older list,
//! a report made before or a directory that was rolled back does not revoke it. An entry that hears a statement
//! passes it on for some seconds; entries that start later learn of it with the list. Scouts' reports and the
//! directory reach the other entries by themselves.

use crate::copy_type;
use crate::ids::Name;
use crate::time::Time;
use crate::value_type;

copy_type! {
    /// How an entry learned that a server is leaving.
    pub enum LeavingSource {
        /// The directory lists it as draining, or no longer lists it.
        Directory,
        /// Its scout reports it.
        Scout,
        /// The server itself stated it in an answer.
        Answer,
        /// Another entry reports it.
        Entry,
    }

    /// Since when a server is known to be leaving, and from which source.
    pub struct Leaving {
        /// When this entry learned of it.
        pub since: Time,
        /// The first source.
        pub source: LeavingSource,
    }
}

value_type! {
    /// One entry's report to other entries of a server that is leaving.
    pub struct LeavingReport {
        /// The server's identifier.
        pub server: Name,
        /// Its start time in milliseconds since the Unix epoch.
        pub born: u64,
        /// Milliseconds since an entry first learned of it.
        pub age: u32,
    }
}

impl LeavingSource {
    /// The name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            LeavingSource::Directory => "directory",
            LeavingSource::Scout => "scout",
            LeavingSource::Answer => "answer",
            LeavingSource::Entry => "relay",
        }
    }
}
