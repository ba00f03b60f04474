//! Relays as processes before a store that comes back from a copy some seconds old.

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

/// The longest wait for something that takes a moment. It judges no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Versions of the configuration that the store loses.
const LOST: usize = 12;

/// How long the store is away while it comes back.
const AWAY: Duration = Duration::from_millis(300);

/// Places in the deployment: the service in the relays' zone, and one in the zone beside it.
const NEAR: usize = 0;
const BESIDE: usize = 1;

/// The relays of the deployment: one of them watches the store, the other is told.
const RELAYS: usize = 2;

async fn start() -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, &["a", "b"], &["a"; RELAYS]).await?;
    // Until relays know each other, and one of them watches.
    sleep(Duration::from_millis(1_500)).await;
    Ok(deployment)
}

/// Writes versions of the configuration, each a revision of the store, and waits until the relays have them.
async fn write_versions(deployment: &Deployment) -> Result<()> {
    for number in 0..LOST {
        let name = format!("added-{number}");
        deployment.add_route(&name, &format!("/{name}/"));
    }
    let last = format!("/added-{}/", LOST - 1);
    for relay in 0..RELAYS {
        until_status(deployment, relay, &last, StatusCode::OK).await?;
    }
    // Until a watch has told of the revision as well.
    sleep(Duration::from_secs(2)).await;
    Ok(())
}

async fn until_status(
    deployment: &Deployment,
    relay: usize,
    path: &str,
    status: StatusCode,
) -> Result<()> {
    let begun = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("{}-{relay}-{number}", path.replace('/', ""));
        let heard = Ask::new("GET", path, &id, KEY)
            .send(deployment.relays[relay].callers)
            .await?;
        if heard.status == status {
            return Ok(());
        }
        assert!(begun.elapsed() < PATIENCE, "{path} is {}", heard.status);
        sleep(Duration::from_millis(20)).await;
    }
}

/// Asks once; the service that ran the request, if one did.
async fn ask(deployment: &Deployment, relay: usize, id: &str) -> Result<Option<usize>> {
    let ask = Ask::new("GET", "/slots/7", id, KEY);
    ask.send(deployment.relays[relay].callers).await?;
    let mut services = deployment.services.iter();
    Ok(services.position(|(service, _)| service.ran().iter().any(|(ran, _)| ran == id)))
}

/// Asks all relays until their requests run at the service.
async fn until_at(deployment: &Deployment, id: &str, place: usize) -> Result<()> {
    let begun = Instant::now();
    for relay in 0..RELAYS {
        let mut number = 0;
        loop {
            number += 1;
            let at = ask(deployment, relay, &format!("{id}-{relay}-{number}")).await?;
            if at == Some(place) {
                break;
            }
            let log = deployment.relays[relay].process.log();
            assert!(begun.elapsed() < PATIENCE, "{id} runs at {at:?}\n{log}");
            sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Asks all relays for so long; every request must run at the service.
async fn stays_at(deployment: &Deployment, id: &str, place: usize, time: Duration) -> Result<()> {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        for relay in 0..RELAYS {
            number += 1;
            let at = ask(deployment, relay, &format!("{id}-{number}")).await?;
            let log = deployment.relays[relay].process.log();
            assert_eq!(at, Some(place), "{id}\n{log}");
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against changes of the list that are taken for old, since the store gives their revisions out again.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_after_the_store_went_back_gets_nothing_new() -> Result<()> {
    let deployment = start().await?;
    until_at(&deployment, "before", NEAR).await?;
    let copy = deployment.store.copy();
    write_versions(&deployment).await?;
    deployment.bring_back(&copy, AWAY).await;
    sleep(Duration::from_secs(3)).await;
    until_at(&deployment, "back", NEAR).await?;
    deployment.service_leaves(NEAR);
    until_at(&deployment, "left", BESIDE).await?;
    stays_at(&deployment, "stays", BESIDE, Duration::from_secs(1)).await
}

/// Guards against an evacuation that is passed over after the store went back, or ends since the store has lost it.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_hold_when_the_store_went_back() -> Result<()> {
    let deployment = start().await?;
    let copy = deployment.store.copy();
    write_versions(&deployment).await?;
    deployment.evacuate("a");
    until_at(&deployment, "evacuated", BESIDE).await?;
    deployment.bring_back(&copy, AWAY).await;
    stays_at(&deployment, "lost", BESIDE, Duration::from_millis(1_200)).await?;
    deployment.evacuate("a");
    stays_at(&deployment, "written", BESIDE, Duration::from_secs(4)).await?;
    deployment.take_back("a");
    until_at(&deployment, "taken-back", NEAR).await?;
    deployment.evacuate("a");
    until_at(&deployment, "again", BESIDE).await
}

/// Guards against a server that is dropped, and a relay that nobody finds, since the store has lost what it had taken.
#[tokio::test(flavor = "multi_thread")]
async fn what_the_store_lost_is_used_until_it_is_written_again() -> Result<()> {
    let mut deployment = start().await?;
    assert_eq!(deployment.listed_relays(), RELAYS);
    let empty = Store::new().copy();
    until_at(&deployment, "before", NEAR).await?;
    deployment.bring_back(&empty, AWAY).await;
    let place = deployment.services.len();
    stays_at(&deployment, "lost", NEAR, Duration::from_millis(1_200)).await?;
    for service in [NEAR, BESIDE] {
        deployment.service_writes(service);
    }
    stays_at(&deployment, "written", NEAR, Duration::from_secs(3)).await?;
    deployment.add_service_in("a", Duration::ZERO)?;
    deployment.service_leaves(NEAR);
    until_at(&deployment, "came", place).await?;
    let begun = Instant::now();
    while deployment.listed_relays() < RELAYS {
        assert!(
            begun.elapsed() < PATIENCE,
            "relays are not written down again"
        );
        sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// Guards against a server that has left during an outage, and is dropped by the relay alone that lists the servers.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_left_during_an_outage_gets_nothing_new_from_any_relay() -> Result<()> {
    let deployment = start().await?;
    until_at(&deployment, "before", NEAR).await?;
    deployment.store.set_busy(true);
    sleep(Duration::from_secs(3)).await;
    let near = deployment.services[NEAR].0.id();
    deployment.store.remove("servers", near);
    deployment.store.set_busy(false);
    // Until the list is read a second time, and others have been told.
    sleep(Duration::from_secs(6)).await;
    stays_at(&deployment, "gone", BESIDE, Duration::from_secs(2)).await
}
