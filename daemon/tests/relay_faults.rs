//! What callers see of a relay when things fail.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::headers;
use cicada_standins::service::Mode;
use eyre::Result;
use eyre::bail;
use http::StatusCode;
use testutils::cluster::Signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// The longest wait for something that takes a moment. It judges no speed.
const PATIENCE: Duration = Duration::from_secs(20);

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Asks for short drafts until the engine of this number has had one. Fails after `patience`.
async fn ask_until_used(deployment: &Deployment, engine: usize, patience: Duration) -> Result<()> {
    let relay = &deployment.relays[0];
    let begun = Instant::now();
    let mut number = 0;
    while deployment.engines[engine].engine.arrivals().is_empty() {
        assert!(begun.elapsed() < patience, "{}", relay.process.log());
        number += 1;
        Ask::stream(&format!("draft-{number}"), KEY, 500, 2)
            .send(relay.callers)
            .await?;
        sleep(Duration::from_millis(50)).await;
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

async fn until(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        if holds() {
            return Ok(());
        }
        sleep(Duration::from_millis(10)).await;
    }
    bail!("it did not come about: {what}")
}

/// An engine says that it leaves while two callers' streams run on it. Its scout copies and stops each
/// run, and the relays go on at the other engine. The callers see every event once.
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
    until("the leaving engine is empty", || {
        leaving.engine.running() == 0
    })
    .await?;
    leaving.server.down().await;
    for (id, stream) in streams {
        let heard = stream.await??;
        assert!(heard.whole, "{id} was cut");
        assert_eq!(heard.events(&id)?, (1..=250).collect::<Vec<u64>>(), "{id}");
    }
    let arrivals = deployment.engines[1 - busy].engine.arrivals();
    let resumed = arrivals.iter().filter(|arrival| arrival.resumed).count();
    assert_eq!(resumed, runs);
    Ok(())
}

/// An engine leaves, and the engine to which its scout has moved the run turns it away. The run goes back,
/// and its scout takes it for moved: if its relay did not move it again, the caller's stream would be
/// cut when the engine is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_its_target_turns_away_is_moved_again() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 3, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 300);
    let running = |engine: usize| deployment.engines[engine].engine.running();
    let at = || (0..3).find(|engine| running(*engine) == 1);
    until("the run has begun", || at().is_some()).await?;
    // Until scouts know of each other.
    sleep(Duration::from_millis(1_500)).await;
    let engine = at().unwrap_or_default();
    for other in (0..3).filter(|other| *other != engine) {
        deployment.engines[other].engine.refuse_moved(1);
    }
    deployment.leave(engine, Duration::from_secs(4));
    let moved = until("the leaving engine is empty", || {
        at().is_some_and(|now| now != engine)
    });
    if moved.await.is_err() {
        panic!("{}", deployment.relays[0].process.log());
    }
    deployment.engines[engine].server.down().await;
    let heard = stream.await??;
    assert!(heard.whole, "{}", deployment.relays[0].process.log());
    assert_eq!(heard.events("draft")?, (1..=300).collect::<Vec<u64>>());
    Ok(())
}

/// The last part of a run's copy waits on a link for other runs, long after its stream has ended. The
/// relay knows that the run is being moved, and must not give it up meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_copy_is_late_goes_on() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 200);
    let running = |engine: usize| deployment.engines[engine].engine.running();
    until("the run has begun", || running(0) + running(1) == 1).await?;
    // Until scouts know of each other.
    sleep(Duration::from_millis(1_500)).await;
    let engine = usize::from(running(1) == 1);
    let late = Duration::from_millis(900);
    deployment.engines[engine].engine.set_last_copy(late);
    deployment.leave(engine, Duration::from_secs(3));
    let heard = stream.await??;
    assert!(heard.whole, "{}", deployment.relays[0].process.log());
    assert_eq!(heard.events("draft")?, (1..=200).collect::<Vec<u64>>());
    Ok(())
}

/// An engine leaves. What is sent after the relays have learnt of it goes to the other one.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    deployment.leave(0, Duration::from_secs(30));
    sleep(Duration::from_secs(1)).await;
    let before = deployment.engines[0].engine.arrivals().len();
    for number in 0..6 {
        let id = format!("draft-{number}");
        let heard = Ask::stream(&id, KEY, 500, 4)
            .send(deployment.relays[0].callers)
            .await?;
        assert!(heard.whole);
    }
    assert_eq!(deployment.engines[0].engine.arrivals().len(), before);
    Ok(())
}

