//! How often an entry may send a request once more, under a bound that all entries share.
//!
//! Load pattern: servers fail or shed while they are full, and each failure asks for one more send.
//! Without a shared bound, every entry spends a whole one, and the sum multiplies the overload.
//!
//! The bound is a share of a service's requests in a sliding window, plus a fixed slack. An entry takes
//! the share of its own requests, and its part of the slack by the number of entries that it has ever heard of, so
//! that no message is needed for the sum to hold.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The part of the bound that is used: windows slide at the servers too, and an arrival is counted a
/// round trip after its send.
const USED_PART: f64 = 0.85;

/// The bound for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Sends beyond the first of a request, for each request.
    pub ratio: f64,
    /// Such sends that are free, in each window.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// One service's sends at one entry.
#[derive(Debug)]
pub struct RetryWindow {
    bound: RetryBound,
    // Both in the order of time, none older than the window.
    firsts: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RetryWindow {
    /// No sends yet.
    pub fn new(bound: RetryBound) -> Self {
        RetryWindow {
            bound,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// A request came for the service.
    pub fn request(&mut self, now: Time) {
        self.trim(now);
        self.firsts.push_back(now);
    }

    /// Takes one send beyond the first, if the bound has one left for one of `entries`; an entry that does not know how
    /// many there are has no part of the slack. `spare` of the bound is left for others, from 0 to 1.
    pub fn take(&mut self, now: Time, entries: Option<usize>, spare: f64) -> bool {
        self.trim(now);
        let part = entries.map_or(0.0, |entries| self.bound.slack / entries.max(1) as f64);
        let most = (self.bound.ratio * self.firsts.len() as f64 + part) * USED_PART;
        if self.repeats.len() as f64 + 1.0 > most * (1.0 - spare) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn trim(&mut self, now: Time) {
        let oldest = now.before(self.bound.window);
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < oldest) {
                times.pop_front();
            }
        }
    }
}
