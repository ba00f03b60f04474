//! Errors towards callers: JSON in the well-known form, with the truth about what ran.

use std::time::Duration;

use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::Reason;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::UnknownReason;
use serde::Serialize;
use xitca_web::bytes::Bytes;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::HeaderValue;
use xitca_web::http::header::RETRY_AFTER;

/// Whether a request ran, as far as the system knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Ran {
    /// It did not run.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

/// An answer that is no result.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: String,
    ran: Ran,
    retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl Refusal {
    /// A request that is wrong in itself. It did not run and would not the next time either.
    pub(crate) fn bad(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Refusal {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// The answer for an outcome that is no completion.
    pub(crate) fn of(outcome: &Outcome) -> Option<Self> {
        match outcome {
            Outcome::Completed(_) => None,
            Outcome::NotRun(refusal) => Some(Refusal::not_run(refusal)),
            Outcome::Failed(reason) => Some(Refusal::failed(*reason)),
            Outcome::Unknown(reason) => Some(Refusal::unknown(*reason)),
        }
    }

    /// The answer for a request that did not run.
    pub(crate) fn not_run(refusal: &NotRun) -> Self {
        let reason = refusal.reason();
        Refusal {
            status: refusal_status(reason),
            code: reason.code(),
            message: refusal_message(reason).to_string(),
            ran: Ran::No,
            retry_after: refusal.retry_after(),
        }
    }

    fn failed(reason: FailureReason) -> Self {
        let status = match reason {
            FailureReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            FailureReason::KillsBackends => StatusCode::UNPROCESSABLE_ENTITY,
            FailureReason::ReplayExpired => StatusCode::GONE,
            _ => StatusCode::BAD_GATEWAY,
        };
        Refusal {
            status,
            code: reason.code(),
            message: failure_message(reason).to_string(),
            ran: Ran::Yes,
            retry_after: None,
        }
    }

    fn unknown(reason: UnknownReason) -> Self {
        let message = "the request may have run; look whether it took effect before sending it again, \
            or send it with an Idempotency-Key";
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            code: reason.code(),
            message: message.to_string(),
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// The body.
    pub(crate) fn body(&self) -> Vec<u8> {
        let kind = match self.status.is_client_error() {
            true => "invalid_request_error",
            false => "server_error",
        };
        let envelope = Envelope {
            error: ErrorBody {
                message: &self.message,
                r#type: kind,
                code: self.code,
                ran: self.ran,
                retry_after_ms: self.retry_after.map(|after| after.as_millis()),
            },
        };
        serde_json::to_vec(&envelope).unwrap_or_default()
    }

    /// The whole response.
    pub(crate) fn response(&self) -> WebResponse {
        let mut response = WebResponse::new(Bytes::from(self.body()).into());
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, whole_seconds(after));
        }
        response
    }
}

/// The header counts whole seconds; rounding down would call a caller back too early.
fn whole_seconds(after: Duration) -> HeaderValue {
    let seconds = after.as_millis().div_ceil(1_000).max(1);
    HeaderValue::from_str(&seconds.to_string()).unwrap_or(HeaderValue::from_static("1"))
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::QueueFull
        | RefusalReason::WorkspaceFull
        | RefusalReason::RateLimited
        | RefusalReason::ConcurrencyLimited => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::ServiceUnknown => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::QueueFull => "the service is full; come back after the time given",
        RefusalReason::WorkspaceFull => {
            "the workspace has its whole part of the queue in use; come back after the time given"
        }
        RefusalReason::RateLimited => {
            "the workspace sends more requests a second than it may; come back after the time given"
        }
        RefusalReason::ConcurrencyLimited => {
            "too many requests are open at once; wait for one to end"
        }
        RefusalReason::DeadlineUnreachable => {
            "the deadline would pass before the work could end; allow more time"
        }
        RefusalReason::Draining => "the process is leaving; send the request again",
        RefusalReason::NoBackend => "no backend server can be reached; come back later",
        RefusalReason::StoreUnavailable => {
            "the platform's store does not answer, and work with an Idempotency-Key needs it; come back later"
        }
        RefusalReason::Superseded => "a later attempt of the request has taken over",
        RefusalReason::BackendRefused => "the backend server refused the request; come back later",
        RefusalReason::ConnectFailed => "the backend server cannot be reached; come back later",
        RefusalReason::RetryBudget => "too much is being tried again already; come back later",
        RefusalReason::Cancelled => "the request was cancelled before it started",
        RefusalReason::NoConfiguration => "the process has no configuration yet; come back later",
        RefusalReason::NotPlaced => "no backend server holds this model now; come back later",
        RefusalReason::ServiceUnknown => "there is no such service or model; see /v1/models",
        RefusalReason::Suspected => {
            "requests like this one have ended backend servers; change it before sending it again"
        }
    }
}

fn failure_message(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::BackendLost => {
            "the backend server ended while it ran the request; send it again as a new one"
        }
        FailureReason::BackendError => "the backend server failed; send it again as a new one",
        FailureReason::DeadlineExceeded => "the deadline passed; allow more time or ask for less",
        FailureReason::KillsBackends => {
            "requests like this one ended several backend servers; it is not tried again, change it"
        }
        FailureReason::Cancelled => "the request was cancelled",
        FailureReason::ForcedStop => "the process was stopped by force; send it again",
        FailureReason::ReplayExpired => {
            "the stream is no longer kept; send the request again as a new one"
        }
    }
}
