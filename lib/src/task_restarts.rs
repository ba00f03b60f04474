//! Restarts of a long-lived task that has panicked.
//!
//! Failure: a task that follows the deployment's state panics at something that it reads. If it is not started again, the
//! process serves on with what it knew then. If it is started again at once, it reads the same again, panics again, and
//! uses up the processor and the directory's rate limit.
//!
//! So it is started again after a pause that doubles with each panic. After several panics in a row it counts as
//! failing, until it has run for a while.

use std::time::Duration;

use crate::time::Time;

/// The pause after the first panic, and its maximum.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Panics in a row after which a task counts as failing.
const FAILING_AFTER: u32 = 3;

/// A task that has run for this long has recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// The panics of one task.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRestarts {
    // In a row.
    panics: u32,
    last_panic: Time,
}

impl TaskRestarts {
    /// Creates the state of a task that has not panicked.
    pub fn new() -> Self {
        TaskRestarts::default()
    }

    /// Records a panic; returns the pause after which the task is to be started again.
    pub fn record_panic(&mut self, now: Time) -> Duration {
        let recovered = now.since(self.last_panic) >= RECOVERY_TIME;
        let before = if recovered { 0 } else { self.panics };
        self.panics = before.saturating_add(1);
        self.last_panic = now;
        let doublings = before.min(u32::BITS - 1);
        MIN_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE)
    }

    /// Whether the task panics again and again.
    pub fn is_failing(&self, now: Time) -> bool {
        self.panics >= FAILING_AFTER && now.since(self.last_panic) < RECOVERY_TIME
    }
}
