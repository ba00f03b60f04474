//! Ways to choose a server, for comparison in a [`fake_fleet`](crate::fake_fleet).

use std::collections::HashMap;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::load::LoadSummary;
use cicada_lib::outcome::RetryReason;
use cicada_lib::router::Router;
use cicada_lib::routing::AttemptEnd;
use cicada_lib::routing::AttemptResult;
use cicada_lib::routing::RouteRequest;
use cicada_lib::routing::RouterSettings;
use cicada_lib::routing::ServerKey;
use cicada_lib::routing::ServerState;
use cicada_lib::routing::ServerView;
use cicada_lib::time::Time;

use crate::fake_fleet::SERVICE;
use crate::fake_fleet::region;

/// What a picker knows of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Tokens expected; the true number is not known.
    pub expected_tokens: u32,
    /// The digest of the prompt's head; zero for none.
    pub prefix: u64,
}

/// One entry's way to choose. Servers go by their place in the view.
pub trait Picker {
    /// Takes in the whole membership.
    fn set_servers(&mut self, now: Time, servers: &[ServerView]);

    /// Takes in a report.
    fn report(&mut self, now: Time, server: usize, load: &LoadSummary);

    /// Chooses a server.
    fn choose(
        &mut self,
        now: Time,
        request: &Request,
        tried: &[usize],
        rng: &mut fastrand::Rng,
    ) -> Option<usize>;

    /// The request was handed to the server.
    fn started(&mut self, now: Time, server: usize, request: &Request, tried: &[usize]);

    /// The first token came.
    fn first_token(&mut self, now: Time, server: usize, waited: Duration);

    /// The request is over at the server.
    fn finished(
        &mut self,
        now: Time,
        server: usize,
        result: AttemptResult,
        duration: Duration,
        tokens: u32,
        began: bool,
    );

    /// The pause before another try, if there may be one.
    fn may_retry(&mut self, now: Time, reason: RetryReason) -> Option<Duration>;
}

/// The project's router.
pub struct RouterPicker {
    /// The router.
    pub router: Router,
    keys: Vec<Option<ServerKey>>,
    places: HashMap<ServerKey, usize>,
    service: Name,
}

impl RouterPicker {
    /// The router of an entry in a region, with settings changed by `with`.
    pub fn new(
        entry: usize,
        in_region: usize,
        with: impl Fn(RouterSettings) -> RouterSettings,
    ) -> Self {
        let name = Name::new(format!("e{entry}"));
        let settings = RouterSettings::new(name, region(in_region), region(in_region));
        RouterPicker {
            router: Router::new(with(settings.with_seed(entry as u64))),
            keys: Vec::new(),
            places: HashMap::new(),
            service: Name::new(SERVICE),
        }
    }
}

impl Picker for RouterPicker {
    fn set_servers(&mut self, now: Time, servers: &[ServerView]) {
        self.router.set_servers(now, servers);
        self.keys = servers.iter().map(|v| self.router.key(&v.name)).collect();
        let keys = self.keys.iter().enumerate();
        self.places = keys.filter_map(|(i, key)| Some(((*key)?, i))).collect();
    }

    fn report(&mut self, now: Time, server: usize, load: &LoadSummary) {
        if let Some(key) = self.keys[server] {
            self.router.report(now, key, load.clone());
        }
    }

    fn choose(
        &mut self,
        now: Time,
        request: &Request,
        tried: &[usize],
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let tried: Vec<ServerKey> = tried.iter().filter_map(|i| self.keys[*i]).collect();
        let service = self.service.clone();
        let ask = ask(&service, request, &tried);
        let key = self.router.choose(now, &ask, rng).ok()?;
        self.places.get(&key).copied()
    }

    fn started(&mut self, now: Time, server: usize, request: &Request, tried: &[usize]) {
        let tried: Vec<ServerKey> = tried.iter().filter_map(|i| self.keys[*i]).collect();
        let ask = ask(&self.service, request, &tried);
        if let Some(key) = self.keys[server] {
            self.router.started(now, key, &ask);
        }
    }

