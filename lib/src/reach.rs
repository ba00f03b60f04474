//! Which servers and regions could not be reached lately.
//!
//! Load pattern: a region is lost, or the links to it are, and the membership list still shows its
//! servers as ready for many seconds. Without this, every request would try servers of that region in
//! turn until its tries or the retry budget are used up.
//!
//! Delay: a server is passed over from its first lost request on; a region after
//! [`REGION_SERVERS`] of its servers were lost with no answer from the region in between. Hysteresis:
//! one request in each [`PROBE`] tries again; one answer brings the whole region back.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::ids::Name;
use crate::routing::ServerKey;
use crate::time::Time;

/// Servers of a region lost in a row that count as the loss of the region. One or two are an ordinary
/// day's failures.
pub(crate) const REGION_SERVERS: u32 = 3;

/// How often an unreachable server or region is tried with one request.
pub(crate) const PROBE: Duration = Duration::from_secs(1);

/// The longest pause between two tries of one server.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, Default)]
struct Lost {
    // Losses in a row.
    losses: u32,
    // No new work before this, but for a probe.
    until: Time,
}

/// What could not be reached lately, as seen by one entry.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    servers: SecondaryMap<ServerKey, Lost>,
    // Losses count distinct servers.
    regions: HashMap<Name, Lost>,
}

impl Reach {
    /// A request to the server was lost.
    pub(crate) fn lost(&mut self, now: Time, server: ServerKey, region: &Name) {
        let Some(entry) = self.servers.entry(server) else {
            return;
        };
        let lost = entry.or_default();
        // Requests that were lost together are one loss.
        if lost.losses > 0 && now < lost.until {
            return;
        }
        let first = lost.losses == 0;
        lost.until = now + (PROBE * 2u32.saturating_pow(lost.losses)).min(LONGEST_PAUSE);
        lost.losses = (lost.losses + 1).min(10);
        let region = self.regions.entry(region.clone()).or_default();
        if first {
            region.losses += 1;
        }
        if region.losses >= REGION_SERVERS {
            region.until = now + PROBE;
        }
    }

    /// The server answered.
    pub(crate) fn answered(&mut self, server: ServerKey, region: &Name) {
        self.servers.remove(server);
        if let Some(lost) = self.regions.get_mut(region) {
            *lost = Lost::default();
        }
    }

    /// The server left.
    pub(crate) fn left(&mut self, server: ServerKey) {
        self.servers.remove(server);
    }

    /// Whether the server should be passed over now.
    pub(crate) fn avoids(&self, now: Time, server: ServerKey) -> bool {
        self.servers.get(server).is_some_and(|l| now < l.until)
    }

    /// Whether the server's last request was lost.
    pub(crate) fn is_lost(&self, server: ServerKey) -> bool {
        self.servers.contains_key(server)
    }

    /// Whether the whole region should be passed over now.
    pub(crate) fn avoids_region(&self, now: Time, region: &Name) -> bool {
        self.regions.get(region).is_some_and(|l| now < l.until)
    }

    /// A request goes to the server. If it is a probe, the others go on passing over it.
    pub(crate) fn started(&mut self, now: Time, server: ServerKey, region: &Name) {
        if let Some(lost) = self.servers.get_mut(server) {
            lost.until = lost.until.max(now + PROBE);
        }
        if let Some(lost) = self.regions.get_mut(region)
            && lost.losses >= REGION_SERVERS
        {
            lost.until = lost.until.max(now + PROBE);
        }
    }
}
