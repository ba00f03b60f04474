//! Streaming requests: the way to an engine, until its stream begins. See `stream_run` for the rest.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::dialect::Dispatch;
use cicada_lib::dialect::Resume;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Need;
use cicada_lib::move_plan;
use cicada_lib::return_time;
use cicada_lib::return_time::TurnedAway;
use cicada_lib::routing::ServerKey;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::answer::AnswerBody;
use crate::answer::OwnAnswer;
use crate::exchange::Call;
use crate::exchange::ELSEWHERE;
use crate::exchange::returned;
use crate::placed::Placed;
use crate::relay::Relay;
use crate::send::Answered;
use crate::send::MOST_CONNECTS;
use crate::send::Unanswered;
use crate::send::conclude;
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
        let outcome = send_run(relay, &call, &placed, None).await;
        let id = call.id();
        let server = placed.record.id.as_str();
        let waited = call.arrived.elapsed().as_millis() as u64;
        match outcome {
            Ok(answered) if answered.parts.status.is_success() => {
                return stream(relay, call, placed, answered, tokens);
            }
            Ok(answered) => return other(&call, placed, answered).await,
            Err(Unanswered::Unreached) => {
                placed.failed(true);
                tried.push(placed.key);
                tracing::info!(id, server, waited, "stream: server not reached");
                continue;
            }
            Err(Unanswered::Elsewhere) => {
                tried.push(placed.key);
                if !relay.take_retry(&call.service, SPARE) {
                    break;
                }
                continue;
            }
            Err(Unanswered::Refused) => {
                tracing::info!(id, server, waited, "stream: refused by the server");
                tried.push(placed.key);
                refused = true;
            }
            Err(Unanswered::Unknown | Unanswered::TimeOver) => {
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
    let why = match refused {
        true => TurnedAway::Full,
        false => TurnedAway::Unreached,
    };
    let pause = return_time::pause(why, call.left(), fastrand::f64());
    conclude(relay, &call, ran, pause)
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
    expected_output(call) / call.stride() <= SHORT_EVENTS
}

/// Sends the request to an engine, over the connection that was opened ahead of a move if one was.
pub(crate) async fn send_run(
    relay: &Relay,
    call: &Call,
    placed: &Placed,
    resume: Option<Resume>,
) -> Result<Answered, Unanswered> {
    let ahead = match (&resume, &call.head.id) {
        (Some(_), Some(id)) => relay.moved().prepared(id, placed.record.address),
        _ => None,
    };
    let dispatch = Dispatch {
        server: Fleet::expected_id(&placed.record),
        workspace: call.admitted.workspace.clone(),
        left: call.left(),
        rank: Some(move_plan::rank(call.admitted.priority, is_short(call))),
        resume,
        backup: None,
    };
    send(relay, call, placed, &dispatch, ahead).await
}

/// Relays an answer that is no stream: a failure of the engine's own.
async fn other(call: &Call, placed: Placed, answered: Answered) -> Response<AnswerBody> {
    placed.failed(false);
    let status = answered.parts.status.as_u16();
    tracing::info!(id = call.id(), server = %placed.record.id, status, "stream: failed by the server");
    let bytes = match timeout_at(call.limit, answered.body.collect()).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        _ => return OwnAnswer::Failed.response(),
    };
    drop(answered.connection);
    respond(&answered.parts, AnswerBody::whole(bytes))
}

fn stream(
    relay: &Arc<Relay>,
    call: Call,
    placed: Placed,
    answered: Answered,
    tokens: u64,
) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(WAITING_PARTS);
    let response = respond(&answered.parts, AnswerBody::parts(receiver));
    let run = Run::new(relay, call, placed, answered, tokens, sender);
    tokio::spawn(run.pump());
    response
}

fn respond(parts: &Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = returned(&parts.headers);
    response
}
