//! Estimates the rate at which an engine prefills prompts; runs in the scout beside the engine.
//!
//! Load pattern: engines of one deployment prefill 14 prompt tokens per millisecond when they do nothing else, those of
//! another 5, and one engine in ten is slower than the rest. With a constant rate, prompts are assumed to be prefilled
//! long before they are, and requests queue at engines where they start late.
//!
//! The estimate divides the prompt tokens of runs that have begun by the time in which the engine had a prompt to
//! prefill, so it includes the slowdown caused by running requests. The prior weighs as much as a few prompts, and old
//! measurements decay.

use std::time::Duration;

use crate::time::Time;

/// Assumed rate, in tokens per millisecond, before any measurement, and its weight in milliseconds of prefill.
pub const PRIOR: f64 = 7.0;
const PRIOR_WEIGHT_MS: f64 = 500.0;

/// Half-life of the measurements, in seconds: engines slow down for seconds at a time.
const HALF_LIFE_S: f64 = 10.0;

/// Bounds of the estimate, as multiples of [`PRIOR`].
const MIN_FACTOR: f64 = 0.1;
const MAX_FACTOR: f64 = 10.0;

/// Longest gap between two samples over which the engine counts as observed.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(250);

/// Prefill rate of one engine, as a decaying ratio of tokens to busy time.
#[derive(Clone, Debug, Default)]
pub struct PrefillRate {
    tokens: f64,
    busy_ms: f64,
    // Time of the last sample, and whether a prompt was being prefilled then.
    last_sample: Option<(Time, bool)>,
}

impl PrefillRate {
    /// Records a sample of the engine's state. `busy` is whether it has a prompt to prefill, `prefilled` the prompt
    /// tokens of the runs that have begun since the last sample.
    pub fn record_sample(&mut self, now: Time, busy: bool, prefilled: u64) {
        let last = self.last_sample.replace((now, busy));
        let Some((at, was_busy)) = last else {
            return;
        };
        let elapsed = now.since(at);
        if elapsed > MAX_SAMPLE_GAP || (!was_busy && prefilled == 0) {
            return;
        }
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE_S);
        self.tokens = self.tokens * decay + prefilled as f64;
        self.busy_ms = self.busy_ms * decay + elapsed.as_secs_f64() * 1_000.0;
    }

    /// Estimated rate in tokens per millisecond.
    pub fn per_ms(&self) -> f64 {
        let rate = (PRIOR * PRIOR_WEIGHT_MS + self.tokens) / (PRIOR_WEIGHT_MS + self.busy_ms);
        rate.clamp(PRIOR * MIN_FACTOR, PRIOR * MAX_FACTOR)
    }
}
