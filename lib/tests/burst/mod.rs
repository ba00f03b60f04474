//! Discrete-event simulation of a burst of requests on engines and entries, with the real decision
//! modules of the entries.
//!
//! An engine executes one step at a time: it prefills a chunk of the most urgent prompt and
//! produces a token of each run that has been prefilled. When its memory is full it preempts the
//! newest of its least urgent runs, whose prompt is then prefilled again. Entries learn the load of
//! engines from reports that arrive with a delay.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::engine_load_tracker::EngineLoadTracker;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::move_plan;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::RequestSent;
use cicada_lib::recent_rejections::RecentRejections;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServiceSpec;
use cicada_lib::stream_admission;
use cicada_lib::stream_admission::AdmissionRequest;
use cicada_lib::stream_admission::RetryPacer;
use cicada_lib::time::Time;
use cicada_lib::workspace_usage::WorkspaceUsage;
use testutils::site;

const CAPACITY: u64 = 34_000;
const SLOTS: u32 = 64;
/// Tokens of a prompt that are prefilled in a step.
const PREFILL_CHUNK: u64 = 112;
/// Duration of a step in microseconds: fixed, per producing run, and for a chunk of a prompt.
const STEP_MICROS: u64 = 7_000;
const STEP_RUN_MICROS: u64 = 120;
const STEP_PREFILL_MICROS: u64 = 8_000;

const ENGINES: usize = 8;
const ENTRIES: usize = 4;
/// Delay of load reports and messages between entries, in milliseconds.
const MESSAGE_DELAY: u64 = 30;
/// The time of the burst, and the end of the simulation, in milliseconds from its start.
const BURST: std::ops::Range<u64> = 5_000..25_000;
const END: u64 = 60_000;

/// A kind of request: its rate per second at the usual load, its size and its objectives.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) priority: u32,
    pub(crate) rate: f64,
    prompt: u64,
    output: u64,
    objective: Duration,
    limit: Duration,
    pub(crate) worth: f64,
}

/// Urgent short requests, and less urgent long ones that are worth nine times as much.
pub(crate) const KINDS: [Kind; 2] = [
    Kind {
        priority: 0,
        rate: 4.2,
        prompt: 2_500,
        output: 20,
        objective: Duration::from_millis(1_500),
        limit: Duration::from_secs(6),
        worth: 13.0,
    },
    Kind {
        priority: 1,
        rate: 3.0,
        prompt: 3_100,
        output: 900,
        objective: Duration::from_millis(1_800),
        limit: Duration::from_secs(39),
        worth: 120.0,
    },
];

/// Results of the callers of one kind whose first request was sent during the burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindTally {
    pub(crate) requests: f64,
    pub(crate) in_time: f64,
    // Served at the first attempt, and those of them in time.
    pub(crate) first_attempts: f64,
    pub(crate) first_attempts_in_time: f64,
    // Requests among the largest tenth by prompt length, and those of them that were served.
    pub(crate) large: f64,
    pub(crate) large_served: f64,
    pub(crate) served: f64,
}

/// The result of a simulated burst.
#[derive(Clone, Debug, Default)]
pub(crate) struct BurstOutcome {
    pub(crate) kinds: [KindTally; 2],
    pub(crate) preemptions: u64,
}

impl BurstOutcome {
    /// The total worth of the requests served in time.
    pub(crate) fn worth(&self) -> f64 {
        let kinds = self.kinds.iter().zip(KINDS);
        kinds.map(|(tally, kind)| tally.in_time * kind.worth).sum()
    }
}

#[derive(Clone)]
struct Caller {
    kind: usize,
    id: u64,
    sent_at: u64,
    prompt: u64,
    output: u64,
    is_retry: bool,
    // Whether the prompt is among the largest tenth.
    large: bool,
    in_burst: bool,
    workspace: Name,
}

struct Run {
    id: Name,
    caller: Caller,
    entry: usize,
    key: ServerKey,
    expected: u64,
    // Tokens of the prompt that are not prefilled yet, and tokens produced.
    prompt_left: u64,
    produced: u64,
    first_token_sent: bool,
}

impl Run {
    fn held_tokens(&self) -> u64 {
        self.caller.prompt - self.prompt_left + self.produced
    }
}

#[derive(Default)]
struct Engine {
    runs: Vec<Run>,
    load_tracker: EngineLoadTracker,
    // When the current step ends, in microseconds.
    step_ends_at: u64,
}

