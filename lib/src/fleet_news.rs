//! What scouts and requests tell of backend servers, beside the list.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::SCOUT_AGE;
use crate::fleet::UNLISTED;
use crate::fleet_server::Report;
use crate::fleet_server::Server;
use crate::fleet_server::UNSEEN;
use crate::ids::Name;
use crate::peer_words::EngineHere;
use crate::peer_words::EngineLoad;
use crate::prefill_rate;
use crate::routing::ServerKey;
use crate::site::ServerPhase;
use crate::site::ServerRecord;
use crate::time::Time;

impl Fleet {
    /// A scout says that its engine is there; whether that is news. Counts until the list has it, under
    /// no identifier: the engine's own is in the list only.
    pub fn announced(&mut self, now: Time, here: &EngineHere) -> bool {
        if self.key_at(here.address).is_some() {
            return false;
        }
        let id = Name::new(format!("{UNLISTED}{}", here.address));
        self.put(now, &unlisted(id, here));
        true
    }

    /// A scout says under which identifier its engine lives; whether that is news. The list may name a
    /// former life at the address: that one has ended. Where the list has nothing there, the engine
    /// counts by the list's word only, since it may be one that leaves without saying so.
    pub fn identified(&mut self, now: Time, here: &EngineHere, id: &Name) -> bool {
        let Some(key) = self.key_at(here.address) else {
            return false;
        };
        let record = &self.servers[key].record;
        if record.id == *id || record.service != here.service {
            return false;
        }
        self.lives.found(now, here.address, id);
        self.replace(now, key, id);
        true
    }

    /// A place at the engine at the address, for a run that a scout has moved there. Scouts know engines
    /// that this entry has not heard of; the run alone may go there, and nothing else until the list has
    /// it. `None` where a server at the address has left: it may be the one.
    pub fn adopted(&mut self, now: Time, engine: &EngineHere) -> Option<ServerKey> {
        if let Some(key) = self.key_at(engine.address) {
            return Some(key);
        }
        if self.lives.has_left(now, engine.address) {
            return None;
        }
        let id = Name::new(format!("{UNLISTED}{}", engine.address));
        Some(self.insert(Server::new(unlisted(id, engine))))
    }

    /// Forgets engines that only their scouts told of, and whose scouts are silent now.
    pub fn trim_announced(&mut self, now: Time) {
        let announced = self
            .ids
            .iter()
            .filter(|(id, _)| id.as_str().starts_with(UNLISTED));
        let silent = announced.filter(|(_, key)| {
            let server = &self.servers[**key];
            server.report.is_some_and(|r| now.since(r.at) >= SCOUT_AGE)
        });
        let silent: Vec<Name> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.gone(now, &id);
        }
    }

    /// A report of an engine came; whether it is news that the engine leaves.
    pub fn report(&mut self, now: Time, engine: &EngineHere, load: &EngineLoad) -> bool {
        let address = engine.address;
        if self.key_at(address).is_none() {
            self.take_found(now, engine);
        }
        // One that has left the list may still run what it was sent, and its scout tells of it.
        let there = self.addresses.get(&address).into_iter().flatten();
        let told = there.copied().filter(|key| {
            let record = &self.servers[*key].record;
            let known = record.born;
            let same_life = load.born.is_none_or(|born| born == known || known == 0);
            record.service == engine.service && same_life
        });
        let Some(key) = told.max_by_key(|key| self.servers[*key].listed) else {
            return false;
        };
        let trip = self.round_trip(now, &self.servers[key].record.zone);
        let server = &mut self.servers[key];
        let turned = load.leaving && server.leaving.is_none();
        if turned {
            server.leaving = Some(now);
        }
        server.report = Some(Report {
            at: now,
            planned: load.planned.max(load.used),
            unread: load.unread,
            reads: match load.reads {
                0 => prefill_rate::PRIOR,
                reads => f64::from(reads) / 10.0,
            },
            running: load.running + load.queued,
            failing: f64::from(load.failing) / 100.0,
            every: Duration::from_millis(u64::from(load.every)),
        });
        server
            .cold
            .set_remaining(now, Duration::from_millis(u64::from(load.cold)));
        let unseen = UNSEEN + trip;
        server.unseen.retain(|sent| now.since(sent.at) < unseen);
        turned
    }

    /// A scout has answered with its engine's load; whether it is news that the engine leaves. The answer counts
    /// all that was sent to the engine, this entry's requests among it.
    pub fn answered(&mut self, now: Time, engine: &EngineHere, load: &EngineLoad) -> bool {
        let turned = self.report(now, engine, load);
        if let Some(key) = self.key_at(engine.address) {
            self.servers[key].unseen.clear();
        }
        turned
    }

    /// A request found another server at the address than the expected one: that one has ended. The other
    /// one takes its place at once where a scout has said what stands there; without such a word the
    /// address may be another service's by now.
    pub fn is_other(&mut self, now: Time, key: ServerKey, other: &Name) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let (id, address) = (server.record.id.clone(), server.record.address);
        self.lives.found(now, address, other);
        if self.ids.get(&id) != Some(&key) {
            return;
        }
        if self.has_scout(now, key) {
            self.replace(now, key, other);
        } else {
            self.end(now, &id);
        }
    }

    /// The life at `key` has ended, and `id` is the one that stands there now. What its scout has said
    /// of it still holds.
    fn replace(&mut self, now: Time, key: ServerKey, id: &Name) {
        let server = &self.servers[key];
        let report = server.report;
        let former = server.record.clone();
        self.end(now, &former.id);
        let record = ServerRecord {
            id: id.clone(),
            phase: ServerPhase::Ready,
            cold: Duration::ZERO,
            born: 0,
            ..former
        };
        self.put(now, &record);
        if let Some(key) = self.ids.get(id) {
            let server = &mut self.servers[*key];
            server.found = Some(now);
            server.report = report;
        }
    }

    /// The life under the identifier has ended, whatever the list says.
    fn end(&mut self, now: Time, id: &Name) {
        if let Some(key) = self.ids.get(id) {
            self.lives.ended(now, &self.servers[*key].record);
        }
        self.gone(now, id);
    }

    /// Takes in an engine that a request has found at an address and whose scout says what it is, before
    /// the list has it.
    fn take_found(&mut self, now: Time, engine: &EngineHere) {
        let Some(id) = self.lives.found_at(now, engine.address) else {
            return;
        };
        self.put(now, &unlisted(id.clone(), engine));
        if let Some(key) = self.ids.get(&id) {
            self.servers[*key].found = Some(now);
        }
    }
}

/// The record of an engine that the list does not have.
fn unlisted(id: Name, engine: &EngineHere) -> ServerRecord {
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
