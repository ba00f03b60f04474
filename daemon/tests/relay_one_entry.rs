//! New connections that the platform hands to one relay for a while, before servers that name limits.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::caller::send_at_interval;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use eyre::Result;
use tokio::time::Instant;
use tokio::time::sleep;

const RELAYS: usize = 8;
const SERVERS: [&str; 4] = ["a", "a", "a", "a"];

/// Requests a second that each server takes, far more in all than callers send.
const LIMIT: f64 = 40.0;

/// Interval between two requests of all callers together.
const INTERVAL: Duration = Duration::from_millis(16);

/// How long requests come to all relays, and then to one.
const SPREAD_DURATION: Duration = Duration::from_secs(6);
const ONE_DURATION: Duration = Duration::from_secs(10);

/// Time after which requests at the one relay are to be served again, and the least share of those served before.
const STABLE_TIME: Duration = Duration::from_secs(5);
const MIN_SHARE: f64 = 0.75;

/// Time in which the relays know each other.
const SPREAD_TIME: Duration = Duration::from_millis(1_500);

/// Sends requests to one relay after the other, and returns for each when it was sent and whether it was served.
async fn send_for(duration: Duration, relays: &[SocketAddr]) -> Vec<(Instant, bool)> {
    send_at_interval(duration, INTERVAL, relays, |relay| async move {
        let at = Instant::now();
        let id = format!("r-{:x}", fastrand::u64(..));
        let heard = Ask::new("GET", "/slots/7", &id, KEY).send(relay).await;
        (at, heard.as_ref().is_ok_and(Heard::whole_success))
    })
    .await
}

fn served_since(sent: &[(Instant, bool)], since: Instant) -> f64 {
    let later: Vec<bool> = sent.iter().filter(|s| s.0 >= since).map(|s| s.1).collect();
    later.iter().filter(|served| **served).count() as f64 / later.len() as f64
}

/// Guards against a relay that gets all new connections and has no more than an equal share of the servers' limits.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_gets_all_new_connections_serves_them_within_the_limits() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, &SERVERS, &["a"; RELAYS]).await?;
    for (service, _) in &deployment.services {
        service.set_limit(Some(LIMIT));
    }
    sleep(SPREAD_TIME).await;
    let relays: Vec<SocketAddr> = deployment.relays.iter().map(|r| r.callers).collect();
    let begun = Instant::now();
    let spread = send_for(SPREAD_DURATION, &relays).await;
    let before = served_since(&spread, begun + SPREAD_DURATION / 2);
    let begun = Instant::now();
    let one = send_for(ONE_DURATION, &relays[..1]).await;
    let after = served_since(&one, begun + STABLE_TIME);
    assert!(
        after > before * MIN_SHARE,
        "{after:.2} served, {before:.2} before"
    );
    Ok(())
}
