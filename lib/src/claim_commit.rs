//! Builds the next head of a shard from the one that stands.

use std::collections::HashMap;
use std::mem;

use crate::claim_intent::WaiterId;
use crate::claim_log::ClaimState;
use crate::claim_log::Entry;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RecordedAnswer;
use crate::claim_log::RunId;
use crate::claim_log::SegmentRef;
use crate::claim_view::View;
use crate::ids::Name;
use crate::ids::Version;

/// What is to be recorded of a claim.
pub(crate) enum Update {
    Done(RecordedAnswer),
    /// Proven not to have run. Where the claim itself does not stand, this does nothing.
    Release,
}

/// A result or release that waits to be written.
pub(crate) struct Change {
    pub(crate) key: KeyDigest,
    pub(crate) run: RunId,
    pub(crate) update: Update,
    pub(crate) waiter: Option<WaiterId>,
}

/// A head under construction.
pub(crate) struct Draft<'a> {
    view: &'a View,
    writer: &'a Name,
    unix_ms: u64,
    head: Head,
    places: HashMap<KeyDigest, usize>,
    dropped: Vec<Version>,
}

impl<'a> Draft<'a> {
    /// Begins with the head that stands, less what the view has forgotten. Where the head stands in
    /// a segment too (`rolled`), it is begun anew behind that.
    pub(crate) fn new(
        view: &'a View,
        writer: &'a Name,
        unix_ms: u64,
        rolled: Option<Version>,
    ) -> Self {
        let loaded = view.loaded.as_ref();
        let mut head = loaded.map(|loaded| loaded.head.clone()).unwrap_or_default();
        if let Some(version) = rolled
            && view.version() == rolled
        {
            let newest = head.newest();
            head.segments.push(SegmentRef { version, newest });
            head.entries.clear();
        }
        let kept = |at: u64| !view.is_forgotten(at);
        let chain = mem::take(&mut head.segments).into_iter();
        let (segments, dropped): (Vec<_>, Vec<_>) = chain.partition(|s| kept(s.newest));
        head.segments = segments;
        head.entries.retain(|entry| kept(entry.at));
        Draft {
            view,
            writer,
            unix_ms,
            places: head.places(),
            head,
            dropped: dropped.iter().map(|segment| segment.version).collect(),
        }
    }

    /// Adds a claim. The caller has seen that nothing stands in its way.
    pub(crate) fn claim(&mut self, key: KeyDigest, run: RunId) {
        self.put(key, run, ClaimState::Claimed);
    }

    /// Adds a result or release.
    pub(crate) fn apply(&mut self, change: &Change) {
        // `None` where neither this claim nor another one stands.
        let standing = match self.places.get(&change.key) {
            Some(place) => Some(self.head.entries[*place].run == change.run),
            // A head that is just being rolled is in no index yet, so the view looks there first.
            None => {
                let standing = self.view.standing(change.key);
                standing.map(|run| run == change.run)
            }
        };
        match (&change.update, standing) {
            // Another claim has taken the place of this one.
            (_, Some(false)) => {}
            // The claim's write never took effect, and cannot any more once this head stands.
            (Update::Release, None) => {}
            (Update::Release, Some(true)) => {
                self.put(change.key, change.run, ClaimState::Released);
            }
            (Update::Done(answer), _) => {
                self.put(change.key, change.run, ClaimState::Done(answer.clone()));
            }
        }
    }

    /// The head, and the segments that it no longer names.
    pub(crate) fn finish(self) -> (Head, Vec<Version>) {
        (self.head, self.dropped)
    }

    fn put(&mut self, key: KeyDigest, run: RunId, state: ClaimState) {
        let entry = Entry {
            key,
            run,
            writer: self.writer.clone(),
            at: self.unix_ms,
            state,
        };
        match self.places.get(&key) {
            Some(place) => self.head.entries[*place] = entry,
            None => {
                self.places.insert(key, self.head.entries.len());
                self.head.entries.push(entry);
            }
        }
    }
}
