//! Disseminates membership updates by rumor mongering: which updates a process forwards, to how many peers and when.
//!
//! If updates were only piggybacked on the periodic datagrams, they would reach the last of 1,370 processes after 8 to
//! 10 s, and meanwhile a draining backend server would get new work. So a process that learns of an update forwards it
//! within a tenth of a second and once more a little later; the periodic datagrams make up for lost packets. A byte
//! budget caps the copies of all updates together: the restart of a whole zone delays updates instead of saturating
//! the links.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gossip::MAX_UPDATES;
use crate::gossip::MemberId;
use crate::gossip::MemberUpdate;
use crate::time::Time;

// Copies per round: the first round is sent at once, the second a little later. If every process forwards k copies,
// a fraction e^-k of the processes receives none: one in 3,000 for k = 8. The periodic datagrams reach these.
const COPIES: [usize; 2] = [5, 3];
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

// Above this many queued updates there is only one round, with fewer copies: otherwise news of a restarting zone would
// take a minute to spread. Processes that receive no copy are corrected later.
const CONGESTION_THRESHOLD: usize = 20;
const CONGESTED_COPIES: usize = 2;

// How long an update is forwarded. Each process sends three periodic datagrams a second.
const UPDATE_LIFETIME: Duration = Duration::from_secs(8);

/// Byte budget of broadcasts per second. Together with the periodic datagrams it uses less than half of the 8 KB per
/// second that a process may spend on control traffic.
pub const BROADCAST_BYTES_PER_S: f64 = 3_000.0;

// Capacity of the token bucket: updates on a few processes are sent without delay.
const BURST_BYTES: f64 = 1_500.0;

struct QueuedUpdate {
    update: MemberUpdate,
    queued_at: Time,
    // Broadcast rounds already sent.
    rounds_sent: usize,
    next_round_at: Time,
    // Periodic datagrams that it was piggybacked on.
    piggybacks: u32,
}

/// One datagram of a broadcast round, to be sent to each of `copies` peers.
pub(crate) struct BroadcastRound {
    pub(crate) copies: usize,
    pub(crate) updates: Vec<MemberUpdate>,
}

/// Membership updates that are being disseminated.
pub(crate) struct BroadcastQueue {
    // An ordered map, so that the choice of updates is deterministic.
    updates: BTreeMap<MemberId, QueuedUpdate>,
    // Rounds sent and time of the next round for a change of the process's own state or configuration, which every
    // datagram carries.
    own: Option<(usize, Time)>,
    // Token bucket of bytes, and when it was last refilled.
    budget: f64,
    refilled_at: Time,
}

impl BroadcastQueue {
    pub(crate) fn new() -> Self {
        BroadcastQueue {
            updates: BTreeMap::new(),
            own: None,
            budget: BURST_BYTES,
            refilled_at: Time::ZERO,
        }
    }

    /// Queues an update, replacing an older one on the same process.
    pub(crate) fn push(&mut self, now: Time, update: MemberUpdate) {
        let queued = QueuedUpdate {
            update,
            queued_at: now,
            rounds_sent: 0,
            next_round_at: now,
            piggybacks: 0,
        };
        self.updates.insert(update.id, queued);
    }

    /// Queues a change of the process's own state, which every datagram carries anyway.
    pub(crate) fn queue_own_update(&mut self, now: Time) {
        // A first round that is still due carries this change as well.
        let next_round_at = match self.own {
            Some((0, next_round_at)) => next_round_at.min(now),
            _ => now,
        };
        self.own = Some((0, next_round_at));
    }

    /// Returns the datagrams that are due now and fit the budget. `cost` is the size in bytes of a datagram with the
    /// given number of updates.
    pub(crate) fn due_rounds(
        &mut self,
        now: Time,
        cost: impl Fn(usize) -> usize,
    ) -> Vec<BroadcastRound> {
        self.refill(now);
        // Expired updates that the budget has held back so far are still sent.
        self.updates.retain(|_, update| {
            update.rounds_sent == 0 || now < update.queued_at + UPDATE_LIFETIME
        });
        let mut rounds = Vec::new();
        let congested = self.updates.len() > CONGESTION_THRESHOLD;
        let copies_by_round = if congested {
            &[CONGESTED_COPIES]
        } else {
            COPIES.as_slice()
        };
        for (number, copies) in copies_by_round.iter().copied().enumerate() {
            let own = self
                .own
                .is_some_and(|(sent, next_round_at)| sent == number && next_round_at <= now);
            let mut due = self.due(now, number);
            let mut carries_own = own;
            while carries_own || !due.is_empty() {
                let bytes = |updates| (copies * cost(updates)) as f64;
                // Send as many as fit the budget now: waiting for a full datagram that never fits would block all.
                let fits = (0..=due.len().min(MAX_UPDATES))
                    .rfind(|updates| bytes(*updates) <= self.budget);
                let Some(fits) = fits.filter(|fits| *fits > 0 || due.is_empty()) else {
                    return rounds;
                };
                let rest = due.split_off(fits);
                self.budget -= bytes(fits);
                self.advance(now, &due, carries_own);
                rounds.push(BroadcastRound {
                    copies,
                    updates: due,
                });
                carries_own = false;
                due = rest;
            }
        }
        rounds
    }

    /// Takes `bytes` from the budget for another datagram; false if they do not fit.
    pub(crate) fn try_spend(&mut self, now: Time, bytes: usize) -> bool {
        self.refill(now);
        let fits = self.budget >= bytes as f64;
        if fits {
            self.budget -= bytes as f64;
        }
        fits
    }

    /// Picks up to `most` updates to piggyback on a periodic datagram: those piggybacked least often so far.
    pub(crate) fn piggyback(&mut self, most: usize) -> Vec<MemberUpdate> {
        let mut order: Vec<_> = self
            .updates
            .values()
            .map(|u| (u.piggybacks, u.update.id))
            .collect();
        order.sort_unstable();
        order.truncate(most);
        let mut updates = Vec::with_capacity(order.len());
        for (_, id) in order {
            if let Some(queued) = self.updates.get_mut(&id) {
                queued.piggybacks += 1;
                updates.push(queued.update);
            }
        }
        updates
    }

    fn refill(&mut self, now: Time) {
        let added = BROADCAST_BYTES_PER_S * now.since(self.refilled_at).as_secs_f64();
        self.budget = (self.budget + added).min(BURST_BYTES);
        self.refilled_at = now;
    }

    fn due(&self, now: Time, number: usize) -> Vec<MemberUpdate> {
        let due = self.updates.values();
        let due = due.filter(|queued| queued.rounds_sent == number && queued.next_round_at <= now);
        due.map(|queued| queued.update).collect()
    }

    fn advance(&mut self, now: Time, updates: &[MemberUpdate], own: bool) {
        for update in updates {
            if let Some(queued) = self.updates.get_mut(&update.id) {
                queued.rounds_sent += 1;
                queued.next_round_at = now + ROUND_INTERVAL;
            }
        }
        if own {
            self.own = match self.own {
                Some((sent, _)) if sent + 1 < COPIES.len() => {
                    Some((sent + 1, now + ROUND_INTERVAL))
                }
                _ => None,
            };
        }
    }
}
