//! Planned stops of a relay: streams that are sent when the load balancer has already turned away.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use eyre::Result;
use http::StatusCode;
use testutils::cluster::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// A stream that is sent later than this after SIGTERM must not be cut.
const EXCUSED: Duration = Duration::from_secs(3);

/// Time between two streams.
const INTERVAL: Duration = Duration::from_millis(250);

/// Events of a stream that is open when its relay is stopped, and still at the end.
const LONG_EVENTS: u32 = 600;

/// A stop of a relay, and its engine.
#[derive(Clone, Copy)]
struct Stop {
    grace: Duration,
    // Events of each stream.
    events: u32,
    first_wait: Duration,
    gap: Duration,
    // In the middle of each stream.
    pause: Duration,
    // Streams that end before the signal: their number, their events, and those that their callers allow.
    before: u32,
    before_events: u32,
    before_allowed: u32,
    // Whether a long stream is open.
    long: bool,
    // Time between the two halves of a request, the second one of which is body.
    body_pause: Duration,
    // Whether streams are asked for again from their second event on.
    resumed: bool,
    // Time between events at a second engine, if there is one.
    second_gap: Option<Duration>,
}

/// An engine that makes an event every 20 ms, 0.2 s after it was asked.
const SOUND: Stop = Stop {
    grace: Duration::from_secs(8),
    events: 40,
    first_wait: Duration::from_millis(200),
    gap: Duration::from_millis(20),
    pause: Duration::ZERO,
    before: 1,
    before_events: 40,
    before_allowed: 40,
    long: true,
    body_pause: Duration::ZERO,
    resumed: false,
    second_gap: None,
};

/// A body that is longer than any head.
const BODY: [u8; 2_000] = [b'x'; 2_000];

/// What became of the streams that were sent too late to be excused.
#[derive(Debug, Default)]
struct Outcome {
    whole: u32,
    refused: u32,
    // Connections that were not accepted.
    turned_away: u32,
    lost: Vec<String>,
}

/// How a stream ended, by its caller and its engine.
enum End {
    Whole,
    Refused,
    TurnedAway,
    Lost(String),
}

impl Stop {
    fn prepare(&self, deployment: &Deployment) {
        let engine = &deployment.engines[0].engine;
        engine.set_first_wait(self.first_wait);
        engine.set_pace(self.gap);
        engine.set_pause(u64::from(self.events / 2), self.pause);
        for (second, gap) in deployment.engines.iter().skip(1).zip(self.second_gap) {
            second.engine.set_first_wait(self.first_wait);
            second.engine.set_pace(gap);
        }
    }

    fn ask(&self, id: &str) -> Ask {
        match self.resumed {
            true => Ask::question(id, KEY, 200, self.events).after_event(1),
            false => Ask::stream(id, KEY, 200, self.events),
        }
    }

    /// Sends streams from the signal to the end of the grace period, and returns what became of the late ones.
    async fn play(&self) -> Result<Outcome> {
        let mut deployment = start(self).await?;
        let relay = deployment.relays[0].callers;
        self.prepare(&deployment);
        let engine = deployment.engines[0].engine.clone();
        engine.set_most_events(self.before_events.into());
        for number in 0..self.before {
            let ask = Ask::stream(&format!("before-{number}"), KEY, 200, self.before_allowed);
            assert!(ask.send(relay).await?.whole);
        }
        engine.set_most_events(u64::MAX);
        let long = Ask::stream("long", KEY, 200, LONG_EVENTS);
        let long = self
            .long
            .then(|| tokio::spawn(async move { long.send(relay).await }));
        sleep(Duration::from_millis(1_500)).await;
        deployment.relays[0].process.signal(Signal::Term)?;
        let outcome = self.send_streams(&deployment, relay).await;
        if let Some(long) = long {
            drop(long.await);
        }
        let status = deployment.relays[0].process.wait_end(PATIENCE).await?;
        let log = deployment.relays[0].process.log();
        assert!(status.success(), "{status}: {log}");
        assert!(outcome.lost.is_empty(), "{outcome:?}: {log}");
        Ok(outcome)
    }

    async fn send_streams(&self, deployment: &Deployment, relay: SocketAddr) -> Outcome {
        let begun = Instant::now();
        let mut streams = JoinSet::new();
        for number in 0_u32.. {
            sleep_until(begun + INTERVAL * number).await;
            if begun.elapsed() > self.grace {
                break;
            }
            let id = format!("late-{number}");
            let (ask, pause) = (self.ask(&id).with_body(&BODY), self.body_pause);
            streams.spawn(async move {
                let sent = begun.elapsed() + pause;
                (id, sent, ask.send_slowly(relay, pause).await)
            });
        }
        let mut outcome = Outcome::default();
        for (id, sent, heard) in streams.join_all().await {
            if sent <= EXCUSED {
                continue;
            }
            match end_of(deployment, &id, heard) {
                End::Whole => outcome.whole += 1,
                End::Refused => outcome.refused += 1,
                End::TurnedAway => outcome.turned_away += 1,
                End::Lost(how) => outcome.lost.push(format!("{id} after {sent:?}: {how}")),
            }
        }
        outcome
    }
}

