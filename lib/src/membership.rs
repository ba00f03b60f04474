//! Which processes are there, which take new work, and which version of the configuration is about.
//!
//! Load pattern: 1,370 processes in ten availability zones, some of which leave, die, are cut off or
//! restart at any time, while the platform's list of hosts lags by seconds. If everyone watched
//! everyone, a process would receive 1,369 heartbeats a second, 150 KB. Here each sends three
//! datagrams a second whatever the number of processes, mostly within its availability zone, and
//! news is passed on at once (see `broadcast_queue`). One of the three is a ping (see
//! `probes`), so that each process is pinged about once a second by someone near.
//!
//! A call takes O(words in the datagram); [`Membership::members`] O(processes).

use std::net::SocketAddr;
use std::time::Duration;

use crate::broadcast_queue::BroadcastQueue;
use crate::config_apply::ConfigVersionId;
use crate::config_seen::NewestConfig;
use crate::gossip::Life;
use crate::gossip::MemberId;
use crate::gossip::Message;
use crate::gossip::OVERHEAD;
use crate::gossip::Purpose;
use crate::gossip::Said;
use crate::gossip::Word;
use crate::peers::Turns;
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

/// How often [`Membership::tick`] is to be called: the delay that each hop adds to news.
pub const TICK: Duration = Duration::from_millis(100);

const BEAT: Duration = Duration::from_millis(1_000);

// Words that ride with each datagram of a second.
const RIDERS: usize = 8;

// Words on members that are not ready, in each ping and its answer; who knows better says so.
const REMINDERS: usize = 16;

// The same in answer to a process that started lately.
const NEWCOMER: usize = 32;

// A process asks for that many for as long as this after its start.
const FRESH: Duration = Duration::from_secs(5);

// Others who are asked to ping a silent member, on paths that have little in common.
const HELPERS: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Far];

// Members that are pinged besides, with each beat, since there is doubt about them.
const RECHECKS: usize = 1;

// Of 100 processes that hear of a new suspect so many ping one of its neighbours. In a system of 50
// that is five pings, enough to find out about all others within seconds.
const CURIOUS: u32 = 10;

/// Processes of an availability zone that watch the store: those with the greatest identifiers.
pub const WATCHERS: usize = 2;

// Bytes of a datagram without words, and of a word, with all that is sent around them.
const EMPTY_BYTES: usize = OVERHEAD + 80;
const WORD_BYTES: usize = 14;

/// A datagram to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub message: Message,
}

/// The newest version of the configuration that was heard of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigSeen {
    /// The version.
    pub mark: ConfigVersionId,
    /// Some processes that have it in force, in the order in which they were heard.
    pub holders: Vec<Member>,
}

/// What the membership has met, since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MembershipCounts {
    /// Members suspected by this process.
    pub suspected: u64,
    /// Members that only others reached.
    pub silent_links: u64,
    /// Objections of this process to words against it.
    pub objections: u64,
    /// Two digests heard for one version of the configuration.
    pub conflicting: u64,
}

/// The members as one process knows them.
pub struct Membership {
    id: MemberId,
    life: Life,
    said: Said,
    roster: Roster,
    broadcast_queue: BroadcastQueue,
    probes: Probes,
    started: Option<Time>,
    next_beat: Time,
    // When a datagram came last.
    heard: Time,
    turns: Turns,
    recheck: Vec<MemberId>,
    config: Option<ConfigVersionId>,
    news: NewestConfig,
    counts: MembershipCounts,
}

impl Membership {
    /// The membership of a process that knows nobody yet. `incarnation` is the time of its start in
    /// milliseconds of Unix time.
    pub fn new(me: Member, incarnation: u64) -> Self {
        Membership {
            id: MemberId::new(&me.name),
            life: Life {
                incarnation,
                serial: 0,
            },
            said: Said::Ready,
            roster: Roster::new(me),
            broadcast_queue: BroadcastQueue::new(),
            probes: Probes::default(),
            started: None,
            next_beat: Time::ZERO,
            heard: Time::ZERO,
            turns: Turns::default(),
            recheck: Vec::new(),
            config: None,
            news: NewestConfig::default(),
            counts: MembershipCounts::default(),
        }
    }

