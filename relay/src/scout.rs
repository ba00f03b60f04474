//! The scout: a process on an engine's host that reports the engine's load to relays and, when the engine
//! leaves, moves its runs to other engines.
//!
//! A local poll of the engine returns its current load at almost no cost. If relays polled over the network
//! instead, their data would be half a second old, and each relay would add its own polls. The scout is also
//! the only process that sees all runs of its engine, so it can move them one after the other over the
//! engine's network link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::address_tenure::AddressTenure;
use cicada_lib::cold_start::ColdState;
use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::ReportError;
use cicada_lib::engine_load_tracker::EngineLoadTracker;
use cicada_lib::failure_rate::FailureRate;
use cicada_lib::ids::Name;
use cicada_lib::migration::gap_tracker::GapTracker;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::EngineIdentity;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::LoadProbeReply;
use cicada_lib::peer_messages::ScoutReport;
use cicada_lib::peer_messages::Subscription;
use cicada_lib::peer_messages::SuspectNotice;
use cicada_lib::state_holders::StateOffer;
use cicada_lib::state_holders::StateVersion;
use cicada_lib::suspects::Suspects;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::caller_server;
use crate::datagram_socket::DatagramSocket;
use crate::held_state::HeldState;
use crate::identity::IdentityTracker;
use crate::peer_pull;
use crate::run_mover;
use crate::run_mover::MoveNotice;
use crate::run_mover::Neighbours;
use crate::stop_queries::StopQueries;

/// Interval between polls of the engine. An engine announces that it leaves 1.5 s ahead, of which the poll
/// delay takes at most a fiftieth. Short intervals also let relays that place requests at the same time see
/// each other's requests.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Maximum age of the last poll for answering a load probe. An older one means that the engine does not
/// respond or that this host was frozen.
const MAX_POLL_AGE: Duration = Duration::from_millis(250);

/// After a gap of this length between polls, the engine may have stopped and restarted unnoticed.
const MAX_UNOBSERVED: Duration = Duration::from_millis(500);

/// How long after the end of an engine its address is not assigned to another service, unless the settings tell.
const DEFAULT_REUSE_AFTER: Duration = Duration::from_secs(2);

/// How long a subscription for reports stays valid without renewal.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(4);

/// Interval at which a scout renews its subscriptions to its neighbours' scouts while its engine leaves, and
/// announces its engine while it has no subscribers itself.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a start in which relays give a scout what they know of poison requests: several of their subscriptions.
const EVIDENCE_COLLECTION_TIME: Duration = Duration::from_secs(5);

/// How long an engine counts as a neighbour after a relay last named it: about ten renewals of subscriptions,
/// one of which is enough.
const NEIGHBOUR_TTL: Duration = Duration::from_secs(8);

/// Delays before a message about a move or a new incarnation is sent again. Datagrams are lost now and then,
/// and a relay that missed the message would give up the run.
const RETRANSMIT_DELAYS: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(60)];

/// Interval between offers of the held state while no relay is heard.
const OFFER_INTERVAL: Duration = Duration::from_millis(300);

/// Number of past moves that are kept for relays that ask about a run.
const MAX_REMEMBERED_MOVES: usize = 256;

