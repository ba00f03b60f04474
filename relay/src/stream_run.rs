//! A run of a stream: its events relayed as they come, through the moves to other engines.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::dialect::Copied;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::progress_timeout;
use cicada_lib::routing::ServerKey;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer::StreamAborted;
use crate::attempts::Attempts;
use crate::attempts::SendFailure;
use crate::events::EventSplitter;
use crate::exchange::Call;
use crate::moved_runs::LocalRunGuard;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::send::NoAnswer;
use crate::send::StartedAnswer;
use crate::stream::Begin;
use crate::stream::note;
use crate::stream::send_run;
use crate::upstream::Connection;

type Moving = Pin<Box<dyn Future<Output = Result<Copied, MoveError>> + Send>>;

/// A run and its way to the caller.
pub(crate) struct Run {
    pub(crate) relay: Arc<Relay>,
    pub(crate) call: Call,
    pub(crate) placed: PlacedRequest,
    // Tokens that it is expected to hold at its end.
    pub(crate) tokens: u64,
    pub(crate) attempts: Attempts,
    // `None` while it has stopped at one engine and not begun at the next.
    pub(crate) source: Option<(Incoming, Connection)>,
    pub(crate) events: EventSplitter,
    pub(crate) sender: mpsc::Sender<Result<Bytes, StreamAborted>>,
    // When the answer began, and when the latest event came.
    pub(crate) first: Instant,
    pub(crate) latest: Instant,
    // The longest pause between two events.
    pub(crate) longest: Duration,
    // When the run that goes on now began at its engine.
    pub(crate) begun: Instant,
    pub(crate) moving: Option<Move>,
    pub(crate) failed_moves: u32,
    // When a run whose engine leaves is to be looked at again: events come faster than that.
    pub(crate) look_again: Instant,
    // Tells that word of the run's moves is wanted here.
    pub(crate) _registration: Option<LocalRunGuard>,
    // The target that did not take the run, since when it runs on at an engine that may be leaving.
    pub(crate) refusing: Option<ServerKey>,
    // When the last event before a move came, until the first one after it.
    pub(crate) resumed: Option<Instant>,
}

