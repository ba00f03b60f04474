//! Probes of the ways to other availability zones. What they say is estimated by `cicada_lib::round_trips`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::time::Time;

/// Probes that wait for an answer; older ones were lost.
const WAITING: usize = 64;

/// An answer that comes later says that its peer was busy.
const LATEST: Duration = Duration::from_secs(2);

/// The probes that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct ZoneProbes {
    last: u32,
    waiting: HashMap<u32, Probe>,
}

#[derive(Debug)]
struct Probe {
    sent: Time,
    peer: SocketAddr,
    zone: Name,
}

impl ZoneProbes {
    /// A probe of a peer in a zone is about to be sent; its number.
    pub(crate) fn send(&mut self, now: Time, peer: SocketAddr, zone: Name) -> u32 {
        if self.waiting.len() >= WAITING {
            self.waiting
                .retain(|_, probe| now.since(probe.sent) < LATEST);
        }
        self.last = self.last.wrapping_add(1);
        let probe = Probe {
            sent: now,
            peer,
            zone,
        };
        self.waiting.insert(self.last, probe);
        self.last
    }

    /// An answer came; the zone, and how long it took, where the peer was asked.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        peer: SocketAddr,
        number: u32,
    ) -> Option<(Name, Duration)> {
        let probe = self.waiting.remove(&number)?;
        let took = now.since(probe.sent);
        (probe.peer == peer && took < LATEST).then_some((probe.zone, took))
    }
}
