//! A generation as a stream of events.

use cicada_lib::outcome::Outcome;
use futures_util::Stream;
use futures_util::stream;
use xitca_web::body::ResponseBody;
use xitca_web::body::StreamDataBody;
use xitca_web::bytes::Bytes;
use xitca_web::error::BodyError;

use crate::dispatch::Dispatch;
use crate::dispatch::Part;
use crate::filters::Permit;
use crate::openai::Writer;
use crate::refusal::Refusal;

/// A stream on its way to a caller.
pub(crate) struct Events {
    dispatch: Dispatch,
    writer: Writer,
    // Held until the caller has had the end.
    _permit: Option<Permit>,
    // The part that was awaited before the response began.
    first: Option<Part>,
    over: bool,
}

impl Events {
    /// A stream whose first part has come.
    pub(crate) fn new(
        dispatch: Dispatch,
        writer: Writer,
        permit: Option<Permit>,
        first: Part,
    ) -> Self {
        Events {
            dispatch,
            writer,
            _permit: permit,
            first: Some(first),
            over: false,
        }
    }

    /// The response's body. It is asked for the next event only when the caller has room, and that
    /// in turn gives the agent credit: a slow reader holds back its own stream and nothing else.
    pub(crate) fn into_body(self) -> ResponseBody {
        ResponseBody::boxed(StreamDataBody::new(self.into_stream()))
    }

    fn into_stream(self) -> impl Stream<Item = Result<Bytes, BodyError>> {
        stream::unfold(self, |mut events| async move {
            if events.over {
                return None;
            }
            let bytes = events.next().await;
            Some((Ok(bytes), events))
        })
    }

    async fn next(&mut self) -> Bytes {
        let part = match self.first.take() {
            Some(part) => part,
            None => self.dispatch.next().await,
        };
        match part {
            Part::Tokens(texts) => self.tokens(&texts.concat()),
            Part::Answer { .. } => Bytes::new(),
            Part::End {
                outcome,
                preemptions,
            } => {
                self.over = true;
                self.end(&outcome, preemptions)
            }
        }
    }

    fn tokens(&self, text: &str) -> Bytes {
        let data = self.writer.chunk(text);
        let key = self.dispatch.entry().peer_key();
        let workspace = &self.dispatch.request().workspace;
        let event = match self.dispatch.position() {
            Some(position) => format!("id: {}\ndata: {data}\n\n", position.encode(key, workspace)),
            None => format!("data: {data}\n\n"),
        };
        Bytes::from(event)
    }

    fn end(&self, outcome: &Outcome, preemptions: u32) -> Bytes {
        let mut text = String::from("data: ");
        match (outcome, Refusal::of(outcome)) {
            (Outcome::Completed(done), _) => {
                text.push_str(&self.writer.last_chunk(done, preemptions));
                text.push_str("\n\ndata: [DONE]");
            }
            (_, Some(refusal)) => text.push_str(&String::from_utf8_lossy(&refusal.body())),
            (_, None) => {}
        }
        text.push_str("\n\n");
        Bytes::from(text)
    }
}
