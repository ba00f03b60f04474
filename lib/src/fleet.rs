//! The backend servers as one entry sees them, and which of them a request is sent to.
//!
//! Load pattern: engines with little memory, of which a sixth leaves every few seconds, before requests
//! whose length nobody knows. Placed by count alone, a few long ones meet in one engine, it displaces
//! one of them in the middle, and its caller sees a pause of a second. Sent to the nearest alone, one
//! availability zone queues while the others are idle.
//!
//! A server's memory is taken as the larger of what it reports and what this entry has placed there,
//! grown to the expected end of each. A request goes where the sum of way, expected wait and lack of
//! room is least.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use crate::entry_shares::EntryShares;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::round_trips::RoundTrips;
use crate::routing::ServerKey;
use crate::server_lives::ServerLives;
use crate::service_time::ServiceTime;
use crate::site::ServerChange;
use crate::site::ServerPhase;
use crate::site::ServerRecord;
use crate::site::ServiceSpec;
use crate::time::Time;
use crate::zone_evacuation::EvacuatedZones;
use crate::zone_evacuation::EvacuationChange;

pub use crate::fleet_choice::Exclusion;
pub use crate::fleet_choice::LeftOut;
pub use crate::fleet_choice::NoServer;
pub use crate::fleet_server::Need;
pub use crate::fleet_server::Outlook;

/// Times that a server which could not be reached is left out: doubled with each in a row, from the
/// first to the longest. A server that crashed is back after some seconds.
const FIRST_REST: Duration = Duration::from_millis(400);
const LONGEST_REST: Duration = Duration::from_secs(4);

/// Failures in a row, with no success between, after which a server rests: one in seven calls fails
/// by itself, three in a row one in three hundred.
const FAILURES: u32 = 3;

/// Load reports older than this are ignored: several intervals of a scout's reports.
pub(crate) const SCOUT_AGE: Duration = Duration::from_millis(1_200);

/// The beginning of identifiers under which engines stand that are known by their scouts' word only.
pub(crate) const UNLISTED: &str = "unlisted ";

/// Where this entry stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its availability zone.
    pub zone: Name,
    /// The regions of all availability zones.
    pub regions: HashMap<Name, Name>,
}

impl Place {
    /// The region of an availability zone; a zone whose region is not known is one by itself.
    pub fn region_of<'a>(&'a self, zone: &'a Name) -> &'a Name {
        self.regions.get(zone).unwrap_or(zone)
    }
}

/// The backend servers of all services.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) place: Place,
    pub(crate) servers: SlotMap<ServerKey, Server>,
    // Listed servers only.
    pub(crate) ids: HashMap<Name, ServerKey>,
    // All servers, listed or not. An address may be a former life's as well.
    pub(crate) addresses: HashMap<SocketAddr, Vec<ServerKey>>,
    pub(crate) lives: ServerLives,
    // Engines that have come since they were last asked for.
    joined: Vec<SocketAddr>,
    // Whether the whole list was taken in once: what comes later may have started just now.
    listed: bool,
    pub(crate) evacuated: EvacuatedZones,
    pub(crate) entries: EntryShares,
    pub(crate) trips: RoundTrips,
    // By plain service.
    pub(crate) service_times: HashMap<Name, ServiceTime>,
}

impl Fleet {
    /// No servers yet.
    pub fn new(place: Place) -> Self {
        Fleet {
            place,
            servers: SlotMap::with_key(),
            ids: HashMap::new(),
            addresses: HashMap::new(),
            lives: ServerLives::default(),
            joined: Vec::new(),
            listed: false,
            evacuated: EvacuatedZones::default(),
            entries: EntryShares::default(),
            trips: RoundTrips::default(),
            service_times: HashMap::new(),
        }
    }

    /// Takes in the whole list. Servers that are not in it are gone.
    pub fn set_all(&mut self, now: Time, records: &[ServerRecord]) {
        let named: HashSet<&Name> = records.iter().map(|record| &record.id).collect();
        let known = self.ids.keys().filter(|id| !named.contains(id));
        let missing: Vec<Name> = known.cloned().collect();
        for id in missing {
            let announced = id.as_str().starts_with(UNLISTED);
            if !announced && !self.is_young(now, &id) {
                self.gone(now, &id);
            }
        }
        self.add_all(now, records);
    }

    /// Takes in a list in which servers may be missing that are still there.
    pub fn add_all(&mut self, now: Time, records: &[ServerRecord]) {
        for record in records {
            if !self.lives.is_barred(now, record) {
                self.put(now, record);
            }
        }
        self.listed = true;
    }

    /// The directory has gone back to a copy of itself: what it lists may be of before.
    pub fn directory_returned(&mut self, now: Time) {
        self.lives.directory_returned(now);
    }

