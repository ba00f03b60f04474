//! Round trips to other availability zones, estimated from probes.
//!
//! Load pattern: regions lie 30 ms apart in one deployment and 110 ms in another. Taken for a constant, a distance that
//! is too short sends short calls away whose objective the way alone exceeds, and one that is too long leaves
//! another region idle while the local one queues.
//!
//! The least of the latest probes counts: a busy or slow peer makes a probe longer and never shorter, so that one
//! peer of a zone that answers in time is enough.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Name;
use crate::placement::Reach;
use crate::time::Time;

/// Round trips within a region and between regions before any probe was answered.
const REGION_PRIOR: Duration = Duration::from_millis(2);
const FAR_PRIOR: Duration = Duration::from_millis(60);

/// Probes of a zone that count, and how long they do: ways change when links fail.
const PROBES: usize = 8;
const MAX_AGE: Duration = Duration::from_secs(30);

/// The latest probes of each zone.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    // In the order of time.
    zones: HashMap<Name, VecDeque<(Time, Duration)>>,
}

impl RoundTrips {
    /// A probe of a zone was answered after so long.
    pub fn answered(&mut self, now: Time, zone: &Name, took: Duration) {
        let probes = self.zones.entry(zone.clone()).or_default();
        probes.push_back((now, took));
        if probes.len() > PROBES {
            probes.pop_front();
        }
    }

    /// The round trip to a zone.
    pub fn estimate(&self, now: Time, zone: &Name, reach: Reach) -> Duration {
        let prior = match reach {
            Reach::Zone => return Duration::ZERO,
            Reach::Region => REGION_PRIOR,
            Reach::Far => FAR_PRIOR,
        };
        let probes = self.zones.get(zone).into_iter().flatten();
        let fresh = probes.filter(|(at, _)| now.since(*at) < MAX_AGE);
        fresh.map(|(_, took)| *took).min().unwrap_or(prior)
    }
}
