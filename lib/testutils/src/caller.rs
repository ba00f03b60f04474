//! A caller of an entry: sends requests, reads streams event by event, and checks what it is given.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

use crate::http_call;
use crate::token_text;

// Longer than any silence that a test brings about.
const LIMIT: Duration = Duration::from_secs(30);

/// A caller with its key.
#[derive(Clone, Debug)]
pub struct Caller {
    addr: SocketAddr,
    key: String,
}

/// What a stream gave up to where it ended or broke.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    /// The text.
    pub text: String,
    /// The identifier of the last event that had one.
    pub last_id: String,
    /// Whether the end came.
    pub done: bool,
    /// The error in the stream, if one came.
    pub error: Option<Value>,
    /// The usage told with the end.
    pub usage: Option<Value>,
    /// The longest time without an event.
    pub longest: Duration,
}

impl Heard {
    /// The number of tokens, if the text is a whole beginning of an answer to `prompt`.
    pub fn check(&self, prompt: &str) -> Result<usize> {
        Ok(token_text::check_text(prompt, &self.text)?)
    }
}

/// An open stream.
#[derive(Debug)]
pub struct OpenStream {
    /// The answer's status.
    pub status: StatusCode,
    /// The answer's headers.
    pub headers: HeaderMap,
    body: Incoming,
    buffer: BytesMut,
}

impl Caller {
    /// A caller of the entry at `addr`.
    pub fn new(addr: SocketAddr, key: &str) -> Self {
        Caller {
            addr,
            key: key.to_string(),
        }
    }

    /// The same caller at another entry.
    pub fn at(&self, addr: SocketAddr) -> Self {
        Caller::new(addr, &self.key)
    }

    /// Sends a request with a body of JSON, and returns the whole answer.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Response<Bytes>> {
        let request = self.request("POST", path, &[], body.to_string())?;
        http_call::call(self.addr, request).await
    }

    /// Sends a request with any body and more headers.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response<Bytes>> {
        let request = self.request(method, path, headers, body.to_string())?;
        http_call::call(self.addr, request).await
    }

    /// Asks for a completion as a whole.
    pub async fn complete(&self, prompt: &str) -> Result<Response<Bytes>> {
        let body = json!({"model": "model", "prompt": prompt});
        self.post("/v1/completions", &body).await
    }

    /// Begins a streamed completion.
    pub async fn stream(&self, prompt: &str) -> Result<OpenStream> {
        self.open(prompt, &[]).await
    }

    /// Goes on with a streamed completion after the event `last_id`.
    pub async fn resume(&self, prompt: &str, last_id: &str) -> Result<OpenStream> {
        self.open(prompt, &[("last-event-id", last_id)]).await
    }

    async fn open(&self, prompt: &str, headers: &[(&str, &str)]) -> Result<OpenStream> {
        let body = json!({"model": "model", "prompt": prompt, "stream": true}).to_string();
        let request = self.request("POST", "/v1/completions", headers, body)?;
        let (mut head, body) = request.into_parts();
        head.uri = format!("http://{}{}", self.addr, head.uri).parse()?;
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        let sending = client.request(Request::from_parts(head, Full::new(body)));
        let (head, body) = timeout(LIMIT, sending).await??.into_parts();
        Ok(OpenStream {
            status: head.status,
            headers: head.headers,
            body,
            buffer: BytesMut::new(),
        })
    }

    fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Request<Bytes>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(request.body(Bytes::from(body))?)
    }
}

impl OpenStream {
    /// The whole answer, where it is no stream.
    pub async fn whole(self) -> Result<Response<Bytes>> {
        let body = timeout(LIMIT, self.body.collect()).await??.to_bytes();
        let mut answer = Response::new(body);
        *answer.status_mut() = self.status;
        Ok(answer)
    }

    /// Reads to the end, or to where the connection broke.
    pub async fn hear(mut self) -> Heard {
        let mut heard = Heard::default();
        while !heard.done && heard.error.is_none() {
            if !self.hear_event(&mut heard).await {
                break;
            }
        }
        heard
    }

    /// Reads at least `tokens` events, or to the end, and leaves the rest.
    pub async fn hear_some(&mut self, heard: &mut Heard, events: usize) {
        for _ in 0..events {
            if heard.done || heard.error.is_some() || !self.hear_event(heard).await {
                return;
            }
        }
    }

    /// Reads one event; false where the stream is over.
    async fn hear_event(&mut self, heard: &mut Heard) -> bool {
        let start = tokio::time::Instant::now();
        let event = match timeout(LIMIT, self.event()).await {
            Ok(Ok(event)) => event,
            Ok(Err(_)) | Err(_) => return false,
        };
        heard.longest = heard.longest.max(start.elapsed());
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                heard.last_id = id.to_string();
            } else if let Some(data) = line.strip_prefix("data: ") {
                note_data(heard, data);
            }
        }
        true
    }

    async fn event(&mut self) -> Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\n\n") {
                let event = self.buffer.split_to(end + 2);
                return Ok(String::from_utf8(event.to_vec())?);
            }
            match self.body.frame().await {
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                None => bail!("the stream ended without its last event"),
            }
        }
    }
}

fn note_data(heard: &mut Heard, data: &str) {
    if data == "[DONE]" {
        heard.done = true;
        return;
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        heard.error = Some(Value::String(format!("no JSON: {data}")));
        return;
    };
    if let Some(error) = value.get("error") {
        heard.error = Some(error.clone());
        return;
    }
    if let Some(usage) = value.get("usage") {
        heard.usage = Some(usage.clone());
    }
    let text = value["choices"][0]["text"].as_str();
    heard.text.push_str(text.unwrap_or_default());
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// The error body of a refusal.
pub fn error_of(response: &Response<Bytes>) -> Result<Value> {
    let body: Value = serde_json::from_slice(response.body())?;
    body.get("error")
        .cloned()
        .ok_or_else(|| eyre!("the answer is no error: {body}"))
}
