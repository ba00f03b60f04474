//! Handles one request of a caller: reads it, admits it to a route, and passes it to the handler for its kind.

use std::convert::Infallible;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use cicada_lib::byte_budget::BudgetError;
use cicada_lib::byte_budget::HeldBytes;
use cicada_lib::dialect::CallHead;
use cicada_lib::dialect::Dispatch;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::ids::Name;
use cicada_lib::quarantine::Candidate;
use cicada_lib::route_table::Admitted;
use cicada_lib::route_table::Denied;
use cicada_lib::route_table::RouteTable;
use cicada_lib::route_table::pick_service;
use cicada_lib::route_table::time_limit;
use cicada_lib::site::CallKind;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Clock;
use cicada_lib::time::Time;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use http::uri::PathAndQuery;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::answer::LocalResponse;
use crate::answer::OpenResponseGuard;
use crate::answer::ResponseBody;
use crate::caller_io::ConnectionActivity;
use crate::lock::lock;
use crate::plain;
use crate::poison::Trial;
use crate::relay::Relay;
use crate::send_gate::SendGate;
use crate::stream;

/// Retry-after of an entry that has no configuration yet: the minimum, and the width of the random range added to it.
/// If the directory answers, reading the configuration takes less than the minimum; outages of the directory last some
/// seconds. Randomized because a starting deployment rejects all its callers at once.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(800);
const STARTUP_RETRY_AFTER_JITTER: Duration = Duration::from_millis(3_200);

/// Mean Retry-after of a caller whose body this host has no memory for: others are sent on or read meanwhile.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Retry-after of callers that are rejected because this relay ends: they can go to another relay at once.
pub(crate) const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

/// The maximum number of prompt parts of a request that are judged. A message about a trial has room for them.
const MAX_SHARED_PARTS: usize = 16;

/// Largest body in bytes that is hashed with each request, as long as there is no evidence against any.
const MAX_CHEAP_BODY: usize = 64 * 1024;

/// A request that has been read and admitted to a route.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    // Without hop-by-hop headers and the headers reserved for this system.
    headers: HeaderMap,
    body: Bytes,
    // The body's bytes, as held for the caller.
    _held: HeldBytes,
    pub(crate) head: CallHead,
    pub(crate) admitted: Admitted,
    pub(crate) service: Name,
    pub(crate) spec: ServiceSpec,
    pub(crate) arrived: Instant,
    // When the caller's time is up, for timers.
    pub(crate) timer_deadline: Instant,
    // The same by the clock that also advances while the host is suspended.
    deadline: Time,
    clock: Clock,
    // Its sends to backend servers.
    sends: Arc<SendGate>,
    // When the connection was opened that it was last sent on, in microseconds.
    opened_at: AtomicU64,
    // Computed when they are first needed.
    content: OnceLock<Fingerprint>,
    shared_parts: OnceLock<Vec<Fingerprint>>,
    // Held while this copy of a suspect is on trial.
    trial: Mutex<Option<Trial>>,
}

impl Call {
    /// Records that the request is sent to a backend server, and returns how often it was sent before; `None` if it must
    /// not be sent any more.
    pub(crate) fn record_send(&self) -> Option<u32> {
        self.sends.pass()
    }

    /// Records when the connection was opened on which it is sent.
    pub(crate) fn set_opened_at(&self, opened_at: Time) {
        self.opened_at.store(opened_at.micros(), Ordering::Relaxed);
    }

    /// When the connection was opened on which it was last sent.
    pub(crate) fn opened_at(&self) -> Time {
        Time::from_micros(self.opened_at.load(Ordering::Relaxed))
    }

