//! Settings of a relay.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Location;
use cicada_lib::ids::Name;
use cicada_lib::retry_share::RetryLimit;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The host's name.
    pub name: Name,
    /// Address at which other processes of the system send datagrams.
    pub peer: SocketAddr,
    /// Addresses of processes that may be relays, used until the directory is read.
    pub seeds: Vec<SocketAddr>,
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address of the readiness check by which the balancer learns whether the entry takes connections.
    pub ready: SocketAddr,
    /// The entry's availability zone, and the region of each zone.
    pub place: Location,
    /// Whether the whole deployment starts for the first time, so that nothing is registered yet.
    pub first_start: bool,
    /// The time from the acknowledgement of a configuration until it must be in force everywhere.
    pub config_apply: Duration,
    /// The time from the acknowledgement that a backend server leaves until it gets no new work from any entry.
    pub drain_apply: Duration,
    /// The host's memory in bytes; zero if it is not known.
    pub memory: usize,
    /// Settings that may change while the relay runs.
    pub reloadable: ReloadableSettings,
}

/// Settings that take effect without a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// The limit on retries, for all entries together.
    pub retry_limit: RetryLimit,
    /// The time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Optional behaviours.
    pub policy: Policy,
}

/// Optional behaviours of a relay. Each field is the switch of the same name in the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Reject streams that no engine can hold in memory or start in time.
    pub refuse: bool,
    /// Recognize the retries of rejected callers, and credit them with the time that they have waited.
    pub returns: bool,
    /// Resume interrupted streams in another run, on routes that allow it.
    pub resume: bool,
    /// Abandon runs of resumable streams at engines that make no progress.
    pub patience: bool,
    /// Avoid engines that fail a part of their requests.
    pub avoid: bool,
    /// Give workspaces that used more than their share less room than others.
    pub shares: bool,
    /// Probe scouts for the load of their engines if reports arrive too seldom.
    pub ask: bool,
    /// Prefill long prompts at some engines of each zone, and generate at others.
    pub handoff: bool,
    /// Move runs off engines where they would exceed the longest gap that their route allows.
    pub rescue: bool,
    /// Let streams wait for room where their route's objective allows it.
    pub wait: bool,
    /// Lend unused parts of servers' request limits to other relays.
    pub lend: bool,
}
