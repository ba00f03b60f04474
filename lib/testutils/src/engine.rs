//! A stand-in for a model engine, over HTTP.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Order;
use cicada_lib::engine_http::OrderRequest;
use cicada_lib::engine_http::StreamLine;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::engine_core::CoreSettings;
use crate::engine_core::EngineCore;
use crate::engine_core::RunRecord;
use crate::engine_core::Step;
use crate::http_server::Body;
use crate::http_server::Call;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::Reply;

/// The longest silence of a stream: an empty line is sent then.
pub const SIGN_OF_LIFE: Duration = Duration::from_millis(500);

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The batch.
    pub core: CoreSettings,
    /// The models and adapters that are loaded at each start.
    pub models: Vec<Name>,
    /// How late the report of the load is.
    pub load_lag: Duration,
    /// Whether orders under an old fencing number are refused.
    pub fencing: bool,
    /// The time to load a model once the weight store lets it.
    pub model_load: Duration,
    /// The weight store, asked before each load.
    pub weights: Option<SocketAddr>,
    /// The time from the engine's death to its next start.
    pub restart: Duration,
}

impl EngineSettings {
    /// A small engine with the model `model`, on any free port of the loopback.
    pub fn new() -> Self {
        EngineSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            core: CoreSettings::new(),
            models: vec![Name::new("model")],
            load_lag: Duration::from_millis(100),
            fencing: true,
            model_load: Duration::from_millis(500),
            weights: None,
            restart: Duration::from_millis(500),
        }
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings::new()
    }
}

/// An order that the engine took or refused, in the record.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderRecord {
    /// The fencing number that it carried.
    pub fence: u64,
    /// The order.
    pub order: Order,
    /// Whether it was carried out.
    pub taken: bool,
}

/// What the engine ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineRecord {
    /// The generations, in the order of their start.
    pub runs: Vec<RunRecord>,
    /// The orders, in the order of their arrival.
    pub orders: Vec<OrderRecord>,
    /// How often the engine died.
    pub deaths: u64,
}

#[derive(Debug)]
struct Report {
    taken: Instant,
    load: EngineLoad,
}

#[derive(Debug)]
struct State {
    core: EngineCore,
    models: Vec<Name>,
    role: Name,
    fence: u64,
    orders: Vec<OrderRecord>,
    deaths: u64,
    // Multiplies the time of each step.
    slow: f64,
    step_micros: u64,
    // Oldest first; the first is the newest that is older than the lag.
    reports: VecDeque<Report>,
    // No step is taken until the engine is up again.
    dead: bool,
}

struct Shared {
    settings: EngineSettings,
    state: Mutex<State>,
    work: Notify,
    // Set once, right after the server is started.
    server: Mutex<Weak<HttpServer>>,
}

/// A running stand-in of an engine.
pub struct EngineServer {
    server: Arc<HttpServer>,
    shared: Arc<Shared>,
}

