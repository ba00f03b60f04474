//! What a run sends: the two built-in mixes, and the INI file that changes them.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use ini::Properties;
use thiserror::Error;

/// What is wrong with a file of settings.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The file cannot be read.
    #[error("{0}: {1}; check the path and the file's rights")]
    Unreadable(PathBuf, String),
    /// A value cannot be read.
    #[error("[{section}] {key} = {value:?}: expected {expected}")]
    Value {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What stands there.
        value: String,
        /// What should.
        expected: &'static str,
    },
    /// A section or key that means nothing.
    #[error("[{0}] {1} is unknown; docs/load-tool.md lists what there is")]
    Unknown(String, String),
    /// Something that a run needs is missing.
    #[error("{0}")]
    Missing(&'static str),
}

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, PlanError>;

/// Whether and how a request changes anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// A streamed generation.
    Generate,
    /// A call that must take effect at most once, sent with a key.
    Effect,
    /// A call that may be lost.
    Read,
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The name in the report.
    pub name: String,
    /// What it does.
    pub action: Action,
    /// Its part of the arrivals, by weight.
    pub weight: f64,
    /// Tokens of the output, drawn so that each doubling is as likely. (0, 0): the engine chooses.
    pub tokens: Span,
    /// Bytes of the prompt.
    pub prompt: Span,
    /// The path of a plain call.
    pub path: String,
    /// The time from arrival to the whole answer that counts as good.
    pub deadline: Duration,
}

/// A least and a largest figure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// The least.
    pub least: u32,
    /// The largest.
    pub most: u32,
}

/// One workspace's callers.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The name in the report.
    pub name: String,
    /// The callers' key.
    pub key: String,
    /// Its part of the arrivals, by weight.
    pub weight: f64,
}

/// A whole run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The entries, taken in turn as a balancer does.
    pub entries: Vec<SocketAddr>,
    /// Stand-ins of the plain service, whose record of effects is read at the end.
    pub records: Vec<SocketAddr>,
    /// Status pages of the daemons, whose counters of displacements are read before and after.
    pub status: Vec<SocketAddr>,
    /// The seed of arrivals, kinds, lengths and keys.
    pub seed: u64,
    /// Requests a second, whatever becomes of those before.
    pub rate: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// Most requests in all.
    pub max_requests: u64,
    /// Most requests open at a time. Arrivals beyond are counted as not sent.
    pub max_open: usize,
    /// The longest time for one request, all its tries together.
    pub timeout: Duration,
    /// The model of generations.
    pub model: String,
    /// The largest number of tokens asked for.
    pub max_tokens: u32,
    /// The part of the refused callers that come again after the time told.
    pub obey: f64,
    /// Most times that a stream is resumed, or a keyed call sent again.
    pub again: u32,
    /// The workspaces.
    pub tenants: Vec<Tenant>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
}

impl Plan {
    /// Hanshan's mix: long drafts, short checks, deposit bookings, availability reads.
    pub fn hanshan() -> Self {
        Plan::with_kinds(vec![
            kind("draft", Action::Generate, 0.25, (400, 1_600), "", 90),
            kind("check", Action::Generate, 0.40, (8, 60), "", 5),
            kind(
                "book",
                Action::Effect,
                0.10,
                (0, 0),
                "/services/booking/book",
                5,
            ),
            kind(
                "availability",
                Action::Read,
                0.25,
                (0, 0),
                "/services/booking/slots",
                2,
            ),
        ])
    }

    /// Saryarka's mix: long summaries, brief queries, sale records, past weights.
    pub fn saryarka() -> Self {
        Plan::with_kinds(vec![
            kind("summary", Action::Generate, 0.20, (800, 2_400), "", 150),
            kind("query", Action::Generate, 0.40, (8, 80), "", 5),
            kind(
                "sale",
                Action::Effect,
                0.15,
                (0, 0),
                "/services/records/sales",
                5,
            ),
            kind(
                "weights",
                Action::Read,
                0.25,
                (0, 0),
                "/services/records/weights",
                2,
            ),
        ])
    }

