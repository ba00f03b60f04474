//! Load pattern: all engines are away, and come back one by one between 0.2 and 1.2 s after the first of
//! ninety callers was turned away. Each caller asks twice at most.

use std::time::Duration;

use cicada_lib::return_time::TurnedAway;
use cicada_lib::return_time::pause;
use quickcheck::quickcheck;

const CALLERS: u32 = 90;
const LIMIT: Duration = Duration::from_secs(6);

/// Time from a caller's first attempt within which its first event counts as in time.
const OBJECTIVE: Duration = Duration::from_millis(1_500);

/// When the caller of this number asks, and when it comes back: all within the first 600 ms.
fn visits() -> Vec<(Duration, Duration)> {
    let numbers = 0..CALLERS;
    let visits = numbers.map(|n| {
        let asked = Duration::from_millis(u64::from(n * 600 / CALLERS));
        // Numbers that follow each other are far apart.
        let spread = f64::from(n * 37 % CALLERS) / f64::from(CALLERS);
        (asked, asked + pause(TurnedAway::Unreached, LIMIT, spread))
    });
    visits.collect()
}

#[test]
fn few_find_nobody_a_second_time() {
    // The first tenth of the engines is back.
    let first = Duration::from_millis(300);
    let early = visits().iter().filter(|(_, back)| *back < first).count();
    assert_eq!(early, 0);
    // Half of them are.
    let half = Duration::from_millis(700);
    let early = visits().iter().filter(|(_, back)| *back < half).count();
    assert!(early <= CALLERS as usize / 10, "{early} come too early");
}

#[test]
fn those_that_come_back_can_be_in_time() {
    for (asked, back) in visits() {
        assert!(back - asked < OBJECTIVE);
    }
}

#[test]
fn they_do_not_come_back_together() {
    for step in 0..20 {
        let from = Duration::from_millis(step * 100);
        let until = from + Duration::from_millis(100);
        let together = visits()
            .iter()
            .filter(|(_, b)| (from..until).contains(b))
            .count();
        assert!(together <= CALLERS as usize / 5, "{together} at {from:?}");
    }
}

#[test]
fn a_full_engine_is_worth_a_sooner_try() {
    let full = pause(TurnedAway::Full, LIMIT, 0.9);
    assert!(full < pause(TurnedAway::Unreached, LIMIT, 0.0));
}

quickcheck! {
    fn nobody_is_told_a_time_that_it_would_not_heed(left: u32, spread: f64) -> bool {
        let left = Duration::from_millis(u64::from(left));
        [TurnedAway::Full, TurnedAway::Unreached]
            .into_iter()
            .all(|why| pause(why, left, if spread.is_nan() { 0.5 } else { spread }) <= left / 3)
    }
}
