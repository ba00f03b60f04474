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

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

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
