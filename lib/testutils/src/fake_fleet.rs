//! Servers with queues and entries with late views, in virtual time, for tests and trials of routing.
//!
//! A server runs a bounded number of requests at a time, each slower the more there are, and queues the
//! others up to a bound. Its reports are taken now and then, and reach entries on replies and by
//! heartbeats. Nothing here sleeps or uses a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::load::LoadSummary;
use cicada_lib::outcome::RetryReason;
use cicada_lib::routing::AttemptResult;
use cicada_lib::routing::ServerState;
use cicada_lib::routing::ServerView;
use cicada_lib::time::Time;

use crate::pickers::Picker;
use crate::pickers::Request;

/// The service of all fake servers.
pub const SERVICE: &str = "model";

/// Tries of a request in all.
const TRIES: usize = 3;

/// A connection to a lost host fails after this long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// One way between regions, and within one.
const REGION_WAY: Duration = Duration::from_millis(30);
const LOCAL_WAY: Duration = Duration::from_micros(500);

/// Shape of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Regions, each with the same number of entries and servers.
    pub regions: usize,
    /// Entries in each region.
    pub entries: usize,
    /// Servers in each region.
    pub servers: usize,
    /// Requests that a server runs at once.
    pub slots: usize,
    /// Requests a second in all.
    pub rate: f64,
    /// The part of the requests that are long.
    pub long: f64,
    /// The part of the arrivals that come in region 0, where they are not spread evenly.
    pub skew: Option<f64>,
    /// Distinct prefixes; 0 for none.
    pub prefixes: u64,
    /// How long requests come; the run goes on until all have ended.
    pub length: Duration,
    /// How often a server takes its report.
    pub lag: Duration,
    /// How often each server tells each entry without a reply to ride on.
    pub heartbeat: Duration,
    /// What goes wrong, and when.
    pub faults: Vec<Fault>,
    /// The seed of arrivals, lengths and choices.
    pub seed: u64,
}

/// Something that goes wrong.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When.
    pub at: Duration,
    /// What.
    pub what: Trouble,
}

/// What goes wrong.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// The server takes this many times as long.
    Slow(usize, f64),
    /// All servers take this many times as long.
    AllSlow(f64),
    /// The server's report stays as it is.
    Frozen(usize),
    /// No host of the region can be reached; the list shows it as gone after a lag of 8 s.
    RegionLost(usize),
    /// The list has taken in the loss.
    RegionGone(usize),
    /// The region is back.
    RegionBack(usize),
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub struct Fate {
    /// When it came.
    pub arrived: Time,
    /// The wait for the first token; `None` where there was none.
    pub waited: Option<Duration>,
    /// The server that ran it.
    pub server: usize,
    /// Tries beyond the first.
    pub retries: u32,
    /// Whether the server was in another region.
    pub crossed: bool,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Each request's fate, in the order of arrival.
    pub fates: Vec<Fate>,
    /// The spread of the servers' loads, sampled with each report: standard deviation over mean.
    pub spread: f64,
    /// Tries that reached no server or were refused.
    pub wasted: u64,
}

impl Outcome {
    /// The wait for the first token that this part of all requests does not exceed, in milliseconds.
    /// A request without a first token counts as an endless wait.
    pub fn wait(&self, part: f64) -> f64 {
        self.wait_between(part, Duration::ZERO, Duration::MAX)
    }

    /// The same for the requests that came within a span.
    pub fn wait_between(&self, part: f64, from: Duration, to: Duration) -> f64 {
        let from = Time::ZERO + from;
        let to = Time::ZERO + to;
        let within = self
            .fates
            .iter()
            .filter(|f| f.arrived >= from && f.arrived < to);
        let mut waits: Vec<f64> = within
            .map(|f| f.waited.map_or(f64::INFINITY, |w| w.as_secs_f64() * 1e3))
            .collect();
        waits.sort_by(f64::total_cmp);
        let last = waits.len().saturating_sub(1);
        let index = (waits.len() as f64 * part) as usize;
        waits.get(index.min(last)).copied().unwrap_or(0.0)
    }

    /// The part of all requests whose first token came within `limit`.
    pub fn within(&self, limit: Duration) -> f64 {
        let good = self
            .fates
            .iter()
            .filter(|f| f.waited.is_some_and(|w| w <= limit));
        good.count() as f64 / self.fates.len().max(1) as f64
    }

    /// Retries for each request.
    pub fn retries(&self) -> f64 {
        let retries: u32 = self.fates.iter().map(|f| f.retries).sum();
        f64::from(retries) / self.fates.len().max(1) as f64
    }

