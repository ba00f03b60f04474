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
use crate::choice::Choice;
use crate::ids::Name;
use crate::load::LoadSummary;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::outcome::RetryReason;
use crate::prefix_index::PrefixIndex;
use crate::reach::Reach;
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
use crate::zone_cost::ZoneCost;

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
        let news = known.load.report(now, load.clone());
        let changed = known.is_ready() != was_ready;
        let service = known.view.service.clone();
        if let Some(state) = self.services.get_mut(&service) {
            state.mean.report(&load);
            if news && load.running > 0 {
                let gap = Duration::from_micros(load.token_gap);
                state.ejector.reported(now, server, gap);
            }
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
        ask: &RouteRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<ServerKey, NotRun> {
        self.sweep(now, ask.service);
        let order = self.order(ask);
        let choice = self.choice(now, ask)?;
        match choice.first(&order) {
            Some(server) => Ok(server),
            None => choice.best(rng),
        }
    }

    /// The request was handed to the server.
    pub fn started(&mut self, now: Time, server: ServerKey, ask: &RouteRequest<'_>) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.load.started(now);
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
            service.retries.first_attempt(now);
        }
    }

    /// The first token, or the head of a plain answer, came `waited` after the hand-over.
    pub fn first_token(&mut self, now: Time, server: ServerKey, waited: Duration) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        let waited = waited.saturating_sub(self.cost.trip(&known.view));
        known.load.first_token(now, waited);
        self.reach.answered(server, &known.view.region);
    }

    /// The request is over at the server.
    pub fn finished(&mut self, now: Time, server: ServerKey, end: &AttemptEnd) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.load.finished(now, end.duration, end.first_token);
        let region = known.view.region.clone();
        match end.result {
            AttemptResult::Lost => self.reach.lost(now, server, &region),
            AttemptResult::Cancelled => {}
            AttemptResult::Ok | AttemptResult::Refused | AttemptResult::Failed => {
                self.reach.answered(server, &region);
            }
        }
        if !self.cost.is_local(&known.view) {
            self.cost.finished(now, &region, end.bytes);
        }
        if let Some(service) = self.services.get_mut(&known.view.service) {
            service.mean.ended(end.duration);
            judge(service, now, server, end);
        }
        if !known.listed && known.load.in_flight() == 0 {
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
        self.servers.get(server).map_or(0, |s| s.load.in_flight())
    }

    /// Servers of a service that are ejected.
    pub fn ejected(&self, service: &Name) -> usize {
        let service = self.services.get(service);
        service.map_or(0, |s| s.ejector.ejected())
    }

    /// Every member for the request's model, best first. Takes O(n log n); for operators.
    pub fn explain(&self, now: Time, ask: &RouteRequest<'_>) -> Vec<Candidate> {
        match self.choice(now, ask) {
            Ok(choice) => choice.candidates(),
            Err(_) => Vec::new(),
        }
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
        if known.load.in_flight() == 0 {
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

    /// The order of servers for a keyed call; empty for any other.
    fn order(&mut self, ask: &RouteRequest<'_>) -> Vec<ServerKey> {
        let Some(affinity) = ask.affinity else {
            return Vec::new();
        };
        let service = self.services.get_mut(ask.service);
        let pool = service.and_then(|s| s.pools.get_mut(ask.model));
        pool.map_or_else(Vec::new, |pool| pool.order(affinity).to_vec())
    }

    fn choice<'a>(&'a self, now: Time, ask: &'a RouteRequest<'a>) -> Result<Choice<'a>, NotRun> {
        let service = self.services.get(ask.service);
        let service = service.ok_or_else(|| refuse(RefusalReason::ServiceUnknown))?;
        let pool = service.pools.get(ask.model);
        let pool = pool.ok_or_else(|| refuse(RefusalReason::NotPlaced))?;
        Ok(Choice {
            now,
            ask,
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

fn judge(service: &mut ServiceState, now: Time, server: ServerKey, end: &AttemptEnd) {
    let pace = match end.tokens {
        0 => Some(end.duration),
        tokens if tokens < PACE_TOKENS => None,
        tokens => Some(end.duration / tokens),
    };
    match (end.result, pace) {
        (AttemptResult::Ok, Some(pace)) => service.ejector.ended(now, server, pace),
        (AttemptResult::Failed | AttemptResult::Lost, _) => service.ejector.failed(now, server),
        _ => {}
    }
}

fn refuse(reason: RefusalReason) -> NotRun {
    NotRun::before_dispatch(reason, None)
}
