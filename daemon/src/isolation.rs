//! Which suspected generation runs alone at an agent, and when.
//!
//! Load pattern: a request that ends each engine it runs on, among others of the same batch that did
//! nothing. Without this the evidence of [`cicada_lib::suspects`] could not tell them apart. A suspect
//! runs only while nothing else does, until it has shown itself harmless. New starts are held back for
//! it, but for [`HOLD`] at most and then not again for [`REST`]: a caller that sends many suspects
//! costs the others less than a tenth of the engine's time.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use cicada_lib::crash_mark::CrashId;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Verdict;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::suspects::PROBATION_TOKENS;
use cicada_lib::suspects::Suspects;
use cicada_lib::time::Time;

use crate::record::RecordKey;

/// Longest time for which new starts are held back so that the engine runs empty. A caller bears it
/// as a stall.
pub(crate) const HOLD: Duration = Duration::from_secs(3);

/// Time between two such holds.
pub(crate) const REST: Duration = Duration::from_secs(30);

/// Longest time for which a suspect that produces nothing keeps the engine to itself.
const PROBATION_TIME: Duration = Duration::from_secs(10);

/// What the agent may do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Gate {
    /// Start what the scheduler says.
    Open,
    /// Start nothing.
    Held,
    /// Start this suspect.
    Start(RecordKey),
    /// Refuse this suspect: the engine did not run empty in time.
    Refuse(RecordKey),
}

#[derive(Clone, Copy, Debug)]
struct Alone {
    record: RecordKey,
    fingerprint: Fingerprint,
    since: Time,
    tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    record: RecordKey,
    fingerprint: Fingerprint,
    since: Time,
}

/// The suspects of one agent.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    suspects: Suspects,
    waiting: VecDeque<Waiting>,
    alone: Option<Alone>,
    // No hold before.
    rested: Time,
    // What ran at the last crash and has not been reported lost yet.
    lost: HashSet<RecordKey>,
    told: u64,
}

impl Isolation {
    /// What may be done with a request.
    pub(crate) fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        self.suspects.verdict(now, fingerprint)
    }

    /// A suspect waits for the engine.
    pub(crate) fn wait(&mut self, now: Time, record: RecordKey, fingerprint: Fingerprint) {
        self.waiting.push_back(Waiting {
            record,
            fingerprint,
            since: now,
        });
    }

    /// What to do now that `running` generations run.
    pub(crate) fn gate(&mut self, now: Time, running: usize) -> Gate {
        if let Some(alone) = &self.alone {
            let overdue = now.since(alone.since) > PROBATION_TIME;
            return if overdue { Gate::Open } else { Gate::Held };
        }
        let Some(front) = self.waiting.front().copied() else {
            return Gate::Open;
        };
        if running == 0 {
            self.waiting.pop_front();
            self.alone = Some(Alone {
                record: front.record,
                fingerprint: front.fingerprint,
                since: now,
                tokens: 0,
            });
            return Gate::Start(front.record);
        }
        if now >= self.rested && now.since(front.since) < HOLD {
            return Gate::Held;
        }
        if now >= self.rested {
            self.rested = now + REST;
        }
        self.waiting.pop_front();
        Gate::Refuse(front.record)
    }

    /// A suspect that runs alone produced a token.
    pub(crate) fn token(&mut self, record: RecordKey) {
        let Some(alone) = self.alone.as_mut().filter(|alone| alone.record == record) else {
            return;
        };
        alone.tokens += 1;
        if alone.tokens >= PROBATION_TOKENS {
            self.clear(record);
        }
    }

    /// A suspect that ran alone came to a good end.
    pub(crate) fn clear(&mut self, record: RecordKey) {
        if let Some(alone) = self.alone.take_if(|alone| alone.record == record) {
            self.suspects.record_success(alone.fingerprint);
        }
    }

    /// A record is over, whatever became of it.
    pub(crate) fn forget(&mut self, record: RecordKey) {
        self.alone.take_if(|alone| alone.record == record);
        self.waiting.retain(|waiting| waiting.record != record);
        self.lost.remove(&record);
    }

    /// The engine was lost with `record` on it while `running` ran, `record` among them. Those that
    /// ran together are reported one after the other, and count as one crash.
    pub(crate) fn lost(&mut self, now: Time, record: RecordKey, running: &[Running]) {
        if self.lost.remove(&record) {
            return;
        }
        let fingerprints: Vec<Fingerprint> = running.iter().map(|ran| ran.fingerprint).collect();
        let crash = CrashId(fastrand::u64(..));
        self.suspects.record_crash(now, crash, &fingerprints);
        self.lost = running.iter().map(|ran| ran.record).collect();
        self.lost.remove(&record);
    }

    /// Takes in evidence from other agents.
    pub(crate) fn learn(&mut self, now: Time, marks: &[CrashMark]) {
        self.suspects.merge(now, marks);
    }

    /// All evidence.
    pub(crate) fn all(&self, now: Time) -> Vec<CrashMark> {
        self.suspects.marks_since(now, 0)
    }

    /// Evidence that others have not been told of.
    pub(crate) fn news(&mut self, now: Time) -> Vec<CrashMark> {
        let marks = self.suspects.marks_since(now, self.told);
        self.told = self.suspects.revision();
        marks
    }
}

/// A generation that runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    /// Its record.
    pub(crate) record: RecordKey,
    /// What tells it from others.
    pub(crate) fingerprint: Fingerprint,
}
