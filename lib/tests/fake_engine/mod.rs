//! One deterministic engine with one scheduler before it, in virtual time.
//!
//! The engine batches continuously: each step gives one token to each running generation. When its
//! memory is full it displaces the generation that it started last, as common engines do.
#![allow(dead_code, unreachable_pub)]

pub mod mixes;
pub mod report;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use cicada_lib::backend::EngineLoad;
use cicada_lib::ids::Name;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::scheduler::Action;
use cicada_lib::scheduler::JobKey;
use cicada_lib::scheduler::JobSpec;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::time::Time;

/// The engine's speed and size.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Microseconds of an empty step.
    pub base: u64,
    /// Microseconds more for each generation in the batch.
    pub per_running: u64,
    /// Nanoseconds more for each token of a prompt that is read in.
    pub per_prompt: u64,
    pub capacity: u64,
    pub max_batch: usize,
}

/// A caller's request. The true length is known to the engine alone.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrival: Time,
    pub workspace: Name,
    pub kind: Name,
    pub prompt: u32,
    pub length: u32,
    pub limit: u32,
    pub deadline: Option<Time>,
    /// How often the caller comes back after a refusal, when it is told to.
    pub tries: u32,
    pub elsewhere: u64,
}

/// What the caller got.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub tokens: u32,
    /// Tokens that came within the trial's window.
    pub in_window: u32,
    pub first_token: Option<Time>,
    /// The last moment at which it saw progress.
    pub progress: Time,
    /// The longest time without progress.
    pub stall: Duration,
    pub ended: Option<Time>,
    pub complete: bool,
    pub refusal: Option<RefusalReason>,
    pub preemptions: u32,
    /// Returns at the time it was told, and those among them that were taken in.
    pub returns: u32,
    pub returns_taken: u32,
}

#[derive(Clone, Debug)]
struct Running {
    request: usize,
    /// Tokens to be read in at the next step.
    unread: u64,
}

/// Who decides what reaches the engine.
pub enum Front {
    /// Each request goes to the engine as it comes; first come, first served, no limits.
    Direct,
    /// The same, but the engine knows all lengths and starts only what will fit to its end.
    Reference,
    /// A scheduler.
    Scheduled(Box<Scheduler>),
}

/// One run.
pub struct Trial {
    pub spec: EngineSpec,
    pub front: Front,
    pub requests: Vec<Request>,
    pub received: Vec<Received>,
    /// Microseconds between two tokens of one stream.
    pub gaps: Vec<u32>,
    pub preemptions: u64,
    pub now: Time,
    /// The most tokens that were in memory.
    pub peak: u64,
    /// Tokens in memory now.
    used: u64,
    /// The end of the time that figures refer to.
    window: Time,
    arrivals: VecDeque<(Time, usize)>,
    keys: HashMap<JobKey, usize>,
    jobs: HashMap<usize, JobKey>,
    batch: Vec<Running>,
    waiting: VecDeque<usize>,
    paused: Vec<usize>,
    step_end: Option<Time>,
    reported: Time,
    step_micros: u64,
}

const REPORT_EVERY: Duration = Duration::from_millis(500);

impl Trial {
    pub fn new(spec: EngineSpec, front: Front, requests: Vec<Request>) -> Self {
        let mut arrivals: Vec<_> = requests.iter().map(|r| r.arrival).zip(0..).collect();
        arrivals.sort();
        let received = requests.iter().map(|r| Received {
            progress: r.arrival,
            ..Received::default()
        });
        Trial {
            received: received.collect(),
            spec,
            front,
            requests,
            gaps: Vec::new(),
            preemptions: 0,
            now: Time::ZERO,
            peak: 0,
            used: 0,
            window: Time::ZERO,
            arrivals: arrivals.into(),
            keys: HashMap::new(),
            jobs: HashMap::new(),
            batch: Vec::new(),
            waiting: VecDeque::new(),
            paused: Vec::new(),
            step_end: None,
            reported: Time::ZERO,
            step_micros: 0,
        }
    }

    /// Runs until `end`, or until nothing is left to do. Figures refer to the time up to `window`:
    /// what had begun by then is followed to its end.
    pub fn run(&mut self, window: Time, end: Time) {
        self.window = window;
        while let Some(time) = self.next_event() {
            if time > end {
                break;
            }
            self.now = self.now.max(time);
            self.arrive();
            if self.step_end.is_some_and(|step| step <= self.now) {
                self.end_step();
            }
            self.expire();
            self.act();
            self.begin_step();
        }
        self.now = end;
        for index in 0..self.requests.len() {
            if self.requests[index].arrival <= end && self.received[index].ended.is_none() {
                self.note_stall(index);
            }
        }
    }

