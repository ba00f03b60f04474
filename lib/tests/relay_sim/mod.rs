//! Hundreds of relays in virtual time: how they find each other, who calls the directory, and how state spreads.
//!
//! The decisions are the product's. What the simulation adds is what the relay's tasks do with them, a network with
//! delay and loss, and a directory that may be away.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::RelayHello;
use cicada_lib::relay_peers::RelayPeers;
use cicada_lib::revision::Revision;
use cicada_lib::state_holders::StateVersion;
use cicada_lib::time::Time;
use cicada_lib::watch_election;
use cicada_lib::watch_election::WatchElection;
use cicada_lib::zone_evacuation::EvacuatedZones;

/// Regions, and one-way delays within one and between two of them, in milliseconds.
pub(crate) const REGIONS: usize = 3;
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 30;

/// Share of datagrams that are lost.
const LOSS: f64 = 0.01;

/// Relays that all others start from.
const SEEDS: usize = 3;

/// Intervals of a relay's tasks, in milliseconds.
const TICK_MS: u64 = 50;
const HELLO_MS: u64 = 400;
const PULL_MS: u64 = 250;
const LIST_MS: u64 = 1_000;
const WATCH_MS: u64 = 300;
const JOIN_MS: u64 = 1_000;

/// Large responses that a relay sends at the same time.
const PULLS_AT_ONCE: u32 = 8;

fn millis(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn address(number: usize) -> SocketAddr {
    let [_, _, upper, lower] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 0, upper, lower], 7_200))
}

fn zone(number: usize) -> Name {
    Name::new(format!("zone-{}", number % REGIONS))
}

/// One relay.
struct Relay {
    number: usize,
    started: u64,
    phase: u64,
    peers: RelayPeers,
    election: WatchElection,
    version: u64,
    watching: bool,
    hello_due: bool,
    next_watch: u64,
    // Pulls served in the present interval.
    serving: u32,
}

impl Relay {
    fn new(number: usize, started: u64, phase: u64) -> Self {
        let mut peers = RelayPeers::default();
        peers.add_known(address(number), (0..SEEDS).map(address));
        Relay {
            number,
            started,
            phase,
            peers,
            election: WatchElection::default(),
            version: 0,
            watching: false,
            hello_due: false,
            next_watch: 0,
            serving: 0,
        }
    }

    fn relays_in_region(&self, now: u64) -> usize {
        let own = zone(self.number);
        self.peers
            .region_size(millis(now), REGIONS, |zone| *zone == own)
    }

    fn hello(&mut self, now: u64) -> RelayHello {
        let relays = self.relays_in_region(now);
        RelayHello {
            zone: zone(self.number),
            watches_directory: self.watching,
            watchers: self.election.statements(millis(now), relays),
            relay_count: self.peers.known_count() as u32,
            list_complete: self.peers.is_list_complete(),
            version: self.version,
            revision: Revision::new(0, self.version),
            known_relays: self.peers.sample_heard(4),
            evacuated: EvacuatedZones::default(),
            limits: Vec::new(),
            leaving: Vec::new(),
            demands: Vec::new(),
        }
    }

    /// Applies a hello, and returns whether it is answered.
    fn hear(&mut self, now: u64, from: SocketAddr, hello: &RelayHello) -> bool {
        let at = millis(now);
        self.peers.record_hello(at, from, hello);
        let known = hello.known_relays.iter().copied();
        self.peers.add_known(address(self.number), known);
        if hello.zone == zone(self.number) {
            let own = address(self.number);
            let relays = self.relays_in_region(now);
            let before = self.election.is_watched(at, own, relays);
            self.election
                .record(at, from, hello.watches_directory, Duration::ZERO);
            for statement in hello.watchers.iter().filter(|s| s.relay != own) {
                let age = Duration::from_millis(u64::from(statement.age_ms));
                self.election
                    .record(at, statement.relay, statement.watches, age);
            }
            self.hello_due |= !before && self.election.is_watched(at, own, relays);
        }
        let knows_more = hello.relay_count < self.peers.known_count() as u32;
        hello.version == 0 && (self.version > 0 || knows_more)
    }
}

