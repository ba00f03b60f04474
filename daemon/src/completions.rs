//! Completions and models, in the well-known forms.

use cicada_lib::config::Config;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use cicada_lib::outcome::Outcome;
use cicada_lib::wire::Work;
use xitca_web::http::HeaderMap;
use xitca_web::http::HeaderValue;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CACHE_CONTROL;
use xitca_web::http::header::CONTENT_TYPE;

use crate::callers::Callers;
use crate::callers::PROMPT_HEAD;
use crate::callers::Page;
use crate::callers::RESUME_HEADER;
use crate::callers::Result;
use crate::callers::allows;
use crate::callers::json;
use crate::callers::mark;
use crate::callers::refused;
use crate::dispatch::Dispatch;
use crate::dispatch::Part;
use crate::dispatch::Request;
use crate::event_id::Position;
use crate::filters::Inbound;
use crate::link::Release;
use crate::openai;
use crate::openai::Form;
use crate::openai::Offered;
use crate::openai::Writer;
use crate::refusal::Refusal;
use crate::sse::Events;

impl Callers {
    pub(crate) async fn complete(&self, ctx: &Page<'_>, form: Form) -> Result<WebResponse> {
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
            fingerprint: Some(Fingerprint::new(
                service,
                &asked.model,
                asked.prompt.as_bytes(),
            )),
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
            // Its generation runs already, and goes on without this entry.
            Some(position) => Dispatch::resume(self.entry.clone(), request, position),
            None => {
                self.refuse_late(request.deadline)?;
                Dispatch::new(self.entry.clone(), request, release)
            }
        };
        if asked.stream {
            stream(dispatch, writer, inbound.permit.take()).await
        } else {
            whole(dispatch, writer).await
        }
    }

    pub(crate) fn models(&self, ctx: &Page<'_>) -> Result<WebResponse> {
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

    pub(crate) fn position(&self, inbound: &Inbound<'_>) -> Result<Option<Position>> {
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

    pub(crate) fn service_of<'a>(
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

pub(crate) fn expect_json(headers: &HeaderMap) -> Result<()> {
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

pub(crate) fn prompt_head(prompt: &str) -> u64 {
    let head = &prompt.as_bytes()[..prompt.len().min(PROMPT_HEAD)];
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(head).as_bytes()[..8]);
    u64::from_le_bytes(bytes).max(1)
}

pub(crate) async fn stream(
    mut dispatch: Dispatch,
    writer: Writer,
    permit: Option<crate::filters::Permit>,
) -> Result<WebResponse> {
    let id = dispatch.request().id;
    let first = dispatch.next_or_end().await;
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

pub(crate) async fn whole(mut dispatch: Dispatch, writer: Writer) -> Result<WebResponse> {
    let id = dispatch.request().id;
    let mut text = String::new();
    loop {
        match dispatch.next_or_end().await {
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
