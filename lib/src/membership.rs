//! Gossip-based membership: which processes exist, which accept new work, and which version of the
//! configuration is the newest.
//!
//! Load pattern: 1,370 processes in ten availability zones, some of which leave, crash, are
//! partitioned or restart at any time, while the platform's list of hosts lags by seconds. If every
//! process sent heartbeats to every other, a process would receive 1,369 of them, or 150 KB, per
//! second. Instead each process sends three datagrams per second regardless of the number of
//! processes, mostly within its availability zone, and forwards new updates at once (see
//! `broadcast_queue`). One of the three datagrams is a ping (see `probes`), so each process is
//! pinged about once per second by a nearby one.
//!
//! A call takes O(updates in the datagram), and [`Membership::members`] O(processes).

use std::net::SocketAddr;
use std::time::Duration;

use crate::broadcast_queue::BroadcastQueue;
use crate::config_apply::ConfigVersionId;
use crate::config_seen::NewestConfig;
use crate::gossip::IP_UDP_HEADER_BYTES;
use crate::gossip::MemberId;
use crate::gossip::MemberUpdate;
use crate::gossip::Message;
use crate::gossip::Purpose;
use crate::gossip::ReportedState;
use crate::gossip::StateVersion;
use crate::peers::PingSchedule;
use crate::platform::HostRecord;
use crate::probes::PingOrigin;
use crate::probes::ProbeStep;
use crate::probes::Probes;
use crate::roster::Distance;
use crate::roster::Member;
use crate::roster::MemberState;
use crate::roster::MemberView;
use crate::roster::Roster;
use crate::time::Time;

/// Interval between calls of [`Membership::tick`], which is the delay that each hop adds to an
/// update.
pub const TICK: Duration = Duration::from_millis(100);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

// Updates piggybacked on each periodic datagram.
const PIGGYBACKED_UPDATES: usize = 8;

// Updates on members that are not ready in each ping and its answer. A receiver that has newer
// updates sends them back.
const REMINDERS: usize = 16;

// The same, in the answer to a process that started recently.
const NEWCOMER_REMINDERS: usize = 32;

// How long after its start a process requests that many.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

// Distances of the members that are asked to ping a member that does not answer, chosen so that
// their paths to it have little in common.
const INDIRECT_PROBE_DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Far];

// Additional pings per heartbeat, to members whose state is in doubt.
const RECHECKS_PER_HEARTBEAT: usize = 1;

// Percentage of the processes learning of a new suspect that ping a member of the suspect's zone.
// With 50 processes this makes five pings, enough to check all other members within seconds.
const NEIGHBOUR_CHECK_PERCENT: u32 = 10;

/// Number of processes per availability zone that watch the store: those with the greatest
/// identifiers.
pub const WATCHERS: usize = 2;

// Sizes in bytes, for the broadcast budget, of a datagram without updates (including headers) and
// of an update.
const EMPTY_DATAGRAM_BYTES: usize = IP_UDP_HEADER_BYTES + 80;
const UPDATE_BYTES: usize = 14;

/// A datagram to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Content.
    pub message: Message,
}

/// The newest version of the configuration known from gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigSeen {
    /// The version.
    pub mark: ConfigVersionId,
    /// Some processes that have it in force, in the order in which they were heard from.
    pub holders: Vec<Member>,
}

/// Counters of membership events since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounts {
    /// Times that this process suspected a member.
    pub suspected: u64,
    /// Times that other processes reached a member and this one did not.
    pub silent_links: u64,
    /// Times that this process refuted an update on itself.
    pub objections: u64,
    /// Times that a version of the configuration was announced with a digest other than the known
    /// one.
    pub conflicting: u64,
}

/// One process's view of the members, and its part in the gossip protocol.
pub struct Membership {
    id: MemberId,
    version: StateVersion,
    reported: ReportedState,
    roster: Roster,
    broadcast_queue: BroadcastQueue,
    probes: Probes,
    started: Option<Time>,
    next_heartbeat: Time,
    // When the last datagram was received.
    last_received: Time,
    ping_schedule: PingSchedule,
    recheck: Vec<MemberId>,
    config: Option<ConfigVersionId>,
    news: NewestConfig,
    counts: MembershipCounts,
}

