//! A simulated fleet of entries before backend servers, some of whose requests crash the servers that run them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::crash_mark::CrashId;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::MAX_DATAGRAM;
use cicada_lib::quarantine::Admission;
use cicada_lib::quarantine::Candidate;
use cicada_lib::quarantine::CrashedRun;
use cicada_lib::quarantine::Quarantine;
use cicada_lib::server_reserve::ListedServer;
use cicada_lib::time::Time;
use fastrand::Rng;

/// When the first requests come: the entries have been running for a while.
const BEGIN: Duration = Duration::from_secs(60);

/// The time at which the first requests come.
pub fn begin() -> Time {
    Time::ZERO + BEGIN
}

/// The service of all servers.
const SERVICE: Fingerprint = Fingerprint(0);

/// Entries that each entry passes news on to.
const FANOUT: usize = 12;

/// The longest time that a message takes where none is late, in milliseconds.
pub const DELAY_MS: u64 = 40;

/// Interval at which entries ask for trials and grant them, and the longest wait of a copy, in milliseconds.
const TICK_MS: u64 = 100;
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How long a request runs before its server crashes or answers.
pub const RUN: Duration = Duration::from_millis(30);

/// How long a server that crashed is down.
pub const DOWN: Duration = Duration::from_millis(3_500);

/// A copy of a request at an entry.
#[derive(Clone, Debug)]
struct Copy {
    entry: usize,
    // Itself, and the parts of its prompt that others share.
    subjects: Vec<Fingerprint>,
    is_deadly: bool,
    trial: u64,
    arrived: Time,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Arrives,
    Asks,
    Runs {
        server: usize,
        until: Time,
        on_trial: bool,
    },
    Ended,
}

/// How messages between entries fare.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// The shortest and the longest time on the way, in milliseconds.
    pub delay: (u64, u64),
    /// The share that is lost.
    pub loss: f64,
}

/// Messages that arrive soon.
pub const SOUND: Net = Net {
    delay: (1, DELAY_MS),
    loss: 0.0,
};

/// Entries before the servers of one service, and how many of them each request crashes.
pub struct Fleet {
    /// The source of its chances.
    pub rng: Rng,
    entries: Vec<Quarantine>,
    copies: Vec<Copy>,
    /// When each server is back.
    pub down_until: Vec<Time>,
    incarnations: Vec<u64>,
    /// How messages fare.
    pub net: Net,
    // Messages on their way: when they arrive, from where, where, and what they say.
    messages: Vec<(Time, usize, usize, Datagram)>,
    /// When servers crashed.
    pub crashes: Vec<Time>,
    /// Crashes on trial of each request.
    pub trial_crashes: HashMap<Fingerprint, usize>,
    /// Requests of which a copy was refused.
    pub refused: HashSet<Fingerprint>,
    /// Requests that were served.
    pub served: HashSet<Fingerprint>,
}

impl Copy {
    fn candidate(&self, servers: usize) -> Candidate {
        Candidate {
            subjects: self.subjects.clone(),
            service: SERVICE,
            servers: servers as u16,
        }
    }
}

/// The address of an entry.
pub fn address(entry: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + entry as u16))
}

fn crash_id(server: usize, crash: u64) -> CrashId {
    CrashId((server as u64) << 32 | crash)
}

impl Fleet {
    /// A fleet of entries that know nothing yet.
    pub fn new(seed: u64, entries: usize, servers: usize) -> Self {
        Fleet {
            rng: Rng::with_seed(seed),
            entries: (0..entries).map(|e| Quarantine::new(address(e))).collect(),
            copies: Vec::new(),
            down_until: vec![Time::ZERO; servers],
            incarnations: vec![0; servers],
            net: SOUND,
            messages: Vec::new(),
            crashes: Vec::new(),
            trial_crashes: HashMap::new(),
            refused: HashSet::new(),
            served: HashSet::new(),
        }
    }

    /// Sends a request through any entry. It crashes each server that runs it, if it is deadly.
    pub fn send(&mut self, now: Time, subjects: &[Fingerprint], is_deadly: bool) {
        self.copies.push(Copy {
            entry: self.rng.usize(..self.entries.len()),
            subjects: subjects.to_vec(),
            is_deadly,
            trial: self.rng.u64(..),
            arrived: now,
            stage: Stage::Arrives,
        });
    }

    /// The number of copies that wait or run.
    pub fn copies(&self) -> usize {
        self.copies.len()
    }

