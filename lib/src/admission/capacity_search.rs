//! Chooses which engines to probe for a request that waits for capacity.
//!
//! Load pattern: nearly all engines are full, and the few with capacity change several times a second. Five engines drawn
//! at random from the nearest zones, as for other requests (see [`crate::placement`]), rarely include one of them, and
//! another region may have capacity while the local one has none. Reports are too old to choose the engine by them, but
//! they tell where to look.
//!
//! So engines whose latest report shows capacity are drawn first, in all zones of the region, or else in other regions.
//! The draw among them stays random, so that relays with waiting requests do not all select the same engine.

use crate::fleet::Fleet;
use crate::fleet::PlacementRequest;
use crate::placement::Candidate;
use crate::placement::Locality;
use crate::routing::ServerKey;
use crate::site::ServiceSpec;
use crate::stream_admission;
use crate::stream_admission::AdmissionRequest;
use crate::time::Time;

/// Engines probed at a time: as many as in the first round for other requests.
const PROBED: usize = 5;

/// Where a waiting request may find capacity.
#[derive(Clone, Debug, Default)]
pub struct CapacitySearch {
    /// The engines that are eligible.
    eligible: Vec<Candidate>,
    /// Those of them whose latest report shows capacity.
    roomy: Vec<Candidate>,
}

impl CapacitySearch {
    /// Looks through the reports at hand. O(n) in the engines.
    pub fn new(
        fleet: &Fleet,
        now: Time,
        need: &PlacementRequest<'_>,
        spec: &ServiceSpec,
        request: &AdmissionRequest,
    ) -> Self {
        let eligible = fleet.candidates(now, need, spec);
        let has_room = |candidate: &&Candidate| {
            let expected_load = fleet.expected_load(now, candidate.key, need, spec);
            stream_admission::check(request, &expected_load).is_ok()
        };
        let roomy = eligible.iter().filter(has_room).copied().collect();
        CapacitySearch { eligible, roomy }
    }

    /// Whether the latest report of an engine shows capacity.
    pub fn has_room(&self) -> bool {
        !self.roomy.is_empty()
    }

    /// Whether no engine is eligible.
    pub fn is_empty(&self) -> bool {
        self.eligible.is_empty()
    }

    /// Draws the engines to probe: those of `freed` that are eligible, where a run of this entry has just ended, and
    /// others at random.
    pub fn probe_targets(&self, freed: &[ServerKey], rng: &mut fastrand::Rng) -> Vec<ServerKey> {
        let eligible = |key: &&ServerKey| self.eligible.iter().any(|c| c.key == **key);
        let mut targets: Vec<ServerKey> = freed.iter().filter(eligible).copied().collect();
        let others = self.draw(rng);
        let others = others.into_iter().filter(|key| !freed.contains(key));
        targets.extend(others);
        targets.truncate(PROBED);
        targets
    }

    fn draw(&self, rng: &mut fastrand::Rng) -> Vec<ServerKey> {
        let drawn = sample(&self.roomy, is_near, PROBED, rng);
        let drawn = match drawn.is_empty() {
            true => sample(&self.roomy, |_| true, PROBED, rng),
            false => drawn,
        };
        let drawn = match drawn.is_empty() {
            true => sample(&self.eligible, is_near, PROBED, rng),
            false => drawn,
        };
        match drawn.is_empty() {
            true => sample(&self.eligible, |_| true, PROBED, rng),
            false => drawn,
        }
    }
}

fn is_near(candidate: &Candidate) -> bool {
    candidate.locality != Locality::OtherRegion
}

fn sample(
    candidates: &[Candidate],
    filter: impl Fn(&Candidate) -> bool,
    count: usize,
    rng: &mut fastrand::Rng,
) -> Vec<ServerKey> {
    let matching = candidates.iter().filter(|candidate| filter(candidate));
    rng.choose_multiple(matching.map(|candidate| candidate.key), count)
}
