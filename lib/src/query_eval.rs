//! Turns statements of the language into typed edits of the configuration.

use std::collections::BTreeSet;

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
use crate::config_edit::Action;
use crate::config_edit::Change;
use crate::config_edit::Edit;
use crate::config_edit::KeyField;
use crate::config_edit::OperatorField;
use crate::config_edit::PlacementField;
use crate::config_edit::ServiceField;
use crate::config_edit::WorkspaceField;
use crate::ids::Name;
use crate::query::Alter;
use crate::query::Assignment;
use crate::query::ObjectKind;
use crate::query::Placed;
use crate::query::QueryError;
use crate::query::Result;
use crate::query::Statement;
use crate::query::Value;
use crate::query::Word;
use crate::query::suggest;
use crate::secrets::KeyDigest;
use crate::secrets::Secret;

/// The fields of a service, as they are written.
pub const SERVICE_FIELDS: [&str; 11] = [
    "kind",
    "models",
    "idempotent",
    "objective",
    "max_wait",
    "retry_percent",
    "retry_burst",
    "max_attempts",
    "keyless",
    "key_window",
    "fencing",
];
/// The fields of a workspace.
pub const WORKSPACE_FIELDS: [&str; 7] = [
    "share",
    "max_running",
    "max_queued",
    "rate",
    "burst",
    "max_caller",
    "services",
];
/// The fields of a key.
pub const KEY_FIELDS: [&str; 2] = ["workspace", "label"];
/// The fields of an operator.
pub const OPERATOR_FIELDS: [&str; 2] = ["rights", "token"];
/// The fields of a placement.
pub const PLACEMENT_FIELDS: [&str; 3] = ["models", "adapters", "role"];

/// A statement worked out.
#[derive(Clone, Debug)]
pub struct Evaluated {
    /// The edit.
    pub edit: Edit,
    /// The secret that it gives out, to be shown to its owner once.
    pub issued: Option<Secret>,
}

/// Works statements out one after the other, each on what the ones before it made.
#[derive(Clone, Debug)]
pub struct Evaluator {
    config: Config,
}

impl Evaluator {
    /// Starts from a configuration.
    pub fn new(config: Config) -> Self {
        Evaluator { config }
    }

    /// Works out a statement that changes the configuration. `secret` is given out if the statement
    /// makes a key or token; it must be new at each call.
    pub fn eval(&mut self, statement: &Statement, secret: Secret) -> Result<Evaluated> {
        let (edit, issues, name) = match statement {
            Statement::Create(alter) => {
                let edit = create(alter, &secret)?;
                let issues = matches!(alter.kind, ObjectKind::Key | ObjectKind::Operator);
                (edit, issues, &alter.name)
            }
            Statement::Set(alter) => {
                let edit = self.set(alter, &secret)?;
                let rotates = |f: &Assignment| f.field.text.eq_ignore_ascii_case("token");
                let issues = alter.kind == ObjectKind::Operator;
                (
                    edit,
                    issues && alter.fields.iter().any(rotates),
                    &alter.name,
                )
            }
            Statement::Delete(alter) => (self.delete(alter)?, false, &alter.name),
            Statement::Drain(host) => (Edit::Drain(name_of(host)), false, host),
            Statement::Undrain(host) => (Edit::Undrain(name_of(host)), false, host),
            other => {
                let message = format!("'{other}' changes nothing");
                return Err(QueryError::new(0..0, message, "leave it out of the change"));
            }
        };
        self.apply(&edit, name)?;
        let issued = issues.then_some(secret);
        Ok(Evaluated { edit, issued })
    }

    fn apply(&mut self, edit: &Edit, name: &Word) -> Result<()> {
        let change = Change::new(vec![edit.clone()]);
        match change.apply(&self.config) {
            Ok(config) => {
                self.config = config;
                Ok(())
            }
            Err(faults) => {
                let fault = &faults[0];
                let message = format!("{}: {}", fault.object, fault.problem);
                Err(name.error(message, fault.remedy.clone()))
            }
        }
    }

