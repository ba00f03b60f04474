//! Runs that are stopped for a move, as seen by their callers: however the call that stops one is answered, its stream must
//! not end as complete before its last event, and it must not run at two engines.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use cicada_standins::breaks::Framing;
use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::last_answer::LastAnswer;
use eyre::Result;
use eyre::ensure;
use testutils::cluster::Signal;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Events of a stream: it lasts 3.3 s.
const EVENTS: u32 = 220;

/// Streams for each engine.
const STREAMS: usize = 5;

/// Engines that stay. They take the runs of those that leave.
const STAYING: usize = 2;

/// Time in which scouts get to know each other.
const START: Duration = Duration::from_millis(1_500);

/// Time after which a scout that stands still counts as silent.
const SCOUT_SILENCE: Duration = Duration::from_millis(1_000);

/// How long an engine that leaves is there.
const NOTICE: Duration = Duration::from_secs(3);

/// Who moves the runs of an engine that leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mover {
    Scout,
    /// The scout stands still.
    Relay,
}

/// A stream that is under way.
struct Stream {
    id: String,
    framing: Framing,
    heard: JoinHandle<Result<Heard>>,
}

/// What became of the streams of a case.
#[derive(Debug, Default)]
struct Tally {
    whole: usize,
    cut: usize,
    // Streams that looked complete before their last event, with the events that they had.
    early: Vec<String>,
    // Everything else that a caller must not see.
    wrong: Vec<String>,
}

impl Tally {
    fn add(&mut self, stream: &str, heard: Result<Heard>) -> Result<()> {
        let heard = heard?;
        let id = stream.split(' ').next().unwrap_or_default();
        let events = heard.events(id)?;
        let got = events.len() as u64;
        let torn = !heard.body.is_empty() && !heard.body.ends_with(b"\n\n");
        if torn || !events.into_iter().eq(1..=got) || got > u64::from(EVENTS) {
            self.wrong
                .push(format!("{stream}: events are missing, doubled or torn"));
        }
        match (heard.whole_success(), got == u64::from(EVENTS)) {
            (true, true) => self.whole += 1,
            (true, false) => self.early.push(format!("{stream}: {got} of {EVENTS}")),
            (false, _) => self.cut += 1,
        }
        Ok(())
    }

    fn is_right(&self) -> bool {
        self.early.is_empty() && self.wrong.is_empty()
    }
}

/// Starts streams of both framings, as many for each engine.
fn start_streams(deployment: &Deployment) -> Vec<Stream> {
    let relay = deployment.relays[0].callers;
    let streams = 0..STREAMS * deployment.engines.len();
    let streams = streams.map(|number| {
        let framing = match number % 3 {
            0 => Framing::Chunks,
            _ => Framing::Close,
        };
        let id = format!("draft-{number}");
        let ask = Ask::stream(&id, KEY, 300, EVENTS).with_framing(framing);
        let heard = tokio::spawn(async move { ask.send(relay).await });
        Stream { id, framing, heard }
    });
    streams.collect()
}

/// The engine at which each run began.
fn first_engines(deployment: &Deployment) -> BTreeMap<String, usize> {
    let engines = deployment.engines.iter().enumerate();
    let runs = engines.flat_map(|(engine, host)| {
        let arrivals = host.engine.arrivals().into_iter();
        let begun = arrivals.filter(|arrival| !arrival.resumed);
        begun.map(move |arrival| (arrival.id, engine))
    });
    runs.collect()
}

/// Stops the scouts of these engines, and waits until relays count them as silent.
async fn silence_scouts(deployment: &mut Deployment, engines: usize) -> Result<()> {
    for host in &mut deployment.engines[..engines] {
        host.scout.signal(Signal::Stop)?;
    }
    sleep(SCOUT_SILENCE).await;
    Ok(())
}

/// Fails if a run was begun twice, or resumed while it still ran.
fn check_runs(deployment: &Deployment) -> Result<()> {
    let engines = deployment.engines.iter();
    let doubled: Vec<String> = engines
        .clone()
        .flat_map(|host| host.engine.doubled_runs())
        .collect();
    ensure!(doubled.is_empty(), "ran at two engines: {doubled:?}");
    let begun = engines.flat_map(|host| host.engine.arrivals());
    let begun = begun.filter(|arrival| !arrival.resumed).count();
    let runs = first_engines(deployment).len();
    ensure!(begun == runs, "{begun} runs of {runs} requests");
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
    let streams = start_streams(&deployment);
    sleep(Duration::from_millis(300)).await;
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
    let engines = first_engines(&deployment);
    let mut tallies: Vec<Tally> = Vec::new();
    tallies.resize_with(deployment.engines.len(), Tally::default);
    for stream in streams {
        let engine = engines.get(&stream.id).copied();
        let heard = stream.heard.await?;
        let Some(engine) = engine else {
            continue;
        };
        let name = format!("{} {:?}", stream.id, stream.framing);
        tallies[engine].add(&name, heard)?;
    }
    let log = || deployment.relays[0].process.log();
    if let Err(error) = check_runs(&deployment) {
        eyre::bail!("{error}\n{}", log());
    }
    for (host, answer) in deployment.engines.iter().zip(answers) {
        let failed = host.engine.failed_last_answers();
        ensure!(
            failed > 0 || *answer == LastAnswer::Sound,
            "{answer:?}: no run was stopped\n{}",
            log()
        );
    }
    let cases = answers.iter().copied().zip(tallies);
    Ok(cases.collect())
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
    let is_cut =
        |(answer, tally): &(LastAnswer, Tally)| *answer == LastAnswer::Sound && tally.cut > 0;
    ensure!(!cases.iter().any(is_cut), "{lines}");
    Ok(())
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
