//! The desk towards its backend server: what the scheduler decides is carried out.

use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::UnknownReason;
use cicada_lib::scheduler::Action;
use cicada_lib::scheduler::JobKey;
use cicada_lib::scheduler::JobSpec;
use cicada_lib::transcript::Added;
use cicada_lib::transcript::Transcript;
use cicada_lib::wire::Work;

use crate::desk::Desk;
use crate::readers;
use crate::record::Record;
use crate::record::RecordKey;
use crate::record::Stage;
use crate::runs::BackendEvent;
use crate::runs::RunEvent;
use crate::runs::RunSpec;
use crate::status::unix_millis;

const DEFAULT_PRIORITY: u8 = 128;

const CHARS_PER_TOKEN: usize = 4;

impl Desk {
    pub(crate) fn queue(&mut self, key: RecordKey) {
        let now = self.clock.now();
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        let spec = job_spec(record, &self.settings.service);
        match self.scheduler.offer(now, spec) {
            Ok(job) => {
                record.stage = Stage::Queued(job);
                self.by_job.insert(job, key);
            }
            Err(refusal) => self.end(key, Outcome::NotRun(refusal)),
        }
    }

    pub(crate) fn engine_event(&mut self, key: RecordKey, event: EngineEvent) {
        let now = self.clock.now();
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if record.is_ended() {
            return;
        }
        match event {
            EngineEvent::Token { index, text } => {
                let Some(transcript) = record.transcript.as_mut() else {
                    return;
                };
                match transcript.add(index, &text) {
                    Added::Next => {}
                    Added::Duplicate => return self.metrics.dropped_duplicate(),
                    Added::Gap => return self.metrics.dropped_gap(),
                }
                if let Stage::Running(job) = record.stage {
                    self.scheduler.token_produced(now, job);
                }
                self.metrics.token();
                self.isolation.token(key);
                readers::pump(record, &mut self.conns);
            }
            EngineEvent::Preempted => {
                record.preemptions += 1;
                self.metrics.preempted();
                if let Stage::Running(job) = record.stage {
                    self.scheduler.preempted(now, job);
                }
            }
            EngineEvent::Resumed => {
                if let Stage::Running(job) = record.stage {
                    self.scheduler.resumed(now, job);
                }
            }
            EngineEvent::Done { .. } => {}
        }
    }

    pub(crate) fn act(&mut self) {
        if !self.open_gate() {
            return;
        }
        while let Some(action) = self.scheduler.next_action(self.clock.now()) {
            match action {
                Action::Start(job) => self.start(job),
                Action::Pause(job) => self.pause(job),
                Action::Resume(job) => self.resume(job),
                Action::Refuse(job, refusal) => self.end_job(job, Outcome::NotRun(refusal)),
                Action::Abort(job) => {
                    if let Some(key) = self.by_job.get(job).copied() {
                        self.abort(key, FailureReason::DeadlineExceeded);
                    }
                }
            }
        }
    }

    pub(crate) fn start(&mut self, job: JobKey) {
        if let Some(key) = self.by_job.get(job).copied() {
            self.start_record(key, Stage::Running(job));
        }
    }

    pub(crate) fn start_record(&mut self, key: RecordKey, stage: Stage) {
        let now = self.clock.now();
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        // A process that slept since its claim may find that the call has run elsewhere.
        let late = record
            .ticket
            .as_ref()
            .is_some_and(|ticket| !ticket.may_start(unix_millis()));
        if late {
            let refusal = NotRun::left_queue(RefusalReason::StoreUnavailable, None);
            return self.end(key, Outcome::NotRun(refusal));
        }
        let Some(work) = record.work.take() else {
            return;
        };
        record.stage = stage;
        self.metrics.queue_waited(now.since(record.arrived));
        let spec = match work {
            Work::Call(call) => RunSpec::Call(call),
            Work::Generate {
                model,
                adapter,
                prompt,
                max_tokens,
            } => {
                let id = GenerationId::random();
                record.transcript = Some(Transcript::new(id, 0));
                RunSpec::Generate(GenerationSpec {
                    id,
                    model,
                    adapter,
                    prompt,
                    max_tokens,
                    priority: DEFAULT_PRIORITY,
                })
            }
        };
        self.start_run(key, spec);
    }

