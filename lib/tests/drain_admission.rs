//! Tests of which requests a relay still takes while it is being stopped.

use std::time::Duration;

use cicada_lib::drain_admission::ANSWER_MARGIN;
use cicada_lib::drain_admission::ExpectedTime;
use cicada_lib::drain_admission::LateRefusal;
use cicada_lib::drain_admission::LateRequest;
use cicada_lib::drain_admission::STOP_MARGIN;
use cicada_lib::drain_admission::StreamLength;
use cicada_lib::drain_admission::first_event_limit;
use cicada_lib::recent_max::Observed;
use cicada_lib::recent_max::RecentMax;
use cicada_lib::stream_timings::StreamEvidence;
use cicada_lib::time::Time;
use fastrand::Rng;
use quickcheck::quickcheck;

const GRACE: Duration = Duration::from_secs(8);

/// The time limit of the calls' route, and the time between two requests.
const LIMIT: Duration = Duration::from_secs(6);
const INTERVAL: Duration = Duration::from_millis(2);

/// Requests before the stop, from which the time that they take is known.
const BEFORE: u64 = 5_000;

/// What became of the requests that arrived over a grace period.
#[derive(Debug, Default)]
struct Outcome {
    whole: u32,
    // Taken, and without their own answer when the relay had to answer for the server.
    ended: u32,
    refused: u32,
    // Refused though they would have been answered in time.
    needlessly: u32,
}

/// Requests arrive evenly over the grace period, and each takes a time that is drawn. `limit` is what their callers give
/// them.
fn replay(repeatable: bool, limit: Duration, draw: impl Fn(&mut Rng) -> Duration) -> Outcome {
    let mut rng = Rng::with_seed(1);
    let mut slowest = RecentMax::<Duration>::default();
    for number in 0..BEFORE {
        slowest.record(
            Time::ZERO + INTERVAL * number as u32,
            draw(&mut rng).min(limit),
        );
    }
    let begun = Time::ZERO + INTERVAL * BEFORE as u32;
    let mut outcome = Outcome::default();
    let mut elapsed = Duration::ZERO;
    while elapsed < GRACE {
        let (left, took) = (GRACE - elapsed, draw(&mut rng).min(limit));
        let in_time = took <= left.saturating_sub(ANSWER_MARGIN);
        let request = LateRequest {
            grace: GRACE,
            left,
            time_limit: limit,
            expected: ExpectedTime::Call {
                repeatable,
                slowest: slowest.longest(begun + elapsed),
            },
        };
        match (request.check(), in_time) {
            (Ok(()), true) => outcome.whole += 1,
            (Ok(()), false) => outcome.ended += 1,
            (Err(_), _) => outcome.refused += 1,
        }
        outcome.needlessly += u32::from(request.check().is_err() && in_time);
        elapsed += INTERVAL;
    }
    outcome
}

fn up_to(longest: Duration) -> impl Fn(&mut Rng) -> Duration {
    move |rng| longest.mul_f64(rng.f64())
}

/// Guards against calls that are taken late in a stop and are still at a server when it ends.
#[test]
fn calls_of_any_length_are_answered_whole_or_refused() {
    for repeatable in [false, true] {
        for longest in [50, 300, 1_200, 2_500, 6_000] {
            let outcome = replay(repeatable, LIMIT, up_to(Duration::from_millis(longest)));
            assert_eq!(outcome.ended, 0, "{repeatable} {longest}: {outcome:?}");
            assert!(outcome.whole > 0, "{repeatable} {longest}: {outcome:?}");
        }
    }
}

/// Guards against a stop that refuses short calls long before they would be cut.
#[test]
fn short_calls_are_taken_until_shortly_before_the_end() {
    let outcome = replay(false, LIMIT, up_to(Duration::from_millis(200)));
    let requests = outcome.whole + outcome.refused;
    assert!(outcome.needlessly * 10 < requests, "{outcome:?}");
}

/// Guards against refusals of calls whose own time limit gives them an answer in time, whatever their service does.
#[test]
fn calls_whose_time_limit_ends_sooner_are_taken() {
    let request = LateRequest {
        grace: GRACE,
        left: Duration::from_secs(3),
        time_limit: Duration::from_secs(2),
        expected: ExpectedTime::Call {
            repeatable: false,
            slowest: Some(LIMIT),
        },
    };
    assert_eq!(request.check(), Ok(()));
    let unknown = ExpectedTime::Call {
        repeatable: false,
        slowest: None,
    };
    let request = LateRequest {
        expected: unknown,
        time_limit: LIMIT,
        ..request
    };
    assert_eq!(request.check(), Err(LateRefusal::MayOutlast));
}

/// Guards against streams that are cut by the end of a stop because their callers allow more output than they expect.
#[test]
fn streams_are_judged_by_their_longest_output_late_in_a_stop() {
    let check = |left, longest| {
        let request = LateRequest {
            grace: GRACE,
            left: Duration::from_millis(left),
            time_limit: 4 * GRACE,
            expected: ExpectedTime::Stream {
                expected: Duration::from_secs(1),
                longest: Some(Duration::from_millis(longest)),
            },
        };
        request.check()
    };
    assert_eq!(check(7_000, 30_000), Ok(()));
    assert_eq!(check(5_000, 30_000), Err(LateRefusal::MayOutlast));
    assert_eq!(check(5_000, 4_000), Ok(()));
    assert_eq!(check(800, 100), Err(LateRefusal::TooLate));
}

