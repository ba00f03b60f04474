//! Responses that callers get from a relay during faults.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::headers;
use cicada_standins::service::Mode;
use eyre::Result;
use eyre::bail;
use http::StatusCode;
use testutils::cluster::Signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time in which a relay that is registered reads the list of relays.
const SHARE_TIME: Duration = Duration::from_millis(200);

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Sends short drafts until the engine with this index has received one. Panics after `patience`.
async fn ask_until_used(deployment: &Deployment, engine: usize, patience: Duration) -> Result<()> {
    ask_often(deployment, engine, patience, Duration::from_millis(50)).await
}

async fn ask_often(
    deployment: &Deployment,
    engine: usize,
    patience: Duration,
    pause: Duration,
) -> Result<()> {
    let relay = &deployment.relays[0];
    let started = Instant::now();
    let mut number = 0;
    while deployment.engines[engine].engine.arrivals().is_empty() {
        assert!(started.elapsed() < patience, "{}", relay.process.log());
        number += 1;
        Ask::stream(&format!("draft-{number}"), KEY, 500, 2)
            .send(relay.callers)
            .await?;
        sleep(pause).await;
    }
    Ok(())
}

fn start_stream(
    deployment: &Deployment,
    relay: usize,
    id: &str,
    events: u32,
) -> JoinHandle<Result<Heard>> {
    let relay = deployment.relays[relay].callers;
    let ask = Ask::stream(id, KEY, 1_000, events);
    tokio::spawn(async move { ask.send(relay).await })
}

/// An engine announces its shutdown while streams run on it. Its scout copies and stops each run, and the relays
/// continue the runs at the other engine. The callers must get every event exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn runs_of_a_leaving_engine_go_on_at_another() -> Result<()> {
    let deployment = Deployment::start(daemon(), 2, 2, 0).await?;
    let mut streams = Vec::new();
    for number in 0..4 {
        let id = format!("draft-{number}");
        let stream = start_stream(&deployment, number % 2, &id, 250);
        streams.push((id, stream));
    }
    sleep(Duration::from_millis(1_500)).await;
    let busy = (0..2).max_by_key(|engine| deployment.engines[*engine].engine.running());
    let busy = busy.unwrap_or_default();
    let runs = deployment.engines[busy].engine.running();
    assert!(runs > 0);
    deployment.leave(busy, Duration::from_secs(2));
    let leaving = &deployment.engines[busy];
    wait_until("the leaving engine is empty", || {
        leaving.engine.running() == 0
    })
    .await?;
    leaving.server.down().await;
    for (id, stream) in streams {
        let response = stream.await??;
        assert!(response.whole, "{id} was cut");
        assert_eq!(
            response.events(&id)?,
            (1..=250).collect::<Vec<u64>>(),
            "{id}"
        );
    }
    let arrivals = deployment.engines[1 - busy].engine.arrivals();
    let resumed = arrivals.iter().filter(|arrival| arrival.resumed).count();
    assert_eq!(resumed, runs);
    Ok(())
}

/// An engine shuts down, and the engine to which its scout has moved the run rejects it. The run returns to the first
/// engine, whose scout still considers it moved. Unless the relay has it moved again, the caller's stream is cut when
/// that engine is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_its_target_turns_away_is_moved_again() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 3, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 300);
    let running = |engine: usize| deployment.engines[engine].engine.running();
    let at = || (0..3).find(|engine| running(*engine) == 1);
    wait_until("the run has begun", || at().is_some()).await?;
    // Wait until the scouts know each other.
    sleep(Duration::from_millis(1_500)).await;
    let engine = at().unwrap_or_default();
    for other in (0..3).filter(|other| *other != engine) {
        deployment.engines[other].engine.refuse_moved(1);
    }
    deployment.leave(engine, Duration::from_secs(4));
    let moved = wait_until("the leaving engine is empty", || {
        at().is_some_and(|now| now != engine)
    });
    if moved.await.is_err() {
        panic!("{}", deployment.relays[0].process.log());
    }
    deployment.engines[engine].server.down().await;
    let response = stream.await??;
    assert!(response.whole, "{}", deployment.relays[0].process.log());
    assert_eq!(response.events("draft")?, (1..=300).collect::<Vec<u64>>());
    Ok(())
}

