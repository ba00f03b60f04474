//! A limit on calls a second.

use std::time::Instant;

/// A token bucket that holds a tenth of a second's worth of calls, but one at least.
#[derive(Debug)]
pub struct RateLimit {
    // Calls a second.
    rate: f64,
    // At most `burst`.
    tokens: f64,
    burst: f64,
    filled: Instant,
}

impl RateLimit {
    /// A full bucket for `rate` calls a second.
    pub fn new(rate: f64) -> Self {
        let burst = (rate / 10.0).max(1.0);
        RateLimit {
            rate,
            tokens: burst,
            burst,
            filled: Instant::now(),
        }
    }

    /// Takes a call's token if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