/// What the simulation counts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// Calls to the directory.
    pub(crate) calls: u64,
    /// Relays that began to watch.
    pub(crate) takeovers: u64,
    /// Datagrams between relays, and their bytes.
    pub(crate) datagrams: u64,
    /// Bytes of these.
    pub(crate) bytes: u64,
}

/// A deployment of relays.
pub(crate) struct Deployment {
    now: u64,
    relays: Vec<Relay>,
    /// Whether the directory answers.
    pub(crate) served: bool,
    /// The version that the directory has.
    pub(crate) latest: u64,
    /// What was counted so far.
    pub(crate) counts: Counts,
    // Datagrams on their way, by the time of their arrival.
    network: BTreeMap<u64, Vec<(usize, usize, RelayHello)>>,
}

impl Deployment {
    /// All relays start within 0.3 s.
    pub(crate) fn start(relays: usize, seed: u64) -> Self {
        fastrand::seed(seed);
        let relays = (0..relays).map(|n| Relay::new(n, fastrand::u64(..300), fastrand::u64(..400)));
        Deployment {
            now: 0,
            relays: relays.collect(),
            served: true,
            latest: 1,
            counts: Counts::default(),
            network: BTreeMap::new(),
        }
    }

    /// Kills all relays; they start again after a moment.
    pub(crate) fn kill_all(&mut self) {
        self.network.clear();
        for relay in &mut self.relays {
            let started = self.now + 500 + fastrand::u64(..300);
            *relay = Relay::new(relay.number, started, relay.phase);
        }
    }

    /// Lets scouts offer the state that they hold to the seeds.
    pub(crate) fn offer_state(&mut self) {
        let (at, version) = (millis(self.now), self.latest);
        let state = StateVersion {
            version,
            revision: Revision::new(0, version),
            relay_count: self.relays.len() as u32,
        };
        for seed in &mut self.relays[..SEEDS] {
            seed.peers.record_offer(at, address(60_000), state.clone());
        }
    }

    /// Runs for so long, or until all relays have the directory's latest state; returns the time that it took.
    pub(crate) fn run_until_all_know(&mut self, limit: Duration) -> Duration {
        let begun = self.now;
        let until = begun + limit.as_millis() as u64;
        while self.now < until && !self.all_know() {
            self.step();
        }
        Duration::from_millis(self.now - begun)
    }

    /// Runs for so long, and returns what was counted.
    pub(crate) fn run(&mut self, duration: Duration) -> Counts {
        let before = std::mem::take(&mut self.counts);
        let until = self.now + duration.as_millis() as u64;
        while self.now < until {
            self.step();
        }
        let counted = self.counts;
        self.counts.calls += before.calls;
        counted
    }

    /// Whether all relays have the latest state.
    pub(crate) fn all_know(&self) -> bool {
        self.relays.iter().all(|relay| relay.version == self.latest)
    }

    /// The fewest relays that any relay knows.
    pub(crate) fn least_known(&self) -> usize {
        let known = self.relays.iter().map(|relay| relay.peers.known_count());
        known.min().unwrap_or_default()
    }

    fn step(&mut self) {
        self.now += 1;
        self.deliver();
        if self.now.is_multiple_of(PULL_MS) {
            self.relays.iter_mut().for_each(|relay| relay.serving = 0);
        }
        for number in 0..self.relays.len() {
            if self.now < self.relays[number].started {
                continue;
            }
            let time = self.now + self.relays[number].phase;
            if time.is_multiple_of(TICK_MS) {
                self.decide_watch(number);
            }
            let interval = match self.relays[number].version {
                0 => TICK_MS,
                _ => PULL_MS,
            };
            if time.is_multiple_of(interval) {
                self.pull_state(number);
            }
            if time.is_multiple_of(LIST_MS) {
                self.pull_list(number);
            }
            if time.is_multiple_of(HELLO_MS) || std::mem::take(&mut self.relays[number].hello_due) {
                self.say_hello(number);
            }
        }
    }

