//! What entries and agents have in common: the platform, the other processes, and the controllers of
//! their shared state.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use cicada_lib::config_store::ConfigStore;
use cicada_lib::daemon_settings::Settings;
use cicada_lib::gossip_net::GossipNet;
use cicada_lib::handshake::PeerKey;
use cicada_lib::membership::Membership;
use cicada_lib::platform::Platform;
use cicada_lib::platform_http::HttpPlatform;
use cicada_lib::roster::Member;
use cicada_lib::time::Clock;
use eyre::Context;
use eyre::OptionExt;
use eyre::bail;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::config_controller::ConfigController;
use crate::config_controller::ConfigSink;
use crate::config_controller::ConfigSources;
use crate::control;
use crate::control::Controller;
use crate::hosts_controller::HostsController;
use crate::link::LinkSettings;
use crate::mark_spread::MarkSpread;
use crate::metrics::ConfigMetrics;
use crate::metrics::Metrics;
use crate::peer_server::ServerIdentity;
use crate::status;
use crate::status::Process;

/// The shortest key that processes may share, in bytes.
const SHORTEST_KEY: usize = 32;

/// What both roles have.
pub(crate) struct Common {
    process: Arc<Process>,
    metrics: Metrics,
    platform: Arc<dyn Platform>,
    links: LinkSettings,
    clock: Clock,
    net: GossipNet,
    peer: SocketAddr,
}

impl Common {
    /// Reads the secrets and binds the socket for datagrams.
    pub(crate) fn new(
        process: &Arc<Process>,
        metrics: &Metrics,
        traffic: &Runtime,
    ) -> eyre::Result<Self> {
        let settings = process.settings();
        let links = link_settings(settings, peer_key(settings)?);
        let clock = Clock::new();
        let peer = settings
            .address("process", "peer")
            .ok_or_eyre("[process] peer is missing")?;
        let membership = Membership::new(member(settings, peer), process.incarnation());
        let key = links.key.derived("gossip 1");
        let net = traffic
            .block_on(GossipNet::bind(peer, key, membership, clock))
            .wrap_err_with(|| format!("{peer} (UDP) cannot be bound; see [process] peer"))?;
        Ok(Common {
            process: process.clone(),
            metrics: metrics.clone(),
            platform: platform(settings)?,
            links,
            clock,
            net,
            peer,
        })
    }

    /// The platform.
    pub(crate) fn platform(&self) -> &Arc<dyn Platform> {
        &self.platform
    }

    /// How other processes are connected to.
    pub(crate) fn links(&self) -> &LinkSettings {
        &self.links
    }

    /// The clock of the process.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// The other processes.
    pub(crate) fn net(&self) -> &GossipNet {
        &self.net
    }

    /// The way of evidence to other processes.
    pub(crate) fn mark_spread(&self, traffic: &Runtime) -> MarkSpread {
        let net = self.net.clone();
        MarkSpread::new(
            net,
            self.links.clone(),
            self.clock,
            traffic.handle().clone(),
        )
    }

    /// Says to all other processes that this one takes no new work.
    pub(crate) fn say_draining(&self) {
        self.net.membership().set_draining(self.clock.now());
    }

    /// Says to other processes that this one ends.
    pub(crate) async fn say_leaving(&self) {
        self.net.membership().set_leaving(self.clock.now());
        self.net.flush().await;
    }

    /// Listens for other processes.
    pub(crate) async fn listen(&self) -> eyre::Result<TcpListener> {
        let peer = self.peer;
        TcpListener::bind(peer)
            .await
            .wrap_err_with(|| format!("{peer} cannot be listened on; see [process] peer"))
    }

    /// Who this process is towards those that connect.
    pub(crate) fn identity(&self) -> ServerIdentity {
        ServerIdentity {
            name: self.process.name().clone(),
            key: self.links.key.clone(),
            incarnation: self.process.incarnation(),
            silent: self.links.silent,
            connect_time: self.links.connect_time,
        }
    }

    /// Starts the control thread, with more controllers of the role, and the status pages.
    pub(crate) fn start(
        &self,
        sinks: Vec<Arc<dyn ConfigSink>>,
        mut controllers: Vec<Box<dyn Controller>>,
    ) -> eyre::Result<()> {
        let settings = self.process.settings();
        let sources = ConfigSources {
            store: ConfigStore::new(self.platform.clone()),
            net: self.net.clone(),
            links: self.links.clone(),
            wait: settings.millis("platform", "config_wait"),
        };
        controllers.push(Box::new(ConfigController::new(
            self.process.clone(),
            sources,
            self.clock,
            ConfigMetrics::new(&self.metrics),
            sinks,
        )));
        controllers.push(Box::new(HostsController::new(
            self.process.clone(),
            self.platform.clone(),
            self.net.clone(),
            self.clock,
            self.links.clone(),
        )));
        control::start(controllers)?;
        let address = settings
            .address("process", "status")
            .ok_or_eyre("[process] status is missing")?;
        status::serve(self.process.clone(), address)
    }
}

fn member(settings: &Settings, address: SocketAddr) -> Member {
    Member {
        name: settings.name("process", "name"),
        role: settings.role(),
        address,
        service: settings.name("backend", "service"),
        region: settings.name("process", "region"),
        zone: settings.name("process", "zone"),
    }
}

fn link_settings(settings: &Settings, key: PeerKey) -> LinkSettings {
    LinkSettings {
        name: settings.name("process", "name"),
        key,
        heartbeat: settings.millis("link", "heartbeat"),
        silent: settings.millis("link", "silent"),
        connect_time: settings.millis("link", "connect_time"),
        credit: settings.count("link", "credit") as u32,
    }
}

fn platform(settings: &Settings) -> eyre::Result<Arc<dyn Platform>> {
    let address = settings
        .address("platform", "address")
        .ok_or_eyre("[platform] address is missing")?;
    let token = secret(settings, "platform", "token_file")?;
    let token = String::from_utf8(token).wrap_err("[platform] token_file holds no text")?;
    let platform = HttpPlatform::new(address, token.trim());
    Ok(Arc::new(
        platform.with_caller(settings.name("process", "name")),
    ))
}

fn peer_key(settings: &Settings) -> eyre::Result<PeerKey> {
    let bytes = secret(settings, "process", "peer_key_file")?;
    if bytes.len() < SHORTEST_KEY {
        bail!("[process] peer_key_file holds less than {SHORTEST_KEY} bytes; make a longer key");
    }
    Ok(PeerKey::new(&bytes))
}

fn secret(settings: &Settings, section: &str, key: &str) -> eyre::Result<Vec<u8>> {
    let path = settings
        .path(section, key)
        .ok_or_else(|| eyre::eyre!("[{section}] {key} is missing"))?;
    read_file(&path).wrap_err_with(|| format!("[{section}] {key}"))
}

fn read_file(path: &Path) -> eyre::Result<Vec<u8>> {
    std::fs::read(path).wrap_err_with(|| format!("{} cannot be read", path.display()))
}
