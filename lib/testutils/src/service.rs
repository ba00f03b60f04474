//! A stand-in for a plain service, some of whose calls may not be repeated.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http_server::Call;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::Reply;

/// The header by which a caller marks a call that it may send again.
pub const KEY_HEADER: &str = "idempotency-key";

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The time that a call takes.
    pub service_time: Duration,
    /// The calls that run at once; the others wait. Zero for no bound.
    pub workers: usize,
    /// The time from its death to its next start.
    pub restart: Duration,
    /// Seeds the choice of lost answers.
    pub seed: u64,
}

impl ServiceSettings {
    /// A service that takes 5 ms a call, on any free port of the loopback.
    pub fn new() -> Self {
        ServiceSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service_time: Duration::from_millis(5),
            workers: 16,
            restart: Duration::from_millis(500),
            seed: 1,
        }
    }
}

impl Default for ServiceSettings {
    fn default() -> Self {
        ServiceSettings::new()
    }
}

/// The faults that are in force.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Milliseconds that each call takes in addition.
    pub slow: u64,
    /// The part of calls whose answer is lost after they took effect, from 0 to 1.
    pub lost: f64,
    /// The number of next calls whose answer is lost after they took effect.
    pub lose_next: u32,
    /// Every call is refused before it runs, and the answer says so.
    pub refuse: bool,
    /// Refusals name no time to come back.
    pub untimed: bool,
    /// Every call fails with status 500 after it took effect.
    pub fail: bool,
}

/// A call that took effect.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Effect {
    /// The caller's key; empty where it sent none.
    pub key: String,
    /// The path.
    pub path: String,
    /// The body's text.
    pub body: String,
}

#[derive(Debug)]
struct State {
    faults: ServiceFaults,
    effects: Vec<Effect>,
    reads: u64,
    refusals: u64,
    rng: fastrand::Rng,
}

struct Shared {
    settings: ServiceSettings,
    state: Mutex<State>,
    workers: tokio::sync::Semaphore,
    // Set once, right after the server is started.
    server: OnceLock<Weak<HttpServer>>,
}

/// A running stand-in of a plain service. What took effect outlives its death, as in a database.
pub struct ServiceServer {
    server: Arc<HttpServer>,
    shared: Arc<Shared>,
}

impl ServiceServer {
    /// Starts a stand-in on the current runtime.
    pub fn start(settings: ServiceSettings) -> io::Result<Self> {
        let state = State {
            faults: ServiceFaults::default(),
            effects: Vec::new(),
            reads: 0,
            refusals: 0,
            rng: fastrand::Rng::with_seed(settings.seed),
        };
        let listen = settings.listen;
        let workers = match settings.workers {
            0 => tokio::sync::Semaphore::MAX_PERMITS,
            workers => workers,
        };
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::new(state),
            workers: tokio::sync::Semaphore::new(workers),
            server: OnceLock::new(),
        });
        let server = HttpServer::start(listen, shared.clone())?;
        let _ = shared.server.set(Arc::downgrade(&server));
        Ok(ServiceServer { server, shared })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Puts other faults in force.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.state().faults = faults;
    }

    /// The calls that took effect, in order.
    pub fn effects(&self) -> Vec<Effect> {
        self.shared.state().effects.clone()
    }

    /// How many calls with this key took effect.
    pub fn count(&self, key: &str) -> usize {
        let state = self.shared.state();
        state.effects.iter().filter(|call| call.key == key).count()
    }

    /// Reads answered so far.
    pub fn reads(&self) -> u64 {
        self.shared.state().reads
    }

    /// Kills it: every connection is cut, and it starts anew after the time in its settings.
    pub async fn kill(&self) {
        self.shared.clone().die().await;
    }

    /// The number of calls that it refused.
    pub fn refusals(&self) -> u64 {
        self.shared.state().refusals
    }

    /// Refuses connections until [`ServiceServer::up`].
    pub async fn down(&self) {
        self.server.down().await;
    }

    /// Accepts connections again.
    pub fn up(&self) -> io::Result<()> {
        self.server.up()
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            let path = call.path();
            let path: Vec<_> = path.iter().map(String::as_str).collect();
            match (call.head.method.as_str(), path.as_slice()) {
                ("GET", ["health"]) => Reply::text(StatusCode::OK, "ok"),
                ("GET", ["record"]) => Reply::json(&self.state().effects),
                ("PUT", ["admin", "faults"]) => self.put_faults(&call),
                ("POST", ["admin", "kill"]) => {
                    // Not awaited: it cuts the connection that this answer would take.
                    tokio::spawn(self.die());
                    Reply::Cut
                }
                _ => self.serve(&call).await,
            }
        }
        .boxed()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn die(self: Arc<Self>) {
        if let Some(server) = self.server.get().and_then(Weak::upgrade) {
            server.restart(self.settings.restart, || ()).await;
        }
    }

    fn put_faults(&self, call: &Call) -> Reply {
        match serde_json::from_slice(&call.body) {
            Ok(faults) => self.state().faults = faults,
            Err(error) => return Reply::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
        Reply::text(StatusCode::OK, "")
    }

    async fn serve(&self, call: &Call) -> Reply {
        if self.state().faults.refuse {
            self.state().refusals += 1;
            let refusal =
                Reply::text(StatusCode::SERVICE_UNAVAILABLE, "refused").with_header("x-ran", "no");
            return match self.state().faults.untimed {
                true => refusal,
                false => refusal.with_header("retry-after", 1),
            };
        }
        let _worker = self.workers.acquire().await;
        let slow = Duration::from_millis(self.state().faults.slow);
        tokio::time::sleep(self.settings.service_time + slow).await;
        self.state().run(call)
    }
}

impl State {
    fn run(&mut self, call: &Call) -> Reply {
        let path = call.head.uri.path().to_string();
        let reply = if call.head.method == Method::GET {
            self.reads += 1;
            Reply::text(StatusCode::OK, format!("read {path}"))
        } else {
            self.effects.push(Effect {
                key: call.header(KEY_HEADER).to_string(),
                path,
                body: String::from_utf8_lossy(&call.body).into_owned(),
            });
            Reply::bytes(StatusCode::OK, receipt(self.effects.len(), &call.body))
        };
        if self.loses_answer() {
            return Reply::Cut;
        }
        if self.faults.fail {
            return Reply::text(StatusCode::INTERNAL_SERVER_ERROR, "failed after the effect");
        }
        reply
    }

    fn loses_answer(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        self.rng.f64() < self.faults.lost
    }
}

/// The answer to a call that took effect: its number, and the body that was sent.
fn receipt(number: usize, body: &Bytes) -> Bytes {
    let text = String::from_utf8_lossy(body);
    Bytes::from(format!("effect {number}: {text}"))
}
