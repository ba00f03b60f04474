//! The datagrams by which processes tell each other who is there, who leaves, and which version of
//! the configuration they hold.
//!
//! A datagram is the postcard form of a [`Message`] and a keyed BLAKE3 tag, so that bytes of another
//! system, or of nobody, change nothing.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config_apply::ConfigVersionId;
use crate::copy_type;
use crate::ids::Name;
use crate::value_type;

/// The most bytes of a datagram: below what every path carries in one piece.
pub const MAX_DATAGRAM: usize = 1_200;

/// The most words that a datagram carries. A word takes up to 18 bytes.
pub const MAX_WORDS: usize = 48;

/// Bytes that IP and UDP add to a datagram.
pub const OVERHEAD: usize = 28;

const TAG: usize = 16;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum GossipError {
    /// The tag does not match the bytes.
    #[error("the datagram's tag is wrong; see that all processes hold the same key")]
    Tag,
    /// The bytes are no message of this version.
    #[error("the datagram cannot be read; see that all processes run compatible versions")]
    Malformed,
}

/// The result of reading a datagram.
pub type Result<T> = std::result::Result<T, GossipError>;

/// A digest of a host's name, which stands for the host in datagrams.
///
/// 48 bits: among 2,000 hosts two have the same with a chance of one in 100 million.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberId([u8; 6]);

copy_type! {
    /// Orders what a process and others say of it: the later start wins, then the later word.
    #[derive(Default)]
    pub struct Life {
        /// The process's start in milliseconds of Unix time, or above that of its predecessor.
        pub incarnation: u64,
        /// Grows whenever the process says something new of itself.
        pub serial: u32,
    }

    /// What is said of a process, the worse the greater.
    pub enum Said {
        /// It takes new work.
        Ready,
        /// It takes no new work and finishes what it has.
        Draining,
        /// Nobody who was asked could reach it.
        Suspect,
        /// It is about to end, or has ended.
        Leaving,
    }

    /// A word on a process, its own or another's.
    pub struct Word {
        /// The process.
        pub id: MemberId,
        /// To which life it applies.
        pub life: Life,
        /// What is said.
        pub said: Said,
    }
}

value_type! {
    /// What a datagram is for.
    pub enum Purpose {
        /// Tells what the sender knows.
        Tell,
        /// Asks for an [`Purpose::Ack`] with the same number.
        Ping(u32),
        /// Answers a ping.
        Ack(u32),
        /// Asks the receiver to ping another process on the sender's behalf.
        Ask {
            /// Comes back with the answer.
            nonce: u32,
            /// The process to ping.
            target: MemberId,
        },
        /// Tells that the process asked about has answered.
        Reached {
            /// The number of the question.
            nonce: u32,
        },
    }

    /// One datagram.
    pub struct Message {
        /// The sender.
        pub id: MemberId,
        /// Its life.
        pub life: Life,
        /// What it says of itself.
        pub said: Said,
        /// Whether it started lately and wants to know of all who are not ready.
        pub fresh: bool,
        /// The version of the configuration that it has in force and can hand on.
        pub config: Option<ConfigVersionId>,
        /// What the datagram is for.
        pub purpose: Purpose,
        /// Words on others; at most [`MAX_WORDS`].
        pub words: Vec<Word>,
    }
}

impl MemberId {
    /// The digest of `name`.
    pub fn new(name: &Name) -> Self {
        let digest = blake3::hash(name.as_str().as_bytes());
        let mut bytes = [0; 6];
        bytes.copy_from_slice(&digest.as_bytes()[..6]);
        MemberId(bytes)
    }

    /// Any identifier.
    pub(crate) fn random(rng: &mut fastrand::Rng) -> Self {
        let mut bytes = [0; 6];
        rng.fill(&mut bytes);
        MemberId(bytes)
    }
}

impl Message {
    /// The datagram under `key`.
    pub fn seal(&self, key: &[u8; 32]) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).expect("plain data is written to memory");
        let tag = blake3::keyed_hash(key, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG]);
        bytes
    }

    /// Reads a datagram that was sealed under `key`.
    pub fn open(datagram: &[u8], key: &[u8; 32]) -> Result<Self> {
        let length = datagram.len().checked_sub(TAG).ok_or(GossipError::Tag)?;
        let (bytes, tag) = datagram.split_at(length);
        let wanted = blake3::keyed_hash(key, bytes);
        // Comparing digests of the tags takes the same time wherever they differ.
        if blake3::hash(&wanted.as_bytes()[..TAG]) != blake3::hash(tag) {
            return Err(GossipError::Tag);
        }
        postcard::from_bytes(bytes).map_err(|_| GossipError::Malformed)
    }
}