/// An engine dies in the middle of a stream. The caller must see that the answer is not whole, and no
/// second run may be joined to the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_dies_does_not_look_whole() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 400);
    until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    sleep(Duration::from_millis(300)).await;
    deployment.engines[0].server.down().await;
    let heard = stream.await??;
    assert!(!heard.whole);
    let events = heard.events("draft")?;
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<u64>>());
    assert_eq!(deployment.engines[0].engine.arrivals().len(), 1);
    Ok(())
}

/// A caller goes away in the middle of its stream. The engine must not work on for nobody.
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_when_its_caller_goes_away() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let stream = start_stream(&deployment, 0, "draft", 1_500);
    until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    stream.abort();
    until("the run has ended", || {
        deployment.engines[0].engine.running() == 0
    })
    .await
}

/// The first answer of a call that must not be repeated is lost. The caller hears that nobody knows,
/// and the call runs no second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_answer_was_lost_runs_once() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 2).await?;
    for (service, _) in &deployment.services {
        service.set_mode(Mode::AnswerLost);
    }
    let ask = Ask::new("POST", "/deposits/1", "deposit", KEY);
    let heard = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(heard.status, StatusCode::BAD_GATEWAY);
    let ran: usize = deployment
        .services
        .iter()
        .map(|(service, _)| service.ran().len())
        .sum();
    assert_eq!(ran, 1);
    Ok(())
}

/// A service turns calls away unrun. They may go to another one, and "not run" is only said where no
/// one ran them.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_turned_away_goes_elsewhere_or_is_told_not_run() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 2).await?;
    deployment.services[0].0.set_mode(Mode::Full);
    for number in 0..4 {
        let ask = Ask::new("POST", "/deposits/1", &format!("deposit-{number}"), KEY);
        let heard = ask.send(deployment.relays[0].callers).await?;
        assert_eq!(heard.status, StatusCode::OK);
    }
    deployment.services[1].0.set_mode(Mode::Full);
    let ask = Ask::new("POST", "/deposits/1", "refused", KEY);
    let heard = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(heard.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(heard.headers.contains_key("retry-after"));
    let ran = deployment
        .services
        .iter()
        .flat_map(|(service, _)| service.ran());
    assert!(ran.into_iter().all(|(id, _)| id != "refused"));
    Ok(())
}

/// One of two services fails every call. Reads go to the other one after a failure; the failures are
/// the server's own and keep its signature where nothing better came.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_read_is_repeated_and_a_failed_deposit_is_not() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Failing);
    let relay = deployment.relays[0].callers;
    let heard = Ask::new("GET", "/slots/1", "read", KEY).send(relay).await?;
    assert_eq!(heard.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(heard.headers[headers::SIGNATURE], "seal-read");
    let heard = Ask::new("POST", "/deposits/1", "deposit", KEY)
        .send(relay)
        .await?;
    assert_eq!(heard.status, StatusCode::INTERNAL_SERVER_ERROR);
    let ran = deployment.services[0].0.ran();
    let count = |id: &str| ran.iter().filter(|(ran, _)| ran == id).count();
    assert_eq!((count("read"), count("deposit")), (2, 1));
    Ok(())
}

/// A server sends a success without its signature: bytes that belong to no request. The caller must not
/// take them for its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_success_that_no_server_signed_is_not_passed_on() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Unsigned);
    let ask = Ask::new("POST", "/deposits/1", "deposit", KEY);
    let heard = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(heard.status, StatusCode::BAD_GATEWAY);
    assert!(heard.body.is_empty());
    Ok(())
}

/// A relay starts while the store does not answer it and no other relay is there. Until it knows a
/// configuration it must neither say that it is ready nor deny what may well be allowed.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_without_a_configuration_says_come_back() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 0, 0, 1).await?;
    deployment.add_relay()?;
    deployment.relays[0].door.down().await;
    deployment.relays[0].process.signal(Signal::Kill)?;
    deployment.relays[0].process.wait_end(PATIENCE).await?;
    deployment.restart_relay(0)?;
    deployment.wait(0, StatusCode::SERVICE_UNAVAILABLE).await?;
    let ask = Ask::new("GET", "/slots/1", "early", KEY);
    let heard = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(heard.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(heard.headers.contains_key("retry-after"));
    deployment.relays[0].door.up()?;
    deployment.wait_ready(0).await?;
    let heard = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(heard.status, StatusCode::OK);
    Ok(())
}

