//! The role of a relay: puts the parts together, and obeys signals.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use cicada_lib::crash_mark::CrashId;
use cicada_lib::daemon_settings::Settings;
use cicada_lib::fleet::Location;
use cicada_lib::ids::Name;
use cicada_lib::rejections::Rejections;
use cicada_lib::retry_share::RetryLimit;
use cicada_lib::suspects::Suspicion;
use cicada_platform::HttpEngines;
use cicada_platform::PlatformDialect;
use cicada_platform::StoreDirectory;
use cicada_relay::DirectoryWatcher;
use cicada_relay::LeavingServer;
use cicada_relay::Policy;
use cicada_relay::Relay;
use cicada_relay::RelayMetrics;
use cicada_relay::RelaySettings;
use cicada_relay::ReloadableSettings;
use cicada_relay::Restrictions;
use eyre::Context;
use eyre::OptionExt;
use serde::Serialize;
use tokio::runtime::Runtime;

use crate::metrics::Metrics;
use crate::reload;
use crate::reload::Look;
use crate::reload::Reload;
use crate::signals::Signals;
use crate::status;
use crate::status::ProcessState;
use crate::status::StatusSource;

const MEGABYTE: usize = 1024 * 1024;

/// Runs until the process has drained.
pub(crate) fn run(
    settings: Settings,
    file: &Path,
    traffic: &Runtime,
    signals: Signals,
) -> eyre::Result<()> {
    let metrics = Metrics::new();
    let relay_metrics = RelayMetrics::new(metrics.registry())?;
    let rejections = Arc::new(Rejections::new());
    let relay = Relay::new(
        relay_settings(&settings)?,
        Arc::new(PlatformDialect::new().with_rejections(rejections.clone())),
        Arc::new(HttpEngines::new().with_rejections(rejections.clone())),
        relay_metrics.clone(),
    );
    let directory = settings
        .address("platform", "address")
        .ok_or_eyre("[platform] address is missing")?;
    let directory = StoreDirectory::new(directory).with_rejections(rejections.clone());
    let directory = Arc::new(directory);
    start_control(DirectoryWatcher::new(relay.clone(), directory))?;
    let status = settings
        .address("process", "status")
        .ok_or_eyre("[process] status is missing")?;
    let source = RelayStatus {
        relay: relay.clone(),
        metrics,
        relay_metrics,
        rejections,
        settings: settings.clone(),
    };
    status::serve(Arc::new(source), status)?;
    traffic.block_on(serve(&settings, file, &relay, signals))
}

async fn serve(
    settings: &Settings,
    file: &Path,
    relay: &Arc<Relay>,
    mut signals: Signals,
) -> eyre::Result<()> {
    relay
        .serve()
        .await
        .wrap_err("an address cannot be listened on; see [relay] listen and ready")?;
    tracing::info!(
        name = settings.text("process", "name"),
        first_start = settings.text("platform", "first_start"),
        "process: relay started"
    );
    let mut reload = Reload::new(file, settings.clone());
    let mut looks = tokio::time::interval(reload::LOOK);
    loop {
        tokio::select! {
            must_stop = signals.next() => {
                if must_stop {
                    break;
                }
                reload.look(true, |new| apply_reloaded(relay, new));
            }
            _ = looks.tick() => {
                let look = reload.look(false, |new| apply_reloaded(relay, new));
                if look == Look::Again {
                    looks.reset_after(reload::SETTLE);
                }
            }
        }
    }
    cicada_relay::drain(relay).await;
    Ok(())
}

fn apply_reloaded(relay: &Relay, settings: &Settings) {
    relay.apply_reloaded(reloadable_settings(settings));
    relay.clear_suspects(&settings.fingerprints("relay", "cleared"));
}

/// One thread for what is known of the deployment, beside those of the traffic.
fn start_control(directory_watcher: DirectoryWatcher) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("process: the control runtime could not be started")?;
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || runtime.block_on(directory_watcher.run()))
        .wrap_err("process: the control thread could not be started")?;
    Ok(())
}

fn relay_settings(settings: &Settings) -> eyre::Result<RelaySettings> {
    let address = |key| {
        let address = settings.address("relay", key);
        address.ok_or_else(|| eyre::eyre!("[relay] {key} is missing"))
    };
    let peer = settings.address("process", "peer");
    let peer = peer.ok_or_eyre("[process] peer is missing")?;
    Ok(RelaySettings {
        peer,
        seeds: seeds(settings, peer),
        name: settings.name("process", "name"),
        listen: address("listen")?,
        ready: address("ready")?,
        place: Location {
            zone: settings.name("process", "zone"),
            regions: settings.pairs("relay", "zones").into_iter().collect(),
        },
        first_start: settings.text("platform", "first_start") == "true",
        config_apply: settings.millis("relay", "config_apply"),
        drain_apply: settings.millis("relay", "drain_apply"),
        memory: settings.count("process", "memory") as usize * MEGABYTE,
        reloadable: reloadable_settings(settings),
    })
}

