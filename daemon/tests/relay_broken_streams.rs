//! Streams that end in every way, as seen by callers: one that was broken off must not look complete.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cicada_standins::breaks::Break;
use cicada_standins::breaks::Cause;
use cicada_standins::breaks::Framing;
use cicada_standins::breaks::Place;
use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::engine::Engine;
use cicada_standins::engine::Trouble;
use cicada_standins::headers;
use eyre::Result;
use eyre::WrapErr;
use eyre::ensure;
use testutils::cluster::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

/// Number of events of a stream.
const EVENTS: u64 = 12;

/// Events before a break in the middle of a stream.
const SOME: u64 = 5;

const ID: &str = "stream";

/// How the stream of a case is delimited and ends, and whether it may be resumed in another run.
#[derive(Clone, Copy, Debug)]
struct Case {
    framing: Framing,
    cause: Cause,
    place: Place,
    resumable: bool,
}

impl Case {
    /// Every combination of these framings, causes and places, on both kinds of routes.
    fn all(framings: &[Framing], causes: &[Cause], places: &[Place]) -> Vec<Case> {
        let mut cases = Vec::new();
        for framing in framings {
            for cause in causes {
                for place in places {
                    cases.extend([false, true].map(|resumable| Case {
                        framing: *framing,
                        cause: *cause,
                        place: *place,
                        resumable,
                    }));
                }
            }
        }
        cases
    }

    /// The events of the engine's answer if it is complete: its end is between two events and marked as its framing asks,
    /// for want of another mark by an engine that lives on.
    fn complete_after(&self) -> Option<u64> {
        let marked = match self.framing {
            Framing::Length => self.place == Place::After(EVENTS),
            Framing::Chunks => self.cause == Cause::Ended,
            Framing::Close => matches!(self.cause, Cause::Ended | Cause::Closed),
        };
        match self.place {
            Place::After(events) => marked.then_some(events),
            Place::Head | Place::Inside(_) => None,
        }
    }

    /// Sends a stream that ends so, and checks what its caller got.
    async fn check(&self) -> Result<()> {
        let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
        let deployment = Deployment::start(daemon, 1, 2, 0).await?;
        let Case { cause, place, .. } = *self;
        for host in &deployment.engines {
            host.engine.set_framing(self.framing);
            host.engine
                .set_trouble(Trouble::Break(Break { place, cause }));
        }
        let ask = match self.resumable {
            true => Ask::question(ID, KEY, 100, EVENTS as u32),
            false => Ask::stream(ID, KEY, 100, EVENTS as u32),
        };
        let relay = deployment.relays[0].callers;
        let heard = ask.send(relay).await?;
        let engines = deployment.engines.iter();
        let runs = engines.map(|host| host.engine.arrivals().len()).sum();
        let log = deployment.relays[0].process.log();
        self.judge(&heard, runs)
            .wrap_err_with(|| format!("{self:?}\n{log}"))
    }

    fn judge(&self, heard: &Heard, runs: usize) -> Result<()> {
        let events = heard.events(ID)?;
        let got = events.len() as u64;
        ensure!(
            events.into_iter().eq(1..=got),
            "events are missing or out of order"
        );
        let text = std::str::from_utf8(&heard.body)?;
        ensure!(
            text.is_empty() || text.ends_with("\n\n"),
            "a part of an event: {text:?}"
        );
        let (whole, expected) = match (self.complete_after(), self.resumable) {
            (Some(made), _) => (true, (made, 1)),
            (None, true) => (true, (EVENTS, 2)),
            (None, false) => (false, (got, 1)),
        };
        ensure!(heard.whole_success() == whole, "complete: {}", !whole);
        ensure!((got, runs) == expected, "{got} events of {runs} runs");
        Ok(())
    }
}

/// Checks all cases, and fails with those that went wrong.
async fn check_all(cases: &[Case]) -> Result<()> {
    let mut failed = Vec::new();
    for case in cases {
        if let Err(error) = case.check().await {
            failed.push(format!("{error:#}"));
        }
    }
    ensure!(
        failed.is_empty(),
        "{} of {} cases:\n{}",
        failed.len(),
        cases.len(),
        failed.join("\n")
    );
    Ok(())
}

/// Guards against a stream that ends in the middle of an event and is passed on as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_inside_an_event_is_not_complete() -> Result<()> {
    let causes = [Cause::Crash, Cause::Closed, Cause::Ended];
    let place = [Place::Inside(SOME)];
    let mut cases = Case::all(&[Framing::Close], &causes, &place);
    cases.extend(Case::all(&[Framing::Chunks], &[Cause::Ended], &place));
    check_all(&cases).await
}

