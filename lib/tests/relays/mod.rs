//! A hundred relays before a hundred engines in simulated time, on the decisions as they are.
//!
//! An engine reads one prompt after the other; its memory is not short here. Its scout tells each relay of it
//! at an interval, and answers at once when it is asked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::engine_load_tracker::EngineLoadTracker;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::EngineLoad;
use cicada_lib::peer_words::LoadAsk;
use cicada_lib::peer_words::SentWord;
use cicada_lib::placement;
use cicada_lib::placement::ProbeRound;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

const RELAYS: usize = 103;
const ENGINES: usize = 115;
const ZONES: usize = 6;
const CAPACITY: u64 = 34_000;
const SLOTS: u32 = 24;

/// Tokens of a prompt that an engine reads in a millisecond beside its runs.
const READ: f64 = 7.0;

/// The part of the time for which engines read.
const BUSY: f64 = 0.6;

/// The objective, in milliseconds.
const OBJECTIVE: u64 = 1_500;

/// How often a scout looks at its engine, in milliseconds.
const LOOK: u64 = 30;

/// How long a run goes on after its first event, in milliseconds.
const RUN: u64 = 3_000;

/// How relays choose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Choice {
    /// The best by the reports that are there.
    Reports,
    /// By the scouts' answers.
    Asking,
}

/// What callers got, and engines.
pub(crate) struct Outcome {
    // Milliseconds to each first event, beside those of an idle engine.
    waits: Vec<(u64, u64)>,
    // Tokens that each engine was sent to read.
    read: Vec<u64>,
}

impl Outcome {
    /// The part of the callers whose first event was late.
    pub(crate) fn late(&self) -> f64 {
        let late = self.waits.iter().filter(|(wait, _)| *wait > OBJECTIVE);
        late.count() as f64 / self.waits.len() as f64
    }

    /// The median of the first event, in parts of an idle engine's.
    pub(crate) fn median(&self) -> f64 {
        let mut parts: Vec<f64> = self
            .waits
            .iter()
            .map(|(wait, idle)| *wait as f64 / *idle as f64)
            .collect();
        parts.sort_by(f64::total_cmp);
        parts[parts.len() / 2]
    }

    /// What the busiest engine read, in parts of the mean.
    pub(crate) fn busiest(&self) -> f64 {
        let most = self.read.iter().max().copied().unwrap_or_default();
        let mean = self.read.iter().sum::<u64>() as f64 / self.read.len() as f64;
        most as f64 / mean
    }
}

struct Prompt {
    id: Name,
    relay: usize,
    key: ServerKey,
    tokens: u64,
    sent: u64,
}

#[derive(Default)]
struct Engine {
    load_tracker: EngineLoadTracker,
    // Prompts that wait, the first one being read until `free`.
    prompts: VecDeque<Prompt>,
    free: u64,
    // Runs that have begun, and when they end.
    runs: HashMap<Name, u64>,
}

struct World {
    rng: fastrand::Rng,
    now: u64,
    choice: Choice,
    interval: u64,
    relays: Vec<Fleet>,
    engines: Vec<Engine>,
    // When the runs of a relay end: time, relay, number of the run.
    ends: BinaryHeap<Reverse<(u64, usize, u64)>>,
    ended: HashMap<u64, (ServerKey, u64)>,
    sent: u64,
    outcome: Outcome,
}

/// Plays the load for some seconds, with reports at intervals of so many milliseconds.
pub(crate) fn play(choice: Choice, interval: u64, seed: u64, seconds: u64) -> Outcome {
    let mut world = World {
        rng: fastrand::Rng::with_seed(seed),
        now: 0,
        choice,
        interval,
        relays: (0..RELAYS).map(fleet).collect(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        ends: BinaryHeap::new(),
        ended: HashMap::new(),
        sent: 0,
        outcome: Outcome {
            waits: Vec::new(),
            read: vec![0; ENGINES],
        },
    };
    while world.now < seconds * 1_000 {
        world.now += 1;
        world.step();
    }
    world.outcome
}

fn zone(place: usize) -> Name {
    Name::new(format!("zone-{}", place % ZONES))
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, engine as u8], 8_701))
}

fn here(engine: usize) -> EngineHere {
    EngineHere {
        address: address(engine),
        service: Name::new("llm"),
        zone: zone(engine),
    }
}

fn spec() -> ServiceSpec {
    site::engine_service(SLOTS, CAPACITY)
}

/// A relay of one of six availability zones, two of which are a region.
fn fleet(relay: usize) -> Fleet {
    let regions = (0..ZONES).map(|z| (zone(z), Name::new(format!("region-{}", z / 2))));
    let mut fleet = Fleet::new(Location {
        zone: zone(relay),
        regions: regions.collect(),
    });
    let records: Vec<ServerRecord> = (0..ENGINES).map(record).collect();
    fleet.replace_servers(Time::ZERO, &records);
    fleet
}

fn record(engine: usize) -> ServerRecord {
    site::server(
        &format!("e-{engine}"),
        address(engine),
        zone(engine).as_str(),
        SLOTS,
    )
}

impl World {
    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn step(&mut self) {
        self.end_runs();
        for engine in 0..ENGINES {
            self.read(engine);
            if (self.now + engine as u64).is_multiple_of(LOOK) {
                self.look(engine);
            }
        }
        self.tell();
        // Prompts of 1,200 to 3,600 tokens.
        let mean = 2_400.0;
        let rate = ENGINES as f64 * READ * BUSY / mean;
        let mut due = rate;
        while due > 0.0 && self.rng.f64() < due {
            due -= 1.0;
            self.place();
        }
    }

