//! The end of an entry: it turns away first, and cuts off nothing.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::relay::Relay;

/// The balancer asks once a second, and takes an entry out after two refusals.
const NOTICE: Duration = Duration::from_millis(2_600);

/// When idle connections are closed, so that their callers come back through the balancer. What opens a
/// connection later is served on it once.
const CLOSING: Duration = Duration::from_millis(1_200);

/// How often the open requests are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// The end comes this much before the platform's force.
const MARGIN: Duration = Duration::from_millis(400);

/// The time for the answers of calls that came last.
const LAST_ANSWERS: Duration = Duration::from_millis(120);

/// For how long no request may have been open before the end.
const QUIET: Duration = Duration::from_millis(300);

/// Drains an entry; returns when it may end.
pub async fn drain(relay: &Arc<Relay>) {
    let begun = Instant::now();
    let end = begun + relay.grace().saturating_sub(MARGIN);
    relay.set_draining();
    tracing::info!("process: draining");
    sleep(CLOSING).await;
    relay.close_idle_connections();
    sleep(NOTICE - CLOSING).await;
    let mut quiet = Instant::now();
    while Instant::now() < end {
        if relay.open_requests() > 0 {
            quiet = Instant::now();
        } else if quiet.elapsed() >= QUIET {
            break;
        }
        sleep(LOOK).await;
    }
    // What is taken now could not be answered any more; a connection that is refused goes elsewhere.
    relay.stop_accepting();
    sleep(LAST_ANSWERS).await;
    let open = relay.open_requests();
    tracing::info!(
        open,
        waited = begun.elapsed().as_millis(),
        "process: drained"
    );
}
