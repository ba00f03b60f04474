//! Request limits that backend servers name: how many requests a second a server takes from all entries together.
//!
//! Load pattern: a server in need names its limit in its answers, for as long as it holds, while callers come to
//! all entries as before. Entries that each keep to the limit send a multiple of it; entries that each send one
//! request at once, after a quiet time, exceed it as well where there are many of them.
//!
//! So the limit is dealt to as many entries as it allows requests a second and a few more, each with a token bucket
//! of one request; the other entries send one now and then, to hear whether the limit still holds. Answers overtake
//! each other, so that one without a limit lifts it only where its request was sent after the limit was known.

use std::net::SocketAddr;
use std::time::Duration;

use crate::copy_type;
use crate::entry_shares::EntryShares;
use crate::ids::Name;
use crate::time::Time;
use crate::value_type;

/// Thousandths in one.
const THOUSANDTHS: f64 = 1_000.0;

/// Limits below this count as this one: a server that takes nothing is asked now and then whether that still holds.
const LEAST_RATE: f64 = 0.1;

/// Entries with a share, beyond one for each request a second of the limit. They are few, since all of them may send the
/// request that they have saved up at once.
const MORE_ENTRIES: f64 = 2.0;

/// The time over which an entry with a large share may save up requests.
const BURST: Duration = Duration::from_millis(250);

/// The part of the limit that entries without a share may send.
const UNSHARED_PART: f64 = 0.125;

/// How long others are told that a limit was lifted.
const TOLD_LIFTED: Duration = Duration::from_secs(10);

copy_type! {
    /// Requests a second, in thousandths.
    pub struct RequestRate(u32);

    /// What has changed of a server's limit.
    pub enum LimitChange {
        /// It names one, and has named none before.
        Named(RequestRate),
        /// It names another one than before.
        Changed(RequestRate),
        /// It names none any more.
        Lifted,
    }
}

value_type! {
    /// What one entry tells others of a server's limit.
    pub struct LimitWord {
        /// The server's identifier.
        pub server: Name,
        /// The limit; `None` where it was lifted.
        pub limit: Option<RequestRate>,
        /// Milliseconds since an answer said so.
        pub age: u32,
    }
}

impl RequestRate {
    /// The rate; `None` for a negative number or none at all. Saturates.
    pub fn new(per_second: f64) -> Option<Self> {
        let thousandths = (per_second * THOUSANDTHS).round();
        (per_second >= 0.0).then_some(RequestRate(thousandths as u32))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS
    }
}

/// What an entry may send to a server at its limit.
#[derive(Clone, Copy, Debug)]
enum Share {
    /// So many requests a second.
    Rate(f64),
    /// One request in a second for which it is drawn, with this probability.
    Turn(f64),
}

impl Share {
    fn new(rate: RequestRate, entries: &EntryShares, server: SocketAddr) -> Self {
        let rate = rate.per_second().max(LEAST_RATE);
        let all = entries.count().unwrap_or(1);
        let sharing = ((rate + MORE_ENTRIES) as usize).min(all);
        match entries.is_drawn(server, sharing) {
            true => Share::Rate(rate / sharing as f64),
            false => Share::Turn(rate * UNSHARED_PART / all as f64),
        }
    }
}

/// What is known of a server's limit, and what this entry has sent there since.
#[derive(Clone, Debug, Default)]
pub struct LimitState {
    stated: Option<Statement>,
    // Requests that may be sent as of the time; below zero where more were sent than the share.
    tokens: f64,
    at: Time,
    // When one was sent last.
    sent: Time,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    // `None` where the limit was lifted.
    rate: Option<RequestRate>,
    at: Time,
}

impl LimitState {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.stated.and_then(|stated| stated.rate)
    }

    /// An answer to a request that was sent at `sent` names the limit, or none.
    pub fn answered(
        &mut self,
        now: Time,
        sent: Time,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let known = self.stated.map_or(Time::ZERO, |stated| stated.at);
        if limit.is_none() && (self.rate().is_none() || sent < known) {
            return None;
        }
        self.state(now, now, limit)
    }

    /// Another entry tells of the limit. The latest word holds.
    pub fn heard(&mut self, now: Time, word: &LimitWord) -> Option<LimitChange> {
        let at = now.before(Duration::from_millis(u64::from(word.age)));
        match self.stated {
            Some(stated) if stated.at >= at => None,
            _ => self.state(now, at, word.limit),
        }
    }

    /// What others are told, if there is something to tell.
    pub fn word(&self, now: Time, server: &Name) -> Option<LimitWord> {
        let stated = self.stated?;
        let age = now.since(stated.at);
        (stated.rate.is_some() || age < TOLD_LIFTED).then(|| LimitWord {
            server: server.clone(),
            limit: stated.rate,
            age: age.as_millis() as u32,
        })
    }

    fn state(&mut self, now: Time, at: Time, limit: Option<RequestRate>) -> Option<LimitChange> {
        let before = self.rate();
        self.stated = Some(Statement { rate: limit, at });
        match (before, limit) {
            (None, Some(rate)) => {
                self.tokens = 0.0;
                self.at = now;
                Some(LimitChange::Named(rate))
            }
            (Some(before), Some(rate)) if before != rate => Some(LimitChange::Changed(rate)),
            (Some(_), None) => Some(LimitChange::Lifted),
            _ => None,
        }
    }

    /// How long until this entry may send a request to the server at the address; zero where it may now, `None` where it
    /// has no share.
    pub fn wait(&self, now: Time, server: SocketAddr, entries: &EntryShares) -> Option<Duration> {
        let Some(rate) = self.rate() else {
            return Some(Duration::ZERO);
        };
        match Share::new(rate, entries, server) {
            Share::Rate(share) => {
                let lacking = (1.0 - self.tokens(now, share)).max(0.0);
                Some(Duration::from_secs_f64(lacking / share))
            }
            Share::Turn(probability) => {
                let sent = turn(self.sent) == turn(now);
                let drawn = !sent && entries.is_in_turn(server, turn(now), probability);
                drawn.then_some(Duration::ZERO)
            }
        }
    }

    /// A request was sent to the server at the address.
    pub(crate) fn sent(&mut self, now: Time, server: SocketAddr, entries: &EntryShares) {
        let Some(rate) = self.rate() else {
            return;
        };
        if let Share::Rate(share) = Share::new(rate, entries, server) {
            self.tokens = self.tokens(now, share) - 1.0;
            self.at = now;
        }
        self.sent = now;
    }

    fn tokens(&self, now: Time, share: f64) -> f64 {
        let most = (share * BURST.as_secs_f64()).max(1.0);
        let saved = share * now.since(self.at).as_secs_f64();
        (self.tokens + saved).min(most)
    }
}

/// The second in which a time lies.
fn turn(at: Time) -> u64 {
    at.seconds() as u64
}