    /// Takes in one change.
    pub fn change(&mut self, now: Time, change: &ServerChange) {
        match change {
            ServerChange::Put(record) => {
                self.lives.wrote(now, &record.id);
                self.put(now, record);
            }
            ServerChange::Gone(id) => self.gone(now, id),
        }
    }

    /// Takes over which availability zones are evacuated, if that is news. The servers of a zone that takes work again
    /// may have started while it took none.
    pub fn set_evacuated(&mut self, now: Time, evacuated: &EvacuatedZones) -> EvacuationChange {
        let change = self.evacuated.update(evacuated);
        for server in self.servers.values_mut() {
            if change.ended.contains(&server.record.zone) {
                server.cold.note_possible_start(now);
            }
        }
        change
    }

    /// The evacuated availability zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// A probe of an availability zone was answered after so long.
    pub fn probed(&mut self, now: Time, zone: &Name, took: Duration) {
        self.trips.record(now, zone, took);
    }

    /// A plain server has answered a call so long after it was sent there. With a queue before it that says nothing of
    /// the work.
    pub fn worked(&mut self, now: Time, key: ServerKey, took: Duration) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let trip = self.round_trip(now, &server.record.zone);
        let took = took.saturating_sub(trip);
        let service = server.record.service.clone();
        let mean = self.service_times.entry(service).or_default();
        mean.record(took);
        let mean = *mean;
        let server = &mut self.servers[key];
        server.work.get_or_insert(mean).record(took);
    }

    /// Servers that are cold, of services whose cold servers take a bounded number of requests.
    pub fn cold_count(&self, now: Time, services: &BTreeMap<Name, ServiceSpec>) -> usize {
        let listed = self.servers.values().filter(|server| server.listed);
        let cold = listed.filter(|server| {
            let start = services.get(&server.record.service).map(|spec| &spec.cold);
            start.is_some_and(|start| {
                start.is_limited() && !server.cold.remaining(now, start.period).is_zero()
            })
        });
        cold.count()
    }

    /// Takes over which entries there are, this one at `own`: they share what servers take from all of them.
    pub fn set_entries(&mut self, own: SocketAddr, others: impl IntoIterator<Item = SocketAddr>) {
        self.entries.set_entries(own, others);
    }

    /// The entries that share what servers take from all of them, as far as they are known.
    pub fn entries(&self) -> &EntryShares {
        &self.entries
    }

    /// The listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.ids.values().map(|key| &self.servers[*key].record)
    }

    /// Whether the list need not have the server yet.
    fn is_young(&self, now: Time, id: &Name) -> bool {
        let found = self.ids.get(id).and_then(|key| self.servers[*key].found);
        found.is_some_and(|since| ServerLives::is_young(now, since))
    }

    /// The addresses of servers that have come since this was last asked.
    pub fn take_joined(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.joined)
    }

    /// The record of a server, while it is listed or something of this entry is there.
    pub fn record(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.servers.get(key).map(|s| &s.record)
    }

    /// The identifier that a request can name the server by; empty where only its scout told of it.
    pub fn expected_id(record: &ServerRecord) -> Name {
        match record.id.as_str().starts_with(UNLISTED) {
            true => Name::default(),
            false => record.id.clone(),
        }
    }

    /// The tokens of memory that a server is taken to have in use, and how old the report is on which
    /// that rests; `None` where it rests on own requests alone.
    pub fn load(&self, now: Time, key: ServerKey) -> (u64, Option<Duration>) {
        let Some(server) = self.servers.get(key) else {
            return (0, None);
        };
        let age = server.fresh_report(now).map(|report| now.since(report.at));
        (server.used(now), age)
    }

    /// How long the engine takes to read the prompts that it has, as far as this entry knows.
    pub fn reading(&self, now: Time, key: ServerKey) -> Duration {
        let server = self.servers.get(key);
        server.map_or(Duration::ZERO, |server| server.reading(now))
    }

    /// The listed server at the address.
    pub fn key_at(&self, address: SocketAddr) -> Option<ServerKey> {
        let mut there = self.addresses.get(&address)?.iter().copied();
        there.find(|key| self.servers[*key].listed)
    }

    /// Whether something of this entry runs at the listed server at the address.
    pub fn runs_at(&self, address: SocketAddr) -> bool {
        let key = self.key_at(address);
        key.is_some_and(|key| self.servers[key].open > 0)
    }

    /// Whether the server's scout has been heard lately.
    pub fn has_scout(&self, now: Time, key: ServerKey) -> bool {
        let report = self.servers.get(key).and_then(|s| s.report);
        report.is_some_and(|report| now.since(report.at) < SCOUT_AGE)
    }

    /// Since when it is known that the server leaves; `None` where it stays.
    pub fn leaving(&self, key: ServerKey) -> Option<Time> {
        match self.servers.get(key) {
            Some(server) => server.leaving,
            None => Some(Time::ZERO),
        }
    }

    /// A request was sent to the server.
    pub fn started(&mut self, now: Time, key: ServerKey, need: &Need<'_>) {
        if let Some(server) = self.servers.get_mut(key) {
            server.open += 1;
            server.tokens += need.tokens;
            server.unread += need.prompt;
            server.sent(now, need.prompt, need.tokens);
            server.cold.record_send(now);
            let address = server.record.address;
            server.limit.sent(now, address, &self.entries);
        }
    }

    /// Another entry sent a request to the engine at the address.
    pub fn started_elsewhere(&mut self, now: Time, engine: SocketAddr, prompt: u64, tokens: u64) {
        if let Some(key) = self.key_at(engine) {
            self.servers[key].sent(now, prompt, tokens);
        }
    }

    /// The first event of a request came, or will not come.
    pub fn began(&mut self, key: ServerKey, prompt: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.unread = server.unread.saturating_sub(prompt);
        }
    }

    /// A request is no longer at the server.
    pub fn ended(&mut self, key: ServerKey, tokens: u64) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.open = server.open.saturating_sub(1);
        server.tokens = server.tokens.saturating_sub(tokens);
        if !server.listed && server.open == 0 {
            self.remove(key);
        }
    }

    /// A server answered a request well.
    pub fn went_well(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.failures = 0;
            server.rest = Time::ZERO;
        }
    }

    /// A server failed a request. `hard` where it could not be reached at all.
    pub fn failed(&mut self, now: Time, key: ServerKey, hard: bool) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.failures += if hard { FAILURES } else { 1 };
        if server.failures >= FAILURES {
            let doublings = (server.failures / FAILURES - 1).min(4);
            server.rest = now + (FIRST_REST * 2u32.pow(doublings)).min(LONGEST_REST);
        }
    }

    /// A plain server said what runs and waits there.
    pub fn told_load(&mut self, key: ServerKey, running: u32, waiting: u32) {
        if let Some(server) = self.servers.get_mut(key) {
            let told = f64::from(running + waiting);
            server.others = (told - f64::from(server.open)).max(0.0);
        }
    }

    pub(crate) fn put(&mut self, now: Time, record: &ServerRecord) {
        if self.lives.has_ended(now, record) {
            return;
        }
        if let Some(key) = self.ids.get(&record.id).copied() {
            let server = &mut self.servers[key];
            let same_life = server.record.born == record.born || server.record.born == 0;
            if same_life && server.record.address == record.address {
                if record.phase == ServerPhase::Draining {
                    server.leaving.get_or_insert(now);
                }
                server.cold.set_remaining(now, record.cold);
                let draining = server.record.phase == ServerPhase::Draining;
                server.record = record.clone();
                if draining {
                    // No life takes work again; others are told by this record.
                    server.record.phase = ServerPhase::Draining;
                }
                server.found = None;
                return;
            }
            // Another life under the same identifier: it holds nothing of the one before.
            self.gone(now, &record.id);
        }
        if self.take_announced(now, record) {
            return;
        }
        let mut server = Server::new(record.clone());
        server.listed = true;
        let draining = record.phase == ServerPhase::Draining;
        server.leaving = draining.then_some(now);
        server.cold.set_remaining(now, record.cold);
        if self.listed {
            server.cold.note_possible_start(now);
        }
        let key = self.insert(server);
        self.ids.insert(record.id.clone(), key);
        self.joined.push(record.address);
    }

    /// The list has an engine that was known by its scout's word only: it is the same one, and what runs
    /// there goes on.
    fn take_announced(&mut self, now: Time, record: &ServerRecord) -> bool {
        let id = Name::new(format!("{UNLISTED}{}", record.address));
        let Some(key) = self.ids.remove(&id) else {
            return false;
        };
        let server = &mut self.servers[key];
        server.cold.set_remaining(now, record.cold);
        server.record = record.clone();
        if record.phase == ServerPhase::Draining {
            server.leaving.get_or_insert(Time::ZERO);
        }
        self.ids.insert(record.id.clone(), key);
        true
    }

    pub(crate) fn gone(&mut self, now: Time, id: &Name) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        let server = &mut self.servers[key];
        server.listed = false;
        server.leaving.get_or_insert(now);
        self.lives.left(now, &server.record);
        if server.open == 0 {
            self.remove(key);
        }
    }

    pub(crate) fn insert(&mut self, server: Server) -> ServerKey {
        let address = server.record.address;
        let key = self.servers.insert(server);
        self.addresses.entry(address).or_default().push(key);
        key
    }

    fn remove(&mut self, key: ServerKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        let address = server.record.address;
        if let Some(there) = self.addresses.get_mut(&address) {
            there.retain(|other| *other != key);
            if there.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }
}
