//! Plain calls: one answer, held whole before it goes to the caller.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use cicada_lib::dialect::Dispatch;
use cicada_lib::fleet::Fleet;
use cicada_lib::retry_after;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::time::timeout_at;

use crate::answer::AnswerBody;
use crate::answer::OwnAnswer;
use crate::attempts::Attempts;
use crate::attempts::Setback;
use crate::exchange::Call;
use crate::exchange::returned;
use crate::placed::Placed;
use crate::relay::Relay;
use crate::send::Unanswered;
use crate::send::conclude;
use crate::send::send;

/// The largest answer that is held.
const MOST_ANSWER: usize = 8 * 1024 * 1024;

/// The part of a service's further sends that repeats of failed calls leave for calls that a server
/// turned away.
const SPARE: f64 = 0.2;

/// A backend server's answer.
pub(crate) struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Whole {
    fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = returned(&self.headers);
        response
    }
}

/// Serves a request that may run more than once.
pub(crate) async fn serve_repeatable(relay: &Arc<Relay>, call: Call) -> Response<AnswerBody> {
    run(relay, &call, &AtomicBool::new(false)).await
}

/// Serves a request that must run once at most. When its caller goes away while it is at a server, it
/// is left to end there: broken off, nobody could tell whether it ran.
pub(crate) async fn serve_once(relay: &Arc<Relay>, call: Call) -> Response<AnswerBody> {
    let gone = Arc::new(AtomicBool::new(false));
    let guard = GoneGuard(gone.clone());
    let relay = relay.clone();
    let running = tokio::spawn(async move { run(&relay, &call, &gone).await });
    let response = running.await;
    drop(guard);
    response.unwrap_or_else(|_| OwnAnswer::Failed.response())
}

/// Notes that a caller has gone away, when dropped.
struct GoneGuard(Arc<AtomicBool>);

impl Drop for GoneGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

async fn run(relay: &Arc<Relay>, call: &Call, gone: &AtomicBool) -> Response<AnswerBody> {
    let mut attempts = Attempts::new(SPARE);
    let mut failure: Option<Whole> = None;
    while !gone.load(Ordering::Relaxed) {
        let Ok(placed) = attempts.place(relay, call, 0, None).await else {
            break;
        };
        let outcome = send_whole(relay, call, &placed).await;
        note(relay, call, &placed, &outcome);
        let setback = match outcome {
            Ok(whole) if !whole.status.is_server_error() => {
                tracing::info!(
                    id = call.id(),
                    route = %call.admitted.route.name,
                    version = call.admitted.version,
                    server = %placed.record.id,
                    status = whole.status.as_u16(),
                    sends = attempts.sent() + 1,
                    waited = call.arrived.elapsed().as_millis() as u64,
                    limit = placed.basis.limit,
                    left_out = placed.basis.left_out.map(tracing::field::display),
                    "request: answered"
                );
                relay.metrics().count_answer("whole");
                relay
                    .metrics()
                    .observe_first_response(call.arrived.elapsed());
                return whole.response();
            }
            Ok(whole) => {
                failure = Some(whole);
                Setback::Failed
            }
            Err(unanswered) => Setback::Unanswered(unanswered),
        };
        if !attempts.goes_on(relay, call, placed.key, setback) {
            break;
        }
    }
    if let Some(whole) = failure {
        relay.metrics().count_answer("failed_by_server");
        return whole.response();
    }
    let pause = match attempts.turned_away() {
        Some(why) => retry_after::delay(why, call.left(), fastrand::f64()),
        None => come_back(call),
    };
    conclude(relay, call, &attempts, pause)
}

/// When a caller that was turned away may come back: soon, since plain calls are short, and spread,
/// since many are turned away together.
fn come_back(call: &Call) -> Duration {
    let most = (call.left() / 4).min(Duration::from_millis(400));
    most.mul_f64(0.25 + 0.75 * fastrand::f64())
}

fn note(relay: &Relay, call: &Call, placed: &Placed, outcome: &Result<Whole, Unanswered>) {
    let (word, failed) = match outcome {
        Ok(whole) if whole.status.is_server_error() => ("failed", true),
        Ok(_) => ("ok", false),
        Err(Unanswered::Refused) => ("refused", false),
        Err(Unanswered::Unreached) => ("unreached", true),
        Err(Unanswered::Elsewhere) => ("elsewhere", false),
        Err(Unanswered::Unknown) => ("unknown", true),
        Err(Unanswered::Silent) => ("silent", true),
        Err(Unanswered::TimeOver) => ("time_over", true),
    };
    if failed {
        placed.failed(matches!(outcome, Err(Unanswered::Unreached)));
    } else if word == "ok" {
        placed.went_well();
    }
    if word != "ok" {
        relay.metrics().count_retry(word);
        let waited = call.arrived.elapsed().as_millis() as u64;
        let server = placed.record.id.as_str();
        tracing::info!(
            id = call.id(),
            server,
            word,
            waited,
            "request: a send did not go well"
        );
    }
}

/// Sends the request and takes the whole answer.
async fn send_whole(relay: &Relay, call: &Call, placed: &Placed) -> Result<Whole, Unanswered> {
    let dispatch = Dispatch {
        server: Fleet::expected_id(&placed.record),
        workspace: call.admitted.workspace.clone(),
        left: call.left(),
        ..Dispatch::default()
    };
    let mut answered = send(relay, call, placed, &dispatch, None, None).await?;
    let mut whole = BytesMut::new();
    loop {
        match timeout_at(call.limit, answered.body.frame()).await {
            Err(_) => return Err(Unanswered::TimeOver),
            Ok(Some(Err(_))) => return Err(Unanswered::Unknown),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                }
            }
            Ok(None) => break,
        }
        if whole.len() > MOST_ANSWER {
            return Err(Unanswered::Unknown);
        }
    }
    drop(answered.connection);
    Ok(Whole {
        status: answered.parts.status,
        headers: answered.parts.headers,
        body: whole.freeze(),
    })
}
