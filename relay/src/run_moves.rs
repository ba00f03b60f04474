//! Moves of a stream's run to another engine: by its relay, and after its engine's scout has moved it.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::dialect::Copied;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::dialect::RunMemory;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::MovedRun;
use cicada_lib::routing::ServerKey;
use http_body_util::BodyExt;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::placed_request::PlacedRequest;
use crate::send::NoAnswer;
use crate::stream::Begin;
use crate::stream::TOKEN_TIME;
use crate::stream::expected_output;
use crate::stream_run::Move;
use crate::stream_run::Run;
use crate::stream_run::send_on;

/// A run that is expected to end sooner than this stays where it is: an engine that says it leaves
/// stays for 1.5 s and more, and a move costs a pause.
const SHORT_REST: Duration = Duration::from_millis(700);

/// After this a move that found no run is tried again: the run was still being read in.
const MOVE_PAUSE: Duration = Duration::from_millis(80);

/// Moves of one run that may fail before it is left where it is.
const MOST_MOVES: u32 = 8;

/// How long the events of a stopped run are awaited that are still on their way.
const TAIL_TIME: Duration = Duration::from_millis(150);

impl Run {
    /// Begins a move where the engine leaves and the run is not about to end.
    pub(crate) fn consider_move(&mut self) {
        self.look_again = Instant::now() + MOVE_PAUSE;
        if self.moving.is_some() || self.placed.leaving_since().is_none() {
            return;
        }
        let may = self
            .call
            .spec
            .engine
            .as_ref()
            .is_some_and(|engine| engine.supports_moves);
        if !may || self.failed_moves >= MOST_MOVES || self.rest() < SHORT_REST {
            return;
        }
        // The scout sees all runs of the engine and moves them one after the other.
        let now = self.relay.now();
        let scout = self.relay.fleet().has_live_scout(now, self.placed.key);
        // One that came back has been moved, for all that its scout knows.
        if scout && self.refusing.is_none() {
            return;
        }
        self.begin_move(MoveStep::Copy, None);
    }

    fn begin_move(&mut self, step: MoveStep, target: Option<PlacedRequest>) {
        let target = match target {
            Some(target) => target,
            None => {
                // Between regions a copy takes ten times as long, which is more than there is.
                let zone = self.placed.record.zone.clone();
                let tried: Vec<ServerKey> =
                    [self.placed.key].into_iter().chain(self.refusing).collect();
                let regions = self.relay.table().regions_now(&self.call.admitted);
                let need = PlacementRequest {
                    tried: &tried,
                    zone: Some(&zone),
                    regions: &regions,
                    ..PlacementRequest::new(&self.call.service, 0, self.tokens)
                };
                let Ok(target) = self.relay.place(&need, &self.call.spec, None) else {
                    return;
                };
                self.relay
                    .announce_sent(&target, self.call.head.id.as_ref());
                target
            }
        };
        let engines = self.relay.engines().clone();
        let id = self.call.head.id.clone().unwrap_or_default();
        let (source, address) = (self.placed.record.address, target.record.address);
        let outcome = async move { engines.move_run(source, &id, address, step).await };
        self.moving = Some(Move {
            target,
            step,
            outcome: Box::pin(outcome),
        });
    }

    /// Goes on after a step of a move; `false` where the run is lost.
    pub(crate) async fn moved(&mut self, outcome: Result<Copied, MoveError>) -> bool {
        let Some(moving) = self.moving.take() else {
            return true;
        };
        let id = self.call.id();
        let (from, to) = (
            self.placed.record.id.as_str(),
            moving.target.record.id.as_str(),
        );
        let step = moving.step;
        match (step, outcome) {
            (MoveStep::Copy, Ok(copied)) => {
                tracing::info!(id, from, to, events = copied.events, "move: copied");
                self.begin_move(MoveStep::Stop, Some(moving.target));
                true
            }
            (MoveStep::Stop, Ok(copied)) => {
                self.read_tail().await;
                self.resume(moving.target, &copied.handle).await
            }
            (MoveStep::Stop, Err(MoveError::NoRoom(Some(handle)))) => {
                tracing::info!(id, from, to, "move: no room, the run goes on where it was");
                self.relay.metrics().count_move("no_room");
                self.failed_moves += 1;
                self.read_tail().await;
                self.go_back(&handle).await
            }
            (_, Err(error)) => {
                tracing::info!(id, from, to, ?step, %error, "move: a step failed");
                self.relay.metrics().count_move("failed");
                self.failed_moves += 1;
                true
            }
        }
    }

    /// Reads the events of a stopped run that are still on their way.
    async fn read_tail(&mut self) {
        let until = Instant::now() + TAIL_TIME;
        while let Some((body, _)) = &mut self.source {
            let frame = timeout_at(until, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                break;
            };
            let data = frame.into_data().unwrap_or_default();
            if !self.forward(&data).await {
                break;
            }
        }
        self.source = None;
        self.events.discard_partial();
    }

