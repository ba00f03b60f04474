//! The probability that a run exceeds its longest allowed gap.

use std::time::Duration;

use cicada_lib::migration::event_gaps::GapEstimate;
use cicada_lib::migration::pause_risk::pause_risk;

const LIMIT: Duration = Duration::from_millis(180);

fn risk(mean_ms: u16, p99_ms: u16, events_left: u32) -> f64 {
    pause_risk(GapEstimate { mean_ms, p99_ms }, LIMIT, events_left)
}

/// Guards against moves away from engines of which nothing is known, and on routes without a limit.
#[test]
fn nothing_is_at_risk_without_an_estimate_a_limit_or_events() {
    assert_eq!(risk(0, 0, 186), 0.0);
    assert_eq!(risk(0, 400, 186), 0.0);
    assert_eq!(risk(400, 0, 186), 0.0);
    assert_eq!(risk(400, 500, 0), 0.0);
    let slow = GapEstimate {
        mean_ms: 400,
        p99_ms: 500,
    };
    assert_eq!(pause_risk(slow, Duration::ZERO, 186), 0.0);
}

/// Guards against a fit that misses the 99th percentile, on both sides of the point where the mean no longer counts.
#[test]
fn one_gap_in_a_hundred_exceeds_the_99th_percentile() {
    for mean in [10, 38, 40, 60, 90, 150] {
        let found = risk(mean, 180, 1);
        assert!((found - 0.01).abs() < 1e-6, "{found} at a mean of {mean}");
    }
}

/// Guards against engines that look alike although one pauses in most runs and the other in none.
#[test]
fn the_risk_separates_fast_engines_from_slow_ones() {
    assert!(risk(22, 40, 186) < 1e-6);
    assert!(risk(72, 90, 186) < 1e-6);
    assert!(risk(72, 165, 186) > 0.5);
    assert!(risk(200, 200, 1) > 0.99);
}

/// Guards against a risk that is no probability, or that falls where a run lasts longer or its engine is slower.
#[test]
fn the_risk_grows_with_events_and_gaps() {
    for events in [1, 10, 100, u32::MAX] {
        let risks: Vec<f64> = (50..400).map(|p99| risk(50, p99, events)).collect();
        assert!(risks.iter().all(|risk| (0.0..=1.0).contains(risk)));
        assert!(risks.is_sorted(), "{events} events: {risks:?}");
    }
    assert!(risk(72, 140, 100) > risk(72, 140, 10));
    assert!(risk(u16::MAX, u16::MAX, u32::MAX) <= 1.0);
    // A percentile under the mean can only come from rounding.
    assert!(risk(100, 1, 186) < 1e-6);
}
