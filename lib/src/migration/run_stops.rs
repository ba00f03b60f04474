//! Stops of a run that were asked for, and whether one of them may have ended its stream.
//!
//! Load pattern: several engines leave at once, the copies of their runs queue on the links, and answers to the last step
//! of a move are late or lost. An engine closes the stream of a run that it stops. Where neither a length nor chunks mark
//! the end, that looks like a complete answer, so such an end counts as one only if no stop can have caused it.
//!
//! The holder of the stream keeps this record. Nobody may ask an engine to stop the run without an entry here: the holder
//! adds its own stops before it sends them, and an engine's scout asks for permission first.

use std::net::SocketAddr;

use thiserror::Error;

use crate::copy_type;
use crate::ids::Name;
use crate::value_type;

copy_type! {
    /// Who asks an engine to stop a run.
    pub enum Stopper {
        /// The relay that holds the stream.
        Relay,
        /// The engine's scout.
        Scout,
    }

    /// What is known of a stop that was asked for.
    pub enum StopState {
        /// Its outcome is awaited.
        Pending,
        /// The engine's answer was lost or is unusable. The run may have stopped, or may stop later.
        Unknown,
    }

    /// Names a stop in a [`RunStops`].
    pub struct StopKey(u64);
}

value_type! {
    /// A request to an engine to stop a run, after its memory was copied.
    pub struct StopRequest {
        /// Who sends it.
        pub by: Stopper,
        /// The engine that runs it.
        pub engine: SocketAddr,
        /// The engine that holds the copy.
        pub target: Option<SocketAddr>,
        /// The handle of the copy; empty if it is not known.
        pub handle: Name,
        /// What a scout numbers it by, so that news of an earlier stop of the run is not taken for news of this one. Zero
        /// for other stops.
        pub number: u64,
    }
}

/// Why a run may not be stopped.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StopRefusal {
    /// The run is elsewhere, or its stream has ended.
    #[error("the run is not at this engine any more; leave it alone")]
    NotHere,
    /// The outcome of another stop there is not known.
    #[error("another stop of the run is not settled; leave the run to the holder of its stream")]
    Unsettled,
    /// Several streams here have the identifier of the run.
    #[error("several streams have the identifier of the run; it cannot be stopped for one of them")]
    Shared,
}

impl StopRefusal {
    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StopRefusal::NotHere => "not_here",
            StopRefusal::Unsettled => "unsettled",
            StopRefusal::Shared => "shared",
        }
    }
}

/// The result of asking whether a run may be stopped.
pub type Result<T> = std::result::Result<T, StopRefusal>;

/// A stop that was asked for and is not settled.
#[derive(Clone, Debug)]
pub struct OpenStop {
    /// Names it.
    pub key: StopKey,
    /// What was asked.
    pub request: StopRequest,
    /// What is known of it.
    pub state: StopState,
    // Whether a resume from this copy was attempted. A handle is usable once.
    is_spent: bool,
}

/// The stops of one run, over all engines where it was. See the module.
#[derive(Debug, Default)]
pub struct RunStops {
    // Where the run is; `None` once the body of its answer has ended.
    engine: Option<SocketAddr>,
    // Stops that are not settled, oldest first. A request that was lost may still reach an engine to which the run
    // returns, so these stay when the run moves on.
    open: Vec<OpenStop>,
    last_key: u64,
}

impl RunStops {
    /// Creates the record of a run at no engine.
    pub fn new() -> Self {
        RunStops::default()
    }

    /// Records that the run begins or goes on at the engine.
    pub fn begin_at(&mut self, engine: SocketAddr) {
        self.engine = Some(engine);
    }

    /// Records that the body of the answer has ended: whatever is asked from now on did not end it.
    pub fn end_body(&mut self) {
        self.engine = None;
    }

    /// Records a stop by the holder of the stream, unless a scout may be stopping the run. An earlier stop of the holder
    /// whose outcome is unknown is no obstacle: the run was copied since.
    pub fn record_own(&mut self, request: StopRequest) -> Result<StopKey> {
        if self.engine != Some(request.engine) {
            return Err(StopRefusal::NotHere);
        }
        let is_pending = |stop: &OpenStop| stop.state == StopState::Pending;
        if self.open_at(request.engine).any(is_pending) {
            return Err(StopRefusal::Unsettled);
        }
        Ok(self.push(request))
    }

