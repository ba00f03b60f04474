//! Chooses which engines to probe for their current load before a stream is placed.
//!
//! Load pattern: a hundred relays send streams to a hundred engines, and each engine's load report reaches
//! each relay once every few hundred milliseconds. Many streams start between two reports, and every relay
//! sends its own to the engine that looked least loaded: prompts queue there for a second and more while the
//! engines beside it are idle.
//!
//! So if reports are too infrequent, a relay probes the scouts of a few engines when it places a stream, at
//! the cost of one datagram round trip. The engines are drawn at random, so that relays that place streams at
//! the same moment probe different ones; if they picked by the stale reports, they would again all pick the
//! same engine. A small sample is enough: the best of five random engines is rarely busy unless nearly all
//! are, and each further probe costs two datagrams.
//!
//! Where a zone has a prefill group (see [`crate::migration::prefill_group`]), its members are drawn first.
//!
//! If all probed engines are overloaded, a second round probes others, including some in other regions. There
//! is no third round: during a burst, every refusal would turn into a search.

use std::time::Duration;

use crate::copy_type;
use crate::routing::ServerKey;

/// Reports at longer intervals are too stale to choose by: an engine prefills a prompt in a few hundred
/// milliseconds.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Engines probed in the first round: in the local availability zone, and in the other zones of the region.
const FIRST_ROUND_ZONE: usize = 3;
const FIRST_ROUND_REGION: usize = 2;

/// Engines probed in the second round: in the local region, and in other regions.
const SECOND_ROUND_NEAR: usize = 3;
const SECOND_ROUND_FAR: usize = 3;

copy_type! {
    /// Network distance of a server, as seen from this process.
    pub enum Locality {
        /// In the same availability zone.
        SameZone,
        /// In another availability zone of the same region.
        SameRegion,
        /// In another region.
        OtherRegion,
    }
}

copy_type! {
    /// Probe round of one placement decision.
    pub enum ProbeRound {
        /// Probes engines of the local region.
        First,
        /// Repeats the probe with other engines after all of the first round were overloaded.
        Second,
    }
}

/// A server that is eligible for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// How far away it is.
    pub locality: Locality,
    /// Whether it is probed before others: false outside the prefill group of its zone.
    pub is_preferred: bool,
}

/// Whether load reports at this interval are too stale to choose a server by.
pub fn reports_too_sparse(interval: Duration) -> bool {
    interval > MAX_REPORT_INTERVAL
}

/// Picks the servers to probe in a round. `options` must not contain servers that were probed before.
///
/// If the round's zones and regions have no server, any of the `options` are picked.
pub fn probe_targets(
    round: ProbeRound,
    options: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Vec<ServerKey> {
    let within = |locality: &[Locality]| -> Vec<Candidate> {
        let matching = options.iter().filter(|c| locality.contains(&c.locality));
        matching.copied().collect()
    };
    let near = [Locality::SameZone, Locality::SameRegion];
    let mut targets = match round {
        ProbeRound::First => sample(within(&[Locality::SameZone]), FIRST_ROUND_ZONE, rng),
        ProbeRound::Second => sample(within(&near), SECOND_ROUND_NEAR, rng),
    };
    targets.extend(match round {
        ProbeRound::First => sample(within(&[Locality::SameRegion]), FIRST_ROUND_REGION, rng),
        ProbeRound::Second => sample(within(&[Locality::OtherRegion]), SECOND_ROUND_FAR, rng),
    });
    match targets.is_empty() {
        true => sample(options.to_vec(), FIRST_ROUND_ZONE + FIRST_ROUND_REGION, rng),
        false => targets,
    }
}

/// Picks up to `count` servers at random, the preferred ones first.
fn sample(options: Vec<Candidate>, count: usize, rng: &mut fastrand::Rng) -> Vec<ServerKey> {
    let mut pick = |preferred: bool, count: usize| {
        let matching = options.iter().filter(|o| o.is_preferred == preferred);
        rng.choose_multiple(matching.map(|option| option.key), count)
    };
    let mut picked = pick(true, count);
    if picked.len() < count {
        picked.extend(pick(false, count - picked.len()));
    }
    picked
}
