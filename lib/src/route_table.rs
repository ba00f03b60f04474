//! Which route a request takes, and who its caller is.
//!
//! Made once for each version of the configuration, and then only read: a request takes one look-up by
//! host, one by prefix for each length that the host has, and one by key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::Name;
use crate::residency::AllowedRegions;
use crate::site::CallKind;
use crate::site::Route;
use crate::site::ServiceSpec;
use crate::site::SiteConfig;
use crate::site::SiteWorkspace;

/// The routes and keys of one version of the configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: Arc<SiteConfig>,
    // Places in the configuration's routes by host, the longest prefix first.
    hosts: HashMap<Name, Vec<usize>>,
    // Places in the configuration's workspaces by key.
    keys: HashMap<Name, usize>,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No route leads anywhere.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
}

/// A request's way through the configuration.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route.
    pub route: Route,
    /// The workspace; `None` on an anonymous route or where the configuration has no workspaces.
    pub workspace: Option<Name>,
    /// The rank: 0 is the most urgent.
    pub priority: u32,
    /// Where it may be served, by its route and its workspace.
    pub regions: AllowedRegions,
    /// The version of the configuration.
    pub version: u64,
}

impl RouteTable {
    /// The table of a configuration.
    pub fn new(config: Arc<SiteConfig>) -> Self {
        let mut hosts: HashMap<Name, Vec<usize>> = HashMap::new();
        for (place, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(place);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|place| {
                std::cmp::Reverse(config.routes[*place].prefix.as_str().len())
            });
        }
        let mut keys = HashMap::new();
        for (place, workspace) in config.workspaces.iter().enumerate() {
            for key in &workspace.keys {
                keys.insert(key.clone(), place);
            }
        }
        RouteTable {
            config,
            hosts,
            keys,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<SiteConfig> {
        &self.config
    }

    /// Whether any configuration is known.
    pub fn is_known(&self) -> bool {
        self.config.version > 0
    }

    /// The service's figures.
    pub fn service(&self, name: &Name) -> Option<&ServiceSpec> {
        self.config.services.get(name)
    }

    /// The services by name.
    pub fn services(&self) -> &BTreeMap<Name, ServiceSpec> {
        &self.config.services
    }

    /// How many kinds of streams of the service are more urgent than those of the route. Kinds are told by
    /// the routes' priorities.
    pub fn more_urgent(&self, service: &Name, route: &Route) -> u32 {
        let streams = self.config.routes.iter().filter(|other| {
            let served = other.shares.iter().any(|share| &share.service == service);
            served && other.kind == CallKind::Streaming && other.priority < route.priority
        });
        let kinds: BTreeSet<u32> = streams.map(|other| other.priority).collect();
        kinds.len() as u32
    }

    /// Finds the way of a request. `host` may carry a port; `path` has no query.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let workspace = self.workspace(route, key)?;
        let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
        Ok(Admitted {
            route: route.clone(),
            workspace: workspace.map(|w| w.name.clone()),
            priority,
            regions: regions(route, workspace),
            version: self.config.version,
        })
    }

    /// Where a request that was admitted earlier may be served now. A restriction that has come since binds it too;
    /// one that has gone still does, since the request was admitted under it.
    pub fn regions_now(&self, admitted: &Admitted) -> AllowedRegions {
        if admitted.version == self.config.version {
            return admitted.regions.clone();
        }
        let route = self.config.routes.iter();
        let route = route.filter(|route| route.name == admitted.route.name);
        let workspaces = self.config.workspaces.iter();
        let workspace = workspaces.filter(|w| Some(&w.name) == admitted.workspace.as_ref());
        let routes = route.map(|route| &route.regions);
        let workspaces = workspace.map(|workspace| &workspace.regions);
        routes
            .chain(workspaces)
            .fold(admitted.regions.clone(), |all, one| all.and(one))
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase();
        let places = self.hosts.get(host.as_str())?;
        let routes = places.iter().map(|place| &self.config.routes[*place]);
        routes
            .into_iter()
            .find(|r| path.starts_with(r.prefix.as_str()))
    }

    fn workspace(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&SiteWorkspace>, Denied> {
        if self.config.workspaces.is_empty() {
            return Ok(None);
        }
        let place = key.and_then(|key| self.keys.get(key));
        match place {
            Some(place) => Ok(Some(&self.config.workspaces[*place])),
            None if route.anonymous => Ok(None),
            None => Err(Denied::BadKey),
        }
    }
}

fn regions(route: &Route, workspace: Option<&SiteWorkspace>) -> AllowedRegions {
    match workspace {
        Some(workspace) => route.regions.and(&workspace.regions),
        None => route.regions.clone(),
    }
}

/// The service of a request among a route's shares. `draw` lies from 0 up to 1.
pub fn share_of(route: &Route, draw: f64) -> Option<&Name> {
    let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
    let mut left = (draw * total as f64) as u64;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if left < weight {
            return Some(&share.service);
        }
        left -= weight;
    }
    route.shares.last().map(|s| &s.service)
}

/// The time that a request has: what its caller waits, but no longer than its route allows.
pub fn time_limit(route: &Route, deadline: Option<Duration>) -> Duration {
    deadline.map_or(route.timeout, |d| d.min(route.timeout))
}
