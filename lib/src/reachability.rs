//! Tracks the servers and regions that recently could not be reached, like a circuit breaker.
//!
//! Load pattern: a region or the links to it fail, and the membership list still shows its servers as
//! ready for many seconds. Without this tracking, every request would try servers of that region in
//! turn until its attempts or the retry budget are exhausted.
//!
//! Delay: a server is avoided after its first lost request; a region after [`REGION_LOSS_THRESHOLD`]
//! of its servers were lost without an answer from the region in between. Hysteresis: one probe
//! request is allowed in each [`PROBE_INTERVAL`]; a single answer restores the whole region.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::ids::Name;
use crate::routing::ServerKey;
use crate::time::Time;

/// Servers of a region that must be lost in a row before the region counts as lost. One or two lost
/// servers are ordinary failures.
pub(crate) const REGION_LOSS_THRESHOLD: u32 = 3;

/// The interval between probe requests to an unreachable server or region.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The upper bound of the backoff between probes of one server.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, Default)]
struct LossState {
    consecutive_losses: u32,
    // No requests are sent before this time, except for a probe.
    avoid_until: Time,
}

/// The servers and regions that one entry recently could not reach.
#[derive(Debug, Default)]
pub(crate) struct ReachTracker {
    servers: SecondaryMap<ServerKey, LossState>,
    // Here `consecutive_losses` counts distinct servers.
    regions: HashMap<Name, LossState>,
}

impl ReachTracker {
    /// Records that a request to the server was lost.
    pub(crate) fn record_loss(&mut self, now: Time, server: ServerKey, region: &Name) {
        let Some(entry) = self.servers.entry(server) else {
            return;
        };
        let lost = entry.or_default();
        // Requests that were lost together count as one loss.
        if lost.consecutive_losses > 0 && now < lost.avoid_until {
            return;
        }
        let first_loss = lost.consecutive_losses == 0;
        lost.avoid_until = now
            + (PROBE_INTERVAL * 2u32.saturating_pow(lost.consecutive_losses))
                .min(MAX_PROBE_INTERVAL);
        lost.consecutive_losses = (lost.consecutive_losses + 1).min(10);
        let region = self.regions.entry(region.clone()).or_default();
        if first_loss {
            region.consecutive_losses += 1;
        }
        if region.consecutive_losses >= REGION_LOSS_THRESHOLD {
            region.avoid_until = now + PROBE_INTERVAL;
        }
    }

    /// Records that the server answered.
    pub(crate) fn record_answer(&mut self, server: ServerKey, region: &Name) {
        self.servers.remove(server);
        if let Some(lost) = self.regions.get_mut(region) {
            *lost = LossState::default();
        }
    }

    /// Forgets a server that left.
    pub(crate) fn remove_server(&mut self, server: ServerKey) {
        self.servers.remove(server);
    }

    /// Returns whether requests should avoid the server now.
    pub(crate) fn avoids_server(&self, now: Time, server: ServerKey) -> bool {
        self.servers
            .get(server)
            .is_some_and(|l| now < l.avoid_until)
    }

    /// Returns whether the last request to the server was lost.
    pub(crate) fn is_lost(&self, server: ServerKey) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns whether requests should avoid the whole region now.
    pub(crate) fn avoids_region(&self, now: Time, region: &Name) -> bool {
        self.regions
            .get(region)
            .is_some_and(|l| now < l.avoid_until)
    }

    /// Records that a request is sent to the server. If it is a probe, other requests keep avoiding the
    /// server and its region meanwhile.
    pub(crate) fn record_start(&mut self, now: Time, server: ServerKey, region: &Name) {
        if let Some(lost) = self.servers.get_mut(server) {
            lost.avoid_until = lost.avoid_until.max(now + PROBE_INTERVAL);
        }
        if let Some(lost) = self.regions.get_mut(region)
            && lost.consecutive_losses >= REGION_LOSS_THRESHOLD
        {
            lost.avoid_until = lost.avoid_until.max(now + PROBE_INTERVAL);
        }
    }
}