/// A move under way.
pub(crate) struct Move {
    pub(crate) target: PlacedRequest,
    pub(crate) step: MoveStep,
    pub(crate) outcome: Moving,
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
        placed: PlacedRequest,
        answered: StartedAnswer,
        tokens: u64,
        attempts: Attempts,
        sender: mpsc::Sender<Result<Bytes, StreamAborted>>,
    ) -> Self {
        let now = Instant::now();
        let events = EventSplitter::after(call.last_event_id());
        let registration = call
            .head
            .id
            .as_ref()
            .map(|id| relay.moved_runs().register(id));
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
            _registration: registration,
            refusing: None,
            resumed: None,
        }
    }

    /// Relays the run's events to its end.
    pub(crate) async fn pump(mut self) {
        let mut leaving = self.relay.subscribe_leaving();
        let ending = self.relay_events(&mut leaving).await;
        let word = match ending {
            Ending::Complete => "complete",
            Ending::CallerGone => "caller_gone",
            Ending::TimeOver => "time_over",
            Ending::Lost => "lost",
        };
        self.relay.metrics().count_answer(word);
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
                self.placed.record_success();
                let rest = self.events.take_remainder();
                if !rest.is_empty() {
                    drop(self.sender.send(Ok(rest)).await);
                }
            }
            Ending::CallerGone => {}
            Ending::TimeOver | Ending::Lost => {
                drop(self.sender.send(Err(StreamAborted)).await);
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
                    if !self.survives_loss().await && !self.begin_again(NoAnswer::Unknown).await {
                        return Ending::Lost;
                    }
                }
                Wake::Leaving => self.consider_move(),
                Wake::Silent => {
                    if !self.begin_again(NoAnswer::Silent).await {
                        return Ending::Lost;
                    }
                }
                Wake::Moved(outcome) => {
                    if !self.moved(outcome).await && !self.begin_again(NoAnswer::Unknown).await {
                        return Ending::Lost;
                    }
                }
            }
        }
    }

    async fn wake(&mut self, leaving: &mut watch::Receiver<u64>) -> Wake {
        let recheck = self.placed.leaving_since().is_some() && self.moving.is_none();
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
            () = sleep_until(silent.unwrap_or(self.call.timer_deadline)), if silent.is_some() => Wake::Silent,
            () = sleep_until(self.call.timer_deadline) => Wake::TimeOver,
        }
    }

    /// Passes whole events on; `false` where the caller has gone.
    pub(crate) async fn forward(&mut self, data: &[u8]) -> bool {
        let Some(whole) = self.events.push(data) else {
            return !self.events.is_partial_too_long();
        };
        let now = Instant::now();
        let pause = now.duration_since(self.latest);
        self.latest = now;
        if self.first_event() {
            self.placed.record_first_event();
            self.first = now;
            let took = self.call.arrived.elapsed();
            self.relay.metrics().observe_first_response(took);
            let expected = self.placed.basis.prefill_backlog;
            self.relay.metrics().count_first_event(expected, took);
        } else {
            self.longest = self.longest.max(pause);
        }
        if let Some(before) = self.resumed.take() {
            let gap = before.elapsed();
            self.relay.metrics().observe_move_gap(gap);
            let gap = gap.as_millis() as u64;
            tracing::info!(id = self.call.id(), gap, server = %self.placed.record.id, "move: went on");
        }
        self.sender.send(Ok(whole)).await.is_ok()
    }

    /// When the run is given up at its engine for making no progress. `None` where it may go on nowhere
    /// else, or is being moved.
    fn silent_at(&self) -> Option<Instant> {
        let policy = self.relay.policy();
        let may = policy.resume && policy.patience && self.attempts.may_retry(&self.call);
        if self.moving.is_some() || !may {
            return None;
        }
        let route = &self.call.admitted.route;
        let reading = self.placed.prefill_backlog();
        Some(match self.latest > self.begun {
            true => self.latest + progress_timeout::next_event(route.event_gap, reading),
            false => self.begun + progress_timeout::first_event(route.objective, reading),
        })
    }

    fn first_event(&self) -> bool {
        self.events.count() <= 1
    }

    /// Begins another run after the last event, at another engine: the one that made the stream so far has
    /// died or hangs, and nothing of its memory is left. `false` where the stream may not be resumed.
    async fn begin_again(&mut self, no_answer: NoAnswer) -> bool {
        self.moving = None;
        // Closing the connection ends the run there.
        self.source = None;
        self.events.discard_partial();
        let before = self.latest;
        let mut send_failure = SendFailure::NoAnswer(no_answer);
        self.placed.record_failure(false);
        let mut key = self.placed.key;
        let may = self.relay.policy().resume;
        while may
            && self
                .attempts
                .retry_after_failure(&self.relay, &self.call, key, send_failure)
        {
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
            let why = format!("{no_answer:?}");
            tracing::info!(id, from, to, events, why, "stream: resumed in another run");
            let begin = Begin::New {
                last: self.events.last_id().clone(),
                patience: None,
            };
            key = placed.key;
            match send_on(&self.relay, &self.call, &placed, begin).await {
                Ok(answered) => {
                    self.placed = placed;
                    self.go_on(before, answered);
                    return true;
                }
                Err(no_answer) => {
                    note(&self.call, &placed, no_answer);
                    send_failure = SendFailure::NoAnswer(no_answer);
                }
            }
        }
        false
    }

    pub(crate) fn go_on(&mut self, before: Instant, answered: StartedAnswer) {
        self.placed.record_first_event();
        self.source = Some((answered.body, answered.connection));
        self.resumed = Some(before);
        self.begun = Instant::now();
    }
}

/// Sends a run on. An engine's own failure means that it has not gone on, and may have begun to.
pub(crate) async fn send_on(
    relay: &Relay,
    call: &Call,
    target: &PlacedRequest,
    begin: Begin,
) -> Result<StartedAnswer, NoAnswer> {
    let answered = send_run(relay, call, target, begin).await?;
    match answered.parts.status.is_success() {
        true => Ok(answered),
        false => Err(NoAnswer::Unknown),
    }
}