    /// Takes in the platform's list of hosts.
    pub fn hosts(&mut self, now: Time, hosts: &[HostRecord]) {
        self.roster.hosts(now, hosts);
    }

    /// Says that this process takes no new work. It reaches all others within two seconds.
    pub fn set_draining(&mut self, now: Time) {
        self.say(now, Said::Draining);
    }

    /// Says that this process ends.
    pub fn set_leaving(&mut self, now: Time) {
        self.say(now, Said::Leaving);
    }

    /// Says which version of the configuration this process has in force and hands on.
    pub fn set_config(&mut self, now: Time, mark: ConfigVersionId) {
        if self.config.as_ref() != Some(&mark) {
            self.news.record(None, &mark);
            self.config = Some(mark);
            self.broadcast_queue.queue_own_update(now);
        }
    }

    /// All known members but this process.
    pub fn members(&self, now: Time) -> Vec<MemberView> {
        self.roster.views(now)
    }

    /// A member's state.
    pub fn state(&self, now: Time, id: MemberId) -> Option<MemberState> {
        Some(self.roster.get(id)?.state(now))
    }

    /// The newest version heard of, this process's own included.
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

    /// Whether this process is one of the few of its availability zone that watch the store.
    pub fn is_watcher(&self, now: Time) -> bool {
        let zone = self.roster.group(Distance::Zone).iter();
        let ready = zone.filter(|id| self.state(now, **id) == Some(MemberState::Ready));
        // The identifiers are digests, so that their order is as good as a drawn one.
        ready.filter(|id| **id > self.id).count() < WATCHERS
    }

    /// What was met so far.
    pub fn counts(&self) -> MembershipCounts {
        MembershipCounts {
            conflicting: self.news.conflicting,
            ..self.counts
        }
    }

    /// What to send now. To be called every [`TICK`].
    pub fn tick(&mut self, now: Time, rng: &mut fastrand::Rng) -> Vec<Datagram> {
        if self.started.is_none() {
            self.started = Some(now);
            // Processes that start together do not beat together.
            self.next_beat = now + BEAT.mul_f64(rng.f64());
            self.broadcast_queue.queue_own_update(now);
        }
        let mut out = Vec::new();
        for step in self.probes.due_steps(now) {
            self.step(now, step, &mut out, rng);
        }
        let cost = |words| EMPTY_BYTES + words * WORD_BYTES;
        for round in self.broadcast_queue.due_rounds(now, cost) {
            for place in 0..round.copies {
                let distance = match place % 5 {
                    0..3 => Distance::Zone,
                    3 => Distance::Region,
                    _ => Distance::Far,
                };
                let peer = self.roster.pick(now, distance, rng);
                self.send(now, peer, Purpose::Tell, round.words.clone(), &mut out);
            }
        }
        if now >= self.next_beat {
            self.next_beat = (self.next_beat + BEAT).max(now + BEAT / 2);
            self.beat(now, &mut out, rng);
        }
        out
    }

