//! Runs that are stopped for a move by a process that their relay does not hear of, or not any more, and runs that end by
//! themselves meanwhile. A stream must end as complete after its last event and never before.

use std::future::Future;
use std::iter::repeat_n;
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
use cicada_standins::stream_tally::check_runs_once;
use cicada_standins::stream_tally::mixed;
use eyre::Result;
use eyre::WrapErr;
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

/// How long an engine that leaves is there.
const NOTICE: Duration = Duration::from_secs(3);

/// How long the last part of a copy takes where the scout is lost meanwhile.
const LAST_COPY: Duration = Duration::from_millis(400);

/// How long before the engine leaves its scout is cut off, where that is not at once.
const SOME_TIME: Duration = Duration::from_millis(300);

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Waits for all streams, and returns what became of them together.
async fn finish(streams: Streams, deployment: &Deployment) -> Result<Tally> {
    let tallies = streams.tallies(deployment).await?;
    let log = || deployment.relays[0].process.log();
    check_runs_once(deployment).wrap_err_with(log)?;
    Ok(tallies.into_iter().fold(Tally::default(), Tally::merge))
}

/// Fails with the tallies of all cases if one of them is not as it should be.
fn judge(cases: &[(String, Tally)], is_right: impl Fn(&Tally) -> bool) -> Result<()> {
    let lines: Vec<String> = cases
        .iter()
        .map(|(case, tally)| format!("{case}: {tally:?}"))
        .collect();
    let lines = lines.join("\n");
    println!("{lines}");
    ensure!(cases.iter().all(|(_, tally)| is_right(tally)), "{lines}");
    Ok(())
}

/// Plays all cases at the same time.
async fn play_all<C, F>(
    cases: impl IntoIterator<Item = C>,
    play: impl Fn(C) -> F,
) -> Result<Vec<(String, Tally)>>
where
    C: std::fmt::Debug + Copy,
    F: Future<Output = Result<Tally>> + Send + 'static,
{
    let mut playing = JoinSet::new();
    for case in cases {
        let tally = play(case);
        let name = format!("{case:?}");
        playing.spawn(async move { eyre::Ok((name, tally.await?)) });
    }
    playing.join_all().await.into_iter().collect()
}

/// Waits until runs have been stopped at an engine.
async fn wait_stopped(deployment: &Deployment, engine: usize) -> Result<()> {
    let engine = &deployment.engines[engine].engine;
    wait_until("a run is stopped", || engine.copies() > 0).await
}

/// The engine with the most runs.
fn busiest(deployment: &Deployment) -> usize {
    let running = |engine: &usize| deployment.engines[*engine].engine.running();
    (0..deployment.engines.len())
        .max_by_key(running)
        .unwrap_or_default()
}

/// Who moves runs off a leaving engine, in the case of sound answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SoundMoves {
    ByScout,
    ByRelay,
    /// No engine is there to move to.
    None,
}

/// Streams of the case of sound answers: some end by themselves before they are moved, some after.
const SOUND_STREAMS: u32 = 30;

/// Engines of that case, and those of them that leave if there is an engine to move to.
const SOUND_ENGINES: usize = 4;
const SOUND_LEAVING: usize = 2;

/// Runs close-delimited streams of several lengths, while engines leave.
async fn play_sound(moves: SoundMoves) -> Result<Tally> {
    let mut deployment = Deployment::start(daemon(), 1, SOUND_ENGINES, 0).await?;
    sleep(START).await;
    let lengths = (0..SOUND_STREAMS).map(|number| (Framing::Close, 30 + 7 * number));
    let streams = Streams::start(&deployment, lengths);
    sleep(BEGIN).await;
    let leaving = match moves {
        SoundMoves::None => SOUND_ENGINES,
        SoundMoves::ByScout | SoundMoves::ByRelay => SOUND_LEAVING,
    };
    if moves == SoundMoves::ByRelay {
        for host in &mut deployment.engines[..leaving] {
            host.scout.signal(Signal::Stop)?;
        }
        sleep(SCOUT_SILENCE).await;
    }
    (0..leaving).for_each(|engine| deployment.leave(engine, 2 * NOTICE));
    let tally = finish(streams, &deployment).await?;
    let arrivals = deployment.engines.iter();
    let arrivals = arrivals.flat_map(|host| host.engine.arrivals());
    let moved = arrivals.filter(|arrival| arrival.resumed).count();
    // Where all engines leave, a scout may not know that of another one yet.
    ensure!(moved > 0 || moves == SoundMoves::None, "no run was moved");
    Ok(tally)
}

