//! The rate at which waiting requests are placed, by which the length of their queue is bounded.
//!
//! Load pattern: capacity that runs free while requests wait varies within seconds, and a relay places a request per
//! second or less. So the rate is the number of placements over the time in which requests waited, both with exponential
//! decay, and starts from a prior. If nothing is placed the estimate falls within seconds; once nobody waits it returns
//! to the prior as the evidence decays, so that requests wait again.

use std::time::Duration;

use crate::time::Time;

/// Half-life of the evidence: a burst of load lasts some seconds, and a sixth of the engines leaves every few seconds.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The prior: two placements in a second of waiting, until others are known. Chosen so that one request may wait at the
/// smallest slack of 500 ms; a relay that learns nothing else lets five wait for 2.5 s.
const PRIOR_PLACEMENTS: f64 = 2.0;
const PRIOR_SECONDS: f64 = 1.0;

/// The time that a returning caller counts to have waited who is placed at once: it was away for about that long.
const RETURNED_SECONDS: f64 = 0.5;

/// Placements of waiting and returning requests, and the time in which requests waited.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacementRate {
    placed: f64,
    seconds: f64,
    observed_at: Time,
}

impl PlacementRate {
    /// Decays the evidence. `waiting` tells whether requests waited since the last call.
    pub(crate) fn observe(&mut self, now: Time, waiting: bool) {
        let elapsed = now.since(self.observed_at).as_secs_f64();
        let half_life = HALF_LIFE.as_secs_f64();
        let retained = 0.5f64.powf(elapsed / half_life);
        self.placed *= retained;
        self.seconds *= retained;
        if waiting {
            self.seconds += (1.0 - retained) * half_life / std::f64::consts::LN_2;
        }
        self.observed_at = now;
    }

    /// Records that a waiting request was placed.
    pub(crate) fn record_placed(&mut self) {
        self.placed += 1.0;
    }

    /// Records that the request of a returning caller was placed at once.
    pub(crate) fn record_returned(&mut self) {
        self.placed += 1.0;
        self.seconds += RETURNED_SECONDS;
    }

    /// The expected placements per second; never zero.
    pub(crate) fn per_second(&self) -> f64 {
        (self.placed + PRIOR_PLACEMENTS) / (self.seconds + PRIOR_SECONDS)
    }
}
