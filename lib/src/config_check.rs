//! Validation of a configuration. Reports all faults at once, each with its object, field and remedy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::config::Config;
use crate::config::KeyConfig;
use crate::config::Rights;
use crate::config::Route;
use crate::config::ServiceConfig;
use crate::config::ServiceKind;
use crate::config::WorkspaceConfig;
use crate::ids::Name;

/// The longest name, in bytes. Names are sent with every request and label every metric.
pub const MAX_NAME: usize = 64;
/// The largest number of workspaces. Metrics have one series for each; the target size is 5,100.
pub const MAX_WORKSPACES: usize = 8_192;
/// The upper limit of `max_wait`, in milliseconds. Timeouts of callers are shorter.
pub const MAX_WAIT: u64 = 600_000;
/// The upper limit of attempts per request.
pub const MAX_ATTEMPTS: u32 = 10;
/// The upper limit of `key_window`, in seconds: one week.
pub const MAX_KEY_WINDOW: u64 = 604_800;
/// The largest share of a workspace. The sum of 8,192 such shares is far below the maximum of `u64`.
pub const MAX_SHARE: u32 = 1_000_000;
/// The largest number of entries in one list. Keeps each object far smaller than a chunk.
pub const MAX_LIST: usize = 1_000;

/// A validation error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The kind and name of the object.
    pub object: String,
    /// The invalid field.
    pub field: &'static str,
    /// The reason why it is invalid.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            object,
            field,
            problem,
            remedy,
        } = self;
        write!(f, "{object}, {field}: {problem}; {remedy}")
    }
}

/// Validates a configuration. Returns its faults in the order of its objects; empty if it is valid.
pub fn check(config: &Config) -> Vec<Fault> {
    let mut faults = Faults::default();
    check_services(config, &mut faults);
    check_workspaces(config, &mut faults);
    check_keys(config, &mut faults);
    check_operators(config, &mut faults);
    check_hosts(config, &mut faults);
    faults.list
}

#[derive(Default)]
struct Faults {
    list: Vec<Fault>,
    object: String,
}

impl Faults {
    fn set_object(&mut self, kind: &str, name: impl fmt::Display) {
        self.object = format!("{kind} '{name}'");
    }

    fn add(&mut self, field: &'static str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.list.push(Fault {
            object: self.object.clone(),
            field,
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    fn check_name(&mut self, field: &'static str, name: &Name) {
        let text = name.as_str();
        if text.is_empty() || text.len() > MAX_NAME {
            let problem = format!("the name has {} bytes", text.len());
            self.add(field, problem, format!("give it 1 to {MAX_NAME}"));
        }
        if !text.chars().all(is_name_char) {
            let problem = format!("the name {text:?} has a character that names cannot have");
            self.add(field, problem, "use letters, digits and . _ - / : @");
        }
    }

    fn check_names(&mut self, field: &'static str, names: &BTreeSet<Name>) {
        names.iter().for_each(|n| self.check_name(field, n));
        self.check_length(field, names.len());
    }

    fn check_length(&mut self, field: &'static str, len: usize) {
        if len > MAX_LIST {
            let problem = format!("the list has {len} members");
            self.add(field, problem, format!("give at most {MAX_LIST}"));
        }
    }

    fn check_range(&mut self, field: &'static str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            let problem = format!("{value} is out of range");
            self.add(field, problem, format!("give {min} to {max}"));
        }
    }
}

/// Whether names may contain the character. They are used in paths, headers, metrics and commands.
pub fn is_name_char(c: char) -> bool {
    c.is_alphanumeric() || "._-/:@".contains(c)
}

fn check_services(config: &Config, faults: &mut Faults) {
    let mut owners: BTreeMap<&Name, &Name> = BTreeMap::new();
    for (name, service) in &config.services {
        faults.set_object("service", name);
        faults.check_name("name", name);
        check_service(service, faults);
        for model in service.models() {
            let Some(owner) = owners.insert(model, name) else {
                continue;
            };
            let problem = format!("the model '{model}' belongs to service '{owner}' already");
            faults.add("models", problem, "offer each model by one service only");
        }
    }
}

fn check_service(service: &ServiceConfig, faults: &mut Faults) {
    faults.check_range("max_wait", service.max_wait, 1, MAX_WAIT);
    faults.check_range("retry_percent", service.retry_percent.into(), 0, 100);
    faults.check_range("retry_burst", service.retry_burst.into(), 0, 10_000);
    faults.check_range(
        "max_attempts",
        service.max_attempts.into(),
        1,
        MAX_ATTEMPTS.into(),
    );
    faults.check_range("key_window", service.key_window, 1, MAX_KEY_WINDOW);
    match &service.kind {
        ServiceKind::Model { models } => {
            if models.is_empty() {
                faults.add("models", "the list is empty", "name at least one model");
            }
            faults.check_names("models", models);
        }
        ServiceKind::Plain { idempotent } => {
            faults.check_length("idempotent", idempotent.len());
            idempotent.iter().for_each(|r| check_route(r, faults));
        }
    }
}