/// Guards against whole answers that end as broken because their engine leaves or runs are moved off it.
#[tokio::test(flavor = "multi_thread")]
async fn close_delimited_streams_that_end_by_themselves_are_complete() -> Result<()> {
    let moves = [SoundMoves::ByScout, SoundMoves::ByRelay, SoundMoves::None];
    let cases = play_all(moves, play_sound).await?;
    judge(&cases, |tally| tally.whole as u32 == SOUND_STREAMS)
}

/// How runs come to be stopped for a second time, when the answer is lost.
#[derive(Clone, Copy, Debug)]
enum SecondStop {
    /// At the engine that they were moved to, by its scout.
    AtTargetByScout,
    /// The same, by the relay.
    AtTargetByRelay,
    /// At the engine that they went back to, since their target turned them away.
    AfterReturn,
}

async fn play_second_stop(second: SecondStop) -> Result<Tally> {
    let mut deployment = Deployment::start(daemon(), 1, 3, 0).await?;
    sleep(START).await;
    let streams = Streams::start(&deployment, mixed(9, EVENTS));
    sleep(BEGIN).await;
    let engines = deployment.engines.iter();
    let engines: Vec<_> = engines.map(|host| host.engine.clone()).collect();
    let resumed = |engine: usize| engines[engine].arrivals().iter().any(|run| run.resumed);
    match second {
        SecondStop::AtTargetByScout | SecondStop::AtTargetByRelay => {
            deployment.leave(0, NOTICE);
            wait_until("runs were moved", || engines[0].running() == 0).await?;
            sleep(BEGIN).await;
            let target = if resumed(1) { 1 } else { 2 };
            engines[target].set_last_answer(LastAnswer::Closed, None);
            if matches!(second, SecondStop::AtTargetByRelay) {
                deployment.engines[target].scout.signal(Signal::Stop)?;
                sleep(SCOUT_SILENCE).await;
            }
            deployment.leave(target, NOTICE);
            let failed = || engines[target].failed_last_answers() > 0;
            wait_until("a second stop was asked for", failed).await?;
        }
        SecondStop::AfterReturn => {
            for target in [1, 2] {
                engines[target].refuse_moved(2);
            }
            deployment.leave(0, NOTICE);
            wait_until("a run returned", || resumed(0)).await?;
            engines[0].set_last_answer(LastAnswer::Closed, None);
            let failed = || engines[0].failed_last_answers() > 0;
            wait_until("a second stop was asked for", failed).await?;
        }
    }
    finish(streams, &deployment).await
}

/// Guards against a run that was moved before, or went back to its engine, and whose second stop nobody counts on.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_is_stopped_a_second_time_is_not_complete() -> Result<()> {
    let stops = [
        SecondStop::AtTargetByScout,
        SecondStop::AtTargetByRelay,
        SecondStop::AfterReturn,
    ];
    let cases = play_all(stops, play_second_stop).await?;
    judge(&cases, Tally::is_right)
}

/// Who tells that the engine leaves while its scout cannot reach the relay.
#[derive(Clone, Copy, Debug)]
enum Notice {
    StoreAndEngine,
    /// The relay does not hear of it.
    EngineAlone,
}

