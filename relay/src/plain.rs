//! Plain calls, whose answer is buffered completely before it is sent to the caller.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::call_timings::CallEnd;
use cicada_lib::dialect::Dispatch;
use cicada_lib::fleet::Fleet;
use cicada_lib::ids::Name;
use cicada_lib::retry_after;
use http::Response;
use http::StatusCode;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::attempts::Attempts;
use crate::attempts::SendFailure;
use crate::call_observer::CallObserver;
use crate::exchange::Call;
use crate::exchange::returned_headers;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::send::NoAnswer;
use crate::send::build_own_answer;
use crate::send::send;
use crate::whole_body::BufferedAnswer;

impl BufferedAnswer {
    /// Builds the response to the caller.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let body = ResponseBody::full(self.body).with_held(self.held);
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = returned_headers(&self.headers);
        response
    }
}

/// Serves a request that may run more than once.
pub(crate) async fn serve_repeatable(relay: &Arc<Relay>, call: Call) -> Response<ResponseBody> {
    let service = call.service.clone();
    timed(relay, &service, run(relay, &call, &AtomicBool::new(false))).await
}

/// Serves a request that must run at most once. If its caller disconnects while it is at a server, it is left to finish
/// there: if it were aborted, it would be unknown whether it ran.
pub(crate) async fn serve_once(relay: &Arc<Relay>, call: Call) -> Response<ResponseBody> {
    let disconnected = Arc::new(AtomicBool::new(false));
    let guard = DisconnectGuard(disconnected.clone());
    let relay = relay.clone();
    let running = tokio::spawn(async move {
        let service = call.service.clone();
        timed(&relay, &service, run(&relay, &call, &disconnected)).await
    });
    let response = running.await;
    drop(guard);
    response.unwrap_or_else(|_| LocalResponse::Failed.into_response())
}

/// Records how long a call takes, unless it is refused.
async fn timed(
    relay: &Arc<Relay>,
    service: &Name,
    answering: impl Future<Output = Response<ResponseBody>>,
) -> Response<ResponseBody> {
    let observer = CallObserver::start(relay, service);
    let response = answering.await;
    observer.finish(match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => CallEnd::Refused,
        _ => CallEnd::Answered,
    });
    response
}

/// Records that the caller has disconnected, when dropped.
struct DisconnectGuard(Arc<AtomicBool>);

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

async fn run(relay: &Arc<Relay>, call: &Call, disconnected: &AtomicBool) -> Response<ResponseBody> {
    let mut attempts = Attempts::new();
    let mut failure: Option<BufferedAnswer> = None;
    let mut refusal = None;
    while !disconnected.load(Ordering::Relaxed) {
        if let Err(why) = relay.clear_to_send(call).await {
            refusal = Some(why);
            break;
        }
        let Ok(placed) = attempts.place(relay, call, 0, None).await else {
            break;
        };
        let outcome = send_whole(relay, call, &placed).await;
        record_outcome(relay, call, &placed, &outcome);
        match &outcome {
            Ok(whole) if whole.status.is_server_error() => relay.record_survived(call),
            Ok(_) => relay.record_harmless(call),
            Err(_) => {}
        }
        let send_failure = match outcome {
            Ok(whole) if !whole.status.is_server_error() => {
                tracing::info!(
                    id = call.id(),
                    route = %call.admitted.route.name,
                    version = call.admitted.version,
                    server = %placed.record.id,
                    status = whole.status.as_u16(),
                    sends = attempts.sends() + 1,
                    waited = call.arrived.elapsed().as_millis() as u64,
                    limit = placed.basis.rate_limit,
                    left_out = placed.basis.exclusions.map(tracing::field::display),
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
                SendFailure::ServerFailed
            }
            Err(no_answer) => SendFailure::NoAnswer(no_answer),
        };
        if !attempts.retry_after_failure(relay, call, placed.key, send_failure) {
            break;
        }
    }
    if let Some(whole) = failure {
        relay.metrics().count_answer("failed_by_server");
        return whole.response();
    }
    if let Some(why) = refusal.filter(|_| !attempts.may_have_run()) {
        return relay.refuse_suspect(call, why);
    }
    let pause = match attempts.rejection_cause() {
        Some(why) => retry_after::delay(why, call.time_left(), fastrand::f64()),
        None => retry_delay(call),
    };
    build_own_answer(relay, call, &attempts, pause)
}

/// Retry-after of a rejected caller: short, since plain calls are short, and randomized, since many callers are
/// rejected at the same time.
fn retry_delay(call: &Call) -> Duration {
    let max = (call.time_left() / 4).min(Duration::from_millis(400));
    max.mul_f64(0.25 + 0.75 * fastrand::f64())
}

/// Records the outcome of a send for the server, in the metrics and in the log.
fn record_outcome(
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
    outcome: &Result<BufferedAnswer, NoAnswer>,
) {
    let (word, failed) = match outcome {
        Ok(whole) if whole.status.is_server_error() => ("failed", true),
        Ok(_) => ("ok", false),
        Err(NoAnswer::Refused) => ("refused", false),
        Err(NoAnswer::Unreached) => ("unreached", true),
        Err(NoAnswer::Withdrawn) => ("withdrawn", false),
        Err(NoAnswer::Suspect) => ("suspect", false),
        Err(NoAnswer::Elsewhere) => ("elsewhere", false),
        Err(NoAnswer::Unknown) => ("unknown", true),
        Err(NoAnswer::Crashed) => ("crashed", true),
        Err(NoAnswer::Silent) => ("silent", true),
        Err(NoAnswer::TooLarge) => ("too_large", false),
        Err(NoAnswer::TimeOver) => ("time_over", true),
    };
    if failed {
        placed.record_failure(matches!(outcome, Err(NoAnswer::Unreached)));
    } else if word == "ok" {
        placed.record_success();
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

/// Sends the request and buffers the whole answer.
async fn send_whole(
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
) -> Result<BufferedAnswer, NoAnswer> {
    let dispatch = Dispatch {
        server: Fleet::expected_id(&placed.record),
        workspace: call.admitted.workspace.clone(),
        left: call.time_left(),
        ..Dispatch::default()
    };
    // The scout of a leaving engine asks whether it may stop the run. Unanswered, it would wait while other runs are to
    // be moved. A run that is recorded at no engine is not stopped.
    let engine = call.spec.engine.as_ref();
    let id = call.head.id.as_ref();
    let movable = id.filter(|_| engine.is_some_and(|engine| engine.supports_moves));
    let _registration = movable.map(|id| relay.moved_runs().local().register(id));
    let answered = send(relay, call, placed, &dispatch, None, None).await?;
    answered.read_whole(relay, call, placed).await
}
