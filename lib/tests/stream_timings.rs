//! Tests of how long the streams of a relay take, and a replay of streams that come while it is being stopped.

use std::time::Duration;

use cicada_lib::drain_admission::LateRequest;
use cicada_lib::drain_admission::STOP_MARGIN;
use cicada_lib::drain_admission::StreamLength;
use cicada_lib::ids::Name;
use cicada_lib::routing::ServerKey;
use cicada_lib::stream_timings::SentStream;
use cicada_lib::stream_timings::StreamEvidence;
use cicada_lib::stream_timings::StreamKey;
use cicada_lib::stream_timings::StreamTimings;
use cicada_lib::time::Time;
use slotmap::SlotMap;

/// Tokens per event.
const EVENT_TOKENS: u32 = 4;

/// Time between two streams of a replay, and from its begin to the signal.
const INTERVAL: Duration = Duration::from_millis(150);
const BEFORE: Duration = Duration::from_secs(6);

/// Streams that are sent later than this after the signal must not be cut.
const EXCUSED: Duration = Duration::from_secs(3);

/// Step of a replay.
const STEP: Duration = Duration::from_millis(5);

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn at(value: u64) -> Time {
    Time::ZERO + millis(value)
}

/// Keys of two engines.
fn engines() -> [ServerKey; 2] {
    let mut keys = SlotMap::<ServerKey, ()>::with_key();
    [keys.insert(()), keys.insert(())]
}

fn sent(engine: ServerKey, prompt: u32) -> SentStream {
    SentStream {
        id: Name::new("stream"),
        service: Name::new("service"),
        engine,
        prompt,
        accepted: None,
    }
}

/// Plays a stream whose events arrive one by one, and leaves it open.
fn play(
    timings: &mut StreamTimings,
    engine: ServerKey,
    begin: u64,
    first: u64,
    gap: u64,
    events: u64,
) -> (StreamKey, u64) {
    let key = timings.begin(at(begin), sent(engine, 200));
    for event in 0..events {
        timings.record_events(at(begin + first + gap * event), key, event + 1);
    }
    (key, begin + first + gap * events.saturating_sub(1))
}

fn evidence(
    timings: &mut StreamTimings,
    now: u64,
    engine: ServerKey,
    prompt: u32,
) -> StreamEvidence {
    timings.evidence(at(now), &Name::new("service"), engine, prompt)
}

fn gap(evidence: &StreamEvidence) -> Option<Duration> {
    evidence.gap.map(|gap| gap.value)
}

fn first_event(evidence: &StreamEvidence) -> Option<Duration> {
    evidence.first_event.map(|first| first.value)
}

/// Guards against open streams that tell nothing until they end.
#[test]
fn an_open_stream_tells_the_pace_of_its_engine() {
    let [engine, other] = engines();
    let mut timings = StreamTimings::default();
    let (_, now) = play(&mut timings, engine, 0, 1_000, 80, 30);
    let known = evidence(&mut timings, now, engine, 200);
    assert_eq!(first_event(&known), Some(millis(1_000)));
    assert_eq!(gap(&known), Some(millis(80)));
    assert_eq!(known.pause, millis(80));
    assert_eq!(gap(&evidence(&mut timings, now, other, 200)), None);
}

/// Guards against a stream that ended early, or was read slowly, and hides the pace of its engine or invents one.
#[test]
fn only_the_arrival_of_events_counts() {
    let [engine, _] = engines();
    let mut timings = StreamTimings::default();
    // It ends long after its last event.
    let (key, _) = play(&mut timings, engine, 0, 100, 50, 12);
    timings.end(at(60_000), key);
    let known = evidence(&mut timings, 60_000, engine, 200);
    assert_eq!(gap(&known), Some(millis(50)));
}

/// Guards against two events that arrive together and make an engine look infinitely fast.
#[test]
fn short_streams_tell_a_pace_only_together() {
    let [engine, _] = engines();
    let mut timings = StreamTimings::default();
    for stream in 0..2 {
        let known = evidence(&mut timings, 10_000, engine, 200);
        assert_eq!(gap(&known), None, "{stream}");
        let (key, end) = play(&mut timings, engine, 1_000 * stream, 100, 30, 3);
        timings.end(at(end), key);
    }
    let known = evidence(&mut timings, 10_000, engine, 200);
    assert_eq!(gap(&known), Some(millis(30)));
}

