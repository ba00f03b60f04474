//! The fault-injecting proxy, and the adapters behind it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cicada_lib::backend::BackendError;
use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Engine;
use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Service;
use cicada_lib::engine_http::HttpEngine;
use cicada_lib::http_client::HttpLimits;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::platform::Platform;
use cicada_lib::platform::PlatformError;
use cicada_lib::platform_http::HttpPlatform;
use cicada_lib::service_http::HttpService;
use eyre::Result;
use futures_util::StreamExt;
use http::Request;
use testutils::engine::EngineServer;
use testutils::engine::EngineSettings;
use testutils::http_call;
use testutils::platform::PlatformServer;
use testutils::platform::PlatformSettings;
use testutils::proxy::FaultProxy;
use testutils::proxy::FlowFaults;
use testutils::proxy::LinkFaults;
use testutils::proxy_admin::LinkStatus;
use testutils::proxy_admin::ProxyAdmin;
use testutils::service::ServiceServer;
use testutils::service::ServiceSettings;
use testutils::token_text::check_text;

// Above the engine's sign of life each half second, and short for a test.
const SILENCE: Duration = Duration::from_millis(1_500);

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn limits() -> HttpLimits {
    HttpLimits::new().with_silence(SILENCE)
}

fn before(target: SocketAddr) -> Result<Arc<FaultProxy>> {
    Ok(FaultProxy::start(any(), target, 1)?)
}

fn booking() -> CallSpec {
    CallSpec {
        method: "POST".to_string(),
        path: "/book".to_string(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

fn spec(prompt: &str) -> GenerationSpec {
    GenerationSpec {
        id: GenerationId(9),
        model: Name::new("model"),
        adapter: Name::default(),
        prompt: prompt.to_string(),
        max_tokens: 10_000,
        priority: 1,
    }
}

fn stalled() -> FlowFaults {
    FlowFaults {
        stalled: true,
        ..FlowFaults::default()
    }
}

// A stream runs over a connection that something in between forgets: it stays open, and nothing
// comes any more. The caller sees "lost" after the limit, attaches by id and index over a new
// connection, which works, and has the whole answer.
#[tokio::test]
async fn stream_outlives_a_connection_that_went_silent() -> Result<()> {
    let server = EngineServer::start(EngineSettings::new())?;
    let proxy = before(server.addr())?;
    let engine = HttpEngine::with_limits(proxy.addr(), limits());
    let mut stream = engine.start(&spec("len=500")).await?;
    let mut whole = String::new();
    let mut next = 0;
    loop {
        match stream.next().await {
            Some(Ok(EngineEvent::Token { index, text })) => {
                assert_eq!(index, next);
                next += 1;
                whole.push_str(&text);
            }
            Some(Ok(EngineEvent::Done { .. })) | None => break,
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                assert!(matches!(error, BackendError::Lost(_)));
                stream = engine.attach(GenerationId(9), next).await?;
            }
        }
        if next == 10 {
            proxy.silence();
        }
    }
    assert_eq!(check_text("len=500", &whole), Ok(500));
    assert_eq!(server.record().runs.len(), 1);
    Ok(())
}

// All pooled connections went silent together. The first read costs the limit; the next one takes a
// new connection instead of another silent one.
#[tokio::test]
async fn silent_pool_costs_one_read_only() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let proxy = before(server.addr())?;
    let limits = limits().with_silence(Duration::from_secs(1));
    let platform = HttpPlatform::with_limits(proxy.addr(), "", limits);
    let reads = (0..8).map(|_| platform.read("k"));
    futures_util::future::try_join_all(reads).await?;
    assert!(proxy.open() > 1);
    proxy.silence();
    let first = platform.read("k").await;
    assert!(matches!(first, Err(PlatformError::Unknown(_))));
    assert_eq!(platform.read("k").await?, None);
    Ok(())
}

// The answer's direction stalls. The booking is made, and its caller hears nothing: lost, not unrun.
#[tokio::test]
async fn booking_whose_answer_stalls_is_lost() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let proxy = before(server.addr())?;
    let limits = limits().with_silence(Duration::from_secs(1));
    let service = HttpService::with_limits(proxy.addr(), limits);
    let faults = LinkFaults {
        backward: stalled(),
        ..LinkFaults::default()
    };
    proxy.set(faults).await?;
    let answer = service.call(&booking()).await;
    assert!(matches!(answer, Err(BackendError::Lost(_))));
    assert_eq!(server.effects().len(), 1);
    Ok(())
}

