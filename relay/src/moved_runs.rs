//! What scouts tell of the runs that they move, kept until the streams of the runs need it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::migration::run_stops::Result;
use cicada_lib::migration::run_stops::StopKey;
use cicada_lib::migration::run_stops::StopRequest;
use cicada_lib::migration::run_stops::StopState;
use cicada_lib::migration::run_stops::Stopper;
use cicada_lib::peer_messages::MovedRun;
use cicada_lib::peer_messages::StopNotice;
use cicada_lib::peer_messages::StopQuery;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::local_runs::LocalRunGuard;
use crate::local_runs::LocalRuns;
use crate::lock::lock;
use crate::upstream;

/// How long notice of a move is kept: the target frees an unclaimed copy after some seconds.
const NOTICE_TTL: Duration = Duration::from_secs(6);

/// How long a stream that has ended waits for the outcome of a stop. The last part of the copy may wait for other runs on
/// the link. Callers abandon a stream after two seconds.
pub(crate) const OUTCOME_WAIT: Duration = Duration::from_millis(1_700);

/// The scout sends the outcome at once. It is also queried at this interval, since datagrams are lost now and then.
const QUERY_INTERVAL: Duration = Duration::from_millis(65);

/// Maximum number of queries to scouts that wait to be sent.
const WAITING_QUERIES: usize = 256;

/// A query to the scout of an engine whether it has moved a run.
#[derive(Clone, Debug)]
pub(crate) struct MoveQuery {
    pub(crate) engine: SocketAddr,
    pub(crate) id: Name,
}

/// What a scout told of a stop that it was permitted.
#[derive(Clone, Debug)]
pub(crate) enum ScoutOutcome {
    /// The run was stopped, and can go on from its memory.
    Moved(MovedRun),
    /// The engine stated that it did not stop the run.
    NotStopped,
    /// The scout does not know, or was not heard.
    Unknown,
}

/// Recently announced moves of runs, and the runs whose streams this relay holds.
pub(crate) struct MovedRuns {
    local: LocalRuns,
    moved: Mutex<HashMap<Name, (Instant, MovedRun)>>,
    // Changed at each new notice.
    changed: watch::Sender<u64>,
    queries: mpsc::Sender<MoveQuery>,
    // Present until the task that sends the queries takes it.
    pending: Mutex<Option<mpsc::Receiver<MoveQuery>>>,
}

impl MovedRuns {
    /// Creates an empty registry.
    pub(crate) fn new() -> Self {
        let (queries, pending) = mpsc::channel(WAITING_QUERIES);
        MovedRuns {
            local: LocalRuns::default(),
            moved: Mutex::default(),
            changed: watch::Sender::new(0),
            queries,
            pending: Mutex::new(Some(pending)),
        }
    }

    /// The runs whose streams this relay holds.
    pub(crate) fn local(&self) -> &LocalRuns {
        &self.local
    }

    /// Decides whether the scout may stop the run, and records the stop. `None` if the stream is not here. `round_trip` is
    /// the distance of the engine that the run is to go to.
    pub(crate) fn permit_stop(
        &self,
        query: &StopQuery,
        round_trip: Duration,
    ) -> Option<Result<StopKey>> {
        let run = &query.run;
        let permission = self.local.permit_stop(&run.id, stop_by_scout(query));
        if let (Some(Ok(_)), Some(target)) = (&permission, run.target) {
            self.open_ahead(&run.id, target, round_trip);
        }
        permission
    }

    /// Opens a connection to the engine at `target` for a run whose stream is here. Opened only after the move, the
    /// connection would lengthen the gap that the caller sees.
    pub(crate) fn open_ahead(&self, id: &Name, target: SocketAddr, round_trip: Duration) {
        let local = self.local.clone();
        if !local.begin_ahead(id, target) {
            return;
        }
        let id = id.clone();
        tokio::spawn(async move {
            match upstream::open(target, round_trip).await {
                Ok(opened) => local.set_ahead(&id, target, opened),
                Err(error) => {
                    tracing::debug!(%id, %target, %error, "move: failed to connect in advance")
                }
            }
        });
    }

    /// Takes the receiver of the queries to send. `None` after the first call.
    pub(crate) fn take_queries(&self) -> Option<mpsc::Receiver<MoveQuery>> {
        lock(&self.pending).take()
    }

    /// Records the notice of a move.
    pub(crate) fn record(&self, moved: MovedRun) {
        let now = Instant::now();
        let mut moved_runs = lock(&self.moved);
        moved_runs.retain(|_, (at, _)| now.duration_since(*at) < NOTICE_TTL);
        moved_runs.insert(moved.id.clone(), (now, moved));
        drop(moved_runs);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Records the outcome of a permitted stop whose run was not moved.
    pub(crate) fn record_outcome(&self, notice: &StopNotice) {
        self.local.apply_scout_notice(notice);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Waits for the outcome of the scout's stop of a run off `engine`, whose stream has ended. Gives up once the scout is
    /// not live any more.
    pub(crate) async fn wait(
        &self,
        id: &Name,
        engine: SocketAddr,
        run: &LocalRunGuard,
        is_scout_live: impl Fn() -> bool,
    ) -> ScoutOutcome {
        let mut notices = self.changed.subscribe();
        let end = Instant::now() + OUTCOME_WAIT;
        while Instant::now() < end {
            if let Some(outcome) = self.outcome(id, engine, run) {
                return outcome;
            }
            if !is_scout_live() {
                break;
            }
            let query = MoveQuery {
                engine,
                id: id.clone(),
            };
            if self.queries.try_send(query).is_err() {
                tracing::debug!(%id, "move: query dropped, too many are waiting");
            }
            let until = Instant::now() + QUERY_INTERVAL;
            while let Ok(Ok(())) = timeout_at(until, notices.changed()).await {
                if let Some(outcome) = self.outcome(id, engine, run) {
                    return outcome;
                }
            }
        }
        ScoutOutcome::Unknown
    }

    /// What is known by now; `None` while the outcome is awaited.
    fn outcome(&self, id: &Name, engine: SocketAddr, run: &LocalRunGuard) -> Option<ScoutOutcome> {
        if let Some(moved) = self.take(id, engine) {
            return Some(ScoutOutcome::Moved(moved));
        }
        match run.open_stop(engine).map(|stop| stop.state) {
            None => Some(ScoutOutcome::NotStopped),
            Some(StopState::Unknown) => Some(ScoutOutcome::Unknown),
            Some(StopState::Pending) => None,
        }
    }

    fn take(&self, id: &Name, engine: SocketAddr) -> Option<MovedRun> {
        let mut moved_runs = lock(&self.moved);
        let found = moved_runs
            .get(id)
            .is_some_and(|(_, moved)| moved.source == engine);
        found
            .then(|| moved_runs.remove(id).map(|(_, moved)| moved))
            .flatten()
    }
}

/// The stop that a scout asks for.
fn stop_by_scout(query: &StopQuery) -> StopRequest {
    let StopQuery { run, number } = query;
    StopRequest {
        by: Stopper::Scout,
        engine: run.source,
        target: run.target,
        handle: run.handle.clone(),
        number: *number,
    }
}