    /// Takes in a datagram from `from`, and returns what to send in answer.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        rng: &mut fastrand::Rng,
    ) -> Vec<Datagram> {
        let mut out = Vec::new();
        if message.id == self.id {
            // A datagram of its own, or of one who was given the same name.
            return out;
        }
        self.heard = now;
        let word = Word {
            id: message.id,
            life: message.life,
            said: message.said,
        };
        if self.roster.hear_directly(now, word) {
            self.broadcast_queue.push(now, word);
        }
        if let Some(mark) = &message.config {
            self.news.record(Some(message.id), mark);
        }
        for word in &message.words {
            self.hear(now, *word, rng);
        }
        self.answer(now, from, &message, &mut out, rng);
        self.correct(now, from, &message, &mut out);
        out
    }

    fn say(&mut self, now: Time, said: Said) {
        if self.said < said {
            self.said = said;
            self.life.serial += 1;
            self.broadcast_queue.queue_own_update(now);
        }
    }

    fn hear(&mut self, now: Time, word: Word, rng: &mut fastrand::Rng) {
        if word.id == self.id {
            self.object(now, word);
        } else if self.roster.hear(now, word) {
            // Bad news that is new to a newcomer is old. When all restart at once, they would else
            // pass on the last words of each other's predecessors.
            if !self.is_fresh(now) || word.said == Said::Ready {
                self.broadcast_queue.push(now, word);
            }
            if word.said == Said::Suspect && rng.u32(..100) < CURIOUS {
                // Where one is gone, its neighbours may be: a rack, a zone, the link to a region.
                let neighbours = self.roster.neighbours(now, word.id);
                self.recheck.extend(rng.choice(neighbours));
            }
        }
    }

    // Others say worse of this process than it does, or speak of a predecessor whose clock was ahead.
    fn object(&mut self, now: Time, word: Word) {
        let against = word.life == self.life && word.said > self.said;
        if word.life <= self.life && !against {
            if word.life.incarnation < self.life.incarnation && word.said > self.said {
                // Somebody has not heard that the predecessor is replaced.
                self.broadcast_queue.queue_own_update(now);
            }
            return;
        }
        let incarnation = self.life.incarnation;
        self.life = if word.life.incarnation > incarnation {
            Life {
                incarnation: word.life.incarnation + 1,
                serial: 0,
            }
        } else {
            Life {
                incarnation,
                serial: word.life.serial + 1,
            }
        };
        self.counts.objections += 1;
        self.broadcast_queue.queue_own_update(now);
    }

    // Whoever missed a word would go by the old one until it hears the process itself, which in a
    // large system takes minutes.
    fn correct(&mut self, now: Time, from: SocketAddr, message: &Message, out: &mut Vec<Datagram>) {
        let words = message.words.iter();
        let words: Vec<_> = words.filter_map(|w| self.roster.correction(*w)).collect();
        let bytes = EMPTY_BYTES + words.len() * WORD_BYTES;
        if !words.is_empty() && self.broadcast_queue.try_spend(now, bytes) {
            let message = self.message(now, Purpose::Tell, words);
            out.push(Datagram { to: from, message });
        }
    }

    fn answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: &Message,
        out: &mut Vec<Datagram>,
        rng: &mut fastrand::Rng,
    ) {
        match message.purpose {
            Purpose::Tell => {}
            Purpose::Ping(nonce) => {
                let most = if message.fresh { NEWCOMER } else { REMINDERS };
                // One of them may be on the receiver itself, which objects.
                let words = self.roster.unready(most, rng);
                let message = self.message(now, Purpose::Ack(nonce), words);
                out.push(Datagram { to: from, message });
            }
            Purpose::Ack(nonce) => {
                if let PingOrigin::Requester { address, nonce } = self.probes.handle_ack(nonce) {
                    let word = Word {
                        id: message.id,
                        life: message.life,
                        said: message.said,
                    };
                    let message = self.message(now, Purpose::Reached { nonce }, vec![word]);
                    out.push(Datagram {
                        to: address,
                        message,
                    });
                }
            }
            Purpose::Ask { nonce, target } => {
                let nonce = self.probes.start_indirect(now, target, from, nonce, rng);
                let words = Vec::new();
                self.send(now, Some(target), Purpose::Ping(nonce), words, out);
            }
            Purpose::Reached { nonce } => self.probes.mark_reached(nonce),
        }
    }

    fn step(
        &mut self,
        now: Time,
        step: ProbeStep,
        out: &mut Vec<Datagram>,
        rng: &mut fastrand::Rng,
    ) {
        match step {
            ProbeStep::Retry { nonce, target, ask } => {
                let words = Vec::new();
                self.send(now, Some(target), Purpose::Ping(nonce), words, out);
                let helpers = if ask { HELPERS.as_slice() } else { &[] };
                for distance in helpers {
                    let helper = self.roster.pick(now, *distance, rng);
                    let helper = helper.filter(|id| *id != target);
                    let purpose = Purpose::Ask { nonce, target };
                    self.send(now, helper, purpose, Vec::new(), out);
                }
            }
            ProbeStep::LinkDown(target) => {
                self.counts.silent_links += 1;
                self.roster.link_is_silent(now, target);
                // Loss may have hit all three pings: the next one tells within a second.
                self.recheck.push(target);
            }
            // Who hears nobody is cut off itself, and has nothing to say of others.
            ProbeStep::Suspect { target, since } if self.heard <= since => {
                self.roster.link_is_silent(now, target);
            }
            ProbeStep::Suspect { target, since } => self.condemn(now, target, since),
        }
    }

    fn condemn(&mut self, now: Time, target: MemberId, since: Time) {
        let Some(entry) = self.roster.get(target) else {
            return;
        };
        if entry.heard_since(since) {
            return;
        }
        let word = Word {
            id: target,
            life: entry.life,
            said: Said::Suspect,
        };
        if self.roster.hear(now, word) {
            self.counts.suspected += 1;
            self.broadcast_queue.push(now, word);
        }
    }

    fn beat(&mut self, now: Time, out: &mut Vec<Datagram>, rng: &mut fastrand::Rng) {
        let words = self.broadcast_queue.piggyback(RIDERS);
        let target = self.turns.next(now, &self.roster, rng);
        let reminders = self.roster.unready(REMINDERS, rng);
        self.ping(now, target, reminders, out, rng);
        let zone = self.roster.pick(now, Distance::Zone, rng);
        self.send(now, zone, Purpose::Tell, words.clone(), out);
        // Links between regions are paid by volume: one datagram in twelve.
        let distance = if rng.u8(..4) == 0 {
            Distance::Far
        } else {
            Distance::Region
        };
        let other = self.roster.pick(now, distance, rng);
        self.send(now, other, Purpose::Tell, words, out);
        for _ in 0..RECHECKS {
            let lost = self.recheck.pop();
            self.ping(now, lost, Vec::new(), out, rng);
        }
        if self.recheck.is_empty() && rng.u8(..5) == 0 {
            let missing: Vec<_> = self.roster.missing(now).collect();
            let lost = rng.choice(missing);
            // A verdict stands already: nothing is to follow if no answer comes. With questions to
            // others a lost region would cost each process 13 KB a second.
            let purpose = Purpose::Ping(rng.u32(..));
            self.send(now, lost, purpose, Vec::new(), out);
        }
    }

    fn ping(
        &mut self,
        now: Time,
        target: Option<MemberId>,
        words: Vec<Word>,
        out: &mut Vec<Datagram>,
        rng: &mut fastrand::Rng,
    ) {
        if let Some(target) = target {
            let nonce = self.probes.start(now, target, rng);
            self.send(now, Some(target), Purpose::Ping(nonce), words, out);
        }
    }

    fn send(
        &self,
        now: Time,
        to: Option<MemberId>,
        purpose: Purpose,
        words: Vec<Word>,
        out: &mut Vec<Datagram>,
    ) {
        let Some(to) = to else {
            return;
        };
        if let Some(address) = self.roster.address(to) {
            let message = self.message(now, purpose, words);
            out.push(Datagram {
                to: address,
                message,
            });
        }
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.started.is_none_or(|at| now < at + FRESH)
    }

    fn message(&self, now: Time, purpose: Purpose, words: Vec<Word>) -> Message {
        Message {
            id: self.id,
            life: self.life,
            said: self.said,
            fresh: self.is_fresh(now),
            config: self.config.clone(),
            purpose,
            words,
        }
    }
}
