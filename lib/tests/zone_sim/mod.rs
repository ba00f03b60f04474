//! Simulates relays that place long generations and short checks on the engines of one zone, and move runs between them,
//! using the library's own decisions.
//!
//! Each engine prefills one prompt at a time, and its runs are slower meanwhile. Scouts report the true distribution of
//! the gaps every half a second, to each relay at another time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::migration::event_gaps::EventGaps;
use cicada_lib::migration::event_gaps::GapEstimate;
use cicada_lib::migration::handoff;
use cicada_lib::migration::move_bounds::MoveBounds;
use cicada_lib::migration::move_target;
use cicada_lib::migration::prefill_group::GapObjective;
use cicada_lib::migration::rescue;
use cicada_lib::migration::run_risk::RunState;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

pub(crate) const CAPACITY: u64 = 27_000;
const SLOTS: u32 = 24;
const RELAYS: usize = 3;
const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 500;
const GROUP_MS: u64 = 250;
pub(crate) const GAP_LIMIT: Duration = Duration::from_millis(180);

/// The pace of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub(crate) gaps: EventGaps,
    /// Prompt tokens per millisecond.
    pub(crate) prefill_rate: f64,
}

pub(crate) const FAST: Pace = Pace {
    gaps: EventGaps {
        alone: GapEstimate {
            mean_ms: 20,
            p99_ms: 30,
        },
        beside_prefill: GapEstimate {
            mean_ms: 28,
            p99_ms: 60,
        },
    },
    prefill_rate: 14.0,
};

pub(crate) const SLOW: Pace = Pace {
    gaps: EventGaps {
        alone: GapEstimate {
            mean_ms: 45,
            p99_ms: 75,
        },
        beside_prefill: GapEstimate {
            mean_ms: 75,
            p99_ms: 190,
        },
    },
    prefill_rate: 10.0,
};

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) prompt: u64,
    pub(crate) events: u64,
}

pub(crate) const LONG: Kind = Kind {
    prompt: 3_000,
    events: 186,
};
pub(crate) const SHORT: Kind = Kind {
    prompt: 2_200,
    events: 2,
};

struct Run {
    relay: usize,
    kind: Kind,
    engine: usize,
    arrived: u64,
    prompt_left: f64,
    made: u64,
    next_event: u64,
    bounds: MoveBounds,
    moving: Option<(usize, u64)>,
}

/// What became of the runs that have ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) long: u32,
    pub(crate) long_late: u32,
    pub(crate) short: u32,
    pub(crate) short_late: u32,
    pub(crate) moves: u32,
    pub(crate) most_moves: u32,
}

pub(crate) struct Zone {
    pub(crate) paces: Vec<Pace>,
    pub(crate) fleets: Vec<Fleet>,
    pub(crate) outcome: Outcome,
    /// Whether relays derive groups and move runs.
    pub(crate) is_on: bool,
    /// Whether scouts have estimates.
    pub(crate) knows_gaps: bool,
    /// The engine of each request, in order.
    pub(crate) placed: Vec<usize>,
    pub(crate) now_ms: u64,
    runs: Vec<Option<Run>>,
    late: Vec<bool>,
    moves: Vec<u32>,
    queues: Vec<VecDeque<usize>>,
    prefill_use: Vec<f64>,
    gone: Vec<bool>,
    rng: fastrand::Rng,
}

pub(crate) fn service() -> Name {
    Name::new("llm")
}

pub(crate) fn spec() -> ServiceSpec {
    let mut spec = site::engine_service(SLOTS, CAPACITY);
    if let Some(engine) = &mut spec.engine {
        engine.supports_moves = true;
    }
    spec
}

pub(crate) fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (engine >> 8) as u8, engine as u8], 8_701))
}

pub(crate) fn here(engine: usize) -> EngineLocation {
    EngineLocation {
        address: address(engine),
        service: service(),
        zone: Name::new("a"),
    }
}

pub(crate) fn new_fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::from([(Name::new("a"), Name::new("r"))]),
    });
    let records: Vec<ServerRecord> = (0..engines)
        .map(|n| site::server(&format!("i-{n}"), address(n), "a", SLOTS))
        .collect();
    fleet.replace_servers(Time::ZERO, &records);
    fleet
}

pub(crate) fn objectives() -> HashMap<Name, GapObjective> {
    let objective = GapObjective {
        gap_limit: GAP_LIMIT,
        first_event: Duration::from_millis(1_500),
    };
    HashMap::from([(service(), objective)])
}

