//! The choice of a backend server for a request.
//!
//! A request goes to the server with the least sum of network distance, expected wait and missing memory,
//! among the servers that it may use: those in an allowed region and in no evacuated availability zone,
//! where this entry has not used up its share of a cold server's tolerated rate or of a server's
//! announced limit, and that did not ask it for rest. The module `fleet` describes the load patterns.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::cold_start;
use crate::cold_start::ColdStart;
use crate::copy_type;
use crate::fleet::ExpectedLoad;
use crate::fleet::Fleet;
use crate::fleet::PlacementRequest;
use crate::fleet_server::RegionMemory;
use crate::fleet_server::Report;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::migration::run_risk::PrefillRole;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::Locality;
use crate::residency::AllowedRegions;
use crate::routing::ServerKey;
use crate::site::EngineSpec;
use crate::site::ServiceSpec;
use crate::time::Time;

/// The cost of an engine in another availability zone of the region, in milliseconds of time to first
/// event: the stream's events would cross zones, where traffic is billed by volume. Prefill of a prompt
/// takes longer than this.
const ZONE_CROSSING_COST: f64 = 120.0;

/// The cost of each second for which a server remains cold, in milliseconds: it works slowly.
const COLD_SECOND_COST: f64 = 100.0;

/// The share of the engines whose load must be known to choose by it.
const MIN_KNOWN_SHARE: f64 = 0.5;

copy_type! {
    /// Why an otherwise suitable server is excluded from a choice.
    pub enum Exclusion {
        /// The request may not be served in its region.
        Region,
        /// Its availability zone is evacuated.
        Evacuated,
        /// It is cold, and this entry has used up its share of the rate that cold servers tolerate.
        Cold,
        /// It is a plain server that turned a request away when this entry had as many open there.
        Full,
        /// It asked this entry for rest, or is on trial after that.
        Resting,
        /// It announces a rate limit, and this entry has used up its share.
        Limited,
    }

    /// Why a choice found no server.
    pub enum NoServer {
        /// No known server of the service takes work.
        None,
        /// All servers of the service are excluded; of their reasons, the one expected to cease first.
        Excluded(Exclusion),
    }
}

impl NoServer {
    /// The name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            NoServer::None => "no_server",
            NoServer::Excluded(Exclusion::Region) => "region_not_allowed",
            NoServer::Excluded(Exclusion::Evacuated) => "zone_evacuated",
            NoServer::Excluded(Exclusion::Cold) => "cold_servers",
            NoServer::Excluded(Exclusion::Full) => "full_servers",
            NoServer::Excluded(Exclusion::Resting) => "resting_servers",
            NoServer::Excluded(Exclusion::Limited) => "limited_servers",
        }
    }
}

/// The number of servers that were excluded from a choice, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExclusionCounts {
    /// See [`Exclusion::Region`].
    pub region: u32,
    /// See [`Exclusion::Evacuated`].
    pub evacuated: u32,
    /// See [`Exclusion::Cold`].
    pub cold: u32,
    /// See [`Exclusion::Full`].
    pub full: u32,
    /// See [`Exclusion::Resting`].
    pub resting: u32,
    /// See [`Exclusion::Limited`].
    pub limited: u32,
}

impl ExclusionCounts {
    fn add(&mut self, reason: Exclusion) {
        match reason {
            Exclusion::Region => self.region += 1,
            Exclusion::Evacuated => self.evacuated += 1,
            Exclusion::Cold => self.cold += 1,
            Exclusion::Full => self.full += 1,
            Exclusion::Resting => self.resting += 1,
            Exclusion::Limited => self.limited += 1,
        }
    }

    /// The reason that is expected to cease first.
    fn most_transient(&self) -> NoServer {
        match self {
            ExclusionCounts { full: 1.., .. } => NoServer::Excluded(Exclusion::Full),
            ExclusionCounts { limited: 1.., .. } => NoServer::Excluded(Exclusion::Limited),
            ExclusionCounts { resting: 1.., .. } => NoServer::Excluded(Exclusion::Resting),
            ExclusionCounts { cold: 1.., .. } => NoServer::Excluded(Exclusion::Cold),
            ExclusionCounts { evacuated: 1.., .. } => NoServer::Excluded(Exclusion::Evacuated),
            ExclusionCounts { region: 1.., .. } => NoServer::Excluded(Exclusion::Region),
            ExclusionCounts { .. } => NoServer::None,
        }
    }
}

