//! The configuration: what operators decide, and every process follows.
//!
//! It is one whole. A process holds one version of it and replaces it by a newer one in one step;
//! objects of two versions never mix.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::copy_type;
use crate::ids::Name;
use crate::secrets::KeyDigest;
use crate::secrets::Secret;
use crate::value_type;

copy_type! {
    /// What callers of a service feel most, and its agents' batches are steered by.
    #[derive(Default)]
    pub enum Objective {
        /// The time without progress.
        #[default]
        Stall,
        /// The gap between two tokens of a stream.
        Gap,
    }

    /// What becomes of a non-idempotent call without an idempotency key.
    #[derive(Default)]
    pub enum Keyless {
        /// It runs at most once, and its caller may be told that the outcome is unknown.
        #[default]
        Accept,
        /// It is refused: the caller must send a key.
        Refuse,
    }

    /// Whether the engines of a service refuse an order that carries an old fencing number.
    #[derive(Default)]
    pub enum Fencing {
        /// They refuse it.
        Checked,
        /// They obey it, so that agents wait out old leases. The safe assumption.
        #[default]
        Ignored,
    }

    /// What an operator may do.
    pub enum Rights {
        /// Ask.
        Read,
        /// Ask and change.
        Full,
    }

    /// The part of a generation's work that an engine takes.
    #[derive(Default)]
    pub enum EngineRole {
        /// Prompts and tokens.
        #[default]
        Mixed,
        /// Prompts.
        Prefill,
        /// Tokens.
        Decode,
    }
}

value_type! {
    /// The configuration.
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
        /// What engines should hold, by the host of their agent.
        pub placements: BTreeMap<Name, PlacementConfig>,
        /// The hosts whose backend servers were told to drain.
        pub drains: BTreeSet<Name>,
    }

    /// A service.
    pub struct ServiceConfig {
        /// What it is.
        pub kind: ServiceKind,
        /// What its callers feel most.
        pub objective: Objective,
        /// Milliseconds that a request may be expected to wait; one that would wait longer is
        /// refused. Not zero.
        pub max_wait: u64,
        /// Retries that may be made for each 100 requests that ended well. At most 100.
        pub retry_percent: u32,
        /// Retries that may be made in a burst.
        pub retry_burst: u32,
        /// Tries for each request, the first one included. Not zero.
        pub max_attempts: u32,
        /// What becomes of a non-idempotent call without a key.
        pub keyless: Keyless,
        /// Seconds for which an idempotency key is remembered. Not zero.
        pub key_window: u64,
        /// Whether its engines check fencing numbers.
        pub fencing: Fencing,
    }

    /// What a service is.
    pub enum ServiceKind {
        /// Model engines.
        Model {
            /// The models that callers may name. Not empty.
            models: BTreeSet<Name>,
        },
        /// A plain service.
        Plain {
            /// The calls that may be repeated, besides GET, HEAD and OPTIONS.
            idempotent: BTreeSet<Route>,
        },
    }

    /// A set of calls of a plain service.
    #[derive(Ord, PartialOrd)]
    pub struct Route {
        /// The method, in upper case.
        pub method: Name,
        /// How the path begins; with a slash.
        pub prefix: Name,
    }

    /// A workspace.
    pub struct WorkspaceConfig {
        /// Its part of a crowded engine in relation to other workspaces' shares. Not zero.
        pub share: u32,
        /// Requests that may run at once on one backend server; zero for no limit.
        pub max_running: u32,
        /// Requests that may wait at one agent. Not zero.
        pub max_queued: u32,
        /// Requests that it may send a second; zero for no limit.
        pub rate: u32,
        /// Requests that it may send at once above the rate. Not zero where there is a rate.
        pub burst: u32,
        /// Requests that one caller may have open at once; zero for no limit.
        pub max_caller: u32,
        /// The services that it may use; empty for every one.
        pub services: BTreeSet<Name>,
    }

    /// A bearer key.
    pub struct KeyConfig {
        /// The workspace to which its holder belongs.
        pub workspace: Name,
        /// What operators call it. Differs from the other labels of the workspace.
        pub label: Name,
    }

    /// An operator.
    pub struct OperatorConfig {
        /// The digest of the token by which the operator proves who it is.
        pub token: KeyDigest,
        /// What the operator may do.
        pub rights: Rights,
    }

    /// What one engine should hold.
    #[derive(Default)]
    pub struct PlacementConfig {
        /// The models and versions.
        pub models: BTreeSet<Name>,
        /// The adapters.
        pub adapters: BTreeSet<Name>,
        /// The role.
        pub role: EngineRole,
    }
}

impl ServiceConfig {
    /// A service of model engines.
    pub fn with_models(models: impl IntoIterator<Item = Name>) -> Self {
        let models = models.into_iter().collect();
        ServiceConfig::new(ServiceKind::Model { models })
    }

    /// A plain service none of whose calls may be repeated but GET, HEAD and OPTIONS.
    pub fn plain() -> Self {
        ServiceConfig::new(ServiceKind::Plain {
            idempotent: BTreeSet::new(),
        })
    }

    /// A service with the defaults that docs/operators.md lists.
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

    /// The models; empty for a plain service.
    pub fn models(&self) -> &BTreeSet<Name> {
        static NONE: BTreeSet<Name> = BTreeSet::new();
        match &self.kind {
            ServiceKind::Model { models } => models,
            ServiceKind::Plain { .. } => &NONE,
        }
    }

    /// Whether a call may be repeated without harm. Generations have no effects of their own.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let ServiceKind::Plain { idempotent } = &self.kind else {
            return true;
        };
        let matches = |r: &Route| r.method.as_str() == method && covers(r.prefix.as_str(), path);
        matches!(method, "GET" | "HEAD" | "OPTIONS") || idempotent.iter().any(matches)
    }
}

// A prefix covers whole segments: `/fonts` does not cover `/fonts-deposit`, whose calls may have
// effects of another kind.
fn covers(prefix: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    // A path that climbs may end anywhere, so that it is taken for one that must not be repeated.
    let climbs = rest.contains("..") || rest.contains('%');
    !climbs && (rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
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
    /// Whether its callers may use the service.
    pub fn allows(&self, service: &Name) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }
}

impl Config {
    /// The workspace to which the holder of a bearer key belongs.
    pub fn workspace_of(&self, secret: &Secret) -> Option<&Name> {
        // The map is searched by digest, which a caller cannot choose; its order gives nothing away.
        let key = self.keys.get(&secret.digest())?;
        Some(&key.workspace)
    }

    /// What the holder of an operator's token may do.
    pub fn rights_of(&self, operator: &Name, token: &Secret) -> Option<Rights> {
        let operator = self.operators.get(operator)?;
        operator.token.matches(token).then_some(operator.rights)
    }

    /// The service of model engines that offers the model.
    pub fn service_of_model(&self, model: &Name) -> Option<&Name> {
        let offers = |s: &ServiceConfig| s.models().contains(model);
        self.services
            .iter()
            .find(|(_, s)| offers(s))
            .map(|(name, _)| name)
    }
}
