//! One entry's share of a limit on repeated sends that all entries share without coordination.
//!
//! Load pattern: servers fail or shed requests while they are full, and each failure causes a retry. If
//! every entry had the whole limit for itself, the sum would multiply the overload. Meanwhile entries are killed and
//! started again, one after the other or all together, and what a process has spent ends with it.
//!
//! The limit on the retries in a window is a ratio of the service's requests plus a fixed slack. An entry's share is the
//! ratio of its own requests, and an equal part of the slack. The share is a token bucket that holds at most half of
//! what the limit allows in a window, earns at most the other half within a window, and is empty when the process
//! starts. The retries of any window are therefore within the limit, however often entries were restarted in it: those
//! that were running when it began had half of the limit saved, and all together earn no more than the other half.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The part of the limit that can be saved up. The rest is earned within a window.
const SAVED_PART: f64 = 0.5;

/// The smallest part of the slack by which an entry can save up a whole retry.
pub const MIN_SLACK_SHARE: f64 = 1.0 / SAVED_PART;

/// Longest time from the decision to retry until the request reaches the server: a connection attempt that fails just
/// before its timeout, with the round trips of a second region.
const MAX_SEND_DELAY: Duration = Duration::from_secs(1);

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

/// The state of an entry's share of one service's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub requests: usize,
    /// Retries that may be made now.
    pub level: f64,
    /// Retries that can be saved up.
    pub capacity: f64,
}

/// An entry's share of one service's limit.
#[derive(Debug)]
pub struct RetryShare {
    limit: RetryLimit,
    // From zero to the capacity.
    level: f64,
    refilled_at: Time,
    // In chronological order, with none older than the window.
    requests: VecDeque<Time>,
    // Whether the share is to be filled as soon as this entry has a part of the slack.
    fills: bool,
}

impl RetryShare {
    /// Creates a share that was empty when the process started.
    pub fn new(limit: RetryLimit) -> Self {
        RetryShare {
            limit,
            level: 0.0,
            refilled_at: Time::ZERO,
            requests: VecDeque::new(),
            fills: false,
        }
    }

    /// Fills the share, for a process that has no predecessor: nothing can have been spent before it.
    pub fn with_full(self) -> Self {
        RetryShare {
            fills: true,
            ..self
        }
    }

    /// Changes the limit. What was earned so far is kept as far as the new limit lets it be saved up.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Records a request for the service, which earns a part of a retry. `slack` is this entry's part of the slack.
    pub fn record_request(&mut self, now: Time, slack: f64) {
        self.refill(now, slack);
        self.requests.push_back(now);
        self.earn(self.limit.ratio, slack);
    }

    /// Takes one retry if the share allows it, and returns whether it did. `slack` is this entry's part of the slack.
    pub fn try_retry(&mut self, now: Time, slack: f64) -> bool {
        self.refill(now, slack);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// The current state. `slack` is this entry's part of the slack.
    pub fn usage(&mut self, now: Time, slack: f64) -> RetryUsage {
        self.refill(now, slack);
        RetryUsage {
            requests: self.requests.len(),
            level: self.level,
            capacity: self.capacity(slack),
        }
    }

    fn refill(&mut self, now: Time, slack: f64) {
        let oldest = now.before(self.limit.window);
        while self.requests.front().is_some_and(|at| *at < oldest) {
            self.requests.pop_front();
        }
        let windows = now.since(self.refilled_at).as_secs_f64() / self.limit.window.as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if self.fills && slack > 0.0 {
            self.fills = false;
            self.level = self.capacity(slack);
        }
        self.earn(slack * windows, slack);
    }

    /// Adds what `allowed` retries of the limit earn.
    fn earn(&mut self, allowed: f64, slack: f64) {
        let window = self.limit.window.as_secs_f64();
        // Sends of a longer time than the window can arrive within one.
        let margin = window / (window + MAX_SEND_DELAY.as_secs_f64());
        let earned = allowed * (1.0 - SAVED_PART) * margin;
        self.level = (self.level + earned).min(self.capacity(slack));
    }

    fn capacity(&self, slack: f64) -> f64 {
        (self.limit.ratio * self.requests.len() as f64 + slack) * SAVED_PART
    }
}
