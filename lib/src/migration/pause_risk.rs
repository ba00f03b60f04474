//! The probability that a run exceeds the longest gap that its route allows.
//!
//! Load pattern: engines whose mean gap is far below the limit still exceed it now and then, when a prompt is prefilled
//! beside the run while the host is slow. A run of many events meets such a moment more probably than a short one.

use std::time::Duration;

use crate::migration::event_gaps::GapEstimate;

/// The 99th percentile of an exponential distribution in multiples of its scale: ln(100).
const P99_IN_SCALES: f64 = 4.605_170_185_988_092;

/// Smallest scale of the fitted tail in ms. The estimates are rounded to 1 ms, so a smaller scale is not observed.
const MIN_SCALE_MS: f64 = 1.0;

/// Returns the probability that at least one of the next `events_left` gaps exceeds `limit`.
///
/// Gaps are taken to be independent, with an exponential tail that has the mean and the 99th percentile of the estimate.
/// Returns 0.0 for an unknown estimate, without events left, and for a limit of zero, which stands for a route
/// without a limit.
pub fn pause_risk(estimate: GapEstimate, limit: Duration, events_left: u32) -> f64 {
    let known = estimate.mean_ms > 0 && estimate.p99_ms > 0;
    if !known || limit.is_zero() || events_left == 0 {
        return 0.0;
    }
    let exceeded = Tail::fit(estimate).probability_above(limit.as_secs_f64() * 1e3);
    // `ln_1p` and `exp_m1` keep small probabilities that `1 - (1 - p)^n` would round away.
    -(f64::from(events_left) * (-exceeded).ln_1p()).exp_m1()
}

/// An exponential distribution that starts at an offset; in ms.
struct Tail {
    offset: f64,
    scale: f64,
}

impl Tail {
    /// Fits the mean and the 99th percentile, or the latter alone if it is over ln(100) times the mean: an offset below
    /// zero would stand for negative gaps.
    fn fit(estimate: GapEstimate) -> Self {
        let mean = f64::from(estimate.mean_ms);
        let p99 = f64::from(estimate.p99_ms);
        let scale = ((p99 - mean) / (P99_IN_SCALES - 1.0)).max(MIN_SCALE_MS);
        match mean < scale {
            true => Tail {
                offset: 0.0,
                scale: p99 / P99_IN_SCALES,
            },
            false => Tail {
                offset: mean - scale,
                scale,
            },
        }
    }

    fn probability_above(&self, ms: f64) -> f64 {
        (-(ms - self.offset).max(0.0) / self.scale).exp()
    }
}