    fn with_kinds(kinds: Vec<Kind>) -> Self {
        Plan {
            entries: Vec::new(),
            records: Vec::new(),
            status: Vec::new(),
            seed: 1,
            rate: 10.0,
            length: Duration::from_secs(30),
            max_requests: 1_000_000,
            max_open: 10_000,
            timeout: Duration::from_secs(300),
            model: "model".to_string(),
            max_tokens: 4_096,
            obey: 0.5,
            again: 5,
            tenants: Vec::new(),
            kinds,
        }
    }

    /// Reads a file over the built-in mix that its `[run] mix` names, or over `mix`.
    pub fn read(path: &Path, mix: Option<&str>) -> Result<Self> {
        let ini = Ini::load_from_file(path);
        let ini = ini.map_err(|e| PlanError::Unreadable(path.to_path_buf(), e.to_string()))?;
        let named = ini.get_from(Some("run"), "mix");
        let mut plan = Plan::mix(mix.or(named).unwrap_or("hanshan"))?;
        let kinds = ini.sections().flatten().any(|s| s.starts_with("kind."));
        if kinds {
            plan.kinds.clear();
        }
        for (section, keys) in ini.iter() {
            match section {
                Some("run") => plan.read_run(keys)?,
                Some(name) => plan.read_section(name, keys)?,
                None if keys.is_empty() => {}
                None => return Err(PlanError::Missing("keys before the first [section]")),
            }
        }
        Ok(plan)
    }

    /// A built-in mix.
    pub fn mix(name: &str) -> Result<Self> {
        match name {
            "hanshan" => Ok(Plan::hanshan()),
            "saryarka" => Ok(Plan::saryarka()),
            _ => Err(PlanError::Missing("the mixes are hanshan and saryarka")),
        }
    }

    /// Whether all is there that a run needs.
    pub fn check(&self) -> Result<()> {
        if self.entries.is_empty() {
            return Err(PlanError::Missing(
                "no entries; give --entry or [run] entries",
            ));
        }
        if self.tenants.is_empty() {
            return Err(PlanError::Missing(
                "no workspaces; give a [workspace.NAME] with a key_file or key",
            ));
        }
        let kinds: f64 = self.kinds.iter().map(|k| k.weight).sum();
        let tenants: f64 = self.tenants.iter().map(|t| t.weight).sum();
        if kinds <= 0.0 || tenants <= 0.0 {
            return Err(PlanError::Missing(
                "all weights are zero; give one above it",
            ));
        }
        Ok(())
    }

    fn read_run(&mut self, keys: &Properties) -> Result<()> {
        for (key, value) in keys.iter() {
            let field = Field {
                section: "run",
                key,
                value,
            };
            match key {
                "mix" => {}
                "entries" => self.entries = field.list()?,
                "records" => self.records = field.list()?,
                "status" => self.status = field.list()?,
                "seed" => self.seed = field.parse("a whole number")?,
                "rate" => self.rate = field.within(0.001, 100_000.0)?,
                "seconds" => self.length = field.seconds(86_400.0)?,
                "max_requests" => self.max_requests = field.parse("a whole number")?,
                "max_open" => self.max_open = field.parse("a whole number")?,
                "timeout" => self.timeout = field.seconds(86_400.0)?,
                "model" => self.model = value.to_string(),
                "max_tokens" => self.max_tokens = field.parse("a whole number")?,
                "obey" => self.obey = field.within(0.0, 1.0)?,
                "again" => self.again = field.parse("a whole number")?,
                _ => return Err(field.unknown()),
            }
        }
        Ok(())
    }

    fn read_section(&mut self, section: &str, keys: &Properties) -> Result<()> {
        if let Some(name) = section.strip_prefix("workspace.") {
            let tenant = read_tenant(section, name, keys)?;
            self.tenants.push(tenant);
        } else if let Some(name) = section.strip_prefix("kind.") {
            let kind = read_kind(section, name, keys)?;
            self.kinds.push(kind);
        } else {
            return Err(PlanError::Unknown(section.to_string(), String::new()));
        }
        Ok(())
    }
}

