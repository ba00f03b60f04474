//! Poison requests, under which backend servers crash, with relays run as processes and counted at the servers.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::crashes::Crash;
use cicada_standins::crashes::CrashPlan;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use eyre::Result;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Servers in the relays' zone.
const SERVERS: [&str; 3] = ["a", "a", "a"];

/// How long a server that crashed is down.
const DOWN: Duration = Duration::from_millis(900);

/// Interval between two poison requests, and between two requests of other callers.
const POISON_INTERVAL: Duration = Duration::from_millis(400);
const INTERVAL: Duration = Duration::from_millis(100);

/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// The most servers that one poison request may crash.
const MAX_CRASHES: usize = 3;

async fn start(relays: usize) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, &SERVERS, &vec!["a"; relays]).await?;
    for (service, _) in &deployment.services {
        service.set_crashes(Some(CrashPlan {
            path: "poison".into(),
            down: DOWN,
        }));
    }
    // Wait until the relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    Ok(deployment)
}

/// Sends the same request at an interval, to one relay after the other, each time under another identifier.
async fn send_at_interval(
    relays: Vec<SocketAddr>,
    (method, path): (&'static str, &'static str),
    interval: Duration,
) -> Vec<Result<Heard>> {
    let until = Instant::now() + LOAD_DURATION;
    let mut requests = JoinSet::new();
    let mut next = Instant::now();
    for (number, relay) in relays.iter().copied().cycle().enumerate() {
        if next >= until {
            break;
        }
        let name = path.replace('/', "-");
        let ask = Ask::new(method, path, &format!("r{name}-{number}"), KEY);
        requests.spawn(async move { ask.send(relay).await });
        next += interval;
        sleep_until(next).await;
    }
    requests.join_all().await
}

/// The crashes of all plain servers, in chronological order.
fn crashes(deployment: &Deployment) -> Vec<Crash> {
    let services = deployment.services.iter();
    let mut crashes: Vec<Crash> = services.flat_map(|(s, _)| s.crashes()).collect();
    crashes.sort_by_key(|crash| crash.at);
    crashes
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.relays.iter().map(|r| r.callers).collect()
}

/// The share of requests that were served.
fn served(heard: &[Result<Heard>]) -> f64 {
    let ok = heard.iter().flatten().filter(|h| h.whole_success());
    ok.count() as f64 / heard.len() as f64
}

/// Guards against a poison request that relays go on sending until no server of the service is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_three_servers_at_most() -> Result<()> {
    let deployment = start(3).await?;
    let relays = addresses(&deployment);
    let poison = send_at_interval(relays.clone(), ("GET", "/slots/poison"), POISON_INTERVAL);
    let others = send_at_interval(relays, ("GET", "/slots/7"), INTERVAL);
    let (poison, others) = tokio::join!(poison, others);
    let crashes = crashes(&deployment);
    assert!(
        crashes.len() <= MAX_CRASHES,
        "{} crashes: {crashes:#?}",
        crashes.len()
    );
    assert!(served(&others) > 0.95, "{} served", served(&others));
    let last = poison.last().and_then(|heard| heard.as_ref().ok());
    let refused = last.is_some_and(|h| h.status == StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused, "the last answer was {last:?}");
    Ok(())
}
