//! Puts a process together in its role, and takes it to its end.

use std::path::Path;
use std::sync::Arc;

use cicada_lib::config_store::ConfigStore;
use cicada_lib::daemon_settings::Settings;
use cicada_lib::handshake::PeerKey;
use cicada_lib::platform::HostRole;
use cicada_lib::platform::Platform;
use cicada_lib::platform_http::HttpPlatform;
use cicada_lib::router::Router;
use cicada_lib::routing::RouterSettings;
use cicada_lib::time::Clock;
use eyre::Context;
use eyre::OptionExt;
use eyre::bail;
use tokio::runtime::Runtime;

use crate::agent;
use crate::agent::Agent;
use crate::agent_server::ServerIdentity;
use crate::callers::Callers;
use crate::config_controller::ConfigController;
use crate::config_controller::ConfigSink;
use crate::control;
use crate::control::Controller;
use crate::drain;
use crate::entry::Entry;
use crate::entry::Routing;
use crate::hosts_controller::HostsController;
use crate::hosts_controller::HostsWake;
use crate::link::LinkSettings;
use crate::links::Links;
use crate::metrics::EntryMetrics;
use crate::metrics::Metrics;
use crate::status;
use crate::status::Process;

/// The shortest key that processes may share, in bytes.
const SHORTEST_KEY: usize = 32;

/// Runs until the process has drained or is stopped.
pub(crate) fn run(settings: Settings) -> eyre::Result<()> {
    let threads = settings.count("process", "threads") as usize;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("process: the runtime could not be started")?;
    match settings.role() {
        HostRole::Entry => run_entry(settings, &traffic),
        HostRole::Agent => run_agent(settings, &traffic),
    }
}

fn run_entry(settings: Settings, traffic: &Runtime) -> eyre::Result<()> {
    let metrics = Metrics::new();
    let figures = EntryMetrics::new(&metrics);
    let open = figures.open().clone();
    let process = Process::new(settings, metrics, Box::new(move || open.get()));
    let process = Arc::new(process);
    let settings = process.settings();
    let key = peer_key(settings)?;
    let platform = platform(settings)?;

    let router = RouterSettings::new(
        process.name().clone(),
        settings.name("process", "region"),
        settings.name("process", "zone"),
    );
    let routing = Arc::new(Routing::new(Clock::new(), Router::new(router)));
    let link_settings = link_settings(settings, key.clone());
    let links = Links::new(link_settings, routing.clone(), traffic.handle().clone());
    let entry = Entry::new(process.clone(), routing, links, figures, key);
    let entry = Arc::new(entry);

    let wake = Arc::new(HostsWake::default());
    let hosts = HostsController::new(
        platform.clone(),
        entry.clone(),
        settings.millis("platform", "hosts_poll"),
        wake.clone(),
    );
    let controllers: Vec<Box<dyn Controller>> = vec![
        Box::new(config_controller(&process, platform, vec![wake])),
        Box::new(hosts),
    ];
    start_common(&process, controllers)?;
    let listen = settings
        .address("entry", "listen")
        .ok_or_eyre("[entry] listen is missing")?;
    let threads = settings.count("process", "threads") as usize;
    Callers::new(entry).serve(listen, threads)?;
    tracing::info!(name = %process.name(), %listen, "process: entry started");
    traffic.block_on(drain::wait(&process, None))
}

fn run_agent(settings: Settings, traffic: &Runtime) -> eyre::Result<()> {
    let metrics = Metrics::new();
    let (open, reader) = agent::open_count();
    let process = Arc::new(Process::new(settings, metrics.clone(), reader));
    let settings = process.settings();
    let identity = ServerIdentity {
        name: process.name().clone(),
        key: peer_key(settings)?,
        incarnation: process.incarnation(),
        silent: settings.millis("link", "silent"),
        connect_time: settings.millis("link", "connect_time"),
    };
    let platform = platform(settings)?;
    let starting = Agent::start(&process, identity, platform.clone(), &metrics, open);
    let agent = traffic.block_on(starting)?;
    let sinks = vec![agent.config_sink()];
    let controllers: Vec<Box<dyn Controller>> =
        vec![Box::new(config_controller(&process, platform, sinks))];
    start_common(&process, controllers)?;
    tracing::info!(name = %process.name(), "process: agent started");
    traffic.block_on(drain::wait(&process, Some(&agent)))
}

fn start_common(process: &Arc<Process>, controllers: Vec<Box<dyn Controller>>) -> eyre::Result<()> {
    let address = process
        .settings()
        .address("process", "status")
        .ok_or_eyre("[process] status is missing")?;
    control::start(controllers)?;
    status::serve(process.clone(), address)
}

fn config_controller(
    process: &Arc<Process>,
    platform: Arc<dyn Platform>,
    sinks: Vec<Arc<dyn ConfigSink>>,
) -> ConfigController {
    let wait = process.settings().millis("platform", "config_wait");
    ConfigController::new(process.clone(), ConfigStore::new(platform), wait, sinks)
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