    fn set(&self, alter: &Alter, secret: &Secret) -> Result<Edit> {
        let name = name_of(&alter.name);
        let fields = &alter.fields;
        if fields.is_empty() {
            let hint = suggest("", known_fields(alter.kind));
            return Err(alter.name.error("no field to set", hint));
        }
        Ok(match alter.kind {
            ObjectKind::Service => Edit::Service(name, Action::Set(all(fields, service_field)?)),
            ObjectKind::Workspace => {
                Edit::Workspace(name, Action::Set(all(fields, workspace_field)?))
            }
            ObjectKind::Placement => {
                Edit::Placement(name, Action::Set(all(fields, placement_field)?))
            }
            ObjectKind::Operator => {
                let field = |f: &Assignment| operator_field(f, secret);
                Edit::Operator(name, Action::Set(all(fields, field)?))
            }
            ObjectKind::Key => {
                let digest = self.key(&alter.name, None)?;
                Edit::Key(digest, Action::Set(all(fields, key_field)?))
            }
        })
    }

    fn delete(&self, alter: &Alter) -> Result<Edit> {
        let name = name_of(&alter.name);
        if alter.kind != ObjectKind::Key
            && let Some(field) = alter.fields.first()
        {
            return Err(field
                .field
                .error("delete takes a name only", "leave out the rest"));
        }
        Ok(match alter.kind {
            ObjectKind::Service => Edit::Service(name, Action::Delete),
            ObjectKind::Workspace => Edit::Workspace(name, Action::Delete),
            ObjectKind::Placement => Edit::Placement(name, Action::Delete),
            ObjectKind::Operator => Edit::Operator(name, Action::Delete),
            ObjectKind::Key => {
                let mut workspace = None;
                for field in &alter.fields {
                    match field.field.text.to_ascii_lowercase().as_str() {
                        "workspace" => workspace = Some(name_in(field)?),
                        _ => return Err(unknown_field(field, &["workspace"])),
                    }
                }
                Edit::Key(self.key(&alter.name, workspace)?, Action::Delete)
            }
        })
    }

    // A key is named by its label, or by the first digits of its digest.
    fn key(&self, name: &Word, workspace: Option<Name>) -> Result<KeyDigest> {
        let by_label = |k: &KeyConfig| {
            let here = workspace.as_ref().is_none_or(|w| *w == k.workspace);
            here && k.label.as_str() == name.text
        };
        let by_digest =
            |d: &KeyDigest| name.text.len() >= MIN_DIGITS && d.to_string().starts_with(&name.text);
        let keys = self.config.keys.iter();
        let mut found = keys
            .filter(|(d, k)| by_label(k) || by_digest(d))
            .map(|(d, _)| *d);
        match (found.next(), found.next()) {
            (Some(digest), None) => Ok(digest),
            (None, _) => {
                let message = format!("there is no key '{}'", name.text);
                Err(name.error(message, "see `show keys`"))
            }
            (Some(_), Some(_)) => {
                let message = format!("several keys are called '{}'", name.text);
                let hint = "add 'workspace W', or give the digest that `show keys` tells";
                Err(name.error(message, hint))
            }
        }
    }
}

// 8 hexadecimal digits tell 5,100 keys apart with one chance in 300 of two that agree, and two that
// agree are refused.
const MIN_DIGITS: usize = 8;

/// The fields of a kind of object.
pub fn known_fields(kind: ObjectKind) -> &'static [&'static str] {
    match kind {
        ObjectKind::Service => &SERVICE_FIELDS,
        ObjectKind::Workspace => &WORKSPACE_FIELDS,
        ObjectKind::Key => &KEY_FIELDS,
        ObjectKind::Operator => &OPERATOR_FIELDS,
        ObjectKind::Placement => &PLACEMENT_FIELDS,
    }
}