/// The store turns one relay away, and a key is revoked meanwhile. The relay learns it from the other
/// one, and the key is refused there too.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_the_store_turns_away_learns_from_the_others() -> Result<()> {
    let deployment = Deployment::start(daemon(), 2, 0, 1).await?;
    // The relays have met: each has heard of the other's version.
    sleep(Duration::from_secs(2)).await;
    deployment.relays[0].door.down().await;
    deployment.configure(2, &["a-new-key"]);
    let begun = Instant::now();
    let ask = Ask::new("GET", "/slots/1", "revoked", KEY);
    while begun.elapsed() < PATIENCE {
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

/// The store is away for all. What is known serves on, streams and plain calls alike.
#[tokio::test(flavor = "multi_thread")]
async fn relays_serve_on_without_the_store() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 1).await?;
    deployment.relays[0].door.down().await;
    sleep(Duration::from_millis(800)).await;
    let relay = deployment.relays[0].callers;
    let heard = Ask::stream("draft", KEY, 500, 20).send(relay).await?;
    assert_eq!(heard.events("draft")?.len(), 20);
    let heard = Ask::new("POST", "/deposits/1", "deposit", KEY)
        .send(relay)
        .await?;
    assert_eq!(heard.status, StatusCode::OK);
    Ok(())
}

/// While the store is away an engine leaves and another one comes, of which only its scout can tell.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_comes_while_the_store_is_away_is_used() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    deployment.relays[0].door.down().await;
    sleep(Duration::from_millis(800)).await;
    deployment.add_engine()?;
    deployment.engines[0].engine.leave(Duration::from_secs(30));
    ask_until_used(&deployment, 1, PATIENCE).await
}

/// An engine crashes and is back under another identifier, while the store still names its former life.
/// Its scout notices and names it to the relay, so that the next request reaches it at once; without
/// that word each relay would be refused there first, and turn its caller away after a few such engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_life_that_the_store_does_not_have_is_named_by_its_scout() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let host = &deployment.engines[0];
    until("the engine has named itself", || host.engine.named() == 1).await?;
    host.server.down().await;
    host.engine.begin_life("e-second");
    sleep(Duration::from_millis(300)).await;
    host.server.up()?;
    until("the new life has named itself", || host.engine.named() == 1).await?;
    let relay = &deployment.relays[0];
    until("the relay knows", || {
        relay.process.log().contains("names another life")
    })
    .await?;
    let heard = Ask::stream("draft", KEY, 500, 5)
        .send(relay.callers)
        .await?;
    assert!(heard.whole, "{}", relay.process.log());
    assert_eq!(host.engine.misdirected(), 0);
    Ok(())
}

/// The store turns new calls away, and the watches that wait hear nothing and do not end. An engine
/// leaves and another one comes. A relay that took its waiting watch for a sign of life would learn
/// nothing until the watch ends after ten seconds.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_behind_a_waiting_watch_is_noticed() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    sleep(Duration::from_millis(500)).await;
    deployment.store.set_busy(true);
    deployment.add_engine()?;
    deployment.engines[0].engine.leave(Duration::from_secs(30));
    ask_until_used(&deployment, 1, Duration::from_secs(9)).await
}

/// The store drops its history while a watch waits, and a server has come in between.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_came_in_forgotten_history_is_used() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.relays[0].door.down().await;
    deployment.services[0].1.down().await;
    deployment.add_service()?;
    deployment.store.forget_history();
    deployment.relays[0].door.up()?;
    let begun = Instant::now();
    let ask = Ask::new("GET", "/slots/1", "read", KEY);
    while begun.elapsed() < PATIENCE {
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

/// SIGHUP must not end a relay, and SIGTERM cuts off no stream that is under way: readiness fails at
/// once, the stream comes to its end, then the process ends well.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_drains_without_cutting_a_stream() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    deployment.relays[0].process.signal(Signal::Hangup)?;
    let stream = start_stream(&deployment, 0, "draft", 150);
    until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    deployment.relays[0].process.signal(Signal::Term)?;
    deployment.wait(0, StatusCode::SERVICE_UNAVAILABLE).await?;
    let heard = stream.await??;
    assert!(heard.whole);
    assert_eq!(heard.events("draft")?.len(), 150);
    let status = deployment.relays[0].process.wait_end(PATIENCE).await?;
    assert!(status.success(), "{status}");
    Ok(())
}