impl Membership {
    /// Creates the membership of a process that knows no other member yet. `incarnation` is its
    /// start time in milliseconds of Unix time.
    pub fn new(me: Member, incarnation: u64) -> Self {
        Membership {
            id: MemberId::new(&me.name),
            version: StateVersion {
                incarnation,
                serial: 0,
            },
            reported: ReportedState::Ready,
            roster: Roster::new(me),
            broadcast_queue: BroadcastQueue::new(),
            probes: Probes::default(),
            started: None,
            next_heartbeat: Time::ZERO,
            last_received: Time::ZERO,
            ping_schedule: PingSchedule::default(),
            recheck: Vec::new(),
            config: None,
            news: NewestConfig::default(),
            counts: MembershipCounts::default(),
        }
    }

    /// Applies a new version of the platform's list of hosts.
    pub fn update_hosts(&mut self, now: Time, hosts: &[HostRecord]) {
        self.roster.update_hosts(now, hosts);
    }

    /// Announces that this process accepts no new work. The update reaches all others within two
    /// seconds.
    pub fn set_draining(&mut self, now: Time) {
        self.set_own_state(now, ReportedState::Draining);
    }

    /// Announces that this process is about to exit.
    pub fn set_leaving(&mut self, now: Time) {
        self.set_own_state(now, ReportedState::Leaving);
    }

    /// Announces the version of the configuration that this process has in force and can serve.
    pub fn set_config(&mut self, now: Time, mark: ConfigVersionId) {
        if self.config.as_ref() != Some(&mark) {
            self.news.record(None, &mark);
            self.config = Some(mark);
            self.broadcast_queue.queue_own_update(now);
        }
    }

    /// Returns all known members except this process.
    pub fn members(&self, now: Time) -> Vec<MemberView> {
        self.roster.views(now)
    }

    /// Returns the state of a member.
    pub fn state(&self, now: Time, id: MemberId) -> Option<MemberState> {
        Some(self.roster.get(id)?.state(now))
    }

    /// Returns the newest version of the configuration known, including this process's own.
    pub fn best_config(&self) -> Option<ConfigSeen> {
        let members = self
            .news
            .holders
            .iter()
            .filter_map(|id| self.roster.get(*id));
        Some(ConfigSeen {
            mark: self.news.newest.clone()?,
            holders: members.filter_map(|entry| entry.member.clone()).collect(),
        })
    }

    /// Whether this process is one of the [`WATCHERS`] in its availability zone that watch the
    /// store.
    pub fn is_watcher(&self, now: Time) -> bool {
        let zone = self.roster.group(Distance::Zone).iter();
        let ready = zone.filter(|id| self.state(now, **id) == Some(MemberState::Ready));
        // Identifiers are digests, so their order is effectively random.
        ready.filter(|id| **id > self.id).count() < WATCHERS
    }

    /// Returns the counters.
    pub fn counts(&self) -> MembershipCounts {
        MembershipCounts {
            conflicting: self.news.conflicting,
            ..self.counts
        }
    }

    /// Returns the datagrams to send now. Must be called every [`TICK`].
    pub fn tick(&mut self, now: Time, rng: &mut fastrand::Rng) -> Vec<Datagram> {
        if self.started.is_none() {
            self.started = Some(now);
            // Spreads the heartbeats of processes that start at the same time.
            self.next_heartbeat = now + HEARTBEAT_INTERVAL.mul_f64(rng.f64());
            self.broadcast_queue.queue_own_update(now);
        }
        let mut out = Vec::new();
        for step in self.probes.due_steps(now) {
            self.run_probe_step(now, step, &mut out, rng);
        }
        let cost = |updates| EMPTY_DATAGRAM_BYTES + updates * UPDATE_BYTES;
        for round in self.broadcast_queue.due_rounds(now, cost) {
            for place in 0..round.copies {
                let distance = match place % 5 {
                    0..3 => Distance::Zone,
                    3 => Distance::Region,
                    _ => Distance::Far,
                };
                let peer = self.roster.pick(now, distance, rng);
                self.send(now, peer, Purpose::Update, round.updates.clone(), &mut out);
            }
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat =
                (self.next_heartbeat + HEARTBEAT_INTERVAL).max(now + HEARTBEAT_INTERVAL / 2);
            self.send_heartbeat(now, &mut out, rng);
        }
        out
    }