    /// The time left until the caller's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.since(self.clock.now())
    }

    /// Builds the request to a backend server.
    pub(crate) fn request(&self, relay: &Relay, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone().into();
        let mut headers = self.headers.clone();
        relay.dialect().write_dispatch(&mut headers, dispatch);
        *request.headers_mut() = headers;
        request
    }

    /// Whether the request may run again after a run that may have begun.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.admitted.route.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Streaming => self.admitted.route.resumable,
        }
    }

    /// A hash that identifies the request, and is the same for the caller's retries at any time and through any entry.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.head.key.hash(&mut hasher);
        self.path.as_str().hash(&mut hasher);
        self.body.hash(&mut hasher);
        (self.head.prompt, self.head.output).hash(&mut hasher);
        let parts = self.head.parts.iter().map(|part| (part.id, part.tokens));
        parts.for_each(|part| part.hash(&mut hasher));
        hasher.finish()
    }

    /// The fingerprint of what a backend server is to do: the same for all copies of the request, whoever sends them for
    /// the workspace, and whichever relay takes them.
    pub(crate) fn content(&self) -> Fingerprint {
        *self.content.get_or_init(|| {
            let counts = [self.head.prompt, self.head.output].map(u32::to_le_bytes);
            let parts = self.head.parts.iter();
            let parts = parts.flat_map(|part| {
                let (id, tokens) = (part.id.to_le_bytes(), part.tokens.to_le_bytes());
                id.into_iter().chain(tokens)
            });
            let parts: Vec<u8> = parts.collect();
            let workspace = self.admitted.workspace.as_ref().map_or("", Name::as_str);
            Fingerprint::of_parts(&[
                self.service.as_str().as_bytes(),
                workspace.as_bytes(),
                self.method.as_str().as_bytes(),
                self.path.as_str().as_bytes(),
                self.head.model.as_str().as_bytes(),
                counts.as_flattened(),
                &parts,
                &self.body,
            ])
        })
    }

    /// Its fingerprint, unless the body is large.
    pub(crate) fn cheap_content(&self) -> Option<Fingerprint> {
        (self.body.len() <= MAX_CHEAP_BODY).then(|| self.content())
    }

    /// The parts of the prompt that other requests may share: all but the last. A bounded number of them.
    pub(crate) fn shared_parts(&self) -> &[Fingerprint] {
        self.shared_parts.get_or_init(|| {
            let parts = &self.head.parts;
            let shared = &parts[..parts.len().saturating_sub(1)];
            let shared = shared.iter().take(MAX_SHARED_PARTS);
            let shared = shared.map(|part| Fingerprint::of_prompt_part(&self.service, part.id));
            let mut shared: Vec<Fingerprint> = shared.collect();
            shared.sort();
            shared.dedup();
            shared
        })
    }

    /// What may be the cause if the request crashes a server: itself, and the parts of its prompt that others share.
    pub(crate) fn subjects(&self) -> Vec<Fingerprint> {
        let parts = self.shared_parts().iter().copied();
        std::iter::once(self.content()).chain(parts).collect()
    }

    /// The request as the quarantine judges it, for a service of so many servers.
    pub(crate) fn candidate(&self, servers: usize) -> Candidate {
        Candidate {
            subjects: self.subjects(),
            service: Fingerprint::of_service(&self.service),
            servers: u16::try_from(servers).unwrap_or(u16::MAX),
        }
    }

    /// The trial that this copy of a suspect holds.
    pub(crate) fn trial(&self) -> Option<u64> {
        lock(&self.trial).as_ref().map(Trial::id)
    }

    /// Sets whether this copy, if it is on trial, is at a server and its outcome unknown.
    pub(crate) fn set_unresolved(&self, is_unresolved: bool) {
        if let Some(trial) = lock(&self.trial).as_mut() {
            trial.set_unresolved(is_unresolved);
        }
    }

    /// Sets the trial that this copy of a suspect holds.
    pub(crate) fn set_trial(&self, trial: Option<Trial>) {
        let former = std::mem::replace(&mut *lock(&self.trial), trial);
        drop(former);
    }

    /// The identifier of the last event that the caller received; empty if there is none, or if the route's streams
    /// cannot be resumed in another run.
    pub(crate) fn last_event_id(&self) -> Name {
        let last = self.head.last.clone();
        last.filter(|_| self.is_repeatable()).unwrap_or_default()
    }

    /// Number of tokens per event of the service's engines.
    pub(crate) fn tokens_per_event(&self) -> u32 {
        let engine = self.spec.engine.as_ref();
        engine.map_or(1, |engine| engine.tokens_per_event.max(1))
    }

    /// The caller's identifier of the attempt, for logs; `-` if there is none.
    pub(crate) fn id(&self) -> &str {
        self.head.id.as_ref().map_or("-", Name::as_str)
    }
}