/// Guards against an engine that has stopped making events and passes for as quick as it was.
#[test]
fn a_silent_stream_raises_what_is_known() {
    let [engine, _] = engines();
    let mut timings = StreamTimings::default();
    let (_, end) = play(&mut timings, engine, 0, 100, 20, 100);
    let known = evidence(&mut timings, end + 3_000, engine, 200);
    assert!(known.pause >= millis(3_000), "{known:?}");
    assert!(gap(&known) > Some(millis(60)), "{known:?}");
    let waiting = timings.begin(at(end), sent(engine, 200));
    let known = evidence(&mut timings, end + 2_000, engine, 200);
    assert_eq!(first_event(&known), Some(millis(2_000)));
    // One that is given up leaves the same trace.
    timings.end(at(end + 2_500), waiting);
    let known = evidence(&mut timings, end + 5_000, engine, 200);
    assert_eq!(first_event(&known), Some(millis(2_500)));
}

/// Guards against a wait without an event that passes for an observed one.
#[test]
fn a_wait_without_an_event_alone_tells_nothing() {
    let [engine, _] = engines();
    let mut timings = StreamTimings::default();
    let key = timings.begin(at(0), sent(engine, 200));
    assert_eq!(first_event(&evidence(&mut timings, 500, engine, 200)), None);
    timings.end(at(500), key);
    assert_eq!(first_event(&evidence(&mut timings, 600, engine, 200)), None);
}

/// Guards against a long prompt that is expected to be read as quickly as short ones.
#[test]
fn longer_prompts_wait_longer() {
    let [engine, _] = engines();
    let mut timings = StreamTimings::default();
    play(&mut timings, engine, 0, 300, 20, 2);
    let wait =
        |timings: &mut StreamTimings, prompt| first_event(&evidence(timings, 500, engine, prompt));
    assert_eq!(wait(&mut timings, 100), Some(millis(300)));
    assert_eq!(wait(&mut timings, 2_000), Some(millis(3_000)));
}

/// Guards against a run that has moved and tells the pace of its former engine as that of the new one.
#[test]
fn a_moved_stream_tells_of_its_new_engine() {
    let [former, new] = engines();
    let mut timings = StreamTimings::default();
    let (key, end) = play(&mut timings, former, 0, 100, 20, 60);
    timings.move_to(key, new);
    for event in 1..=40 {
        timings.record_events(at(end + 90 * event), key, 60 + event);
    }
    let now = end + 90 * 40;
    assert_eq!(
        gap(&evidence(&mut timings, now, former, 200)),
        Some(millis(20))
    );
    assert_eq!(
        gap(&evidence(&mut timings, now, new, 200)),
        Some(millis(90))
    );
}

/// Guards against engines that are judged for good by what they did once.
#[test]
fn observations_are_forgotten() {
    let [engine, _] = engines();
    let mut timings = StreamTimings::default();
    let (key, end) = play(&mut timings, engine, 40_000, 500, 200, 20);
    timings.end(at(end), key);
    let known = evidence(&mut timings, end + 20_000, engine, 200);
    assert_eq!(gap(&known), Some(millis(200)));
    let age = known.gap.map(|gap| at(end + 20_000).since(gap.at));
    assert!(age.is_some_and(|age| age <= millis(21_000)), "{known:?}");
    let known = evidence(&mut timings, end + 70_000, engine, 200);
    assert_eq!(known, StreamEvidence::default());
}

/// An engine of a replay: the time to the first event, and between two, before and after a moment.
#[derive(Clone, Copy, Debug)]
struct Pace {
    first: u64,
    gap: u64,
    // From this time after the signal on, the gaps are so many times as long.
    slows_at: u64,
    factor: u64,
}

const QUICK: Pace = Pace {
    first: 200,
    gap: 20,
    slows_at: u64::MAX / 2,
    factor: 1,
};

/// What became of streams that were sent too late to be excused.
#[derive(Debug, Default)]
struct Outcome {
    whole: u32,
    refused: u32,
    cut: u32,
    // Refused though they would have been whole.
    needlessly: u32,
}

/// When the events of a stream that is sent at `begin` arrive. The signal comes after [`BEFORE`].
fn arrivals(pace: Pace, begin: Time, events: u32) -> Vec<Time> {
    let slow_from = Time::ZERO + BEFORE + millis(pace.slows_at);
    let mut now = begin + millis(pace.first);
    let mut arrivals = vec![now];
    for _ in 1..events {
        let factor = if now >= slow_from { pace.factor } else { 1 };
        now = now + millis(pace.gap * factor);
        arrivals.push(now);
    }
    arrivals
}

