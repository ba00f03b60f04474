//! How the requests of an engine that fails some of them are counted.

use cicada_lib::outcomes::Outcomes;
use cicada_lib::time::Time;

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Two of five requests fail, one request a second: after a few of them the engine counts as failing a fifth,
/// at which others are chosen even where they are full or far. One that failed its first request does not.
#[test]
fn an_engine_that_fails_often_stands_out() {
    let (mut bad, mut good) = (Outcomes::new(), Outcomes::new());
    for number in 0..10u64 {
        bad.ended(millis(number * 1_000), number % 5 > 1);
        good.ended(millis(number * 1_000), number != 0);
    }
    let now = millis(10_000);
    assert!(bad.failing(now) > 0.2);
    assert!(good.failing(now) < 0.05);
}

/// One failure of an engine of which nothing else is known is no reason to avoid it for long.
#[test]
fn one_failure_is_bad_luck_and_fades() {
    let mut one = Outcomes::new();
    one.ended(millis(0), false);
    assert!(one.failing(millis(0)) < 0.35);
    assert!(one.failing(millis(30_000)) < 0.03);
}

/// An engine that is well again is known to be after a few requests.
#[test]
fn an_engine_that_is_well_again_comes_back() {
    let mut engine = Outcomes::new();
    for number in 0..6u64 {
        engine.ended(millis(number * 100), false);
    }
    assert!(engine.failing(millis(600)) > 0.6);
    for number in 0..6u64 {
        engine.ended(millis(12_000 + number * 100), true);
    }
    assert!(engine.failing(millis(13_000)) < 0.2);
}
