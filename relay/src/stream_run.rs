//! A run of a stream: its events relayed as they come, through the moves to other engines.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::dialect::Copied;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::dialect::RunMemory;
use cicada_lib::fleet::Need;
use cicada_lib::ids::Name;
use cicada_lib::patience;
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::MovedRun;
use cicada_lib::routing::ServerKey;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::answer::Broken;
use crate::attempts::Attempts;
use crate::attempts::Setback;
use crate::events::Events;
use crate::exchange::Call;
use crate::moved_runs::OwnRun;
use crate::placed::Placed;
use crate::relay::Relay;
use crate::send::Answered;
use crate::send::Unanswered;
use crate::stream::Begin;
use crate::stream::TOKEN_TIME;
use crate::stream::expected_output;
use crate::stream::note;
use crate::stream::send_run;
use crate::upstream::Connection;

/// A run that is expected to end sooner than this stays where it is: an engine that says it leaves
/// stays for 1.5 s and more, and a move costs a pause.
const SHORT_REST: Duration = Duration::from_millis(700);

/// After this a move that found no run is tried again: the run was still being read in.
const MOVE_PAUSE: Duration = Duration::from_millis(80);

/// Moves of one run that may fail before it is left where it is.
const MOST_MOVES: u32 = 8;

/// How long the events of a stopped run are awaited that are still on their way.
const TAIL_TIME: Duration = Duration::from_millis(150);

type Moving = Pin<Box<dyn Future<Output = Result<Copied, MoveError>> + Send>>;

/// A run and its way to the caller.
pub(crate) struct Run {
    relay: Arc<Relay>,
    call: Call,
    placed: Placed,
    // Tokens that it is expected to hold at its end.
    tokens: u64,
    attempts: Attempts,
    // `None` while it has stopped at one engine and not begun at the next.
    source: Option<(Incoming, Connection)>,
    events: Events,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
    // When the answer began, and when the latest event came.
    first: Instant,
    latest: Instant,
    // The longest pause between two events.
    longest: Duration,
    // When the run that goes on now began at its engine.
    begun: Instant,
    moving: Option<Move>,
    failed_moves: u32,
    // When a run whose engine leaves is to be looked at again: events come faster than that.
    look_again: Instant,
    // Tells that word of the run's moves is wanted here.
    _own: Option<OwnRun>,
    // The target that did not take the run, since when it runs on at an engine that may be leaving.
    refusing: Option<ServerKey>,
    // When the last event before a move came, until the first one after it.
    resumed: Option<Instant>,
}

/// A move under way.
struct Move {
    target: Placed,
    step: MoveStep,
    outcome: Moving,
}

/// What a stream's task woke for.
enum Wake {
    CallerGone,
    TimeOver,
    Data(Bytes),
    End,
    Lost,
    Leaving,
    Silent,
    Moved(Result<Copied, MoveError>),
}

/// How a run ended.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Complete,
    CallerGone,
    TimeOver,
    Lost,
}

impl Run {
    /// The run whose answer has begun.
    pub(crate) fn new(
        relay: &Arc<Relay>,
        call: Call,
        placed: Placed,
        answered: Answered,
        tokens: u64,
        attempts: Attempts,
        sender: mpsc::Sender<Result<Bytes, Broken>>,
    ) -> Self {
        let now = Instant::now();
        let events = Events::after(call.last_event());
        let own = call.head.id.as_ref().map(|id| relay.moved().watch(id));
        Run {
            relay: relay.clone(),
            call,
            placed,
            tokens,
            attempts,
            source: Some((answered.body, answered.connection)),
            events,
            sender,
            first: now,
            latest: now,
            longest: Duration::ZERO,
            begun: now,
            moving: None,
            failed_moves: 0,
            look_again: now,
            _own: own,
            refusing: None,
            resumed: None,
        }
    }

