//! The runs whose streams this relay holds: where each one is, the stops that were asked for, and the connection that was
//! opened ahead of its move.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use cicada_lib::ids::Name;
use cicada_lib::migration::run_stops::OpenStop;
use cicada_lib::migration::run_stops::Result;
use cicada_lib::migration::run_stops::RunStops;
use cicada_lib::migration::run_stops::StopKey;
use cicada_lib::migration::run_stops::StopRefusal;
use cicada_lib::migration::run_stops::StopRequest;
use cicada_lib::peer_messages::StopNotice;
use cicada_lib::peer_messages::StopQuery;

use crate::lock::lock;
use crate::upstream::OpenConnection;

/// The runs by the identifiers of their requests.
#[derive(Clone, Default)]
pub(crate) struct LocalRuns(Arc<Mutex<HashMap<Name, LocalRun>>>);

/// A run whose stream this relay holds.
#[derive(Default)]
struct LocalRun {
    // Streams with this identifier. Callers that use it twice share the run's record.
    streams: usize,
    stops: RunStops,
    // Where a connection is opened ahead of the run's move, and the connection once it is open.
    ahead_target: Option<SocketAddr>,
    ahead: Option<OpenConnection>,
}

impl LocalRuns {
    /// Registers a run, until the guard is dropped.
    pub(crate) fn register(&self, id: &Name) -> LocalRunGuard {
        lock(&self.0).entry(id.clone()).or_default().streams += 1;
        LocalRunGuard {
            id: id.clone(),
            runs: self.clone(),
        }
    }

    /// Decides whether a scout may stop the run. `None` if its stream is not here.
    pub(crate) fn permit_stop(&self, id: &Name, request: StopRequest) -> Option<Result<StopKey>> {
        self.with(id, |run| match run.streams {
            1 => run.stops.permit(request),
            _ => Err(StopRefusal::Shared),
        })
    }

    /// Records what became of a scout's stop.
    pub(crate) fn apply_scout_notice(&self, notice: &StopNotice) {
        let StopQuery { run, number } = &notice.query;
        let (engine, handle) = (run.source, &run.handle);
        self.with(&run.id, |run| {
            let Some(key) = run.stops.scout_stop(engine, *number) else {
                return;
            };
            run.stops.set_handle(key, handle);
            match notice.withdrawn {
                true => run.stops.settle(key),
                false => run.stops.lose(key),
            }
        });
    }

    /// Whether a connection to `target` is to be opened ahead of the run's move: there is none, and none on its way.
    pub(crate) fn begin_ahead(&self, id: &Name, target: SocketAddr) -> bool {
        let begun = self.with(id, |run| {
            let is_new = run.ahead_target.replace(target) != Some(target);
            if is_new {
                // It leads to the former target.
                run.ahead = None;
            }
            is_new
        });
        begun.unwrap_or_default()
    }

    /// Keeps a connection for the run's move to `target`.
    pub(crate) fn set_ahead(&self, id: &Name, target: SocketAddr, opened: OpenConnection) {
        self.with(id, |run| {
            if run.ahead_target == Some(target) {
                run.ahead = Some(opened);
            }
        });
    }

    /// Takes the connection to `target` that was opened ahead of the run's move.
    pub(crate) fn take_ahead(&self, id: &Name, target: SocketAddr) -> Option<OpenConnection> {
        self.with(id, |run| {
            let ahead = run.ahead.take();
            let is_meant = run.ahead_target.take() == Some(target);
            ahead.filter(|_| is_meant)
        })?
    }

    /// Whether the run's stream is here.
    pub(crate) fn contains(&self, id: &Name) -> bool {
        lock(&self.0).contains_key(id)
    }

    fn with<T>(&self, id: &Name, apply: impl FnOnce(&mut LocalRun) -> T) -> Option<T> {
        lock(&self.0).get_mut(id).map(apply)
    }
}

/// Keeps a run registered as one whose stream is here.
pub(crate) struct LocalRunGuard {
    id: Name,
    runs: LocalRuns,
}

impl LocalRunGuard {
    /// Records that the run begins or goes on at the engine.
    pub(crate) fn begin_at(&self, engine: SocketAddr) {
        self.stops(|stops| stops.begin_at(engine));
    }

    /// Records that the body of the answer has ended.
    pub(crate) fn end_body(&self) {
        self.stops(RunStops::end_body);
    }

    /// Records a stop by this relay before it is asked for.
    pub(crate) fn record_own_stop(&self, request: StopRequest) -> Result<StopKey> {
        let recorded = self.runs.with(&self.id, |run| match run.streams {
            1 => run.stops.record_own(request),
            _ => Err(StopRefusal::Shared),
        });
        recorded.unwrap_or(Err(StopRefusal::NotHere))
    }

    /// Records that the outcome of a stop is known.
    pub(crate) fn settle_stop(&self, key: StopKey) {
        self.stops(|stops| stops.settle(key));
    }

    /// Records that the outcome of a stop will not be known.
    pub(crate) fn lose_stop(&self, key: StopKey) {
        self.stops(|stops| stops.lose(key));
    }

    /// The latest stop that may have ended the run's stream at the engine, or may still do so.
    pub(crate) fn open_stop(&self, engine: SocketAddr) -> Option<OpenStop> {
        self.stops(|stops| stops.open_stop(engine).cloned())
    }

    /// Takes the latest copy from which a run that may have been stopped at the engine can be resumed.
    pub(crate) fn take_copy(&self, engine: SocketAddr) -> Option<StopRequest> {
        self.stops(|stops| stops.take_copy(engine))
    }

    fn stops<T: Default>(&self, apply: impl FnOnce(&mut RunStops) -> T) -> T {
        let applied = self.runs.with(&self.id, |run| apply(&mut run.stops));
        applied.unwrap_or_default()
    }
}

impl Drop for LocalRunGuard {
    fn drop(&mut self) {
        let mut runs = lock(&self.runs.0);
        if let Some(run) = runs.get_mut(&self.id) {
            run.streams -= 1;
            if run.streams == 0 {
                runs.remove(&self.id);
            }
        }
    }
}
