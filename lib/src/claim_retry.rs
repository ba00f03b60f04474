//! Decides when calls to the store are retried, and when waiting claims are refused instead.

use std::time::Duration;

use crate::time::Time;

// Attempts at one write or read before waiting claims are refused. With the pauses between them
// this takes about a tenth of a second: long enough to ride out a rate-limit refusal, short enough
// to report an outage at once.
const MAX_ATTEMPTS: u32 = 3;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(30);

// After an outage is detected, claims are refused for this long without calling the store.
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);

/// The failures of one shard's calls since the last success.
#[derive(Default)]
pub(crate) struct Retry {
    failed_reads: u32,
    // After each write whose response was lost, the head is read to learn whether the write took
    // effect. Such a successful read must not reset the count of failed writes.
    failed_writes: u32,
    not_before: Time,
    outage_until: Option<Time>,
}

impl Retry {
    /// The earliest time of the next call.
    pub(crate) fn not_before(&self) -> Time {
        self.not_before
    }

    /// Whether claims are refused without calling the store.
    pub(crate) fn is_refusing(&self, now: Time) -> bool {
        self.outage_until.is_some_and(|until| now < until)
    }

    /// Whether the attempts at a write are used up.
    pub(crate) fn is_write_exhausted(&self) -> bool {
        self.failed_writes >= self.max_attempts()
    }

    /// Records that a call other than a commit succeeded.
    pub(crate) fn read_succeeded(&mut self) {
        self.failed_reads = 0;
        if self.failed_writes == 0 {
            self.outage_until = None;
        }
    }

    /// Records that a commit took effect.
    pub(crate) fn write_succeeded(&mut self) {
        self.failed_writes = 0;
        self.read_succeeded();
    }

    /// Records a failed read. Returns whether the attempts are used up.
    pub(crate) fn read_failed(&mut self, now: Time, rng: &mut fastrand::Rng) -> bool {
        self.failed_reads += 1;
        self.pause(now, 0.5 + rng.f64());
        self.failed_reads >= self.max_attempts()
    }

    /// Records that a commit failed, or that its response was lost.
    pub(crate) fn write_failed(&mut self) {
        self.failed_writes += 1;
    }

    /// Delays the next call by [`ATTEMPT_PAUSE`] times `factor`.
    pub(crate) fn pause(&mut self, now: Time, factor: f64) {
        self.not_before = now + ATTEMPT_PAUSE.mul_f64(factor);
    }

    /// Starts or extends an outage.
    pub(crate) fn begin_outage(&mut self, now: Time) {
        *self = Retry {
            not_before: now + OUTAGE_PAUSE,
            outage_until: Some(now + OUTAGE_PAUSE),
            ..Retry::default()
        };
    }

    // During a known outage, a single failed attempt is enough.
    fn max_attempts(&self) -> u32 {
        if self.outage_until.is_some() {
            1
        } else {
            MAX_ATTEMPTS
        }
    }
}
