//! Moves the runs of an engine that is about to leave, one after the other.

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
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::MovedRun;
use cicada_lib::peer_words::ScoutReport;
use cicada_lib::zone_evacuation::EvacuatedZones;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::lock::lock;

/// A neighbour that was silent for longer is not a target: its engine may be gone.
const REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Word that an engine names a limit counts for this long: relays renew it several times meanwhile.
const LIMITED_AGE: Duration = Duration::from_secs(3);

/// How long to wait for a run or a target to come up before looking again.
const LOOK: Duration = Duration::from_millis(60);

/// What is known of the engines to which runs can be moved.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    engines: Mutex<HashMap<SocketAddr, Neighbour>>,
    // As relays tell: no run goes there.
    evacuated: Mutex<EvacuatedZones>,
    // When relays last told that an engine names a limit.
    limited: Mutex<HashMap<SocketAddr, Instant>>,
}

#[derive(Debug)]
struct Neighbour {
    at: Instant,
    report: ScoutReport,
    // Tokens and runs that were sent there since the report.
    sent: u64,
    runs: u32,
}

impl Neighbours {
    /// Takes a neighbour's report.
    pub(crate) fn report(&self, report: &ScoutReport) {
        let neighbour = Neighbour {
            at: Instant::now(),
            report: report.clone(),
            sent: 0,
            runs: 0,
        };
        self.lock().insert(report.here.address, neighbour);
    }

    /// Takes over which availability zones are evacuated, if that is news.
    pub(crate) fn set_evacuated(&self, evacuated: &EvacuatedZones) {
        let change = lock(&self.evacuated).update(evacuated);
        if !change.is_empty() {
            tracing::info!(begun = ?change.begun, ended = ?change.ended, "move: evacuated availability zones changed");
        }
    }

    /// A relay tells which engines name a limit.
    pub(crate) fn set_limited(&self, engines: &[SocketAddr]) {
        let now = Instant::now();
        let mut limited = lock(&self.limited);
        limited.retain(|_, told| told.elapsed() < LIMITED_AGE);
        limited.extend(engines.iter().map(|engine| (*engine, now)));
    }

    /// The engines that runs of `engine`, in availability zone `zone`, can be moved to.
    fn targets(&self, engine: SocketAddr, zone: &Name) -> Vec<Target> {
        let neighbours = self.lock();
        let fresh = neighbours.values().filter(|n| n.at.elapsed() < REPORT_AGE);
        let evacuated = lock(&self.evacuated);
        let fresh = fresh.filter(|n| !evacuated.contains(&n.report.here.zone));
        let (leaving, mut staying): (Vec<_>, Vec<_>) = fresh.partition(|n| n.report.load.leaving);
        let leaving: Vec<SocketAddr> = leaving.iter().map(|n| n.report.here.address).collect();
        staying.sort_by_key(|n| n.report.here.address);
        let limited = lock(&self.limited);
        let targets = staying.iter().enumerate().map(|(index, n)| Target {
            address: n.report.here.address,
            used: n.report.load.used + n.sent,
            capacity: n.report.load.capacity,
            requests: n.report.load.running + n.report.load.queued + n.runs,
            same_zone: n.report.here.zone == *zone,
            cold: n.report.load.cold > 0,
            limited: limited
                .get(&n.report.here.address)
                .is_some_and(|told| told.elapsed() < LIMITED_AGE),
            assigned: move_plan::is_assigned_to(engine, &leaving, index),
        });
        targets.collect()
    }

