//! The part of the last seconds in which an engine had a prompt to prefill.

use std::time::Duration;

/// Half-life of the observations, in seconds. A prompt takes 0.2 to 0.6 s to prefill, so that ten of them count.
const HALF_LIFE_S: f64 = 3.0;

/// Observed time and the prefill time in it, both with decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillUse {
    observed_s: f64,
    busy_s: f64,
}

impl PrefillUse {
    /// Records whether the engine had a prompt to prefill for the last `elapsed`.
    pub(crate) fn record(&mut self, elapsed: Duration, busy: bool) {
        let seconds = elapsed.as_secs_f64();
        let decay = 0.5_f64.powf(seconds / HALF_LIFE_S);
        self.observed_s = self.observed_s * decay + seconds;
        self.busy_s = self.busy_s * decay + if busy { seconds } else { 0.0 };
    }

    /// The part in percent; zero without observations.
    pub(crate) fn percent(&self) -> u8 {
        if self.observed_s <= 0.0 {
            return 0;
        }
        (100.0 * self.busy_s / self.observed_s)
            .round()
            .clamp(0.0, 100.0) as u8
    }
}