struct Entry {
    fleet: Fleet,
    comebacks: RetryPacer,
    returns: RecentRejections,
    usage: WorkspaceUsage,
}

enum Event {
    Request(usize, Caller),
    LoadReport(usize, usize, EngineLoad),
    RunStarted(usize, RequestSent),
}

/// The state of the simulation.
pub(crate) struct Simulation {
    rng: fastrand::Rng,
    // Separate generator for workspaces, so that requests are the same with and without a greedy
    // one.
    workspace_rng: fastrand::Rng,
    now: u64,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    // Ordered by time.
    events: VecDeque<(u64, Event)>,
    refuses: bool,
    has_greedy: bool,
    enforce_shares: bool,
    outcome: BurstOutcome,
    run_count: u64,
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, engine as u8], 8_701))
}

fn here(engine: usize) -> EngineLocation {
    EngineLocation {
        address: address(engine),
        service: Name::new("llm"),
        zone: Name::new("a"),
    }
}

fn spec() -> ServiceSpec {
    site::engine_service(SLOTS, CAPACITY)
}

fn entry() -> Entry {
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: Default::default(),
    });
    for engine in 0..ENGINES {
        let record = site::server(&format!("e-{engine}"), address(engine), "a", SLOTS);
        fleet.apply_change(Time::ZERO, &ServerChange::Put(record));
    }
    Entry {
        fleet,
        comebacks: RetryPacer::new(),
        returns: RecentRejections::new(),
        usage: WorkspaceUsage::new(),
    }
}

/// Simulates a burst at `load` times the usual rate. With `refuses` unset, the entries admit every
/// request and send it to the best engine.
pub(crate) fn simulate(load: f64, seed: u64, refuses: bool) -> BurstOutcome {
    Simulation::new(seed, refuses).run(load)
}

/// Like [`simulate`], with one of ten workspaces sending as many requests as all others together.
/// Only the others are tallied. `shares` tells whether entries enforce shares.
pub(crate) fn simulate_greedy(load: f64, seed: u64, shares: bool) -> BurstOutcome {
    let mut simulation = Simulation::new(seed, true);
    simulation.has_greedy = true;
    simulation.enforce_shares = shares;
    simulation.run(load)
}

impl Simulation {
    fn new(seed: u64, refuses: bool) -> Self {
        Simulation {
            rng: fastrand::Rng::with_seed(seed),
            workspace_rng: fastrand::Rng::with_seed(seed),
            now: 0,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            events: VecDeque::new(),
            refuses,
            has_greedy: false,
            enforce_shares: true,
            outcome: BurstOutcome::default(),
            run_count: 0,
        }
    }

    fn run(mut self, load: f64) -> BurstOutcome {
        self.generate_callers(load);
        while self.now < END {
            self.now += 1;
            self.step();
        }
        self.outcome
    }

    fn generate_callers(&mut self, load: f64) {
        let mut requests = Vec::new();
        for (kind, parameters) in KINDS.iter().enumerate() {
            let mut at = 0.0;
            while at < BURST.end as f64 + 5_000.0 {
                let burst = BURST.contains(&(at as u64));
                let rate = parameters.rate * if burst { load } else { 1.0 };
                at -= self.rng.f64().max(1e-9).ln() / rate * 1_000.0;
                let size = self.rng.f64();
                let caller = Caller {
                    kind,
                    id: requests.len() as u64,
                    sent_at: at as u64,
                    prompt: (parameters.prompt as f64 * (0.5 + size)) as u64,
                    // Exponentially distributed, so lengths are hard to predict.
                    output: 1 + (-self.rng.f64().max(1e-9).ln() * parameters.output as f64) as u64,
                    is_retry: false,
                    large: size > 0.9,
                    in_burst: BURST.contains(&(at as u64)),
                    workspace: self.workspace(),
                };
                let entry = self.rng.usize(..ENTRIES);
                requests.push((at as u64, Event::Request(entry, caller)));
            }
        }
        requests.sort_by_key(|(at, _)| *at);
        self.events = requests.into();
    }

    /// Draws one of nine workspaces. If there is a greedy tenth one, it gets half of all callers.
    fn workspace(&mut self) -> Name {
        let greedy = self.has_greedy && self.workspace_rng.bool();
        let id = if greedy {
            0
        } else {
            self.workspace_rng.usize(1..10)
        };
        Name::new(format!("w-{id}"))
    }

    fn schedule(&mut self, after: u64, event: Event) {
        let at = self.now + after;
        let index = self.events.partition_point(|(other, _)| *other <= at);
        self.events.insert(index, (at, event));
    }

