//! Ends of answers that the system's own adapters read: one that nothing but its connection marks is not taken for whole
//! without proof.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Engine;
use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Service;
use cicada_lib::engine_http::HttpEngine;
use cicada_lib::engine_http::StreamLine;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::service_http::HttpService;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use testutils::http_server::Call;
use testutils::http_server::Handler;
use testutils::http_server::HttpServer;
use testutils::http_server::Reply;
use testutils::raw_answer::BodyFraming;
use tokio::time::sleep;

/// The result of a test.
type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Time for the part of an answer to arrive before its server dies.
const PART_TIME: Duration = Duration::from_millis(50);

const FRAMINGS: [BodyFraming; 2] = [BodyFraming::Chunks, BodyFraming::Close];

/// Sends these bytes, and then ends the answer or dies.
struct Answer {
    body: Bytes,
    framing: BodyFraming,
    dies: bool,
    server: Mutex<Weak<HttpServer>>,
}

impl Answer {
    fn serve(body: &[u8], framing: BodyFraming, dies: bool) -> io::Result<Arc<HttpServer>> {
        let answer = Arc::new(Answer {
            body: Bytes::copy_from_slice(body),
            framing,
            dies,
            server: Mutex::default(),
        });
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = HttpServer::start(any, answer.clone())?;
        *answer.server.lock().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(&server);
        Ok(server)
    }

    async fn end(self: Arc<Self>) {
        if !self.dies {
            return;
        }
        sleep(PART_TIME).await;
        let server = self
            .server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .upgrade();
        // Not awaited here, since the connection of this answer ends with it.
        tokio::spawn(async move {
            if let Some(server) = server {
                server.down().await;
            }
        });
        std::future::pending::<()>().await;
    }
}

impl Handler for Answer {
    fn handle(self: Arc<Self>, _: Call) -> BoxFuture<'static, Reply> {
        let framing = self.framing;
        let part = Frame::data(self.body.clone());
        let end = stream::once(self.end()).filter_map(|()| async { None });
        let body = stream::iter([Ok(part)]).chain(end);
        let reply = Reply::stream(StreamBody::new(body).boxed_unsync());
        async move { reply.with_framing(framing) }.boxed()
    }
}

/// The lines of a generation of two tokens.
fn lines() -> Result<Vec<u8>> {
    let events = [
        EngineEvent::Token {
            index: 0,
            text: "a".into(),
        },
        EngineEvent::Token {
            index: 1,
            text: "b".into(),
        },
        EngineEvent::Done {
            prompt_tokens: 1,
            output_tokens: 2,
            truncated: false,
        },
    ];
    let mut lines = Vec::new();
    for event in events {
        serde_json::to_writer(&mut lines, &StreamLine::Event(event))?;
        lines.push(b'\n');
    }
    Ok(lines)
}

/// What an engine's stream of these bytes comes to: whether it was done, and whether it failed.
async fn hear(body: &[u8], framing: BodyFraming, dies: bool) -> Result<(bool, bool)> {
    let server = Answer::serve(body, framing, dies)?;
    let engine = HttpEngine::new(server.addr());
    let spec = GenerationSpec {
        id: GenerationId(1),
        model: Name::new("m"),
        adapter: Name::default(),
        prompt: "p".into(),
        max_tokens: 2,
        priority: 0,
    };
    let events: Vec<_> = engine.start(&spec).await?.collect().await;
    let done = events
        .iter()
        .any(|event| matches!(event, Ok(EngineEvent::Done { .. })));
    Ok((done, events.iter().any(|event| event.is_err())))
}

/// Guards against a stream of an engine that stops before its last line, at any byte, and is taken for done.
#[tokio::test]
async fn a_stream_without_its_last_line_is_not_done() -> Result<()> {
    let lines = lines()?;
    for framing in FRAMINGS {
        for bytes in 0..lines.len() {
            let (done, failed) = hear(&lines[..bytes], framing, false).await?;
            assert!(!done && failed, "{framing:?}: {bytes} bytes");
        }
        assert_eq!(hear(&lines, framing, false).await?, (true, false));
        assert_eq!(hear(&lines, framing, true).await?, (true, false));
    }
    Ok(())
}

/// Guards against a plain answer that ends with its connection because the service has died, and is taken for whole.
#[tokio::test]
async fn a_plain_answer_of_a_service_that_died_is_not_whole() -> Result<()> {
    for framing in FRAMINGS {
        for dies in [false, true] {
            let server = Answer::serve(b"a part", framing, dies)?;
            let call = CallSpec {
                method: "GET".into(),
                path: "/".into(),
                headers: Vec::new(),
                body: Vec::new(),
            };
            let answer = HttpService::new(server.addr()).call(&call).await;
            assert_eq!(answer.is_ok(), !dies, "{framing:?}: {answer:?}");
        }
    }
    Ok(())
}
