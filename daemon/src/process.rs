//! Puts a process together in its role.

use std::path::Path;
use std::sync::Arc;

use cicada_lib::daemon_settings::Program;
use cicada_lib::daemon_settings::Settings;
use cicada_lib::router::Router;
use cicada_lib::routing::RouterSettings;
use eyre::Context;
use eyre::OptionExt;
use tokio::runtime::Runtime;

use crate::agent;
use crate::agent::Agent;
use crate::callers::Callers;
use crate::common::Common;
use crate::control::Controller;
use crate::drain;
use crate::entry::Entry;
use crate::entry::Routing;
use crate::evidence::Evidence;
use crate::links::Links;
use crate::metrics::EntryMetrics;
use crate::metrics::Metrics;
use crate::metrics::OrderMetrics;
use crate::orders_controller::OrderTools;
use crate::orders_controller::OrdersController;
use crate::peer_server;
use crate::relay_role;
use crate::scout_role;
use crate::servers_controller::ServersController;
use crate::signals::Signals;
use crate::status::Process;

/// Receives signals from now on, and starts the threads for traffic.
pub(crate) fn start(settings: &Settings) -> eyre::Result<(Runtime, Signals)> {
    let signals = first_signals()?;
    let threads = settings.count("process", "threads") as usize;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("process: the runtime could not be started")?;
    Ok((traffic, signals))
}

/// Receives signals without waiting for the threads for traffic, which deliver them: a process may be stopped right after
/// its start.
fn first_signals() -> eyre::Result<Signals> {
    let first = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .wrap_err("process: signals cannot be received")?;
    let _entered = first.enter();
    Signals::new()
}

/// Runs until the process has drained or is stopped.
pub(crate) fn run(
    settings: Settings,
    file: &Path,
    traffic: &Runtime,
    signals: Signals,
) -> eyre::Result<()> {
    match settings.program() {
        Program::Entry => run_entry(settings, traffic, signals),
        Program::Agent => run_agent(settings, traffic, signals),
        Program::Relay => relay_role::run(settings, file, traffic, signals),
        Program::Scout => scout_role::run(&settings, traffic, signals),
    }
}

fn run_entry(settings: Settings, traffic: &Runtime, signals: Signals) -> eyre::Result<()> {
    let metrics = Metrics::new();
    let figures = EntryMetrics::new(&metrics);
    let open = figures.open().clone();
    let process = Process::new(settings, metrics.clone(), Box::new(move || open.get()));
    let process = Arc::new(process);
    let settings = process.settings();
    let common = Common::new(&process, &metrics, traffic)?;

    let router = RouterSettings::new(
        process.name().clone(),
        settings.name("process", "region"),
        settings.name("process", "zone"),
    );
    let evidence = Arc::new(Evidence::new(common.clock(), common.mark_spread(traffic)));
    let routing = Routing::new(common.clock(), Router::new(router), evidence.clone());
    let routing = Arc::new(routing);
    let links = Links::new(
        common.links().clone(),
        routing.clone(),
        evidence.clone(),
        traffic.handle().clone(),
    );
    let links = Arc::new(links);
    evidence.pass_on(&links);
    let key = common.links().key.clone();
    let entry = Entry::new(process.clone(), routing, links, figures, key);
    let entry = Arc::new(entry);
    let listener = traffic.block_on(common.listen())?;
    let identity = common.identity();
    let serving = peer_server::serve(listener, identity, process.clone(), evidence, None);
    traffic.spawn(serving);
    let servers = ServersController::new(entry.clone(), common.net().clone());
    common.start(Vec::new(), vec![Box::new(servers)])?;

    let listen = settings
        .address("entry", "listen")
        .ok_or_eyre("[entry] listen is missing")?;
    let threads = settings.count("process", "threads") as usize;
    Callers::new(entry).serve(listen, threads)?;
    tracing::info!(name = %process.name(), %listen, "process: entry started");
    traffic.block_on(drain::wait(signals, &process, &common, None))
}

fn run_agent(settings: Settings, traffic: &Runtime, signals: Signals) -> eyre::Result<()> {
    let metrics = Metrics::new();
    let (open, reader) = agent::open_count();
    let process = Arc::new(Process::new(settings, metrics.clone(), reader));
    let common = Common::new(&process, &metrics, traffic)?;
    let listener = traffic.block_on(common.listen())?;
    let platform = common.platform().clone();
    let identity = common.identity();
    let spread = common.mark_spread(traffic);
    let starting = Agent::start(
        &process, listener, identity, platform, spread, &metrics, open,
    );
    let agent = traffic.block_on(starting)?;
    let mut controllers: Vec<Box<dyn Controller>> = Vec::new();
    if let Some(engine) = agent::engine(process.settings()) {
        let tools = OrderTools {
            engine,
            platform: common.platform().clone(),
            net: common.net().clone(),
            clock: common.clock(),
            metrics: OrderMetrics::new(&metrics),
        };
        controllers.push(Box::new(OrdersController::new(process.clone(), tools)));
    }
    common.start(vec![agent.config_sink()], controllers)?;
    tracing::info!(name = %process.name(), "process: agent started");
    traffic.block_on(drain::wait(signals, &process, &common, Some(&agent)))
}
