//! Backend servers that turn requests away and ask for rest, with relays run as processes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::service::Service;
use eyre::Result;
use http::StatusCode;
use tokio::time::Instant;
use tokio::time::sleep;

/// Rest that servers ask for, as they write it and as a duration.
const REST_SECONDS: &str = "3";
const REST: Duration = Duration::from_secs(3);

/// Time after a refusal in which requests that were on their way may arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Requests that may arrive from one relay during the rest after that.
const MAX_ARRIVALS: usize = 2;

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Time within which a call is refused that no server can take: no timeout of the relay is involved.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Index of the service in the relay's zone. A second one, if any, is in another zone.
const LOCAL_ZONE: usize = 0;

async fn start(zones: &[&str]) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    Deployment::start_plain(daemon, zones, &["a"]).await
}

fn call(id: &str) -> Ask {
    Ask::new("POST", "/deposits/1", id, KEY)
}

/// Sends calls that run at most once at a fixed interval for the duration, and returns the statuses of the answers.
async fn send_for(relay: SocketAddr, name: &str, duration: Duration) -> Result<Vec<StatusCode>> {
    let until = Instant::now() + duration;
    let mut statuses = Vec::new();
    while Instant::now() < until {
        let response = call(&format!("{name}-{}", statuses.len()))
            .send(relay)
            .await?;
        statuses.push(response.status);
        sleep(REQUEST_INTERVAL).await;
    }
    Ok(statuses)
}

/// Number of requests that reached the service from [`SETTLE_TIME`] after the first one until the end of its rest.
fn arrivals_during_rest(service: &Service, before: usize) -> usize {
    let arrivals = service.arrivals();
    let first = arrivals[before];
    let resting = arrivals.iter().filter(|at| {
        let since = at.duration_since(first);
        since >= SETTLE_TIME && since < REST
    });
    resting.count()
}

/// Guards against a server that is sent all requests on although it turned one away and asked for rest.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_asked_for_rest_gets_it_while_others_serve() -> Result<()> {
    let deployment = start(&["a", "b"]).await?;
    let relay = deployment.relays[0].callers;
    let near = &deployment.services[LOCAL_ZONE].0;
    send_for(relay, "before", Duration::from_millis(200)).await?;
    let before = near.arrivals().len();
    near.set_rest(Some(REST_SECONDS));
    let statuses = send_for(relay, "resting", REST).await?;
    let arrivals = arrivals_during_rest(near, before);
    let log = deployment.relays[0].process.log();
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} arrivals\n{log}");
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    Ok(())
}

/// Guards against callers that are sent to a resting server, wait for it, or are asked back before it takes work.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_refused_at_once_with_an_honest_time_when_all_servers_rest() -> Result<()> {
    let deployment = start(&["a"]).await?;
    let relay = deployment.relays[0].callers;
    let service = &deployment.services[LOCAL_ZONE].0;
    service.set_rest(Some(REST_SECONDS));
    call("first").send(relay).await?;
    let asked_at = Instant::now();
    sleep(SETTLE_TIME).await;
    for number in 0..10 {
        let started = Instant::now();
        let left = REST.saturating_sub(asked_at.elapsed()).as_secs_f64();
        let response = call(&format!("refused-{number}")).send(relay).await?;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(started.elapsed() < REFUSAL_TIME, "refused late");
        let retry_after: f64 = response.headers["retry-after"].to_str()?.parse()?;
        assert!(retry_after > left - 0.2, "{retry_after} s, {left} s left");
    }
    assert_eq!(service.arrivals().len(), 1);
    assert_eq!(service.ran(), [], "a refused call ran");
    Ok(())
}

/// Guards against a server that stays unused after its rest.
#[tokio::test(flavor = "multi_thread")]
async fn a_rested_server_is_used_in_full_again() -> Result<()> {
    let deployment = start(&["a"]).await?;
    let relay = deployment.relays[0].callers;
    let service = &deployment.services[LOCAL_ZONE].0;
    service.set_rest(Some("0.5"));
    call("first").send(relay).await?;
    service.set_rest(None);
    sleep(Duration::from_secs(1)).await;
    let statuses = send_for(relay, "rested", Duration::from_secs(1)).await?;
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    Ok(())
}

/// Guards against rests that are ignored because their time is a fraction or no number of seconds, and against a rest
/// taken from a time of nothing.
#[tokio::test(flavor = "multi_thread")]
async fn times_that_are_no_whole_seconds_are_understood() -> Result<()> {
    let deployment = start(&["a"]).await?;
    let relay = deployment.relays[0].callers;
    let service = &deployment.services[LOCAL_ZONE].0;
    let date = "Wed, 21 Oct 2026 07:28:00 GMT";
    for (retry_after, rests) in [("0", false), ("-3", false), ("0.9", true), (date, true)] {
        let before = service.arrivals().len();
        service.set_rest(Some(retry_after));
        call(&format!("first-{before}")).send(relay).await?;
        call(&format!("second-{before}")).send(relay).await?;
        let arrivals = service.arrivals().len() - before;
        assert_eq!(arrivals == 1, rests, "{retry_after}: {arrivals} arrivals");
        sleep(Duration::from_millis(1_300)).await;
    }
    Ok(())
}

/// Guards against operators who cannot see why a server gets nothing.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_page_shows_who_rests_and_for_how_long() -> Result<()> {
    let deployment = start(&["a"]).await?;
    let service = &deployment.services[LOCAL_ZONE].0;
    service.set_rest(Some(REST_SECONDS));
    call("first").send(deployment.relays[0].callers).await?;
    let status = deployment.status(0).await?;
    let resting = &status["resting"][0];
    assert_eq!(resting["server"], service.id());
    let left = resting["left_ms"].as_u64().unwrap_or_default();
    assert!(
        left > 0 && left <= REST.as_millis() as u64,
        "{left} ms left"
    );
    Ok(())
}