/// What a cut-off scout's case is: who tells, the answers to the last step, and how long before the notice the link is cut.
#[derive(Clone, Copy, Debug)]
struct CutOff {
    notice: Notice,
    answer: LastAnswer,
    before: Duration,
}

async fn play_cut_off(case: CutOff) -> Result<Tally> {
    let mut deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    for _ in 0..2 {
        deployment.add_linked_engine().await?;
    }
    sleep(START).await;
    let streams = Streams::start(&deployment, mixed(15, EVENTS));
    sleep(BEGIN).await;
    for host in &deployment.engines[1..] {
        if let Some(link) = &host.link {
            link.set_cut(true);
        }
    }
    sleep(case.before).await;
    let leaving = &deployment.engines[1];
    leaving.engine.set_last_answer(case.answer, None);
    match case.notice {
        Notice::StoreAndEngine => deployment.leave(1, NOTICE),
        Notice::EngineAlone => leaving.engine.leave(NOTICE),
    }
    sleep(NOTICE).await;
    leaving.server.down().await;
    for host in &deployment.engines[1..] {
        if let Some(link) = &host.link {
            ensure!(link.dropped() > 0, "{case:?}: nothing was cut off");
            link.set_cut(false);
        }
    }
    // A scout that is not heard stops nothing, so that only the relay's own moves may have stopped runs.
    let stopped = deployment.engines[1].engine.stopped_runs();
    let log = deployment.engines[1].scout.log();
    ensure!(
        stopped > 0 || log.contains("reply=\"none\""),
        "{case:?}: no run was to be stopped\n{log}"
    );
    finish(streams, &deployment).await
}

/// Guards against a run that a scout stops while the relay cannot hear of it, and whose stream ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_cut_off_scout_stops_is_not_complete() -> Result<()> {
    let (store, alone) = (Notice::StoreAndEngine, Notice::EngineAlone);
    let (sound, closed) = (LastAnswer::Sound, LastAnswer::Closed);
    let at_once = Duration::ZERO;
    let cases = [
        (store, sound, at_once),
        (store, closed, SOME_TIME),
        (alone, sound, SOME_TIME),
        (alone, closed, at_once),
    ];
    let cases = cases.map(|(notice, answer, before)| CutOff {
        notice,
        answer,
        before,
    });
    judge(&play_all(cases, play_cut_off).await?, Tally::is_right)
}

/// What becomes of a scout that has just asked for a stop.
#[derive(Clone, Copy, Debug)]
enum ScoutLoss {
    Killed,
    /// It is killed, and another one starts at once.
    Restarted,
    Stopped,
    /// It stands still for this long.
    Paused(Duration),
}

async fn play_scout_loss(loss: ScoutLoss) -> Result<Tally> {
    let mut deployment = Deployment::start(daemon(), 1, 3, 0).await?;
    sleep(START).await;
    let streams = Streams::start(&deployment, repeat_n((Framing::Close, EVENTS), 15));
    sleep(BEGIN).await;
    let leaving = busiest(&deployment);
    deployment.engines[leaving].engine.set_last_copy(LAST_COPY);
    deployment.leave(leaving, NOTICE);
    wait_stopped(&deployment, leaving).await?;
    let scout = &mut deployment.engines[leaving].scout;
    match loss {
        ScoutLoss::Killed => scout.signal(Signal::Kill)?,
        ScoutLoss::Restarted => {
            scout.signal(Signal::Kill)?;
            deployment.restart_scout(leaving)?;
        }
        ScoutLoss::Stopped => scout.signal(Signal::Stop)?,
        ScoutLoss::Paused(time) => {
            scout.signal(Signal::Stop)?;
            sleep(time).await;
            scout.signal(Signal::Cont)?;
        }
    }
    finish(streams, &deployment).await
}

