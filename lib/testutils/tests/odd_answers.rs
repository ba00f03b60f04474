//! What the adapters make of answers whose status is no final one, and of answers without end.

use std::net::SocketAddr;

use cicada_lib::backend::BackendError;
use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Engine;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Service;
use cicada_lib::engine_http::HttpEngine;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Platform;
use cicada_lib::platform::PlatformError;
use cicada_lib::platform_http::HttpPlatform;
use cicada_lib::service_http::HttpService;
use testutils::scripted_server::Script;
use testutils::scripted_server::ScriptedServer;

const ODD: [&str; 9] = [
    "000", "099", "100", "101", "102", "103", "600", "999", "1000",
];

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
