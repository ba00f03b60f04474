//! When calls to the store are tried again, and when those who wait for it are refused.

use std::time::Duration;

use crate::time::Time;

// Attempts at one write or read before those who wait are refused; with the pauses between them
// about a tenth of a second, so a refusal by the rate limit passes and an outage is told at once.
const ATTEMPTS: u32 = 3;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(30);

// After an outage was seen, claims are refused without a call for this long.
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);

/// The failures of one shard's calls since the last success.
#[derive(Default)]
pub(crate) struct Retry {
    reads: u32,
    // What a lost write did is read back before it counts as failed, so reads that go well do not
    // make up for writes that fail.
    writes: u32,
    not_before: Time,
    outage: Option<Time>,
}

impl Retry {
    /// When the next call may be made.
    pub(crate) fn not_before(&self) -> Time {
        self.not_before
    }

    /// Whether claims are refused without a call.
    pub(crate) fn is_refusing(&self, now: Time) -> bool {
        self.outage.is_some_and(|until| now < until)
    }

    /// Whether enough writes have failed.
    pub(crate) fn is_write_hopeless(&self) -> bool {
        self.writes >= self.patience()
    }

    /// A call other than a commit went well.
    pub(crate) fn read_succeeded(&mut self) {
        self.reads = 0;
        if self.writes == 0 {
            self.outage = None;
        }
    }

    /// A commit took effect.
    pub(crate) fn write_succeeded(&mut self) {
        self.writes = 0;
        self.read_succeeded();
    }

    /// A read failed. Returns whether that was one too many.
    pub(crate) fn read_failed(&mut self, now: Time, rng: &mut fastrand::Rng) -> bool {
        self.reads += 1;
        self.pause(now, 0.5 + rng.f64());
        self.reads >= self.patience()
    }

    /// A commit failed, or its answer was lost.
    pub(crate) fn write_failed(&mut self) {
        self.writes += 1;
    }

    /// The next call waits for about an attempt's pause, times `share`.
    pub(crate) fn pause(&mut self, now: Time, share: f64) {
        self.not_before = now + ATTEMPT_PAUSE.mul_f64(share);
    }

    /// Begins an outage, or prolongs it.
    pub(crate) fn begin_outage(&mut self, now: Time) {
        *self = Retry {
            not_before: now + OUTAGE_PAUSE,
            outage: Some(now + OUTAGE_PAUSE),
            ..Retry::default()
        };
    }

    // One failure ends the wait once an outage is known.
    fn patience(&self) -> u32 {
        if self.outage.is_some() { 1 } else { ATTEMPTS }
    }
}
