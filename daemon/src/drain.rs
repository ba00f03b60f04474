//! The end of a process: signals, and waiting for what is in flight.

use std::sync::Arc;
use std::time::Duration;

use crate::agent::Agent;
use crate::common::Common;
use crate::signals::Signals;
use crate::status::Process;

/// How often the requests in flight are counted while draining.
const LOOK: Duration = Duration::from_millis(50);

/// Looks in a row without a request before the process ends: the last bytes of an answer may still
/// be on their way to the kernel.
const QUIET_LOOKS: u32 = 6;

/// Waits for a signal, drains, and returns when nothing is in flight or a second signal comes.
pub(crate) async fn wait(
    mut signals: Signals,
    process: &Arc<Process>,
    common: &Common,
    agent: Option<&Agent>,
) -> eyre::Result<()> {
    signals.stop().await;
    tracing::info!(in_flight = process.in_flight(), "drain: begun");
    // Readiness fails first. New callers are still served during the notice, for the balancer needs
    // a moment to turn away; an agent says at once that it takes no new work.
    process.drain();
    common.say_draining();
    if let Some(agent) = agent {
        agent.drain().await;
    }
    let (notice, limit) = process.drain_times();
    tokio::select! {
        () = finish(process, notice) => tracing::info!("drain: done, nothing was cut"),
        () = signals.stop() => cut(process, "a second signal"),
        () = tokio::time::sleep(notice + limit) => cut(process, "[drain] limit"),
    }
    common.say_leaving().await;
    Ok(())
}

async fn finish(process: &Process, notice: Duration) {
    tokio::time::sleep(notice).await;
    let mut quiet = 0;
    while quiet < QUIET_LOOKS {
        quiet = if process.in_flight() == 0 {
            quiet + 1
        } else {
            0
        };
        tokio::time::sleep(LOOK).await;
    }
}

fn cut(process: &Process, why: &str) {
    let in_flight = process.in_flight();
    tracing::warn!(
        in_flight,
        why,
        "drain: stopped by force, these requests are cut off"
    );
}