/// Reports the load of one engine and moves its runs away when it leaves.
pub struct Scout {
    pub(crate) engine_calls: Arc<dyn EngineCalls>,
    // The engine on this host.
    pub(crate) engine: EngineLocation,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) socket: Arc<DatagramSocket>,
    // Relays and neighbours' scouts that subscribe to reports, with the time of their last subscription.
    pub(crate) subscribers: HashMap<SocketAddr, Instant>,
    // When relays last named each engine of the same service and region.
    pub(crate) neighbour_named_at: HashMap<SocketAddr, Instant>,
    pub(crate) neighbours: Arc<Neighbours>,
    pub(crate) last_report_at: Instant,
    // The report that was sent then.
    pub(crate) last_report: Option<ScoutReport>,
    // The engine's response to the last poll, and when it came; `None` if it did not respond or there are no subscribers.
    pub(crate) last_poll: Option<(Time, EngineReport)>,
    // When the neighbours' reports were last subscribed to, or the engine was last announced; `None` before the first
    // time.
    pub(crate) last_renewal: Option<Instant>,
    // Whether the engine was leaving at the last successful poll.
    pub(crate) leaving: bool,
    // Passes the engine's current runs to the task that moves them, while the engine leaves.
    pub(crate) mover_reports: Option<watch::Sender<EngineReport>>,
    pub(crate) identity: IdentityTracker,
    pub(crate) tenure: AddressTenure,
    pub(crate) load_tracker: EngineLoadTracker,
    pub(crate) gap_tracker: GapTracker,
    pub(crate) outcomes: FailureRate,
    pub(crate) cold: ColdState,
    // How long the engine is cold after a start, as relays report it.
    pub(crate) cold_period: Duration,
    // When a relay last announced a request to this engine.
    pub(crate) last_sent_notice: Instant,
    pub(crate) clock: Clock,
    // The outcomes of moves, as relays were told.
    pub(crate) past_moves: Vec<Datagram>,
    pub(crate) stop_queries: Arc<StopQueries>,
    pub(crate) held: Arc<HeldState>,
    // Evidence on poison requests, held for relays that start.
    pub(crate) suspects: Suspects,
    // When the held state was last offered.
    pub(crate) last_offer: Option<Instant>,
    // Takes connections of relays that pull the held state, until they are served.
    listener: Option<TcpListener>,
    pub(crate) mover_events: mpsc::Receiver<MoveNotice>,
    pub(crate) mover_events_tx: mpsc::Sender<MoveNotice>,
}

impl Scout {
    /// Binds the scout of an engine to the datagram address `peer`. While there are no subscribers, it
    /// announces its engine to the `seeds`.
    pub async fn bind(
        peer: SocketAddr,
        engine: EngineLocation,
        seeds: Vec<SocketAddr>,
        engine_calls: Arc<dyn EngineCalls>,
    ) -> std::io::Result<Self> {
        let (mover_events_tx, mover_events) = mpsc::channel(MAX_REMEMBERED_MOVES);
        let now = Instant::now();
        Ok(Scout {
            engine_calls,
            engine,
            seeds,
            socket: Arc::new(DatagramSocket::bind(peer).await?),
            subscribers: HashMap::new(),
            neighbour_named_at: HashMap::new(),
            neighbours: Arc::new(Neighbours::default()),
            last_report_at: now,
            last_report: None,
            last_poll: None,
            last_renewal: None,
            leaving: false,
            mover_reports: None,
            identity: IdentityTracker::new(),
            tenure: AddressTenure::new(DEFAULT_REUSE_AFTER),
            load_tracker: EngineLoadTracker::new(),
            gap_tracker: GapTracker::new(),
            outcomes: FailureRate::new(),
            cold: ColdState::default(),
            cold_period: Duration::ZERO,
            last_sent_notice: now,
            clock: Clock::new(),
            past_moves: Vec::new(),
            stop_queries: Arc::default(),
            held: Arc::default(),
            suspects: Suspects::new(),
            last_offer: None,
            listener: Some(caller_server::listen(peer)?),
            mover_events,
            mover_events_tx,
        })
    }

    /// Sets how long after the end of an engine the platform may assign its address to another service.
    pub fn with_reuse_after(self, reuse_after: Duration) -> Self {
        Scout {
            tenure: AddressTenure::new(reuse_after),
            ..self
        }
    }

    /// Polls the engine and serves subscribers until the process ends.
    pub(crate) async fn serve(&mut self) {
        if let Some(listener) = self.listener.take() {
            tokio::spawn(peer_pull::serve(self.held.clone(), listener));
        }
        let mut polls = interval(POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let socket = self.socket.clone();
        let mut buffer = [0; peer_messages::MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = polls.tick() => self.poll().await,
                received = socket.receive(&mut buffer) => {
                    if let Some((length, from)) = received {
                        self.handle_datagram(&buffer[..length], from).await;
                    }
                }
                health = self.identity.next_reply() => {
                    if let Some(health) = health {
                        self.cold.set_remaining(self.clock.now(), health.cold);
                        self.tenure.record_name(&health.id);
                        self.broadcast_identity(health.id).await;
                    }
                }
                Some(notice) = self.mover_events.recv() => match notice {
                    MoveNotice::QueryStop(query) => self.broadcast(&Datagram::QueryStop(query)).await,
                    MoveNotice::Moved(run) => self.broadcast_move(Datagram::Moved(run)).await,
                    MoveNotice::NotMoved(notice) => self.broadcast_move(Datagram::StopNotice(notice)).await,
                },
            }
        }
    }