/// What a relay has observed of an engine: the wait for a first event, and the time between two, in milliseconds.
fn observed(first: u64, gap: u64) -> StreamEvidence {
    let observed = |value| {
        Some(Observed {
            value: Duration::from_millis(value),
            at: Time::ZERO,
        })
    };
    StreamEvidence {
        first_event: observed(first),
        gap: observed(gap),
        pause: Duration::from_millis(gap),
    }
}

/// Checks a stream of so many tokens that arrives after SIGTERM, with these observations.
fn check_stream(
    grace: Duration,
    elapsed: Duration,
    tokens: u32,
    evidence: &StreamEvidence,
) -> Result<(), LateRefusal> {
    let length = StreamLength {
        expected: tokens / 2,
        longest: tokens,
        event_tokens: 4,
    };
    let request = LateRequest {
        grace,
        left: grace.saturating_sub(elapsed),
        time_limit: 10 * grace,
        expected: length.time(evidence),
    };
    request.check()
}

/// Guards against streams that are cut by the end of a stop because their engines are slower than usual.
#[test]
fn streams_are_judged_by_the_pace_of_their_engines() {
    let at = Duration::from_millis(3_100);
    let check = |first, gap| check_stream(GRACE, at, 160, &observed(first, gap));
    assert_eq!(check(200, 20), Ok(()));
    assert_eq!(check(1_000, 60), Err(LateRefusal::MayOutlast));
    // No observation is too slow to count.
    assert_eq!(check(200, 3_000), Err(LateRefusal::MayOutlast));
    assert_eq!(check(120_000, 20), Err(LateRefusal::MayOutlast));
    let paused = StreamEvidence {
        pause: Duration::from_secs(3),
        ..observed(200, 20)
    };
    let verdict = check_stream(GRACE, at, 160, &paused);
    assert_eq!(verdict, Err(LateRefusal::MayOutlast));
}

/// Guards against streams that are taken late because an assumed time stands in for an unknown one.
#[test]
fn late_streams_are_refused_where_nothing_was_observed() {
    let at = Duration::from_millis(3_100);
    let nothing = StreamEvidence::default();
    let only_first = StreamEvidence {
        gap: None,
        ..observed(100, 10)
    };
    let only_gap = StreamEvidence {
        first_event: None,
        ..observed(100, 10)
    };
    for evidence in [nothing, only_first, only_gap] {
        let verdict = check_stream(GRACE, at, 16, &evidence);
        assert_eq!(verdict, Err(LateRefusal::MayOutlast), "{evidence:?}");
        let early = check_stream(GRACE, Duration::from_secs(1), 16, &evidence);
        assert_eq!(early, Ok(()), "{evidence:?}");
    }
    // One event has nothing after it.
    assert_eq!(check_stream(GRACE, at, 4, &only_first), Ok(()));
}

/// Guards against a late stream that waits for its first event until the rest of it cannot fit any more.
#[test]
fn a_first_event_may_come_as_late_as_the_rest_allows() {
    let (left, long) = (Duration::from_secs(4), Duration::from_secs(40));
    let limit = |time_limit, streaming| first_event_limit(left, time_limit, streaming);
    let streaming = Duration::from_secs(2);
    assert_eq!(limit(long, Some(streaming)), left - STOP_MARGIN - streaming);
    assert_eq!(limit(long, Some(long)), Duration::ZERO);
    // Its own time limit ends it in time, whenever the first event comes.
    assert_eq!(limit(Duration::from_secs(3), None), Duration::from_secs(3));
}

/// Guards against streams that are taken by an assumed time long after the load balancer has turned away, because the
/// grace period is long.
#[test]
fn the_early_phase_does_not_grow_with_the_grace_period() {
    let nothing = StreamEvidence::default();
    for seconds in [4, 8, 16, 30, 300] {
        let grace = Duration::from_secs(seconds);
        let check = |elapsed| check_stream(grace, Duration::from_millis(elapsed), 16, &nothing);
        assert_eq!(check(1_000), Ok(()), "{grace:?}");
        assert_eq!(check(3_000), Err(LateRefusal::MayOutlast), "{grace:?}");
    }
}

/// Guards against one slow call that makes all later stops refuse calls.
#[test]
fn a_slow_call_is_forgotten_after_a_while() {
    let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
    let short = Duration::from_millis(30);
    let mut slowest = RecentMax::<Duration>::default();
    slowest.record(at(100), LIMIT);
    for second in 101..160 {
        slowest.record(at(second), short);
    }
    assert_eq!(slowest.longest(at(125)), Some(LIMIT));
    assert_eq!(slowest.longest(at(161)), Some(short));
    assert_eq!(slowest.longest(at(300)), None);
}

quickcheck! {
    fn what_is_taken_fits_into_what_is_left(left: u16, limit: u16, slowest: Option<u16>, repeatable: bool) -> bool {
        let millis = |value: u16| Duration::from_millis(value.into());
        let expected = ExpectedTime::Call { repeatable, slowest: slowest.map(millis) };
        let request = LateRequest { grace: GRACE, left: millis(left), time_limit: millis(limit), expected };
        let longest = slowest.map_or(millis(limit), millis).min(millis(limit));
        request.check().is_err() || longest + ANSWER_MARGIN.max(STOP_MARGIN) <= millis(left)
    }
}
