//! Moves runs off a draining engine, one at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::ids::Name;
use cicada_lib::move_plan;
use cicada_lib::move_plan::Target;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::MovedRun;
use cicada_lib::peer_messages::ScoutReport;
use cicada_lib::peer_messages::StopNotice;
use cicada_lib::peer_messages::StopQuery;
use cicada_lib::zone_evacuation::EvacuatedZones;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::lock::lock;
use crate::stop_queries::ASK_DELAYS;
use crate::stop_queries::StopQueries;

/// Maximum age of a neighbour's last report for it to be a target: a silent neighbour's engine may be gone.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// How long an engine counts as limited after a relay's last word of it. Relays renew it several times in this period.
const LIMITED_TTL: Duration = Duration::from_secs(3);

/// How long to wait for a new report before looking again for a run and a target.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// State of the engines to which runs can be moved.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    engines: Mutex<HashMap<SocketAddr, Neighbour>>,
    // Zones to which no run is moved, as told by relays.
    evacuated: Mutex<EvacuatedZones>,
    // When relays last told that an engine announces a limit.
    limited: Mutex<HashMap<SocketAddr, Instant>>,
}

#[derive(Debug)]
struct Neighbour {
    reported_at: Instant,
    report: ScoutReport,
    // Tokens and runs that were moved there since the report.
    moved_tokens: u64,
    moved_runs: u32,
}

impl Neighbours {
    /// Records a neighbour's report.
    pub(crate) fn record_report(&self, report: &ScoutReport) {
        let neighbour = Neighbour {
            reported_at: Instant::now(),
            report: report.clone(),
            moved_tokens: 0,
            moved_runs: 0,
        };
        self.lock().insert(report.engine.address, neighbour);
    }

    /// The evacuated availability zones.
    pub(crate) fn evacuated(&self) -> EvacuatedZones {
        lock(&self.evacuated).clone()
    }

    /// Applies which availability zones are evacuated, if newer than what is known.
    pub(crate) fn set_evacuated(&self, evacuated: &EvacuatedZones) {
        let change = lock(&self.evacuated).update(evacuated);
        if !change.is_empty() {
            tracing::info!(begun = ?change.begun, ended = ?change.ended, "move: evacuated availability zones changed");
        }
    }

    /// Records which engines announce a limit, as told by a relay.
    pub(crate) fn record_limited(&self, engines: &[SocketAddr]) {
        let now = Instant::now();
        let mut limited = lock(&self.limited);
        limited.retain(|_, told_at| told_at.elapsed() < LIMITED_TTL);
        limited.extend(engines.iter().map(|engine| (*engine, now)));
    }

    /// Returns the engines to which runs of `engine`, in availability zone `zone`, can be moved.
    fn targets(&self, engine: SocketAddr, zone: &Name) -> Vec<Target> {
        let neighbours = self.lock();
        let fresh = neighbours
            .values()
            .filter(|n| n.reported_at.elapsed() < MAX_REPORT_AGE);
        let evacuated = lock(&self.evacuated);
        let fresh = fresh.filter(|n| !evacuated.contains(&n.report.engine.zone));
        let (leaving, mut staying): (Vec<_>, Vec<_>) = fresh.partition(|n| n.report.load.leaving);
        let leaving: Vec<SocketAddr> = leaving.iter().map(|n| n.report.engine.address).collect();
        staying.sort_by_key(|n| n.report.engine.address);
        let limited = lock(&self.limited);
        let targets = staying.iter().enumerate().map(|(index, n)| Target {
            address: n.report.engine.address,
            used: n.report.load.used + n.moved_tokens,
            capacity: n.report.load.capacity,
            requests: n.report.load.running + n.report.load.queued + n.moved_runs,
            same_zone: n.report.engine.zone == *zone,
            cold: n.report.load.cold > 0,
            limited: limited
                .get(&n.report.engine.address)
                .is_some_and(|told_at| told_at.elapsed() < LIMITED_TTL),
            assigned: move_plan::is_assigned_to(engine, &leaving, index),
        });
        targets.collect()
    }

