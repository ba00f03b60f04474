//! Selects the server that an entry sends a request to. The daemon calls no other routing module.
//!
//! Load pattern: hundreds of entries, each with a delayed and partial view, in front of servers
//! whose requests differ in length by a factor of a thousand. Without this router, entries send to
//! the same servers at the same time, cross regions without need, keep sending to slow or lost
//! servers, and multiply every failure by their retries.
//!
//! The router samples a few servers of a bounded subset, adds those that hold the prompt's prefix
//! and one server of each other region, and takes the one with the lowest sum of wait, contention
//! and network cost, less the time saved by a cached prefix. The cost of a selection does not
//! depend on the number of servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use slotmap::SlotMap;

use crate::backend::CacheEvent;
use crate::choice::ServerSelector;
use crate::ids::Name;
use crate::load::LoadSummary;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::prefix_index::PrefixIndex;
use crate::reachability::ReachTracker;
use crate::rendezvous::hash_name;
use crate::routing::AttemptEnd;
use crate::routing::AttemptResult;
use crate::routing::Candidate;
use crate::routing::RouteRequest;
use crate::routing::RouterSettings;
use crate::routing::ServerKey;
use crate::routing::ServerState;
use crate::routing::ServerView;
use crate::service::Server;
use crate::service::ServiceState;
use crate::subset::SubsetRule;
use crate::time::Time;
use crate::wire_figures::CheckFigures;
use crate::zone_cost::ZoneCost;

/// Minimum number of tokens for a measurement of the time per token: with fewer, the wait before
/// the first token dominates.
const MIN_TIMED_TOKENS: u32 = 8;

/// Selects servers for the requests of one entry.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    subset_rule: SubsetRule,
    servers: SlotMap<ServerKey, Server>,
    // Listed servers only.
    keys: HashMap<Name, ServerKey>,
    services: HashMap<Name, ServiceState>,
    cost: ZoneCost,
    reach: ReachTracker,
    prefixes: PrefixIndex,
    rng: fastrand::Rng,
}

impl Router {
    /// Creates a router without servers.
    pub fn new(settings: RouterSettings) -> Self {
        let subset_rule = SubsetRule {
            entry_hash: hash_name(&settings.entry),
            region: settings.region.clone(),
            local_size: settings.local_subset,
            remote_size: settings.remote_subset,
        };
        let cost = ZoneCost::new(
            settings.cost.clone(),
            settings.region.clone(),
            settings.zone.clone(),
        );
        Router {
            subset_rule,
            servers: SlotMap::with_key(),
            keys: HashMap::new(),
            services: HashMap::new(),
            cost,
            reach: ReachTracker::default(),
            prefixes: PrefixIndex::new(),
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
        }
    }

    /// Replaces the list of servers. Servers that are not in it have left.
    pub fn set_servers(&mut self, now: Time, servers: &[ServerView]) {
        let mut changed = HashSet::new();
        let existing: HashSet<Name> = self.services.keys().cloned().collect();
        for view in servers {
            let slow_start = existing.contains(&view.service);
            if self.set_server(now, view, slow_start) {
                changed.insert(view.service.clone());
            }
        }
        let listed: HashSet<&Name> = servers.iter().map(|view| &view.name).collect();
        let removed = self.keys.keys().filter(|name| !listed.contains(name));
        let removed: Vec<Name> = removed.cloned().collect();
        for name in removed {
            if let Some(service) = self.unlist(&name) {
                changed.insert(service);
            }
        }
        for service in changed {
            self.rebuild(now, &service);
        }
    }

    /// Changes the state of one server. An unknown name is ignored.
    pub fn set_state(&mut self, now: Time, name: &Name, state: ServerState) {
        let Some(key) = self.keys.get(name).copied() else {
            return;
        };
        let view = &mut self.servers[key].view;
        if view.state == state {
            return;
        }
        view.state = state;
        let service = view.service.clone();
        if state == ServerState::Gone {
            self.prefixes.remove_server(key);
        }
        self.rebuild(now, &service);
    }

