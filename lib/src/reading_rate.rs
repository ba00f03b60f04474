//! The rate at which an engine reads prompts, estimated by the process beside it.
//!
//! Load pattern: engines of one deployment read 14 prompt tokens in a millisecond beside nothing else, those of another
//! 5, and one engine in ten is slower than the rest. By a constant rate prompts are taken to be read long before they
//! are, and requests queue where they begin late.
//!
//! Counted are the tokens of prompts whose runs have begun, over the time for which the engine had a prompt to read: what
//! running requests take of it is in there. The prior weighs as much as a few prompts, and old evidence fades.

use std::time::Duration;

use crate::time::Time;

/// Tokens a millisecond before anything was read, and the milliseconds of reading that this weighs.
pub const PRIOR: f64 = 7.0;
const PRIOR_MS: f64 = 500.0;

/// Half of the evidence is forgotten in this time: engines slow down for seconds.
const HALF_LIFE: f64 = 10.0;

/// Bounds of the estimate, as multiples of the prior.
const LEAST: f64 = 0.1;
const MOST: f64 = 10.0;

/// A pause between two looks that is longer was no watch.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// What was read, and in which time.
#[derive(Clone, Debug, Default)]
pub struct ReadingRate {
    tokens: f64,
    busy_ms: f64,
    // The last look, and whether a prompt was being read.
    looked: Option<(Time, bool)>,
}

impl ReadingRate {
    /// The engine was looked at. `reading` tells whether it has a prompt to read, `begun` the tokens of prompts whose runs
    /// have begun since the last look.
    pub fn looked(&mut self, now: Time, reading: bool, begun: u64) {
        let last = self.looked.replace((now, reading));
        let Some((at, was_reading)) = last else {
            return;
        };
        let passed = now.since(at);
        if passed > LONGEST_PAUSE || (!was_reading && begun == 0) {
            return;
        }
        let kept = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE);
        self.tokens = self.tokens * kept + begun as f64;
        self.busy_ms = self.busy_ms * kept + passed.as_secs_f64() * 1_000.0;
    }

    /// Tokens that the engine reads in a millisecond.
    pub fn per_ms(&self) -> f64 {
        let rate = (PRIOR * PRIOR_MS + self.tokens) / (PRIOR_MS + self.busy_ms);
        rate.clamp(PRIOR * LEAST, PRIOR * MOST)
    }
}
