//! An adaptive limit on concurrent calls to a plain service, derived from measured call latency.
//!
//! Load pattern: a booking application handles 8 concurrent calls well, but at 80 each takes ten times as
//! long, until callers time out and all of its work is lost. Nobody configures the number 8, and it
//! changes with each release. Without a limit, an overload slows down the whole service.
//!
//! The limit grows while latency is close to the baseline, and shrinks in proportion when it is higher.
//! The baseline is the latency under little load. It is measured first at startup and then every
//! [`REMEASURE`], by halving the limit for two windows, so that neither is a release that is permanently
//! slower mistaken for load, nor lasting load for a slower release.
//!
//! Reaction time: one window, of [`WINDOW`] and at least [`SAMPLES`] calls. Damping: [`TOLERANCE`], and
//! the new limit is the mean of the old one and the one that the window suggests.

use std::time::Duration;

use crate::time::Time;

/// The shortest window over which calls are averaged. In a shorter one a single slow call would move the
/// limit.
pub const WINDOW: Duration = Duration::from_millis(250);

/// The minimum number of calls in a window.
pub const SAMPLES: u32 = 10;

/// The limit shrinks when latency exceeds this multiple of the baseline. A lower value would react to
/// ordinary variance; a much higher one lets calls queue inside the service, where they have no order.
pub const TOLERANCE: f64 = 1.5;

/// How often the baseline is measured again. Two windows at half the limit every 30 s cost about one per
/// cent of the throughput.
pub const REMEASURE: Duration = Duration::from_secs(30);

/// How soon the baseline is measured again after it was found to be shorter: the limit was far too high,
/// and half of it may be as well.
const REMEASURE_AFTER_DROP: Duration = Duration::from_secs(1);

/// A baseline below this share of the previous one counts as shorter.
const BASELINE_DROP: f64 = 0.8;

/// The smallest factor by which the limit shrinks in one window.
const MIN_SHRINK_FACTOR: f64 = 0.5;

/// If a larger share of the calls in a window fails, the limit shrinks regardless of latency.
const MAX_FAILED_SHARE: f64 = 0.2;

/// Settings of a [`ConcurrencyLimiter`].
#[derive(Clone, Debug)]
pub struct LimiterSettings {
    initial: f64,
    min: f64,
    max: f64,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        LimiterSettings::new()
    }
}

impl LimiterSettings {
    /// An initial limit of 16, with bounds of 2 and 1,000.
    pub fn new() -> Self {
        LimiterSettings {
            initial: 16.0,
            min: 2.0,
            max: 1_000.0,
        }
    }

    /// Sets the limit that applies until the first window has ended.
    pub fn with_first(mut self, calls: u32) -> Self {
        self.initial = f64::from(calls.max(1));
        self
    }

    /// Sets the smallest and the largest limit.
    pub fn with_bounds(mut self, min: u32, max: u32) -> Self {
        self.min = f64::from(min.max(1));
        self.max = f64::from(max.max(min));
        self
    }
}

/// Statistics of the calls that ended in the current window.
#[derive(Debug, Default)]
struct Window {
    start: Time,
    // Sum of the latencies.
    total_micros: f64,
    calls: u32,
    failed: u32,
    // Highest number of concurrent calls.
    peak: u32,
}

/// The limit on concurrent calls to one plain service.
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    settings: LimiterSettings,
    // Within the bounds of the settings.
    limit: f64,
    running: u32,
    window: Window,
    // Latency in microseconds under little load. Zero until it has been measured.
    baseline: f64,
    next_measurement: Time,
    phase: Phase,
}

/// The purpose of the current window.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Adjusts the limit.
    Adjusting,
    /// Lets calls end that began before the limit was halved. Holds the limit to restore.
    Settling(f64),
    /// Measures the baseline. Holds the limit to restore.
    Measuring(f64),
}

impl ConcurrencyLimiter {
    /// Creates a limiter at its initial limit.
    pub fn new(settings: LimiterSettings) -> Self {
        ConcurrencyLimiter {
            limit: settings.initial.clamp(settings.min, settings.max),
            settings,
            running: 0,
            window: Window::default(),
            baseline: 0.0,
            next_measurement: Time::ZERO,
            phase: Phase::Adjusting,
        }
    }

    /// Starts a call if the limit allows it. Every started call must be reported to
    /// [`ConcurrencyLimiter::finished`] or [`ConcurrencyLimiter::cancelled`].
    pub fn try_start(&mut self) -> bool {
        if self.running >= self.limit() {
            return false;
        }
        self.running += 1;
        self.window.peak = self.window.peak.max(self.running);
        true
    }

    /// Records a call that ended. `failed` means that it timed out or that the service reported overload.
    pub fn finished(&mut self, now: Time, duration: Duration, failed: bool) {
        self.running = self.running.saturating_sub(1);
        self.window.total_micros += duration.as_micros() as f64;
        self.window.calls += 1;
        self.window.failed += u32::from(failed);
        let long_enough = now.since(self.window.start) >= WINDOW;
        if long_enough && self.window.calls >= SAMPLES {
            self.close_window(now);
        }
    }

    /// Records a call that ended without telling anything about the service.
    pub fn cancelled(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The maximum number of concurrent calls.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// The number of calls in progress.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn close_window(&mut self, now: Time) {
        let next = Window {
            start: now,
            peak: self.running,
            ..Window::default()
        };
        let window = std::mem::replace(&mut self.window, next);
        let latency = window.total_micros / f64::from(window.calls);
        match self.phase {
            Phase::Settling(restore) => self.phase = Phase::Measuring(restore),
            Phase::Measuring(restore) => self.set_baseline(now, latency, restore),
            Phase::Adjusting if now >= self.next_measurement => {
                self.phase = Phase::Settling(self.limit);
                self.set(self.limit / 2.0);
            }
            Phase::Adjusting => {
                let target = self.target(&window, latency);
                self.set((self.limit + target) / 2.0);
            }
        }
    }

    fn set_baseline(&mut self, now: Time, latency: f64, restore: f64) {
        let shorter = latency < self.baseline * BASELINE_DROP || self.baseline == 0.0;
        let interval = if shorter {
            REMEASURE_AFTER_DROP
        } else {
            REMEASURE
        };
        self.next_measurement = now + interval;
        self.baseline = latency;
        self.phase = Phase::Adjusting;
        self.set(restore);
    }

    /// The limit that the window suggests.
    fn target(&self, window: &Window, latency: f64) -> f64 {
        let failed_share = f64::from(window.failed) / f64::from(window.calls);
        if failed_share > MAX_FAILED_SHARE {
            return self.limit * MIN_SHRINK_FACTOR;
        }
        let factor = TOLERANCE * self.baseline / latency.max(1.0);
        if factor < 1.0 {
            return self.limit * factor.max(MIN_SHRINK_FACTOR);
        }
        // A window that came nowhere near the limit does not show that the service could take more.
        if f64::from(window.peak) * 2.0 < self.limit {
            return self.limit;
        }
        self.limit + self.limit.sqrt()
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(self.settings.min, self.settings.max);
    }
}
