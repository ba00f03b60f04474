//! One entry's view of the backend servers, and the choice of a server for each request.
//!
//! Load pattern: engines have little memory, a sixth of them leaves every few seconds, and the lengths
//! of requests are unknown. If requests are placed by count alone, a few long ones meet at one engine,
//! which preempts one of them while it runs, and its caller sees a pause of a second. If they go to the
//! nearest engine only, one availability zone queues requests while the others are idle.
//!
//! A server's memory use is estimated as the larger of what it reports and what this entry has sent
//! there, each request counted at its expected final size. A request goes to the server with the least
//! sum of network distance, expected wait and missing memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use crate::entry_shares::EntryShares;
use crate::fleet_migration::PrefillGroups;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::limits::ShareLedger;
use crate::migration::event_gaps::EventGaps;
use crate::round_trips::RoundTrips;
use crate::routing::ServerKey;
use crate::server_incarnations::ServerIncarnations;
use crate::server_leaving::LeavingSource;
use crate::server_load::ServerLoad;
use crate::service_binding::ServiceBindings;
use crate::service_time::ServiceTime;
use crate::site::ServerChange;
use crate::site::ServerPhase;
use crate::site::ServerRecord;
use crate::site::ServiceSpec;
use crate::time::Time;
use crate::zone_evacuation::EvacuatedZones;
use crate::zone_evacuation::EvacuationChange;

pub use crate::fleet_choice::Exclusion;
pub use crate::fleet_choice::ExclusionCounts;
pub use crate::fleet_choice::NoServer;
pub use crate::fleet_news::IdentityNews;
pub use crate::fleet_server::ExpectedLoad;
pub use crate::fleet_server::PlacementRequest;

/// The exponential backoff for a server that cannot be reached, doubled for each consecutive failure. A
/// server that crashed is back after some seconds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Consecutive failures after which a server is backed off. About 14 % of calls fail for reasons
/// unrelated to the server; the probability of three such failures in a row is about 0.3 %.
const BACKOFF_THRESHOLD: u32 = 3;

/// A scout whose last load report is older than this counts as silent: several report intervals.
pub(crate) const SCOUT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The prefix of placeholder identifiers for engines that only their scouts have announced.
pub(crate) const UNLISTED_PREFIX: &str = "unlisted ";

/// The location of this entry.
#[derive(Clone, Debug)]
pub struct Location {
    /// Its availability zone.
    pub zone: Name,
    /// The regions of all availability zones.
    pub regions: HashMap<Name, Name>,
}

impl Location {
    /// The region of an availability zone. A zone whose region is unknown is a region of its own.
    pub fn region_of<'a>(&'a self, zone: &'a Name) -> &'a Name {
        self.regions.get(zone).unwrap_or(zone)
    }

    /// The number of regions.
    pub fn region_count(&self) -> usize {
        let regions: HashSet<&Name> = self.regions.values().collect();
        regions.len().max(1)
    }
}

