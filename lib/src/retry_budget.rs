//! The retry budget of a service: a token bucket that bounds the load added by retries.
//!
//! Load pattern: servers fail or reject requests while they are full, and every failure causes a retry.
//! Without a budget, at three attempts each, an overload triples itself and does not end when its cause
//! does. With a budget, retries add at most a fixed share to the requests.
//!
//! Only the entry retries. An agent reports the outcome of a request and never retries it, so that retries
//! of two layers do not multiply.
//!
//! Handovers are retries that add no load: requests handed back by a draining server have not run, and a
//! stream that continues over a new connection is still the same generation. They have a budget of their
//! own, so that a drain during an overload loses nothing.

use std::time::Duration;

use crate::outcome::RetryReason;
use crate::time::Time;

/// Retries earned per first attempt. With one in ten, the headroom of a server at 90 % utilization can
/// absorb the retries.
pub const RETRY_SHARE: f64 = 0.1;

/// Capacity and initial level of the bucket: about one batch, the requests that a single lost server hands
/// back at once.
pub const RETRY_CAPACITY: f64 = 32.0;

/// Retries earned per second, so that a service with few requests refills its bucket. At one per second, an
/// entry with three requests per second would retry a third of them.
pub const MIN_RETRY_RATE: f64 = 0.1;

/// Capacity of the handover bucket: the queues of several servers that drain at the same time.
pub const HANDOVER_CAPACITY: f64 = 512.0;

/// Handovers earned per second.
pub const HANDOVER_RATE: f64 = 128.0;

/// Backoff grows by up to this factor as the bucket empties, which slows down a retry storm before the budget
/// ends it.
const MAX_BACKOFF_FACTOR: f64 = 4.0;

/// Settings of the retry budget of each service.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    share: f64,
    capacity: f64,
    min_rate: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings::new()
    }
}

impl RetrySettings {
    /// Creates the default settings.
    pub fn new() -> Self {
        RetrySettings {
            share: RETRY_SHARE,
            capacity: RETRY_CAPACITY,
            min_rate: MIN_RETRY_RATE,
        }
    }

    /// Sets the retries earned per first attempt, from 0 to 1.
    pub fn with_share(mut self, share: f64) -> Self {
        self.share = share.clamp(0.0, 1.0);
        self
    }

    /// Sets the capacity of the bucket, from 1 to 10,000 retries.
    pub fn with_capacity(mut self, retries: f64) -> Self {
        self.capacity = retries.clamp(1.0, 10_000.0);
        self
    }

    /// Sets the retries earned per second, from 0 to 100.
    pub fn with_min_rate(mut self, retries: f64) -> Self {
        self.min_rate = retries.clamp(0.0, 100.0);
        self
    }
}

/// The retry budget of one service at one entry.
///
/// Over any period, the number of retries that add load is at most the capacity, plus the share of the
/// first attempts in the period, plus the retries earned by its length.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    // From 0 to the capacity in the settings.
    level: f64,
    // From 0 to `HANDOVER_CAPACITY`.
    handovers: f64,
    refilled: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings, now: Time) -> Self {
        RetryBudget {
            level: settings.capacity,
            handovers: HANDOVER_CAPACITY,
            settings,
            refilled: now,
        }
    }

    /// Records a first attempt, which earns a share of a retry.
    pub fn first_attempt(&mut self, now: Time) {
        self.refill(now);
        self.level = (self.level + self.settings.share).min(self.settings.capacity);
    }

    /// Takes a retry from the budget and returns the backoff before it, or `None` if the budget is exhausted.
    pub fn take(
        &mut self,
        now: Time,
        reason: RetryReason,
        rng: &mut fastrand::Rng,
    ) -> Option<Duration> {
        self.refill(now);
        let fill_level = if adds_load(reason) {
            take_one(&mut self.level)?;
            self.level / self.settings.capacity
        } else {
            take_one(&mut self.handovers)?;
            self.handovers / HANDOVER_CAPACITY
        };
        let factor = 1.0 + (1.0 - fill_level) * (MAX_BACKOFF_FACTOR - 1.0);
        let max = max_backoff(reason).mul_f64(factor);
        Some(max.mul_f64(rng.f64()))
    }

    /// The number of retries left.
    pub fn level(&self) -> f64 {
        self.level
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        let level = self.level + elapsed * self.settings.min_rate;
        let handovers = self.handovers + elapsed * HANDOVER_RATE;
        self.level = level.min(self.settings.capacity);
        self.handovers = handovers.min(HANDOVER_CAPACITY);
        self.refilled = self.refilled.max(now);
    }
}

fn take_one(level: &mut f64) -> Option<()> {
    if *level < 1.0 {
        return None;
    }
    *level -= 1.0;
    Some(())
}

fn adds_load(reason: RetryReason) -> bool {
    !matches!(
        reason,
        RetryReason::Draining | RetryReason::ConnectionSilent
    )
}

/// The upper bound of the backoff, which is drawn uniformly from zero so that requests that failed together
/// are not retried together. It is long if the cause is likely to last, and short if another server is
/// likely to be free.
fn max_backoff(reason: RetryReason) -> Duration {
    match reason {
        RetryReason::AgentRefused => Duration::from_millis(20),
        RetryReason::ConnectFailed => Duration::from_millis(20),
        RetryReason::LostBeforeFirstToken => Duration::from_millis(100),
        RetryReason::ConnectionSilent => Duration::from_millis(10),
        RetryReason::Draining => Duration::from_millis(10),
    }
}
