//! Keeps an entry's list of agents as the platform has it.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config::Config;
use cicada_lib::config::ServiceKind;
use cicada_lib::config_chunks::Loaded;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use cicada_lib::platform::Platform;
use cicada_lib::routing::ServerState;
use cicada_lib::routing::ServerView;

use tokio::sync::Notify;

use crate::config_controller::ConfigSink;
use crate::control::Controller;
use crate::control::Running;
use crate::entry::Addresses;
use crate::entry::Entry;

/// Wakes the controller when a configuration comes into force: it says what is placed where.
#[derive(Default)]
pub(crate) struct HostsWake {
    changed: Notify,
}

impl ConfigSink for HostsWake {
    fn changed(&self, _loaded: &Arc<Loaded>) {
        self.changed.notify_one();
    }
}

/// Reads the list of hosts.
pub(crate) struct HostsController {
    platform: Arc<dyn Platform>,
    entry: Arc<Entry>,
    poll: Duration,
    wake: Arc<HostsWake>,
}

impl HostsController {
    /// A controller that reads the list every `poll`.
    pub(crate) fn new(
        platform: Arc<dyn Platform>,
        entry: Arc<Entry>,
        poll: Duration,
        wake: Arc<HostsWake>,
    ) -> Self {
        HostsController {
            platform,
            entry,
            poll,
            wake,
        }
    }

    async fn follow(self) {
        let mut hosts = Vec::new();
        loop {
            match self.platform.hosts().await {
                Ok(found) => hosts = found,
                Err(err) => {
                    tracing::warn!(%err, "hosts: the list cannot be read, the old one stays");
                }
            }
            if let Some(loaded) = self.entry.process().config() {
                self.apply(&hosts, &loaded.config);
            }
            // Spread over the interval, so that entries which started together do not ask together.
            let pause = self.poll.mul_f64(0.75 + 0.5 * fastrand::f64());
            let _ = tokio::time::timeout(pause, self.wake.changed.notified()).await;
        }
    }

    fn apply(&self, hosts: &[HostRecord], config: &Config) {
        let agents = hosts.iter().filter(|host| host.role == HostRole::Agent);
        let views: Vec<ServerView> = agents.clone().map(|host| view(host, config)).collect();
        let addresses: Addresses = agents
            .map(|host| (host.name.clone(), host.address))
            .collect();
        self.entry.links().set_addresses(addresses);
        self.entry.routing().set_servers(&views);
        if !views.is_empty() {
            self.entry.process().set_has_servers();
        }
    }
}

impl Controller for HostsController {
    fn run(self: Box<Self>) -> Running {
        Box::pin(self.follow())
    }
}

/// A host as routing sees it. An engine without a placement holds every model of its service.
fn view(host: &HostRecord, config: &Config) -> ServerView {
    let leaving = host.leaving || config.drains.contains(&host.name);
    ServerView {
        name: host.name.clone(),
        service: host.service.clone(),
        region: host.region.clone(),
        zone: host.zone.clone(),
        models: models(host, config),
        state: match leaving {
            true => ServerState::Draining,
            false => ServerState::Ready,
        },
    }
}

fn models(host: &HostRecord, config: &Config) -> Vec<Name> {
    if let Some(placement) = config.placements.get(&host.name) {
        let held = placement.models.iter().chain(&placement.adapters);
        return held.cloned().collect();
    }
    match config.services.get(&host.service).map(|found| &found.kind) {
        Some(ServiceKind::Model { models }) => models.iter().cloned().collect(),
        _ => Vec::new(),
    }
}
