//! The runner of processes, with the stand-ins' own program.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_lib::backend::Engine;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::HttpEngine;
use cicada_lib::http_client::HttpLimits;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use eyre::Result;
use futures_util::StreamExt;
use testutils::cluster::Process;
use testutils::cluster::Signal;

fn bin() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicada-standin"))
}

async fn start(args: &[&str]) -> Result<(Process, SocketAddr)> {
    let mut process = Process::spawn_args(bin(), args)?;
    let addr = process.wait_line("listening on ").await?.parse()?;
    Ok((process, addr))
}

#[tokio::test]
async fn engine_runs_as_a_process_and_is_paused() -> Result<()> {
    let args = ["engine", "--listen", "127.0.0.1:0", "--model", "hymns"];
    let (mut process, addr) = start(&args).await?;
    process.wait_answer(addr, "/load").await?;
    let limits = HttpLimits::new().with_silence(Duration::from_secs(2));
    let engine = HttpEngine::with_limits(addr, limits);
    let spec = GenerationSpec {
        id: GenerationId(1),
        model: Name::new("hymns"),
        adapter: Name::default(),
        prompt: "len=4".to_string(),
        max_tokens: 10,
        priority: 1,
    };
    assert_eq!(engine.start(&spec).await?.count().await, 5);
    process.signal(Signal::Stop)?;
    assert!(engine.load().await.is_err());
    process.signal(Signal::Cont)?;
    assert!(engine.load().await.is_ok());
    process.signal(Signal::Term)?;
    process.wait_end(Duration::from_secs(5)).await?;
    assert!(process.signal(Signal::Kill).is_err());
    Ok(())
}

#[tokio::test]
async fn every_kind_starts() -> Result<()> {
    for (kind, path) in [
        ("platform", "/objects"),
        ("service", "/health"),
        ("proxy", "/links"),
    ] {
        let (mut process, addr) = start(&[kind, "--listen", "127.0.0.1:0"]).await?;
        process.wait_answer(addr, path).await?;
    }
    start(&["weights", "--listen", "127.0.0.1:0"]).await?;
    Ok(())
}

#[tokio::test]
async fn process_that_ends_says_why() -> Result<()> {
    let mut process = Process::spawn_args(bin(), &["engine", "--step", "soon"])?;
    let error = process.wait_line("listening on ").await.err();
    let text = error.map(|error| error.to_string()).unwrap_or_default();
    assert!(text.contains("--step soon"), "{text}");
    Ok(())
}
