//! One caller: sends a request, follows its stream through dropped connections, checks what it gets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::json;

use crate::answer::Broken;
use crate::answer::Checker;
use crate::arrivals::Arrival;
use crate::plan::Action;
use crate::plan::Plan;

/// The pause before a dropped stream is resumed or a keyed call sent again.
const PAUSE: Duration = Duration::from_millis(200);

/// The longest refusal that is read.
const ERROR_BYTES: usize = 65_536;

/// The longest line of a stream that is held.
const LINE_BYTES: usize = 1_048_576;

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer came.
    Completed,
    /// Refused, and by its word not run.
    Refused(String),
    /// It ran and failed.
    Failed(String),
    /// It may have run.
    Unknown(String),
    /// The connection was lost and the answer could not be had again.
    Lost,
    /// It took longer than a caller waits.
    TimedOut,
}

/// What one caller saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// How it ended.
    pub end: End,
    /// From the time it was due to its end.
    pub took: Duration,
    /// The longest time without progress, the first token included.
    pub stall: Duration,
    /// The wait for the first token, or for the answer of a plain call.
    pub first: Option<Duration>,
    /// Microseconds between tokens.
    pub gaps: Vec<u32>,
    /// Tokens that came.
    pub tokens: u32,
    /// Displacements, by the usage block.
    pub preemptions: u32,
    /// Times that the stream was resumed or the call sent again.
    pub again: u32,
    /// After a refusal with a time told, and a wait of that time: whether it was then served.
    pub honest: Option<bool>,
    /// Whether it is proven by all answers together that nothing ran.
    pub unrun: bool,
    /// A promise that was broken.
    pub broken: Option<Broken>,
}

/// The connections of all callers.
pub struct Callers {
    client: Client<HttpConnector, Full<Bytes>>,
    plan: Arc<Plan>,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorWord,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorWord {
    code: String,
    ran: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Chunk {
    choices: Vec<Choice>,
    usage: Option<Usage>,
    error: Option<ErrorWord>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    text: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Usage {
    completion_tokens: Option<u32>,
    preemptions: u32,
}

/// What a try of a request came to.
enum Try {
    Ended(End),
    /// Refused, with the time told.
    Refused(String, Option<Duration>),
    /// The connection was lost.
    Dropped,
}

/// A request under way.
struct Track<'a> {
    arrival: &'a Arrival,
    due: Instant,
    progress: Instant,
    checker: Checker,
    last_id: String,
    usage: Option<Usage>,
    seen: Seen,
}

impl Callers {
    /// Callers of a plan.
    pub fn new(plan: Arc<Plan>) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build_http();
        Callers { client, plan }
    }

    /// Sends the request that was due at `due`, and follows it to its end.
    pub async fn ask(&self, arrival: &Arrival, due: Instant) -> Seen {
        let mut track = Track::new(arrival, due);
        let end = tokio::time::timeout(self.plan.timeout, self.follow(&mut track)).await;
        let end = end.unwrap_or(End::TimedOut);
        track.finish(end)
    }

    async fn follow(&self, track: &mut Track<'_>) -> End {
        let mut entry = track.arrival.entry;
        loop {
            let outcome = self.one_try(track, entry).await;
            entry += 1;
            let again = track.seen.again < self.plan.again;
            match outcome {
                Try::Refused(code, after) => match after {
                    Some(after) if track.obeys() => {
                        tokio::time::sleep(after).await;
                        track.seen.honest = Some(false);
                    }
                    _ => return End::Refused(code),
                },
                Try::Dropped if again && self.may_go_on(track) => {
                    track.seen.again += 1;
                    tokio::time::sleep(PAUSE).await;
                }
                Try::Dropped => return End::Lost,
                Try::Ended(End::Unknown(_)) if again && !track.arrival.key.is_empty() => {
                    track.seen.again += 1;
                    tokio::time::sleep(PAUSE).await;
                }
                Try::Ended(end) => return end,
            }
        }
    }

    /// A stream goes on after its last event; a keyed call and a read may be sent again.
    fn may_go_on(&self, track: &Track<'_>) -> bool {
        match self.plan.kinds[track.arrival.kind].action {
            Action::Generate => !track.last_id.is_empty(),
            Action::Effect | Action::Read => true,
        }
    }

    async fn one_try(&self, track: &mut Track<'_>, entry: usize) -> Try {
        let request = self.request(track, entry);
        let Ok(response) = self.client.request(request).await else {
            track.seen.unrun &= track.arrival.key.is_empty();
            return Try::Dropped;
        };
        if !response.status().is_success() {
            return self.read_error(track, response).await;
        }
        track.seen.unrun = false;
        match self.plan.kinds[track.arrival.kind].action {
            Action::Generate => read_stream(track, response).await,
            Action::Effect | Action::Read => read_whole(track, response).await,
        }
    }

    fn request(&self, track: &Track<'_>, entry: usize) -> Request<Full<Bytes>> {
        let arrival = track.arrival;
        let kind = &self.plan.kinds[arrival.kind];
        let entry: SocketAddr = self.plan.entries[entry % self.plan.entries.len()];
        let (method, path, body) = match kind.action {
            Action::Generate => (Method::POST, "/v1/completions", self.prompt(arrival)),
            Action::Effect => (Method::POST, kind.path.as_str(), arrival.text.clone()),
            Action::Read => (Method::GET, kind.path.as_str(), String::new()),
        };
        let key = &self.plan.tenants[arrival.tenant].key;
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json");
        if !arrival.key.is_empty() {
            builder = builder.header("idempotency-key", &arrival.key);
        }
        if !track.last_id.is_empty() {
            builder = builder.header("last-event-id", &track.last_id);
        }
        let body = Full::new(Bytes::from(body));
        builder.body(body).unwrap_or_default()
    }

    fn prompt(&self, arrival: &Arrival) -> String {
        json!({
            "model": self.plan.model,
            "prompt": arrival.text,
            "max_tokens": self.plan.max_tokens,
            "stream": true,
        })
        .to_string()
    }

    async fn read_error(&self, track: &mut Track<'_>, response: Response<Incoming>) -> Try {
        let status = response.status();
        let after = retry_after(response.headers());
        let body = http_body_util::Limited::new(response.into_body(), ERROR_BYTES);
        let Ok(body) = body.collect().await else {
            track.seen.unrun = false;
            return Try::Dropped;
        };
        let error: Option<ErrorBody> = serde_json::from_slice(&body.to_bytes()).ok();
        let word = error.map(|e| e.error).unwrap_or_default();
        let code = if word.code.is_empty() {
            format!("status_{}", status.as_u16())
        } else {
            word.code
        };
        match word.ran.as_str() {
            "no" => Try::Refused(code, after),
            "yes" => {
                track.seen.unrun = false;
                Try::Ended(End::Failed(code))
            }
            _ => {
                track.seen.unrun = false;
                Try::Ended(End::Unknown(code))
            }
        }
    }
}

impl<'a> Track<'a> {
    fn new(arrival: &'a Arrival, due: Instant) -> Self {
        Track {
            arrival,
            due,
            progress: due,
            checker: Checker::new(&arrival.text),
            last_id: String::new(),
            usage: None,
            seen: Seen {
                end: End::Lost,
                took: Duration::ZERO,
                stall: Duration::ZERO,
                first: None,
                gaps: Vec::new(),
                tokens: 0,
                preemptions: 0,
                again: 0,
                honest: None,
                unrun: true,
                broken: None,
            },
        }
    }