    /// Permits a scout to stop the run, unless that would leave two stops unsettled. Permits the same stop again, since
    /// the reply may be lost, and since the scout asks before the copy has a handle.
    pub fn permit(&mut self, request: StopRequest) -> Result<StopKey> {
        let pending = self.scout_stop(request.engine, request.number);
        if let Some(key) = pending.filter(|key| self.is_pending(*key)) {
            self.set_handle(key, &request.handle);
            return Ok(key);
        }
        if self.engine != Some(request.engine) {
            return Err(StopRefusal::NotHere);
        }
        match self.open_stop(request.engine).is_some() {
            true => {
                self.lose_scout_stops(request.engine);
                Err(StopRefusal::Unsettled)
            }
            false => Ok(self.push(request)),
        }
    }

    /// Records that nobody tells the outcome of former stops by the engine's scout. A scout moves one run at a time, so one
    /// that asks anew has given up the former stop, was restarted, or its news was lost.
    fn lose_scout_stops(&mut self, engine: SocketAddr) {
        let is_former = |stop: &&mut OpenStop| {
            stop.request.by == Stopper::Scout && stop.request.engine == engine
        };
        for stop in self.open.iter_mut().filter(is_former) {
            stop.state = StopState::Unknown;
        }
    }

    /// Records the handle of the copy that was made before a stop.
    pub fn set_handle(&mut self, key: StopKey, handle: &Name) {
        let stop = self.open.iter_mut().find(|stop| stop.key == key);
        if let Some(stop) = stop.filter(|_| !handle.as_str().is_empty()) {
            stop.request.handle = handle.clone();
        }
    }

    /// Records that the outcome is known: the engine handed over the run's memory, or stated that it did not stop the run.
    pub fn settle(&mut self, key: StopKey) {
        self.open.retain(|stop| stop.key != key);
    }

    /// Records that the outcome will not be known.
    pub fn lose(&mut self, key: StopKey) {
        if let Some(stop) = self.open.iter_mut().find(|stop| stop.key == key) {
            stop.state = StopState::Unknown;
        }
    }

    /// The stop at the engine that its scout gave this number.
    pub fn scout_stop(&self, engine: SocketAddr, number: u64) -> Option<StopKey> {
        let is_meant =
            |stop: &&OpenStop| stop.request.by == Stopper::Scout && stop.request.number == number;
        self.open_at(engine).find(is_meant).map(|stop| stop.key)
    }

    /// The latest stop that may have ended the run's stream at the engine, or may still do so.
    pub fn open_stop(&self, engine: SocketAddr) -> Option<&OpenStop> {
        self.open_at(engine).next_back()
    }

    /// Takes the latest copy from which a run that may have been stopped at the engine can be resumed.
    pub fn take_copy(&mut self, engine: SocketAddr) -> Option<StopRequest> {
        let copy = self.open.iter_mut().rev().find(|stop| {
            stop.request.engine == engine
                && !stop.is_spent
                && !stop.request.handle.as_str().is_empty()
        })?;
        copy.is_spent = true;
        Some(copy.request.clone())
    }

    fn is_pending(&self, key: StopKey) -> bool {
        let mut open = self.open.iter();
        open.any(|stop| stop.key == key && stop.state == StopState::Pending)
    }

    fn push(&mut self, request: StopRequest) -> StopKey {
        self.last_key += 1;
        let key = StopKey(self.last_key);
        self.open.push(OpenStop {
            key,
            request,
            state: StopState::Pending,
            is_spent: false,
        });
        key
    }

    fn open_at(&self, engine: SocketAddr) -> impl DoubleEndedIterator<Item = &OpenStop> {
        let here = move |stop: &&OpenStop| stop.request.engine == engine;
        self.open.iter().filter(here)
    }
}

impl Stopper {
    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Stopper::Relay => "relay",
            Stopper::Scout => "scout",
        }
    }
}

impl StopState {
    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StopState::Pending => "pending",
            StopState::Unknown => "unknown",
        }
    }
}
