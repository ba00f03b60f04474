//! What follows when the stream of a run may have ended because the run was stopped for a move.
//!
//! The relay knows of each stop: it asks for its own, and scouts have its permission. It waits for the outcome, and resumes
//! the run from the memory that its engine handed over. If the outcome stays unknown, the copy that was made before the
//! stop may be the only memory of the run, so the run is resumed from that.

use std::net::SocketAddr;

use cicada_lib::body_end::RunStop;
use cicada_lib::dialect::Copied;
use cicada_lib::dialect::MoveError;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::migration::run_stops::OpenStop;
use cicada_lib::migration::run_stops::StopKey;
use cicada_lib::migration::run_stops::StopRequest;
use cicada_lib::migration::run_stops::StopState;
use cicada_lib::migration::run_stops::Stopper;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::MovedRun;
use tokio::time::timeout;

use crate::moved_runs::OUTCOME_WAIT;
use crate::moved_runs::ScoutOutcome;
use crate::placed_request::PlacedRequest;
use crate::planned_moves::HeldCopy;
use crate::stream_run::Run;

/// What became of a run whose stream has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Followed {
    /// It was stopped, and its stream goes on.
    GoesOn,
    /// It was stopped, and could not be resumed.
    Lost,
    /// It was not stopped.
    NotStopped,
    /// It may have been stopped, and could not be resumed.
    Unknown,
}

impl Followed {
    /// What it tells of the end of the stream's body.
    pub(crate) fn run_stop(self) -> RunStop {
        match self {
            Followed::GoesOn | Followed::Lost => RunStop::Stopped,
            Followed::NotStopped => RunStop::NotStopped,
            Followed::Unknown => RunStop::Unknown,
        }
    }

    /// The name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Followed::GoesOn => "goes_on",
            Followed::Lost => "lost",
            Followed::NotStopped => "not_stopped",
            Followed::Unknown => "unknown",
        }
    }
}

impl Run {
    /// Records that the body of the answer has ended. Returns the stop that may have ended it.
    pub(crate) fn end_body(&mut self) -> Option<OpenStop> {
        self.source = None;
        self.registration.as_ref()?.end_body();
        self.open_stop()
    }

    /// Records a stop of the run by this relay. `None` if the run may not be stopped.
    pub(crate) fn record_own_stop(
        &mut self,
        engine: SocketAddr,
        target: SocketAddr,
        copy: &Name,
    ) -> Option<StopKey> {
        let request = StopRequest {
            by: Stopper::Relay,
            engine,
            target: Some(target),
            handle: copy.clone(),
            number: 0,
        };
        let recorded = self.registration.as_ref()?.record_own_stop(request);
        let word = recorded.as_ref().map_or_else(|r| r.as_str(), |_| "asked");
        self.relay.metrics().count_stop(Stopper::Relay, word);
        if let Err(refusal) = &recorded {
            tracing::info!(id = self.call.id(), %engine, %refusal, "move: the run is not stopped");
            self.failed_moves += 1;
        }
        recorded.ok()
    }

    /// Records what the answer to a stop by this relay tells.
    pub(crate) fn record_stop_outcome(
        &mut self,
        stop: Option<StopKey>,
        outcome: &Result<Copied, MoveError>,
    ) {
        let (Some(stop), Some(run)) = (stop, &self.registration) else {
            return;
        };
        let is_known = has_stopped(outcome);
        let word = match is_known {
            true => "stopped",
            false => "unknown",
        };
        match is_known {
            true => run.settle_stop(stop),
            false => run.lose_stop(stop),
        }
        self.relay.metrics().count_stop(Stopper::Relay, word);
    }

    /// Records that the outcome of a stop by the engine's scout will not be known, since the scout is gone.
    pub(crate) fn lose_scout_stop(&self) {
        let Some((run, stop)) = self.registration.as_ref().zip(self.open_stop()) else {
            return;
        };
        if stop.request.by == Stopper::Scout {
            run.lose_stop(stop.key);
        }
    }

    /// Whether the run may have been stopped at its engine, and nobody awaits the outcome.
    pub(crate) fn has_lost_stop(&self) -> bool {
        let is_lost = |stop: OpenStop| stop.state == StopState::Unknown;
        self.open_stop().is_some_and(is_lost)
    }

    /// Follows a run whose stream has ended, if it may have been stopped.
    pub(crate) async fn follow_stop(&mut self) -> Followed {
        if self
            .moving
            .as_ref()
            .is_some_and(|moving| moving.stop.is_some())
        {
            let followed = self.follow_own_stop().await;
            if followed != Followed::NotStopped {
                return followed;
            }
        }
        let Some(stop) = self.open_stop() else {
            return Followed::NotStopped;
        };
        if stop.request.by == Stopper::Scout {
            let followed = self.follow_scout(stop.key).await;
            if followed != Followed::Unknown {
                return followed;
            }
        }
        self.resume_from_copy().await
    }

