//! Cold-start admission: limits how many requests an entry sends to a backend server that has just started.
//!
//! Load pattern: the servers of a zone restart together during a burst, cold and less loaded than all others. Every
//! entry prefers them at once, and a cold server crashes if more requests arrive per second than it tolerates.
//!
//! So each entry keeps to a fixed share of the tolerated rate, see `entry_shares`. If the rate is below one request
//! per second and entry, only the entries drawn for the server send to it. An entry that does not know the other
//! entries yet sends nothing, nor does one whose former process may have sent its share a moment ago.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::entry_shares::EntryShares;
use crate::figure_type;
use crate::time::Time;

/// Window over which sends are counted: one second plus 100 ms for differences in network delay, by which sends can
/// arrive closer together than they were sent.
pub(crate) const WINDOW: Duration = Duration::from_millis(1_100);

figure_type! {
    /// Cold-start limits of a service's servers.
    #[derive(Default)]
    pub struct ColdStart {
        /// How long a server is cold after it starts.
        pub period: Duration,
        /// Requests per second that a cold server tolerates; zero means unlimited.
        pub rate: f64,
    }
}

impl ColdStart {
    /// Whether requests to cold servers are limited.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }

    /// Requests per second that this entry may send to the cold server.
    pub fn share(&self, entries: &EntryShares, server: SocketAddr) -> usize {
        let Some(entry_count) = entries.count() else {
            return 0;
        };
        let equal_share = (self.rate / entry_count as f64) as usize;
        if equal_share > 0 {
            return equal_share;
        }
        let senders = (self.rate as usize).max(1);
        usize::from(entries.is_selected(server, senders))
    }
}

/// How long a server stays cold, and what this entry has sent to it recently.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    // As announced by the server or its scout.
    cold_until: Time,
    // When it may have started, if that was noticed before the server announced it.
    possible_start: Option<Time>,
    // Oldest first. Sends older than the window are dropped at the next send.
    sends: VecDeque<Time>,
}

impl ColdState {
    /// Records that the server, or its scout, announced the remaining cold time. The latest end wins, because another
    /// announcement may predate the server's start.
    pub fn set_remaining(&mut self, now: Time, remaining: Duration) {
        self.cold_until = self.cold_until.max(now + remaining);
    }

    /// Records that the server may have started just now.
    pub fn note_possible_start(&mut self, now: Time) {
        self.possible_start = Some(now);
    }

    /// Remaining cold time of a server that is cold for `period` after a start.
    pub fn remaining(&self, now: Time, period: Duration) -> Duration {
        let inferred = self.possible_start.map(|at| (at + period).since(now));
        self.cold_until.since(now).max(inferred.unwrap_or_default())
    }

    /// Records a request sent to the server.
    pub(crate) fn record_send(&mut self, now: Time) {
        self.sends.retain(|at| now.since(*at) < WINDOW);
        self.sends.push_back(now);
    }

    /// Number of requests sent within the window.
    pub(crate) fn recent_sends(&self, now: Time) -> usize {
        let recent = self.sends.iter().filter(|at| now.since(**at) < WINDOW);
        recent.count()
    }
}
