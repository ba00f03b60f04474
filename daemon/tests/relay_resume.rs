//! Streams that can be resumed in another run, as seen by callers.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::engine::Trouble;
use cicada_standins::headers;
use eyre::Result;
use eyre::bail;
use http::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Number of events of a stream that runs for a second and a half.
const EVENTS: u32 = 100;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

fn start(deployment: &Deployment, ask: Ask) -> JoinHandle<Result<Heard>> {
    let relay = deployment.relays[0].callers;
    tokio::spawn(async move { ask.send(relay).await })
}

/// Waits for a run to begin, and returns the index of its engine.
async fn engine_of_run(deployment: &Deployment) -> Result<usize> {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        let mut engines = deployment.engines.iter();
        if let Some(engine) = engines.position(|engine| engine.engine.running() > 0) {
            return Ok(engine);
        }
        sleep(Duration::from_millis(10)).await;
    }
    bail!("no run has begun")
}

fn arrivals(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.map(|engine| engine.engine.arrivals().len()).sum()
}

fn assert_complete(deployment: &Deployment, response: &Heard, id: &str, first: u64) {
    let log = deployment.relays[0].process.log();
    assert_eq!(response.status, StatusCode::OK, "{log}");
    assert!(response.whole, "{log}");
    let expected: Vec<u64> = (first..=u64::from(EVENTS)).collect();
    assert_eq!(response.events(id).expect("own events only"), expected);
    assert_eq!(response.headers[headers::SIGNATURE], format!("seal-{id}"));
}

/// A caller whose connection broke after the 30th event requests the rest, as through another relay. It must get the
/// remaining events and none that it already has.
#[tokio::test(flavor = "multi_thread")]
async fn a_reconnecting_caller_gets_the_remaining_events() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let ask = Ask::question("question", KEY, 500, EVENTS).after_event(30);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_complete(&deployment, &response, "question", 31);
    Ok(())
}

/// A caller sends an event identifier for a stream that may not be resumed. The identifier must not reach the engine,
/// which would start a second run in the middle of the stream.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_is_not_named_where_the_route_has_no_resumption() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let ask = Ask::stream("draft", KEY, 500, EVENTS).after_event(30);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_complete(&deployment, &response, "draft", 1);
    Ok(())
}

/// An engine dies in the middle of a resumable stream. The stream must continue at the other engine within the same
/// response, and the caller must get every event exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_when_its_engine_dies() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    let stream = start(&deployment, Ask::question("question", KEY, 500, EVENTS));
    let engine = engine_of_run(&deployment).await?;
    sleep(Duration::from_millis(300)).await;
    deployment.engines[engine].server.down().await;
    assert_complete(&deployment, &stream.await??, "question", 1);
    assert_eq!(arrivals(&deployment), 2);
    Ok(())
}

/// An engine of a resumable stream breaks off in the middle of an event. The partial event must not be forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn a_partial_event_is_not_forwarded() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    let engines = &deployment.engines;
    engines[0].engine.set_trouble(Trouble::TearAfter(40));
    engines[1].engine.set_trouble(Trouble::TearAfter(60));
    let stream = start(&deployment, Ask::question("question", KEY, 500, EVENTS));
    let response = stream.await??;
    let events = response.events("question")?;
    // Both engines truncate an event: the second failure exhausts the attempts that the route allows.
    assert!(!response.whole);
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<u64>>());
    assert_eq!(arrivals(&deployment), 2);
    let text = std::str::from_utf8(&response.body)?;
    assert!(text.ends_with("\n\n"), "{text}");
    Ok(())
}

/// Sends a question whose engine hangs after `hang_after` events while the other engine is healthy, and asserts that a
/// second run completes it. Returns the index of the engine that hangs.
async fn assert_survives_hang(deployment: &Deployment, hang_after: u64) -> Result<usize> {
    for engine in &deployment.engines {
        engine.engine.set_trouble(Trouble::HangAfter(hang_after));
    }
    let stream = start(deployment, Ask::question("question", KEY, 500, EVENTS));
    let engine = engine_of_run(deployment).await?;
    let other = &deployment.engines[1 - engine].engine;
    other.set_trouble(Trouble::None);
    assert_complete(deployment, &stream.await??, "question", 1);
    assert_eq!(arrivals(deployment), 2);
    Ok(engine)
}

/// An engine hangs in the middle of a stream but reports that it is healthy. The stream must continue at the other
/// engine, and the first run must be cancelled because no caller waits for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_when_its_engine_hangs() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    let engine = assert_survives_hang(&deployment, 40).await?;
    assert_eq!(deployment.engines[engine].engine.running(), 0);
    Ok(())
}

/// An engine accepts a request and never responds. A resumable request must be sent to the other engine. One that
/// is not resumable must not run elsewhere, which this test does not check.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_meets_no_answer_goes_elsewhere_where_it_may() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    assert_survives_hang(&deployment, 0).await?;
    Ok(())
}

/// Engines close the connection or return an error before the first event. A resumable request must be sent to a
/// second engine; one that is not resumable must run only once.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_goes_elsewhere_where_it_may() -> Result<()> {
    for trouble in [Trouble::Mute, Trouble::Fail] {
        let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
        for engine in &deployment.engines {
            engine.engine.set_trouble(trouble);
        }
        let relay = deployment.relays[0].callers;
        let draft = Ask::stream("draft", KEY, 500, EVENTS);
        let response = draft.send(relay).await?;
        assert!(response.status.is_server_error());
        assert_eq!(arrivals(&deployment), 1);
        let question = Ask::question("question", KEY, 500, EVENTS);
        let response = question.send(relay).await?;
        assert!(response.status.is_server_error());
        assert_ne!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(arrivals(&deployment), 3);
    }
    Ok(())
}