    /// Waits for the outcome of the relay's own stop. Returns [`Followed::NotStopped`] also if it stays unknown, which is
    /// recorded.
    async fn follow_own_stop(&mut self) -> Followed {
        let Some(moving) = &mut self.moving else {
            return Followed::NotStopped;
        };
        let wait = self.call.time_left().min(OUTCOME_WAIT);
        let Ok(outcome) = timeout(wait, moving.outcome.as_mut()).await else {
            let late = || MoveError::Lost("no answer in time after the stream had ended".into());
            // Dropped unanswered, the call would be aborted, and with it the copy that the run resumes from.
            let outcome = std::mem::replace(
                &mut moving.outcome,
                Box::pin(std::future::ready(Err(late()))),
            );
            self.unanswered.push(outcome);
            self.finish_move_step(Err(late())).await;
            return Followed::NotStopped;
        };
        let is_known = has_stopped(&outcome);
        match (self.finish_move_step(outcome).await, is_known) {
            (_, false) => Followed::NotStopped,
            (true, true) => Followed::GoesOn,
            (false, true) => Followed::Lost,
        }
    }

    /// Waits for the outcome of a scout's stop, and resumes the run if the scout has moved it.
    async fn follow_scout(&mut self, stop: StopKey) -> Followed {
        let (Some(id), Some(run)) = (&self.call.head.id, &self.registration) else {
            return Followed::NotStopped;
        };
        let engine = self.placed.record.address;
        let key = self.placed.key;
        let is_scout_live = || self.relay.fleet().has_live_scout(self.relay.now(), key);
        let moved_runs = self.relay.moved_runs();
        let moved = match moved_runs.wait(id, engine, run, is_scout_live).await {
            ScoutOutcome::NotStopped => return Followed::NotStopped,
            ScoutOutcome::Unknown => {
                run.lose_stop(stop);
                return Followed::Unknown;
            }
            ScoutOutcome::Moved(moved) => moved,
        };
        run.settle_stop(stop);
        self.relay.metrics().count_stop(Stopper::Scout, "stopped");
        tracing::info!(id = self.call.id(), from = %engine, to = ?moved.target, "move: the run goes on elsewhere");
        let MovedRun { target, handle, .. } = moved;
        match self.resume_from_memory(target, &handle).await {
            true => Followed::GoesOn,
            false => Followed::Lost,
        }
    }

    /// Resumes a run that may have been stopped from the copy that was made before.
    async fn resume_from_copy(&mut self) -> Followed {
        let engine = self.placed.record.address;
        let copy = self
            .registration
            .as_ref()
            .and_then(|run| run.take_copy(engine));
        let Some(copy) = copy else {
            return Followed::Unknown;
        };
        tracing::info!(
            id = self.call.id(),
            from = %engine,
            to = ?copy.target,
            by = copy.by.as_str(),
            events = self.events.count(),
            "move: the outcome of the stop is unknown, the run resumes from its copy"
        );
        let resumed = self.resume_from_memory(copy.target, &copy.handle).await;
        if let Some(kept) = self.kept_copy.take_if(|_| resumed) {
            kept.release();
        }
        let word = match resumed {
            true => "resumed",
            false => "not_resumed",
        };
        self.relay.metrics().count_stop(copy.by, word);
        match resumed {
            true => Followed::GoesOn,
            false => Followed::Unknown,
        }
    }

    /// Keeps the copy of a run that may have been stopped.
    pub(crate) fn keep_copy(&mut self, copy: Option<HeldCopy>) {
        self.release_if_kept(copy.as_ref().map(HeldCopy::handle));
        self.kept_copy = copy;
    }

    /// Gives up the charge of a kept copy that a later move of the run has extended: both have the same handle.
    pub(crate) fn release_if_kept(&mut self, extended: Option<Name>) -> bool {
        let kept = self
            .kept_copy
            .take_if(|kept| extended == Some(kept.handle()));
        let is_kept = kept.is_some();
        kept.into_iter().for_each(HeldCopy::release);
        is_kept
    }

    /// Resumes a run at the engine at `target`, or at its own if there is none or it refuses.
    async fn resume_from_memory(&mut self, target: Option<SocketAddr>, handle: &Name) -> bool {
        let target = target.and_then(|address| self.place_at_copy(address));
        match target {
            Some(target) => {
                self.relay
                    .announce_sent(&target, self.call.head.id.as_ref());
                self.resume_at(target, handle).await
            }
            None => self.resume_at_source(handle).await,
        }
    }

    /// Counts the run at the engine that holds its copy. `None` if it is not permitted there.
    fn place_at_copy(&mut self, address: SocketAddr) -> Option<PlacedRequest> {
        let regions = self.relay.table().regions_now(&self.call.admitted);
        let request = PlacementRequest {
            regions: &regions,
            ..PlacementRequest::new(&self.call.service, 0, self.tokens)
        };
        let engine = EngineLocation {
            address,
            service: self.call.service.clone(),
            zone: self.placed.record.zone.clone(),
        };
        let placed = self.relay.place_moved(&engine, &request);
        if placed.is_none() {
            // The run resumes at its own engine, and this relay moves it elsewhere.
            self.refused_target = self.relay.fleet().key_at(address);
        }
        placed
    }

    fn open_stop(&self) -> Option<OpenStop> {
        let engine = self.placed.record.address;
        self.registration.as_ref()?.open_stop(engine)
    }
}

/// Whether the answer to a stop proves that the run has stopped, and hands over its memory.
fn has_stopped(outcome: &Result<Copied, MoveError>) -> bool {
    outcome
        .as_ref()
        .map_or_else(MoveError::has_memory, |_| true)
}
