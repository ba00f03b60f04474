//! Moves of a stream's run whose engine stays: handoffs after prefill, and rescues from engines where it would be late or
//! does not fit. `cicada_lib::migration` decides; this module carries the decisions out.

use std::time::Duration;

use cicada_lib::dialect::Copied;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::migration::handoff;
use cicada_lib::migration::handoff::MoveReason;
use cicada_lib::migration::move_bounds::MoveBounds;
use cicada_lib::migration::move_target;
use cicada_lib::migration::move_target::MoveTarget;
use cicada_lib::migration::precopy;
use cicada_lib::migration::precopy::NextRound;
use cicada_lib::migration::rescue;
use cicada_lib::migration::run_risk::EngineState;
use cicada_lib::migration::run_risk::MAX_RISK;
use cicada_lib::migration::run_risk::RunState;
use cicada_lib::migration::run_stops::StopKey;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Time;
use tokio::time::Instant;

use crate::placed_request::PlacedRequest;
use crate::planned_moves::CopyCall;
use crate::planned_moves::HeldCopy;
use crate::planned_moves::SourceSlot;
use crate::send::NoAnswer;
use crate::stream::expected_output;
use crate::stream_run::PendingMove;
use crate::stream_run::Run;
use crate::stream_run::resume_run;

/// A run that ends sooner is not stopped after its copy: the stop costs its caller a gap.
const MIN_TIME_AFTER_COPY: Duration = Duration::from_millis(500);

/// The state of a run's moves while its engine stays.
#[derive(Default)]
pub(crate) struct MoveState {
    bounds: MoveBounds,
    // Whether the run was counted as being at risk.
    was_at_risk: bool,
}

/// A move in progress of a run whose engine stays.
pub(crate) struct PlannedMove {
    reason: MoveReason,
    slot: SourceSlot,
    // The copy that exists at the target, from the first step until the run has stopped.
    copy: Option<HeldCopy>,
    // Rounds of copying that have begun, and when the latest one did.
    rounds: u32,
    round_began: Instant,
}

/// A decision to move a run.
struct Decision {
    reason: MoveReason,
    risk: f64,
    here: EngineState,
    target: MoveTarget,
    target_risk: Option<f64>,
}

impl Run {
    /// When a move is considered next; `None` while the run cannot be moved for these reasons.
    pub(crate) fn next_planned_check(&self) -> Option<Instant> {
        let policy = self.relay.policy();
        let has_cause = (policy.handoff || policy.rescue)
            && !self.call.admitted.route.event_gap.is_zero()
            && self.events.count() > 0
            && self.moving.is_none();
        if !has_cause || !self.supports_moves() || self.call.head.id.is_none() {
            return None;
        }
        let at = self.planned.bounds.next_check()?;
        Some(Instant::now() + at.since(self.relay.now()))
    }

    /// Starts a move if the run would be late at its engine, or does not fit there.
    pub(crate) fn consider_planned_move(&mut self) {
        let now = self.relay.now();
        if !self.planned.bounds.may_move(now) || self.moving.is_some() {
            return;
        }
        self.planned.bounds.record_check(now);
        // The scout of a leaving engine moves its runs.
        if self.placed.leaving_since().is_some() {
            return;
        }
        let Some(decision) = self.decide(now) else {
            return;
        };
        let source = self.placed.record.address;
        let Some(slot) = self.relay.planned_moves().begin(source) else {
            self.planned.bounds.record_busy(now);
            self.relay
                .metrics()
                .count_migration(decision.reason.as_str(), "source_busy");
            return;
        };
        self.start_planned_move(&decision, slot);
    }

