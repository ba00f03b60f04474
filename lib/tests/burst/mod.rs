//! Engines, entries and callers in simulated time: the load of a burst, on the decisions as they are.
//!
//! An engine does one step at a time: it reads a piece of the most urgent prompt, and makes a token for each
//! run that has begun. When its memory is full it displaces the newest of its least urgent runs, whose
//! prompt is then read again. Entries hear of engines through their scouts' reports, late.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::engine_load_tracker::EngineLoadTracker;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Need;
use cicada_lib::fleet::Place;
use cicada_lib::ids::Name;
use cicada_lib::move_plan;
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::EngineLoad;
use cicada_lib::peer_words::SentWord;
use cicada_lib::recent_rejections::RecentRejections;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServiceSpec;
use cicada_lib::stream_admission;
use cicada_lib::stream_admission::AdmissionRequest;
use cicada_lib::stream_admission::RetryPacer;
use cicada_lib::time::Time;
use cicada_lib::workspace_use::WorkspaceUse;
use testutils::site;

const CAPACITY: u64 = 34_000;
const SLOTS: u32 = 64;
/// Tokens of a prompt that are read in a step.
const CHUNK: u64 = 112;
/// The times of a step, in microseconds: by itself, for each run, and for a piece of a prompt.
const STEP: u64 = 7_000;
const STEP_RUN: u64 = 120;
const STEP_READ: u64 = 8_000;

const ENGINES: usize = 8;
const ENTRIES: usize = 4;
/// How long reports and words are on their way, in milliseconds.
const WAY: u64 = 30;
/// The burst, in milliseconds from the beginning, and when the last caller has been heard.
const BURST: std::ops::Range<u64> = 5_000..25_000;
const END: u64 = 60_000;

/// A kind of request: how many come a second at the usual load, and what they ask.
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

/// Short questions, and long drafts that are less urgent and worth nine times as much.
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

/// What became of the callers of a kind that first asked during the burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: f64,
    pub(crate) in_time: f64,
    // Served without having been turned away before, and in time.
    pub(crate) fresh: f64,
    pub(crate) fresh_in_time: f64,
    // Of those whose requests are the largest tenth.
    pub(crate) large: f64,
    pub(crate) large_served: f64,
    pub(crate) served: f64,
}

/// What a burst brought.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) kinds: [Tally; 2],
    pub(crate) displaced: u64,
}

impl Outcome {
    /// What callers got that were served in time.
    pub(crate) fn worth(&self) -> f64 {
        let kinds = self.kinds.iter().zip(KINDS);
        kinds.map(|(tally, kind)| tally.in_time * kind.worth).sum()
    }
}

#[derive(Clone)]
struct Caller {
    kind: usize,
    number: u64,
    first: u64,
    prompt: u64,
    output: u64,
    again: bool,
    // Of the largest tenth.
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
    // Tokens of the prompt that are still to be read, and tokens made.
    unread: u64,
    made: u64,
    told: bool,
}

impl Run {
    fn held(&self) -> u64 {
        self.caller.prompt - self.unread + self.made
    }
}

#[derive(Default)]
struct Engine {
    runs: Vec<Run>,
    load_tracker: EngineLoadTracker,
    // When the present step ends, in microseconds.
    busy: u64,
}

struct Entry {
    fleet: Fleet,
    comebacks: RetryPacer,
    returns: RecentRejections,
    used: WorkspaceUse,
}

enum Event {
    Ask(usize, Caller),
    Heard(usize, usize, EngineLoad),
    Sent(usize, SentWord),
}

/// The world.
pub(crate) struct World {
    rng: fastrand::Rng,
    // Draws workspaces, so that requests are the same whoever sends them.
    owners: fastrand::Rng,
    now: u64,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    // By time; later ones behind.
    events: VecDeque<(u64, Event)>,
    refuses: bool,
    greedy: bool,
    shares: bool,
    outcome: Outcome,
    names: u64,
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, engine as u8], 8_701))
}

fn here(engine: usize) -> EngineHere {
    EngineHere {
        address: address(engine),
        service: Name::new("llm"),
        zone: Name::new("a"),
    }
}

fn spec() -> ServiceSpec {
    site::engine_service(SLOTS, CAPACITY)
}

fn entry() -> Entry {
    let mut fleet = Fleet::new(Place {
        zone: Name::new("a"),
        regions: Default::default(),
    });
    for engine in 0..ENGINES {
        let record = site::server(&format!("e-{engine}"), address(engine), "a", SLOTS);
        fleet.change(Time::ZERO, &ServerChange::Put(record));
    }
    Entry {
        fleet,
        comebacks: RetryPacer::new(),
        returns: RecentRejections::new(),
        used: WorkspaceUse::new(),
    }
}

/// Plays a burst of `load` times the usual rate. Where the entries do not refuse, they send every request
/// to the best engine.
pub(crate) fn play(load: f64, seed: u64, refuses: bool) -> Outcome {
    World::new(seed, refuses).run(load)
}

