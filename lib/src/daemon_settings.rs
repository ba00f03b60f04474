//! The daemon's settings: an INI file, checked as a whole.
//!
//! Every key stands once in [`KEYS`], with its unit, default and bound. The check, `--print-config`
//! and docs/settings.md all come from that table, so that none can say something else.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ini::Ini;
use thiserror::Error;

use crate::daemon_keys;
use crate::daemon_keys::KEYS;
use crate::daemon_keys::Key;
use crate::daemon_keys::Kind;
use crate::fingerprint::Fingerprint;
use crate::ids::Name;
use crate::platform::HostRole;

/// One fault in a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("[{section}] {key}: {problem}; {remedy}")]
pub struct Fault {
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl Fault {
    fn new(
        section: &str,
        key: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Fault {
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

/// Every fault of a settings file, so that one look mends them all.
#[derive(Clone, Debug, Error)]
pub struct SettingsError {
    /// In the order of the file's sections; never empty.
    pub faults: Vec<Fault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// What stands behind an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Program {
    /// Serves callers of the product's own API.
    Entry,
    /// Stands beside a backend server and decides what runs there.
    Agent,
    /// Relays callers' requests straight to backend servers.
    Relay,
    /// Stands beside a backend server and tells relays of its load and its leaving.
    Scout,
}

/// The text of every key, given or by default. Checked: every value fits its kind and bound.
#[derive(Clone, Debug)]
pub struct Settings {
    values: BTreeMap<(&'static str, &'static str), String>,
}

impl Settings {
    /// Reads and checks the text of an INI file.
    pub fn parse(text: &str) -> Result<Self> {
        let ini = match Ini::load_from_str(text) {
            Ok(ini) => ini,
            Err(err) => {
                let fault = Fault::new(
                    "file",
                    "syntax",
                    err.to_string(),
                    "write `key = value` lines",
                );
                return Err(SettingsError {
                    faults: vec![fault],
                });
            }
        };
        let mut faults = unknown_keys(&ini);
        let mut values = BTreeMap::new();
        for key in KEYS {
            let given = given(&ini, key);
            if given.len() > 1 {
                let problem = "is given more than once";
                faults.push(Fault::new(
                    key.section,
                    key.name,
                    problem,
                    "keep one of them",
                ));
            }
            let text = given.first().copied().unwrap_or(key.default).trim();
            if let Err(problem) = key.kind.check(text) {
                faults.push(Fault::new(key.section, key.name, problem, key.remedy()));
            }
            values.insert((key.section, key.name), text.to_string());
        }
        let settings = Settings { values };
        if faults.is_empty() {
            faults = settings.contradictions();
        }
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError { faults })
        }
    }

    /// The settings as an INI file with every key, for `--print-config`.
    pub fn print(&self) -> String {
        let mut out = String::new();
        let mut section = "";
        for key in KEYS {
            if key.section != section {
                section = key.section;
                out.push_str(&format!("\n[{section}]\n"));
            }
            out.push_str(&format!(
                "{} = {}\n",
                key.name,
                self.text(key.section, key.name)
            ));
        }
        out.trim_start().to_string()
    }

    /// The keys whose values differ, as `[section] key`.
    pub fn changes_since(&self, before: &Settings) -> Vec<String> {
        let changed = self
            .values
            .iter()
            .filter(|(key, text)| before.values.get(*key) != Some(*text));
        changed
            .map(|((section, name), _)| format!("[{section}] {name}"))
            .collect()
    }

    /// The text of a key. The key must stand in [`KEYS`].
    pub fn text(&self, section: &str, name: &str) -> &str {
        self.values
            .iter()
            .find(|(key, _)| key.0 == section && key.1 == name)
            .map(|(_, value)| value.as_str())
            .unwrap_or_else(|| panic!("no key [{section}] {name} in the table of settings"))
    }

    /// A key that holds a name.
    pub fn name(&self, section: &str, name: &str) -> Name {
        Name::new(self.text(section, name))
    }

    /// A key that holds a count.
    pub fn count(&self, section: &str, name: &str) -> u64 {
        self.text(section, name).parse().unwrap_or_default()
    }

    /// A key that holds milliseconds.
    pub fn millis(&self, section: &str, name: &str) -> Duration {
        Duration::from_millis(self.count(section, name))
    }

    /// A key that holds an address; `None` where it is empty.
    pub fn address(&self, section: &str, name: &str) -> Option<SocketAddr> {
        self.text(section, name).parse().ok()
    }

    /// A key that holds a list of addresses.
    pub fn addresses(&self, section: &str, name: &str) -> Vec<SocketAddr> {
        daemon_keys::list_items(self.text(section, name))
            .filter_map(|text| text.parse().ok())
            .collect()
    }

    /// A key that holds fingerprints of requests.
    pub fn fingerprints(&self, section: &str, name: &str) -> Vec<Fingerprint> {
        daemon_keys::list_items(self.text(section, name))
            .filter_map(|text| text.parse().ok())
            .collect()
    }

    /// A key that holds a path; `None` where it is empty.
    pub fn path(&self, section: &str, name: &str) -> Option<PathBuf> {
        let text = self.text(section, name);
        (!text.is_empty()).then(|| PathBuf::from(text))
    }

    /// A key that holds a number that need not be whole.
    pub fn number(&self, section: &str, name: &str) -> f64 {
        self.text(section, name).parse().unwrap_or_default()
    }

    /// A key that holds seconds.
    pub fn seconds(&self, section: &str, name: &str) -> Duration {
        Duration::from_secs_f64(self.number(section, name).max(0.0))
    }

    /// A key that holds pairs of names.
    pub fn pairs(&self, section: &str, name: &str) -> Vec<(Name, Name)> {
        daemon_keys::pairs(self.text(section, name))
            .flatten()
            .map(|(one, other)| (Name::new(one), Name::new(other)))
            .collect()
    }

    /// Which program the process is.
    pub fn program(&self) -> Program {
        match self.text("process", "role") {
            "agent" => Program::Agent,
            "relay" => Program::Relay,
            "scout" => Program::Scout,
            _ => Program::Entry,
        }
    }

    /// The role of an entry or an agent, as the platform's list of hosts has it.
    pub fn role(&self) -> HostRole {
        match self.program() {
            Program::Agent | Program::Scout => HostRole::Agent,
            Program::Entry | Program::Relay => HostRole::Entry,
        }
    }

    /// What stands behind an agent.
    pub fn backend_kind(&self) -> BackendKind {
        match self.text("backend", "kind") {
            "service" => BackendKind::Service,
            _ => BackendKind::Engine,
        }
    }

    fn contradictions(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let needed: &[(&str, &str)] = match self.program() {
            Program::Entry => &[
                ("entry", "listen"),
                ("process", "peer_key_file"),
                ("platform", "token_file"),
            ],
            Program::Agent => &[
                ("backend", "service"),
                ("backend", "address"),
                ("process", "peer_key_file"),
                ("platform", "token_file"),
            ],
            Program::Relay => &[("relay", "listen"), ("relay", "ready")],
            Program::Scout => &[("backend", "service"), ("backend", "address")],
        };
        for (section, name) in needed {
            if self.text(section, name).is_empty() {
                let role = self.text("process", "role");
                let problem = format!("is missing, and the role is `{role}`");
                faults.push(Fault::new(
                    section,
                    name,
                    problem,
                    "set it, or change [process] role",
                ));
            }
        }
        if self.millis("link", "silent") <= self.millis("link", "heartbeat") * 2 {
            let problem =
                "is not more than twice [link] heartbeat, so that one lost beat cuts a link";
            faults.push(Fault::new(
                "link",
                "silent",
                problem,
                "raise it, or lower heartbeat",
            ));
        }
        if self.count("backend", "max_queued") == 0 && self.role() == HostRole::Agent {
            let problem = "is 0, so that nothing would ever run";
            faults.push(Fault::new(
                "backend",
                "max_queued",
                problem,
                "set it to 1 or more",
            ));
        }
        faults
    }
}

/// Every value that the file gives a key; a section may stand in several parts.
fn given<'a>(ini: &'a Ini, key: &Key) -> Vec<&'a str> {
    ini.section_all(Some(key.section))
        .flat_map(|section| section.get_all(key.name))
        .collect()
}

