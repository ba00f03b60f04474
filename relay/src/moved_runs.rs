//! Notices of runs that scouts have moved, kept until the streams of the runs need them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_messages::MovedRun;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::lock::lock;
use crate::upstream;
use crate::upstream::OpenConnection;

/// How long notice of a move is kept: the target frees an unclaimed copy after some seconds.
const NOTICE_TTL: Duration = Duration::from_secs(6);

/// How long a broken stream waits for notice that its run was moved. The scout sends the notice at once, and it arrives
/// before the stream ends unless the datagram is lost, so the scout is also queried at each [`QUERY_INTERVAL`].
const NOTICE_WAIT: Duration = Duration::from_millis(260);
const QUERY_INTERVAL: Duration = Duration::from_millis(65);

/// The same if the scout has announced that it copies the run: after the stream has ended, the last part of the copy
/// may wait for other runs on the link. Callers abandon a stream after two seconds.
const COPYING_WAIT: Duration = Duration::from_millis(1_700);

/// Maximum number of queries to scouts that wait to be sent.
const WAITING_QUERIES: usize = 256;

/// A query to the scout of an engine whether it has moved a run.
#[derive(Clone, Debug)]
pub(crate) struct MoveQuery {
    pub(crate) engine: SocketAddr,
    pub(crate) id: Name,
}

/// Recently announced moves of runs, and the runs whose streams this relay holds.
pub(crate) struct MovedRuns {
    // The runs whose streams this relay holds.
    local: Arc<Mutex<HashMap<Name, LocalRun>>>,
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
            local: Arc::default(),
            moved: Mutex::default(),
            changed: watch::Sender::new(0),
            queries,
            pending: Mutex::new(Some(pending)),
        }
    }

    /// Registers a run whose stream this relay holds, until the guard is dropped.
    pub(crate) fn register(&self, id: &Name) -> LocalRunGuard {
        lock(&self.local).insert(id.clone(), LocalRun::default());
        LocalRunGuard {
            id: id.clone(),
            local: self.local.clone(),
        }
    }

    /// Whether a scout has announced that it copies the run, or that it has moved it.
    pub(crate) fn is_moving(&self, id: &Name) -> bool {
        let announced = lock(&self.local).get(id).is_some_and(|run| run.moving);
        announced || lock(&self.moved).contains_key(id)
    }

    /// Opens a connection to the engine that a run is about to move to, one `round_trip` away, if its stream is here.
    /// Opened only after the move, the connection would lengthen the gap that the caller sees.
    pub(crate) fn preconnect(&self, moving: &MovedRun, round_trip: Duration) {
        let Some(target) = moving.target else {
            return;
        };
        match lock(&self.local).get_mut(&moving.id) {
            Some(run) => run.moving = true,
            None => return,
        }
        self.open_ahead(&moving.id, target, round_trip);
    }

    /// Opens a connection to the engine at `target` for a run whose stream is here.
    pub(crate) fn open_ahead(&self, id: &Name, target: SocketAddr, round_trip: Duration) {
        let local = self.local.clone();
        let id = id.clone();
        tokio::spawn(async move {
            match upstream::open(target, round_trip).await {
                Ok(opened) => {
                    if let Some(run) = lock(&local).get_mut(&id) {
                        run.ahead = Some(AheadConnection { target, opened });
                    }
                }
                Err(error) => {
                    tracing::debug!(%id, %target, %error, "move: failed to connect in advance")
                }
            }
        });
    }

    /// Takes the connection to `target` that was opened ahead of the run's move.
    pub(crate) fn take_connection(&self, id: &Name, target: SocketAddr) -> Option<OpenConnection> {
        let mut local = lock(&self.local);
        let run = local.get_mut(id)?;
        run.moving = false;
        let ahead = run.ahead.take()?;
        (ahead.target == target).then_some(ahead.opened)
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

    /// Takes the notice that a run was moved off `engine`, whose stream has broken. Waits briefly for it.
    pub(crate) async fn wait(&self, id: &Name, engine: SocketAddr) -> Option<MovedRun> {
        let mut notices = self.changed.subscribe();
        let moving = lock(&self.local).get(id).is_some_and(|run| run.moving);
        let end = Instant::now() + if moving { COPYING_WAIT } else { NOTICE_WAIT };
        while Instant::now() < end {
            if let Some(moved) = self.take(id, engine) {
                return Some(moved);
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
                if let Some(moved) = self.take(id, engine) {
                    return Some(moved);
                }
            }
        }
        None
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

/// State of the moves of a run whose stream is here.
#[derive(Default)]
struct LocalRun {
    // Whether the scout has announced that it copies the run.
    moving: bool,
    ahead: Option<AheadConnection>,
}

/// A connection opened ahead of a move.
struct AheadConnection {
    target: SocketAddr,
    opened: OpenConnection,
}

/// Keeps a run registered as one whose stream is here.
pub(crate) struct LocalRunGuard {
    id: Name,
    local: Arc<Mutex<HashMap<Name, LocalRun>>>,
}

impl Drop for LocalRunGuard {
    fn drop(&mut self) {
        lock(&self.local).remove(&self.id);
    }
}
