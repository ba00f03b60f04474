//! Relays the events of a run as they arrive, across moves of the run to other engines.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::body_end::Framing;
use cicada_lib::body_end::Stop;
use cicada_lib::dialect::Copied;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::event_splitter::EventSplitter;
use cicada_lib::migration::run_stops::StopKey;
use cicada_lib::progress_timeout;
use cicada_lib::routing::ServerKey;
use cicada_lib::suspects::PROBATION_TOKENS;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::attempts::Attempts;
use crate::attempts::SendFailure;
use crate::event_queue::EventSender;
use crate::event_queue::QueueError;
use crate::exchange::Call;
use crate::local_runs::LocalRunGuard;
use crate::placed_request::PlacedRequest;
use crate::planned_moves::HeldCopy;
use crate::relay::Relay;
use crate::run_handoff::MoveState;
use crate::run_handoff::PlannedMove;
use crate::send::NoAnswer;
use crate::send::StartedAnswer;
use crate::stream::RunStart;
use crate::stream::StartedRun;
use crate::stream::record_unanswered;
use crate::stream::send_run;
use crate::stream_observer::StreamObserver;
use crate::upstream::Connection;

pub(crate) type MoveFuture = Pin<Box<dyn Future<Output = Result<Copied, MoveError>> + Send>>;

/// A streamed run, and the state of relaying it to its caller.
pub(crate) struct Run {
    pub(crate) relay: Arc<Relay>,
    pub(crate) call: Call,
    pub(crate) placed: PlacedRequest,
    pub(crate) observer: StreamObserver,
    // Tokens that the run is expected to hold at its end.
    pub(crate) tokens: u64,
    pub(crate) attempts: Attempts,
    // What was read before the stream began.
    first_read: Option<BodyRead>,
    // `None` after the run has stopped at one engine and before it has started at the next.
    pub(crate) source: Option<(Incoming, Connection)>,
    // How the body at the present engine, or at the last one, is delimited.
    pub(crate) framing: Framing,
    pub(crate) events: EventSplitter,
    pub(crate) sender: EventSender,
    // When the first and the latest event arrived; until the first event, when the answer began.
    pub(crate) first_event_at: Instant,
    pub(crate) last_event_at: Instant,
    // Longest gap between two events.
    pub(crate) longest_gap: Duration,
    // When the run started or was resumed at its present engine.
    pub(crate) started_at: Instant,
    pub(crate) moving: Option<PendingMove>,
    pub(crate) failed_moves: u32,
    pub(crate) planned: MoveState,
    // When to consider a move again while the engine drains. A point in time, because events arrive faster than a
    // timer that starts anew at each of them would elapse.
    pub(crate) next_move_check: Instant,
    // Records where the run is and the stops that were asked for; `None` if the request has no identifier.
    pub(crate) registration: Option<LocalRunGuard>,
    // The copy of a run that may have been stopped. Freed with the run unless the run resumes from it.
    pub(crate) kept_copy: Option<HeldCopy>,
    // Stops whose answers are not awaited any more.
    pub(crate) unanswered: Vec<MoveFuture>,
    // The target that refused the run, or may not take it. The run then resumed at an engine that may be draining.
    pub(crate) refused_target: Option<ServerKey>,
    // Events of the stream before the run began at its present engine.
    pub(crate) events_before: u64,
    // Whether it has been recorded that the run is past its probation there.
    pub(crate) is_harmless: bool,
    // When the last event before an interruption arrived. Cleared by the first event after it.
    pub(crate) paused_since: Option<Instant>,
}

/// A step of a move in progress.
pub(crate) struct PendingMove {
    pub(crate) target: PlacedRequest,
    pub(crate) step: MoveStep,
    // Names the stop in the run's record, for the last step.
    pub(crate) stop: Option<StopKey>,
    pub(crate) outcome: MoveFuture,
    // `None` for a move off a leaving engine.
    pub(crate) plan: Option<PlannedMove>,
}

/// Why the task of a stream woke up.
enum Wake {
    CallerGone,
    TimeOver,
    Body(BodyRead),
    ConsiderMove,
    ConsiderPlannedMove,
    NoProgress,
    MoveStepDone(Result<Copied, MoveError>),
}

/// What a read of an engine's answer brought.
pub(crate) enum BodyRead {
    Data(Bytes),
    Ended(Stop),
}

