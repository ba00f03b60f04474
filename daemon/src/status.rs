//! The pages on which a process tells its state: not for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::daemon_settings::Settings;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use eyre::Context;
use serde::Serialize;
use tokio::sync::watch;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::bytes::Bytes;
use xitca_web::handler::handler_service;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::HeaderValue;
use xitca_web::route::get;

use crate::metrics::Metrics;

/// Where a process stands between its start and its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ProcessState {
    /// It has no configuration in force yet, or as an entry knows of no backend server.
    Starting,
    /// It takes new work.
    Ready,
    /// It ends what it has.
    Draining,
    /// A task that follows the deployment's state panics again and again.
    Failing,
}

/// What the process tells of itself.
#[derive(Debug, Serialize)]
struct StatusPage<'a> {
    name: &'a Name,
    role: &'a str,
    region: &'a str,
    zone: &'a str,
    service: &'a str,
    state: ProcessState,
    version: u64,
    digest: String,
    in_flight: i64,
    incarnation: u64,
}

/// The process's state, shared by its parts.
pub(crate) struct Process {
    settings: Settings,
    name: Name,
    incarnation: u64,
    metrics: Metrics,
    config: ArcSwapOption<LoadedConfig>,
    // As the platform gave it last.
    hosts: ArcSwap<Vec<HostRecord>>,
    state: AtomicU8,
    // Whether an entry has learned of a backend server; an agent has its own from the start.
    has_servers: AtomicBool,
    draining_since: OnceLock<Instant>,
    // Whether requests without an answer must get one.
    ending: watch::Sender<bool>,
    in_flight: Box<dyn Fn() -> i64 + Send + Sync>,
}

impl Process {
    /// A process that starts.
    pub(crate) fn new(
        settings: Settings,
        metrics: Metrics,
        in_flight: Box<dyn Fn() -> i64 + Send + Sync>,
    ) -> Self {
        let has_servers = settings.role() == HostRole::Agent;
        Process {
            name: settings.name("process", "name"),
            settings,
            // A later start of the same host has a larger one, so that words on its predecessor do not
            // hit it.
            incarnation: unix_millis(),
            metrics,
            config: ArcSwapOption::empty(),
            hosts: ArcSwap::default(),
            state: AtomicU8::new(ProcessState::Starting as u8),
            has_servers: AtomicBool::new(has_servers),
            draining_since: OnceLock::new(),
            ending: watch::Sender::new(false),
            in_flight,
        }
    }

    /// Its settings.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The host's name.
    pub(crate) fn name(&self) -> &Name {
        &self.name
    }

    /// Differs at each start.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The configuration in force. Traffic threads read it without a lock.
    pub(crate) fn config(&self) -> Option<Arc<LoadedConfig>> {
        self.config.load_full()
    }

    /// The platform's list of hosts, as last read.
    pub(crate) fn hosts(&self) -> Arc<Vec<HostRecord>> {
        self.hosts.load_full()
    }

    /// Keeps the list of hosts.
    pub(crate) fn set_hosts(&self, hosts: Vec<HostRecord>) {
        self.hosts.store(Arc::new(hosts));
    }

    /// Puts a configuration in force.
    pub(crate) fn set_config(&self, loaded: Arc<LoadedConfig>) {
        self.config.store(Some(loaded));
        self.note_ready();
    }

    /// Notes that an entry knows of a backend server.
    pub(crate) fn set_has_servers(&self) {
        self.has_servers.store(true, Ordering::Release);
        self.note_ready();
    }

