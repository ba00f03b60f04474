//! The desk's care for requests that end engines.

use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Verdict;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::wire::ToEntry;

use crate::desk::Desk;
use crate::isolation::Gate;
use crate::isolation::HOLD;
use crate::isolation::Running;
use crate::record::RecordKey;
use crate::record::Stage;

impl Desk {
    /// Offers a generation to the scheduler, unless requests like it have ended engines.
    pub(crate) fn queue_free(&mut self, key: RecordKey) {
        let now = self.clock.now();
        let print = self.records.at(key).and_then(|record| record.fingerprint);
        let verdict = print.map_or(Verdict::Allow, |print| self.isolation.verdict(now, print));
        match (verdict, print) {
            (Verdict::Isolate, Some(print)) => {
                if let Some(record) = self.records.at_mut(key) {
                    record.stage = Stage::Suspected;
                }
                self.isolation.wait(now, key, print);
            }
            (Verdict::Refuse, _) => self.finish(key, Outcome::Failed(FailureReason::KillsBackends)),
            _ => self.queue(key),
        }
    }

    /// Lets a suspect run alone where one waits; false while nothing else may start.
    pub(crate) fn open_gate(&mut self) -> bool {
        loop {
            let running = self
                .records
                .iter()
                .filter(|(_, record)| record.is_running());
            let running = running.count();
            match self.isolation.gate(self.clock.now(), running) {
                Gate::Open => return true,
                Gate::Held => return false,
                Gate::Start(key) => self.start_record(key, Stage::Alone),
                Gate::Refuse(key) => {
                    let refusal = NotRun::left_queue(RefusalReason::Suspected, Some(HOLD));
                    self.end(key, Outcome::NotRun(refusal));
                }
            }
        }
    }

    /// Notes that the engine was lost with a record on it.
    pub(crate) fn note_lost(&mut self, key: RecordKey) {
        let now = self.clock.now();
        let running: Vec<Running> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_running())
            .filter_map(|(record, held)| {
                let fingerprint = held.fingerprint?;
                Some(Running {
                    record,
                    fingerprint,
                })
            })
            .collect();
        self.isolation.lost(now, key, &running);
    }

    /// Takes in evidence from others, and passes on what is new.
    pub(crate) fn learn_marks(&mut self, marks: &[CrashMark]) {
        self.isolation.learn(self.clock.now(), marks);
        self.tell_marks();
    }

    /// Tells others of evidence that has changed.
    pub(crate) fn tell_marks(&mut self) {
        let news = self.isolation.news(self.clock.now());
        if !news.is_empty() {
            tracing::warn!(marks = news.len(), "suspects: the evidence has changed");
            self.spread.push(&news);
            self.conns.broadcast(&ToEntry::Marks(news));
        }
    }
}
