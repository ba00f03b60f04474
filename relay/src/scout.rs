//! The process beside an engine: tells relays of its load, and moves its runs away when it leaves.
//!
//! Asked from its own host, an engine tells its load as of now, and at no cost. What relays would read
//! from afar is half a second old, and each of them would ask for itself. The scout alone sees all runs
//! of its engine, so that it can move them one after the other over the engine's link.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::cold_start::ColdState;
use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::EngineReport;
use cicada_lib::engine_load_tracker::EngineLoadTracker;
use cicada_lib::failure_rate::FailureRate;
use cicada_lib::ids::Name;
use cicada_lib::peer_words;
use cicada_lib::peer_words::Datagram;
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::EngineIdentity;
use cicada_lib::peer_words::LoadAnswer;
use cicada_lib::peer_words::LoadAsk;
use cicada_lib::peer_words::MovedRun;
use cicada_lib::peer_words::ScoutReport;
use cicada_lib::peer_words::Subscription;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::identity::Identity;
use crate::run_mover;
use crate::run_mover::Neighbours;
use crate::run_mover::RunNews;
use crate::word_socket::WordSocket;

/// How often the engine is asked: an engine that leaves says so 1.5 s before, of which this takes a
/// fiftieth at most, and relays that choose engines at the same time see each other's requests.
pub(crate) const LOOK: Duration = Duration::from_millis(30);

/// A look at the engine that is older than this answers no question: the engine does not answer itself, or this
/// host has stood still.
const SEEN_AGE: Duration = Duration::from_millis(250);

/// An engine that was not seen for so long may have ended and started again.
const UNWATCHED: Duration = Duration::from_millis(500);

/// How long a listener gets reports after it asked for them.
const SUBSCRIBED: Duration = Duration::from_secs(4);

/// How often the scout asks the scouts of its neighbours for their reports while its engine leaves, and says
/// that the engine is there while nobody asks for its own.
const RENEW: Duration = Duration::from_secs(1);

/// How long an engine counts as a neighbour after a relay named it: some ten renewals, of which one is enough.
const NEIGHBOUR: Duration = Duration::from_secs(8);

/// The times after which word of a move, or of a new life, is sent again: datagrams are lost now and then,
/// and a relay without it would give the run up.
const REPEATS: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(60)];

/// How many moves are remembered for relays that ask.
const REMEMBERED: usize = 256;

/// A scout.
pub struct Scout {
    pub(crate) engines: Arc<dyn EngineCalls>,
    // The engine that it stands beside.
    pub(crate) here: EngineHere,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) socket: Arc<WordSocket>,
    // Relays and neighbours' scouts that asked for reports.
    pub(crate) listeners: HashMap<SocketAddr, Instant>,
    // When each engine of the service and availability zone was last named.
    pub(crate) named: HashMap<SocketAddr, Instant>,
    pub(crate) neighbours: Arc<Neighbours>,
    pub(crate) told: Instant,
    // What was told then.
    pub(crate) last: Option<ScoutReport>,
    // What the engine said when it was last looked at, and when; `None` where it did not answer.
    pub(crate) seen: Option<(Time, EngineReport)>,
    // When the neighbours were last asked, or the engine announced; `None` before the first time.
    pub(crate) renewed: Option<Instant>,
    // Whether the last report said that the engine leaves.
    pub(crate) leaving: bool,
    // The latest runs of an engine that leaves, for the task that moves them.
    pub(crate) evacuating: Option<watch::Sender<EngineReport>>,
    pub(crate) identity: Identity,
    pub(crate) load_tracker: EngineLoadTracker,
    pub(crate) outcomes: FailureRate,
    pub(crate) cold: ColdState,
    // How long the engine is cold after a start, as relays tell.
    pub(crate) cold_period: Duration,
    // When a relay last told of a request.
    pub(crate) heard: Instant,
    pub(crate) clock: Clock,
    pub(crate) moved: Vec<MovedRun>,
    pub(crate) moves: mpsc::Receiver<RunNews>,
    pub(crate) moves_in: mpsc::Sender<RunNews>,
}

