//! What the way to another availability zone or region costs, in time and in bytes.
//!
//! Load pattern: one region is fuller than another, or is lost. Without a cost, requests would cross
//! the slow and paid links for every small difference of load, and every first token would come a
//! round trip later. Without a byte budget, a full region would make its neighbours pay for its links
//! without bound.
//!
//! A budget bounds only crossings by choice. Where the own region has no server left, the request
//! crosses nevertheless, since an answer is worth more than a link's bytes; such bytes are counted.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::routing::ServerView;
use crate::time::Time;

/// A round trip between availability zones of one region: 1.5 ms each way at Hanshan.
pub const ZONE_TRIP: Duration = Duration::from_millis(3);

/// A round trip between regions: 30 ms each way at both deployments.
pub const REGION_TRIP: Duration = Duration::from_millis(60);

/// What a crossing must gain beyond its round trip. The hysteresis of the choice of region: two
/// regions whose waits differ by less do not exchange work.
pub const CROSSING_MARGIN: Duration = Duration::from_millis(100);

/// The part by which a wait in another region counts more. The hysteresis where both regions are full:
/// their waits of seconds then differ by chance by more than the margin.
pub const CROSSING_PART: f64 = 0.25;

/// Bytes a second for each link to another region, 1 MB/s: about 200 streams of 41 ms between tokens
/// at 200 bytes an event.
pub const LINK_BYTES: u64 = 1_000_000;

/// Seconds of a link's budget that may be saved up, so that a burst of some seconds may cross.
const SAVED_SECONDS: f64 = 5.0;

/// Bytes on the link for each expected token, event framing included, until the end tells.
const TOKEN_BYTES: f64 = 64.0;

/// Costs of the way to other zones and regions.
#[derive(Clone, Debug)]
pub struct CostSettings {
    zone_trip: Duration,
    region_trip: Duration,
    trips: HashMap<Name, Duration>,
    margin: Duration,
    link_bytes: u64,
}

impl Default for CostSettings {
    fn default() -> Self {
        CostSettings::new()
    }
}

impl CostSettings {
    /// The defaults.
    pub fn new() -> Self {
        CostSettings {
            zone_trip: ZONE_TRIP,
            region_trip: REGION_TRIP,
            trips: HashMap::new(),
            margin: CROSSING_MARGIN,
            link_bytes: LINK_BYTES,
        }
    }

    /// The round trip to another zone of the own region.
    pub fn with_zone_trip(mut self, trip: Duration) -> Self {
        self.zone_trip = trip;
        self
    }

    /// The round trip from the own region to `region`.
    pub fn with_region_trip(mut self, region: Name, trip: Duration) -> Self {
        self.trips.insert(region, trip);
        self
    }

    /// What a crossing must gain beyond its round trip.
    pub fn with_margin(mut self, margin: Duration) -> Self {
        self.margin = margin;
        self
    }

    /// The part by which a wait in another region counts more. The hysteresis where both regions are full:
    /// their waits of seconds then differ by chance by more than the margin.
    pub const CROSSING_PART: f64 = 0.25;

    /// Bytes a second for each link to another region.
    pub fn with_link_bytes(mut self, bytes: u64) -> Self {
        self.link_bytes = bytes;
        self
    }
}

#[derive(Debug, Default)]
struct Link {
    // Never above `SAVED_SECONDS` of the budget; below zero after a crossing without choice.
    bytes: f64,
    filled: Time,
    // Bytes that the open requests are expected to carry, and their number.
    reserved: f64,
    open: u32,
}

/// The costs as seen from one entry.
#[derive(Debug)]
pub(crate) struct ZoneCost {
    settings: CostSettings,
    region: Name,
    zone: Name,
    links: HashMap<Name, Link>,
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

    /// Whether the server is in the own region.
    pub(crate) fn is_local(&self, view: &ServerView) -> bool {
        view.region == self.region
    }

    /// The round trip to the server.
    pub(crate) fn trip(&self, view: &ServerView) -> Duration {
        if !self.is_local(view) {
            let trip = self.settings.trips.get(&view.region);
            return trip.copied().unwrap_or(self.settings.region_trip);
        }
        if view.zone == self.zone {
            Duration::ZERO
        } else {
            self.settings.zone_trip
        }
    }

    /// Microseconds: the round trip, and for a crossing the margin and a part of the wait there.
    pub(crate) fn distance(&self, view: &ServerView, wait: f64) -> f64 {
        let trip = self.trip(view).as_micros() as f64;
        if self.is_local(view) {
            trip
        } else {
            trip + self.settings.margin.as_micros() as f64 + wait * CROSSING_PART
        }
    }

    /// Whether the link to `region` has bytes left, beyond what open requests will carry.
    pub(crate) fn has_budget(&self, now: Time, region: &Name) -> bool {
        let Some(link) = self.links.get(region) else {
            return self.settings.link_bytes > 0;
        };
        self.level(now, link) > link.reserved
    }

    /// Reserves what a request is expected to carry.
    pub(crate) fn started(&mut self, now: Time, region: &Name, tokens: u32) {
        let link = self.filled(now, region);
        link.reserved += expected_bytes(tokens);
        link.open += 1;
    }

    /// Charges the bytes that were carried, and gives up one open request's reserve.
    pub(crate) fn finished(&mut self, now: Time, region: &Name, bytes: u64) {
        let link = self.filled(now, region);
        link.bytes -= bytes as f64;
        link.reserved -= link.reserved / f64::from(link.open.max(1));
        link.open = link.open.saturating_sub(1);
    }

    fn filled(&mut self, now: Time, region: &Name) -> &mut Link {
        let full = self.full();
        let level = self.links.get(region).map(|link| self.level(now, link));
        let link = self.links.entry(region.clone()).or_default();
        link.bytes = level.unwrap_or(full);
        link.filled = now;
        link
    }

    fn level(&self, now: Time, link: &Link) -> f64 {
        let gained = now.since(link.filled).as_secs_f64() * self.settings.link_bytes as f64;
        (link.bytes + gained).min(self.full())
    }

    fn full(&self) -> f64 {
        self.settings.link_bytes as f64 * SAVED_SECONDS
    }
}

fn expected_bytes(tokens: u32) -> f64 {
    f64::from(tokens) * TOKEN_BYTES
}
