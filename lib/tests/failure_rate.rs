//! The failure rate of an engine that fails some of its requests.

use cicada_lib::failure_rate::FailureRate;
use cicada_lib::time::Time;

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Two of five requests fail, at one request per second. After a few of them the failure rate exceeds a fifth,
/// at which other engines are preferred even if they are full or far away. It stays low for an engine that
/// failed only its first request.
#[test]
fn frequent_failures_raise_the_rate() {
    let (mut faulty, mut healthy) = (FailureRate::new(), FailureRate::new());
    for number in 0..10u64 {
        faulty.record(millis(number * 1_000), number % 5 > 1);
        healthy.record(millis(number * 1_000), number != 0);
    }
    let now = millis(10_000);
    assert!(faulty.rate(now) > 0.2);
    assert!(healthy.rate(now) < 0.05);
}

/// A single failure of an engine without other samples must not cause it to be avoided for long.
#[test]
fn a_single_failure_weighs_little_and_decays() {
    let mut one = FailureRate::new();
    one.record(millis(0), false);
    assert!(one.rate(millis(0)) < 0.35);
    assert!(one.rate(millis(30_000)) < 0.03);
}

/// A few successful requests bring down the failure rate of an engine that has recovered.
#[test]
fn the_rate_falls_after_recovery() {
    let mut engine = FailureRate::new();
    for number in 0..6u64 {
        engine.record(millis(number * 100), false);
    }
    assert!(engine.rate(millis(600)) > 0.6);
    for number in 0..6u64 {
        engine.record(millis(12_000 + number * 100), true);
    }
    assert!(engine.rate(millis(13_000)) < 0.2);
}
