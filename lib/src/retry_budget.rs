//! How often the system may try again: one budget for each service.
//!
//! Load pattern: servers fail or refuse while they are full, and every failure asks for a second try.
//! Without a budget, at three tries each, an overload turns into three times the overload and does
//! not end when its cause does. With it, retries add at most a fixed share to the requests.
//!
//! Only the entry retries. An agent reports what became of a request and never tries again, so that
//! retries of two layers do not multiply.
//!
//! Work handed back by a leaving server, and streams that go on over a new connection, add no load:
//! the first was not run, the second is the same generation. They have an allowance of their own, so
//! that a drain during an overload still loses nothing.

use std::time::Duration;

use crate::outcome::RetryReason;
use crate::time::Time;

/// Retries earned by each first try. One in ten keeps the load of retries within what the headroom of
/// a server that runs at nine tenths can take.
pub const RETRY_SHARE: f64 = 0.1;

/// Retries that may be saved up, and that a service starts with: the requests that one lost server
/// hands back at once, of about its batch.
pub const RETRY_RESERVE: f64 = 32.0;

/// Retries a second earned by time, so that a service with few requests gets its reserve back. At one
/// a second, an entry with three requests a second would retry each third of them.
pub const RETRY_TRICKLE: f64 = 0.1;

/// Hand-overs that may be saved up: the queues of several servers that leave together.
pub const HANDOVER_RESERVE: f64 = 512.0;

/// Hand-overs a second earned by time.
pub const HANDOVER_RATE: f64 = 128.0;

/// Pauses grow by up to this factor while the budget empties, which slows the storm before it ends.
const STRETCH: f64 = 4.0;

/// Settings of the retry budget of each service.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    share: f64,
    reserve: f64,
    trickle: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings::new()
    }
}

impl RetrySettings {
    /// The defaults.
    pub fn new() -> Self {
        RetrySettings {
            share: RETRY_SHARE,
            reserve: RETRY_RESERVE,
            trickle: RETRY_TRICKLE,
        }
    }

    /// Retries earned by each first try, 0 to 1.
    pub fn with_share(mut self, share: f64) -> Self {
        self.share = share.clamp(0.0, 1.0);
        self
    }

    /// Retries that may be saved up, 1 to 10,000.
    pub fn with_reserve(mut self, retries: f64) -> Self {
        self.reserve = retries.clamp(1.0, 10_000.0);
        self
    }

    /// Retries a second earned by time, 0 to 100.
    pub fn with_trickle(mut self, retries: f64) -> Self {
        self.trickle = retries.clamp(0.0, 100.0);
        self
    }
}

/// The retry budget of one service at one entry.
///
/// Over any span, retries that cost are at most the reserve, plus the share of the first tries in the
/// span, plus the trickle of the span.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    // 0 to the reserve.
    level: f64,
    // 0 to `HANDOVER_RESERVE`.
    handovers: f64,
    filled: Time,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetrySettings, now: Time) -> Self {
        RetryBudget {
            level: settings.reserve,
            handovers: HANDOVER_RESERVE,
            settings,
            filled: now,
        }
    }

    /// A request was handed to its first server.
    pub fn first_try(&mut self, now: Time) {
        self.fill(now);
        self.level = (self.level + self.settings.share).min(self.settings.reserve);
    }

    /// The pause before a retry, or `None` if there shall be none.
    pub fn take(
        &mut self,
        now: Time,
        reason: RetryReason,
        rng: &mut fastrand::Rng,
    ) -> Option<Duration> {
        self.fill(now);
        let left = if adds_load(reason) {
            take_one(&mut self.level)?;
            self.level / self.settings.reserve
        } else {
            take_one(&mut self.handovers)?;
            self.handovers / HANDOVER_RESERVE
        };
        let stretch = 1.0 + (1.0 - left) * (STRETCH - 1.0);
        let longest = longest_pause(reason).mul_f64(stretch);
        Some(longest.mul_f64(rng.f64()))
    }

    /// Retries left.
    pub fn level(&self) -> f64 {
        self.level
    }

    fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).as_secs_f64();
        let level = self.level + passed * self.settings.trickle;
        let handovers = self.handovers + passed * HANDOVER_RATE;
        self.level = level.min(self.settings.reserve);
        self.handovers = handovers.min(HANDOVER_RESERVE);
        self.filled = self.filled.max(now);
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

/// The pause is drawn evenly from zero to this, so that what failed together does not return
/// together. Long where the cause is likely to last, short where another server is likely free.
fn longest_pause(reason: RetryReason) -> Duration {
    match reason {
        RetryReason::AgentRefused => Duration::from_millis(20),
        RetryReason::ConnectFailed => Duration::from_millis(20),
        RetryReason::LostBeforeFirstToken => Duration::from_millis(100),
        RetryReason::ConnectionSilent => Duration::from_millis(10),
        RetryReason::Draining => Duration::from_millis(10),
    }
}