    async fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        match peer_messages::decode(bytes) {
            Ok(Datagram::Subscribe(subscription)) => {
                self.handle_subscription(from, subscription).await
            }
            Ok(Datagram::Report(report)) if report.engine.address.ip() == from.ip() => {
                self.neighbours.record_report(&report);
            }
            Ok(Datagram::RequestSent(notice)) if notice.engine == self.engine.address => {
                self.load_tracker.record_sent(self.clock.now(), &notice);
                self.last_sent_notice = Instant::now();
            }
            Ok(Datagram::RequestOutcome(notice)) if notice.engine == self.engine.address => {
                self.outcomes.record(self.clock.now(), notice.succeeded);
            }
            Ok(Datagram::LoadProbe(probe)) if probe.engine == self.engine.address => {
                self.answer_probe(from, probe).await;
            }
            Ok(Datagram::Suspects(notice)) => {
                self.suspects.merge(self.clock.now(), &notice.marks);
            }
            Ok(Datagram::QuerySuspects) => self.send_evidence(from).await,
            Ok(Datagram::QueryMove(id)) => {
                if let Some(datagram) = self
                    .past_moves
                    .iter()
                    .rev()
                    .find(|past| is_about(past, &id))
                {
                    self.socket.send(datagram, &[from]).await;
                }
            }
            Ok(Datagram::StopReply(reply)) => self.stop_queries.record(&reply),
            Ok(_) => {}
            Err(error) => tracing::debug!(%from, %error, "scout: ignored an undecodable datagram"),
        }
    }

    /// Answers the load probe of a relay that is about to place a request. Without a recent poll of the
    /// engine it sends no answer, so that the relay chooses another engine.
    async fn answer_probe(&mut self, from: SocketAddr, probe: LoadProbe) {
        // The relay may place a request here, and must then learn when the engine leaves.
        self.subscribers.entry(from).or_insert_with(Instant::now);
        let now = self.clock.now();
        let last_poll = self.last_poll.as_ref();
        let fresh = last_poll.filter(|(at, _)| now.since(*at) < MAX_POLL_AGE);
        let Some((_, report)) = fresh.cloned() else {
            return;
        };
        let report = self.make_report(&report, Some(&probe.id));
        self.load_tracker.reserve(now, &probe);
        let datagram = Datagram::LoadProbeReply(LoadProbeReply {
            id: probe.id,
            report,
        });
        self.socket.send(&datagram, &[from]).await;
    }

    /// Sends the evidence on poison requests that is held to a relay that has just started. Without any it says so, unless
    /// it has started too lately to have been given what there is.
    async fn send_evidence(&self, to: SocketAddr) {
        let now = self.clock.now();
        let samples = SuspectNotice::samples_of(&self.suspects, now);
        if samples.is_empty() && now.since(Time::ZERO) < EVIDENCE_COLLECTION_TIME {
            return;
        }
        for notice in SuspectNotice::answers(samples) {
            self.socket.send(&Datagram::Suspects(notice), &[to]).await;
        }
    }

    async fn handle_subscription(&mut self, from: SocketAddr, subscription: Subscription) {
        let now = Instant::now();
        let engines = subscription.neighbours.into_iter();
        let others = engines.filter(|engine| *engine != self.engine.address);
        self.neighbour_named_at
            .extend(others.map(|engine| (engine, now)));
        if let Some(path) = subscription.health {
            self.identity.set_health_path(path);
        }
        if let Some(period) = subscription.cold {
            self.cold_period = Duration::from_millis(u64::from(period));
        }
        self.neighbours.set_evacuated(&subscription.evacuated);
        self.neighbours.record_limited(&subscription.limited);
        match &subscription.state {
            Some(state) => {
                self.held.record(from, state);
                if self.held.is_ahead_of(state) {
                    self.send_offer(self.held.version(), &[from]).await;
                }
            }
            None => self.held.release(from),
        }
        if self.subscribers.insert(from, now).is_some() {
            return;
        }
        tracing::info!(%from, "scout: new subscriber");
        // A report is sent at once: until the first one arrives, the subscriber assumes that the engine is
        // empty.
        if let Some(id) = self.identity.id().filter(|_| !self.leaving) {
            let datagram = self.identity_datagram(id);
            self.socket.send(&datagram, &[from]).await;
        }
        if let Some((_, report)) = self.last_poll.clone() {
            let datagram = Datagram::Report(self.make_report(&report, None));
            self.socket.send(&datagram, &[from]).await;
        }
    }

    /// Offers the held state to the seeds and the relays heard last, if no relay is heard any more.
    async fn offer_state(&mut self) {
        let due = self
            .last_offer
            .is_none_or(|at| at.elapsed() >= OFFER_INTERVAL);
        let Some((state, relays)) = self.held.offer().filter(|_| due) else {
            return;
        };
        self.last_offer = Some(Instant::now());
        self.send_offer(state.clone(), &self.seeds).await;
        self.send_offer(state, &relays).await;
    }

    async fn send_offer(&self, state: StateVersion, relays: &[SocketAddr]) {
        let datagram = Datagram::StateOffer(StateOffer {
            state,
            evacuated: self.neighbours.evacuated(),
        });
        self.socket.send(&datagram, relays).await;
    }

    async fn poll(&mut self) {
        self.offer_state().await;
        self.identity.record_poll(self.clock.now());
        self.subscribers
            .retain(|_, subscribed_at| subscribed_at.elapsed() < SUBSCRIPTION_TTL);
        if self.subscribers.is_empty() {
            // The engine is polled too rarely without subscribers to notice a restart.
            self.identity.reset();
            self.clear_last_report();
            self.announce().await;
            return;
        }
        let report = match self.query_report().await {
            Ok(report) => report,
            Err(error) => {
                tracing::debug!(%error, "scout: cannot poll the engine");
                self.identity.reset();
                self.clear_last_report();
                return;
            }
        };
        let now = self.clock.now();
        let last_poll = self.last_poll.as_ref();
        if last_poll.is_some_and(|(_, last)| last.born != report.born) {
            self.identity.reset();
        }
        if last_poll.is_none_or(|(at, _)| now.since(*at) >= MAX_UNOBSERVED) {
            self.cold.note_possible_start(now);
        }
        self.gap_tracker.record_poll(now, &report);
        self.load_tracker.update(now, report.clone());
        if !report.leaving {
            self.identity.query(&self.engine_calls, self.engine.address);
        }
        let started_leaving = report.leaving && !self.leaving;
        self.leaving = report.leaving;
        self.subscribe_to_neighbours(started_leaving).await;
        let scout_report = self.make_report(&report, None);
        self.last_poll = Some((self.clock.now(), report.clone()));
        if started_leaving || self.last_report_at.elapsed() >= self.report_delay(&scout_report) {
            self.last_report_at = Instant::now();
            self.broadcast(&Datagram::Report(scout_report.clone()))
                .await;
            self.last_report = Some(scout_report);
        }
        self.update_mover(started_leaving, report);
    }

    /// Queries the engine's load, and records when it answered.
    async fn query_report(&mut self) -> Result<EngineReport, ReportError> {
        let sent_at = self.clock.now();
        let report = self.engine_calls.report(self.engine.address).await?;
        self.tenure.record_answer(sent_at, self.clock.now());
        Ok(report)
    }

    fn clear_last_report(&mut self) {
        self.last_report = None;
        self.last_poll = None;
    }

    /// Announces the engine if it responds and is not leaving. Relays normally learn of engines from the
    /// directory; while that is unreachable, replacements of engines that left would otherwise stay idle.
    async fn announce(&mut self) {
        if !self.is_renewal_due() {
            return;
        }
        self.last_renewal = Some(Instant::now());
        let report = self.query_report().await;
        let is_available = report.is_ok_and(|report| !report.leaving);
        if !is_available || !self.tenure.is_unbroken() {
            return;
        }
        let datagram = Datagram::Announcement(self.engine.clone());
        self.socket.send(&datagram, &self.seeds).await;
    }

    /// Starts the task that moves runs away when the engine begins to leave, and passes it each new report.
    fn update_mover(&mut self, started_leaving: bool, report: EngineReport) {
        if !report.leaving {
            self.mover_reports = None;
            return;
        }
        if started_leaving {
            let leaves = report.leaves.map(|time| time.as_millis());
            tracing::info!(
                ?leaves,
                running = report.running,
                queued = report.queued,
                "scout: the engine leaves"
            );
            let (sender, runs) = watch::channel(report);
            self.mover_reports = Some(sender);
            tokio::spawn(run_mover::run(
                self.engine_calls.clone(),
                self.engine.clone(),
                self.neighbours.clone(),
                runs,
                self.mover_events_tx.clone(),
                self.stop_queries.clone(),
            ));
        } else if let Some(runs) = &self.mover_reports {
            runs.send_replace(report);
        }
    }

    /// Subscribes to the reports of engines that runs can be moved to, but only while the engine leaves:
    /// otherwise each scout would send its reports to as many neighbours as relays.
    async fn subscribe_to_neighbours(&mut self, started_leaving: bool) {
        self.neighbour_named_at
            .retain(|_, named_at| named_at.elapsed() < NEIGHBOUR_TTL);
        let due = started_leaving || self.is_renewal_due();
        if !self.leaving || !due {
            return;
        }
        self.last_renewal = Some(Instant::now());
        let scouts = self.socket.addresses_of(self.neighbour_named_at.keys());
        self.socket
            .send(&Datagram::Subscribe(Subscription::default()), &scouts)
            .await;
    }

    fn is_renewal_due(&self) -> bool {
        self.last_renewal
            .is_none_or(|at| at.elapsed() >= RENEWAL_INTERVAL)
    }

    /// Sends a datagram to all subscribers.
    async fn broadcast(&self, datagram: &Datagram) {
        let subscribers: Vec<SocketAddr> = self.subscribers.keys().copied().collect();
        self.socket.send(datagram, &subscribers).await;
    }

    /// Tells what became of a run, and keeps it for relays that ask.
    async fn broadcast_move(&mut self, outcome: Datagram) {
        if self.past_moves.len() >= MAX_REMEMBERED_MOVES {
            self.past_moves.remove(0);
        }
        self.past_moves.push(outcome.clone());
        self.broadcast_repeatedly(outcome).await;
    }

    async fn broadcast_identity(&self, id: Name) {
        tracing::info!(server = %id, "scout: the engine names itself");
        self.broadcast_repeatedly(self.identity_datagram(id)).await;
    }

    fn identity_datagram(&self, id: Name) -> Datagram {
        Datagram::Identity(EngineIdentity {
            engine: self.engine.clone(),
            id,
            predecessors: self.tenure.predecessors().to_vec(),
            unbroken: self.tenure.is_unbroken(),
        })
    }

    /// Sends a datagram to all subscribers and repeats it after each of [`RETRANSMIT_DELAYS`].
    async fn broadcast_repeatedly(&self, datagram: Datagram) {
        self.broadcast(&datagram).await;
        let subscribers: Vec<SocketAddr> = self.subscribers.keys().copied().collect();
        let socket = self.socket.clone();
        tokio::spawn(async move {
            for delay in RETRANSMIT_DELAYS {
                sleep(delay).await;
                socket.send(&datagram, &subscribers).await;
            }
        });
    }
}

/// Whether a message tells the outcome of the run's move.
fn is_about(message: &Datagram, id: &Name) -> bool {
    match message {
        Datagram::Moved(run) => run.id == *id,
        Datagram::StopNotice(notice) => notice.query.run.id == *id,
        _ => false,
    }
}
