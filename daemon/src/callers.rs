//! What callers are served: completions, models, and plain services under a prefix.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Header;
use cicada_lib::config::Config;
use cicada_lib::config::Keyless;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::ServiceKind;
use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::wire::Work;
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
use xitca_web::http::header::CACHE_CONTROL;
use xitca_web::http::header::CONTENT_TYPE;

use crate::dispatch::Dispatch;
use crate::dispatch::Part;
use crate::dispatch::Request;
use crate::entry::Entry;
use crate::event_id::Position;
use crate::filters::Authenticate;
use crate::filters::CallerLimit;
use crate::filters::Filter;
use crate::filters::Framing;
use crate::filters::Inbound;
use crate::link::Release;
use crate::openai;
use crate::openai::Form;
use crate::openai::Offered;
use crate::openai::Writer;
use crate::refusal::Refusal;
use crate::sse::Events;

/// The result of a step of serving.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// Where plain services are found.
const SERVICES: &str = "/services/";

/// The header by which a caller sets its deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header by which a caller makes a call safe to send again.
const KEY_HEADER: &str = "idempotency-key";

/// The header by which a broken stream is asked for again.
const RESUME_HEADER: &str = "last-event-id";

/// The header that carries the request's identifier, in answers and towards plain services.
const REQUEST_HEADER: &str = "x-request-id";

/// The longest key of a caller, in bytes.
const LONGEST_KEY: usize = 255;

/// The longest deadline: a day.
const LONGEST_DEADLINE: u64 = 86_400_000;

/// The part of a prompt that counts as its head, in bytes: what requests of one kind share.
const PROMPT_HEAD: usize = 256;

/// Headers that belong to one connection and are never carried through.
const HOP_HEADERS: &[&str] = &[
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
    entry: Arc<Entry>,
    filters: Vec<Box<dyn Filter>>,
    max_body: usize,
    send_time: Duration,
    default_deadline: Duration,
    attempts: u32,
}

type Page<'a> = WebContext<'a, Arc<Callers>>;

impl Callers {
    /// The callers' side, with its filter chain.
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

    /// Serves callers on threads of its own until the process ends.
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