impl BodyRead {
    /// From the next frame of a body.
    pub(crate) fn of(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            None => BodyRead::Ended(Stop::Announced),
            Some(Err(_)) => BodyRead::Ended(Stop::Failed),
            Some(Ok(frame)) => BodyRead::Data(frame.into_data().unwrap_or_default()),
        }
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StreamEnd {
    Complete,
    CallerGone,
    CallerTooSlow,
    EventTooLong,
    TimeOver,
    Lost,
}

impl Run {
    /// Creates the state of a run whose answer has begun.
    pub(crate) fn new(
        relay: &Arc<Relay>,
        call: Call,
        started: StartedRun,
        tokens: u64,
        attempts: Attempts,
        sender: EventSender,
    ) -> Self {
        let StartedRun {
            placed,
            answered,
            first_read,
            observer,
        } = started;
        let now = Instant::now();
        let events = EventSplitter::after(call.last_event_id());
        let registration = call
            .head
            .id
            .as_ref()
            .map(|id| relay.moved_runs().local().register(id));
        if let Some(run) = &registration {
            run.begin_at(placed.record.address);
        }
        Run {
            relay: relay.clone(),
            call,
            placed,
            observer,
            tokens,
            attempts,
            first_read,
            source: Some((answered.body, answered.connection)),
            framing: answered.framing,
            events,
            sender,
            first_event_at: now,
            last_event_at: now,
            longest_gap: Duration::ZERO,
            started_at: now,
            moving: None,
            failed_moves: 0,
            planned: MoveState::default(),
            next_move_check: now,
            registration,
            kept_copy: None,
            unanswered: Vec::new(),
            refused_target: None,
            events_before: 0,
            is_harmless: false,
            paused_since: None,
        }
    }

    /// Relays the events of the run until the stream ends.
    pub(crate) async fn relay_to_end(mut self) {
        let mut leaving = self.relay.subscribe_leaving();
        let ending = self.relay_events(&mut leaving).await;
        let word = match ending {
            StreamEnd::Complete => "complete",
            StreamEnd::CallerGone => "caller_gone",
            StreamEnd::CallerTooSlow => "caller_too_slow",
            StreamEnd::EventTooLong => "event_too_long",
            StreamEnd::TimeOver => "time_over",
            StreamEnd::Lost => "lost",
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
            first = self
                .first_event_at
                .duration_since(self.call.arrived)
                .as_millis() as u64,
            longest = self.longest_gap.as_millis() as u64,
            waited,
            framing = %self.framing,
            "stream: ended"
        );
        if let StreamEnd::Complete = ending {
            self.placed.record_success();
            self.relay.record_harmless(&self.call);
            let rest = self.events.take_remainder();
            if rest.is_empty() || self.sender.send(rest).await.is_ok() {
                self.sender.complete();
            }
        }
    }

    async fn relay_events(&mut self, leaving: &mut watch::Receiver<u64>) -> StreamEnd {
        self.consider_move();
        loop {
            let wake = match self.first_read.take() {
                Some(read) => Wake::Body(read),
                None => self.next_wake(leaving).await,
            };
            match wake {
                Wake::CallerGone => return StreamEnd::CallerGone,
                Wake::TimeOver => return StreamEnd::TimeOver,
                Wake::Body(BodyRead::Data(data)) => {
                    if let Err(end) = self.forward(&data).await {
                        return end;
                    }
                }
                Wake::Body(BodyRead::Ended(stop)) => {
                    if let Some(end) = self.handle_body_end(stop).await {
                        return end;
                    }
                }
                Wake::ConsiderMove => self.consider_move(),
                Wake::ConsiderPlannedMove => self.consider_planned_move(),
                Wake::NoProgress => {
                    if !self.restart(NoAnswer::Silent).await {
                        return StreamEnd::Lost;
                    }
                }
                Wake::MoveStepDone(outcome) => {
                    if !self.finish_move_step(outcome).await
                        && !self.restart(NoAnswer::Unknown).await
                    {
                        return StreamEnd::Lost;
                    }
                }
            }
        }
    }

    async fn next_wake(&mut self, leaving: &mut watch::Receiver<u64>) -> Wake {
        let check_move = self.placed.leaving_since().is_some() && self.moving.is_none();
        let planned_check = self.next_planned_check().filter(|_| !check_move);
        let deadline = self.progress_deadline();
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
            frame = frame => Wake::Body(BodyRead::of(frame)),
            outcome = moving => Wake::MoveStepDone(outcome),
            _ = leaving.changed() => Wake::ConsiderMove,
            () = sleep_until(self.next_move_check), if check_move => Wake::ConsiderMove,
            () = sleep_until(planned_check.unwrap_or(self.call.timer_deadline)), if planned_check.is_some() => Wake::ConsiderPlannedMove,
            () = sleep_until(deadline.unwrap_or(self.call.timer_deadline)), if deadline.is_some() => Wake::NoProgress,
            () = sleep_until(self.call.timer_deadline) => Wake::TimeOver,
        }
    }

