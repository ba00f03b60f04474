//! The table of the daemon's settings.

use std::net::SocketAddr;

use crate::fingerprint::Fingerprint;

/// What a key's value must look like.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A name.
    Name,
    /// A name, or nothing.
    OptionalName,
    /// An IP address with a port.
    Address,
    /// An IP address with a port, or nothing.
    OptionalAddress,
    /// IP addresses with ports and commas between them, or nothing.
    Addresses,
    /// Fingerprints of requests in hexadecimal with commas between, or nothing.
    Fingerprints,
    /// The path of a file that is there.
    Path,
    /// The path of a file that is there, or nothing.
    OptionalPath,
    /// A number, whole or not, within bounds.
    Number {
        /// The smallest.
        min: f64,
        /// The largest.
        max: f64,
    },
    /// Pairs of names, as `zone:region`, with commas between, or nothing.
    Pairs,
    /// A whole number within bounds.
    Count {
        /// The smallest.
        min: u64,
        /// The largest.
        max: u64,
    },
    /// Milliseconds within bounds.
    Millis {
        /// The shortest.
        min: u64,
        /// The longest.
        max: u64,
    },
    /// One of some words.
    Choice(&'static [&'static str]),
}

/// Whether something is done.
const SWITCH: &[&str] = &["on", "off"];

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The section.
    pub section: &'static str,
    /// The key.
    pub name: &'static str,
    /// Kind and bound.
    pub kind: Kind,
    /// The text that holds where the key is absent; empty where it must be given.
    pub default: &'static str,
    /// What it means, and the grounds of its default.
    pub doc: &'static str,
}

const LONGEST_NAME: usize = 63;

impl Kind {
    /// Checks a value, and says what is wrong with it.
    pub fn check(&self, text: &str) -> Result<(), String> {
        match self {
            Kind::Name if text.is_empty() => Err("is missing".into()),
            Kind::OptionalName | Kind::OptionalAddress | Kind::OptionalPath if text.is_empty() => {
                Ok(())
            }
            Kind::Name | Kind::OptionalName => check_name(text),
            Kind::Address if text.is_empty() => Err("is missing".into()),
            Kind::Address | Kind::OptionalAddress => check_address(text),
            Kind::Addresses => list_items(text).try_for_each(check_address),
            Kind::Fingerprints => list_items(text).try_for_each(check_fingerprint),
            Kind::Path if text.is_empty() => Err("is missing".into()),
            Kind::Path | Kind::OptionalPath => check_path(text),
            Kind::Number { min, max } => check_number(text, *min, *max),
            Kind::Pairs => pairs(text).try_for_each(|pair| match pair {
                Some((one, other)) => check_name(one).and_then(|()| check_name(other)),
                None => Err("holds something else than `name:name`".into()),
            }),
            Kind::Count { min, max } | Kind::Millis { min, max } => check_count(text, *min, *max),
            Kind::Choice(words) if words.contains(&text) => Ok(()),
            Kind::Choice(_) => Err(format!("`{text}` is none of the words")),
        }
    }
}

impl Key {
    /// What to do about a value that does not fit.
    pub fn remedy(&self) -> String {
        format!("give: {}", self.kind)
    }
}

/// The parts of a list of addresses.
pub(crate) fn list_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

fn check_name(text: &str) -> Result<(), String> {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if text.len() <= LONGEST_NAME && text.chars().all(fits) {
        Ok(())
    } else {
        Err(format!("`{text}` is no name"))
    }
}

fn check_fingerprint(text: &str) -> Result<(), String> {
    let parsed: Result<Fingerprint, _> = text.parse();
    parsed.map(|_| ()).map_err(|error| error.to_string())
}

fn check_address(text: &str) -> Result<(), String> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(format!("`{text}` is no IP address with a port")),
    }
}

fn check_path(text: &str) -> Result<(), String> {
    match std::fs::metadata(text) {
        Ok(meta) if meta.is_file() => Ok(()),
        Ok(_) => Err(format!("`{text}` is no file")),
        Err(err) => Err(format!("`{text}` cannot be read ({err})")),
    }
}

/// The pairs of a list; `None` for a part without a colon.
pub(crate) fn pairs(text: &str) -> impl Iterator<Item = Option<(&str, &str)>> {
    list_items(text).map(|part| part.split_once(':'))
}

fn check_number(text: &str, min: f64, max: f64) -> Result<(), String> {
    match text.parse::<f64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(()),
        Ok(number) => Err(format!("{number} is out of bounds")),
        Err(_) if text.is_empty() => Err("is missing".into()),
        Err(_) => Err(format!("`{text}` is no number")),
    }
}

fn check_count(text: &str, min: u64, max: u64) -> Result<(), String> {
    match text.parse::<u64>() {
        Ok(count) if (min..=max).contains(&count) => Ok(()),
        Ok(count) => Err(format!("{count} is out of bounds")),
        Err(_) if text.is_empty() => Err("is missing".into()),
        Err(_) => Err(format!("`{text}` is no whole number")),
    }
}

