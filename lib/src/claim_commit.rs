//! Builds the next head of a shard from the current one.

use std::collections::HashMap;
use std::mem;

use crate::claim_log::ClaimState;
use crate::claim_log::Entry;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RecordedResponse;
use crate::claim_log::RunId;
use crate::claim_log::SegmentRef;
use crate::claim_types::WaiterId;
use crate::claim_view::View;
use crate::ids::Name;
use crate::ids::Version;

/// What to record for a claim.
pub(crate) enum Update {
    Done(RecordedResponse),
    /// The call is proven not to have run. Does nothing if the claim is not in the store.
    Release,
}

/// A result or release waiting to be written.
pub(crate) struct Change {
    pub(crate) key: KeyDigest,
    pub(crate) run: RunId,
    pub(crate) update: Update,
    pub(crate) waiter: Option<WaiterId>,
}

/// A head under construction.
pub(crate) struct HeadBuilder<'a> {
    view: &'a View,
    writer: &'a Name,
    unix_ms: u64,
    head: Head,
    positions: HashMap<KeyDigest, usize>,
    removed_segments: Vec<Version>,
}

impl<'a> HeadBuilder<'a> {
    /// Starts from the current head without its expired entries and segments. If the current head
    /// has already been written as a segment (`sealed_version`), the new head references that
    /// segment and starts with no entries.
    pub(crate) fn new(
        view: &'a View,
        writer: &'a Name,
        unix_ms: u64,
        sealed_version: Option<Version>,
    ) -> Self {
        let loaded = view.loaded.as_ref();
        let mut head = loaded.map(|loaded| loaded.head.clone()).unwrap_or_default();
        if let Some(version) = sealed_version
            && view.version() == sealed_version
        {
            let newest = head.newest();
            head.segments.push(SegmentRef { version, newest });
            head.entries.clear();
        }
        let kept = |at: u64| !view.is_expired(at);
        let chain = mem::take(&mut head.segments).into_iter();
        let (segments, removed_segments): (Vec<_>, Vec<_>) = chain.partition(|s| kept(s.newest));
        head.segments = segments;
        head.entries.retain(|entry| kept(entry.at));
        HeadBuilder {
            view,
            writer,
            unix_ms,
            positions: head.positions(),
            head,
            removed_segments: removed_segments
                .iter()
                .map(|segment| segment.version)
                .collect(),
        }
    }

    /// Adds a claim. The caller has checked that no other claim blocks the key.
    pub(crate) fn claim(&mut self, key: KeyDigest, run: RunId) {
        self.put(key, run, ClaimState::Claimed);
    }

    /// Adds a result or release.
    pub(crate) fn apply(&mut self, change: &Change) {
        // Whether the key's newest claim is this one; `None` if the key has no claim.
        let standing = match self.positions.get(&change.key) {
            Some(position) => Some(self.head.entries[*position].run == change.run),
            // The entries of a head that was just sealed are not in the index yet, so `newest_run`
            // looks in the view's head first.
            None => {
                let standing = self.view.newest_run(change.key);
                standing.map(|run| run == change.run)
            }
        };
        match (&change.update, standing) {
            // A newer claim has replaced this one.
            (_, Some(false)) => {}
            // The claim's write never took effect, and cannot take effect once this head is
            // committed.
            (Update::Release, None) => {}
            (Update::Release, Some(true)) => {
                self.put(change.key, change.run, ClaimState::Released);
            }
            (Update::Done(response), _) => {
                self.put(change.key, change.run, ClaimState::Done(response.clone()));
            }
        }
    }

    /// Returns the head, and the segments that it no longer references.
    pub(crate) fn finish(self) -> (Head, Vec<Version>) {
        (self.head, self.removed_segments)
    }

    fn put(&mut self, key: KeyDigest, run: RunId, state: ClaimState) {
        let entry = Entry {
            key,
            run,
            writer: self.writer.clone(),
            at: self.unix_ms,
            state,
        };
        match self.positions.get(&key) {
            Some(position) => self.head.entries[*position] = entry,
            None => {
                self.positions.insert(key, self.head.entries.len());
                self.head.entries.push(entry);
            }
        }
    }
}
