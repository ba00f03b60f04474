//! What a router keeps for each service: members, subsets, ejections, retry budget.

use std::collections::HashMap;
use std::collections::HashSet;

use slotmap::SlotMap;

use crate::ejection::Ejector;
use crate::ids::Name;
use crate::rendezvous::hash_name;
use crate::retry_budget::RetryBudget;
use crate::routing::RouterSettings;
use crate::routing::ServerKey;
use crate::routing::ServerState;
use crate::routing::ServerView;
use crate::score::LoadTracker;
use crate::score::ServiceMean;
use crate::subset::Pool;
use crate::subset::PoolMember;
use crate::subset::SubsetRule;
use crate::time::Time;

/// A server, with the work that this entry has there.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) view: ServerView,
    pub(crate) hash: u64,
    pub(crate) load: LoadTracker,
    // Whether the platform's list still has it. One that left is kept while requests are in flight.
    pub(crate) listed: bool,
}

impl Server {
    pub(crate) fn new(view: ServerView) -> Self {
        Server {
            hash: hash_name(&view.name),
            view,
            load: LoadTracker::default(),
            listed: true,
        }
    }

    /// Whether it takes new work, by the worst of what the list and the server itself say.
    pub(crate) fn is_ready(&self) -> bool {
        self.view.state == ServerState::Ready && !self.load.reports_draining()
    }
}

/// The servers of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) members: Vec<ServerKey>,
    pub(crate) ready: Vec<ServerKey>,
    // By model; the empty name stands for the service as a whole.
    pub(crate) pools: HashMap<Name, Pool>,
    pub(crate) ejector: Ejector,
    pub(crate) retries: RetryBudget,
    pub(crate) mean: ServiceMean,
}

impl ServiceState {
    pub(crate) fn new(settings: &RouterSettings, now: Time) -> Self {
        ServiceState {
            members: Vec::new(),
            ready: Vec::new(),
            pools: HashMap::new(),
            ejector: Ejector::new(settings.ejection.clone()),
            retries: RetryBudget::new(settings.retry.clone(), now),
            mean: ServiceMean::default(),
        }
    }

    /// Draws the subsets anew. Takes O(n) for each model; only a change of membership calls it.
    pub(crate) fn rebuild(
        &mut self,
        now: Time,
        rule: &SubsetRule,
        servers: &SlotMap<ServerKey, Server>,
    ) {
        let listed = |key: &ServerKey| servers[*key].view.state != ServerState::Gone;
        let members: Vec<ServerKey> = self.members.iter().copied().filter(listed).collect();
        let ready = members.iter().copied().filter(|k| servers[*k].is_ready());
        self.ready = ready.collect();
        self.ejector.limit_ejected(now, self.ready.len());
        // A model whose servers are all gone keeps its empty pool: it is placed, but has no backend.
        let models = self
            .members
            .iter()
            .flat_map(|key| &servers[*key].view.models);
        let mut models: HashSet<Name> = models.cloned().collect();
        models.insert(Name::default());
        self.pools.clear();
        for model in models {
            let with_model = members.iter().filter(|key| {
                let view = &servers[**key].view;
                model.as_str().is_empty() || view.models.contains(&model)
            });
            let members: Vec<PoolMember<'_>> =
                with_model.map(|key| member(*key, &servers[*key])).collect();
            self.pools.insert(model, Pool::new(rule, &members));
        }
    }
}

fn member(key: ServerKey, server: &Server) -> PoolMember<'_> {
    PoolMember {
        key,
        hash: server.hash,
        region: &server.view.region,
        ready: server.is_ready(),
    }
}
