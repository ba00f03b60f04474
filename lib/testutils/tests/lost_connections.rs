//! What the adapters say when connections are lost: "not run" only where nothing can have run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
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
use eyre::Result;
use futures_util::StreamExt;
use testutils::cluster::free_addr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// What a peer does with the connections that it accepts.
#[derive(Clone, Copy)]
enum Peer {
    /// Closes at once, before it reads.
    ClosesUnread,
    /// Reads a byte, and closes.
    ClosesAfterByte,
    /// Answers the first request, leaves the connection open, and closes it at the second.
    ClosesOnReuse,
    /// Reads, and says nothing.
    Silent,
    /// Sends a part of an answer, and closes.
    HalfAnswer,
    /// Sends a part of a stream, and ends it in good order.
    HalfStream,
    /// Sends an answer that is too long.
    Endless,
}

/// Starts a peer; the counter grows with each connection.
async fn start(peer: Peer) -> Result<(SocketAddr, Arc<AtomicUsize>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let count = Arc::new(AtomicUsize::new(0));
    let counter = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(play(peer, stream));
        }
    });
    Ok((addr, count))
}

async fn play(peer: Peer, mut stream: TcpStream) -> Result<()> {
    match peer {
        Peer::ClosesUnread => {}
        Peer::ClosesAfterByte => {
            stream.read_u8().await?;
        }
        Peer::ClosesOnReuse => {
            take(&mut stream).await?;
            stream.write_all(OK.as_bytes()).await?;
            take(&mut stream).await?;
        }
        Peer::Silent => {
            take(&mut stream).await?;
            std::future::pending::<()>().await;
        }
        Peer::HalfAnswer => {
            take(&mut stream).await?;
            let half = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
            stream.write_all(half.as_bytes()).await?;
        }
        Peer::HalfStream => {
            take(&mut stream).await?;
            let line = "{\"Event\":{\"Token\":{\"index\":0,\"text\":\"a\"}}}\n";
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let chunk = format!("{head}{:x}\r\n{line}\r\n0\r\n\r\n", line.len());
            stream.write_all(chunk.as_bytes()).await?;
            std::future::pending::<()>().await;
        }
        Peer::Endless => {
            take(&mut stream).await?;
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
            loop {
                stream.write_all(&[b'x'; 4096]).await?;
            }
        }
    }
    Ok(())
}

/// Takes what has come of a request.
async fn take(stream: &mut TcpStream) -> Result<usize> {
    let mut buffer = vec![0; 64 * 1024];
    Ok(stream.read(&mut buffer).await?)
}

/// For calls that are lost: short limits only shorten the test.
fn limits() -> HttpLimits {
    small_body().with_silence(Duration::from_millis(100))
}

fn small_body() -> HttpLimits {
    HttpLimits::new().with_body(100_000)
}

fn call(method: &str) -> CallSpec {
    CallSpec {
        method: method.to_string(),
        path: "/book".to_string(),
        headers: Vec::new(),
        body: b"font 3".to_vec(),
    }
}

fn spec() -> GenerationSpec {
    GenerationSpec {
        id: GenerationId(1),
        model: Name::new("model"),
        adapter: Name::default(),
        prompt: "hymns".to_string(),
        max_tokens: 10,
        priority: 1,
    }
}

fn is_lost<T>(result: cicada_lib::backend::Result<T>) -> bool {
    matches!(result, Err(BackendError::Lost(_)))
}

// The caller books. The connection opens and then fails in one way or another, and the peer may
// have read the booking. "Not run" would let the caller book twice.
#[tokio::test]
async fn lost_call_is_never_called_unrun() -> Result<()> {
    for peer in [
        Peer::ClosesUnread,
        Peer::ClosesAfterByte,
        Peer::Silent,
        Peer::HalfAnswer,
        Peer::Endless,
    ] {
        let (addr, count) = start(peer).await?;
        let service = HttpService::with_limits(addr, limits());
        assert!(is_lost(service.call(&call("POST")).await));
        assert_eq!(count.load(Ordering::Relaxed), 1, "a booking is sent once");
    }
    Ok(())
}

#[tokio::test]
async fn lost_generation_is_never_called_unrun() -> Result<()> {
    for peer in [Peer::ClosesUnread, Peer::ClosesAfterByte, Peer::Silent] {
        let (addr, count) = start(peer).await?;
        let engine = HttpEngine::with_limits(addr, limits());
        assert!(is_lost(engine.start(&spec()).await));
        assert_eq!(
            count.load(Ordering::Relaxed),
            1,
            "a generation is sent once"
        );
    }
    Ok(())
}

