//! Placement of requests under restrictions: allowed regions, evacuated availability zones, cold servers.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::RelayHost;
use eyre::Result;
use http::StatusCode;
use serde_json::json;
use testutils::cluster::Signal;
use tokio::time::Instant;
use tokio::time::sleep;

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Indices of services in the deployment: one in the relay's zone, one in the same region, one in another region.
const LOCAL_ZONE: usize = 0;
const SAME_REGION: usize = 1;
const OTHER_REGION: usize = 2;

/// Index of the route `slots` in the configuration.
const SLOTS_ROUTE: usize = 3;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Starts relays in these zones, and a service in each zone of the deployment.
async fn start(relays: &[&str]) -> Result<Deployment> {
    Deployment::start_plain(daemon(), &["a", "b", "c"], relays).await
}

/// Sends a request, and returns the response's status and the index of the service that ran it, if any.
async fn send_and_locate(
    deployment: &Deployment,
    relay: usize,
    id: &str,
) -> Result<(StatusCode, Option<usize>)> {
    let ask = Ask::new("GET", "/slots/7", id, KEY);
    let response = ask.send(deployment.relays[relay].callers).await?;
    let services = deployment.services.iter();
    let ran = |service: &cicada_standins::service::Service| {
        service.ran().iter().any(|(ran, _)| ran == id)
    };
    let service_index = services.into_iter().position(|(service, _)| ran(service));
    Ok((response.status, service_index))
}