    fn end_runs(&mut self) {
        while self
            .ends
            .peek()
            .is_some_and(|Reverse((at, _, _))| *at <= self.now)
        {
            let Some(Reverse((_, relay, number))) = self.ends.pop() else {
                return;
            };
            if let Some((key, tokens)) = self.ended.remove(&number) {
                self.relays[relay].record_ended(key, tokens);
            }
        }
    }

    fn read(&mut self, engine: usize) {
        let now = self.now;
        let at = &mut self.engines[engine];
        at.runs.retain(|_, end| *end > now);
        while at.free <= now {
            let Some(prompt) = at.prompts.pop_front() else {
                return;
            };
            let idle = (prompt.tokens as f64 / READ) as u64;
            self.outcome.waits.push((now - prompt.sent, idle));
            at.runs.insert(prompt.id, now + RUN);
            self.relays[prompt.relay].record_prefill_end(prompt.key, prompt.tokens);
            let next = at.prompts.front();
            at.free = now + next.map_or(0, |next| (next.tokens as f64 / READ) as u64);
            if next.is_none() {
                return;
            }
        }
    }

    fn look(&mut self, engine: usize) {
        let now = self.time();
        let at = &mut self.engines[engine];
        let runs = at.runs.keys().map(|id| EngineRun {
            id: id.clone(),
            tokens: 2_400,
            events: 1,
            rank: 2,
        });
        let report = EngineReport {
            running: (at.runs.len() + at.prompts.len()) as u32,
            reading: at.prompts.len() as u32,
            capacity: CAPACITY,
            runs: runs.collect(),
            ..EngineReport::default()
        };
        at.load_tracker.update(now, report);
    }

    fn load(&self, engine: usize, without: Option<&Name>) -> EngineLoad {
        let at = &self.engines[engine];
        let forecast = at.load_tracker.forecast(self.time(), without);
        EngineLoad {
            running: (at.runs.len() + at.prompts.len()) as u32,
            planned: forecast.peak_tokens,
            unread: forecast.prefill_tokens,
            capacity: CAPACITY,
            every: self.interval as u32,
            ..EngineLoad::default()
        }
    }

    /// Each scout tells all relays once in an interval.
    fn tell(&mut self) {
        let now = self.time();
        for engine in 0..ENGINES {
            if !(self.now + engine as u64).is_multiple_of(self.interval) {
                continue;
            }
            let load = self.load(engine, None);
            for relay in &mut self.relays {
                relay.apply_report(now, &here(engine), &load);
            }
        }
    }

    fn place(&mut self) {
        let relay = self.rng.usize(..RELAYS);
        let prompt = self.rng.u64(1_200..3_600);
        let service = Name::new("llm");
        self.sent += 1;
        let id = Name::new(format!("r-{}", self.sent));
        let need = PlacementRequest::new(&service, prompt, prompt + 300);
        let now = self.time();
        let among = match self.choice {
            Choice::Reports => None,
            Choice::Asking => self.ask(relay, &id, &need),
        };
        let need = PlacementRequest {
            among: among.as_deref(),
            ..need
        };
        let fleet = &mut self.relays[relay];
        let key = fleet
            .choose(now, &need, &spec())
            .expect("engines are there");
        fleet.record_sent(now, key, &need);
        let engine = fleet.record(key).expect("chosen").address;
        let number = number(engine);
        let word = SentWord {
            id: id.clone(),
            engine,
            prompt,
            tokens: need.tokens,
        };
        let at = &mut self.engines[number];
        at.load_tracker.record_sent(now, &word);
        if at.prompts.is_empty() {
            at.free = self.now + (prompt as f64 / READ) as u64;
        }
        at.prompts.push_back(Prompt {
            id,
            relay,
            key,
            tokens: prompt,
            sent: self.now,
        });
        self.outcome.read[number] += prompt;
        let end = self.now + RUN + 500;
        self.ends.push(Reverse((end, relay, self.sent)));
        self.ended.insert(self.sent, (key, need.tokens));
    }

    /// Asks the scouts that the relay draws; `None` where the reports are fresh enough.
    fn ask(
        &mut self,
        relay: usize,
        id: &Name,
        need: &PlacementRequest<'_>,
    ) -> Option<Vec<ServerKey>> {
        let now = self.time();
        if !self.relays[relay].reports_too_sparse(now, need.service, need.regions) {
            return None;
        }
        let options = self.relays[relay].candidates(now, need, &spec());
        let asked = placement::probe_targets(ProbeRound::First, &options, &mut self.rng);
        for key in &asked {
            let engine = self.relays[relay].record(*key).expect("asked").address;
            let load = self.load(number(engine), Some(id));
            let ask = LoadAsk {
                id: id.clone(),
                engine,
                prompt: need.prompt,
                tokens: need.tokens,
                asked: asked.len() as u32,
            };
            self.engines[number(engine)].load_tracker.reserve(now, &ask);
            self.relays[relay].apply_load_answer(now, &here(number(engine)), &load);
        }
        Some(asked)
    }
}

fn number(engine: SocketAddr) -> usize {
    let SocketAddr::V4(address) = engine else {
        unreachable!("all addresses here are of version 4");
    };
    usize::from(address.ip().octets()[3])
}
