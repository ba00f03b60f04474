//! Streaming requests, from admission until an engine's stream begins. `stream_run` relays the stream from there.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::dialect::Dispatch;
use cicada_lib::dialect::RunMemory;
use cicada_lib::drain_admission::StreamLength;
use cicada_lib::fleet::Fleet;
use cicada_lib::ids::Name;
use cicada_lib::move_plan;
use cicada_lib::progress_timeout;
use cicada_lib::retry_after;
use cicada_lib::retry_after::RejectionCause;
use cicada_lib::stream_admission;
use cicada_lib::stream_admission::AdmissionRequest;
use http::Response;
use http::response::Parts;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::attempts::Attempts;
use crate::attempts::SendFailure;
use crate::event_queue::event_queue;
use crate::exchange::Call;
use crate::exchange::returned_headers;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::send::NoAnswer;
use crate::send::StartedAnswer;
use crate::send::build_own_answer;
use crate::send::send;
use crate::stream_observer::StreamObserver;
use crate::stream_run::BodyRead;
use crate::stream_run::Run;
use crate::waiting;
use crate::waiting::Unplaced;

/// Maximum number of events of a short run. They take less than a second.
const SHORT_RUN_EVENTS: u32 = 16;

/// Time per token before one was measured: a step of an engine with a typical batch.
pub(crate) const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(10);

/// Serves a streaming request.
pub(crate) async fn serve(relay: &Arc<Relay>, call: Call) -> Response<ResponseBody> {
    let tokens = expected_tokens(&call);
    let mut attempts = Attempts::new();
    let mut failure: Option<Response<ResponseBody>> = None;
    let mut refusal = None;
    let admission = admission_request(relay, &call);
    loop {
        if let Err(why) = relay.clear_to_send(&call).await {
            refusal = Some(why);
            break;
        }
        let placed = match waiting::place(relay, &call, &mut attempts, tokens, &admission).await {
            Ok(placed) => placed,
            Err(Unplaced::Answer(response)) => return response,
            Err(Unplaced::NoServer) => break,
        };
        let accepted = match relay.accept_stream(&call, &placed) {
            Ok(accepted) => accepted,
            Err(_) if attempts.may_have_run() => break,
            Err(why) => return relay.refuse_late_stream(why),
        };
        relay.record_usage(&call.service, call.admitted.workspace.as_ref(), tokens);
        tracing::info!(
            id = call.id(),
            route = %call.admitted.route.name,
            version = call.admitted.version,
            server = %placed.record.id,
            tokens,
            used = placed.basis.used_tokens,
            age = placed.basis.report_age_ms,
            reading = placed.basis.prefill_backlog.as_millis() as u64,
            asked = placed.basis.scouts_probed,
            answered = placed.basis.scouts_answered,
            limit = placed.basis.rate_limit,
            left_out = placed.basis.exclusions.map(tracing::field::display),
            "stream: placed"
        );
        let last = call.last_event_id();
        let first_event_deadline = Instant::now() + first_event_timeout(&call, &placed);
        let patience =
            (relay.policy().patience && attempts.may_retry(&call)).then_some(first_event_deadline);
        let start = RunStart::New { last, patience };
        let observer = StreamObserver::start(relay, &call, &placed, accepted);
        let outcome = report_if_slow(
            &placed,
            first_event_deadline,
            send_run(relay, &call, &placed, start),
        )
        .await;
        let key = placed.key;
        let send_failure = match outcome {
            Ok(mut answered) if answered.parts.status.is_success() => {
                let first = relay.first_read(&call, accepted.as_ref(), &mut answered);
                let first_read = match first.await {
                    Ok(first_read) => first_read,
                    Err(own) => return own.into_response(),
                };
                let started = StartedRun {
                    placed,
                    answered,
                    first_read,
                    observer,
                };
                return start_stream(relay, call, started, tokens, attempts);
            }
            Ok(answered) => {
                failure = Some(relay_failure(relay, &call, placed, answered).await);
                SendFailure::ServerFailed
            }
            Err(no_answer) => {
                record_unanswered(&call, &placed, no_answer);
                SendFailure::NoAnswer(no_answer)
            }
        };
        if !attempts.retry_after_failure(relay, &call, key, send_failure) {
            break;
        }
    }
    if let Some(response) = failure {
        relay.metrics().count_answer("failed_by_server");
        return response;
    }
    if let Some(why) = refusal.filter(|_| !attempts.may_have_run()) {
        return relay.refuse_suspect(&call, why);
    }
    let why = match (attempts.refused(), attempts.rejection_cause()) {
        (true, _) => RejectionCause::Full,
        (false, Some(why)) => why,
        (false, None) => RejectionCause::Unreached,
    };
    let pause = retry_after::delay(why, call.time_left(), fastrand::f64());
    build_own_answer(relay, &call, &attempts, pause)
}

