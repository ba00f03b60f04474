//! Where requests go that may not go everywhere: allowed regions, evacuated availability zones, cold servers.

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

/// The longest wait for something that takes a moment. It judges no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Places in the deployment: a service near the relay, one in the same region, one in another region.
const NEAR: usize = 0;
const REGION: usize = 1;
const FAR: usize = 2;

/// Places of routes in the configuration.
const SLOTS: usize = 3;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Relays in these zones, and a service in each zone.
async fn start(relays: &[&str]) -> Result<Deployment> {
    Deployment::start_plain(daemon(), &["a", "b", "c"], relays).await
}

/// Asks once, and tells the answer's status and the service that ran the request, if one did.
async fn ask(
    deployment: &Deployment,
    relay: usize,
    id: &str,
) -> Result<(StatusCode, Option<usize>)> {
    let ask = Ask::new("GET", "/slots/7", id, KEY);
    let heard = ask.send(deployment.relays[relay].callers).await?;
    let services = deployment.services.iter();
    let ran = |service: &cicada_standins::service::Service| {
        service.ran().iter().any(|(ran, _)| ran == id)
    };
    let place = services.into_iter().position(|(service, _)| ran(service));
    Ok((heard.status, place))
}

/// Asks until a request runs at the service, or at none; fails after the longest wait.
async fn until_at(
    deployment: &Deployment,
    relay: usize,
    id: &str,
    place: Option<usize>,
) -> Result<()> {
    let begun = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let (_, at) = ask(deployment, relay, &format!("{id}-{number}")).await?;
        if at == place {
            return Ok(());
        }
        let log = deployment.relays[relay].process.log();
        assert!(begun.elapsed() < PATIENCE, "{id} runs at {at:?}\n{log}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until the relay has logged the words: lines are written by a thread of their own.
async fn until_logged(deployment: &Deployment, relay: usize, words: &str) {
    let begun = Instant::now();
    loop {
        let log = deployment.relays[relay].process.log();
        if log.contains(words) {
            return;
        }
        assert!(begun.elapsed() < PATIENCE, "no line has {words}\n{log}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a request that runs in a region its route or its workspace does not allow.
#[tokio::test(flavor = "multi_thread")]
async fn allowed_regions_bind_route_and_workspace() -> Result<()> {
    let deployment = start(&["a"]).await?;
    assert_eq!(
        ask(&deployment, 0, "free").await?,
        (StatusCode::OK, Some(NEAR))
    );
    deployment.reconfigure(|config| {
        config["routes"][SLOTS]["allowedRegions"] = json!(["far", "elsewhere"]);
    });
    until_at(&deployment, 0, "moved", Some(FAR)).await?;
    for number in 0..10 {
        let (status, place) = ask(&deployment, 0, &format!("far-{number}")).await?;
        assert_eq!((status, place), (StatusCode::OK, Some(FAR)));
    }
    deployment.reconfigure(|config| {
        config["tenants"][0]["allowedRegions"] = json!(["r"]);
    });
    until_at(&deployment, 0, "both", None).await?;
    let ask = Ask::new("GET", "/slots/7", "nowhere", KEY);
    let heard = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(heard.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(heard.headers.contains_key("retry-after"));
    until_logged(&deployment, 0, "region_not_allowed").await;
    Ok(())
}

/// Guards against a restriction that cannot be read and is taken for none.
#[tokio::test(flavor = "multi_thread")]
async fn a_restriction_that_cannot_be_read_lets_nothing_out() -> Result<()> {
    let deployment = start(&["a"]).await?;
    deployment.reconfigure(|config| {
        config["routes"][SLOTS]["allowedRegions"] = json!("far");
    });
    until_at(&deployment, 0, "no-list", None).await?;
    deployment.reconfigure(|config| {
        config["routes"][SLOTS]["allowedRegions"] = json!(["far", 7]);
    });
    until_at(&deployment, 0, "in-part", Some(FAR)).await
}

/// Guards against work for an evacuated zone from a relay that the store turns away, after the relay that watched
/// has died and the store has gone.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_reaches_relays_that_the_store_does_not() -> Result<()> {
    let mut deployment = start(&["a", "a", "b"]).await?;
    for relay in 0..3 {
        until_at(
            &deployment,
            relay,
            &format!("before-{relay}"),
            Some(relay / 2),
        )
        .await?;
    }
    // Until relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    deployment.relays[1].door.down().await;
    deployment.evacuate("a");
    until_at(&deployment, 0, "read", Some(REGION)).await?;
    deployment.store.set_busy(true);
    deployment.relays[0].process.signal(Signal::Kill)?;
    until_at(&deployment, 1, "told", Some(REGION)).await?;
    until_at(&deployment, 2, "region", Some(REGION)).await?;
    deployment.store.set_busy(false);
    deployment.evacuate("b");
    until_at(&deployment, 2, "both", Some(FAR)).await?;
    until_at(&deployment, 1, "both-told", Some(FAR)).await?;
    deployment.take_back("a");
    until_at(&deployment, 1, "back", Some(NEAR)).await?;
    deployment.evacuate("c");
    deployment.evacuate("a");
    until_at(&deployment, 1, "all", None).await?;
    until_logged(&deployment, 1, "zone_evacuated").await;
    Ok(())
}

/// Guards against a zone that stays evacuated, or is used, since the store's history was dropped around the change.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_a_store_that_forgets() -> Result<()> {
    let deployment = start(&["a"]).await?;
    deployment.evacuate("a");
    deployment.store.forget_history();
    until_at(&deployment, 0, "begun", Some(REGION)).await?;
    deployment.take_back("a");
    deployment.store.forget_history();
    until_at(&deployment, 0, "ended", Some(NEAR)).await
}

/// Guards against a server that has come cold, and is sent more than it tolerates by relays together.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_gets_its_rate_from_all_relays_together() -> Result<()> {
    const RATE: usize = 4;
    const COLD: Duration = Duration::from_secs(6);
    let mut deployment = start(&["a", "a"]).await?;
    deployment.reconfigure(|config| {
        config["services"][1]["coldS"] = json!(COLD.as_secs());
        config["services"][1]["coldPerS"] = json!(RATE);
    });
    // Until relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    let cold = deployment.services.len();
    let begun = Instant::now();
    deployment.add_service_in("a", COLD)?;
    for (service, server) in &deployment.services[..cold] {
        deployment.store.remove("servers", service.id());
        server.down().await;
    }
    let mut times = Vec::new();
    let mut number = 0;
    while begun.elapsed() < COLD - Duration::from_secs(2) {
        for relay in 0..2 {
            number += 1;
            let (_, place) = ask(&deployment, relay, &format!("cold-{number}")).await?;
            if place == Some(cold) {
                times.push(begun.elapsed());
            }
        }
    }
    assert!(
        number > 100 && times.len() >= RATE,
        "{number} asked, {times:?}"
    );
    until_logged(&deployment, 0, "cold_servers").await;
    for (index, from) in times.iter().enumerate() {
        let second = times[index..].iter();
        let second = second.take_while(|at| **at - *from < Duration::from_secs(1));
        assert!(second.count() <= RATE + RATE / 2, "{times:?}");
    }
    until_at(&deployment, 0, "warm", Some(cold)).await?;
    Ok(())
}

/// Guards against a watch by each relay or each zone: calls to the store would grow with the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn one_relay_of_a_region_watches_the_store() -> Result<()> {
    let mut deployment = start(&["a", "a", "b", "b"]).await?;
    // Until relays have heard of each other and one of them watches.
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
    until_at(&deployment, other, "taken-over", Some(REGION)).await
}
