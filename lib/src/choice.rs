//! Selects a server for one request.

use std::time::Duration;

use slotmap::SlotMap;

use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::prefix_index::PrefixIndex;
use crate::reachability::ReachTracker;
use crate::routing::Candidate;
use crate::routing::Eligibility;
use crate::routing::RouteRequest;
use crate::routing::RouterSettings;
use crate::routing::ServerKey;
use crate::service::Server;
use crate::service::ServiceState;
use crate::subset::Pool;
use crate::time::Time;
use crate::zone_cost::ZoneCost;

/// The retry-after hint when all servers are draining or unreachable: replacements and probes take
/// about this long.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Random draws for each server to sample. A draw may hit a server that was drawn before or cannot
/// be used; if no draw finds a server, the subset is scanned in order.
const DRAWS_PER_SAMPLE: usize = 3;

/// Number of servers of one region that may be unreachable for a request before it leaves the
/// region. The third and last attempt then goes to another region, even if this one as a whole does
/// not count as unreachable yet.
const MAX_LOST_ATTEMPTS: usize = 2;

/// The state that the selection for one request depends on.
#[derive(Clone, Copy)]
pub(crate) struct ServerSelector<'a> {
    pub(crate) now: Time,
    pub(crate) request: &'a RouteRequest<'a>,
    pub(crate) settings: &'a RouterSettings,
    pub(crate) servers: &'a SlotMap<ServerKey, Server>,
    pub(crate) service: &'a ServiceState,
    pub(crate) pool: &'a Pool,
    pub(crate) cost: &'a ZoneCost,
    pub(crate) reach: &'a ReachTracker,
    pub(crate) prefixes: &'a PrefixIndex,
}

/// The server with the lowest score so far, and all servers compared.
#[derive(Debug, Default)]
struct BestServer {
    server: Option<ServerKey>,
    score: u64,
    compared: Vec<ServerKey>,
}

/// The components of a score, in microseconds.
struct ScoreParts {
    wait: u64,
    contention: u64,
    network_cost: u64,
    // Time saved by a cached prefix at this server.
    prefix_saving: u64,
    // Time that a cached prefix would save.
    max_saving: u64,
}

