//! Relay processes whose store is restored from a backup that is some seconds old.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::store::Store;
use eyre::Result;
use http::StatusCode;
use tokio::time::Instant;
use tokio::time::sleep;

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Number of configuration versions that the store loses.
const LOST_VERSIONS: usize = 12;

/// How long the store is unavailable during the restore.
const RESTORE_TIME: Duration = Duration::from_millis(300);

/// Indices of services in the deployment: one in the relays' zone, one in another zone.
const LOCAL_ZONE: usize = 0;
const OTHER_ZONE: usize = 1;

/// Number of relays. One of them watches the store and informs the other.
const RELAY_COUNT: usize = 2;

async fn start() -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, &["a", "b"], &["a"; RELAY_COUNT]).await?;
    // Wait until the relays know each other and one of them watches the store.
    sleep(Duration::from_millis(1_500)).await;
    Ok(deployment)
}

/// Writes configuration versions, one store revision each, and waits until the relays have applied them.
async fn write_versions(deployment: &Deployment) -> Result<()> {
    for number in 0..LOST_VERSIONS {
        let name = format!("added-{number}");
        deployment.add_route(&name, &format!("/{name}/"));
    }
    let last = format!("/added-{}/", LOST_VERSIONS - 1);
    for relay in 0..RELAY_COUNT {
        wait_for_status(deployment, relay, &last, StatusCode::OK).await?;
    }
    // Wait until a watch has reported the revision as well.
    sleep(Duration::from_secs(2)).await;
    Ok(())
}

async fn wait_for_status(
    deployment: &Deployment,
    relay: usize,
    path: &str,
    status: StatusCode,
) -> Result<()> {
    let started = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("{}-{relay}-{number}", path.replace('/', ""));
        let response = Ask::new("GET", path, &id, KEY)
            .send(deployment.relays[relay].callers)
            .await?;
        if response.status == status {
            return Ok(());
        }
        assert!(
            started.elapsed() < PATIENCE,
            "{path} is {}",
            response.status
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a request, and returns the index of the service that ran it, if any.
async fn send_and_locate(deployment: &Deployment, relay: usize, id: &str) -> Result<Option<usize>> {
    let ask = Ask::new("GET", "/slots/7", id, KEY);
    ask.send(deployment.relays[relay].callers).await?;
    let mut services = deployment.services.iter();
    Ok(services.position(|(service, _)| service.ran().iter().any(|(ran, _)| ran == id)))
}

/// Sends requests to each relay until one runs at the service.
async fn wait_until_served_by(
    deployment: &Deployment,
    id: &str,
    service_index: usize,
) -> Result<()> {
    let started = Instant::now();
    for relay in 0..RELAY_COUNT {
        let mut number = 0;
        loop {
            number += 1;
            let at = send_and_locate(deployment, relay, &format!("{id}-{relay}-{number}")).await?;
            if at == Some(service_index) {
                break;
            }
            let log = deployment.relays[relay].process.log();
            assert!(started.elapsed() < PATIENCE, "{id} runs at {at:?}\n{log}");
            sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Sends requests to all relays for the duration, and asserts that each runs at the service.
async fn assert_served_by(
    deployment: &Deployment,
    id: &str,
    service_index: usize,
    time: Duration,
) -> Result<()> {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        for relay in 0..RELAY_COUNT {
            number += 1;
            let at = send_and_locate(deployment, relay, &format!("{id}-{number}")).await?;
            let log = deployment.relays[relay].process.log();
            assert_eq!(at, Some(service_index), "{id}\n{log}");
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against changes of the server list that are ignored as old because the restored store reuses revisions.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_after_the_store_went_back_gets_nothing_new() -> Result<()> {
    let deployment = start().await?;
    wait_until_served_by(&deployment, "before", LOCAL_ZONE).await?;
    let copy = deployment.store.copy();
    write_versions(&deployment).await?;
    deployment.bring_back(&copy, RESTORE_TIME).await;
    sleep(Duration::from_secs(3)).await;
    wait_until_served_by(&deployment, "back", LOCAL_ZONE).await?;
    deployment.service_leaves(LOCAL_ZONE);
    wait_until_served_by(&deployment, "left", OTHER_ZONE).await?;
    assert_served_by(&deployment, "stays", OTHER_ZONE, Duration::from_secs(1)).await
}

/// Guards against an evacuation that is ignored after the store was restored, or that ends because the store lost it.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_hold_when_the_store_went_back() -> Result<()> {
    let deployment = start().await?;
    let copy = deployment.store.copy();
    write_versions(&deployment).await?;
    deployment.evacuate("a");
    wait_until_served_by(&deployment, "evacuated", OTHER_ZONE).await?;
    deployment.bring_back(&copy, RESTORE_TIME).await;
    assert_served_by(
        &deployment,
        "lost",
        OTHER_ZONE,
        Duration::from_millis(1_200),
    )
    .await?;
    deployment.evacuate("a");
    assert_served_by(&deployment, "written", OTHER_ZONE, Duration::from_secs(4)).await?;
    deployment.take_back("a");
    wait_until_served_by(&deployment, "taken-back", LOCAL_ZONE).await?;
    deployment.evacuate("a");
    wait_until_served_by(&deployment, "again", OTHER_ZONE).await
}

/// Guards against servers that are dropped, and relays that cannot be found, because the store lost their records.
#[tokio::test(flavor = "multi_thread")]
async fn what_the_store_lost_is_used_until_it_is_written_again() -> Result<()> {
    let mut deployment = start().await?;
    assert_eq!(deployment.listed_relays(), RELAY_COUNT);
    let empty = Store::new().copy();
    wait_until_served_by(&deployment, "before", LOCAL_ZONE).await?;
    deployment.bring_back(&empty, RESTORE_TIME).await;
    let service_index = deployment.services.len();
    assert_served_by(
        &deployment,
        "lost",
        LOCAL_ZONE,
        Duration::from_millis(1_200),
    )
    .await?;
    for service in [LOCAL_ZONE, OTHER_ZONE] {
        deployment.service_writes(service);
    }
    assert_served_by(&deployment, "written", LOCAL_ZONE, Duration::from_secs(3)).await?;
    deployment.add_service_in("a", Duration::ZERO)?;
    deployment.service_leaves(LOCAL_ZONE);
    wait_until_served_by(&deployment, "came", service_index).await?;
    let started = Instant::now();
    while deployment.listed_relays() < RELAY_COUNT {
        assert!(
            started.elapsed() < PATIENCE,
            "relays are not registered again"
        );
        sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Guards against a server that left during an outage and is dropped only by the relay that lists the servers.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_left_during_an_outage_gets_nothing_new_from_any_relay() -> Result<()> {
    let deployment = start().await?;
    wait_until_served_by(&deployment, "before", LOCAL_ZONE).await?;
    deployment.store.set_busy(true);
    sleep(Duration::from_secs(3)).await;
    let near = deployment.services[LOCAL_ZONE].0.id();
    deployment.store.remove("servers", &near);
    deployment.store.set_busy(false);
    // Wait until the list is read a second time and the other relay has been informed.
    sleep(Duration::from_secs(6)).await;
    assert_served_by(&deployment, "gone", OTHER_ZONE, Duration::from_secs(2)).await
}
