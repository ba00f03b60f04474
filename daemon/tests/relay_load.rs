//! What callers see of a relay whose engines are crowded.

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

/// Tokens of a prompt, of which six fill an engine.
const PROMPT: u32 = 6_000;

/// Events of a stream that runs for three seconds.
const EVENTS: u32 = 200;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Nine long drafts come to one engine, which holds six of them, through two relays. Those that it cannot hold
/// are refused at once, unrun and with a time to come back; those that it holds are served whole. Who comes
/// back when they have ended is served.
#[tokio::test(flavor = "multi_thread")]
async fn what_an_engine_cannot_hold_is_refused_at_once() -> Result<()> {
    let deployment = Deployment::start(daemon(), 2, 1, 0).await?;
    // Until the scout knows both relays, and they its engine.
    sleep(Duration::from_millis(1_500)).await;
    let mut streams = Vec::new();
    for number in 0..9 {
        let relay = deployment.relays[number % 2].callers;
        let id = format!("draft-{number}");
        let ask = Ask::stream(&id, KEY, PROMPT, EVENTS);
        let heard = tokio::spawn(async move { ask.send(relay).await });
        streams.push((id, heard));
        sleep(Duration::from_millis(150)).await;
    }
    let mut refused: Vec<Heard> = Vec::new();
    for (id, stream) in streams {
        let heard = stream.await??;
        if heard.status == StatusCode::OK {
            assert!(heard.whole, "{id}");
            let all: Vec<u64> = (1..=u64::from(EVENTS)).collect();
            assert_eq!(heard.events(&id)?, all);
        } else {
            refused.push(heard);
        }
    }
    let log = deployment.relays[0].process.log();
    assert!((2..=5).contains(&refused.len()), "{}\n{log}", refused.len());
    for heard in &refused {
        assert_eq!(heard.status, StatusCode::SERVICE_UNAVAILABLE);
        let after: f64 = heard.headers["retry-after"].to_str()?.parse()?;
        assert!((0.1..=20.0 / 3.0).contains(&after), "{after}");
    }
    let ran = deployment.engines[0].engine.arrivals().len();
    assert_eq!(ran, 9 - refused.len());
    assert!(log.contains("stream: turned away"), "{log}");
    let back = Ask::stream("back", KEY, PROMPT, EVENTS);
    let heard = back.send(deployment.relays[1].callers).await?;
    assert!(heard.whole);
    Ok(())
}

/// The same engine with refusals switched off, in the file and without a signal: nothing is refused.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_refused_where_that_is_switched_off() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    deployment.set(0, "grace = 8\n", "grace = 8\nrefuse = off\n")?;
    let begun = tokio::time::Instant::now();
    while !deployment.relays[0]
        .process
        .log()
        .contains("were read again")
    {
        assert!(begun.elapsed() < Duration::from_secs(20));
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

/// One of two engines fails every second request and reports that it is well. Drafts may run once only, so that
/// each failure is a caller's: a few callers find out, and the others are sent to the other engine.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_fails_part_of_its_requests_gets_few() -> Result<()> {
    let deployment = Deployment::start(daemon(), 2, 2, 0).await?;
    // Until the scouts know both relays.
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
