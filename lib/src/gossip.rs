//! Gossip datagrams, in which processes exchange membership state and the version of the
//! configuration that they have in force.
//!
//! A datagram is a [`Message`] encoded by postcard, followed by a keyed BLAKE3 tag, so that bytes
//! from other systems or corrupted ones have no effect.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config_apply::ConfigVersionId;
use crate::copy_type;
use crate::ids::Name;
use crate::value_type;
use crate::wire_figures;
use crate::wire_figures::CheckFigures;
use crate::wire_figures::MAX_VERSION;
use crate::wire_figures::at_most;

/// Largest size of a datagram in bytes, small enough for every path to carry it unfragmented.
pub const MAX_DATAGRAM: usize = 1_200;

/// Most updates in a datagram. An update takes up to 18 bytes.
pub const MAX_UPDATES: usize = 48;

/// Bytes that the headers of IP and UDP add to a datagram.
pub const IP_UDP_HEADER_BYTES: usize = 28;

const TAG_BYTES: usize = 16;

/// The largest serial of another process: a process increases its own beyond those that it objects to.
const MAX_SERIAL: u32 = u32::MAX / 2;

/// Reason for which a datagram was dropped.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum GossipError {
    /// The tag does not match the bytes.
    #[error("the datagram's tag is wrong; see that all processes hold the same key")]
    Tag,
    /// The bytes cannot be decoded as a message of this version.
    #[error("the datagram cannot be read; see that all processes run compatible versions")]
    Malformed,
    /// An incarnation or a serial is so large that none may follow it.
    #[error(
        "an incarnation in the datagram is out of bounds; see that all processes run compatible versions"
    )]
    OutOfBounds,
}

/// The result of reading a datagram.
pub type Result<T> = std::result::Result<T, GossipError>;

/// Identifies a host in datagrams by a digest of its name.
///
/// With 48 bits, the chance that any two of 2,000 hosts collide is one in 100 million.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct MemberId([u8; 6]);

copy_type! {
    /// Orders the reports on one process: the later incarnation wins, then the higher serial.
    #[derive(Default)]
    pub struct StateVersion {
        /// Start time of the process in milliseconds of Unix time, or a value above the incarnation
        /// of its predecessor.
        pub incarnation: u64,
        /// Increases whenever the process reports a new state of itself.
        pub serial: u32,
    }

    /// State reported of a process, ordered from best to worst.
    pub enum ReportedState {
        /// Accepts new work.
        Ready,
        /// Accepts no new work and finishes the work it has.
        Draining,
        /// No process that was asked could reach it.
        Suspect,
        /// Is about to exit, or has exited.
        Leaving,
    }

    /// A report on the state of a process, made by itself or by another.
    pub struct MemberUpdate {
        /// The process that the report is on.
        pub id: MemberId,
        /// Incarnation and serial of the process that the report applies to.
        pub version: StateVersion,
        /// The state reported.
        pub reported: ReportedState,
    }
}

value_type! {
    /// Purpose of a datagram.
    pub enum Purpose {
        /// Only carries the updates; needs no answer.
        Update,
        /// Requests a [`Purpose::Ack`] with the same nonce.
        Ping(u32),
        /// Answers the ping with this nonce.
        Ack(u32),
        /// Requests that the receiver ping another process on the sender's behalf.
        PingRequest {
            /// Returned in the answer.
            nonce: u32,
            /// The process to ping.
            target: MemberId,
        },
        /// Reports that the target of a [`Purpose::PingRequest`] has answered.
        IndirectAck {
            /// Nonce of the request.
            nonce: u32,
        },
    }

    /// Content of a datagram.
    pub struct Message {
        /// The sender.
        pub id: MemberId,
        /// Incarnation and serial of the sender.
        pub version: StateVersion,
        /// State that the sender reports of itself.
        pub reported: ReportedState,
        /// Whether the sender started recently and needs updates on all members that are not ready.
        pub recently_started: bool,
        /// Version of the configuration that the sender has in force and can serve to others.
        pub config: Option<ConfigVersionId>,
        /// Purpose of the datagram.
        pub purpose: Purpose,
        /// Updates on other members; at most [`MAX_UPDATES`].
        pub updates: Vec<MemberUpdate>,
    }
}

impl MemberId {
    /// Returns the identifier of the host called `name`.
    pub fn new(name: &Name) -> Self {
        let digest = blake3::hash(name.as_str().as_bytes());
        let mut bytes = [0; 6];
        bytes.copy_from_slice(&digest.as_bytes()[..6]);
        MemberId(bytes)
    }

    /// Returns a random identifier.
    pub(crate) fn random(rng: &mut fastrand::Rng) -> Self {
        let mut bytes = [0; 6];
        rng.fill(&mut bytes);
        MemberId(bytes)
    }
}

impl Message {
    /// Encodes the message and appends its tag under `key`.
    pub fn seal(&self, key: &[u8; 32]) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).expect("plain data is written to memory");
        let tag = blake3::keyed_hash(key, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        bytes
    }

    /// Verifies the tag of a datagram under `key` and decodes the message.
    pub fn open(datagram: &[u8], key: &[u8; 32]) -> Result<Self> {
        let length = datagram
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(GossipError::Tag)?;
        let (bytes, tag) = datagram.split_at(length);
        let wanted = blake3::keyed_hash(key, bytes);
        // The time to compare the digests does not reveal at which byte the tags differ.
        if blake3::hash(&wanted.as_bytes()[..TAG_BYTES]) != blake3::hash(tag) {
            return Err(GossipError::Tag);
        }
        let message: Message = postcard::from_bytes(bytes).map_err(|_| GossipError::Malformed)?;
        message
            .check_figures()
            .map_err(|_| GossipError::OutOfBounds)?;
        Ok(message)
    }
}

impl CheckFigures for StateVersion {
    fn check_figures(&self) -> wire_figures::Result<()> {
        at_most("incarnation", self.incarnation, MAX_VERSION)?;
        at_most("serial", self.serial, MAX_SERIAL)
    }
}

impl CheckFigures for Message {
    fn check_figures(&self) -> wire_figures::Result<()> {
        self.version.check_figures()?;
        let mut versions = self.updates.iter().map(|update| update.version);
        versions.try_for_each(|version| version.check_figures())
    }
}
