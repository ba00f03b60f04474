//! The identifier of the current incarnation of the scout's engine.
//!
//! After a crash an engine comes back under another identifier, while the directory lists the former one
//! until its record expires. The scout reads the identifier from the engine's health path. A health request
//! waits for a slot at the engine like any other request, so it is sent only once per incarnation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::EngineHealth;
use cicada_lib::ids::Name;
use cicada_lib::time::Time;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Minimum delay between two queries: an engine that has just started may be cold.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// After a gap of this length between polls the scout itself was frozen, and the engine may have restarted
/// unnoticed. Polls normally run about thirty times a second, and a restart takes longer than this.
const MAX_POLL_GAP: Duration = Duration::from_millis(500);

/// Tracks the engine's identifier.
pub(crate) struct IdentityTracker {
    health_path: Option<Name>,
    id: Option<Name>,
    // Incremented when the engine may have restarted. Replies to queries of earlier epochs are ignored.
    epoch: u64,
    // `None` before the first poll.
    last_poll: Option<Time>,
    last_query: Option<Instant>,
    replies: mpsc::Receiver<(u64, EngineHealth)>,
    replies_tx: mpsc::Sender<(u64, EngineHealth)>,
}

impl IdentityTracker {
    /// Creates a tracker that does not know the identifier yet.
    pub(crate) fn new() -> Self {
        let (replies_tx, replies) = mpsc::channel(1);
        IdentityTracker {
            health_path: None,
            id: None,
            epoch: 0,
            last_poll: None,
            last_query: None,
            replies,
            replies_tx,
        }
    }

    /// Sets the path of the engine's health check, which returns the identifier.
    pub(crate) fn set_health_path(&mut self, path: Name) {
        self.health_path = Some(path);
    }

    /// The identifier, if it is known.
    pub(crate) fn id(&self) -> Option<Name> {
        self.id.clone()
    }

    /// Records that the scout is about to poll its engine.
    pub(crate) fn record_poll(&mut self, now: Time) {
        let was_frozen = self
            .last_poll
            .is_some_and(|at| now.since(at) >= MAX_POLL_GAP);
        if was_frozen {
            self.reset();
        }
        self.last_poll = Some(now);
    }

    /// Discards the identifier, since the engine may have restarted under another one.
    pub(crate) fn reset(&mut self) {
        self.id = None;
        self.last_query = None;
        self.epoch += 1;
    }

    /// Queries the engine in the background, unless its identifier is known or was queried within
    /// [`RETRY_INTERVAL`].
    pub(crate) fn query(&mut self, engines: &Arc<dyn EngineCalls>, engine: SocketAddr) {
        let queried_recently = self
            .last_query
            .is_some_and(|at| at.elapsed() < RETRY_INTERVAL);
        if self.id.is_some() || queried_recently {
            return;
        }
        let Some(path) = self.health_path.clone() else {
            return;
        };
        self.last_query = Some(Instant::now());
        let (engines, replies, epoch) = (engines.clone(), self.replies_tx.clone(), self.epoch);
        tokio::spawn(async move {
            match engines.health(engine, &path).await {
                Ok(health) => {
                    // The send fails only if the scout is gone.
                    drop(replies.send((epoch, health)).await);
                }
                Err(error) => tracing::debug!(%error, "scout: cannot read the engine's identifier"),
            }
        });
    }

    /// Waits for a reply of the engine; `None` if the reply is outdated or the identifier is already known.
    pub(crate) async fn next_reply(&mut self) -> Option<EngineHealth> {
        let (epoch, health) = self.replies.recv().await?;
        if epoch != self.epoch || self.id.is_some() {
            return None;
        }
        self.id = Some(health.id.clone());
        Some(health)
    }
}