const fn key(
    section: &'static str,
    name: &'static str,
    kind: Kind,
    default: &'static str,
    doc: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        default,
        doc,
    }
}

/// Every setting, by section.
#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    key("process", "name", Kind::Name, "", "Name of the host, as in the platform's list."),
    key("process", "role", Kind::Choice(&["entry", "agent", "relay", "scout"]), "entry", "What the process does: `entry` and `agent` serve the product's own API, `relay` and `scout` serve a deployment of the users' platform (docs/platform.md)."),
    key("process", "region", Kind::Name, "", "Region of the host."),
    key("process", "zone", Kind::Name, "", "Availability zone of the host."),
    key("process", "peer", Kind::Address, "", "Where the system's other processes reach this one, TCP and UDP."),
    key("process", "status", Kind::Address, "", "Where `/status`, `/healthz`, `/readyz` and `/metrics` are served. Not for callers."),
    key("process", "peer_key_file", Kind::OptionalPath, "", "File with the key that all processes of the system share; 32 bytes or more. Needed by entries and agents."),
    key("process", "threads", Kind::Count { min: 1, max: 64 }, "2", "Threads for traffic, besides the one for control state."),
    key("process", "memory", Kind::Count { min: 0, max: 1_048_576 }, "0", "Memory of the host in MB, which bounds what a relay holds for callers that read slowly or send large bodies. 0: not known."),
    key("platform", "address", Kind::Address, "", "The platform's object API."),
    key("platform", "token_file", Kind::OptionalPath, "", "File with the bearer token for the platform. Needed by entries and agents."),
    key("platform", "hosts_poll", Kind::Millis { min: 200, max: 60_000 }, "5000", "How often the list of hosts is read: by two processes of each availability zone from the platform, by the others from those. The list itself lags by seconds, and processes tell of their own leaving."),
    key("platform", "config_wait", Kind::Millis { min: 200, max: 60_000 }, "5000", "How long one watch on the configuration waits; each counts as one call. Only two processes of an availability zone watch."),
    key("platform", "seeds", Kind::Addresses, "", "Processes, as IP addresses and ports with commas between, that are asked for the list of hosts while the platform does not answer and none is known yet."),
    key("platform", "first_start", Kind::Choice(&["true", "false"]), "false", "Whether the whole deployment starts for the first time. A relay that registers then saves a call, and has its whole share of the limit on retries at once. Not to be set when a process is started again."),
    key("entry", "listen", Kind::OptionalAddress, "", "Where callers are served. Needed by an entry."),
    key("entry", "max_body", Kind::Count { min: 1_024, max: 16_777_216 }, "1048576", "Largest request body, in bytes."),
    key("entry", "send_time", Kind::Millis { min: 100, max: 600_000 }, "10000", "Time for a caller to send a whole request."),
    key("entry", "default_deadline", Kind::Millis { min: 100, max: 3_600_000 }, "300000", "Deadline of a request that names none."),
    key("entry", "attempts", Kind::Count { min: 1, max: 10 }, "4", "Most attempts for one request. Only attempts that did not run are followed by another."),
    key("entry", "resume_window", Kind::Millis { min: 100, max: 120_000 }, "10000", "How long a stream tries to go on over new connections. The agent keeps it for [agent] linger."),
    key("relay", "listen", Kind::OptionalAddress, "", "Where callers are served. Needed by a relay."),
    key("relay", "ready", Kind::OptionalAddress, "", "Where the balancer asks whether the relay takes connections. Needed by a relay."),
    key("relay", "zones", Kind::Pairs, "", "The region of each availability zone, as `zone:region` with commas between."),
    key("relay", "retry_ratio", Kind::Number { min: 0.0, max: 1.0 }, "0.1", "Further sends for each request of a service, in a window, of all relays together."),
    key("relay", "retry_slack", Kind::Number { min: 0.0, max: 100_000.0 }, "32", "Further sends of a service that are free in each window, of all relays together."),
    key("relay", "retry_window", Kind::Number { min: 0.1, max: 600.0 }, "10", "The window of the bound on further sends, in seconds."),
    key("relay", "grace", Kind::Number { min: 0.5, max: 3_600.0 }, "8", "From SIGTERM to the platform's force, in seconds: a relay ends before."),
    key("relay", "config_apply", Kind::Millis { min: 500, max: 600_000 }, "3000", "From the acknowledgement of a configuration until it is in force everywhere. Watches on it wait so long that a connection which falls silent is noticed in time."),
    key("relay", "drain_apply", Kind::Millis { min: 500, max: 600_000 }, "3000", "From the acknowledgement that a backend server leaves until no relay sends it new work. Bounds watches like `config_apply`."),
    key("relay", "refuse", Kind::Choice(SWITCH), "on", "Whether streams are refused at once that no engine can hold or begin in time. Off: each goes to the best engine, however full."),
    key("relay", "returns", Kind::Choice(SWITCH), "on", "Whether callers that were refused and come back are told from new ones."),
    key("relay", "resume", Kind::Choice(SWITCH), "on", "Whether a stream of a resumable route goes on in another run when its engine fails. A caller may ask for that by itself in any case."),
    key("relay", "patience", Kind::Choice(SWITCH), "on", "Whether a stream of a resumable route is given up at an engine that makes no progress, before its caller gives it up."),
    key("relay", "avoid", Kind::Choice(SWITCH), "on", "Whether engines that fail part of their requests, by what all relays tell their scouts, are avoided."),
    key("relay", "shares", Kind::Choice(SWITCH), "on", "Whether workspaces that have taken more than their share of a service lately leave room for the others."),
    key("relay", "ask", Kind::Choice(SWITCH), "on", "Whether scouts are asked for the load of their engines before a stream is placed, where their reports come too seldom to choose by."),
    key("relay", "handoff", Kind::Choice(SWITCH), "off", "Whether runs move to another engine after their prompt is prefilled, where prompts that are prefilled beside them would make them exceed the longest gap that their route allows."),
    key("relay", "rescue", Kind::Choice(SWITCH), "off", "Whether runs move off engines where they are expected to exceed the longest gap that their route allows, or to run out of memory."),
    key("relay", "wait", Kind::Choice(SWITCH), "on", "Whether streams wait for room at the relay, on routes whose objective is longer than the shortest objective of their service."),
    key("relay", "lend", Kind::Choice(SWITCH), "on", "Whether relays lend each other the parts of servers' request limits that they do not use."),
    key("relay", "cleared", Kind::Fingerprints, "", "Requests that are taken for poison by mistake, by their fingerprints. Evidence against them is dropped by all relays when one reads this setting."),
    key("agent", "linger", Kind::Millis { min: 0, max: 600_000 }, "15000", "How long a stream that nobody reads goes on before it is cancelled. Longer than [entry] resume_window, so that a live entry is never too late."),
    key("agent", "replay", Kind::Millis { min: 0, max: 3_600_000 }, "60000", "How long a stream that ended can be resumed."),
    key("agent", "max_records", Kind::Count { min: 100, max: 1_000_000 }, "20000", "Most requests remembered, ended ones included until [agent] replay is over. Further ones are refused as `queue_full`."),
    key("backend", "kind", Kind::Choice(&["engine", "service"]), "engine", "What stands behind an agent."),
    key("backend", "service", Kind::OptionalName, "", "Service of the backend server. Needed by an agent."),
    key("backend", "address", Kind::OptionalAddress, "", "Where the backend server listens. Needed by an agent."),
    key("backend", "reuse_after", Kind::Number { min: 0.1, max: 3_600.0 }, "2", "Seconds after the end of a backend server in which the platform does not assign its address to another service. Used by a scout."),
    key("backend", "max_batch", Kind::Count { min: 1, max: 4_096 }, "32", "Most requests that run at once."),
    key("backend", "max_queued", Kind::Count { min: 0, max: 100_000 }, "512", "Most requests that wait. The expected wait bounds them earlier; this bounds memory."),
    key("backend", "max_wait", Kind::Millis { min: 10, max: 600_000 }, "20000", "Longest expected wait at which a request is still taken."),
    key("backend", "objective", Kind::Choice(&["stall", "gap"]), "stall", "What is weighed first: stall time, or the gap between tokens."),
    key("backend", "fencing", Kind::Choice(&["checked", "ignored"]), "checked", "Whether the backend server refuses orders with an old fencing number."),
    key("backend", "poll", Kind::Millis { min: 20, max: 60_000 }, "250", "How often the backend server's load is read."),
    key("backend", "silent", Kind::Millis { min: 100, max: 600_000 }, "3000", "A running stream of an engine that is silent for longer is attached anew."),
    key("link", "heartbeat", Kind::Millis { min: 50, max: 60_000 }, "1000", "Time between heartbeats on a connection between processes."),
    key("link", "silent", Kind::Millis { min: 150, max: 120_000 }, "3000", "A connection that is silent for longer is replaced. Three beats: one may be lost and one late."),
    key("link", "connect_time", Kind::Millis { min: 10, max: 60_000 }, "1000", "Time to open a connection, the exchange of hellos included."),
    key("link", "credit", Kind::Count { min: 8, max: 4_096 }, "128", "Tokens that an agent may send on a stream beyond what its caller has read."),
    key("drain", "notice", Kind::Millis { min: 0, max: 60_000 }, "2000", "After the first SIGTERM: time in which readiness fails and callers are still taken, so that the balancer turns away first."),
    key("drain", "limit", Kind::Millis { min: 0, max: 86_400_000 }, "3600000", "Longest wait for requests in flight. What is cut then is named in the log."),
    key("log", "format", Kind::Choice(&["text", "json"]), "text", "Form of the log's lines."),
    key("log", "level", Kind::Choice(&["error", "warn", "info", "debug"]), "info", "Least severe lines that are written."),
];
