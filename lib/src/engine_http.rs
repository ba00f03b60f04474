//! A model engine behind HTTP. The protocol is published in docs/standins.md.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::backend::BackendError;
use crate::backend::CacheEvent;
use crate::backend::Engine;
use crate::backend::EngineEvent;
use crate::backend::EngineLoad;
use crate::backend::EngineStream;
use crate::backend::GenerationSpec;
use crate::backend::Order;
use crate::backend::Result;
use crate::http_client::CallError;
use crate::http_client::HttpClient;
use crate::http_client::HttpLimits;
use crate::http_client::Lines;
use crate::http_client::Reuse;
use crate::http_client::did_not_run;
use crate::http_client::excerpt;
use crate::ids::GenerationId;
use crate::value_type;

value_type! {
    /// A line of a generation's stream.
    pub enum StreamLine {
        /// What the engine says of the generation.
        Event(EngineEvent),
        /// The generation failed or was cancelled; the last line.
        Failed(String),
        /// The engine has dropped the tokens asked for; the last line.
        Gone,
    }

    /// The body of an order.
    pub struct OrderRequest {
        /// The fencing number of the agent that gives it.
        pub fence: u64,
        /// The order.
        pub order: Order,
    }
}

/// The header that carries the largest fencing number an engine has seen.
pub const FENCE_HEADER: &str = "x-fence";

/// The bytes of a prompt that make one block of the engine's prefix cache.
pub const PREFIX_BLOCK: usize = 256;

/// The digests under which an engine caches the prompt's whole blocks, shortest prefix first: the
/// hash of the first `PREFIX_BLOCK`, 2 × `PREFIX_BLOCK`, … bytes, after the model's and the
/// adapter's names with a zero byte behind each.
pub fn prefix_digests(model: &str, adapter: &str, prompt: &str) -> Vec<u64> {
    let mut hash = FNV_START;
    for name in [model, adapter] {
        hash = fnv1a(hash, name.as_bytes());
        hash = fnv1a(hash, &[0]);
    }
    let mut digests = Vec::with_capacity(prompt.len() / PREFIX_BLOCK);
    for block in prompt.as_bytes().chunks_exact(PREFIX_BLOCK) {
        hash = fnv1a(hash, block);
        digests.push(hash);
    }
    digests
}

/// The 64-bit FNV-1a hash of no bytes.
pub const FNV_START: u64 = 0xcbf2_9ce4_8422_2325;

/// The 64-bit FNV-1a hash of what `hash` covers and `bytes` behind it.
pub fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A model engine that is reached over HTTP.
pub struct HttpEngine {
    http: HttpClient,
}