/// The last part of a run's copy waits for other runs on a link, long after the run's stream at the source has ended.
/// The relay knows that the run is being moved and must not give it up in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_copy_is_late_goes_on() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 200);
    let running = |engine: usize| deployment.engines[engine].engine.running();
    wait_until("the run has begun", || running(0) + running(1) == 1).await?;
    // Wait until the scouts know each other.
    sleep(Duration::from_millis(1_500)).await;
    let engine = usize::from(running(1) == 1);
    let late = Duration::from_millis(900);
    deployment.engines[engine].engine.set_last_copy(late);
    deployment.leave(engine, Duration::from_secs(3));
    let response = stream.await??;
    assert!(response.whole, "{}", deployment.relays[0].process.log());
    assert_eq!(response.events("draft")?, (1..=200).collect::<Vec<u64>>());
    Ok(())
}

/// An engine shuts down. Requests sent after the relays have learned of it must go to the other engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    deployment.leave(0, Duration::from_secs(30));
    sleep(Duration::from_secs(1)).await;
    let before = deployment.engines[0].engine.arrivals().len();
    for number in 0..6 {
        let id = format!("draft-{number}");
        let response = Ask::stream(&id, KEY, 500, 4)
            .send(deployment.relays[0].callers)
            .await?;
        assert!(response.whole);
    }
    assert_eq!(deployment.engines[0].engine.arrivals().len(), before);
    Ok(())
}

/// An engine dies in the middle of a stream that may not be resumed. The caller must be able to tell that the response
/// is incomplete, and no second run may be appended to the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_dies_does_not_look_whole() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 400);
    wait_until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    sleep(Duration::from_millis(300)).await;
    deployment.engines[0].server.down().await;
    let response = stream.await??;
    assert!(!response.whole);
    let events = response.events("draft")?;
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<u64>>());
    assert_eq!(deployment.engines[0].engine.arrivals().len(), 1);
    Ok(())
}

/// A caller disconnects in the middle of its stream. The engine must not continue the run.
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_when_its_caller_goes_away() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 1_500);
    wait_until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    stream.abort();
    wait_until("the run has ended", || {
        deployment.engines[0].engine.running() == 0
    })
    .await
}

/// The response to a call that must not be repeated is lost. The caller must be told that the outcome is unknown, and
/// the call must not run a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_answer_was_lost_runs_once() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 2).await?;
    for (service, _) in &deployment.services {
        service.set_mode(Mode::AnswerLost);
    }
    let ask = Ask::new("POST", "/deposits/1", "deposit", KEY);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    let ran: usize = deployment
        .services
        .iter()
        .map(|(service, _)| service.ran().len())
        .sum();
    assert_eq!(ran, 1);
    Ok(())
}

/// A service rejects calls without running them. They may be sent to another service, and "not run" may be reported
/// only if no service ran them.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_turned_away_goes_elsewhere_or_is_told_not_run() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 2).await?;
    // Until it knows the relays that share the limit on retries, a relay takes no share. It reads their list after it has
    // registered.
    wait_until("the relay is registered", || {
        deployment.listed_relays() == 1
    })
    .await?;
    sleep(SHARE_TIME).await;
    deployment.services[0].0.set_mode(Mode::Full);
    for number in 0..4 {
        let ask = Ask::new("POST", "/deposits/1", &format!("deposit-{number}"), KEY);
        let response = ask.send(deployment.relays[0].callers).await?;
        assert_eq!(response.status, StatusCode::OK);
    }
    deployment.services[1].0.set_mode(Mode::Full);
    let ask = Ask::new("POST", "/deposits/1", "refused", KEY);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    let ran = deployment
        .services
        .iter()
        .flat_map(|(service, _)| service.ran());
    assert!(ran.into_iter().all(|(id, _)| id != "refused"));
    Ok(())
}

/// A service fails every call. A failed read must be retried and a failed deposit must not. If no attempt succeeds,
/// the caller gets the server's own error with its signature.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_read_is_repeated_and_a_failed_deposit_is_not() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Failing);
    let relay = deployment.relays[0].callers;
    let response = Ask::new("GET", "/slots/1", "read", KEY).send(relay).await?;
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(response.headers[headers::SIGNATURE], "seal-read");
    let response = Ask::new("POST", "/deposits/1", "deposit", KEY)
        .send(relay)
        .await?;
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    let ran = deployment.services[0].0.ran();
    let count = |id: &str| ran.iter().filter(|(ran, _)| ran == id).count();
    assert_eq!((count("read"), count("deposit")), (2, 1));
    Ok(())
}

