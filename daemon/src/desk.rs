//! The agent's desk: the one task that decides for its backend server.
//!
//! Every frame from entries, every word of the backend server and every tick comes here in one
//! queue, so that the backend server has one writer whose view is never remote and never lags. The
//! scheduler decides; the desk carries out.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cicada_lib::backend::CallAnswer;
use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Header;
use cicada_lib::claims;
use cicada_lib::claims::Claim;
use cicada_lib::claims::ClaimTicket;
use cicada_lib::claims::Claims;
use cicada_lib::claims::RecordedAnswer;
use cicada_lib::config_chunks::Loaded;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::outcome::Completion;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::UnknownReason;
use cicada_lib::scheduler::Action;
use cicada_lib::scheduler::JobKey;
use cicada_lib::scheduler::JobSpec;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use cicada_lib::transcript::Added;
use cicada_lib::transcript::Transcript;
use cicada_lib::wire::Attach;
use cicada_lib::wire::StreamFrame;
use cicada_lib::wire::Submit;
use cicada_lib::wire::ToAgent;
use cicada_lib::wire::ToEntry;
use cicada_lib::wire::Work;
use slotmap::SecondaryMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::agent::OpenCount;
use crate::agent::policy;
use crate::metrics::AgentMetrics;
use crate::readers;
use crate::record::CallKey;
use crate::record::ConnKey;
use crate::record::Conns;
use crate::record::Reader;
use crate::record::Record;
use crate::record::RecordKey;
use crate::record::Records;
use crate::record::Stage;
use crate::runs::Backend;
use crate::runs::BackendEvent;
use crate::runs::Events;
use crate::runs::RunEvent;
use crate::runs::RunSpec;
use crate::tombstones::Tombstones;

/// What the desk is told, but for the words of the backend server.
pub(crate) enum DeskEvent {
    /// An entry connected.
    Opened(mpsc::UnboundedSender<ToEntry>, oneshot::Sender<ConnKey>),
    /// A connection is gone.
    Closed(ConnKey),
    /// An entry sent a frame.
    Frame(ConnKey, ToAgent),
    /// Take no new work.
    Drain,
    /// A newer configuration is in force.
    Config(Arc<Loaded>),
    /// The store's word on a keyed call.
    Claimed(RecordKey, claims::Result<Claim>),
    /// A keyed call that did not run has given its claim back.
    Released(RecordKey, Outcome),
}

/// The desk's figures.
#[derive(Clone)]
pub(crate) struct DeskSettings {
    /// The service of the backend server.
    pub(crate) service: Name,
    /// How long an unread stream goes on.
    pub(crate) linger: Duration,
    /// How long an ended stream can be read.
    pub(crate) replay: Duration,
    /// Most requests remembered.
    pub(crate) max_records: usize,
}

/// The queues through which the desk's own tasks tell it what they found.
pub(crate) struct Channels {
    /// Of backend events.
    pub(crate) events: Events,
    /// Of orders. The desk's end is also one of its senders, so that it never closes by itself.
    pub(crate) orders: mpsc::Sender<DeskEvent>,
}

/// How often the scheduler is asked for what time alone brings about. A tenth of the shortest time
/// that a caller notices.
const TICK: Duration = Duration::from_millis(50);

/// How often all records are looked through: the times that end them are seconds.
const SWEEP_TICKS: u32 = 10;

/// The desk.
pub(crate) struct Desk {
    settings: DeskSettings,
    clock: Clock,
    scheduler: Scheduler,
    backend: Arc<dyn Backend>,
    events: Events,
    records: Records,
    // Every job that the scheduler knows has a record, and the other way round while it is queued
    // or runs.
    by_job: SecondaryMap<JobKey, RecordKey>,
    conns: Conns,
    tombstones: Tombstones,
    claims: Arc<Claims>,
    orders: mpsc::Sender<DeskEvent>,
    metrics: Arc<AgentMetrics>,
    open: OpenCount,
    reachable: bool,
    draining: bool,
    ticks: u32,
}

impl Desk {
    /// A desk with nothing on it.
    pub(crate) fn new(
        settings: DeskSettings,
        scheduler: Scheduler,
        backend: Arc<dyn Backend>,
        channels: Channels,
        claims: Arc<Claims>,
        metrics: Arc<AgentMetrics>,
        open: OpenCount,
    ) -> Self {
        Desk {
            settings,
            clock: Clock::new(),
            scheduler,
            backend,
            events: channels.events,
            orders: channels.orders,
            claims,
            records: Records::default(),
            by_job: SecondaryMap::new(),
            conns: Conns::default(),
            tombstones: Tombstones::new(),
            metrics,
            open,
            reachable: true,
            draining: false,
            ticks: 0,
        }
    }

