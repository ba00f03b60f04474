//! Settings, store calls and replies of a claim shard.

use std::time::Duration;

use bytes::Bytes;

use crate::claim_log::RecordedResponse;
use crate::claim_log::RunId;
use crate::ids::Name;
use crate::ids::Version;
use crate::platform::Condition;
use crate::platform::Object;
use crate::platform::PlatformError;

/// The minimum time between two commits of a shard. It allows 20 commits per second per shard, so
/// 160 for a service of eight shards: half of what a store with a few hundred writes per second can
/// take.
pub const COMMIT_GAP: Duration = Duration::from_millis(50);

/// Settings for storing claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// How long a key is remembered. A retry after this runs again.
    pub window: Duration,
    /// A head larger than this is sealed as a segment.
    pub head_bytes: usize,
    /// The minimum time between two commits of a shard.
    pub commit_gap: Duration,
    /// The limit on claims waiting in a shard; further ones are refused.
    pub max_waiting: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            // A retry after more than a day is made by hand, and its caller can check for the
            // result first.
            window: Duration::from_secs(24 * 3_600),
            // With smaller heads, a process that takes over reads more segments; with larger ones,
            // each commit writes more bytes.
            head_bytes: 64 * 1024,
            commit_gap: COMMIT_GAP,
            max_waiting: 4_096,
        }
    }
}

/// Identifies a caller that waits for a verdict.
pub type WaiterId = u64;

/// The outcome of a claim, or of writing a result or release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The claim is in the store: the call may run, once. For a result or release: it is in the
    /// store.
    Run(RunId),
    /// The call is running in this process.
    Running,
    /// The call ran, with this response.
    Done(RecordedResponse),
    /// The call was claimed by another process, or by this one, which then lost track of it. It may
    /// have run.
    Unsettled(Name),
    /// The store does not respond. The call has not run and will not run under this claim.
    Unavailable,
    /// Too many claims are waiting. The call has not run and will not run under this claim.
    Full,
}

/// A verdict and its recipient.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The recipient.
    pub waiter: WaiterId,
    /// The outcome.
    pub verdict: Verdict,
}

/// A store call that the driver has to make. A shard has at most one in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read the head.
    ReadHead,
    /// Read a segment.
    ReadSegment(Version),
    /// Create a segment. A segment that already exists has the same content, so a conflict counts
    /// as success.
    CreateSegment(Version, Bytes),
    /// Write the head.
    WriteHead(Bytes, Condition),
    /// Delete a segment that the head no longer references. Failures are ignored.
    DeleteSegment(Version),
}

/// The result of a [`StoreCall`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The object read, if it exists.
    Found(Option<Object>),
    /// The version written.
    Written(Version),
    /// The segment is deleted.
    Deleted,
    /// The call failed.
    Failed(PlatformError),
}

/// Event counters of a shard.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShardCounts {
    /// Commits that took effect.
    pub commits: u64,
    /// Commits that conflicted with another writer's commit.
    pub conflicts: u64,
    /// Store calls whose responses were lost.
    pub lost_answers: u64,
    /// Heads that were missing or older than one seen earlier: the store was rolled back.
    pub regressions: u64,
    /// Records that could not be decoded.
    pub malformed: u64,
}
