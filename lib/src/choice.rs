//! One choice of a server among the subset for a request.

use std::time::Duration;

use slotmap::SlotMap;

use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::prefix_index::PrefixIndex;
use crate::reach::Reach;
use crate::routing::Candidate;
use crate::routing::RouteRequest;
use crate::routing::RouterSettings;
use crate::routing::ServerKey;
use crate::routing::Standing;
use crate::service::Server;
use crate::service::ServiceState;
use crate::subset::Pool;
use crate::time::Time;
use crate::zone_cost::ZoneCost;

/// When to come back where all servers are leaving or unreachable: replacements and probes take about
/// this long.
const RECOVERY: Duration = Duration::from_secs(2);

/// Times that a sampled server may be passed over before the subset is read in order.
const SAMPLES: usize = 3;

/// Servers of one region that a request is lost at before it leaves the region. The third and last try
/// then goes elsewhere, also before the region as a whole counts as lost.
const LOST_TRIES: usize = 2;

/// What a choice looks at.
#[derive(Clone, Copy)]
pub(crate) struct Choice<'a> {
    pub(crate) now: Time,
    pub(crate) ask: &'a RouteRequest<'a>,
    pub(crate) settings: &'a RouterSettings,
    pub(crate) servers: &'a SlotMap<ServerKey, Server>,
    pub(crate) service: &'a ServiceState,
    pub(crate) pool: &'a Pool,
    pub(crate) cost: &'a ZoneCost,
    pub(crate) reach: &'a Reach,
    pub(crate) prefixes: &'a PrefixIndex,
}

/// The least score so far, and the servers compared.
#[derive(Debug, Default)]
struct Best {
    server: Option<ServerKey>,
    score: u64,
    compared: Vec<ServerKey>,
}

/// The parts of a score, in microseconds.
struct Parts {
    wait: u64,
    crowding: u64,
    distance: u64,
    saved: u64,
    worth: u64,
}

