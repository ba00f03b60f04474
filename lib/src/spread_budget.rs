//! A bound on the bytes that a process spends on passing news on.
//!
//! Load pattern: many backend servers crash at once, each under many requests, and every entry passes on what it hears.
//! Without a bound the news would take the links of all hosts; with it the rest comes later.

use crate::time::Time;

/// Bytes that may be sent at once, and that are earned in a second.
const BURST_BYTES: f64 = 64.0 * 1024.0;
const BYTES_PER_S: f64 = 4.0 * 1024.0;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpreadBudget {
    // Bytes that were sent and are not earned back yet.
    spent: f64,
    updated_at: Time,
}

impl SpreadBudget {
    /// Whether anything may be sent now.
    pub fn has_some(&mut self, now: Time) -> bool {
        self.earn(now);
        self.spent < BURST_BYTES
    }

    /// Records that bytes were sent.
    pub fn charge(&mut self, now: Time, bytes: usize) {
        self.earn(now);
        self.spent += bytes as f64;
    }

    fn earn(&mut self, now: Time) {
        let earned = now.since(self.updated_at).as_secs_f64() * BYTES_PER_S;
        self.spent = (self.spent - earned).max(0.0);
        self.updated_at = now;
    }
}
