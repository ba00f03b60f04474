//! The HTTP adapters against the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use cicada_lib::backend::BackendError;
use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Engine;
use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::EngineStream;
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
use eyre::Result;
use futures_util::StreamExt;
use testutils::engine::EngineServer;
use testutils::engine::EngineSettings;
use testutils::platform::PlatformFaults;
use testutils::platform::PlatformServer;
use testutils::platform::PlatformSettings;
use testutils::service::ServiceFaults;
use testutils::service::ServiceServer;
use testutils::service::ServiceSettings;
use testutils::token_text::check_text;

fn spec(id: u64, prompt: &str) -> GenerationSpec {
    GenerationSpec {
        id: GenerationId(id),
        model: Name::new("model"),
        adapter: Name::default(),
        prompt: prompt.to_string(),
        max_tokens: 10_000,
        priority: 1,
    }
}

async fn text(mut stream: EngineStream) -> Result<String> {
    let mut text = String::new();
    while let Some(event) = stream.next().await {
        if let EngineEvent::Token { text: token, .. } = event? {
            text.push_str(&token);
        }
    }
    Ok(text)
}

fn booking(key: &str) -> CallSpec {
    CallSpec {
        method: "POST".to_string(),
        path: "/book".to_string(),
        headers: vec![cicada_lib::backend::Header {
            name: "idempotency-key".to_string(),
            value: key.as_bytes().to_vec(),
        }],
        body: b"font 3".to_vec(),
    }
}

#[tokio::test]
async fn generation_is_whole_and_its_own() -> Result<()> {
    let server = EngineServer::start(EngineSettings::new())?;
    let engine = HttpEngine::new(server.addr());
    let first = engine.start(&spec(1, "hymns len=20")).await?;
    let second = engine.start(&spec(2, "vows len=7")).await?;
    let (first, second) = tokio::try_join!(text(first), text(second))?;
    assert_eq!(check_text("hymns len=20", &first), Ok(20));
    assert_eq!(check_text("vows len=7", &second), Ok(7));
    assert!(check_text("vows len=7", &first).is_err());
    Ok(())
}

#[tokio::test]
async fn second_start_does_not_run() -> Result<()> {
    let server = EngineServer::start(EngineSettings::new())?;
    let engine = HttpEngine::new(server.addr());
    let _stream = engine.start(&spec(1, "len=20")).await?;
    let again = engine.start(&spec(1, "len=20")).await;
    assert!(matches!(again.err(), Some(BackendError::Failed(_))));
    assert_eq!(server.record().runs.len(), 1);
    Ok(())
}

#[tokio::test]
async fn booking_is_made_and_health_is_seen() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let service = HttpService::new(server.addr());
    service.healthy().await?;
    let answer = service.call(&booking("k1")).await?;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "effect 1: font 3");
    assert_eq!(server.count("k1"), 1);
    Ok(())
}

// The caller books, the booking is made, and the connection closes before the answer. Whoever is
// told "not run" books again, so only "lost" is true.
#[tokio::test]
async fn lost_booking_answer_is_lost() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let service = HttpService::new(server.addr());
    server.set_faults(ServiceFaults {
        lose_next: 1,
        ..ServiceFaults::default()
    });
    let answer = service.call(&booking("k1")).await;
    assert!(matches!(answer, Err(BackendError::Lost(_))), "{answer:?}");
    assert_eq!(server.count("k1"), 1);
    Ok(())
}

#[tokio::test]
async fn refused_and_unreachable_bookings_prove_that_nothing_ran() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let service = HttpService::new(server.addr());
    let refusing = ServiceFaults {
        refuse: true,
        ..ServiceFaults::default()
    };
    server.set_faults(refusing.clone());
    let refused = service.call(&booking("k1")).await;
    assert_eq!(refused, Err(BackendError::Resting(Duration::from_secs(1))));
    server.set_faults(ServiceFaults {
        untimed: true,
        ..refusing
    });
    let refused = service.call(&booking("k1")).await;
    assert!(matches!(refused, Err(BackendError::Refused(_))));
    server.down().await;
    let unreachable = service.call(&booking("k1")).await;
    assert!(matches!(unreachable, Err(BackendError::Unreachable(_))));
    assert_eq!(server.count("k1"), 0);
    Ok(())
}

#[tokio::test]
async fn objects_are_written_once_per_version() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    assert_eq!(platform.read("a/b c?%").await?, None);
    let first = platform
        .write("a/b c?%", Bytes::from("1"), Condition::Absent)
        .await?;
    let again = platform
        .write("a/b c?%", Bytes::from("2"), Condition::Absent)
        .await;
    assert_eq!(again, Err(PlatformError::Conflict { found: Some(first) }));
    let second = platform
        .write("a/b c?%", Bytes::from("2"), Condition::At(first))
        .await?;
    assert!(second > first);
    assert_eq!(platform.list("a/", "").await?, ["a/b c?%"]);
    platform.delete("a/b c?%", second).await?;
    assert_eq!(platform.read("a/b c?%").await?, None);
    Ok(())
}

#[tokio::test]
async fn lost_write_answer_is_unknown_and_can_be_read_back() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    server.set_faults(PlatformFaults {
        lose_next: 1,
        ..PlatformFaults::default()
    });
    let written = platform
        .write("claim", Bytes::from("mine"), Condition::Absent)
        .await;
    assert!(matches!(written, Err(PlatformError::Unknown(_))));
    let object = platform.read("claim").await?;
    assert_eq!(object.map(|object| object.value), Some(Bytes::from("mine")));
    Ok(())
}

#[tokio::test]
async fn watch_sees_a_change_or_ends() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    let first = platform
        .write("root", Bytes::from("1"), Condition::Absent)
        .await?;
    let ended = platform
        .watch("root", first, Duration::from_millis(30))
        .await?;
    assert_eq!(ended, None);
    let writes = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        platform
            .write("root", Bytes::from("2"), Condition::At(first))
            .await
    };
    let watch = platform.watch("root", first, Duration::from_secs(5));
    let (second, seen) = tokio::try_join!(writes, watch)?;
    assert_eq!(seen.map(|object| object.version), Some(second));
    Ok(())
}
