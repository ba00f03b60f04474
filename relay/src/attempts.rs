//! Tracks the sends of one request, and decides whether it may be retried.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::admission::capacity_search::CapacitySearch;
use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::retry_after::RejectionCause;
use cicada_lib::routing::ServerKey;
use cicada_lib::stream_admission::AdmissionError;
use cicada_lib::stream_admission::AdmissionRequest;
use cicada_lib::stream_admission::Bottleneck;
use cicada_lib::stream_admission::Rejection;

use crate::choice;
use crate::exchange::Call;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::retries::RetryCause;
use crate::send::NoAnswer;
use crate::wait_queues::Try;

/// Maximum number of servers chosen for one request, since each unreachable one costs the caller time.
const MAX_SERVERS_CHOSEN: usize = 4;

/// Why a send failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// The server refused the request or gave no answer.
    NoAnswer(NoAnswer),
    /// The server ran the request and answered with a failure.
    ServerFailed,
}

/// The sends of one request.
pub(crate) struct Attempts {
    // Servers that refused the request or gave no answer; never chosen again.
    tried: Vec<ServerKey>,
    // Servers that ran the request and failed; chosen again only if there is no other.
    failed: Vec<ServerKey>,
    servers_chosen: usize,
    // Sends that count towards the route's maximum number of attempts.
    sends: u32,
    // Whether a server may have run the request.
    may_have_run: bool,
    // Whether a server stated that it did not run the request.
    refused: bool,
    // Why the last choice found no server.
    no_server_reason: Option<NoServer>,
    // Why the last choice excluded the server that may be sent to first, and how long until then, if that is known.
    exclusion_wait: Option<(Exclusion, Duration)>,
}

fn placement_request<'a>(
    relay: &Relay,
    call: &'a Call,
    tokens: u64,
    regions: &'a AllowedRegions,
    tried: &'a [ServerKey],
) -> PlacementRequest<'a> {
    let table = relay.table();
    PlacementRequest {
        tried,
        regions,
        rank: table.count_higher_priorities(&call.service, &call.admitted.route),
        ..PlacementRequest::new(&call.service, u64::from(call.head.prompt), tokens)
    }
}

impl Attempts {
    /// Creates a record without sends.
    pub(crate) fn new() -> Self {
        Attempts {
            tried: Vec::new(),
            failed: Vec::new(),
            servers_chosen: 0,
            sends: 0,
            may_have_run: false,
            refused: false,
            no_server_reason: None,
            exclusion_wait: None,
        }
    }

    /// Whether a server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether a server stated that it did not run the request.
    pub(crate) fn refused(&self) -> bool {
        self.refused
    }

    /// Why no server was found, unless a server refused the request.
    pub(crate) fn no_server_reason(&self) -> Option<NoServer> {
        self.no_server_reason.filter(|_| !self.refused)
    }

    /// Why the request is rejected, if servers exist but none of them is permitted to take it.
    pub(crate) fn rejection_cause(&self) -> Option<RejectionCause> {
        let NoServer::Excluded(why) = self.no_server_reason()? else {
            return None;
        };
        match why {
            Exclusion::Evacuated | Exclusion::Region => Some(RejectionCause::NotAllowed),
            Exclusion::Cold | Exclusion::Full => None,
            Exclusion::Limited | Exclusion::Resting => {
                self.exclusion_wait.map(|(why, wait)| match why {
                    Exclusion::Resting => RejectionCause::Resting(wait),
                    _ => RejectionCause::Limited(wait),
                })
            }
        }
    }

    /// Number of sends that count towards the route's maximum number of attempts.
    pub(crate) fn sends(&self) -> u32 {
        self.sends
    }

    /// Chooses the next server for a request that is expected to hold `tokens` when it ends. `admission` is given if
    /// the request is subject to admission control.
    pub(crate) async fn place(
        &mut self,
        relay: &Arc<Relay>,
        call: &Call,
        tokens: u64,
        admission: Option<&AdmissionRequest>,
    ) -> Result<PlacedRequest, AdmissionError> {
        if self.servers_chosen >= MAX_SERVERS_CHOSEN || call.time_left().is_zero() {
            return Err(AdmissionError::NoServer(NoServer::None));
        }
        self.servers_chosen += 1;
        let avoided: Vec<ServerKey> = self.tried.iter().chain(&self.failed).copied().collect();
        let tried = self.tried.clone();
        let regions = relay.table().regions_now(&call.admitted);
        let request = |tried| placement_request(relay, call, tokens, &regions, tried);
        let id = call.head.id.as_ref();
        let result = match choice::place(relay, id, &request(&avoided), &call.spec, admission).await
        {
            Err(AdmissionError::NoServer(_)) => {
                choice::place(relay, id, &request(&tried), &call.spec, admission).await
            }
            result => result,
        };
        self.record_choice(relay, call, &request(&tried), result)
    }

