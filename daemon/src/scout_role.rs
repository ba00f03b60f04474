//! The role of a scout: stands beside an engine and tells relays of it.

use std::sync::Arc;

use cicada_lib::daemon_settings::Settings;
use cicada_lib::peer_messages::EngineLocation;
use cicada_platform::HttpEngines;
use cicada_relay::Scout;
use eyre::Context;
use eyre::OptionExt;
use tokio::runtime::Runtime;

use crate::relay_role;
use crate::signals::Signals;

/// Runs until the process is told to end. A scout holds no request, so that it ends at once.
pub(crate) fn run(settings: &Settings, traffic: &Runtime, signals: Signals) -> eyre::Result<()> {
    traffic.block_on(serve(settings, signals))
}

async fn serve(settings: &Settings, mut signals: Signals) -> eyre::Result<()> {
    let peer = settings.address("process", "peer");
    let peer = peer.ok_or_eyre("[process] peer is missing")?;
    let engine = settings.address("backend", "address");
    let engine = engine.ok_or_eyre("[backend] address is missing")?;
    let here = EngineLocation {
        address: engine,
        service: settings.name("backend", "service"),
        zone: settings.name("process", "zone"),
    };
    let seeds = relay_role::seeds(settings, peer);
    let reuse_after = settings.seconds("backend", "reuse_after");
    let scout = Scout::bind(peer, here, seeds, Arc::new(HttpEngines::new())).await;
    let scout =
        scout.wrap_err_with(|| format!("{peer} (UDP) cannot be bound; see [process] peer"))?;
    let scout = scout.with_reuse_after(reuse_after);
    tracing::info!(name = settings.text("process", "name"), %engine, "process: scout started");
    tokio::spawn(scout.run());
    while !signals.next().await {
        tracing::info!("process: SIGHUP, nothing of a scout's settings can change");
    }
    tracing::info!("process: scout ends");
    Ok(())
}
