//! The words in which routing is asked and answered: servers, requests, ends, settings.

use std::time::Duration;

use crate::ejection::EjectionSettings;
use crate::ids::Name;
use crate::retry_budget::RetrySettings;
use crate::value_type;
use crate::zone_cost::CostSettings;

slotmap::new_key_type! {
    /// A server behind one router. Stable while the server is a member.
    pub struct ServerKey;
}

value_type! {
    /// Whether a server may be given new work.
    #[derive(Copy)]
    pub enum ServerState {
        /// It takes new work.
        Ready,
        /// It ends what it has, and takes no new work.
        Draining,
        /// It is no longer there.
        Gone,
    }

    /// A server as the membership view has it.
    pub struct ServerView {
        /// The server's name, unique among all services.
        pub name: Name,
        /// The service that it is part of.
        pub service: Name,
        /// Its region.
        pub region: Name,
        /// Its availability zone.
        pub zone: Name,
        /// The models and adapters in place; empty for a plain service.
        pub models: Vec<Name>,
        /// Whether it takes new work.
        pub state: ServerState,
    }

    /// How a request that was handed to a server ended.
    #[derive(Copy)]
    pub enum AttemptResult {
        /// It ran to its end.
        Ok,
        /// The server refused it before it ran.
        Refused,
        /// It ran and failed, by the server's own word.
        Failed,
        /// The server could not be reached, or was lost with the request on it.
        Lost,
        /// The caller went away. Says nothing of the server.
        Cancelled,
    }

    /// What is known at the end of a request that was handed to a server.
    #[derive(Copy)]
    pub struct AttemptEnd {
        /// How it ended.
        pub result: AttemptResult,
        /// From the hand-over to the end.
        pub duration: Duration,
        /// Tokens delivered; zero for a plain call.
        pub tokens: u32,
        /// Bytes carried both ways.
        pub bytes: u64,
        /// Whether [`Router::first_token`](crate::router::Router::first_token) was told of it.
        pub first_token: bool,
    }

    /// Why a server is or is not a candidate.
    #[derive(Copy)]
    pub enum Standing {
        /// It may be chosen.
        Usable,
        /// It takes no new work.
        Draining,
        /// It is far slower than its peers, or fails more often.
        Ejected,
        /// Lately it could not be reached.
        Unreachable,
        /// The request has been there already.
        Tried,
        /// The link to its region has used up its byte budget.
        OverBudget,
        /// It is not in the subset that this entry sends to.
        OutsideSubset,
    }

    /// One server as weighed for a request. Times in microseconds.
    pub struct Candidate {
        /// The server's name.
        pub name: Name,
        /// Its region.
        pub region: Name,
        /// Its availability zone.
        pub zone: Name,
        /// Whether it may be chosen.
        pub standing: Standing,
        /// The wait before a request starts there, as estimated.
        pub wait: u64,
        /// The slowing by the requests that run there beside it.
        pub crowding: u64,
        /// The cost of the way there.
        pub distance: u64,
        /// The time saved by a prefix that the server holds.
        pub saved: u64,
        /// The sum by which servers are compared; less is better.
        pub score: u64,
    }
}

/// A request that needs a server.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// The service.
    pub service: &'a Name,
    /// The model or adapter; empty for a plain service.
    pub model: &'a Name,
    /// The workspace.
    pub workspace: &'a Name,
    /// The digest of the prompt's head; zero for none.
    pub prefix: u64,
    /// Tokens that the request is expected to hold at its end.
    pub expected_tokens: u32,
    /// The hash of the key of a keyed call: one key keeps to one server while that lives.
    pub affinity: Option<u64>,
    /// The servers that the request has been to.
    pub tried: &'a [ServerKey],
}

impl AttemptEnd {
    /// An end of the given kind, with no tokens and no bytes.
    pub fn new(result: AttemptResult, duration: Duration) -> Self {
        AttemptEnd {
            result,
            duration,
            tokens: 0,
            bytes: 0,
            first_token: false,
        }
    }

    /// The same end with `tokens` delivered.
    pub fn with_tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// The same end with `bytes` carried.
    pub fn with_bytes(mut self, bytes: u64) -> Self {
        self.bytes = bytes;
        self
    }

    /// The same end, of a request whose first token had come.
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
    pub(crate) subset: usize,
    pub(crate) remote_subset: usize,
    pub(crate) choices: usize,
    pub(crate) prefix_worth: Duration,
    pub(crate) seed: u64,
    pub(crate) cost: CostSettings,
    pub(crate) ejection: EjectionSettings,
    pub(crate) retry: RetrySettings,
}

/// Servers of the own region for each model that an entry sends to. At the target, 1,000 replicas of
/// 23 models in 4 regions, a region has about 11 for a model, so that most subsets are whole; a model
/// with 250 replicas in a region is spread over 92 entries, about 9 to a server.
pub const SUBSET: usize = 24;

/// Servers of each other region that an entry may send to: enough to go on when some of them leave.
pub const REMOTE_SUBSET: usize = 6;

/// Servers that are sampled for each choice. See docs/design/routing.md for the comparison.
pub const CHOICES: usize = 3;

/// The time that a cached prefix saves, until the settings give a measured one: about the reading of
/// 1,000 tokens.
pub const PREFIX_WORTH: Duration = Duration::from_millis(80);

impl RouterSettings {
    /// The defaults, for the entry of the given name in the given region and availability zone.
    pub fn new(entry: Name, region: Name, zone: Name) -> Self {
        RouterSettings {
            entry,
            region,
            zone,
            subset: SUBSET,
            remote_subset: REMOTE_SUBSET,
            choices: CHOICES,
            prefix_worth: PREFIX_WORTH,
            seed: 0,
            cost: CostSettings::new(),
            ejection: EjectionSettings::new(),
            retry: RetrySettings::new(),
        }
    }

    /// Servers of the own region to send to, 1 to 1,000.
    pub fn with_subset(mut self, servers: usize) -> Self {
        self.subset = servers.clamp(1, 1_000);
        self
    }

    /// Servers of each other region to send to, 0 to 100.
    pub fn with_remote_subset(mut self, servers: usize) -> Self {
        self.remote_subset = servers.min(100);
        self
    }

    /// Servers sampled for each choice, 1 to 64.
    pub fn with_sample_size(mut self, servers: usize) -> Self {
        self.choices = servers.clamp(1, 64);
        self
    }

    /// The time that a cached prefix saves.
    pub fn with_prefix_worth(mut self, worth: Duration) -> Self {
        self.prefix_worth = worth;
        self
    }

    /// The seed of the pauses before retries.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The cost of the way to other zones and regions.
    pub fn with_cost(mut self, cost: CostSettings) -> Self {
        self.cost = cost;
        self
    }

    /// When a slow or failing server is left out.
    pub fn with_ejection(mut self, ejection: EjectionSettings) -> Self {
        self.ejection = ejection;
        self
    }

    /// The retry budget of each service.
    pub fn with_retry(mut self, retry: RetrySettings) -> Self {
        self.retry = retry;
        self
    }
}
