//! Puts an agent together.

use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::backend::Engine;
use cicada_lib::claims::ClaimSettings;
use cicada_lib::claims::Claims;
use cicada_lib::config::WorkspaceConfig;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::daemon_settings::BackendKind;
use cicada_lib::daemon_settings::Settings;
use cicada_lib::engine_http::HttpEngine;
use cicada_lib::http_client::HttpLimits;
use cicada_lib::latency_objective::LatencyObjective;
use cicada_lib::platform::Platform;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::service_http::HttpService;
use cicada_lib::settings::SchedulerSettings;
use cicada_lib::settings::WorkspacePolicy;
use eyre::OptionExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::config_controller::ConfigSink;
use crate::desk::Channels;
use crate::desk::Desk;
use crate::desk::DeskEvent;
use crate::desk::DeskSettings;
use crate::mark_spread::MarkSink;
use crate::mark_spread::MarkSpread;
use crate::metrics::AgentMetrics;
use crate::metrics::Metrics;
use crate::peer_server;
use crate::peer_server::ServerIdentity;
use crate::runs::Backend;
use crate::runs::BackendEvent;
use crate::runs::EngineBackend;
use crate::runs::Events;
use crate::runs::ServiceBackend;
use crate::status::Process;

/// Orders that wait for the desk before senders are held back.
const DESK_QUEUE: usize = 4_096;

/// An agent under way.
pub(crate) struct Agent {
    desk: mpsc::Sender<DeskEvent>,
}

/// The open requests of an agent, as its status page tells them.
pub(crate) type OpenCount = Arc<AtomicI64>;

impl Agent {
    /// Starts an agent on the current runtime.
    pub(crate) async fn start(
        process: &Arc<Process>,
        listener: TcpListener,
        identity: ServerIdentity,
        platform: Arc<dyn Platform>,
        spread: MarkSpread,
        metrics: &Metrics,
        open: OpenCount,
    ) -> eyre::Result<Agent> {
        let settings = process.settings();
        let backend = backend(settings)?;
        let (events, backend_queue) = mpsc::unbounded_channel();
        let (desk, orders) = mpsc::channel(DESK_QUEUE);
        tokio::spawn(poll(
            backend.clone(),
            events.clone(),
            settings.millis("backend", "poll"),
        ));
        let claims = Claims::new(platform, ClaimSettings::default(), process.name().clone());
        let worker = Desk::new(
            desk_settings(settings),
            scheduler(settings),
            backend,
            Channels {
                events,
                orders: desk.clone(),
                spread,
            },
            Arc::new(claims),
            Arc::new(AgentMetrics::new(metrics)),
            open,
        );
        tokio::spawn(worker.run(orders, backend_queue));
        tokio::spawn(peer_server::serve(
            listener,
            identity,
            process.clone(),
            Arc::new(DeskSink(desk.clone())),
            Some(desk.clone()),
        ));
        Ok(Agent { desk })
    }

    /// Takes no new work, and says so to every entry at once.
    pub(crate) async fn drain(&self) {
        let _ = self.desk.send(DeskEvent::Drain).await;
    }

    /// What must be told of each new configuration.
    pub(crate) fn config_sink(&self) -> Arc<dyn ConfigSink> {
        Arc::new(DeskSink(self.desk.clone()))
    }
}

struct DeskSink(mpsc::Sender<DeskEvent>);

impl ConfigSink for DeskSink {
    fn changed(&self, loaded: &Arc<LoadedConfig>) {
        // The queue is full only when the desk is far behind; the next version brings all of it.
        if self.0.try_send(DeskEvent::Config(loaded.clone())).is_err() {
            tracing::warn!("agent: the desk is behind and missed a configuration");
        }
    }
}

/// The adapter to the model engine; `None` before a plain service.
pub(crate) fn engine(settings: &Settings) -> Option<Arc<dyn Engine>> {
    let address = settings.address("backend", "address")?;
    let limits = HttpLimits::new().with_silence(settings.millis("backend", "silent"));
    match settings.backend_kind() {
        BackendKind::Engine => Some(Arc::new(HttpEngine::with_limits(address, limits))),
        BackendKind::Service => None,
    }
}

fn backend(settings: &Settings) -> eyre::Result<Arc<dyn Backend>> {
    if let Some(engine) = engine(settings) {
        return Ok(Arc::new(EngineBackend::new(engine)));
    }
    let address = settings
        .address("backend", "address")
        .ok_or_eyre("[backend] address is missing")?;
    let service = HttpService::new(address);
    Ok(Arc::new(ServiceBackend::new(Arc::new(service))))
}

impl MarkSink for DeskSink {
    fn learn(&self, marks: &[CrashMark]) {
        // Lost where the desk is far behind; others push the same evidence.
        let _ = self.0.try_send(DeskEvent::Marks(marks.to_vec()));
    }
}

fn desk_settings(settings: &Settings) -> DeskSettings {
    DeskSettings {
        service: settings.name("backend", "service"),
        linger: settings.millis("agent", "linger"),
        replay: settings.millis("agent", "replay"),
        max_records: settings.count("agent", "max_records") as usize,
    }
}

fn scheduler(settings: &Settings) -> Scheduler {
    let objective = match settings.text("backend", "objective") {
        "gap" => LatencyObjective::Gap,
        _ => LatencyObjective::Stall,
    };
    let max_batch = settings.count("backend", "max_batch") as u32;
    // The engine's own report tells its memory; until it comes, nothing is planned for.
    let scheduling = SchedulerSettings::new(objective, 0, max_batch)
        .with_max_wait(settings.millis("backend", "max_wait"));
    Scheduler::new(scheduling)
}

/// What a workspace's configuration means at one agent.
pub(crate) fn policy(workspace: &WorkspaceConfig) -> WorkspacePolicy {
    let unlimited_if_zero = |limit: u32| if limit == 0 { u32::MAX } else { limit };
    WorkspacePolicy {
        share: workspace.share,
        max_running: unlimited_if_zero(workspace.max_running),
        max_queued: workspace.max_queued,
        rate: f64::from(workspace.rate),
        burst: workspace.burst,
    }
}

async fn poll(backend: Arc<dyn Backend>, events: Events, every: Duration) {
    let mut beats = tokio::time::interval(every);
    beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        beats.tick().await;
        let event: BackendEvent = backend.poll().await;
        if events.send(event).is_err() {
            return;
        }
    }
}

/// The count behind a status page.
pub(crate) fn open_count() -> (OpenCount, Box<dyn Fn() -> i64 + Send + Sync>) {
    let open: OpenCount = Arc::default();
    let reader = open.clone();
    (open, Box::new(move || reader.load(Ordering::Relaxed)))
}