fn unknown_keys(ini: &Ini) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or("");
        for (name, _) in properties.iter() {
            if !KEYS
                .iter()
                .any(|key| key.section == section && key.name == name)
            {
                faults.push(Fault::new(
                    section,
                    name,
                    "is no known setting",
                    nearest(section, name),
                ));
            }
        }
    }
    faults
}

fn nearest(section: &str, name: &str) -> String {
    let elsewhere: Vec<&Key> = KEYS.iter().filter(|key| key.name == name).collect();
    if let Some(key) = elsewhere.first() {
        return format!("it belongs into [{}]", key.section);
    }
    let known: Vec<&str> = KEYS
        .iter()
        .filter(|key| key.section == section)
        .map(|key| key.name)
        .collect();
    if known.is_empty() {
        "see --help for the sections".to_string()
    } else {
        format!("this section knows {}", known.join(", "))
    }
}

/// The page of the settings reference, in Markdown.
pub fn reference() -> String {
    let mut out = String::from(
        "# Settings of cicadad\n\nMade from the table in `lib/src/daemon_keys.rs`; a test keeps them alike.\n",
    );
    let mut section = "";
    for key in KEYS {
        if key.section != section {
            section = key.section;
            out.push_str(&format!("\n## [{section}]\n\n| key | kind and bound | default | meaning |\n| --- | --- | --- | --- |\n"));
        }
        let default = if key.default.is_empty() {
            "none"
        } else {
            key.default
        };
        out.push_str(&format!(
            "| `{}` | {} | {default} | {} |\n",
            key.name, key.kind, key.doc
        ));
    }
    out
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Name => f.write_str("name of 1 to 63 of a-z, 0-9, `-`, `_`, `.`"),
            Kind::OptionalName => f.write_str("name, or empty"),
            Kind::Address => f.write_str("IP address and port"),
            Kind::OptionalAddress => f.write_str("IP address and port, or empty"),
            Kind::Fingerprints => f.write_str("fingerprints with commas, or empty"),
            Kind::Addresses => f.write_str("IP addresses and ports with commas, or empty"),
            Kind::Path => f.write_str("path of a file"),
            Kind::OptionalPath => f.write_str("path of a file, or empty"),
            Kind::Number { min, max } => write!(f, "number from {min} to {max}, whole or not"),
            Kind::Pairs => f.write_str("pairs `name:name` with commas, or empty"),
            Kind::Count { min, max } => write!(f, "number from {min} to {max}"),
            Kind::Millis { min, max } => write!(f, "milliseconds from {min} to {max}"),
            Kind::Choice(words) => write!(f, "one of {}", words.join(", ")),
        }
    }
}
