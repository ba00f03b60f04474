//! The share of recent requests that an engine has failed.
//!
//! Load pattern: a gray failure. An engine reports itself healthy, but fails or never begins two of five
//! requests. Each of ten entries sends it one request every few seconds, so none of them sees enough
//! requests to tell the failure from chance, and callers lose requests that must not run twice for as long
//! as it lasts.
//!
//! So the scout beside the engine counts for all entries, and its report carries the failure rate. Samples
//! decay, so that an engine that is avoided is tried again after a while, at first with few requests.

use std::time::Duration;

use crate::time::Time;

/// Half-life of a sample: an engine that failed two of four requests is avoided for about ten seconds.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Successes assumed as a prior, so that a single failure does not count as a high failure rate.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Decaying counts of an engine's succeeded and failed requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    updated: Time,
    succeeded: f64,
    failed: f64,
}

impl FailureRate {
    /// Creates empty counts.
    pub fn new() -> Self {
        FailureRate::default()
    }

    /// Records a request that ended.
    pub fn record(&mut self, now: Time, succeeded: bool) {
        self.decay(now);
        match succeeded {
            true => self.succeeded += 1.0,
            false => self.failed += 1.0,
        }
    }

    /// The share of requests that failed, from 0 to 1.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.decay(now);
        self.failed / (self.failed + self.succeeded + PRIOR_SUCCESSES)
    }

    fn decay(&mut self, now: Time) {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = 0.5f64.powf(half_lives);
        self.succeeded *= kept;
        self.failed *= kept;
        self.updated = now;
    }
}
