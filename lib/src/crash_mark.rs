//! Evidence on poison requests as processes exchange it: what ran at which crash, and how.

use std::fmt;
use std::time::Duration;

use crate::copy_type;
use crate::fingerprint::Fingerprint;
use crate::ids::Name;
use crate::value_type;

/// How long a mark is valid. A caller that keeps retrying for an hour crashes at most six servers.
pub const MARK_LIFETIME: Duration = Duration::from_secs(30 * 60);

copy_type! {
    /// Identifies one crash of one backend server.
    pub struct CrashId(pub u64);

    /// How the request ran at a crash.
    pub enum Exposure {
        /// Beside other requests, before it was known as a suspect.
        Crowd,
        /// As the only copy of a suspect that any relay sent. Other requests may have run at the server.
        Trial,
        /// While no other request ran at the server.
        Alone,
        /// Its answers were lost several times in a row, and nothing shows whether servers crashed.
        Lost,
    }

    /// What a mark is worth to others, the most urgent first.
    pub enum News {
        /// A crash on trial or alone.
        Proof,
        /// A crash beside other requests, or a clearance, of a prompt part, which many requests may share.
        Part,
        /// A crash beside other requests.
        Suspicion,
        /// A crash that the request did not cause.
        Clearance,
    }

    /// How a request may be run.
    pub enum Verdict {
        /// It may run concurrently with other requests.
        Allow,
        /// It may run only while no other request does.
        Isolate,
        /// It must not run.
        Refuse,
    }
}

value_type! {
    /// Evidence that a request, or one with a prompt part, was running at a crash. Entries exchange marks between agents.
    pub struct CrashMark {
        /// The fingerprint of the request or the part.
        pub fingerprint: Fingerprint,
        /// The crash.
        pub crash: CrashId,
        /// How it ran.
        pub exposure: Exposure,
        /// Tells runs on trial at the same crash apart: all that one of them consisted of has the same number. Zero if it was
        /// not on trial.
        pub run: u32,
        /// Whether it has been established that the request did not cause this crash.
        pub cleared: bool,
        /// Microseconds since the crash. Marks carry an age since the clocks of processes differ.
        pub age: u64,
    }
}

impl CrashId {
    /// The crash that ended an incarnation of a server. The same at all processes that see it.
    pub fn of_server(server: &Name, born: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born.to_le_bytes());
        hasher.update(server.as_str().as_bytes());
        let mut truncated = [0; 8];
        truncated.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        CrashId(u64::from_le_bytes(truncated))
    }
}

impl CrashId {
    /// The next crash of a server that is listed as the same incarnation all along.
    pub(crate) fn next(self) -> Self {
        CrashId(self.0.wrapping_add(1))
    }
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Exposure {
    /// The name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Exposure::Crowd => "crowd",
            Exposure::Trial => "trial",
            Exposure::Alone => "alone",
            Exposure::Lost => "lost",
        }
    }
}

impl Verdict {
    /// The name in logs and on status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Allow => "allow",
            Verdict::Isolate => "isolate",
            Verdict::Refuse => "refuse",
        }
    }
}
