//! What the platform offers: objects with versions, conditional updates and watches, and a lagging
//! list of hosts.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use thiserror::Error;

use crate::ids::Name;
use crate::ids::Version;
use crate::value_type;

/// The largest value that the store takes, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

/// What can go wrong with a call to the platform.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum PlatformError {
    /// The condition of an update did not hold; nothing was written.
    #[error(
        "the object is at version {found:?}, not at the expected one; read it again and reapply"
    )]
    Conflict {
        /// The version found; `None` where there is no such object.
        found: Option<Version>,
    },
    /// The call was refused before it took effect: nothing was written.
    #[error("the platform refused the call ({0}); nothing changed, try again later")]
    Refused(String),
    /// No answer came: a write may have taken effect. Read the object back to find out.
    #[error("the platform's answer was lost ({0}); read the object back before going on")]
    Unknown(String),
    /// The value is over [`MAX_VALUE`].
    #[error("the value has {0} bytes, more than the platform takes; split it")]
    TooLarge(usize),
}

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// A value as it stands in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Grows with every change of this object.
    pub version: Version,
    /// At most [`MAX_VALUE`] bytes.
    pub value: Bytes,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// There is no such object yet.
    Absent,
    /// The object is at this version.
    At(Version),
}

value_type! {
    /// The role that a host has in the platform's list.
    pub enum HostRole {
        /// Stands before the backend servers.
        Entry,
        /// Stands beside one backend server.
        Agent,
    }

    /// A host in the platform's list, which lags behind.
    pub struct HostRecord {
        /// The host's name.
        pub name: Name,
        /// What runs there.
        pub role: HostRole,
        /// Where the system's other processes reach its process, over TCP and over UDP.
        pub address: SocketAddr,
        /// Where operators' tools read its state (`/status`, `/metrics`) over HTTP.
        pub status: SocketAddr,
        /// The service of its backend server; empty for an entry.
        pub service: Name,
        /// The region.
        pub region: Name,
        /// The availability zone.
        pub zone: Name,
        /// Whether the platform has said that the host is leaving.
        pub leaving: bool,
    }
}

/// The platform's service. Each call counts against its rate limits; so does a waiting watch.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads an object; `None` where there is none.
    async fn read(&self, key: &str) -> Result<Option<Object>>;

    /// Writes an object if the condition holds, and returns its new version.
    async fn write(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version>;

    /// Deletes an object at the given version.
    async fn delete(&self, key: &str, version: Version) -> Result<()>;

    /// The keys that begin with `prefix`, in order, after `after`; at most 1,000 of them.
    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<String>>;

    /// Waits until the object's version is above `version`, or until `wait` is over (`None` then).
    async fn watch(&self, key: &str, version: Version, wait: Duration) -> Result<Option<Object>>;

    /// The hosts that the platform knows of. Late by some seconds.
    async fn hosts(&self) -> Result<Vec<HostRecord>>;
}
