//! What the HTTP adapters share: connections, limits, and the proof that nothing was sent.
//!
//! A connection from a pool may have been closed by the peer a moment ago. A request written into
//! it may or may not have been read, and nothing on this side tells which. So calls that must not
//! run twice take `Reuse::Fresh`: their connection is opened for them alone, and an error while
//! it opens proves that no byte was sent. Every other loss is `CallError::Lost`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body_end::BodyEnd;
use crate::body_end::Framing;
use crate::body_end::Position;
use crate::body_end::ServerFate;
use crate::body_end::Stop;
use crate::final_status::is_final;
use crate::informational_limit::InformationalLimit;
use crate::informational_limit::MAX_INFORMATIONAL;

/// What went wrong with a call over HTTP.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// The connection was not established: no byte of the request was sent.
    #[error("{0}")]
    NotSent(String),
    /// The request, or a part of it, may have reached the peer.
    #[error("{0}")]
    Lost(String),
}

/// The result of a call over HTTP.
pub(crate) type Result<T> = std::result::Result<T, CallError>;

/// The limits of an adapter's calls.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// The longest time to open a connection.
    connect: Duration,
    /// The longest time without a byte from the peer.
    silence: Duration,
    /// The longest time from an answer's head to the end of its body, if it is taken as a whole.
    whole: Duration,
    /// The longest time that an unused connection is kept.
    idle: Duration,
    /// The largest body or line taken from the peer, in bytes.
    body: usize,
}

// Within a region a connection opens in a few milliseconds; one lost SYN costs a second more.
const CONNECT: Duration = Duration::from_secs(2);

// Peers show life each half second (see the published protocol); eight such signs are missed.
const SILENCE: Duration = Duration::from_secs(4);

// Twice the longest call that users wait for. A peer that sends a byte now and then would never be silent.
const WHOLE: Duration = Duration::from_secs(60);

// Below the five seconds after which common servers close an unused connection.
const IDLE: Duration = Duration::from_secs(4);

// Answers of plain services are held whole; larger ones would cost a small host its memory.
const BODY: usize = 8 * 1024 * 1024;

// A burst's worth of connections to one peer; more would only be closed unused.
const POOL: usize = 16;

impl HttpLimits {
    /// The limits that suit peers in the same region.
    pub fn new() -> Self {
        HttpLimits {
            connect: CONNECT,
            silence: SILENCE,
            whole: WHOLE,
            idle: IDLE,
            body: BODY,
        }
    }

    /// Gives up opening a connection after `limit`.
    pub fn with_connect(self, limit: Duration) -> Self {
        HttpLimits {
            connect: limit,
            ..self
        }
    }

    /// Takes an answer for lost when no byte has come for `limit`.
    pub fn with_silence(self, limit: Duration) -> Self {
        HttpLimits {
            silence: limit,
            ..self
        }
    }

    /// Takes an answer for lost when its body takes more than `limit` as a whole.
    pub fn with_whole(self, limit: Duration) -> Self {
        HttpLimits {
            whole: limit,
            ..self
        }
    }

    /// Closes a connection that was not used for `limit`.
    pub fn with_idle(self, limit: Duration) -> Self {
        HttpLimits {
            idle: limit,
            ..self
        }
    }

    /// Takes an answer for lost when it has more than `limit` bytes.
    pub fn with_body(self, limit: usize) -> Self {
        HttpLimits {
            body: limit,
            ..self
        }
    }
}

impl Default for HttpLimits {
    fn default() -> Self {
        HttpLimits::new()
    }
}

/// Which connection a call may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// One of the pool: for calls that do no harm when they run twice or not at all.
    Pooled,
    /// One of its own, opened for the call.
    Fresh,
}

type HyperClient = Client<HttpConnector, Full<Bytes>>;

/// Calls to one peer.
pub(crate) struct HttpClient {
    addr: SocketAddr,
    limits: HttpLimits,
    // Replaced as a whole when one of its connections went silent: the others of its age are
    // likely to be silent too, and each would cost a caller the whole limit.
    pooled: ArcSwap<HyperClient>,
    // Keeps no connection, so that it never reuses one.
    fresh: HyperClient,
}

impl HttpClient {
    /// Calls to the peer at `addr`.
    pub(crate) fn new(addr: SocketAddr, limits: HttpLimits) -> Self {
        HttpClient {
            addr,
            limits,
            pooled: ArcSwap::from_pointee(hyper_client(limits, POOL)),
            fresh: hyper_client(limits, 0),
        }
    }

    /// The longest time without a byte from the peer.
    pub(crate) fn silence(&self) -> Duration {
        self.limits.silence
    }