    /// Works until both queues are closed.
    pub(crate) async fn run(
        mut self,
        mut orders: mpsc::Receiver<DeskEvent>,
        mut backend: mpsc::UnboundedReceiver<BackendEvent>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                event = orders.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                Some(event) = backend.recv() => self.take_backend(event),
                _ = ticks.tick() => self.tick(),
            }
            self.act();
        }
    }

    fn take(&mut self, event: DeskEvent) {
        match event {
            DeskEvent::Opened(tx, reply) => {
                let _ = reply.send(self.conns.add(tx));
            }
            DeskEvent::Closed(conn) => self.close(conn),
            DeskEvent::Frame(conn, frame) => self.frame(conn, frame),
            DeskEvent::Drain => self.drain(),
            DeskEvent::Config(loaded) => self.configure(&loaded),
            DeskEvent::Claimed(key, claim) => self.claimed(key, claim),
            DeskEvent::Released(key, outcome) => self.finish(key, outcome),
        }
    }

    fn configure(&mut self, loaded: &Loaded) {
        for (name, workspace) in &loaded.config.workspaces {
            self.scheduler.set_policy(name, policy(workspace));
        }
    }

    fn frame(&mut self, conn: ConnKey, frame: ToAgent) {
        match frame {
            ToAgent::Submit(stream, submit) => self.submit(conn, stream, *submit),
            ToAgent::Attach(stream, attach) => self.attach(conn, stream, attach),
            ToAgent::Credit(stream, tokens) => self.credit(conn, stream, tokens),
            ToAgent::Detach(stream) => {
                self.release(conn, stream);
            }
            ToAgent::Cancel(stream) => self.cancel(conn, stream),
            // Answered before the connection came here.
            ToAgent::Ask(_) => {}
            ToAgent::Ping(number) => {
                let load = self.load();
                self.conns.send_frame(conn, ToEntry::Pong(number, load));
            }
        }
    }

    fn load(&self) -> cicada_lib::load::LoadSummary {
        let mut load = self.scheduler.summary(self.clock.now());
        load.draining = self.draining;
        load.reachable = self.reachable;
        load
    }

    fn submit(&mut self, conn: ConnKey, stream: u32, submit: Submit) {
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
        if let Some(refusal) = self.refusal(&submit) {
            return self.refuse(reader, refusal);
        }
        let record = self.record(submit);
        let key = self.records.add(record);
        self.join(key, reader);
        match call_key {
            Some(call_key) => self.claim(key, call_key),
            None => self.queue(key),
        }
    }

    fn refusal(&self, submit: &Submit) -> Option<NotRun> {
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
        if self.records.len() >= self.settings.max_records {
            return Some(NotRun::before_dispatch(RefusalReason::QueueFull, soon));
        }
        None
    }

    fn record(&self, submit: Submit) -> Record {
        let now = self.clock.now();
        Record {
            call_key: call_key(&submit),
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

    /// Asks the store for the right to run a keyed call. Nothing of it runs before the answer.
    fn claim(&self, key: RecordKey, call_key: CallKey) {
        let claims = self.claims.clone();
        let service = self.settings.service.clone();
        let orders = self.orders.clone();
        tokio::spawn(async move {
            let now = unix_millis();
            let claim = claims.claim(&service, &call_key.workspace, &call_key.text, now);
            let _ = orders.send(DeskEvent::Claimed(key, claim.await)).await;
        });
    }

    fn claimed(&mut self, key: RecordKey, claim: claims::Result<Claim>) {
        // A record that ended meanwhile drops the ticket; the claim then counts as one that may have
        // run, which is never untrue.
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if record.is_ended() {
            return;
        }
        match claim {
            Ok(Claim::Run(ticket)) => {
                record.ticket = Some(ticket);
                self.queue(key);
            }
            Ok(Claim::Done(answer)) if answer.whole => {
                record.answer = Some(replayed(answer));
                self.finish(key, Outcome::Completed(Completion::default()));
            }
            // It ran, and its answer was too long to keep.
            Ok(Claim::Done(_)) => self.finish(key, Outcome::Failed(FailureReason::ReplayExpired)),
            Ok(Claim::Running | Claim::ElsewhereUnsettled { .. }) => {
                self.finish(key, Outcome::Unknown(UnknownReason::ClaimUnsettled));
            }
            Err(err) => self.finish(key, Outcome::NotRun(err.not_run())),
        }
    }

    /// Offers a record's work to the scheduler.
    fn queue(&mut self, key: RecordKey) {
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

    fn attach(&mut self, conn: ConnKey, stream: u32, attach: Attach) {
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

    /// Nothing here knows the request. The engine may, if an earlier agent process started it.
    fn attach_unknown(&mut self, reader: Reader, attach: Attach) {
        let Some(generation) = attach.generation else {
            self.tombstones.add(attach.request, attach.attempt);
            return self
                .conns
                .send(reader.conn, reader.stream, StreamFrame::NoTrace);
        };
        let now = self.clock.now();
        let key = self.records.add(Record {
            call_key: None,
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

    fn join(&mut self, key: RecordKey, reader: Reader) {
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if !self.conns.open(reader.conn, reader.stream, key) {
            let refusal = NotRun::before_dispatch(RefusalReason::ConcurrencyLimited, Some(TICK));
            return self.refuse(reader, refusal);
        }
        record.unread = None;
        record.readers.push(reader);
        self.conns
            .send(reader.conn, reader.stream, StreamFrame::Accepted);
        readers::pump(record, &mut self.conns);
    }

    fn credit(&mut self, conn: ConnKey, stream: u32, tokens: u32) {
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

    /// Takes a reader away. The record stays for another one to come.
    fn release(&mut self, conn: ConnKey, stream: u32) -> Option<RecordKey> {
        let key = self.conns.release(conn, stream)?;
        let now = self.clock.now();
        let record = self.records.at_mut(key)?;
        record.readers.retain(|reader| !reader.is(conn, stream));
        record.note_unread(now);
        Some(key)
    }

    fn cancel(&mut self, conn: ConnKey, stream: u32) {
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

    fn close(&mut self, conn: ConnKey) {
        let now = self.clock.now();
        for key in self.conns.remove(conn) {
            if let Some(record) = self.records.at_mut(key) {
                record.readers.retain(|reader| reader.conn != conn);
                record.note_unread(now);
            }
        }
    }

    fn take_backend(&mut self, event: BackendEvent) {
        match event {
            BackendEvent::Run(key, RunEvent::Engine(event)) => self.engine_event(key, event),
            BackendEvent::Run(key, RunEvent::Answer(answer)) => {
                if let Some(record) = self.records.at_mut(key) {
                    record.answer = Some(answer);
                }
            }
            BackendEvent::Run(key, RunEvent::Ended(outcome)) => self.end(key, outcome),
            BackendEvent::Load(load) => {
                self.reachable = true;
                self.scheduler.engine_load(self.clock.now(), &load);
            }
            BackendEvent::Reachable(reachable) => self.reachable = reachable,
        }
    }

    fn engine_event(&mut self, key: RecordKey, event: EngineEvent) {
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
                    self.scheduler.token(now, job);
                }
                self.metrics.token();
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

    /// Carries out what the scheduler decides now.
    fn act(&mut self) {
        while let Some(action) = self.scheduler.next(self.clock.now()) {
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

    fn start(&mut self, job: JobKey) {
        let Some(key) = self.by_job.get(job).copied() else {
            return;
        };
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
        record.stage = Stage::Running(job);
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

    fn start_run(&self, key: RecordKey, spec: RunSpec) {
        let backend = self.backend.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let outcome = backend.run(key, spec, &events).await;
            let _ = events.send(BackendEvent::Run(key, RunEvent::Ended(outcome)));
        });
    }

    fn generation(&self, key: RecordKey) -> Option<GenerationId> {
        let record = self.records.at(key)?;
        record.transcript.as_ref().map(Transcript::generation)
    }

    fn pause(&mut self, job: JobKey) {
        let key = self.by_job.get(job).copied();
        if let Some(generation) = key.and_then(|key| self.generation(key)) {
            self.metrics.displaced();
            let backend = self.backend.clone();
            tokio::spawn(async move { backend.pause(generation).await });
        }
    }

    fn resume(&mut self, job: JobKey) {
        let key = self.by_job.get(job).copied();
        if let Some(generation) = key.and_then(|key| self.generation(key)) {
            let backend = self.backend.clone();
            tokio::spawn(async move { backend.resume(generation).await });
        }
    }

    fn abort(&mut self, key: RecordKey, reason: FailureReason) {
        let Some(record) = self.records.at(key) else {
            return;
        };
        let outcome = match record.stage {
            Stage::Queued(_) => Outcome::NotRun(NotRun::left_queue(RefusalReason::Cancelled, None)),
            _ => Outcome::Failed(reason),
        };
        if let Some(generation) = self.generation(key) {
            let backend = self.backend.clone();
            tokio::spawn(async move { backend.cancel(generation).await });
        }
        self.end(key, outcome);
    }

    fn end_job(&mut self, job: JobKey, outcome: Outcome) {
        if let Some(key) = self.by_job.get(job).copied() {
            self.end(key, outcome);
        }
    }

    /// Ends a record, once: what comes later for it is dropped.
    fn end(&mut self, key: RecordKey, outcome: Outcome) {
        let now = self.clock.now();
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if record.is_ended() {
            return;
        }
        if let Stage::Queued(job) | Stage::Running(job) = record.stage {
            self.scheduler.finished(now, job);
            self.by_job.remove(job);
            record.stage = Stage::Claiming;
        }
        match record.ticket.take() {
            Some(ticket) => self.settle(key, ticket, outcome),
            None => self.finish(key, outcome),
        }
    }

    /// Tells the store what became of a keyed call, and then the caller.
    fn settle(&mut self, key: RecordKey, ticket: ClaimTicket, outcome: Outcome) {
        let claims = self.claims.clone();
        let orders = self.orders.clone();
        match outcome {
            // The claim is given back before the caller hears "not run": its next try must not find
            // a claim that looks as if it had run.
            Outcome::NotRun(refusal) => {
                tokio::spawn(async move {
                    if let Err(err) = claims.release(ticket, &refusal).await {
                        tracing::warn!(%err, "claims: a claim is given back later");
                    }
                    let released = DeskEvent::Released(key, Outcome::NotRun(refusal));
                    let _ = orders.send(released).await;
                });
            }
            outcome => {
                let answer = self
                    .records
                    .at(key)
                    .and_then(|record| record.answer.as_ref());
                if let Some(answer) = answer {
                    let recorded = RecordedAnswer::new(answer.status, &answer.body);
                    tokio::spawn(async move {
                        if let Err(err) = claims.settle(ticket, recorded).await {
                            tracing::warn!(%err, "claims: an answer is recorded later");
                        }
                    });
                }
                self.finish(key, outcome);
            }
        }
    }

    /// Tells the readers of a record's end.
    fn finish(&mut self, key: RecordKey, outcome: Outcome) {
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

    fn refuse(&mut self, reader: Reader, refusal: NotRun) {
        self.finish_reader(reader, Outcome::NotRun(refusal));
    }

    fn finish_reader(&mut self, reader: Reader, outcome: Outcome) {
        self.metrics.ended(&outcome);
        let frame = StreamFrame::End {
            outcome,
            preemptions: 0,
        };
        self.conns.send(reader.conn, reader.stream, frame);
    }

    fn drain(&mut self) {
        self.draining = true;
        let load = self.load();
        self.conns.broadcast(&ToEntry::Load(load));
        for drained in self.scheduler.drain(self.clock.now()) {
            self.end_job(drained.job, Outcome::NotRun(drained.refusal));
        }
    }

    fn tick(&mut self) {
        self.count_open();
        self.ticks += 1;
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            self.sweep();
        }
    }

    /// What a drain waits for: requests that are not over, and ended ones that are still read.
    fn count_open(&self) {
        let open = self.records.iter().filter(|(_, record)| !record.is_read());
        self.open.store(open.count() as i64, Ordering::Relaxed);
    }

    fn sweep(&mut self) {
        let now = self.clock.now();
        let unread: Vec<RecordKey> = self.stale(now, |record| {
            let since = record.unread.filter(|_| !record.is_ended())?;
            Some(since + self.settings.linger)
        });
        for key in unread {
            if self.records.at(key).is_some_and(Record::is_cancellable) {
                self.abort(key, FailureReason::Cancelled);
            }
        }
        let old = self.stale(now, |record| Some(record.ended? + self.settings.replay));
        for key in old {
            self.records.remove(key);
        }
        self.tombstones.expire(now);
        self.metrics.set_load(&self.load());
    }

    fn stale(&self, now: Time, due: impl Fn(&Record) -> Option<Time>) -> Vec<RecordKey> {
        self.records
            .iter()
            .filter(|(_, record)| due(record).is_some_and(|due| due <= now))
            .map(|(key, _)| key)
            .collect()
    }
}

/// The priority under which generations run at the engine: the middle, so that the engine's own
/// displacement follows its default order.
const DEFAULT_PRIORITY: u8 = 128;

fn call_key(submit: &Submit) -> Option<CallKey> {
    let is_call = matches!(submit.work, Work::Call(_));
    (is_call && !submit.key.is_empty()).then(|| CallKey {
        workspace: submit.workspace.clone(),
        text: submit.key.clone(),
    })
}

/// An answer that an earlier run left, marked as such.
fn replayed(answer: RecordedAnswer) -> CallAnswer {
    CallAnswer {
        status: answer.status,
        headers: vec![Header {
            name: REPLAYED_HEADER.to_string(),
            value: b"true".to_vec(),
        }],
        body: answer.body.into(),
    }
}

/// Marks an answer that was kept from an earlier run of the same key.
const REPLAYED_HEADER: &str = "idempotent-replayed";

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Characters of a prompt that count as one token before the engine has counted them.
const CHARS_PER_TOKEN: usize = 4;

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
        returning: record.attempt.0 > 1,
    }
}