    fn decide(&mut self, now: Time) -> Option<Decision> {
        let policy = self.relay.policy();
        let run = self.run_state();
        let engine = self.call.spec.engine.as_ref()?;
        let here = self
            .relay
            .fleet()
            .engine_state(now, self.placed.key, engine)?;
        let risk = here.risk_of(&run)?;
        if risk > MAX_RISK && !self.planned.was_at_risk {
            self.planned.was_at_risk = true;
            self.relay.metrics().count_run_at_risk();
        }
        let handoff = policy.handoff.then(|| handoff::reason(&run, &here));
        let rescue = || rescue::reason(&run, &here, fastrand::f64());
        let rescue = || policy.rescue.then(rescue).flatten();
        let reason = handoff.flatten().or_else(rescue)?;
        match self.choose_target(now, &run, reason, risk) {
            Ok(target) => Some(Decision {
                reason,
                risk,
                here,
                target,
                target_risk: target.engine.risk_of(&run),
            }),
            Err(why) => {
                let (reason, why) = (reason.as_str(), why.as_str());
                self.relay.metrics().count_migration(reason, why);
                let id = self.call.id();
                let server = self.placed.record.id.as_str();
                tracing::debug!(id, server, reason, risk, why, "migration: no target");
                None
            }
        }
    }

    fn choose_target(
        &self,
        now: Time,
        run: &RunState,
        reason: MoveReason,
        risk: f64,
    ) -> Result<MoveTarget, move_target::NoTarget> {
        let mut tried: Vec<ServerKey> = self.relay.planned_moves().refused(now);
        tried.push(self.placed.key);
        let zone = self.placed.record.zone.clone();
        let regions = self.relay.table().regions_now(&self.call.admitted);
        let request = PlacementRequest {
            tried: &tried,
            zone: Some(&zone),
            regions: &regions,
            ..PlacementRequest::new(&self.call.service, 0, run.tokens)
        };
        let targets = self
            .relay
            .fleet()
            .move_targets(now, &request, &self.call.spec);
        move_target::choose(run, reason, risk, &targets, &mut fastrand::Rng::new())
    }

    fn start_planned_move(&mut self, decision: &Decision, slot: SourceSlot) {
        let regions = self.relay.table().regions_now(&self.call.admitted);
        let run = self.run_state();
        let request = PlacementRequest {
            regions: &regions,
            ..PlacementRequest::new(&self.call.service, 0, run.tokens)
        };
        let Some(target) = self.relay.place_at(decision.target.key, &request) else {
            return;
        };
        self.relay
            .announce_sent(&target, self.call.head.id.as_ref());
        let gaps = decision.here.gaps.unwrap_or_default();
        tracing::info!(
            id = self.call.id(),
            from = %self.placed.record.id,
            to = %target.record.id,
            reason = decision.reason.as_str(),
            risk = decision.risk,
            target_risk = decision.target_risk,
            alone = ?(gaps.alone.mean_ms, gaps.alone.p99_ms),
            beside = ?(gaps.beside_prefill.mean_ms, gaps.beside_prefill.p99_ms),
            age = decision.here.report_age.as_millis() as u64,
            fill = decision.here.fill,
            events = run.events,
            left = run.events_left,
            tokens = run.tokens,
            "migration: started"
        );
        self.relay
            .metrics()
            .count_migration(decision.reason.as_str(), "started");
        let plan = PlannedMove {
            reason: decision.reason,
            slot,
            copy: None,
            rounds: 0,
            round_began: Instant::now(),
        };
        self.start_planned_step(plan, target, MoveStep::Copy, None);
    }

    /// Stops the run for the last round, unless it may not be stopped.
    fn start_planned_stop(&mut self, plan: PlannedMove, target: PlacedRequest) {
        let copy = plan.copy.as_ref().map(HeldCopy::handle).unwrap_or_default();
        let (source, address) = (plan.slot.source(), target.record.address);
        match self.record_own_stop(source, address, &copy) {
            Some(stop) => self.start_planned_step(plan, target, MoveStep::Stop, Some(stop)),
            None => self.end_planned_move(plan, &target, "not_stopped"),
        }
    }

