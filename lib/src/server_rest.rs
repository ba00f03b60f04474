//! Rest that backend servers ask for: how long a server wants no requests from this entry.
//!
//! Load pattern: an overloaded server turns requests away and names the time after which it may be asked again. If
//! the entry goes on sending, each request costs its caller a round trip for nothing and the service a retry, while
//! other servers have room. If the entry sends everything again as soon as the time is over, the server is overloaded
//! again at once.
//!
//! A server that asked for rest is therefore left out of all choices until the time is over. Then it is on trial:
//! single requests at an interval, until one that was sent after the rest is accepted. Rest concerns only the entry
//! that was asked for it, and never counts as a failure of the server.

use std::time::Duration;

use crate::time::Time;

/// Rest for a request whose time cannot be read.
pub const DEFAULT_REST: Duration = Duration::from_secs(1);

/// Longer rests are shortened to this one, after which the server is tried: a garbled time must not take it out of
/// use for good.
pub const MAX_REST: Duration = Duration::from_secs(600);

/// Interval between requests to a server on trial. Trials without an answer delay the next one no longer than this.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a server rests or is on trial, as one entry knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestState {
    // End of the longest rest that the server asked for.
    until: Time,
    // Whether no request that was sent after the rest has been accepted yet.
    on_trial: bool,
    // When the next request may be sent while it is on trial; never before `until`.
    next_trial: Time,
}

impl RestState {
    /// Records that the server asks for rest; returns whether it did not rest before. Of several rests the one that
    /// ends last holds, since answers overtake each other.
    pub fn record_request(&mut self, now: Time, rest: Duration) -> bool {
        if rest.is_zero() {
            return false;
        }
        let rested = self.is_resting(now);
        self.until = self.until.max(now + rest.min(MAX_REST));
        self.next_trial = self.next_trial.max(self.until);
        self.on_trial = true;
        !rested
    }

    /// Records that the server accepted a request that was sent at `sent`.
    pub fn record_accepted(&mut self, sent: Time) {
        if sent >= self.until {
            self.on_trial = false;
        }
    }

    /// Records that a request is sent to the server.
    pub fn record_sent(&mut self, now: Time) {
        if self.on_trial && now >= self.until {
            self.next_trial = now + TRIAL_INTERVAL;
        }
    }

    /// Whether the server rests.
    pub fn is_resting(&self, now: Time) -> bool {
        now < self.until
    }

    /// The rest that is left.
    pub fn left(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// How long until a request may be sent to the server.
    pub fn wait(&self, now: Time) -> Duration {
        match self.on_trial {
            true => self.next_trial.since(now),
            false => Duration::ZERO,
        }
    }
}
