//! The recent demand for the limited servers of a service.

use std::time::Duration;

use crate::time::Time;

/// Time constant of the decay. Short, so that a share is asked for and lent within a second of a shift of traffic.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Counts requests with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandMeter {
    // Decayed count of requests at `updated_at`.
    count: f64,
    updated_at: Time,
}

impl DemandMeter {
    /// Records a request, whether it was sent or rejected for a limit.
    pub(crate) fn record(&mut self, now: Time) {
        self.count = self.decayed_count(now) + 1.0;
        self.updated_at = now;
    }

    /// The recent demand in requests per second.
    pub(crate) fn per_second(&self, now: Time) -> f64 {
        self.decayed_count(now) / DECAY_TIME.as_secs_f64()
    }

    fn decayed_count(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.count * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
