//! The well-known forms of completion requests and answers.

use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use cicada_lib::outcome::Completion;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Why a body is refused.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// It is no JSON of the form.
    #[error("the body is not of the expected form ({0}); see docs/callers.md")]
    Form(#[from] serde_json::Error),
    /// The prompt is empty.
    #[error("the prompt is empty; send some text")]
    Empty,
    /// The limit on tokens is out of bounds.
    #[error("max_tokens is {0}; give a number from 1 to {MAX_TOKENS}")]
    Limit(u64),
    /// Several answers were asked for.
    #[error("n is {0}, and one answer is given for each request; leave it out or send 1")]
    Several(u32),
}

/// The result of reading a body.
pub(crate) type Result<T> = std::result::Result<T, BodyError>;

/// The most tokens of an answer: "tens of thousands" with room. It bounds what a slow reader can
/// make an agent keep.
pub(crate) const MAX_TOKENS: u64 = 131_072;

/// The limit where a request gives none.
const DEFAULT_TOKENS: u64 = 4_096;

/// Which of the two forms a request and its answer have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Form {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A generation as a caller asks for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Generation {
    /// The model.
    pub(crate) model: Name,
    /// The prompt.
    pub(crate) prompt: String,
    /// The largest number of tokens.
    pub(crate) max_tokens: u32,
    /// Whether the tokens are to be sent as they come.
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct TextBody {
    model: String,
    prompt: Prompt,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    List([String; 1]),
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Reads a body.
pub(crate) fn parse(form: Form, body: &[u8]) -> Result<Generation> {
    match form {
        Form::Text => {
            let body: TextBody = serde_json::from_slice(body)?;
            let prompt = match body.prompt {
                Prompt::One(text) => text,
                Prompt::List([text]) => text,
            };
            checked(body.model, prompt, body.max_tokens, body.stream, body.n)
        }
        Form::Chat => {
            let body: ChatBody = serde_json::from_slice(body)?;
            let limit = body.max_completion_tokens.or(body.max_tokens);
            checked(body.model, join(&body.messages), limit, body.stream, body.n)
        }
    }
}

fn join(messages: &[Message]) -> String {
    let lines: Vec<String> = messages
        .iter()
        .map(|message| format!("{}: {}", message.role, message.content))
        .collect();
    lines.join("\n")
}

fn checked(
    model: String,
    prompt: String,
    limit: Option<u64>,
    stream: bool,
    n: Option<u32>,
) -> Result<Generation> {
    if prompt.is_empty() {
        return Err(BodyError::Empty);
    }
    if let Some(n) = n.filter(|n| *n != 1) {
        return Err(BodyError::Several(n));
    }
    let limit = limit.unwrap_or(DEFAULT_TOKENS);
    if !(1..=MAX_TOKENS).contains(&limit) {
        return Err(BodyError::Limit(limit));
    }
    Ok(Generation {
        model: Name::new(model),
        prompt,
        max_tokens: limit as u32,
        stream,
    })
}

#[derive(Serialize)]
struct Answer<'a> {
    id: String,
    object: &'a str,
    model: &'a Name,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatText<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    content: &'a str,
}

/// What a generation used, told with its end.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    preemptions: u32,
}

impl Usage {
    /// The usage of a completed generation.
    pub(crate) fn new(done: &Completion, preemptions: u32) -> Self {
        Usage {
            prompt_tokens: done.prompt_tokens,
            completion_tokens: done.output_tokens,
            total_tokens: done.prompt_tokens.saturating_add(done.output_tokens),
            preemptions,
        }
    }
}

/// Writes the answers of one request.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    form: Form,
    request: RequestId,
    model: Name,
}

impl Writer {
    /// A writer for a request.
    pub(crate) fn new(form: Form, request: RequestId, model: Name) -> Self {
        Writer {
            form,
            request,
            model,
        }
    }

    /// One event's data: tokens that came.
    pub(crate) fn chunk(&self, text: &str) -> String {
        self.event(text, None, None)
    }

    /// The last event's data.
    pub(crate) fn last_chunk(&self, done: &Completion, preemptions: u32) -> String {
        let usage = Usage::new(done, preemptions);
        self.event("", Some(finish_reason(done)), Some(usage))
    }

    fn event(&self, text: &str, finish: Option<&str>, usage: Option<Usage>) -> String {
        let delta = ChatText {
            role: None,
            content: text,
        };
        let (object, choice) = match self.form {
            Form::Text => ("text_completion", text_choice(text, finish)),
            Form::Chat => (
                "chat.completion.chunk",
                chat_choice(None, Some(delta), finish),
            ),
        };
        self.write(object, choice, usage)
    }

    /// The whole answer.
    pub(crate) fn whole(&self, text: &str, done: &Completion, preemptions: u32) -> String {
        let finish = Some(finish_reason(done));
        let message = ChatText {
            role: Some("assistant"),
            content: text,
        };
        let (object, choice) = match self.form {
            Form::Text => ("text_completion", text_choice(text, finish)),
            Form::Chat => ("chat.completion", chat_choice(Some(message), None, finish)),
        };
        self.write(object, choice, Some(Usage::new(done, preemptions)))
    }

    fn write(&self, object: &str, choice: Choice<'_>, usage: Option<Usage>) -> String {
        let answer = Answer {
            id: format!("cmpl-{}", self.request),
            object,
            model: &self.model,
            choices: vec![choice],
            usage,
        };
        serde_json::to_string(&answer).unwrap_or_default()
    }
}

fn text_choice<'a>(text: &'a str, finish: Option<&'a str>) -> Choice<'a> {
    Choice {
        index: 0,
        text: Some(text),
        message: None,
        delta: None,
        finish_reason: finish,
    }
}

fn chat_choice<'a>(
    message: Option<ChatText<'a>>,
    delta: Option<ChatText<'a>>,
    finish: Option<&'a str>,
) -> Choice<'a> {
    Choice {
        index: 0,
        text: None,
        message,
        delta,
        finish_reason: finish,
    }
}

fn finish_reason(done: &Completion) -> &'static str {
    match done.truncated {
        true => "length",
        false => "stop",
    }
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Serialize)]
struct ModelItem<'a> {
    id: &'a Name,
    object: &'static str,
    owned_by: &'a Name,
}

/// A model and the service that offers it.
pub(crate) struct Offered<'a> {
    /// The model.
    pub(crate) model: &'a Name,
    /// The service.
    pub(crate) service: &'a Name,
}

/// The list of models.
pub(crate) fn model_list(offered: &[Offered<'_>]) -> String {
    let data = offered
        .iter()
        .map(|offer| ModelItem {
            id: offer.model,
            object: "model",
            owned_by: offer.service,
        })
        .collect();
    let list = ModelList {
        object: "list",
        data,
    };
    serde_json::to_string(&list).unwrap_or_default()
}