/// Guards against a stream that ends with its connection, whose engine has died between two events, and that is passed on
/// as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_between_events_by_a_crash_is_not_complete() -> Result<()> {
    let places = [Place::After(0), Place::After(SOME), Place::After(EVENTS)];
    check_all(&Case::all(&[Framing::Close], &[Cause::Crash], &places)).await
}

/// Checks every way to end a stream in this framing, at every place.
async fn check_framing(framing: Framing) -> Result<()> {
    let causes = [Cause::Crash, Cause::Closed, Cause::Reset, Cause::Ended];
    let places = [
        Place::Head,
        Place::After(0),
        Place::After(SOME),
        Place::Inside(SOME),
        Place::After(EVENTS),
    ];
    check_all(&Case::all(&[framing], &causes, &places)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_a_length_is_complete_where_its_engine_says_so() -> Result<()> {
    check_framing(Framing::Length).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_in_chunks_is_complete_where_its_engine_says_so() -> Result<()> {
    check_framing(Framing::Chunks).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_with_its_connection_is_complete_where_its_engine_lives_on() -> Result<()>
{
    check_framing(Framing::Close).await
}

/// Waits until the one run has begun, and returns all engines and the index of its engine.
async fn engine_of_run(deployment: &Deployment) -> Result<(Vec<Arc<Engine>>, usize)> {
    let engines = deployment.engines.iter();
    let engines: Vec<Arc<Engine>> = engines.map(|host| host.engine.clone()).collect();
    let running = || engines.iter().position(|engine| engine.running() == 1);
    wait_until("the run has begun", || running().is_some()).await?;
    let engine = running().unwrap_or_default();
    Ok((engines, engine))
}

/// Runs a stream of so many events in an answer that only its connection ends, and has its engine leave meanwhile. The
/// scout moves the run, or the relay if the scout stands still.
async fn assert_goes_on_when_moved(events: u32, scout_stopped: bool) -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 1, 2, 0).await?;
    for host in &deployment.engines {
        host.engine.set_framing(Framing::Close);
    }
    let relay = deployment.relays[0].callers;
    let ask = Ask::stream(ID, KEY, 1_000, events);
    let stream = tokio::spawn(async move { ask.send(relay).await });
    let (engines, engine) = engine_of_run(&deployment).await?;
    // The scouts get to know each other.
    sleep(Duration::from_millis(1_500)).await;
    if scout_stopped {
        deployment.engines[engine].scout.signal(Signal::Stop)?;
        sleep(Duration::from_millis(1_000)).await;
    }
    // The stream ends while the last part of the copy is on its way.
    engines[engine].set_last_copy(Duration::from_millis(200));
    deployment.leave(engine, Duration::from_secs(3));
    let heard = stream.await??;
    let log = deployment.relays[0].process.log();
    ensure!(heard.whole_success(), "{log}");
    let all: Vec<u64> = (1..=u64::from(events)).collect();
    ensure!(heard.events(ID)? == all, "{:?}\n{log}", heard.events(ID)?);
    let arrivals: Vec<_> = engines
        .iter()
        .flat_map(|engine| engine.arrivals())
        .collect();
    let resumed = arrivals.iter().filter(|arrival| arrival.resumed).count();
    ensure!(arrivals.len() - resumed == 1, "{arrivals:?}\n{log}");
    Ok(())
}

/// Guards against a run that is stopped by a move, in an answer that only its connection ends, and that is passed on as
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_scout_moves_goes_on_without_chunks() -> Result<()> {
    assert_goes_on_when_moved(250, false).await
}

/// Guards against the same if the relay moves the run.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_a_relay_moves_goes_on_without_chunks() -> Result<()> {
    assert_goes_on_when_moved(300, true).await
}

/// Guards against a stream that is taken for a moved one because its engine leaves. No other engine is there to move to.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_ends_at_a_leaving_engine_is_complete_without_chunks() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 1, 1, 0).await?;
    let engine = &deployment.engines[0].engine;
    engine.set_framing(Framing::Close);
    let relay = deployment.relays[0].callers;
    let ask = Ask::stream(ID, KEY, 100, 80);
    let stream = tokio::spawn(async move { ask.send(relay).await });
    wait_until("the run has begun", || engine.running() == 1).await?;
    deployment.leave(0, Duration::from_secs(10));
    let heard = stream.await??;
    let log = deployment.relays[0].process.log();
    ensure!(
        heard.whole_success() && heard.events(ID)?.len() == 80,
        "{log}"
    );
    ensure!(engine.arrivals().len() == 1, "{log}");
    Ok(())
}

