//! Tells a dead host from a silent link.
//!
//! A process that condemns whom it cannot reach takes a host out of service whenever one link is
//! down. So an unanswered ping leads to a question to others, on other paths: only whom none of them
//! reaches is suspected, and a suspect that lives objects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gossip::MemberId;
use crate::time::Time;

// Eight times the round trip between regions; a busy host answers within it.
const PING_WAIT: Duration = Duration::from_millis(500);

// One datagram in some dozens is lost, and tells nothing of the link: the ping is repeated as often.
const REPEATS: u32 = 2;

// From the first ping to the verdict: two round trips by way of another region, and slack.
const VERDICT: Duration = Duration::from_millis(1_500);

// A process that slept for longer than this finds all its pings unanswered, and knows nothing.
const PAUSE: Duration = Duration::from_millis(1_000);

/// For whom a ping is made.
struct Client {
    address: SocketAddr,
    nonce: u32,
}

struct Probe {
    target: MemberId,
    sent: Time,
    repeats: u32,
    reached: bool,
    client: Option<Client>,
}

/// What to do about a ping without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Ping the target again, and ask others to do so as well.
    Repeat {
        nonce: u32,
        target: MemberId,
        ask: bool,
    },
    /// Others reach it.
    LinkSilent(MemberId),
    /// Nobody reaches it.
    Condemn { target: MemberId, since: Time },
}

/// What an answer to a ping means.
pub(crate) enum Acked {
    /// Nothing waits for it.
    Late,
    /// It was this process's own.
    Own,
    /// Another process asked for it.
    For { address: SocketAddr, nonce: u32 },
}

/// The pings that wait for an answer.
#[derive(Default)]
pub(crate) struct Probes {
    open: BTreeMap<u32, Probe>,
    last: Time,
}

impl Probes {
    /// Begins a ping of this process's own, and returns its number.
    pub(crate) fn begin(&mut self, now: Time, target: MemberId, rng: &mut fastrand::Rng) -> u32 {
        self.insert(now, target, None, rng)
    }

    /// Begins a ping on behalf of another process.
    pub(crate) fn begin_for(
        &mut self,
        now: Time,
        target: MemberId,
        address: SocketAddr,
        nonce: u32,
        rng: &mut fastrand::Rng,
    ) -> u32 {
        let client = Client { address, nonce };
        self.insert(now, target, Some(client), rng)
    }

    /// An answer has come.
    pub(crate) fn acked(&mut self, nonce: u32) -> Acked {
        match self.open.remove(&nonce) {
            None => Acked::Late,
            Some(Probe { client: None, .. }) => Acked::Own,
            Some(Probe {
                client: Some(client),
                ..
            }) => Acked::For {
                address: client.address,
                nonce: client.nonce,
            },
        }
    }

    /// Another process has reached the target of a ping.
    pub(crate) fn reached(&mut self, nonce: u32) {
        if let Some(probe) = self.open.get_mut(&nonce) {
            probe.reached = true;
        }
    }

    /// What is to be done now. To be called several times a second.
    pub(crate) fn steps(&mut self, now: Time) -> Vec<Step> {
        if now.since(self.last) > PAUSE {
            self.open.clear();
        }
        self.last = now;
        let mut steps = Vec::new();
        self.open.retain(|nonce, probe| {
            let age = now.since(probe.sent);
            if probe.client.is_some() {
                return age < VERDICT;
            }
            if age >= VERDICT {
                steps.push(verdict(probe));
                return false;
            }
            if probe.repeats < REPEATS && age >= PING_WAIT * (probe.repeats + 1) {
                probe.repeats += 1;
                steps.push(Step::Repeat {
                    nonce: *nonce,
                    target: probe.target,
                    ask: probe.repeats == 1,
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
        client: Option<Client>,
        rng: &mut fastrand::Rng,
    ) -> u32 {
        let nonce = rng.u32(..);
        let probe = Probe {
            target,
            sent: now,
            repeats: 0,
            reached: false,
            client,
        };
        self.open.insert(nonce, probe);
        nonce
    }
}

fn verdict(probe: &Probe) -> Step {
    if probe.reached {
        Step::LinkSilent(probe.target)
    } else {
        Step::Condemn {
            target: probe.target,
            since: probe.sent,
        }
    }
}