fn admission_request(relay: &Relay, call: &Call) -> AdmissionRequest {
    let route = &call.admitted.route;
    AdmissionRequest {
        rank: relay.table().count_higher_priorities(&call.service, route),
        age: time_since_first_try(relay, call),
        over_share: relay.is_over_share(&call.service, call.admitted.workspace.as_ref()),
        objective: route.objective,
        waiting: false,
    }
}

/// Returns how long ago the caller first sent the request, if it was rejected and retries; otherwise zero.
fn time_since_first_try(relay: &Relay, call: &Call) -> Duration {
    match relay.policy().returns {
        true => relay
            .recent_rejections()
            .take(relay.now(), call.fingerprint()),
        false => Duration::ZERO,
    }
}

/// Rejects a request because the engines are overloaded. Its caller is to retry after `pause`.
pub(crate) fn reject(
    relay: &Relay,
    call: &Call,
    admission: &AdmissionRequest,
    rejection: &stream_admission::Rejection,
    pause: Duration,
) -> Response<ResponseBody> {
    let now = relay.now();
    relay
        .recent_rejections()
        .record(now, call.fingerprint(), admission.age, pause);
    let (why, expected_load) = (rejection.bottleneck.name(), &rejection.expected_load);
    let (_, age) = relay.fleet().memory_use(relay.now(), rejection.server);
    relay.metrics().count_refusal(why);
    relay.metrics().count_answer("not_run");
    tracing::info!(
        id = call.id(),
        why,
        before = admission.rank,
        waited = admission.age.as_millis() as u64,
        over = admission.over_share,
        memory = percent(expected_load.memory),
        running = expected_load.running,
        reading = expected_load.prefill_backlog.as_millis() as u64,
        own = expected_load.own_prefill_time.as_millis() as u64,
        age = age.map(|age| age.as_millis() as u64),
        pause = pause.as_millis() as u64,
        "stream: turned away"
    );
    LocalResponse::NotRun(pause).into_response()
}

fn percent(fraction: f64) -> u64 {
    (fraction * 100.0) as u64
}

/// Logs a send that failed without an answer, and records the failure of the server.
pub(crate) fn record_unanswered(call: &Call, placed: &PlacedRequest, no_answer: NoAnswer) {
    let word = match no_answer {
        NoAnswer::Refused => "refused by the server",
        NoAnswer::Unreached => "server not reached",
        NoAnswer::Withdrawn => "server takes no work any more",
        NoAnswer::Suspect => "the request became a suspect",
        NoAnswer::Elsewhere => "another server is there",
        NoAnswer::Unknown => "lost before its first event",
        NoAnswer::Crashed => "lost by a crash before its first event",
        NoAnswer::Silent => "no first event in the time that the load explains",
        NoAnswer::TooLarge => "answer larger than what may be held",
        NoAnswer::TimeOver => "no first event in the caller's time",
    };
    match no_answer {
        NoAnswer::Refused
        | NoAnswer::Withdrawn
        | NoAnswer::Suspect
        | NoAnswer::Elsewhere
        | NoAnswer::TooLarge => {}
        NoAnswer::Unreached => placed.record_failure(true),
        NoAnswer::Unknown | NoAnswer::Crashed | NoAnswer::Silent | NoAnswer::TimeOver => {
            placed.record_failure(false)
        }
    }
    let waited = call.arrived.elapsed().as_millis() as u64;
    tracing::info!(id = call.id(), server = %placed.record.id, waited, "stream: {word}");
}

/// Returns how long to wait for the first event before the engine counts as making no progress.
fn first_event_timeout(call: &Call, placed: &PlacedRequest) -> Duration {
    progress_timeout::first_event(call.admitted.route.objective, placed.prefill_backlog())
}

