//! Types of the router's interface: servers, requests, the ends of attempts, and settings.

use std::time::Duration;

use crate::ejection::EjectionSettings;
use crate::ids::Name;
use crate::retry_budget::RetrySettings;
use crate::value_type;
use crate::zone_cost::CostSettings;

slotmap::new_key_type! {
    /// Identifies a server within one router. Stable while the server is listed.
    pub struct ServerKey;
}

value_type! {
    /// Whether a server may be given new work.
    #[derive(Copy)]
    pub enum ServerState {
        /// It accepts new work.
        Ready,
        /// It finishes its current work and accepts no new work.
        Draining,
        /// It has left.
        Gone,
    }

    /// A server as listed in the membership view.
    pub struct ServerView {
        /// The server's name, unique among all services.
        pub name: Name,
        /// The service that it belongs to.
        pub service: Name,
        /// Its region.
        pub region: Name,
        /// Its availability zone.
        pub zone: Name,
        /// The models and adapters loaded on it; empty for a plain service.
        pub models: Vec<Name>,
        /// Whether it accepts new work.
        pub state: ServerState,
    }

    /// How an attempt at a server ended.
    #[derive(Copy)]
    pub enum AttemptResult {
        /// It completed.
        Ok,
        /// The server rejected it before running it.
        Refused,
        /// It ran, and the server reported a failure.
        Failed,
        /// The server could not be reached, or was lost while running the request.
        Lost,
        /// The caller disconnected. Says nothing about the server.
        Cancelled,
    }

    /// The end of an attempt at a server.
    #[derive(Copy)]
    pub struct AttemptEnd {
        /// The result.
        pub result: AttemptResult,
        /// The time from dispatch to the end.
        pub duration: Duration,
        /// The number of tokens delivered; zero for a plain call.
        pub tokens: u32,
        /// The number of bytes transferred in both directions.
        pub bytes: u64,
        /// Whether [`Router::first_token`](crate::router::Router::first_token) was called for it.
        pub first_token: bool,
    }

    /// Whether a server may be chosen for a request, and if not, why.
    #[derive(Copy)]
    pub enum Eligibility {
        /// It may be chosen.
        Usable,
        /// It accepts no new work.
        Draining,
        /// It is ejected as an outlier: far slower than its peers, or failing more often.
        Ejected,
        /// It, or its region, was recently unreachable.
        Unreachable,
        /// An earlier attempt of the request went to it.
        Tried,
        /// The byte budget of the link to its region is used up.
        OverBudget,
        /// It is not in the subset of servers that this entry sends to.
        OutsideSubset,
    }

    /// The evaluation of one server for a request. Times are in microseconds.
    pub struct Candidate {
        /// The server's name.
        pub name: Name,
        /// Its region.
        pub region: Name,
        /// Its availability zone.
        pub zone: Name,
        /// Whether it may be chosen, and if not, why.
        pub eligibility: Eligibility,
        /// The estimated wait before a request starts.
        pub wait: u64,
        /// The estimated slowdown by other requests that run at the same time.
        pub contention: u64,
        /// The cost of the network path to its zone or region.
        pub network_cost: u64,
        /// The time saved by a prefix in the server's cache.
        pub prefix_saving: u64,
        /// The total cost by which servers are compared; lower is better.
        pub score: u64,
    }
}

/// A request to be routed to a server.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// The service.
    pub service: &'a Name,
    /// The model or adapter; empty for a plain service.
    pub model: &'a Name,
    /// The workspace.
    pub workspace: &'a Name,
    /// The digest of the prompt's prefix; zero if there is none.
    pub prefix: u64,
    /// The number of tokens that the request is expected to hold at its end.
    pub expected_tokens: u32,
    /// The hash of a keyed call's key: calls with the same hash go to the same server while it is
    /// ready.
    pub affinity: Option<u64>,
    /// The servers of earlier attempts.
    pub tried: &'a [ServerKey],
}

