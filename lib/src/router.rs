//! Where an entry sends a request: the one module of routing that the daemon talks to.
//!
//! Load pattern: hundreds of entries, each with a late and partial view, before servers whose requests
//! differ a thousandfold in length. Without it the entries meet at the same servers, cross regions for
//! nothing, go on sending to what is slow or lost, and multiply every failure by their retries.
//!
//! A choice samples a few servers of a bounded subset, adds those that hold the prompt's prefix and
//! one server of each other region, and takes the least sum of wait, crowding and distance, less the
//! time that a cached prefix saves. Its cost does not grow with the number of servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use slotmap::SlotMap;

use crate::backend::CacheEvent;
use crate::ids::Name;
use crate::load::LoadSummary;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::prefix_index::PrefixIndex;
use crate::reach::Reach;
use crate::routing::Ask;
use crate::routing::Candidate;
use crate::routing::End;
use crate::routing::EndResult;
use crate::routing::RouterSettings;
use crate::routing::ServerKey;
use crate::routing::ServerState;
use crate::routing::ServerView;
use crate::routing::Standing;
use crate::service::Server;
use crate::service::ServiceState;
use crate::subset::Pool;
use crate::subset::SubsetRule;
use crate::subset::hash_name;
use crate::time::Time;
use crate::zone_cost::ZoneCost;

/// When to come back where all servers are leaving or unreachable: replacements and probes take about
/// this long.
const RECOVERY: Duration = Duration::from_secs(2);

/// Times that a sampled server may be passed over before the subset is read in order.
const SAMPLES: usize = 3;

/// The fewest tokens whose time tells a server's pace: with fewer, the wait before the first one is
/// most of it.
const PACE_TOKENS: u32 = 8;

/// Chooses servers for one entry.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    rule: SubsetRule,
    servers: SlotMap<ServerKey, Server>,
    // Listed servers only.
    names: HashMap<Name, ServerKey>,
    services: HashMap<Name, ServiceState>,
    cost: ZoneCost,
    reach: Reach,
    prefixes: PrefixIndex,
    rng: fastrand::Rng,
}

impl Router {
    /// A router that knows no server yet.
    pub fn new(settings: RouterSettings) -> Self {
        let rule = SubsetRule {
            entry: hash_name(&settings.entry),
            region: settings.region.clone(),
            local: settings.subset,
            remote: settings.remote_subset,
        };
        let cost = ZoneCost::new(
            settings.cost.clone(),
            settings.region.clone(),
            settings.zone.clone(),
        );
        Router {
            rule,
            servers: SlotMap::with_key(),
            names: HashMap::new(),
            services: HashMap::new(),
            cost,
            reach: Reach::default(),
            prefixes: PrefixIndex::new(),
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
        }
    }

    /// Takes in the whole membership. Servers that are not in it are gone.
    pub fn set_servers(&mut self, now: Time, servers: &[ServerView]) {
        let mut changed = HashSet::new();
        let running: HashSet<Name> = self.services.keys().cloned().collect();
        for view in servers {
            let slowly = running.contains(&view.service);
            if self.set_server(now, view, slowly) {
                changed.insert(view.service.clone());
            }
        }
        let listed: HashSet<&Name> = servers.iter().map(|view| &view.name).collect();
        let left = self.names.keys().filter(|name| !listed.contains(name));
        let left: Vec<Name> = left.cloned().collect();
        for name in left {
            if let Some(service) = self.unlist(&name) {
                changed.insert(service);
            }
        }
        for service in changed {
            self.rebuild(now, &service);
        }
    }

    /// Takes in a change of one server's state. An unknown name is passed over.
    pub fn set_state(&mut self, now: Time, name: &Name, state: ServerState) {
        let Some(key) = self.names.get(name).copied() else {
            return;
        };
        let view = &mut self.servers[key].view;
        if view.state == state {
            return;
        }
        view.state = state;
        let service = view.service.clone();
        if state == ServerState::Gone {
            self.prefixes.left(key);
        }
        self.rebuild(now, &service);
    }

