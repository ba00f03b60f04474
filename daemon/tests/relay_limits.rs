//! Backend servers that report a limit of requests per second, with relays run as processes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::service::Mode;
use eyre::Result;
use http::StatusCode;
use testutils::cluster::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// The window over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How long callers send requests to servers that are at their limits.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Number of callers at each relay.
const CALLERS_PER_RELAY: usize = 2;

/// Indices of services in the deployment: one in the relays' zone, one in another zone.
const LOCAL_ZONE: usize = 0;
const OTHER_ZONE: usize = 1;

async fn start(relays: usize, zones: &[&str]) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, zones, &vec!["a"; relays]).await?;
    // Wait until the relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    Ok(deployment)
}

/// Sends requests to the relay at a fixed interval until a time, and returns their statuses. Each rejection must carry
/// `retry-after`.
async fn send_until(relay: SocketAddr, name: String, until: Instant) -> Result<Vec<StatusCode>> {
    let mut statuses = Vec::new();
    let mut next = Instant::now();
    while next < until {
        let id = format!("{name}-{}", statuses.len());
        let response = Ask::new("GET", "/slots/7", &id, KEY).send(relay).await?;
        let refused = response.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!refused || response.headers.contains_key("retry-after"));
        statuses.push(response.status);
        next += REQUEST_INTERVAL;
        sleep_until(next).await;
    }
    Ok(statuses)
}

/// Sends requests from callers at all relays for the duration, and returns their statuses.
async fn send_from_all_relays(
    deployment: &Deployment,
    name: &str,
    time: Duration,
) -> Result<Vec<StatusCode>> {
    let until = Instant::now() + time;
    let mut callers = JoinSet::new();
    for (number, relay) in deployment.relays.iter().enumerate() {
        for caller in 0..CALLERS_PER_RELAY {
            let name = format!("{name}-{number}-{caller}");
            callers.spawn(send_until(relay.callers, name, until));
        }
    }
    let mut statuses = Vec::new();
    for answers in callers.join_all().await {
        statuses.extend(answers?);
    }
    Ok(statuses)
}

/// The largest number of arrivals within any window, counting those since `from`.
fn max_arrivals(arrivals: &[Instant], from: Instant) -> usize {
    let arrivals: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let within = |first: usize| {
        let later = arrivals[first..].iter();
        later
            .take_while(|at| **at - arrivals[first] < WINDOW)
            .count()
    };
    (0..arrivals.len()).map(within).max().unwrap_or_default()
}

/// The largest number of arrivals tolerated within a window.
fn max_tolerated(limit: f64) -> usize {
    (limit * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against relays that each send an overloaded server as much as they would without its limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_limited_server_gets_its_limit_from_all_relays_together() -> Result<()> {
    const LIMIT: f64 = 4.0;
    let deployment = start(3, &["a", "b"]).await?;
    let near = &deployment.services[LOCAL_ZONE].0;
    near.set_limit(Some(LIMIT));
    // Wait until all relays have learned of the limit.
    send_from_all_relays(&deployment, "first", Duration::from_millis(600)).await?;
    let limit_known_at = Instant::now();
    let statuses = send_from_all_relays(&deployment, "limited", LOAD_DURATION).await?;
    let arrivals = near.arrivals();
    let max = max_arrivals(&arrivals, limit_known_at);
    assert!(max <= max_tolerated(LIMIT), "{max} arrivals in a window");
    let since = arrivals.iter().filter(|at| **at >= limit_known_at).count();
    assert!(since > 0, "the server is no longer used at all");
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    Ok(())
}

/// Guards against callers that wait, or are rejected without `retry-after`, when all servers are at their limits.
#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_all_limits_are_turned_away_at_once() -> Result<()> {
    const LIMIT: f64 = 4.0;
    let deployment = start(2, &["a"]).await?;
    let near = &deployment.services[LOCAL_ZONE].0;
    near.set_limit(Some(LIMIT));
    send_from_all_relays(&deployment, "first", Duration::from_millis(600)).await?;
    let limit_known_at = Instant::now();
    let statuses = send_from_all_relays(&deployment, "limited", LOAD_DURATION).await?;
    let max = max_arrivals(&near.arrivals(), limit_known_at);
    assert!(max <= max_tolerated(LIMIT), "{max} arrivals in a window");
    let served = statuses.iter().filter(|status| status.is_success()).count();
    let refused = statuses
        .iter()
        .filter(|s| **s == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(served + refused.count(), statuses.len(), "{statuses:?}");
    // Half of the limit, which allows for what two relays hold back when they learn of it.
    let least = (LIMIT * LOAD_DURATION.as_secs_f64() / 2.0) as usize;
    assert!(served >= least, "{served} served of {}", statuses.len());
    Ok(())
}

/// Guards against relays that keep applying a limit which the server no longer reports.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_names_no_limit_any_more_is_used_in_full() -> Result<()> {
    let deployment = start(2, &["a", "b"]).await?;
    let near = &deployment.services[LOCAL_ZONE].0;
    near.set_limit(Some(2.0));
    send_from_all_relays(&deployment, "limited", Duration::from_secs(2)).await?;
    assert!(!deployment.services[OTHER_ZONE].0.arrivals().is_empty());
    near.set_limit(None);
    let started = Instant::now();
    loop {
        let before = deployment.services[OTHER_ZONE].0.arrivals().len();
        send_from_all_relays(&deployment, "lifted", Duration::from_millis(500)).await?;
        if deployment.services[OTHER_ZONE].0.arrivals().len() == before {
            return Ok(());
        }
        assert!(started.elapsed() < PATIENCE, "the limit is not lifted");
    }
}

/// Guards against a relay that spends the retry budget of other relays from which it hears nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_hears_no_other_takes_its_share_of_retries() -> Result<()> {
    /// Retries that the relays' settings allow beyond a fifth of the requests.
    const SLACK: usize = 32;
    const REQUESTS: usize = 30;
    let mut deployment = start(2, &["a", "b"]).await?;
    for relay in [1, 0] {
        deployment.relays[relay].process.signal(Signal::Kill)?;
    }
    deployment.restart_relay(0)?;
    deployment.wait_ready(0).await?;
    // Wait until it has read the list of relays.
    sleep(Duration::from_secs(2)).await;
    for (service, _) in &deployment.services {
        service.set_mode(Mode::Failing);
    }
    for number in 0..REQUESTS {
        let ask = Ask::new("GET", "/slots/7", &format!("retry-{number}"), KEY);
        ask.send(deployment.relays[0].callers).await?;
    }
    let services = deployment.services.iter();
    let arrived: usize = services.map(|(service, _)| service.arrivals().len()).sum();
    let retries = arrived - REQUESTS;
    assert!(retries <= REQUESTS / 5 + SLACK / 2, "{retries} retries");
    assert!(retries > 0, "no request was retried");
    Ok(())
}