    fn sent(&self, target: SocketAddr, tokens: u64) {
        if let Some(neighbour) = self.lock().get_mut(&target) {
            neighbour.sent += tokens;
            neighbour.runs += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Neighbour>> {
        lock(&self.engines)
    }
}

/// What relays are told of a run.
#[derive(Debug)]
pub(crate) enum RunNews {
    /// Its memory is being copied; it will stop soon.
    Coming(MovedRun),
    /// It has stopped.
    Moved(MovedRun),
}

/// Moves runs until the engine is gone; ends when the reports do.
pub(crate) async fn run(
    engines: Arc<dyn EngineCalls>,
    here: EngineHere,
    neighbours: Arc<Neighbours>,
    mut reports: watch::Receiver<EngineReport>,
    news: mpsc::Sender<RunNews>,
) {
    let mut mover = Mover {
        engines,
        engine: here.address,
        zone: here.zone,
        neighbours,
        news,
        done: Vec::new(),
        postponed: Vec::new(),
        told: Vec::new(),
        refused: Vec::new(),
    };
    loop {
        let next = {
            let report = reports.borrow_and_update();
            mover.next(&report.runs)
        };
        let moved = match next {
            Some(run) => mover.move_run(&run).await,
            None => None,
        };
        match moved {
            Some(moved) => {
                if mover.news.send(RunNews::Moved(moved)).await.is_err() {
                    return;
                }
            }
            None => {
                let ended = matches!(timeout(LOOK, reports.changed()).await, Ok(Err(_)));
                if ended {
                    return;
                }
            }
        }
    }
}

struct Mover {
    engines: Arc<dyn EngineCalls>,
    engine: SocketAddr,
    zone: Name,
    neighbours: Arc<Neighbours>,
    news: mpsc::Sender<RunNews>,
    // Runs that are moved, or cannot be.
    done: Vec<Name>,
    // Runs that found no room lately, and are tried again when the others are done.
    postponed: Vec<Name>,
    // Those that this was said of.
    told: Vec<Name>,
    // Targets that turned the current run away.
    refused: Vec<SocketAddr>,
}

impl Mover {
    /// The run to move next. Runs that found no room are tried again once the others are through.
    fn next(&mut self, runs: &[EngineRun]) -> Option<EngineRun> {
        let passed: Vec<Name> = self.done.iter().chain(&self.postponed).cloned().collect();
        let next = move_plan::next_run(runs, &passed).cloned();
        if next.is_none() {
            self.postponed.clear();
        }
        next
    }

    /// Moves one run; `None` where it stays for now.
    async fn move_run(&mut self, run: &EngineRun) -> Option<MovedRun> {
        let targets = self.neighbours.targets(self.engine, &self.zone);
        let Some(target) = move_plan::choose_target(run.tokens, &targets, &self.refused) else {
            // Said once for each run, since it is tried again until the engine has gone.
            if !self.told.contains(&run.id) {
                self.told.push(run.id.clone());
                tracing::info!(id = %run.id, tokens = run.tokens, targets = targets.len(), "move: no target has room");
            }
            self.refused.clear();
            self.postponed.push(run.id.clone());
            return None;
        };
        let address = target.address;
        let begun = Instant::now();
        self.neighbours.sent(address, run.tokens);
        let coming = RunNews::Coming(MovedRun {
            id: run.id.clone(),
            source: self.engine,
            target: Some(address),
            handle: Name::default(),
        });
        if self.news.send(coming).await.is_err() {
            return None;
        }
        let copy = match self.step(run, address, MoveStep::Copy).await {
            Ok(handle) => handle,
            Err(error) => {
                self.failed(run, address, &error);
                return None;
            }
        };
        let copied = begun.elapsed().as_millis() as u64;
        let moved = match self.step(run, address, MoveStep::Stop).await {
            Ok(handle) => self.moved(run, Some(address), handle),
            Err(MoveError::NoRoom(Some(handle))) => self.moved(run, None, handle),
            Err(error) => {
                // The copy would keep its room at the target for seconds, which other runs need.
                self.engines.drop_copy(self.engine, &copy).await;
                self.failed(run, address, &error);
                return None;
            }
        };
        let stopped = begun.elapsed().as_millis() as u64;
        tracing::info!(id = %run.id, tokens = run.tokens, events = run.events, target = ?moved.target, copied, stopped, "move: run stopped");
        Some(moved)
    }

    async fn step(
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

    fn moved(&mut self, run: &EngineRun, target: Option<SocketAddr>, handle: Name) -> MovedRun {
        self.refused.clear();
        self.done.push(run.id.clone());
        MovedRun {
            id: run.id.clone(),
            source: self.engine,
            target,
            handle,
        }
    }

    fn failed(&mut self, run: &EngineRun, target: SocketAddr, error: &MoveError) {
        tracing::info!(id = %run.id, tokens = run.tokens, %target, %error, "move: a step failed");
        match error {
            MoveError::NoRoom(_) | MoveError::Busy => self.refused.push(target),
            MoveError::NoRun | MoveError::Lost(_) => {
                self.refused.clear();
                self.done.push(run.id.clone());
            }
        }
    }
}
