//! Configuration of a deployment, and its directory: routes, limits, workspaces and backend servers.
//!
//! The platform adapter decodes these types from the platform's own format; all other modules use only these types.

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
    /// Which of a route's requests may be sent again.
    pub enum CallKind {
        /// May be executed any number of times.
        Idempotent,
        /// Executed at most once per attempt of the caller.
        NonIdempotent,
        /// Answered by an event stream. Executed at most once, unless the route allows streams to be resumed.
        Streaming,
    }

    /// Lifecycle phase announced by a backend server.
    pub enum ServerPhase {
        /// Accepts requests.
        Ready,
        /// About to shut down; accepts no new requests.
        Draining,
    }
}

value_type! {
    /// A weighted destination of a route.
    pub struct Share {
        /// Service that receives this share of the requests.
        pub service: Name,
        /// Relative weight among the route's shares.
        pub weight: u32,
    }

    /// A rule that routes requests to services.
    pub struct Route {
        /// Name of the route.
        pub name: Name,
        /// Host that requests must name, in lower case and without a port.
        pub host: Name,
        /// Path prefix, starting and ending with a slash.
        pub prefix: Name,
        /// Which requests may be sent again.
        pub kind: CallKind,
        /// Maximum time that a request may take.
        pub timeout: Duration,
        /// Latency objective for the answer, or for the first event of a stream.
        pub objective: Duration,
        /// Objective for the gap between events: the longest that callers do not notice. Zero if the route has none.
        pub event_gap: Duration,
        /// Priority among routes: 0 is the most urgent.
        pub priority: u32,
        /// Destinations; never empty.
        pub shares: Vec<Share>,
        /// Maximum number of backend servers that one request may be sent to; at least 1.
        pub max_attempts: u32,
        /// Whether a stream may be resumed in another run, after the last event that its caller received.
        pub resumable: bool,
        /// Whether requests are accepted without an API key.
        pub anonymous: bool,
        /// Regions in which requests may be served.
        pub regions: AllowedRegions,
    }

    /// A workspace and its API keys.
    pub struct SiteWorkspace {
        /// Name of the workspace.
        pub name: Name,
        /// API keys of its callers.
        pub keys: Vec<Name>,
        /// Priority that overrides the route's.
        pub priority: Option<u32>,
        /// Regions in which its requests may be served. The route's restriction applies as well.
        pub regions: AllowedRegions,
    }

    /// Limits on callers' connections and requests.
    pub struct CallerLimits {
        /// Maximum size of a request head, in bytes.
        pub max_header_bytes: usize,
        /// Maximum size of a request body, in bytes.
        pub max_body_bytes: usize,
        /// Maximum time to receive a request head.
        pub header_timeout: Duration,
        /// Maximum idle time of a connection.
        pub idle_timeout: Duration,
    }
}

