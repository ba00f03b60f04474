//! What a deployment is told from outside: its routes, limits and workspaces, and its backend servers.
//!
//! The platform's adapter decodes these from the platform's own form; all decisions read them here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

use crate::cold_start::ColdStart;
use crate::copy_type;
use crate::figure_type;
use crate::ids::Name;
use crate::residency::AllowedRegions;
use crate::revision::Revision;
use crate::value_type;
use crate::zone_evacuation::EvacuatedZones;

copy_type! {
    /// What may be repeated of a route's requests.
    pub enum CallKind {
        /// May run any number of times.
        Idempotent,
        /// Runs once at most for each attempt of a caller.
        NonIdempotent,
        /// Answers with a series of events. Runs once at most, but where its route says that it may be
        /// resumed.
        Streaming,
    }

    /// What a backend server says of itself.
    pub enum ServerPhase {
        /// Takes work.
        Ready,
        /// Is about to leave and takes no new work.
        Draining,
    }
}

value_type! {
    /// Where one share of a route's requests goes.
    pub struct Share {
        /// The service.
        pub service: Name,
        /// Its weight against the other shares; only the proportions count.
        pub weight: u32,
    }

    /// A rule that leads requests to services.
    pub struct Route {
        /// The route's name.
        pub name: Name,
        /// The host that requests name, in lower case and without a port.
        pub host: Name,
        /// The beginning of the path, from a slash to a slash.
        pub prefix: Name,
        /// What may be repeated.
        pub kind: CallKind,
        /// The longest time that a request may be kept.
        pub timeout: Duration,
        /// The time within which an answer, or a stream's first event, is worth the most.
        pub objective: Duration,
        /// The longest pause between events that callers do not notice; zero where the route has none.
        pub gap: Duration,
        /// The rank among routes: 0 is the most urgent.
        pub priority: u32,
        /// Where requests go; never empty.
        pub shares: Vec<Share>,
        /// The most backend servers that one request may be sent to; at least 1.
        pub attempts: u32,
        /// Whether a stream may go on in another run, after the last event that its caller got.
        pub resumable: bool,
        /// Whether requests need no key.
        pub anonymous: bool,
        /// Where requests may be served.
        pub regions: AllowedRegions,
    }

    /// A workspace and its keys.
    pub struct SiteWorkspace {
        /// The workspace's name.
        pub name: Name,
        /// The keys that its callers show.
        pub keys: Vec<Name>,
        /// Its rank, which goes before the route's.
        pub priority: Option<u32>,
        /// Where its requests may be served, beside what their route allows.
        pub regions: AllowedRegions,
    }

    /// What callers may send, and how long they may take.
    pub struct CallerLimits {
        /// The largest head of a request, in bytes.
        pub header: usize,
        /// The largest body of a request, in bytes.
        pub body: usize,
        /// The longest time to send a head.
        pub header_time: Duration,
        /// The longest time that a connection may be idle.
        pub idle: Duration,
    }
}

impl Default for CallerLimits {
    /// Holds until a configuration is known.
    fn default() -> Self {
        CallerLimits {
            header: 16 * 1024,
            body: 1024 * 1024,
            header_time: Duration::from_secs(5),
            idle: Duration::from_secs(15),
        }
    }
}

figure_type! {
    /// What is common to the engines of a service.
    pub struct EngineSpec {
        /// Requests that run at once.
        pub slots: u32,
        /// Tokens that the memory of one engine holds.
        pub capacity: u64,
        /// Bytes of memory for each token.
        pub token_bytes: u64,
        /// The rate of copies between engines, in megabits a second.
        pub link_mbps: f64,
        /// Whether running requests can be moved.
        pub moves: bool,
        /// Whether engines keep backups of runs of others.
        pub backups: bool,
        /// Tokens in one event of a stream.
        pub stride: u32,
    }

    /// A service.
    pub struct ServiceSpec {
        /// The path that says whether a backend server is well.
        pub health: Name,
        /// Connections that one backend server takes from all hosts together.
        pub connections: u32,
        /// The engine's figures; `None` for a plain service.
        pub engine: Option<EngineSpec>,
        /// How its servers start.
        pub cold: ColdStart,
    }

    /// One version of the operator's configuration, whole.
    #[derive(Default)]
    pub struct SiteConfig {
        /// Grows with every accepted change, in uneven steps.
        pub version: u64,
        /// The routes.
        pub routes: Vec<Route>,
        /// The services by name.
        pub services: BTreeMap<Name, ServiceSpec>,
        /// The callers' limits.
        pub limits: CallerLimits,
        /// The workspaces; where there is none, no request needs a key.
        pub workspaces: Vec<SiteWorkspace>,
    }
}

