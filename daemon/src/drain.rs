//! The end of a process: signals, and waiting for what is in flight.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::drain_admission::ANSWER_MARGIN;
use tokio::time::sleep;
use tokio::time::timeout;

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
    // An agent's requests are answered by their entries.
    let margin = match agent {
        Some(_) => Duration::ZERO,
        None => ANSWER_MARGIN,
    };
    tokio::select! {
        () = finish(process, notice) => tracing::info!("drain: done, nothing was cut"),
        () = signals.stop() => cut(process, margin, "a second signal").await,
        () = sleep((notice + limit).saturating_sub(margin)) => cut(process, margin, "[drain] limit").await,
    }
    common.say_leaving().await;
    Ok(())
}

async fn finish(process: &Process, notice: Duration) {
    sleep(notice).await;
    quiet(process).await;
}

/// Waits until no request has been in flight for a while.
async fn quiet(process: &Process) {
    let mut quiet = 0;
    while quiet < QUIET_LOOKS {
        quiet = if process.in_flight() == 0 {
            quiet + 1
        } else {
            0
        };
        sleep(LOOK).await;
    }
}

/// Has requests without an answer get one within the margin. Streams that have begun run on until then.
async fn cut(process: &Process, margin: Duration, why: &str) {
    process.end_requests();
    drop(timeout(margin, quiet(process)).await);
    let in_flight = process.in_flight();
    tracing::warn!(
        in_flight,
        why,
        "drain: stopped by force, these requests are cut off"
    );
}