    pub(crate) fn start_run(&self, key: RecordKey, spec: RunSpec) {
        let backend = self.backend.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let outcome = backend.run(key, spec, &events).await;
            let _ = events.send(BackendEvent::Run(key, RunEvent::Ended(outcome)));
        });
    }

    pub(crate) fn generation(&self, key: RecordKey) -> Option<GenerationId> {
        let record = self.records.at(key)?;
        record.transcript.as_ref().map(Transcript::generation)
    }

    pub(crate) fn pause(&mut self, job: JobKey) {
        let key = self.by_job.get(job).copied();
        if let Some(generation) = key.and_then(|key| self.generation(key)) {
            self.metrics.displaced();
            let backend = self.backend.clone();
            tokio::spawn(async move { backend.pause(generation).await });
        }
    }

    pub(crate) fn resume(&mut self, job: JobKey) {
        let key = self.by_job.get(job).copied();
        if let Some(generation) = key.and_then(|key| self.generation(key)) {
            let backend = self.backend.clone();
            tokio::spawn(async move { backend.resume(generation).await });
        }
    }

    pub(crate) fn abort(&mut self, key: RecordKey, reason: FailureReason) {
        let Some(record) = self.records.at(key) else {
            return;
        };
        let outcome = match record.stage {
            Stage::Queued(_) | Stage::Suspected => {
                Outcome::NotRun(NotRun::left_queue(RefusalReason::Cancelled, None))
            }
            // A plain service cannot be told to stop: whether the call takes effect is open.
            Stage::Running(_) if record.transcript.is_none() => {
                Outcome::Unknown(UnknownReason::AnswerLost)
            }
            _ => Outcome::Failed(reason),
        };
        if let Some(generation) = self.generation(key) {
            let backend = self.backend.clone();
            tokio::spawn(async move { backend.cancel(generation).await });
        }
        self.end(key, outcome);
    }

    pub(crate) fn end_job(&mut self, job: JobKey, outcome: Outcome) {
        if let Some(key) = self.by_job.get(job).copied() {
            self.end(key, outcome);
        }
    }

    pub(crate) fn end(&mut self, key: RecordKey, outcome: Outcome) {
        let now = self.clock.now();
        match &outcome {
            Outcome::Failed(FailureReason::BackendLost) => self.note_lost(key),
            Outcome::Completed(_) => self.isolation.clear(key),
            _ => {}
        }
        self.isolation.forget(key);
        self.tell_marks();
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if record.is_ended() {
            return;
        }
        if let Stage::Queued(job) | Stage::Running(job) = record.stage {
            match outcome {
                // What was broken off says nothing of lengths.
                Outcome::Failed(_) | Outcome::NotRun(_) => self.scheduler.cancelled(now, job),
                _ => self.scheduler.finished(now, job),
            }
            self.by_job.remove(job);
            record.stage = Stage::Claiming;
        }
        match record.ticket.take() {
            Some(ticket) => self.settle(key, ticket, outcome),
            None => self.finish(key, outcome),
        }
    }

    pub(crate) fn finish(&mut self, key: RecordKey, outcome: Outcome) {
        let now = self.clock.now();
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if record.is_ended() {
            return;
        }
        self.metrics.ended(&outcome);
        record.stage = Stage::Ended(outcome);
        record.ended = Some(now);
        readers::pump(record, &mut self.conns);
        let completed = matches!(record.stage, Stage::Ended(Outcome::Completed(_)));
        let refused = matches!(record.stage, Stage::Ended(Outcome::NotRun(_)));
        let unread = record.readers.is_empty();
        if !completed {
            // A resend must ask the store: only an answer may be given out from memory.
            self.records.forget_key(key);
        }
        if refused && unread {
            // Nothing ran, so that a later try may: only the tombstone keeps this one away.
            if let Some(record) = self.records.remove(key) {
                self.tombstones.add(record.request, record.attempt);
            }
        }
    }
}

fn job_spec(record: &Record, service: &Name) -> JobSpec {
    let (kind, prompt_tokens, max_tokens) = match &record.work {
        Some(Work::Generate {
            model,
            prompt,
            max_tokens,
            ..
        }) => (
            model.clone(),
            prompt.len() / CHARS_PER_TOKEN + 1,
            *max_tokens,
        ),
        _ => (service.clone(), 0, 1),
    };
    JobSpec {
        workspace: record.workspace.clone(),
        kind,
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        max_tokens,
        deadline: Some(record.deadline),
        elsewhere: record.elsewhere,
        retried: record.attempt.0 > 1,
    }
}
