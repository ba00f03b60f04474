//! Backend servers that name how many requests a second they take, before relays as processes.

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

/// The time over which arrivals are counted, and for which callers ask of servers that are at their limits.
const WINDOW: Duration = Duration::from_secs(4);
const LIMITED: Duration = Duration::from_secs(8);

/// The longest wait for something that takes a moment. It judges no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// The time from one request of a caller to the next.
const PACE: Duration = Duration::from_millis(60);

/// Callers at each relay.
const CALLERS: usize = 2;

/// Places in the deployment: the service of the relays' zone, and one in the zone beside it.
const NEAR: usize = 0;
const BESIDE: usize = 1;

async fn start(relays: usize, zones: &[&str]) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, zones, &vec!["a"; relays]).await?;
    // Until relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    Ok(deployment)
}

/// Callers that ask the relay until a time; the statuses that they got, and whether each refusal said when to return.
async fn ask_until(relay: SocketAddr, name: String, until: Instant) -> Result<Vec<StatusCode>> {
    let mut statuses = Vec::new();
    let mut next = Instant::now();
    while next < until {
        let id = format!("{name}-{}", statuses.len());
        let heard = Ask::new("GET", "/slots/7", &id, KEY).send(relay).await?;
        let refused = heard.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!refused || heard.headers.contains_key("retry-after"));
        statuses.push(heard.status);
        next += PACE;
        sleep_until(next).await;
    }
    Ok(statuses)
}

/// Callers at all relays ask for so long.
async fn ask_all(deployment: &Deployment, name: &str, time: Duration) -> Result<Vec<StatusCode>> {
    let until = Instant::now() + time;
    let mut callers = JoinSet::new();
    for (number, relay) in deployment.relays.iter().enumerate() {
        for caller in 0..CALLERS {
            let name = format!("{name}-{number}-{caller}");
            callers.spawn(ask_until(relay.callers, name, until));
        }
    }
    let mut statuses = Vec::new();
    for answers in callers.join_all().await {
        statuses.extend(answers?);
    }
    Ok(statuses)
}

/// The most arrivals within the window, of those after `from`.
fn most(arrivals: &[Instant], from: Instant) -> usize {
    let arrivals: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let within = |first: usize| {
        let later = arrivals[first..].iter();
        later
            .take_while(|at| **at - arrivals[first] < WINDOW)
            .count()
    };
    (0..arrivals.len()).map(within).max().unwrap_or_default()
}

/// What may arrive within the window.
fn tolerated(limit: f64) -> usize {
    (limit * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against a server in need that each relay sends what it would without the limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_limited_server_gets_its_limit_from_all_relays_together() -> Result<()> {
    const LIMIT: f64 = 4.0;
    let deployment = start(3, &["a", "b"]).await?;
    let near = &deployment.services[NEAR].0;
    near.set_limit(Some(LIMIT));
    // Until all relays have been told.
    ask_all(&deployment, "first", Duration::from_millis(600)).await?;
    let named = Instant::now();
    let statuses = ask_all(&deployment, "limited", LIMITED).await?;
    let arrivals = near.arrivals();
    let most = most(&arrivals, named);
    assert!(most <= tolerated(LIMIT), "{most} arrivals in a window");
    let since = arrivals.iter().filter(|at| **at >= named).count();
    assert!(since > 0, "the server is no longer used at all");
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    Ok(())
}

/// Guards against callers who wait, or are turned away without a time, where all servers are at their limits.
#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_all_limits_are_turned_away_at_once() -> Result<()> {
    const LIMIT: f64 = 4.0;
    let deployment = start(2, &["a"]).await?;
    let near = &deployment.services[NEAR].0;
    near.set_limit(Some(LIMIT));
    ask_all(&deployment, "first", Duration::from_millis(600)).await?;
    let named = Instant::now();
    let statuses = ask_all(&deployment, "limited", LIMITED).await?;
    let most = most(&near.arrivals(), named);
    assert!(most <= tolerated(LIMIT), "{most} arrivals in a window");
    let served = statuses.iter().filter(|status| status.is_success()).count();
    let refused = statuses
        .iter()
        .filter(|s| **s == StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(served + refused.count(), statuses.len(), "{statuses:?}");
    // Half of the limit, less what two relays hold back when they are told.
    let least = (LIMIT * LIMITED.as_secs_f64() / 2.0) as usize;
    assert!(served >= least, "{served} served of {}", statuses.len());
    Ok(())
}

/// Guards against a limit that outlasts the server's need.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_names_no_limit_any_more_is_used_in_full() -> Result<()> {
    let deployment = start(2, &["a", "b"]).await?;
    let near = &deployment.services[NEAR].0;
    near.set_limit(Some(2.0));
    ask_all(&deployment, "limited", Duration::from_secs(2)).await?;
    assert!(!deployment.services[BESIDE].0.arrivals().is_empty());
    near.set_limit(None);
    let begun = Instant::now();
    loop {
        let before = deployment.services[BESIDE].0.arrivals().len();
        ask_all(&deployment, "lifted", Duration::from_millis(500)).await?;
        if deployment.services[BESIDE].0.arrivals().len() == before {
            return Ok(());
        }
        assert!(begun.elapsed() < PATIENCE, "the limit is not lifted");
    }
}

/// Guards against a relay that takes the retries of relays which it does not hear.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_hears_no_other_takes_its_share_of_retries() -> Result<()> {
    /// Further sends that the relays' settings allow beyond a fifth of the requests.
    const SLACK: usize = 32;
    const REQUESTS: usize = 30;
    let mut deployment = start(2, &["a", "b"]).await?;
    for relay in [1, 0] {
        deployment.relays[relay].process.signal(Signal::Kill)?;
    }
    deployment.restart_relay(0)?;
    deployment.wait_ready(0).await?;
    // Until it has read which relays there are.
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
    let further = arrived - REQUESTS;
    assert!(
        further <= REQUESTS / 5 + SLACK / 2,
        "{further} further sends"
    );
    assert!(further > 0, "no request was sent once more");
    Ok(())
}
