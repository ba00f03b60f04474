//! State that all requests of an entry share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use cicada_lib::body_admission::BodyAdmission;
use cicada_lib::byte_budget::ByteBudget;
use cicada_lib::change_log::ChangeLog;
use cicada_lib::dialect::Dialect;
use cicada_lib::dialect::EngineCalls;
use cicada_lib::fleet::Fleet;
use cicada_lib::freeze_detector::FreezeDetector;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::MovedRun;
use cicada_lib::peer_messages::RequestOutcome;
use cicada_lib::peer_messages::RequestSent;
use cicada_lib::peer_messages::ServerUpdate;
use cicada_lib::recent_rejections::RecentRejections;
use cicada_lib::relay_peers::RelayPeers;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::retry_share::RetryShare;
use cicada_lib::revision::EraTracker;
use cicada_lib::revision::Revision;
use cicada_lib::route_table::RouteTable;
use cicada_lib::stream_admission::RetryPacer;
use cicada_lib::suspects::Suspicion;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use cicada_lib::unreadable_senders::UnreadableSenders;
use cicada_lib::watch_election::WatchElection;
use cicada_lib::workspace_usage::WorkspaceUsage;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::caller_server;
use crate::drain::DrainState;
use crate::limit_loans;
use crate::load_probes::LoadProbes;
use crate::lock::lock;
use crate::moved_runs::MovedRuns;
use crate::peer_net::PeerNet;
use crate::peer_pull;
use crate::planned_moves::PlannedMoves;
use crate::poison::Poison;
use crate::relay_metrics::RelayMetrics;
use crate::relay_settings::Policy;
use crate::relay_settings::RelaySettings;
use crate::relay_settings::ReloadableSettings;
use crate::supervision;
use crate::supervision::RestartedTasks;
use crate::wait_queues::WaitQueues;

/// Capacity of each queue of messages to other processes.
const MESSAGE_QUEUE_LEN: usize = 256;

/// Receiving ends of the queues of messages to other processes.
pub(crate) struct QueueReceivers {
    pub(crate) sent: mpsc::Receiver<SentNotice>,
    pub(crate) ended: mpsc::Receiver<RequestOutcome>,
    pub(crate) news: mpsc::Receiver<ServerUpdate>,
    pub(crate) asks: mpsc::Receiver<Vec<LoadProbe>>,
}

/// A request that was sent to an engine, to be announced to other processes.
pub(crate) struct SentNotice {
    pub(crate) message: RequestSent,
    // Whether other relays are told, or only the engine's scout.
    pub(crate) to_relays: bool,
}

/// Counts of what restricts the choice of backend servers, for the status page.
#[derive(Clone, Debug)]
pub struct Restrictions {
    /// Evacuated availability zones.
    pub evacuated: Vec<Name>,
    /// Number of routes and workspaces that are restricted to some regions.
    pub restricted: usize,
    /// Number of cold servers, of services that limit requests to cold servers.
    pub cold: usize,
    /// Number of servers that state a request rate limit.
    pub limited: usize,
    /// Servers that are leaving.
    pub leaving: Vec<LeavingServer>,
    /// Servers that asked this relay for rest, and how much longer they rest.
    pub resting: Vec<(Name, Duration)>,
    /// Requests that may be poison; the refused ones first.
    pub suspects: Vec<Suspicion>,
}

/// A server that is leaving, for the status page.
#[derive(Clone, Debug)]
pub struct LeavingServer {
    /// Its identifier.
    pub server: Name,
    /// How this relay learned of it: `directory`, `scout`, `answer` or `relay`.
    pub source: &'static str,
    /// How long ago that was.
    pub age: Duration,
}

