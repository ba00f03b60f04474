//! Time as the decision modules see it: handed in by the caller, never read from a clock.

use std::ops::Add;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

use crate::copy_type;

copy_type! {
    /// Microseconds since an origin that the process chose when it started.
    ///
    /// Comparable only within one process: it is never sent to another one.
    #[derive(Default)]
    pub struct Time(u64);
}

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);

    /// The time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// The time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Seconds since the origin.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The time that has passed since `earlier`; zero where `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time that lies `duration` before; the origin where that would lie before it.
    pub fn before(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

/// The process's clock, for the code that carries decisions out.
///
/// It counts the time for which the host was suspended, which the monotonic clock does not: to a process on
/// such a host reports and leases would look as fresh as before.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Clock {
            origin: since_boot(),
        }
    }

    /// The time that has passed since the origin, on a clock that never goes back.
    pub fn now(&self) -> Time {
        Time::ZERO + since_boot().saturating_sub(self.origin)
    }
}

/// The time since the host started, suspended or not.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    // Every kernel that is served has this clock.
    time.map(Duration::from).unwrap_or_default()
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
