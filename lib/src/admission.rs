//! Whether a request may wait, and when a refused one may come back.
//!
//! Load pattern: more arrives than the engine can do, in bursts or for hours. Without a bound the
//! queue grows until every answer comes after its caller has gone, and the engine works for nobody.
//!
//! The bound is on the *expected wait*, worked out from the measured drain, and not on a length:
//! ten long drafts and ten short checks are not the same queue.

use std::time::Duration;

use crate::time::Time;

/// The drain is measured over windows of this length: some 25 steps of an engine.
const WINDOW: Duration = Duration::from_secs(1);

/// The weight of one window: the figure follows a change in about five seconds.
const FOLLOW: f64 = 0.2;

/// Callers told to come back sooner than this would ask again within a few steps of the engine.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// Nobody is sent away for longer: the estimate is worth little beyond.
const MAX_RETRY: Duration = Duration::from_secs(120);

/// How quickly work leaves the queue, measured while some waits.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    // Cost a second; none before the first full window.
    rate: Option<f64>,
    since: Time,
    cost: u64,
    // Whether the window may count: work waited since its beginning.
    contended: bool,
}

/// How the waits turned out against what was expected.
///
/// The estimate knows what waits now, and not the short jobs that will come and go before, nor the
/// time for which a job has to wait until it fits into memory.
#[derive(Clone, Debug)]
pub struct Correction {
    // Means over recent starts, in seconds.
    expected: f64,
    actual: f64,
}

/// A ceiling on requests a second.
///
/// It is kept as the time at which the next request would be on schedule, so it is one word and
/// there is nothing to refill.
#[derive(Clone, Debug, Default)]
pub struct RateCeiling {
    next: Time,
}

/// What a workspace meets when it asks to wait.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Cost that waits and goes before it, of all workspaces.
    pub total: u64,
    /// The same of its own workspace, with what that is ahead of the others.
    pub own: u64,
    /// The part of the drain that the workspace is due.
    pub part: f64,
}

impl Default for Correction {
    fn default() -> Self {
        Correction {
            expected: 1.0,
            actual: 1.0,
        }
    }
}

impl Correction {
    // Some 64 starts.
    const FOLLOW: f64 = 1.0 / 64.0;
    // A factor outside says that the load has changed, and no more.
    const BOUNDS: (f64, f64) = (0.5, 4.0);

    /// Takes in a start.
    pub fn observe(&mut self, expected: Duration, actual: Duration) {
        self.expected += Self::FOLLOW * (expected.as_secs_f64() - self.expected);
        self.actual += Self::FOLLOW * (actual.as_secs_f64() - self.actual);
    }

    /// The factor for expected waits.
    pub fn get(&self) -> f64 {
        // Waits of a few steps say nothing of a queue.
        let least = 0.1;
        ((self.actual + least) / (self.expected + least)).clamp(Self::BOUNDS.0, Self::BOUNDS.1)
    }
}

impl Drain {
    /// Takes in cost that was done.
    pub fn done(&mut self, cost: u64) {
        self.cost += cost;
    }

    /// Takes in whether work waits; to be told at each event.
    pub fn observe(&mut self, now: Time, waiting: bool) {
        if !waiting || !self.contended {
            self.since = now;
            self.cost = 0;
            self.contended = waiting;
            return;
        }
        let passed = now.since(self.since);
        if passed < WINDOW {
            return;
        }
        let sample = self.cost as f64 / passed.as_secs_f64();
        let rate = self.rate.unwrap_or(sample);
        self.rate = Some(rate + FOLLOW * (sample - rate));
        self.since = now;
        self.cost = 0;
    }

    /// Cost a second, where it was measured.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }
}

impl RateCeiling {
    /// Takes a request, or says when the next one may come.
    pub fn take(&mut self, now: Time, rate: f64, burst: u32) -> Result<(), Duration> {
        if rate <= 0.0 {
            return Ok(());
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        let allowance = interval.saturating_mul(burst.max(1) - 1);
        let next = self.next.max(now);
        let early = next.since(now);
        if early > allowance {
            return Err(early - allowance);
        }
        self.next = next + interval;
        Ok(())
    }

    /// Whether nothing is counted against the workspace any more.
    pub fn is_idle(&self, now: Time) -> bool {
        self.next <= now
    }
}

impl Queue {
    /// The wait at a drain of `rate`. The workspace is served at its part of the drain at least,
    /// and all that waits is done after the total in any case.
    pub fn wait(&self, rate: f64) -> Duration {
        let total = self.total as f64 / rate;
        let own = self.own as f64 / (rate * self.part.max(f64::MIN_POSITIVE));
        seconds(total.min(own))
    }
}

/// Paces those who come back to one workspace.
///
/// If all were told the same time, all but one would be refused again. Each refusal takes the next
/// place in a queue of promises that drains as the real one does.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    last: Time,
}

impl Promises {
    /// When a request should come back whose wait is `excess` too long and which takes `service`
    /// of the workspace's part of the drain.
    pub fn promise(&mut self, now: Time, excess: Duration, service: Duration) -> Duration {
        let earliest = now + excess;
        self.last = self.last.max(earliest) + service;
        let after = self.last.since(now).clamp(MIN_RETRY, MAX_RETRY);
        self.last = self.last.min(now + MAX_RETRY);
        after
    }

    /// Whether all promised times have passed.
    pub fn is_idle(&self, now: Time) -> bool {
        self.last <= now
    }
}

/// A duration of that many seconds, bounded to what durations hold.
pub(crate) fn seconds(figure: f64) -> Duration {
    Duration::from_secs_f64(figure.clamp(0.0, 1e9))
}
