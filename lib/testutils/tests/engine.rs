//! The stand-in engine over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::backend::BackendError;
use cicada_lib::backend::Engine;
use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::EngineStream;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Order;
use cicada_lib::engine_http::HttpEngine;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use eyre::Result;
use futures_util::StreamExt;
use http::Request;
use testutils::engine::EngineServer;
use testutils::engine::EngineSettings;
use testutils::engine_core::CoreSettings;
use testutils::generation::End;
use testutils::http_call;
use testutils::token_text::check_text;
use testutils::weight_store::WeightStore;

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

fn settings() -> EngineSettings {
    EngineSettings {
        restart: Duration::from_millis(100),
        model_load: Duration::from_millis(20),
        ..EngineSettings::new()
    }
}

/// The texts of the next `count` tokens, or of all that follow.
async fn texts(stream: &mut EngineStream, count: usize) -> Result<String, BackendError> {
    let mut texts = String::new();
    let mut tokens = 0;
    while tokens < count {
        match stream.next().await.transpose()? {
            Some(EngineEvent::Token { text, .. }) => texts.push_str(&text),
            Some(EngineEvent::Preempted | EngineEvent::Resumed) => continue,
            Some(EngineEvent::Done { .. }) | None => break,
        }
        tokens += 1;
    }
    Ok(texts)
}

/// Waits until a check holds.
async fn until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// A caller's stream is dropped after three tokens. The generation goes on; the caller's next stream
// begins at the fourth token, and the whole has no gap and nothing twice. So it is after the end.
#[tokio::test]
async fn stream_goes_on_at_its_index() -> Result<()> {
    let server = EngineServer::start(settings())?;
    let engine = HttpEngine::new(server.addr());
    let mut stream = engine.start(&spec(7, "len=30")).await?;
    let mut whole = texts(&mut stream, 3).await?;
    drop(stream);
    let mut stream = engine.attach(GenerationId(7), 3).await?;
    whole += &texts(&mut stream, 10).await?;
    drop(stream);
    until(async || server.record().runs[0].end == End::Done).await;
    let mut stream = engine.attach(GenerationId(7), 13).await?;
    whole += &texts(&mut stream, usize::MAX).await?;
    assert_eq!(check_text("len=30", &whole), Ok(30));
    let mut past = engine.attach(GenerationId(7), 30).await?;
    let last = past.next().await.transpose()?;
    assert!(matches!(last, Some(EngineEvent::Done { .. })));
    Ok(())
}

#[tokio::test]
async fn unknown_and_forgotten_generations_are_gone() -> Result<()> {
    let server = EngineServer::start(EngineSettings {
        core: CoreSettings {
            keep: Duration::from_millis(500),
            ..CoreSettings::new()
        },
        ..settings()
    })?;
    let engine = HttpEngine::new(server.addr());
    let unknown = engine.attach(GenerationId(7), 0).await.err();
    assert_eq!(unknown, Some(BackendError::Gone));
    assert_eq!(engine.cancel(GenerationId(7)).await, Ok(()));
    assert_eq!(
        engine.resume(GenerationId(7)).await,
        Err(BackendError::Gone)
    );
    let mut stream = engine.start(&spec(8, "len=3")).await?;
    texts(&mut stream, usize::MAX).await?;
    until(async || engine.attach(GenerationId(8), 0).await.is_err()).await;
    Ok(())
}

#[tokio::test]
async fn cancelled_generation_ends_and_frees_memory() -> Result<()> {
    let server = EngineServer::start(settings())?;
    let engine = HttpEngine::new(server.addr());
    let mut stream = engine.start(&spec(1, "len=5000")).await?;
    texts(&mut stream, 2).await?;
    engine.cancel(GenerationId(1)).await?;
    let rest = texts(&mut stream, usize::MAX).await;
    assert!(matches!(rest, Err(BackendError::Failed(_))), "{rest:?}");
    assert_eq!(server.load().used_tokens, 0);
    assert_eq!(server.record().runs[0].end, End::Cancelled);
    Ok(())
}

#[tokio::test]
async fn paused_generation_says_so_and_goes_on() -> Result<()> {
    let server = EngineServer::start(settings())?;
    let engine = HttpEngine::new(server.addr());
    let mut stream = engine.start(&spec(1, "len=400")).await?;
    let mut whole = texts(&mut stream, 2).await?;
    engine.pause(GenerationId(1)).await?;
    loop {
        match stream.next().await.transpose()? {
            Some(EngineEvent::Token { text, .. }) => whole += &text,
            event => {
                assert_eq!(event, Some(EngineEvent::Preempted));
                break;
            }
        }
    }
    assert_eq!(server.load().used_tokens, 0);
    engine.resume(GenerationId(1)).await?;
    let event = stream.next().await.transpose()?;
    assert_eq!(event, Some(EngineEvent::Resumed));
    whole += &texts(&mut stream, usize::MAX).await?;
    assert_eq!(check_text("len=400", &whole), Ok(400));
    Ok(())
}