value_type! {
    /// One life of a backend server, as it says of itself.
    pub struct ServerRecord {
        /// Its identifier, which may come back with another `born`.
        pub id: Name,
        /// Its service.
        pub service: Name,
        /// Where it takes requests.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Name,
        /// Requests that run there at once.
        pub slots: u32,
        /// Whether it takes work.
        pub phase: ServerPhase,
        /// How much longer it is cold, as of its word.
        pub cold: Duration,
        /// When it started, in milliseconds since 1970: tells its lives apart.
        pub born: u64,
    }

    /// All backend servers at one revision.
    #[derive(Default)]
    pub struct ServerListing {
        /// The servers whose record can be read.
        pub servers: Vec<ServerRecord>,
        /// Where a watch goes on.
        pub revision: Revision,
    }

    /// One change of the list of backend servers.
    pub enum ServerChange {
        /// The server is there, or has changed.
        Put(ServerRecord),
        /// The identifier names no usable server any more.
        Gone(Name),
    }

    /// Changes in their order.
    pub struct ServerChanges {
        /// The changes; empty where the wait ended first.
        pub changes: Vec<ServerChange>,
        /// Where the next watch goes on.
        pub revision: Revision,
    }

    /// Where a process of the system is reached by the others.
    pub struct PeerRecord {
        /// The host's name.
        pub name: Name,
        /// Where it takes datagrams and connections of other processes.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: Name,
        /// Whether it takes callers.
        pub entry: bool,
    }
}

/// What can go wrong with a question to the directory.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum DirectoryError {
    /// The history from the given revision on is gone, or the store has gone back to an older copy of itself.
    #[error("the history is gone; list again")]
    HistoryGone,
    /// The directory did not take the call.
    #[error("the directory refused the call ({0}); try again later")]
    Refused(String),
    /// No answer came.
    #[error("no answer of the directory ({0}); try again over another connection")]
    Lost(String),
    /// The answer cannot be read.
    #[error("the directory's answer cannot be read ({0}); check the versions on both sides")]
    Malformed(String),
}

/// The result of a question to the directory.
pub type Result<T> = std::result::Result<T, DirectoryError>;

/// Where the deployment's configuration and its backend servers are read.
#[async_trait]
pub trait Directory: Send + Sync {
    /// The newest configuration, and where a watch on it goes on; `None` where there is none yet.
    async fn config(&self) -> Result<(Option<Arc<SiteConfig>>, Revision)>;

    /// Waits for a configuration after `after`; `None` where none came within `wait`.
    async fn next_config(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<(Option<Arc<SiteConfig>>, Revision)>;

    /// All backend servers.
    async fn servers(&self) -> Result<ServerListing>;

    /// Waits for changes after `after`.
    async fn next_servers(&self, after: Revision, wait: Duration) -> Result<ServerChanges>;

    /// The evacuated availability zones.
    async fn evacuations(&self) -> Result<EvacuatedZones>;

    /// Waits until the zones differ from those `known`, and returns all; `known` itself where none came within `wait`.
    async fn next_evacuations(
        &self,
        known: &EvacuatedZones,
        wait: Duration,
    ) -> Result<EvacuatedZones>;

    /// Writes where this process is reached.
    async fn register(&self, peer: &PeerRecord) -> Result<()>;

    /// Where all processes are reached, as far as they have written it; may be seconds old.
    async fn peers(&self) -> Result<Vec<PeerRecord>>;
}