impl ServerSelector<'_> {
    /// Returns the first usable server in the rendezvous order of a keyed call.
    pub(crate) fn first_usable(&self, order: &[ServerKey]) -> Option<ServerKey> {
        order.iter().copied().find(|key| self.is_usable(*key))
    }

    /// Selects the best of a few sampled local servers, the servers that hold the prefix, and one
    /// server of each other region.
    pub(crate) fn select(&self, rng: &mut fastrand::Rng) -> Result<ServerKey, NotRun> {
        let mut best = BestServer::default();
        self.sample_local(rng, &mut best);
        self.add_prefix_holders(&mut best);
        self.add_remote(rng, &mut best);
        best.server
            .or_else(|| self.any_usable(rng))
            .ok_or_else(|| self.no_server_refusal())
    }

    /// Returns every member, best first.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let members = self.pool.members();
        let mut candidates: Vec<Candidate> = members.map(|key| self.candidate(key)).collect();
        candidates.sort_by_key(|c| (c.eligibility != Eligibility::Usable, c.score));
        candidates
    }

    fn sample_local(&self, rng: &mut fastrand::Rng, best: &mut BestServer) {
        let local = &self.pool.local;
        if local
            .first()
            .is_none_or(|key| self.is_region_unreachable(*key))
        {
            return;
        }
        let mut found = 0;
        for _ in 0..self.settings.sample_size * DRAWS_PER_SAMPLE {
            let key = local[rng.usize(..local.len())];
            if best.was_compared(key) || !self.accepts(key, rng) {
                continue;
            }
            best.consider(key, self.score(key));
            found += 1;
            if found == self.settings.sample_size {
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
            best.consider(*key, self.score(*key));
        }
    }

    fn add_prefix_holders(&self, best: &mut BestServer) {
        for key in self.prefixes.holders(self.request.prefix) {
            let is_candidate = self.pool.contains(*key) && !best.was_compared(*key);
            if is_candidate && self.is_path_open(*key) && self.is_usable(*key) {
                best.consider(*key, self.score(*key));
            }
        }
    }

    fn add_remote(&self, rng: &mut fastrand::Rng, best: &mut BestServer) {
        for region in &self.pool.remote {
            let Some(key) = rng.choice(region.servers.iter().copied()) else {
                continue;
            };
            let is_candidate = !best.was_compared(key) && self.is_path_open(key);
            if is_candidate && self.accepts(key, rng) {
                best.consider(key, self.score(key));
            }
        }
    }

    /// Picks any usable server of the subsets regardless of link budgets, reachable regions first.
    fn any_usable(&self, rng: &mut fastrand::Rng) -> Option<ServerKey> {
        let remote = self.pool.remote.iter().map(|r| &r.servers);
        let lists: Vec<&Vec<ServerKey>> = std::iter::once(&self.pool.local).chain(remote).collect();
        for unreachable in [false, true] {
            for list in &lists {
                let servers = list.iter().copied();
                let candidates =
                    servers.filter(|key| self.is_region_unreachable(*key) == unreachable);
                let usable = candidates.filter(|key| self.is_usable(*key));
                let key = rng.choice(usable.collect::<Vec<_>>());
                if key.is_some() {
                    return key;
                }
            }
        }
        None
    }

    /// Whether traffic to the server is allowed: its region is reachable, and it is the local
    /// region or its link has byte budget left.
    fn is_path_open(&self, key: ServerKey) -> bool {
        let view = &self.servers[key].view;
        if self.is_region_unreachable(key) {
            return false;
        }
        self.cost.is_local(view) || self.cost.has_budget(self.now, &view.region)
    }

    /// Whether the server's region was recently unreachable, for other requests or for this one,
    /// which failed to reach two of its servers and makes its last attempt in another region.
    fn is_region_unreachable(&self, key: ServerKey) -> bool {
        let region = &self.servers[key].view.region;
        if self.reach.avoids_region(self.now, region) {
            return true;
        }
        let lost = self.request.tried.iter().filter(|key| {
            let server = self.servers.get(**key);
            server.is_some_and(|s| s.view.region == *region) && self.reach.is_lost(**key)
        });
        lost.count() >= MAX_LOST_ATTEMPTS
    }

    /// Whether the server is usable and, during its slow start, is drawn for this request.
    fn accepts(&self, key: ServerKey, rng: &mut fastrand::Rng) -> bool {
        if !self.is_usable(key) {
            return false;
        }
        let share = self.service.ejector.load_share(self.now, key);
        share >= 1.0 || rng.f64() < share
    }

    fn is_usable(&self, key: ServerKey) -> bool {
        self.eligibility(key) == Eligibility::Usable
    }

    fn eligibility(&self, key: ServerKey) -> Eligibility {
        let server = &self.servers[key];
        if !server.is_ready() {
            return Eligibility::Draining;
        }
        if self.request.tried.contains(&key) {
            return Eligibility::Tried;
        }
        if self.service.ejector.is_ejected(key) {
            return Eligibility::Ejected;
        }
        if server.load.reports_unreachable(self.now) || self.reach.avoids_server(self.now, key) {
            return Eligibility::Unreachable;
        }
        Eligibility::Usable
    }

    fn score(&self, key: ServerKey) -> u64 {
        self.parts(key).score()
    }

    fn parts(&self, key: ServerKey) -> ScoreParts {
        let server = &self.servers[key];
        let request = self.request;
        let tokens = request.expected_tokens;
        let estimate = server.load.estimate(self.now, tokens, &self.service.mean);
        let max_saving = micros(self.settings.prefix_saving);
        let has_prefix = request.prefix != 0 && self.prefixes.holds(self.now, key, request.prefix);
        let server_delay = estimate.wait + estimate.contention;
        let network_cost = self.cost.network_cost(&server.view, server_delay);
        ScoreParts {
            wait: estimate.wait as u64,
            contention: estimate.contention as u64,
            network_cost: network_cost as u64,
            prefix_saving: if has_prefix { max_saving } else { 0 },
            max_saving,
        }
    }

    fn candidate(&self, key: ServerKey) -> Candidate {
        let view = &self.servers[key].view;
        let parts = self.parts(key);
        Candidate {
            name: view.name.clone(),
            region: view.region.clone(),
            zone: view.zone.clone(),
            eligibility: self.full_eligibility(key),
            wait: parts.wait,
            contention: parts.contention,
            network_cost: parts.network_cost,
            prefix_saving: parts.prefix_saving,
            score: parts.score(),
        }
    }

    /// Like `eligibility`, but also considers the subset, the region and the link budget.
    fn full_eligibility(&self, key: ServerKey) -> Eligibility {
        match self.eligibility(key) {
            Eligibility::Usable if !self.pool.contains(key) => Eligibility::OutsideSubset,
            Eligibility::Usable if self.is_region_unreachable(key) => Eligibility::Unreachable,
            Eligibility::Usable if !self.is_path_open(key) => Eligibility::OverBudget,
            eligibility => eligibility,
        }
    }

    /// Returns the refusal for the case that no server is usable. O(n), but not on the common path.
    fn no_server_refusal(&self) -> NotRun {
        let mut members = self.pool.members().peekable();
        let is_empty = members.peek().is_none();
        let all_draining = !is_empty && !members.any(|key| self.servers[key].is_ready());
        let reason = if all_draining {
            RefusalReason::Draining
        } else {
            RefusalReason::NoBackend
        };
        NotRun::before_dispatch(reason, Some(RECOVERY_TIME))
    }
}

impl BestServer {
    fn consider(&mut self, server: ServerKey, score: u64) {
        self.compared.push(server);
        if self.server.is_none() || score < self.score {
            self.server = Some(server);
            self.score = score;
        }
    }

    fn was_compared(&self, server: ServerKey) -> bool {
        self.compared.contains(&server)
    }
}

impl ScoreParts {
    /// Returns the total cost. A saving that is not realized counts as cost, so that the score
    /// cannot be negative.
    fn score(&self) -> u64 {
        let cost = self.wait.saturating_add(self.contention);
        cost.saturating_add(self.network_cost) + self.max_saving.saturating_sub(self.prefix_saving)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