impl Zone {
    pub(crate) fn new(paces: &[Pace], seed: u64, is_on: bool) -> Self {
        let engines = paces.len();
        Zone {
            paces: paces.to_vec(),
            fleets: (0..RELAYS).map(|_| new_fleet(engines)).collect(),
            outcome: Outcome::default(),
            is_on,
            knows_gaps: true,
            placed: Vec::new(),
            now_ms: 10_000,
            runs: Vec::new(),
            late: Vec::new(),
            moves: Vec::new(),
            queues: vec![VecDeque::new(); engines],
            prefill_use: vec![0.0; engines],
            gone: vec![false; engines],
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Runs for some seconds with this many requests of each kind per second, in random order.
    pub(crate) fn run(&mut self, seconds: u64, long: f64, short: f64) {
        let end = self.now_ms + seconds * 1_000;
        while self.now_ms < end {
            let step = STEP_MS as f64 / 1_000.0;
            for (kind, rate) in [(LONG, long), (SHORT, short)] {
                if self.rng.f64() < rate * step {
                    self.place(kind);
                }
            }
            self.step();
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    /// Places a request at a relay that learns the present load of the engines first, as by probes.
    pub(crate) fn place(&mut self, kind: Kind) {
        let relay = self.rng.usize(..RELAYS);
        let now = self.time();
        for engine in (0..self.paces.len()).filter(|e| !self.gone[*e]) {
            let load = self.load(engine);
            self.fleets[relay].apply_load_answer(now, &here(engine), &load);
        }
        let service = service();
        let request = PlacementRequest::new(&service, kind.prompt, kind.prompt + kind.events * 4);
        let fleet = &mut self.fleets[relay];
        let key = fleet.choose(now, &request, &spec()).unwrap();
        let engine = (0..self.paces.len()).find(|e| fleet.key_at(address(*e)) == Some(key));
        let engine = engine.unwrap();
        fleet.record_sent(now, key, &request);
        self.placed.push(engine);
        self.queues[engine].push_back(self.runs.len());
        self.runs.push(Some(Run {
            relay,
            kind,
            engine,
            arrived: self.now_ms,
            prompt_left: kind.prompt as f64,
            made: 0,
            next_event: 0,
            bounds: MoveBounds::new(),
            moving: None,
        }));
        self.late.push(false);
        self.moves.push(0);
    }

    /// The engine leaves: its runs and prompts are lost.
    pub(crate) fn remove(&mut self, engine: usize) {
        self.gone[engine] = true;
        self.queues[engine].clear();
        let now = self.time();
        for fleet in &mut self.fleets {
            let load = EngineLoad {
                leaving: true,
                ..EngineLoad::default()
            };
            fleet.apply_report(now, &here(engine), &load);
        }
        for run in &mut self.runs {
            run.take_if(|run| run.engine == engine);
        }
    }

    /// The group of a relay, as engine numbers.
    pub(crate) fn group(&self, relay: usize) -> Vec<usize> {
        use cicada_lib::migration::run_risk::PrefillRole;
        let fleet = &self.fleets[relay];
        let is_member = |engine: &usize| {
            let key = fleet.key_at(address(*engine));
            key.is_some_and(|key| fleet.prefill_role(key) == PrefillRole::Member)
        };
        (0..self.paces.len()).filter(is_member).collect()
    }

    fn load(&self, engine: usize) -> EngineLoad {
        let here = self.runs.iter().flatten().filter(|r| r.engine == engine);
        let peak: u64 = here
            .clone()
            .map(|r| r.kind.prompt + r.kind.events * 4)
            .sum();
        let prefill: f64 = here.clone().map(|r| r.prompt_left).sum();
        EngineLoad {
            running: here.count() as u32,
            used: peak,
            peak_tokens: peak,
            prefill_tokens: prefill as u64,
            prefill_rate: (self.paces[engine].prefill_rate * 10.0) as u32,
            capacity: CAPACITY,
            interval_ms: REPORT_MS as u32,
            gaps: match self.knows_gaps {
                true => self.paces[engine].gaps,
                false => EventGaps::default(),
            },
            prefill_percent: (self.prefill_use[engine] * 100.0) as u8,
            ..EngineLoad::default()
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.report();
        let busy: Vec<bool> = (0..self.paces.len()).map(|e| self.prefill(e)).collect();
        for index in 0..self.runs.len() {
            self.decode(index, &busy);
        }
    }

    fn report(&mut self) {
        let now = self.time();
        for relay in 0..RELAYS {
            let offset = relay as u64 * 150;
            if (self.now_ms + offset).is_multiple_of(REPORT_MS) {
                for engine in (0..self.paces.len()).filter(|e| !self.gone[*e]) {
                    let load = self.load(engine);
                    self.fleets[relay].apply_report(now, &here(engine), &load);
                }
            }
            if self.is_on && (self.now_ms + offset).is_multiple_of(GROUP_MS) {
                self.fleets[relay].update_prefill_groups(now, &objectives());
            }
        }
    }

    /// Prefills at an engine; returns whether it had a prompt.
    fn prefill(&mut self, engine: usize) -> bool {
        let busy = !self.queues[engine].is_empty();
        let target = if busy { 1.0 } else { 0.0 };
        self.prefill_use[engine] += (target - self.prefill_use[engine]) * STEP_MS as f64 / 2_000.0;
        let Some(index) = self.queues[engine].front().copied() else {
            return false;
        };
        let rate = self.paces[engine].prefill_rate;
        let now = self.now_ms;
        if let Some(run) = &mut self.runs[index] {
            run.prompt_left -= rate * STEP_MS as f64;
            if run.prompt_left > 0.0 {
                return true;
            }
            run.prompt_left = 0.0;
            run.next_event = now;
            let fleet = &mut self.fleets[run.relay];
            if let Some(key) = fleet.key_at(address(engine)) {
                fleet.record_prefill_end(key, run.kind.prompt);
            }
            if run.kind.events <= SHORT.events && now - run.arrived > 1_500 {
                self.late[index] = true;
            }
        }
        self.queues[engine].pop_front();
        true
    }

    fn decode(&mut self, index: usize, busy: &[bool]) {
        let now = self.now_ms;
        let Some(run) = &mut self.runs[index] else {
            return;
        };
        if run.prompt_left > 0.0 || now < run.next_event {
            return;
        }
        run.made += 1;
        let gaps = self.paces[run.engine].gaps;
        let gap = if busy[run.engine] {
            gaps.beside_prefill
        } else {
            gaps.alone
        };
        // An exponential tail with this mean and 99th percentile.
        let scale = f64::from(gap.p99_ms - gap.mean_ms) / 3.6;
        let gap = f64::from(gap.mean_ms) - scale - scale * self.rng.f64().max(1e-9).ln();
        if gap > GAP_LIMIT.as_millis() as f64 {
            self.late[index] = true;
        }
        run.next_event = now + gap as u64;
        if run.made >= run.kind.events {
            self.end(index);
            return;
        }
        if self.is_on {
            self.consider_move(index);
        }
    }

    fn consider_move(&mut self, index: usize) {
        let now = self.time();
        let Some(run) = &mut self.runs[index] else {
            return;
        };
        if let Some((target, at)) = run.moving {
            if self.now_ms >= at {
                run.moving = None;
                run.bounds.record_move(now);
                run.next_event += 25;
                let key = self.fleets[run.relay].key_at(address(run.engine));
                let tokens = run.kind.prompt + run.kind.events * 4;
                self.fleets[run.relay].record_ended(key.unwrap(), tokens);
                run.engine = target;
                self.moves[index] += 1;
                self.outcome.moves += 1;
            }
            return;
        }
        if !run.bounds.may_move(now) {
            return;
        }
        run.bounds.record_check(now);
        let left = run.kind.events - run.made;
        let state = RunState {
            events: run.made,
            events_left: left as u32,
            time_left: Duration::from_millis(left * 40),
            gap_limit: GAP_LIMIT,
            tokens: run.kind.prompt + run.kind.events * 4,
        };
        let fleet = &mut self.fleets[run.relay];
        let spec = spec();
        let key = fleet.key_at(address(run.engine)).unwrap();
        let here = fleet.engine_state(now, key, spec.engine.as_ref().unwrap());
        let here = here.unwrap();
        let rescue = || rescue::reason(&state, &here, 1.0);
        let Some(reason) = handoff::reason(&state, &here).or_else(rescue) else {
            return;
        };
        let (service, tried): (Name, [ServerKey; 1]) = (service(), [key]);
        let request = PlacementRequest {
            tried: &tried,
            ..PlacementRequest::new(&service, 0, state.tokens)
        };
        let targets = fleet.move_targets(now, &request, &spec);
        let risk = here.risk_of(&state).unwrap();
        if let Ok(target) = move_target::choose(&state, reason, risk, &targets, &mut self.rng) {
            fleet.record_sent(now, target.key, &request);
            let target = (0..self.paces.len())
                .find(|e| fleet.key_at(address(*e)) == Some(target.key))
                .unwrap();
            run.moving = Some((target, self.now_ms + state.tokens * 55 / 1_000));
        }
    }

    fn end(&mut self, index: usize) {
        let Some(run) = self.runs[index].take() else {
            return;
        };
        let fleet = &mut self.fleets[run.relay];
        if let Some(key) = fleet.key_at(address(run.engine)) {
            fleet.record_ended(key, run.kind.prompt + run.kind.events * 4);
        }
        let late = u32::from(self.late[index]);
        let outcome = &mut self.outcome;
        outcome.most_moves = outcome.most_moves.max(self.moves[index]);
        match run.kind.events > SHORT.events {
            true => {
                outcome.long += 1;
                outcome.long_late += late;
            }
            false => {
                outcome.short += 1;
                outcome.short_late += late;
            }
        }
    }
}
