//! Migration of a stream's run to another engine, off one that leaves, by the relay itself.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::dialect::Copied;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::dialect::RunMemory;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::migration::run_stops::StopKey;
use cicada_lib::routing::ServerKey;
use http_body_util::BodyExt;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::placed_request::PlacedRequest;
use crate::send::NoAnswer;
use crate::stream::DEFAULT_TOKEN_TIME;
use crate::stream::RunStart;
use crate::stream::expected_output;
use crate::stream_run::PendingMove;
use crate::stream_run::Run;
use crate::stream_run::resume_run;

/// A run that is expected to end sooner than this is not moved: an engine shuts down 1.5 s or more after it announces
/// it, and a move pauses the run.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(700);

/// Delay before a move is tried again that found no run at the engine, since the prompt was still being read.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Number of failed moves after which a run is no longer moved.
const MAX_FAILED_MOVES: u32 = 8;

/// How long to wait for events of a stopped run that are still in transit.
const TAIL_TIMEOUT: Duration = Duration::from_millis(150);

impl Run {
    /// Starts a move if the engine is draining and the run is not about to end.
    pub(crate) fn consider_move(&mut self) {
        self.next_move_check = Instant::now() + MOVE_RETRY_DELAY;
        if self.moving.is_some() || self.placed.leaving_since().is_none() {
            return;
        }
        if !self.supports_moves()
            || self.failed_moves >= MAX_FAILED_MOVES
            || self.expected_remaining_time() < MIN_REMAINING_TIME
        {
            return;
        }
        // A live scout moves the runs itself: it sees all runs of the engine, and moves them one at a time.
        let now = self.relay.now();
        let scout_alive = self.relay.fleet().has_live_scout(now, self.placed.key);
        if !scout_alive {
            self.lose_scout_stop();
        }
        // It does so once: a run that has returned to its engine, or goes on after a failed stop, is moved by this relay.
        if scout_alive && self.refused_target.is_none() && !self.has_lost_stop() {
            return;
        }
        self.start_copy();
    }

    fn start_copy(&mut self) {
        // Only targets in the engine's own availability zone: a copy to another region takes ten times as long, more
        // than the time left.
        let zone = self.placed.record.zone.clone();
        let tried: Vec<ServerKey> = [self.placed.key]
            .into_iter()
            .chain(self.refused_target)
            .collect();
        let regions = self.relay.table().regions_now(&self.call.admitted);
        let request = PlacementRequest {
            tried: &tried,
            zone: Some(&zone),
            regions: &regions,
            ..PlacementRequest::new(&self.call.service, 0, self.tokens)
        };
        let Ok(target) = self.relay.place(&request, &self.call.spec, None) else {
            return;
        };
        self.relay
            .announce_sent(&target, self.call.head.id.as_ref());
        self.start_move_step(target, MoveStep::Copy, None);
    }

    /// Stops the run after its memory was copied, unless its scout may be doing that.
    fn start_stop(&mut self, target: PlacedRequest, copy: &Name) {
        let source = self.placed.record.address;
        if let Some(stop) = self.record_own_stop(source, target.record.address, copy) {
            self.start_move_step(target, MoveStep::Stop, Some(stop));
        }
    }

    fn start_move_step(&mut self, target: PlacedRequest, step: MoveStep, stop: Option<StopKey>) {
        let engines = self.relay.engines().clone();
        let id = self.call.head.id.clone().unwrap_or_default();
        let (source, address) = (self.placed.record.address, target.record.address);
        let outcome = async move { engines.move_run(source, &id, address, step).await };
        self.moving = Some(PendingMove {
            target,
            step,
            stop,
            outcome: Box::pin(outcome),
            plan: None,
        });
    }

    /// Continues after a step of a move. Returns `false` if the run is lost.
    pub(crate) async fn finish_move_step(&mut self, outcome: Result<Copied, MoveError>) -> bool {
        let Some(moving) = self.moving.take() else {
            return true;
        };
        self.record_stop_outcome(moving.stop, &outcome);
        if let Some(plan) = moving.plan {
            let PendingMove { target, step, .. } = moving;
            return self.finish_planned_step(plan, target, step, outcome).await;
        }
        let id = self.call.id();
        let (from, to) = (
            self.placed.record.id.as_str(),
            moving.target.record.id.as_str(),
        );
        let step = moving.step;
        match (step, outcome) {
            (MoveStep::Copy, Ok(copied)) => {
                tracing::info!(id, from, to, events = copied.events, "move: copied");
                self.start_stop(moving.target, &copied.handle);
                true
            }
            (MoveStep::Stop, Ok(copied)) => {
                self.read_tail().await;
                self.resume_at(moving.target, &copied.handle).await
            }
            (MoveStep::Stop, Err(MoveError::NoRoom(Some(handle)))) => {
                tracing::info!(
                    id,
                    from,
                    to,
                    "move: no room at the target, the run resumes at its engine"
                );
                self.relay.metrics().count_move("no_room");
                self.failed_moves += 1;
                self.read_tail().await;
                self.resume_at_source(&handle).await
            }
            (_, Err(error)) => {
                tracing::info!(id, from, to, ?step, %error, "move: a step failed");
                self.relay.metrics().count_move("failed");
                self.failed_moves += 1;
                true
            }
        }
    }

