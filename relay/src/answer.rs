//! Responses to callers: their bodies, and the responses that the relay makes itself.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use prometheus::IntGauge;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::caller_io::Progress;

/// A stream that could not be continued. Its connection is closed before the end of the body, so that the caller does
/// not take a truncated response for a complete one.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream could not be continued; its connection is closed before the end of the body")]
pub(crate) struct StreamAborted;

/// The body of a response: complete, or streamed in chunks.
pub(crate) struct AnswerBody {
    source: BodySource,
    // Counts the response as open until its body is dropped.
    _open: Option<OpenAnswer>,
}

enum BodySource {
    Full(Option<Bytes>),
    Channel(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl AnswerBody {
    /// Creates a body whose bytes are all known.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let bytes = (!bytes.is_empty()).then_some(bytes);
        AnswerBody {
            source: BodySource::Full(bytes),
            _open: None,
        }
    }

    /// Creates a body that is streamed from a channel.
    pub(crate) fn parts(chunks: mpsc::Receiver<Result<Bytes, StreamAborted>>) -> Self {
        AnswerBody {
            source: BodySource::Channel(chunks),
            _open: None,
        }
    }

    /// Attaches the guard that counts the response as open until its body is sent or dropped.
    pub(crate) fn with_open(self, open: OpenAnswer) -> Self {
        AnswerBody {
            _open: Some(open),
            ..self
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match &mut self.source {
            BodySource::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            BodySource::Channel(chunks) => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, BodySource::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            BodySource::Channel(_) => SizeHint::default(),
        }
    }
}

/// Counts a response as open, on its connection and in the metrics, until dropped.
pub(crate) struct OpenAnswer {
    progress: Arc<Progress>,
    open: IntGauge,
}

impl OpenAnswer {
    /// Records the start of a request on the connection.
    pub(crate) fn new(progress: Arc<Progress>, open: IntGauge) -> Self {
        progress.request_started();
        open.inc();
        OpenAnswer { progress, open }
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.progress.response_ended();
        self.open.dec();
    }
}

/// A response that the relay makes itself, in place of a backend server's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnAnswer {
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
    /// The body exceeds the size limit.
    TooLarge,
    /// The request is malformed or ambiguous.
    BadRequest,
    /// The request did not run and never will; the caller may retry after this time.
    NotRun(Duration),
    /// The body did not arrive in time; the request did not run.
    TooSlow,
    /// The request failed, or its outcome is unknown.
    Failed,
    /// The deadline has passed and the request may have run.
    TimeOver,
}

impl OwnAnswer {
    fn status(self) -> StatusCode {
        match self {
            OwnAnswer::NoRoute => StatusCode::NOT_FOUND,
            OwnAnswer::BadKey => StatusCode::UNAUTHORIZED,
            OwnAnswer::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            OwnAnswer::BadRequest => StatusCode::BAD_REQUEST,
            OwnAnswer::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            OwnAnswer::TooSlow => StatusCode::REQUEST_TIMEOUT,
            OwnAnswer::Failed => StatusCode::BAD_GATEWAY,
            OwnAnswer::TimeOver => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response.
    pub(crate) fn response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let OwnAnswer::NotRun(after) = self {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if matches!(
            self,
            OwnAnswer::TooLarge | OwnAnswer::BadRequest | OwnAnswer::TooSlow
        ) {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
