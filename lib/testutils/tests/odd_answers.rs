//! What the adapters make of answers whose status is no final one, and of answers without end.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::backend::BackendError;
use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Engine;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Service;
use cicada_lib::engine_http::HttpEngine;
use cicada_lib::http_client::HttpLimits;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Platform;
use cicada_lib::platform::PlatformError;
use cicada_lib::platform_http::HttpPlatform;
use cicada_lib::service_http::HttpService;
use futures_util::StreamExt;
use testutils::scripted_server::Script;
use testutils::scripted_server::ScriptedServer;
use tokio::time::Instant;
use tokio::time::timeout;

const ODD: [&str; 9] = [
    "000", "099", "100", "101", "102", "103", "600", "999", "1000",
];

const PIECE: usize = 16 * 1024;

/// The limits of the calls without end, and the time in which each of them has failed.
const BODY: usize = 1024 * 1024;
const SILENCE: Duration = Duration::from_secs(4);
const MAX_TIME: Duration = Duration::from_secs(2);

/// The most bytes that a peer can send: the body, two reads in a row of many pieces, and what the kernel holds.
const MAX_BYTES: usize = BODY + (100 << 20) + (12 << 20);

async fn start(script: Script) -> ScriptedServer {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = ScriptedServer::start(any, "x-id").await.unwrap();
    server.set_script("/", script);
    server
}

fn call(method: &str) -> CallSpec {
    CallSpec {
        method: method.to_string(),
        path: "/book".to_string(),
        headers: Vec::new(),
        body: b"font 3".to_vec(),
    }
}

fn generation() -> GenerationSpec {
    GenerationSpec {
        id: GenerationId(1),
        model: Name::new("model"),
        adapter: Name::default(),
        prompt: "hymns len=20".to_string(),
        max_tokens: 100,
        priority: 1,
    }
}

/// Guards against an answer that is no final one and that an agent passes on, or takes for a proof that nothing ran.
#[tokio::test]
async fn an_answer_with_an_odd_status_is_lost() {
    let mut failures = Vec::new();
    let statements = ["", "x-ran: no\r\nretry-after: 1\r\n"];
    for (status, said) in ODD.iter().flat_map(|s| statements.map(|said| (s, said))) {
        let head = format!("HTTP/1.1 {status} Odd\r\n{said}");
        let server = start(Script::new(format!("{head}content-length: 2\r\n\r\n{{}}"))).await;
        let address = server.address();
        let service = HttpService::new(address);
        for method in ["GET", "POST"] {
            let answer = service.call(&call(method)).await;
            if !matches!(answer, Err(BackendError::Lost(_))) {
                failures.push(format!("{status}, {method}: {answer:?}"));
            }
        }
        if service.healthy().await.is_ok() {
            failures.push(format!("{status}: healthy"));
        }
        let engine = HttpEngine::new(address);
        let started = engine.start(&generation()).await.err();
        if !matches!(started, Some(BackendError::Lost(_))) {
            failures.push(format!("{status}, start: {started:?}"));
        }
        let load = engine.load().await;
        if !matches!(load, Err(BackendError::Lost(_))) {
            failures.push(format!("{status}, load: {load:?}"));
        }
        let platform = HttpPlatform::new(address, "token");
        let written = platform
            .write("key", "value".into(), Condition::Absent)
            .await;
        if !matches!(written, Err(PlatformError::Unknown(_))) {
            failures.push(format!("{status}, write: {written:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

fn endless() -> Vec<(&'static str, Script)> {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let filler = "x".repeat(PIECE);
    let field = "x-one: more\r\n".repeat(PIECE / 13);
    let hints = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(PIECE / 28);
    let chunk = format!("{PIECE:x}\r\n{filler}\r\n");
    vec![
        ("headers", Script::new(head).with_repeated(&field)),
        ("informational", Script::default().with_repeated(hints)),
        (
            "extension",
            Script::new(format!("{chunked}5;")).with_repeated(&filler),
        ),
        ("chunks", Script::new(&chunked).with_repeated(chunk)),
        (
            "trailers",
            Script::new(format!("{chunked}0\r\n")).with_repeated(&field),
        ),
        (
            "body",
            Script::new(format!("{head}\r\n")).with_repeated(&filler),
        ),
        (
            "error body",
            Script::new("HTTP/1.1 500 Odd\r\n\r\n").with_repeated(&filler),
        ),
    ]
}

/// Guards against a peer that takes an agent's memory or time by an answer without end.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_is_lost_in_bounded_time() {
    let limits = HttpLimits::new().with_body(BODY).with_silence(SILENCE);
    let mut failures = Vec::new();
    for (kind, script) in endless() {
        for name in ["service", "load", "generation", "platform"] {
            let server = start(script.clone()).await;
            let address = server.address();
            let begun = Instant::now();
            let outcome = match name {
                "service" => {
                    let service = HttpService::with_limits(address, limits);
                    service
                        .call(&call("GET"))
                        .await
                        .err()
                        .map(|e| e.to_string())
                }
                "load" => {
                    let engine = HttpEngine::with_limits(address, limits);
                    engine.load().await.err().map(|e| e.to_string())
                }
                "generation" => {
                    let engine = HttpEngine::with_limits(address, limits);
                    match engine.start(&generation()).await {
                        Err(error) => Some(error.to_string()),
                        Ok(mut events) => match events.next().await {
                            Some(Err(error)) => Some(error.to_string()),
                            _ => None,
                        },
                    }
                }
                _ => {
                    let platform = HttpPlatform::with_limits(address, "token", limits);
                    platform.hosts().await.err().map(|e| e.to_string())
                }
            };
            let (took, bytes) = (begun.elapsed(), server.longest_answer());
            if outcome.is_none() || took > MAX_TIME || bytes > MAX_BYTES {
                failures.push(format!(
                    "{name}, {kind}: {outcome:?}, {bytes} bytes in {took:?}"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a peer that sends a byte now and then without end, and so keeps a call that is never silent.
#[tokio::test]
async fn a_body_that_trickles_without_end_is_lost() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let pause = Duration::from_millis(20);
    let server = start(Script::new(head).with_repeated(" ").with_pause(pause)).await;
    let limits = HttpLimits::new().with_whole(MAX_TIME / 4);
    let service = HttpService::with_limits(server.address(), limits);
    let engine = HttpEngine::with_limits(server.address(), limits);
    let get = call("GET");
    let answers = async { tokio::join!(service.call(&get), engine.load()) };
    let (called, load) = timeout(MAX_TIME, answers).await.unwrap();
    assert!(matches!(called, Err(BackendError::Lost(_))), "{called:?}");
    assert!(matches!(load, Err(BackendError::Lost(_))), "{load:?}");
}
