//! A bound on the bytes that a process spends on passing news on.
//!
//! Load pattern: many backend servers crash at once, each under many requests, and every entry passes on what it hears.
//! Without a bound the news would take the links of all hosts; with it the rest comes later, the least urgent last.

use crate::crash_mark::News;
use crate::time::Time;

/// Bytes that may be sent at once for each kind of news, and that are earned in a second. Clearances leave room for suspicions, and
/// these for proofs: a late clearance costs a wait, a late mark a server. What is known of a part concerns many requests.
const PROOF_BURST_BYTES: f64 = 128.0 * 1024.0;
const PART_BURST_BYTES: f64 = 112.0 * 1024.0;
const SUSPICION_BURST_BYTES: f64 = 96.0 * 1024.0;
const CLEARANCE_BURST_BYTES: f64 = 32.0 * 1024.0;
const BYTES_PER_S: f64 = 4.0 * 1024.0;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpreadBudget {
    // Bytes that were sent and are not earned back yet.
    spent: f64,
    updated_at: Time,
}

impl SpreadBudget {
    /// Whether news of this kind may be sent now.
    pub fn allows(&mut self, now: Time, news: News) -> bool {
        self.earn(now);
        let burst = match news {
            News::Proof => PROOF_BURST_BYTES,
            News::Part => PART_BURST_BYTES,
            News::Suspicion => SUSPICION_BURST_BYTES,
            News::Clearance => CLEARANCE_BURST_BYTES,
        };
        self.spent < burst
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