    /// The part of all requests that ran in another region.
    pub fn crossed(&self) -> f64 {
        let crossed = self.fates.iter().filter(|f| f.crossed).count();
        crossed as f64 / self.fates.len().max(1) as f64
    }

    /// Requests that a server was given, after `from`.
    pub fn given(&self, server: usize, from: Duration) -> usize {
        let from = Time::ZERO + from;
        let given = self
            .fates
            .iter()
            .filter(|f| f.server == server && f.arrived >= from);
        given.filter(|f| f.waited.is_some()).count()
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Reach(usize),
    First(usize),
    Done(usize),
    Ended(usize, AttemptResult),
    Retry(usize),
    Report(usize),
    Heartbeat(usize, usize),
    Fault(usize),
}

#[derive(Debug)]
struct Job {
    entry: usize,
    tokens: u32,
    prefix: u64,
    server: usize,
    tried: Vec<usize>,
    sent: Time,
    began: bool,
    fate: Fate,
}

#[derive(Debug, Default)]
struct Server {
    region: usize,
    running: usize,
    queue: VecDeque<usize>,
    slow: f64,
    frozen: bool,
    lost: bool,
    report: LoadSummary,
    prefixes: VecDeque<u64>,
    // The mean time of a request, in microseconds.
    mean: f64,
}

/// A run under way.
struct Run<'a> {
    plan: &'a Plan,
    pickers: Vec<Box<dyn Picker>>,
    views: Vec<ServerView>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    kinds: Vec<Event>,
    rng: fastrand::Rng,
    outcome: Outcome,
    spreads: Vec<f64>,
}

/// Name of a region.
pub fn region(index: usize) -> Name {
    Name::new(format!("r{index}"))
}

/// Runs a plan. `picker` makes the picker of one entry, from its number and its region.
pub fn run(plan: &Plan, picker: impl Fn(usize, usize) -> Box<dyn Picker>) -> Outcome {
    let mut run = Run::new(plan, picker);
    while let Some(Reverse((now, _, index))) = run.events.pop() {
        run.step(now, run.kinds[index]);
    }
    let sum: f64 = run.spreads.iter().sum();
    run.outcome.spread = sum / run.spreads.len().max(1) as f64;
    run.outcome.fates = run.jobs.iter().map(|j| j.fate).collect();
    run.outcome
}

impl<'a> Run<'a> {
    fn new(plan: &'a Plan, picker: impl Fn(usize, usize) -> Box<dyn Picker>) -> Self {
        let count = plan.regions * plan.servers;
        let views: Vec<ServerView> = (0..count).map(|i| view(i, i / plan.servers)).collect();
        let servers = (0..count).map(|i| Server {
            region: i / plan.servers,
            slow: 1.0,
            report: idle(),
            mean: 1e6,
            ..Server::default()
        });
        let entries = plan.regions * plan.entries;
        let mut run = Run {
            plan,
            pickers: (0..entries).map(|e| picker(e, e / plan.entries)).collect(),
            servers: servers.collect(),
            views,
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            kinds: Vec::new(),
            rng: fastrand::Rng::with_seed(plan.seed),
            outcome: Outcome::default(),
            spreads: Vec::new(),
        };
        for picker in &mut run.pickers {
            picker.set_servers(Time::ZERO, &run.views);
        }
        run.schedule();
        run
    }

    fn schedule(&mut self) {
        self.at(Time::ZERO, Event::Arrive);
        for server in 0..self.servers.len() {
            let lag = self.plan.lag.mul_f64(self.rng.f64());
            self.at(Time::ZERO + lag, Event::Report(server));
            for entry in 0..self.pickers.len() {
                let beat = self.plan.heartbeat.mul_f64(self.rng.f64());
                self.at(Time::ZERO + beat, Event::Heartbeat(entry, server));
            }
        }
        for (index, fault) in self.plan.faults.iter().enumerate() {
            self.at(Time::ZERO + fault.at, Event::Fault(index));
        }
    }

    fn at(&mut self, time: Time, event: Event) {
        let index = self.kinds.len();
        self.kinds.push(event);
        self.events.push(Reverse((time, index as u64, index)));
    }

