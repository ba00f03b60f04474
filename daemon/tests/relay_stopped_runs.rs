//! Runs that are stopped for a move, as seen by their callers: however the call that stops one is answered, its stream must
//! not end as complete before its last event, and it must not run at two engines.

use std::path::Path;
use std::time::Duration;

use cicada_standins::deployment::Deployment;
use cicada_standins::last_answer::LastAnswer;
use cicada_standins::stream_tally::Streams;
use cicada_standins::stream_tally::Tally;
use cicada_standins::stream_tally::check_runs_once;
use cicada_standins::stream_tally::mixed;
use eyre::Result;
use eyre::WrapErr;
use eyre::ensure;
use testutils::cluster::Signal;
use tokio::time::sleep;

/// Events of a stream: it lasts 3.3 s.
const EVENTS: u32 = 220;

/// Streams for each engine.
const STREAMS: usize = 5;

/// Engines that stay. They take the runs of those that leave.
const STAYING: usize = 3;

/// Time in which scouts get to know each other.
const START: Duration = Duration::from_millis(1_500);

/// Time in which streams begin.
const BEGIN: Duration = Duration::from_millis(300);

/// Time after which a scout that stands still counts as silent.
const SCOUT_SILENCE: Duration = Duration::from_millis(1_000);

/// How long an engine that leaves is there.
const NOTICE: Duration = Duration::from_secs(3);

/// Answers that do not come, or not whole.
const LOST: [LastAnswer; 6] = [
    LastAnswer::Sound,
    LastAnswer::Closed,
    LastAnswer::Reset,
    LastAnswer::Silent,
    LastAnswer::CutHead,
    LastAnswer::CutBody,
];

/// Statuses that make no sense for a run that was stopped.
const STATUSES: [LastAnswer; 6] = [
    LastAnswer::Sound,
    LastAnswer::Status(204),
    LastAnswer::Status(302),
    LastAnswer::Status(404),
    LastAnswer::Status(409),
    LastAnswer::Status(500),
];

/// Whole answers without a handle that can be used.
const HANDLES: [LastAnswer; 6] = [
    LastAnswer::Sound,
    LastAnswer::NoHandle,
    LastAnswer::UnusableHandle,
    LastAnswer::UnknownHandle,
    LastAnswer::NoRoomWithoutHandle,
    LastAnswer::OtherAnswer,
];

/// Calls after which the run goes on, for a while or for good.
const GOING_ON: [LastAnswer; 4] = [
    LastAnswer::Sound,
    LastAnswer::CallLost,
    LastAnswer::StopsLate,
    LastAnswer::NoSuchRun,
];

/// Who moves the runs of an engine that leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mover {
    Scout,
    /// The scout stands still.
    Relay,
}

/// Stops the scouts of the first engines, and waits until relays count them as silent.
async fn silence_scouts(deployment: &mut Deployment, engines: usize) -> Result<()> {
    for host in &mut deployment.engines[..engines] {
        host.scout.signal(Signal::Stop)?;
    }
    sleep(SCOUT_SILENCE).await;
    Ok(())
}

/// Has an engine leave for each of these answers, which its last steps of moves get, while streams run at it. Returns what
/// became of the streams that began there.
async fn play(answers: &[LastAnswer], mover: Mover) -> Result<Vec<(LastAnswer, Tally)>> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 1, answers.len() + STAYING, 0).await?;
    for (host, answer) in deployment.engines.iter().zip(answers) {
        host.engine.set_last_answer(*answer, None);
    }
    sleep(START).await;
    let streams = mixed(STREAMS * deployment.engines.len(), EVENTS);
    let streams = Streams::start(&deployment, streams);
    sleep(BEGIN).await;
    if mover == Mover::Relay {
        silence_scouts(&mut deployment, answers.len()).await?;
    }
    for engine in 0..answers.len() {
        deployment.leave(engine, NOTICE);
    }
    sleep(NOTICE).await;
    for host in &deployment.engines[..answers.len()] {
        host.server.down().await;
    }
    let tallies = streams.tallies(&deployment).await?;
    let log = || deployment.relays[0].process.log();
    check_runs_once(&deployment).wrap_err_with(log)?;
    for (host, answer) in deployment.engines.iter().zip(answers) {
        let failed = host.engine.failed_last_answers();
        ensure!(
            failed > 0 || *answer == LastAnswer::Sound,
            "{answer:?}: no run was stopped\n{}",
            log()
        );
    }
    let cases: Vec<_> = answers.iter().copied().zip(tallies).collect();
    if cases.iter().any(is_sound_but_cut) {
        println!("{}", log());
    }
    Ok(cases)
}

/// Plays these answers, and fails where a caller saw what it must not see.
async fn check(answers: &[LastAnswer], mover: Mover) -> Result<()> {
    let cases = play(answers, mover).await?;
    let lines: Vec<String> = cases
        .iter()
        .map(|(answer, tally)| format!("{answer:?} {mover:?}: {tally:?}"))
        .collect();
    let lines = lines.join("\n");
    println!("{lines}");
    ensure!(cases.iter().all(|(_, tally)| tally.is_right()), "{lines}");
    ensure!(!cases.iter().any(is_sound_but_cut), "{lines}");
    Ok(())
}

fn is_sound_but_cut((answer, tally): &(LastAnswer, Tally)) -> bool {
    *answer == LastAnswer::Sound && tally.cut > 0
}

/// Guards against a run that a scout stopped for a move, of which it has no answer, and whose stream ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_stop_by_a_scout_gets_no_answer_is_not_complete() -> Result<()> {
    check(&[LastAnswer::Sound, LastAnswer::Closed], Mover::Scout).await
}

/// Guards against the same if the relay stopped the run.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_stop_by_a_relay_gets_no_answer_is_not_complete() -> Result<()> {
    check(&[LastAnswer::Sound, LastAnswer::Closed], Mover::Relay).await
}

/// Guards against the same where the answer to the scout does not come, or not whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_stop_by_a_scout_is_answered_in_part_is_not_complete() -> Result<()> {
    check(&LOST, Mover::Scout).await
}

/// Guards against the same where the answer to the relay does not come, or not whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_stop_by_a_relay_is_answered_in_part_is_not_complete() -> Result<()> {
    check(&LOST, Mover::Relay).await
}

/// Guards against a status, as the answer to a scout's stop, that is taken to say that the run was not stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_stop_by_a_scout_gets_a_wrong_status_is_not_complete() -> Result<()> {
    check(&STATUSES, Mover::Scout).await
}

/// Guards against a status, as the answer to a relay's stop, that is taken to say that the run was not stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_stop_by_a_relay_gets_a_wrong_status_is_not_complete() -> Result<()> {
    check(&STATUSES, Mover::Relay).await
}

/// Guards against a run whose memory the scout cannot name, and whose stream ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_scout_stops_without_a_handle_is_not_complete() -> Result<()> {
    check(&HANDLES, Mover::Scout).await
}

/// Guards against a run whose memory the relay cannot name, and whose stream ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_relay_stops_without_a_handle_is_not_complete() -> Result<()> {
    check(&HANDLES, Mover::Relay).await
}

/// Guards against a run that is taken for stopped by a scout while it goes on, and then runs at two engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_scout_does_not_stop_runs_once() -> Result<()> {
    check(&GOING_ON, Mover::Scout).await
}

/// Guards against a run that is taken for stopped by a relay while it goes on, and then runs at two engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_relay_does_not_stop_runs_once() -> Result<()> {
    check(&GOING_ON, Mover::Relay).await
}