    fn start_planned_step(
        &mut self,
        mut plan: PlannedMove,
        target: PlacedRequest,
        step: MoveStep,
        stop: Option<StopKey>,
    ) {
        plan.rounds += 1;
        plan.round_began = Instant::now();
        let engines = self.relay.engines().clone();
        let id = self.call.head.id.clone().unwrap_or_default();
        let (source, address) = (plan.slot.source(), target.record.address);
        let calls = engines.clone();
        let outcome = Box::pin(async move { engines.move_run(source, &id, address, step).await });
        self.moving = Some(PendingMove {
            target,
            step,
            stop,
            outcome: Box::pin(CopyCall::new(calls, source, outcome)),
            plan: Some(plan),
        });
    }

    /// Continues after a step of a planned move. Returns `false` if the run is lost.
    pub(crate) async fn finish_planned_step(
        &mut self,
        mut plan: PlannedMove,
        target: PlacedRequest,
        step: MoveStep,
        outcome: Result<Copied, MoveError>,
    ) -> bool {
        let engines = self.relay.engines().clone();
        match (step, outcome) {
            (MoveStep::Copy, Ok(copied)) => {
                // Each round extends the same copy.
                if let Some(copy) = plan.copy.take() {
                    copy.release();
                }
                plan.copy = Some(HeldCopy::new(engines, plan.slot.source(), copied.handle));
                self.continue_copying(plan, target);
                true
            }
            (MoveStep::Stop, Ok(copied)) => {
                if let Some(copy) = plan.copy.take() {
                    copy.release();
                }
                self.read_tail().await;
                self.resume_planned(plan, target, &copied.handle).await
            }
            (MoveStep::Stop, Err(MoveError::NoRoom(Some(handle)))) => {
                if let Some(copy) = plan.copy.take() {
                    copy.release();
                }
                self.record_refusal(&target);
                self.end_planned_move(plan, &target, "no_room_after_stop");
                self.read_tail().await;
                self.return_to_source(&handle).await
            }
            (_, Err(error)) => {
                if step == MoveStep::Stop {
                    // The copy may be the only memory of the run.
                    self.keep_copy(plan.copy.take());
                }
                if matches!(error, MoveError::NoRoom(_)) {
                    self.record_refusal(&target);
                }
                let id = self.call.id();
                tracing::info!(id, to = %target.record.id, ?step, %error, "migration: a step failed");
                let outcome = match error {
                    MoveError::NoRoom(_) => "no_room",
                    MoveError::NoRun => "no_run",
                    MoveError::Busy => "busy",
                    MoveError::Lost(_) => "lost_call",
                };
                self.end_planned_move(plan, &target, outcome);
                true
            }
        }
    }

    /// Copies once more, stops the run, or abandons its move.
    fn continue_copying(&mut self, plan: PlannedMove, target: PlacedRequest) {
        if let Some(why) = self.why_abandon(&plan, &target) {
            self.end_planned_move(plan, &target, why);
            return;
        }
        if plan.rounds == 1 {
            self.open_ahead(&target);
        }
        let took = plan.round_began.elapsed();
        let gap_limit = self.call.admitted.route.event_gap;
        match precopy::next_round(plan.rounds, took, gap_limit) {
            NextRound::Copy => self.start_planned_step(plan, target, MoveStep::Copy, None),
            NextRound::Stop => self.start_planned_stop(plan, target),
            NextRound::Abandon => self.end_planned_move(plan, &target, "links_busy"),
        }
    }