impl EngineServer {
    /// Starts a stand-in on the current runtime.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let state = State {
            core: EngineCore::new(settings.core.clone(), fastrand::u64(1..)),
            models: settings.models.clone(),
            role: Name::new("mixed"),
            fence: 0,
            orders: Vec::new(),
            deaths: 0,
            slow: 1.0,
            step_micros: 0,
            reports: VecDeque::new(),
            dead: false,
        };
        let listen = settings.listen;
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::new(state),
            work: Notify::new(),
            server: Mutex::new(Weak::new()),
        });
        let server = HttpServer::start(listen, shared.clone())?;
        *lock(&shared.server) = Arc::downgrade(&server);
        tokio::spawn(run_steps(Arc::downgrade(&shared)));
        Ok(EngineServer { server, shared })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// What it ran so far.
    pub fn record(&self) -> EngineRecord {
        self.shared.record()
    }

    /// Its load now, without the lag.
    pub fn load(&self) -> EngineLoad {
        self.shared.state().load(&self.shared.settings)
    }

    /// Kills it: every connection is cut, every generation is gone, and it starts anew after the
    /// time in its settings.
    pub async fn kill(&self) {
        self.shared.clone().die().await;
    }

    /// Multiplies the time of each step from now on.
    pub fn set_slow(&self, factor: f64) {
        self.shared.state().slow = factor;
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            let path = call.path();
            let path: Vec<_> = path.iter().map(String::as_str).collect();
            match (call.head.method.as_str(), path.as_slice()) {
                ("POST", ["generations"]) => self.generate(&call),
                ("GET", ["generations", id]) => self.attach(&call, id),
                ("DELETE", ["generations", id]) => {
                    self.change(id, |core, id| core.cancel(id, Instant::now()))
                }
                ("POST", ["generations", id, "pause"]) => self.change(id, EngineCore::pause),
                ("POST", ["generations", id, "resume"]) => self.change(id, EngineCore::resume),
                ("GET", ["load"]) => Reply::json(&self.reported_load()),
                ("POST", ["orders"]) => self.order(&call),
                ("GET", ["cache-events"]) => self.cache_events(&call),
                ("GET", ["record"]) => Reply::json(&self.record()),
                ("POST", ["admin", "kill"]) => {
                    tokio::spawn(self.clone().die());
                    Reply::Cut
                }
                ("POST", ["admin", "slow"]) => self.slow_down(&call),
                _ => Reply::text(StatusCode::NOT_FOUND, "no such path"),
            }
        }
        .boxed()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn generate(self: &Arc<Self>, call: &Call) -> Reply {
        let spec: GenerationSpec = match serde_json::from_slice(&call.body) {
            Ok(spec) => spec,
            Err(error) => return not_run(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let id = spec.id;
        let mut state = self.state();
        if !state.holds(&spec) {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, "the model is not loaded");
        }
        if !state.core.start(spec) {
            return Reply::text(StatusCode::CONFLICT, "the identifier was given before");
        }
        drop(state);
        self.work.notify_one();
        self.stream(id, 0)
    }

    fn attach(self: &Arc<Self>, call: &Call, id: &str) -> Reply {
        let from = call.number("from").unwrap_or_default();
        let from = u32::try_from(from).unwrap_or(u32::MAX);
        let found = parse_id(id).and_then(|id| Some((id, self.state().core.place(id, from)?)));
        match found {
            Some((id, place)) => self.stream(id, place),
            None => Reply::text(StatusCode::NOT_FOUND, "no such generation"),
        }
    }

    fn stream(self: &Arc<Self>, id: GenerationId, place: usize) -> Reply {
        let reader = Reader {
            shared: Arc::downgrade(self),
            id,
            place,
        };
        let frames = stream::unfold(Some(reader), |reader| async move {
            let (bytes, rest) = reader?.next().await;
            Some((Ok::<_, Infallible>(Frame::data(bytes)), rest))
        });
        let body: Body = StreamBody::new(frames).boxed_unsync();
        Reply::stream(body).with_header("content-type", "application/x-ndjson")
    }

    fn change(&self, id: &str, act: impl FnOnce(&mut EngineCore, GenerationId) -> bool) -> Reply {
        let known = parse_id(id).is_some_and(|id| act(&mut self.state().core, id));
        self.work.notify_one();
        if known {
            Reply::text(StatusCode::OK, "")
        } else {
            Reply::text(StatusCode::NOT_FOUND, "no such generation")
        }
    }

    fn order(self: &Arc<Self>, call: &Call) -> Reply {
        let request: OrderRequest = match serde_json::from_slice(&call.body) {
            Ok(request) => request,
            Err(error) => return not_run(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let mut state = self.state();
        let taken = request.fence >= state.fence || !self.settings.fencing;
        state.orders.push(OrderRecord {
            fence: request.fence,
            order: request.order.clone(),
            taken,
        });
        if !taken {
            return Reply::text(StatusCode::PRECONDITION_FAILED, "a newer number was seen")
                .with_header("x-fence", state.fence);
        }
        state.fence = state.fence.max(request.fence);
        match request.order {
            Order::Role(role) => state.role = role,
            Order::Unload(name) => state.models.retain(|model| *model != name),
            Order::Load(name) => {
                tokio::spawn(load_model(
                    Arc::downgrade(self),
                    name,
                    state.core.incarnation(),
                ));
            }
        }
        Reply::text(StatusCode::ACCEPTED, "")
    }

    fn cache_events(&self, call: &Call) -> Reply {
        let after = call.number("after").unwrap_or_default();
        let events = self.state().core.cache().events(after, Instant::now());
        Reply::json(&events)
    }

    fn slow_down(&self, call: &Call) -> Reply {
        let factor = call.query("factor").and_then(|text| text.parse().ok());
        self.state().slow = factor.unwrap_or(1.0);
        Reply::text(StatusCode::OK, "")
    }

    fn reported_load(&self) -> EngineLoad {
        let mut state = self.state();
        state.settle_reports(&self.settings, Instant::now());
        match state.reports.front() {
            Some(report) => report.load.clone(),
            None => state.load(&self.settings),
        }
    }

    fn record(&self) -> EngineRecord {
        let state = self.state();
        EngineRecord {
            runs: state.core.records(),
            orders: state.orders.clone(),
            deaths: state.deaths,
        }
    }

    async fn die(self: Arc<Self>) {
        if !self.state().die() {
            return;
        }
        let shared = Arc::downgrade(&self);
        let server = lock(&self.server).upgrade();
        if let Some(server) = server {
            let ready = move || {
                if let Some(shared) = shared.upgrade() {
                    shared.come_back();
                }
            };
            server.restart(self.settings.restart, ready).await;
        }
    }

    fn come_back(&self) {
        let mut state = self.state();
        state.dead = false;
        state.models = self.settings.models.clone();
        state.role = Name::new("mixed");
        state.fence = 0;
        state.core.reborn(fastrand::u64(1..));
    }
}

impl State {
    /// Everything is gone; `false` where the engine is dead already.
    fn die(&mut self) -> bool {
        if self.dead {
            return false;
        }
        self.dead = true;
        self.deaths += 1;
        self.core.die();
        self.reports.clear();
        true
    }

    fn holds(&self, spec: &GenerationSpec) -> bool {
        let adapter = spec.adapter.as_str().is_empty() || self.models.contains(&spec.adapter);
        adapter && self.models.contains(&spec.model)
    }

    fn load(&self, settings: &EngineSettings) -> EngineLoad {
        EngineLoad {
            running: u32::try_from(self.core.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.core.waiting()).unwrap_or(u32::MAX),
            used_tokens: self.core.used(),
            capacity_tokens: settings.core.capacity,
            preemptions: self.core.preemptions(),
            step_micros: self.step_micros,
            incarnation: self.core.incarnation(),
            models: self.models.clone(),
            role: self.role.clone(),
            fence: self.fence,
        }
    }

    fn settle_reports(&mut self, settings: &EngineSettings, now: Instant) {
        let load = self.load(settings);
        self.reports.push_back(Report { taken: now, load });
        let old =
            |report: &Report| now.saturating_duration_since(report.taken) >= settings.load_lag;
        while self.reports.get(1).is_some_and(old) {
            self.reports.pop_front();
        }
    }
}

/// Takes steps until the stand-in is dropped.
async fn run_steps(shared: Weak<Shared>) {
    loop {
        let Some(engine) = shared.upgrade() else {
            return;
        };
        let (step, incarnation) = engine.plan();
        match step {
            Step::Killed => engine.die().await,
            Step::Ran(time) => {
                tokio::time::sleep(time).await;
                engine.produce(incarnation, time);
            }
            Step::Idle => {
                // Looks again now and then, to notice that the stand-in was dropped.
                let _ = timeout(SIGN_OF_LIFE, engine.work.notified()).await;
            }
        }
    }
}

impl Shared {
    fn plan(&self) -> (Step, u64) {
        let mut state = self.state();
        let incarnation = state.core.incarnation();
        if state.dead {
            return (Step::Idle, incarnation);
        }
        let step = match state.core.plan(Instant::now()) {
            Step::Ran(time) => Step::Ran(time.mul_f64(state.slow)),
            other => other,
        };
        (step, incarnation)
    }

    fn produce(&self, incarnation: u64, time: Duration) {
        let now = Instant::now();
        let mut state = self.state();
        if state.dead || state.core.incarnation() != incarnation {
            return;
        }
        state.core.produce(now);
        state.step_micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        state.settle_reports(&self.settings, now);
    }
}

/// Waits for the weight store and the load, and then holds the model.
async fn load_model(shared: Weak<Shared>, name: Name, incarnation: u64) {
    let Some(settings) = shared.upgrade().map(|shared| shared.settings.clone()) else {
        return;
    };
    if let Some(weights) = settings.weights {
        while !slot_granted(weights).await {
            tokio::time::sleep(SLOT_RETRY).await;
        }
    }
    tokio::time::sleep(settings.model_load).await;
    let Some(shared) = shared.upgrade() else {
        return;
    };
    let mut state = shared.state();
    if state.core.incarnation() == incarnation && !state.models.contains(&name) {
        state.models.push(name);
    }
}

const SLOT_RETRY: Duration = Duration::from_millis(50);

async fn slot_granted(weights: SocketAddr) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = http::Request::builder()
        .method(Method::POST)
        .uri(format!("http://{weights}/slots"))
        .body(Full::default());
    let Ok(request) = request else {
        return false;
    };
    let answer = client.request(request).await;
    answer.is_ok_and(|response| response.status().is_success())
}

/// A stream's place in a generation.
struct Reader {
    shared: Weak<Shared>,
    id: GenerationId,
    place: usize,
}

impl Reader {
    /// The next lines, and the reader for those after them.
    async fn next(mut self) -> (Bytes, Option<Reader>) {
        loop {
            let Some(shared) = self.shared.upgrade() else {
                return (Bytes::new(), None);
            };
            if shared.state().dead {
                // The connection is about to be cut; a dying process says nothing.
                std::future::pending::<()>().await;
            }
            let Some(page) = shared.state().core.page(self.id, self.place) else {
                return (encode(&[StreamLine::Gone]), None);
            };
            if !page.lines.is_empty() {
                self.place += page.lines.len();
                let rest = (!page.over).then_some(self);
                return (encode(&page.lines), rest);
            }
            if page.over {
                return (Bytes::new(), None);
            }
            let mut changed = std::pin::pin!(page.changed.notified());
            changed.as_mut().enable();
            // A line may have come between the page and the registration.
            let again = shared.state().core.page(self.id, self.place);
            drop(shared);
            if again.is_none_or(|page| !page.lines.is_empty()) {
                continue;
            }
            if timeout(SIGN_OF_LIFE, changed).await.is_err() {
                return (Bytes::from_static(b"\n"), Some(self));
            }
        }
    }
}

fn encode(lines: &[StreamLine]) -> Bytes {
    let mut bytes = Vec::new();
    for line in lines {
        if serde_json::to_writer(&mut bytes, line).is_ok() {
            bytes.push(b'\n');
        }
    }
    bytes.into()
}

fn not_run(status: StatusCode, text: impl Into<String>) -> Reply {
    Reply::text(status, text).with_header("x-ran", "no")
}

fn parse_id(text: &str) -> Option<GenerationId> {
    u64::from_str_radix(text, 16).ok().map(GenerationId)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