fn create(alter: &Alter, secret: &Secret) -> Result<Edit> {
    let name = name_of(&alter.name);
    Ok(match alter.kind {
        ObjectKind::Service => Edit::Service(name, Action::Create(new_service(alter)?)),
        ObjectKind::Workspace => {
            let mut workspace = WorkspaceConfig::default();
            for (field, new) in alter
                .fields
                .iter()
                .zip(all(&alter.fields, workspace_field)?)
            {
                new.set(&mut workspace).map_err(|p| at_field(field, p))?;
            }
            Edit::Workspace(name, Action::Create(workspace))
        }
        ObjectKind::Placement => {
            let mut placement = PlacementConfig::default();
            for (field, new) in alter
                .fields
                .iter()
                .zip(all(&alter.fields, placement_field)?)
            {
                new.set(&mut placement).map_err(|p| at_field(field, p))?;
            }
            Edit::Placement(name, Action::Create(placement))
        }
        ObjectKind::Operator => {
            let mut rights = None;
            for field in &alter.fields {
                match operator_field(field, secret)? {
                    OperatorField::Rights(new) => rights = Some(new),
                    OperatorField::Token(_) => {}
                }
            }
            let hint = "add 'rights read' or 'rights full'";
            let rights = rights.ok_or_else(|| alter.name.error("the rights are missing", hint))?;
            let token = secret.digest();
            Edit::Operator(name, Action::Create(OperatorConfig { token, rights }))
        }
        ObjectKind::Key => {
            let mut workspace = None;
            for field in &alter.fields {
                match field.field.text.to_ascii_lowercase().as_str() {
                    "workspace" => workspace = Some(name_in(field)?),
                    _ => return Err(unknown_field(field, &["workspace"])),
                }
            }
            let hint = "write 'create key LABEL workspace W'";
            let missing = || alter.name.error("the workspace is missing", hint);
            let workspace = workspace.ok_or_else(missing)?;
            let key = KeyConfig {
                workspace,
                label: name,
            };
            Edit::Key(secret.digest(), Action::Create(key))
        }
    })
}

fn new_service(alter: &Alter) -> Result<ServiceConfig> {
    let is_kind = |f: &&Assignment| f.field.text.eq_ignore_ascii_case("kind");
    let names = |f: &&Assignment| f.field.text.eq_ignore_ascii_case("models");
    let plain = match alter.fields.iter().find(is_kind) {
        Some(field) => choice(field, &[("model", false), ("plain", true)])?,
        None if alter.fields.iter().any(|f| names(&f)) => false,
        None => {
            let hint = "add 'models (a, b)' for model engines, or 'kind plain'";
            return Err(alter.name.error("the kind of the service is missing", hint));
        }
    };
    let mut service = if plain {
        ServiceConfig::plain()
    } else {
        ServiceConfig::new(ServiceKind::Model {
            models: BTreeSet::new(),
        })
    };
    for field in alter.fields.iter().filter(|f| !is_kind(f)) {
        let new = service_field(field)?;
        new.set(&mut service).map_err(|p| at_field(field, p))?;
    }
    Ok(service)
}

fn all<T>(fields: &[Assignment], one: impl Fn(&Assignment) -> Result<T>) -> Result<Vec<T>> {
    fields.iter().map(one).collect()
}

fn service_field(field: &Assignment) -> Result<ServiceField> {
    Ok(match field.field.text.to_ascii_lowercase().as_str() {
        "models" => ServiceField::Models(names_in(field)?),
        "idempotent" => ServiceField::Idempotent(routes_in(field)?),
        "objective" => {
            let all = [("stall", Objective::Stall), ("gap", Objective::Gap)];
            ServiceField::Objective(choice(field, &all)?)
        }
        "max_wait" => ServiceField::MaxWait(number(field)?),
        "retry_percent" => ServiceField::RetryPercent(small(field)?),
        "retry_burst" => ServiceField::RetryBurst(small(field)?),
        "max_attempts" => ServiceField::MaxAttempts(small(field)?),
        "keyless" => {
            let all = [("accept", Keyless::Accept), ("refuse", Keyless::Refuse)];
            ServiceField::Keyless(choice(field, &all)?)
        }
        "key_window" => ServiceField::KeyWindow(number(field)?),
        "fencing" => {
            let all = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
            ServiceField::Fencing(choice(field, &all)?)
        }
        "kind" => {
            let hint = "delete the service and create it anew";
            return Err(field
                .field
                .error("the kind of a service never changes", hint));
        }
        _ => return Err(unknown_field(field, &SERVICE_FIELDS)),
    })
}

fn workspace_field(field: &Assignment) -> Result<WorkspaceField> {
    Ok(match field.field.text.to_ascii_lowercase().as_str() {
        "share" => WorkspaceField::Share(small(field)?),
        "max_running" => WorkspaceField::MaxRunning(small(field)?),
        "max_queued" => WorkspaceField::MaxQueued(small(field)?),
        "rate" => WorkspaceField::Rate(small(field)?),
        "burst" => WorkspaceField::Burst(small(field)?),
        "max_caller" => WorkspaceField::MaxCaller(small(field)?),
        "services" => WorkspaceField::Services(names_in(field)?),
        _ => return Err(unknown_field(field, &WORKSPACE_FIELDS)),
    })
}

