//! Graceful shutdown of a relay: new callers are sent elsewhere first, and open requests run to their end.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::relay::Relay;

/// Time until the load balancer sends no more callers: it polls readiness once a second, and removes a relay after two
/// negative answers.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);

/// When idle connections are closed, so that their callers reconnect through the load balancer. A connection that is
/// opened later serves a single request.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_200);

/// How often the number of open requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long before the platform's forced stop the drain ends at the latest.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time to answer the last requests that arrived before the listener closed.
const LAST_RESPONSES_DELAY: Duration = Duration::from_millis(120);

/// How long no request must have been open before the drain ends.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Drains a relay, and returns when its process may exit.
pub async fn drain(relay: &Arc<Relay>) {
    let begun = Instant::now();
    let deadline = begun + relay.grace().saturating_sub(STOP_MARGIN);
    relay.set_draining();
    tracing::info!("process: draining");
    sleep(IDLE_CLOSE_DELAY).await;
    relay.close_idle_connections();
    sleep(DEREGISTRATION_DELAY - IDLE_CLOSE_DELAY).await;
    let mut quiet_since = Instant::now();
    while Instant::now() < deadline {
        if relay.open_requests() > 0 {
            quiet_since = Instant::now();
        } else if quiet_since.elapsed() >= QUIET_PERIOD {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    // Requests accepted from here on could not be answered in time. A caller whose connection is refused reconnects to
    // another relay.
    relay.stop_accepting();
    sleep(LAST_RESPONSES_DELAY).await;
    let open = relay.open_requests();
    tracing::info!(
        open,
        waited = begun.elapsed().as_millis(),
        "process: drained"
    );
}