/// Guards against a stream that the relay gives up, here for an event without end, and ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_an_endless_event_is_not_complete() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 1, 1, 0).await?;
    let engine = &deployment.engines[0].engine;
    engine.set_trouble(Trouble::EndlessEventAfter(SOME));
    let ask = Ask::stream(ID, KEY, 100, EVENTS as u32);
    let heard = ask.send(deployment.relays[0].callers).await?;
    let log = deployment.relays[0].process.log();
    ensure!(!heard.whole_success(), "{log}");
    ensure!(heard.events(ID)?.len() as u64 == SOME, "{log}");
    Ok(())
}

/// Guards against a broken stream that looks complete to a caller of HTTP/1.0, whose answers end with their connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_reset_for_a_caller_without_chunks() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    for (broken, framing) in [
        (true, Framing::Chunks),
        (true, Framing::Close),
        (false, Framing::Close),
    ] {
        let deployment = Deployment::start(daemon, 1, 1, 0).await?;
        let engine = &deployment.engines[0].engine;
        engine.set_framing(framing);
        if broken {
            let place = Place::Inside(SOME);
            let cause = Cause::Crash;
            engine.set_trouble(Trouble::Break(Break { place, cause }));
        }
        let mut stream = TcpStream::connect(deployment.relays[0].callers).await?;
        let request = format!(
            "POST /drafts/new HTTP/1.0\r\nHost: rites.example\r\nAuthorization: Bearer {KEY}\r\n{}: {ID}\r\n\
             {}: 100,{}\r\n{}: m\r\nContent-Length: 0\r\n\r\n",
            headers::ID,
            headers::COUNTS,
            EVENTS * 4,
            headers::MODEL
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        let end = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        ensure!(answer.starts_with("HTTP/1.0 200"), "{answer}");
        ensure!(!answer.to_lowercase().contains("chunked"), "{answer}");
        ensure!(end.is_err() == broken, "{framing:?}: {end:?}\n{answer}");
        let events = answer.matches("\n\n").count() as u64;
        ensure!(events == if broken { SOME } else { EVENTS }, "{answer}");
    }
    Ok(())
}

/// Has the engine of a stream die after the relay has asked it to stop the run, and returns what the caller heard and how
/// long after. If `refused`, the engine that holds the copy does not take the run.
async fn die_during_move(refused: bool) -> Result<(Heard, Duration, String)> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 1, 2, 0).await?;
    let relay = deployment.relays[0].callers;
    let ask = Ask::stream(ID, KEY, 1_000, 400);
    let stream = tokio::spawn(async move { ask.send(relay).await });
    let (engines, engine) = engine_of_run(&deployment).await?;
    // The relay moves the runs of an engine whose scout is silent.
    deployment.engines[engine].scout.signal(Signal::Stop)?;
    sleep(Duration::from_millis(1_500)).await;
    engines[engine].set_last_copy(Duration::from_secs(2));
    engines[1 - engine].refuse_moved(u32::from(refused));
    deployment.leave(engine, Duration::from_secs(4));
    wait_until("the run is stopped", || engines[engine].copies() == 1).await?;
    deployment.engines[engine].server.down().await;
    let died = Instant::now();
    let heard = stream.await??;
    let log = deployment.relays[0].process.log();
    Ok((heard, died.elapsed(), log))
}

/// Guards against a stream that stays open until its deadline because its engine dies while the relay moves its run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_dies_during_its_move_ends_at_once() -> Result<()> {
    let (heard, took, log) = die_during_move(true).await?;
    assert!(!heard.whole, "{log}");
    assert!(took < Duration::from_secs(2), "{took:?}\n{log}");
    Ok(())
}

/// Guards against a run that is given up with its engine although its copy was complete before the stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_dies_during_its_move_goes_on_from_the_copy() -> Result<()> {
    let (heard, _, log) = die_during_move(false).await?;
    assert!(heard.whole, "{log}");
    let all: Vec<u64> = (1..=400).collect();
    assert_eq!(heard.events(ID)?, all, "{log}");
    let longest = log
        .split("longest=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    let longest: u64 = longest.unwrap_or_default().parse()?;
    assert!(longest < 2_000, "{log}");
    Ok(())
}
