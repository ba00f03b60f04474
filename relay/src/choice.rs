//! The engine of a stream: chosen by the reports that are there or, where these come too seldom, after asking
//! a few scouts. Which ones is decided by `cicada_lib::placement`.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_words::LoadAsk;
use cicada_lib::placement;
use cicada_lib::placement::ProbeRound;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::stream_admission::AdmissionError;
use cicada_lib::stream_admission::AdmissionRequest;

use crate::placed::Placed;
use crate::relay::Relay;

/// Places a request. Of the engines that were asked only those are judged whose scouts answered; where none
/// did, all of them by the reports that are there.
pub(crate) async fn place(
    relay: &Arc<Relay>,
    id: Option<&Name>,
    need: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    asking: Option<&AdmissionRequest>,
) -> Result<Placed, AdmissionError> {
    let Some(id) = id.filter(|_| probes_for(relay, need)) else {
        return relay.place(need, spec, asking);
    };
    let mut tried = need.tried.to_vec();
    let mut turned = None;
    for round in [ProbeRound::First, ProbeRound::Second] {
        let next = PlacementRequest {
            tried: &tried,
            ..need.clone()
        };
        let asked = targets(relay, &next, spec, round);
        let answered = ask(relay, id, &next, &asked).await;
        let among = match answered.is_empty() {
            true => &asked,
            false => &answered,
        };
        let next = PlacementRequest {
            among: Some(among),
            tried: need.tried,
            ..need.clone()
        };
        match relay.place(&next, spec, asking) {
            Ok(placed) => return Ok(placed.with_asked(asked.len(), answered.len())),
            Err(AdmissionError::Rejected(crowded)) => {
                turned.get_or_insert(crowded);
            }
            Err(AdmissionError::NoServer(_)) => {}
        }
        // A scout that has just begun has not looked at its engine yet, and answers the next time.
        tried.extend(answered);
    }
    match turned {
        Some(crowded) => Err(AdmissionError::Rejected(crowded)),
        // Those that were sampled have all left; the others are still there.
        None => relay.place(need, spec, asking),
    }
}

/// Whether scouts are asked before a request is placed.
fn probes_for(relay: &Relay, need: &PlacementRequest<'_>) -> bool {
    let may = relay.policy().ask && need.prompt > 0;
    let fleet = relay.fleet();
    may && fleet.reports_too_sparse(relay.now(), need.service, need.regions)
}

/// The servers whose scouts are asked.
fn targets(
    relay: &Relay,
    need: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    round: ProbeRound,
) -> Vec<ServerKey> {
    let options = relay.fleet().candidates(relay.now(), need, spec);
    placement::probe_targets(round, &options, &mut fastrand::Rng::new())
}

/// Asks the scouts of the servers what a request would meet; the servers whose scouts have answered.
async fn ask(
    relay: &Relay,
    id: &Name,
    need: &PlacementRequest<'_>,
    servers: &[ServerKey],
) -> Vec<ServerKey> {
    let (asks, trip) = questions(relay, id, need, servers);
    let answered = relay.load_probes().probe(asks, trip).await;
    relay
        .metrics()
        .count_load_probes(servers.len(), answered.len());
    let fleet = relay.fleet();
    let keys = answered.iter().filter_map(|engine| fleet.key_at(*engine));
    keys.collect()
}

/// The questions to the scouts of the servers, and the longest round trip to one of them.
fn questions(
    relay: &Relay,
    id: &Name,
    need: &PlacementRequest<'_>,
    servers: &[ServerKey],
) -> (Vec<LoadAsk>, Duration) {
    let now = relay.now();
    let fleet = relay.fleet();
    let records = servers.iter().filter_map(|key| fleet.record(*key));
    let records: Vec<&ServerRecord> = records.collect();
    let trips = records.iter().map(|r| fleet.round_trip(now, &r.zone));
    let trip = trips.max().unwrap_or_default();
    let asks = records.iter().map(|record| LoadAsk {
        id: id.clone(),
        engine: record.address,
        prompt: need.prompt,
        tokens: need.tokens,
        asked: records.len() as u32,
    });
    (asks.collect(), trip)
}
