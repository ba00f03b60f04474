//! The pending claims of a shard, and its store call in flight.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::mem;

use crate::claim_commit::Change;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RecordedResponse;
use crate::claim_log::RunId;
use crate::claim_types::WaiterId;
use crate::ids::Version;

// Claims in one commit; the rest wait for the next one. 1,000 entries are about 45 KB.
const MAX_BATCH: usize = 1_000;

pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) key: KeyDigest,
    pub(crate) run: RunId,
    // A write with this run was sent and its response was lost, so it may still take effect.
    pub(crate) maybe_written: bool,
    // The head in memory was read or written after this claim arrived.
    pub(crate) fresh: bool,
    // The key's entry in this segment was read and does not block the claim.
    pub(crate) checked_segment: Option<Version>,
}

/// A call that this process claimed.
pub(crate) enum LocalCall {
    Running(RunId),
    // The call ran, and its result is not in the store yet.
    Completed(RecordedResponse),
}

/// A head to be written, with the claims and changes that it contains.
pub(crate) struct Commit {
    pub(crate) head: Head,
    pub(crate) claims: Vec<Waiter>,
    pub(crate) changes: Vec<Change>,
    pub(crate) removed_segments: Vec<Version>,
}

/// The store call in flight.
pub(crate) enum InFlight {
    ReadHead,
    ReadSegment(Version),
    SealHead,
    Commit(Box<Commit>),
    DeleteSegment,
}

/// Takes the first claim of each key out of the queue. A second claim of a key stays queued until
/// the first is decided.
pub(crate) fn take_claims(waiting: &mut VecDeque<Waiter>) -> Vec<Waiter> {
    let mut claims = Vec::new();
    let mut keys = HashSet::new();
    for waiter in mem::take(waiting) {
        let second = !keys.insert(waiter.key);
        if second || claims.len() >= MAX_BATCH {
            waiting.push_back(waiter);
        } else {
            claims.push(waiter);
        }
    }
    claims
}
