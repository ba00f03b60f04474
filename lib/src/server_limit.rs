//! Request rate limits that backend servers announce: how many requests per second a server accepts
//! from all entries together.
//!
//! Load pattern: an overloaded server announces a limit in its responses for as long as the limit is in
//! force, while the load on the entries stays the same. Entries that each apply the whole limit send a
//! multiple of it. Many entries that each send one request after an idle period exceed it as well.
//!
//! The limit is therefore divided among a subset of the entries, one for each request per second and a
//! few more, and each of these has a token bucket of one request. An entry may lend a part of its share to
//! another one for a while, see `limits`. The other entries send an occasional
//! request to find out whether the limit is still in force. Responses can be reordered, so a response
//! without a limit lifts the limit only if its request was sent after the limit became known.

use std::net::SocketAddr;
use std::time::Duration;

use crate::copy_type;
use crate::entry_shares::EntryShares;
use crate::ids::Name;
use crate::time::Time;
use crate::value_type;

/// The factor between requests per second and the unit of [`RequestRate`].
const THOUSANDTHS: f64 = 1_000.0;

/// Lower limits are raised to this one, so that a server which accepts nothing still gets an occasional
/// request, whose response shows whether the limit is still in force.
const MIN_RATE: f64 = 0.1;

/// The number of entries with a share beyond one for each request per second of the limit. It is small
/// because all these entries may send their accumulated request at the same time.
const EXTRA_ENTRIES: f64 = 2.0;

/// The time over which an entry with a large share may accumulate requests.
const BURST_PERIOD: Duration = Duration::from_millis(250);

/// The fraction of the limit that all entries without a share may send together.
const PROBE_FRACTION: f64 = 0.125;

/// How long other entries are notified that a limit was lifted.
const LIFTED_REPORT_PERIOD: Duration = Duration::from_secs(10);

copy_type! {
    /// A request rate, in thousandths of a request per second.
    pub struct RequestRate(u32);

    /// A change of a server's limit.
    pub enum LimitChange {
        /// The server announces a limit and had none before.
        Named(RequestRate),
        /// The server announces a different limit.
        Changed(RequestRate),
        /// The server no longer announces a limit.
        Lifted,
    }
}

value_type! {
    /// One entry's report of a server's limit to other entries.
    pub struct LimitReport {
        /// The server's identifier.
        pub server: Name,
        /// The limit; `None` if it was lifted.
        pub limit: Option<RequestRate>,
        /// Milliseconds since the response that the report is based on.
        pub age: u32,
    }
}

impl RequestRate {
    /// Creates a rate; `None` if the number is negative or NaN. Saturates at the largest rate.
    pub fn new(per_second: f64) -> Option<Self> {
        let thousandths = (per_second * THOUSANDTHS).round();
        (per_second >= 0.0).then_some(RequestRate(thousandths as u32))
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS
    }
}

/// The requests that an entry may send to a server with a limit.
#[derive(Clone, Copy, Debug)]
enum Share {
    /// A rate in requests per second.
    Rate(f64),
    /// One request in each second for which the entry is sampled, with this probability.
    Sampled(f64),
}

impl Share {
    fn new(rate: RequestRate, entries: &EntryShares, server: SocketAddr) -> Self {
        let sharing = sharing_entries(rate, entries);
        let rate = effective_rate(rate);
        let all = entries.count().unwrap_or(1);
        match entries.is_selected(server, sharing) {
            true => Share::Rate(rate / sharing as f64),
            false => Share::Sampled(rate * PROBE_FRACTION / all as f64),
        }
    }
}

/// The limit in requests per second that entries divide.
pub(crate) fn effective_rate(rate: RequestRate) -> f64 {
    rate.per_second().max(MIN_RATE)
}

/// The number of entries that have a share in the limit.
pub(crate) fn sharing_entries(rate: RequestRate, entries: &EntryShares) -> usize {
    let all = entries.count().unwrap_or(1);
    ((effective_rate(rate) + EXTRA_ENTRIES) as usize).min(all)
}

/// An entry's equal share in the limit in requests per second; zero if it has none.
pub(crate) fn equal_share(rate: RequestRate, entries: &EntryShares, server: SocketAddr) -> f64 {
    match Share::new(rate, entries, server) {
        Share::Rate(share) => share,
        Share::Sampled(_) => 0.0,
    }
}

/// The known limit of a server, and this entry's token bucket for it.
#[derive(Clone, Debug, Default)]
pub struct LimitState {
    known: Option<KnownLimit>,
    // Requests that could be sent at `refilled_at`; negative if more than the share were sent.
    tokens: f64,
    refilled_at: Time,
    last_sent: Time,
    // The share in requests per second at the last settlement; `None` if shares never change by loans.
    settled_share: Option<f64>,
    // The fraction of the limit that is borrowed, and when the first of the loans ends.
    borrowed: f64,
    borrowed_until: Time,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    // `None` if the limit was lifted.
    rate: Option<RequestRate>,
    at: Time,
}

