//! Estimation of an engine's prefill rate from samples.

use cicada_lib::prefill_rate::PRIOR;
use cicada_lib::prefill_rate::PrefillRate;
use cicada_lib::time::Time;

/// Samples an engine every 30 ms, for `ms` milliseconds, while it prefills prompts of 2,400 tokens at `rate`.
fn sampled(rate: f64, ms: u64) -> PrefillRate {
    let mut estimate = PrefillRate::default();
    let mut prefilled = 0.0;
    for at in (0..ms).step_by(30) {
        prefilled += rate * 30.0;
        let begun = (prefilled / 2_400.0) as u64 * 2_400;
        prefilled -= begun as f64;
        estimate.record_sample(Time::from_millis(at), true, begun);
    }
    estimate
}

/// Guards against a rate that stays at the prior instead of converging to that of the engine.
#[test]
fn the_estimate_converges_to_the_rate_of_the_engine() {
    let prior = PrefillRate::default().per_ms();
    assert!((prior - PRIOR).abs() < 1e-6, "{prior}");
    for rate in [1.5, 4.0, 7.0, 14.0] {
        let found = sampled(rate, 30_000).per_ms();
        let error = (found - rate).abs() / rate;
        assert!(error < 0.25, "{found} of {rate}");
    }
}

/// Guards against an engine that looks slow because it was idle, or not observed.
#[test]
fn only_busy_time_counts() {
    let mut estimate = sampled(10.0, 20_000);
    let before = estimate.per_ms();
    for at in (20_000..30_000).step_by(30) {
        estimate.record_sample(Time::from_millis(at), false, 0);
    }
    // The first idle sample still ends an interval in which a prompt was being prefilled.
    assert!((estimate.per_ms() - before).abs() < 0.1 * before);
    let before = estimate.per_ms();
    estimate.record_sample(Time::from_millis(90_000), true, 0);
    assert_eq!(estimate.per_ms(), before);
}

/// Guards against nonsensical reports that would give an engine all requests or none.
#[test]
fn the_estimate_is_bounded() {
    let mut estimate = PrefillRate::default();
    (0..1_000).for_each(|n| estimate.record_sample(Time::from_millis(n * 10), true, 1_000_000));
    assert!(estimate.per_ms() <= 10.0 * PRIOR);
    let mut estimate = PrefillRate::default();
    (0..100_000).for_each(|n| estimate.record_sample(Time::from_millis(n * 30), true, 0));
    assert!(estimate.per_ms() >= 0.1 * PRIOR);
}
