//! Discrete-event simulation of a burst of requests on engines and entries, with the real decision
//! modules of the entries.
//!
//! An engine executes one step at a time: it prefills a chunk of the most urgent prompt and
//! produces a token of each run that has been prefilled. When its memory is full it preempts the
//! newest of its least urgent runs, whose prompt is then prefilled again. Entries learn the load of
//! engines from reports that arrive with a delay.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::admission::wait_queue;
use cicada_lib::admission::wait_queue::Departure;
use cicada_lib::admission::wait_queue::Ticket;
use cicada_lib::admission::wait_queue::WaitQueue;
use cicada_lib::admission::wait_queue::WaitRequest;
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
use cicada_lib::site::ServerPhase;
use cicada_lib::site::ServerRecord;
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
    pub(crate) objective: Duration,
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

/// Time between two departures of engines, and the notice of each, in milliseconds.
const DEPARTURE_INTERVAL: u64 = 3_300;
const NOTICE: u64 = 1_700;

/// Least time between two tries of a line, in milliseconds.
const TRY_INTERVAL: u64 = 50;

/// What is simulated.
#[derive(Clone, Copy)]
pub(crate) struct Settings {
    pub(crate) kinds: [Kind; 2],
    // Whether entries refuse requests, let them wait, and enforce shares of workspaces.
    pub(crate) refuses: bool,
    pub(crate) waits: bool,
    pub(crate) enforces_shares: bool,
    // Whether one of ten workspaces sends as much as all others together. Only the others are tallied then.
    pub(crate) has_greedy: bool,
    // Whether engines leave in turn and are replaced.
    pub(crate) departures: bool,
}

impl Settings {
    /// Entries that admit, refuse and enforce shares, before engines that stay.
    pub(crate) fn new() -> Self {
        Settings {
            kinds: KINDS,
            refuses: true,
            waits: false,
            enforces_shares: true,
            has_greedy: false,
            departures: false,
        }
    }
}

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
    // Refused a second time, although they returned when they could still be in time.
    pub(crate) refused_twice: f64,
    // Times that a request waited for capacity.
    pub(crate) waits: f64,
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
    // Tokens that the entry expects it to produce.
    estimate: u64,
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
    line: WaitQueue,
    waiting: BTreeMap<Ticket, Waiter>,
    // When the line was last tried in vain.
    tried_at: u64,
}

/// A caller that waits at an entry.
struct Waiter {
    caller: Caller,
    asking: AdmissionRequest,
    since: u64,
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
    settings: Settings,
    outcome: BurstOutcome,
    run_count: u64,
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, engine as u8], 8_701))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("engines have IPv4 addresses"),
    }
}

fn here(engine: usize) -> EngineLocation {
    EngineLocation {
        address: address(engine),
        service: Name::new("llm"),
        zone: Name::new("a"),
    }
}

fn record(engine: usize, born: u64) -> ServerRecord {
    ServerRecord {
        born: 1 + born,
        ..site::server(&format!("e-{engine}"), address(engine), "a", SLOTS)
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
        fleet.apply_change(Time::ZERO, &ServerChange::Put(record(engine, 0)));
    }
    Entry {
        fleet,
        comebacks: RetryPacer::new(),
        returns: RecentRejections::new(),
        usage: WorkspaceUsage::new(),
        line: WaitQueue::new(),
        waiting: BTreeMap::new(),
        tried_at: 0,
    }
}

/// Simulates a burst at `load` times the usual rate.
pub(crate) fn simulate(load: f64, seed: u64, settings: Settings) -> BurstOutcome {
    Simulation::new(seed, settings).run(load)
}