/// The same where one of ten workspaces sends as much as all others; those are tallied alone. Shares are kept
/// or not.
pub(crate) fn play_greedy(load: f64, seed: u64, shares: bool) -> Outcome {
    let mut world = World::new(seed, true);
    world.greedy = true;
    world.shares = shares;
    world.run(load)
}

impl World {
    fn new(seed: u64, refuses: bool) -> Self {
        World {
            rng: fastrand::Rng::with_seed(seed),
            owners: fastrand::Rng::with_seed(seed),
            now: 0,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            events: VecDeque::new(),
            refuses,
            greedy: false,
            shares: true,
            outcome: Outcome::default(),
            names: 0,
        }
    }

    fn run(mut self, load: f64) -> Outcome {
        self.callers(load);
        while self.now < END {
            self.now += 1;
            self.step();
        }
        self.outcome
    }

    fn callers(&mut self, load: f64) {
        let mut asks = Vec::new();
        for (kind, figures) in KINDS.iter().enumerate() {
            let mut at = 0.0;
            while at < BURST.end as f64 + 5_000.0 {
                let burst = BURST.contains(&(at as u64));
                let rate = figures.rate * if burst { load } else { 1.0 };
                at -= self.rng.f64().max(1e-9).ln() / rate * 1_000.0;
                let size = self.rng.f64();
                let caller = Caller {
                    kind,
                    number: asks.len() as u64,
                    first: at as u64,
                    prompt: (figures.prompt as f64 * (0.5 + size)) as u64,
                    // Lengths that nobody knows: half of them shorter than half of the mean.
                    output: 1 + (-self.rng.f64().max(1e-9).ln() * figures.output as f64) as u64,
                    again: false,
                    large: size > 0.9,
                    in_burst: BURST.contains(&(at as u64)),
                    workspace: self.workspace(),
                };
                let entry = self.rng.usize(..ENTRIES);
                asks.push((at as u64, Event::Ask(entry, caller)));
            }
        }
        asks.sort_by_key(|(at, _)| *at);
        self.events = asks.into();
    }

    /// One of ten workspaces; the first has as many callers as all others where it is greedy.
    fn workspace(&mut self) -> Name {
        let greedy = self.greedy && self.owners.bool();
        let number = if greedy { 0 } else { self.owners.usize(1..10) };
        Name::new(format!("w-{number}"))
    }

    fn later(&mut self, after: u64, event: Event) {
        let at = self.now + after;
        let place = self.events.partition_point(|(other, _)| *other <= at);
        self.events.insert(place, (at, event));
    }

