//! Changes of the configuration, as lists of typed edits.
//!
//! An edit contains only the fields that it sets. Reapplied to a version that another operator has
//! committed, it preserves the other fields that were set there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::config::Config;
use crate::config::EngineRole;
use crate::config::Fencing;
use crate::config::KeyConfig;
use crate::config::Keyless;
use crate::config::Objective;
use crate::config::OperatorConfig;
use crate::config::PlacementConfig;
use crate::config::Rights;
use crate::config::Route;
use crate::config::ServiceConfig;
use crate::config::ServiceKind;
use crate::config::WorkspaceConfig;
use crate::config_check::Fault;
use crate::ids::Name;
use crate::secrets::KeyDigest;
use crate::value_type;

value_type! {
    /// The operation of an edit on an object of type `T` with settable fields `F`.
    pub enum Action<T, F> {
        /// Creates the object; it must not exist.
        Create(T),
        /// Sets fields of the object; it must exist.
        Set(Vec<F>),
        /// Deletes the object; it must exist.
        Delete,
    }

    /// An edit of one object.
    pub enum Edit {
        /// Edits a service.
        Service(Name, Action<ServiceConfig, ServiceField>),
        /// Edits a workspace.
        Workspace(Name, Action<WorkspaceConfig, WorkspaceField>),
        /// Edits a key.
        Key(KeyDigest, Action<KeyConfig, KeyField>),
        /// Edits an operator.
        Operator(Name, Action<OperatorConfig, OperatorField>),
        /// Edits the placement of a host.
        Placement(Name, Action<PlacementConfig, PlacementField>),
        /// Marks the backend server of a host as draining. Idempotent.
        Drain(Name),
        /// Reverses [`Edit::Drain`]. Idempotent.
        Undrain(Name),
    }

    /// A new value for a field of a service.
    pub enum ServiceField {
        /// The models; only for a service of model engines.
        Models(BTreeSet<Name>),
        /// The idempotent routes; only for a plain service.
        Idempotent(BTreeSet<Route>),
        /// The latency that its agents optimize.
        Objective(Objective),
        /// The longest expected queueing time, in milliseconds.
        MaxWait(u64),
        /// The retries allowed per 100 successful requests.
        RetryPercent(u32),
        /// The retries allowed in a burst.
        RetryBurst(u32),
        /// The most attempts per request.
        MaxAttempts(u32),
        /// How non-idempotent requests without an idempotency key are treated.
        Keyless(Keyless),
        /// How long idempotency keys are remembered, in seconds.
        KeyWindow(u64),
        /// Whether its engines check fencing tokens.
        Fencing(Fencing),
    }

    /// A new value for a field of a workspace.
    pub enum WorkspaceField {
        /// The share.
        Share(u32),
        /// The most concurrent requests on one backend server.
        MaxRunning(u32),
        /// The most queued requests at one agent.
        MaxQueued(u32),
        /// The rate limit, in requests per second.
        Rate(u32),
        /// The requests allowed in a burst above the rate.
        Burst(u32),
        /// The most open requests of one caller.
        MaxCaller(u32),
        /// The services that it may use.
        Services(BTreeSet<Name>),
    }

    /// A new value for a field of a key.
    pub enum KeyField {
        /// The label.
        Label(Name),
    }

    /// A new value for a field of an operator.
    pub enum OperatorField {
        /// The token's digest.
        Token(KeyDigest),
        /// The access level.
        Rights(Rights),
    }

    /// A new value for a field of a placement.
    pub enum PlacementField {
        /// The models.
        Models(BTreeSet<Name>),
        /// The adapters.
        Adapters(BTreeSet<Name>),
        /// The role.
        Role(EngineRole),
    }

    /// Edits that are applied in order and take effect atomically.
    #[derive(Default)]
    pub struct Change {
        /// The edits.
        pub edits: Vec<Edit>,
    }
}

impl Change {
    /// Creates a change from its edits.
    pub fn new(edits: Vec<Edit>) -> Self {
        Change { edits }
    }

    /// Applies the edits to a configuration, or returns all edits that do not apply. The result is not
    /// validated yet.
    pub fn apply(&self, config: &Config) -> Result<Config, Vec<Fault>> {
        let mut config = config.clone();
        let mut faults = Vec::new();
        for edit in &self.edits {
            if let Err(fault) = edit.apply(&mut config) {
                faults.push(fault);
            }
        }
        if faults.is_empty() {
            Ok(config)
        } else {
            Err(faults)
        }
    }
}

