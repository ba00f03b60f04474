//! Keeps an entry's router in step with the members, the configuration and what it places where.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config::Config;
use cicada_lib::config::ServiceKind;
use cicada_lib::gossip_net::GossipNet;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRole;
use cicada_lib::roster::Member;
use cicada_lib::roster::MemberState;
use cicada_lib::roster::MemberView;
use cicada_lib::routing::ServerState;
use cicada_lib::routing::ServerView;

use crate::control::Controller;
use crate::control::Running;
use crate::entry::Addresses;
use crate::entry::Entry;

/// How often the members are looked at: a tenth of the two seconds within which a leaving backend
/// server gets no new work.
const STEP: Duration = Duration::from_millis(200);

/// Follows the members.
pub(crate) struct ServersController {
    entry: Arc<Entry>,
    net: GossipNet,
}

impl ServersController {
    /// A controller that has told the router nothing yet.
    pub(crate) fn new(entry: Arc<Entry>, net: GossipNet) -> Self {
        ServersController { entry, net }
    }

    async fn follow(self) {
        let mut told = Vec::new();
        loop {
            if let Some(loaded) = self.entry.process().config() {
                let now = self.entry.clock().now();
                let members = self.net.membership().members(now);
                let agents = members
                    .iter()
                    .filter(|view| view.member.role == HostRole::Agent);
                let servers: Vec<ServerView> = agents
                    .clone()
                    .map(|view| server(view, &loaded.config))
                    .collect();
                if servers != told {
                    self.tell(&servers, agents.map(|view| &view.member));
                    told = servers;
                }
            }
            tokio::time::sleep(STEP).await;
        }
    }

    fn tell<'a>(&self, servers: &[ServerView], agents: impl Iterator<Item = &'a Member>) {
        let addresses: Addresses = agents
            .map(|member| (member.name.clone(), member.address))
            .collect();
        self.entry.links().set_addresses(addresses);
        self.entry.routing().set_servers(servers);
        self.entry.process().set_has_servers();
    }
}

impl Controller for ServersController {
    fn run(self: Box<Self>) -> Running {
        Box::pin(self.follow())
    }
}

/// A member as routing sees it. An engine without a placement holds every model of its service.
fn server(view: &MemberView, config: &Config) -> ServerView {
    let member = &view.member;
    let drained = config.drains.contains(&member.name);
    ServerView {
        name: member.name.clone(),
        service: member.service.clone(),
        region: member.region.clone(),
        zone: member.zone.clone(),
        models: models(member, config),
        state: match view.state {
            MemberState::Ready if !drained => ServerState::Ready,
            MemberState::Leaving | MemberState::Lost => ServerState::Gone,
            _ => ServerState::Draining,
        },
    }
}

fn models(member: &Member, config: &Config) -> Vec<Name> {
    if let Some(placement) = config.placements.get(&member.name) {
        let held = placement.models.iter().chain(&placement.adapters);
        return held.cloned().collect();
    }
    match config
        .services
        .get(&member.service)
        .map(|found| &found.kind)
    {
        Some(ServiceKind::Model { models }) => models.iter().cloned().collect(),
        _ => Vec::new(),
    }
}
