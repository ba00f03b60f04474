//! The part of its requests that an engine has failed lately.
//!
//! Load pattern: an engine is well by all that it reports and fails, or never begins, two of five requests.
//! Each of ten entries sends it a request every few seconds: none sees enough of it to tell it from bad luck,
//! and callers whose requests must not run twice lose theirs for as long as it lasts.
//!
//! So the scout beside the engine counts for all entries, and its report carries the share. Old evidence
//! fades, so that an engine that is avoided is tried again after a while, at first by few.

use std::time::Duration;

use crate::time::Time;

/// Half of the evidence is forgotten in this time: two failures among four keep an engine avoided for some
/// ten seconds.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Requests that are taken to have gone well before anything is known: one failure is bad luck.
const TRUST: f64 = 2.0;

/// How an engine's requests ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    at: Time,
    well: f64,
    failed: f64,
}

impl Outcomes {
    /// Nothing has ended.
    pub fn new() -> Self {
        Outcomes::default()
    }

    /// A request has ended.
    pub fn ended(&mut self, now: Time, well: bool) {
        self.fade(now);
        match well {
            true => self.well += 1.0,
            false => self.failed += 1.0,
        }
    }

    /// The part that failed, 0 to 1.
    pub fn failing(&mut self, now: Time) -> f64 {
        self.fade(now);
        self.failed / (self.failed + self.well + TRUST)
    }

    fn fade(&mut self, now: Time) {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = 0.5f64.powf(halves);
        self.well *= kept;
        self.failed *= kept;
        self.at = now;
    }
}