    async fn serve_one(&self, ctx: &Page<'_>) -> Result<WebResponse> {
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

    fn admit<'a>(&self, ctx: &'a Page<'_>) -> Result<Inbound<'a>> {
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

    async fn complete(&self, ctx: &Page<'_>, form: Form) -> Result<WebResponse> {
        let mut inbound = self.admit(ctx)?;
        expect_json(inbound.headers)?;
        let body = self.read_body(ctx).await?;
        let asked = openai::parse(form, &body).map_err(|err| {
            Refusal::bad(StatusCode::BAD_REQUEST, "invalid_body", err.to_string())
        })?;
        let config = inbound.config.clone();
        let service = self.service_of(&config.config, &inbound.workspace, &asked.model)?;
        let position = self.position(&inbound)?;
        let id = position
            .as_ref()
            .map_or_else(RequestId::random, |position| position.request);
        let request = Request {
            id,
            service: service.clone(),
            model: asked.model.clone(),
            workspace: inbound.workspace.clone(),
            key: String::new(),
            prefix: prompt_head(&asked.prompt),
            deadline: self.deadline(inbound.headers)?,
            idempotent: true,
            attempts: self.attempts_for(&config.config, service),
            work: Work::Generate {
                model: asked.model.clone(),
                adapter: Name::default(),
                prompt: asked.prompt,
                max_tokens: asked.max_tokens,
            },
        };
        let writer = Writer::new(form, id, asked.model);
        let release = match asked.stream {
            true => Release::Detach,
            false => Release::Cancel,
        };
        let dispatch = match position {
            Some(position) => Dispatch::resume(self.entry.clone(), request, position),
            None => Dispatch::new(self.entry.clone(), request, release),
        };
        if asked.stream {
            stream(dispatch, writer, inbound.permit.take()).await
        } else {
            whole(dispatch, writer).await
        }
    }

    fn models(&self, ctx: &Page<'_>) -> Result<WebResponse> {
        let inbound = self.admit(ctx)?;
        let config = &inbound.config.config;
        let mut offered = Vec::new();
        for (service, settings) in &config.services {
            if !allows(config, &inbound.workspace, service) {
                continue;
            }
            for model in settings.models() {
                offered.push(Offered { model, service });
            }
        }
        Ok(json(
            StatusCode::OK,
            openai::model_list(&offered).into_bytes(),
        ))
    }

    async fn call(&self, ctx: &Page<'_>, service: Name) -> Result<WebResponse> {
        let inbound = self.admit(ctx)?;
        let config = inbound.config.clone();
        let settings = plain_service(&config.config, &inbound.workspace, &service)?;
        let head = ctx.req();
        let prefix = SERVICES.len() + service.as_str().len();
        let path_and_query = head
            .uri()
            .path_and_query()
            .map_or("/", |whole| whole.as_str());
        let path = match path_and_query.get(prefix..) {
            Some(rest) if rest.starts_with('/') => rest.to_string(),
            Some(rest) => format!("/{rest}"),
            None => "/".to_string(),
        };
        let method = head.method().as_str();
        let id = RequestId::random();
        let key = idempotency_key(inbound.headers)?;
        let idempotent = settings.is_idempotent(method, path_only(&path));
        if !idempotent && key.is_empty() && settings.keyless == Keyless::Refuse {
            let message = "this service takes no such call without an Idempotency-Key; send one";
            return Err(Refusal::bad(
                StatusCode::BAD_REQUEST,
                "idempotency_key_needed",
                message,
            ));
        }
        let request = Request {
            id,
            // A call that may run twice needs no claim.
            key: if idempotent { String::new() } else { key },
            idempotent,
            model: Name::default(),
            workspace: inbound.workspace.clone(),
            prefix: 0,
            deadline: self.deadline(inbound.headers)?,
            attempts: self.attempts_for(&config.config, &service),
            service,
            work: Work::Call(CallSpec {
                method: method.to_string(),
                path,
                headers: carried(inbound.headers, id),
                body: self.read_body(ctx).await?.to_vec(),
            }),
        };
        let dispatch = Dispatch::new(self.entry.clone(), request, Release::Cancel);
        answer(dispatch).await
    }

    /// Most attempts for a request: the smaller of the process's and the service's limit.
    fn attempts_for(&self, config: &Config, service: &Name) -> u32 {
        let limit = config.services.get(service).map(|found| found.max_attempts);
        self.attempts.min(limit.unwrap_or(u32::MAX))
    }

    async fn read_body(&self, ctx: &Page<'_>) -> Result<Bytes> {
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

    async fn read_bounded(&self, ctx: &Page<'_>) -> Result<Bytes> {
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

    fn deadline(&self, headers: &HeaderMap) -> Result<cicada_lib::time::Time> {
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

    fn position(&self, inbound: &Inbound<'_>) -> Result<Option<Position>> {
        let Some(value) = inbound.headers.get(RESUME_HEADER) else {
            return Ok(None);
        };
        let text = value.to_str().unwrap_or_default();
        Position::decode(text, self.entry.peer_key(), &inbound.workspace)
            .map(Some)
            .map_err(|err| {
                Refusal::bad(StatusCode::BAD_REQUEST, "invalid_event_id", err.to_string())
            })
    }

    fn service_of<'a>(
        &self,
        config: &'a Config,
        workspace: &Name,
        model: &Name,
    ) -> Result<&'a Name> {
        config
            .service_of_model(model)
            .filter(|service| allows(config, workspace, service))
            .ok_or_else(|| {
                let message = format!("there is no model `{model}` for this key; see /v1/models");
                Refusal::bad(StatusCode::NOT_FOUND, "model_not_found", message)
            })
    }
}

async fn handle(ctx: &Page<'_>) -> WebResponse {
    match ctx.state().serve_one(ctx).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    }
}

fn expect(method: &Method, wanted: &Method) -> Result<()> {
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

fn expect_json(headers: &HeaderMap) -> Result<()> {
    let kind = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let essence = kind.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    let message = "the body is not marked as JSON; send Content-Type: application/json";
    Err(Refusal::bad(
        StatusCode::UNSUPPORTED_MEDIA_TYPE,
        "not_json",
        message,
    ))
}

fn allows(config: &Config, workspace: &Name, service: &Name) -> bool {
    config
        .workspaces
        .get(workspace)
        .is_some_and(|workspace| workspace.allows(service))
}

fn plain_service<'a>(
    config: &'a Config,
    workspace: &Name,
    service: &Name,
) -> Result<&'a ServiceConfig> {
    config
        .services
        .get(service)
        .filter(|found| matches!(found.kind, ServiceKind::Plain { .. }))
        .filter(|_| allows(config, workspace, service))
        .ok_or_else(|| {
            let message = format!("there is no plain service `{service}` for this key");
            Refusal::bad(StatusCode::NOT_FOUND, "service_not_found", message)
        })
}

fn path_only(path: &str) -> &str {
    path.split('?').next().unwrap_or(path)
}

fn idempotency_key(headers: &HeaderMap) -> Result<String> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(String::new());
    };
    let text = value.to_str().unwrap_or_default();
    if (1..=LONGEST_KEY).contains(&text.len()) {
        return Ok(text.to_string());
    }
    let message = format!("Idempotency-Key is not text of 1 to {LONGEST_KEY} characters");
    Err(Refusal::bad(
        StatusCode::BAD_REQUEST,
        "invalid_idempotency_key",
        message,
    ))
}

