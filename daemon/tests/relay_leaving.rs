//! Backend servers that state in their answers that they are leaving, with relays run as processes.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::EngineHost;
use cicada_standins::deployment::KEY;
use eyre::Result;
use http::StatusCode;
use testutils::cluster::Signal;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time within which a leaving server must stop getting new requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// How long requests are sent after that time.
const LOAD_DURATION: Duration = Duration::from_secs(2);

/// Interval between two rounds of requests, one to each relay.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// How long relays send requests to a server that states that it is leaving.
const STATEMENT_TIME: Duration = Duration::from_millis(500);

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time within which a call is refused that no server can take: no timeout of the relay is involved.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// How long the store is unavailable during a restore.
const RESTORE_TIME: Duration = Duration::from_millis(300);

/// Index of the service in the relays' zone. A second one, if any, is in another zone.
const LOCAL_ZONE: usize = 0;

/// Number of relays.
const RELAY_COUNT: usize = 2;

async fn start(zones: &[&str]) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, zones, &["a"; RELAY_COUNT]).await?;
    // Wait until the relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    Ok(deployment)
}

/// Sends a request to a relay, and returns the status of its answer.
async fn send(deployment: &Deployment, relay: usize, id: &str) -> Result<StatusCode> {
    let ask = Ask::new("GET", "/slots/7", id, KEY);
    let response = ask.send(deployment.relays[relay].callers).await?;
    Ok(response.status)
}

/// Sends requests to all relays for the duration, and returns the statuses of the answers.
async fn send_to_all_relays(
    deployment: &Deployment,
    name: &str,
    duration: Duration,
) -> Result<Vec<StatusCode>> {
    let until = Instant::now() + duration;
    let mut statuses = Vec::new();
    while Instant::now() < until {
        for relay in 0..deployment.relays.len() {
            let id = format!("{name}-{}", statuses.len());
            statuses.push(send(deployment, relay, &id).await?);
        }
        sleep(REQUEST_INTERVAL).await;
    }
    Ok(statuses)
}

/// Sends requests to a relay until one reaches the service.
async fn send_until_reached(deployment: &Deployment, relay: usize, service: usize) -> Result<()> {
    let service = &deployment.services[service].0;
    let before = service.arrivals().len();
    let started = Instant::now();
    let mut number = 0;
    while service.arrivals().len() == before {
        number += 1;
        send(deployment, relay, &format!("reach-{relay}-{number}")).await?;
        assert!(started.elapsed() < PATIENCE, "the service is not used");
    }
    Ok(())
}

/// Has all relays send requests while the nearest server states that it is leaving.
async fn state_leaving_to_all_relays(deployment: &Deployment) -> Result<()> {
    let service = &deployment.services[LOCAL_ZONE].0;
    let before = service.arrivals().len();
    send_to_all_relays(deployment, "stated", STATEMENT_TIME).await?;
    assert!(service.arrivals().len() > before, "it stated nothing");
    Ok(())
}

/// Asserts that the service gets nothing from any relay for a while, and that all callers are served.
async fn assert_unused(deployment: &Deployment, name: &str, service: usize) -> Result<()> {
    let service = &deployment.services[service].0;
    let before = service.arrivals().len();
    let statuses = send_to_all_relays(deployment, name, LOAD_DURATION).await?;
    let late = service.arrivals().len() - before;
    let log = deployment.relays[0].process.log();
    assert_eq!(late, 0, "{late} requests reached a leaving server\n{log}");
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    Ok(())
}

/// Guards against a leaving server that is used on because the directory, which would list it as draining, is away.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_states_its_leaving_gets_nothing_new_without_the_store() -> Result<()> {
    let deployment = start(&["a", "b"]).await?;
    deployment.store.set_busy(true);
    deployment.services[LOCAL_ZONE].0.leave();
    state_leaving_to_all_relays(&deployment).await?;
    sleep(DRAIN_TIME).await;
    assert_unused(&deployment, "left", LOCAL_ZONE).await
}

/// Guards against relays that use a leaving server on because only another relay has heard its statement.
#[tokio::test(flavor = "multi_thread")]
async fn a_statement_to_one_relay_reaches_the_others_without_the_store() -> Result<()> {
    let deployment = start(&["a", "b"]).await?;
    deployment.store.set_busy(true);
    deployment.services[LOCAL_ZONE].0.leave();
    send_until_reached(&deployment, 0, LOCAL_ZONE).await?;
    sleep(DRAIN_TIME).await;
    assert_unused(&deployment, "left", LOCAL_ZONE).await
}