impl Choice<'_> {
    /// The first usable server of a keyed call's order.
    pub(crate) fn first(&self, order: &[ServerKey]) -> Option<ServerKey> {
        order.iter().copied().find(|key| self.is_usable(*key))
    }

    /// The best of some sampled servers, those that hold the prefix, and one of each other region.
    pub(crate) fn best(&self, rng: &mut fastrand::Rng) -> Result<ServerKey, NotRun> {
        let mut best = Best::default();
        self.sample_local(rng, &mut best);
        self.add_holders(&mut best);
        self.add_remote(rng, &mut best);
        best.server
            .or_else(|| self.any(rng))
            .ok_or_else(|| self.no_server())
    }

    /// Every member, best first.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let members = self.pool.members();
        let mut candidates: Vec<Candidate> = members.map(|key| self.candidate(key)).collect();
        candidates.sort_by_key(|c| (c.standing != Standing::Usable, c.score));
        candidates
    }

    fn sample_local(&self, rng: &mut fastrand::Rng, best: &mut Best) {
        let local = &self.pool.local;
        if local.first().is_none_or(|key| self.region_lost(*key)) {
            return;
        }
        let mut found = 0;
        for _ in 0..self.settings.choices * SAMPLES {
            let key = local[rng.usize(..local.len())];
            if best.seen(key) || !self.takes(key, rng) {
                continue;
            }
            best.offer(key, self.score(key));
            found += 1;
            if found == self.settings.choices {
                return;
            }
        }
        if found > 0 {
            return;
        }
        let start = rng.usize(..local.len());
        let (before, after) = local.split_at(start);
        let mut scan = after.iter().chain(before);
        if let Some(key) = scan.find(|key| self.is_usable(**key)) {
            best.offer(*key, self.score(*key));
        }
    }

    fn add_holders(&self, best: &mut Best) {
        for key in self.prefixes.holders(self.ask.prefix) {
            let may = self.pool.holds(*key) && !best.seen(*key);
            if may && self.crosses(*key) && self.is_usable(*key) {
                best.offer(*key, self.score(*key));
            }
        }
    }

    fn add_remote(&self, rng: &mut fastrand::Rng, best: &mut Best) {
        for region in &self.pool.remote {
            let Some(key) = rng.choice(region.servers.iter().copied()) else {
                continue;
            };
            let may = !best.seen(key) && self.crosses(key);
            if may && self.takes(key, rng) {
                best.offer(key, self.score(key));
            }
        }
    }

    /// Any usable server of the subsets, budgets or not; those of regions that can be reached first.
    fn any(&self, rng: &mut fastrand::Rng) -> Option<ServerKey> {
        let remote = self.pool.remote.iter().map(|r| &r.servers);
        let lists: Vec<&Vec<ServerKey>> = std::iter::once(&self.pool.local).chain(remote).collect();
        for lost in [false, true] {
            for list in &lists {
                let servers = list.iter().copied();
                let reached = servers.filter(|key| self.region_lost(*key) == lost);
                let usable = reached.filter(|key| self.is_usable(*key));
                let key = rng.choice(usable.collect::<Vec<_>>());
                if key.is_some() {
                    return key;
                }
            }
        }
        None
    }

    /// Whether the way there is free: the own region, or a link with bytes left to a region that can
    /// be reached.
    fn crosses(&self, key: ServerKey) -> bool {
        let view = &self.servers[key].view;
        if self.region_lost(key) {
            return false;
        }
        self.cost.is_local(view) || self.cost.has_budget(self.now, &view.region)
    }

    /// Whether the region could not be reached lately, by others or by this request, which has tried
    /// two of its servers in vain: its last try goes elsewhere.
    fn region_lost(&self, key: ServerKey) -> bool {
        let region = &self.servers[key].view.region;
        if self.reach.avoids_region(self.now, region) {
            return true;
        }
        let tried = self.ask.tried.iter().filter(|key| {
            let server = self.servers.get(**key);
            server.is_some_and(|s| s.view.region == *region) && self.reach.is_lost(**key)
        });
        tried.count() >= LOST_TRIES
    }

    /// Whether the server is usable, and, while it starts slowly, takes this one.
    fn takes(&self, key: ServerKey, rng: &mut fastrand::Rng) -> bool {
        if !self.is_usable(key) {
            return false;
        }
        let part = self.service.ejector.part(self.now, key);
        part >= 1.0 || rng.f64() < part
    }

    fn is_usable(&self, key: ServerKey) -> bool {
        self.standing(key) == Standing::Usable
    }

    fn standing(&self, key: ServerKey) -> Standing {
        let server = &self.servers[key];
        if !server.is_ready() {
            return Standing::Draining;
        }
        if self.ask.tried.contains(&key) {
            return Standing::Tried;
        }
        if self.service.ejector.is_ejected(key) {
            return Standing::Ejected;
        }
        if server.load.says_unreachable(self.now) || self.reach.avoids(self.now, key) {
            return Standing::Unreachable;
        }
        Standing::Usable
    }

    fn score(&self, key: ServerKey) -> u64 {
        self.parts(key).score()
    }

    fn parts(&self, key: ServerKey) -> Parts {
        let server = &self.servers[key];
        let ask = self.ask;
        let tokens = ask.expected_tokens;
        let estimate = server.load.estimate(self.now, tokens, &self.service.mean);
        let worth = micros(self.settings.prefix_worth);
        let held = ask.prefix != 0 && self.prefixes.holds(self.now, key, ask.prefix);
        let here = estimate.wait + estimate.crowding;
        let distance = self.cost.distance(&server.view, here);
        Parts {
            wait: estimate.wait as u64,
            crowding: estimate.crowding as u64,
            distance: distance as u64,
            saved: if held { worth } else { 0 },
            worth,
        }
    }

    fn candidate(&self, key: ServerKey) -> Candidate {
        let view = &self.servers[key].view;
        let parts = self.parts(key);
        Candidate {
            name: view.name.clone(),
            region: view.region.clone(),
            zone: view.zone.clone(),
            standing: self.whole_standing(key),
            wait: parts.wait,
            crowding: parts.crowding,
            distance: parts.distance,
            saved: parts.saved,
            score: parts.score(),
        }
    }

    /// The standing with subset, region and link taken in.
    fn whole_standing(&self, key: ServerKey) -> Standing {
        match self.standing(key) {
            Standing::Usable if !self.pool.holds(key) => Standing::OutsideSubset,
            Standing::Usable if self.region_lost(key) => Standing::Unreachable,
            Standing::Usable if !self.crosses(key) => Standing::OverBudget,
            standing => standing,
        }
    }

    /// The refusal where no server can be given the request. Takes O(n); not on the usual path.
    fn no_server(&self) -> NotRun {
        let mut members = self.pool.members().peekable();
        let empty = members.peek().is_none();
        let leaving = !empty && !members.any(|key| self.servers[key].is_ready());
        let reason = if leaving {
            RefusalReason::Draining
        } else {
            RefusalReason::NoBackend
        };
        NotRun::before_dispatch(reason, Some(RECOVERY))
    }
}

impl Best {
    fn offer(&mut self, server: ServerKey, score: u64) {
        self.compared.push(server);
        if self.server.is_none() || score < self.score {
            self.server = Some(server);
            self.score = score;
        }
    }

    fn seen(&self, server: ServerKey) -> bool {
        self.compared.contains(&server)
    }
}

impl Parts {
    /// Never below zero: what is not saved counts as cost.
    fn score(&self) -> u64 {
        let cost = self.wait.saturating_add(self.crowding);
        cost.saturating_add(self.distance) + self.worth.saturating_sub(self.saved)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