    /// Forwards the events of a stopped run that are still in transit.
    pub(crate) async fn read_tail(&mut self) {
        let until = Instant::now() + TAIL_TIMEOUT;
        while let Some((body, _)) = &mut self.source {
            let frame = timeout_at(until, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                break;
            };
            let data = frame.into_data().unwrap_or_default();
            if self.forward(&data).await.is_err() {
                break;
            }
        }
        self.source = None;
        self.events.discard_partial();
    }

    /// Resumes the run at the target or, if the target refuses it, at the engine that stopped it.
    pub(crate) async fn resume_at(&mut self, target: PlacedRequest, handle: &Name) -> bool {
        let paused_since = self.last_event_at;
        let from = self.placed.record.address;
        let start = self.start_from_memory(from, handle);
        match resume_run(&self.relay, &self.call, &target, start).await {
            Ok(answered) => {
                self.relay.metrics().count_move("done");
                self.refused_target = None;
                self.placed = target;
                self.continue_with(paused_since, answered);
                true
            }
            Err(
                NoAnswer::Refused
                | NoAnswer::Unreached
                | NoAnswer::Withdrawn
                | NoAnswer::Suspect
                | NoAnswer::Elsewhere,
            ) => {
                self.relay.metrics().count_move("refused");
                self.failed_moves += 1;
                tracing::info!(id = self.call.id(), target = %target.record.address, "move: the target did not take the run");
                self.refused_target = Some(target.key);
                self.resume_at_source(handle).await
            }
            Err(
                NoAnswer::Unknown
                | NoAnswer::Crashed
                | NoAnswer::Silent
                | NoAnswer::TooLarge
                | NoAnswer::TimeOver,
            ) => {
                self.relay.metrics().count_move("lost");
                false
            }
        }
    }

    /// Resumes a stopped run at its own engine. Returns `false` if the run is lost.
    pub(crate) async fn resume_at_source(&mut self, handle: &Name) -> bool {
        let paused_since = self.last_event_at;
        let key = self.placed.key;
        let regions = self.relay.table().regions_now(&self.call.admitted);
        if !self.relay.fleet().is_permitted_at(key, &regions) {
            tracing::info!(
                id = self.call.id(),
                ?key,
                "move: the run is not permitted to resume in its zone or region"
            );
            return false;
        }
        let from = self.placed.record.address;
        let start = self.start_from_memory(from, handle);
        match resume_run(&self.relay, &self.call, &self.placed, start).await {
            Ok(answered) => {
                self.continue_with(paused_since, answered);
                true
            }
            Err(_) => {
                tracing::info!(
                    id = self.call.id(),
                    ?key,
                    "move: the run could not be resumed at its engine"
                );
                false
            }
        }
    }

    /// Builds the start of a run from the memory that the engine at `from` holds.
    pub(crate) fn start_from_memory(&self, from: SocketAddr, handle: &Name) -> RunStart {
        RunStart::Moved {
            memory: RunMemory {
                from,
                handle: handle.clone(),
            },
            last: self.events.last_id().clone(),
        }
    }

    /// Whether the engines of the run's service support moves, and the run can be named to them.
    pub(crate) fn supports_moves(&self) -> bool {
        let engine = self.call.spec.engine.as_ref();
        self.registration.is_some() && engine.is_some_and(|engine| engine.supports_moves)
    }

    /// Estimates how much longer the run takes.
    pub(crate) fn expected_remaining_time(&self) -> Duration {
        let stride = self.call.tokens_per_event();
        let made_events = self.events.count() as u32;
        let token_time = match made_events {
            0 | 1 => DEFAULT_TOKEN_TIME,
            made => self.last_event_at.duration_since(self.first_event_at) / ((made - 1) * stride),
        };
        let tokens_left = expected_output(&self.call).saturating_sub(made_events * stride);
        // Half of the runs exceed their estimated output, by about as much again.
        token_time * tokens_left.max(made_events * stride / 2)
    }
}
