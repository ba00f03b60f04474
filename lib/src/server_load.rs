//! The load that a plain server states in its answers, and how much of it still holds when the next call is placed.
//!
//! Load pattern: the servers of a service differ in slots and share their hosts with other processes, so that the same
//! call takes half or several times as long from one moment to the next. An entry that takes the latest statement for
//! the present sends all its calls to the server that was fast a moment ago. One that ignores the statements keeps
//! sending to a server whose host is overloaded for longer.
//!
//! The deviation of the latest statement from the server's mean therefore fades with its age, and the mean, an EWMA,
//! stays. Statements that call a host faster than usual are not counted until they are the mean.

use std::time::Duration;

use crate::copy_type;
use crate::time::Time;

/// The load of one server, in requests. Larger counts than this are stated by no sound server and are capped.
const MAX_REQUESTS: u32 = 1_000_000;

/// Range of the stated duration of work, in percent of the usual.
const MIN_WORK_PERCENT: u32 = 10;
const MAX_WORK_PERCENT: u32 = 10_000;

/// The usual duration of work, in percent.
const USUAL_PERCENT: f64 = 100.0;

/// Age at which a statement of the duration of work says no more about the present than the mean does.
const SPEED_LIFETIME: Duration = Duration::from_millis(400);

/// Interval over which the mean takes over two thirds of a change. Statements that come faster count for less each.
const MEAN_TIME: Duration = Duration::from_secs(2);

copy_type! {
    /// The load that a server states in an answer.
    #[derive(Default)]
    pub struct ServerLoad {
        /// Running requests.
        pub running: u32,
        /// Waiting requests.
        pub waiting: u32,
        /// Requests that it runs concurrently, if it states that.
        pub slots: Option<u32>,
        /// How long work takes on its host at this moment, in percent of the usual, if it states that.
        pub work_percent: Option<u32>,
    }
}

impl ServerLoad {
    /// Creates a statement of running and waiting requests only.
    pub fn new(running: u32, waiting: u32) -> Self {
        ServerLoad {
            running: running.min(MAX_REQUESTS),
            waiting: waiting.min(MAX_REQUESTS),
            ..ServerLoad::default()
        }
    }

    /// Adds the slots. Zero slots are no statement.
    pub fn with_slots(self, slots: Option<u32>) -> Self {
        ServerLoad {
            slots: slots.filter(|slots| *slots > 0),
            ..self
        }
    }

    /// Adds how long work takes, in percent of the usual. Zero is no statement, and figures out of any proportion are
    /// capped.
    pub fn with_work_percent(self, percent: Option<u32>) -> Self {
        let percent = percent.filter(|percent| *percent > 0);
        ServerLoad {
            work_percent: percent.map(|p| p.clamp(MIN_WORK_PERCENT, MAX_WORK_PERCENT)),
            ..self
        }
    }

    /// Running and waiting requests.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// How long work takes, as a multiple of the usual.
    pub fn slowdown(&self) -> f64 {
        self.work_percent
            .map_or(1.0, |percent| f64::from(percent) / USUAL_PERCENT)
    }
}

/// How long work takes on a server's host, as stated in its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostSpeed {
    latest: Option<StatedSpeed>,
}

#[derive(Clone, Copy, Debug)]
struct StatedSpeed {
    at: Time,
    // Multiples of the usual duration of work.
    slowdown: f64,
    mean: f64,
}

impl HostSpeed {
    /// Records a statement. One that is missing changes nothing.
    pub fn record(&mut self, now: Time, load: &ServerLoad) {
        if load.work_percent.is_none() {
            return;
        }
        let slowdown = load.slowdown();
        let mean = match self.latest {
            None => slowdown,
            Some(before) => {
                let elapsed = now.since(before.at).as_secs_f64();
                let weight = 1.0 - (-elapsed / MEAN_TIME.as_secs_f64()).exp();
                before.mean + (slowdown - before.mean) * weight
            }
        };
        self.latest = Some(StatedSpeed {
            at: now,
            slowdown,
            mean,
        });
    }

    /// The expected duration of work now, as a multiple of the usual. 1 if the server states nothing.
    pub fn slowdown(&self, now: Time) -> f64 {
        let Some(latest) = self.latest else {
            return 1.0;
        };
        let age = now.since(latest.at).as_secs_f64() / SPEED_LIFETIME.as_secs_f64();
        let deviation = (latest.slowdown - latest.mean).max(0.0);
        latest.mean + deviation * (1.0 - age).max(0.0)
    }
}