    /// Records a server's load report. One with a figure out of bounds changes nothing.
    pub fn report(&mut self, now: Time, server: ServerKey, load: LoadSummary) {
        if load.check_figures().is_err() {
            return;
        }
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let was_ready = known.is_ready();
        let is_new = known.load.report(now, load.clone());
        let changed = known.is_ready() != was_ready;
        let service = known.view.service.clone();
        if let Some(state) = self.services.get_mut(&service) {
            state.mean.report(&load);
            if is_new && load.running > 0 {
                let gap = Duration::from_micros(load.token_gap);
                state.ejector.record_token_gap(now, server, gap);
            }
        }
        if changed {
            self.rebuild(now, &service);
        }
    }

    /// Records an event of a server's prefix cache.
    pub fn cache_event(&mut self, now: Time, server: ServerKey, event: &CacheEvent) {
        if self.servers.contains_key(server) {
            self.prefixes.apply_event(now, server, event);
        }
    }

    /// Selects a server for the next attempt of a request.
    ///
    /// # Errors
    ///
    /// [`NotRun`] with the reason: the service is unknown, no server has the model, or no server
    /// that has not been tried yet is usable.
    pub fn choose(
        &mut self,
        now: Time,
        request: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<ServerKey, NotRun> {
        self.sweep(now, request.service);
        let order = self.order(request);
        let selector = self.selector(now, request)?;
        match selector.first_usable(&order) {
            Some(server) => Ok(server),
            None => selector.select(rng),
        }
    }

    /// Records that the request was sent to the server.
    pub fn started(&mut self, now: Time, server: ServerKey, request: &RouteRequest<'_>) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.load.started(now);
        let view = &known.view;
        self.reach.record_start(now, server, &view.region);
        if !self.cost.is_local(view) {
            let region = view.region.clone();
            self.cost.reserve(now, &region, request.expected_tokens);
        }
        self.prefixes.record_request(now, server, request.prefix);
        if request.tried.is_empty()
            && let Some(service) = self.services.get_mut(request.service)
        {
            service.retries.first_attempt(now);
        }
    }

    /// Records that the first token, or the head of a plain answer, arrived `waited` after
    /// dispatch.
    pub fn first_token(&mut self, now: Time, server: ServerKey, waited: Duration) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let waited = waited.saturating_sub(self.cost.round_trip(&known.view));
        known.load.first_token(now, waited);
        self.reach.record_answer(server, &known.view.region);
    }

