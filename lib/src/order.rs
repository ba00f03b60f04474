//! The queue order of waiting jobs within a workspace: short jobs first, with bounded delay for
//! long ones.
//!
//! Load pattern: long generations mixed with short checks. With first-in-first-out, each short job
//! waits for the long ones ahead of it; shortest-job-first starves the long ones as long as short
//! ones keep arriving.
//!
//! Jobs are ordered by due time: the arrival time plus a multiple of the expected run time. A job
//! that arrives after another one's due time is never placed ahead of it, so no job is overtaken
//! for longer than [`MAX_DELAY`].

use std::time::Duration;

use crate::time::Time;

/// The factor applied to the expected run time. At 1.0, a job expected to run for T can be
/// overtaken by short jobs for T. A larger factor gains little for short jobs, which are due almost
/// immediately anyway, and a smaller one approaches first-in-first-out.
pub const DELAY_FACTOR: f64 = 1.0;

/// The longest time for which a job can be overtaken, however long it is expected to run.
pub const MAX_DELAY: Duration = Duration::from_secs(15);

/// The due time of a job that arrived at `arrival` and is expected to run for `service`.
pub fn due_time(arrival: Time, service: Duration) -> Time {
    arrival + service.mul_f64(DELAY_FACTOR).min(MAX_DELAY)
}