    fn next_event(&self) -> Option<Time> {
        let arrival = self.arrivals.front().map(|&(time, _)| time);
        let wakeup = match &self.front {
            Front::Direct | Front::Reference => None,
            Front::Scheduled(scheduler) => scheduler.next_wakeup(self.now),
        };
        // A wakeup in the past would loop for ever: let it move time on a little.
        let wakeup = wakeup.map(|time| time.max(self.now + Duration::from_micros(100)));
        [arrival, self.step_end, wakeup].into_iter().flatten().min()
    }

    fn arrive(&mut self) {
        while let Some(&(time, index)) = self.arrivals.front() {
            if time > self.now {
                return;
            }
            self.arrivals.pop_front();
            self.offer(index);
        }
    }

    fn offer(&mut self, index: usize) {
        let request = &self.requests[index];
        let scheduler = match &mut self.front {
            Front::Direct | Front::Reference => {
                self.waiting.push_back(index);
                return;
            }
            Front::Scheduled(scheduler) => scheduler,
        };
        let spec = JobSpec {
            workspace: request.workspace.clone(),
            kind: request.kind.clone(),
            prompt_tokens: request.prompt,
            max_tokens: request.limit,
            deadline: request.deadline,
            elsewhere: request.elsewhere,
            retried: false,
        };
        let received = &mut self.received[index];
        let returned = received.refusal.take().is_some();
        received.returns += u32::from(returned);
        match scheduler.offer(self.now, spec) {
            Ok(key) => {
                received.returns_taken += u32::from(returned);
                self.keys.insert(key, index);
                self.jobs.insert(index, key);
            }
            Err(refusal) => {
                received.refusal = Some(refusal.reason());
                received.ended = Some(self.now);
                let left = self.requests[index].tries;
                if let Some(after) = refusal.retry_after()
                    && left > 0
                {
                    self.requests[index].tries -= 1;
                    received.ended = None;
                    let entry = (self.now + after, index);
                    let place = self.arrivals.partition_point(|other| *other < entry);
                    self.arrivals.insert(place, entry);
                }
            }
        }
    }

    /// Takes what the scheduler says and carries it out.
    fn act(&mut self) {
        loop {
            let now = self.now;
            let Front::Scheduled(scheduler) = &mut self.front else {
                return;
            };
            if now.since(self.reported) >= REPORT_EVERY {
                self.reported = now;
                let load = EngineLoad {
                    running: self.batch.len() as u32,
                    waiting: self.waiting.len() as u32,
                    used_tokens: self.used,
                    capacity_tokens: self.spec.capacity,
                    preemptions: self.preemptions,
                    step_micros: self.step_micros,
                    incarnation: 1,
                    models: Vec::new(),
                    role: Name::new("mixed"),
                    fence: 0,
                };
                scheduler.engine_load(now, &load);
            }
            match scheduler.next_action(now) {
                None => return,
                Some(Action::Start(key)) => self.waiting.push_back(self.keys[&key]),
                Some(Action::Resume(key)) => {
                    let index = self.keys[&key];
                    self.paused.retain(|&other| other != index);
                    self.waiting.push_back(index);
                }
                Some(Action::Pause(key)) => {
                    let index = self.keys[&key];
                    self.received[index].preemptions += 1;
                    self.preemptions += 1;
                    self.leave(index);
                    self.paused.push(index);
                }
                Some(Action::Refuse(key, refusal)) => {
                    let index = self.keys[&key];
                    self.received[index].refusal = Some(refusal.reason());
                    self.end(index);
                }
                Some(Action::Abort(key)) => {
                    let index = self.keys[&key];
                    self.leave(index);
                    self.end(index);
                    self.report(key, Scheduler::finished);
                }
            }
        }
    }

    fn report(&mut self, key: JobKey, event: fn(&mut Scheduler, Time, JobKey)) {
        if let Front::Scheduled(scheduler) = &mut self.front {
            event(scheduler, self.now, key);
        }
    }

    fn leave(&mut self, index: usize) {
        if let Some(place) = self.batch.iter().position(|other| other.request == index) {
            self.batch.remove(place);
            self.used -= self.size(index);
        }
        self.waiting.retain(|&other| other != index);
        self.paused.retain(|&other| other != index);
    }

