//! The cluster-wide configuration, which operators edit and every process applies.
//!
//! It is versioned as a unit. A process holds one version and replaces it atomically by a newer one;
//! it never combines objects of two versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::copy_type;
use crate::ids::Name;
use crate::secrets::KeyDigest;
use crate::secrets::Secret;
use crate::value_type;

copy_type! {
    /// The latency that the agents of a service optimize when they size batches.
    #[derive(Default)]
    pub enum Objective {
        /// The longest time in which a stream makes no progress.
        #[default]
        Stall,
        /// The gap between two tokens of a stream.
        Gap,
    }

    /// How a service treats non-idempotent requests without an idempotency key.
    #[derive(Default)]
    pub enum Keyless {
        /// The request runs at most once; the response may report that its outcome is unknown.
        #[default]
        Accept,
        /// The request is rejected; the caller must send a key.
        Refuse,
    }

    /// Whether the engines of a service check fencing tokens.
    #[derive(Default)]
    pub enum Fencing {
        /// Engines reject an order with an outdated fencing token.
        Checked,
        /// Engines do not check fencing tokens, so agents wait until old leases expire. This is the
        /// safe assumption, hence the default.
        #[default]
        Ignored,
    }

    /// The access level of an operator.
    pub enum Rights {
        /// Read only.
        Read,
        /// Read and write.
        Full,
    }

    /// The phases of a generation that an engine runs.
    #[derive(Default)]
    pub enum EngineRole {
        /// Both prefill and decode.
        #[default]
        Mixed,
        /// Prefill: processing of prompts.
        Prefill,
        /// Decode: generation of tokens.
        Decode,
    }
}

value_type! {
    /// One version of the configuration.
    #[derive(Default)]
    pub struct Config {
        /// The services by name.
        pub services: BTreeMap<Name, ServiceConfig>,
        /// The workspaces by name.
        pub workspaces: BTreeMap<Name, WorkspaceConfig>,
        /// The bearer keys by digest.
        pub keys: BTreeMap<KeyDigest, KeyConfig>,
        /// The operators by name.
        pub operators: BTreeMap<Name, OperatorConfig>,
        /// The desired contents of engines, by the host of their agent.
        pub placements: BTreeMap<Name, PlacementConfig>,
        /// The hosts whose backend servers are draining.
        pub drains: BTreeSet<Name>,
    }

    /// The settings of a service.
    pub struct ServiceConfig {
        /// The kind of service.
        pub kind: ServiceKind,
        /// The latency that its agents optimize.
        pub objective: Objective,
        /// The longest expected queueing time, in milliseconds; a request that is expected to wait
        /// longer is rejected. Not zero.
        pub max_wait: u64,
        /// The retries allowed per 100 successful requests. At most 100.
        pub retry_percent: u32,
        /// The retries allowed in a burst.
        pub retry_burst: u32,
        /// The most attempts per request, including the first. Not zero.
        pub max_attempts: u32,
        /// How non-idempotent requests without an idempotency key are treated.
        pub keyless: Keyless,
        /// How long an idempotency key is remembered, in seconds. Not zero.
        pub key_window: u64,
        /// Whether its engines check fencing tokens.
        pub fencing: Fencing,
    }

    /// The kind of a service, with the settings specific to it.
    pub enum ServiceKind {
        /// A service of model engines.
        Model {
            /// The models that callers may request. Not empty.
            models: BTreeSet<Name>,
        },
        /// A service of plain HTTP calls.
        Plain {
            /// The idempotent routes, in addition to GET, HEAD and OPTIONS requests.
            idempotent: BTreeSet<Route>,
        },
    }

    /// A method and path prefix that select requests to a plain service.
    #[derive(Ord, PartialOrd)]
    pub struct Route {
        /// The method, in upper case.
        pub method: Name,
        /// The prefix of the path; starts with a slash.
        pub prefix: Name,
    }

    /// The limits and permissions of a workspace.
    pub struct WorkspaceConfig {
        /// Its weight relative to other workspaces when an engine is contended. Not zero.
        pub share: u32,
        /// The most concurrent requests on one backend server; zero for no limit.
        pub max_running: u32,
        /// The most queued requests at one agent. Not zero.
        pub max_queued: u32,
        /// The rate limit, in requests per second; zero for no limit.
        pub rate: u32,
        /// The requests that it may send in a burst above the rate. Not zero if there is a rate limit.
        pub burst: u32,
        /// The most open requests of one caller; zero for no limit.
        pub max_caller: u32,
        /// The services that it may use; empty for all.
        pub services: BTreeSet<Name>,
    }

    /// The owner and label of a bearer key.
    pub struct KeyConfig {
        /// The workspace that the key belongs to.
        pub workspace: Name,
        /// The label by which operators refer to the key; unique within the workspace.
        pub label: Name,
    }

    /// The credentials and access level of an operator.
    pub struct OperatorConfig {
        /// The digest of the token that authenticates the operator.
        pub token: KeyDigest,
        /// The access level.
        pub rights: Rights,
    }

    /// The desired contents of one engine.
    #[derive(Default)]
    pub struct PlacementConfig {
        /// The models, with or without a version.
        pub models: BTreeSet<Name>,
        /// The adapters.
        pub adapters: BTreeSet<Name>,
        /// The role.
        pub role: EngineRole,
    }
}

