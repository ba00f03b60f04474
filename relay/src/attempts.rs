//! Where one request has been sent, and whether it may be sent once more.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::retry_after::RejectionCause;
use cicada_lib::routing::ServerKey;
use cicada_lib::stream_admission::AdmissionError;
use cicada_lib::stream_admission::AdmissionRequest;

use crate::choice;
use crate::exchange::Call;
use crate::placed::Placed;
use crate::relay::Relay;
use crate::send::Unanswered;

/// Servers that are chosen for one request at most: each that cannot be reached costs its caller time.
const MOST_SERVERS: usize = 4;

/// Why a send did not bring what the caller asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Setback {
    /// No answer came.
    Unanswered(Unanswered),
    /// The server ran the request and failed by itself.
    Failed,
}

/// The sends of one request.
pub(crate) struct Attempts {
    // The part of the service's further sends that is left for others.
    spare: f64,
    // Servers that are not asked again.
    tried: Vec<ServerKey>,
    // Servers that ran the request and failed: asked again only where there is no other.
    failed: Vec<ServerKey>,
    chosen: usize,
    // Servers to which it was sent.
    sent: u32,
    ran: bool,
    refused: bool,
    // Why the last choice found no server.
    lacking: Option<NoServer>,
    // When one may be sent to a server that only its limit kept from the last choice.
    unlimited: Option<Duration>,
}

impl Attempts {
    /// None yet. Of the service's further sends the part `spare`, 0 to 1, is left for others.
    pub(crate) fn new(spare: f64) -> Self {
        Attempts {
            spare,
            tried: Vec::new(),
            failed: Vec::new(),
            chosen: 0,
            sent: 0,
            ran: false,
            refused: false,
            lacking: None,
            unlimited: None,
        }
    }

    /// Whether a server may have run the request.
    pub(crate) fn ran(&self) -> bool {
        self.ran
    }

    /// Whether a server stated that it turned the request away.
    pub(crate) fn refused(&self) -> bool {
        self.refused
    }

    /// Why there was no server for the request, where none was found and none has turned it away.
    pub(crate) fn lacking(&self) -> Option<NoServer> {
        self.lacking.filter(|_| !self.refused)
    }

    /// Why the caller is turned away, where servers are there that may not have the request.
    pub(crate) fn turned_away(&self) -> Option<RejectionCause> {
        let NoServer::Excluded(why) = self.lacking()? else {
            return None;
        };
        match why {
            Exclusion::Evacuated | Exclusion::Region => Some(RejectionCause::NotAllowed),
            Exclusion::Limited => self.unlimited.map(RejectionCause::Limited),
            Exclusion::Cold => None,
        }
    }

    /// Servers to which it was sent.
    pub(crate) fn sent(&self) -> u32 {
        self.sent
    }

    /// A place at the next server, for a request that is expected to hold `tokens` at its end, and that
    /// may be `asking` whether it is taken in.
    pub(crate) async fn place(
        &mut self,
        relay: &Arc<Relay>,
        call: &Call,
        tokens: u64,
        asking: Option<&AdmissionRequest>,
    ) -> Result<Placed, AdmissionError> {
        if self.chosen >= MOST_SERVERS || call.left().is_zero() {
            return Err(AdmissionError::NoServer(NoServer::None));
        }
        self.chosen += 1;
        let others: Vec<ServerKey> = self.tried.iter().chain(&self.failed).copied().collect();
        let regions = relay.table().regions_now(&call.admitted);
        let prompt = u64::from(call.head.prompt);
        let need = |tried| PlacementRequest {
            tried,
            regions: &regions,
            ..PlacementRequest::new(&call.service, prompt, tokens)
        };
        let id = call.head.id.as_ref();
        let placed = match choice::place(relay, id, &need(&others), &call.spec, asking).await {
            Err(AdmissionError::NoServer(_)) => {
                choice::place(relay, id, &need(&self.tried), &call.spec, asking).await
            }
            placed => placed,
        };
        if let Err(AdmissionError::NoServer(why)) = &placed {
            self.lacking = Some(*why);
            self.unlimited = relay.shortest_limit_wait(&need(&self.tried), &call.spec);
        }
        let placed = placed?;
        if tokens > 0 {
            relay.tell_sent(&placed, id);
        }
        Ok(placed)
    }

    /// Whether a request that may have run can be sent to one more server. Takes nothing.
    pub(crate) fn may_repeat(&self, call: &Call) -> bool {
        let more = self.sent + 1 < call.admitted.route.max_attempts && self.chosen < MOST_SERVERS;
        call.is_repeatable() && more
    }

    /// Takes in how a send ended; whether the request may be sent once more.
    pub(crate) fn goes_on(
        &mut self,
        relay: &Relay,
        call: &Call,
        server: ServerKey,
        setback: Setback,
    ) -> bool {
        match setback {
            Setback::Failed => self.failed.push(server),
            Setback::Unanswered(_) => self.tried.push(server),
        }
        match setback {
            Setback::Unanswered(Unanswered::Unreached) => return true,
            // The server that was meant has ended: it does not count as one that was sent to. But the
            // request has arrived at the service once more.
            Setback::Unanswered(Unanswered::Elsewhere) => return self.take_retry(relay, call),
            Setback::Unanswered(Unanswered::Refused) => self.refused = true,
            Setback::Unanswered(Unanswered::TimeOver) => {
                self.ran = true;
                return false;
            }
            Setback::Unanswered(Unanswered::Unknown | Unanswered::Silent) | Setback::Failed => {
                self.ran = true;
            }
        }
        self.sent += 1;
        let may = call.is_repeatable() || !self.ran;
        may && self.sent < call.admitted.route.max_attempts && self.take_retry(relay, call)
    }

    /// Takes one of the service's further sends.
    fn take_retry(&self, relay: &Relay, call: &Call) -> bool {
        let taken = relay.take_retry(&call.service, self.spare);
        let reason = match (taken, self.ran) {
            (false, _) => "over_bound",
            (true, true) => "failed",
            (true, false) => "refused",
        };
        relay.metrics().count_retry(reason);
        taken
    }
}
