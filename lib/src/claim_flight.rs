//! The claims that wait in a shard, and the call to the store that is under way.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::mem;

use crate::claim_commit::Change;
use crate::claim_intent::WaiterId;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RecordedAnswer;
use crate::claim_log::RunId;
use crate::ids::Version;

// More claims than this wait for the next commit: 1,000 entries are about 45 KB.
const MAX_BATCH: usize = 1_000;

pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) key: KeyDigest,
    pub(crate) run: RunId,
    // A write with this run was sent and its answer lost: it may yet take effect.
    pub(crate) maybe_written: bool,
    // The head in memory was read or written after this claim arrived.
    pub(crate) fresh: bool,
    // The key's entry in this segment does not stand in the way.
    pub(crate) cleared: Option<Version>,
}

pub(crate) enum Local {
    Running(RunId),
    // Ran, and its result is not in the store yet.
    Answered(RecordedAnswer),
}

pub(crate) struct Commit {
    pub(crate) head: Head,
    pub(crate) claims: Vec<Waiter>,
    pub(crate) changes: Vec<Change>,
    pub(crate) dropped: Vec<Version>,
}

pub(crate) enum Flight {
    Head,
    Segment(Version),
    Roll,
    Write(Box<Commit>),
    Delete,
}

/// Takes the first claim of each key out of the queue; a second waits to see what becomes of it.
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
