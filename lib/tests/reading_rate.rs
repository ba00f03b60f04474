//! How quickly an engine reads prompts, by what the process beside it sees.

use cicada_lib::reading_rate::PRIOR;
use cicada_lib::reading_rate::ReadingRate;
use cicada_lib::time::Time;

/// Looks each 30 ms at an engine that reads prompts of 2,400 tokens at the rate, for so many milliseconds.
fn watched(rate: f64, ms: u64) -> ReadingRate {
    let mut estimate = ReadingRate::default();
    let mut read = 0.0;
    for at in (0..ms).step_by(30) {
        read += rate * 30.0;
        let begun = (read / 2_400.0) as u64 * 2_400;
        read -= begun as f64;
        estimate.looked(Time::from_millis(at), true, begun);
    }
    estimate
}

/// Guards against prompts that are taken to be read at another engine's rate.
#[test]
fn the_rate_of_the_engine_is_found_out() {
    let prior = ReadingRate::default().per_ms();
    assert!((prior - PRIOR).abs() < 1e-6, "{prior}");
    for rate in [1.5, 4.0, 7.0, 14.0] {
        let found = watched(rate, 30_000).per_ms();
        let error = (found - rate).abs() / rate;
        assert!(error < 0.25, "{found} of {rate}");
    }
}

/// Guards against an engine that was idle, or not watched, and is taken for a slow one.
#[test]
fn only_the_time_of_reading_counts() {
    let mut estimate = watched(10.0, 20_000);
    let before = estimate.per_ms();
    for at in (20_000..30_000).step_by(30) {
        estimate.looked(Time::from_millis(at), false, 0);
    }
    // The first look closes the time before it, in which a prompt was being read.
    assert!((estimate.per_ms() - before).abs() < 0.1 * before);
    let before = estimate.per_ms();
    estimate.looked(Time::from_millis(90_000), true, 0);
    assert_eq!(estimate.per_ms(), before);
}

/// Guards against reports without sense, by which an engine would get everything or nothing.
#[test]
fn the_estimate_is_bounded() {
    let mut estimate = ReadingRate::default();
    (0..1_000).for_each(|n| estimate.looked(Time::from_millis(n * 10), true, 1_000_000));
    assert!(estimate.per_ms() <= 10.0 * PRIOR);
    let mut estimate = ReadingRate::default();
    (0..100_000).for_each(|n| estimate.looked(Time::from_millis(n * 30), true, 0));
    assert!(estimate.per_ms() >= 0.1 * PRIOR);
}
