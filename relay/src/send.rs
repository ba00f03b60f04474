//! Sends a request to a backend server and waits for the head of the answer, and builds the entry's own answer if no
//! server gave one. This is the only place that decides from the head whether the request ran.

use std::time::Duration;

use cicada_lib::body_end::Framing;
use cicada_lib::dialect::Dispatch;
use cicada_lib::final_status::is_final;
use cicada_lib::fleet::NoServer;
use cicada_lib::server_statement::Speaker;
use cicada_lib::site::CallKind;
use cicada_lib::time::Time;
use http::Response;
use http::response::Parts;
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::attempts::Attempts;
use crate::crash_check;
use crate::exchange::Call;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::upstream;
use crate::upstream::Connection;
use crate::upstream::OpenConnection;
use crate::upstream::SendError;

/// An answer whose head has arrived: it is either signed or a failure.
pub(crate) struct StartedAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) framing: Framing,
    pub(crate) connection: Connection,
}

/// Why a send brought no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoAnswer {
    /// The server stated that it did not run the request.
    Refused,
    /// The server could not be reached, so nothing was sent.
    Unreached,
    /// The server stopped taking work while the connection was opened, or another one answered there, or this relay ends,
    /// so nothing was sent.
    Withdrawn,
    /// The request became a suspect, or lost its trial, before it was sent.
    Suspect,
    /// The address belongs to another server now, which did not run the request.
    Elsewhere,
    /// It is unknown whether the request ran.
    Unknown,
    /// The connection was lost, and the server's process has ended. It is unknown whether the request ran.
    Crashed,
    /// No answer came for longer than the server's load explains.
    Silent,
    /// The answer exceeds what this host may hold for a caller. The request ran.
    TooLarge,
    /// The request's deadline has passed.
    TimeOver,
}

/// Sends the request and waits for the head of the answer. Uses the connection `prepared` if one was opened in advance.
/// Gives the server up if it has not begun to answer at `progress_deadline`, if that is given.
pub(crate) async fn send(
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
    dispatch: &Dispatch,
    prepared: Option<OpenConnection>,
    progress_deadline: Option<Instant>,
) -> Result<StartedAnswer, NoAnswer> {
    // A run that continues from memory at the server can go nowhere else.
    let may_go_elsewhere = dispatch.memory.is_none();
    if may_go_elsewhere && !relay.confirm_incarnation(call, placed).await {
        return Err(NoAnswer::Withdrawn);
    }
    let opened = match prepared {
        Some(opened) => opened,
        None => match timeout_at(
            call.timer_deadline,
            upstream::open(placed.record.address, placed.round_trip()),
        )
        .await
        {
            Err(_) | Ok(Err(SendError::NotSent(_))) => return Err(NoAnswer::Unreached),
            Ok(Err(SendError::Lost(_))) => return Err(NoAnswer::Unknown),
            Ok(Ok(opened)) => opened,
        },
    };
    if may_go_elsewhere && !placed.may_be_sent() {
        return Err(NoAnswer::Withdrawn);
    }
    if may_go_elsewhere && !relay.may_send(call) {
        call.set_trial(None);
        return Err(NoAnswer::Suspect);
    }
    // If the host was suspended while the connection was opened, the deadline may have passed without a timeout.
    let left = call.time_left();
    if left.is_zero() {
        return Err(NoAnswer::Unreached);
    }
    let dispatch = Dispatch {
        left,
        ..dispatch.clone()
    };
    let Some(sends_before) = call.record_send() else {
        return Err(NoAnswer::Withdrawn);
    };
    log_send(relay, call, placed, &dispatch, sends_before);
    let age = opened.age().as_micros() as u64;
    call.set_opened_at(Time::from_micros(relay.now().micros().saturating_sub(age)));
    call.set_unresolved(true);
    let request = call.request(relay, &dispatch);
    let (sent_instant, sent_at) = (Instant::now(), relay.now());
    let give_up_at = progress_deadline.map_or(call.timer_deadline, |progress_deadline| {
        progress_deadline.min(call.timer_deadline)
    });
    let answer = match timeout_at(give_up_at, opened.send(request)).await {
        Err(_) if call.time_left().is_zero() => return Err(NoAnswer::TimeOver),
        Err(_) => return Err(NoAnswer::Silent),
        Ok(Err(_)) => return Err(crash_check::handle_unanswered(relay, call, placed).await),
        Ok(Ok(answer)) => answer,
    };
    let (parts, body) = answer.response.into_parts();
    if !is_final(parts.status) {
        let (id, server, status) = (call.id(), &placed.record.id, parts.status.as_u16());
        tracing::info!(id, %server, status, "send: the status is none of a final answer");
        return Err(NoAnswer::Unknown);
    }
    let head = relay.dialect().answer_head(parts.status, &parts.headers);
    let speaker = head.speaker(call.head.id.as_ref(), parts.status);
    if let Speaker::Other(other) = &speaker {
        placed.record_mismatch(other);
    }
    relay.record_statement(placed, &speaker, &head, sent_at);
    let is_plain_success = call.spec.engine.is_none() && parts.status.is_success();
    if speaker == Speaker::Expected && is_plain_success {
        placed.record_response_time(sent_instant.elapsed(), head.statement.load);
    }
    if head.id.is_some() && head.id != call.head.id {
        return Err(NoAnswer::Unknown);
    }
    if matches!(speaker, Speaker::Other(_)) {
        call.set_unresolved(false);
        return Err(NoAnswer::Elsewhere);
    }
    if head.refused {
        call.set_unresolved(false);
        return Err(NoAnswer::Refused);
    }
    if parts.status.is_success() && !head.signed {
        return Err(NoAnswer::Unknown);
    }
    let framing = Framing::of(&parts.headers, body.size_hint().exact());
    Ok(StartedAnswer {
        parts,
        body,
        framing,
        connection: answer.connection,
    })
}