/// A stream of a replay that runs.
struct Running {
    key: StreamKey,
    arrivals: Vec<Time>,
    seen: usize,
}

/// Streams of so many events arrive evenly before and after the signal, until the end of the grace period.
fn replay(pace: Pace, grace: Duration, events: u32, begin: Duration) -> Outcome {
    let [engine, _] = engines();
    let mut timings = StreamTimings::default();
    let (signal, mut outcome) = (Time::ZERO + BEFORE, Outcome::default());
    let mut running: Vec<Running> = Vec::new();
    let (mut now, mut next) = (Time::ZERO + begin, Time::ZERO + begin);
    while now < signal + grace {
        for stream in &mut running {
            let seen = stream.arrivals.iter().filter(|at| **at <= now).count();
            if seen > stream.seen {
                stream.seen = seen;
                timings.record_events(now, stream.key, seen as u64);
            }
        }
        running.retain(|stream| {
            let is_open = stream.seen < stream.arrivals.len();
            if !is_open {
                timings.end(now, stream.key);
            }
            is_open
        });
        if now >= next {
            next = next + INTERVAL;
            let length = StreamLength {
                expected: events * EVENT_TOKENS / 2,
                longest: events * EVENT_TOKENS,
                event_tokens: EVENT_TOKENS,
            };
            let observed = timings.evidence(now, &Name::new("service"), engine, 200);
            let late = (now >= signal).then(|| LateRequest {
                grace,
                left: grace - now.since(signal),
                time_limit: 10 * grace,
                expected: length.time(&observed),
            });
            let taken = late.is_none_or(|late| late.check().is_ok());
            let arrivals = arrivals(pace, now, events);
            let is_in_time = arrivals
                .last()
                .is_some_and(|end| *end <= signal + (grace - STOP_MARGIN));
            if now.since(signal) > EXCUSED {
                outcome.whole += u32::from(taken && is_in_time);
                outcome.cut += u32::from(taken && !is_in_time);
                outcome.refused += u32::from(!taken);
                outcome.needlessly += u32::from(!taken && is_in_time);
            }
            if taken {
                let key = timings.begin(now, sent(engine, 200));
                let stream = Running {
                    key,
                    arrivals,
                    seen: 0,
                };
                running.push(stream);
            }
        }
        now = now + STEP;
    }
    outcome
}

/// Guards against late streams that are cut, whatever the speed of their engine, the grace period, and how long the relay
/// has been running.
#[test]
fn late_streams_are_whole_or_refused() {
    for grace in [4, 8, 16, 30].map(Duration::from_secs) {
        for begin in [Duration::ZERO, BEFORE - millis(500), BEFORE] {
            for (first, gap) in [
                (200, 20),
                (1_000, 80),
                (1_000, 100),
                (200, 240),
                (4_500, 20),
                (100, 1_500),
            ] {
                for events in [2, 6, 40, 150] {
                    let pace = Pace {
                        first,
                        gap,
                        ..QUICK
                    };
                    let outcome = replay(pace, grace, events, begin);
                    assert_eq!(
                        outcome.cut, 0,
                        "{grace:?} {begin:?} {pace:?} {events}: {outcome:?}"
                    );
                }
            }
        }
    }
}

/// Guards against late streams that are cut because their engine slows down to half its speed during the stop.
#[test]
fn late_streams_are_not_cut_where_engines_slow_down() {
    for slows_at in (0..8_000).step_by(250) {
        for (first, gap) in [(200, 20), (200, 40), (1_000, 40)] {
            let pace = Pace {
                first,
                gap,
                slows_at,
                factor: 2,
            };
            let outcome = replay(pace, Duration::from_secs(8), 40, Duration::ZERO);
            assert_eq!(outcome.cut, 0, "{pace:?}: {outcome:?}");
        }
    }
}

/// Guards against a stop that refuses most late streams of sound engines.
#[test]
fn late_streams_of_sound_engines_are_taken() {
    for (grace, first, gap, events) in [
        (8, 200, 20, 40),
        (8, 1_000, 40, 6),
        (16, 1_000, 80, 40),
        (30, 1_000, 80, 40),
    ] {
        let pace = Pace {
            first,
            gap,
            ..QUICK
        };
        let outcome = replay(pace, Duration::from_secs(grace), events, Duration::ZERO);
        assert!(
            outcome.whole > outcome.needlessly,
            "{grace} {pace:?} {events}: {outcome:?}"
        );
    }
}
