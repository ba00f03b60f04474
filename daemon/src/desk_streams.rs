//! The desk towards entries: requests and the readers of their streams.

use std::time::Duration;

use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::ids::Name;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::UnknownReason;
use cicada_lib::transcript::Transcript;
use cicada_lib::wire::Attach;
use cicada_lib::wire::StreamFrame;
use cicada_lib::wire::Submit;
use cicada_lib::wire::Work;

use crate::desk::Desk;
use crate::desk::TICK;
use crate::readers;
use crate::record::CallKey;
use crate::record::ConnKey;
use crate::record::Reader;
use crate::record::Record;
use crate::record::RecordKey;
use crate::record::Stage;
use crate::runs::RunSpec;

impl Desk {
    pub(crate) fn submit(&mut self, conn: ConnKey, stream: u32, submit: Submit) {
        let reader = Reader::new(conn, stream, 0, submit.credit);
        // A first copy that was held up on its way must not run beside its successor: the caller
        // would be charged twice. Only this agent can run it, and it holds the tombstone.
        if self.tombstones.covers(submit.request, submit.attempt) {
            let refusal = NotRun::before_dispatch(RefusalReason::Superseded, None);
            return self.refuse(reader, refusal);
        }
        if let Some(key) = self.records.find(submit.request) {
            return self.join(key, reader);
        }
        let call_key = call_key(&submit);
        let same = call_key
            .as_ref()
            .and_then(|call_key| self.records.find_keyed(call_key));
        if let Some(key) = same {
            self.records.alias(submit.request, key);
            return self.join(key, reader);
        }
        if let Some(refusal) = self.refusal(conn, &submit) {
            return self.refuse(reader, refusal);
        }
        let record = self.record(submit);
        let key = self.records.add(record);
        self.join(key, reader);
        match call_key {
            Some(call_key) => self.claim(key, call_key),
            None => self.queue_free(key),
        }
    }

    pub(crate) fn refusal(&self, conn: ConnKey, submit: &Submit) -> Option<NotRun> {
        let soon = Some(TICK * 10);
        if self.draining {
            return Some(NotRun::before_dispatch(RefusalReason::Draining, soon));
        }
        if submit.service != self.settings.service {
            return Some(NotRun::before_dispatch(RefusalReason::NotPlaced, None));
        }
        if !self.reachable {
            return Some(NotRun::before_dispatch(RefusalReason::NoBackend, soon));
        }
        if !self.conns.has_room(conn) {
            return Some(NotRun::before_dispatch(
                RefusalReason::ConcurrencyLimited,
                soon,
            ));
        }
        if self.records.len() >= self.settings.max_records {
            return Some(NotRun::before_dispatch(RefusalReason::QueueFull, soon));
        }
        None
    }

    pub(crate) fn record(&self, submit: Submit) -> Record {
        let now = self.clock.now();
        Record {
            call_key: call_key(&submit),
            fingerprint: fingerprint(&submit.service, &submit.work),
            ticket: None,
            aliases: Vec::new(),
            request: submit.request,
            attempt: submit.attempt,
            workspace: submit.workspace,
            deadline: now + Duration::from_millis(submit.deadline),
            elsewhere: submit.elsewhere,
            work: Some(submit.work),
            stage: Stage::Claiming,
            transcript: None,
            answer: None,
            preemptions: 0,
            readers: Vec::new(),
            unread: None,
            ended: None,
            arrived: now,
        }
    }

    pub(crate) fn attach(&mut self, conn: ConnKey, stream: u32, attach: Attach) {
        let reader = Reader::new(conn, stream, attach.next, attach.credit);
        let Some(key) = self.records.find(attach.request) else {
            return self.attach_unknown(reader, attach);
        };
        let fits = self.records.at(key).is_some_and(|record| {
            let held = record.transcript.as_ref();
            let same = attach.generation.is_none_or(|wanted| {
                held.is_some_and(|held| held.generation() == wanted && held.first() <= attach.next)
            });
            record.workspace == attach.workspace && same
        });
        if fits {
            self.join(key, reader);
        } else {
            self.finish_reader(reader, Outcome::Failed(FailureReason::ReplayExpired));
        }
    }