    /// Relays the run's events to its end.
    pub(crate) async fn pump(mut self) {
        let mut leaving = self.relay.leaving();
        let ending = self.relay_events(&mut leaving).await;
        let word = match ending {
            Ending::Complete => "complete",
            Ending::CallerGone => "caller_gone",
            Ending::TimeOver => "time_over",
            Ending::Lost => "lost",
        };
        self.relay.figures().answer(word);
        let events = self.events.count();
        let waited = self.call.arrived.elapsed().as_millis() as u64;
        let server = self.placed.record.id.as_str();
        tracing::info!(
            id = self.call.id(),
            server,
            word,
            events,
            first = self.first.duration_since(self.call.arrived).as_millis() as u64,
            longest = self.longest.as_millis() as u64,
            waited,
            "stream: ended"
        );
        match ending {
            Ending::Complete => {
                self.placed.went_well();
                let rest = self.events.rest();
                if !rest.is_empty() {
                    drop(self.sender.send(Ok(rest)).await);
                }
            }
            Ending::CallerGone => {}
            Ending::TimeOver | Ending::Lost => {
                drop(self.sender.send(Err(Broken)).await);
            }
        }
    }

    async fn relay_events(&mut self, leaving: &mut watch::Receiver<u64>) -> Ending {
        self.consider_move();
        loop {
            match self.wake(leaving).await {
                Wake::CallerGone => return Ending::CallerGone,
                Wake::TimeOver => return Ending::TimeOver,
                Wake::Data(data) => {
                    if !self.forward(&data).await {
                        return Ending::CallerGone;
                    }
                }
                Wake::End => return Ending::Complete,
                Wake::Lost => {
                    if !self.survives_loss().await && !self.begin_again(Unanswered::Unknown).await {
                        return Ending::Lost;
                    }
                }
                Wake::Leaving => self.consider_move(),
                Wake::Silent => {
                    if !self.begin_again(Unanswered::Silent).await {
                        return Ending::Lost;
                    }
                }
                Wake::Moved(outcome) => {
                    if !self.moved(outcome).await && !self.begin_again(Unanswered::Unknown).await {
                        return Ending::Lost;
                    }
                }
            }
        }
    }