fn read_tenant(section: &str, name: &str, keys: &Properties) -> Result<Tenant> {
    let mut tenant = Tenant {
        name: name.to_string(),
        key: String::new(),
        weight: 1.0,
    };
    for (key, value) in keys.iter() {
        let field = Field {
            section,
            key,
            value,
        };
        match key {
            "key" => tenant.key = value.to_string(),
            "key_file" => tenant.key = read_key(value)?,
            "weight" => tenant.weight = field.within(0.0, 1e6)?,
            _ => return Err(field.unknown()),
        }
    }
    Ok(tenant)
}

fn read_key(path: &str) -> Result<String> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| PlanError::Unreadable(PathBuf::from(path), e.to_string()))?;
    Ok(text.trim().to_string())
}

fn read_kind(section: &str, name: &str, keys: &Properties) -> Result<Kind> {
    let mut read = kind(name, Action::Generate, 1.0, (0, 0), "", 60);
    for (key, value) in keys.iter() {
        let field = Field {
            section,
            key,
            value,
        };
        match key {
            "action" => read.action = field.action()?,
            "weight" => read.weight = field.within(0.0, 1e6)?,
            "tokens" => read.tokens = field.span()?,
            "prompt" => read.prompt = field.span()?,
            "path" => read.path = value.to_string(),
            "deadline" => read.deadline = field.seconds(86_400.0)?,
            _ => return Err(field.unknown()),
        }
    }
    if read.action != Action::Generate && !read.path.starts_with('/') {
        return Err(PlanError::Missing(
            "a kind that calls a plain service needs a path",
        ));
    }
    Ok(read)
}

fn kind(
    name: &str,
    action: Action,
    weight: f64,
    tokens: (u32, u32),
    path: &str,
    deadline: u64,
) -> Kind {
    Kind {
        name: name.to_string(),
        action,
        weight,
        tokens: Span {
            least: tokens.0,
            most: tokens.1,
        },
        prompt: Span {
            least: 200,
            most: 1_000,
        },
        path: path.to_string(),
        deadline: Duration::from_secs(deadline),
    }
}

struct Field<'a> {
    section: &'a str,
    key: &'a str,
    value: &'a str,
}

impl Field<'_> {
    fn wrong(&self, expected: &'static str) -> PlanError {
        PlanError::Value {
            section: self.section.to_string(),
            key: self.key.to_string(),
            value: self.value.to_string(),
            expected,
        }
    }

    fn unknown(&self) -> PlanError {
        PlanError::Unknown(self.section.to_string(), self.key.to_string())
    }

    fn parse<T: FromStr>(&self, expected: &'static str) -> Result<T> {
        self.value.trim().parse().map_err(|_| self.wrong(expected))
    }

    fn within(&self, least: f64, most: f64) -> Result<f64> {
        let figure: f64 = self.parse("a number")?;
        if (least..=most).contains(&figure) {
            Ok(figure)
        } else {
            Err(self.wrong("a number within its bounds, see docs/load-tool.md"))
        }
    }

    fn seconds(&self, most: f64) -> Result<Duration> {
        Ok(Duration::from_secs_f64(self.within(0.0, most)?))
    }

    fn list(&self) -> Result<Vec<SocketAddr>> {
        let parts = self
            .value
            .split(',')
            .map(str::trim)
            .filter(|p| !p.is_empty());
        let addresses = parts.map(|p| p.parse().map_err(|_| self.wrong("IP:PORT, IP:PORT")));
        addresses.collect()
    }

    fn span(&self) -> Result<Span> {
        let expected = "LEAST..MOST";
        let (least, most) = self
            .value
            .split_once("..")
            .ok_or_else(|| self.wrong(expected))?;
        let least = least.trim().parse().map_err(|_| self.wrong(expected))?;
        let most = most.trim().parse().map_err(|_| self.wrong(expected))?;
        if least > most {
            return Err(self.wrong(expected));
        }
        Ok(Span { least, most })
    }

    fn action(&self) -> Result<Action> {
        match self.value {
            "generate" => Ok(Action::Generate),
            "effect" => Ok(Action::Effect),
            "read" => Ok(Action::Read),
            _ => Err(self.wrong("generate, effect or read")),
        }
    }
}
