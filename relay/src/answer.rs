//! Responses to callers: their bodies, and the responses that the relay makes itself.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::byte_budget::HeldBytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use prometheus::IntGauge;
use thiserror::Error;

use crate::caller_io::ConnectionActivity;
use crate::event_queue::EventReceiver;

/// A complete body is passed on in pieces of this size: what a slow caller has not read stays counted as held.
const MAX_PIECE_BYTES: usize = 16 * 1024;

/// A stream that could not be continued. Its connection is closed before the end of the body, so that the caller does
/// not take a truncated response for a complete one.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream could not be continued; its connection is closed before the end of the body")]
pub(crate) struct StreamAborted;

/// The body of a response: complete, or streamed in chunks.
pub(crate) struct ResponseBody {
    source: BodySource,
    // Counts the response as open until its body is dropped.
    guard: Option<OpenResponseGuard>,
    // Counts the bytes of a complete body as held until then.
    _held: Option<HeldBytes>,
}

enum BodySource {
    Full(Bytes),
    Events(EventReceiver),
}

impl ResponseBody {
    /// Creates a body whose bytes are all known.
    pub(crate) fn full(bytes: Bytes) -> Self {
        ResponseBody {
            source: BodySource::Full(bytes),
            guard: None,
            _held: None,
        }
    }

    /// Creates a body that is streamed from a queue of events.
    pub(crate) fn from_events(events: EventReceiver) -> Self {
        ResponseBody {
            source: BodySource::Events(events),
            guard: None,
            _held: None,
        }
    }

    /// Attaches what counts the bytes of a complete body as held until it is sent or dropped.
    pub(crate) fn with_held(self, held: HeldBytes) -> Self {
        ResponseBody {
            _held: Some(held),
            ..self
        }
    }

    /// Attaches the guard that counts the response as open until its body is sent or dropped.
    pub(crate) fn with_guard(self, guard: OpenResponseGuard) -> Self {
        ResponseBody {
            guard: Some(guard),
            ..self
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match &mut self.source {
            BodySource::Full(rest) if rest.is_empty() => Poll::Ready(None),
            BodySource::Full(rest) => {
                let piece = rest.split_to(rest.len().min(MAX_PIECE_BYTES));
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            BodySource::Events(events) => {
                let polled = events.poll_recv(cx);
                if let (Poll::Ready(Some(Err(StreamAborted))), Some(guard)) = (&polled, &self.guard)
                {
                    guard.activity.response_aborted();
                }
                polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, BodySource::Full(rest) if rest.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Full(rest) => SizeHint::with_exact(rest.len() as u64),
            BodySource::Events(_) => SizeHint::default(),
        }
    }
}

/// Counts a response as open, on its connection and in the metrics, until dropped.
pub(crate) struct OpenResponseGuard {
    activity: Arc<ConnectionActivity>,
    open: IntGauge,
}

impl OpenResponseGuard {
    /// Records the start of a request on the connection, in this version of HTTP.
    pub(crate) fn new(activity: Arc<ConnectionActivity>, version: Version, open: IntGauge) -> Self {
        activity.request_started(version);
        open.inc();
        OpenResponseGuard { activity, open }
    }
}

impl Drop for OpenResponseGuard {
    fn drop(&mut self) {
        self.activity.response_ended();
        self.open.dec();
    }
}

/// A response that the relay makes itself, in place of a backend server's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LocalResponse {
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    InvalidKey,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request is malformed, or can be parsed in two ways.
    BadRequest,
    /// The request did not run and never will; the caller may retry after this time.
    NotRun(Duration),
    /// The body did not arrive in time; the request did not run.
    BodyTimeout,
    /// The request failed, or its outcome is unknown.
    Failed,
    /// The deadline has passed and the request may have run.
    DeadlineExceeded,
}

impl LocalResponse {
    fn status(self) -> StatusCode {
        match self {
            LocalResponse::NoRoute => StatusCode::NOT_FOUND,
            LocalResponse::InvalidKey => StatusCode::UNAUTHORIZED,
            LocalResponse::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            LocalResponse::BadRequest => StatusCode::BAD_REQUEST,
            LocalResponse::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            LocalResponse::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            LocalResponse::Failed => StatusCode::BAD_GATEWAY,
            LocalResponse::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let LocalResponse::NotRun(after) = self {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if matches!(
            self,
            LocalResponse::BodyTooLarge | LocalResponse::BadRequest | LocalResponse::BodyTimeout
        ) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
