//! The record of keyed calls as it stands in the store.
//!
//! Each shard of a service has one head object, which only conditional updates change, and a chain
//! of immutable segments that the head names. A segment is the head's bytes as they stood at the
//! version that is the segment's name: two agents that roll the same head write the same bytes under
//! the same name, so a segment that is there already is the right one and a lost answer costs only a
//! second try.

use std::collections::HashMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::copy_type;
use crate::ids::Name;
use crate::ids::Version;
use crate::value_type;

/// Shards of each service.
///
/// A shard commits at most once in [`crate::claim_intent::COMMIT_GAP`], so eight of them cost the
/// store 160 writes a second for a service at any load. The number must not change while claims are
/// remembered: a key would be looked up in another shard and run again.
pub const SHARDS: u8 = 8;

/// The largest answer that is kept whole. Larger ones are kept as their digest.
pub const MAX_ANSWER: usize = 512;

/// What can go wrong with a record.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum RecordError {
    /// The bytes are no record of this version.
    #[error("the claim record cannot be read; see who else writes below `claims/` in the store")]
    Malformed,
}

/// The result of reading a record.
pub type Result<T> = std::result::Result<T, RecordError>;

copy_type! {
    /// The digest of a workspace and its caller's key.
    pub struct KeyDigest([u8; 16]);

    /// One decision to run a keyed call. Random; only the process that drew it may run the call.
    pub struct RunId(pub u64);
}

impl KeyDigest {
    /// The digest of `key` as used by `workspace`.
    pub fn new(workspace: &Name, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length keeps `ab` + `c` apart from `a` + `bc`.
        hasher.update(&(workspace.as_str().len() as u64).to_le_bytes());
        hasher.update(workspace.as_str().as_bytes());
        hasher.update(key.as_bytes());
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        KeyDigest(digest)
    }

    /// The shard that records the key.
    pub fn shard(self) -> u8 {
        self.0[0] % SHARDS
    }
}

value_type! {
    /// What is kept of an answer.
    pub struct RecordedAnswer {
        /// The status code.
        pub status: u16,
        /// The body where it has at most [`MAX_ANSWER`] bytes, else the first bytes of its digest.
        pub body: Vec<u8>,
        /// Whether `body` is the whole body.
        pub whole: bool,
    }

    /// What became of a claim.
    pub enum ClaimState {
        /// A process has decided to run the call; it may have run.
        Claimed,
        /// The call ran and was answered.
        Done(RecordedAnswer),
        /// The call did not run and never will under this claim.
        Released,
    }

    /// The last word on a key.
    pub struct Entry {
        /// The key.
        pub key: KeyDigest,
        /// The decision that made the claim.
        pub run: RunId,
        /// The process that made it.
        pub writer: Name,
        /// When the entry was written, in milliseconds of Unix time by the writer's clock.
        pub at: u64,
        /// What became of it.
        pub state: ClaimState,
    }

    /// A segment, as the head names it.
    pub struct SegmentRef {
        /// The head's version whose bytes the segment holds.
        pub version: Version,
        /// The newest entry's time.
        pub newest: u64,
    }
}

impl RecordedAnswer {
    /// Keeps an answer whole if it is small, else its digest.
    pub fn new(status: u16, body: &[u8]) -> Self {
        let whole = body.len() <= MAX_ANSWER;
        let body = if whole {
            body.to_vec()
        } else {
            blake3::hash(body).as_bytes()[..16].to_vec()
        };
        RecordedAnswer {
            status,
            body,
            whole,
        }
    }
}

/// A shard's head.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The chain, oldest first.
    pub segments: Vec<SegmentRef>,
    /// The entries since the last segment; at most one for each key.
    pub entries: Vec<Entry>,
}

impl Head {
    /// Reads a head or a segment.
    pub fn decode(value: &[u8]) -> Result<Self> {
        postcard::from_bytes(value).map_err(|_| RecordError::Malformed)
    }

    /// The head's bytes.
    pub fn encode(&self) -> Bytes {
        Bytes::from(postcard::to_stdvec(self).expect("plain data is written to memory"))
    }

    /// The newest entry's time; zero without entries.
    pub fn newest(&self) -> u64 {
        self.entries.iter().map(|entry| entry.at).max().unwrap_or(0)
    }

    /// Where each key stands in `entries`.
    pub(crate) fn places(&self) -> HashMap<KeyDigest, usize> {
        self.entries
            .iter()
            .enumerate()
            .map(|(place, entry)| (entry.key, place))
            .collect()
    }
}

/// The key of a shard's head in the store.
pub fn head_key(service: &Name, shard: u8) -> String {
    format!("claims/{service}/{shard:02}/head")
}

/// The key of a segment in the store.
pub fn segment_key(service: &Name, shard: u8, version: Version) -> String {
    format!("claims/{service}/{shard:02}/{:020}", version.0)
}
