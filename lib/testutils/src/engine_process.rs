//! The life of a stand-in engine: its steps, its death and next start, and the loading of models.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use cicada_lib::ids::Name;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::engine::EngineSettings;
use crate::engine_core::Step;
use crate::engine_state::EngineState;
use crate::http_server::HttpServer;
use crate::weight_store;

/// An engine that runs while a handle to it is held.
pub(crate) struct EngineProcess {
    settings: EngineSettings,
    state: Mutex<EngineState>,
    /// Signals new work to an engine that has none.
    work: Notify,
    // Set once, right after the server is started.
    server: OnceLock<Weak<HttpServer>>,
}

impl EngineProcess {
    /// An engine that does not run yet.
    pub(crate) fn new(settings: EngineSettings) -> Arc<Self> {
        Arc::new(EngineProcess {
            state: Mutex::new(EngineState::new(settings.clone())),
            settings,
            work: Notify::new(),
            server: OnceLock::new(),
        })
    }

    /// Runs on the current runtime; `server` is cut off when the engine dies.
    pub(crate) fn run(self: &Arc<Self>, server: &Arc<HttpServer>) {
        let _ = self.server.set(Arc::downgrade(server));
        tokio::spawn(run_steps(Arc::downgrade(self)));
    }

    /// The state.
    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// There is new work.
    pub(crate) fn wake(&self) {
        self.work.notify_one();
    }

    /// The engine dies, and starts anew after the time in its settings. Connections are refused when
    /// this returns.
    pub(crate) async fn die(self: Arc<Self>) {
        if !self.state().die() {
            return;
        }
        let process = Arc::downgrade(&self);
        let ready = move || {
            if let Some(process) = process.upgrade() {
                process.state().come_back();
            }
        };
        if let Some(server) = self.server.get().and_then(Weak::upgrade) {
            server.restart(self.settings.restart, ready).await;
        }
    }

    /// Loads a model; it is held some time later.
    pub(crate) fn load_model(self: &Arc<Self>, name: Name, incarnation: u64) {
        tokio::spawn(load_model(Arc::downgrade(self), name, incarnation));
    }
}

// How soon an idle engine notices that its handle was dropped.
const IDLE: Duration = Duration::from_millis(500);

/// Takes steps until the stand-in is dropped.
async fn run_steps(process: Weak<EngineProcess>) {
    let mut end = Instant::now();
    loop {
        let Some(process) = process.upgrade() else {
            return;
        };
        let (step, incarnation) = process.state().plan();
        match step {
            Step::Killed => process.die().await,
            Step::Ran(time) => {
                // From the end of the step before: timers fire up to a millisecond late, which would
                // add up otherwise.
                end = (end + time).max(Instant::now());
                tokio::time::sleep_until(end).await;
                process.state().produce(incarnation, time);
            }
            Step::Idle => {
                let _ = timeout(IDLE, process.work.notified()).await;
                end = Instant::now();
            }
        }
    }
}

const SLOT_RETRY: Duration = Duration::from_millis(50);

async fn load_model(process: Weak<EngineProcess>, name: Name, incarnation: u64) {
    let Some(settings) = process.upgrade().map(|process| process.settings.clone()) else {
        return;
    };
    if let Some(weights) = settings.weights {
        while !weight_store::take_slot(weights).await {
            tokio::time::sleep(SLOT_RETRY).await;
        }
    }
    tokio::time::sleep(settings.model_load).await;
    if let Some(process) = process.upgrade() {
        process.state().loaded(name, incarnation);
    }
}
