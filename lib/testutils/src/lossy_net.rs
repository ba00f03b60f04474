//! Many memberships that exchange datagrams over a network with delay, loss and cuts, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::gossip::IP_UDP_HEADER_BYTES;
use cicada_lib::gossip::Message;
use cicada_lib::ids::Name;
use cicada_lib::membership::Datagram;
use cicada_lib::membership::Membership;
use cicada_lib::membership::TICK;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use cicada_lib::roster::Member;
use cicada_lib::roster::MemberState;
use cicada_lib::time::Time;

const KEY: [u8; 32] = [7; 32];

/// Whether datagrams from one node to another are lost.
pub type Cut = Box<dyn Fn(&Node, &Node) -> bool>;

/// One process.
pub struct Node {
    /// Where it is.
    pub host: HostRecord,
    /// Its membership.
    pub membership: Membership,
    /// Whether it runs. A node that does not run neither sends nor receives.
    pub up: bool,
    /// Whether it adopts a version of the configuration some time after it heard of it.
    pub follows: bool,
    /// When it has the version in force that is wanted.
    pub adopted: Option<ConfigVersionId>,
    /// Bytes sent, with the headers of IP and UDP.
    pub sent: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// The most bytes that it sent within one second.
    pub peak: u64,
    second: u64,
    in_second: u64,
}

enum Event {
    Tick(usize),
    Arrive {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Adopt(usize, ConfigVersionId),
}

struct Due {
    at: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The network and its nodes. Node `n` has the port `10000 + n`.
pub struct LossyNet {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Part of datagrams that are lost.
    pub loss: f64,
    /// Which links are cut.
    pub cut: Cut,
    /// Processor time spent in ticks, sealing, opening and receiving.
    pub cpu: Duration,
    now: Time,
    events: BinaryHeap<Reverse<Due>>,
    sequence: u64,
    rng: fastrand::Rng,
}

fn address(number: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(number).expect("a few thousand nodes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl LossyNet {
    /// `count` nodes in `regions` regions of `zones` availability zones each; one in four is an entry.
    pub fn new(count: usize, regions: usize, zones: usize, seed: u64) -> Self {
        let hosts = (0..count).map(|number| host(number, regions, zones));
        let nodes = hosts.map(|host| node(host, 1_000)).collect();
        let mut net = LossyNet {
            nodes,
            loss: 0.0,
            cut: Box::new(|_, _| false),
            cpu: Duration::ZERO,
            now: Time::from_millis(10_000),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        net.list_hosts();
        for number in 0..count {
            let phase = TICK.mul_f64(net.rng.f64());
            net.push(net.now + phase, Event::Tick(number));
        }
        net
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Gives every node the list of all hosts.
    pub fn list_hosts(&mut self) {
        let hosts: Vec<_> = self.nodes.iter().map(|node| node.host.clone()).collect();
        for node in &mut self.nodes {
            node.membership.update_hosts(self.now, &hosts);
        }
    }

    /// Replaces a node's process by a new one that knows only the list of hosts.
    pub fn restart(&mut self, number: usize, incarnation: u64) {
        let hosts: Vec<_> = self.nodes.iter().map(|node| node.host.clone()).collect();
        let host = hosts[number].clone();
        self.nodes[number] = node(host, incarnation);
        self.nodes[number].membership.update_hosts(self.now, &hosts);
    }

    /// Lets the time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(Reverse(due)) = self.events.peek()
            && due.at <= until
        {
            let Some(Reverse(due)) = self.events.pop() else {
                break;
            };
            self.now = due.at;
            self.carry_out(due.event);
        }
        self.now = until;
    }

    /// Lets the time pass until `done`, and returns how long that took; `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&LossyNet) -> bool,
    ) -> Option<Duration> {
        let from = self.now;
        while self.now.since(from) <= limit {
            if done(self) {
                return Some(self.now.since(from));
            }
            self.run(Duration::from_millis(50));
        }
        None
    }

    /// What `observer` makes of `subject`.
    pub fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        let id = cicada_lib::gossip::MemberId::new(&self.nodes[subject].host.name);
        self.nodes[observer].membership.state(self.now, id)
    }

    /// Whether all other nodes that run hold `subject` for the state.
    pub fn all_see(&self, subject: usize, state: MemberState) -> bool {
        let observers = (0..self.nodes.len()).filter(|n| *n != subject && self.nodes[*n].up);
        observers
            .into_iter()
            .all(|n| self.state(n, subject) == Some(state))
    }

    /// How many pairs of nodes that run hold each other for something else than ready.
    pub fn misjudged(&self) -> usize {
        let up: Vec<_> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].up)
            .collect();
        let wrong = |a: usize, b: usize| a != b && self.state(a, b) != Some(MemberState::Ready);
        up.iter()
            .map(|a| up.iter().filter(|b| wrong(*a, **b)).count())
            .sum()
    }