impl Scout {
    /// A scout beside the engine, with a socket at `peer`. While no relay asks for reports, it tells the
    /// `seeds` that its engine is there.
    pub async fn bind(
        peer: SocketAddr,
        here: EngineHere,
        seeds: Vec<SocketAddr>,
        engines: Arc<dyn EngineCalls>,
    ) -> std::io::Result<Self> {
        let (moves_in, moves) = mpsc::channel(REMEMBERED);
        let now = Instant::now();
        Ok(Scout {
            engines,
            here,
            seeds,
            socket: Arc::new(WordSocket::bind(peer).await?),
            listeners: HashMap::new(),
            named: HashMap::new(),
            neighbours: Arc::new(Neighbours::default()),
            told: now,
            last: None,
            seen: None,
            renewed: None,
            leaving: false,
            evacuating: None,
            identity: Identity::new(),
            load_tracker: EngineLoadTracker::new(),
            outcomes: FailureRate::new(),
            cold: ColdState::default(),
            cold_period: Duration::ZERO,
            heard: now,
            clock: Clock::new(),
            moved: Vec::new(),
            moves,
            moves_in,
        })
    }

    /// Asks and tells until the process ends.
    pub async fn run(mut self) {
        let mut looks = interval(LOOK);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let socket = self.socket.clone();
        let mut buffer = [0; peer_words::MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = looks.tick() => self.look().await,
                received = socket.receive(&mut buffer) => {
                    if let Some((length, from)) = received {
                        self.hear(&buffer[..length], from).await;
                    }
                }
                health = self.identity.answered() => {
                    if let Some(health) = health {
                        self.cold.set_remaining(self.clock.now(), health.cold);
                        self.tell_identity(health.id).await;
                    }
                }
                Some(news) = self.moves.recv() => match news {
                    RunNews::Coming(run) => self.tell(&Datagram::Moving(run)).await,
                    RunNews::Moved(run) => self.tell_moved(run).await,
                },
            }
        }
    }

    async fn hear(&mut self, bytes: &[u8], from: SocketAddr) {
        match peer_words::decode(bytes) {
            Ok(Datagram::Subscribe(subscription)) => self.subscribed(from, subscription).await,
            Ok(Datagram::Report(report)) if report.here.address.ip() == from.ip() => {
                self.neighbours.report(&report);
            }
            Ok(Datagram::Sent(word)) if word.engine == self.here.address => {
                self.load_tracker.record_sent(self.clock.now(), &word);
                self.heard = Instant::now();
            }
            Ok(Datagram::Ended(word)) if word.engine == self.here.address => {
                self.outcomes.record(self.clock.now(), word.well);
            }
            Ok(Datagram::Ask(ask)) if ask.engine == self.here.address => {
                self.answer(from, ask).await;
            }
            Ok(Datagram::WasMoved(id)) => {
                if let Some(moved) = self.moved.iter().find(|moved| moved.id == id) {
                    let word = Datagram::Moved(moved.clone());
                    self.socket.send(&word, &[from]).await;
                }
            }
            Ok(_) => {}
            Err(error) => tracing::debug!(%from, %error, "scout: a datagram is passed over"),
        }
    }

    /// Answers a relay that is about to choose. Without a fresh look at the engine there is no answer: the relay
    /// chooses another one.
    async fn answer(&mut self, from: SocketAddr, ask: LoadAsk) {
        // The relay may send a request, and would then want to hear that the engine leaves.
        self.listeners.entry(from).or_insert_with(Instant::now);
        let now = self.clock.now();
        let seen = self.seen.as_ref();
        let fresh = seen.filter(|(at, _)| now.since(*at) < SEEN_AGE);
        let Some((_, report)) = fresh.cloned() else {
            return;
        };
        let report = self.word(&report, Some(&ask.id));
        self.load_tracker.reserve(now, &ask);
        let word = Datagram::Answer(LoadAnswer { id: ask.id, report });
        self.socket.send(&word, &[from]).await;
    }

    async fn subscribed(&mut self, from: SocketAddr, subscription: Subscription) {
        let now = Instant::now();
        let engines = subscription.neighbours.into_iter();
        let others = engines.filter(|engine| *engine != self.here.address);
        self.named.extend(others.map(|engine| (engine, now)));
        if let Some(path) = subscription.health {
            self.identity.set_path(path);
        }
        if let Some(period) = subscription.cold {
            self.cold_period = Duration::from_millis(u64::from(period));
        }
        self.neighbours.set_evacuated(&subscription.evacuated);
        self.neighbours.set_limited(&subscription.limited);
        if self.listeners.insert(from, now).is_some() {
            return;
        }
        tracing::info!(%from, "scout: reports are asked for");
        // It need not wait for the next change: until a report comes it takes the engine for empty.
        if let Some(id) = self.identity.id().filter(|_| !self.leaving) {
            let word = self.identity_word(id);
            self.socket.send(&word, &[from]).await;
        }
        if let Some((_, report)) = self.seen.clone() {
            let word = Datagram::Report(self.word(&report, None));
            self.socket.send(&word, &[from]).await;
        }
    }

    async fn look(&mut self) {
        self.identity.looked(self.clock.now());
        self.listeners
            .retain(|_, asked| asked.elapsed() < SUBSCRIBED);
        if self.listeners.is_empty() {
            // It does not look closely meanwhile, and would miss the engine's end.
            self.identity.forget();
            self.forget_report();
            self.announce().await;
            return;
        }
        let report = match self.engines.report(self.here.address).await {
            Ok(report) => report,
            Err(error) => {
                tracing::debug!(%error, "scout: the engine does not answer");
                self.identity.forget();
                self.forget_report();
                return;
            }
        };
        let now = self.clock.now();
        let watched = self.seen.as_ref();
        if watched.is_none_or(|(at, _)| now.since(*at) >= UNWATCHED) {
            self.cold.note_possible_start(now);
        }
        self.load_tracker.update(now, report.clone());
        if !report.leaving {
            self.identity.ask(&self.engines, self.here.address);
        }
        let turned = report.leaving && !self.leaving;
        self.leaving = report.leaving;
        self.ask_neighbours(turned).await;
        let word = self.word(&report, None);
        self.seen = Some((self.clock.now(), report.clone()));
        if turned || self.told.elapsed() >= self.pause(&word) {
            self.told = Instant::now();
            self.tell(&Datagram::Report(word.clone())).await;
            self.last = Some(word);
        }
        self.evacuate(turned, report);
    }

    fn forget_report(&mut self) {
        self.last = None;
        self.seen = None;
    }

    /// Says that the engine is there, if it is. Relays learn of it from the directory; while that is out
    /// of reach, replacements of engines that left would stand idle.
    async fn announce(&mut self) {
        if !self.is_renewal_due() {
            return;
        }
        self.renewed = Some(Instant::now());
        let report = self.engines.report(self.here.address).await;
        if !report.is_ok_and(|report| !report.leaving) {
            return;
        }
        let word = Datagram::Here(self.here.clone());
        self.socket.send(&word, &self.seeds).await;
    }

    /// Keeps the task that moves runs away, while the engine leaves.
    fn evacuate(&mut self, turned: bool, report: EngineReport) {
        if !report.leaving {
            self.evacuating = None;
            return;
        }
        if turned {
            let leaves = report.leaves.map(|time| time.as_millis());
            tracing::info!(
                ?leaves,
                running = report.running,
                queued = report.queued,
                "scout: the engine leaves"
            );
            let (sender, runs) = watch::channel(report);
            self.evacuating = Some(sender);
            tokio::spawn(run_mover::run(
                self.engines.clone(),
                self.here.clone(),
                self.neighbours.clone(),
                runs,
                self.moves_in.clone(),
            ));
        } else if let Some(runs) = &self.evacuating {
            runs.send_replace(report);
        }
    }

    /// Asks for the reports of the engines to which runs can be moved, while there are runs to move: asked for all
    /// the time, each scout would tell as many neighbours as relays.
    async fn ask_neighbours(&mut self, turned: bool) {
        self.named.retain(|_, named| named.elapsed() < NEIGHBOUR);
        let due = turned || self.is_renewal_due();
        if !self.leaving || !due {
            return;
        }
        self.renewed = Some(Instant::now());
        let scouts = self.socket.on_hosts(self.named.keys());
        self.socket
            .send(&Datagram::Subscribe(Subscription::default()), &scouts)
            .await;
    }

    fn is_renewal_due(&self) -> bool {
        self.renewed.is_none_or(|at| at.elapsed() >= RENEW)
    }

    /// Tells all listeners.
    async fn tell(&self, word: &Datagram) {
        let listeners: Vec<SocketAddr> = self.listeners.keys().copied().collect();
        self.socket.send(word, &listeners).await;
    }

    async fn tell_moved(&mut self, moved: MovedRun) {
        if self.moved.len() >= REMEMBERED {
            self.moved.remove(0);
        }
        self.moved.push(moved.clone());
        self.tell_surely(Datagram::Moved(moved)).await;
    }

    async fn tell_identity(&self, id: Name) {
        tracing::info!(server = %id, "scout: the engine names itself");
        self.tell_surely(self.identity_word(id)).await;
    }

    fn identity_word(&self, id: Name) -> Datagram {
        Datagram::Identity(EngineIdentity {
            here: self.here.clone(),
            id,
        })
    }

    /// Tells all listeners, and again a little later.
    async fn tell_surely(&self, word: Datagram) {
        self.tell(&word).await;
        let listeners: Vec<SocketAddr> = self.listeners.keys().copied().collect();
        let socket = self.socket.clone();
        tokio::spawn(async move {
            for pause in REPEATS {
                sleep(pause).await;
                socket.send(&word, &listeners).await;
            }
        });
    }
}