/// A server sends a success without its signature, so the bytes cannot be attributed to a request. They must not reach
/// the caller as its response.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_that_no_server_signed_is_not_passed_on() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Unsigned);
    let ask = Ask::new("POST", "/deposits/1", "deposit", KEY);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(response.body.is_empty());
    Ok(())
}

/// A relay starts while the store does not answer it and there is no other relay. Until it has a configuration it must
/// not report readiness, nor deny requests that the configuration may allow.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_without_a_configuration_answers_retry_after() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 0, 0, 1).await?;
    deployment.add_relay()?;
    deployment.relays[0].door.down().await;
    deployment.relays[0].process.signal(Signal::Kill)?;
    deployment.relays[0].process.wait_end(PATIENCE).await?;
    deployment.restart_relay(0)?;
    deployment.wait(0, StatusCode::SERVICE_UNAVAILABLE).await?;
    let ask = Ask::new("GET", "/slots/1", "early", KEY);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    deployment.relays[0].door.up()?;
    deployment.wait_ready(0).await?;
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.status, StatusCode::OK);
    Ok(())
}

/// One relay has no access to the store while a key is revoked. It must learn of the revocation from the other relay
/// and reject the key too.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_the_store_turns_away_learns_from_the_others() -> Result<()> {
    let deployment = Deployment::start(daemon(), 2, 0, 1).await?;
    // Wait until each relay has heard of the other's version.
    sleep(Duration::from_secs(2)).await;
    deployment.relays[0].door.down().await;
    deployment.configure(2, &["a-new-key"]);
    let started = Instant::now();
    let ask = Ask::new("GET", "/slots/1", "revoked", KEY);
    while started.elapsed() < PATIENCE {
        if ask.send(deployment.relays[0].callers).await?.status == StatusCode::UNAUTHORIZED {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!(
        "the revoked key still holds: {}",
        deployment.relays[0].process.log()
    )
}

/// The store is unavailable. Relays must keep serving streams and plain calls with the state that they have.
#[tokio::test(flavor = "multi_thread")]
async fn relays_serve_on_without_the_store() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 1).await?;
    deployment.relays[0].door.down().await;
    sleep(Duration::from_millis(800)).await;
    let relay = deployment.relays[0].callers;
    let response = Ask::stream("draft", KEY, 500, 20).send(relay).await?;
    assert_eq!(response.events("draft")?.len(), 20);
    let response = Ask::new("POST", "/deposits/1", "deposit", KEY)
        .send(relay)
        .await?;
    assert_eq!(response.status, StatusCode::OK);
    Ok(())
}

/// While the store is unavailable, one engine shuts down and another starts that only its scout can announce.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_comes_while_the_store_is_away_is_used() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    deployment.relays[0].door.down().await;
    sleep(Duration::from_millis(800)).await;
    deployment.add_engine()?;
    deployment.engines[0].engine.leave(Duration::from_secs(30));
    ask_until_used(&deployment, 1, PATIENCE).await
}

/// An engine crashes and restarts with a new identifier while the store still lists the old one. Its scout notices and
/// reports the new identifier to the relay, so that the next request reaches the engine at once. Without that report
/// the engine would first reject each relay, which would reject its caller after a few such engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_life_that_the_store_does_not_have_is_named_by_its_scout() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let host = &deployment.engines[0];
    wait_until("the engine has reported its identifier", || {
        host.engine.named() == 1
    })
    .await?;
    host.server.down().await;
    host.engine.begin_life("e-second");
    sleep(Duration::from_millis(300)).await;
    host.server.up()?;
    wait_until("the new incarnation has reported its identifier", || {
        host.engine.named() == 1
    })
    .await?;
    let relay = &deployment.relays[0];
    wait_until("the relay knows the new identifier", || {
        relay.process.log().contains("names another life")
    })
    .await?;
    let response = Ask::stream("draft", KEY, 500, 5)
        .send(relay.callers)
        .await?;
    assert!(response.whole, "{}", relay.process.log());
    assert_eq!(host.engine.misdirected(), 0);
    Ok(())
}

/// The store rejects new calls, while pending watches stay open without events. One engine shuts down and another
/// starts. A relay that took its pending watch as proof that the store is available would learn nothing until the watch
/// ends after ten seconds.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_behind_a_waiting_watch_is_noticed() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    sleep(Duration::from_millis(500)).await;
    deployment.store.set_busy(true);
    deployment.add_engine()?;
    deployment.engines[0].engine.leave(Duration::from_secs(30));
    ask_until_used(&deployment, 1, Duration::from_secs(9)).await
}

