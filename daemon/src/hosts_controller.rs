//! Keeps the list of hosts, and runs the gossip by which processes tell of themselves.
//!
//! Load pattern: 1,370 processes that each need a list of some 300 KB, which changes some 200 times a
//! day. If each read it from the platform, that alone would break the bound of 8 KB a second. Two
//! processes of each availability zone read it there, and only when it changed; the others ask those
//! two whether their list is still the same.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::gossip::MemberId;
use cicada_lib::gossip_net::GossipNet;
use cicada_lib::membership::WATCHERS;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::Platform;
use cicada_lib::roster::Member;
use cicada_lib::roster::MemberState;
use cicada_lib::time::Clock;

use crate::control::Controller;
use crate::control::Running;
use crate::link::LinkSettings;
use crate::peer_ask;
use crate::status::Process;

/// Pause before the list is asked for again while none is known. With the jitter, 1,370 processes
/// that start while the platform is down ask it 900 times a second.
const FIRST_PAUSE: Duration = Duration::from_millis(1_500);

/// Reads the list of hosts.
pub(crate) struct HostsController {
    process: Arc<Process>,
    platform: Arc<dyn Platform>,
    net: GossipNet,
    clock: Clock,
    links: LinkSettings,
}

impl HostsController {
    /// A controller that has read nothing yet.
    pub(crate) fn new(
        process: Arc<Process>,
        platform: Arc<dyn Platform>,
        net: GossipNet,
        clock: Clock,
        links: LinkSettings,
    ) -> Self {
        HostsController {
            process,
            platform,
            net,
            clock,
            links,
        }
    }

    async fn follow(self) {
        let net = self.net.clone();
        tokio::task::spawn_local(async move { net.run().await });
        let poll = self.process.settings().millis("platform", "hosts_poll");
        loop {
            if let Some(hosts) = self.read().await {
                self.net.membership().update_hosts(self.clock.now(), &hosts);
                self.process.set_hosts(hosts);
            }
            // Spread over the interval, so that processes which started together do not ask together.
            let every = match self.process.hosts().is_empty() {
                true => FIRST_PAUSE.min(poll),
                false => poll,
            };
            tokio::time::sleep(every.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
        }
    }

    /// A newer list, from a watcher of the availability zone where there is one, else from the
    /// platform, else from a seed.
    async fn read(&self) -> Option<Vec<HostRecord>> {
        let held = self.process.hosts();
        if let Some(peer) = self.watcher() {
            match peer_ask::hosts(peer.address, &self.links, &held).await {
                Ok(hosts) => return hosts,
                Err(err) => {
                    tracing::info!(peer = %peer.name, %err, "hosts: a peer could not be asked");
                }
            }
        }
        match self.platform.hosts().await {
            Ok(hosts) => Some(hosts).filter(|hosts| !hosts.is_empty()),
            Err(err) => {
                tracing::warn!(%err, "hosts: the list cannot be read, the old one stays");
                self.ask_seed(&held).await
            }
        }
    }

    /// One of the processes of the availability zone that read the list from the platform; `None`
    /// for such a process itself, and before any is known.
    fn watcher(&self) -> Option<Member> {
        let now = self.clock.now();
        let membership = self.net.membership();
        if membership.is_watcher(now) {
            return None;
        }
        let zone = self.process.settings().name("process", "zone");
        let members = membership.members(now);
        let mut near: Vec<&Member> = members
            .iter()
            .filter(|view| view.state == MemberState::Ready && view.member.zone == zone)
            .map(|view| &view.member)
            .collect();
        near.sort_by_key(|member| Reverse(MemberId::new(&member.name)));
        near.truncate(WATCHERS);
        fastrand::choice(near).cloned()
    }

    /// The list of a seed, where this process has none.
    async fn ask_seed(&self, held: &[HostRecord]) -> Option<Vec<HostRecord>> {
        if !held.is_empty() {
            return None;
        }
        let seeds = self.process.settings().addresses("platform", "seeds");
        let seed = fastrand::choice(&seeds)?;
        match peer_ask::hosts(*seed, &self.links, held).await {
            Ok(hosts) => hosts,
            Err(err) => {
                tracing::info!(%seed, %err, "hosts: the seed could not be asked");
                None
            }
        }
    }
}

impl Controller for HostsController {
    fn run(self: Box<Self>) -> Running {
        Box::pin(self.follow())
    }
}