    /// Why the run is not stopped after its copy: what has changed since the decision.
    fn why_abandon(&self, plan: &PlannedMove, target: &PlacedRequest) -> Option<&'static str> {
        if plan.slot.source() != self.placed.record.address {
            return Some("moved_meanwhile");
        }
        if self.placed.leaving_since().is_some() {
            return Some("source_leaves");
        }
        if !self.may_resume_at(target) {
            return Some("target_not_permitted");
        }
        (self.expected_remaining_time() < MIN_TIME_AFTER_COPY).then_some("ends_soon")
    }

    /// Whether the target still takes work, in a zone and region where the run may go on.
    fn may_resume_at(&self, target: &PlacedRequest) -> bool {
        let regions = self.relay.table().regions_now(&self.call.admitted);
        let fleet = self.relay.fleet();
        fleet.takes_work(target.key) && fleet.is_permitted_at(target.key, &regions)
    }

    /// Connects to the target, since connecting after the stop would lengthen the gap that the caller sees.
    fn open_ahead(&self, target: &PlacedRequest) {
        if let Some(id) = &self.call.head.id {
            let address = target.record.address;
            let round_trip = target.round_trip();
            self.relay.moved_runs().open_ahead(id, address, round_trip);
        }
    }

    /// Resumes the stopped run at the target or, if that is certain not to run it, at its own engine.
    async fn resume_planned(
        &mut self,
        plan: PlannedMove,
        target: PlacedRequest,
        handle: &Name,
    ) -> bool {
        if !self.may_resume_at(&target) {
            self.end_planned_move(plan, &target, "target_not_permitted");
            return self.return_to_source(handle).await;
        }
        let paused_since = self.last_event_at;
        let start = self.start_from_memory(plan.slot.source(), handle);
        match resume_run(&self.relay, &self.call, &target, start).await {
            Ok(answered) => {
                self.planned.bounds.record_move(self.relay.now());
                self.log_end(&plan, &target, "done");
                self.refused_target = None;
                self.placed = target;
                self.continue_with(paused_since, answered);
                true
            }
            // The target's process has ended, or has stated that it does not run it.
            Err(
                no_answer @ (NoAnswer::Refused
                | NoAnswer::Unreached
                | NoAnswer::Withdrawn
                | NoAnswer::Suspect
                | NoAnswer::Elsewhere
                | NoAnswer::Crashed),
            ) => {
                if matches!(no_answer, NoAnswer::Unreached | NoAnswer::Crashed) {
                    target.record_failure(true);
                }
                self.record_refusal(&target);
                self.end_planned_move(plan, &target, "refused");
                self.return_to_source(handle).await
            }
            Err(NoAnswer::Unknown | NoAnswer::Silent | NoAnswer::TooLarge | NoAnswer::TimeOver) => {
                self.end_planned_move(plan, &target, "lost");
                // The failure that is recorded next is the target's.
                self.placed = target;
                false
            }
        }
    }

    /// Resumes the stopped run at its own engine. Frees its memory there if that fails.
    async fn return_to_source(&mut self, handle: &Name) -> bool {
        let source = self.placed.record.address;
        let engines = self.relay.engines().clone();
        let memory = HeldCopy::new(engines, source, handle.clone());
        let resumed = self.resume_at_source(handle).await;
        if resumed {
            memory.release();
        }
        resumed
    }

    fn record_refusal(&self, target: &PlacedRequest) {
        let now = self.relay.now();
        self.relay.planned_moves().record_refusal(now, target.key);
    }

    /// Ends a move that failed or was abandoned. Frees the copy, if there is one and no earlier stop needs it.
    fn end_planned_move(&mut self, mut plan: PlannedMove, target: &PlacedRequest, outcome: &str) {
        if self.release_if_kept(plan.copy.as_ref().map(HeldCopy::handle)) {
            self.kept_copy = plan.copy.take();
        }
        self.planned.bounds.record_failure(self.relay.now());
        self.log_end(&plan, target, outcome);
    }

    fn log_end(&self, plan: &PlannedMove, target: &PlacedRequest, outcome: &str) {
        let reason = plan.reason.as_str();
        self.relay.metrics().count_migration(reason, outcome);
        tracing::info!(
            id = self.call.id(),
            to = %target.record.id,
            reason,
            outcome,
            events = self.events.count(),
            "migration: ended"
        );
    }

    fn run_state(&self) -> RunState {
        let stride = u64::from(self.call.tokens_per_event());
        let events = self.events.count();
        let expected = u64::from(expected_output(&self.call)) / stride;
        // Half of the runs exceed their estimated output, by about as much again.
        let events_left = expected.saturating_sub(events).max(events / 2);
        let at_end = u64::from(self.call.head.prompt) + (events + events_left) * stride;
        RunState {
            events,
            events_left: events_left as u32,
            time_left: self.expected_remaining_time(),
            gap_limit: self.call.admitted.route.event_gap,
            tokens: self.tokens.max(at_end),
        }
    }
}