/// Serves one request.
pub(crate) async fn serve(
    relay: Arc<Relay>,
    activity: Arc<ConnectionActivity>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let open_requests = relay.metrics().open_requests().clone();
    let open = OpenResponseGuard::new(activity, request.version(), open_requests);
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let sends = Arc::<SendGate>::default();
    let answering = async {
        match read_call(&relay, request, sends.clone()).await {
            Ok(call) => handle(&relay, call).await,
            Err(own) => own.into_response(),
        }
    };
    let mut response = tokio::select! {
        biased;
        response = answering => response,
        () = relay.drain_ending() => relay.end_request(&sends),
    };
    // Prevents request smuggling: a chunked body that also has a content length can be delimited in two ways, and what
    // follows the shorter reading would run as the caller's next request. The connection is closed after the answer.
    if chunked || relay.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(|body| body.with_guard(open)))
}

/// Passes the request to the handler for its kind, unless this relay is about to end.
async fn handle(relay: &Arc<Relay>, call: Call) -> Response<ResponseBody> {
    if let Some(refusal) = relay.refuse_late(&call) {
        return refusal;
    }
    if relay.budget().is_nearly_used_up() {
        relay.metrics().count_refusal("memory");
        tracing::info!(
            id = call.id(),
            "request: refused, callers that read slowly have used up the memory for answers"
        );
        return LocalResponse::NotRun(memory_retry_after()).into_response();
    }
    relay.count_request(&call.service);
    match call.admitted.route.kind {
        CallKind::Streaming => stream::serve(relay, call).await,
        CallKind::Idempotent => plain::serve_repeatable(relay, call).await,
        CallKind::NonIdempotent => plain::serve_once(relay, call).await,
    }
}

/// Reads the request and admits it to a route.
async fn read_call(
    relay: &Relay,
    request: Request<Incoming>,
    sends: Arc<SendGate>,
) -> Result<Call, LocalResponse> {
    let arrived = Instant::now();
    let arrived_at = relay.now();
    relay.wait_until_confirmed().await;
    let table = relay.table();
    if !table.has_config() {
        relay.metrics().count_refusal("no_config");
        return Err(LocalResponse::NotRun(startup_retry_after()));
    }
    let (parts, body) = request.into_parts();
    let head = relay.dialect().call_head(&parts.headers);
    sends.set_id(head.id.as_ref());
    let admitted = admit(relay, &table, &parts, &head)?;
    let timeout = time_limit(&admitted.route, head.deadline);
    let timer_deadline = arrived + timeout;
    let deadline = arrived_at + timeout;
    let max_bytes = table.config().limits.max_body_bytes;
    let (body, held) = read_body(relay, body, max_bytes, timer_deadline).await?;
    let service = pick_service(&admitted.route, fastrand::f64()).cloned();
    let service = service.ok_or(LocalResponse::NotRun(startup_retry_after()))?;
    let spec = table
        .service(&service)
        .cloned()
        .ok_or(LocalResponse::NotRun(startup_retry_after()))?;
    let path = parts
        .uri
        .path_and_query()
        .cloned()
        .ok_or(LocalResponse::BadRequest)?;
    Ok(Call {
        headers: forwarded_headers(relay, &parts.headers),
        method: parts.method,
        path,
        body,
        _held: held,
        head,
        admitted,
        service,
        spec,
        arrived,
        timer_deadline,
        deadline,
        clock: relay.clock(),
        sends,
        opened_at: AtomicU64::new(0),
        content: OnceLock::new(),
        shared_parts: OnceLock::new(),
        trial: Mutex::default(),
    })
}

fn memory_retry_after() -> Duration {
    MEMORY_RETRY_AFTER.mul_f64(0.5 + fastrand::f64())
}

fn startup_retry_after() -> Duration {
    STARTUP_RETRY_AFTER + STARTUP_RETRY_AFTER_JITTER.mul_f64(fastrand::f64())
}

