//! The time that a plain service's servers work on a call, estimated from answers.
//!
//! Load pattern: calls take 15 ms in one deployment and 60 in another, and one server of a service takes several times
//! as long as the others. A place in a queue that is priced by a constant sends calls to another region that would
//! have been served sooner here, or leaves them behind a slow server.
//!
//! Only answers without a queue before them count: the rest of their time is waiting. The mean is an EWMA in which one
//! answer counts little, and no more than a multiple of the mean, so that a call that hangs does not empty a server.

use std::time::Duration;

/// The time of a call before any answer came.
const PRIOR: Duration = Duration::from_millis(40);

/// The weight of the latest answer.
const NEW_WEIGHT: f64 = 0.05;

/// The most that one answer counts, in means.
const MOST_MEANS: f64 = 4.0;

/// The mean time of a call.
#[derive(Clone, Copy, Debug)]
pub struct WorkTime(Duration);

impl Default for WorkTime {
    fn default() -> Self {
        WorkTime(PRIOR)
    }
}

impl WorkTime {
    /// A call was answered so long after it had reached an idle place.
    pub fn answered(&mut self, took: Duration) {
        let took = took.min(self.0.mul_f64(MOST_MEANS));
        self.0 = self.0.mul_f64(1.0 - NEW_WEIGHT) + took.mul_f64(NEW_WEIGHT);
    }

    /// The mean.
    pub fn mean(&self) -> Duration {
        self.0
    }
}
