//! Watch waits: how long a watch on the directory may stay pending, derived from the promise that depends on it.
//!
//! Fault pattern: an open connection falls silent without a reset. A watch on it looks like one without news, and only
//! its timeout shows the difference. The change that it has missed must be in force everywhere in time all the same.

use std::time::Duration;

/// Time beyond its wait after which an unanswered watch on the configuration is given up, and the whole read again: less
/// than that of a failed call, since a call that is only slow costs no more than the read.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for a read after that.
pub const READ_TIME: Duration = Duration::from_millis(100);

/// Time in which a change that the watching relay has announced at once is pulled by the relays that hear it.
pub const PULL_TIME: Duration = Duration::from_millis(600);

/// The same for a change that is announced with the next hello.
pub const SPREAD_TIME: Duration = Duration::from_millis(1_050);

/// Minimum wait, below which calls to the directory would cost more than they detect.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// The longest wait of a watch such that a change it misses on a silent connection is in force everywhere `promise` after
/// the change, if that takes `reaction` from the end of the wait.
pub fn watch_wait(promise: Duration, reaction: Duration) -> Duration {
    promise.saturating_sub(reaction).max(MIN_WAIT)
}
