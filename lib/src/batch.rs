//! The running batch of one engine: its jobs, the preempted ones, and admission by memory.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SlotMap;

use crate::fair_queue::Account;
use crate::fair_queue::TOKEN_COST;
use crate::ids::Name;
use crate::length_predictor::LengthEstimate;
use crate::memory_plan::Footprint;
use crate::memory_plan::MemoryPlan;
use crate::memory_plan::VictimCandidate;
use crate::scheduler::JobKey;
use crate::tenants::TenantKey;
use crate::tenants::Tenants;
use crate::time::Time;

/// The most expected tokens of a running job whose cost is reserved in its workspace's account.
const MAX_RESERVED_TOKENS: f64 = 128.0;

/// The state of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobState {
    Queued,
    Running,
    /// Preempted by the scheduler, which has to resume it.
    Paused,
    /// Preempted by the engine, which resumes it by itself.
    PreemptedByEngine,
    /// Ordered to end, and not yet reported as finished.
    Aborted,
}

/// A job, from admission to its end.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) tenant: TenantKey,
    pub(crate) kind: Name,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) state: JobState,
    /// Position in the queue of its workspace; see [`order`](crate::order).
    pub(crate) due: Time,
    /// When the job must be refused if it is still queued, or aborted if it has started.
    pub(crate) timeout: Option<Time>,
    pub(crate) deadline: Option<Time>,
    /// The total cost expected at admission.
    pub(crate) cost: u64,
    /// Index into [`CostByLength`](crate::tenants::CostByLength).
    pub(crate) band: usize,
    /// Cost reserved in the account of its workspace.
    pub(crate) reserved_cost: u64,
    pub(crate) produced: u32,
    pub(crate) pauses: u32,
    /// The length estimate made when `estimated_at` tokens had been produced.
    pub(crate) expected: LengthEstimate,
    pub(crate) estimated_at: u32,
    pub(crate) last_token: Option<Time>,
    pub(crate) arrived: Time,
    pub(crate) expected_wait: Duration,
}

/// The running batch.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) memory_plan: MemoryPlan,
    // The jobs that are running, and those ordered to end.
    running: Vec<JobKey>,
    pub(crate) paused: VecDeque<JobKey>,
    // Jobs that the engine preempted and still holds.
    preempted: Vec<JobKey>,
    // Tokens in memory of the jobs in `running`.
    held_tokens: u64,
    // Reused to avoid allocations.
    scratch: Vec<Footprint>,
}

impl Job {
    /// Tokens in memory while the job runs.
    pub(crate) fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.produced)
    }

    /// Expected number of further tokens, at least 1.
    pub(crate) fn expected_remaining(&self) -> f64 {
        let since = f64::from(self.produced - self.estimated_at);
        (self.expected.mean - since).max(1.0)
    }

    /// The cost to reserve: that of the expected tokens, at most [`MAX_RESERVED_TOKENS`].
    pub(crate) fn cost_to_reserve(&self) -> u64 {
        (self.expected_remaining().min(MAX_RESERVED_TOKENS) * TOKEN_COST as f64) as u64
    }

    /// The job's cost up to [`MAX_RESERVED_TOKENS`]: what puts it behind the jobs of other
    /// workspaces while it waits.
    pub(crate) fn bounded_cost(&self) -> u64 {
        self.cost
            .min((MAX_RESERVED_TOKENS * TOKEN_COST as f64) as u64)
    }

    /// Whether the length should be estimated anew: each time the output has grown by an eighth,
    /// and by 8 tokens at least.
    pub(crate) fn needs_reestimate(&self) -> bool {
        self.produced - self.estimated_at >= 8.max(self.produced / 8)
    }

    fn footprint(&self) -> Footprint {
        Footprint {
            held: self.memory_tokens(),
            mean: self.expected_remaining(),
            variance: self.expected.variance,
            most: u64::from(self.max_tokens.saturating_sub(self.produced)),
        }
    }
}