    fn record_moving(&self, target: SocketAddr, tokens: u64) {
        if let Some(neighbour) = self.lock().get_mut(&target) {
            neighbour.moved_tokens += tokens;
            neighbour.moved_runs += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Neighbour>> {
        lock(&self.engines)
    }
}

/// Message to relays about a run's move.
#[derive(Clone, Debug)]
pub(crate) enum MoveNotice {
    /// Asks whether the run may be stopped, and then tells the handle of its copy.
    QueryStop(StopQuery),
    /// The run has stopped.
    Moved(MovedRun),
    /// It has not been moved, although that was permitted.
    NotMoved(StopNotice),
}

impl MoveNotice {
    /// Tells that a stop was not asked for, although its permission may have been given.
    fn withdrawn(query: StopQuery) -> Self {
        MoveNotice::NotMoved(StopNotice {
            query,
            withdrawn: true,
        })
    }
}

/// Moves runs until the engine is gone. Ends when the channel of reports closes.
pub(crate) async fn run(
    engines: Arc<dyn EngineCalls>,
    here: EngineLocation,
    neighbours: Arc<Neighbours>,
    mut reports: watch::Receiver<EngineReport>,
    notices: mpsc::Sender<MoveNotice>,
    queries: Arc<StopQueries>,
) {
    let mut mover = Mover {
        engines,
        engine: here.address,
        zone: here.zone,
        neighbours,
        notices,
        queries,
        done: Vec::new(),
        postponed: Vec::new(),
        unpermitted: Vec::new(),
        logged_no_room: Vec::new(),
        refused_by: Vec::new(),
    };
    loop {
        let next = {
            let report = reports.borrow_and_update();
            mover.next(&report.runs)
        };
        let notice = match next {
            Some(run) => mover.move_run(&run).await,
            None => None,
        };
        let moved = matches!(notice, Some(MoveNotice::Moved(_)));
        if let Some(notice) = notice
            && mover.notices.send(notice).await.is_err()
        {
            return;
        }
        if !moved && matches!(timeout(RETRY_INTERVAL, reports.changed()).await, Ok(Err(_))) {
            return;
        }
    }
}

struct Mover {
    engines: Arc<dyn EngineCalls>,
    engine: SocketAddr,
    zone: Name,
    neighbours: Arc<Neighbours>,
    notices: mpsc::Sender<MoveNotice>,
    queries: Arc<StopQueries>,
    // Runs that were moved, or cannot be.
    done: Vec<Name>,
    // Runs for which no target had room; retried once no other run is left.
    postponed: Vec<Name>,
    // Runs that the holders of their streams did not permit to stop at the first question.
    unpermitted: Vec<Name>,
    // Runs for which a lack of room was already logged.
    logged_no_room: Vec<Name>,
    // Targets that refused the current run.
    refused_by: Vec<SocketAddr>,
}

impl Mover {
    /// Chooses the run to move next. Runs for which no target had room are retried once no other run is left.
    fn next(&mut self, runs: &[EngineRun]) -> Option<EngineRun> {
        let skipped: Vec<Name> = self.done.iter().chain(&self.postponed).cloned().collect();
        let next = move_plan::next_run(runs, &skipped).cloned();
        if next.is_none() {
            self.postponed.clear();
        }
        next
    }

    /// Moves one run. Returns what relays are told; `None` if no engine has room for it.
    async fn move_run(&mut self, run: &EngineRun) -> Option<MoveNotice> {
        let address = self.choose_target(run)?;
        let begun = Instant::now();
        self.neighbours.record_moving(address, run.tokens);
        let mut query = StopQuery {
            run: self.moved_run(run, Some(address), Name::default()),
            number: self.queries.open(),
        };
        // The holder of the stream is asked while the run goes on: the reply takes a round trip.
        let (copied, permitted) = self.copy_and_ask(run, address, &query).await;
        match copied {
            Ok(handle) => query.run.handle = handle,
            Err(error) => {
                self.record_failure(run, address, MoveStep::Copy, &error);
                return Some(MoveNotice::withdrawn(query));
            }
        };
        if permitted != Some(true) {
            self.record_unpermitted(run, permitted);
            self.engines.drop_copy(self.engine, &query.run.handle).await;
            return Some(MoveNotice::withdrawn(query));
        }
        // If the outcome of the stop is lost, the holder resumes the run from this copy.
        let with_copy = MoveNotice::QueryStop(query.clone());
        self.notices.send(with_copy).await.ok()?;
        let copied = begun.elapsed().as_millis() as u64;
        let moved = match self.move_step(run, address, MoveStep::Stop).await {
            Ok(handle) => self.moved_run(run, Some(address), handle),
            Err(MoveError::NoRoom(Some(handle))) => self.moved_run(run, None, handle),
            Err(error) => {
                self.record_failure(run, address, MoveStep::Stop, &error);
                // The copy is not freed: it may be the only memory of the run.
                return Some(MoveNotice::NotMoved(StopNotice {
                    query,
                    withdrawn: false,
                }));
            }
        };
        self.refused_by.clear();
        self.done.push(run.id.clone());
        let stopped = begun.elapsed().as_millis() as u64;
        tracing::info!(id = %run.id, tokens = run.tokens, events = run.events, target = ?moved.target, copied, stopped, "move: run stopped");
        Some(MoveNotice::Moved(moved))
    }

    fn choose_target(&mut self, run: &EngineRun) -> Option<SocketAddr> {
        let targets = self.neighbours.targets(self.engine, &self.zone);
        let target = move_plan::choose_target(run.tokens, &targets, &self.refused_by);
        if let Some(target) = target {
            return Some(target.address);
        }
        // Logged once per run, since it is retried until the engine is gone.
        if !self.logged_no_room.contains(&run.id) {
            self.logged_no_room.push(run.id.clone());
            tracing::info!(id = %run.id, tokens = run.tokens, targets = targets.len(), "move: no target has room");
        }
        self.refused_by.clear();
        self.postponed.push(run.id.clone());
        None
    }

    /// Copies the run and asks for permission to stop it meanwhile. Does not wait for the reply if the copy fails.
    async fn copy_and_ask(
        &self,
        run: &EngineRun,
        target: SocketAddr,
        query: &StopQuery,
    ) -> (Result<Name, MoveError>, Option<bool>) {
        let copy = self.move_step(run, target, MoveStep::Copy);
        let ask = self.ask(query);
        tokio::pin!(copy, ask);
        tokio::select! {
            copied = &mut copy => match copied {
                Ok(handle) => (Ok(handle), ask.await),
                Err(error) => (Err(error), None),
            },
            permitted = &mut ask => (copy.await, permitted),
        }
    }

    /// Asks the relay that holds the run's stream whether the run may be stopped. `None` without a reply. The run then stays:
    /// the relay would take the end of the stream for that of the answer.
    async fn ask(&self, query: &StopQuery) -> Option<bool> {
        for delay in ASK_DELAYS {
            let question = MoveNotice::QueryStop(query.clone());
            self.notices.send(question).await.ok()?;
            let reply = self.queries.reply(delay).await;
            if reply.is_some() {
                return reply;
            }
        }
        None
    }

    fn record_unpermitted(&mut self, run: &EngineRun, permitted: Option<bool>) {
        let id = &run.id;
        let reply = match permitted {
            Some(_) => "refused",
            None => "none",
        };
        tracing::info!(%id, reply, "move: the holder of the stream did not permit to stop the run");
        match self.unpermitted.contains(id) {
            true => self.done.push(id.clone()),
            false => {
                self.unpermitted.push(id.clone());
                self.postponed.push(id.clone());
            }
        }
    }

    async fn move_step(
        &self,
        run: &EngineRun,
        target: SocketAddr,
        step: MoveStep,
    ) -> Result<Name, MoveError> {
        let copied = self
            .engines
            .move_run(self.engine, &run.id, target, step)
            .await?;
        Ok(copied.handle)
    }

    fn moved_run(&self, run: &EngineRun, target: Option<SocketAddr>, handle: Name) -> MovedRun {
        MovedRun {
            id: run.id.clone(),
            source: self.engine,
            target,
            handle,
        }
    }

    fn record_failure(
        &mut self,
        run: &EngineRun,
        target: SocketAddr,
        step: MoveStep,
        error: &MoveError,
    ) {
        tracing::info!(id = %run.id, tokens = run.tokens, %target, ?step, %error, "move: a step failed");
        match error {
            // The outcome of the stop is left to the holder of the stream.
            _ if step == MoveStep::Stop => {
                self.refused_by.clear();
                self.done.push(run.id.clone());
            }
            MoveError::NoRoom(_) | MoveError::Busy => self.refused_by.push(target),
            MoveError::NoRun | MoveError::Lost(_) => {
                self.refused_by.clear();
                self.done.push(run.id.clone());
            }
        }
    }
}