/// The settings that take effect while a relay runs.
fn reloadable_settings(settings: &Settings) -> ReloadableSettings {
    ReloadableSettings {
        retry_limit: RetryLimit {
            ratio: settings.number("relay", "retry_ratio"),
            slack: settings.number("relay", "retry_slack"),
            window: settings.seconds("relay", "retry_window"),
        },
        grace: settings.seconds("relay", "grace"),
        policy: policy(settings),
    }
}

fn policy(settings: &Settings) -> Policy {
    let on = |key| settings.text("relay", key) == "on";
    Policy {
        refuse: on("refuse"),
        returns: on("returns"),
        resume: on("resume"),
        patience: on("patience"),
        avoid: on("avoid"),
        shares: on("shares"),
        ask: on("ask"),
        handoff: on("handoff"),
        rescue: on("rescue"),
        wait: on("wait"),
        lend: on("lend"),
    }
}

/// Where processes of the system take datagrams on the hosts that the setting `seeds` names: at the same port as
/// here, whatever port the seeds name.
pub(crate) fn seeds(settings: &Settings, peer: SocketAddr) -> Vec<SocketAddr> {
    let seeds = settings.addresses("platform", "seeds").into_iter();
    seeds
        .map(|seed| SocketAddr::new(seed.ip(), peer.port()))
        .collect()
}

/// What the status pages show of a relay.
struct RelayStatus {
    relay: Arc<Relay>,
    metrics: Metrics,
    relay_metrics: RelayMetrics,
    rejections: Arc<Rejections>,
    settings: Settings,
}

#[derive(Serialize)]
struct RelayPage<'a> {
    name: &'a str,
    role: &'a str,
    region: &'a str,
    zone: &'a str,
    state: ProcessState,
    version: u64,
    // Evacuated availability zones.
    evacuated: Vec<Name>,
    // Routes and workspaces with allowed regions.
    restricted: usize,
    // Cold servers of services that bound what these get.
    cold: usize,
    // Servers that name a limit.
    limited: usize,
    // Servers that are leaving.
    leaving: Vec<LeavingEntry>,
    // Servers that asked this relay for rest.
    resting: Vec<RestingEntry>,
    // Requests that may be poison; the refused ones first.
    suspects: Vec<SuspectEntry>,
    // Other processes whose messages cannot be read, as they run another version.
    unreadable: Vec<SocketAddr>,
    // Tasks that panic again and again.
    failing_tasks: Vec<&'static str>,
}

/// A request that may be poison.
#[derive(Serialize)]
struct SuspectEntry {
    fingerprint: String,
    verdict: &'static str,
    // The crashes that count against it.
    crashes: Vec<String>,
    // Since the latest of them.
    age_ms: u64,
}

impl From<Suspicion> for SuspectEntry {
    fn from(suspicion: Suspicion) -> Self {
        SuspectEntry {
            fingerprint: suspicion.fingerprint.to_string(),
            verdict: suspicion.verdict.as_str(),
            crashes: suspicion.crashes.iter().map(CrashId::to_string).collect(),
            age_ms: suspicion.age.as_millis() as u64,
        }
    }
}

/// A server that rests, for so many more milliseconds.
#[derive(Serialize)]
struct RestingEntry {
    server: Name,
    left_ms: u64,
}

/// A server that is leaving: who told so, and how many milliseconds ago.
#[derive(Serialize)]
struct LeavingEntry {
    server: Name,
    source: &'static str,
    age_ms: u64,
}

impl From<LeavingServer> for LeavingEntry {
    fn from(leaving: LeavingServer) -> Self {
        LeavingEntry {
            server: leaving.server,
            source: leaving.source,
            age_ms: leaving.age.as_millis() as u64,
        }
    }
}

impl StatusSource for RelayStatus {
    fn state(&self) -> ProcessState {
        match (self.relay.is_ready(), self.relay.version()) {
            (true, _) => ProcessState::Ready,
            _ if !self.relay.failing_tasks().is_empty() => ProcessState::Failing,
            (false, 0) => ProcessState::Starting,
            (false, _) => ProcessState::Draining,
        }
    }

    fn page(&self) -> Vec<u8> {
        let Restrictions {
            evacuated,
            restricted,
            cold,
            limited,
            leaving,
            resting,
            suspects,
        } = self.relay.restrictions();
        let page = RelayPage {
            name: self.settings.text("process", "name"),
            role: self.settings.text("process", "role"),
            region: self.settings.text("process", "region"),
            zone: self.settings.text("process", "zone"),
            state: self.state(),
            version: self.relay.version(),
            evacuated,
            restricted,
            cold,
            limited,
            leaving: leaving.into_iter().map(LeavingEntry::from).collect(),
            resting: resting
                .into_iter()
                .map(|(server, left)| RestingEntry {
                    server,
                    left_ms: left.as_millis() as u64,
                })
                .collect(),
            suspects: suspects.into_iter().map(SuspectEntry::from).collect(),
            unreadable: self.relay.unreadable_senders(),
            failing_tasks: self.relay.failing_tasks(),
        };
        serde_json::to_vec(&page).unwrap_or_default()
    }

    fn figures(&self) -> Vec<u8> {
        self.relay.update_gauges();
        self.relay_metrics.set_rejections(&self.rejections);
        self.metrics.render()
    }
}