    /// Looks for a server for a request that waits for capacity, at its `turn`. Returns `None` without probing scouts if
    /// no report shows capacity and none are to be probed.
    pub(crate) async fn place_waiting(
        &mut self,
        relay: &Arc<Relay>,
        call: &Call,
        tokens: u64,
        admission: &AdmissionRequest,
        turn: &Try,
    ) -> Option<Result<PlacedRequest, AdmissionError>> {
        let regions = relay.table().regions_now(&call.admitted);
        let tried = self.tried.clone();
        let request = placement_request(relay, call, tokens, &regions, &tried);
        let now = relay.now();
        let search = CapacitySearch::new(&relay.fleet(), now, &request, &call.spec, admission);
        if !search.has_room() && !search.is_empty() && !turn.must_probe {
            return None;
        }
        let targets = search.probe_targets(&turn.freed, &mut fastrand::Rng::new());
        let id = call.head.id.as_ref();
        let result =
            choice::place_among(relay, id, &request, &call.spec, admission, &targets).await;
        Some(self.record_choice(relay, call, &request, result))
    }

    /// The load that the request would meet at the server that would serve it best; `None` if no server is eligible.
    pub(crate) fn outlook(&self, relay: &Relay, call: &Call, tokens: u64) -> Option<Rejection> {
        let regions = relay.table().regions_now(&call.admitted);
        let request = placement_request(relay, call, tokens, &regions, &self.tried);
        let now = relay.now();
        let fleet = relay.fleet();
        let server = fleet.choose(now, &request, &call.spec).ok()?;
        let expected_load = fleet.expected_load(now, server, &request, &call.spec);
        Some(Rejection {
            bottleneck: Bottleneck::Queue,
            server,
            expected_load,
        })
    }

    fn record_choice(
        &mut self,
        relay: &Arc<Relay>,
        call: &Call,
        request: &PlacementRequest<'_>,
        result: Result<PlacedRequest, AdmissionError>,
    ) -> Result<PlacedRequest, AdmissionError> {
        if let Err(AdmissionError::NoServer(why)) = &result {
            self.no_server_reason = Some(*why);
            let now = relay.now();
            let mut fleet = relay.fleet();
            self.exclusion_wait = fleet.exclusion_wait(now, request, &call.spec);
            if *why == NoServer::Excluded(Exclusion::Limited) {
                fleet.record_limit_rejection(now, &call.service);
            }
        }
        let placed = result?;
        if request.tokens > 0 {
            relay.announce_sent(&placed, call.head.id.as_ref());
        }
        Ok(placed)
    }

    /// Whether a request that may have run can be sent to one more server. Takes no retry from the service's limit.
    pub(crate) fn may_retry(&self, call: &Call) -> bool {
        let attempts_left = self.sends + 1 < call.admitted.route.max_attempts
            && self.servers_chosen < MAX_SERVERS_CHOSEN;
        call.is_repeatable() && attempts_left
    }

    /// Records a failed send and returns whether the request may be sent again. Unless the server was unreachable, that
    /// takes a retry, which the service's retry limit must allow.
    pub(crate) fn retry_after_failure(
        &mut self,
        relay: &Relay,
        call: &Call,
        server: ServerKey,
        failure: SendFailure,
    ) -> bool {
        match failure {
            SendFailure::ServerFailed => self.failed.push(server),
            SendFailure::NoAnswer(_) => self.tried.push(server),
        }
        match failure {
            SendFailure::NoAnswer(
                NoAnswer::Unreached | NoAnswer::Withdrawn | NoAnswer::Suspect,
            ) => return true,
            // The intended server is gone, so this send does not count as an attempt. The next one still takes a retry,
            // since it is one more arrival at the service.
            SendFailure::NoAnswer(NoAnswer::Elsewhere) => return self.try_retry(relay, call),
            SendFailure::NoAnswer(NoAnswer::Refused) => self.refused = true,
            SendFailure::NoAnswer(NoAnswer::TimeOver | NoAnswer::TooLarge) => {
                self.may_have_run = true;
                return false;
            }
            SendFailure::NoAnswer(NoAnswer::Unknown | NoAnswer::Crashed | NoAnswer::Silent)
            | SendFailure::ServerFailed => {
                self.may_have_run = true;
            }
        }
        self.sends += 1;
        let repeatable = call.is_repeatable() || !self.may_have_run;
        repeatable && self.sends < call.admitted.route.max_attempts && self.try_retry(relay, call)
    }

    /// Takes one retry if the service's limit allows it.
    fn try_retry(&self, relay: &Relay, call: &Call) -> bool {
        let cause = match self.may_have_run {
            true => RetryCause::Failed,
            false => RetryCause::Refused,
        };
        relay.try_retry(call, cause)
    }
}