    /// Goes on at the target; where that refuses, at the engine that stopped.
    async fn resume(&mut self, target: PlacedRequest, handle: &Name) -> bool {
        let before = self.latest;
        let from = self.placed.record.address;
        let begin = self.memory(from, handle);
        match send_on(&self.relay, &self.call, &target, begin).await {
            Ok(answered) => {
                self.relay.metrics().count_move("done");
                self.refusing = None;
                self.placed = target;
                self.go_on(before, answered);
                true
            }
            Err(NoAnswer::Refused | NoAnswer::Unreached | NoAnswer::Elsewhere) => {
                self.relay.metrics().count_move("refused");
                self.failed_moves += 1;
                tracing::info!(id = self.call.id(), target = %target.record.address, "move: the target did not take the run");
                self.refusing = Some(target.key);
                self.go_back(handle).await
            }
            Err(NoAnswer::Unknown | NoAnswer::Silent | NoAnswer::TimeOver) => {
                self.relay.metrics().count_move("lost");
                false
            }
        }
    }

    async fn go_back(&mut self, handle: &Name) -> bool {
        let before = self.latest;
        let key = self.placed.key;
        let regions = self.relay.table().regions_now(&self.call.admitted);
        if !self.relay.fleet().is_permitted_at(key, &regions) {
            tracing::info!(
                id = self.call.id(),
                ?key,
                "move: the run may not go on in its zone or region"
            );
            return false;
        }
        let from = self.placed.record.address;
        let begin = self.memory(from, handle);
        match send_on(&self.relay, &self.call, &self.placed, begin).await {
            Ok(answered) => {
                self.go_on(before, answered);
                true
            }
            Err(_) => {
                tracing::info!(id = self.call.id(), ?key, "move: the run could not go on");
                false
            }
        }
    }

    /// The memory of the run that the engine at `from` holds.
    fn memory(&self, from: SocketAddr, handle: &Name) -> Begin {
        // Counted against the service's bound like any other further send, but never held back: the
        // run would be lost, and its caller would send the whole again.
        if !self.relay.try_retry(&self.call.service, 0.0) {
            self.relay.metrics().count_retry("move_over_bound");
        }
        Begin::Moved {
            memory: RunMemory {
                from,
                handle: handle.clone(),
            },
            last: self.events.last_id().clone(),
        }
    }

    /// The stream broke. While a move stops the run that is as it should be.
    pub(crate) async fn survives_loss(&mut self) -> bool {
        let stopping = self
            .moving
            .as_ref()
            .is_some_and(|m| m.step == MoveStep::Stop);
        self.source = None;
        self.events.discard_partial();
        if !stopping {
            return self.was_moved().await;
        }
        let Some(moving) = &mut self.moving else {
            return false;
        };
        match timeout(self.call.time_left(), moving.outcome.as_mut()).await {
            Ok(outcome) => self.moved(outcome).await,
            Err(_) => false,
        }
    }

    /// The stream ended without its end: goes on where a scout has moved the run, if one has.
    async fn was_moved(&mut self) -> bool {
        let Some(id) = self.call.head.id.clone() else {
            return false;
        };
        let engine = self.placed.record.address;
        let Some(moved) = self.relay.moved_runs().wait(&id, engine).await else {
            return false;
        };
        tracing::info!(id = self.call.id(), from = %engine, to = ?moved.target, "move: the run goes on elsewhere");
        let MovedRun { target, handle, .. } = moved;
        let regions = self.relay.table().regions_now(&self.call.admitted);
        let need = PlacementRequest {
            regions: &regions,
            ..PlacementRequest::new(&self.call.service, 0, self.tokens)
        };
        let target = target.and_then(|address| {
            let engine = EngineHere {
                address,
                service: self.call.service.clone(),
                zone: self.placed.record.zone.clone(),
            };
            let placed = self.relay.place_moved(&engine, &need);
            if placed.is_none() {
                // The run may not go there: from where it goes back to, it is moved elsewhere.
                self.refusing = self.relay.fleet().key_at(address);
            }
            placed
        });
        if let Some(target) = &target {
            self.relay.announce_sent(target, self.call.head.id.as_ref());
        }
        match target {
            Some(target) => self.resume(target, &handle).await,
            None => self.go_back(&handle).await,
        }
    }

    /// How much longer the run is expected to take.
    fn rest(&self) -> Duration {
        let stride = self.call.tokens_per_event();
        let made = self.events.count() as u32;
        let token = match made {
            0 | 1 => TOKEN_TIME,
            made => self.latest.duration_since(self.first) / ((made - 1) * stride),
        };
        let left = expected_output(&self.call).saturating_sub(made * stride);
        // Half of the runs outlive their estimate, by about as much again.
        token * left.max(made * stride / 2)
    }
}