#[tokio::test]
async fn lost_write_is_never_called_refused() -> Result<()> {
    for peer in [Peer::ClosesUnread, Peer::ClosesAfterByte, Peer::Silent] {
        let (addr, count) = start(peer).await?;
        let platform = HttpPlatform::with_limits(addr, "", limits());
        let written = platform.write("k", Bytes::new(), Condition::Absent).await;
        assert!(matches!(written, Err(PlatformError::Unknown(_))));
        assert_eq!(count.load(Ordering::Relaxed), 1, "a write is sent once");
    }
    Ok(())
}

// Two bookings follow each other. The peer keeps the first one's connection open and closes it when
// the second one's bytes arrive. On a shared connection the second could not be told from one that
// ran; on its own it is served.
#[tokio::test]
async fn booking_takes_no_used_connection() -> Result<()> {
    let (addr, count) = start(Peer::ClosesOnReuse).await?;
    let service = HttpService::with_limits(addr, HttpLimits::new());
    for calls in 1..=3 {
        service.call(&call("POST")).await?;
        assert_eq!(count.load(Ordering::Relaxed), calls);
    }
    Ok(())
}

#[tokio::test]
async fn generation_and_write_take_no_used_connection() -> Result<()> {
    let (addr, count) = start(Peer::ClosesOnReuse).await?;
    let engine = HttpEngine::with_limits(addr, HttpLimits::new());
    let platform = HttpPlatform::with_limits(addr, "", HttpLimits::new());
    for calls in 1..=3 {
        assert_eq!(engine.start(&spec()).await?.count().await, 1);
        assert_eq!(count.load(Ordering::Relaxed), 2 * calls - 1);
        let written = platform.write("k", Bytes::new(), Condition::Absent).await;
        assert!(written.is_err(), "the peer names no version");
        assert_eq!(count.load(Ordering::Relaxed), 2 * calls);
    }
    Ok(())
}

#[tokio::test]
async fn read_on_a_closed_connection_is_lost_and_not_unreachable() -> Result<()> {
    let (addr, count) = start(Peer::ClosesOnReuse).await?;
    let service = HttpService::with_limits(addr, HttpLimits::new());
    service.call(&call("GET")).await?;
    // The connection comes back to the pool a moment after the answer.
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(is_lost(service.call(&call("GET")).await));
    assert_eq!(count.load(Ordering::Relaxed), 1);
    Ok(())
}

#[tokio::test]
async fn closed_port_proves_that_nothing_ran() -> Result<()> {
    let addr = free_addr()?;
    let service = HttpService::with_limits(addr, limits());
    let engine = HttpEngine::with_limits(addr, limits());
    let platform = HttpPlatform::with_limits(addr, "", limits());
    let called = service.call(&call("POST")).await;
    assert!(matches!(called, Err(BackendError::Unreachable(_))));
    let started = engine.start(&spec()).await;
    assert!(matches!(started.err(), Some(BackendError::Unreachable(_))));
    let written = platform.write("k", Bytes::new(), Condition::Absent).await;
    assert!(matches!(written, Err(PlatformError::Refused(_))));
    Ok(())
}

// The engine's process is stopped while its HTTP library still ends the stream in good order. The
// end of the bytes is not the end of the generation.
#[tokio::test]
async fn stream_without_its_last_line_is_lost() -> Result<()> {
    let (addr, _) = start(Peer::HalfStream).await?;
    let engine = HttpEngine::with_limits(addr, small_body());
    let mut stream = engine.start(&spec()).await?;
    assert!(stream.next().await.is_some_and(|event| event.is_ok()));
    assert!(stream.next().await.is_some_and(is_lost));
    assert!(stream.next().await.is_none());
    Ok(())
}

#[tokio::test]
async fn endless_line_is_lost() -> Result<()> {
    let (addr, _) = start(Peer::Endless).await?;
    let engine = HttpEngine::with_limits(addr, small_body());
    let mut stream = engine.start(&spec()).await?;
    assert!(stream.next().await.is_some_and(is_lost));
    Ok(())
}

/// Guards against an answer that only its connection ends, whose server has died, and that is taken for whole.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_needs_a_server_that_is_there() -> Result<()> {
    for dies in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let service = HttpService::with_limits(listener.local_addr()?, limits());
        let serving = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await?;
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await?;
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of it")
                .await?;
            // The port of a process that dies is closed with its connections.
            let listener = (!dies).then_some(listener);
            drop(stream);
            eyre::Ok(listener)
        });
        let answer = service.call(&call("POST")).await;
        match dies {
            true => assert!(is_lost(answer)),
            false => assert_eq!(answer?.body, "half of it"),
        }
        drop(serving.await??);
    }
    Ok(())
}
