//! Estimates the service time of calls at a plain service's servers: how long a server works on a call.
//!
//! Load pattern: calls take 15 ms in one deployment and 60 in another, and one server of a service takes several times
//! as long as the others. If the cost of a queue position is a constant, calls are sent to another region although the
//! local one would have served them sooner, or are left queued at a slow server.
//!
//! Only calls that met no queue are counted, because for the others the time includes waiting. The mean is an EWMA with
//! a small weight, and one answer counts for at most a few times the mean, so that a single call that hangs does not
//! divert all traffic from a server.

use std::time::Duration;

/// Assumed service time before the first answer.
const PRIOR: Duration = Duration::from_millis(40);

/// EWMA weight of the latest answer.
const NEW_WEIGHT: f64 = 0.05;

/// Cap on one answer, as a multiple of the current mean.
const MAX_OUTLIER: f64 = 4.0;

/// Mean service time of calls.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime(Duration);

impl Default for ServiceTime {
    fn default() -> Self {
        ServiceTime(PRIOR)
    }
}

impl ServiceTime {
    /// Records a call that found an idle slot and was answered after `took`.
    pub fn record(&mut self, took: Duration) {
        let took = took.min(self.0.mul_f64(MAX_OUTLIER));
        self.0 = self.0.mul_f64(1.0 - NEW_WEIGHT) + took.mul_f64(NEW_WEIGHT);
    }

    /// Current mean.
    pub fn mean(&self) -> Duration {
        self.0
    }
}