impl LimitState {
    /// The limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.known.and_then(|known| known.rate)
    }

    /// Applies the limit in a response to a request that was sent at `sent`, or the absence of one.
    pub fn record_response(
        &mut self,
        now: Time,
        sent: Time,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let known_since = self.known.map_or(Time::ZERO, |known| known.at);
        if limit.is_none() && (self.rate().is_none() || sent < known_since) {
            return None;
        }
        self.set(now, now, limit)
    }

    /// Applies another entry's report if it is newer than what is known.
    pub fn apply_report(&mut self, now: Time, report: &LimitReport) -> Option<LimitChange> {
        let at = now.before(Duration::from_millis(u64::from(report.age)));
        match self.known {
            Some(known) if known.at >= at => None,
            _ => self.set(now, at, report.limit),
        }
    }

    /// The report to other entries: of a limit in force, or of one that was lifted recently.
    pub fn report(&self, now: Time, server: &Name) -> Option<LimitReport> {
        let known = self.known?;
        let age = now.since(known.at);
        (known.rate.is_some() || age < LIFTED_REPORT_PERIOD).then(|| LimitReport {
            server: server.clone(),
            limit: known.rate,
            age: age.as_millis() as u32,
        })
    }

    fn set(&mut self, now: Time, at: Time, limit: Option<RequestRate>) -> Option<LimitChange> {
        let before = self.rate();
        self.known = Some(KnownLimit { rate: limit, at });
        match (before, limit) {
            (None, Some(rate)) => {
                self.tokens = 0.0;
                self.refilled_at = now;
                self.settled_share = None;
                self.end_loans();
                Some(LimitChange::Named(rate))
            }
            (Some(before), Some(rate)) if before != rate => {
                // Another number of entries may have a share.
                self.end_loans();
                Some(LimitChange::Changed(rate))
            }
            (Some(_), None) => Some(LimitChange::Lifted),
            _ => None,
        }
    }

    /// How long until this entry may send a request to the server at the address, if it keeps this
    /// fraction of its own share; zero if it may send one now, `None` if it has no share.
    pub(crate) fn wait(
        &self,
        now: Time,
        server: SocketAddr,
        entries: &EntryShares,
        kept: f64,
    ) -> Option<Duration> {
        let Some(rate) = self.rate() else {
            return Some(Duration::ZERO);
        };
        match self.share(now, rate, server, entries, kept) {
            Share::Rate(share) => {
                let missing = (1.0 - self.available_tokens(now, share)).max(0.0);
                Some(Duration::from_secs_f64(missing / share))
            }
            Share::Sampled(probability) => {
                let sent = whole_seconds(self.last_sent) == whole_seconds(now);
                let sampled = !sent && entries.is_sampled(server, whole_seconds(now), probability);
                sampled.then_some(Duration::ZERO)
            }
        }
    }

    /// Records a request sent to the server at the address.
    pub(crate) fn record_sent(
        &mut self,
        now: Time,
        server: SocketAddr,
        entries: &EntryShares,
        kept: f64,
    ) {
        let Some(rate) = self.rate() else {
            return;
        };
        if let Share::Rate(share) = self.share(now, rate, server, entries, kept) {
            self.tokens = self.available_tokens(now, share) - 1.0;
            self.refilled_at = now;
        }
        self.last_sent = now;
    }

    /// Sets what this entry has borrowed: this fraction of the limit until `until`. The time that has passed counts at
    /// the lower one of the shares before and after. Must be called regularly.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        server: SocketAddr,
        entries: &EntryShares,
        kept: f64,
        (borrowed, until): (f64, Time),
    ) {
        let Some(rate) = self.rate() else {
            return;
        };
        (self.borrowed, self.borrowed_until) = (borrowed, until);
        let share = match self.share(now, rate, server, entries, kept) {
            Share::Rate(share) => share,
            // Without this, each entry could keep a request from a former loan.
            Share::Sampled(_) => {
                self.tokens = self.tokens.min(0.0);
                0.0
            }
        };
        self.tokens = self.available_tokens(now, share);
        self.refilled_at = now;
        self.settled_share = Some(share);
    }

    /// Stops using what was borrowed until the next settlement.
    pub(crate) fn end_loans(&mut self) {
        self.borrowed_until = Time::ZERO;
    }

    /// Returns to a share that does not change by loans.
    pub(crate) fn end_settlement(&mut self) {
        self.settled_share = None;
        self.end_loans();
    }

    fn share(
        &self,
        now: Time,
        rate: RequestRate,
        server: SocketAddr,
        entries: &EntryShares,
        kept: f64,
    ) -> Share {
        let borrowed = match now < self.borrowed_until {
            true => self.borrowed * effective_rate(rate),
            false => 0.0,
        };
        match Share::new(rate, entries, server) {
            Share::Rate(own) => Share::Rate(own * kept + borrowed),
            Share::Sampled(_) if borrowed > 0.0 => Share::Rate(borrowed),
            sampled => sampled,
        }
    }

    fn available_tokens(&self, now: Time, share: f64) -> f64 {
        let capacity = (share * BURST_PERIOD.as_secs_f64()).max(1.0);
        let refilling = self
            .settled_share
            .map_or(share, |settled| settled.min(share));
        let refill = refilling * now.since(self.refilled_at).as_secs_f64();
        (self.tokens + refill).min(capacity)
    }
}

/// The number of the second in which a time lies.
fn whole_seconds(at: Time) -> u64 {
    at.seconds() as u64
}
