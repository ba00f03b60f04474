//! SWIM-style failure detector that tells a dead host from a broken link.
//!
//! If a process reported every peer that it cannot reach as dead, one broken link would take a host out of service. So
//! after an unanswered ping it asks other processes to ping the peer over other paths. Only a peer that none of them
//! reaches is suspected, and a suspect that is alive refutes the suspicion.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gossip::MemberId;
use crate::time::Time;

// Eight times the round trip between regions, so that a busy host can answer in time.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

// Retries of an unanswered ping. One datagram in a few dozen is lost, so a single loss does not mean that the link is
// down.
const MAX_RETRIES: u32 = 2;

// From the first ping to the result: two round trips by way of another region, and slack.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

// If this process was suspended for longer than this, its pings are unanswered for that reason, so they are discarded.
const MAX_TICK_GAP: Duration = Duration::from_millis(1_000);

/// The process on whose behalf a ping is sent.
struct Requester {
    address: SocketAddr,
    nonce: u32,
}

struct Probe {
    target: MemberId,
    sent_at: Time,
    retries: u32,
    reached: bool,
    requester: Option<Requester>,
}

/// Next step for an unanswered ping.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeStep {
    /// Ping the target again and, if `ask` is set, ask other processes to ping it too.
    Retry {
        nonce: u32,
        target: MemberId,
        ask: bool,
    },
    /// Other processes reach the target, so only the direct link is down.
    LinkDown(MemberId),
    /// No process reached the target, which was first pinged at `since`.
    Suspect { target: MemberId, since: Time },
}

/// Who sent the ping that an answer belongs to.
pub(crate) enum PingOrigin {
    /// No such ping is outstanding: it timed out.
    Unknown,
    /// This process, for itself.
    Own,
    /// Another process, which asked for the ping with this nonce and gets the answer forwarded.
    Requester { address: SocketAddr, nonce: u32 },
}

/// Outstanding pings.
#[derive(Default)]
pub(crate) struct Probes {
    // By nonce.
    outstanding: BTreeMap<u32, Probe>,
    last_tick: Time,
}

impl Probes {
    /// Starts a direct probe and returns the nonce of its ping.
    pub(crate) fn start(&mut self, now: Time, target: MemberId, rng: &mut fastrand::Rng) -> u32 {
        self.insert(now, target, None, rng)
    }

    /// Starts an indirect probe, on behalf of another process, and returns the nonce of its ping.
    pub(crate) fn start_indirect(
        &mut self,
        now: Time,
        target: MemberId,
        address: SocketAddr,
        nonce: u32,
        rng: &mut fastrand::Rng,
    ) -> u32 {
        let requester = Requester { address, nonce };
        self.insert(now, target, Some(requester), rng)
    }

    /// Handles the answer to a ping.
    pub(crate) fn handle_ack(&mut self, nonce: u32) -> PingOrigin {
        match self.outstanding.remove(&nonce) {
            None => PingOrigin::Unknown,
            Some(Probe {
                requester: None, ..
            }) => PingOrigin::Own,
            Some(Probe {
                requester: Some(requester),
                ..
            }) => PingOrigin::Requester {
                address: requester.address,
                nonce: requester.nonce,
            },
        }
    }

    /// Records that another process has reached the target of a ping.
    pub(crate) fn mark_reached(&mut self, nonce: u32) {
        if let Some(probe) = self.outstanding.get_mut(&nonce) {
            probe.reached = true;
        }
    }

    /// Returns the steps that are due. Must be called several times a second.
    pub(crate) fn due_steps(&mut self, now: Time) -> Vec<ProbeStep> {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            self.outstanding.clear();
        }
        self.last_tick = now;
        let mut steps = Vec::new();
        self.outstanding.retain(|nonce, probe| {
            let age = now.since(probe.sent_at);
            if probe.requester.is_some() {
                return age < PROBE_TIMEOUT;
            }
            if age >= PROBE_TIMEOUT {
                steps.push(verdict(probe));
                return false;
            }
            if probe.retries < MAX_RETRIES && age >= PING_TIMEOUT * (probe.retries + 1) {
                probe.retries += 1;
                steps.push(ProbeStep::Retry {
                    nonce: *nonce,
                    target: probe.target,
                    ask: probe.retries == 1,
                });
            }
            true
        });
        steps
    }

    fn insert(
        &mut self,
        now: Time,
        target: MemberId,
        requester: Option<Requester>,
        rng: &mut fastrand::Rng,
    ) -> u32 {
        let nonce = rng.u32(..);
        let probe = Probe {
            target,
            sent_at: now,
            retries: 0,
            reached: false,
            requester,
        };
        self.outstanding.insert(nonce, probe);
        nonce
    }
}

fn verdict(probe: &Probe) -> ProbeStep {
    if probe.reached {
        ProbeStep::LinkDown(probe.target)
    } else {
        ProbeStep::Suspect {
            target: probe.target,
            since: probe.sent_at,
        }
    }
}