    /// Lets a millisecond pass.
    pub fn step(&mut self, now: Time) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.messages = later;
        let due: Vec<(Time, usize, usize, Datagram)> = due;
        for (_, from, to, datagram) in due {
            self.entries[to].record_heard(address(from));
            match datagram {
                Datagram::Suspects(notice) => {
                    self.entries[to].merge(now, &notice);
                }
                Datagram::Trial(message) => self.entries[to].handle(now, message),
                _ => unreachable!(),
            }
            self.post(now, to);
        }
        for place in 0..self.copies.len() {
            let copy = self.copies[place].clone();
            self.copies[place].stage = self.advance(now, &copy);
        }
        self.copies.retain(|copy| copy.stage != Stage::Ended);
        for entry in 0..self.entries.len() {
            if now.micros().is_multiple_of(TICK_MS * 1_000) {
                let listed = HashMap::from([(SERVICE, self.listed_servers(now))]);
                self.entries[entry].set_servers(now, listed);
                let others = (0..self.entries.len()).filter(|e| *e != entry);
                self.entries[entry].set_entries(others.map(address).collect());
                self.entries[entry].advance_trials(now);
            }
            self.post(now, entry);
            self.spread(now, entry);
        }
    }

    /// The servers as the directory lists them: one that is down as the incarnation that crashed.
    fn listed_servers(&self, now: Time) -> Vec<ListedServer> {
        let servers = 0..self.down_until.len();
        let listed = servers.map(|server| {
            let is_up = self.down_until[server] <= now;
            let next_crash = self.incarnations[server] + u64::from(is_up);
            ListedServer {
                crash: crash_id(server, next_crash),
                answered_at: None,
                is_reachable: true,
            }
        });
        listed.collect()
    }

    /// Sends an entry's messages about trials.
    fn post(&mut self, now: Time, entry: usize) {
        for (to, message) in self.entries[entry].take_outgoing() {
            let to = usize::from(to.port()) - 1_000;
            self.transmit(now, entry, to, Datagram::Trial(message));
        }
    }

    fn transmit(&mut self, now: Time, from: usize, to: usize, datagram: Datagram) {
        let bytes = peer_messages::encode(&datagram)
            .expect("messages can be encoded")
            .len();
        assert!(bytes <= MAX_DATAGRAM, "{bytes}");
        if self.rng.f64() >= self.net.loss {
            let delay = self.rng.u64(self.net.delay.0..=self.net.delay.1);
            let at = now + Duration::from_millis(delay);
            self.messages.push((at, from, to, datagram));
        }
    }

    fn advance(&mut self, now: Time, copy: &Copy) -> Stage {
        let servers = self.down_until.len();
        let entry = &mut self.entries[copy.entry];
        match copy.stage {
            Stage::Arrives => match entry.admit(now, &copy.candidate(servers), copy.trial) {
                Admission::Free => self.run(now, false),
                Admission::Asked => {
                    entry.advance_trials(now);
                    Stage::Asks
                }
                Admission::Wait if now.since(copy.arrived) < MAX_WAIT => Stage::Arrives,
                Admission::Wait => Stage::Ended,
                Admission::Refused(_) => {
                    self.refused.insert(copy.subjects[0]);
                    Stage::Ended
                }
            },
            Stage::Asks if entry.may_send(now, &copy.subjects, Some(copy.trial)) => {
                let on_trial = entry.holds_trial(now, copy.trial);
                self.run(now, on_trial)
            }
            Stage::Asks if now.since(copy.arrived) < MAX_WAIT => Stage::Asks,
            Stage::Asks => {
                entry.end_trial(now, copy.trial, false);
                Stage::Ended
            }
            Stage::Runs {
                server,
                until,
                on_trial,
            } => {
                let is_down = self.down_until[server] > now;
                if copy.is_deadly && until <= now && !is_down {
                    self.crash(now, server);
                } else if until <= now && !is_down {
                    entry.record_success(now, &copy.subjects);
                    self.served.insert(copy.subjects[0]);
                    entry.end_trial(now, copy.trial, false);
                    return Stage::Ended;
                } else if !is_down {
                    return copy.stage;
                }
                self.note_crash(now, copy, server, on_trial);
                Stage::Ended
            }
            Stage::Ended => Stage::Ended,
        }
    }

    fn run(&mut self, now: Time, on_trial: bool) -> Stage {
        let up = (0..self.down_until.len()).filter(|s| self.down_until[*s] <= now);
        let up: Vec<usize> = up.collect();
        match self.rng.choice(up) {
            Some(server) => Stage::Runs {
                server,
                until: now + RUN,
                on_trial,
            },
            None => Stage::Ended,
        }
    }

    /// Crashes a server.
    pub fn crash(&mut self, now: Time, server: usize) {
        self.down_until[server] = now + DOWN;
        self.incarnations[server] += 1;
        self.crashes.push(now);
    }

    /// Crashes a server under a request that is no suspect yet, seen by any entry.
    pub fn crash_under(&mut self, now: Time, subjects: &[Fingerprint], server: usize) {
        self.crash(now, server);
        let copy = Copy {
            entry: self.rng.usize(..self.entries.len()),
            subjects: subjects.to_vec(),
            is_deadly: true,
            trial: 0,
            arrived: now,
            stage: Stage::Ended,
        };
        self.note_crash(now, &copy, server, false);
    }

    fn note_crash(&mut self, now: Time, copy: &Copy, server: usize, on_trial: bool) {
        let run = CrashedRun {
            subjects: copy.subjects.clone(),
            trial: on_trial.then_some(copy.trial),
            crash: crash_id(server, self.incarnations[server]),
            opened_at: copy.arrived,
        };
        let entry = &mut self.entries[copy.entry];
        entry.record_crash(now, &run);
        entry.end_trial(now, copy.trial, false);
        if on_trial && copy.is_deadly {
            *self.trial_crashes.entry(copy.subjects[0]).or_default() += 1;
        }
    }

    fn spread(&mut self, now: Time, entry: usize) {
        while let Some(notice) = self.entries[entry].take_unsent(now) {
            let datagram = Datagram::Suspects(notice);
            let bytes = peer_messages::encode(&datagram)
                .expect("messages can be encoded")
                .len();
            let others = (0..self.entries.len()).filter(|other| *other != entry);
            let others = self.rng.choose_multiple(others, FANOUT);
            self.entries[entry].charge(now, bytes * others.len());
            for other in others {
                self.transmit(now, entry, other, datagram.clone());
            }
        }
    }
}
