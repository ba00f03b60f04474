//! Watch waits: how long a watch on the directory may stay pending, derived from the promise that depends on it.
//!
//! Fault pattern: an open connection falls silent without a reset. A watch on it looks like one without news, and only
//! its timeout shows the difference. The change that it has missed must be in force everywhere in time all the same.

use std::time::Duration;

use crate::site::WATCH_ANSWER_TIMEOUT;

/// Time in which a change that the watching relay has just read reaches the other relays: two hellos and a pull.
pub const SPREAD_TIME: Duration = Duration::from_millis(1_050);

/// Minimum wait, below which calls to the directory would cost more than they detect.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// The longest wait of a watch such that a change it misses on a silent connection is in force everywhere `promise` after
/// the change, if it is read at once when the watch has timed out.
pub fn watch_wait(promise: Duration) -> Duration {
    let wait = promise.saturating_sub(WATCH_ANSWER_TIMEOUT + SPREAD_TIME);
    wait.max(MIN_WAIT)
}