    /// Handles a datagram from `from` and returns the datagrams to send in response.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        rng: &mut fastrand::Rng,
    ) -> Vec<Datagram> {
        let mut out = Vec::new();
        if message.id == self.id {
            // The datagram is this process's own, or comes from another one with the same name.
            return out;
        }
        self.last_received = now;
        let update = MemberUpdate {
            id: message.id,
            version: message.version,
            reported: message.reported,
        };
        if self.roster.apply_direct(now, update) {
            self.broadcast_queue.push(now, update);
        }
        if let Some(mark) = &message.config {
            self.news.record(Some(message.id), mark);
        }
        for update in &message.updates {
            self.handle_update(now, *update, rng);
        }
        self.handle_purpose(now, from, &message, &mut out, rng);
        self.send_corrections(now, from, &message, &mut out);
        out
    }

    fn set_own_state(&mut self, now: Time, reported: ReportedState) {
        if self.reported < reported {
            self.reported = reported;
            self.version.serial += 1;
            self.broadcast_queue.queue_own_update(now);
        }
    }

    fn handle_update(&mut self, now: Time, update: MemberUpdate, rng: &mut fastrand::Rng) {
        if update.id == self.id {
            self.refute(now, update);
        } else if self.roster.apply(now, update) {
            // An update that a recently started process did not know is usually old. After a mass
            // restart, processes would otherwise forward the final updates of each other's
            // predecessors.
            if !self.recently_started(now) || update.reported == ReportedState::Ready {
                self.broadcast_queue.push(now, update);
            }
            if update.reported == ReportedState::Suspect && rng.u32(..100) < NEIGHBOUR_CHECK_PERCENT
            {
                // Other members of its zone may be gone as well: a rack or zone may have failed, or
                // the link to a region.
                let zone_peers = self.roster.zone_peers(now, update.id);
                self.recheck.extend(rng.choice(zone_peers));
            }
        }
    }

    // Refutes an update that reports a worse state of this process than its own, or that is about a
    // predecessor whose clock was ahead.
    fn refute(&mut self, now: Time, update: MemberUpdate) {
        let against = update.version == self.version && update.reported > self.reported;
        if update.version <= self.version && !against {
            if update.version.incarnation < self.version.incarnation
                && update.reported > self.reported
            {
                // A process has not learnt yet that the predecessor was replaced.
                self.broadcast_queue.queue_own_update(now);
            }
            return;
        }
        let incarnation = self.version.incarnation;
        self.version = if update.version.incarnation > incarnation {
            StateVersion {
                incarnation: update.version.incarnation + 1,
                serial: 0,
            }
        } else {
            StateVersion {
                incarnation,
                serial: update.version.serial + 1,
            }
        };
        self.counts.objections += 1;
        self.broadcast_queue.queue_own_update(now);
    }

    // Sends newer updates to a sender whose updates are outdated. A process that missed an update
    // would otherwise use the old state until it hears from the member itself, which takes minutes
    // in a large system.
    fn send_corrections(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: &Message,
        out: &mut Vec<Datagram>,
    ) {
        let updates = message.updates.iter();
        let updates: Vec<_> = updates
            .filter_map(|update| self.roster.correction(*update))
            .collect();
        let bytes = EMPTY_DATAGRAM_BYTES + updates.len() * UPDATE_BYTES;
        if !updates.is_empty() && self.broadcast_queue.try_spend(now, bytes) {
            let message = self.message(now, Purpose::Update, updates);
            out.push(Datagram { to: from, message });
        }
    }

    fn handle_purpose(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: &Message,
        out: &mut Vec<Datagram>,
        rng: &mut fastrand::Rng,
    ) {
        match message.purpose {
            Purpose::Update => {}
            Purpose::Ping(nonce) => {
                let most = if message.recently_started {
                    NEWCOMER_REMINDERS
                } else {
                    REMINDERS
                };
                // One of the updates may be on the receiver itself, which can then refute it.
                let updates = self.roster.sample_unready(most, rng);
                let message = self.message(now, Purpose::Ack(nonce), updates);
                out.push(Datagram { to: from, message });
            }
            Purpose::Ack(nonce) => {
                if let PingOrigin::Requester { address, nonce } = self.probes.handle_ack(nonce) {
                    let update = MemberUpdate {
                        id: message.id,
                        version: message.version,
                        reported: message.reported,
                    };
                    let message = self.message(now, Purpose::IndirectAck { nonce }, vec![update]);
                    out.push(Datagram {
                        to: address,
                        message,
                    });
                }
            }
            Purpose::PingRequest { nonce, target } => {
                let nonce = self.probes.start_indirect(now, target, from, nonce, rng);
                let updates = Vec::new();
                self.send(now, Some(target), Purpose::Ping(nonce), updates, out);
            }
            Purpose::IndirectAck { nonce } => self.probes.mark_reached(nonce),
        }
    }

    fn run_probe_step(
        &mut self,
        now: Time,
        step: ProbeStep,
        out: &mut Vec<Datagram>,
        rng: &mut fastrand::Rng,
    ) {
        match step {
            ProbeStep::Retry { nonce, target, ask } => {
                let updates = Vec::new();
                self.send(now, Some(target), Purpose::Ping(nonce), updates, out);
                let helpers = if ask {
                    INDIRECT_PROBE_DISTANCES.as_slice()
                } else {
                    &[]
                };
                for distance in helpers {
                    let helper = self.roster.pick(now, *distance, rng);
                    let helper = helper.filter(|id| *id != target);
                    let purpose = Purpose::PingRequest { nonce, target };
                    self.send(now, helper, purpose, Vec::new(), out);
                }
            }
            ProbeStep::LinkDown(target) => {
                self.counts.silent_links += 1;
                self.roster.mark_link_down(now, target);
                // All three pings may have been lost, so the link is checked again within a second.
                self.recheck.push(target);
            }
            // A process that has received nothing since is itself cut off, so it reports no
            // suspicion.
            ProbeStep::Suspect { target, since } if self.last_received <= since => {
                self.roster.mark_link_down(now, target);
            }
            ProbeStep::Suspect { target, since } => self.suspect(now, target, since),
        }
    }

    fn suspect(&mut self, now: Time, target: MemberId, since: Time) {
        let Some(entry) = self.roster.get(target) else {
            return;
        };
        if entry.heard_since(since) {
            return;
        }
        let update = MemberUpdate {
            id: target,
            version: entry.version,
            reported: ReportedState::Suspect,
        };
        if self.roster.apply(now, update) {
            self.counts.suspected += 1;
            self.broadcast_queue.push(now, update);
        }
    }

    fn send_heartbeat(&mut self, now: Time, out: &mut Vec<Datagram>, rng: &mut fastrand::Rng) {
        let updates = self.broadcast_queue.piggyback(PIGGYBACKED_UPDATES);
        let target = self.ping_schedule.next(now, &self.roster, rng);
        let reminders = self.roster.sample_unready(REMINDERS, rng);
        self.ping(now, target, reminders, out, rng);
        let zone = self.roster.pick(now, Distance::Zone, rng);
        self.send(now, zone, Purpose::Update, updates.clone(), out);
        // Traffic between regions is paid by volume, so only one datagram in twelve goes there.
        let distance = if rng.u8(..4) == 0 {
            Distance::Far
        } else {
            Distance::Region
        };
        let other = self.roster.pick(now, distance, rng);
        self.send(now, other, Purpose::Update, updates, out);
        for _ in 0..RECHECKS_PER_HEARTBEAT {
            let lost = self.recheck.pop();
            self.ping(now, lost, Vec::new(), out, rng);
        }
        if self.recheck.is_empty() && rng.u8(..5) == 0 {
            let missing: Vec<_> = self.roster.unreached(now).collect();
            let lost = rng.choice(missing);
            // The member's state is already bad, so a missing answer has no consequence and the
            // ping is not tracked as a probe. With indirect probes, a lost region would cost each
            // process 13 KB per second.
            let purpose = Purpose::Ping(rng.u32(..));
            self.send(now, lost, purpose, Vec::new(), out);
        }
    }

    fn ping(
        &mut self,
        now: Time,
        target: Option<MemberId>,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Datagram>,
        rng: &mut fastrand::Rng,
    ) {
        if let Some(target) = target {
            let nonce = self.probes.start(now, target, rng);
            self.send(now, Some(target), Purpose::Ping(nonce), updates, out);
        }
    }

    fn send(
        &self,
        now: Time,
        to: Option<MemberId>,
        purpose: Purpose,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Datagram>,
    ) {
        let Some(to) = to else {
            return;
        };
        if let Some(address) = self.roster.address(to) {
            let message = self.message(now, purpose, updates);
            out.push(Datagram {
                to: address,
                message,
            });
        }
    }

    fn recently_started(&self, now: Time) -> bool {
        self.started.is_none_or(|at| now < at + STARTUP_PERIOD)
    }

    fn message(&self, now: Time, purpose: Purpose, updates: Vec<MemberUpdate>) -> Message {
        Message {
            id: self.id,
            version: self.version,
            reported: self.reported,
            recently_started: self.recently_started(now),
            config: self.config.clone(),
            purpose,
            updates,
        }
    }
}