impl fmt::Display for ExclusionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ExclusionCounts {
            region,
            evacuated,
            cold,
            full,
            resting,
            limited,
        } = self;
        write!(
            f,
            "region_not_allowed {region}, zone_evacuated {evacuated}, cold {cold}, full {full}, \
             resting {resting}, limited {limited}"
        )
    }
}

impl Fleet {
    /// The load that a request would meet at an engine.
    pub fn expected_load(
        &self,
        now: Time,
        key: ServerKey,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> ExpectedLoad {
        let (Some(server), Some(engine)) = (self.servers.get(key), &spec.engine) else {
            return ExpectedLoad::default();
        };
        ExpectedLoad {
            memory: server.memory_fill(now, request.tokens, engine),
            prefill_backlog: server.prefill_backlog(now),
            own_prefill_time: server.prefill_time(now, request.prompt as f64),
            running: server.requests(now),
            slots: engine.slots,
        }
    }

    /// Chooses a server.
    pub fn choose(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> Result<ServerKey, NoServer> {
        let memory = spec
            .engine
            .as_ref()
            .map(|engine| self.region_memory(now, request, engine));
        let mut best: Option<(f64, ServerKey)> = None;
        let mut excluded = ExclusionCounts::default();
        for (key, server) in &self.servers {
            if !request.matches(key, server) {
                continue;
            }
            if let Some(reason) = self.exclusion(now, server, request, spec) {
                excluded.add(reason);
                continue;
            }
            let region = self.location.region_of(&server.record.zone);
            let region_memory = memory.as_ref().and_then(|memory| memory.get(region));
            let headroom = region_memory.map_or(0.0, |m| m.headroom_cost(request.tokens));
            let cost = self.cost(now, server, request, spec) + headroom;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
            .ok_or_else(|| excluded.most_transient())
    }

    /// Whether the server is in this entry's region.
    pub fn is_in_own_region(&self, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| self.locality(&server.record.zone) != Locality::OtherRegion)
    }

    /// Whether a run may continue at the server, for runs whose server is given and not chosen.
    pub fn is_permitted_at(&self, key: ServerKey, regions: &AllowedRegions) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        let zone = &server.record.zone;
        regions.permits(self.location.region_of(zone)) && !self.evacuated.contains(zone)
    }

    /// The number of servers of this entry's region that are excluded for the request, by reason.
    pub fn exclusions_in_own_region(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> ExclusionCounts {
        let mut excluded = ExclusionCounts::default();
        for (key, server) in &self.servers {
            let near = self.locality(&server.record.zone) != Locality::OtherRegion;
            if !near || !request.matches(key, server) {
                continue;
            }
            if let Some(reason) = self.exclusion(now, server, request, spec) {
                excluded.add(reason);
            }
        }
        excluded
    }

    pub(crate) fn exclusion(
        &self,
        now: Time,
        server: &Server,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> Option<Exclusion> {
        let zone = &server.record.zone;
        if !request.regions.permits(self.location.region_of(zone)) {
            return Some(Exclusion::Region);
        }
        if self.evacuated.contains(zone) {
            return Some(Exclusion::Evacuated);
        }
        if self.has_used_cold_share(now, server, &spec.cold) {
            return Some(Exclusion::Cold);
        }
        if !server.rest.wait(now).is_zero() {
            return Some(Exclusion::Resting);
        }
        let is_plain = spec.engine.is_none();
        if is_plain
            && server
                .busy_limit
                .is_reached(now, server.open_requests, request.rank)
        {
            return Some(Exclusion::Full);
        }
        self.has_reached_limit(now, server)
            .then_some(Exclusion::Limited)
    }

    /// Whether the server is cold and this entry has used up its share of the tolerated rate.
    fn has_used_cold_share(&self, now: Time, server: &Server, limits: &ColdStart) -> bool {
        if !limits.is_limited() || server.cold.remaining(now, limits.period).is_zero() {
            return false;
        }
        // What a former process of this entry has sent is not known.
        if now.since(Time::ZERO) < cold_start::WINDOW {
            return true;
        }
        let share = limits.share(&self.entry_shares, server.record.address);
        server.cold.recent_sends(now) >= share
    }

    /// Whether load reports are too infrequent to choose by, or too few have arrived: all entries would
    /// then choose the same engine. Considers the engines of this entry's region that a request may go to,
    /// or those of all regions if there are none.
    pub fn reports_too_sparse(&self, now: Time, service: &Name, regions: &AllowedRegions) -> bool {
        let servers = self.servers.values();
        let eligible = servers.filter(|s| {
            let zone = &s.record.zone;
            let usable = s.takes_work() && !self.evacuated.contains(zone);
            usable && s.record.service == *service && regions.permits(self.location.region_of(zone))
        });
        let (near, far): (Vec<&Server>, Vec<&Server>) =
            eligible.partition(|s| self.locality(&s.record.zone) != Locality::OtherRegion);
        let considered = if near.is_empty() { far } else { near };
        let reports = considered.iter().filter_map(|s| s.fresh_report(now));
        let reports: Vec<Report> = reports.collect();
        let known_share = reports.len() as f64 / considered.len().max(1) as f64;
        let sparse = |report: &Report| placement::reports_too_sparse(report.interval);
        known_share < MIN_KNOWN_SHARE || reports.iter().any(sparse)
    }

    /// The servers that the request may go to.
    pub fn candidates(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> Vec<Candidate> {
        let servers = self.servers.iter();
        let eligible = servers.filter(|(key, server)| {
            request.matches(*key, server) && self.exclusion(now, server, request, spec).is_none()
        });
        let candidates = eligible.map(|(key, server)| Candidate {
            key,
            locality: self.locality(&server.record.zone),
            is_preferred: server.prefill_role != PrefillRole::Decoder,
        });
        candidates.collect()
    }

    fn cost(
        &self,
        now: Time,
        server: &Server,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> f64 {
        let crosses_zones =
            spec.engine.is_some() && self.locality(&server.record.zone) == Locality::SameRegion;
        let crossing = if crosses_zones {
            ZONE_CROSSING_COST
        } else {
            0.0
        };
        let round_trip = self.round_trip(now, &server.record.zone);
        let distance = round_trip.as_secs_f64() * 1_000.0 + crossing;
        let backoff = server.backoff_until.since(now).as_secs_f64() * 1_000.0;
        let cold = server.cold.remaining(now, spec.cold.period).as_secs_f64() * COLD_SECOND_COST;
        let load = match &spec.engine {
            Some(engine) => server.engine_cost(now, request, engine),
            None => server.queue_cost(now, self.service_time(request.service, server)),
        };
        distance + 10.0 * backoff + cold + load
    }

    /// The mean time that a plain server takes for a call; the mean of its service until it has its own.
    fn service_time(&self, service: &Name, server: &Server) -> Duration {
        let own = server.work_time.as_ref();
        let estimate = own.or_else(|| self.service_times.get(service));
        estimate.copied().unwrap_or_default().mean()
    }

    /// The memory of a service's engines in each region.
    fn region_memory(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        engine: &EngineSpec,
    ) -> HashMap<Name, RegionMemory> {
        let mut regions: HashMap<Name, RegionMemory> = HashMap::new();
        for server in self.servers.values() {
            let evacuated = self.evacuated.contains(&server.record.zone);
            if &server.record.service != request.service || !server.listed || evacuated {
                continue;
            }
            let region = self.location.region_of(&server.record.zone);
            let memory = regions.entry(region.clone()).or_default();
            let used = server.used_tokens(now);
            if server.leaving.is_some() {
                // The runs of a leaving engine need memory at the others now.
                memory.used += used;
            } else {
                memory.capacity += engine.capacity;
                memory.used += used;
                memory.largest = memory.largest.max(engine.capacity);
            }
        }
        regions
    }

    /// The round trip to an availability zone.
    pub fn round_trip(&self, now: Time, zone: &Name) -> Duration {
        self.round_trips.estimate(now, zone, self.locality(zone))
    }

    pub(crate) fn locality(&self, zone: &Name) -> Locality {
        let location = &self.location;
        match location.region_of(zone) == location.region_of(&location.zone) {
            true if *zone == location.zone => Locality::SameZone,
            true => Locality::SameRegion,
            false => Locality::OtherRegion,
        }
    }
}