fn admit(
    relay: &Relay,
    table: &RouteTable,
    parts: &Parts,
    head: &CallHead,
) -> Result<Admitted, LocalResponse> {
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let key = head.key.as_ref().map(Name::as_str);
    let id = head.id.as_ref().map_or("-", Name::as_str);
    let version = table.config().version;
    table.admit(host, parts.uri.path(), key).map_err(|denied| {
        let (reason, own) = match denied {
            Denied::NoRoute => ("no_route", LocalResponse::NoRoute),
            Denied::BadKey => ("bad_key", LocalResponse::InvalidKey),
        };
        relay.metrics().count_refusal(reason);
        tracing::info!(
            id,
            reason,
            host,
            path = parts.uri.path(),
            version,
            "request: denied"
        );
        own
    })
}

/// Reads the whole body, until `limit` at the latest, and returns it with what is held for it.
async fn read_body(
    relay: &Relay,
    mut body: Incoming,
    max_bytes: usize,
    limit: Instant,
) -> Result<(Bytes, HeldBytes), LocalResponse> {
    let announced = body.size_hint().exact().map(|bytes| bytes as usize);
    if announced.is_some_and(|bytes| bytes > max_bytes) {
        return Err(LocalResponse::BodyTooLarge);
    }
    let mut growing = match relay.bodies().begin(relay.now(), announced) {
        Ok(growing) => growing,
        Err(error) => return Err(refuse_body(relay, body, error, limit)),
    };
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = growing.evicted() => return Err(refuse_body(relay, body, BudgetError::Total, limit)),
            () = relay.drain_ending() => {
                relay.metrics().count_refusal("draining_body");
                tracing::info!("request: refused, its body is still arriving as this relay ends");
                discard_body(body, limit);
                return Err(LocalResponse::NotRun(RETRY_ELSEWHERE));
            }
            frame = timeout_at(limit, body.frame()) => frame,
        };
        let frame = match frame {
            Err(_) => return Err(LocalResponse::BodyTimeout),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(LocalResponse::BadRequest),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > max_bytes {
            return Err(LocalResponse::BodyTooLarge);
        }
        if let Err(error) = growing.grow(relay.now(), data.len()) {
            return Err(refuse_body(relay, body, error, limit));
        }
        whole.extend_from_slice(&data);
    }
    match growing.finish() {
        Ok(held) => Ok((whole.freeze(), held)),
        Err(error) => Err(refuse_body(relay, body, error, limit)),
    }
}

/// Refuses a request whose body cannot be held.
fn refuse_body(relay: &Relay, body: Incoming, error: BudgetError, limit: Instant) -> LocalResponse {
    relay.metrics().count_refusal("memory");
    let (used, total) = (relay.budget().used(), relay.budget().total());
    tracing::info!(%error, used, total, "request: refused, its body is not held");
    discard_body(body, limit);
    LocalResponse::NotRun(memory_retry_after())
}

/// Reads and discards what is left of a body that is refused: closing a connection with unread bytes resets it, and the
/// caller would not get the answer.
fn discard_body(mut body: Incoming, limit: Instant) {
    tokio::spawn(
        async move { while let Ok(Some(Ok(_))) = timeout_at(limit, body.frame()).await {} },
    );
}

/// The headers that are forwarded to a backend server.
fn forwarded_headers(relay: &Relay, headers: &HeaderMap) -> HeaderMap {
    let dialect = relay.dialect();
    let listed = connection_headers(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 6);
    for (name, value) in headers {
        let hop_by_hop = is_hop_by_hop(name) || (listed.contains(name) && !dialect.must_pass(name));
        if !hop_by_hop && dialect.passes(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// The headers of a backend server's answer that are returned to the caller.
pub(crate) fn returned_headers(headers: &HeaderMap) -> HeaderMap {
    let mut returned = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        if !is_hop_by_hop(name) {
            returned.append(name.clone(), value.clone());
        }
    }
    returned
}

/// The hop-by-hop headers that the sender lists in `Connection`.
fn connection_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    const HOP_BY_HOP: [HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    HOP_BY_HOP.contains(name)
        || name.as_str() == "keep-alive"
        || name.as_str() == "proxy-connection"
}