    fn deliver(&mut self) {
        let Some(arrived) = self.network.remove(&self.now) else {
            return;
        };
        for (from, to, hello) in arrived {
            if self.now >= self.relays[to].started
                && self.relays[to].hear(self.now, address(from), &hello)
            {
                let answer = self.relays[to].hello(self.now);
                self.send(to, from, answer);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, hello: RelayHello) {
        let encoded = peer_messages::encode(&Datagram::Hello(hello.clone()));
        self.counts.datagrams += 1;
        self.counts.bytes += encoded.map_or(0, |bytes| bytes.len() as u64);
        if to < self.relays.len() && fastrand::f64() >= LOSS {
            let delay = match from % REGIONS == to % REGIONS {
                true => NEAR_MS,
                false => FAR_MS,
            };
            let arrives = self.network.entry(self.now + delay).or_default();
            arrives.push((from, to, hello));
        }
    }

    fn say_hello(&mut self, number: usize) {
        let now = self.now;
        let hello = self.relays[number].hello(now);
        let own = zone(number);
        let relay = &self.relays[number];
        let mut targets = relay.peers.gossip_targets();
        if relay.watching {
            targets.extend(
                relay
                    .peers
                    .recently_heard_in(millis(now), |zone| *zone == own),
            );
        }
        for target in targets {
            self.send(number, self.number_of(target), hello.clone());
        }
    }

    fn number_of(&self, address: SocketAddr) -> usize {
        let SocketAddr::V4(address) = address else {
            unreachable!("all addresses are of version 4");
        };
        let [_, _, upper, lower] = address.ip().octets();
        usize::from(u16::from_be_bytes([upper, lower]))
    }

    fn decide_watch(&mut self, number: usize) {
        let now = self.now;
        let relay = &mut self.relays[number];
        let joins = number >= SEEDS && now < relay.started + JOIN_MS && relay.version == 0;
        let relays = relay.relays_in_region(now);
        let own = address(number);
        if joins
            || !relay
                .election
                .may_watch(millis(now), own, relay.watching, relays)
        {
            relay.watching = false;
            return;
        }
        let tick = Duration::from_millis(TICK_MS);
        if !relay.watching && !watch_election::calls_now(tick, relays, fastrand::f64()) {
            return;
        }
        if relay.watching && now < relay.next_watch {
            return;
        }
        self.counts.calls += 1;
        if !self.served {
            relay.watching = false;
            return;
        }
        if !relay.watching {
            relay.watching = true;
            relay.hello_due = true;
            self.counts.takeovers += 1;
        }
        relay.next_watch = now + WATCH_MS;
        relay.version = self.latest;
    }

    fn pull_state(&mut self, number: usize) {
        let now = millis(self.now);
        let relay = &self.relays[number];
        let source = match relay.version {
            0 => relay.peers.any_with_config(now),
            version => relay.peers.most_advanced_config(now, version),
        };
        let Some(source) = source.map(|source| self.number_of(source)) else {
            return;
        };
        // A scout that holds the state.
        if source >= self.relays.len() {
            self.take_state(number, self.latest);
            return;
        }
        let serving = &mut self.relays[source];
        if serving.serving < PULLS_AT_ONCE {
            serving.serving += 1;
            let version = serving.version;
            self.take_state(number, version);
        }
    }

    fn take_state(&mut self, number: usize, version: u64) {
        let relay = &mut self.relays[number];
        relay.hello_due |= relay.version == 0 && version > 0;
        relay.version = relay.version.max(version);
    }

    fn pull_list(&mut self, number: usize) {
        let now = millis(self.now);
        let Some(source) = self.relays[number].peers.better_informed(now) else {
            return;
        };
        let source = self.number_of(source);
        if source < self.relays.len() {
            let list = self.relays[source].peers.relay_list(address(source));
            self.relays[number].peers.merge_list(address(number), list);
        }
    }
}
