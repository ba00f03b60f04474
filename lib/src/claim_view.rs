//! One process's in-memory view of a shard's record: the head, and an index of the segments.

use std::collections::HashMap;
use std::time::Duration;

use crate::claim_log::ClaimState;
use crate::claim_log::Entry;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RunId;
use crate::claim_log::SegmentRef;
use crate::ids::Version;

// Added to the retention window, so that clock skew of up to this much between hosts does not
// expire a claim too early.
const CLOCK_MARGIN: Duration = Duration::from_secs(600);

/// The head as last read or written.
pub(crate) struct LoadedHead {
    /// `None` where there is no head yet.
    pub(crate) version: Option<Version>,
    pub(crate) head: Head,
    // The position of each key in the head's entries.
    positions: HashMap<KeyDigest, usize>,
}

/// The segment that holds the newest entry of a key which is no longer in the head, and that
/// entry's run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexEntry {
    pub(crate) segment: Version,
    pub(crate) run: RunId,
}

/// The result of looking up a key in the view.
pub(crate) enum Lookup {
    /// No unexpired entry is recorded.
    Absent,
    /// The newest entry.
    Entry(Entry),
    /// The newest entry is in a segment that is not cached.
    InSegment(IndexEntry),
}

/// The head, an index of the segments that it references, and the last segment read.
///
/// The index takes about 40 to 75 bytes per key within the retention window.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) loaded: Option<LoadedHead>,
    // The newest head version seen. An older one means that the store was rolled back.
    newest_seen: Version,
    // For each key, the newest of `indexed_segments` that holds it.
    index: HashMap<KeyDigest, IndexEntry>,
    indexed_segments: Vec<SegmentRef>,
    cached_segment: Option<(Version, Head)>,
    // Entries written at or before this time (Unix time in milliseconds) are expired.
    expired_until: u64,
}

impl View {
    /// Treats entries older than the window as expired. They stay in the stored head until the next
    /// commit.
    pub(crate) fn update_expiry(&mut self, unix_ms: u64, window: Duration) {
        let age = u64::try_from((window + CLOCK_MARGIN).as_millis()).unwrap_or(u64::MAX);
        self.expired_until = unix_ms.saturating_sub(age);
    }

    /// Whether an entry written at `at` is expired.
    pub(crate) fn is_expired(&self, at: u64) -> bool {
        at <= self.expired_until
    }

    /// Looks up a key, ignoring expired entries.
    pub(crate) fn lookup(&self, key: KeyDigest) -> Lookup {
        match self.find(key) {
            Lookup::Entry(entry) if self.is_expired(entry.at) => Lookup::Absent,
            Lookup::InSegment(indexed) if self.is_segment_expired(indexed.segment) => {
                Lookup::Absent
            }
            found => found,
        }
    }

    fn is_segment_expired(&self, version: Version) -> bool {
        let mut indexed_segments = self.indexed_segments.iter();
        let segment_ref = indexed_segments.find(|segment| segment.version == version);
        segment_ref.is_some_and(|segment| self.is_expired(segment.newest))
    }

    fn find(&self, key: KeyDigest) -> Lookup {
        let Some(loaded) = &self.loaded else {
            return Lookup::Absent;
        };
        if let Some(position) = loaded.positions.get(&key) {
            return Lookup::Entry(loaded.head.entries[*position].clone());
        }
        let Some(indexed) = self.index.get(&key) else {
            return Lookup::Absent;
        };
        match &self.cached_segment {
            Some((cached, segment)) if *cached == indexed.segment => segment
                .entries
                .iter()
                .find(|entry| entry.key == key)
                .map_or(Lookup::Absent, |entry| Lookup::Entry(entry.clone())),
            _ => Lookup::InSegment(*indexed),
        }
    }

    /// The run of a key's newest entry, unless that run is known to be settled or released.
    pub(crate) fn open_run(&self, key: KeyDigest) -> Option<RunId> {
        match self.lookup(key) {
            Lookup::Entry(entry) if entry.state == ClaimState::Claimed => Some(entry.run),
            Lookup::InSegment(indexed) => Some(indexed.run),
            Lookup::Entry(_) | Lookup::Absent => None,
        }
    }

    /// The run of a key's newest entry.
    pub(crate) fn newest_run(&self, key: KeyDigest) -> Option<RunId> {
        let loaded = self.loaded.as_ref()?;
        match loaded.positions.get(&key) {
            Some(position) => Some(loaded.head.entries[*position].run),
            None => self.index.get(&key).map(|indexed| indexed.run),
        }
    }

    /// The index entry of a key.
    pub(crate) fn index_entry(&self, key: KeyDigest) -> Option<IndexEntry> {
        self.index.get(&key).copied()
    }

    /// The version of the head in memory.
    pub(crate) fn version(&self) -> Option<Version> {
        self.loaded.as_ref()?.version
    }

    /// A segment of the chain that is not indexed yet.
    pub(crate) fn unindexed_segment(&self) -> Option<Version> {
        let chain = &self.loaded.as_ref()?.head.segments;
        chain
            .iter()
            .find(|segment| !self.indexed_segments.contains(segment))
            .map(|segment| segment.version)
    }

    /// Whether a head at `version` is older than one seen earlier.
    pub(crate) fn is_regression(&self, version: Option<Version>) -> bool {
        version.unwrap_or_default() < self.newest_seen
    }

    /// Replaces the head with the one in the store, and removes segments it no longer references
    /// from the index.
    pub(crate) fn set_head(&mut self, version: Option<Version>, head: Head) {
        let gone = |segment: &SegmentRef| !head.segments.contains(segment);
        if self.indexed_segments.iter().any(gone) {
            self.indexed_segments.retain(|segment| !gone(segment));
            let chain: Vec<_> = head.segments.iter().map(|s| s.version).collect();
            self.index
                .retain(|_, indexed| chain.contains(&indexed.segment));
        }
        self.newest_seen = version.unwrap_or_default();
        let positions = head.positions();
        self.loaded = Some(LoadedHead {
            version,
            head,
            positions,
        });
    }

    /// Replaces the head with one that this process committed. If the previous head was sealed as
    /// the segment `sealed_version`, its entries are added to the index.
    pub(crate) fn set_committed_head(
        &mut self,
        version: Version,
        head: Head,
        sealed_version: Option<Version>,
    ) {
        let segment_ref = head
            .segments
            .iter()
            .find(|segment| Some(segment.version) == sealed_version);
        if let (Some(segment_ref), Some(old)) = (segment_ref, self.loaded.take()) {
            self.index_segment(segment_ref.clone(), &old.head);
        }
        self.set_head(Some(version), head);
    }

    /// Caches a segment that was read, and indexes it if it is not yet indexed.
    pub(crate) fn add_segment(&mut self, version: Version, segment: Head) {
        let segment_ref = self.loaded.as_ref().and_then(|loaded| {
            let mut chain = loaded.head.segments.iter();
            chain.find(|segment| segment.version == version).cloned()
        });
        if let Some(segment_ref) = segment_ref
            && !self.indexed_segments.contains(&segment_ref)
        {
            self.index_segment(segment_ref, &segment);
        }
        self.cached_segment = Some((version, segment));
    }

    fn index_segment(&mut self, segment_ref: SegmentRef, segment: &Head) {
        for entry in &segment.entries {
            let indexed = IndexEntry {
                segment: segment_ref.version,
                run: entry.run,
            };
            let newest = self.index.entry(entry.key).or_insert(indexed);
            if newest.segment < segment_ref.version {
                *newest = indexed;
            }
        }
        self.indexed_segments.push(segment_ref);
    }
}
