//! Simulates a hundred relays that place streams on a hundred engines, using the library's own placement code.
//!
//! Each engine prefills one prompt at a time and never runs short of memory. Its scout reports to each relay at a fixed
//! interval, and answers probes at once.

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
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::RequestSent;
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

/// Prompt tokens that an engine prefills per millisecond while it decodes its runs.
const PREFILL_RATE: f64 = 7.0;

/// Utilization: the share of the time that engines spend on prefill.
const UTILIZATION: f64 = 0.6;

/// Latency objective for the first event, in milliseconds.
const OBJECTIVE: u64 = 1_500;

/// Interval at which a scout polls its engine, in milliseconds.
const POLL_INTERVAL: u64 = 30;

/// Duration of a run after its first event, in milliseconds.
const RUN_DURATION: u64 = 3_000;

/// How relays choose an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Strategy {
    /// By the latest load reports.
    StaleReports,
    /// By probing scouts.
    Probing,
}

/// Latencies of the callers and load of the engines.
pub(crate) struct Outcome {
    // For each stream: time to its first event, and the same on an idle engine, in milliseconds.
    first_events: Vec<(u64, u64)>,
    // Prompt tokens sent to each engine.
    prompt_tokens: Vec<u64>,
}

impl Outcome {
    /// Share of the callers whose first event missed the latency objective.
    pub(crate) fn late_share(&self) -> f64 {
        let late = self
            .first_events
            .iter()
            .filter(|(time, _)| *time > OBJECTIVE);
        late.count() as f64 / self.first_events.len() as f64
    }

    /// Median time to the first event, relative to an idle engine.
    pub(crate) fn median_slowdown(&self) -> f64 {
        let mut ratios: Vec<f64> = self
            .first_events
            .iter()
            .map(|(time, idle)| *time as f64 / *idle as f64)
            .collect();
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / 2]
    }

    /// Prompt tokens sent to the busiest engine, relative to the mean.
    pub(crate) fn busiest_load(&self) -> f64 {
        let max = self.prompt_tokens.iter().max().copied().unwrap_or_default();
        let mean = self.prompt_tokens.iter().sum::<u64>() as f64 / self.prompt_tokens.len() as f64;
        max as f64 / mean
    }
}

struct Prompt {
    id: Name,
    relay: usize,
    key: ServerKey,
    tokens: u64,
    sent_at: u64,
}

#[derive(Default)]
struct Engine {
    load_tracker: EngineLoadTracker,
    // Prompts that are not prefilled yet. The first one is being prefilled until `prefill_end`.
    prompts: VecDeque<Prompt>,
    prefill_end: u64,
    // Runs past their first event, and when they end.
    runs: HashMap<Name, u64>,
}

struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    strategy: Strategy,
    interval: u64,
    relays: Vec<Fleet>,
    engines: Vec<Engine>,
    // Ends of the relays' requests: time, relay, request number.
    ends: BinaryHeap<Reverse<(u64, usize, u64)>>,
    // Open requests by number: the server, and the tokens that count there.
    open: HashMap<u64, (ServerKey, u64)>,
    request_count: u64,
    outcome: Outcome,
}

/// Simulates the load for some seconds, with reports at the given interval in milliseconds.
pub(crate) fn simulate(strategy: Strategy, interval: u64, seed: u64, seconds: u64) -> Outcome {
    let mut simulation = Simulation {
        rng: fastrand::Rng::with_seed(seed),
        now: 0,
        strategy,
        interval,
        relays: (0..RELAYS).map(fleet).collect(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        ends: BinaryHeap::new(),
        open: HashMap::new(),
        request_count: 0,
        outcome: Outcome {
            first_events: Vec::new(),
            prompt_tokens: vec![0; ENGINES],
        },
    };
    while simulation.now < seconds * 1_000 {
        simulation.now += 1;
        simulation.step();
    }
    simulation.outcome
}

fn zone(index: usize) -> Name {
    Name::new(format!("zone-{}", index % ZONES))
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, engine as u8], 8_701))
}

fn engine_here(engine: usize) -> EngineLocation {
    EngineLocation {
        address: address(engine),
        service: Name::new("llm"),
        zone: zone(engine),
    }
}

fn spec() -> ServiceSpec {
    site::engine_service(SLOTS, CAPACITY)
}

/// The fleet as seen by a relay in one of six availability zones; each region has two zones.
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

