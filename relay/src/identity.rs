//! Under which identifier the scout's engine lives.
//!
//! An engine that has crashed is back under another identifier, and the directory names the former one
//! until that lapses. The engine names itself at its health path, which waits for a place like any other
//! request: it is asked once in a life.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::EngineHealth;
use cicada_lib::ids::Name;
use cicada_lib::time::Time;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long to wait after a question before the next one: an engine that has just come may be cold.
const PAUSE: Duration = Duration::from_millis(700);

/// Where the scout did not look for so long, it stood still itself, and the engine may have ended and
/// come back unseen: it looks some thirty times a second, and an engine is away for longer than this.
const STOOD_STILL: Duration = Duration::from_millis(500);

/// The engine's identifier, as far as it is known.
pub(crate) struct Identity {
    path: Option<Name>,
    id: Option<Name>,
    // Grows when the engine may have begun another life: answers to earlier questions no longer count.
    life: u64,
    // `None` before the first look.
    looked: Option<Time>,
    asked: Option<Instant>,
    answers: mpsc::Receiver<(u64, EngineHealth)>,
    answers_in: mpsc::Sender<(u64, EngineHealth)>,
}

impl Identity {
    /// Not known.
    pub(crate) fn new() -> Self {
        let (answers_in, answers) = mpsc::channel(1);
        Identity {
            path: None,
            id: None,
            life: 0,
            looked: None,
            asked: None,
            answers,
            answers_in,
        }
    }

    /// The path at which the engine names itself.
    pub(crate) fn set_path(&mut self, path: Name) {
        self.path = Some(path);
    }

    /// The identifier, while it is known.
    pub(crate) fn id(&self) -> Option<Name> {
        self.id.clone()
    }

    /// The scout is about to look at its engine.
    pub(crate) fn looked(&mut self, now: Time) {
        let stood = self.looked.is_some_and(|at| now.since(at) >= STOOD_STILL);
        if stood {
            self.forget();
        }
        self.looked = Some(now);
    }

    /// The engine did not answer: it may come back as another one.
    pub(crate) fn forget(&mut self) {
        self.id = None;
        self.asked = None;
        self.life += 1;
    }

    /// Asks the engine, unless its identifier is known or was asked for a moment ago.
    pub(crate) fn ask(&mut self, engines: &Arc<dyn EngineCalls>, engine: SocketAddr) {
        let waits = self.asked.is_some_and(|asked| asked.elapsed() < PAUSE);
        if self.id.is_some() || waits {
            return;
        }
        let Some(path) = self.path.clone() else {
            return;
        };
        self.asked = Some(Instant::now());
        let (engines, answers, life) = (engines.clone(), self.answers_in.clone(), self.life);
        tokio::spawn(async move {
            match engines.health(engine, &path).await {
                Ok(health) => {
                    // A scout that is gone needs no answer.
                    drop(answers.send((life, health)).await);
                }
                Err(error) => tracing::debug!(%error, "scout: the engine does not name itself"),
            }
        });
    }

    /// Waits for the engine's answer, where that is news.
    pub(crate) async fn answered(&mut self) -> Option<EngineHealth> {
        let (life, health) = self.answers.recv().await?;
        if life != self.life || self.id.is_some() {
            return None;
        }
        self.id = Some(health.id.clone());
        Some(health)
    }
}