impl HttpEngine {
    /// The engine at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        HttpEngine::with_limits(addr, HttpLimits::new())
    }

    /// The engine at `addr`, with other limits.
    pub fn with_limits(addr: SocketAddr, limits: HttpLimits) -> Self {
        HttpEngine {
            http: HttpClient::new(addr, limits),
        }
    }

    async fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<()> {
        let request = self.json_request(path, body)?;
        let response = self.http.fetch(request, Reuse::Fresh).await?;
        accepted(response).map(drop)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let request = self.bare_request("GET", path)?;
        let response = self.http.fetch(request, Reuse::Pooled).await?;
        let body = accepted(response)?;
        serde_json::from_slice(&body).map_err(unreadable)
    }

    async fn stream(&self, request: Request<Full<Bytes>>, reuse: Reuse) -> Result<EngineStream> {
        let response = self.http.send(request, reuse).await?;
        if !response.status().is_success() {
            let response = self.http.whole(response).await?;
            return accepted(response).and(Err(BackendError::Gone));
        }
        Ok(event_stream(self.http.lines(response)))
    }

    fn json_request<T: Serialize>(&self, path: &str, body: &T) -> Result<Request<Full<Bytes>>> {
        let body = serde_json::to_vec(body).map_err(unsendable)?;
        self.http
            .request("POST", path)
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(unsendable)
    }

    fn bare_request(&self, method: &str, path: &str) -> Result<Request<Full<Bytes>>> {
        self.http
            .request(method, path)
            .body(Full::default())
            .map_err(unsendable)
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn start(&self, spec: &GenerationSpec) -> Result<EngineStream> {
        let request = self.json_request("/generations", spec)?;
        self.stream(request, Reuse::Fresh).await
    }

    async fn attach(&self, id: GenerationId, from: u32) -> Result<EngineStream> {
        let request = self.bare_request("GET", &format!("/generations/{id}?from={from}"))?;
        self.stream(request, Reuse::Fresh).await
    }

    async fn cancel(&self, id: GenerationId) -> Result<()> {
        let request = self.bare_request("DELETE", &format!("/generations/{id}"))?;
        let response = self.http.fetch(request, Reuse::Pooled).await?;
        match accepted(response) {
            Err(BackendError::Gone) => Ok(()),
            other => other.map(drop),
        }
    }

    async fn pause(&self, id: GenerationId) -> Result<()> {
        self.post(&format!("/generations/{id}/pause"), &()).await
    }

    async fn resume(&self, id: GenerationId) -> Result<()> {
        self.post(&format!("/generations/{id}/resume"), &()).await
    }

    async fn load(&self) -> Result<EngineLoad> {
        self.get("/load").await
    }

    async fn order(&self, fence: u64, order: &Order) -> Result<()> {
        let body = OrderRequest {
            fence,
            order: order.clone(),
        };
        self.post("/orders", &body).await
    }

    async fn cache_events(&self, sequence: u64) -> Result<Vec<CacheEvent>> {
        self.get(&format!("/cache-events?after={sequence}")).await
    }
}

fn event_stream(lines: Lines) -> EngineStream {
    stream::unfold(Some(lines), |lines| async move {
        let mut lines = lines?;
        let event = next_event(&mut lines).await;
        let over = !matches!(
            event,
            Ok(EngineEvent::Token { .. } | EngineEvent::Preempted | EngineEvent::Resumed)
        );
        let rest = if over { None } else { Some(lines) };
        Some((event, rest))
    })
    .boxed()
}

async fn next_event(lines: &mut Lines) -> Result<EngineEvent> {
    // An end without a last line is a lost connection: the peer's library may have closed it in
    // good order while its process was stopped.
    let Some(line) = lines.next().await? else {
        return Err(BackendError::Lost("the stream ended early".to_string()));
    };
    match serde_json::from_slice(&line).map_err(unreadable)? {
        StreamLine::Event(event) => Ok(event),
        StreamLine::Failed(text) => Err(BackendError::Failed(text)),
        StreamLine::Gone => Err(BackendError::Gone),
    }
}

/// The body of a good answer, or what a bad one means.
fn accepted(response: Response<Bytes>) -> Result<Bytes> {
    if response.status().is_success() {
        return Ok(response.into_body());
    }
    let text = format!("{}: {}", response.status(), excerpt(response.body()));
    if did_not_run(&response) {
        return Err(BackendError::Refused(text));
    }
    match response.status() {
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(BackendError::Gone),
        StatusCode::PRECONDITION_FAILED => Err(BackendError::Fenced(fence_seen(&response))),
        _ => Err(BackendError::Failed(text)),
    }
}

fn fence_seen(response: &Response<Bytes>) -> u64 {
    response
        .headers()
        .get(FENCE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

fn unsendable(error: impl std::fmt::Display) -> BackendError {
    BackendError::Unreachable(format!("the request cannot be put into HTTP: {error}"))
}

fn unreadable(error: serde_json::Error) -> BackendError {
    BackendError::Lost(format!("the answer cannot be read: {error}"))
}

impl From<CallError> for BackendError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(text) => BackendError::Unreachable(text),
            CallError::Lost(text) => BackendError::Lost(text),
        }
    }
}
