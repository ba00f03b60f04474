//! One process's view of a shard's record: the head, and where older entries are.

use std::collections::HashMap;
use std::time::Duration;

use crate::claim_log::ClaimState;
use crate::claim_log::Entry;
use crate::claim_log::Head;
use crate::claim_log::KeyDigest;
use crate::claim_log::RunId;
use crate::claim_log::SegmentRef;
use crate::ids::Version;

// Clocks of hosts may differ by this much before a claim is forgotten too early.
const CLOCK_MARGIN: Duration = Duration::from_secs(600);

/// The head as it was read or written last.
pub(crate) struct Loaded {
    /// `None` where there is no head yet.
    pub(crate) version: Option<Version>,
    pub(crate) head: Head,
    // Where each key stands in the head's entries.
    places: HashMap<KeyDigest, usize>,
}

/// Where the newest entry of a key is that has left the head.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) segment: Version,
    pub(crate) run: RunId,
}

/// What the view knows of a key.
pub(crate) enum Found {
    /// Nothing is recorded.
    Free,
    /// The newest entry.
    Entry(Entry),
    /// The newest entry is in a segment that is not in memory.
    In(Place),
}

/// The head, the index of the segments that it names, and the segment read last.
///
/// The index takes about 40 to 75 bytes for each remembered key.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) loaded: Option<Loaded>,
    // The newest version seen. The store must not go below it.
    seen: Version,
    // Of each key the newest segment that holds it, for the segments in `indexed`.
    index: HashMap<KeyDigest, Place>,
    indexed: Vec<SegmentRef>,
    segment: Option<(Version, Head)>,
    // Entries written until then are forgotten.
    forgotten: u64,
}

impl View {
    /// Forgets what is older than the window. The stored head keeps it until the next commit.
    pub(crate) fn forget(&mut self, unix_ms: u64, window: Duration) {
        let age = u64::try_from((window + CLOCK_MARGIN).as_millis()).unwrap_or(u64::MAX);
        self.forgotten = unix_ms.saturating_sub(age);
    }

    /// Whether an entry of that time is forgotten.
    pub(crate) fn is_forgotten(&self, at: u64) -> bool {
        at <= self.forgotten
    }

    /// What is known of a key.
    pub(crate) fn lookup(&self, key: KeyDigest) -> Found {
        match self.find(key) {
            Found::Entry(entry) if self.is_forgotten(entry.at) => Found::Free,
            Found::In(place) if self.is_segment_forgotten(place.segment) => Found::Free,
            found => found,
        }
    }

    fn is_segment_forgotten(&self, version: Version) -> bool {
        let mut indexed = self.indexed.iter();
        let named = indexed.find(|segment| segment.version == version);
        named.is_some_and(|segment| self.is_forgotten(segment.newest))
    }

    fn find(&self, key: KeyDigest) -> Found {
        let Some(loaded) = &self.loaded else {
            return Found::Free;
        };
        if let Some(place) = loaded.places.get(&key) {
            return Found::Entry(loaded.head.entries[*place].clone());
        }
        let Some(place) = self.index.get(&key) else {
            return Found::Free;
        };
        match &self.segment {
            Some((held, segment)) if *held == place.segment => segment
                .entries
                .iter()
                .find(|entry| entry.key == key)
                .map_or(Found::Free, |entry| Found::Entry(entry.clone())),
            _ => Found::In(*place),
        }
    }

    /// The run of a key's newest entry, unless that is known to be over.
    pub(crate) fn open_run(&self, key: KeyDigest) -> Option<RunId> {
        match self.lookup(key) {
            Found::Entry(entry) if entry.state == ClaimState::Claimed => Some(entry.run),
            Found::In(place) => Some(place.run),
            Found::Entry(_) | Found::Free => None,
        }
    }

    /// The run of a key's newest entry.
    pub(crate) fn standing(&self, key: KeyDigest) -> Option<RunId> {
        let loaded = self.loaded.as_ref()?;
        match loaded.places.get(&key) {
            Some(place) => Some(loaded.head.entries[*place].run),
            None => self.index.get(&key).map(|place| place.run),
        }
    }

    /// Where a key stands in the segments.
    pub(crate) fn place(&self, key: KeyDigest) -> Option<Place> {
        self.index.get(&key).copied()
    }

    /// The version of the head in memory.
    pub(crate) fn version(&self) -> Option<Version> {
        self.loaded.as_ref()?.version
    }

    /// A segment of the chain whose keys are not known yet.
    pub(crate) fn missing(&self) -> Option<Version> {
        let chain = &self.loaded.as_ref()?.head.segments;
        chain
            .iter()
            .find(|segment| !self.indexed.contains(segment))
            .map(|segment| segment.version)
    }

    /// Whether a head at `version` is older than one seen before.
    pub(crate) fn is_regression(&self, version: Option<Version>) -> bool {
        version.unwrap_or_default() < self.seen
    }

    /// Takes in the head as it stands in the store.
    pub(crate) fn adopt(&mut self, version: Option<Version>, head: Head) {
        let gone = |segment: &SegmentRef| !head.segments.contains(segment);
        if self.indexed.iter().any(gone) {
            self.indexed.retain(|segment| !gone(segment));
            let chain: Vec<_> = head.segments.iter().map(|s| s.version).collect();
            self.index.retain(|_, place| chain.contains(&place.segment));
        }
        self.seen = version.unwrap_or_default();
        let places = head.places();
        self.loaded = Some(Loaded {
            version,
            head,
            places,
        });
    }

    /// Takes in a head of this process's own that has replaced the one in memory. Where the old one
    /// became the segment `rolled`, its entries go to the index.
    pub(crate) fn replace(&mut self, version: Version, head: Head, rolled: Option<Version>) {
        let named = head
            .segments
            .iter()
            .find(|segment| Some(segment.version) == rolled);
        if let (Some(named), Some(old)) = (named, self.loaded.take()) {
            self.add_segment(named.clone(), &old.head);
        }
        self.adopt(Some(version), head);
    }

    /// Takes in a segment that was read.
    pub(crate) fn segment_read(&mut self, version: Version, segment: Head) {
        let named = self.loaded.as_ref().and_then(|loaded| {
            let mut chain = loaded.head.segments.iter();
            chain.find(|segment| segment.version == version).cloned()
        });
        if let Some(named) = named
            && !self.indexed.contains(&named)
        {
            self.add_segment(named, &segment);
        }
        self.segment = Some((version, segment));
    }

    fn add_segment(&mut self, named: SegmentRef, segment: &Head) {
        for entry in &segment.entries {
            let place = Place {
                segment: named.version,
                run: entry.run,
            };
            let newest = self.index.entry(entry.key).or_insert(place);
            if newest.segment < named.version {
                *newest = place;
            }
        }
        self.indexed.push(named);
    }
}
