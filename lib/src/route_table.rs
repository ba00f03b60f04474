//! Maps a request to its route by host and path, and to its workspace by key.
//!
//! Built once for each version of the configuration and then read-only. A request takes one lookup
//! by host, a scan of the host's path prefixes, and one lookup by key.

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
    // Indices into the configuration's routes by host, longest prefix first.
    hosts: HashMap<Name, Vec<usize>>,
    // Indices into the configuration's workspaces by key.
    keys: HashMap<Name, usize>,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
}

/// Why an admitted request may not be sent under a later configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionChange {
    /// It would be denied.
    Denied(Denied),
    /// Its route no longer leads to its service.
    Rerouted,
}

/// The route and workspace of an admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route.
    pub route: Route,
    /// The workspace; `None` on an anonymous route or where the configuration has no workspaces.
    pub workspace: Option<Name>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The regions that both its route and its workspace allow.
    pub regions: AllowedRegions,
    /// The version of the configuration that it was admitted under.
    pub version: u64,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(config: Arc<SiteConfig>) -> Self {
        let mut hosts: HashMap<Name, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|index| {
                std::cmp::Reverse(config.routes[*index].prefix.as_str().len())
            });
        }
        let mut keys = HashMap::new();
        for (index, workspace) in config.workspaces.iter().enumerate() {
            for key in &workspace.keys {
                keys.insert(key.clone(), index);
            }
        }
        RouteTable {
            config,
            hosts,
            keys,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<SiteConfig> {
        &self.config
    }

    /// Whether a configuration has been loaded.
    pub fn has_config(&self) -> bool {
        self.config.version > 0
    }

    /// Returns the service's settings.
    pub fn service(&self, name: &Name) -> Option<&ServiceSpec> {
        self.config.services.get(name)
    }

    /// Returns the services by name.
    pub fn services(&self) -> &BTreeMap<Name, ServiceSpec> {
        &self.config.services
    }

    /// Counts the distinct priorities that are more urgent than the route's, among all routes to the
    /// service that are streaming like it, or not streaming like it.
    pub fn count_higher_priorities(&self, service: &Name, route: &Route) -> u32 {
        let is_stream = |route: &Route| route.kind == CallKind::Streaming;
        let alike = self.config.routes.iter().filter(|other| {
            let uses_service = other.shares.iter().any(|share| &share.service == service);
            uses_service && is_stream(other) == is_stream(route) && other.priority < route.priority
        });
        let priorities: BTreeSet<u32> = alike.map(|other| other.priority).collect();
        priorities.len() as u32
    }

    /// Returns the tightest objective for the first event among the streaming routes to the service.
    pub fn tightest_objective(&self, service: &Name) -> Option<Duration> {
        let streaming = self.config.routes.iter().filter(|route| {
            let uses_service = route.shares.iter().any(|share| &share.service == service);
            uses_service && route.kind == CallKind::Streaming
        });
        streaming.map(|route| route.objective).min()
    }

    /// Checks that an earlier admitted request may still be sent: its route is there and leads to the service, and its
    /// key still belongs to its workspace.
    pub fn check_again(
        &self,
        admitted: &Admitted,
        service: &Name,
        key: Option<&str>,
    ) -> Result<(), AdmissionChange> {
        if admitted.version == self.config.version {
            return Ok(());
        }
        let mut routes = self.config.routes.iter();
        let route = routes.find(|route| route.name == admitted.route.name);
        let route = route.ok_or(AdmissionChange::Denied(Denied::NoRoute))?;
        let workspace = self.workspace(route, key);
        let workspace = workspace.map_err(AdmissionChange::Denied)?;
        if workspace.map(|w| &w.name) != admitted.workspace.as_ref() {
            return Err(AdmissionChange::Denied(Denied::BadKey));
        }
        let leads_there = route.shares.iter().any(|share| &share.service == service);
        leads_there.then_some(()).ok_or(AdmissionChange::Rerouted)
    }

    /// Finds the route and workspace of a request. `host` may include a port; `path` has no query.
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

    /// Returns the regions that may serve an earlier admitted request now. Restrictions added since
    /// then apply to it, and so do restrictions removed since then, because it was admitted under
    /// them.
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
        let indices = self.hosts.get(host.as_str())?;
        let routes = indices.iter().map(|index| &self.config.routes[*index]);
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
        let index = key.and_then(|key| self.keys.get(key));
        match index {
            Some(index) => Ok(Some(&self.config.workspaces[*index])),
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

/// Picks one of a route's services by weight. `draw` is a uniform random number in `[0, 1)`.
pub fn pick_service(route: &Route, draw: f64) -> Option<&Name> {
    let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
    let mut remaining = (draw * total as f64) as u64;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if remaining < weight {
            return Some(&share.service);
        }
        remaining -= weight;
    }
    route.shares.last().map(|s| &s.service)
}

/// Returns the timeout of a request: the caller's deadline, limited by the route's timeout.
pub fn time_limit(route: &Route, deadline: Option<Duration>) -> Duration {
    deadline.map_or(route.timeout, |d| d.min(route.timeout))
}
