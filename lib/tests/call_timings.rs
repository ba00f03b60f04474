//! Tests of how long the calls of a relay take, and a replay of calls to a service that slows down around a stop.

use std::time::Duration;

use cicada_lib::call_timings::CallEnd;
use cicada_lib::call_timings::CallKey;
use cicada_lib::call_timings::CallTimings;
use cicada_lib::drain_admission::ANSWER_MARGIN;
use cicada_lib::drain_admission::ExpectedTime;
use cicada_lib::drain_admission::LateRequest;
use cicada_lib::ids::Name;
use cicada_lib::time::Time;

/// Time between two calls of a replay, and from its begin to the signal.
const INTERVAL: Duration = Duration::from_millis(20);
const BEFORE: Duration = Duration::from_secs(10);

const GRACE: Duration = Duration::from_secs(8);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn longest(timings: &mut CallTimings, now: u64) -> Option<u64> {
    let longest = timings.longest(at(now), &Name::new("service"));
    longest.map(|longest| longest.as_millis() as u64)
}

fn play(timings: &mut CallTimings, begin: u64, took: u64, end: CallEnd) {
    let key = timings.begin(at(begin), Name::new("service"));
    timings.end(at(begin + took), key, end);
}

/// Guards against slow calls that tell nothing until they end.
#[test]
fn open_calls_count() {
    let mut timings = CallTimings::default();
    play(&mut timings, 0, 30, CallEnd::Answered);
    let key = timings.begin(at(100), Name::new("service"));
    timings.begin(at(100), Name::new("other"));
    assert_eq!(longest(&mut timings, 110), Some(30));
    assert_eq!(longest(&mut timings, 2_100), Some(2_000));
    timings.end(at(3_100), key, CallEnd::Refused);
    assert_eq!(longest(&mut timings, 3_200), Some(30));
}

/// Guards against a service that is taken for a quick one because the callers of its slow calls give up.
#[test]
fn calls_whose_callers_disconnect_count() {
    let mut timings = CallTimings::default();
    play(&mut timings, 0, 30, CallEnd::Answered);
    play(&mut timings, 100, 4_000, CallEnd::Abandoned);
    assert_eq!(longest(&mut timings, 5_000), Some(4_000));
}

/// Guards against a time that no call has taken and that passes for a known one.
#[test]
fn nothing_is_known_without_an_answer() {
    let mut timings = CallTimings::default();
    timings.begin(at(0), Name::new("service"));
    play(&mut timings, 0, 10, CallEnd::Abandoned);
    play(&mut timings, 0, 10, CallEnd::Refused);
    assert_eq!(longest(&mut timings, 1_000), None);
    play(&mut timings, 1_000, 30, CallEnd::Answered);
    for begin in (1_000..120_000).step_by(1_000) {
        play(&mut timings, begin, 10, CallEnd::Abandoned);
    }
    assert_eq!(longest(&mut timings, 120_000), None);
}

/// What became of the calls of a replay that were taken after the signal.
#[derive(Debug, Default)]
struct Outcome {
    whole: u32,
    // Without an answer when the relay had to answer for the server.
    ended: u32,
}

/// Calls take 30 ms, and so much longer from a moment on.
fn replay(repeatable: bool, slows_at: Duration, took: Duration) -> Outcome {
    let (mut timings, service) = (CallTimings::default(), Name::new("service"));
    let (mut outcome, mut running) = (Outcome::default(), Vec::<(Time, CallKey)>::new());
    let (signal, limit) = (Time::ZERO + BEFORE, Duration::from_secs(20));
    let mut now = Time::ZERO;
    while now < signal + GRACE {
        running.retain(|(until, key)| {
            let is_open = *until > now;
            if !is_open {
                timings.end(now, *key, CallEnd::Answered);
            }
            is_open
        });
        let took = match now.since(Time::ZERO) < slows_at {
            true => Duration::from_millis(30),
            false => took,
        };
        let left = GRACE.saturating_sub(now.since(signal));
        let late = (now >= signal).then(|| LateRequest {
            grace: GRACE,
            left,
            time_limit: limit,
            expected: ExpectedTime::Call {
                repeatable,
                slowest: timings.longest(now, &service),
            },
        });
        if late.is_none_or(|late| late.check().is_ok()) {
            let is_in_time = took + ANSWER_MARGIN <= left;
            outcome.whole += u32::from(late.is_some() && is_in_time);
            outcome.ended += u32::from(late.is_some() && !is_in_time);
            running.push((now + took, timings.begin(now, service.clone())));
        }
        now = now + INTERVAL;
    }
    outcome
}

/// Guards against calls that are taken by the former speed of a service that has slowed down, and have no answer at the
/// end.
#[test]
fn calls_to_a_service_that_has_slowed_down_are_answered_whole_or_refused() {
    for (repeatable, headroom) in [(false, 2.5), (true, 1.5)] {
        for took in (1_000..7_000).step_by(500).map(Duration::from_millis) {
            // Its open calls tell enough from here on.
            let least = took.div_f64(headroom) + ANSWER_MARGIN;
            for earlier in (0..5).map(Duration::from_secs) {
                let slows_at = (BEFORE + GRACE).saturating_sub(took + least + earlier);
                let outcome = replay(repeatable, slows_at, took);
                assert_eq!(
                    outcome.ended, 0,
                    "{repeatable} {took:?} {slows_at:?}: {outcome:?}"
                );
            }
        }
    }
}
