//! The agent's desk: the one task that decides for its backend server.
//!
//! Every frame from entries, every word of the backend server and every tick comes here in one
//! queue, so that the backend server has one writer whose view is never remote and never lags. The
//! scheduler decides; the desk carries out.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::claims;
use cicada_lib::claims::Claim;
use cicada_lib::claims::Claims;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::ids::Name;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::Outcome;
use cicada_lib::scheduler::JobKey;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use cicada_lib::wire::ToAgent;
use cicada_lib::wire::ToEntry;
use slotmap::SecondaryMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::agent::OpenCount;
use crate::agent::policy;
use crate::isolation::Isolation;
use crate::mark_spread::MarkSpread;
use crate::metrics::AgentMetrics;
use crate::record::ConnKey;
use crate::record::Conns;
use crate::record::Record;
use crate::record::RecordKey;
use crate::record::Records;
use crate::runs::Backend;
use crate::runs::BackendEvent;
use crate::runs::Events;
use crate::runs::RunEvent;
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
    Config(Arc<LoadedConfig>),
    /// The store's word on a keyed call.
    Claimed(RecordKey, claims::Result<Claim>),
    /// Evidence from another process.
    Marks(Vec<CrashMark>),
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
    /// To other processes, of evidence.
    pub(crate) spread: MarkSpread,
}

/// How often the scheduler is asked for what time alone brings about. A tenth of the shortest time
/// that a caller notices.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// How often all records are looked through: the times that end them are seconds.
const SWEEP_TICKS: u32 = 10;

/// The desk.
pub(crate) struct Desk {
    pub(crate) settings: DeskSettings,
    pub(crate) clock: Clock,
    pub(crate) scheduler: Scheduler,
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) events: Events,
    pub(crate) records: Records,
    // Every job that the scheduler knows has a record, and the other way round while it is queued
    // or runs.
    pub(crate) by_job: SecondaryMap<JobKey, RecordKey>,
    pub(crate) conns: Conns,
    pub(crate) tombstones: Tombstones,
    pub(crate) isolation: Isolation,
    pub(crate) spread: MarkSpread,
    pub(crate) claims: Arc<Claims>,
    pub(crate) orders: mpsc::Sender<DeskEvent>,
    pub(crate) metrics: Arc<AgentMetrics>,
    pub(crate) open: OpenCount,
    pub(crate) reachable: bool,
    pub(crate) draining: bool,
    pub(crate) ticks: u32,
}

impl Desk {
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
            isolation: Isolation::default(),
            spread: channels.spread,
            metrics,
            open,
            reachable: true,
            draining: false,
            ticks: 0,
        }
    }

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

    pub(crate) fn take(&mut self, event: DeskEvent) {
        match event {
            DeskEvent::Opened(tx, reply) => {
                let known = self.isolation.all(self.clock.now());
                if !known.is_empty() {
                    let _ = tx.send(ToEntry::Marks(known));
                }
                let _ = reply.send(self.conns.add(tx));
            }
            DeskEvent::Closed(conn) => self.close(conn),
            DeskEvent::Frame(conn, frame) => self.frame(conn, frame),
            DeskEvent::Drain => self.drain(),
            DeskEvent::Config(loaded) => self.configure(&loaded),
            DeskEvent::Claimed(key, claim) => self.claimed(key, claim),
            DeskEvent::Marks(marks) => self.learn_marks(&marks),
            DeskEvent::Released(key, outcome) => self.finish(key, outcome),
        }
    }

    pub(crate) fn configure(&mut self, loaded: &LoadedConfig) {
        for (name, workspace) in &loaded.config.workspaces {
            self.scheduler.set_policy(name, policy(workspace));
        }
    }

    pub(crate) fn frame(&mut self, conn: ConnKey, frame: ToAgent) {
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
            ToAgent::Marks(marks) => self.learn_marks(&marks),
            ToAgent::Ping(number) => {
                let load = self.load();
                self.conns.send_frame(conn, ToEntry::Pong(number, load));
            }
        }
    }

    pub(crate) fn load(&self) -> cicada_lib::load::LoadSummary {
        let mut load = self.scheduler.load_summary(self.clock.now());
        load.draining = self.draining;
        load.reachable = self.reachable;
        load
    }

    pub(crate) fn take_backend(&mut self, event: BackendEvent) {
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

    pub(crate) fn drain(&mut self) {
        self.draining = true;
        let load = self.load();
        self.conns.broadcast(&ToEntry::Load(load));
        for drained in self.scheduler.drain(self.clock.now()) {
            self.end_job(drained.job, Outcome::NotRun(drained.refusal));
        }
    }

    pub(crate) fn tick(&mut self) {
        self.count_open();
        self.ticks += 1;
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            self.sweep();
        }
    }

    pub(crate) fn count_open(&self) {
        let open = self.records.iter().filter(|(_, record)| !record.is_read());
        self.open.store(open.count() as i64, Ordering::Relaxed);
    }

    pub(crate) fn sweep(&mut self) {
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

    pub(crate) fn stale(&self, now: Time, due: impl Fn(&Record) -> Option<Time>) -> Vec<RecordKey> {
        self.records
            .iter()
            .filter(|(_, record)| due(record).is_some_and(|due| due <= now))
            .map(|(key, _)| key)
            .collect()
    }
}