    fn step(&mut self) {
        while self.events.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, event)) = self.events.pop_front() else {
                break;
            };
            match event {
                Event::Request(entry, caller) => self.handle_request(entry, caller),
                Event::LoadReport(entry, engine, load) => {
                    let now = Time::from_millis(self.now);
                    self.entries[entry]
                        .fleet
                        .apply_report(now, &here(engine), &load);
                }
                Event::RunStarted(entry, message) => {
                    let now = Time::from_millis(self.now);
                    let fleet = &mut self.entries[entry].fleet;
                    fleet.record_sent_elsewhere(
                        now,
                        message.engine,
                        message.prompt,
                        message.tokens,
                    );
                }
            }
        }
        for engine in 0..ENGINES {
            while self.engines[engine].step_ends_at <= self.now * 1_000 {
                self.engine_step(engine);
            }
            if (self.now + engine as u64).is_multiple_of(30) {
                self.send_load_reports(engine);
            }
        }
        if self.now.is_multiple_of(100) {
            self.exchange_returns();
        }
    }

    fn handle_request(&mut self, entry: usize, caller: Caller) {
        let kind = KINDS[caller.kind];
        let now = Time::from_millis(self.now);
        if self.is_tallied(&caller) && !caller.is_retry {
            let tally = &mut self.outcome.kinds[caller.kind];
            tally.requests += 1.0;
            tally.large += f64::from(u8::from(caller.large));
        }
        let service = Name::new("llm");
        // Callers' length estimates are wrong by a factor of up to e in both directions.
        let estimate = caller.output as f64 * (self.rng.f64() * 2.0 - 1.0).exp();
        let need = PlacementRequest::new(&service, caller.prompt, caller.prompt + estimate as u64);
        let entry_state = &mut self.entries[entry];
        let asking = AdmissionRequest {
            rank: kind.priority,
            age: entry_state.returns.take(now, caller.id),
            over_share: self.enforce_shares
                && entry_state.usage.is_over_share(now, &caller.workspace),
            objective: kind.objective,
        };
        let chosen = match self.refuses {
            true => {
                stream_admission::select_engine(&entry_state.fleet, now, &need, &spec(), &asking)
                    .ok()
            }
            false => entry_state.fleet.choose(now, &need, &spec()).ok(),
        };
        let Some(key) = chosen else {
            self.refuse(entry, caller, &asking);
            return;
        };
        entry_state
            .comebacks
            .record_admission(now, &service, kind.priority);
        entry_state
            .usage
            .record(now, &caller.workspace, need.tokens);
        entry_state.fleet.record_sent(now, key, &need);
        let engine = entry_state.fleet.record(key).expect("chosen").address;
        self.run_count += 1;
        let message = RequestSent {
            id: Name::new(format!("r-{}", self.run_count)),
            engine,
            prompt: need.prompt,
            tokens: need.tokens,
        };
        let expected = need.tokens;
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            self.schedule(MESSAGE_DELAY, Event::RunStarted(other, message.clone()));
        }
        let SocketAddr::V4(address) = engine else {
            return;
        };
        let engine = &mut self.engines[usize::from(address.ip().octets()[3])];
        engine.load_tracker.record_sent(now, &message);
        engine.runs.push(Run {
            id: message.id,
            prompt_left: caller.prompt,
            caller,
            entry,
            key,
            expected,
            produced: 0,
            first_token_sent: false,
        });
    }

    fn is_tallied(&self, caller: &Caller) -> bool {
        caller.in_burst && !(self.has_greedy && caller.workspace.as_str() == "w-0")
    }

    fn refuse(&mut self, entry: usize, caller: Caller, asking: &AdmissionRequest) {
        let now = Time::from_millis(self.now);
        let kind = KINDS[caller.kind];
        let elapsed = Duration::from_millis(self.now - caller.sent_at);
        let left = kind.limit.saturating_sub(elapsed);
        let jitter = self.rng.f64();
        let entry_state = &mut self.entries[entry];
        let service = Name::new("llm");
        let pause = entry_state
            .comebacks
            .retry_delay(now, &service, asking, left, jitter);
        entry_state
            .returns
            .record(now, caller.id, asking.age, pause);
        if caller.is_retry {
            return;
        }
        let other = self.rng.usize(..ENTRIES);
        let retry = Caller {
            is_retry: true,
            ..caller
        };
        self.schedule(pause.as_millis() as u64, Event::Request(other, retry));
    }

    fn send_load_reports(&mut self, engine: usize) {
        let now = Time::from_millis(self.now);
        let engine_state = &mut self.engines[engine];
        let begun = engine_state.runs.iter().filter(|run| run.first_token_sent);
        let runs: Vec<EngineRun> = begun
            .map(|run| EngineRun {
                id: run.id.clone(),
                tokens: run.held_tokens(),
                events: run.produced / 4,
                rank: move_plan::rank(KINDS[run.caller.kind].priority, run.caller.output < 64),
            })
            .collect();
        let used = engine_state.runs.iter().map(Run::held_tokens).sum();
        let report = EngineReport {
            running: engine_state.runs.len() as u32,
            reading: (engine_state.runs.len() - runs.len()) as u32,
            used,
            capacity: CAPACITY,
            runs,
            ..EngineReport::default()
        };
        let (running, prefilling) = (report.running, report.reading);
        engine_state.load_tracker.update(now, report);
        let forecast = engine_state.load_tracker.forecast(now, None);
        let load = EngineLoad {
            running,
            prefilling,
            used,
            peak_tokens: forecast.peak_tokens,
            prefill_tokens: forecast.prefill_tokens,
            capacity: CAPACITY,
            ..EngineLoad::default()
        };
        for entry in 0..ENTRIES {
            self.schedule(
                MESSAGE_DELAY,
                Event::LoadReport(entry, engine, load.clone()),
            );
        }
    }

    fn exchange_returns(&mut self) {
        let now = Time::from_millis(self.now);
        for entry in 0..ENTRIES {
            let told = self.entries[entry].returns.take_unsent(now);
            for other in (0..ENTRIES).filter(|other| *other != entry) {
                self.entries[other].returns.merge(now, &told);
            }
        }
    }

    fn engine_step(&mut self, engine: usize) {
        self.preempt_over_capacity(engine);
        let engine_state = &mut self.engines[engine];
        let waiting = engine_state
            .runs
            .iter_mut()
            .filter(|run| run.prompt_left > 0);
        let next = waiting.min_by_key(|run| (KINDS[run.caller.kind].priority, run.caller.sent_at));
        let mut time = STEP_MICROS;
        if let Some(run) = next {
            run.prompt_left -= run.prompt_left.min(PREFILL_CHUNK);
            time += STEP_PREFILL_MICROS;
        }
        let mut finished = Vec::new();
        for (index, run) in engine_state.runs.iter_mut().enumerate() {
            if run.prompt_left > 0 {
                continue;
            }
            run.produced += 1;
            time += STEP_RUN_MICROS;
            if !run.first_token_sent {
                run.first_token_sent = true;
                record_first_token(&mut self.outcome, run, self.now, self.has_greedy);
                self.entries[run.entry]
                    .fleet
                    .record_prefill_end(run.key, run.caller.prompt);
            }
            if run.produced >= run.caller.output {
                finished.push(index);
            }
        }
        for index in finished.into_iter().rev() {
            let run = engine_state.runs.remove(index);
            self.entries[run.entry]
                .fleet
                .record_ended(run.key, run.expected);
        }
        engine_state.step_ends_at += time;
    }

    fn preempt_over_capacity(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        while engine_state.runs.iter().map(Run::held_tokens).sum::<u64>() > CAPACITY {
            let victim = engine_state
                .runs
                .iter_mut()
                .filter(|run| run.prompt_left == 0);
            let victim =
                victim.max_by_key(|run| (KINDS[run.caller.kind].priority, run.caller.sent_at));
            let Some(victim) = victim else {
                return;
            };
            victim.prompt_left = victim.caller.prompt;
            self.outcome.preemptions += 1;
        }
    }
}

/// Records that a caller received its first token.
fn record_first_token(outcome: &mut BurstOutcome, run: &Run, now: u64, greedy: bool) {
    let caller = &run.caller;
    if !caller.in_burst || (greedy && caller.workspace.as_str() == "w-0") {
        return;
    }
    let tally = &mut outcome.kinds[caller.kind];
    let waited = now - caller.sent_at;
    let in_time = waited <= KINDS[caller.kind].objective.as_millis() as u64;
    tally.served += 1.0;
    tally.large_served += f64::from(u8::from(caller.large));
    tally.in_time += f64::from(u8::from(in_time));
    if !caller.is_retry {
        tally.first_attempts += 1.0;
        tally.first_attempts_in_time += f64::from(u8::from(in_time));
    }
}