impl Simulation {
    fn new(seed: u64, settings: Settings) -> Self {
        Simulation {
            rng: fastrand::Rng::with_seed(seed),
            workspace_rng: fastrand::Rng::with_seed(seed),
            now: 0,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            events: VecDeque::new(),
            settings,
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
        let kinds = self.settings.kinds;
        for (kind, parameters) in kinds.iter().enumerate() {
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
                    estimate: 0,
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
        let greedy = self.settings.has_greedy && self.workspace_rng.bool();
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
        if self.settings.departures {
            self.replace_engines();
        }
        for entry in 0..ENTRIES {
            self.try_waiting(entry);
        }
    }

    fn handle_request(&mut self, entry: usize, caller: Caller) {
        let kind = self.settings.kinds[caller.kind];
        let now = Time::from_millis(self.now);
        if self.is_tallied(&caller) && !caller.is_retry {
            let tally = &mut self.outcome.kinds[caller.kind];
            tally.requests += 1.0;
            tally.large += f64::from(u8::from(caller.large));
        }
        // Callers' length estimates are wrong by a factor of up to e in both directions.
        let estimate = caller.output as f64 * (self.rng.f64() * 2.0 - 1.0).exp();
        let caller = Caller {
            estimate: estimate as u64,
            ..caller
        };
        let entry_state = &mut self.entries[entry];
        let asking = AdmissionRequest {
            rank: kind.priority,
            age: entry_state.returns.take(now, caller.id),
            over_share: self.settings.enforces_shares
                && entry_state.usage.is_over_share(now, &caller.workspace),
            objective: kind.objective,
            waiting: false,
        };
        let waits_behind = entry_state.line.is_ahead_of(asking.rank)
            && self.wait_limit(&caller, &asking).is_some();
        if waits_behind || !self.try_place(entry, &caller, &asking) {
            self.wait_or_refuse(entry, caller, asking);
        }
    }

    fn tightest_objective(&self) -> Duration {
        let objectives = self.settings.kinds.iter().map(|kind| kind.objective);
        objectives.min().expect("two kinds")
    }

    /// How long the caller may wait at its entry.
    fn wait_limit(&self, caller: &Caller, asking: &AdmissionRequest) -> Option<Duration> {
        let tightest = self
            .settings
            .kinds
            .iter()
            .map(|kind| kind.objective)
            .min()?;
        let own = Duration::from_millis(caller.prompt / 7);
        wait_queue::wait_limit(asking.objective, tightest, own, asking.age)
    }

    fn wait_or_refuse(&mut self, entry: usize, caller: Caller, asking: AdmissionRequest) {
        let limit = self.wait_limit(&caller, &asking);
        let Some(limit) = limit.filter(|_| self.settings.waits) else {
            return self.refuse(entry, caller, &asking);
        };
        let request = WaitRequest {
            rank: asking.rank,
            returning: !asking.age.is_zero(),
            over_share: asking.over_share,
            tokens: caller.prompt + caller.estimate,
            limit,
        };
        let since = self.now;
        let state = &mut self.entries[entry];
        match state.line.enter(Time::from_millis(since), &request) {
            Ok(ticket) => {
                self.outcome.kinds[caller.kind].waits += 1.0;
                let waiter = Waiter {
                    caller,
                    asking,
                    since,
                };
                state.waiting.insert(ticket, waiter);
            }
            Err(_) => self.refuse(entry, caller, &asking),
        }
    }

    /// Refuses callers whose wait is over, and tries those whose turn it is.
    fn try_waiting(&mut self, entry: usize) {
        let now = Time::from_millis(self.now);
        for ticket in self.entries[entry].line.expire(now) {
            if let Some(waiter) = self.entries[entry].waiting.remove(&ticket) {
                let asking = self.asking_after(&waiter);
                self.refuse(entry, waiter.caller, &asking);
            }
        }
        while self.now >= self.entries[entry].tried_at + TRY_INTERVAL {
            let state = &mut self.entries[entry];
            let next = state.line.next();
            let Some((ticket, waiter)) = next.and_then(|t| Some((t, state.waiting.remove(&t)?)))
            else {
                return;
            };
            let asking = AdmissionRequest {
                waiting: true,
                age: Duration::ZERO,
                objective: self.tightest_objective(),
                ..waiter.asking
            };
            let placed = self.try_place(entry, &waiter.caller, &asking);
            let state = &mut self.entries[entry];
            if placed {
                state.line.leave(now, ticket, Departure::Placed);
            } else {
                state.line.record_unfit(ticket);
                state.waiting.insert(ticket, waiter);
                state.tried_at = self.now;
            }
        }
    }

    fn asking_after(&self, waiter: &Waiter) -> AdmissionRequest {
        AdmissionRequest {
            age: waiter.asking.age + Duration::from_millis(self.now - waiter.since),
            ..waiter.asking
        }
    }

    /// Sends the request to an engine if one has capacity for it.
    fn try_place(&mut self, entry: usize, caller: &Caller, asking: &AdmissionRequest) -> bool {
        let now = Time::from_millis(self.now);
        let service = Name::new("llm");
        let tokens = caller.prompt + caller.estimate;
        let need = PlacementRequest::new(&service, caller.prompt, tokens);
        let entry_state = &mut self.entries[entry];
        let chosen = match self.settings.refuses {
            true => {
                stream_admission::select_engine(&entry_state.fleet, now, &need, &spec(), asking)
                    .ok()
            }
            false => entry_state.fleet.choose(now, &need, &spec()).ok(),
        };
        let Some(key) = chosen else {
            return false;
        };
        entry_state
            .comebacks
            .record_admission(now, &service, asking.rank);
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
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            self.schedule(MESSAGE_DELAY, Event::RunStarted(other, message.clone()));
        }
        let engine = &mut self.engines[index_of(engine)];
        engine.load_tracker.record_sent(now, &message);
        engine.runs.push(Run {
            id: message.id,
            prompt_left: caller.prompt,
            caller: caller.clone(),
            entry,
            key,
            expected: tokens,
            produced: 0,
            first_token_sent: false,
        });
        true
    }

    /// Lets engines leave in turn. The runs of one that is gone are at the least full of the others, and another
    /// incarnation takes its place.
    fn replace_engines(&mut self) {
        let now = Time::from_millis(self.now);
        let engine = (self.now / DEPARTURE_INTERVAL) as usize % ENGINES;
        let born = self.now / DEPARTURE_INTERVAL / ENGINES as u64;
        let change = match self.now % DEPARTURE_INTERVAL {
            0 => ServerChange::Put(ServerRecord {
                phase: ServerPhase::Draining,
                ..record(engine, born)
            }),
            NOTICE => ServerChange::Put(record(engine, born + 1)),
            _ => return,
        };
        for entry in &mut self.entries {
            entry.fleet.apply_change(now, &change);
        }
        if self.now % DEPARTURE_INTERVAL == NOTICE {
            self.engines[engine].load_tracker = EngineLoadTracker::default();
            for run in std::mem::take(&mut self.engines[engine].runs) {
                self.move_run(engine, run);
            }
        }
    }

    fn move_run(&mut self, from: usize, run: Run) {
        let held = |engine: &usize| {
            self.engines[*engine]
                .runs
                .iter()
                .map(Run::held_tokens)
                .sum()
        };
        let others = (0..ENGINES).filter(|engine| *engine != from);
        let target = others.min_by_key(|engine| -> u64 { held(engine) });
        let target = target.expect("several engines");
        let now = Time::from_millis(self.now);
        let fleet = &mut self.entries[run.entry].fleet;
        fleet.record_ended(run.key, run.expected);
        let key = fleet.key_at(address(target)).expect("listed");
        let service = Name::new("llm");
        let need = PlacementRequest::new(&service, run.prompt_left, run.expected);
        fleet.record_sent(now, key, &need);
        self.engines[target].runs.push(Run { key, ..run });
    }

    fn is_tallied(&self, caller: &Caller) -> bool {
        caller.in_burst && !(self.settings.has_greedy && caller.workspace.as_str() == "w-0")
    }

    fn refuse(&mut self, entry: usize, caller: Caller, asking: &AdmissionRequest) {
        let now = Time::from_millis(self.now);
        let kind = self.settings.kinds[caller.kind];
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
            let returned_in_time = self.wait_limit(&caller, asking).is_some();
            if returned_in_time && self.is_tallied(&caller) {
                self.outcome.kinds[caller.kind].refused_twice += 1.0;
            }
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
                record_first_token(&mut self.outcome, run, self.now, &self.settings);
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
fn record_first_token(outcome: &mut BurstOutcome, run: &Run, now: u64, settings: &Settings) {
    let caller = &run.caller;
    if !caller.in_burst || (settings.has_greedy && caller.workspace.as_str() == "w-0") {
        return;
    }
    let tally = &mut outcome.kinds[caller.kind];
    let waited = now - caller.sent_at;
    let in_time = waited <= settings.kinds[caller.kind].objective.as_millis() as u64;
    tally.served += 1.0;
    tally.large_served += f64::from(u8::from(caller.large));
    tally.in_time += f64::from(u8::from(in_time));
    if !caller.is_retry {
        tally.first_attempts += 1.0;
        tally.first_attempts_in_time += f64::from(u8::from(in_time));
    }
}
