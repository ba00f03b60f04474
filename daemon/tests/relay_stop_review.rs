//! Runs that are stopped for a move beside other calls, after an earlier stop whose outcome is unknown, or while their
//! memory is copied again.

use std::path::Path;
use std::time::Duration;

use cicada_standins::breaks::Framing;
use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::last_answer::LastAnswer;
use cicada_standins::stream_tally::Streams;
use cicada_standins::stream_tally::Tally;
use eyre::Result;
use eyre::ensure;
use serde_json::json;
use testutils::cluster::Signal;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Events of a stream: it lasts 3.3 s.
const EVENTS: u32 = 220;

/// Time in which scouts get to know each other.
const START: Duration = Duration::from_millis(1_500);

/// Time in which streams begin.
const BEGIN: Duration = Duration::from_millis(300);

/// Time after which a scout that stands still counts as silent.
const SCOUT_SILENCE: Duration = Duration::from_millis(1_000);

/// The shortest time for which an engine that leaves is there.
const SHORT_NOTICE: Duration = Duration::from_millis(1_500);

/// Calls that are not streams. Each of three engines gets some.
const PLAIN_CALLS: usize = 24;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Guards against a leaving engine's streams that are lost because its scout first waits for permission to stop runs that
/// no relay holds as streams.
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_do_not_hold_up_the_moves_of_streams() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 3, 0).await?;
    deployment.reconfigure(|config| {
        if let Some(routes) = config["routes"].as_array_mut() {
            let mut route = routes[2].clone();
            route["name"] = json!("sums");
            route["pathPrefix"] = json!("/sums/");
            route["type"] = json!("idempotent");
            route["service"] = json!("liturgy");
            route["timeoutMs"] = json!(20_000);
            routes.push(route);
        }
    });
    sleep(START).await;
    let relay = deployment.relays[0].callers;
    let mut calls = JoinSet::new();
    for number in 0..PLAIN_CALLS {
        let ask = Ask::stream(&format!("sum-{number}"), KEY, 100, EVENTS)
            .with_path("/sums/1")
            .with_framing(Framing::Close);
        calls.spawn(async move { ask.send(relay).await });
    }
    let streams = std::iter::repeat_n((Framing::Close, EVENTS), 12);
    let streams = Streams::start(&deployment, streams);
    sleep(BEGIN).await;
    let running = deployment.engines[0].engine.running();
    deployment.leave(0, SHORT_NOTICE);
    sleep(SHORT_NOTICE).await;
    deployment.engines[0].server.down().await;
    let tallies = streams.tallies(&deployment).await?;
    calls.abort_all();
    let log = deployment.engines[0].scout.log();
    println!("{running} runs at the leaving engine: {tallies:?}");
    ensure!(tallies[0].cut == 0, "{:?}\n{log}", tallies[0]);
    Ok(())
}

/// Pace of an engine while its scout learns, and when its runs are late.
const FAST: Duration = Duration::from_millis(5);
const SLOW: Duration = Duration::from_millis(300);

/// Events of a run that a planned move is to stop.
const PLANNED_EVENTS: u32 = 800;

/// Guards against a copy that is freed with an earlier move of the run, although both moves made the same copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_planned_stop_keeps_the_copy_of_the_run() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    deployment.set(0, "grace = 8\n", "grace = 8\nhandoff = on\nrescue = on\n")?;
    let process = &deployment.relays[0].process;
    wait_until("the settings were read again", || {
        process.log().contains("were read again")
    })
    .await?;
    for host in &deployment.engines {
        host.engine.set_pace(FAST);
        host.engine.set_last_answer(LastAnswer::CallLost, Some(1));
    }
    sleep(START).await;
    let streams = [(Framing::Close, PLANNED_EVENTS)].into_iter();
    let streams = Streams::start(&deployment, streams);
    let running = |engine: usize| deployment.engines[engine].engine.running();
    wait_until("the run has begun", || running(0) + running(1) == 1).await?;
    let source = &deployment.engines[usize::from(running(1) == 1)].engine;
    sleep(START).await;
    source.set_pace(SLOW);
    let failed = |count: usize| source.failed_last_answers() == count;
    wait_until("its stop was asked for", || failed(1)).await?;
    source.set_last_answer(LastAnswer::Closed, Some(1));
    wait_until("its stop was asked for again", || failed(2)).await?;
    for host in &deployment.engines {
        host.engine.set_pace(FAST);
    }
    let tallies = streams.tallies(&deployment).await?;
    let whole: usize = tallies.iter().map(|tally| tally.whole).sum();
    let freed: u32 = deployment
        .engines
        .iter()
        .map(|host| host.engine.freed())
        .sum();
    ensure!(
        whole == 1,
        "{tallies:?}, {freed} copies freed\n{}",
        deployment.relays[0].process.log()
    );
    Ok(())
}