/// An entry: routes callers' requests to backend servers and relays the answers.
pub struct Relay {
    pub(crate) settings: RelaySettings,
    pub(crate) reloadable: ArcSwap<ReloadableSettings>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) engines: Arc<dyn EngineCalls>,
    pub(crate) metrics: RelayMetrics,
    pub(crate) clock: Clock,
    pub(crate) budget: Arc<ByteBudget>,
    pub(crate) bodies: Arc<BodyAdmission>,
    pub(crate) freeze_detector: Mutex<FreezeDetector>,
    pub(crate) table: ArcSwap<RouteTable>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) retry_shares: Mutex<HashMap<Name, RetryShare>>,
    pub(crate) retry_pacer: Mutex<RetryPacer>,
    pub(crate) recent_rejections: Mutex<RecentRejections>,
    // Recent use of each service by each workspace.
    pub(crate) workspace_usage: Mutex<HashMap<Name, WorkspaceUsage>>,
    // Whether a list of servers has been received.
    pub(crate) has_server_list: AtomicBool,
    // Whether calls to the directory fail, and whether this relay watches it successfully.
    pub(crate) directory_unreachable: AtomicBool,
    pub(crate) watching_directory: AtomicBool,
    pub(crate) drain: DrainState,
    // Incremented when the list of servers, or what is known of servers that leave, changes.
    pub(crate) leaving_changes: watch::Sender<u64>,
    pub(crate) moved_runs: MovedRuns,
    // Streams that wait for capacity.
    pub(crate) wait_queues: Arc<WaitQueues>,
    pub(crate) planned_moves: PlannedMoves,
    pub(crate) poison: Poison,
    pub(crate) restarted_tasks: Mutex<RestartedTasks>,
    pub(crate) unreadable: Mutex<UnreadableSenders>,
    pub(crate) peers: Mutex<RelayPeers>,
    // The watchers of this relay's region.
    pub(crate) election: Mutex<WatchElection>,
    // Queues of messages to other processes. `receivers` has the receiving ends until the sending task takes them.
    pub(crate) sent_queue: mpsc::Sender<SentNotice>,
    pub(crate) ended_queue: mpsc::Sender<RequestOutcome>,
    pub(crate) server_news_queue: mpsc::Sender<ServerUpdate>,
    pub(crate) load_probes: LoadProbes,
    // Notified when the list of servers has changed, so that there may be new engines.
    pub(crate) servers_changed: Notify,
    // Notified when other relays should get a `Hello` without delay.
    pub(crate) hello_due: Notify,
    pub(crate) receivers: Mutex<Option<QueueReceivers>>,
    pub(crate) revision: Mutex<Revision>,
    // Changes when the directory was restored from an older copy of itself.
    pub(crate) era: watch::Sender<EraTracker>,
    // Recent changes of the list of servers, for relays that missed some.
    pub(crate) change_log: Mutex<ChangeLog>,
}

impl Relay {
    /// Creates an entry that has no configuration yet.
    pub fn new(
        settings: RelaySettings,
        dialect: Arc<dyn Dialect>,
        engines: Arc<dyn EngineCalls>,
        metrics: RelayMetrics,
    ) -> Arc<Self> {
        let (sent_queue, sent_receiver) = mpsc::channel(MESSAGE_QUEUE_LEN);
        let (ended_queue, ended_receiver) = mpsc::channel(MESSAGE_QUEUE_LEN);
        let (server_news_queue, news_receiver) = mpsc::channel(MESSAGE_QUEUE_LEN);
        let (load_probes, asks_receiver) = LoadProbes::new();
        let clock = Clock::new();
        let budget = ByteBudget::new(settings.memory);
        let poison = Poison::new(settings.peer, settings.first_start);
        let receivers = QueueReceivers {
            sent: sent_receiver,
            ended: ended_receiver,
            news: news_receiver,
            asks: asks_receiver,
        };
        Arc::new(Relay {
            sent_queue,
            ended_queue,
            server_news_queue,
            load_probes,
            unreadable: Mutex::default(),
            restarted_tasks: Mutex::default(),
            servers_changed: Notify::new(),
            hello_due: Notify::new(),
            receivers: Mutex::new(Some(receivers)),
            reloadable: ArcSwap::from_pointee(settings.reloadable),
            fleet: Mutex::new(limit_loans::new_fleet(&settings, clock.now())),
            bodies: BodyAdmission::new(budget.clone()),
            budget,
            settings,
            dialect,
            engines,
            metrics,
            clock,
            freeze_detector: Mutex::new(FreezeDetector::new(clock.now())),
            table: ArcSwap::default(),
            retry_shares: Mutex::default(),
            retry_pacer: Mutex::default(),
            recent_rejections: Mutex::default(),
            workspace_usage: Mutex::default(),
            has_server_list: AtomicBool::new(false),
            directory_unreachable: AtomicBool::new(false),
            watching_directory: AtomicBool::new(false),
            drain: DrainState::new(),
            leaving_changes: watch::Sender::new(0),
            moved_runs: MovedRuns::new(),
            wait_queues: WaitQueues::new(clock),
            planned_moves: PlannedMoves::default(),
            poison,
            peers: Mutex::default(),
            election: Mutex::default(),
            revision: Mutex::default(),
            era: watch::Sender::new(EraTracker::default()),
            change_log: Mutex::default(),
        })
    }

    /// Binds the addresses and starts serving on the current runtime.
    pub async fn serve(self: &Arc<Self>) -> std::io::Result<()> {
        self.peers()
            .add_known(self.settings.peer, self.settings.seeds.iter().copied());
        let pulls = caller_server::listen(self.settings.peer)?;
        tokio::spawn(peer_pull::serve(self.clone(), pulls));
        let peers = PeerNet::bind(self.clone(), self.settings.peer).await?;
        let receivers = lock(&self.receivers).take();
        if let (Some(asks), Some(receivers)) = (self.moved_runs.take_queries(), receivers) {
            tokio::spawn(supervision::run_peers(peers, asks, receivers));
        }
        let callers = caller_server::listen(self.settings.listen)?;
        let ready = caller_server::listen(self.settings.ready)?;
        let open = self.open_connection();
        tokio::spawn(caller_server::serve_callers(self.clone(), callers, open));
        tokio::spawn(caller_server::serve_readiness(self.clone(), ready));
        tokio::spawn(supervision::run_prefill_groups(self.clone()));
        Ok(())
    }

