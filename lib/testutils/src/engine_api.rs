//! The HTTP interface of a stand-in engine.

use std::io;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::OrderRequest;
use cicada_lib::engine_http::StreamLine;
use cicada_lib::ids::GenerationId;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::time::timeout;

use crate::engine_core::EngineCore;
use crate::engine_process::EngineProcess;
use crate::engine_state::OrderOutcome;
use crate::http_server::Body;
use crate::http_server::Call;
use crate::http_server::Handler;
use crate::http_server::Reply;

/// The longest silence of a stream: an empty line is sent then.
pub(crate) const SIGN_OF_LIFE: Duration = Duration::from_millis(500);

impl Handler for EngineProcess {
    fn handle(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move { answer(&self, &call) }.boxed()
    }
}

fn answer(process: &Arc<EngineProcess>, call: &Call) -> Reply {
    let path = call.path();
    let path: Vec<_> = path.iter().map(String::as_str).collect();
    match (call.head.method.as_str(), path.as_slice()) {
        ("POST", ["generations"]) => start(process, call),
        ("GET", ["generations", id]) => attach(process, call, id),
        ("DELETE", ["generations", id]) => {
            change(process, id, |core, id| core.cancel(id, Instant::now()))
        }
        ("POST", ["generations", id, "pause"]) => change(process, id, EngineCore::pause),
        ("POST", ["generations", id, "resume"]) => change(process, id, EngineCore::resume),
        ("GET", ["load"]) => Reply::json(&process.state().reported_load()),
        ("POST", ["orders"]) => order(process, call),
        ("GET", ["cache-events"]) => cache_events(process, call),
        ("GET", ["record"]) => Reply::json(&process.state().record()),
        ("POST", ["admin", "kill"]) => {
            // Not awaited: it cuts the connection that this answer would take.
            tokio::spawn(process.clone().die());
            Reply::Cut
        }
        ("POST", ["admin", "slow"]) => slow_down(process, call),
        _ => Reply::text(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn start(process: &Arc<EngineProcess>, call: &Call) -> Reply {
    let spec: GenerationSpec = match serde_json::from_slice(&call.body) {
        Ok(spec) => spec,
        Err(error) => return not_run(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let id = spec.id;
    let mut state = process.state();
    if !state.holds(&spec) {
        return not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "the model is not loaded".to_string(),
        );
    }
    // Without a word on whether it ran: the generation of that name did.
    if !state.core.start(spec) {
        return Reply::text(StatusCode::CONFLICT, "the identifier was given before");
    }
    drop(state);
    process.wake();
    stream_reply(process, id, 0)
}

fn attach(process: &Arc<EngineProcess>, call: &Call, id: &str) -> Reply {
    let from = call.number("from").unwrap_or_default();
    let from = u32::try_from(from).unwrap_or(u32::MAX);
    let Some(id) = parse_id(id) else {
        return unknown();
    };
    let place = process.state().core.place(id, from);
    match place {
        Some(place) => stream_reply(process, id, place),
        None => unknown(),
    }
}

fn change(
    process: &EngineProcess,
    id: &str,
    act: impl FnOnce(&mut EngineCore, GenerationId) -> bool,
) -> Reply {
    let known = parse_id(id).is_some_and(|id| act(&mut process.state().core, id));
    process.wake();
    if known {
        Reply::text(StatusCode::OK, "")
    } else {
        unknown()
    }
}

fn order(process: &Arc<EngineProcess>, call: &Call) -> Reply {
    let request: OrderRequest = match serde_json::from_slice(&call.body) {
        Ok(request) => request,
        Err(error) => return not_run(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let mut state = process.state();
    match state.order(request.fence, request.order) {
        OrderOutcome::Taken => {}
        OrderOutcome::Loading(name) => process.load_model(name, state.core.incarnation()),
        OrderOutcome::Fenced(seen) => {
            return Reply::text(StatusCode::PRECONDITION_FAILED, "a newer number was seen")
                .with_header("x-fence", seen);
        }
    }
    Reply::text(StatusCode::ACCEPTED, "")
}

fn cache_events(process: &EngineProcess, call: &Call) -> Reply {
    let after = call.number("after").unwrap_or_default();
    let events = process.state().core.cache().events(after, Instant::now());
    Reply::json(&events)
}

fn slow_down(process: &EngineProcess, call: &Call) -> Reply {
    let factor = call.query("factor").and_then(|text| text.parse().ok());
    process.state().set_slow(factor.unwrap_or(1.0));
    Reply::text(StatusCode::OK, "")
}

fn stream_reply(process: &Arc<EngineProcess>, id: GenerationId, place: usize) -> Reply {
    let reader = Reader {
        process: Arc::downgrade(process),
        id,
        place,
    };
    let frames = stream::unfold(Some(reader), |reader| async move {
        let (bytes, rest) = reader?.next().await;
        Some((Ok::<_, io::Error>(Frame::data(bytes)), rest))
    });
    let body: Body = StreamBody::new(frames).boxed_unsync();
    Reply::stream(body).with_header("content-type", "application/x-ndjson")
}

/// A stream's place in a generation.
struct Reader {
    process: Weak<EngineProcess>,
    id: GenerationId,
    // The next line to send.
    place: usize,
}

impl Reader {
    /// The next lines, and the reader for those after them.
    async fn next(mut self) -> (Bytes, Option<Reader>) {
        loop {
            let Some(process) = self.process.upgrade() else {
                return (Bytes::new(), None);
            };
            if process.state().is_dead() {
                // The connection is about to be cut; a dying process says nothing.
                std::future::pending::<()>().await;
            }
            let Some(page) = process.state().core.page(self.id, self.place) else {
                return (encode(&[StreamLine::Gone]), None);
            };
            if page.over || !page.lines.is_empty() {
                self.place += page.lines.len();
                let rest = (!page.over).then_some(self);
                return (encode(&page.lines), rest);
            }
            let mut changed = std::pin::pin!(page.changed.notified());
            changed.as_mut().enable();
            // A line may have come between the page and the registration.
            let again = process.state().core.page(self.id, self.place);
            drop(process);
            if again.is_none_or(|page| !page.lines.is_empty()) {
                continue;
            }
            if timeout(SIGN_OF_LIFE, changed).await.is_err() {
                return (Bytes::from_static(b"\n"), Some(self));
            }
        }
    }
}

fn encode(lines: &[StreamLine]) -> Bytes {
    let mut bytes = Vec::new();
    for line in lines {
        if serde_json::to_writer(&mut bytes, line).is_ok() {
            bytes.push(b'\n');
        }
    }
    bytes.into()
}

fn not_run(status: StatusCode, text: String) -> Reply {
    Reply::text(status, text).with_header("x-ran", "no")
}

fn unknown() -> Reply {
    Reply::text(StatusCode::NOT_FOUND, "no such generation")
}

fn parse_id(text: &str) -> Option<GenerationId> {
    u64::from_str_radix(text, 16).ok().map(GenerationId)
}
