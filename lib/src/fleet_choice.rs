//! The choice of a backend server for a request.
//!
//! A request goes where the sum of distance, expected wait and lack of room is least, among the servers that it may
//! go to: in a region that is allowed, in no evacuated availability zone, and at no server beyond what that tolerates while
//! it is cold or takes while it names a limit. See `fleet` for the load patterns.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::cold_start::ColdStart;
use crate::copy_type;
use crate::fleet::Fleet;
use crate::fleet::Need;
use crate::fleet::Outlook;
use crate::fleet_server::RegionRoom;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::Locality;
use crate::residency::AllowedRegions;
use crate::routing::ServerKey;
use crate::site::EngineSpec;
use crate::site::ServiceSpec;
use crate::time::Time;

/// What an engine of another availability zone of the region must be better by, in milliseconds of the first
/// event: a stream's events would cross between zones, which is paid by volume. A prompt's reading is more.
const ZONE_CROSSING: f64 = 120.0;

/// What a second costs for which a server is cold yet, in milliseconds: it works slowly.
const COLD_SECOND: f64 = 100.0;

copy_type! {
    /// Why a server is left out of a choice that would do otherwise.
    pub enum Exclusion {
        /// It stands in a region in which the request may not be served.
        Region,
        /// Its availability zone is evacuated.
        Evacuated,
        /// It is cold, and this entry has sent what it may.
        Cold,
        /// It names a limit, and this entry has sent its share.
        Limited,
    }

    /// The reason for which a choice found no server.
    pub enum NoServer {
        /// No server of the service is known that takes work.
        None,
        /// There are some, but all of them are left out.
        Excluded(Exclusion),
    }
}

impl NoServer {
    /// The word for logs and counters.
    pub fn word(self) -> &'static str {
        match self {
            NoServer::None => "no_server",
            NoServer::Excluded(Exclusion::Region) => "region_not_allowed",
            NoServer::Excluded(Exclusion::Evacuated) => "zone_evacuated",
            NoServer::Excluded(Exclusion::Cold) => "cold_servers",
            NoServer::Excluded(Exclusion::Limited) => "limited_servers",
        }
    }
}

/// How many servers were left out of a choice, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeftOut {
    /// See [`Exclusion::Region`].
    pub region: u32,
    /// See [`Exclusion::Evacuated`].
    pub evacuated: u32,
    /// See [`Exclusion::Cold`].
    pub cold: u32,
    /// See [`Exclusion::Limited`].
    pub limited: u32,
}

impl LeftOut {
    fn count(&mut self, why: Exclusion) {
        match why {
            Exclusion::Region => self.region += 1,
            Exclusion::Evacuated => self.evacuated += 1,
            Exclusion::Cold => self.cold += 1,
            Exclusion::Limited => self.limited += 1,
        }
    }

    /// The reason that will pass first.
    fn reason(&self) -> NoServer {
        match self {
            LeftOut { limited: 1.., .. } => NoServer::Excluded(Exclusion::Limited),
            LeftOut { cold: 1.., .. } => NoServer::Excluded(Exclusion::Cold),
            LeftOut { evacuated: 1.., .. } => NoServer::Excluded(Exclusion::Evacuated),
            LeftOut { region: 1.., .. } => NoServer::Excluded(Exclusion::Region),
            LeftOut { .. } => NoServer::None,
        }
    }
}

impl fmt::Display for LeftOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LeftOut {
            region,
            evacuated,
            cold,
            limited,
        } = self;
        write!(
            f,
            "region_not_allowed {region}, zone_evacuated {evacuated}, cold {cold}, limited {limited}"
        )
    }
}

impl Fleet {
    /// The load that a request would find at an engine.
    pub fn outlook(
        &self,
        now: Time,
        key: ServerKey,
        need: &Need<'_>,
        spec: &ServiceSpec,
    ) -> Outlook {
        let (Some(server), Some(engine)) = (self.servers.get(key), &spec.engine) else {
            return Outlook::default();
        };
        Outlook {
            memory: server.fill(now, need.tokens, engine),
            before: server.reading(now),
            own: server.reading_time(now, need.prompt as f64),
            running: server.running(now),
            slots: engine.slots,
        }
    }

    /// Chooses a server.
    pub fn choose(
        &self,
        now: Time,
        need: &Need<'_>,
        spec: &ServiceSpec,
    ) -> Result<ServerKey, NoServer> {
        let rooms = spec
            .engine
            .as_ref()
            .map(|engine| self.region_rooms(now, need, engine));
        let mut best: Option<(f64, ServerKey)> = None;
        let mut left_out = LeftOut::default();
        for (key, server) in &self.servers {
            if !need.asks_for(key, server) {
                continue;
            }
            if let Some(why) = self.exclusion(now, server, need, spec) {
                left_out.count(why);
                continue;
            }
            let region = self.place.region_of(&server.record.zone);
            let room = rooms.as_ref().and_then(|rooms| rooms.get(region));
            let crowded = room.map_or(0.0, |room| room.penalty(need.tokens));
            let score = self.score(now, server, need, spec) + crowded;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key).ok_or_else(|| left_out.reason())
    }

