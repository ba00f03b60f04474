//! Updates of the view of backend servers from scouts and requests, in addition to the list.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::SCOUT_TIMEOUT;
use crate::fleet::UNLISTED_PREFIX;
use crate::fleet_server::REPORT_LAG;
use crate::fleet_server::Report;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::peer_messages::EngineIdentity;
use crate::peer_messages::EngineLoad;
use crate::peer_messages::EngineLocation;
use crate::prefill_rate;
use crate::routing::ServerKey;
use crate::server_leaving::LeavingSource;
use crate::site::ServerPhase;
use crate::site::ServerRecord;
use crate::time::Time;

/// What a scout's identity report has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdentityNews {
    /// Nothing: the incarnation is known, or may be one that leaves.
    Known,
    /// Another incarnation of the same service is used now.
    Replaced,
    /// The server that was known at the address has ended, and another one is there. If the list does not have that one,
    /// its service is unknown and it gets no requests.
    Ended,
}

impl IdentityNews {
    /// The name of the variant, for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            IdentityNews::Known => "known",
            IdentityNews::Replaced => "replaced",
            IdentityNews::Ended => "ended",
        }
    }
}

impl Fleet {
    /// Applies a scout's announcement of its engine; returns whether the engine is new. It is used
    /// without an identifier until the list has it: only the list holds the engine's own.
    pub fn add_announced(&mut self, now: Time, here: &EngineLocation) -> bool {
        if self.key_at(here.address).is_some() {
            return false;
        }
        let id = Name::new(format!("{UNLISTED_PREFIX}{}", here.address));
        self.upsert(now, &unlisted_record(id.clone(), here));
        if let Some(key) = self.ids.get(&id) {
            self.servers[*key].observed_since = Some(now);
        }
        true
    }

    /// Applies the engine identifier that a scout reports. The list may name a previous incarnation at the address, which
    /// has then ended. If the list has no server at the address, a server that was removed from it is ignored: it may be
    /// leaving without having announced it. `trusts_scouts`: the directory is unreachable.
    pub fn apply_identity(
        &mut self,
        now: Time,
        identity: &EngineIdentity,
        trusts_scouts: bool,
    ) -> IdentityNews {
        let (address, id) = (identity.engine.address, &identity.id);
        if let Some(key) = self.ids.get(id).copied() {
            if self.servers[key].record.address == address {
                self.servers[key].confirmed = true;
            }
            return match self.end_others_at(now, address, id) {
                true => IdentityNews::Ended,
                false => IdentityNews::Known,
            };
        }
        self.incarnations.record_observed(id);
        let service = self.bindings.service_of(identity, trusts_scouts);
        match (self.key_at(address), service) {
            (Some(key), Some(service)) if self.servers[key].record.service == service => {
                self.bind_successor(now, identity);
                self.replace(now, key, id);
                IdentityNews::Replaced
            }
            (Some(_), _) => {
                self.end_others_at(now, address, id);
                IdentityNews::Ended
            }
            (None, _) => self.add_successor(now, identity),
        }
    }

