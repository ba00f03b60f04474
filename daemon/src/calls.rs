//! Calls to plain services: method, headers, body and status are carried through.

use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Header;
use cicada_lib::config::Config;
use cicada_lib::config::Keyless;
use cicada_lib::config::ServiceConfig;
use cicada_lib::config::ServiceKind;
use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use cicada_lib::wire::Work;
use xitca_web::bytes::Bytes;
use xitca_web::http::HeaderMap;
use xitca_web::http::HeaderName;
use xitca_web::http::HeaderValue;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;

use crate::callers::Callers;
use crate::callers::HOP_HEADERS;
use crate::callers::KEY_HEADER;
use crate::callers::LONGEST_KEY;
use crate::callers::Page;
use crate::callers::REQUEST_HEADER;
use crate::callers::Result;
use crate::callers::SERVICES;
use crate::callers::allows;
use crate::callers::mark;
use crate::callers::refused;
use crate::dispatch::Dispatch;
use crate::dispatch::Part;
use crate::dispatch::Request;
use crate::link::Release;
use crate::refusal::Refusal;

impl Callers {
    pub(crate) async fn call(&self, ctx: &Page<'_>, service: Name) -> Result<WebResponse> {
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
            fingerprint: None,
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
        self.refuse_late(request.deadline)?;
        let dispatch = Dispatch::new(self.entry.clone(), request, Release::Cancel);
        answer(dispatch).await
    }
}

pub(crate) fn plain_service<'a>(
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

pub(crate) fn path_only(path: &str) -> &str {
    path.split('?').next().unwrap_or(path)
}

pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<String> {
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

pub(crate) fn carried(headers: &HeaderMap, id: RequestId) -> Vec<Header> {
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

pub(crate) async fn answer(mut dispatch: Dispatch) -> Result<WebResponse> {
    let id = dispatch.request().id;
    let mut said = None;
    loop {
        match dispatch.next_or_end().await {
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

pub(crate) fn service_response(status: u16, headers: &[Header], body: Vec<u8>) -> WebResponse {
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
