//! A limit on retries over a sliding window, shared by all entries without coordination.
//!
//! Load pattern: servers fail or shed requests while they are full, and each failure causes a retry. If
//! every entry had the whole limit for itself, the sum would multiply the overload.
//!
//! The limit is a share of a service's requests in the window plus a fixed slack. An entry uses the share of
//! its own requests, and an equal part of the slack: it divides the slack by the number of entries that it
//! has ever heard of, so that the sum stays within the limit without any messages.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The share of the limit that is used. The servers have sliding windows too, and count an arrival a round
/// trip after it was sent.
const SAFETY_FACTOR: f64 = 0.85;

/// The limit on the retries of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The use of one service's limit at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub requests: usize,
    /// Retries in the window.
    pub retries: usize,
    /// Retries that this entry may make in the window.
    pub limit: f64,
}

/// The requests and retries of one service at one entry.
#[derive(Debug)]
pub struct RetryWindow {
    limit: RetryLimit,
    // Both in chronological order, with no entry older than the window.
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryWindow {
    /// Creates an empty window.
    pub fn new(limit: RetryLimit) -> Self {
        RetryWindow {
            limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, now: Time) {
        self.trim(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the limit allows it, and returns whether it did. `entries` is the number of entries
    /// that share the slack; while it is unknown this entry has no part of the slack. `reserved`, from 0 to 1,
    /// is the share of the limit to leave for other retries.
    pub fn try_retry(&mut self, now: Time, entries: Option<usize>, reserved: f64) -> bool {
        let usage = self.usage(now, entries);
        if usage.retries as f64 + 1.0 > usage.limit * (1.0 - reserved) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// What the limit allows this entry, and what is used.
    pub fn usage(&mut self, now: Time, entries: Option<usize>) -> RetryUsage {
        self.trim(now);
        let slack = entries.map_or(0.0, |entries| self.limit.slack / entries.max(1) as f64);
        RetryUsage {
            requests: self.requests.len(),
            retries: self.retries.len(),
            limit: (self.limit.ratio * self.requests.len() as f64 + slack) * SAFETY_FACTOR,
        }
    }

    fn trim(&mut self, now: Time) {
        let oldest = now.before(self.limit.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < oldest) {
                times.pop_front();
            }
        }
    }
}
