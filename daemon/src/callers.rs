//! What callers are served: completions, models, and plain services under a prefix.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config::Config;
use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use eyre::Context;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::BodyExt;
use xitca_web::bytes::Bytes;
use xitca_web::bytes::BytesMut;
use xitca_web::handler::handler_service;
use xitca_web::http::HeaderMap;
use xitca_web::http::HeaderName;
use xitca_web::http::HeaderValue;
use xitca_web::http::Method;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_TYPE;

use crate::entry::Entry;
use crate::filters::Authenticate;
use crate::filters::CallerLimit;
use crate::filters::Filter;
use crate::filters::Framing;
use crate::filters::Inbound;
use crate::openai::Form;
use crate::refusal::Refusal;

/// The result of a step of serving.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// Where plain services are found.
pub(crate) const SERVICES: &str = "/services/";

/// The header by which a caller sets its deadline, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header by which a caller makes a call safe to send again.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// The header by which a broken stream is asked for again.
pub(crate) const RESUME_HEADER: &str = "last-event-id";

/// The header that carries the request's identifier, in answers and towards plain services.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";

/// The longest key of a caller, in bytes.
pub(crate) const LONGEST_KEY: usize = 255;

/// The longest deadline: a day.
pub(crate) const LONGEST_DEADLINE: u64 = 86_400_000;

/// The part of a prompt that counts as its head, in bytes: what requests of one kind share.
pub(crate) const PROMPT_HEAD: usize = 256;

/// Headers that belong to one connection and are never carried through.
pub(crate) const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "authorization",
    "expect",
];

/// The callers' side of an entry.
pub(crate) struct Callers {
    pub(crate) entry: Arc<Entry>,
    filters: Vec<Box<dyn Filter>>,
    max_body: usize,
    send_time: Duration,
    default_deadline: Duration,
    attempts: u32,
}

pub(crate) type Page<'a> = WebContext<'a, Arc<Callers>>;

impl Callers {
    pub(crate) fn new(entry: Arc<Entry>) -> Self {
        let settings = entry.process().settings();
        Callers {
            filters: vec![
                Box::new(Framing),
                Box::new(Authenticate),
                Box::new(CallerLimit::default()),
            ],
            max_body: settings.count("entry", "max_body") as usize,
            send_time: settings.millis("entry", "send_time"),
            default_deadline: settings.millis("entry", "default_deadline"),
            attempts: settings.count("entry", "attempts") as u32,
            entry,
        }
    }

    pub(crate) fn serve(self, address: SocketAddr, threads: usize) -> eyre::Result<()> {
        let app = App::new()
            .with_state(Arc::new(self))
            .at("/", handler_service(handle))
            .at("/{*path}", handler_service(handle));
        let server = app
            .serve()
            .worker_threads(threads)
            .disable_signal()
            .bind(address)
            .wrap_err_with(|| {
                format!("callers: {address} cannot be listened on; see [entry] listen")
            })?
            .run();
        std::thread::Builder::new()
            .name("callers".into())
            .spawn(move || server.wait())
            .wrap_err("callers: a thread could not be started")?;
        Ok(())
    }

    pub(crate) async fn serve_one(&self, ctx: &Page<'_>) -> Result<WebResponse> {
        let head = ctx.req();
        let path = head.uri().path();
        let method = head.method();
        if path == "/v1/completions" {
            expect(method, &Method::POST)?;
            return self.complete(ctx, Form::Text).await;
        }
        if path == "/v1/chat/completions" {
            expect(method, &Method::POST)?;
            return self.complete(ctx, Form::Chat).await;
        }
        if path == "/v1/models" {
            expect(method, &Method::GET)?;
            return self.models(ctx);
        }
        if let Some(rest) = path.strip_prefix(SERVICES) {
            let name = rest.split('/').next().unwrap_or_default();
            return self.call(ctx, Name::new(name)).await;
        }
        let message = "there is nothing at this path; see docs/callers.md";
        Err(Refusal::bad(StatusCode::NOT_FOUND, "not_found", message))
    }