    /// Records that a scout moved a run.
    pub(crate) fn record_moved_run(&self, moved: MovedRun) {
        self.moved_runs.record(moved);
    }

    pub(crate) fn moved_runs(&self) -> &MovedRuns {
        &self.moved_runs
    }

    /// The streams that wait for capacity.
    pub(crate) fn wait_queues(&self) -> &Arc<WaitQueues> {
        &self.wait_queues
    }

    pub(crate) fn planned_moves(&self) -> &PlannedMoves {
        &self.planned_moves
    }

    /// Applies changed settings.
    pub fn apply_reloaded(&self, reloadable: ReloadableSettings) {
        self.reloadable.store(Arc::new(reloadable));
        self.set_retry_limit(reloadable.retry_limit);
    }

    pub(crate) fn reloadable(&self) -> ReloadableSettings {
        **self.reloadable.load()
    }

    pub(crate) fn policy(&self) -> Policy {
        self.reloadable().policy
    }

    /// The time from SIGTERM until the process is killed.
    pub(crate) fn grace(&self) -> Duration {
        self.reloadable().grace
    }

    /// Counts what currently restricts the choice of servers.
    pub fn restrictions(&self) -> Restrictions {
        let table = self.table();
        let config = table.config();
        let routes = config.routes.iter().map(|route| &route.regions);
        let workspaces = config.workspaces.iter().map(|w| &w.regions);
        let allowed_regions = routes.chain(workspaces);
        let restricted = allowed_regions
            .filter(|regions| **regions != AllowedRegions::Any)
            .count();
        let now = self.now();
        let fleet = self.fleet();
        let leaving = fleet
            .leaving_servers()
            .map(|(record, leaving)| LeavingServer {
                server: record.id.clone(),
                source: leaving.source.as_str(),
                age: now.since(leaving.since),
            });
        Restrictions {
            suspects: self.poison.listing(now),
            leaving: leaving.collect(),
            resting: fleet
                .resting_servers(now)
                .map(|(server, left)| (server.clone(), left))
                .collect(),
            evacuated: fleet.evacuated().zones.iter().cloned().collect(),
            restricted,
            cold: fleet.cold_server_count(now, table.services()),
            limited: fleet.limited_server_count(),
        }
    }

    /// Whether the entry takes new connections: it has its state and follows it, and does not drain.
    pub fn is_ready(&self) -> bool {
        self.has_state() && !self.is_draining() && self.is_following()
    }

    /// Whether the entry has a configuration and a list of servers.
    pub(crate) fn has_state(&self) -> bool {
        self.table.load().has_config() && self.has_server_list.load(Ordering::Relaxed)
    }

    pub(crate) fn settings(&self) -> &RelaySettings {
        &self.settings
    }

    pub(crate) fn dialect(&self) -> &dyn Dialect {
        &*self.dialect
    }

    pub(crate) fn engines(&self) -> &Arc<dyn EngineCalls> {
        &self.engines
    }

    pub(crate) fn metrics(&self) -> &RelayMetrics {
        &self.metrics
    }

    /// Sets the gauges that are read from the state when metrics are asked for.
    pub fn update_gauges(&self) {
        self.metrics.set_held_bytes(self.budget.used());
        self.metrics.set_known_entries(self.peers().known_count());
        self.metrics
            .set_unreadable_senders(self.unreadable_senders().len());
        self.update_retry_gauges();
    }

    /// The bytes that may be held for callers.
    pub(crate) fn budget(&self) -> &Arc<ByteBudget> {
        &self.budget
    }

    /// The callers' bodies that are being read.
    pub(crate) fn bodies(&self) -> &Arc<BodyAdmission> {
        &self.bodies
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    pub(crate) fn table(&self) -> Arc<RouteTable> {
        self.table.load_full()
    }

    /// The open load probes to scouts.
    pub(crate) fn load_probes(&self) -> &LoadProbes {
        &self.load_probes
    }

    /// Detects whether this process was frozen. The lock is held for microseconds.
    pub(crate) fn freeze_detector(&self) -> MutexGuard<'_, FreezeDetector> {
        lock(&self.freeze_detector)
    }

    /// The backend servers. The lock is held for microseconds.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub(crate) fn open_requests(&self) -> i64 {
        self.metrics.open_requests().get()
    }

    pub(crate) fn subscribe_leaving(&self) -> watch::Receiver<u64> {
        self.leaving_changes.subscribe()
    }

    /// Notifies running streams that the list of servers, or what is known of servers that leave, has changed.
    pub(crate) fn notify_leaving(&self) {
        self.leaving_changes.send_modify(|count| *count += 1);
        self.wait_queues.record_sign();
    }
}