    /// An entry that a balancer sends callers to before it knows of a server would refuse them all.
    fn note_ready(&self) {
        if self.config.load().is_none() || !self.has_servers.load(Ordering::Acquire) {
            return;
        }
        let starting = ProcessState::Starting as u8;
        let ready = ProcessState::Ready as u8;
        let _ = self
            .state
            .compare_exchange(starting, ready, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Where it stands.
    pub(crate) fn state(&self) -> ProcessState {
        match self.state.load(Ordering::Acquire) {
            0 => ProcessState::Starting,
            1 => ProcessState::Ready,
            _ => ProcessState::Draining,
        }
    }

    /// Begins to drain, for good.
    pub(crate) fn drain(&self) {
        self.draining_since.get_or_init(Instant::now);
        self.state
            .store(ProcessState::Draining as u8, Ordering::Release);
    }

    /// For how long it has been draining; `None` while it serves.
    pub(crate) fn draining_for(&self) -> Option<Duration> {
        self.draining_since.get().map(Instant::elapsed)
    }

    /// How long the balancer takes to turn away, and the longest wait for requests after it.
    pub(crate) fn drain_times(&self) -> (Duration, Duration) {
        let time = |key| self.settings.millis("drain", key);
        (time("notice"), time("limit"))
    }

    /// Has requests without an answer get one from this process.
    pub(crate) fn end_requests(&self) {
        self.ending.send_replace(true);
    }

    /// Waits until requests without an answer must get one.
    pub(crate) async fn ending(&self) {
        let mut ending = self.ending.subscribe();
        // The wait fails only if the process is gone.
        drop(ending.wait_for(|ending| *ending).await);
    }

    /// Requests that are not over.
    pub(crate) fn in_flight(&self) -> i64 {
        (self.in_flight)()
    }

    fn page(&self) -> Vec<u8> {
        let config = self.config();
        let page = StatusPage {
            name: &self.name,
            role: self.settings.text("process", "role"),
            region: self.settings.text("process", "region"),
            zone: self.settings.text("process", "zone"),
            service: self.settings.text("backend", "service"),
            state: self.state(),
            version: config.as_ref().map_or(0, |loaded| loaded.version.0),
            digest: config
                .map(|loaded| loaded.digest.to_string())
                .unwrap_or_default(),
            in_flight: self.in_flight(),
            incarnation: self.incarnation,
        };
        serde_json::to_vec(&page).unwrap_or_default()
    }
}

/// The time of day in milliseconds of Unix time.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// What the pages show.
pub(crate) trait StatusSource: Send + Sync {
    /// Where the process stands.
    fn state(&self) -> ProcessState;

    /// What it tells of itself, in JSON.
    fn page(&self) -> Vec<u8>;

    /// Its figures, as text.
    fn figures(&self) -> Vec<u8>;
}

impl StatusSource for Process {
    fn state(&self) -> ProcessState {
        Process::state(self)
    }

    fn page(&self) -> Vec<u8> {
        Process::page(self)
    }

    fn figures(&self) -> Vec<u8> {
        self.metrics.render()
    }
}

type Page<'a> = WebContext<'a, Arc<dyn StatusSource>>;

/// Serves the pages on a thread of its own.
pub(crate) fn serve(source: Arc<dyn StatusSource>, address: SocketAddr) -> eyre::Result<()> {
    let app = App::new()
        .with_state(source)
        .at("/status", get(handler_service(status)))
        .at("/healthz", get(handler_service(healthz)))
        .at("/readyz", get(handler_service(readyz)))
        .at("/metrics", get(handler_service(metrics)));
    let server = app
        .serve()
        .worker_threads(1)
        .disable_signal()
        .bind(address)
        .wrap_err_with(|| format!("status: {address} cannot be listened on; see [process] status"))?
        .run();
    std::thread::Builder::new()
        .name("status".into())
        .spawn(move || server.wait())
        .wrap_err("status: a thread could not be started")?;
    Ok(())
}

fn answer(status: StatusCode, kind: &'static str, body: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(Bytes::from(body).into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

async fn status(ctx: &Page<'_>) -> WebResponse {
    answer(StatusCode::OK, "application/json", ctx.state().page())
}

async fn healthz(_ctx: &Page<'_>) -> WebResponse {
    answer(StatusCode::OK, "text/plain", b"alive\n".to_vec())
}

async fn readyz(ctx: &Page<'_>) -> WebResponse {
    match ctx.state().state() {
        ProcessState::Ready => answer(StatusCode::OK, "text/plain", b"ready\n".to_vec()),
        ProcessState::Starting => answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            b"starting: no configuration in force or no backend server known yet\n".to_vec(),
        ),
        ProcessState::Draining => answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            b"draining\n".to_vec(),
        ),
        ProcessState::Failing => answer(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            b"failing: a task panics again and again; see the log\n".to_vec(),
        ),
    }
}

async fn metrics(ctx: &Page<'_>) -> WebResponse {
    let body = ctx.state().figures();
    answer(StatusCode::OK, "text/plain; version=0.0.4", body)
}