/// Guards against an engine that is not used for seconds because its first request comes before its scout's first report.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_asked_before_its_first_report_is_used() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    sleep(Duration::from_millis(500)).await;
    deployment.store.set_busy(true);
    deployment.add_engine()?;
    deployment.engines[0].engine.leave(Duration::from_secs(30));
    let pause = Duration::from_millis(3);
    ask_often(&deployment, 1, Duration::from_secs(9), pause).await
}

/// A server registers while the relay cannot reach the store, and the store drops its history before the relay
/// reconnects. The relay must still find the server.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_came_in_forgotten_history_is_used() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.relays[0].door.down().await;
    deployment.services[0].1.down().await;
    deployment.add_service()?;
    deployment.store.forget_history();
    deployment.relays[0].door.up()?;
    let started = Instant::now();
    let ask = Ask::new("GET", "/slots/1", "read", KEY);
    while started.elapsed() < PATIENCE {
        if ask.send(deployment.relays[0].callers).await?.status == StatusCode::OK {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!(
        "the new server is not used: {}",
        deployment.relays[0].process.log()
    )
}

/// SIGHUP must not end a relay, and SIGTERM must not cut off a running stream: readiness fails at once, the stream
/// completes, then the process exits successfully.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_drains_without_cutting_a_stream() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    deployment.relays[0].process.signal(Signal::Hangup)?;
    let stream = start_stream(&deployment, 0, "draft", 150);
    wait_until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    deployment.relays[0].process.signal(Signal::Term)?;
    deployment.wait(0, StatusCode::SERVICE_UNAVAILABLE).await?;
    let response = stream.await??;
    assert!(response.whole);
    assert_eq!(response.events("draft")?.len(), 150);
    let status = deployment.relays[0].process.wait_end(PATIENCE).await?;
    assert!(status.success(), "{status}");
    Ok(())
}

/// The only relay of a zone drains while callers keep sending until it is gone. Each call that it has read must be
/// answered, if only with "not run". The exit of the process must not cut off the last ones.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_come_until_the_end_are_all_answered() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Slow(250));
    deployment.set(0, "grace = 8", "grace = 5")?;
    wait_until("the new grace period is applied", || {
        deployment.relays[0]
            .process
            .log()
            .contains("were read again")
    })
    .await?;
    let relay = deployment.relays[0].callers;
    deployment.relays[0].process.signal(Signal::Term)?;
    let mut callers = Vec::new();
    for caller in 0..6 {
        callers.push(tokio::spawn(async move {
            let mut cut = Vec::new();
            for number in 0.. {
                let id = format!("c{caller}-{number}");
                let ask = Ask::new("GET", "/slots/1", &id, KEY);
                match ask.send(relay).await {
                    Ok(response) if response.whole => {}
                    Ok(_) => cut.push(id),
                    Err(error) if error.is::<std::io::Error>() => return cut,
                    Err(_) => cut.push(id),
                }
            }
            cut
        }));
    }
    let mut cut = Vec::new();
    for caller in callers {
        cut.extend(caller.await?);
    }
    // Calls that arrived while the listener closed may not have been read. Calls that ran were read.
    let ran = deployment.services[0].0.ran();
    cut.retain(|id| ran.iter().any(|(ran, _)| ran == id));
    assert_eq!(
        cut,
        Vec::<String>::new(),
        "calls that ran but got no complete response"
    );
    Ok(())
}

/// A stream arrives late in a drain with a length hint that says it is short, but its token limit allows more. The end
/// of the drain could cut it, so it must be rejected without running. A stream whose limit keeps it short is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_outlast_a_drain_is_turned_away() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let relay = deployment.relays[0].callers;
    // Keeps the relay running during its drain.
    let long = start_stream(&deployment, 0, "long", 380);
    wait_until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    deployment.relays[0].process.signal(Signal::Term)?;
    sleep(Duration::from_millis(3_500)).await;
    let unsure = Ask::stream("unsure", KEY, 200, 500).with_header(headers::HINT, "8");
    let response = unsure.send(relay).await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let short = Ask::stream("short", KEY, 200, 4).send(relay).await?;
    assert!(short.whole && short.status == StatusCode::OK, "{short:?}");
    assert!(long.await??.whole);
    let arrivals = deployment.engines[0].engine.arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "unsure"));
    Ok(())
}