impl Edit {
    fn apply(&self, config: &mut Config) -> Result<(), Fault> {
        match self {
            Edit::Service(name, action) => {
                let object = format!("service '{name}'");
                apply_action(
                    &mut config.services,
                    name,
                    action,
                    object,
                    ServiceField::set,
                )
            }
            Edit::Workspace(name, action) => {
                let object = format!("workspace '{name}'");
                apply_action(
                    &mut config.workspaces,
                    name,
                    action,
                    object,
                    WorkspaceField::set,
                )
            }
            Edit::Key(digest, action) => {
                let object = format!("key '{}'", digest.short());
                apply_action(&mut config.keys, digest, action, object, KeyField::set)
            }
            Edit::Operator(name, action) => {
                let object = format!("operator '{name}'");
                apply_action(
                    &mut config.operators,
                    name,
                    action,
                    object,
                    OperatorField::set,
                )
            }
            Edit::Placement(host, action) => {
                let object = format!("placement '{host}'");
                apply_action(
                    &mut config.placements,
                    host,
                    action,
                    object,
                    PlacementField::set,
                )
            }
            Edit::Drain(host) => {
                config.drains.insert(host.clone());
                Ok(())
            }
            Edit::Undrain(host) => {
                config.drains.remove(host);
                Ok(())
            }
        }
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Edit::Service(name, action) => write!(f, "{} service {name}", action.verb()),
            Edit::Workspace(name, action) => write!(f, "{} workspace {name}", action.verb()),
            Edit::Key(digest, action) => write!(f, "{} key {}", action.verb(), digest.short()),
            Edit::Operator(name, action) => write!(f, "{} operator {name}", action.verb()),
            Edit::Placement(host, action) => write!(f, "{} placement {host}", action.verb()),
            Edit::Drain(host) => write!(f, "drain {host}"),
            Edit::Undrain(host) => write!(f, "undrain {host}"),
        }
    }
}

impl<T, F> Action<T, F> {
    fn verb(&self) -> &'static str {
        match self {
            Action::Create(_) => "create",
            Action::Set(_) => "set",
            Action::Delete => "delete",
        }
    }
}

fn apply_action<K: Clone + Ord, T: Clone, F>(
    map: &mut BTreeMap<K, T>,
    key: &K,
    action: &Action<T, F>,
    object: String,
    set: impl Fn(&F, &mut T) -> Result<(), &'static str>,
) -> Result<(), Fault> {
    match (action, map.get_mut(key)) {
        (Action::Create(_), Some(_)) => Err(fault(object, "it already exists", "use set")),
        (Action::Create(value), None) => {
            map.insert(key.clone(), value.clone());
            Ok(())
        }
        (_, None) => {
            let remedy = "check the name with show, or create it";
            Err(fault(object, "it does not exist", remedy))
        }
        (Action::Delete, Some(_)) => {
            map.remove(key);
            Ok(())
        }
        (Action::Set(fields), Some(value)) => fields
            .iter()
            .try_for_each(|f| set(f, value))
            .map_err(|problem| fault(object, problem, "see `help create service`")),
    }
}

fn fault(object: String, problem: &str, remedy: &str) -> Fault {
    Fault {
        object,
        field: "name",
        problem: problem.to_owned(),
        remedy: remedy.to_owned(),
    }
}

impl ServiceField {
    /// Sets the field. Models and routes each apply to only one kind of service.
    pub fn set(&self, service: &mut ServiceConfig) -> Result<(), &'static str> {
        match self {
            ServiceField::Models(new) => match &mut service.kind {
                ServiceKind::Model { models } => *models = new.clone(),
                ServiceKind::Plain { .. } => return Err("a plain service has no models"),
            },
            ServiceField::Idempotent(new) => match &mut service.kind {
                ServiceKind::Plain { idempotent } => *idempotent = new.clone(),
                ServiceKind::Model { .. } => return Err("generations have no idempotent calls"),
            },
            ServiceField::Objective(new) => service.objective = *new,
            ServiceField::MaxWait(new) => service.max_wait = *new,
            ServiceField::RetryPercent(new) => service.retry_percent = *new,
            ServiceField::RetryBurst(new) => service.retry_burst = *new,
            ServiceField::MaxAttempts(new) => service.max_attempts = *new,
            ServiceField::Keyless(new) => service.keyless = *new,
            ServiceField::KeyWindow(new) => service.key_window = *new,
            ServiceField::Fencing(new) => service.fencing = *new,
        }
        Ok(())
    }
}

impl WorkspaceField {
    /// Sets the field.
    pub fn set(&self, workspace: &mut WorkspaceConfig) -> Result<(), &'static str> {
        match self {
            WorkspaceField::Share(new) => workspace.share = *new,
            WorkspaceField::MaxRunning(new) => workspace.max_running = *new,
            WorkspaceField::MaxQueued(new) => workspace.max_queued = *new,
            WorkspaceField::Rate(new) => workspace.rate = *new,
            WorkspaceField::Burst(new) => workspace.burst = *new,
            WorkspaceField::MaxCaller(new) => workspace.max_caller = *new,
            WorkspaceField::Services(new) => workspace.services = new.clone(),
        }
        Ok(())
    }
}

impl KeyField {
    /// Sets the field.
    pub fn set(&self, key: &mut KeyConfig) -> Result<(), &'static str> {
        let KeyField::Label(new) = self;
        key.label = new.clone();
        Ok(())
    }
}

impl OperatorField {
    /// Sets the field.
    pub fn set(&self, operator: &mut OperatorConfig) -> Result<(), &'static str> {
        match self {
            OperatorField::Token(new) => operator.token = *new,
            OperatorField::Rights(new) => operator.rights = *new,
        }
        Ok(())
    }
}

impl PlacementField {
    /// Sets the field.
    pub fn set(&self, placement: &mut PlacementConfig) -> Result<(), &'static str> {
        match self {
            PlacementField::Models(new) => placement.models = new.clone(),
            PlacementField::Adapters(new) => placement.adapters = new.clone(),
            PlacementField::Role(new) => placement.role = *new,
        }
        Ok(())
    }
}