    /// Takes in a report of a server's load.
    pub fn report(&mut self, now: Time, server: ServerKey, load: LoadSummary) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let was_ready = known.is_ready();
        known.flow.report(now, load.clone());
        let changed = known.is_ready() != was_ready;
        let service = known.view.service.clone();
        if let Some(state) = self.services.get_mut(&service) {
            state.mean.report(&load);
        }
        if changed {
            self.rebuild(now, &service);
        }
    }

    /// Takes in an event of a server's prefix cache.
    pub fn cache_event(&mut self, now: Time, server: ServerKey, event: &CacheEvent) {
        if self.servers.contains_key(server) {
            self.prefixes.event(now, server, event);
        }
    }

    /// Chooses a server for a new try of a request.
    ///
    /// # Errors
    ///
    /// [`NotRun`] with the reason: the service or model is not in place, or no server of it that has
    /// not been tried can be given work.
    pub fn choose(
        &mut self,
        now: Time,
        ask: &Ask<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<ServerKey, NotRun> {
        self.sweep(now, ask.service);
        if let Some(server) = self.keyed(now, ask) {
            return Ok(server);
        }
        let service = self.services.get(ask.service);
        let service = service.ok_or_else(|| refuse(RefusalReason::ServiceUnknown, None))?;
        let pool = service.pools.get(ask.model);
        let pool = pool.ok_or_else(|| refuse(RefusalReason::NotPlaced, None))?;
        let mut best = Best::default();
        self.sample_local(now, ask, service, pool, rng, &mut best);
        self.add_holders(now, ask, service, pool, &mut best);
        self.add_remote(now, ask, service, pool, rng, &mut best);
        best.server
            .or_else(|| self.any(now, ask, service, pool, rng))
            .ok_or_else(|| self.no_server(pool))
    }

    /// The request was handed to the server.
    pub fn started(&mut self, now: Time, server: ServerKey, ask: &Ask<'_>) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.flow.started(now);
        let view = &known.view;
        self.reach.started(now, server, &view.region);
        if !self.cost.is_local(view) {
            let region = view.region.clone();
            self.cost.started(now, &region, ask.expected_tokens);
        }
        self.prefixes.sent(now, server, ask.prefix);
        if ask.tried.is_empty()
            && let Some(service) = self.services.get_mut(ask.service)
        {
            service.retries.first_try(now);
        }
    }

    /// The first token, or the head of a plain answer, came `waited` after the hand-over.
    pub fn first_token(&mut self, now: Time, server: ServerKey, waited: Duration) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let waited = waited.saturating_sub(self.cost.trip(&known.view));
        known.flow.first_token(now, waited);
        self.reach.answered(server, &known.view.region);
    }

    /// The request is over at the server.
    pub fn finished(&mut self, now: Time, server: ServerKey, end: &End) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.flow.finished(now, end.duration, end.began);
        let region = known.view.region.clone();
        match end.result {
            EndResult::Lost => self.reach.lost(now, server, &region),
            EndResult::Cancelled => {}
            EndResult::Ok | EndResult::Refused | EndResult::Failed => {
                self.reach.answered(server, &region);
            }
        }
        if !self.cost.is_local(&known.view) {
            self.cost.finished(now, &region, end.bytes);
        }
        if let Some(service) = self.services.get_mut(&known.view.service) {
            judge(service, now, server, end);
        }
        if !known.listed && known.flow.in_flight() == 0 {
            self.servers.remove(server);
        }
    }

    /// The pause before a retry for this service, or `None` if its budget allows none.
    pub fn may_retry(
        &mut self,
        now: Time,
        service: &Name,
        reason: RetryReason,
    ) -> Option<Duration> {
        let service = self.services.get_mut(service)?;
        service.retries.take(now, reason, &mut self.rng)
    }

    /// The name of a server.
    pub fn name(&self, server: ServerKey) -> Option<&Name> {
        self.servers.get(server).map(|s| &s.view.name)
    }

    /// The key of a listed server.
    pub fn key(&self, name: &Name) -> Option<ServerKey> {
        self.names.get(name).copied()
    }

    /// Requests that this entry has in flight at a server.
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers.get(server).map_or(0, |s| s.flow.in_flight())
    }

    /// Servers of a service that are ejected.
    pub fn ejected(&self, service: &Name) -> usize {
        let service = self.services.get(service);
        service.map_or(0, |s| s.ejector.ejected())
    }

    /// Every member for the request's model, best first. Takes O(n log n); for operators.
    pub fn explain(&self, now: Time, ask: &Ask<'_>) -> Vec<Candidate> {
        let service = self.services.get(ask.service);
        let Some((service, pool)) = service.and_then(|s| Some((s, s.pools.get(ask.model)?))) else {
            return Vec::new();
        };
        let members = pool.members();
        let mut candidates: Vec<Candidate> = members
            .map(|key| self.candidate(now, ask, service, pool, key))
            .collect();
        candidates.sort_by_key(|c| (c.standing != Standing::Usable, c.score));
        candidates
    }

    fn set_server(&mut self, now: Time, view: &ServerView, slowly: bool) -> bool {
        if let Some(key) = self.names.get(&view.name) {
            let known = &mut self.servers[*key].view;
            if known == view {
                return false;
            }
            if known.service == view.service {
                *known = view.clone();
                return true;
            }
            // The name moved to another service: to this one it is a new server.
            if let Some(service) = self.unlist(&view.name) {
                self.rebuild(now, &service);
            }
        }
        let key = self.servers.insert(Server::new(view.clone()));
        self.names.insert(view.name.clone(), key);
        let service = self.services.entry(view.service.clone());
        let service = service.or_insert_with(|| ServiceState::new(&self.settings, now));
        service.members.push(key);
        service.ejector.joined(now, key, slowly);
        true
    }

    /// Takes a server out of the view; the service that it was of.
    fn unlist(&mut self, name: &Name) -> Option<Name> {
        let key = self.names.remove(name)?;
        self.prefixes.left(key);
        self.reach.left(key);
        let known = &mut self.servers[key];
        known.listed = false;
        known.view.state = ServerState::Gone;
        let name = known.view.service.clone();
        if known.flow.in_flight() == 0 {
            self.servers.remove(key);
        }
        if let Some(service) = self.services.get_mut(&name) {
            service.members.retain(|k| *k != key);
            service.ejector.left(key);
        }
        Some(name)
    }

    fn rebuild(&mut self, now: Time, service: &Name) {
        if let Some(state) = self.services.get_mut(service) {
            state.rebuild(now, &self.rule, &self.servers);
        }
    }

    fn sweep(&mut self, now: Time, service: &Name) {
        if let Some(state) = self.services.get_mut(service) {
            state.ejector.sweep(now, &state.ready);
        }
    }

    fn keyed(&mut self, now: Time, ask: &Ask<'_>) -> Option<ServerKey> {
        let affinity = ask.affinity?;
        let service = self.services.get_mut(ask.service)?;
        let pool = service.pools.get_mut(ask.model)?;
        let order = pool.order(affinity).to_vec();
        let service = self.services.get(ask.service)?;
        let usable = |key: &ServerKey| self.standing(now, ask, service, *key) == Standing::Usable;
        order.into_iter().find(usable)
    }

    fn sample_local(
        &self,
        now: Time,
        ask: &Ask<'_>,
        service: &ServiceState,
        pool: &Pool,
        rng: &mut fastrand::Rng,
        best: &mut Best,
    ) {
        let local = &pool.local;
        if local.is_empty() || self.reach.avoids_region(now, &self.settings.region) {
            return;
        }
        let mut found = 0;
        for _ in 0..self.settings.choices * SAMPLES {
            let key = local[rng.usize(..local.len())];
            if best.seen(key) || !self.takes(now, ask, service, key, rng) {
                continue;
            }
            best.offer(key, self.score(now, ask, service, key));
            found += 1;
            if found == self.settings.choices {
                return;
            }
        }
        if found > 0 {
            return;
        }
        let start = rng.usize(..local.len());
        let (after, before) = local.split_at(start);
        let mut scan = before.iter().chain(after);
        let usable = |key: &&ServerKey| self.standing(now, ask, service, **key) == Standing::Usable;
        if let Some(key) = scan.find(usable) {
            best.offer(*key, self.score(now, ask, service, *key));
        }
    }

    fn add_holders(
        &self,
        now: Time,
        ask: &Ask<'_>,
        service: &ServiceState,
        pool: &Pool,
        best: &mut Best,
    ) {
        for key in self.prefixes.holders(ask.prefix) {
            let may = pool.holds(*key) && !best.seen(*key);
            if may && self.crosses(now, *key) && self.is_usable(now, ask, service, *key) {
                best.offer(*key, self.score(now, ask, service, *key));
            }
        }
    }

    fn add_remote(
        &self,
        now: Time,
        ask: &Ask<'_>,
        service: &ServiceState,
        pool: &Pool,
        rng: &mut fastrand::Rng,
        best: &mut Best,
    ) {
        for region in &pool.remote {
            let key = region.servers[rng.usize(..region.servers.len())];
            let may = !best.seen(key) && self.crosses(now, key);
            if may && self.takes(now, ask, service, key, rng) {
                best.offer(key, self.score(now, ask, service, key));
            }
        }
    }

    /// Any usable server of the subsets, the own region's first, budgets or not.
    fn any(
        &self,
        now: Time,
        ask: &Ask<'_>,
        service: &ServiceState,
        pool: &Pool,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerKey> {
        let remote = pool.remote.iter().map(|r| &r.servers);
        let lists: Vec<&Vec<ServerKey>> = std::iter::once(&pool.local).chain(remote).collect();
        for lost in [false, true] {
            for list in &lists {
                let servers = list.iter().copied();
                let reached = servers.filter(|key| self.region_lost(now, *key) == lost);
                let usable = reached.filter(|key| self.is_usable(now, ask, service, *key));
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
    fn crosses(&self, now: Time, key: ServerKey) -> bool {
        let view = &self.servers[key].view;
        let local = self.cost.is_local(view);
        !self.region_lost(now, key) && (local || self.cost.has_budget(now, &view.region))
    }

    fn region_lost(&self, now: Time, key: ServerKey) -> bool {
        self.reach
            .avoids_region(now, &self.servers[key].view.region)
    }

    /// Whether the server is usable, and, while it starts slowly, takes this one.
    fn takes(
        &self,
        now: Time,
        ask: &Ask<'_>,
        service: &ServiceState,
        key: ServerKey,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if !self.is_usable(now, ask, service, key) {
            return false;
        }
        let part = service.ejector.part(now, key);
        part >= 1.0 || rng.f64() < part
    }

    fn is_usable(&self, now: Time, ask: &Ask<'_>, service: &ServiceState, key: ServerKey) -> bool {
        self.standing(now, ask, service, key) == Standing::Usable
    }

    fn standing(
        &self,
        now: Time,
        ask: &Ask<'_>,
        service: &ServiceState,
        key: ServerKey,
    ) -> Standing {
        let server = &self.servers[key];
        if !server.is_ready() {
            return Standing::Draining;
        }
        if ask.tried.contains(&key) {
            return Standing::Tried;
        }
        if service.ejector.is_ejected(key) {
            return Standing::Ejected;
        }
        if server.flow.says_unreachable(now) || self.reach.avoids(now, key) {
            return Standing::Unreachable;
        }
        Standing::Usable
    }

    fn score(&self, now: Time, ask: &Ask<'_>, service: &ServiceState, key: ServerKey) -> u64 {
        self.parts(now, ask, service, key).score()
    }

    fn parts(&self, now: Time, ask: &Ask<'_>, service: &ServiceState, key: ServerKey) -> Parts {
        let server = &self.servers[key];
        let tokens = ask.expected_tokens;
        let estimate = server.flow.estimate(now, tokens, &service.mean);
        let held = ask.prefix != 0 && self.prefixes.holds(now, key, ask.prefix);
        let saved = if held {
            micros(self.settings.prefix_worth)
        } else {
            0
        };
        Parts {
            wait: estimate.wait as u64,
            crowding: estimate.crowding as u64,
            distance: micros(self.cost.distance(&server.view)),
            saved,
            worth: micros(self.settings.prefix_worth),
        }
    }

    fn candidate(
        &self,
        now: Time,
        ask: &Ask<'_>,
        service: &ServiceState,
        pool: &Pool,
        key: ServerKey,
    ) -> Candidate {
        let view = &self.servers[key].view;
        let mut standing = self.standing(now, ask, service, key);
        if standing == Standing::Usable {
            standing = match () {
                _ if !pool.holds(key) => Standing::OutsideSubset,
                _ if self.region_lost(now, key) => Standing::Unreachable,
                _ if !self.crosses(now, key) => Standing::OverBudget,
                _ => Standing::Usable,
            };
        }
        let parts = self.parts(now, ask, service, key);
        Candidate {
            name: view.name.clone(),
            region: view.region.clone(),
            zone: view.zone.clone(),
            standing,
            wait: parts.wait,
            crowding: parts.crowding,
            distance: parts.distance,
            saved: parts.saved,
            score: parts.score(),
        }
    }

    /// The refusal where no server can be given the request. Takes O(n); not on the usual path.
    fn no_server(&self, pool: &Pool) -> NotRun {
        let mut members = pool.members().map(|key| &self.servers[key]);
        let leaving = !members.any(Server::is_ready) && pool.members().next().is_some();
        let reason = if leaving {
            RefusalReason::Draining
        } else {
            RefusalReason::NoBackend
        };
        refuse(reason, Some(RECOVERY))
    }
}

/// The least score so far, and the servers compared.
#[derive(Debug, Default)]
struct Best {
    server: Option<ServerKey>,
    score: u64,
    compared: Vec<ServerKey>,
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

/// The parts of a score, in microseconds.
struct Parts {
    wait: u64,
    crowding: u64,
    distance: u64,
    saved: u64,
    worth: u64,
}

impl Parts {
    /// Never below zero: what is not saved counts as cost.
    fn score(&self) -> u64 {
        let cost = self.wait.saturating_add(self.crowding);
        cost.saturating_add(self.distance) + self.worth.saturating_sub(self.saved)
    }
}

fn judge(service: &mut ServiceState, now: Time, server: ServerKey, end: &End) {
    let pace = match end.tokens {
        0 => Some(end.duration),
        tokens if tokens < PACE_TOKENS => None,
        tokens => Some(end.duration / tokens),
    };
    match (end.result, pace) {
        (EndResult::Ok, Some(pace)) => service.ejector.ended(now, server, pace),
        (EndResult::Failed | EndResult::Lost, _) => service.ejector.failed(now, server),
        _ => {}
    }
}

fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> NotRun {
    NotRun::before_dispatch(reason, retry_after)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