    async fn wake(&mut self, leaving: &mut watch::Receiver<u64>) -> Wake {
        let recheck = self.placed.leaving().is_some() && self.moving.is_none();
        let silent = self.silent_at();
        let moving = async {
            match &mut self.moving {
                Some(moving) => moving.outcome.as_mut().await,
                None => std::future::pending().await,
            }
        };
        let frame = async {
            match &mut self.source {
                Some((body, _)) => body.frame().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.sender.closed() => Wake::CallerGone,
            frame = frame => match frame {
                None => Wake::End,
                Some(Err(_)) => Wake::Lost,
                Some(Ok(frame)) => Wake::Data(frame.into_data().unwrap_or_default()),
            },
            outcome = moving => Wake::Moved(outcome),
            _ = leaving.changed() => Wake::Leaving,
            () = sleep_until(self.look_again), if recheck => Wake::Leaving,
            () = sleep_until(silent.unwrap_or(self.call.limit)), if silent.is_some() => Wake::Silent,
            () = sleep_until(self.call.limit) => Wake::TimeOver,
        }
    }

    /// Passes whole events on; `false` where the caller has gone.
    async fn forward(&mut self, data: &[u8]) -> bool {
        let Some(whole) = self.events.push(data) else {
            return !self.events.is_overfull();
        };
        let now = Instant::now();
        let pause = now.duration_since(self.latest);
        self.latest = now;
        if self.first_event() {
            self.placed.began();
            self.first = now;
            let took = self.call.arrived.elapsed();
            self.relay.figures().first(took);
            let expected = self.placed.basis.reading;
            self.relay.figures().start(expected, took);
        } else {
            self.longest = self.longest.max(pause);
        }
        if let Some(before) = self.resumed.take() {
            let gap = before.elapsed();
            self.relay.figures().gap(gap);
            let gap = gap.as_millis() as u64;
            tracing::info!(id = self.call.id(), gap, server = %self.placed.record.id, "move: went on");
        }
        self.sender.send(Ok(whole)).await.is_ok()
    }

    /// When the run is given up at its engine for making no progress. `None` where it may go on nowhere
    /// else, or is being moved.
    fn silent_at(&self) -> Option<Instant> {
        let policy = self.relay.policy();
        let may = policy.resume && policy.patience && self.attempts.may_repeat(&self.call);
        if self.moving.is_some() || !may {
            return None;
        }
        let route = &self.call.admitted.route;
        let reading = self.placed.reading();
        Some(match self.latest > self.begun {
            true => self.latest + patience::next_event(route.gap, reading),
            false => self.begun + patience::first_event(route.objective, reading),
        })
    }

    fn first_event(&self) -> bool {
        self.events.count() <= 1
    }

    /// Begins a move where the engine leaves and the run is not about to end.
    fn consider_move(&mut self) {
        self.look_again = Instant::now() + MOVE_PAUSE;
        if self.moving.is_some() || self.placed.leaving().is_none() {
            return;
        }
        let may = self
            .call
            .spec
            .engine
            .as_ref()
            .is_some_and(|engine| engine.moves);
        if !may || self.failed_moves >= MOST_MOVES || self.rest() < SHORT_REST {
            return;
        }
        // The scout sees all runs of the engine and moves them one after the other.
        let now = self.relay.now();
        let scout = self.relay.fleet().has_scout(now, self.placed.key);
        // One that came back has been moved, for all that its scout knows.
        if scout && self.refusing.is_none() {
            return;
        }
        self.begin_move(MoveStep::Copy, None);
    }

    fn begin_move(&mut self, step: MoveStep, target: Option<Placed>) {
        let target = match target {
            Some(target) => target,
            None => {
                // Between regions a copy takes ten times as long, which is more than there is.
                let zone = self.placed.record.zone.clone();
                let tried: Vec<ServerKey> =
                    [self.placed.key].into_iter().chain(self.refusing).collect();
                let regions = self.relay.table().regions_now(&self.call.admitted);
                let need = Need {
                    tried: &tried,
                    zone: Some(&zone),
                    regions: &regions,
                    ..Need::new(&self.call.service, 0, self.tokens)
                };
                let Ok(target) = self.relay.place(&need, &self.call.spec, None) else {
                    return;
                };
                self.relay.tell_sent(&target, self.call.head.id.as_ref());
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
    async fn moved(&mut self, outcome: Result<Copied, MoveError>) -> bool {
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
                self.relay.figures().moved("no_room");
                self.failed_moves += 1;
                self.read_tail().await;
                self.go_back(&handle).await
            }
            (_, Err(error)) => {
                tracing::info!(id, from, to, ?step, %error, "move: a step failed");
                self.relay.figures().moved("failed");
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
        self.events.forget_rest();
    }

    /// Goes on at the target; where that refuses, at the engine that stopped.
    async fn resume(&mut self, target: Placed, handle: &Name) -> bool {
        let before = self.latest;
        let from = self.placed.record.address;
        let begin = self.memory(from, handle);
        match send_on(&self.relay, &self.call, &target, begin).await {
            Ok(answered) => {
                self.relay.figures().moved("done");
                self.refusing = None;
                self.placed = target;
                self.go_on(before, answered);
                true
            }
            Err(Unanswered::Refused | Unanswered::Unreached | Unanswered::Elsewhere) => {
                self.relay.figures().moved("refused");
                self.failed_moves += 1;
                tracing::info!(id = self.call.id(), target = %target.record.address, "move: the target did not take the run");
                self.refusing = Some(target.key);
                self.go_back(handle).await
            }
            Err(Unanswered::Unknown | Unanswered::Silent | Unanswered::TimeOver) => {
                self.relay.figures().moved("lost");
                false
            }
        }
    }

    async fn go_back(&mut self, handle: &Name) -> bool {
        let before = self.latest;
        let key = self.placed.key;
        let regions = self.relay.table().regions_now(&self.call.admitted);
        if !self.relay.fleet().may_get(key, &regions) {
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
        if !self.relay.take_retry(&self.call.service, 0.0) {
            self.relay.figures().retry("move_over_bound");
        }
        Begin::Moved {
            memory: RunMemory {
                from,
                handle: handle.clone(),
            },
            last: self.events.last().clone(),
        }
    }

    /// Begins another run after the last event, at another engine: the one that made the stream so far has
    /// died or hangs, and nothing of its memory is left. `false` where the stream may not be resumed.
    async fn begin_again(&mut self, unanswered: Unanswered) -> bool {
        self.moving = None;
        // Closing the connection ends the run there.
        self.source = None;
        self.events.forget_rest();
        let before = self.latest;
        let mut setback = Setback::Unanswered(unanswered);
        self.placed.failed(false);
        let mut key = self.placed.key;
        let may = self.relay.policy().resume;
        while may && self.attempts.goes_on(&self.relay, &self.call, key, setback) {
            let placed = self
                .attempts
                .place(&self.relay, &self.call, self.tokens, None)
                .await;
            let Ok(placed) = placed else {
                break;
            };
            let id = self.call.id();
            let (from, to) = (self.placed.record.id.as_str(), placed.record.id.as_str());
            let events = self.events.count();
            let why = format!("{unanswered:?}");
            tracing::info!(id, from, to, events, why, "stream: resumed in another run");
            let begin = Begin::New {
                last: self.events.last().clone(),
                patience: None,
            };
            key = placed.key;
            match send_on(&self.relay, &self.call, &placed, begin).await {
                Ok(answered) => {
                    self.placed = placed;
                    self.go_on(before, answered);
                    return true;
                }
                Err(unanswered) => {
                    note(&self.call, &placed, unanswered);
                    setback = Setback::Unanswered(unanswered);
                }
            }
        }
        false
    }

    fn go_on(&mut self, before: Instant, answered: Answered) {
        self.placed.began();
        self.source = Some((answered.body, answered.connection));
        self.resumed = Some(before);
        self.begun = Instant::now();
    }

    /// The stream broke. While a move stops the run that is as it should be.
    async fn survives_loss(&mut self) -> bool {
        let stopping = self
            .moving
            .as_ref()
            .is_some_and(|m| m.step == MoveStep::Stop);
        self.source = None;
        self.events.forget_rest();
        if !stopping {
            return self.was_moved().await;
        }
        let Some(moving) = &mut self.moving else {
            return false;
        };
        match timeout(self.call.left(), moving.outcome.as_mut()).await {
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
        let Some(moved) = self.relay.moved().wait(&id, engine).await else {
            return false;
        };
        tracing::info!(id = self.call.id(), from = %engine, to = ?moved.target, "move: the run goes on elsewhere");
        let MovedRun { target, handle, .. } = moved;
        let regions = self.relay.table().regions_now(&self.call.admitted);
        let need = Need {
            regions: &regions,
            ..Need::new(&self.call.service, 0, self.tokens)
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
            self.relay.tell_sent(target, self.call.head.id.as_ref());
        }
        match target {
            Some(target) => self.resume(target, &handle).await,
            None => self.go_back(&handle).await,
        }
    }

    /// How much longer the run is expected to take.
    fn rest(&self) -> Duration {
        let stride = self.call.stride();
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

/// Sends a run on. An engine's own failure means that it has not gone on, and may have begun to.
async fn send_on(
    relay: &Relay,
    call: &Call,
    target: &Placed,
    begin: Begin,
) -> Result<Answered, Unanswered> {
    let answered = send_run(relay, call, target, begin).await?;
    match answered.parts.status.is_success() {
        true => Ok(answered),
        false => Err(Unanswered::Unknown),
    }
}