    fn first_token(&mut self, now: Time, server: usize, waited: Duration) {
        if let Some(key) = self.keys[server] {
            self.router.first_token(now, key, waited);
        }
    }

    fn finished(
        &mut self,
        now: Time,
        server: usize,
        result: AttemptResult,
        duration: Duration,
        tokens: u32,
        began: bool,
    ) {
        let mut end = AttemptEnd::new(result, duration);
        if began {
            end = end.with_first_token().with_tokens(tokens);
            end = end.with_bytes(u64::from(tokens) * 64);
        }
        if let Some(key) = self.keys[server] {
            self.router.finished(now, key, &end);
        }
    }

    fn may_retry(&mut self, now: Time, reason: RetryReason) -> Option<Duration> {
        self.router.may_retry(now, &self.service, reason)
    }
}

fn ask<'a>(service: &'a Name, request: &Request, tried: &'a [ServerKey]) -> RouteRequest<'a> {
    RouteRequest {
        service,
        model: service,
        workspace: service,
        prefix: request.prefix,
        expected_tokens: request.expected_tokens,
        affinity: None,
        tried,
    }
}

/// The way of a [`PlainPicker`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// One after the other.
    RoundRobin,
    /// The least reported load; the first of equals.
    LeastReported,
    /// The less loaded, by report, of two drawn at random.
    RandomTwo,
}

/// A well-known way, over the own region's servers, or all where none is left there. Retries without
/// a budget.
pub struct PlainPicker {
    way: Way,
    region: Name,
    local: Vec<usize>,
    loads: Vec<u64>,
    next: usize,
}

impl PlainPicker {
    /// A picker for an entry in a region.
    pub fn new(way: Way, entry: usize, in_region: usize) -> Self {
        PlainPicker {
            way,
            region: region(in_region),
            local: Vec::new(),
            loads: Vec::new(),
            next: entry,
        }
    }
}

impl Picker for PlainPicker {
    fn set_servers(&mut self, _: Time, servers: &[ServerView]) {
        self.loads.resize(servers.len(), 0);
        let ready = servers.iter().enumerate();
        let ready = ready.filter(|(_, v)| v.state == ServerState::Ready);
        let ready: Vec<(usize, &ServerView)> = ready.collect();
        let local = ready.iter().filter(|(_, v)| v.region == self.region);
        self.local = local.map(|(i, _)| *i).collect();
        if self.local.is_empty() {
            self.local = ready.iter().map(|(i, _)| *i).collect();
        }
    }

    fn report(&mut self, _: Time, server: usize, load: &LoadSummary) {
        self.loads[server] = u64::from(load.running) + u64::from(load.queued);
    }

    fn choose(
        &mut self,
        _: Time,
        _: &Request,
        tried: &[usize],
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let open: Vec<usize> = self
            .local
            .iter()
            .copied()
            .filter(|i| !tried.contains(i))
            .collect();
        match self.way {
            Way::RoundRobin => {
                self.next += 1;
                open.get(self.next % open.len().max(1)).copied()
            }
            Way::LeastReported => open.into_iter().min_by_key(|i| self.loads[*i]),
            Way::RandomTwo => {
                let two = [rng.choice(&open)?, rng.choice(&open)?];
                two.into_iter().copied().min_by_key(|i| self.loads[*i])
            }
        }
    }

    fn started(&mut self, _: Time, _: usize, _: &Request, _: &[usize]) {}

    fn first_token(&mut self, _: Time, _: usize, _: Duration) {}

    fn finished(&mut self, _: Time, _: usize, _: AttemptResult, _: Duration, _: u32, _: bool) {}

    fn may_retry(&mut self, _: Time, _: RetryReason) -> Option<Duration> {
        Some(Duration::from_millis(10))
    }
}