    pub(crate) fn attach_unknown(&mut self, reader: Reader, attach: Attach) {
        let Some(generation) = attach.generation else {
            self.tombstones.add(attach.request, attach.attempt);
            return self
                .conns
                .send(reader.conn, reader.stream, StreamFrame::NoTrace);
        };
        let now = self.clock.now();
        let key = self.records.add(Record {
            call_key: None,
            fingerprint: None,
            ticket: None,
            aliases: Vec::new(),
            request: attach.request,
            attempt: attach.attempt,
            workspace: attach.workspace,
            deadline: now + self.settings.replay,
            elsewhere: 0,
            work: None,
            stage: Stage::Adopted,
            transcript: Some(Transcript::new(generation, attach.next)),
            answer: None,
            preemptions: 0,
            readers: Vec::new(),
            unread: None,
            ended: None,
            arrived: now,
        });
        self.join(key, reader);
        self.start_run(key, RunSpec::Adopt(generation, attach.next));
    }

    pub(crate) fn join(&mut self, key: RecordKey, reader: Reader) {
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if !self.conns.open(reader.conn, reader.stream, key) {
            // The request is known here and may run: it is not for a full connection to deny that.
            return self.finish_reader(reader, Outcome::Unknown(UnknownReason::AnswerLost));
        }
        record.unread = None;
        record.readers.push(reader);
        self.conns
            .send(reader.conn, reader.stream, StreamFrame::Accepted);
        readers::pump(record, &mut self.conns);
    }

    pub(crate) fn credit(&mut self, conn: ConnKey, stream: u32, tokens: u32) {
        let Some(key) = self.conns.reading(conn, stream) else {
            return;
        };
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        for reader in record
            .readers
            .iter_mut()
            .filter(|reader| reader.is(conn, stream))
        {
            reader.credit = reader.credit.saturating_add(tokens);
        }
        readers::pump(record, &mut self.conns);
    }

    pub(crate) fn release(&mut self, conn: ConnKey, stream: u32) -> Option<RecordKey> {
        let key = self.conns.release(conn, stream)?;
        let now = self.clock.now();
        let record = self.records.at_mut(key)?;
        record.readers.retain(|reader| !reader.is(conn, stream));
        record.note_unread(now);
        Some(key)
    }

    pub(crate) fn cancel(&mut self, conn: ConnKey, stream: u32) {
        let Some(key) = self.release(conn, stream) else {
            return;
        };
        let Some(record) = self.records.at(key) else {
            return;
        };
        if record.readers.is_empty() && record.is_cancellable() {
            self.abort(key, FailureReason::Cancelled);
        }
    }

    pub(crate) fn close(&mut self, conn: ConnKey) {
        let now = self.clock.now();
        for key in self.conns.remove(conn) {
            if let Some(record) = self.records.at_mut(key) {
                record.readers.retain(|reader| reader.conn != conn);
                record.note_unread(now);
            }
        }
    }

    pub(crate) fn refuse(&mut self, reader: Reader, refusal: NotRun) {
        self.finish_reader(reader, Outcome::NotRun(refusal));
    }

    pub(crate) fn finish_reader(&mut self, reader: Reader, outcome: Outcome) {
        self.metrics.ended(&outcome);
        let frame = StreamFrame::End {
            outcome,
            preemptions: 0,
        };
        self.conns.send(reader.conn, reader.stream, frame);
    }
}

fn call_key(submit: &Submit) -> Option<CallKey> {
    let is_call = matches!(submit.work, Work::Call(_));
    (is_call && !submit.key.is_empty()).then(|| CallKey {
        workspace: submit.workspace.clone(),
        text: submit.key.clone(),
    })
}

/// What tells a generation from others; `None` for a call.
pub(crate) fn fingerprint(service: &Name, work: &Work) -> Option<Fingerprint> {
    match work {
        Work::Generate { model, prompt, .. } => {
            Some(Fingerprint::new(service, model, prompt.as_bytes()))
        }
        Work::Call(_) => None,
    }
}
