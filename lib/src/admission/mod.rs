//! Admission to an agent's queue, and `Retry-After` times for rejected requests. [`wait_queue`] holds the streams that wait
//! at a relay.
//!
//! Load pattern: more work arrives than the engine can do, in bursts or for hours. An unbounded queue
//! grows until every answer arrives after its caller has gone, and the engine's work is wasted.
//!
//! The bound is on the *expected wait*, computed from the measured drain rate, rather than on the
//! number of requests: ten long drafts take far longer than ten short checks.

use std::time::Duration;

use crate::time::Time;

pub mod capacity_search;
mod placement_rate;
pub mod wait_queue;

/// Window over which the drain rate is measured: about 25 engine steps.
const WINDOW: Duration = Duration::from_secs(1);

/// Weight of the newest window: the rate follows a change in about five seconds.
const WINDOW_WEIGHT: f64 = 0.2;

/// Callers told to retry sooner than this would be back within a few steps of the engine.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// Upper bound on retry times: the estimate is unreliable beyond it.
const MAX_RETRY: Duration = Duration::from_secs(120);

/// The rate at which work leaves the queue, measured only while requests are waiting.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    // Cost per second; `None` before the first full window.
    rate: Option<f64>,
    window_start: Time,
    cost: u64,
    // Whether the current window counts: work has been waiting since it began.
    contended: bool,
}

/// A correction factor for expected waits, learned from how long requests actually waited.
///
/// The estimate covers only what waits now. It leaves out short jobs that will arrive later and start
/// earlier, and the time that a job waits until it fits into memory.
#[derive(Clone, Debug)]
pub struct WaitCorrection {
    // Moving averages over recent starts, in seconds.
    expected: f64,
    actual: f64,
}

/// A limit on requests per second.
///
/// Implemented as a generic cell rate algorithm: the only state is the time at which the next request
/// would be on schedule, so there are no tokens to refill.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    next: Time,
}

/// The work ahead of a request that is about to be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueueAhead {
    /// Cost of all waiting requests that start earlier, over all workspaces.
    pub total: u64,
    /// The same for its own workspace, plus the service that the workspace has received ahead of others.
    pub own: u64,
    /// The share of the drain rate to which the workspace is entitled.
    pub share: f64,
}

impl Default for WaitCorrection {
    fn default() -> Self {
        WaitCorrection {
            expected: 1.0,
            actual: 1.0,
        }
    }
}

impl WaitCorrection {
    // Averages over about 64 starts.
    const SAMPLE_WEIGHT: f64 = 1.0 / 64.0;
    // A factor outside these bounds only shows that the load has changed.
    const BOUNDS: (f64, f64) = (0.5, 4.0);

    /// Records the expected and the actual wait of a request that has started.
    pub fn observe(&mut self, expected: Duration, actual: Duration) {
        self.expected += Self::SAMPLE_WEIGHT * (expected.as_secs_f64() - self.expected);
        self.actual += Self::SAMPLE_WEIGHT * (actual.as_secs_f64() - self.actual);
    }

    /// The factor by which to multiply expected waits.
    pub fn factor(&self) -> f64 {
        // Damps the ratio when waits are only a few steps long and say nothing about the queue.
        let damping = 0.1;
        ((self.actual + damping) / (self.expected + damping)).clamp(Self::BOUNDS.0, Self::BOUNDS.1)
    }
}

impl DrainRate {
    /// Adds the cost of completed work.
    pub fn record_completed(&mut self, cost: u64) {
        self.cost += cost;
    }

    /// Updates the rate. Must be called at each event with whether any work is waiting.
    pub fn observe(&mut self, now: Time, waiting: bool) {
        if !waiting || !self.contended {
            self.window_start = now;
            self.cost = 0;
            self.contended = waiting;
            return;
        }
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let sample = self.cost as f64 / elapsed.as_secs_f64();
        let rate = self.rate.unwrap_or(sample);
        self.rate = Some(rate + WINDOW_WEIGHT * (sample - rate));
        self.window_start = now;
        self.cost = 0;
    }

    /// Cost per second, or `None` if it has not been measured yet.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }
}

impl RateLimiter {
    /// Admits a request, or returns the time until the next one may be sent.
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

    /// Whether the full burst is available again, so that the limiter holds no state.
    pub fn is_idle(&self, now: Time) -> bool {
        self.next <= now
    }
}

impl QueueAhead {
    /// The expected wait at a drain rate of `rate`. The workspace receives at least its share of the
    /// rate, and no request waits longer than all queued work takes.
    pub fn wait(&self, rate: f64) -> Duration {
        let total = self.total as f64 / rate;
        let own = self.own as f64 / (rate * self.share.max(f64::MIN_POSITIVE));
        seconds(total.min(own))
    }
}

/// Spreads the retries of rejected requests of one workspace over time.
///
/// If all callers were given the same retry time, all but one would be rejected again. So each
/// rejection reserves the next slot in a virtual queue that drains at the rate of the real one.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    last: Time,
}

impl RetrySchedule {
    /// Reserves a retry slot and returns the time until it. `excess` is how far the expected wait
    /// exceeds the bound; `service` is the time that the request takes at the workspace's share of the
    /// drain rate.
    pub fn schedule(&mut self, now: Time, excess: Duration, service: Duration) -> Duration {
        let earliest = now + excess;
        self.last = self.last.max(earliest) + service;
        let after = self.last.since(now).clamp(MIN_RETRY, MAX_RETRY);
        self.last = self.last.min(now + MAX_RETRY);
        after
    }

    /// Whether all reserved slots have passed.
    pub fn is_idle(&self, now: Time) -> bool {
        self.last <= now
    }
}

/// Converts seconds to a duration, clamped to 0 to 10^9 seconds.
pub(crate) fn seconds(secs: f64) -> Duration {
    Duration::from_secs_f64(secs.clamp(0.0, 1e9))
}