impl AttemptEnd {
    /// Creates an end with the given result, and with no tokens and no bytes.
    pub fn new(result: AttemptResult, duration: Duration) -> Self {
        AttemptEnd {
            result,
            duration,
            tokens: 0,
            bytes: 0,
            first_token: false,
        }
    }

    /// Sets the number of tokens delivered.
    pub fn with_tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets the number of bytes transferred.
    pub fn with_bytes(mut self, bytes: u64) -> Self {
        self.bytes = bytes;
        self
    }

    /// Marks the first token as received.
    pub fn with_first_token(mut self) -> Self {
        self.first_token = true;
        self
    }
}

/// Settings of a [`Router`](crate::router::Router).
#[derive(Clone, Debug)]
pub struct RouterSettings {
    pub(crate) entry: Name,
    pub(crate) region: Name,
    pub(crate) zone: Name,
    pub(crate) local_subset: usize,
    pub(crate) remote_subset: usize,
    pub(crate) sample_size: usize,
    pub(crate) prefix_saving: Duration,
    pub(crate) seed: u64,
    pub(crate) cost: CostSettings,
    pub(crate) ejection: EjectionSettings,
    pub(crate) retry: RetrySettings,
}

/// Default number of local servers that an entry sends to for each model. At the target of 1,000
/// replicas of 23 models in 4 regions, a region has about 11 replicas of a model, so most subsets
/// contain all of them. A model with 250 replicas in a region is spread over 92 entries, with about
/// 9 entries for each server.
pub const LOCAL_SUBSET: usize = 24;

/// Default number of servers in each other region that an entry may send to, sufficient if some of
/// them leave.
pub const REMOTE_SUBSET: usize = 6;

/// Default number of local servers sampled for each request. See docs/design/routing.md for a
/// comparison of values.
pub const SAMPLE_SIZE: usize = 3;

/// Default time saved by a cached prefix, until the settings provide a measured one: about the
/// prefill of 1,000 tokens.
pub const PREFIX_SAVING: Duration = Duration::from_millis(80);

impl RouterSettings {
    /// Creates the default settings for an entry in the given region and availability zone.
    pub fn new(entry: Name, region: Name, zone: Name) -> Self {
        RouterSettings {
            entry,
            region,
            zone,
            local_subset: LOCAL_SUBSET,
            remote_subset: REMOTE_SUBSET,
            sample_size: SAMPLE_SIZE,
            prefix_saving: PREFIX_SAVING,
            seed: 0,
            cost: CostSettings::new(),
            ejection: EjectionSettings::new(),
            retry: RetrySettings::new(),
        }
    }

    /// Sets the number of local servers to send to for each model, clamped to 1 to 1,000.
    pub fn with_local_subset(mut self, servers: usize) -> Self {
        self.local_subset = servers.clamp(1, 1_000);
        self
    }

    /// Sets the number of servers of each other region to send to, at most 100.
    pub fn with_remote_subset(mut self, servers: usize) -> Self {
        self.remote_subset = servers.min(100);
        self
    }

    /// Sets the number of local servers sampled for each request, clamped to 1 to 64.
    pub fn with_sample_size(mut self, servers: usize) -> Self {
        self.sample_size = servers.clamp(1, 64);
        self
    }

    /// Sets the time saved by a cached prefix.
    pub fn with_prefix_saving(mut self, saving: Duration) -> Self {
        self.prefix_saving = saving;
        self
    }

    /// Sets the random seed for the pauses before retries.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the costs of traffic to other zones and regions.
    pub fn with_cost(mut self, cost: CostSettings) -> Self {
        self.cost = cost;
        self
    }

    /// Sets when a slow or failing server is ejected.
    pub fn with_ejection(mut self, ejection: EjectionSettings) -> Self {
        self.ejection = ejection;
        self
    }

    /// Sets the retry budget of each service.
    pub fn with_retry(mut self, retry: RetrySettings) -> Self {
        self.retry = retry;
        self
    }
}
