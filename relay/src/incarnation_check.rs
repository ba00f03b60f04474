//! Asks an engine for its identifier before a relay that has just started sends it the first request.
//!
//! Load pattern: all processes and engines are killed together. Engines come back under other identifiers before the
//! directory's list has them, and scouts that have just started cannot tell. Requests to the former incarnations would be
//! turned away, and a relay that has just started has no retries yet to send them on.

use std::time::Duration;

use cicada_lib::time::Time;

use crate::exchange::Call;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;

/// Time from the start of the process for which the list of servers may have former incarnations: a server's entry lapses
/// within seconds.
const STALE_LIST_TIME: Duration = Duration::from_secs(5);

/// Timeout for the answer, to which three round trips are added. Without an answer the request is sent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

impl Relay {
    /// Asks the engine for its identifier, unless it is certain. Returns `false` if it is another incarnation than the
    /// one that was chosen, which nothing may be sent to.
    pub(crate) async fn confirm_incarnation(&self, call: &Call, placed: &PlacedRequest) -> bool {
        let up = self.now().since(Time::ZERO);
        let is_certain = up >= STALE_LIST_TIME || self.fleet().is_confirmed(placed.key);
        if call.spec.engine.is_none() || is_certain {
            return true;
        }
        let limit = ANSWER_TIMEOUT + placed.round_trip() * 3;
        let engine = placed.record.address;
        let health = self.engines().health(engine, &call.spec.health_path);
        let Ok(Ok(health)) = tokio::time::timeout(limit, health).await else {
            return true;
        };
        if health.id == placed.record.id {
            self.fleet().confirm(placed.key);
            return true;
        }
        placed.record_mismatch(&health.id);
        false
    }
}
