//! What an entry knows of requests that end engines, and how it passes that on to agents.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::Weak;

use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Verdict;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::suspects::Suspects;
use cicada_lib::time::Clock;

use crate::links::Links;
use crate::mark_spread::MarkSink;
use crate::mark_spread::MarkSpread;

/// The evidence of one entry.
pub(crate) struct Evidence {
    clock: Clock,
    suspects: Mutex<Suspects>,
    spread: MarkSpread,
    // Set once, when the links are there.
    links: OnceLock<Weak<Links>>,
}

impl Evidence {
    /// No evidence.
    pub(crate) fn new(clock: Clock, spread: MarkSpread) -> Self {
        Evidence {
            clock,
            spread,
            suspects: Mutex::default(),
            links: OnceLock::new(),
        }
    }

    /// Says over which links evidence is passed on.
    pub(crate) fn pass_on(&self, links: &Arc<Links>) {
        let _ = self.links.set(Arc::downgrade(links));
    }

    /// All marks, for an agent that is met anew.
    pub(crate) fn all(&self) -> Vec<CrashMark> {
        self.lock().marks_since(self.clock.now(), 0)
    }

    /// What may be done with a request.
    pub(crate) fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.lock().verdict(self.clock.now(), fingerprint)
    }

    /// Takes in marks, and returns those that are new.
    fn take_in(&self, marks: &[CrashMark]) -> Vec<CrashMark> {
        self.lock().take_in(self.clock.now(), marks)
    }

    fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.suspects
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl MarkSink for Evidence {
    /// An agent sends its marks before the end of the stream that they are about, and they are queued
    /// on every link here: the request's next attempt cannot reach an agent before them.
    fn learn(&self, marks: &[CrashMark]) {
        let news = self.take_in(marks);
        if news.is_empty() {
            return;
        }
        if let Some(links) = self.links.get().and_then(Weak::upgrade) {
            links.tell(&news);
        }
        self.spread.push(&news);
    }
}
