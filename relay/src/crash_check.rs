//! Tells a backend server's crash from a connection that was lost for another reason.
//!
//! Resets, lost answers and network partitions break connections too. What proves a crash is that nothing listens at the
//! server's port any more.

use crate::exchange::Call;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::send::NoAnswer;
use crate::upstream;
use crate::upstream::PortState;

/// Decides what the loss of the connection under a request means, and records a crash as evidence against the request.
/// Takes a round trip to the server.
pub(crate) async fn handle_loss(relay: &Relay, call: &Call, placed: &PlacedRequest) -> NoAnswer {
    let loss = classify_loss(relay, call, placed).await;
    if loss == NoAnswer::Crashed {
        relay.record_crash(call, placed);
    }
    loss
}

/// Decides the same where no answer had begun. If nothing shows a crash, the loss is evidence too: a server that has begun to
/// answer lives, one that has not may be gone behind a port that another process holds.
pub(crate) async fn handle_unanswered(
    relay: &Relay,
    call: &Call,
    placed: &PlacedRequest,
) -> NoAnswer {
    let loss = handle_loss(relay, call, placed).await;
    if loss != NoAnswer::Crashed {
        relay.record_loss(call, placed);
    }
    loss
}

/// Decides what the loss of the connection under a request means. Takes a round trip to the server.
pub(crate) async fn classify_loss(relay: &Relay, call: &Call, placed: &PlacedRequest) -> NoAnswer {
    let port = upstream::port_state(placed.record.address, placed.round_trip()).await;
    relay.metrics().count_loss(port.as_str());
    tracing::info!(
        id = call.id(),
        fingerprint = %call.content(),
        service = %call.service,
        server = %placed.record.id,
        port = port.as_str(),
        waited = call.arrived.elapsed().as_millis() as u64,
        "send: the connection was lost under the request"
    );
    match port {
        PortState::Refuses => NoAnswer::Crashed,
        PortState::Accepts | PortState::Silent => NoAnswer::Unknown,
    }
}