impl Default for CallerLimits {
    /// The limits in force until a configuration is loaded.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

figure_type! {
    /// Properties shared by the engines of a service.
    pub struct EngineSpec {
        /// Number of requests that one engine runs concurrently.
        pub slots: u32,
        /// KV memory of one engine, in tokens.
        pub capacity: u64,
        /// KV memory per token, in bytes.
        pub bytes_per_token: u64,
        /// Bandwidth of copies between engines, in megabits per second.
        pub link_mbps: f64,
        /// Whether running requests can be moved between engines.
        pub supports_moves: bool,
        /// Whether engines keep backups of other engines' runs.
        pub keeps_backups: bool,
        /// Tokens per stream event.
        pub tokens_per_event: u32,
    }

    /// Configuration of a service.
    pub struct ServiceSpec {
        /// Path of the health check on a backend server.
        pub health_path: Name,
        /// Maximum number of connections to one backend server, from all hosts together.
        pub max_connections: u32,
        /// Engine properties; `None` for a plain service.
        pub engine: Option<EngineSpec>,
        /// Cold-start limits of its servers.
        pub cold: ColdStart,
    }

    /// One complete version of the operator's configuration.
    #[derive(Default)]
    pub struct SiteConfig {
        /// Version number. Increases with every accepted change, but not necessarily by one.
        pub version: u64,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services by name.
        pub services: BTreeMap<Name, ServiceSpec>,
        /// Limits on callers.
        pub limits: CallerLimits,
        /// Workspaces. If there are none, no request needs a key.
        pub workspaces: Vec<SiteWorkspace>,
    }
}

value_type! {
    /// One incarnation of a backend server, as registered by itself.
    pub struct ServerRecord {
        /// Identifier. A later incarnation may reuse it with another `born`.
        pub id: Name,
        /// Service that it belongs to.
        pub service: Name,
        /// Address at which it accepts requests.
        pub address: SocketAddr,
        /// Availability zone that it runs in.
        pub zone: Name,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Lifecycle phase.
        pub phase: ServerPhase,
        /// Remaining cold time when the record was written.
        pub cold: Duration,
        /// Start time in milliseconds since the Unix epoch. Distinguishes incarnations.
        pub born: u64,
    }

    /// The backend servers at one revision of the directory.
    #[derive(Default)]
    pub struct ServerListing {
        /// Servers whose record could be decoded.
        pub servers: Vec<ServerRecord>,
        /// Revision from which to watch for changes.
        pub revision: Revision,
    }

    /// A change of one backend server's record.
    pub enum ServerChange {
        /// The server was added or changed.
        Put(ServerRecord),
        /// No usable server has this identifier any more.
        Gone(Name),
    }

    /// Changes returned by a watch, in order.
    pub struct ServerChanges {
        /// Changes; empty if the wait timed out.
        pub changes: Vec<ServerChange>,
        /// Revision from which to continue watching.
        pub revision: Revision,
    }

    /// Address and role of one of the system's processes, for its peers.
    pub struct PeerRecord {
        /// Host name.
        pub name: Name,
        /// Address for datagrams and connections from other processes.
        pub address: SocketAddr,
        /// Availability zone that it runs in.
        pub zone: Name,
        /// Whether it is an entry, which serves callers.
        pub entry: bool,
    }
}

/// Error of a directory operation.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum DirectoryError {
    /// The changes since the given revision are no longer available, or the store was restored from an older copy.
    #[error("the change history since this revision is no longer available; list again")]
    HistoryGone,
    /// The directory refused the call.
    #[error("the directory refused the call ({0}); try again later")]
    Refused(String),
    /// The call was not answered.
    #[error("no answer from the directory ({0}); try again over another connection")]
    Lost(String),
    /// The answer could not be decoded.
    #[error("cannot decode the directory's answer ({0}); check the versions on both sides")]
    Malformed(String),
}

/// Result of a directory operation.
pub type Result<T> = std::result::Result<T, DirectoryError>;

/// How long the answer to a watch may take beyond the wait that it asks for. After that its connection counts as silent.
pub const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Client of the directory service, which stores the deployment's configuration and its backend servers.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Returns the latest configuration, or `None` if there is none yet, and the revision from which to watch it.
    async fn config(&self) -> Result<(Option<Arc<SiteConfig>>, Revision)>;

    /// Waits up to `wait` for a configuration later than `after`; `None` on timeout.
    async fn next_config(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<(Option<Arc<SiteConfig>>, Revision)>;

    /// Lists all backend servers.
    async fn servers(&self) -> Result<ServerListing>;

    /// Waits up to `wait` for changes of the backend servers later than `after`.
    async fn next_servers(&self, after: Revision, wait: Duration) -> Result<ServerChanges>;

    /// Returns the evacuated availability zones.
    async fn evacuations(&self) -> Result<EvacuatedZones>;

    /// Waits up to `wait` for the evacuated zones to differ from `known` and returns them; `known` itself on timeout.
    async fn next_evacuations(
        &self,
        known: &EvacuatedZones,
        wait: Duration,
    ) -> Result<EvacuatedZones>;

    /// Registers the address and role of this process. `is_new` tells that it was probably never registered, which
    /// saves a call.
    async fn register(&self, peer: &PeerRecord, is_new: bool) -> Result<()>;

    /// Lists the registered processes. The list may be seconds old.
    async fn peers(&self) -> Result<Vec<PeerRecord>>;
}
