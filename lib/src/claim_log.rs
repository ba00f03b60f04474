//! The stored format of claims.
//!
//! Each shard of a service has one head object, which is changed only by conditional updates, and a
//! chain of immutable segments that the head references. A segment is a copy of the head at some
//! version, named after that version. Two agents that seal the same head write the same bytes under
//! the same name, so an existing segment is always the right one, and a lost response only costs a
//! retry.

use std::collections::HashMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::copy_type;
use crate::ids::Name;
use crate::ids::Version;
use crate::value_type;

/// The number of shards of each service.
///
/// A shard commits at most once per [`crate::claim_types::COMMIT_GAP`], so eight shards make at
/// most 160 writes per second for a service, at any load. The number must not change while claims
/// are retained: a key would be looked up in another shard, and its call would run again.
pub const SHARDS: u8 = 8;

/// The largest response body, in bytes, that is stored in full. Of a larger one, a digest is
/// stored.
pub const MAX_RECORDED_BODY: usize = 512;

/// An error in reading a record.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum RecordError {
    /// The bytes do not decode as a record.
    #[error("malformed claim record; check for other writers under `claims/` in the store")]
    Malformed,
}

/// The result of decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

copy_type! {
    /// The digest of a workspace and an idempotency key.
    pub struct KeyDigest([u8; 16]);

    /// A random id of one attempt to claim a call. Only the process that drew it may run the call.
    pub struct RunId(pub u64);
}

impl KeyDigest {
    /// The digest of `key` as used by `workspace`.
    pub fn new(workspace: &Name, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length prefix distinguishes `ab` + `c` from `a` + `bc`.
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
    /// The stored part of a response.
    pub struct RecordedResponse {
        /// The status code.
        pub status: u16,
        /// The body if it has at most [`MAX_RECORDED_BODY`] bytes, else the first 16 bytes of its
        /// digest.
        pub body: Vec<u8>,
        /// Whether `body` is the full body.
        pub whole: bool,
    }

    /// The state of a claim.
    pub enum ClaimState {
        /// A process has claimed the call; it may have run.
        Claimed,
        /// The call ran, with this response.
        Done(RecordedResponse),
        /// The call did not run and never will under this claim.
        Released,
    }

    /// The newest record of a key.
    pub struct Entry {
        /// The key.
        pub key: KeyDigest,
        /// The run that the claim is for.
        pub run: RunId,
        /// The process that wrote the entry.
        pub writer: Name,
        /// When the entry was written, in milliseconds since the Unix epoch, by the writer's clock.
        pub at: u64,
        /// The state of the claim.
        pub state: ClaimState,
    }

    /// The head's reference to a segment.
    pub struct SegmentRef {
        /// The version of the head that the segment is a copy of.
        pub version: Version,
        /// The time of the newest entry.
        pub newest: u64,
    }
}

impl RecordedResponse {
    /// Stores the body if it is small enough, else its digest.
    pub fn new(status: u16, body: &[u8]) -> Self {
        let whole = body.len() <= MAX_RECORDED_BODY;
        let body = if whole {
            body.to_vec()
        } else {
            blake3::hash(body).as_bytes()[..16].to_vec()
        };
        RecordedResponse {
            status,
            body,
            whole,
        }
    }
}

/// A shard's head.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The chain of segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// The entries since the last segment, at most one per key.
    pub entries: Vec<Entry>,
}

impl Head {
    /// Decodes a head or a segment.
    pub fn decode(value: &[u8]) -> Result<Self> {
        postcard::from_bytes(value).map_err(|_| RecordError::Malformed)
    }

    /// Encodes the head.
    pub fn encode(&self) -> Bytes {
        Bytes::from(postcard::to_stdvec(self).expect("plain data can always be encoded to memory"))
    }

    /// The time of the newest entry; zero if there are no entries.
    pub fn newest(&self) -> u64 {
        self.entries.iter().map(|entry| entry.at).max().unwrap_or(0)
    }

    /// The position of each key in `entries`.
    pub(crate) fn positions(&self) -> HashMap<KeyDigest, usize> {
        self.entries
            .iter()
            .enumerate()
            .map(|(position, entry)| (entry.key, position))
            .collect()
    }
}

/// The store key of a shard's head.
pub fn head_key(service: &Name, shard: u8) -> String {
    format!("claims/{service}/{shard:02}/head")
}

/// The store key of a segment.
pub fn segment_key(service: &Name, shard: u8, version: Version) -> String {
    format!("claims/{service}/{shard:02}/{:020}", version.0)
}
