//! Word of runs that scouts have moved, kept until their streams ask for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_words::MovedRun;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::lock::lock;
use crate::upstream;
use crate::upstream::OpenConnection;

/// How long word of a move is kept: a copy is freed after some seconds.
const KEPT: Duration = Duration::from_secs(6);

/// How long a broken stream waits for word that its run was moved. The word is sent at once, and comes
/// before the stream's end but for a lost datagram; a scout is asked at each [`ASK`] meanwhile.
const WAIT: Duration = Duration::from_millis(260);
const ASK: Duration = Duration::from_millis(65);

/// The same where the scout has said that it copies the run: the last part of the copy may wait on a
/// link for other runs after the stream has ended. Callers give a stream up after two seconds.
const WAIT_MOVING: Duration = Duration::from_millis(1_700);

/// Questions to scouts that wait to be sent.
const WAITING_ASKS: usize = 256;

/// A question to the scout beside an engine: was the run moved?
#[derive(Clone, Debug)]
pub(crate) struct MoveAsk {
    pub(crate) engine: SocketAddr,
    pub(crate) id: Name,
}

/// Moves that were heard of lately.
pub(crate) struct MovedRuns {
    // The runs whose streams are here, with connections to the engines that they go to.
    own: Arc<Mutex<HashMap<Name, OwnState>>>,
    moved: Mutex<HashMap<Name, (Instant, MovedRun)>>,
    // Raised with every move.
    news: watch::Sender<u64>,
    asks: mpsc::Sender<MoveAsk>,
    // Until the task that sends the questions has taken it.
    pending: Mutex<Option<mpsc::Receiver<MoveAsk>>>,
}

impl MovedRuns {
    /// No moves.
    pub(crate) fn new() -> Self {
        let (asks, pending) = mpsc::channel(WAITING_ASKS);
        MovedRuns {
            own: Arc::default(),
            moved: Mutex::default(),
            news: watch::Sender::new(0),
            asks,
            pending: Mutex::new(Some(pending)),
        }
    }

    /// A stream of the run is here, until the guard is dropped.
    pub(crate) fn watch(&self, id: &Name) -> OwnRun {
        lock(&self.own).insert(id.clone(), OwnState::default());
        OwnRun {
            id: id.clone(),
            own: self.own.clone(),
        }
    }

    /// A run is about to go to another engine, a round trip away: opens a connection there, if its stream is here. The
    /// caller would see nothing come meanwhile.
    pub(crate) fn prepare(&self, moving: &MovedRun, trip: Duration) {
        let Some(target) = moving.target else {
            return;
        };
        match lock(&self.own).get_mut(&moving.id) {
            Some(run) => run.moving = true,
            None => return,
        }
        let own = self.own.clone();
        let id = moving.id.clone();
        tokio::spawn(async move {
            match upstream::open(target, trip).await {
                Ok(opened) => {
                    if let Some(run) = lock(&own).get_mut(&id) {
                        run.prepared = Some(Prepared { target, opened });
                    }
                }
                Err(error) => tracing::debug!(%id, %target, %error, "move: no connection ahead"),
            }
        });
    }

    /// The connection to the engine that was opened ahead for the run.
    pub(crate) fn prepared(&self, id: &Name, target: SocketAddr) -> Option<OpenConnection> {
        let mut own = lock(&self.own);
        let run = own.get_mut(id)?;
        run.moving = false;
        let prepared = run.prepared.take()?;
        (prepared.target == target).then_some(prepared.opened)
    }

    /// The questions to send, once.
    pub(crate) fn take_asks(&self) -> Option<mpsc::Receiver<MoveAsk>> {
        lock(&self.pending).take()
    }

    /// Keeps word of a move.
    pub(crate) fn note(&self, moved: MovedRun) {
        let now = Instant::now();
        let mut runs = lock(&self.moved);
        runs.retain(|_, (at, _)| now.duration_since(*at) < KEPT);
        runs.insert(moved.id.clone(), (now, moved));
        drop(runs);
        self.news.send_modify(|count| *count += 1);
    }

    /// The move of a run off the engine whose stream has broken; waits a moment for word of it.
    pub(crate) async fn wait(&self, id: &Name, engine: SocketAddr) -> Option<MovedRun> {
        let mut news = self.news.subscribe();
        let moving = lock(&self.own).get(id).is_some_and(|run| run.moving);
        let end = Instant::now() + if moving { WAIT_MOVING } else { WAIT };
        while Instant::now() < end {
            if let Some(moved) = self.take(id, engine) {
                return Some(moved);
            }
            let ask = MoveAsk {
                engine,
                id: id.clone(),
            };
            if self.asks.try_send(ask).is_err() {
                tracing::debug!(%id, "move: too many questions wait, one is left out");
            }
            let until = Instant::now() + ASK;
            while let Ok(Ok(())) = timeout_at(until, news.changed()).await {
                if let Some(moved) = self.take(id, engine) {
                    return Some(moved);
                }
            }
        }
        None
    }

    fn take(&self, id: &Name, engine: SocketAddr) -> Option<MovedRun> {
        let mut runs = lock(&self.moved);
        let found = runs
            .get(id)
            .is_some_and(|(_, moved)| moved.source == engine);
        found
            .then(|| runs.remove(id).map(|(_, moved)| moved))
            .flatten()
    }
}

/// What is known of the moves of a run whose stream is here.
#[derive(Default)]
struct OwnState {
    // Whether its scout has said that it copies the run.
    moving: bool,
    prepared: Option<Prepared>,
}

/// A connection that was opened ahead of a move.
struct Prepared {
    target: SocketAddr,
    opened: OpenConnection,
}

/// A run whose stream is here.
pub(crate) struct OwnRun {
    id: Name,
    own: Arc<Mutex<HashMap<Name, OwnState>>>,
}

impl Drop for OwnRun {
    fn drop(&mut self) {
        lock(&self.own).remove(&self.id);
    }
}