/// Sends requests until one runs at the service, or at none if `service_index` is `None`. Panics after [`PATIENCE`].
async fn wait_until_served_by(
    deployment: &Deployment,
    relay: usize,
    id: &str,
    service_index: Option<usize>,
) -> Result<()> {
    let started = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let (_, at) = send_and_locate(deployment, relay, &format!("{id}-{number}")).await?;
        if at == service_index {
            return Ok(());
        }
        let log = deployment.relays[relay].process.log();
        assert!(started.elapsed() < PATIENCE, "{id} runs at {at:?}\n{log}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until the relay's log contains the text. A separate thread writes the log.
async fn wait_for_log(deployment: &Deployment, relay: usize, text: &str) {
    let started = Instant::now();
    loop {
        let log = deployment.relays[relay].process.log();
        if log.contains(text) {
            return;
        }
        assert!(started.elapsed() < PATIENCE, "no line has {text}\n{log}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a request that runs in a region that its route or its workspace does not allow.
#[tokio::test(flavor = "multi_thread")]
async fn allowed_regions_bind_route_and_workspace() -> Result<()> {
    let deployment = start(&["a"]).await?;
    assert_eq!(
        send_and_locate(&deployment, 0, "free").await?,
        (StatusCode::OK, Some(LOCAL_ZONE))
    );
    deployment.reconfigure(|config| {
        config["routes"][SLOTS_ROUTE]["allowedRegions"] = json!(["far", "elsewhere"]);
    });
    wait_until_served_by(&deployment, 0, "moved", Some(OTHER_REGION)).await?;
    for number in 0..10 {
        let (status, service_index) =
            send_and_locate(&deployment, 0, &format!("far-{number}")).await?;
        assert_eq!(
            (status, service_index),
            (StatusCode::OK, Some(OTHER_REGION))
        );
    }
    deployment.reconfigure(|config| {
        config["tenants"][0]["allowedRegions"] = json!(["r"]);
    });
    wait_until_served_by(&deployment, 0, "both", None).await?;
    let ask = Ask::new("GET", "/slots/7", "nowhere", KEY);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    wait_for_log(&deployment, 0, "region_not_allowed").await;
    Ok(())
}

/// Guards against a malformed region restriction that is treated as no restriction.
#[tokio::test(flavor = "multi_thread")]
async fn a_restriction_that_cannot_be_read_lets_nothing_out() -> Result<()> {
    let deployment = start(&["a"]).await?;
    deployment.reconfigure(|config| {
        config["routes"][SLOTS_ROUTE]["allowedRegions"] = json!("far");
    });
    wait_until_served_by(&deployment, 0, "no-list", None).await?;
    deployment.reconfigure(|config| {
        config["routes"][SLOTS_ROUTE]["allowedRegions"] = json!(["far", 7]);
    });
    wait_until_served_by(&deployment, 0, "in-part", Some(OTHER_REGION)).await
}

/// Guards against a relay without access to the store that keeps sending to an evacuated zone, after the relay that
/// watched the store has died and the store has become unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_reaches_relays_that_the_store_does_not() -> Result<()> {
    let mut deployment = start(&["a", "a", "b"]).await?;
    for relay in 0..3 {
        wait_until_served_by(
            &deployment,
            relay,
            &format!("before-{relay}"),
            Some(relay / 2),
        )
        .await?;
    }
    // Wait until the relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    deployment.relays[1].door.down().await;
    deployment.evacuate("a");
    wait_until_served_by(&deployment, 0, "read", Some(SAME_REGION)).await?;
    deployment.store.set_busy(true);
    deployment.relays[0].process.signal(Signal::Kill)?;
    wait_until_served_by(&deployment, 1, "told", Some(SAME_REGION)).await?;
    wait_until_served_by(&deployment, 2, "region", Some(SAME_REGION)).await?;
    deployment.store.set_busy(false);
    deployment.evacuate("b");
    wait_until_served_by(&deployment, 2, "both", Some(OTHER_REGION)).await?;
    wait_until_served_by(&deployment, 1, "both-told", Some(OTHER_REGION)).await?;
    deployment.take_back("a");
    wait_until_served_by(&deployment, 1, "back", Some(LOCAL_ZONE)).await?;
    deployment.evacuate("c");
    deployment.evacuate("a");
    wait_until_served_by(&deployment, 1, "all", None).await?;
    wait_for_log(&deployment, 1, "zone_evacuated").await;
    Ok(())
}

/// Guards against a missed start or end of an evacuation when the store drops its history around the change.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_a_store_that_forgets() -> Result<()> {
    let deployment = start(&["a"]).await?;
    deployment.evacuate("a");
    deployment.store.forget_history();
    wait_until_served_by(&deployment, 0, "begun", Some(SAME_REGION)).await?;
    deployment.take_back("a");
    deployment.store.forget_history();
    wait_until_served_by(&deployment, 0, "ended", Some(LOCAL_ZONE)).await
}

/// Guards against relays that together send a cold server more than its tolerated rate.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_gets_its_rate_from_all_relays_together() -> Result<()> {
    const COLD_RATE: usize = 4;
    const COLD: Duration = Duration::from_secs(6);
    let mut deployment = start(&["a", "a"]).await?;
    deployment.reconfigure(|config| {
        config["services"][1]["coldS"] = json!(COLD.as_secs());
        config["services"][1]["coldPerS"] = json!(COLD_RATE);
    });
    // Wait until the relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    let cold = deployment.services.len();
    let started = Instant::now();
    deployment.add_service_in("a", COLD)?;
    for (service, server) in &deployment.services[..cold] {
        deployment.store.remove("servers", &service.id());
        server.down().await;
    }
    let mut times = Vec::new();
    let mut number = 0;
    while started.elapsed() < COLD - Duration::from_secs(2) {
        for relay in 0..2 {
            number += 1;
            let (_, service_index) =
                send_and_locate(&deployment, relay, &format!("cold-{number}")).await?;
            if service_index == Some(cold) {
                times.push(started.elapsed());
            }
        }
    }
    assert!(
        number > 100 && times.len() >= COLD_RATE,
        "{number} asked, {times:?}"
    );
    wait_for_log(&deployment, 0, "cold_servers").await;
    for (index, from) in times.iter().enumerate() {
        let second = times[index..].iter();
        let second = second.take_while(|at| **at - *from < Duration::from_secs(1));
        assert!(second.count() <= COLD_RATE + COLD_RATE / 2, "{times:?}");
    }
    wait_until_served_by(&deployment, 0, "warm", Some(cold)).await?;
    Ok(())
}

/// Guards against a watch per relay or per zone, which would make calls to the store grow with the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn one_relay_of_a_region_watches_the_store() -> Result<()> {
    let mut deployment = start(&["a", "a", "b", "b"]).await?;
    // Wait until the relays have heard of each other and one of them watches.
    sleep(Duration::from_secs(3)).await;
    let before = deployment.store.calls();
    sleep(Duration::from_secs(6)).await;
    let after = deployment.store.calls();
    let watches = |door: &SocketAddr| after[door] > before.get(door).copied().unwrap_or_default();
    let doors: Vec<SocketAddr> = after.keys().copied().filter(watches).collect();
    assert_eq!(doors.len(), 1, "{before:?} {after:?}");
    let own = |relay: &RelayHost| relay.callers.ip() == doors[0].ip();
    let watcher = deployment.relays.iter().position(own).unwrap_or_default();
    deployment.relays[watcher].process.signal(Signal::Kill)?;
    let other = (watcher + 1) % 4;
    deployment.evacuate("a");
    wait_until_served_by(&deployment, other, "taken-over", Some(SAME_REGION)).await
}