/// Guards against a run whose scout is lost right after it has asked for the stop, and whose stream ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_scout_is_lost_after_the_stop_is_not_complete() -> Result<()> {
    let losses = [
        ScoutLoss::Killed,
        ScoutLoss::Restarted,
        ScoutLoss::Stopped,
        ScoutLoss::Paused(Duration::from_millis(600)),
        ScoutLoss::Paused(Duration::from_millis(2_500)),
    ];
    judge(&play_all(losses, play_scout_loss).await?, Tally::is_right)
}

/// Pace of an engine while its scout learns, and when its runs are late.
const FAST: Duration = Duration::from_millis(5);
const SLOW: Duration = Duration::from_millis(300);

/// Events of a run that a planned move is to stop.
const PLANNED_EVENTS: u32 = 800;

/// Runs a stream at an engine that becomes slow, with planned moves on, whose last step is answered so.
async fn play_planned(answer: LastAnswer) -> Result<Tally> {
    let mut deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    deployment.set(0, "grace = 8\n", "grace = 8\nhandoff = on\nrescue = on\n")?;
    let process = &deployment.relays[0].process;
    wait_until("the settings were read again", || {
        process.log().contains("were read again")
    })
    .await?;
    for host in &deployment.engines {
        host.engine.set_pace(FAST);
        host.engine.set_last_answer(answer, None);
    }
    sleep(START).await;
    let streams = [(Framing::Close, PLANNED_EVENTS)].into_iter();
    let streams = Streams::start(&deployment, streams);
    let running = |engine: usize| deployment.engines[engine].engine.running();
    wait_until("the run has begun", || running(0) + running(1) == 1).await?;
    let source = &deployment.engines[usize::from(running(1) == 1)].engine;
    sleep(START).await;
    source.set_pace(SLOW);
    let failed = || source.failed_last_answers() > 0;
    wait_until("its stop was asked for", failed)
        .await
        .wrap_err_with(|| process.log())?;
    source.set_pace(FAST);
    finish(streams, &deployment).await
}

/// Guards against a run that a planned move stopped, off an engine that stays, and whose stream ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_planned_stop_gets_no_answer_is_not_complete() -> Result<()> {
    let answers = [
        LastAnswer::Closed,
        LastAnswer::Silent,
        LastAnswer::CutBody,
        LastAnswer::Status(500),
        LastAnswer::NoHandle,
        LastAnswer::CallLost,
        LastAnswer::StopsLate,
    ];
    judge(&play_all(answers, play_planned).await?, Tally::is_right)
}

/// Calls to engines that are not streams.
const PLAIN_CALLS: usize = 12;

/// Has an engine leave under plain calls to the engines' service, on a route of this type.
async fn play_plain(kind: &'static str) -> Result<Tally> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    deployment.reconfigure(|config| {
        if let Some(routes) = config["routes"].as_array_mut() {
            let mut route = routes[2].clone();
            route["name"] = json!("sums");
            route["pathPrefix"] = json!("/sums/");
            route["type"] = json!(kind);
            route["service"] = json!("liturgy");
            route["timeoutMs"] = json!(20_000);
            routes.push(route);
        }
    });
    sleep(START).await;
    let relay = deployment.relays[0].callers;
    let mut calls = JoinSet::new();
    for number in 0..PLAIN_CALLS {
        let id = format!("sum-{number}");
        let ask = Ask::stream(&id, KEY, 300, EVENTS)
            .with_path("/sums/1")
            .with_framing(Framing::Close);
        calls.spawn(async move { (id, ask.send(relay).await) });
    }
    sleep(BEGIN).await;
    deployment.leave(0, NOTICE);
    let mut tally = Tally::default();
    for (id, heard) in calls.join_all().await {
        tally.add(&id, Framing::Close, EVENTS, &heard?);
    }
    Ok(tally)
}

/// Guards against a part of a plain answer, whose run was stopped for a move, that is passed on as the whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_whose_run_is_stopped_is_not_complete() -> Result<()> {
    let kinds = ["idempotent", "non_idempotent"];
    judge(&play_all(kinds, play_plain).await?, Tally::is_right)
}
