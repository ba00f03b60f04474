//! Places requests on engines, by the load reports at hand or, if these arrive too seldom, by probing a few scouts
//! first. `cicada_lib::placement` decides which scouts are probed.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::placement;
use cicada_lib::placement::ProbeRound;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::stream_admission::AdmissionError;
use cicada_lib::stream_admission::AdmissionRequest;

use crate::placed_request::PlacedRequest;
use crate::relay::Relay;

/// Places a request. Only the probed engines whose scouts answered are candidates; if no scout answered, all probed
/// engines are, judged by the reports at hand.
pub(crate) async fn place(
    relay: &Arc<Relay>,
    id: Option<&Name>,
    request: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    admission: Option<&AdmissionRequest>,
) -> Result<PlacedRequest, AdmissionError> {
    let Some(id) = id.filter(|_| should_probe(relay, request)) else {
        return relay.place(request, spec, admission);
    };
    let mut tried = request.tried.to_vec();
    let mut rejection = None;
    for round in [ProbeRound::First, ProbeRound::Second] {
        let next = PlacementRequest {
            tried: &tried,
            ..request.clone()
        };
        let probed = probe_targets(relay, &next, spec, round);
        let answered = probe(relay, id, &next, &probed).await;
        let among = match answered.is_empty() {
            true => &probed,
            false => &answered,
        };
        let next = PlacementRequest {
            among: Some(among),
            tried: request.tried,
            ..request.clone()
        };
        match relay.place(&next, spec, admission) {
            Ok(placed) => return Ok(placed.with_probe_counts(probed.len(), answered.len())),
            Err(AdmissionError::Rejected(rejected)) => {
                rejection.get_or_insert(rejected);
            }
            Err(AdmissionError::NoServer(_)) => {}
        }
        // Scouts that did not answer stay eligible: one that has just started answers once it has polled its engine.
        tried.extend(answered);
    }
    match rejection {
        Some(rejected) => Err(AdmissionError::Rejected(rejected)),
        // All sampled engines are gone; others may still be there.
        None => relay.place(request, spec, admission),
    }
}

/// Places a request that waits for capacity. Probes only the scouts of the `targets`, in one round, since the request
/// is tried again.
pub(crate) async fn place_among(
    relay: &Arc<Relay>,
    id: Option<&Name>,
    request: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    admission: &AdmissionRequest,
    targets: &[ServerKey],
) -> Result<PlacedRequest, AdmissionError> {
    let Some(id) = id.filter(|_| should_probe(relay, request)) else {
        return relay.place(request, spec, Some(admission));
    };
    let answered = probe(relay, id, request, targets).await;
    let among = match answered.is_empty() {
        true => targets,
        false => &answered,
    };
    let near = PlacementRequest {
        among: Some(among),
        ..request.clone()
    };
    match relay.place(&near, spec, Some(admission)) {
        Ok(placed) => Ok(placed.with_probe_counts(targets.len(), answered.len())),
        // All of them are gone; others may still be there.
        Err(AdmissionError::NoServer(_)) => relay.place(request, spec, Some(admission)),
        rejected => rejected,
    }
}

/// Whether scouts are probed before the request is placed.
fn should_probe(relay: &Relay, request: &PlacementRequest<'_>) -> bool {
    let may_probe = relay.policy().ask && request.prompt > 0;
    let fleet = relay.fleet();
    may_probe && fleet.reports_too_sparse(relay.now(), request.service, request.regions)
}

/// Draws the servers whose scouts are probed.
fn probe_targets(
    relay: &Relay,
    request: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    round: ProbeRound,
) -> Vec<ServerKey> {
    let options = relay.fleet().candidates(relay.now(), request, spec);
    placement::probe_targets(round, &options, &mut fastrand::Rng::new())
}

/// Probes the scouts of the servers for their load, and returns the servers whose scouts answered in time.
async fn probe(
    relay: &Relay,
    id: &Name,
    request: &PlacementRequest<'_>,
    servers: &[ServerKey],
) -> Vec<ServerKey> {
    let (asks, max_round_trip) = load_probes(relay, id, request, servers);
    let answered = relay.load_probes().probe(asks, max_round_trip).await;
    relay
        .metrics()
        .count_load_probes(servers.len(), answered.len());
    let fleet = relay.fleet();
    let keys = answered.iter().filter_map(|engine| fleet.key_at(*engine));
    keys.collect()
}

/// Builds the probes to the scouts of the servers, and returns them with the longest round trip to one of them.
fn load_probes(
    relay: &Relay,
    id: &Name,
    request: &PlacementRequest<'_>,
    servers: &[ServerKey],
) -> (Vec<LoadProbe>, Duration) {
    let now = relay.now();
    let fleet = relay.fleet();
    let records = servers.iter().filter_map(|key| fleet.record(*key));
    let records: Vec<&ServerRecord> = records.collect();
    let round_trips = records.iter().map(|r| fleet.round_trip(now, &r.zone));
    let max_round_trip = round_trips.max().unwrap_or_default();
    let asks = records.iter().map(|record| LoadProbe {
        id: id.clone(),
        engine: record.address,
        prompt: request.prompt,
        tokens: request.tokens,
        probed_engines: records.len() as u32,
    });
    (asks.collect(), max_round_trip)
}