    /// Records that the server has named the incarnation that is known.
    pub fn confirm(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.confirmed = true;
        }
    }

    /// Whether the server or its scout has named the incarnation that is known.
    pub fn is_confirmed(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.confirmed)
    }

    /// The key of the engine to which a scout has moved a run. Scouts know engines that this entry does
    /// not: such an engine gets only this run until the list has it. `None` if a server at the address was
    /// removed from the list: it may be that engine; or if the list has a server of another service there.
    pub fn key_for_moved_run(&mut self, now: Time, engine: &EngineLocation) -> Option<ServerKey> {
        if let Some(key) = self.key_at(engine.address) {
            let is_same_service = self.servers[key].record.service == engine.service;
            return is_same_service.then_some(key);
        }
        if self.incarnations.was_removed_at(now, engine.address) {
            return None;
        }
        let id = Name::new(format!("{UNLISTED_PREFIX}{}", engine.address));
        Some(self.insert(Server::new(unlisted_record(id, engine))))
    }

    /// Removes engines that only their scouts have announced and whose scouts have become silent: nothing guards requests
    /// to them against another server at the address.
    pub fn remove_silent_engines(&mut self, now: Time) {
        let announced = self
            .ids
            .iter()
            .filter(|(id, _)| id.as_str().starts_with(UNLISTED_PREFIX));
        let silent = announced.filter(|(_, key)| {
            let server = &self.servers[**key];
            let reported = server.report.map(|report| report.received_at);
            let last_heard = reported.or(server.observed_since);
            last_heard.is_some_and(|at| now.since(at) >= SCOUT_TIMEOUT)
        });
        let silent: Vec<Name> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.remove_listed(now, &id);
        }
    }

    /// Applies a load report; returns whether it is the first sign that the engine is leaving.
    pub fn apply_report(&mut self, now: Time, engine: &EngineLocation, load: &EngineLoad) -> bool {
        let address = engine.address;
        // A server that was removed from the list may still run its open requests and be reported.
        let keys = self.addresses.get(&address).into_iter().flatten();
        let matching = keys.copied().filter(|key| {
            let server = &self.servers[*key];
            server.record.service == engine.service && server.is_report_of(now, load.born)
        });
        let Some(key) = matching.max_by_key(|key| self.servers[*key].listed) else {
            return false;
        };
        let round_trip = self.round_trip(now, &self.servers[key].record.zone);
        let started_leaving = load.leaving && self.record_leaving(now, key, LeavingSource::Scout);
        let server = &mut self.servers[key];
        server.reported_start = load.born.or(server.reported_start);
        server.report = Some(Report {
            received_at: now,
            peak_tokens: load.peak_tokens.max(load.used),
            prefill_tokens: load.prefill_tokens,
            prefill_rate: match load.prefill_rate {
                0 => prefill_rate::PRIOR,
                rate => f64::from(rate) / 10.0,
            },
            requests: load.running + load.queued,
            failure_rate: f64::from(load.failure_percent) / 100.0,
            interval: Duration::from_millis(u64::from(load.interval_ms)),
            gaps: load.gaps,
            prefill_use: f64::from(load.prefill_percent.min(100)) / 100.0,
        });
        server
            .cold
            .set_remaining(now, Duration::from_millis(u64::from(load.cold)));
        let lag = REPORT_LAG + round_trip;
        server
            .unreported
            .retain(|sent| now.since(sent.sent_at) < lag);
        started_leaving
    }

    /// Applies a scout's answer to a load query; returns whether it is the first sign that the engine is
    /// leaving. The answer includes all requests sent to the engine, also those of this entry.
    pub fn apply_load_answer(
        &mut self,
        now: Time,
        engine: &EngineLocation,
        load: &EngineLoad,
    ) -> bool {
        let started_leaving = self.apply_report(now, engine, load);
        if let Some(key) = self.key_at(engine.address) {
            self.servers[key].unreported.clear();
        }
        started_leaving
    }

    /// Records that a request found a different server at the address than the expected one, which has ended. If its
    /// scout has reported it a moment ago, the other server has the same service and replaces it at once; otherwise the
    /// address may belong to another service by now, which the list tells or the scout. An engine that its scout has just
    /// announced names itself first by such an answer.
    pub fn record_mismatch(&mut self, now: Time, key: ServerKey, other: &Name) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let id = server.record.id.clone();
        if self.ids.get(&id) != Some(&key) {
            return;
        }
        self.incarnations.record_observed(other);
        let is_unlisted = !self.ids.contains_key(other) && !self.bindings.is_bound(other);
        if is_unlisted && (self.has_live_scout(now, key) || self.was_just_announced(now, key)) {
            let service = server.record.service.clone();
            self.bindings.bind(now, other, &service);
            self.replace(now, key, other);
        } else {
            self.end_incarnation(now, &id);
        }
    }

    /// Whether an engine without a known identifier was announced a moment ago.
    fn was_just_announced(&self, now: Time, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let announced = server.observed_since.filter(|_| is_placeholder(server));
        announced.is_some_and(|at| now.since(at) < SCOUT_TIMEOUT)
    }

    /// Ends all listed servers at the address but the one with the identifier; returns whether there was one.
    fn end_others_at(&mut self, now: Time, address: SocketAddr, id: &Name) -> bool {
        let at_address = self.addresses.get(&address).into_iter().flatten();
        let servers = at_address.map(|key| &self.servers[*key]);
        let others = servers.filter(|server| server.listed && server.record.id != *id);
        let others: Vec<Name> = others.map(|server| server.record.id.clone()).collect();
        for other in &others {
            self.end_incarnation(now, other);
        }
        !others.is_empty()
    }

    /// Binds a server that follows a bound one to the same service. One that only its scout vouches for is not bound.
    fn bind_successor(&mut self, now: Time, identity: &EngineIdentity) {
        if let Some(service) = self.bindings.bound_service(identity) {
            self.bindings.bind(now, &identity.id, &service);
        }
    }

    /// Replaces the incarnation at `key`, which has ended, by `id`. The last report of the scout is kept.
    fn replace(&mut self, now: Time, key: ServerKey, id: &Name) {
        let server = &self.servers[key];
        let report = server.report;
        let previous = server.record.clone();
        self.end_incarnation(now, &previous.id);
        let record = ServerRecord {
            id: id.clone(),
            phase: ServerPhase::Ready,
            cold: Duration::ZERO,
            born: 0,
            ..previous
        };
        self.upsert(now, &record);
        if let Some(key) = self.ids.get(id) {
            let server = &mut self.servers[*key];
            server.observed_since = Some(now);
            server.confirmed = true;
            server.report = report;
        }
    }

    /// Removes the incarnation with the identifier, even if the list still has it.
    fn end_incarnation(&mut self, now: Time, id: &Name) {
        if let Some(key) = self.ids.get(id) {
            self.incarnations
                .record_end(now, &self.servers[*key].record);
        }
        self.remove_listed(now, id);
    }

    /// Adds an engine that has followed a listed one, which is known to have ended, before the list has it.
    fn add_successor(&mut self, now: Time, identity: &EngineIdentity) -> IdentityNews {
        let id = &identity.id;
        let service = self.bindings.bound_service(identity);
        let Some(service) = service.filter(|_| !self.bindings.is_bound(id)) else {
            return IdentityNews::Known;
        };
        self.bindings.bind(now, id, &service);
        let engine = EngineLocation {
            service,
            ..identity.engine.clone()
        };
        self.upsert(now, &unlisted_record(id.clone(), &engine));
        if let Some(key) = self.ids.get(id) {
            let server = &mut self.servers[*key];
            server.observed_since = Some(now);
            server.confirmed = true;
        }
        IdentityNews::Replaced
    }
}

/// Whether only its scout has announced the server, so that its identifier is not known.
fn is_placeholder(server: &Server) -> bool {
    server.record.id.as_str().starts_with(UNLISTED_PREFIX)
}

/// The record of an engine that is not in the list.
fn unlisted_record(id: Name, engine: &EngineLocation) -> ServerRecord {
    ServerRecord {
        id,
        service: engine.service.clone(),
        address: engine.address,
        zone: engine.zone.clone(),
        slots: 0,
        phase: ServerPhase::Ready,
        cold: Duration::ZERO,
        born: 0,
    }
}
