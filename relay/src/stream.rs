//! Streams: events relayed as they come, from one run, which may be moved to another engine.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::dialect::Copied;
use cicada_lib::dialect::Dispatch;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::dialect::Resume;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Need;
use cicada_lib::ids::Name;
use cicada_lib::move_plan;
use cicada_lib::peer_words::MovedRun;
use cicada_lib::routing::ServerKey;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::answer::AnswerBody;
use crate::answer::Broken;
use crate::answer::OwnAnswer;
use crate::events::Events;
use crate::exchange::Call;
use crate::exchange::ELSEWHERE;
use crate::exchange::returned;
use crate::moved_runs::OwnRun;
use crate::relay::Placed;
use crate::relay::Relay;
use crate::upstream;
use crate::upstream::Connection;
use crate::upstream::SendError;

/// Servers that are tried to be reached for one request.
const MOST_CONNECTS: usize = 4;

/// The part of a service's further sends that streams leave for moves of runs.
const SPARE: f64 = 0.35;

/// Parts of an answer that wait for a caller who reads slowly.
const WAITING_PARTS: usize = 32;

/// A run that is expected to end sooner than this stays where it is: an engine that says it leaves
/// stays for 1.5 s and more, and a move costs a pause.
const SHORT_REST: Duration = Duration::from_millis(700);

/// The part of the grace that is left while a drain is early.
const EARLY_PART: f64 = 0.7;

/// Events that a run makes in less than a second.
const SHORT_EVENTS: u32 = 16;

/// The time to the first event, as a bound: few wait longer.
const START_TIME: Duration = Duration::from_millis(1_500);

/// The time for a token before one was seen: a step of an engine with a usual batch.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// After this a move that found no run is tried again: the run was still being read in.
const MOVE_PAUSE: Duration = Duration::from_millis(80);

/// Moves of one run that may fail before it is left where it is.
const MOST_MOVES: u32 = 8;

/// How long the events of a stopped run are awaited that are still on their way.
const TAIL_TIME: Duration = Duration::from_millis(150);

type Moving = Pin<Box<dyn Future<Output = Result<Copied, MoveError>> + Send>>;

/// What came of a send to an engine.
enum Sent {
    Began(Began),
    /// The engine answered with something else than a stream.
    Other(http::response::Parts, Incoming, Connection),
    Refused,
    Unreached,
    /// Another server is at the address, and did not run the request.
    Elsewhere,
    Unknown,
    TimeOver,
}

/// A run whose answer has begun.
struct Began {
    parts: http::response::Parts,
    body: Incoming,
    connection: Connection,
}

/// Serves a streaming request.
pub(crate) async fn serve(relay: &Arc<Relay>, call: Call) -> Response<AnswerBody> {
    if let Some(left) = relay
        .grace_left()
        .filter(|left| outlasts(relay, &call, *left))
    {
        relay.figures().refusal("draining");
        tracing::info!(
            id = call.id(),
            ?left,
            "stream: refused, this relay may end before it does"
        );
        return OwnAnswer::NotRun(ELSEWHERE).response();
    }
    let tokens = expected_tokens(&call);
    let mut tried: Vec<ServerKey> = Vec::new();
    let mut ran = false;
    let mut sent = 0;
    let mut refused = false;
    for _ in 0..MOST_CONNECTS {
        let need = Need {
            service: &call.service,
            prompt: u64::from(call.head.prompt),
            tokens,
            tried: &tried,
            zone: None,
        };
        let Ok(placed) = relay.place(&need, &call.spec) else {
            break;
        };
        tracing::info!(
            id = call.id(),
            route = %call.admitted.route.name,
            version = call.admitted.version,
            server = %placed.record.id,
            tokens,
            used = placed.basis.used,
            age = placed.basis.age,
            "stream: placed"
        );
        let outcome = send(relay, &call, &placed, None).await;
        let id = call.id();
        let server = placed.record.id.as_str();
        let waited = call.arrived.elapsed().as_millis() as u64;
        match outcome {
            Sent::Began(began) => {
                return stream(relay, call, placed, began, tokens);
            }
            Sent::Other(parts, body, connection) => {
                return other(&call, placed, parts, body, connection).await;
            }
            Sent::Unreached => {
                placed.failed(true);
                tried.push(placed.key);
                tracing::info!(id, server, waited, "stream: server not reached");
                continue;
            }
            Sent::Elsewhere => {
                tried.push(placed.key);
                if !relay.take_retry(&call.service, SPARE) {
                    break;
                }
                continue;
            }
            Sent::Refused => {
                tracing::info!(id, server, waited, "stream: refused by the server");
                tried.push(placed.key);
                refused = true;
            }
            Sent::Unknown | Sent::TimeOver => {
                placed.failed(false);
                tracing::info!(id, server, waited, "stream: lost before its first event");
                ran = true;
            }
        }
        sent += 1;
        if ran || sent >= call.admitted.route.attempts || !relay.take_retry(&call.service, SPARE) {
            break;
        }
        relay.figures().retry("refused");
    }
    conclude(relay, &call, ran, refused)
}

