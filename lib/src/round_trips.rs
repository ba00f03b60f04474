//! Estimates network round trips to other availability zones from probes.
//!
//! Load pattern: regions are 30 ms apart in one deployment and 110 ms in another. With a constant that is too small,
//! short calls are sent to a region so far away that the network alone exceeds their latency objective; with one that
//! is too large, another region stays idle while the local one queues.
//!
//! The estimate is the minimum of the latest probes: a busy or slow peer can only lengthen a probe, so one peer of a
//! zone that answers promptly is enough.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Name;
use crate::placement::Locality;
use crate::time::Time;

/// Assumed round trips within a region and between regions until a probe is answered.
const REGION_PRIOR: Duration = Duration::from_millis(2);
const FAR_PRIOR: Duration = Duration::from_millis(60);

/// Number and age of the probes of a zone that are used. Old ones expire because routes change when links fail.
const MAX_PROBES: usize = 8;
const MAX_PROBE_AGE: Duration = Duration::from_secs(30);

/// Round-trip estimates by availability zone.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    // When each probe was answered and how long it took, oldest first.
    zones: HashMap<Name, VecDeque<(Time, Duration)>>,
}

impl RoundTrips {
    /// Records the round trip of an answered probe of a zone.
    pub fn record(&mut self, now: Time, zone: &Name, took: Duration) {
        let probes = self.zones.entry(zone.clone()).or_default();
        probes.push_back((now, took));
        if probes.len() > MAX_PROBES {
            probes.pop_front();
        }
    }

    /// Estimated round trip to a zone: the shortest of its recent probes.
    pub fn estimate(&self, now: Time, zone: &Name, locality: Locality) -> Duration {
        let prior = match locality {
            Locality::SameZone => return Duration::ZERO,
            Locality::SameRegion => REGION_PRIOR,
            Locality::OtherRegion => FAR_PRIOR,
        };
        let probes = self.zones.get(zone).into_iter().flatten();
        let fresh = probes.filter(|(at, _)| now.since(*at) < MAX_PROBE_AGE);
        fresh.map(|(_, took)| *took).min().unwrap_or(prior)
    }
}
