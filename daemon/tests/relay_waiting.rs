//! Streams that wait at a relay until an engine has capacity for them.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use eyre::Result;
use http::StatusCode;
use serde_json::json;
use testutils::cluster::Signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// Prompt length in tokens. Five such streams fill an engine, with the reserve for runs that outgrow their estimate.
const PROMPT: u32 = 6_000;
const FULL: usize = 5;

/// Events of the streams that fill the engine, which takes three seconds, and of one that waits.
const EVENTS: u32 = 200;
const FEW_EVENTS: u32 = 5;

/// The longest time until a caller learns of a change while it waits.
const AT_ONCE: Duration = Duration::from_millis(700);

type Stream = JoinHandle<Result<Heard>>;

/// Starts a deployment whose drafts may wait for 4.5 s, and fills its engine.
async fn start_full() -> Result<(Deployment, Vec<Stream>)> {
    let deployment = Deployment::start(Path::new(env!("CARGO_BIN_EXE_cicadad")), 1, 1, 0).await?;
    deployment.reconfigure(|config| config["routes"][0]["sloMs"] = json!(6_000));
    wait_for(&deployment, "version=2").await?;
    // Wait until the scout knows the relay.
    sleep(Duration::from_millis(1_500)).await;
    let mut streams = Vec::new();
    for number in 0..FULL {
        streams.push(send(&deployment, &format!("draft-{number}"), EVENTS));
        sleep(Duration::from_millis(200)).await;
    }
    Ok((deployment, streams))
}

fn send(deployment: &Deployment, id: &str, events: u32) -> Stream {
    let relay = deployment.relays[0].callers;
    let ask = Ask::stream(id, KEY, PROMPT, events);
    tokio::spawn(async move { ask.send(relay).await })
}

/// Sends a draft that has to wait, and returns once it does.
async fn send_waiting(deployment: &Deployment, id: &str) -> Result<Stream> {
    let stream = send(deployment, id, FEW_EVENTS);
    wait_for(deployment, &format!("wait: entered id=\"{id}\"")).await?;
    Ok(stream)
}

async fn wait_for(deployment: &Deployment, words: &str) -> Result<()> {
    let process = &deployment.relays[0].process;
    wait_until(words, || process.log().contains(words)).await
}

fn arrivals(deployment: &Deployment) -> usize {
    deployment.engines[0].engine.arrivals().len()
}

fn retry_after(response: &Heard) -> Result<f64> {
    Ok(response.headers["retry-after"].to_str()?.parse()?)
}

/// Guards against a draft that is rejected although a run ends while it has time to wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_waits_until_a_run_ends() -> Result<()> {
    let (deployment, streams) = start_full().await?;
    let began = Instant::now();
    let response = send_waiting(&deployment, "late").await?.await??;
    let log = deployment.relays[0].process.log();
    assert!(response.whole_success(), "{response:?}\n{log}");
    assert!(began.elapsed() < Duration::from_millis(4_500), "{log}");
    assert!(log.contains("wait: served id=\"late\""), "{log}");
    for stream in streams {
        assert!(stream.await??.whole_success());
    }
    assert_eq!(arrivals(&deployment), FULL + 1);
    Ok(())
}

/// Guards against a waiting draft that is sent to an engine, or holds up others, after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_gives_up_its_place() -> Result<()> {
    let (deployment, streams) = start_full().await?;
    let leaver = send_waiting(&deployment, "leaver").await?;
    let left_at = Instant::now();
    leaver.abort();
    wait_for(&deployment, "wait: caller_left id=\"leaver\"").await?;
    assert!(left_at.elapsed() < AT_ONCE, "{:?}", left_at.elapsed());
    let next = send_waiting(&deployment, "next").await?.await??;
    assert!(next.whole_success());
    for stream in streams {
        assert!(stream.await??.whole_success());
    }
    assert_eq!(arrivals(&deployment), FULL + 1);
    Ok(())
}

/// Guards against drafts that wait at a relay that drains, which other relays could serve.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_streams_are_rejected_when_their_relay_drains() -> Result<()> {
    let (mut deployment, _streams) = start_full().await?;
    let waiting = [
        send_waiting(&deployment, "first").await?,
        send_waiting(&deployment, "second").await?,
    ];
    let began = Instant::now();
    deployment.relays[0].process.signal(Signal::Term)?;
    for stream in waiting {
        let response = stream.await??;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(retry_after(&response)? < 0.1);
    }
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    assert_eq!(arrivals(&deployment), FULL);
    Ok(())
}

/// Guards against a draft that is sent although the configuration has dropped its route while it waited.
#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_stream_whose_route_is_dropped_is_denied() -> Result<()> {
    let (deployment, _streams) = start_full().await?;
    let waiting = send_waiting(&deployment, "waiting").await?;
    deployment.reconfigure(|config| {
        if let Some(routes) = config["routes"].as_array_mut() {
            routes.remove(0);
        }
    });
    wait_for(&deployment, "version=3").await?;
    let began = Instant::now();
    let response = waiting.await??;
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    assert_eq!(arrivals(&deployment), FULL);
    Ok(())
}

/// Guards against a draft that waits on after all engines are gone.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_waits_for_engines_that_are_gone() -> Result<()> {
    let (deployment, _streams) = start_full().await?;
    let waiting = send_waiting(&deployment, "waiting").await?;
    let began = Instant::now();
    deployment.leave(0, Duration::from_secs(2));
    let response = waiting.await??;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    assert_eq!(arrivals(&deployment), FULL);
    Ok(())
}

/// Guards against a draft that waits although the operator has switched that off.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_waits_where_that_is_switched_off() -> Result<()> {
    let (mut deployment, _streams) = start_full().await?;
    deployment.set(0, "grace = 8\n", "grace = 8\nwait = off\n")?;
    wait_for(&deployment, "were read again").await?;
    let streams: Vec<Stream> = (0..FULL)
        .map(|number| send(&deployment, &format!("more-{number}"), EVENTS))
        .collect();
    let mut rejected = 0;
    for stream in streams {
        rejected += usize::from(stream.await??.status == StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(rejected > 0);
    assert!(!deployment.relays[0].process.log().contains("wait: "));
    Ok(())
}