fn placement_field(field: &Assignment) -> Result<PlacementField> {
    let roles = [
        ("mixed", EngineRole::Mixed),
        ("prefill", EngineRole::Prefill),
        ("decode", EngineRole::Decode),
    ];
    Ok(match field.field.text.to_ascii_lowercase().as_str() {
        "models" => PlacementField::Models(names_in(field)?),
        "adapters" => PlacementField::Adapters(names_in(field)?),
        "role" => PlacementField::Role(choice(field, &roles)?),
        _ => return Err(unknown_field(field, &PLACEMENT_FIELDS)),
    })
}

fn operator_field(field: &Assignment, secret: &Secret) -> Result<OperatorField> {
    let rights = [("read", Rights::Read), ("full", Rights::Full)];
    Ok(match field.field.text.to_ascii_lowercase().as_str() {
        "rights" => OperatorField::Rights(choice(field, &rights)?),
        // Tokens are made here and never given, so that none stands in an argument or a file of
        // commands.
        "token" => {
            choice(field, &[("new", ())])?;
            OperatorField::Token(secret.digest())
        }
        _ => return Err(unknown_field(field, &OPERATOR_FIELDS)),
    })
}

fn key_field(field: &Assignment) -> Result<KeyField> {
    match field.field.text.to_ascii_lowercase().as_str() {
        "label" => name_in(field).map(KeyField::Label),
        _ => Err(unknown_field(field, &["label"])),
    }
}

fn unknown_field(field: &Assignment, known: &[&str]) -> QueryError {
    let word = &field.field;
    let message = format!("there is no field '{}' here", word.text);
    word.error(message, suggest(&word.text, known))
}

fn at_field(field: &Assignment, problem: &str) -> QueryError {
    field.field.error(problem, "leave the field out")
}

fn name_of(word: &Word) -> Name {
    Name::new(&word.text)
}

fn text(placed: &Placed) -> String {
    match &placed.value {
        Value::Number(number) => number.to_string(),
        Value::Text(text) => text.clone(),
    }
}

fn single(field: &Assignment) -> Result<&Placed> {
    match field.values.as_slice() {
        [value] => Ok(value),
        _ => {
            let message = format!("the field '{}' takes one value", field.field.text);
            Err(field
                .field
                .error(message, "give one value, without brackets"))
        }
    }
}

fn name_in(field: &Assignment) -> Result<Name> {
    single(field).map(|v| Name::new(text(v)))
}

fn names_in(field: &Assignment) -> Result<BTreeSet<Name>> {
    Ok(field.values.iter().map(|v| Name::new(text(v))).collect())
}

fn routes_in(field: &Assignment) -> Result<BTreeSet<Route>> {
    let route = |v: &Placed| match text(v).split_once(':') {
        Some((method, prefix)) => Ok(Route {
            method: Name::new(method.to_ascii_uppercase()),
            prefix: Name::new(prefix),
        }),
        None => Err(v.error(
            "a method and a path are wanted",
            "write it as in 'PUT:/sales'",
        )),
    };
    field.values.iter().map(route).collect()
}

fn number(field: &Assignment) -> Result<u64> {
    let value = single(field)?;
    match value.value {
        Value::Number(number) => Ok(number),
        Value::Text(_) => {
            let message = format!("the field '{}' takes a whole number", field.field.text);
            Err(value.error(message, "write digits only, without a sign, point or unit"))
        }
    }
}

fn small(field: &Assignment) -> Result<u32> {
    let value = single(field)?;
    let number = number(field)?;
    u32::try_from(number).map_err(|_| value.error("the number is too large", "give a smaller one"))
}

fn choice<T: Copy>(field: &Assignment, all: &[(&str, T)]) -> Result<T> {
    let value = single(field)?;
    let word = text(value);
    let found = all
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case(&word));
    found.map(|(_, v)| *v).ok_or_else(|| {
        let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
        let message = format!("'{word}' is no value of '{}'", field.field.text);
        value.error(message, suggest(&word, &names))
    })
}