/// A relay process is suspended for two seconds. Meanwhile its callers' key is revoked, requests with that key arrive,
/// and the directory becomes unavailable. After it resumes it must not serve them with its outdated configuration: it
/// must hear from the other relay first, which has replaced that configuration, and reject all of them. None may run.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_wakes_acts_on_no_configuration_of_before() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 2, 0, 1).await?;
    // From the first change on, the other relay watches the directory and informs this one.
    sleep(Duration::from_millis(1_000)).await;
    deployment.configure(2, &[KEY]);
    sleep(Duration::from_millis(1_000)).await;
    deployment.relays[1].process.signal(Signal::Stop)?;
    let callers = deployment.relays[1].callers;
    let asked = (0..12).map(|number| {
        let ask = Ask::new("GET", "/slots/1", &format!("read-{number}"), KEY);
        tokio::spawn(async move { ask.send(callers).await })
    });
    let asked: Vec<_> = asked.collect();
    deployment.configure(3, &["another-key"]);
    sleep(Duration::from_secs(2)).await;
    deployment.store.set_busy(true);
    deployment.relays[1].process.signal(Signal::Cont)?;
    let mut statuses = Vec::new();
    for asked in asked {
        statuses.push(asked.await??.status);
    }
    let log = deployment.relays[1].process.log();
    assert_eq!(statuses, [StatusCode::UNAUTHORIZED; 12], "{log}");
    assert!(deployment.services[0].0.ran().is_empty(), "{log}");
    assert!(log.contains("stood still"), "{log}");
    Ok(())
}

/// Guards against an engine that starts while the store is unavailable and becomes known to only some of many relays.
#[tokio::test(flavor = "multi_thread")]
async fn all_relays_hear_of_an_engine_that_the_store_cannot_name() -> Result<()> {
    const RELAY_COUNT: usize = 18;
    let mut deployment = Deployment::start(daemon(), RELAY_COUNT, 0, 0).await?;
    // Wait until the relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    deployment.store.set_busy(true);
    // A relay need not call the store itself: it takes the store for unreachable once no relay of its region watches.
    let noticed = |relay: usize| {
        let log = deployment.relays[relay].process.log();
        let reached = log.rfind("directory: reached again");
        log.rfind("directory: counts as unreachable") > reached
    };
    wait_until("all relays have noticed the outage", || {
        (0..RELAY_COUNT).all(noticed)
    })
    .await?;
    deployment.add_engine()?;
    let knows_engine = |relay: usize| {
        let log = deployment.relays[relay].process.log();
        log.contains("fleet: a scout says that its engine is there")
    };
    wait_until("all relays know the engine", || {
        (0..RELAY_COUNT).all(knows_engine)
    })
    .await
}

/// Guards against a missed configuration change: its watch stays pending after an outage that only the watch on the
/// servers has noticed. A pending watch waits ten seconds at most.
#[tokio::test(flavor = "multi_thread")]
async fn all_watches_begin_anew_after_an_outage() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    sleep(Duration::from_millis(500)).await;
    deployment.store.set_busy(true);
    sleep(Duration::from_millis(2_500)).await;
    deployment.configure(2, &["another-key"]);
    deployment.store.set_busy(false);
    let started = Instant::now();
    let ask = Ask::new("GET", "/slots/1", "read", "another-key");
    while started.elapsed() < Duration::from_secs(6) {
        if ask.send(deployment.relays[0].callers).await?.status == StatusCode::OK {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!("{}", deployment.relays[0].process.log())
}

/// Guards against requests to former incarnations after engines, scouts and relays were all killed: each would be turned
/// away, and a relay that has just started has no retry to send it on.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_has_just_started_sends_nothing_to_former_incarnations() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    for (number, host) in deployment.engines.iter_mut().enumerate() {
        host.scout.signal(Signal::Kill)?;
        host.server.down().await;
        host.engine.begin_life(&format!("e-second-{number}"));
        host.server.up()?;
    }
    deployment.relays[0].process.signal(Signal::Kill)?;
    deployment.relays[0].process.wait_end(PATIENCE).await?;
    deployment.restart_relay(0)?;
    deployment.wait_ready(0).await?;
    let relay = deployment.relays[0].callers;
    for number in 0..3 {
        let ask = Ask::stream(&format!("draft-{number}"), KEY, 500, 5);
        let response = ask.send(relay).await?;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    }
    let hosts = deployment.engines.iter();
    let misdirected: u64 = hosts.map(|host| host.engine.misdirected()).sum();
    assert_eq!(misdirected, 0, "{}", deployment.relays[0].process.log());
    Ok(())
}
