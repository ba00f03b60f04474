//! The order of waiting jobs within a workspace: short before long, with a bound on waiting.
//!
//! Load pattern: long generations among short checks. In the order of arrival each short one waits
//! for the long ones before it; shortest first starves the long ones while short ones keep coming.
//!
//! A job is due at its arrival plus a multiple of the time that it is expected to run, and the
//! earliest due goes first. A job that arrives later than another's due time can never go before
//! it, so nobody is overtaken for longer than [`MAX_DELAY`].

use std::time::Duration;

use crate::time::Time;

/// A job expected to run for T may be overtaken by short ones for T. A larger factor gains little
/// for short jobs, which are due almost at once as it is, and a smaller one approaches the order
/// of arrival.
pub const STRETCH: f64 = 1.0;

/// The bound on being overtaken, however long a job is expected to run.
pub const MAX_DELAY: Duration = Duration::from_secs(15);

/// When a job that arrived at `arrival` and is expected to run for `service` is due.
pub fn due(arrival: Time, service: Duration) -> Time {
    arrival + service.mul_f64(STRETCH).min(MAX_DELAY)
}
