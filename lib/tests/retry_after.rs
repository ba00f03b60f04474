//! Load pattern: all engines are down, and come back one by one between 0.2 and 1.2 s after the first of
//! ninety requests was rejected. Each caller tries at most twice.

use std::time::Duration;

use cicada_lib::retry_after::RejectionCause;
use cicada_lib::retry_after::delay;
use quickcheck::quickcheck;

const CALLERS: u32 = 90;
const LIMIT: Duration = Duration::from_secs(6);

/// Time from a caller's first attempt within which its first event counts as in time.
const OBJECTIVE: Duration = Duration::from_millis(1_500);

/// First attempt and retry of each caller. All first attempts fall within 600 ms.
fn attempts() -> Vec<(Duration, Duration)> {
    let numbers = 0..CALLERS;
    let attempts = numbers.map(|n| {
        let first = Duration::from_millis(u64::from(n * 600 / CALLERS));
        // Consecutive callers get values that are far apart.
        let jitter = f64::from(n * 37 % CALLERS) / f64::from(CALLERS);
        (
            first,
            first + delay(RejectionCause::Unreached, LIMIT, jitter),
        )
    });
    attempts.collect()
}

#[test]
fn few_retries_find_no_engine() {
    // A tenth of the engines is back.
    let tenth = Duration::from_millis(300);
    let early = attempts().iter().filter(|(_, back)| *back < tenth).count();
    assert_eq!(early, 0);
    // Half of them are back.
    let half = Duration::from_millis(700);
    let early = attempts().iter().filter(|(_, back)| *back < half).count();
    assert!(early <= CALLERS as usize / 10, "{early} retry too early");
}

#[test]
fn retries_can_meet_the_objective() {
    for (first, back) in attempts() {
        assert!(back - first < OBJECTIVE);
    }
}

#[test]
fn retries_are_spread_over_time() {
    for step in 0..20 {
        let from = Duration::from_millis(step * 100);
        let until = from + Duration::from_millis(100);
        let together = attempts()
            .iter()
            .filter(|(_, b)| (from..until).contains(b))
            .count();
        assert!(together <= CALLERS as usize / 5, "{together} at {from:?}");
    }
}

#[test]
fn a_full_engine_is_retried_sooner() {
    let full = delay(RejectionCause::Full, LIMIT, 0.9);
    assert!(full < delay(RejectionCause::Unreached, LIMIT, 0.0));
}

quickcheck! {
    fn no_delay_is_longer_than_callers_heed(left: u32, jitter: f64) -> bool {
        let left = Duration::from_millis(u64::from(left));
        [RejectionCause::Full, RejectionCause::Unreached]
            .into_iter()
            .all(|cause| delay(cause, left, if jitter.is_nan() { 0.5 } else { jitter }) <= left / 3)
    }
}

/// Guards against callers that come back during a rest, or all at once when it ends.
#[test]
fn callers_of_resting_servers_come_back_spread_after_the_rest() {
    let rest = Duration::from_secs(3);
    let cause = RejectionCause::Resting(rest);
    let delays = [0.0, 0.5, 1.0].map(|jitter| delay(cause, Duration::from_secs(4), jitter));
    assert_eq!(delays[0], rest);
    assert!(delays[2] >= delays[0] + Duration::from_secs(1));
    assert!(delays.is_sorted());
}
