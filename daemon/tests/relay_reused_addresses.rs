//! Addresses of engines that go to another service. Relays and scouts are processes, engines and the store stand-ins.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use eyre::Result;
use http::StatusCode;
use serde_json::json;
use testutils::cluster::Signal;
use tokio::time::sleep;

/// Time after the end of an engine from which its address may go to another service.
const REUSED_AFTER: Duration = Duration::from_millis(2_200);

/// Time from the end of an engine until the store removes its entry: three heartbeats.
const EXPIRES_AFTER: Duration = Duration::from_millis(3_600);

/// Time in which relays and scouts hear of each other and of a new server.
const START: Duration = Duration::from_millis(1_500);

/// Requests of the former service that are sent once the address has gone to another one.
const REQUESTS: usize = 40;

/// What else happens while the address changes hands.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Trouble {
    None,
    /// The new server registers late.
    LateEntry,
    /// Relays cannot reach the store.
    StoreAway,
    /// The relay is killed and starts again with what others know.
    RelayRestarts,
    /// The scout is killed and starts again with the settings that it had.
    ScoutRestarts,
}

async fn start(relays: usize) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, relays, 3, 0).await?;
    for host in &deployment.engines {
        wait_until("the engines have named themselves", || {
            host.engine.named() > 0
        })
        .await?;
    }
    deployment.reconfigure(|config| {
        let mut hymns = config["services"][0].clone();
        hymns["name"] = json!("hymnal");
        let services = config["services"].as_array_mut().unwrap();
        services.push(hymns);
    });
    sleep(START).await;
    Ok(deployment)
}

/// The first two engines crash for good, and servers of another service start at their addresses after `REUSED_AFTER`.
async fn change_hands(deployment: &mut Deployment, trouble: Trouble) -> Result<()> {
    if trouble == Trouble::StoreAway {
        for relay in &deployment.relays {
            relay.door.down().await;
        }
    }
    for host in &deployment.engines[..2] {
        host.server.down().await;
        let id = format!("hymns-{}", host.id);
        host.engine.begin_life(&id);
    }
    sleep(REUSED_AFTER).await;
    for number in 0..2 {
        let host = &mut deployment.engines[number];
        host.server.up()?;
        if trouble == Trouble::ScoutRestarts {
            host.scout.signal(Signal::Kill)?;
            host.scout.wait_end(START).await?;
            deployment.restart_scout(number)?;
        }
    }
    if trouble == Trouble::RelayRestarts {
        deployment.relays[0].process.signal(Signal::Kill)?;
        deployment.relays[0].process.wait_end(START).await?;
        deployment.restart_relay(0)?;
        deployment.wait_ready(0).await?;
    }
    if trouble == Trouble::LateEntry {
        sleep(Duration::from_millis(800)).await;
    }
    for number in 0..2 {
        deployment.register(
            number,
            &format!("hymns-{}", deployment.engines[number].id),
            "hymnal",
        );
    }
    Ok(())
}

/// Sends requests of the former service, until well after the store has removed the entries of its engines.
async fn send_drafts(deployment: &Deployment, prefix: &str) -> Result<usize> {
    let mut served = 0;
    for number in 0..REQUESTS {
        if number == REQUESTS / 2 {
            sleep(EXPIRES_AFTER - REUSED_AFTER).await;
            for host in &deployment.engines[..2] {
                deployment.store.remove("servers", &host.id);
            }
        }
        let relay = &deployment.relays[number % deployment.relays.len()];
        let ask = Ask::stream(&format!("{prefix}-{number}"), KEY, 500, 2);
        let response = ask.send(relay.callers).await?;
        served += usize::from(response.status == StatusCode::OK);
        sleep(Duration::from_millis(30)).await;
    }
    Ok(served)
}

async fn assert_other_service_runs_nothing(relays: usize, trouble: Trouble) -> Result<()> {
    let mut deployment = start(relays).await?;
    change_hands(&mut deployment, trouble).await?;
    let served = send_drafts(&deployment, "draft").await?;
    for host in &deployment.engines[..2] {
        let ran = host.engine.arrivals().len();
        assert_eq!(ran, 0, "{}", deployment.relays[0].process.log());
    }
    assert!(served >= REQUESTS / 2, "{served} of {REQUESTS} were served");
    Ok(())
}

/// Guards against requests that are run by another service at the address of an engine that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn another_service_at_an_engines_address_runs_nothing() -> Result<()> {
    assert_other_service_runs_nothing(2, Trouble::None).await
}

/// Guards against the scout's word being taken until the list has the new server.
#[tokio::test(flavor = "multi_thread")]
async fn another_service_that_registers_late_runs_nothing() -> Result<()> {
    assert_other_service_runs_nothing(1, Trouble::LateEntry).await
}

/// Guards against the scout's word being taken because the list is out of reach.
#[tokio::test(flavor = "multi_thread")]
async fn another_service_runs_nothing_while_the_store_is_away() -> Result<()> {
    assert_other_service_runs_nothing(1, Trouble::StoreAway).await
}

/// Guards against a relay without a past that takes the scout's word.
#[tokio::test(flavor = "multi_thread")]
async fn another_service_runs_nothing_after_a_relay_has_restarted() -> Result<()> {
    assert_other_service_runs_nothing(1, Trouble::RelayRestarts).await
}

/// Guards against a scout without a past that names the next engine as its own.
#[tokio::test(flavor = "multi_thread")]
async fn another_service_runs_nothing_after_its_scout_has_restarted() -> Result<()> {
    assert_other_service_runs_nothing(1, Trouble::ScoutRestarts).await
}

/// Guards against a former service that gets no requests once its address is back, or gets those of the service between.
#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_comes_back_to_its_service_is_used_again() -> Result<()> {
    let mut deployment = start(1).await?;
    change_hands(&mut deployment, Trouble::None).await?;
    send_drafts(&deployment, "draft").await?;
    deployment.engines[2].server.down().await;
    let host = &deployment.engines[0];
    host.server.down().await;
    host.engine.begin_life("drafts-again");
    sleep(REUSED_AFTER).await;
    host.server.up()?;
    deployment.register(0, "drafts-again", "liturgy");
    let relay = deployment.relays[0].callers;
    for number in 0..60 {
        let ask = Ask::stream(&format!("again-{number}"), KEY, 500, 2);
        ask.send(relay).await?;
        sleep(Duration::from_millis(50)).await;
        if host.engine.arrivals().len() > 2 {
            break;
        }
    }
    assert!(host.engine.arrivals().len() > 2);
    assert!(deployment.engines[1].engine.arrivals().is_empty());
    Ok(())
}

/// Guards against an engine that stays idle because the list, which is out of reach, does not have its new identifier.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_restarts_while_the_store_is_away_is_used() -> Result<()> {
    let deployment = start(1).await?;
    deployment.relays[0].door.down().await;
    for host in &deployment.engines {
        host.server.down().await;
        host.engine.begin_life(&format!("second-{}", host.id));
    }
    sleep(Duration::from_millis(1_000)).await;
    for host in &deployment.engines {
        host.server.up()?;
    }
    let relay = deployment.relays[0].callers;
    sleep(START).await;
    let mut served = 0;
    for number in 0..10 {
        let ask = Ask::stream(&format!("draft-{number}"), KEY, 500, 2);
        served += usize::from(ask.send(relay).await?.status == StatusCode::OK);
    }
    assert!(
        served >= 9,
        "{served} of 10 were served: {}",
        deployment.relays[0].process.log()
    );
    Ok(())
}