    /// Forgets the counts of bytes and time.
    pub fn reset_counts(&mut self) {
        self.cpu = Duration::ZERO;
        for node in &mut self.nodes {
            node.sent = 0;
            node.datagrams = 0;
            node.peak = 0;
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Due {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Tick(number) => {
                self.push(self.now + TICK, Event::Tick(number));
                if self.nodes[number].up {
                    let from = Instant::now();
                    let node = &mut self.nodes[number];
                    let out = node.membership.tick(self.now, &mut self.rng);
                    self.cpu += from.elapsed();
                    self.send(number, out);
                }
            }
            Event::Arrive { to, from, bytes } => self.arrive(to, from, &bytes),
            Event::Adopt(number, mark) => {
                let node = &mut self.nodes[number];
                node.membership.set_config(self.now, mark.clone());
                node.adopted = Some(mark);
            }
        }
    }

    fn arrive(&mut self, to: usize, from: usize, bytes: &[u8]) {
        if !self.nodes[to].up {
            return;
        }
        let started = Instant::now();
        let message = Message::open(bytes, &KEY).expect("the network changes nothing");
        let heard = message.config.clone();
        let node = &mut self.nodes[to];
        let out = node
            .membership
            .receive(self.now, address(from), message, &mut self.rng);
        self.cpu += started.elapsed();
        self.send(to, out);
        let node = &self.nodes[to];
        let newer = heard.filter(|mark| {
            let held = node.adopted.as_ref().map(|held| held.version);
            held < Some(mark.version)
        });
        if let Some(mark) = newer
            && node.follows
        {
            // The time to pull the changed chunks from the sender.
            let pull = Duration::from_millis(self.rng.u64(20..200));
            self.push(self.now + pull, Event::Adopt(to, mark));
        }
    }

    fn send(&mut self, from: usize, out: Vec<Datagram>) {
        let second = self.now.micros() / 1_000_000;
        for datagram in out {
            let started = Instant::now();
            let bytes = datagram.message.seal(&KEY);
            self.cpu += started.elapsed();
            assert!(
                bytes.len() <= cicada_lib::gossip::MAX_DATAGRAM,
                "{} bytes",
                bytes.len()
            );
            let to = usize::from(datagram.to.port()) - 10_000;
            self.count(from, second, (bytes.len() + IP_UDP_HEADER_BYTES) as u64);
            let lost = self.rng.f64() < self.loss;
            if lost || (self.cut)(&self.nodes[from], &self.nodes[to]) {
                continue;
            }
            let delay = self.delay(from, to);
            self.push(self.now + delay, Event::Arrive { to, from, bytes });
        }
    }

    fn count(&mut self, from: usize, second: u64, bytes: u64) {
        let node = &mut self.nodes[from];
        if node.second != second {
            node.second = second;
            node.in_second = 0;
        }
        node.in_second += bytes;
        node.peak = node.peak.max(node.in_second);
        node.sent += bytes;
        node.datagrams += 1;
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (a, b) = (&self.nodes[from].host, &self.nodes[to].host);
        let micros = if a.region != b.region {
            30_000
        } else if a.zone != b.zone {
            1_500
        } else {
            300
        };
        Duration::from_micros(self.rng.u64(micros..micros * 3 / 2))
    }
}

fn host(number: usize, regions: usize, zones: usize) -> HostRecord {
    let region = number % regions;
    let zone = number / regions % zones;
    let is_entry = number.is_multiple_of(4);
    HostRecord {
        name: Name::new(format!("host-{number}")),
        role: if is_entry {
            HostRole::Entry
        } else {
            HostRole::Agent
        },
        address: address(number),
        status: address(number),
        service: Name::new(if is_entry { "" } else { "ceremony" }),
        region: Name::new(format!("region-{region}")),
        zone: Name::new(format!("zone-{region}-{zone}")),
        leaving: false,
    }
}

fn node(host: HostRecord, incarnation: u64) -> Node {
    Node {
        membership: Membership::new(Member::from(&host), incarnation),
        host,
        up: true,
        follows: false,
        adopted: None,
        sent: 0,
        datagrams: 0,
        peak: 0,
        second: 0,
        in_second: 0,
    }
}
