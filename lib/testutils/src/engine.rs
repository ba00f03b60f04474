//! A stand-in for a model engine: its settings, its record, and the handle for tests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::Order;
use cicada_lib::ids::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::engine_core::CoreSettings;
use crate::engine_process::EngineProcess;
use crate::generation::RunRecord;
use crate::http_server::HttpServer;

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

/// A running stand-in of an engine.
pub struct EngineServer {
    server: Arc<HttpServer>,
    process: Arc<EngineProcess>,
}

impl EngineServer {
    /// Starts a stand-in on the current runtime.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let listen = settings.listen;
        let process = EngineProcess::new(settings);
        let server = HttpServer::start(listen, process.clone())?;
        process.run(&server);
        Ok(EngineServer { server, process })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// What it ran so far.
    pub fn record(&self) -> EngineRecord {
        self.process.state().record()
    }

    /// Its load now, without the lag.
    pub fn load(&self) -> EngineLoad {
        self.process.state().load()
    }

    /// Kills it: every connection is cut, every generation is gone, and it starts anew after the
    /// time in its settings.
    pub async fn kill(&self) {
        self.process.clone().die().await;
    }

    /// Multiplies the time of each step from now on.
    pub fn set_slow(&self, factor: f64) {
        self.process.state().set_slow(factor);
    }
}
