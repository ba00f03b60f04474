//! Watches on the store whose connections fall silent alone, while all other connections work.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use eyre::Result;
use http::StatusCode;
use tokio::time::sleep;

/// Time from an acknowledgement until a configuration, or that a server leaves, is in force everywhere.
const APPLY_TIME: Duration = Duration::from_millis(3_000);

/// Time in which relays hear of each other and their watches have begun.
const START: Duration = Duration::from_millis(2_500);

/// Relays of two regions, so that each region has a watch, and a relay that does not watch.
async fn start() -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 2, 0, 2).await?;
    deployment.add_relay_in("c")?;
    deployment.wait_ready(2).await?;
    sleep(START).await;
    Ok(deployment)
}

/// Guards against a dropped key that is served after the promised time, since the watches on the configuration are silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_dropped_in_time_though_the_watches_are_silent() -> Result<()> {
    let deployment = start().await?;
    deployment.store.silence_watches("config");
    sleep(Duration::from_millis(100)).await;
    deployment.configure(2, &["another-key"]);
    sleep(APPLY_TIME).await;
    for relay in &deployment.relays {
        let ask = Ask::new("GET", "/slots/1", "dropped", KEY);
        let status = ask.send(relay.callers).await?.status;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{}", relay.process.log());
    }
    Ok(())
}

/// Guards against new work for a leaving server after the promised time, since the watches on servers are silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_work_in_time_though_the_watches_are_silent() -> Result<()> {
    let deployment = start().await?;
    deployment.store.silence_watches("servers");
    sleep(Duration::from_millis(100)).await;
    deployment.service_leaves(0);
    sleep(APPLY_TIME).await;
    let before = deployment.services[0].0.arrivals().len();
    let started = Instant::now();
    for number in 0.. {
        if started.elapsed() >= Duration::from_secs(1) {
            break;
        }
        let relay = &deployment.relays[number % 3];
        let ask = Ask::new("GET", "/slots/1", &format!("read-{number}"), KEY);
        ask.send(relay.callers).await?;
    }
    let after = deployment.services[0].0.arrivals().len();
    assert_eq!(after - before, 0, "{}", deployment.relays[0].process.log());
    Ok(())
}
