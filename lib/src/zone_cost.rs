//! The cost of routing a request to another availability zone or region, in latency and in bytes.
//!
//! Load pattern: one region is more loaded than another, or is lost. Without a cost, requests would
//! take the slow, metered links between regions for every small difference in load, and each first
//! token would arrive a round trip later. Without a byte budget, the cost of an overloaded region's
//! cross-region traffic would be unbounded.
//!
//! The budget limits only cross-region requests that have an alternative. When the local region has no
//! usable server, the request is sent to another region regardless, since an answer is worth more than
//! the bytes on a link; these bytes are charged to the budget as well.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::routing::ServerView;
use crate::time::Time;

/// The round trip between availability zones of one region: 1.5 ms each way at Hanshan.
pub const ZONE_ROUND_TRIP: Duration = Duration::from_millis(3);

/// The round trip between regions: 30 ms each way at both deployments.
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(60);

/// The wait that a cross-region request must save in addition to its round trip. This is the
/// hysteresis of the choice of region: regions whose waits differ by less do not exchange work.
pub const CROSS_REGION_MARGIN: Duration = Duration::from_millis(100);

/// The share by which a wait in another region is weighted up. This is the hysteresis when both
/// regions are overloaded: their waits are then seconds long and differ by more than the margin by
/// chance.
pub const CROSS_REGION_WAIT_SHARE: f64 = 0.25;

/// The byte budget of each link to another region, 1 MB/s: about 200 streams with 41 ms between tokens
/// and 200 bytes an event.
pub const LINK_BYTES_PER_SECOND: u64 = 1_000_000;

/// The capacity of a link's budget, in seconds of its rate, so that a burst of a few seconds may be
/// sent over the link.
const BURST_SECONDS: f64 = 5.0;

/// The estimated bytes on the link for each expected token, including event framing. The actual bytes
/// are known when the request ends.
const BYTES_PER_TOKEN: f64 = 64.0;

/// Latency and byte costs of routing to other zones and regions.
#[derive(Clone, Debug)]
pub struct CostSettings {
    zone_round_trip: Duration,
    region_round_trip: Duration,
    region_round_trips: HashMap<Name, Duration>,
    margin: Duration,
    link_bytes_per_second: u64,
}

impl Default for CostSettings {
    fn default() -> Self {
        CostSettings::new()
    }
}

impl CostSettings {
    /// Returns the default costs.
    pub fn new() -> Self {
        CostSettings {
            zone_round_trip: ZONE_ROUND_TRIP,
            region_round_trip: REGION_ROUND_TRIP,
            region_round_trips: HashMap::new(),
            margin: CROSS_REGION_MARGIN,
            link_bytes_per_second: LINK_BYTES_PER_SECOND,
        }
    }

    /// Sets the round trip to another zone of the local region.
    pub fn with_zone_round_trip(mut self, round_trip: Duration) -> Self {
        self.zone_round_trip = round_trip;
        self
    }

    /// Sets the round trip from the local region to `region`.
    pub fn with_region_round_trip(mut self, region: Name, round_trip: Duration) -> Self {
        self.region_round_trips.insert(region, round_trip);
        self
    }

    /// Sets the wait that a cross-region request must save in addition to its round trip.
    pub fn with_margin(mut self, margin: Duration) -> Self {
        self.margin = margin;
        self
    }

    /// The share by which a wait in another region is weighted up.
    pub const CROSS_REGION_WAIT_SHARE: f64 = 0.25;

    /// Sets the budget of each link to another region, in bytes per second.
    pub fn with_link_bytes_per_second(mut self, bytes: u64) -> Self {
        self.link_bytes_per_second = bytes;
        self
    }
}

/// The byte budget of a link to another region: a token bucket.
#[derive(Debug, Default)]
struct LinkBudget {
    // At most `BURST_SECONDS` of the rate. Negative after a request that had no alternative.
    available_bytes: f64,
    refilled_at: Time,
    // The bytes that the open requests are expected to transfer, and the number of these requests.
    reserved_bytes: f64,
    open_requests: u32,
}

/// The routing costs as seen from one entry.
#[derive(Debug)]
pub(crate) struct ZoneCost {
    settings: CostSettings,
    region: Name,
    zone: Name,
    links: HashMap<Name, LinkBudget>,
}

impl ZoneCost {
    pub(crate) fn new(settings: CostSettings, region: Name, zone: Name) -> Self {
        ZoneCost {
            settings,
            region,
            zone,
            links: HashMap::new(),
        }
    }

    /// Returns whether the server is in the local region.
    pub(crate) fn is_local(&self, view: &ServerView) -> bool {
        view.region == self.region
    }

    /// Returns the round trip to the server.
    pub(crate) fn round_trip(&self, view: &ServerView) -> Duration {
        if !self.is_local(view) {
            let round_trip = self.settings.region_round_trips.get(&view.region);
            return round_trip
                .copied()
                .unwrap_or(self.settings.region_round_trip);
        }
        if view.zone == self.zone {
            Duration::ZERO
        } else {
            self.settings.zone_round_trip
        }
    }

    /// Returns the cost in microseconds: the round trip, and for a server in another region also the
    /// margin and a share of the wait there.
    pub(crate) fn network_cost(&self, view: &ServerView, wait: f64) -> f64 {
        let round_trip = self.round_trip(view).as_micros() as f64;
        if self.is_local(view) {
            round_trip
        } else {
            round_trip + self.settings.margin.as_micros() as f64 + wait * CROSS_REGION_WAIT_SHARE
        }
    }

    /// Returns whether the budget of the link to `region` exceeds what is reserved for open requests.
    pub(crate) fn has_budget(&self, now: Time, region: &Name) -> bool {
        let Some(link) = self.links.get(region) else {
            return self.settings.link_bytes_per_second > 0;
        };
        self.available(now, link) > link.reserved_bytes
    }

    /// Reserves the bytes that a request is expected to transfer.
    pub(crate) fn reserve(&mut self, now: Time, region: &Name, tokens: u32) {
        let link = self.refill(now, region);
        link.reserved_bytes += expected_bytes(tokens);
        link.open_requests += 1;
    }

    /// Charges the transferred bytes, and releases the reservation of one open request.
    pub(crate) fn charge(&mut self, now: Time, region: &Name, bytes: u64) {
        let link = self.refill(now, region);
        link.available_bytes -= bytes as f64;
        link.reserved_bytes -= link.reserved_bytes / f64::from(link.open_requests.max(1));
        link.open_requests = link.open_requests.saturating_sub(1);
    }

    fn refill(&mut self, now: Time, region: &Name) -> &mut LinkBudget {
        let capacity = self.capacity();
        let available = self.links.get(region).map(|link| self.available(now, link));
        let link = self.links.entry(region.clone()).or_default();
        link.available_bytes = available.unwrap_or(capacity);
        link.refilled_at = now;
        link
    }

    fn available(&self, now: Time, link: &LinkBudget) -> f64 {
        let refilled =
            now.since(link.refilled_at).as_secs_f64() * self.settings.link_bytes_per_second as f64;
        (link.available_bytes + refilled).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        self.settings.link_bytes_per_second as f64 * BURST_SECONDS
    }
}

fn expected_bytes(tokens: u32) -> f64 {
    f64::from(tokens) * BYTES_PER_TOKEN
}
