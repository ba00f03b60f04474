//! Bounds on the moves of runs whose engines stay, over all runs of this relay, and the release of copies that no run
//! uses.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use cicada_lib::dialect::Copied;
use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::MoveError;
use cicada_lib::ids::Name;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Time;
use tokio::runtime::Handle;

use crate::lock::lock;
use crate::stream_run::MoveFuture;

/// Concurrent moves off one engine by this relay. Copies from one engine share its link.
const MAX_CONCURRENT: usize = 1;

/// How long an engine that had no room for a run is not a target: two intervals of sparse reports, after which its
/// report includes what took the room.
const REFUSAL_TTL: Duration = Duration::from_secs(1);

/// The moves in progress of this relay's runs whose engines stay, and the engines that recently had no room.
#[derive(Default)]
pub(crate) struct PlannedMoves {
    sources: Arc<Mutex<HashMap<SocketAddr, usize>>>,
    refused: Mutex<HashMap<ServerKey, Time>>,
}

impl PlannedMoves {
    /// Begins a move off the engine; `None` if too many are in progress there.
    pub(crate) fn begin(&self, source: SocketAddr) -> Option<SourceSlot> {
        let mut sources = lock(&self.sources);
        let moves = sources.entry(source).or_default();
        if *moves >= MAX_CONCURRENT {
            return None;
        }
        *moves += 1;
        Some(SourceSlot {
            source,
            sources: self.sources.clone(),
        })
    }

    /// Records that the engine had no room for a run.
    pub(crate) fn record_refusal(&self, now: Time, target: ServerKey) {
        lock(&self.refused).insert(target, now);
    }

    /// The engines that recently had no room.
    pub(crate) fn refused(&self, now: Time) -> Vec<ServerKey> {
        let mut refused = lock(&self.refused);
        refused.retain(|_, at| now.since(*at) < REFUSAL_TTL);
        refused.keys().copied().collect()
    }
}

/// A move in progress off an engine, until it is dropped.
pub(crate) struct SourceSlot {
    source: SocketAddr,
    sources: Arc<Mutex<HashMap<SocketAddr, usize>>>,
}

impl SourceSlot {
    /// The engine.
    pub(crate) fn source(&self) -> SocketAddr {
        self.source
    }
}

impl Drop for SourceSlot {
    fn drop(&mut self) {
        let mut sources = lock(&self.sources);
        if let Some(moves) = sources.get_mut(&self.source) {
            *moves -= 1;
            if *moves == 0 {
                sources.remove(&self.source);
            }
        }
    }
}

/// A copy of a run's memory, which is freed at both ends when this is dropped.
pub(crate) struct HeldCopy {
    engines: Arc<dyn EngineCalls>,
    source: SocketAddr,
    handle: Option<Name>,
}

impl HeldCopy {
    /// Takes charge of a copy that the engine at `source` made.
    pub(crate) fn new(engines: Arc<dyn EngineCalls>, source: SocketAddr, handle: Name) -> Self {
        HeldCopy {
            engines,
            source,
            handle: Some(handle),
        }
    }

    /// What names it at its source.
    pub(crate) fn handle(&self) -> Name {
        self.handle.clone().unwrap_or_default()
    }

    /// Leaves the copy to the run that goes on from it, or to the next step of the move.
    pub(crate) fn release(mut self) {
        self.handle = None;
    }
}

impl Drop for HeldCopy {
    fn drop(&mut self) {
        let (Some(handle), Ok(runtime)) = (self.handle.take(), Handle::try_current()) else {
            return;
        };
        let (engines, source) = (self.engines.clone(), self.source);
        runtime.spawn(async move { engines.drop_copy(source, &handle).await });
    }
}

/// A call that copies a run's memory. If it is dropped before it is answered, the answer is awaited in the background
/// and the copy is freed.
pub(crate) struct CopyCall {
    engines: Arc<dyn EngineCalls>,
    source: SocketAddr,
    // `None` once the call is answered.
    pending: Option<MoveFuture>,
}

impl CopyCall {
    /// Wraps a call to the engine at `source`.
    pub(crate) fn new(
        engines: Arc<dyn EngineCalls>,
        source: SocketAddr,
        pending: MoveFuture,
    ) -> Self {
        CopyCall {
            engines,
            source,
            pending: Some(pending),
        }
    }
}

impl Future for CopyCall {
    type Output = Result<Copied, MoveError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(pending) = &mut self.pending else {
            return Poll::Pending;
        };
        let outcome = ready!(pending.as_mut().poll(context));
        self.pending = None;
        Poll::Ready(outcome)
    }
}

impl Drop for CopyCall {
    fn drop(&mut self) {
        let (Some(pending), Ok(runtime)) = (self.pending.take(), Handle::try_current()) else {
            return;
        };
        let (engines, source) = (self.engines.clone(), self.source);
        runtime.spawn(async move {
            if let Ok(Copied { handle, .. }) | Err(MoveError::NoRoom(Some(handle))) = pending.await
            {
                engines.drop_copy(source, &handle).await;
            }
        });
    }
}
