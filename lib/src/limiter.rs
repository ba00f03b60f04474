//! How many calls run at once at a plain service, found out from the time that calls take.
//!
//! Load pattern: a booking application takes 8 calls at a time well, and at 80 it takes ten times as
//! long for each, until callers time out and all of its work is lost. Nobody states the number 8, and
//! it changes with each release. Without a limit, an overload turns the whole service slow.
//!
//! The limit grows while calls take about as long as when there are few, and shrinks in proportion
//! when they take longer. What they take when there are few is measured at once and then every
//! [`REMEASURE`], by halving the limit for two windows, so that a release that is slower for good is
//! not mistaken for load, nor a lasting load for a slower release.
//!
//! Delay: one window, of [`WINDOW`] and at least [`SAMPLES`] calls. Hysteresis: [`TOLERANCE`], and the
//! new limit is the mean of the old one and the one that the window asks for.

use std::time::Duration;

use crate::time::Time;

/// The shortest window over which calls are averaged: below it, one slow call moves the limit.
pub const WINDOW: Duration = Duration::from_millis(250);

/// The fewest calls in a window.
pub const SAMPLES: u32 = 10;

/// Calls may take this many times their unhindered time before the limit shrinks. Below, ordinary
/// scatter shrinks it; far above, callers wait inside the service, where no order is kept.
pub const TOLERANCE: f64 = 1.5;

/// How often the unhindered time is measured anew. Two windows in 30 s at half the limit cost about
/// one per cent of the throughput.
pub const REMEASURE: Duration = Duration::from_secs(30);

/// How soon it is measured again when it was found to be shorter: the limit was far too high, and
/// its half may be so as well.
const MEASURE_SOON: Duration = Duration::from_secs(1);

/// A measured time below this part of the earlier one counts as shorter.
const SHORTER: f64 = 0.8;

/// The limit shrinks by at most this factor in a window.
const MOST_SHRINK: f64 = 0.5;

/// A window with more failed calls than this shrinks the limit whatever the times are.
const FAILED_SHARE: f64 = 0.2;

/// Settings of a [`Limiter`].
#[derive(Clone, Debug)]
pub struct LimiterSettings {
    first: f64,
    least: f64,
    most: f64,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        LimiterSettings::new()
    }
}

impl LimiterSettings {
    /// A limit that starts at 16 and stays within 2 and 1,000.
    pub fn new() -> Self {
        LimiterSettings {
            first: 16.0,
            least: 2.0,
            most: 1_000.0,
        }
    }

    /// The limit until the first window has passed.
    pub fn with_first(mut self, calls: u32) -> Self {
        self.first = f64::from(calls.max(1));
        self
    }

    /// The least and the largest limit.
    pub fn with_bounds(mut self, least: u32, most: u32) -> Self {
        self.least = f64::from(least.max(1));
        self.most = f64::from(most.max(least));
        self
    }
}

#[derive(Debug, Default)]
struct Window {
    from: Time,
    micros: f64,
    calls: u32,
    failed: u32,
    // The most calls that ran at once.
    peak: u32,
}

/// The limit on calls at one plain service.
#[derive(Debug)]
pub struct Limiter {
    settings: LimiterSettings,
    // Within the bounds of the settings.
    limit: f64,
    running: u32,
    window: Window,
    // Microseconds that a call takes unhindered. Zero until the first window has passed.
    unhindered: f64,
    // When to measure it next.
    measure: Time,
    phase: Phase,
}

/// What the window is for.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// To move the limit.
    Usual,
    /// To let calls end that began before the limit was halved. Holds the limit to go back to.
    Settling(f64),
    /// To measure the unhindered time. Holds the limit to go back to.
    Measuring(f64),
}

impl Limiter {
    /// A limiter at its first limit.
    pub fn new(settings: LimiterSettings) -> Self {
        Limiter {
            limit: settings.first.clamp(settings.least, settings.most),
            settings,
            running: 0,
            window: Window::default(),
            unhindered: 0.0,
            measure: Time::ZERO,
            phase: Phase::Usual,
        }
    }

    /// Counts a call in if there is room for it. Each that was counted in must end by
    /// [`Limiter::finished`] or [`Limiter::cancelled`].
    pub fn try_start(&mut self) -> bool {
        if self.running >= self.limit() {
            return false;
        }
        self.running += 1;
        self.window.peak = self.window.peak.max(self.running);
        true
    }

    /// A call ended. `failed` means that it timed out or that the service said it had too much to do.
    pub fn finished(&mut self, now: Time, duration: Duration, failed: bool) {
        self.running = self.running.saturating_sub(1);
        self.window.micros += duration.as_micros() as f64;
        self.window.calls += 1;
        self.window.failed += u32::from(failed);
        let passed = now.since(self.window.from) >= WINDOW;
        if passed && self.window.calls >= SAMPLES {
            self.close_window(now);
        }
    }

    /// A call ended that says nothing of the service.
    pub fn cancelled(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Calls that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn close_window(&mut self, now: Time) {
        let next = Window {
            from: now,
            peak: self.running,
            ..Window::default()
        };
        let window = std::mem::replace(&mut self.window, next);
        let took = window.micros / f64::from(window.calls);
        match self.phase {
            Phase::Settling(before) => self.phase = Phase::Measuring(before),
            Phase::Measuring(before) => self.measured(now, took, before),
            Phase::Usual if now >= self.measure => {
                self.phase = Phase::Settling(self.limit);
                self.set(self.limit / 2.0);
            }
            Phase::Usual => {
                let wanted = self.wanted(&window, took);
                self.set((self.limit + wanted) / 2.0);
            }
        }
    }

    fn measured(&mut self, now: Time, took: f64, before: f64) {
        let shorter = took < self.unhindered * SHORTER || self.unhindered == 0.0;
        let pause = if shorter { MEASURE_SOON } else { REMEASURE };
        self.measure = now + pause;
        self.unhindered = took;
        self.phase = Phase::Usual;
        self.set(before);
    }

    fn wanted(&self, window: &Window, took: f64) -> f64 {
        let failed = f64::from(window.failed) / f64::from(window.calls);
        if failed > FAILED_SHARE {
            return self.limit * MOST_SHRINK;
        }
        let slack = TOLERANCE * self.unhindered / took.max(1.0);
        if slack < 1.0 {
            return self.limit * slack.max(MOST_SHRINK);
        }
        // A limit that is not reached says nothing of what lies above it.
        if f64::from(window.peak) * 2.0 < self.limit {
            return self.limit;
        }
        self.limit + self.limit.sqrt()
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(self.settings.least, self.settings.most);
    }
}