    fn step(&mut self) {
        while self.events.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, event)) = self.events.pop_front() else {
                break;
            };
            match event {
                Event::Ask(entry, caller) => self.ask(entry, caller),
                Event::Heard(entry, engine, load) => {
                    let now = Time::from_millis(self.now);
                    self.entries[entry].fleet.report(now, &here(engine), &load);
                }
                Event::Sent(entry, word) => {
                    let now = Time::from_millis(self.now);
                    let fleet = &mut self.entries[entry].fleet;
                    fleet.started_elsewhere(now, word.engine, word.prompt, word.tokens);
                }
            }
        }
        for engine in 0..ENGINES {
            while self.engines[engine].busy <= self.now * 1_000 {
                self.engine_step(engine);
            }
            if (self.now + engine as u64).is_multiple_of(30) {
                self.tell(engine);
            }
        }
        if self.now.is_multiple_of(100) {
            self.tell_returns();
        }
    }

    fn ask(&mut self, entry: usize, caller: Caller) {
        let kind = KINDS[caller.kind];
        let now = Time::from_millis(self.now);
        if self.tallies(&caller) && !caller.again {
            let tally = &mut self.outcome.kinds[caller.kind];
            tally.asked += 1.0;
            tally.large += f64::from(u8::from(caller.large));
        }
        let service = Name::new("llm");
        // Estimates of callers are right for half of the runs.
        let guess = caller.output as f64 * (self.rng.f64() * 2.0 - 1.0).exp();
        let need = Need::new(&service, caller.prompt, caller.prompt + guess as u64);
        let at = &mut self.entries[entry];
        let asking = AdmissionRequest {
            rank: kind.priority,
            age: at.returns.take(now, caller.number),
            over_share: self.shares && at.used.is_over(now, &caller.workspace),
            objective: kind.objective,
        };
        let placed = match self.refuses {
            true => stream_admission::select_engine(&at.fleet, now, &need, &spec(), &asking).ok(),
            false => at.fleet.choose(now, &need, &spec()).ok(),
        };
        let Some(key) = placed else {
            self.refuse(entry, caller, &asking);
            return;
        };
        at.comebacks.record_admission(now, &service, kind.priority);
        at.used.taken(now, &caller.workspace, need.tokens);
        at.fleet.started(now, key, &need);
        let engine = at.fleet.record(key).expect("chosen").address;
        self.names += 1;
        let word = SentWord {
            id: Name::new(format!("r-{}", self.names)),
            engine,
            prompt: need.prompt,
            tokens: need.tokens,
        };
        let expected = need.tokens;
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            self.later(WAY, Event::Sent(other, word.clone()));
        }
        let SocketAddr::V4(address) = engine else {
            return;
        };
        let engine = &mut self.engines[usize::from(address.ip().octets()[3])];
        engine.load_tracker.record_sent(now, &word);
        engine.runs.push(Run {
            id: word.id,
            unread: caller.prompt,
            caller,
            entry,
            key,
            expected,
            made: 0,
            told: false,
        });
    }

    fn tallies(&self, caller: &Caller) -> bool {
        caller.in_burst && !(self.greedy && caller.workspace.as_str() == "w-0")
    }

    fn refuse(&mut self, entry: usize, caller: Caller, asking: &AdmissionRequest) {
        let now = Time::from_millis(self.now);
        let kind = KINDS[caller.kind];
        let passed = Duration::from_millis(self.now - caller.first);
        let left = kind.limit.saturating_sub(passed);
        let spread = self.rng.f64();
        let at = &mut self.entries[entry];
        let service = Name::new("llm");
        let pause = at
            .comebacks
            .retry_delay(now, &service, asking, left, spread);
        at.returns.record(now, caller.number, asking.age, pause);
        if caller.again {
            return;
        }
        let other = self.rng.usize(..ENTRIES);
        let back = Caller {
            again: true,
            ..caller
        };
        self.later(pause.as_millis() as u64, Event::Ask(other, back));
    }

    fn tell(&mut self, engine: usize) {
        let now = Time::from_millis(self.now);
        let at = &mut self.engines[engine];
        let begun = at.runs.iter().filter(|run| run.told);
        let runs: Vec<EngineRun> = begun
            .map(|run| EngineRun {
                id: run.id.clone(),
                tokens: run.held(),
                events: run.made / 4,
                rank: move_plan::rank(KINDS[run.caller.kind].priority, run.caller.output < 64),
            })
            .collect();
        let used = at.runs.iter().map(Run::held).sum();
        let report = EngineReport {
            running: at.runs.len() as u32,
            reading: (at.runs.len() - runs.len()) as u32,
            used,
            capacity: CAPACITY,
            runs,
            ..EngineReport::default()
        };
        let (running, reading) = (report.running, report.reading);
        at.load_tracker.update(now, report);
        let forecast = at.load_tracker.forecast(now, None);
        let load = EngineLoad {
            running,
            reading,
            used,
            planned: forecast.peak_tokens,
            unread: forecast.prefill_tokens,
            capacity: CAPACITY,
            ..EngineLoad::default()
        };
        for entry in 0..ENTRIES {
            self.later(WAY, Event::Heard(entry, engine, load.clone()));
        }
    }

    fn tell_returns(&mut self) {
        let now = Time::from_millis(self.now);
        for entry in 0..ENTRIES {
            let told = self.entries[entry].returns.take_unsent(now);
            for other in (0..ENTRIES).filter(|other| *other != entry) {
                self.entries[other].returns.merge(now, &told);
            }
        }
    }

    fn engine_step(&mut self, engine: usize) {
        self.displace(engine);
        let at = &mut self.engines[engine];
        let waiting = at.runs.iter_mut().filter(|run| run.unread > 0);
        let next = waiting.min_by_key(|run| (KINDS[run.caller.kind].priority, run.caller.first));
        let mut time = STEP;
        if let Some(run) = next {
            run.unread -= run.unread.min(CHUNK);
            time += STEP_READ;
        }
        let mut ended = Vec::new();
        for (place, run) in at.runs.iter_mut().enumerate() {
            if run.unread > 0 {
                continue;
            }
            run.made += 1;
            time += STEP_RUN;
            if !run.told {
                run.told = true;
                first(&mut self.outcome, run, self.now, self.greedy);
                self.entries[run.entry]
                    .fleet
                    .began(run.key, run.caller.prompt);
            }
            if run.made >= run.caller.output {
                ended.push(place);
            }
        }
        for place in ended.into_iter().rev() {
            let run = at.runs.remove(place);
            self.entries[run.entry].fleet.ended(run.key, run.expected);
        }
        at.busy += time;
    }

    fn displace(&mut self, engine: usize) {
        let at = &mut self.engines[engine];
        while at.runs.iter().map(Run::held).sum::<u64>() > CAPACITY {
            let victim = at.runs.iter_mut().filter(|run| run.unread == 0);
            let victim =
                victim.max_by_key(|run| (KINDS[run.caller.kind].priority, run.caller.first));
            let Some(victim) = victim else {
                return;
            };
            victim.unread = victim.caller.prompt;
            self.outcome.displaced += 1;
        }
    }
}

/// A caller sees its first event.
fn first(outcome: &mut Outcome, run: &Run, now: u64, greedy: bool) {
    let caller = &run.caller;
    if !caller.in_burst || (greedy && caller.workspace.as_str() == "w-0") {
        return;
    }
    let tally = &mut outcome.kinds[caller.kind];
    let waited = now - caller.first;
    let in_time = waited <= KINDS[caller.kind].objective.as_millis() as u64;
    tally.served += 1.0;
    tally.large_served += f64::from(u8::from(caller.large));
    tally.in_time += f64::from(u8::from(in_time));
    if !caller.again {
        tally.fresh += 1.0;
        tally.fresh_in_time += f64::from(u8::from(in_time));
    }
}
