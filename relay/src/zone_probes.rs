//! Round-trip probes to other availability zones. `cicada_lib::round_trips` estimates the round trips from
//! their results.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::time::Time;

/// Number of pending probes above which those past [`PROBE_TIMEOUT`] are removed as lost.
const MAX_PENDING: usize = 64;

/// Replies that take longer are ignored: they show that the peer was busy, not how far away it is.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pending probes.
#[derive(Debug, Default)]
pub(crate) struct ZoneProbes {
    last_sequence: u32,
    pending: HashMap<u32, PendingProbe>,
}

#[derive(Debug)]
struct PendingProbe {
    sent_at: Time,
    peer: SocketAddr,
    zone: Name,
}

impl ZoneProbes {
    /// Records a probe to a peer in a zone and returns the sequence number to send.
    pub(crate) fn start(&mut self, now: Time, peer: SocketAddr, zone: Name) -> u32 {
        if self.pending.len() >= MAX_PENDING {
            self.pending
                .retain(|_, probe| now.since(probe.sent_at) < PROBE_TIMEOUT);
        }
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let probe = PendingProbe {
            sent_at: now,
            peer,
            zone,
        };
        self.pending.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Records a reply and returns the zone and the round-trip time; `None` if no pending probe matches or
    /// the reply is too late.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        peer: SocketAddr,
        sequence: u32,
    ) -> Option<(Name, Duration)> {
        let probe = self.pending.remove(&sequence)?;
        let round_trip = now.since(probe.sent_at);
        (probe.peer == peer && round_trip < PROBE_TIMEOUT).then_some((probe.zone, round_trip))
    }
}