    fn step(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Reach(job) => self.reach(now, job),
            Event::First(job) => self.first(now, job),
            Event::Done(job) => self.done(now, job),
            Event::Ended(job, result) => self.ended(now, job, result),
            Event::Retry(job) => self.send(now, job),
            Event::Report(server) => self.report(now, server),
            Event::Heartbeat(entry, server) => self.heartbeat(now, entry, server),
            Event::Fault(index) => self.fault(now, index),
        }
    }

    fn over(&self, now: Time) -> bool {
        now.since(Time::ZERO) >= self.plan.length
    }

    fn arrive(&mut self, now: Time) {
        if self.over(now) {
            return;
        }
        let gap = -(1.0 - self.rng.f64()).ln() / self.plan.rate;
        self.at(now + Duration::from_secs_f64(gap), Event::Arrive);
        let tokens = if self.rng.f64() < self.plan.long {
            self.rng.u32(400..1_600)
        } else {
            self.rng.u32(10..60)
        };
        let entries = self.plan.entries;
        let entry = match self.plan.skew {
            Some(part) if self.rng.f64() < part => self.rng.usize(..entries),
            _ => self.rng.usize(..self.pickers.len()),
        };
        let prefix = match self.plan.prefixes {
            0 => 0,
            // Squaring makes some prefixes far more frequent than others.
            all => 1 + (self.rng.f64().powi(2) * all as f64) as u64,
        };
        self.jobs.push(Job {
            entry,
            tokens,
            prefix,
            server: usize::MAX,
            tried: Vec::new(),
            sent: now,
            began: false,
            fate: Fate {
                arrived: now,
                waited: None,
                server: usize::MAX,
                retries: 0,
                crossed: false,
            },
        });
        self.send(now, self.jobs.len() - 1);
    }

    fn send(&mut self, now: Time, index: usize) {
        let job = &self.jobs[index];
        let request = request(self.plan, job);
        let picker = &mut self.pickers[job.entry];
        let Some(server) = picker.choose(now, &request, &job.tried, &mut self.rng) else {
            return;
        };
        picker.started(now, server, &request, &job.tried);
        let way = self.way(job.entry, server);
        let job = &mut self.jobs[index];
        job.server = server;
        job.sent = now;
        if self.servers[server].lost {
            self.at(
                now + CONNECT_TIMEOUT,
                Event::Ended(index, AttemptResult::Lost),
            );
        } else {
            self.at(now + way, Event::Reach(index));
        }
    }

    fn reach(&mut self, now: Time, index: usize) {
        let job = &self.jobs[index];
        let way = self.way(job.entry, job.server);
        let server = &mut self.servers[job.server];
        if server.lost {
            self.at(
                now + CONNECT_TIMEOUT,
                Event::Ended(index, AttemptResult::Lost),
            );
        } else if server.running < self.plan.slots {
            self.begin(now, index);
        } else if server.expected_wait(self.plan.slots) > 5e6 {
            self.at(now + way, Event::Ended(index, AttemptResult::Refused));
        } else {
            server.queue.push_back(index);
        }
    }

    fn begin(&mut self, now: Time, index: usize) {
        let job = &self.jobs[index];
        let way = self.way(job.entry, job.server);
        let server = &mut self.servers[job.server];
        server.running += 1;
        let crowd = 1.0 + server.running as f64 / self.plan.slots as f64;
        let gap = 0.020 * crowd * server.slow;
        let read = 0.1 * crowd * server.slow * server.reading(job.prefix);
        let took = read + gap * f64::from(job.tokens);
        server.mean += (took * 1e6 - server.mean) * 0.05;
        self.at(
            now + Duration::from_secs_f64(read) + way,
            Event::First(index),
        );
        self.at(now + Duration::from_secs_f64(took), Event::Done(index));
    }

    fn first(&mut self, now: Time, index: usize) {
        let job = &mut self.jobs[index];
        let server = job.server;
        job.began = true;
        job.fate.waited = Some(now.since(job.fate.arrived));
        job.fate.server = server;
        job.fate.crossed = self.servers[server].region != job.entry / self.plan.entries;
        let picker = &mut self.pickers[job.entry];
        picker.first_token(now, server, now.since(job.sent));
        picker.report(now, server, &self.servers[server].report);
    }

    fn done(&mut self, now: Time, index: usize) {
        let job = &self.jobs[index];
        let way = self.way(job.entry, job.server);
        let server = &mut self.servers[job.server];
        server.running -= 1;
        let next = server.queue.pop_front();
        self.at(now + way, Event::Ended(index, AttemptResult::Ok));
        if let Some(next) = next {
            self.begin(now, next);
        }
    }

    fn ended(&mut self, now: Time, index: usize, result: AttemptResult) {
        let job = &mut self.jobs[index];
        let server = job.server;
        let picker = &mut self.pickers[job.entry];
        picker.finished(
            now,
            server,
            result,
            now.since(job.sent),
            job.tokens,
            job.began,
        );
        if result != AttemptResult::Lost {
            picker.report(now, server, &self.servers[server].report);
        }
        let reason = match result {
            AttemptResult::Lost => RetryReason::ConnectFailed,
            AttemptResult::Refused => RetryReason::AgentRefused,
            _ => return,
        };
        self.outcome.wasted += 1;
        job.tried.push(server);
        if job.tried.len() >= TRIES {
            return;
        }
        if let Some(pause) = picker.may_retry(now, reason) {
            job.fate.retries += 1;
            self.at(now + pause, Event::Retry(index));
        }
    }

    fn report(&mut self, now: Time, index: usize) {
        if self.over(now) {
            return;
        }
        self.at(now + self.plan.lag, Event::Report(index));
        let slots = self.plan.slots;
        let server = &mut self.servers[index];
        if !server.frozen {
            server.report = server.summary(slots);
        }
        if index == 0 {
            self.sample_spread();
        }
    }

    fn heartbeat(&mut self, now: Time, entry: usize, server: usize) {
        if self.over(now) {
            return;
        }
        self.at(now + self.plan.heartbeat, Event::Heartbeat(entry, server));
        if !self.servers[server].lost {
            let report = &self.servers[server].report;
            self.pickers[entry].report(now, server, report);
        }
    }

    fn fault(&mut self, now: Time, index: usize) {
        match self.plan.faults[index].what {
            Trouble::Slow(server, factor) => self.servers[server].slow = factor,
            Trouble::AllSlow(factor) => self.servers.iter_mut().for_each(|s| s.slow = factor),
            Trouble::Frozen(server) => self.servers[server].frozen = true,
            Trouble::RegionLost(region) => self.lose(region, true),
            Trouble::RegionGone(region) => self.list(now, region, ServerState::Gone),
            Trouble::RegionBack(region) => {
                self.lose(region, false);
                self.list(now, region, ServerState::Ready);
            }
        }
    }

    fn lose(&mut self, region: usize, lost: bool) {
        for server in self.servers.iter_mut().filter(|s| s.region == region) {
            server.lost = lost;
        }
    }

    fn list(&mut self, now: Time, region: usize, state: ServerState) {
        for (view, server) in self.views.iter_mut().zip(&self.servers) {
            if server.region == region {
                view.state = state;
            }
        }
        for picker in &mut self.pickers {
            picker.set_servers(now, &self.views);
        }
    }

    fn way(&self, entry: usize, server: usize) -> Duration {
        if self.servers[server].region == entry / self.plan.entries {
            LOCAL_WAY
        } else {
            REGION_WAY
        }
    }

    fn sample_spread(&mut self) {
        let loads = self
            .servers
            .iter()
            .map(|s| (s.running + s.queue.len()) as f64);
        let loads: Vec<f64> = loads.collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        if mean > 0.0 {
            let squares: f64 = loads.iter().map(|l| (l - mean).powi(2)).sum();
            self.spreads
                .push((squares / loads.len() as f64).sqrt() / mean);
        }
    }
}