    /// Whether to come again after the time told; once, and before any answer.
    fn obeys(&self) -> bool {
        self.arrival.obeys && self.seen.honest.is_none() && self.seen.first.is_none()
    }

    fn moved(&mut self) {
        let now = Instant::now();
        let still = now.saturating_duration_since(self.progress);
        self.seen.stall = self.seen.stall.max(still);
        if self.seen.first.is_none() {
            self.seen.first = Some(now.saturating_duration_since(self.due));
        } else {
            let micros = u32::try_from(still.as_micros()).unwrap_or(u32::MAX);
            self.seen.gaps.push(micros);
        }
        self.progress = now;
    }

    fn text(&mut self, text: &str) {
        match self.checker.feed(text) {
            Ok(0) => {}
            Ok(_) => self.moved(),
            Err(broken) => {
                self.seen.broken.get_or_insert(broken);
            }
        }
    }

    fn whole(&mut self) -> Try {
        let told = self.usage.as_ref().and_then(|u| u.completion_tokens);
        if self.seen.broken.is_none() {
            let expected = self.arrival.tokens.or(told);
            self.seen.broken = self.checker.end(expected).err();
        }
        Try::Ended(End::Completed)
    }

    fn finish(mut self, end: End) -> Seen {
        let now = Instant::now();
        if end != End::Completed {
            let still = now.saturating_duration_since(self.progress);
            self.seen.stall = self.seen.stall.max(still);
        }
        if self.seen.honest.is_some() {
            self.seen.honest = Some(!matches!(end, End::Refused(_)));
        }
        self.seen.took = now.saturating_duration_since(self.due);
        self.seen.tokens = self.checker.tokens();
        self.seen.preemptions = self.usage.as_ref().map_or(0, |u| u.preemptions);
        self.seen.end = end;
        self.seen
    }
}

async fn read_whole(track: &mut Track<'_>, response: Response<Incoming>) -> Try {
    match response.into_body().collect().await {
        Ok(_) => {
            track.moved();
            Try::Ended(End::Completed)
        }
        Err(_) => Try::Dropped,
    }
}

async fn read_stream(track: &mut Track<'_>, response: Response<Incoming>) -> Try {
    let mut body = response.into_body();
    let mut buffer: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Try::Dropped;
        };
        if let Ok(data) = frame.into_data() {
            buffer.extend_from_slice(&data);
        }
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(ended) = take_line(track, line.trim_end()) {
                return ended;
            }
        }
        if buffer.len() > LINE_BYTES {
            return Try::Dropped;
        }
    }
    Try::Dropped
}

/// Takes in a line of the stream; the end, if it tells of one.
fn take_line(track: &mut Track<'_>, line: &str) -> Option<Try> {
    if let Some(id) = line.strip_prefix("id:") {
        track.last_id = id.trim().to_string();
        return None;
    }
    let data = line.strip_prefix("data:")?.trim();
    if data == "[DONE]" {
        return Some(track.whole());
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        let broken = Broken::Malformed(data.chars().take(100).collect());
        track.seen.broken.get_or_insert(broken);
        return None;
    };
    if let Some(error) = chunk.error {
        return Some(stream_error(track, error));
    }
    for choice in &chunk.choices {
        track.text(&choice.text);
    }
    if chunk.usage.is_some() {
        track.usage = chunk.usage;
    }
    None
}

fn stream_error(track: &mut Track<'_>, error: ErrorWord) -> Try {
    match error.ran.as_str() {
        "no" if track.checker.tokens() == 0 => {
            track.seen.unrun = true;
            Try::Refused(error.code, None)
        }
        "yes" => Try::Ended(End::Failed(error.code)),
        _ => Try::Ended(End::Unknown(error.code)),
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("retry-after")?.to_str().ok()?;
    let seconds: f64 = value.trim().parse().ok()?;
    (0.0..=3_600.0)
        .contains(&seconds)
        .then(|| Duration::from_secs_f64(seconds))
}

/// Counts by code, for the report.
pub type Codes = BTreeMap<String, u64>;