impl ServiceConfig {
    /// Creates a service of model engines with default settings.
    pub fn with_models(models: impl IntoIterator<Item = Name>) -> Self {
        let models = models.into_iter().collect();
        ServiceConfig::new(ServiceKind::Model { models })
    }

    /// Creates a plain service in which only GET, HEAD and OPTIONS requests are idempotent.
    pub fn plain() -> Self {
        ServiceConfig::new(ServiceKind::Plain {
            idempotent: BTreeSet::new(),
        })
    }

    /// Creates a service with the defaults documented in docs/operators.md.
    pub fn new(kind: ServiceKind) -> Self {
        ServiceConfig {
            kind,
            objective: Objective::Stall,
            max_wait: 10_000,
            retry_percent: 10,
            retry_burst: 10,
            max_attempts: 3,
            keyless: Keyless::Accept,
            key_window: 86_400,
            fencing: Fencing::Ignored,
        }
    }

    /// Returns the models; empty for a plain service.
    pub fn models(&self) -> &BTreeSet<Name> {
        static NONE: BTreeSet<Name> = BTreeSet::new();
        match &self.kind {
            ServiceKind::Model { models } => models,
            ServiceKind::Plain { .. } => &NONE,
        }
    }

    /// Whether a request is idempotent. Generations always are, since they have no side effects.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let ServiceKind::Plain { idempotent } = &self.kind else {
            return true;
        };
        let matches =
            |r: &Route| r.method.as_str() == method && prefix_matches(r.prefix.as_str(), path);
        matches!(method, "GET" | "HEAD" | "OPTIONS") || idempotent.iter().any(matches)
    }
}

// Whether a path lies under a prefix. The prefix matches whole segments: `/fonts` does not match
// `/fonts-deposit`, whose requests may have other side effects.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    // With `..` or an escape the path may resolve outside the prefix, so it is treated as not
    // idempotent.
    let may_leave_prefix = rest.contains("..") || rest.contains('%');
    !may_leave_prefix && (rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}

impl Default for WorkspaceConfig {
    fn default() -> Self {
        WorkspaceConfig {
            share: 1,
            max_running: 0,
            max_queued: 1_000,
            rate: 0,
            burst: 0,
            max_caller: 0,
            services: BTreeSet::new(),
        }
    }
}

impl WorkspaceConfig {
    /// Whether requests of the workspace may use the service.
    pub fn allows(&self, service: &Name) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

impl Config {
    /// Returns the workspace of a bearer key.
    pub fn workspace_of(&self, secret: &Secret) -> Option<&Name> {
        // A lookup by digest leaks nothing through its timing: a caller cannot choose the digest.
        let key = self.keys.get(&secret.digest())?;
        Some(&key.workspace)
    }

    /// Returns the access level of an operator, if the token is valid.
    pub fn rights_of(&self, operator: &Name, token: &Secret) -> Option<Rights> {
        let operator = self.operators.get(operator)?;
        operator.token.matches(token).then_some(operator.rights)
    }

    /// Returns the service that offers the model.
    pub fn service_of_model(&self, model: &Name) -> Option<&Name> {
        let offers = |s: &ServiceConfig| s.models().contains(model);
        self.services
            .iter()
            .find(|(_, s)| offers(s))
            .map(|(name, _)| name)
    }
}
