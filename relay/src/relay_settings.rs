//! What a relay is told by its settings.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Location;
use cicada_lib::ids::Name;
use cicada_lib::retry_window::RetryLimit;

/// What an entry is told by its settings.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The host's name.
    pub name: Name,
    /// Where other processes of the system send datagrams.
    pub peer: SocketAddr,
    /// Other processes that may be relays, before the directory is read.
    pub seeds: Vec<SocketAddr>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the entry takes connections.
    pub ready: SocketAddr,
    /// The availability zone, and the regions of all.
    pub place: Location,
    /// What may change while the relay runs.
    pub changing: Changing,
}

/// Settings that take effect at once when they change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Changing {
    /// The bound of further sends, for all entries together.
    pub retries: RetryLimit,
    /// From SIGTERM to the end by force.
    pub grace: Duration,
    /// What the relay does of itself.
    pub policy: Policy,
}

/// What a relay does of itself; each can be switched off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Streams are refused that no engine can hold or begin in time.
    pub refuse: bool,
    /// Callers that were refused and come back are told from new ones.
    pub returns: bool,
    /// Streams that may be resumed go on in another run.
    pub resume: bool,
    /// Such streams are given up at engines that make no progress.
    pub patience: bool,
    /// Engines that fail part of their requests are avoided.
    pub avoid: bool,
    /// Workspaces that took more than their share leave room for others.
    pub shares: bool,
    /// Scouts are asked for the load of their engines where reports come too seldom.
    pub ask: bool,
}
