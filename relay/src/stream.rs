//! Streaming requests: the way to an engine, until its stream begins. See `stream_run` for the rest.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::dialect::Dispatch;
use cicada_lib::dialect::RunMemory;
use cicada_lib::fleet::Fleet;
use cicada_lib::ids::Name;
use cicada_lib::move_plan;
use cicada_lib::progress_timeout;
use cicada_lib::retry_after;
use cicada_lib::retry_after::RejectionCause;
use cicada_lib::stream_admission;
use cicada_lib::stream_admission::AdmissionError;
use cicada_lib::stream_admission::AdmissionRequest;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::attempts::Attempts;
use crate::attempts::SendFailure;
use crate::exchange::Call;
use crate::exchange::RETRY_ELSEWHERE;
use crate::exchange::returned_headers;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::send::NoAnswer;
use crate::send::StartedAnswer;
use crate::send::build_own_answer;
use crate::send::send;
use crate::stream_run::Run;

/// The part of a service's further sends that streams leave for moves of runs.
const SPARE: f64 = 0.35;

/// Parts of an answer that wait for a caller who reads slowly.
const WAITING_PARTS: usize = 32;

/// The part of the grace that is left while a drain is early.
const EARLY_PART: f64 = 0.7;

/// Events that a run makes in less than a second.
const SHORT_EVENTS: u32 = 16;

/// The time to the first event, as a bound: few wait longer.
const START_TIME: Duration = Duration::from_millis(1_500);

/// The time for a token before one was seen: a step of an engine with a usual batch.
pub(crate) const TOKEN_TIME: Duration = Duration::from_millis(10);