    /// Whether the server stands in this entry's region.
    pub fn is_near(&self, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| self.locality(&server.record.zone) != Locality::OtherRegion)
    }

    /// Whether the server may get the request, were it the best one: a run that goes on there is not chosen for.
    pub fn may_get(&self, key: ServerKey, regions: &AllowedRegions) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        let zone = &server.record.zone;
        regions.permits(self.place.region_of(zone)) && !self.evacuated.contains(zone)
    }

    /// The servers of this entry's region that a choice left out, by reason.
    pub fn left_out_near(&self, now: Time, need: &Need<'_>, spec: &ServiceSpec) -> LeftOut {
        let mut left_out = LeftOut::default();
        for (key, server) in &self.servers {
            let near = self.locality(&server.record.zone) != Locality::OtherRegion;
            if !near || !need.asks_for(key, server) {
                continue;
            }
            if let Some(why) = self.exclusion(now, server, need, spec) {
                left_out.count(why);
            }
        }
        left_out
    }

    pub(crate) fn exclusion(
        &self,
        now: Time,
        server: &Server,
        need: &Need<'_>,
        spec: &ServiceSpec,
    ) -> Option<Exclusion> {
        let zone = &server.record.zone;
        if !need.regions.permits(self.place.region_of(zone)) {
            return Some(Exclusion::Region);
        }
        if self.evacuated.contains(zone) {
            return Some(Exclusion::Evacuated);
        }
        if self.is_beyond_share(now, server, &spec.cold) {
            return Some(Exclusion::Cold);
        }
        self.is_at_limit(now, server).then_some(Exclusion::Limited)
    }

    /// Whether a cold server has got all that this entry may send there.
    fn is_beyond_share(&self, now: Time, server: &Server, start: &ColdStart) -> bool {
        if !start.is_limited() || server.cold.remaining(now, start.period).is_zero() {
            return false;
        }
        let share = start.share(&self.entries, server.record.address);
        server.cold.recent_sends(now) >= share
    }

    /// Whether the reports of the near engines that a request may go to, or of all where none is near, come too
    /// seldom to choose by, or none has come yet: all entries would then take the same engine.
    pub fn reports_too_sparse(&self, now: Time, service: &Name, regions: &AllowedRegions) -> bool {
        let servers = self.servers.values();
        let able = servers.filter(|s| {
            let zone = &s.record.zone;
            let open = s.usable() && !self.evacuated.contains(zone);
            open && s.record.service == *service && regions.permits(self.place.region_of(zone))
        });
        let (near, far): (Vec<&Server>, Vec<&Server>) =
            able.partition(|s| self.locality(&s.record.zone) != Locality::OtherRegion);
        let chosen = if near.is_empty() { far } else { near };
        let mut reports = chosen.iter().filter_map(|s| s.fresh_report(now)).peekable();
        let unknown = reports.peek().is_none();
        unknown || reports.any(|report| placement::reports_too_sparse(report.every))
    }

    /// The servers that the request may go to.
    pub fn options(&self, now: Time, need: &Need<'_>, spec: &ServiceSpec) -> Vec<Candidate> {
        let servers = self.servers.iter();
        let able = servers.filter(|(key, server)| {
            need.asks_for(*key, server) && self.exclusion(now, server, need, spec).is_none()
        });
        let options = able.map(|(key, server)| Candidate {
            key,
            locality: self.locality(&server.record.zone),
        });
        options.collect()
    }

    fn score(&self, now: Time, server: &Server, need: &Need<'_>, spec: &ServiceSpec) -> f64 {
        let crosses =
            spec.engine.is_some() && self.locality(&server.record.zone) == Locality::SameRegion;
        let crossing = if crosses { ZONE_CROSSING } else { 0.0 };
        let trip = self.round_trip(now, &server.record.zone);
        let way = trip.as_secs_f64() * 1_000.0 + crossing;
        let rest = server.rest.since(now).as_secs_f64() * 1_000.0;
        let cold = server.cold.remaining(now, spec.cold.period).as_secs_f64() * COLD_SECOND;
        let load = match &spec.engine {
            Some(engine) => server.engine_cost(now, need, engine),
            None => server.queue_cost(self.service_time(need.service, server)),
        };
        way + 10.0 * rest + cold + load
    }

    /// The time that a plain server works on a call: its own mean once it has one, else its service's.
    fn service_time(&self, service: &Name, server: &Server) -> Duration {
        let own = server.work.as_ref();
        let work = own.or_else(|| self.service_times.get(service));
        work.copied().unwrap_or_default().mean()
    }

    /// The memory of a service's engines in each region.
    fn region_rooms(
        &self,
        now: Time,
        need: &Need<'_>,
        engine: &EngineSpec,
    ) -> HashMap<Name, RegionRoom> {
        let mut rooms: HashMap<Name, RegionRoom> = HashMap::new();
        for server in self.servers.values() {
            let evacuated = self.evacuated.contains(&server.record.zone);
            if &server.record.service != need.service || !server.listed || evacuated {
                continue;
            }
            let region = self.place.region_of(&server.record.zone);
            let room = rooms.entry(region.clone()).or_default();
            let used = server.used(now);
            if server.leaving.is_some() {
                // What runs there needs room at the others now.
                room.used += used;
            } else {
                room.capacity += engine.capacity;
                room.used += used;
                room.largest = room.largest.max(engine.capacity);
            }
        }
        rooms
    }

    /// The round trip to an availability zone.
    pub fn round_trip(&self, now: Time, zone: &Name) -> Duration {
        self.trips.estimate(now, zone, self.locality(zone))
    }

    pub(crate) fn locality(&self, zone: &Name) -> Locality {
        let place = &self.place;
        match place.region_of(zone) == place.region_of(&place.zone) {
            true if *zone == place.zone => Locality::SameZone,
            true => Locality::SameRegion,
            false => Locality::OtherRegion,
        }
    }
}