fn check_route(route: &Route, faults: &mut Faults) {
    let method = route.method.as_str();
    let known = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
    if !known.contains(&method) {
        let problem = format!("the method {method:?} is not known");
        faults.add(
            "idempotent",
            problem,
            format!("use one of {}", known.join(", ")),
        );
    }
    let prefix = route.prefix.as_str();
    if !prefix.starts_with('/') || prefix.len() > 256 {
        let problem = format!("the path {prefix:?} does not begin with '/' or is over 256 bytes");
        faults.add("idempotent", problem, "write it as in 'PUT:/sales'");
    }
}

fn check_workspaces(config: &Config, faults: &mut Faults) {
    for (name, workspace) in &config.workspaces {
        faults.set_object("workspace", name);
        faults.check_name("name", name);
        check_workspace(workspace, faults);
        for service in &workspace.services {
            if !config.services.contains_key(service) {
                let problem = format!("there is no service '{service}'");
                faults.add(
                    "services",
                    problem,
                    "create the service first, or take it out",
                );
            }
        }
    }
    let count = config.workspaces.len();
    if count > MAX_WORKSPACES {
        faults.object = "configuration".to_owned();
        let problem = format!("there are {count}");
        faults.add(
            "workspaces",
            problem,
            format!("keep at most {MAX_WORKSPACES}"),
        );
    }
}

fn check_workspace(workspace: &WorkspaceConfig, faults: &mut Faults) {
    faults.check_range("share", workspace.share.into(), 1, MAX_SHARE.into());
    faults.check_range("max_running", workspace.max_running.into(), 0, 100_000);
    faults.check_range("max_queued", workspace.max_queued.into(), 1, 100_000);
    faults.check_range("rate", workspace.rate.into(), 0, 1_000_000);
    faults.check_range("max_caller", workspace.max_caller.into(), 0, 100_000);
    // A rate limit with a burst of zero would reject every request.
    let min_burst = u64::from(workspace.rate > 0);
    faults.check_range("burst", workspace.burst.into(), min_burst, 1_000_000);
    faults.check_length("services", workspace.services.len());
}

fn check_keys(config: &Config, faults: &mut Faults) {
    let mut labels = BTreeSet::new();
    for (digest, key) in &config.keys {
        let KeyConfig { workspace, label } = key;
        faults.set_object("key", digest.short());
        faults.check_name("label", label);
        if !config.workspaces.contains_key(workspace) {
            let problem = format!("there is no workspace '{workspace}'");
            faults.add(
                "workspace",
                problem,
                "create the workspace, or delete the key too",
            );
        }
        if !labels.insert((workspace, label)) {
            let problem = format!("workspace '{workspace}' has another key '{label}'");
            faults.add(
                "label",
                problem,
                "give each key of a workspace its own label",
            );
        }
    }
}

fn check_operators(config: &Config, faults: &mut Faults) {
    for name in config.operators.keys() {
        faults.set_object("operator", name);
        faults.check_name("name", name);
    }
    // Without an operator with full rights nobody could change the configuration any more.
    if !config.operators.values().any(|o| o.rights == Rights::Full) {
        faults.object = "configuration".to_owned();
        let remedy = "keep or create an operator with rights full";
        faults.add("operators", "nobody has full rights", remedy);
    }
}

/// Returns the model without its version: `hymns` for `hymns@3`.
pub fn base_model(model: &Name) -> Name {
    match model.as_str().split_once('@') {
        Some((base, _)) => Name::new(base),
        None => model.clone(),
    }
}

fn check_hosts(config: &Config, faults: &mut Faults) {
    for (host, placement) in &config.placements {
        faults.set_object("placement", host);
        faults.check_name("host", host);
        faults.check_names("models", &placement.models);
        faults.check_names("adapters", &placement.adapters);
        let known = |m: &Name| config.service_of_model(&base_model(m)).is_some();
        for model in placement.models.iter().filter(|m| !known(m)) {
            let problem = format!("no service offers the model '{model}'");
            faults.add("models", problem, "add the model to a service first");
        }
    }
    for host in &config.drains {
        faults.set_object("drain", host);
        faults.check_name("host", host);
    }
}