/// A prompt whose copy takes 600 ms.
const LONG_PROMPT: u32 = 30_000;

/// Guards against a run that goes on from its copy, and is stopped there with a copy that was being made of it before.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_run_that_has_gone_on_elsewhere_stops_nothing() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 3, 0).await?;
    sleep(START).await;
    let relay = deployment.relays[0].callers;
    let ask = Ask::stream("draft-0", KEY, LONG_PROMPT, EVENTS).with_framing(Framing::Close);
    let heard = tokio::spawn(async move { ask.send(relay).await });
    let engines: Vec<_> = deployment
        .engines
        .iter()
        .map(|host| host.engine.clone())
        .collect();
    let at = || engines.iter().position(|engine| engine.running() > 0);
    wait_until("the run has begun", || at().is_some()).await?;
    let source = at().unwrap_or_default();
    engines[source].set_last_answer(LastAnswer::StopsLate, Some(1));
    deployment.engines[source].scout.signal(Signal::Stop)?;
    sleep(SCOUT_SILENCE).await;
    deployment.leave(source, 2 * SHORT_NOTICE);
    let mut tally = Tally::default();
    tally.add("draft-0", Framing::Close, EVENTS, &heard.await??);
    let others = engines.iter().enumerate();
    let others = others.filter(|(engine, _)| *engine != source);
    let stopped: usize = others.map(|(_, engine)| engine.stopped_runs()).sum();
    let log = deployment.relays[0].process.log();
    ensure!(
        engines[source].failed_last_answers() > 0,
        "no stop was late\n{log}"
    );
    ensure!(
        stopped == 0 && tally.is_right(),
        "{stopped}, {tally:?}\n{log}"
    );
    Ok(())
}

/// Events of a stream that outlasts its engine's notice, and that notice.
const LONG_EVENTS: u32 = 500;
const LONG_NOTICE: Duration = Duration::from_secs(5);

/// Guards against a run that nobody moves since the scout that was permitted to stop it has ended before it did so.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_permitted_stop_is_not_asked_for_is_moved() -> Result<()> {
    let mut deployment = Deployment::start(daemon(), 1, 3, 0).await?;
    sleep(START).await;
    let relay = deployment.relays[0].callers;
    let ask = Ask::stream("draft-0", KEY, LONG_PROMPT, LONG_EVENTS).with_framing(Framing::Close);
    let heard = tokio::spawn(async move { ask.send(relay).await });
    let engines: Vec<_> = deployment
        .engines
        .iter()
        .map(|host| host.engine.clone())
        .collect();
    let at = || engines.iter().position(|engine| engine.running() > 0);
    wait_until("the run has begun", || at().is_some()).await?;
    let source = at().unwrap_or_default();
    deployment.leave(source, LONG_NOTICE);
    sleep(2 * BEGIN).await;
    let first_log = deployment.engines[source].scout.log();
    deployment.engines[source].scout.signal(Signal::Kill)?;
    deployment.restart_scout(source)?;
    sleep(LONG_NOTICE).await;
    deployment.engines[source].server.down().await;
    let mut tally = Tally::default();
    tally.add("draft-0", Framing::Close, LONG_EVENTS, &heard.await??);
    let relay_log = deployment.relays[0].process.log();
    let scout_log = deployment.engines[source].scout.log();
    ensure!(
        tally.whole == 1,
        "{tally:?}\n{relay_log}\n=== first scout\n{first_log}\n=== second scout\n{scout_log}"
    );
    Ok(())
}
