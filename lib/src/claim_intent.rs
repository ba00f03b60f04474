//! What a shard of keyed calls is asked, answers, and wants from the store.

use std::time::Duration;

use bytes::Bytes;

use crate::claim_log::RecordedAnswer;
use crate::claim_log::RunId;
use crate::ids::Name;
use crate::ids::Version;
use crate::platform::Condition;
use crate::platform::Object;
use crate::platform::PlatformError;

/// The least time between two commits of a shard: 20 a second, 160 for a service of eight shards,
/// half of what a store of some hundreds of writes a second gives.
pub const COMMIT_GAP: Duration = Duration::from_millis(50);

/// How claims are kept.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// How long a key is remembered. A resend after this runs again.
    pub window: Duration,
    /// A head of more bytes is made a segment.
    pub head_bytes: usize,
    /// The least time between two commits of a shard.
    pub commit_gap: Duration,
    /// More claims that wait in a shard are refused.
    pub max_waiting: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            // A caller that resends after a day does it by hand, and can look first.
            window: Duration::from_secs(24 * 3_600),
            // Measured: below, a change of owner reads more segments; above, a commit carries more.
            head_bytes: 64 * 1024,
            commit_gap: COMMIT_GAP,
            max_waiting: 4_096,
        }
    }
}

/// Names one who waits for a verdict.
pub type WaiterId = u64;

/// What a claim came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The claim stands in the store: the call may run, once.
    Run(RunId),
    /// The call runs in this process.
    Running,
    /// The call ran; this was its answer.
    Done(RecordedAnswer),
    /// The call was claimed by another process, or by this one which then lost track of it.
    Unsettled(Name),
    /// The store does not answer. The call has not run and will not run under this claim.
    Unavailable,
    /// Too many claims wait. The call has not run and will not run under this claim.
    Full,
}

/// A verdict and whom it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Whom it is for.
    pub waiter: WaiterId,
    /// What the claim came to.
    pub verdict: Verdict,
}

/// A call to the store that is to be made now. One at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intent {
    /// Read the head.
    ReadHead,
    /// Read a segment.
    ReadSegment(Version),
    /// Create a segment. That it is there already is as good.
    CreateSegment(Version, Bytes),
    /// Write the head.
    WriteHead(Bytes, Condition),
    /// Delete a segment that the head no longer names. Best effort.
    DeleteSegment(Version),
}

/// What came of an [`Intent`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// A read's answer.
    Found(Option<Object>),
    /// A write's answer.
    Written(Version),
    /// A deletion's answer.
    Deleted,
    /// The call failed.
    Failed(PlatformError),
}

/// Counts of what a shard met.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShardCounts {
    /// Commits that took effect.
    pub commits: u64,
    /// Commits that met another writer's.
    pub conflicts: u64,
    /// Calls whose answers were lost.
    pub lost_answers: u64,
    /// Heads older than one seen before, or gone: the store was set back.
    pub regressions: u64,
    /// Records that could not be read.
    pub malformed: u64,
}