// A caller's prompt kills the engine. The other caller's stream is cut, and its generation is gone:
// the engine's next start knows nothing of it, and shows by its incarnation that it is another one.
#[tokio::test]
async fn prompt_kills_the_engine_and_all_it_runs() -> Result<()> {
    let server = EngineServer::start(settings())?;
    let engine = HttpEngine::new(server.addr());
    let before = engine.load().await?.incarnation;
    let mut other = engine.start(&spec(1, "len=5000")).await?;
    texts(&mut other, 1).await?;
    let mut killer = engine.start(&spec(2, "KILL len=5")).await?;
    for stream in [&mut killer, &mut other] {
        let end = texts(stream, usize::MAX).await;
        assert!(matches!(end, Err(BackendError::Lost(_))), "{end:?}");
    }
    until(async || engine.load().await.is_ok()).await;
    assert_ne!(engine.load().await?.incarnation, before);
    let gone = engine.attach(GenerationId(1), 1).await.err();
    assert_eq!(gone, Some(BackendError::Gone));
    let record = server.record();
    assert_eq!(record.deaths, 1);
    assert!(record.runs.iter().all(|run| run.end == End::Died));
    Ok(())
}

#[tokio::test]
async fn dead_engine_cannot_be_reached() -> Result<()> {
    let server = EngineServer::start(EngineSettings {
        restart: Duration::from_secs(600),
        ..settings()
    })?;
    let engine = HttpEngine::new(server.addr());
    engine.load().await?;
    server.kill().await;
    let started = engine.start(&spec(1, "len=5")).await.err();
    assert!(matches!(started, Some(BackendError::Unreachable(_))));
    assert!(server.record().runs.is_empty());
    Ok(())
}

#[tokio::test]
async fn order_under_an_old_number_is_refused_where_numbers_are_checked() -> Result<()> {
    for fencing in [true, false] {
        let server = EngineServer::start(EngineSettings {
            fencing,
            ..settings()
        })?;
        let engine = HttpEngine::new(server.addr());
        let decode = Order::Role(Name::new("decode"));
        engine.order(5, &decode).await?;
        let old = engine.order(4, &Order::Role(Name::new("mixed"))).await;
        let (result, role) = if fencing {
            (Err(BackendError::Fenced(5)), "decode")
        } else {
            (Ok(()), "mixed")
        };
        assert_eq!(old, result);
        assert_eq!(server.load().role.as_str(), role);
        assert_eq!(server.load().fence, 5);
    }
    Ok(())
}

#[tokio::test]
async fn model_is_loaded_after_a_slot_and_a_while() -> Result<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = WeightStore::start(any, 2.0)?;
    let server = EngineServer::start(EngineSettings {
        weights: Some(store.addr()),
        ..settings()
    })?;
    let engine = HttpEngine::new(server.addr());
    let mut spec = spec(1, "len=3");
    spec.adapter = Name::new("vows");
    let refused = engine.start(&spec).await.err();
    assert!(matches!(refused, Some(BackendError::Refused(_))));
    engine.order(1, &Order::Load(Name::new("vows"))).await?;
    engine.order(1, &Order::Load(Name::new("hymns"))).await?;
    until(async || server.load().models.len() == 3).await;
    let stream = engine.start(&spec).await?;
    assert_eq!(stream.count().await, 4);
    assert_eq!(store.granted(), 2);
    assert!(store.refused() > 0);
    Ok(())
}

#[tokio::test]
async fn load_is_reported_with_a_lag() -> Result<()> {
    let server = EngineServer::start(EngineSettings {
        load_lag: Duration::from_secs(600),
        ..settings()
    })?;
    let engine = HttpEngine::new(server.addr());
    assert_eq!(engine.load().await?.running, 0);
    let mut stream = engine.start(&spec(1, "len=5000")).await?;
    texts(&mut stream, 2).await?;
    assert_eq!(server.load().running, 1);
    assert_eq!(engine.load().await?.running, 0);
    Ok(())
}

#[tokio::test]
async fn slow_engine_takes_longer_steps() -> Result<()> {
    let server = EngineServer::start(settings())?;
    let engine = HttpEngine::new(server.addr());
    let slow = Request::post("/admin/slow?factor=10").body(Bytes::new())?;
    http_call::call(server.addr(), slow).await?;
    let mut stream = engine.start(&spec(1, "len=3")).await?;
    texts(&mut stream, usize::MAX).await?;
    assert!(server.load().step_micros >= 20_000);
    Ok(())
}