fn carried(headers: &HeaderMap, id: RequestId) -> Vec<Header> {
    let mut carried: Vec<Header> = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| name.as_str() != REQUEST_HEADER)
        .map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    carried.push(Header {
        name: REQUEST_HEADER.to_string(),
        value: id.to_string().into_bytes(),
    });
    carried
}

/// The digest of a prompt's head; never zero.
fn prompt_head(prompt: &str) -> u64 {
    let head = &prompt.as_bytes()[..prompt.len().min(PROMPT_HEAD)];
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(head).as_bytes()[..8]);
    u64::from_le_bytes(bytes).max(1)
}

fn json(status: StatusCode, body: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(Bytes::from(body).into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn mark(mut response: WebResponse, id: RequestId) -> WebResponse {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(REQUEST_HEADER), value);
    }
    response
}

/// Answers as a stream. The first part decides the status, so that a refusal is a plain error.
async fn stream(
    mut dispatch: Dispatch,
    writer: Writer,
    permit: Option<crate::filters::Permit>,
) -> Result<WebResponse> {
    let id = dispatch.request().id;
    let first = dispatch.next().await;
    if let Part::End { outcome, .. } = &first
        && let Some(refusal) = Refusal::of(outcome)
    {
        return Ok(mark(refusal.response(), id));
    }
    let events = Events::new(dispatch, writer, permit, first);
    let mut response = WebResponse::new(events.into_body());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(mark(response, id))
}

/// Answers with the whole generation.
async fn whole(mut dispatch: Dispatch, writer: Writer) -> Result<WebResponse> {
    let id = dispatch.request().id;
    let mut text = String::new();
    loop {
        match dispatch.next().await {
            Part::Tokens(texts) => texts.iter().for_each(|token| text.push_str(token)),
            Part::Answer { .. } => {}
            Part::End {
                outcome: Outcome::Completed(done),
                preemptions,
            } => {
                let body = writer.whole(&text, &done, preemptions).into_bytes();
                return Ok(mark(json(StatusCode::OK, body), id));
            }
            Part::End { outcome, .. } => return Ok(mark(refused(&outcome), id)),
        }
    }
}

/// Answers with what a plain service said.
async fn answer(mut dispatch: Dispatch) -> Result<WebResponse> {
    let id = dispatch.request().id;
    let mut said = None;
    loop {
        match dispatch.next().await {
            Part::Tokens(_) => {}
            Part::Answer {
                status,
                headers,
                body,
            } => said = Some(service_response(status, &headers, body)),
            Part::End { outcome, .. } => {
                let response = said.take().unwrap_or_else(|| refused(&outcome));
                return Ok(mark(response, id));
            }
        }
    }
}

fn refused(outcome: &Outcome) -> WebResponse {
    match Refusal::of(outcome) {
        Some(refusal) => refusal.response(),
        None => json(StatusCode::OK, Vec::new()),
    }
}

fn service_response(status: u16, headers: &[Header], body: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(Bytes::from(body).into());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && !HOP_HEADERS.contains(&name.as_str())
        {
            response.headers_mut().append(name, value);
        }
    }
    response
}