fn conclude(relay: &Relay, call: &Call, ran: bool, refused: bool) -> Response<AnswerBody> {
    let id = call.id();
    let waited = call.arrived.elapsed().as_millis() as u64;
    let (outcome, own) = match (ran, call.left().is_zero()) {
        (false, _) => ("not_run", OwnAnswer::NotRun(come_back(call, refused))),
        (true, true) => ("time_over", OwnAnswer::TimeOver),
        (true, false) => ("unknown", OwnAnswer::Failed),
    };
    relay.figures().answer(outcome);
    tracing::info!(id, outcome, waited, service = %call.service, "stream: own answer");
    own.response()
}

/// When a caller that was turned away may come back. An engine that `refused` is full for a moment; where
/// none could be reached, new ones are there in one to three seconds.
fn come_back(call: &Call, refused: bool) -> Duration {
    let (least, most) = match refused {
        true => (Duration::from_millis(150), Duration::from_millis(500)),
        false => (Duration::from_millis(900), Duration::from_millis(2_600)),
    };
    let pause = least + (most - least).mul_f64(fastrand::f64());
    pause.min(call.left() / 3)
}

/// Tokens that the request is expected to hold at its end.
fn expected_tokens(call: &Call) -> u64 {
    u64::from(call.head.prompt) + u64::from(expected_output(call))
}

fn expected_output(call: &Call) -> u32 {
    call.head
        .hint
        .unwrap_or(call.head.output / 2)
        .min(call.head.output)
}

/// Whether the stream may take longer than the relay, which drains, is `left`. Early in the drain its
/// expected length counts, and few are longer by all that is left; later the longest that it may have,
/// since a wrong estimate would be cut.
fn outlasts(relay: &Relay, call: &Call, left: Duration) -> bool {
    let early = left > relay.grace().mul_f64(EARLY_PART);
    let tokens = match early {
        true => expected_output(call),
        false => call.head.output,
    };
    START_TIME + TOKEN_TIME * tokens > left
}

/// Whether the run is expected to end before an engine that says it leaves is gone.
fn is_short(call: &Call) -> bool {
    let stride = call
        .spec
        .engine
        .as_ref()
        .map_or(1, |engine| engine.stride.max(1));
    expected_output(call) / stride <= SHORT_EVENTS
}

async fn send(relay: &Relay, call: &Call, placed: &Placed, resume: Option<Resume>) -> Sent {
    let address = placed.record.address;
    let prepared = match (&resume, &call.head.id) {
        (Some(_), Some(id)) => relay.moved().prepared(id, address),
        _ => None,
    };
    let opened = match prepared {
        Some(opened) => opened,
        None => match timeout_at(call.limit, upstream::open(address)).await {
            Err(_) | Ok(Err(SendError::NotSent(_))) => return Sent::Unreached,
            Ok(Err(SendError::Lost(_))) => return Sent::Unknown,
            Ok(Ok(opened)) => opened,
        },
    };
    let dispatch = Dispatch {
        server: Fleet::expected_id(&placed.record),
        workspace: call.admitted.workspace.clone(),
        left: call.left(),
        rank: Some(move_plan::rank(call.admitted.priority, is_short(call))),
        resume,
        backup: None,
    };
    let request = call.request(relay, &dispatch);
    let answer = match timeout_at(call.limit, opened.send(request)).await {
        Err(_) => return Sent::TimeOver,
        Ok(Err(_)) => return Sent::Unknown,
        Ok(Ok(answer)) => answer,
    };
    let (parts, body) = answer.response.into_parts();
    let head = relay.dialect().answer_head(parts.status, &parts.headers);
    if head.id.is_some() && head.id != call.head.id {
        return Sent::Unknown;
    }
    if let Some(other) = &head.other {
        placed.is_other(other);
        return Sent::Elsewhere;
    }
    if head.refused {
        return Sent::Refused;
    }
    let connection = answer.connection;
    if !parts.status.is_success() {
        return Sent::Other(parts, body, connection);
    }
    if !head.signed {
        return Sent::Unknown;
    }
    Sent::Began(Began {
        parts,
        body,
        connection,
    })
}

/// Relays an answer that is no stream: a failure of the engine's own.
async fn other(
    call: &Call,
    placed: Placed,
    parts: http::response::Parts,
    body: Incoming,
    connection: Connection,
) -> Response<AnswerBody> {
    placed.failed(false);
    let status = parts.status.as_u16();
    tracing::info!(id = call.id(), server = %placed.record.id, status, "stream: failed by the server");
    let bytes = match timeout_at(call.limit, body.collect()).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        _ => return OwnAnswer::Failed.response(),
    };
    drop(connection);
    let mut response = Response::new(AnswerBody::whole(bytes));
    *response.status_mut() = parts.status;
    *response.headers_mut() = returned(&parts.headers);
    response
}

