//! Updates of the view of backend servers from scouts and requests, in addition to the list.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::SCOUT_TIMEOUT;
use crate::fleet::UNLISTED_PREFIX;
use crate::fleet_server::REPORT_LAG;
use crate::fleet_server::Report;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::peer_messages::EngineLoad;
use crate::peer_messages::EngineLocation;
use crate::prefill_rate;
use crate::routing::ServerKey;
use crate::server_leaving::LeavingSource;
use crate::site::ServerPhase;
use crate::site::ServerRecord;
use crate::time::Time;

impl Fleet {
    /// Applies a scout's announcement of its engine; returns whether the engine is new. It is used
    /// without an identifier until the list has it: only the list holds the engine's own.
    pub fn add_announced(&mut self, now: Time, here: &EngineLocation) -> bool {
        if self.key_at(here.address).is_some() {
            return false;
        }
        let id = Name::new(format!("{UNLISTED_PREFIX}{}", here.address));
        self.upsert(now, &unlisted_record(id, here));
        true
    }

    /// Applies the engine identifier that a scout reports; returns whether it is new. The list may name a
    /// previous incarnation at the address, which has then ended. If the list has no server at the
    /// address, the report is ignored: the engine may be leaving without having announced it.
    pub fn apply_identity(&mut self, now: Time, here: &EngineLocation, id: &Name) -> bool {
        let Some(key) = self.key_at(here.address) else {
            return false;
        };
        let server = &mut self.servers[key];
        if server.record.id == *id {
            server.confirmed = true;
            return false;
        }
        if server.record.service != here.service {
            return false;
        }
        self.incarnations.record_observed(now, here.address, id);
        self.replace(now, key, id);
        true
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
    /// removed from the list: it may be that engine.
    pub fn key_for_moved_run(&mut self, now: Time, engine: &EngineLocation) -> Option<ServerKey> {
        if let Some(key) = self.key_at(engine.address) {
            return Some(key);
        }
        if self.incarnations.was_removed_at(now, engine.address) {
            return None;
        }
        let id = Name::new(format!("{UNLISTED_PREFIX}{}", engine.address));
        Some(self.insert(Server::new(unlisted_record(id, engine))))
    }

    /// Removes engines that only their scouts have announced and whose scouts have become silent.
    pub fn remove_silent_engines(&mut self, now: Time) {
        let announced = self
            .ids
            .iter()
            .filter(|(id, _)| id.as_str().starts_with(UNLISTED_PREFIX));
        let silent = announced.filter(|(_, key)| {
            let server = &self.servers[**key];
            server
                .report
                .is_some_and(|r| now.since(r.received_at) >= SCOUT_TIMEOUT)
        });
        let silent: Vec<Name> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.remove_listed(now, &id);
        }
    }

    /// Applies a load report; returns whether it is the first sign that the engine is leaving.
    pub fn apply_report(&mut self, now: Time, engine: &EngineLocation, load: &EngineLoad) -> bool {
        let address = engine.address;
        if self.key_at(address).is_none() {
            self.add_observed(now, engine);
        }
        // A server that was removed from the list may still run its open requests and be reported.
        let keys = self.addresses.get(&address).into_iter().flatten();
        let matching = keys.copied().filter(|key| {
            let record = &self.servers[*key].record;
            let known = record.born;
            let same_incarnation = load.born.is_none_or(|born| born == known || known == 0);
            record.service == engine.service && same_incarnation
        });
        let Some(key) = matching.max_by_key(|key| self.servers[*key].listed) else {
            return false;
        };
        let round_trip = self.round_trip(now, &self.servers[key].record.zone);
        let started_leaving = load.leaving && self.record_leaving(now, key, LeavingSource::Scout);
        let server = &mut self.servers[key];
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

    /// Records that a request found a different server at the address than the expected one, which has
    /// ended. If the scout there has reported recently, the other server replaces it at once; otherwise
    /// the address may belong to another service by now.
    pub fn record_mismatch(&mut self, now: Time, key: ServerKey, other: &Name) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let (id, address) = (server.record.id.clone(), server.record.address);
        self.incarnations.record_observed(now, address, other);
        if self.ids.get(&id) != Some(&key) {
            return;
        }
        if self.has_live_scout(now, key) {
            self.replace(now, key, other);
        } else {
            self.end_incarnation(now, &id);
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

    /// Adds an engine that a request has found at an address and whose scout has reported it, before the
    /// list has it.
    fn add_observed(&mut self, now: Time, engine: &EngineLocation) {
        let Some(id) = self.incarnations.observed_at(now, engine.address) else {
            return;
        };
        self.upsert(now, &unlisted_record(id.clone(), engine));
        if let Some(key) = self.ids.get(&id) {
            self.servers[*key].observed_since = Some(now);
        }
    }
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