    /// Forwards whole events to the caller. Returns how the stream ends if the caller is gone or reads too slowly, or if
    /// an event is too long.
    pub(crate) async fn forward(&mut self, data: &[u8]) -> Result<(), StreamEnd> {
        let Some(whole) = self.events.push(data) else {
            return match self.events.is_partial_too_long() {
                true => Err(StreamEnd::EventTooLong),
                false => Ok(()),
            };
        };
        self.observer.record_events(self.events.count());
        if !self.is_harmless && self.is_past_probation() {
            self.is_harmless = true;
            self.relay.record_harmless(&self.call);
        }
        let now = Instant::now();
        let since_last = now.duration_since(self.last_event_at);
        self.last_event_at = now;
        if self.is_first_event() {
            self.placed.record_first_event();
            self.first_event_at = now;
            let took = self.call.arrived.elapsed();
            self.relay.metrics().observe_first_response(took);
            let expected = self.placed.basis.prefill_backlog;
            self.relay.metrics().count_first_event(expected, took);
        } else {
            self.longest_gap = self.longest_gap.max(since_last);
        }
        if let Some(since) = self.paused_since.take() {
            let gap = since.elapsed();
            self.relay.metrics().observe_move_gap(gap);
            let gap = gap.as_millis() as u64;
            tracing::info!(id = self.call.id(), gap, server = %self.placed.record.id, "move: went on");
        }
        self.sender.send(whole).await.map_err(|error| match error {
            QueueError::CallerGone => StreamEnd::CallerGone,
            QueueError::TooSlow => StreamEnd::CallerTooSlow,
        })
    }

    /// Returns when the run is abandoned at its engine for lack of progress. `None` if it cannot be resumed elsewhere,
    /// or is being moved.
    fn progress_deadline(&self) -> Option<Instant> {
        let policy = self.relay.policy();
        let resumable = policy.resume && policy.patience && self.attempts.may_retry(&self.call);
        if self.moving.is_some() || !resumable {
            return None;
        }
        let route = &self.call.admitted.route;
        let reading = self.placed.prefill_backlog();
        Some(match self.last_event_at > self.started_at {
            true => self.last_event_at + progress_timeout::next_event(route.event_gap, reading),
            false => self.started_at + progress_timeout::first_event(route.objective, reading),
        })
    }

    /// Whether the run has made so many tokens at its present engine that a crash there is not attributed to it.
    pub(crate) fn is_past_probation(&self) -> bool {
        let events = self.events.count().saturating_sub(self.events_before);
        events * u64::from(self.call.tokens_per_event()) >= u64::from(PROBATION_TOKENS)
    }

    fn is_first_event(&self) -> bool {
        self.events.count() <= 1
    }

    /// Starts a new run at another engine, after the last event. The previous engine has died or hangs, and the memory
    /// of its run is lost. Returns `false` if the stream cannot be resumed.
    pub(crate) async fn restart(&mut self, no_answer: NoAnswer) -> bool {
        self.moving = None;
        // Closing the connection cancels the run at its engine.
        self.source = None;
        self.events.discard_partial();
        let paused_since = self.last_event_at;
        let mut send_failure = SendFailure::NoAnswer(no_answer);
        self.placed.record_failure(false);
        let mut key = self.placed.key;
        let may_resume = self.relay.policy().resume;
        while may_resume
            && self
                .attempts
                .retry_after_failure(&self.relay, &self.call, key, send_failure)
        {
            if self.relay.clear_to_send(&self.call).await.is_err() {
                break;
            }
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
            let start = RunStart::New {
                last: self.events.last_id().clone(),
                patience: None,
            };
            key = placed.key;
            match resume_run(&self.relay, &self.call, &placed, start).await {
                Ok(answered) => {
                    self.placed = placed;
                    self.continue_with(paused_since, answered);
                    return true;
                }
                Err(no_answer) => {
                    record_unanswered(&self.call, &placed, no_answer);
                    send_failure = SendFailure::NoAnswer(no_answer);
                }
            }
        }
        false
    }

    /// Continues with the answer of the engine at which the run was resumed, and records since when it was paused.
    pub(crate) fn continue_with(&mut self, paused_since: Instant, answered: StartedAnswer) {
        self.placed.record_first_event();
        self.observer.move_to(self.placed.key);
        // A copy that is still being made is one of the run at its former engine.
        self.moving = None;
        if let Some(run) = &self.registration {
            run.begin_at(self.placed.record.address);
        }
        self.events.discard_partial();
        self.events_before = self.events.count();
        self.is_harmless = false;
        self.source = Some((answered.body, answered.connection));
        self.framing = answered.framing;
        self.paused_since = Some(paused_since);
        self.started_at = Instant::now();
    }
}

/// Resumes a run at an engine. If the engine answers with a failure, the run may or may not have been resumed there.
pub(crate) async fn resume_run(
    relay: &Relay,
    call: &Call,
    target: &PlacedRequest,
    start: RunStart,
) -> Result<StartedAnswer, NoAnswer> {
    let answered = send_run(relay, call, target, start).await?;
    match answered.parts.status.is_success() {
        true => Ok(answered),
        false => Err(NoAnswer::Unknown),
    }
}
