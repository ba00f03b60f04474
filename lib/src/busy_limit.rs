//! A learned bound on the requests that one entry has open at a plain server.
//!
//! Load pattern: for some seconds more calls arrive than the servers can do. Each server turns away what it cannot
//! queue and asks for rest, and while it rests it works off its queue and stands idle: the higher the load, the
//! sooner all servers rest at once, and the fewer callers are served.
//!
//! An entry that filled a server until it turned a request away therefore keeps below that number of open requests
//! for a multiple of the rest. Callers beyond it are rejected at once, as the server would have done, the less urgent
//! ones first. A server that turns requests away while it has free slots teaches nothing: fewer requests would not
//! help it.

use std::time::Duration;

use crate::server_rest::MAX_REST;
use crate::time::Time;

/// The share of the open requests at a refusal that are permitted afterwards.
const BACKOFF_SHARE: f64 = 0.8;

/// The share of the bound that each kind of request leaves free for every kind that is more urgent.
const KIND_RESERVE: f64 = 0.2;

/// How long a bound holds, as a multiple of the rest that the refusal cost, but no longer than [`MAX_REST`]. Then the entry finds out whether the
/// server takes more by now.
const RETENTION_FACTOR: u32 = 10;

/// The bound on open requests at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BusyLimit {
    most: u32,
    // Holds until then.
    until: Time,
}

impl BusyLimit {
    /// Records that the server turned away a request of this entry and asked for `rest`, while it had `open` others of
    /// this entry and, if it told so, `busy` requests in all for its `slots`.
    pub(crate) fn record_refusal(
        &mut self,
        now: Time,
        rest: Duration,
        open: u32,
        busy: Option<u32>,
        slots: u32,
    ) {
        let has_free_slots = busy.unwrap_or(open) < slots;
        if has_free_slots || open == 0 {
            return;
        }
        let most = ((f64::from(open) * BACKOFF_SHARE) as u32).max(1);
        self.most = match now < self.until {
            true => self.most.min(most),
            false => most,
        };
        let retention = (rest.min(MAX_REST) * RETENTION_FACTOR).min(MAX_REST);
        self.until = self.until.max(now + retention);
    }

    /// Whether no more requests than the `open` ones are permitted, for a kind of request with so many more urgent ones.
    pub(crate) fn is_reached(&self, now: Time, open: u32, rank: u32) -> bool {
        let reserve = (f64::from(self.most) * KIND_RESERVE).ceil() as u32 * rank;
        let most = self.most.saturating_sub(reserve).max(1);
        now < self.until && open >= most
    }
}
