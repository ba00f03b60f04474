//! A stand-in for the platform's service: objects, watches, the lagging list of hosts, rate limits,
//! outages, slow spells and lost answers.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cicada_lib::ids::Version;
use cicada_lib::platform::Condition;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::MAX_VALUE;
use cicada_lib::platform::Object;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout;

use crate::http_server::Call;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::Reply;
use crate::object_store::ObjectStore;
use crate::rate::RateLimit;

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The bearer token that it asks for; empty for none.
    pub token: String,
    /// Writes a second.
    pub write_rate: f64,
    /// Reads, lists and watches a second.
    pub read_rate: f64,
    /// The time that each call takes.
    pub latency: Duration,
    /// How late the list of hosts is.
    pub host_lag: Duration,
    /// Seeds the choice of lost answers.
    pub seed: u64,
}

impl PlatformSettings {
    /// A platform of the size that users have today, on any free port of the loopback.
    pub fn new() -> Self {
        PlatformSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            token: String::new(),
            write_rate: 400.0,
            read_rate: 2_000.0,
            latency: Duration::from_millis(2),
            host_lag: Duration::from_secs(3),
            seed: 1,
        }
    }
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings::new()
    }
}

/// The faults that are in force.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Milliseconds that each call takes in addition.
    pub slow: u64,
    /// The part of writes whose answer is lost after they took effect, from 0 to 1.
    pub lost: f64,
    /// The number of next writes whose answer is lost after they took effect.
    pub lose_next: u32,
    /// The number of next writes that are lost, and reach the store `late_by` milliseconds later:
    /// whoever reads back at once does not see them yet.
    pub late_next: u32,
    /// Milliseconds by which such writes are late.
    pub late_by: u64,
    /// The part of calls that are lost before they take effect, from 0 to 1.
    pub dropped: f64,
}

/// The calls counted, refused ones included.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlatformCounts {
    /// Calls of each kind: `read`, `write`, `delete`, `list`, `watch`, `hosts`.
    pub kinds: BTreeMap<String, u64>,
    /// Calls of each caller, by the header `x-caller`.
    pub callers: BTreeMap<String, u64>,
    /// Calls refused over the rate limits.
    pub limited: u64,
    /// Calls refused in an outage.
    pub outages: u64,
    /// Answers lost after a write took effect.
    pub lost: u64,
}

/// A change of the list of hosts, seen after the lag.
#[derive(Debug)]
struct HostChange {
    due: Instant,
    name: String,
    // `None` where the host is removed.
    record: Option<HostRecord>,
}

#[derive(Debug)]
struct State {
    store: ObjectStore,
    hosts: BTreeMap<String, HostRecord>,
    // In the order in which they become due: the lag is constant.
    changes: Vec<HostChange>,
    // Changes that are visible; the version of the list.
    host_changes: u64,
    writes: RateLimit,
    reads: RateLimit,
    faults: PlatformFaults,
    counts: PlatformCounts,
    rng: fastrand::Rng,
}

#[derive(Debug)]
struct Shared {
    settings: PlatformSettings,
    state: Mutex<State>,
}

/// A running stand-in of the platform.
pub struct PlatformServer {
    server: Arc<HttpServer>,
    shared: Arc<Shared>,
}