/// Waits for the outcome of a send, and reports the engine as slow if there is none by the `deadline`. If the request
/// may not be sent elsewhere, this is the only sign that the engine hangs until the caller gives up seconds later.
async fn report_if_slow<T>(
    placed: &PlacedRequest,
    deadline: Instant,
    outcome: impl Future<Output = T>,
) -> T {
    tokio::pin!(outcome);
    match timeout_at(deadline, &mut outcome).await {
        Ok(outcome) => outcome,
        Err(_) => {
            placed.report_stall();
            outcome.await
        }
    }
}

/// Returns the number of tokens that the request is expected to hold at its end.
fn expected_tokens(call: &Call) -> u64 {
    u64::from(call.head.prompt) + u64::from(expected_output(call))
}

/// Estimates the number of output tokens: as hinted by the caller, or half of the maximum.
pub(crate) fn expected_output(call: &Call) -> u32 {
    call.head
        .hint
        .unwrap_or(call.head.output / 2)
        .min(call.head.output)
}

/// The expected and the longest length of the stream.
pub(crate) fn length(call: &Call) -> StreamLength {
    StreamLength {
        expected: expected_output(call),
        longest: call.head.output,
        event_tokens: call.tokens_per_event(),
    }
}

/// Whether the run is expected to end before an engine that announces its shutdown is gone.
fn is_short(call: &Call) -> bool {
    expected_output(call) / call.tokens_per_event() <= SHORT_RUN_EVENTS
}

/// How a run starts at an engine.
pub(crate) enum RunStart {
    /// As a new run, after the caller's last event. Abandoned if the engine has not begun to answer at `patience`.
    New {
        last: Name,
        patience: Option<Instant>,
    },
    /// From the memory of a run at another engine, after its last event.
    Moved { memory: RunMemory, last: Name },
}

/// A run whose engine has begun to answer.
pub(crate) struct StartedRun {
    pub(crate) placed: PlacedRequest,
    pub(crate) answered: StartedAnswer,
    // What has been read of its body.
    pub(crate) first_read: Option<BodyRead>,
    pub(crate) observer: StreamObserver,
}

/// Sends the request to an engine. Uses the connection that was opened ahead of a move, if there is one.
pub(crate) async fn send_run(
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
    start: RunStart,
) -> Result<StartedAnswer, NoAnswer> {
    let ahead = match (&start, &call.head.id) {
        (RunStart::Moved { .. }, Some(id)) => relay
            .moved_runs()
            .local()
            .take_ahead(id, placed.record.address),
        _ => None,
    };
    let (memory, last, patience) = match start {
        RunStart::New { last, patience } => (None, last, patience),
        RunStart::Moved { memory, last } => (Some(memory), last, None),
    };
    let dispatch = Dispatch {
        server: Fleet::expected_id(&placed.record),
        workspace: call.admitted.workspace.clone(),
        left: call.time_left(),
        rank: Some(move_plan::rank(call.admitted.priority, is_short(call))),
        memory,
        last,
        backup: None,
    };
    send(relay, call, placed, &dispatch, ahead, patience).await
}

/// Relays an answer that is not a stream: the engine ran the request and failed.
async fn relay_failure(
    relay: &Relay,
    call: &Call,
    placed: PlacedRequest,
    answered: StartedAnswer,
) -> Response<ResponseBody> {
    placed.record_failure(false);
    relay.record_survived(call);
    let status = answered.parts.status.as_u16();
    tracing::info!(id = call.id(), server = %placed.record.id, status, "stream: failed by the server");
    match answered.read_whole(relay, call, &placed).await {
        Ok(whole) => whole.response(),
        Err(_) => LocalResponse::Failed.into_response(),
    }
}

fn start_stream(
    relay: &Arc<Relay>,
    call: Call,
    started: StartedRun,
    tokens: u64,
    attempts: Attempts,
) -> Response<ResponseBody> {
    if !call.admitted.route.event_gap.is_zero() {
        let events = expected_output(&call) / call.tokens_per_event();
        relay.fleet().record_run_length(&call.service, events);
    }
    let (sender, receiver) = event_queue(relay.budget().holder());
    let body = ResponseBody::from_events(receiver);
    let response = response_from(&started.answered.parts, body);
    let run = Run::new(relay, call, started, tokens, attempts, sender);
    tokio::spawn(run.relay_to_end());
    response
}

fn response_from(parts: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = returned_headers(&parts.headers);
    response
}