fn stream(
    relay: &Arc<Relay>,
    call: Call,
    placed: Placed,
    began: Began,
    tokens: u64,
) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(WAITING_PARTS);
    let mut response = Response::new(AnswerBody::parts(receiver));
    *response.status_mut() = began.parts.status;
    *response.headers_mut() = returned(&began.parts.headers);
    let now = Instant::now();
    let own = call.head.id.as_ref().map(|id| relay.moved().watch(id));
    let run = Run {
        _own: own,
        relay: relay.clone(),
        call,
        placed,
        tokens,
        source: Some((began.body, began.connection)),
        events: Events::default(),
        sender,
        first: now,
        latest: now,
        moving: None,
        failed_moves: 0,
        resumed: None,
    };
    tokio::spawn(run.pump());
    response
}

/// A run and its way to the caller.
struct Run {
    relay: Arc<Relay>,
    call: Call,
    placed: Placed,
    // Tokens that it is expected to hold at its end.
    tokens: u64,
    // `None` while it has stopped at one engine and not begun at the next.
    source: Option<(Incoming, Connection)>,
    events: Events,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
    // When the answer began, and when the latest event came.
    first: Instant,
    latest: Instant,
    moving: Option<Move>,
    failed_moves: u32,
    // Tells that word of the run's moves is wanted here.
    _own: Option<OwnRun>,
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
    async fn pump(mut self) {
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
                    if !self.survives_loss().await {
                        return Ending::Lost;
                    }
                }
                Wake::Leaving => self.consider_move(),
                Wake::Moved(outcome) => {
                    if !self.moved(outcome).await {
                        return Ending::Lost;
                    }
                }
            }
        }
    }

    async fn wake(&mut self, leaving: &mut watch::Receiver<u64>) -> Wake {
        let recheck = self.placed.leaving().is_some() && self.moving.is_none();
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
            () = sleep(MOVE_PAUSE), if recheck => Wake::Leaving,
            () = sleep_until(self.call.limit) => Wake::TimeOver,
        }
    }

    /// Passes whole events on; `false` where the caller has gone.
    async fn forward(&mut self, data: &[u8]) -> bool {
        let Some(whole) = self.events.push(data) else {
            return !self.events.is_overfull();
        };
        self.latest = Instant::now();
        if self.first_event() {
            self.placed.began();
            self.first = self.latest;
            self.relay.figures().first(self.call.arrived.elapsed());
        }
        if let Some(before) = self.resumed.take() {
            let gap = before.elapsed();
            self.relay.figures().gap(gap);
            let gap = gap.as_millis() as u64;
            tracing::info!(id = self.call.id(), gap, server = %self.placed.record.id, "move: went on");
        }
        self.sender.send(Ok(whole)).await.is_ok()
    }

    fn first_event(&self) -> bool {
        self.events.count() <= 1
    }

    /// Begins a move where the engine leaves and the run is not about to end.
    fn consider_move(&mut self) {
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
        if self.relay.fleet().has_scout(now, self.placed.key) {
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
                let need = Need {
                    service: &self.call.service,
                    prompt: 0,
                    tokens: self.tokens,
                    tried: &[self.placed.key],
                    zone: Some(&zone),
                };
                let Ok(target) = self.relay.place(&need, &self.call.spec) else {
                    return;
                };
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
        let resume = self.resume_point(from, handle);
        match send(&self.relay, &self.call, &target, Some(resume)).await {
            Sent::Began(began) => {
                self.relay.figures().moved("done");
                self.placed = target;
                self.go_on(before, began);
                true
            }
            Sent::Refused | Sent::Unreached | Sent::Elsewhere => {
                self.relay.figures().moved("refused");
                self.failed_moves += 1;
                self.go_back(handle).await
            }
            _ => {
                self.relay.figures().moved("lost");
                false
            }
        }
    }

    async fn go_back(&mut self, handle: &Name) -> bool {
        let before = self.latest;
        let key = self.placed.key;
        let from = self.placed.record.address;
        let resume = self.resume_point(from, handle);
        match send(&self.relay, &self.call, &self.placed, Some(resume)).await {
            Sent::Began(began) => {
                self.go_on(before, began);
                true
            }
            _ => {
                tracing::info!(id = self.call.id(), ?key, "move: the run could not go on");
                false
            }
        }
    }

    /// Where the run goes on that the engine at `from` holds.
    fn resume_point(&self, from: std::net::SocketAddr, handle: &Name) -> Resume {
        // Counted against the service's bound like any other further send, but never held back: the
        // run would be lost, and its caller would send the whole again.
        if !self.relay.take_retry(&self.call.service, 0.0) {
            self.relay.figures().retry("move_over_bound");
        }
        Resume {
            from,
            handle: handle.clone(),
            last: self.events.last().clone(),
        }
    }

    fn go_on(&mut self, before: Instant, began: Began) {
        self.placed.began();
        self.source = Some((began.body, began.connection));
        self.resumed = Some(before);
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
        let need = Need {
            service: &self.call.service,
            prompt: 0,
            tokens: self.tokens,
            tried: &[],
            zone: None,
        };
        let target = target.and_then(|address| self.relay.place_at(address, &need));
        match target {
            Some(target) => self.resume(target, &handle).await,
            None => self.go_back(&handle).await,
        }
    }

    /// How much longer the run is expected to take.
    fn rest(&self) -> Duration {
        let stride = self
            .call
            .spec
            .engine
            .as_ref()
            .map_or(1, |e| e.stride.max(1));
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