impl Simulation {
    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn step(&mut self) {
        self.end_runs();
        for engine in 0..ENGINES {
            self.prefill(engine);
            if (self.now + engine as u64).is_multiple_of(POLL_INTERVAL) {
                self.poll(engine);
            }
        }
        self.send_reports();
        // Prompts of 1,200 to 3,600 tokens.
        let mean = 2_400.0;
        let rate = ENGINES as f64 * PREFILL_RATE * UTILIZATION / mean;
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
            if let Some((key, tokens)) = self.open.remove(&number) {
                self.relays[relay].record_ended(key, tokens);
            }
        }
    }

    fn prefill(&mut self, engine: usize) {
        let now = self.now;
        let state = &mut self.engines[engine];
        state.runs.retain(|_, end| *end > now);
        while state.prefill_end <= now {
            let Some(prompt) = state.prompts.pop_front() else {
                return;
            };
            let idle = (prompt.tokens as f64 / PREFILL_RATE) as u64;
            self.outcome.first_events.push((now - prompt.sent_at, idle));
            state.runs.insert(prompt.id, now + RUN_DURATION);
            self.relays[prompt.relay].record_prefill_end(prompt.key, prompt.tokens);
            let next = state.prompts.front();
            state.prefill_end =
                now + next.map_or(0, |next| (next.tokens as f64 / PREFILL_RATE) as u64);
            if next.is_none() {
                return;
            }
        }
    }

    fn poll(&mut self, engine: usize) {
        let now = self.time();
        let state = &mut self.engines[engine];
        let runs = state.runs.keys().map(|id| EngineRun {
            id: id.clone(),
            tokens: 2_400,
            events: 1,
            rank: 2,
        });
        let report = EngineReport {
            running: (state.runs.len() + state.prompts.len()) as u32,
            reading: state.prompts.len() as u32,
            capacity: CAPACITY,
            runs: runs.collect(),
            ..EngineReport::default()
        };
        state.load_tracker.update(now, report);
    }

    fn load(&self, engine: usize, without: Option<&Name>) -> EngineLoad {
        let state = &self.engines[engine];
        let forecast = state.load_tracker.forecast(self.time(), without);
        EngineLoad {
            running: (state.runs.len() + state.prompts.len()) as u32,
            peak_tokens: forecast.peak_tokens,
            prefill_tokens: forecast.prefill_tokens,
            capacity: CAPACITY,
            interval_ms: self.interval as u32,
            ..EngineLoad::default()
        }
    }

    /// Sends the reports that are due: each scout reports to all relays once per interval.
    fn send_reports(&mut self) {
        let now = self.time();
        for engine in 0..ENGINES {
            if !(self.now + engine as u64).is_multiple_of(self.interval) {
                continue;
            }
            let load = self.load(engine, None);
            for relay in &mut self.relays {
                relay.apply_report(now, &engine_here(engine), &load);
            }
        }
    }

    fn place(&mut self) {
        let relay = self.rng.usize(..RELAYS);
        let prompt = self.rng.u64(1_200..3_600);
        let service = Name::new("llm");
        self.request_count += 1;
        let id = Name::new(format!("r-{}", self.request_count));
        let need = PlacementRequest::new(&service, prompt, prompt + 300);
        let now = self.time();
        let among = match self.strategy {
            Strategy::StaleReports => None,
            Strategy::Probing => self.probe(relay, &id, &need),
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
        let index = engine_index(engine);
        let word = RequestSent {
            id: id.clone(),
            engine,
            prompt,
            tokens: need.tokens,
        };
        let state = &mut self.engines[index];
        state.load_tracker.record_sent(now, &word);
        if state.prompts.is_empty() {
            state.prefill_end = self.now + (prompt as f64 / PREFILL_RATE) as u64;
        }
        state.prompts.push_back(Prompt {
            id,
            relay,
            key,
            tokens: prompt,
            sent_at: self.now,
        });
        self.outcome.prompt_tokens[index] += prompt;
        let end = self.now + RUN_DURATION + 500;
        self.ends.push(Reverse((end, relay, self.request_count)));
        self.open.insert(self.request_count, (key, need.tokens));
    }

    /// Probes the scouts that the relay draws, and returns their servers. `None` if reports arrive often enough.
    fn probe(
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
        let probed = placement::probe_targets(ProbeRound::First, &options, &mut self.rng);
        for key in &probed {
            let engine = self.relays[relay].record(*key).expect("probed").address;
            let load = self.load(engine_index(engine), Some(id));
            let ask = LoadProbe {
                id: id.clone(),
                engine,
                prompt: need.prompt,
                tokens: need.tokens,
                probed_engines: probed.len() as u32,
            };
            self.engines[engine_index(engine)]
                .load_tracker
                .reserve(now, &ask);
            self.relays[relay].apply_load_answer(now, &engine_here(engine_index(engine)), &load);
        }
        Some(probed)
    }
}

fn engine_index(engine: SocketAddr) -> usize {
    let SocketAddr::V4(address) = engine else {
        unreachable!("all simulated addresses are IPv4");
    };
    usize::from(address.ip().octets()[3])
}
