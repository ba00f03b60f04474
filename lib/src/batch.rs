//! What runs on one engine, what is displaced, and what still fits.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SlotMap;

use crate::ids::Name;
use crate::lengths::Expectation;
use crate::memory_plan::Footprint;
use crate::memory_plan::MemoryPlan;
use crate::memory_plan::VictimCandidate;
use crate::scheduler::JobKey;
use crate::shares::Account;
use crate::shares::TOKEN;
use crate::tenants::TenantKey;
use crate::tenants::Tenants;
use crate::time::Time;

/// Tokens of a running job that are held against its workspace ahead of time.
const HORIZON: f64 = 128.0;

/// Where a job stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    Queued,
    Running,
    /// Displaced by the scheduler, which has to resume it.
    Paused,
    /// Displaced by the engine, which resumes it by itself.
    Displaced,
    /// Told to end.
    Aborted,
}

/// A job from its acceptance to its end.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) tenant: TenantKey,
    pub(crate) kind: Name,
    pub(crate) prompt: u32,
    pub(crate) limit: u32,
    pub(crate) state: State,
    pub(crate) due: Time,
    /// When something must be done for it: refuse it or end it.
    pub(crate) alarm: Option<Time>,
    pub(crate) deadline: Option<Time>,
    /// Its cost as expected when it came.
    pub(crate) cost: u64,
    pub(crate) band: usize,
    /// Cost held against its workspace.
    pub(crate) held: u64,
    pub(crate) produced: u32,
    pub(crate) pauses: u32,
    /// What was expected when it had produced `checked` tokens.
    pub(crate) expected: Expectation,
    pub(crate) checked: u32,
    pub(crate) last_token: Option<Time>,
    pub(crate) arrived: Time,
    pub(crate) expected_wait: Duration,
}

/// The running batch.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) plan: MemoryPlan,
    // The jobs that are running or aborted.
    running: Vec<JobKey>,
    pub(crate) paused: VecDeque<JobKey>,
    // Jobs that the engine displaced and still has.
    displaced: Vec<JobKey>,
    // Tokens held by `running`.
    held: u64,
    // Kept for its memory.
    scratch: Vec<Footprint>,
}

impl Job {
    /// Tokens in memory while it runs.
    pub(crate) fn size(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.produced)
    }

    /// Tokens that are expected to follow.
    pub(crate) fn left(&self) -> f64 {
        let since = f64::from(self.produced - self.checked);
        (self.expected.mean - since).max(1.0)
    }

    /// The cost to be held against its workspace: of what is expected, at most [`HORIZON`].
    pub(crate) fn ahead(&self) -> u64 {
        (self.left().min(HORIZON) * TOKEN as f64) as u64
    }

    /// The cost by which it stands back behind other workspaces' jobs while it waits.
    pub(crate) fn next_cost(&self) -> u64 {
        self.cost.min((HORIZON * TOKEN as f64) as u64)
    }

    /// Whether the expectation should be made anew: each eighth of its length.
    pub(crate) fn wants_check(&self) -> bool {
        self.produced - self.checked >= 8.max(self.produced / 8)
    }

    fn footprint(&self) -> Footprint {
        Footprint {
            held: self.size(),
            mean: self.left(),
            variance: self.expected.variance,
            most: u64::from(self.limit.saturating_sub(self.produced)),
        }
    }
}

impl Batch {
    pub(crate) fn new(plan: MemoryPlan) -> Self {
        Batch {
            plan,
            running: Vec::new(),
            paused: VecDeque::new(),
            displaced: Vec::new(),
            held: 0,
            scratch: Vec::new(),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// All that the engine has been given and has not ended.
    pub(crate) fn open(&self) -> usize {
        self.running.len() + self.displaced.len()
    }

    pub(crate) fn held(&self) -> u64 {
        self.held
    }

    pub(crate) fn has_displaced(&self) -> bool {
        !self.displaced.is_empty() || !self.paused.is_empty()
    }

    pub(crate) fn add(&mut self, key: JobKey, job: &mut Job) {
        job.state = State::Running;
        job.last_token = None;
        self.held += job.size();
        self.running.push(key);
    }

    pub(crate) fn grow(&mut self) {
        self.held += 1;
    }

    /// Takes a job out of whichever list it stands in, and puts it into that of its new state.
    pub(crate) fn move_to(&mut self, key: JobKey, job: &mut Job, state: State) {
        self.remove(key, job);
        job.state = state;
        job.last_token = None;
        match state {
            State::Paused => self.paused.push_back(key),
            State::Displaced => self.displaced.push(key),
            State::Queued => {}
            State::Running | State::Aborted => {
                self.held += job.size();
                self.running.push(key);
            }
        }
    }

    pub(crate) fn remove(&mut self, key: JobKey, job: &Job) {
        match job.state {
            State::Queued => {}
            State::Running | State::Aborted => {
                self.held -= job.size();
                self.running.retain(|&other| other != key);
            }
            State::Paused => self.paused.retain(|&other| other != key),
            State::Displaced => self.displaced.retain(|&other| other != key),
        }
    }

    /// Whether `job` may join those that run within `part` of the memory.
    pub(crate) fn fits(&mut self, jobs: &SlotMap<JobKey, Job>, job: &Job, part: f64) -> bool {
        if self.plan.capacity() == 0 || self.open() == 0 {
            return true;
        }
        self.scratch.clear();
        let open = self.running.iter().chain(&self.displaced);
        self.scratch.extend(open.map(|&key| jobs[key].footprint()));
        self.scratch.push(job.footprint());
        self.plan.fits(&mut self.scratch, part)
    }

    /// Whom to displace before the engine does, if it would soon.
    pub(crate) fn victim(&self, jobs: &SlotMap<JobKey, Job>, tenants: &Tenants) -> Option<JobKey> {
        let running = self.running.len() as u64;
        if !self.plan.is_short(self.held, running) {
            return None;
        }
        let live = |key: &&JobKey| jobs[**key].state == State::Running;
        let live: Vec<JobKey> = self.running.iter().filter(live).copied().collect();
        let mut shares: u64 = 0;
        let mut seen: Vec<TenantKey> = live.iter().map(|&key| jobs[key].tenant).collect();
        seen.sort_unstable();
        seen.dedup();
        for &tenant in &seen {
            shares += u64::from(tenants[tenant].account.share());
        }
        let candidate = |key: &JobKey| {
            let job = &jobs[*key];
            let tenant = &tenants[job.tenant];
            VictimCandidate {
                lost_tokens: job.size(),
                preemptions: job.pauses,
                over_share: holds_more(tenant.held, &tenant.account, self.held, shares),
            }
        };
        let index = self.plan.victim(live.iter().map(candidate))?;
        Some(live[index])
    }
}

fn holds_more(held: u64, account: &Account, total: u64, shares: u64) -> bool {
    held * shares > total * u64::from(account.share())
}

/// The mean time between two tokens of a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenGap {
    micros: f64,
}

impl TokenGap {
    // Some 128 gaps, a few steps of a batch.
    const FOLLOW: f64 = 1.0 / 128.0;

    pub(crate) fn observe(&mut self, gap: Duration) {
        let micros = gap.as_micros() as f64;
        if self.micros == 0.0 {
            self.micros = micros;
        }
        self.micros += Self::FOLLOW * (micros - self.micros);
    }

    pub(crate) fn micros(&self) -> f64 {
        self.micros
    }

    /// The time for that many tokens.
    pub(crate) fn times(&self, tokens: f64) -> Duration {
        crate::admission::seconds(self.micros * tokens / 1e6)
    }
}