/// The backend servers of all services.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) location: Location,
    pub(crate) servers: SlotMap<ServerKey, Server>,
    // Listed and announced servers only.
    pub(crate) ids: HashMap<Name, ServerKey>,
    // All servers, listed or not. Several incarnations may share an address.
    pub(crate) addresses: HashMap<SocketAddr, Vec<ServerKey>>,
    pub(crate) incarnations: ServerIncarnations,
    pub(crate) bindings: ServiceBindings,
    // Addresses of servers added since the last call of `take_added_addresses`.
    joined: Vec<SocketAddr>,
    // Whether a list was applied: servers that are added later may have started just now.
    initial_list_applied: bool,
    pub(crate) evacuated: EvacuatedZones,
    pub(crate) entry_shares: EntryShares,
    // Which parts of the shares are lent or borrowed.
    pub(crate) ledger: ShareLedger,
    pub(crate) round_trips: RoundTrips,
    // Mean work time for each plain service.
    pub(crate) service_times: HashMap<Name, ServiceTime>,
    pub(crate) prefill_groups: PrefillGroups,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new(location: Location) -> Self {
        Fleet {
            location,
            servers: SlotMap::with_key(),
            ids: HashMap::new(),
            addresses: HashMap::new(),
            incarnations: ServerIncarnations::default(),
            bindings: ServiceBindings::default(),
            joined: Vec::new(),
            initial_list_applied: false,
            evacuated: EvacuatedZones::default(),
            entry_shares: EntryShares::default(),
            ledger: ShareLedger::default(),
            round_trips: RoundTrips::default(),
            service_times: HashMap::new(),
            prefill_groups: PrefillGroups::default(),
        }
    }

    /// Applies a complete list. Servers that are not in it are removed.
    pub fn replace_servers(&mut self, now: Time, records: &[ServerRecord]) {
        let listed: HashSet<&Name> = records.iter().map(|record| &record.id).collect();
        let unlisted = self.ids.keys().filter(|id| !listed.contains(id));
        let missing: Vec<Name> = unlisted.cloned().collect();
        for id in missing {
            let announced = id.as_str().starts_with(UNLISTED_PREFIX);
            if !announced && !self.may_be_unlisted(now, &id) {
                self.remove_listed(now, &id);
            }
        }
        self.merge_servers(now, records);
    }

    /// Applies an incomplete list. Servers that are not in it are kept.
    pub fn merge_servers(&mut self, now: Time, records: &[ServerRecord]) {
        for record in records {
            self.bindings.bind(now, &record.id, &record.service);
            if !self.incarnations.is_suppressed(now, record) {
                self.upsert(now, record);
            }
        }
        self.initial_list_applied = true;
    }

    /// Records that the directory was rolled back to an older copy, which may list servers that have
    /// left since.
    pub fn directory_rolled_back(&mut self, now: Time) {
        self.incarnations.directory_rolled_back(now);
    }

    /// Applies a change of the list.
    pub fn apply_change(&mut self, now: Time, change: &ServerChange) {
        match change {
            ServerChange::Put(record) => {
                self.bindings.bind(now, &record.id, &record.service);
                self.incarnations.entry_written(now, &record.id);
                self.upsert(now, record);
            }
            ServerChange::Gone(id) => self.remove_listed(now, id),
        }
    }

    /// Sets the evacuated availability zones, if the set is newer. Servers of a zone whose evacuation ended
    /// may have started during the evacuation and are treated as cold.
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

    /// Records the round trip of a probe to an availability zone.
    pub fn record_round_trip(&mut self, now: Time, zone: &Name, took: Duration) {
        self.round_trips.record(now, zone, took);
    }

    /// Records how long a plain server took to answer a call, and the load that it stated then. Only for calls that did
    /// not queue there: otherwise the time includes waiting.
    pub fn record_work_time(
        &mut self,
        now: Time,
        key: ServerKey,
        took: Duration,
        load: &ServerLoad,
    ) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let round_trip = self.round_trip(now, &server.record.zone);
        let took = took.saturating_sub(round_trip).div_f64(load.slowdown());
        let service = server.record.service.clone();
        let mean = self.service_times.entry(service).or_default();
        mean.record(took);
        let mean = *mean;
        let server = &mut self.servers[key];
        server.work_time.get_or_insert(mean).record(took);
    }

    /// The number of cold servers whose services limit requests to cold servers.
    pub fn cold_server_count(&self, now: Time, services: &BTreeMap<Name, ServiceSpec>) -> usize {
        let listed = self.servers.values().filter(|server| server.listed);
        let cold = listed.filter(|server| {
            let cold_start = services.get(&server.record.service).map(|spec| &spec.cold);
            cold_start.is_some_and(|cold_start| {
                cold_start.is_limited() && !server.cold.remaining(now, cold_start.period).is_zero()
            })
        });
        cold.count()
    }

    /// Sets the entries among which servers' limits are divided; this one has the address `own`.
    pub fn set_entries(&mut self, own: SocketAddr, others: impl IntoIterator<Item = SocketAddr>) {
        self.entry_shares.set_entries(own, others);
        // Loans are fractions of the former equal shares.
        for server in self.servers.values_mut() {
            server.limit.end_loans();
        }
    }

    /// The known entries among which servers' limits are divided.
    pub fn entry_shares(&self) -> &EntryShares {
        &self.entry_shares
    }

    /// The listed and announced servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.ids.values().map(|key| &self.servers[*key].record)
    }

    /// Whether the server may still be missing from the list.
    fn may_be_unlisted(&self, now: Time, id: &Name) -> bool {
        let observed = self
            .ids
            .get(id)
            .and_then(|key| self.servers[*key].observed_since);
        observed.is_some_and(|since| ServerIncarnations::may_be_unlisted(now, since))
    }

    /// Takes the addresses of servers added since the last call.
    pub fn take_added_addresses(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.joined)
    }

    /// The record of a server that is listed or has open requests of this entry.
    pub fn record(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.servers.get(key).map(|s| &s.record)
    }

    /// The identifier that a request expects at the server; empty if only its scout has announced it.
    pub fn expected_id(record: &ServerRecord) -> Name {
        match record.id.as_str().starts_with(UNLISTED_PREFIX) {
            true => Name::default(),
            false => record.id.clone(),
        }
    }

    /// The estimated memory use of a server in tokens, and the age of the report that it is based on;
    /// `None` if it is based on this entry's requests only.
    pub fn memory_use(&self, now: Time, key: ServerKey) -> (u64, Option<Duration>) {
        let Some(server) = self.servers.get(key) else {
            return (0, None);
        };
        let age = server
            .fresh_report(now)
            .map(|report| now.since(report.received_at));
        (server.used_tokens(now), age)
    }

    /// The observed event gaps of an engine; `None` without a recent report.
    pub fn event_gaps(&self, now: Time, key: ServerKey) -> Option<EventGaps> {
        let report = self.servers.get(key)?.fresh_report(now)?;
        Some(report.gaps)
    }

    /// The fraction of the last seconds in which an engine had a prompt to prefill; `None` without a recent report.
    pub fn prefill_use(&self, now: Time, key: ServerKey) -> Option<f64> {
        let report = self.servers.get(key)?.fresh_report(now)?;
        Some(report.prefill_use)
    }

    /// The estimated time for prefill of the prompts already at the engine.
    pub fn prefill_backlog(&self, now: Time, key: ServerKey) -> Duration {
        let server = self.servers.get(key);
        server.map_or(Duration::ZERO, |server| server.prefill_backlog(now))
    }

    /// The listed server at the address.
    pub fn key_at(&self, address: SocketAddr) -> Option<ServerKey> {
        let mut keys = self.addresses.get(&address)?.iter().copied();
        keys.find(|key| self.servers[*key].listed)
    }

    /// Whether this entry needs the reports of the listed engine at the address, where it does not follow all of them: it
    /// has open requests there, or knows of the engine from its scout alone.
    pub fn needs_reports_of(&self, address: SocketAddr) -> bool {
        let server = self.key_at(address).map(|key| &self.servers[key]);
        server.is_some_and(|server| {
            server.open_requests > 0 || server.record.id.as_str().starts_with(UNLISTED_PREFIX)
        })
    }

    /// Whether the server's scout has sent a report recently.
    pub fn has_live_scout(&self, now: Time, key: ServerKey) -> bool {
        let report = self.servers.get(key).and_then(|s| s.report);
        report.is_some_and(|report| now.since(report.received_at) < SCOUT_TIMEOUT)
    }

    /// Records a request sent to the server.
    pub fn record_sent(&mut self, now: Time, key: ServerKey, request: &PlacementRequest<'_>) {
        if let Some(server) = self.servers.get_mut(key) {
            server.open_requests += 1;
            server.expected_tokens += request.tokens;
            server.prefill_tokens += request.prompt;
            server.record_unreported(now, request.prompt, request.tokens);
            server.cold.record_send(now);
            let address = server.record.address;
            if server.limit.rate().is_some() {
                let service = &server.record.service;
                let kept = self.ledger.kept_fraction(now, service);
                server
                    .limit
                    .record_sent(now, address, &self.entry_shares, kept);
                self.ledger.record_demand(now, service);
            }
            server.rest.record_sent(now);
        }
    }

    /// Records a request that another entry sent to the engine at the address.
    pub fn record_sent_elsewhere(
        &mut self,
        now: Time,
        engine: SocketAddr,
        prompt: u64,
        tokens: u64,
    ) {
        if let Some(key) = self.key_at(engine) {
            self.servers[key].record_unreported(now, prompt, tokens);
        }
    }

    /// Records that the first event of a request arrived, or will not arrive: its prefill is over.
    pub fn record_prefill_end(&mut self, key: ServerKey, prompt: u64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.prefill_tokens = server.prefill_tokens.saturating_sub(prompt);
        }
    }

    /// Records that a request is no longer at the server.
    pub fn record_ended(&mut self, key: ServerKey, tokens: u64) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.open_requests = server.open_requests.saturating_sub(1);
        server.expected_tokens = server.expected_tokens.saturating_sub(tokens);
        if !server.listed && server.open_requests == 0 {
            self.remove(key);
        }
    }

    /// Records that a server served a request, which ends its backoff.
    pub fn record_success(&mut self, now: Time, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.answered_at = Some(now);
            server.consecutive_failures = 0;
            server.backoff_until = Time::ZERO;
        }
    }

    /// Records that a server failed a request; with `hard`, that it could not be reached at all.
    pub fn record_failure(&mut self, now: Time, key: ServerKey, hard: bool) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.consecutive_failures += if hard { BACKOFF_THRESHOLD } else { 1 };
        if server.consecutive_failures >= BACKOFF_THRESHOLD {
            let doublings = (server.consecutive_failures / BACKOFF_THRESHOLD - 1).min(4);
            server.backoff_until = now + (INITIAL_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
        }
    }

    /// Records the load that a plain server states.
    pub fn record_load(&mut self, now: Time, key: ServerKey, load: &ServerLoad) {
        if let Some(server) = self.servers.get_mut(key) {
            let reported = f64::from(load.requests());
            server.other_requests = (reported - f64::from(server.open_requests)).max(0.0);
            server.stated_slots = load.slots.or(server.stated_slots);
            server.host_speed.record(now, load);
        }
    }

    pub(crate) fn upsert(&mut self, now: Time, record: &ServerRecord) {
        if self.incarnations.has_ended(now, record) {
            return;
        }
        if let Some(key) = self.ids.get(&record.id).copied() {
            let server = &mut self.servers[key];
            let same_incarnation = server.record.born == record.born || server.record.born == 0;
            if same_incarnation && server.record.address == record.address {
                server.cold.set_remaining(now, record.cold);
                server.record = record.clone();
                // An incarnation that is leaving never takes work again, even if an older list has it as ready.
                if server.leaving.is_some() || record.phase == ServerPhase::Draining {
                    server.set_leaving(now, LeavingSource::Directory);
                }
                server.observed_since = None;
                return;
            }
            // Another incarnation under the same identifier shares no state with the previous one.
            self.remove_listed(now, &record.id);
        }
        if self.list_announced(now, record) {
            return;
        }
        let mut server = Server::new(record.clone());
        server.listed = true;
        if record.phase == ServerPhase::Draining {
            server.set_leaving(now, LeavingSource::Directory);
        }
        if let Some(statements) = self.incarnations.take_statements(now, record) {
            server.restore(statements);
        }
        server.cold.set_remaining(now, record.cold);
        if self.initial_list_applied {
            server.cold.note_possible_start(now);
        }
        let key = self.insert(server);
        self.ids.insert(record.id.clone(), key);
        self.joined.push(record.address);
    }

    /// Applies a record of an engine that only its scout had announced. It is the same engine, so its
    /// open requests are kept.
    fn list_announced(&mut self, now: Time, record: &ServerRecord) -> bool {
        let id = Name::new(format!("{UNLISTED_PREFIX}{}", record.address));
        let Some(key) = self.ids.remove(&id) else {
            return false;
        };
        let server = &mut self.servers[key];
        server.cold.set_remaining(now, record.cold);
        server.record = record.clone();
        if server.leaving.is_some() || record.phase == ServerPhase::Draining {
            server.set_leaving(now, LeavingSource::Directory);
        }
        self.ids.insert(record.id.clone(), key);
        true
    }

    pub(crate) fn remove_listed(&mut self, now: Time, id: &Name) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        let server = &mut self.servers[key];
        server.listed = false;
        // A placeholder identifier is that of the address, and the next engine there has it as well.
        if !id.as_str().starts_with(UNLISTED_PREFIX) {
            let born = server.record.born;
            self.incarnations
                .keep_statements(now, id, born, server.statements());
        }
        server.set_leaving(now, LeavingSource::Directory);
        self.incarnations.record_removal(now, &server.record);
        self.bindings.prune(now, &self.ids);
        if server.open_requests == 0 {
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
        if let Some(keys) = self.addresses.get_mut(&address) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.addresses.remove(&address);
            }
        }
    }
}
