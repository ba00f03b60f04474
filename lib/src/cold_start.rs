//! Cold-start admission: how many requests an entry sends to a backend server that is cold.
//!
//! Load pattern: the servers of a zone come back together, cold and emptier than all others, into a burst. Every
//! entry prefers them at once, and a cold server crashes when more requests arrive in a second than it tolerates.
//!
//! So each entry keeps to a fixed share of the tolerated rate, see `entry_shares`. Where the rate is below one request
//! a second for each entry, only the entries that are drawn for the server send there. An entry that does not know
//! the others yet sends none.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::entry_shares::EntryShares;
use crate::figure_type;
use crate::time::Time;

/// The time in which sends are counted: a second, and the time by which one may arrive sooner than another after it
/// was sent.
const WINDOW: Duration = Duration::from_millis(1_100);

figure_type! {
    /// How the servers of a service start.
    #[derive(Default)]
    pub struct ColdStart {
        /// How long a server is cold after its start.
        pub period: Duration,
        /// Requests a second that a cold server tolerates; zero where a cold server takes any number.
        pub rate: f64,
    }
}

impl ColdStart {
    /// Whether cold servers take a bounded number of requests.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }

    /// Requests that this entry may send to the cold server within a second.
    pub fn share(&self, entries: &EntryShares, server: SocketAddr) -> usize {
        let Some(all) = entries.count() else {
            return 0;
        };
        let equal = (self.rate / all as f64) as usize;
        if equal > 0 {
            return equal;
        }
        let places = (self.rate as usize).max(1);
        usize::from(entries.is_drawn(server, places))
    }
}

/// Until when a server is cold, and what this entry has sent there.
#[derive(Clone, Debug, Default)]
pub struct ColdState {
    // By the word of the server or its scout.
    until: Time,
    // When it may have started, where that was noticed before the server said so.
    started: Option<Time>,
    // In the order of time; none is older than the window at the last send.
    sends: VecDeque<Time>,
}

impl ColdState {
    /// The server, or its scout, says that it is cold for so much longer. The longest word holds: another one may be
    /// of before the start.
    pub fn told(&mut self, now: Time, left: Duration) {
        self.until = self.until.max(now + left);
    }

    /// The server may have started just now.
    pub fn may_have_started(&mut self, now: Time) {
        self.started = Some(now);
    }

    /// How much longer the server is cold, where that lasts for the period after a start.
    pub fn left(&self, now: Time, period: Duration) -> Duration {
        let noticed = self.started.map(|at| (at + period).since(now));
        self.until.since(now).max(noticed.unwrap_or_default())
    }

    /// A request was sent to the server.
    pub(crate) fn sent(&mut self, now: Time) {
        self.sends.retain(|at| now.since(*at) < WINDOW);
        self.sends.push_back(now);
    }

    /// Requests sent within the window.
    pub(crate) fn sends(&self, now: Time) -> usize {
        let recent = self.sends.iter().filter(|at| now.since(**at) < WINDOW);
        recent.count()
    }
}