    fn end(&mut self, index: usize) {
        self.note_stall(index);
        self.received[index].ended = Some(self.now);
        if let Some(key) = self.jobs.remove(&index) {
            self.keys.remove(&key);
        }
    }

    fn size(&self, index: usize) -> u64 {
        u64::from(self.requests[index].prompt + self.received[index].tokens)
    }

    fn note_stall(&mut self, index: usize) {
        let received = &mut self.received[index];
        received.stall = received.stall.max(self.now.since(received.progress));
    }

    /// A caller of a front without a scheduler hangs up at its deadline, which ends the generation.
    fn expire(&mut self) {
        if matches!(self.front, Front::Scheduled(_)) {
            return;
        }
        let late = |index: &usize| {
            let deadline = self.requests[*index].deadline;
            deadline.is_some_and(|deadline| deadline <= self.now)
        };
        let batch = self.batch.iter().map(|running| running.request);
        let gone: Vec<usize> = batch
            .chain(self.waiting.iter().copied())
            .filter(late)
            .collect();
        for index in gone {
            self.leave(index);
            self.end(index);
        }
    }

    fn begin_step(&mut self) {
        if self.step_end.is_some() {
            return;
        }
        self.make_room();
        while let Some(&index) = self.waiting.front() {
            let size = self.size(index);
            let room = self.used + size + (self.batch.len() as u64) < self.spec.capacity;
            let room = room && self.will_fit(index);
            if self.batch.len() >= self.spec.max_batch || !room {
                break;
            }
            self.waiting.pop_front();
            self.used += size;
            self.batch.push(Running {
                request: index,
                unread: size,
            });
            if self.received[index].preemptions > 0
                && let Some(&key) = self.jobs.get(&index)
            {
                self.report(key, Scheduler::resumed);
            }
        }
        if self.batch.is_empty() {
            return;
        }
        let unread: u64 = self.batch.iter().map(|running| running.unread).sum();
        let size = self.batch.len() as u64;
        self.step_micros =
            self.spec.base + self.spec.per_running * size + self.spec.per_prompt * unread / 1_000;
        self.step_end = Some(self.now + Duration::from_micros(self.step_micros));
    }

    /// Whether the batch and one more fit up to their ends, as only the reference knows.
    fn will_fit(&self, index: usize) -> bool {
        if !matches!(self.front, Front::Reference) {
            return true;
        }
        let left =
            |index: usize| u64::from(self.requests[index].length - self.received[index].tokens);
        let batch = self.batch.iter().map(|running| running.request);
        let mut all: Vec<usize> = batch.chain([index]).collect();
        all.sort_by_key(|&index| std::cmp::Reverse(left(index)));
        let mut held = 0;
        (1..).zip(all).all(|(count, index)| {
            held += self.size(index);
            held + count * left(index) <= self.spec.capacity
        })
    }

    /// Displaces the last started generations until one more token fits for each that stays.
    fn make_room(&mut self) {
        loop {
            let need = self.used + self.batch.len() as u64;
            if need <= self.spec.capacity || self.batch.len() <= 1 {
                self.peak = self.peak.max(need);
                return;
            }
            let Some(victim) = self.batch.pop() else {
                return;
            };
            self.used -= self.size(victim.request);
            self.preemptions += 1;
            self.received[victim.request].preemptions += 1;
            self.waiting.push_front(victim.request);
            if let Some(&key) = self.jobs.get(&victim.request) {
                self.report(key, Scheduler::preempted);
            }
        }
    }

    fn end_step(&mut self) {
        self.step_end = None;
        for running in self.batch.clone() {
            self.give_token(running.request);
        }
        for running in &mut self.batch {
            running.unread = 0;
        }
    }

    fn give_token(&mut self, index: usize) {
        self.note_stall(index);
        let received = &mut self.received[index];
        if received.first_token.is_some() {
            self.gaps
                .push(self.now.since(received.progress).as_micros() as u32);
        }
        received.first_token.get_or_insert(self.now);
        received.progress = self.now;
        received.tokens += 1;
        received.in_window += u32::from(self.now <= self.window);
        self.used += 1;
        let key = self.jobs.get(&index).copied();
        if let Some(key) = key {
            self.report(key, Scheduler::token_produced);
        }
        if self.received[index].tokens >= self.requests[index].length {
            self.received[index].complete = true;
            self.leave(index);
            self.end(index);
            if let Some(key) = key {
                self.report(key, Scheduler::finished);
            }
        }
    }
}
