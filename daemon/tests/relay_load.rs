//! Responses that callers get from a relay whose engines are overloaded.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::engine::Trouble;
use eyre::Result;
use http::StatusCode;
use tokio::time::sleep;

/// Prompt length in tokens. Six such prompts fill an engine.
const PROMPT: u32 = 6_000;

/// Number of events of a stream that runs for three seconds.
const EVENTS: u32 = 200;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Two relays send nine long drafts to one engine that has memory for six. Those that do not fit must be rejected at
/// once, without running and with `retry-after`; the others are served completely. A retry after they have ended is
/// served.
#[tokio::test(flavor = "multi_thread")]
async fn what_an_engine_cannot_hold_is_refused_at_once() -> Result<()> {
    let deployment = Deployment::start(daemon(), 2, 1, 0).await?;
    // Wait until the scout knows both relays, and they know its engine.
    sleep(Duration::from_millis(1_500)).await;
    let mut streams = Vec::new();
    for number in 0..9 {
        let relay = deployment.relays[number % 2].callers;
        let id = format!("draft-{number}");
        let ask = Ask::stream(&id, KEY, PROMPT, EVENTS);
        let response = tokio::spawn(async move { ask.send(relay).await });
        streams.push((id, response));
        sleep(Duration::from_millis(150)).await;
    }
    let mut refused: Vec<Heard> = Vec::new();
    for (id, stream) in streams {
        let response = stream.await??;
        if response.status == StatusCode::OK {
            assert!(response.whole, "{id}");
            let all: Vec<u64> = (1..=u64::from(EVENTS)).collect();
            assert_eq!(response.events(&id)?, all);
        } else {
            refused.push(response);
        }
    }
    let log = deployment.relays[0].process.log();
    assert!((2..=5).contains(&refused.len()), "{}\n{log}", refused.len());
    for response in &refused {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        let after: f64 = response.headers["retry-after"].to_str()?.parse()?;
        assert!((0.1..=20.0 / 3.0).contains(&after), "{after}");
    }
    let ran = deployment.engines[0].engine.arrivals().len();
    assert_eq!(ran, 9 - refused.len());
    assert!(log.contains("stream: turned away"), "{log}");
    let back = Ask::stream("back", KEY, PROMPT, EVENTS);
    let response = back.send(deployment.relays[1].callers).await?;
    assert!(response.whole);
    Ok(())
}

/// Rejections are switched off by a change of the settings file, without a signal. All drafts must be served.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_refused_where_that_is_switched_off() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    deployment.set(0, "grace = 8\n", "grace = 8\nrefuse = off\n")?;
    let started = tokio::time::Instant::now();
    while !deployment.relays[0]
        .process
        .log()
        .contains("were read again")
    {
        assert!(started.elapsed() < Duration::from_secs(20));
        sleep(Duration::from_millis(50)).await;
    }
    let mut streams = Vec::new();
    for number in 0..9 {
        let relay = deployment.relays[0].callers;
        let ask = Ask::stream(&format!("draft-{number}"), KEY, PROMPT, EVENTS);
        streams.push(tokio::spawn(async move { ask.send(relay).await }));
        sleep(Duration::from_millis(50)).await;
    }
    for stream in streams {
        assert!(stream.await??.whole);
    }
    assert_eq!(deployment.engines[0].engine.arrivals().len(), 9);
    Ok(())
}

/// One of two engines fails every second request but reports that it is healthy. Drafts may run only once, so each
/// failure reaches a caller. After a few failures the relays must prefer the other engine.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_fails_part_of_its_requests_gets_few() -> Result<()> {
    let deployment = Deployment::start(daemon(), 2, 2, 0).await?;
    // Wait until the scouts know both relays.
    sleep(Duration::from_millis(1_500)).await;
    let failing = &deployment.engines[0].engine;
    failing.set_trouble(Trouble::FailEvery(2));
    let mut failed = 0;
    for number in 0..40 {
        let relay = deployment.relays[number % 2].callers;
        let ask = Ask::stream(&format!("draft-{number}"), KEY, 500, 2);
        failed += usize::from(!ask.send(relay).await?.whole_success());
        sleep(Duration::from_millis(60)).await;
    }
    let got = failing.arrivals().len();
    assert!((1..=6).contains(&failed), "{failed} failed of {got}");
    assert!(got <= 14, "{got} of 40 went to the failing engine");
    Ok(())
}