    pub(crate) fn admit<'a>(&self, ctx: &'a Page<'_>) -> Result<Inbound<'a>> {
        let config = self.entry.process().config().ok_or_else(|| {
            let reason = RefusalReason::NoConfiguration;
            let soon = Some(Duration::from_secs(1));
            Refusal::not_run(&NotRun::before_dispatch(reason, soon))
        })?;
        let mut inbound = Inbound {
            headers: ctx.req().headers(),
            config,
            workspace: Name::default(),
            caller: None,
            permit: None,
        };
        for filter in &self.filters {
            filter.apply(&mut inbound)?;
        }
        Ok(inbound)
    }

    pub(crate) fn attempts_for(&self, config: &Config, service: &Name) -> u32 {
        let limit = config.services.get(service).map(|found| found.max_attempts);
        self.attempts.min(limit.unwrap_or(u32::MAX))
    }

    pub(crate) async fn read_body(&self, ctx: &Page<'_>) -> Result<Bytes> {
        let reading = self.read_bounded(ctx);
        match tokio::time::timeout(self.send_time, reading).await {
            Ok(body) => body,
            Err(_) => Err(Refusal::bad(
                StatusCode::REQUEST_TIMEOUT,
                "body_timeout",
                "the body did not come in time; send it without pauses",
            )),
        }
    }

    pub(crate) async fn read_bounded(&self, ctx: &Page<'_>) -> Result<Bytes> {
        let mut body = pin!(std::mem::take(&mut *ctx.body_borrow_mut()));
        let mut bytes = BytesMut::new();
        while let Some(data) = body.as_mut().data().await {
            let data = data.map_err(|err| {
                let message = format!("the body could not be read ({err}); send it again");
                Refusal::bad(StatusCode::BAD_REQUEST, "broken_body", message)
            })?;
            if bytes.len() + data.len() > self.max_body {
                let message = format!("the body is over {} bytes; send less", self.max_body);
                return Err(Refusal::bad(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body_too_large",
                    message,
                ));
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }

    pub(crate) fn deadline(&self, headers: &HeaderMap) -> Result<cicada_lib::time::Time> {
        let now = self.entry.clock().now();
        let Some(value) = headers.get(DEADLINE_HEADER) else {
            return Ok(now + self.default_deadline);
        };
        let millis = value.to_str().ok().and_then(|text| text.parse().ok());
        match millis.filter(|millis| (1..=LONGEST_DEADLINE).contains(millis)) {
            Some(millis) => Ok(now + Duration::from_millis(millis)),
            None => {
                let message =
                    format!("{DEADLINE_HEADER} is no number from 1 to {LONGEST_DEADLINE}");
                Err(Refusal::bad(
                    StatusCode::BAD_REQUEST,
                    "invalid_deadline",
                    message,
                ))
            }
        }
    }
}

pub(crate) async fn handle(ctx: &Page<'_>) -> WebResponse {
    match ctx.state().serve_one(ctx).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    }
}

pub(crate) fn expect(method: &Method, wanted: &Method) -> Result<()> {
    if method == wanted {
        return Ok(());
    }
    let message = format!("the method is {method}; send {wanted}");
    Err(Refusal::bad(
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
        message,
    ))
}

pub(crate) fn allows(config: &Config, workspace: &Name, service: &Name) -> bool {
    config
        .workspaces
        .get(workspace)
        .is_some_and(|workspace| workspace.allows(service))
}

pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(Bytes::from(body).into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

pub(crate) fn mark(mut response: WebResponse, id: RequestId) -> WebResponse {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(REQUEST_HEADER), value);
    }
    response
}

pub(crate) fn refused(outcome: &Outcome) -> WebResponse {
    match Refusal::of(outcome) {
        Some(refusal) => refusal.response(),
        None => json(StatusCode::OK, Vec::new()),
    }
}