/// Serves a streaming request.
pub(crate) async fn serve(relay: &Arc<Relay>, call: Call) -> Response<ResponseBody> {
    if let Some(left) = relay
        .grace_left()
        .filter(|left| outlasts(relay, &call, *left))
    {
        relay.metrics().count_refusal("draining");
        tracing::info!(
            id = call.id(),
            ?left,
            "stream: refused, this relay may end before it does"
        );
        return LocalResponse::NotRun(RETRY_ELSEWHERE).into_response();
    }
    let tokens = expected_tokens(&call);
    let mut attempts = Attempts::new(SPARE);
    let mut failure: Option<Response<ResponseBody>> = None;
    let asking = asking(relay, &call);
    loop {
        let judged = relay.policy().refuse.then_some(&asking);
        let placed = match attempts.place(relay, &call, tokens, judged).await {
            Ok(placed) => {
                relay.record_usage(&call.service, call.admitted.workspace.as_ref(), tokens);
                placed
            }
            Err(AdmissionError::Rejected(turned)) if attempts.sends() == 0 => {
                return turn_away(relay, &call, &asking, &turned);
            }
            Err(_) => break,
        };
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
        let wait = Instant::now() + first_wait(&call, &placed);
        let patience = (relay.policy().patience && attempts.may_retry(&call)).then_some(wait);
        let begin = Begin::New { last, patience };
        let outcome = note_slow(&placed, wait, send_run(relay, &call, &placed, begin)).await;
        let key = placed.key;
        let send_failure = match outcome {
            Ok(answered) if answered.parts.status.is_success() => {
                return stream(relay, call, placed, answered, tokens, attempts);
            }
            Ok(answered) => {
                failure = Some(other(&call, placed, answered).await);
                SendFailure::ServerFailed
            }
            Err(no_answer) => {
                note(&call, &placed, no_answer);
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
    let why = match (attempts.refused(), attempts.rejection_cause()) {
        (true, _) => RejectionCause::Full,
        (false, Some(why)) => why,
        (false, None) => RejectionCause::Unreached,
    };
    let pause = retry_after::delay(why, call.time_left(), fastrand::f64());
    build_own_answer(relay, &call, &attempts, pause)
}

fn asking(relay: &Relay, call: &Call) -> AdmissionRequest {
    let route = &call.admitted.route;
    AdmissionRequest {
        rank: relay.table().count_higher_priorities(&call.service, route),
        age: age(relay, call),
        over_share: relay.is_over_share(&call.service, call.admitted.workspace.as_ref()),
        objective: route.objective,
    }
}

/// How long ago the caller first asked, where it was refused and is back; zero for others.
fn age(relay: &Relay, call: &Call) -> Duration {
    match relay.policy().returns {
        true => relay
            .recent_rejections()
            .take(relay.now(), call.fingerprint()),
        false => Duration::ZERO,
    }
}

/// Refuses a request for which the engines are too crowded, at once.
fn turn_away(
    relay: &Relay,
    call: &Call,
    asking: &AdmissionRequest,
    turned: &stream_admission::Rejection,
) -> Response<ResponseBody> {
    let pause = relay.retry_delay(&call.service, asking, call.time_left());
    let now = relay.now();
    relay
        .recent_rejections()
        .record(now, call.fingerprint(), asking.age, pause);
    let (why, expected_load) = (turned.bottleneck.name(), &turned.expected_load);
    let (_, age) = relay.fleet().memory_use(relay.now(), turned.server);
    relay.metrics().count_refusal(why);
    relay.metrics().count_answer("not_run");
    tracing::info!(
        id = call.id(),
        why,
        before = asking.rank,
        waited = asking.age.as_millis() as u64,
        over = asking.over_share,
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

fn percent(part: f64) -> u64 {
    (part * 100.0) as u64
}

/// Tells of a send that brought no answer.
pub(crate) fn note(call: &Call, placed: &PlacedRequest, no_answer: NoAnswer) {
    let word = match no_answer {
        NoAnswer::Refused => "refused by the server",
        NoAnswer::Unreached => "server not reached",
        NoAnswer::Elsewhere => "another server is there",
        NoAnswer::Unknown => "lost before its first event",
        NoAnswer::Silent => "no first event in the time that the load explains",
        NoAnswer::TimeOver => "no first event in the caller's time",
    };
    match no_answer {
        NoAnswer::Refused | NoAnswer::Elsewhere => {}
        NoAnswer::Unreached => placed.record_failure(true),
        NoAnswer::Unknown | NoAnswer::Silent | NoAnswer::TimeOver => placed.record_failure(false),
    }
    let waited = call.arrived.elapsed().as_millis() as u64;
    tracing::info!(id = call.id(), server = %placed.record.id, waited, "stream: {word}");
}

/// How long the first event is awaited before the engine counts as making no progress.
fn first_wait(call: &Call, placed: &PlacedRequest) -> Duration {
    progress_timeout::first_event(call.admitted.route.objective, placed.prefill_backlog())
}

/// Waits for the outcome of a send, and notes where it has not come at `wait`. An engine that hangs is known
/// by that alone where the request may be sent nowhere else, seconds before its caller gives it up.
async fn note_slow<T>(
    placed: &PlacedRequest,
    wait: Instant,
    outcome: impl Future<Output = T>,
) -> T {
    tokio::pin!(outcome);
    match timeout_at(wait, &mut outcome).await {
        Ok(outcome) => outcome,
        Err(_) => {
            placed.report_stall();
            outcome.await
        }
    }
}

/// Tokens that the request is expected to hold at its end.
fn expected_tokens(call: &Call) -> u64 {
    u64::from(call.head.prompt) + u64::from(expected_output(call))
}

pub(crate) fn expected_output(call: &Call) -> u32 {
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
    expected_output(call) / call.tokens_per_event() <= SHORT_EVENTS
}

/// How a run begins at an engine.
pub(crate) enum Begin {
    /// Anew, after the caller's last event; given up where nothing has come at `patience`.
    New {
        last: Name,
        patience: Option<Instant>,
    },
    /// With the memory of a run that began elsewhere, after its last event.
    Moved { memory: RunMemory, last: Name },
}

/// Sends the request to an engine, over the connection that was opened ahead of a move if one was.
pub(crate) async fn send_run(
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
    begin: Begin,
) -> Result<StartedAnswer, NoAnswer> {
    let ahead = match (&begin, &call.head.id) {
        (Begin::Moved { .. }, Some(id)) => relay
            .moved_runs()
            .take_connection(id, placed.record.address),
        _ => None,
    };
    let (memory, last, patience) = match begin {
        Begin::New { last, patience } => (None, last, patience),
        Begin::Moved { memory, last } => (Some(memory), last, None),
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

/// Relays an answer that is no stream: a failure of the engine's own.
async fn other(
    call: &Call,
    placed: PlacedRequest,
    answered: StartedAnswer,
) -> Response<ResponseBody> {
    placed.record_failure(false);
    let status = answered.parts.status.as_u16();
    tracing::info!(id = call.id(), server = %placed.record.id, status, "stream: failed by the server");
    let bytes = match timeout_at(call.timer_deadline, answered.body.collect()).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        _ => return LocalResponse::Failed.into_response(),
    };
    drop(answered.connection);
    respond(&answered.parts, ResponseBody::full(bytes))
}

fn stream(
    relay: &Arc<Relay>,
    call: Call,
    placed: PlacedRequest,
    answered: StartedAnswer,
    tokens: u64,
    attempts: Attempts,
) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(WAITING_PARTS);
    let response = respond(&answered.parts, ResponseBody::from_channel(receiver));
    let run = Run::new(relay, call, placed, answered, tokens, attempts, sender);
    tokio::spawn(run.pump());
    response
}

fn respond(parts: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = returned_headers(&parts.headers);
    response
}
