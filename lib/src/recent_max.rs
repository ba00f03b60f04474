//! Maximum of recent observations.

use std::time::Duration;

use crate::time::Time;

/// How long an observation counts, at least; at most twice as long.
const SPAN: Duration = Duration::from_secs(30);

/// An observed value, and when it was observed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observed<T> {
    /// The value.
    pub value: T,
    /// When it was observed.
    pub at: Time,
}

/// The largest value observed recently.
#[derive(Clone, Copy, Debug)]
pub struct RecentMax<T> {
    // The largest of the present span, and of the one before it.
    present: Option<Observed<T>>,
    former: Option<Observed<T>>,
    since: Time,
}

impl<T> Default for RecentMax<T> {
    fn default() -> Self {
        RecentMax {
            present: None,
            former: None,
            since: Time::ZERO,
        }
    }
}

impl<T: Copy + Ord> RecentMax<T> {
    /// Records an observation.
    pub fn record(&mut self, now: Time, value: T) {
        self.advance(now);
        if self.present.is_none_or(|present| present.value <= value) {
            self.present = Some(Observed { value, at: now });
        }
    }

    /// The largest recent value; `None` if nothing was observed.
    pub fn longest(&mut self, now: Time) -> Option<T> {
        self.observed(now).map(|observed| observed.value)
    }

    /// The largest recent value, and when it was last observed.
    pub fn observed(&mut self, now: Time) -> Option<Observed<T>> {
        self.advance(now);
        let candidates = [self.present, self.former].into_iter().flatten();
        candidates.max_by_key(|observed| (observed.value, observed.at))
    }

    fn advance(&mut self, now: Time) {
        let passed = now.since(self.since);
        if passed < SPAN {
            return;
        }
        self.former = self.present.filter(|_| passed < 2 * SPAN);
        self.present = None;
        self.since = now;
    }
}
