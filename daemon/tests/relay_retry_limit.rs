//! The limit on repeated sends that all entries share, checked from the servers' side with relays run as processes.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::was_sent;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::REPEAT_LIMIT;
use cicada_standins::deployment::SLACK_SETTING;
use cicada_standins::deployment::wait_until;
use cicada_standins::engine::Trouble;
use cicada_standins::service::Mode;
use eyre::Result;
use testutils::cluster::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// A setting of the slack that differs slightly.
const LOWER_SLACK_SETTING: &str = "retry_slack = 31\n";

/// How long callers send requests: longer than the window.
const LOAD_DURATION: Duration = Duration::from_secs(12);

/// Interval between two requests at a relay.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two faults: several fall into a window. A relay that is stopped takes some time to end.
const FAULT_INTERVAL: Duration = Duration::from_millis(2_000);
const STOP_INTERVAL: Duration = Duration::from_millis(700);

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Number of runs that are moved: more than the share of a window allows retries.
const MOVED_RUNS: usize = 8;

/// Services in the relays' zone; each fails every request.
const SERVICES: [&str; 2] = ["a", "a"];

/// When callers sent requests.
type SendTimes = Arc<Mutex<Vec<Instant>>>;

async fn start_failing(relays: usize) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start_plain(daemon, &SERVICES, &vec!["a"; relays]).await?;
    for (service, _) in &deployment.services {
        service.set_mode(Mode::Failing);
    }
    // Wait until the relays know each other.
    sleep(Duration::from_millis(1_500)).await;
    Ok(deployment)
}

/// Sends requests to the relay at a fixed interval until a time. A relay that is down is passed over.
async fn send_until(relay: SocketAddr, name: String, until: Instant, sent: SendTimes) {
    let mut requests = JoinSet::new();
    let mut next = Instant::now();
    let mut number = 0;
    while next < until {
        number += 1;
        let ask = Ask::new("GET", "/slots/7", &format!("{name}-{number}"), KEY);
        let sent = sent.clone();
        requests.spawn(async move {
            let at = Instant::now();
            let outcome = ask.send(relay).await;
            if was_sent(&outcome) {
                sent.lock().unwrap().push(at);
            }
        });
        next += REQUEST_INTERVAL;
        sleep_until(next).await;
    }
    requests.join_all().await;
}

/// Starts callers at all relays, and returns when they send.
fn start_callers(deployment: &Deployment) -> (JoinSet<()>, SendTimes) {
    let sent = SendTimes::default();
    let until = Instant::now() + LOAD_DURATION;
    let mut callers = JoinSet::new();
    for (number, relay) in deployment.relays.iter().enumerate() {
        let name = format!("read-{number}");
        callers.spawn(send_until(relay.callers, name, until, sent.clone()));
    }
    (callers, sent)
}

/// Waits for the callers to end, and checks what the services received.
async fn assert_limit_kept(deployment: &Deployment, callers: JoinSet<()>, sent: &SendTimes) {
    callers.join_all().await;
    let services = deployment.services.iter();
    let arrivals: Vec<_> = services.flat_map(|(s, _)| s.arrivals_by_id()).collect();
    assert!(!arrivals.is_empty());
    if let Some(excess) = REPEAT_LIMIT.worst_excess(&sent.lock().unwrap(), &arrivals) {
        panic!("{excess}");
    }
}

async fn assert_limit_kept_across_restarts(signal: Signal, interval: Duration) -> Result<()> {
    let mut deployment = start_failing(4).await?;
    let (callers, sent) = start_callers(&deployment);
    let until = Instant::now() + LOAD_DURATION;
    while Instant::now() + interval < until {
        sleep(interval).await;
        for relay in 0..deployment.relays.len() {
            deployment.relays[relay].process.signal(signal)?;
        }
        for relay in 0..deployment.relays.len() {
            deployment.relays[relay].process.wait_end(PATIENCE).await?;
            deployment.restart_relay(relay)?;
        }
    }
    assert_limit_kept(&deployment, callers, &sent).await;
    Ok(())
}

/// Guards against relays that are killed in series and repeat a whole window's retries after each start.
#[tokio::test(flavor = "multi_thread")]
async fn relays_killed_in_series_keep_the_retry_limit() -> Result<()> {
    assert_limit_kept_across_restarts(Signal::Kill, FAULT_INTERVAL).await
}

/// Guards against relays that are stopped in series and repeat a whole window's retries after each start.
#[tokio::test(flavor = "multi_thread")]
async fn relays_stopped_in_series_keep_the_retry_limit() -> Result<()> {
    assert_limit_kept_across_restarts(Signal::Term, STOP_INTERVAL).await
}

/// Guards against a changed setting that makes relays forget the retries of the window.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_the_retry_limit_do_not_renew_it() -> Result<()> {
    let mut deployment = start_failing(4).await?;
    let (callers, sent) = start_callers(&deployment);
    let until = Instant::now() + LOAD_DURATION;
    let mut settings = (SLACK_SETTING, LOWER_SLACK_SETTING);
    while Instant::now() + FAULT_INTERVAL < until {
        sleep(FAULT_INTERVAL).await;
        for relay in 0..deployment.relays.len() {
            deployment.set(relay, settings.0, settings.1)?;
            deployment.relays[relay].process.signal(Signal::Hangup)?;
        }
        settings = (settings.1, settings.0);
    }
    assert_limit_kept(&deployment, callers, &sent).await;
    Ok(())
}

/// Guards against runs that are moved and leave no retry for a stream whose engine fails.
#[tokio::test(flavor = "multi_thread")]
async fn moved_runs_leave_the_retries_to_others() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 1, 1, 0).await?;
    deployment.set(0, SLACK_SETTING, "retry_slack = 8\nretry_window = 1\n")?;
    deployment.relays[0].process.signal(Signal::Hangup)?;
    let relay = deployment.relays[0].callers;
    let streams: Vec<_> = (0..MOVED_RUNS)
        .map(|number| {
            let ask = Ask::stream(&format!("draft-{number}"), KEY, 500, 400);
            tokio::spawn(async move { ask.send(relay).await })
        })
        .collect();
    wait_until("the runs have begun", || {
        deployment.engines[0].engine.running() == MOVED_RUNS
    })
    .await?;
    for _ in 0..2 {
        deployment.add_engine()?;
    }
    // Wait until the scouts know each other.
    sleep(Duration::from_millis(1_500)).await;
    deployment.leave(0, Duration::from_secs(4));
    wait_until("the runs have moved", || {
        let others = deployment.engines[1..].iter();
        others.map(|host| host.engine.running()).sum::<usize>() == MOVED_RUNS
    })
    .await?;
    for host in &deployment.engines[1..] {
        host.engine.set_trouble(Trouble::Fail);
    }
    let question = Ask::question("question", KEY, 500, 4);
    question.send(relay).await?;
    let arrivals = deployment.engines.iter();
    let arrivals = arrivals.flat_map(|host| host.engine.requests());
    let sends = arrivals.filter(|(_, id)| id == "question").count();
    assert_eq!(sends, 2, "{}", deployment.relays[0].process.log());
    streams.iter().for_each(|stream| stream.abort());
    Ok(())
}