impl Batch {
    pub(crate) fn new(memory_plan: MemoryPlan) -> Self {
        Batch {
            memory_plan,
            running: Vec::new(),
            paused: VecDeque::new(),
            preempted: Vec::new(),
            held_tokens: 0,
            scratch: Vec::new(),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of jobs that the engine has, running or preempted by it.
    pub(crate) fn in_engine(&self) -> usize {
        self.running.len() + self.preempted.len()
    }

    pub(crate) fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// Whether any job is paused or preempted by the engine.
    pub(crate) fn has_preempted(&self) -> bool {
        !self.preempted.is_empty() || !self.paused.is_empty()
    }

    pub(crate) fn add(&mut self, key: JobKey, job: &mut Job) {
        job.state = JobState::Running;
        job.last_token = None;
        self.held_tokens += job.memory_tokens();
        self.running.push(key);
    }

    pub(crate) fn add_token(&mut self) {
        self.held_tokens += 1;
    }

    /// Moves a job from the list of its present state to that of the new one.
    pub(crate) fn move_to(&mut self, key: JobKey, job: &mut Job, state: JobState) {
        self.remove(key, job);
        job.state = state;
        job.last_token = None;
        match state {
            JobState::Paused => self.paused.push_back(key),
            JobState::PreemptedByEngine => self.preempted.push(key),
            JobState::Queued => {}
            JobState::Running | JobState::Aborted => {
                self.held_tokens += job.memory_tokens();
                self.running.push(key);
            }
        }
    }

    pub(crate) fn remove(&mut self, key: JobKey, job: &Job) {
        match job.state {
            JobState::Queued => {}
            JobState::Running | JobState::Aborted => {
                self.held_tokens -= job.memory_tokens();
                self.running.retain(|&other| other != key);
            }
            JobState::Paused => self.paused.retain(|&other| other != key),
            JobState::PreemptedByEngine => self.preempted.retain(|&other| other != key),
        }
    }

    /// Whether `job` fits beside the engine's jobs in `fraction` of the memory.
    pub(crate) fn fits(&mut self, jobs: &SlotMap<JobKey, Job>, job: &Job, fraction: f64) -> bool {
        if self.memory_plan.capacity() == 0 || self.in_engine() == 0 {
            return true;
        }
        self.scratch.clear();
        let in_engine = self.running.iter().chain(&self.preempted);
        self.scratch
            .extend(in_engine.map(|&key| jobs[key].footprint()));
        self.scratch.push(job.footprint());
        self.memory_plan.fits(&mut self.scratch, fraction)
    }

    /// The job to preempt if the engine is about to run out of memory and would preempt one itself.
    pub(crate) fn victim(&self, jobs: &SlotMap<JobKey, Job>, tenants: &Tenants) -> Option<JobKey> {
        let running = self.running.len() as u64;
        if !self.memory_plan.is_short(self.held_tokens, running) {
            return None;
        }
        let is_running = |key: &&JobKey| jobs[**key].state == JobState::Running;
        let running_keys: Vec<JobKey> = self.running.iter().filter(is_running).copied().collect();
        let mut total_share: u64 = 0;
        let mut owners: Vec<TenantKey> = running_keys.iter().map(|&key| jobs[key].tenant).collect();
        owners.sort_unstable();
        owners.dedup();
        for &tenant in &owners {
            total_share += u64::from(tenants[tenant].account.share());
        }
        let candidate = |key: &JobKey| {
            let job = &jobs[*key];
            let tenant = &tenants[job.tenant];
            VictimCandidate {
                lost_tokens: job.memory_tokens(),
                preemptions: job.pauses,
                over_share: is_over_share(
                    tenant.held_tokens,
                    &tenant.account,
                    self.held_tokens,
                    total_share,
                ),
            }
        };
        let index = self
            .memory_plan
            .victim(running_keys.iter().map(candidate))?;
        Some(running_keys[index])
    }
}

fn is_over_share(held: u64, account: &Account, total_held: u64, total_share: u64) -> bool {
    held * total_share > total_held * u64::from(account.share())
}

/// Moving average of the inter-token latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenGap {
    micros: f64,
}

impl TokenGap {
    // Averages over some 128 gaps: a few steps of a batch.
    const SMOOTHING: f64 = 1.0 / 128.0;

    pub(crate) fn observe(&mut self, gap: Duration) {
        let micros = gap.as_micros() as f64;
        if self.micros == 0.0 {
            self.micros = micros;
        }
        self.micros += Self::SMOOTHING * (micros - self.micros);
    }

    pub(crate) fn micros(&self) -> f64 {
        self.micros
    }

    /// The time in which a stream produces `tokens` tokens.
    pub(crate) fn time_for(&self, tokens: f64) -> Duration {
        crate::admission::seconds(self.micros * tokens / 1e6)
    }
}