    /// Records the end of an attempt at the server.
    pub fn finished(&mut self, now: Time, server: ServerKey, end: &AttemptEnd) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.load.finished(now, end.duration, end.first_token);
        let region = known.view.region.clone();
        match end.result {
            AttemptResult::Lost => self.reach.record_loss(now, server, &region),
            AttemptResult::Cancelled => {}
            AttemptResult::Ok | AttemptResult::Refused | AttemptResult::Failed => {
                self.reach.record_answer(server, &region);
            }
        }
        if !self.cost.is_local(&known.view) {
            self.cost.charge(now, &region, end.bytes);
        }
        if let Some(service) = self.services.get_mut(&known.view.service) {
            service.mean.ended(end.duration);
            record_end(service, now, server, end);
        }
        if !known.listed && known.load.in_flight() == 0 {
            self.servers.remove(server);
        }
    }

    /// Returns the pause before a retry for this service, or `None` if its budget is used up.
    pub fn may_retry(
        &mut self,
        now: Time,
        service: &Name,
        reason: RetryReason,
    ) -> Option<Duration> {
        let service = self.services.get_mut(service)?;
        service.retries.take(now, reason, &mut self.rng)
    }

    /// Returns the name of a server.
    pub fn name(&self, server: ServerKey) -> Option<&Name> {
        self.servers.get(server).map(|s| &s.view.name)
    }

    /// Returns the key of a listed server.
    pub fn key(&self, name: &Name) -> Option<ServerKey> {
        self.keys.get(name).copied()
    }

    /// Returns the number of requests that this entry has in flight at a server.
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers.get(server).map_or(0, |s| s.load.in_flight())
    }

    /// Returns the number of ejected servers of a service.
    pub fn ejected(&self, service: &Name) -> usize {
        let service = self.services.get(service);
        service.map_or(0, |s| s.ejector.ejected_count())
    }

    /// Returns every server for the request's model, best first. O(n log n); for diagnostics only.
    pub fn explain(&self, now: Time, request: &RouteRequest<'_>) -> Vec<Candidate> {
        match self.selector(now, request) {
            Ok(selector) => selector.candidates(),
            Err(_) => Vec::new(),
        }
    }

    fn set_server(&mut self, now: Time, view: &ServerView, slow_start: bool) -> bool {
        if let Some(key) = self.keys.get(&view.name) {
            let known = &mut self.servers[*key].view;
            if known == view {
                return false;
            }
            if known.service == view.service {
                *known = view.clone();
                return true;
            }
            // The server moved to another service, for which it is a new server.
            if let Some(service) = self.unlist(&view.name) {
                self.rebuild(now, &service);
            }
        }
        let key = self.servers.insert(Server::new(view.clone()));
        self.keys.insert(view.name.clone(), key);
        let service = self.services.entry(view.service.clone());
        let service = service.or_insert_with(|| ServiceState::new(&self.settings, now));
        service.members.push(key);
        service.ejector.add_server(now, key, slow_start);
        true
    }

    /// Removes a server from the list and returns the service that it belonged to.
    fn unlist(&mut self, name: &Name) -> Option<Name> {
        let key = self.keys.remove(name)?;
        self.prefixes.remove_server(key);
        self.reach.remove_server(key);
        let known = &mut self.servers[key];
        known.listed = false;
        known.view.state = ServerState::Gone;
        let name = known.view.service.clone();
        if known.load.in_flight() == 0 {
            self.servers.remove(key);
        }
        if let Some(service) = self.services.get_mut(&name) {
            service.members.retain(|k| *k != key);
            service.ejector.remove_server(key);
        }
        Some(name)
    }

    fn rebuild(&mut self, now: Time, service: &Name) {
        if let Some(state) = self.services.get_mut(service) {
            state.rebuild(now, &self.subset_rule, &self.servers);
        }
    }

    fn sweep(&mut self, now: Time, service: &Name) {
        if let Some(state) = self.services.get_mut(service) {
            state.ejector.sweep(now, &state.ready);
        }
    }

    /// Returns the rendezvous order of servers for a keyed call; empty for any other request.
    fn order(&mut self, request: &RouteRequest<'_>) -> Vec<ServerKey> {
        let Some(affinity) = request.affinity else {
            return Vec::new();
        };
        let service = self.services.get_mut(request.service);
        let pool = service.and_then(|s| s.pools.get_mut(request.model));
        pool.map_or_else(Vec::new, |pool| pool.keyed_order(affinity).to_vec())
    }

    fn selector<'a>(
        &'a self,
        now: Time,
        request: &'a RouteRequest<'a>,
    ) -> Result<ServerSelector<'a>, NotRun> {
        let service = self.services.get(request.service);
        let service = service.ok_or_else(|| refusal(RefusalReason::ServiceUnknown))?;
        let pool = service.pools.get(request.model);
        let pool = pool.ok_or_else(|| refusal(RefusalReason::NotPlaced))?;
        Ok(ServerSelector {
            now,
            request,
            settings: &self.settings,
            servers: &self.servers,
            service,
            pool,
            cost: &self.cost,
            reach: &self.reach,
            prefixes: &self.prefixes,
        })
    }
}

fn record_end(service: &mut ServiceState, now: Time, server: ServerKey, end: &AttemptEnd) {
    let sample = match end.tokens {
        0 => Some(end.duration),
        tokens if tokens < MIN_TIMED_TOKENS => None,
        tokens => Some(end.duration / tokens),
    };
    match (end.result, sample) {
        (AttemptResult::Ok, Some(sample)) => service.ejector.record_success(now, server, sample),
        (AttemptResult::Failed | AttemptResult::Lost, _) => {
            service.ejector.record_failure(now, server)
        }
        _ => {}
    }
}

fn refusal(reason: RefusalReason) -> NotRun {
    NotRun::before_dispatch(reason, None)
}