fn end_of(deployment: &Deployment, id: &str, heard: Result<Heard>) -> End {
    let engines = deployment.engines.iter();
    let mut arrivals = engines.flat_map(|host| host.engine.arrivals());
    let ran = arrivals.any(|arrival| arrival.id == id);
    match heard {
        Ok(heard) if heard.whole_success() => End::Whole,
        Ok(heard) if !ran && heard.status == StatusCode::SERVICE_UNAVAILABLE => End::Refused,
        Err(_) if !ran => End::TurnedAway,
        Ok(heard) => End::Lost(format!(
            "ran: {ran}, {} whole: {}",
            heard.status, heard.whole
        )),
        Err(error) => End::Lost(format!("ran, {error}")),
    }
}

/// Starts a relay with its engines.
async fn start(stop: &Stop) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let engines = 1 + usize::from(stop.second_gap.is_some());
    let mut deployment = Deployment::start(daemon, 1, engines, 0).await?;
    let grace = format!("grace = {}", stop.grace.as_secs());
    deployment.set(0, "grace = 8", &grace)?;
    if stop.grace != SOUND.grace {
        let log = |text: &str| deployment.relays[0].process.log().contains(text);
        wait_until("the change is applied", || log("were read again")).await?;
    }
    Ok(deployment)
}

/// Guards against streams that are cut because a short stream before the stop seemed to show a quick engine.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_of_an_engine_that_short_streams_tell_little_of_are_not_cut() -> Result<()> {
    let stop = Stop {
        first_wait: Duration::from_secs(1),
        gap: Duration::from_millis(80),
        before_events: 2,
        before_allowed: 2,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are cut because an assumed time stood in for an unknown one.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_are_not_cut_where_nothing_was_observed() -> Result<()> {
    let stop = Stop {
        first_wait: Duration::from_secs(1),
        gap: Duration::from_millis(100),
        before: 0,
        long: false,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are cut because the observed time between events was capped.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_of_a_very_slow_engine_are_not_cut() -> Result<()> {
    let stop = Stop {
        events: 10,
        gap: Duration::from_millis(500),
        before_events: 10,
        before_allowed: 10,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are cut because streams before them were shorter than their callers allowed.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_are_not_cut_where_earlier_ones_ended_early() -> Result<()> {
    let stop = Stop {
        gap: Duration::from_millis(100),
        before_events: 10,
        before_allowed: 400,
        long: false,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are cut because they pause in the middle, as those before them did.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_that_pause_are_not_cut() -> Result<()> {
    let stop = Stop {
        events: 10,
        pause: Duration::from_millis(4_500),
        before_events: 10,
        before_allowed: 10,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are cut because they wait long for their first event, as those before them did.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_whose_first_event_comes_late_are_not_cut() -> Result<()> {
    let stop = Stop {
        events: 10,
        first_wait: Duration::from_millis(4_500),
        before_events: 10,
        before_allowed: 10,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are judged when their heads arrive, and whose bodies arrive so late that they are cut.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_whose_bodies_arrive_late_are_not_cut() -> Result<()> {
    let stop = Stop {
        gap: Duration::from_millis(60),
        body_pause: Duration::from_millis(1_300),
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are asked for again, are taken because their rest seems short, and are cut.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_that_are_resumed_are_not_cut() -> Result<()> {
    let stop = Stop {
        first_wait: Duration::from_secs(1),
        gap: Duration::from_millis(80),
        resumed: true,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are taken by what was observed of another engine.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_are_not_cut_where_another_engine_is_slow() -> Result<()> {
    let stop = Stop {
        second_gap: Some(Duration::from_millis(130)),
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against streams that are taken by an assumed time long after the load balancer has turned away.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_are_not_cut_after_a_long_grace_period() -> Result<()> {
    let stop = Stop {
        grace: Duration::from_secs(16),
        first_wait: Duration::from_millis(4_500),
        gap: Duration::from_millis(300),
        before: 0,
        long: false,
        ..SOUND
    };
    stop.play().await?;
    Ok(())
}

/// Guards against a relay that refuses streams which sound engines would have ended in time.
#[tokio::test(flavor = "multi_thread")]
async fn late_streams_of_a_quick_engine_are_served() -> Result<()> {
    let outcome = SOUND.play().await?;
    // Those of the first two seconds end in time even if they take twice as long.
    assert!(outcome.whole >= 8, "{outcome:?}");
    Ok(())
}