impl Server {
    /// Microseconds.
    fn expected_wait(&self, slots: usize) -> f64 {
        if self.running < slots {
            return 0.0;
        }
        (self.queue.len() + 1) as f64 * self.mean / slots as f64
    }

    fn summary(&self, slots: usize) -> LoadSummary {
        let crowd = 1.0 + self.running as f64 / slots as f64;
        let free = (slots - self.running) as u64;
        LoadSummary {
            expected_wait: self.expected_wait(slots) as u64,
            token_gap: (20_000.0 * crowd * self.slow) as u64,
            running: self.running as u32,
            queued: self.queue.len() as u32,
            free_tokens: free * 350,
            capacity_tokens: slots as u64 * 350,
            ..idle()
        }
    }

    /// The part of the prompt that must be read: a tenth where its head is cached.
    fn reading(&mut self, prefix: u64) -> f64 {
        if prefix == 0 {
            return 1.0;
        }
        let held = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(index) = held {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > 32 {
            self.prefixes.pop_front();
        }
        if held.is_some() { 0.1 } else { 1.0 }
    }
}

fn request(plan: &Plan, job: &Job) -> Request {
    let mean = plan.long * 1_000.0 + (1.0 - plan.long) * 35.0;
    Request {
        expected_tokens: mean as u32,
        prefix: job.prefix,
    }
}

fn idle() -> LoadSummary {
    LoadSummary {
        reachable: true,
        ..LoadSummary::default()
    }
}

fn view(index: usize, in_region: usize) -> ServerView {
    ServerView {
        name: Name::new(format!("s{index}")),
        service: Name::new(SERVICE),
        region: region(in_region),
        zone: region(in_region),
        models: vec![Name::new(SERVICE)],
        state: ServerState::Ready,
    }
}
