//! Which entry decides about the trials of a service.
//!
//! Load pattern: hundreds of entries ask for trials of the same suspects while entries are killed, replaced, cut off from
//! others or start. All are to ask the same one, without an election and without telling each other of it.
//!
//! The arbiter is the first known entry in an order that depends on the service (rendezvous hashing). One that does not
//! answer is passed over for a while, and so is it by the next one in the order, which passes requests on to it until
//! then. An entry that takes over grants nothing until the leases of its predecessor have lapsed. Only the first few in
//! the order ever take over: where all messages are late, each entry would otherwise end up as its own arbiter.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::suspect_trials::TRIAL_LEASE;
use crate::time::Time;

/// Time after an unanswered request until the arbiter counts as silent: the longest round trip and two repetitions.
const ANSWER_TIME: Duration = Duration::from_millis(450);

/// How long a silent entry is passed over, unless it is heard.
const SILENT_TIME: Duration = Duration::from_secs(15);

/// Time after its start in which an entry grants nothing, unless there was none before it: others do not know of it and ask
/// the next one, whose leases must have lapsed.
const START_TIME: Duration = Duration::from_secs(4);

/// Entries of the order that may be the arbiter of a service.
const ARBITERS: usize = 3;

/// The maximum number of services whose order is remembered.
const MAX_ORDERS: usize = 256;

/// The entries, as one of them sees them.
#[derive(Debug)]
pub struct ArbiterRoute {
    own: SocketAddr,
    may_grant_from: Time,
    entries: Vec<SocketAddr>,
    // The entries that may be the arbiter of a service, in their order; known until the entries change.
    orders: HashMap<Fingerprint, Vec<SocketAddr>>,
    // The first request to an entry since it was last heard.
    unanswered: HashMap<SocketAddr, Time>,
    // Entries that count as silent, and since when.
    silent: HashMap<SocketAddr, Time>,
}

impl ArbiterRoute {
    /// Creates a route among no other entries.
    pub fn new(own: SocketAddr) -> Self {
        ArbiterRoute {
            own,
            may_grant_from: Time::ZERO + START_TIME,
            entries: Vec::new(),
            orders: HashMap::new(),
            unanswered: HashMap::new(),
            silent: HashMap::new(),
        }
    }

    /// The same for an entry of a deployment that starts for the first time: no entry before it holds a lease.
    pub fn with_first_start(self) -> Self {
        ArbiterRoute {
            may_grant_from: Time::ZERO,
            ..self
        }
    }

    /// The address of this entry.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Sets the other entries.
    pub fn set_entries(&mut self, mut entries: Vec<SocketAddr>) {
        entries.sort();
        if entries == self.entries {
            return;
        }
        self.orders.clear();
        let is_known = |entry: &SocketAddr| entries.contains(entry);
        self.unanswered.retain(|entry, _| is_known(entry));
        self.silent.retain(|entry, _| is_known(entry));
        self.entries = entries;
    }

    /// Records that an entry was heard.
    pub fn record_heard(&mut self, entry: SocketAddr) {
        self.unanswered.remove(&entry);
        self.silent.remove(&entry);
    }

    /// Records that an entry was asked.
    pub fn record_asked(&mut self, now: Time, entry: SocketAddr) {
        if entry != self.own {
            self.unanswered.entry(entry).or_insert(now);
        }
    }

    /// The arbiter of a service. Where all that may be it are silent, the first of them.
    pub fn arbiter(&mut self, now: Time, service: Fingerprint) -> SocketAddr {
        self.update_silent(now);
        let entries = self.order(service);
        let answering = entries
            .iter()
            .find(|entry| !self.silent.contains_key(entry));
        answering.or(entries.first()).copied().unwrap_or(self.own)
    }

    fn order(&mut self, service: Fingerprint) -> Vec<SocketAddr> {
        if let Some(order) = self.orders.get(&service) {
            return order.clone();
        }
        let mut order: Vec<SocketAddr> = self.entries.clone();
        order.push(self.own);
        order.sort_by_cached_key(|entry| Reverse(rank(service, *entry)));
        order.truncate(ARBITERS);
        if self.orders.len() < MAX_ORDERS {
            self.orders.insert(service, order.clone());
        }
        order
    }

    /// When this entry may grant trials as the arbiter of a service.
    pub fn may_grant_at(&self, service: Fingerprint) -> Time {
        let own_rank = rank(service, self.own);
        let before = self.silent.iter();
        let before = before.filter(|(entry, _)| rank(service, **entry) > own_rank);
        let taken_over_at = before.map(|(_, since)| *since + TRIAL_LEASE).max();
        let taken_over_at = taken_over_at.unwrap_or_default();
        match self.entries.is_empty() {
            true => taken_over_at,
            false => taken_over_at.max(self.may_grant_from),
        }
    }

    fn update_silent(&mut self, now: Time) {
        self.silent
            .retain(|_, since| now.since(*since) < SILENT_TIME);
        let unanswered = self.unanswered.iter();
        let silent = unanswered.filter(|(_, asked_at)| now.since(**asked_at) >= ANSWER_TIME);
        let silent: Vec<SocketAddr> = silent.map(|(entry, _)| *entry).collect();
        for entry in silent {
            self.unanswered.remove(&entry);
            self.silent.insert(entry, now);
        }
    }
}

/// The place of an entry in the order for a service; the highest is first.
fn rank(service: Fingerprint, entry: SocketAddr) -> Fingerprint {
    let entry = entry.to_string();
    Fingerprint::of_parts(&[&service.0.to_le_bytes(), entry.as_bytes()])
}