    /// The beginning of a request for `path`, which begins with a slash.
    pub(crate) fn request(&self, method: &str, path: &str) -> request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
    }

    /// Sends a request, and returns when the answer's head is there.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>> {
        self.send_within(request, reuse, self.limits.silence).await
    }

    /// As `send`, with another limit for the time until the answer's head is there.
    pub(crate) async fn send_within(
        &self,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Response<Incoming>> {
        let client = match reuse {
            Reuse::Pooled => self.pooled.load_full(),
            Reuse::Fresh => Arc::new(self.fresh.clone()),
        };
        let mut connection = capture_connection(&mut request);
        let informational = InformationalLimit::new(&mut request);
        let response = client.request(request);
        let silence = async {
            // Until then the connector's own limit holds.
            drop(connection.wait_for_connection_metadata().await);
            tokio::time::sleep(limit).await;
        };
        tokio::select! {
            response = response => final_answer(response.map_err(call_error)?),
            () = informational.exceeded() => {
                let limit = MAX_INFORMATIONAL;
                Err(CallError::Lost(format!(
                    "over {limit} informational answers came first; check the peer"
                )))
            }
            () = silence => {
                self.renew(reuse);
                Err(CallError::Lost(format!("no answer within {limit:?}")))
            }
        }
    }

    /// Sends a request, and returns the whole answer.
    pub(crate) async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Response<Bytes>> {
        let response = self.send(request, reuse).await?;
        self.whole(response).await
    }

    /// The whole of an answer.
    pub(crate) async fn whole(&self, response: Response<Incoming>) -> Result<Response<Bytes>> {
        let (parts, body) = response.into_parts();
        let framing = Framing::of(&parts.headers, body.size_hint().exact());
        let limit = self.limits.whole;
        let bytes = timeout(limit, self.collect(body)).await;
        let bytes = bytes.map_err(|_| {
            CallError::Lost(format!("the answer's body takes more than {limit:?}"))
        })??;
        let end = BodyEnd::of(framing, Stop::Announced, Position::Boundary);
        if end == BodyEnd::Unconfirmed && end.confirm(self.peer_fate().await) != BodyEnd::Complete {
            return Err(CallError::Lost(
                "the peer is gone, and nothing but its connection marked the end of the answer"
                    .into(),
            ));
        }
        Ok(Response::from_parts(parts, bytes))
    }

    async fn collect(&self, body: Incoming) -> Result<Bytes> {
        let mut chunks = Chunks::new(body, self.limits.silence);
        let mut bytes = BytesMut::new();
        while let Some(chunk) = chunks.next().await? {
            if bytes.len() + chunk.len() > self.limits.body {
                return Err(CallError::Lost(format!(
                    "the answer has more than {} bytes",
                    self.limits.body
                )));
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes.freeze())
    }

    /// What became of the peer, by whether it accepts connections.
    async fn peer_fate(&self) -> ServerFate {
        let connecting = TcpStream::connect(self.addr);
        match timeout(self.limits.connect, connecting).await {
            Ok(Ok(_)) => ServerFate::Alive,
            Ok(Err(_)) | Err(_) => ServerFate::Gone,
        }
    }

    /// The lines of an answer that comes bit by bit.
    pub(crate) fn lines(&self, response: Response<Incoming>) -> Lines {
        Lines {
            chunks: Chunks::new(response.into_body(), self.limits.silence),
            buffer: BytesMut::new(),
            limit: self.limits.body,
        }
    }

    fn renew(&self, reuse: Reuse) {
        if reuse == Reuse::Pooled {
            self.pooled.store(Arc::new(hyper_client(self.limits, POOL)));
        }
    }
}

fn hyper_client(limits: HttpLimits, pool: usize) -> HyperClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.connect));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle)
        .pool_max_idle_per_host(pool)
        .retry_canceled_requests(pool > 0)
        .build(connector)
}

/// The answer if its status is one of a final answer. What another one says is no proof of anything.
fn final_answer<T>(response: Response<T>) -> Result<Response<T>> {
    match is_final(response.status()) {
        true => Ok(response),
        false => Err(CallError::Lost(format!(
            "{} is no status of a final answer; check the peer",
            response.status()
        ))),
    }
}

fn call_error(error: hyper_util::client::legacy::Error) -> CallError {
    if error.is_connect() {
        CallError::NotSent(chain(&error))
    } else {
        CallError::Lost(chain(&error))
    }
}

/// An error and its causes in one line.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

struct Chunks {
    body: Incoming,
    silence: Duration,
}

impl Chunks {
    fn new(body: Incoming, silence: Duration) -> Self {
        Chunks { body, silence }
    }

    async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = match timeout(self.silence, self.body.frame()).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(CallError::Lost(chain(&error))),
                Err(_) => {
                    return Err(CallError::Lost(format!("silent for {:?}", self.silence)));
                }
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

/// The lines of an answer, as they come.
pub(crate) struct Lines {
    chunks: Chunks,
    // Holds no more than one chunk beyond `limit`.
    buffer: BytesMut,
    limit: usize,
}

impl Lines {
    /// The next line that is not empty, or `None` at the end. Empty lines are signs of life.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            while let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                if end > 0 {
                    return Ok(Some(line.freeze().slice(..end)));
                }
            }
            if self.buffer.len() > self.limit {
                return Err(CallError::Lost(format!(
                    "a line has more than {} bytes",
                    self.limit
                )));
            }
            match self.chunks.next().await? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None => return Ok(None),
            }
        }
    }
}

/// The text with every byte that has a meaning in paths and queries escaped; slashes stay.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

/// Whether an answer says that the request did not run.
pub(crate) fn did_not_run<T>(response: &Response<T>) -> bool {
    let said = response
        .headers()
        .get(RAN_HEADER)
        .is_some_and(|value| value == "no");
    said && !response.status().is_success()
}

/// The header by which a backend server says whether a request ran; `no` is the only proof.
pub const RAN_HEADER: &str = "x-ran";

/// A body's text for a message, cut short.
pub(crate) fn excerpt(body: &[u8]) -> String {
    let cut = &body[..body.len().min(EXCERPT)];
    String::from_utf8_lossy(cut).trim().to_string()
}

// Enough for a sentence in a log.
const EXCERPT: usize = 200;