/// Counts the send, and logs it unless it is the request's first.
fn log_send(
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
    dispatch: &Dispatch,
    sends_before: u32,
) {
    let kind = match (&dispatch.memory, sends_before) {
        (Some(_), _) => "moved",
        (None, 0) => "first",
        (None, _) => "repeat",
    };
    relay.metrics().count_send(kind);
    if sends_before > 0 {
        tracing::info!(
            id = call.id(),
            service = %call.service,
            server = %placed.record.id,
            kind,
            sends_before,
            waited = call.arrived.elapsed().as_millis() as u64,
            "send: the request is sent once more"
        );
    }
}

/// Builds the entry's own answer if no server gave one. It says "not run" only if no server can have run the request;
/// the caller may then retry after the `pause`.
pub(crate) fn build_own_answer(
    relay: &Relay,
    call: &Call,
    attempts: &Attempts,
    pause: Duration,
) -> Response<ResponseBody> {
    let id = call.id();
    let waited = call.arrived.elapsed().as_millis() as u64;
    let (outcome, own) = match (attempts.may_have_run(), call.time_left().is_zero()) {
        (false, _) => ("not_run", LocalResponse::NotRun(pause)),
        (true, true) => ("time_over", LocalResponse::DeadlineExceeded),
        (true, false) => ("unknown", LocalResponse::Failed),
    };
    relay.metrics().count_answer(outcome);
    let lacking = attempts.no_server_reason().map(NoServer::as_str);
    if let ("not_run", Some(why)) = (outcome, lacking) {
        relay.metrics().count_refusal(why);
    }
    let kind = match call.admitted.route.kind {
        CallKind::Streaming => "stream",
        CallKind::Idempotent | CallKind::NonIdempotent => "request",
    };
    tracing::info!(
        id,
        outcome,
        lacking,
        regions = ?call.admitted.regions,
        waited,
        service = %call.service,
        "{kind}: own answer"
    );
    own.into_response()
}