/// Guards against a relay that starts during an outage of the store and does not hear which servers are leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_starts_later_hears_of_a_leaving_server() -> Result<()> {
    let mut deployment = start(&["a", "b"]).await?;
    deployment.store.set_busy(true);
    deployment.relays[1].process.signal(Signal::Kill)?;
    deployment.services[LOCAL_ZONE].0.leave();
    send_until_reached(&deployment, 0, LOCAL_ZONE).await?;
    deployment.restart_relay(1)?;
    deployment.wait_ready(1).await?;
    assert_unused(&deployment, "left", LOCAL_ZONE).await
}

/// Guards against a leaving server that is used again because the store came back from a copy in which it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_statement_holds_when_the_store_went_back() -> Result<()> {
    let deployment = start(&["a", "b"]).await?;
    let copy = deployment.store.copy();
    deployment.services[LOCAL_ZONE].0.leave();
    state_leaving_to_all_relays(&deployment).await?;
    deployment.bring_back(&copy, RESTORE_TIME).await;
    assert_unused(&deployment, "restored", LOCAL_ZONE).await
}

/// Guards against callers that wait, or are told that their call may have run, when all servers are leaving.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_refused_at_once_when_all_servers_are_leaving() -> Result<()> {
    let deployment = start(&["a"]).await?;
    deployment.store.set_busy(true);
    let service = &deployment.services[LOCAL_ZONE].0;
    service.leave();
    send_until_reached(&deployment, 0, LOCAL_ZONE).await?;
    let ran = service.ran().len();
    for number in 0..10 {
        let ask = Ask::new("POST", "/deposits/1", &format!("refused-{number}"), KEY);
        let started = Instant::now();
        let response = ask.send(deployment.relays[0].callers).await?;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        assert!(started.elapsed() < REFUSAL_TIME, "refused late");
    }
    assert_eq!(service.ran().len(), ran, "a refused call ran");
    Ok(())
}

/// Guards against runs that stay at an engine until it ends because it states its leaving in the heads of answers only.
#[tokio::test(flavor = "multi_thread")]
async fn runs_leave_an_engine_that_states_its_leaving_in_heads_only() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 1, 2, 0).await?;
    // Wait until the scouts know their neighbours.
    sleep(Duration::from_millis(1_500)).await;
    let relay = deployment.relays[0].callers;
    let draft = Ask::stream("draft-1", KEY, 500, 300);
    let response = tokio::spawn(async move { draft.send(relay).await });
    sleep(Duration::from_millis(500)).await;
    let is_busy = |host: &EngineHost| host.engine.running() > 0;
    let busy = deployment.engines.iter().position(is_busy);
    let busy = busy.expect("the stream runs at an engine");
    deployment.engines[busy].engine.state_leaving();
    let response = response.await??;
    assert_eq!(response.events("draft-1")?, (1..=300).collect::<Vec<u64>>());
    let resumed = deployment.engines[1 - busy].engine.arrivals();
    let resumed: Vec<bool> = resumed.iter().map(|arrival| arrival.resumed).collect();
    assert_eq!(resumed, [true], "the run was moved once");
    Ask::stream("draft-2", KEY, 500, 5).send(relay).await?;
    assert_eq!(deployment.engines[busy].engine.arrivals().len(), 1);
    Ok(())
}

/// Guards against operators who cannot see why a server that the directory lists as ready gets nothing.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_page_shows_who_leaves_and_by_whose_word() -> Result<()> {
    let deployment = start(&["a", "b"]).await?;
    deployment.store.set_busy(true);
    deployment.services[LOCAL_ZONE].0.leave();
    send_until_reached(&deployment, 0, LOCAL_ZONE).await?;
    sleep(Duration::from_secs(1)).await;
    for (relay, source) in [(0, "answer"), (1, "relay")] {
        let status = deployment.status(relay).await?;
        let leaving = &status["leaving"][0];
        assert_eq!(leaving["server"], deployment.services[LOCAL_ZONE].0.id());
        assert_eq!(leaving["source"], source);
        assert!(leaving["age_ms"].as_u64().is_some_and(|age| age >= 900));
    }
    Ok(())
}