/// The only relay of a zone drains, and callers come until it is gone. Each call that it has read must be
/// answered, if only with "not run": its last ones must not be cut by its end.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_come_until_the_end_are_all_answered() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Slow(250));
    deployment.set(0, "grace = 8", "grace = 5")?;
    until("the grace is taken over", || {
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
                    Ok(heard) if heard.whole => {}
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
    // What crossed the closing of the listener was not read; what ran was.
    let ran = deployment.services[0].0.ran();
    cut.retain(|id| ran.iter().any(|(ran, _)| ran == id));
    assert_eq!(cut, Vec::<String>::new(), "read and not answered");
    Ok(())
}

/// A stream comes late in a drain and says that it will be short, but may be long. Cut at the end it would
/// have been better off elsewhere: it is turned away unrun, and one that can only be short is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_outlast_a_drain_is_turned_away() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let relay = deployment.relays[0].callers;
    // Keeps the relay up through its drain.
    let long = start_stream(&deployment, 0, "long", 380);
    until("the run has begun", || {
        deployment.engines[0].engine.running() == 1
    })
    .await?;
    deployment.relays[0].process.signal(Signal::Term)?;
    sleep(Duration::from_millis(3_500)).await;
    let unsure = Ask::stream("unsure", KEY, 200, 500).with_header(headers::HINT, "8");
    let heard = unsure.send(relay).await?;
    assert_eq!(heard.status, StatusCode::SERVICE_UNAVAILABLE);
    let short = Ask::stream("short", KEY, 200, 4).send(relay).await?;
    assert!(short.whole && short.status == StatusCode::OK, "{short:?}");
    assert!(long.await??.whole);
    let arrivals = deployment.engines[0].engine.arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "unsure"));
    Ok(())
}

/// The settings file changes without a signal, first to one with a fault. The fault changes nothing and
/// is named; what follows is taken over while the process runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_settings_file_is_taken_over() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Failing);
    deployment.set(0, "retry_slack = 32", "retry_slack = many")?;
    let log = |deployment: &Deployment| deployment.relays[0].process.log();
    until("the fault is named", || {
        log(&deployment).contains("mend the file")
    })
    .await?;
    let ask = Ask::new("GET", "/slots/1", "repeated", KEY);
    ask.send(deployment.relays[0].callers).await?;
    assert_eq!(
        deployment.services[0].0.ran().len(),
        2,
        "the read is repeated once"
    );
    deployment.set(0, "retry_slack = many", "retry_slack = 0\nretry_ratio = 0")?;
    until("the change is taken over", || {
        log(&deployment).contains("were read again")
    })
    .await?;
    let ask = Ask::new("GET", "/slots/1", "once", KEY);
    ask.send(deployment.relays[0].callers).await?;
    assert_eq!(
        deployment.services[0].0.ran().len(),
        3,
        "the bound allows no repeat"
    );
    Ok(())
}

/// A relay stands still for two seconds. Meanwhile its callers' key is taken away, requests with that key come
/// to it, and the directory turns everybody away. When it wakes it would serve them by the configuration of
/// before, which the other relay has given up long ago: it hears that one first, and refuses all of them. None
/// runs anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_wakes_acts_on_no_configuration_of_before() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 2, 0, 1).await?;
    // From the first change on the other one watches the directory, and this one hears from it.
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

/// Guards against an engine that comes while the store is away and is known to some of many relays only.
#[tokio::test(flavor = "multi_thread")]
async fn all_relays_hear_of_an_engine_that_the_store_cannot_name() -> Result<()> {
    const RELAYS: usize = 18;
    let mut deployment = Deployment::start(daemon(), RELAYS, 0, 0).await?;
    // Until relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    deployment.store.set_busy(true);
    let noticed = |relay: usize| {
        let log = deployment.relays[relay].process.log();
        log.contains("directory: no news of the backend servers")
    };
    until("all relays have noticed", || (0..RELAYS).all(noticed)).await?;
    sleep(Duration::from_secs(1)).await;
    deployment.add_engine()?;
    let heard = |relay: usize| {
        let log = deployment.relays[relay].process.log();
        log.contains("fleet: a scout says that its engine is there")
    };
    until("all relays know the engine", || (0..RELAYS).all(heard)).await
}

/// Guards against a configuration that is not heard of, since its watch waits on behind an outage that the watch on the
/// servers has noticed. Ten seconds are the longest that it waits.
#[tokio::test(flavor = "multi_thread")]
async fn all_watches_begin_anew_after_an_outage() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    sleep(Duration::from_millis(500)).await;
    deployment.store.set_busy(true);
    sleep(Duration::from_millis(2_500)).await;
    deployment.configure(2, &["another-key"]);
    deployment.store.set_busy(false);
    let begun = Instant::now();
    let ask = Ask::new("GET", "/slots/1", "read", "another-key");
    while begun.elapsed() < Duration::from_secs(6) {
        if ask.send(deployment.relays[0].callers).await?.status == StatusCode::OK {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!("{}", deployment.relays[0].process.log())
}
