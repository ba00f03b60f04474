//! The fleet's part in moving runs whose engines stay: the prefill groups of all zones, the state of a run's engine, and
//! the engines that it can be moved to.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::PlacementRequest;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::migration::move_target::MoveTarget;
use crate::migration::prefill_group::GapObjective;
use crate::migration::prefill_group::GroupEngine;
use crate::migration::prefill_group::PrefillGroup;
use crate::migration::run_risk::EngineState;
use crate::migration::run_risk::PrefillRole;
use crate::routing::ServerKey;
use crate::site::EngineSpec;
use crate::site::ServiceSpec;
use crate::time::Time;

/// Events of a typical long run before any was observed.
const PRIOR_EVENTS: f64 = 128.0;

/// Weight of the newest run in the mean number of events.
const EVENTS_WEIGHT: f64 = 0.05;

/// A run of at most this many events is short, and says nothing about the length of long ones.
const MAX_SHORT_EVENTS: u32 = 16;

/// The prefill groups by zone and service, and the length of each service's long runs.
#[derive(Debug, Default)]
pub(crate) struct PrefillGroups {
    groups: HashMap<(Name, Name), PrefillGroup>,
    typical_events: HashMap<Name, f64>,
}

/// The size of a prefill group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupSize {
    /// The availability zone.
    pub zone: Name,
    /// The service.
    pub service: Name,
    /// Its members.
    pub members: usize,
    /// The engines of the zone that take work.
    pub engines: usize,
}

impl Fleet {
    /// Derives the prefill groups of the services that have a gap objective, and returns their sizes. Services without
    /// one have no groups.
    pub fn update_prefill_groups(
        &mut self,
        now: Time,
        objectives: &HashMap<Name, GapObjective>,
    ) -> Vec<GroupSize> {
        let mut zones: HashMap<(Name, Name), Vec<GroupEngine>> = HashMap::new();
        for (key, server) in &mut self.servers {
            server.prefill_role = PrefillRole::Any;
            let record = &server.record;
            let usable = server.takes_work() && !self.evacuated.contains(&record.zone);
            if usable && objectives.contains_key(&record.service) {
                let zone = (record.zone.clone(), record.service.clone());
                let engine = server.group_engine(now, key);
                zones.entry(zone).or_default().push(engine);
            }
        }
        let groups = &mut self.prefill_groups;
        groups.groups.retain(|zone, _| zones.contains_key(zone));
        let mut sizes = Vec::new();
        for (zone, engines) in zones {
            let objective = &objectives[&zone.1];
            let typical = groups.typical_events.get(&zone.1);
            let typical = typical.copied().unwrap_or(PRIOR_EVENTS) as u32;
            let group = groups.groups.entry(zone.clone()).or_default();
            group.update(now, &engines, objective, typical);
            let members = group.members();
            sizes.push(GroupSize {
                zone: zone.0,
                service: zone.1,
                members: members.len(),
                engines: engines.len(),
            });
            if members.is_empty() {
                continue;
            }
            for engine in &engines {
                self.servers[engine.key].prefill_role = PrefillRole::Decoder;
            }
            for member in members {
                self.servers[*member].prefill_role = PrefillRole::Member;
            }
        }
        sizes
    }

    /// Records the expected number of events of a run of the service.
    pub fn record_run_length(&mut self, service: &Name, events: u32) {
        if events <= MAX_SHORT_EVENTS {
            return;
        }
        let typical = &mut self.prefill_groups.typical_events;
        let mean = typical.entry(service.clone()).or_insert(PRIOR_EVENTS);
        *mean += EVENTS_WEIGHT * (f64::from(events) - *mean);
    }

    /// An engine's part in the prefill of its zone.
    pub fn prefill_role(&self, key: ServerKey) -> PrefillRole {
        let server = self.servers.get(key);
        server.map_or(PrefillRole::Any, |server| server.prefill_role)
    }

    /// The state of a run's engine; `None` if the engine is no longer known.
    pub fn engine_state(
        &self,
        now: Time,
        key: ServerKey,
        engine: &EngineSpec,
    ) -> Option<EngineState> {
        let server = self.servers.get(key)?;
        Some(server.engine_state(now, engine))
    }

    /// The engines that a run can be moved to, as far as the request allows: the run is never moved to an engine that
    /// failed recently.
    pub fn move_targets(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> Vec<MoveTarget> {
        let Some(engine) = &spec.engine else {
            return Vec::new();
        };
        let matching = self.servers.iter().filter(|(key, server)| {
            request.matches(*key, server)
                && server.fresh_report(now).is_some()
                && server.backoff_until <= now
                && self.exclusion(now, server, request, spec).is_none()
        });
        let targets = matching.map(|(key, server)| MoveTarget {
            key,
            engine: server.engine_state(now, engine),
            used: server.used_tokens(now),
            capacity: engine.capacity,
            is_full: server.requests(now) >= engine.slots,
            is_spare: server.limit.rate().is_some()
                || !server.cold.remaining(now, spec.cold.period).is_zero(),
        });
        targets.collect()
    }
}

impl Server {
    fn group_engine(&self, now: Time, key: ServerKey) -> GroupEngine {
        let report = self.fresh_report(now);
        GroupEngine {
            key,
            hash: self.address_hash,
            gaps: report.map(|report| report.gaps),
            prefill_use: report.map_or(0.0, |report| report.prefill_use),
            prefill_rate: self.prefill_rate(now),
            prefill_tokens: self.pending_prefill(now),
        }
    }

    fn engine_state(&self, now: Time, engine: &EngineSpec) -> EngineState {
        let report = self.fresh_report(now);
        EngineState {
            gaps: report.map(|report| report.gaps),
            report_age: report.map_or(Duration::MAX, |report| now.since(report.received_at)),
            prefill_use: report.map_or(0.0, |report| report.prefill_use),
            role: self.prefill_role,
            fill: self.used_tokens(now) as f64 / engine.capacity.max(1) as f64,
        }
    }
}