#[tokio::test]
async fn stalled_bytes_pass_later() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let proxy = before(server.addr())?;
    let service = HttpService::new(proxy.addr());
    let faults = LinkFaults {
        forward: stalled(),
        ..LinkFaults::default()
    };
    proxy.set(faults).await?;
    let release = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let unmade = server.effects().is_empty();
        proxy.set(LinkFaults::default()).await.map(|()| unmade)
    };
    let call = booking();
    let (answer, unmade) = tokio::join!(service.call(&call), release);
    assert_eq!(answer?.status, 200);
    assert!(unmade?, "nothing passes while the link is stalled");
    Ok(())
}

#[tokio::test]
async fn delay_is_added_in_each_direction() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let proxy = before(server.addr())?;
    let slow = FlowFaults {
        delay: 50,
        jitter: 10,
        ..FlowFaults::default()
    };
    let faults = LinkFaults {
        forward: slow.clone(),
        backward: slow,
        ..LinkFaults::default()
    };
    proxy.set(faults).await?;
    let start = Instant::now();
    HttpService::new(proxy.addr()).call(&booking()).await?;
    assert!(start.elapsed() >= Duration::from_millis(100));
    Ok(())
}

#[tokio::test]
async fn refused_and_cut_connections_are_told_apart() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings {
        service_time: Duration::from_secs(1),
        ..ServiceSettings::new()
    })?;
    let proxy = before(server.addr())?;
    let service = HttpService::new(proxy.addr());
    let cut = async {
        while proxy.open() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        proxy.cut().await;
    };
    let call = booking();
    let (answer, ()) = tokio::join!(service.call(&call), cut);
    assert!(matches!(answer, Err(BackendError::Lost(_))));
    let refuse = LinkFaults {
        refuse: true,
        ..LinkFaults::default()
    };
    proxy.set(refuse).await?;
    let answer = service.call(&booking()).await;
    assert!(matches!(answer, Err(BackendError::Unreachable(_))));
    proxy.set(LinkFaults::default()).await?;
    service.call(&booking()).await?;
    Ok(())
}

// Something in between accepts connections for a peer that is cut off. A call into it may have run
// for all that its caller knows.
#[tokio::test]
async fn call_into_a_hole_is_lost() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let proxy = before(server.addr())?;
    let limits = limits().with_silence(Duration::from_millis(100));
    let service = HttpService::with_limits(proxy.addr(), limits);
    let hole = LinkFaults {
        hole: true,
        ..LinkFaults::default()
    };
    proxy.set(hole).await?;
    let answer = service.call(&booking()).await;
    assert!(matches!(answer, Err(BackendError::Lost(_))));
    assert!(server.effects().is_empty());
    Ok(())
}

#[tokio::test]
async fn faults_are_changed_over_http() -> Result<()> {
    let server = ServiceServer::start(ServiceSettings::new())?;
    let proxy = before(server.addr())?;
    let admin = ProxyAdmin::start(any(), vec![proxy.clone()])?;
    let request = Request::put("/links/0/faults").body(Bytes::from("{\"refuse\":true}"))?;
    let answer = http_call::call(admin.addr(), request).await?;
    assert_eq!(answer.status(), 200);
    assert!(proxy.faults().refuse);
    let listed = http_call::get(admin.addr(), "/links").await?;
    let links: Vec<LinkStatus> = serde_json::from_slice(listed.body())?;
    assert!(links[0].faults.refuse);
    for action in ["silence", "cut"] {
        let request = Request::post(format!("/links/0/{action}")).body(Bytes::new())?;
        assert_eq!(http_call::call(admin.addr(), request).await?.status(), 200);
    }
    let unknown = Request::post("/links/1/cut").body(Bytes::new())?;
    assert_eq!(http_call::call(admin.addr(), unknown).await?.status(), 404);
    Ok(())
}