impl PlatformServer {
    /// Starts a stand-in on the current runtime.
    pub fn start(settings: PlatformSettings) -> io::Result<Self> {
        let state = State {
            store: ObjectStore::new(),
            hosts: BTreeMap::new(),
            changes: Vec::new(),
            host_changes: 0,
            writes: RateLimit::new(settings.write_rate),
            reads: RateLimit::new(settings.read_rate),
            faults: PlatformFaults::default(),
            counts: PlatformCounts::default(),
            rng: fastrand::Rng::with_seed(settings.seed),
        };
        let listen = settings.listen;
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::new(state),
        });
        Ok(PlatformServer {
            server: HttpServer::start(listen, shared.clone())?,
            shared,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Puts other faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.state().faults = faults;
    }

    /// The calls counted so far.
    pub fn counts(&self) -> PlatformCounts {
        self.shared.state().counts.clone()
    }

    /// Adds or changes a host; seen after the lag.
    pub fn put_host(&self, record: HostRecord) {
        let name = record.name.as_str().to_string();
        self.shared.change_host(name, Some(record));
    }

    /// Removes a host; seen after the lag.
    pub fn remove_host(&self, name: &str) {
        self.shared.change_host(name.to_string(), None);
    }

    /// An object, without a call.
    pub fn object(&self, key: &str) -> Option<Object> {
        self.shared.state().store.read(key).cloned()
    }

    /// The objects as they stand.
    pub fn snapshot(&self) -> BTreeMap<String, Object> {
        self.shared.state().store.snapshot()
    }

    /// Puts the objects back to an earlier state, as a restore from a backup does.
    pub fn restore(&self, objects: BTreeMap<String, Object>) {
        self.shared.state().store.restore(objects);
    }

    /// Refuses connections until [`PlatformServer::up`].
    pub async fn down(&self) {
        self.server.down().await;
    }

    /// Accepts connections again; the objects are still there.
    pub fn up(&self) -> io::Result<()> {
        self.server.up()
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            let path = call.path();
            if path[0] == "admin" {
                return self.admin(&call, &path[1..]);
            }
            if let Some(reply) = self.refusal(&call, &path) {
                return reply;
            }
            let slow = self.state().faults.slow;
            tokio::time::sleep(self.settings.latency + Duration::from_millis(slow)).await;
            self.serve(&call, &path).await
        }
        .boxed()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refusal(&self, call: &Call, path: &[String]) -> Option<Reply> {
        let token = &self.settings.token;
        let given = call.header("authorization").strip_prefix("Bearer ");
        if !token.is_empty() && given != Some(token) {
            return Some(Reply::text(StatusCode::UNAUTHORIZED, "no such token"));
        }
        self.state().refusal(call, kind(call, path))
    }

    async fn serve(self: &Arc<Self>, call: &Call, path: &[String]) -> Reply {
        if path[0] == "hosts" {
            return self.hosts(call.header("if-none-match"));
        }
        if path[0] != "objects" {
            return Reply::text(StatusCode::NOT_FOUND, "no such path");
        }
        if path.len() == 1 {
            let prefix = call.query("prefix").unwrap_or_default();
            let after = call.query("after").unwrap_or_default();
            return Reply::json(&self.state().store.list(&prefix, &after));
        }
        let key = path[1..].join("/");
        match call.head.method {
            Method::GET => match call.number("watch") {
                Some(version) => self.watch(call, &key, Version(version)).await,
                None => self.state().read(&key),
            },
            Method::PUT => self.put(call, key),
            Method::DELETE => self.state().delete(call, &key),
            _ => Reply::text(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
        }
    }

    async fn watch(&self, call: &Call, key: &str, version: Version) -> Reply {
        let wait = Duration::from_millis(call.number("wait").unwrap_or_default());
        let mut changes = self.state().store.changes();
        let newer = async {
            loop {
                changes.mark_unchanged();
                if let Some(object) = self.state().newer(key, version) {
                    return object_reply(&object);
                }
                if changes.changed().await.is_err() {
                    return Reply::Cut;
                }
            }
        };
        timeout(wait, newer)
            .await
            .unwrap_or_else(|_| Reply::bytes(StatusCode::NO_CONTENT, Bytes::new()))
    }

    fn put(self: &Arc<Self>, call: &Call, key: String) -> Reply {
        let late = self.state().late();
        let Some(delay) = late else {
            return self.state().write(call, &key);
        };
        let shared = self.clone();
        let call = call.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            shared.state().write(&call, &key);
        });
        Reply::Cut
    }

    fn hosts(&self, held: &str) -> Reply {
        let mut state = self.state();
        state.settle_hosts(Instant::now());
        let tag = format!("\"{}\"", state.host_changes);
        if held == tag {
            return Reply::bytes(StatusCode::NOT_MODIFIED, Bytes::new());
        }
        let hosts: Vec<_> = state.hosts.values().collect();
        Reply::json(&hosts).with_header("etag", tag)
    }

    fn change_host(&self, name: String, record: Option<HostRecord>) {
        let due = Instant::now() + self.settings.host_lag;
        self.state().changes.push(HostChange { due, name, record });
    }

    fn admin(&self, call: &Call, path: &[String]) -> Reply {
        let parts: Vec<_> = path.iter().map(String::as_str).collect();
        match (call.head.method.as_str(), parts.as_slice()) {
            ("GET", ["counts"]) => return Reply::json(&self.state().counts),
            ("GET", ["faults"]) => return Reply::json(&self.state().faults),
            ("PUT", ["faults"]) => match serde_json::from_slice(&call.body) {
                Ok(faults) => self.state().faults = faults,
                Err(error) => return Reply::text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            ("PUT", ["hosts", name]) => match serde_json::from_slice(&call.body) {
                Ok(record) => self.change_host((*name).to_string(), Some(record)),
                Err(error) => return Reply::text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            ("DELETE", ["hosts", name]) => self.change_host((*name).to_string(), None),
            _ => return Reply::text(StatusCode::NOT_FOUND, "no such path"),
        }
        Reply::text(StatusCode::OK, "")
    }
}

impl State {
    fn refusal(&mut self, call: &Call, kind: &'static str) -> Option<Reply> {
        *self.counts.kinds.entry(kind.to_string()).or_default() += 1;
        let caller = call.header("x-caller").to_string();
        *self.counts.callers.entry(caller).or_default() += 1;
        if self.faults.outage {
            self.counts.outages += 1;
            return Some(Reply::text(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        let limit = if call.head.method == Method::GET {
            &mut self.reads
        } else {
            &mut self.writes
        };
        if !limit.take(Instant::now()) {
            self.counts.limited += 1;
            return Some(Reply::text(StatusCode::TOO_MANY_REQUESTS, "over the rate"));
        }
        (self.rng.f64() < self.faults.dropped).then_some(Reply::Cut)
    }

    fn read(&self, key: &str) -> Reply {
        match self.store.read(key) {
            Some(object) => object_reply(object),
            None => Reply::text(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn newer(&self, key: &str, version: Version) -> Option<Object> {
        let object = self.store.read(key)?;
        (object.version > version).then(|| object.clone())
    }

    fn write(&mut self, call: &Call, key: &str) -> Reply {
        if call.body.len() > MAX_VALUE {
            return Reply::text(StatusCode::PAYLOAD_TOO_LARGE, "split the value");
        }
        let condition = condition(call);
        let written = self.store.write(key, call.body.clone(), condition);
        self.effect(written.map(Some))
    }

    fn delete(&mut self, call: &Call, key: &str) -> Reply {
        let deleted = self.store.delete(key, condition(call));
        self.effect(deleted.map(|()| None))
    }

    fn effect(&mut self, result: Result<Option<Version>, Option<Version>>) -> Reply {
        if self.loses_answer() {
            self.counts.lost += 1;
            return Reply::Cut;
        }
        match result {
            Ok(version) => with_version(Reply::text(StatusCode::OK, ""), version),
            Err(found) => with_version(
                Reply::text(
                    StatusCode::PRECONDITION_FAILED,
                    "the condition does not hold",
                ),
                found,
            ),
        }
    }

    /// How late the next write reaches the store.
    fn late(&mut self) -> Option<Duration> {
        self.faults.late_next = self.faults.late_next.checked_sub(1)?;
        Some(Duration::from_millis(self.faults.late_by))
    }

    fn loses_answer(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        self.rng.f64() < self.faults.lost
    }

    fn settle_hosts(&mut self, now: Instant) {
        let due = self.changes.partition_point(|change| change.due <= now);
        for change in self.changes.drain(..due) {
            self.host_changes += 1;
            match change.record {
                Some(record) => self.hosts.insert(change.name, record),
                None => self.hosts.remove(&change.name),
            };
        }
    }
}

fn kind(call: &Call, path: &[String]) -> &'static str {
    match call.head.method {
        Method::PUT => "write",
        Method::DELETE => "delete",
        _ if path[0] == "hosts" => "hosts",
        _ if path.len() == 1 => "list",
        _ if call.query("watch").is_some() => "watch",
        _ => "read",
    }
}

fn condition(call: &Call) -> Option<Condition> {
    if call.header("if-none-match") == "*" {
        return Some(Condition::Absent);
    }
    let tag = call.header("if-match");
    if tag.is_empty() {
        return None;
    }
    // No object has version 0, so that a tag which is no number never holds.
    let version = tag.trim_matches('"').parse().unwrap_or_default();
    Some(Condition::At(Version(version)))
}

fn object_reply(object: &Object) -> Reply {
    let reply = Reply::bytes(StatusCode::OK, object.value.clone());
    with_version(reply, Some(object.version))
}

fn with_version(reply: Reply, version: Option<Version>) -> Reply {
    match version {
        Some(version) => reply.with_header("etag", format!("\"{}\"", version.0)),
        None => reply,
    }
}
