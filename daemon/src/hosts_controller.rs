//! Keeps the list of hosts: from the platform, or from a peer while the platform is down at the
//! start; and runs the gossip by which processes tell of themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::gossip_net::GossipNet;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::Platform;
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
        let seeds = self.process.settings().addresses("platform", "seeds");
        loop {
            let hosts = match self.platform.hosts().await {
                Ok(hosts) => hosts,
                Err(err) => {
                    tracing::warn!(%err, "hosts: the list cannot be read, the old one stays");
                    self.ask_seed(&seeds).await
                }
            };
            if !hosts.is_empty() {
                self.net.membership().hosts(self.clock.now(), &hosts);
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

    /// The list of a seed, where this process has none.
    async fn ask_seed(&self, seeds: &[SocketAddr]) -> Vec<HostRecord> {
        if !self.process.hosts().is_empty() {
            return Vec::new();
        }
        let Some(seed) = fastrand::choice(seeds) else {
            return Vec::new();
        };
        match peer_ask::hosts(*seed, &self.links).await {
            Ok(hosts) => hosts,
            Err(err) => {
                tracing::info!(%seed, %err, "hosts: the seed could not be asked");
                Vec::new()
            }
        }
    }
}

impl Controller for HostsController {
    fn run(self: Box<Self>) -> Running {
        Box::pin(self.follow())
    }
}
