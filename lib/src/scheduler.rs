//! The scheduler of one backend server: which jobs start, wait, are paused or refused.
//!
//! Admission is in `scheduler_admission`, the choice of the next action in `scheduler_dispatch`.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SlotMap;

use crate::admission::DrainRate;
use crate::admission::WaitCorrection;
use crate::admission::seconds;
use crate::backend::EngineLoad;
use crate::batch::Batch;
use crate::batch::Job;
use crate::batch::JobState;
use crate::batch::TokenGap;
use crate::fair_queue::FairQueue;
use crate::fair_queue::TOKEN_COST;
use crate::ids::Name;
use crate::latency_objective::BatchCap;
use crate::latency_objective::PrefillPacer;
use crate::length_predictor::LengthPredictor;
use crate::load::LoadSummary;
use crate::memory_plan::MemoryPlan;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::tenants::CostByLength;
use crate::tenants::TenantKey;
use crate::tenants::Tenants;
use crate::time::Time;
use crate::value_type;

pub use crate::settings::SchedulerSettings;
pub use crate::settings::WorkspacePolicy;

slotmap::new_key_type! {
    /// Identifies an admitted request until it ends.
    pub struct JobKey;
}

value_type! {
    /// What the scheduler has to know of a request.
    pub struct JobSpec {
        /// The workspace that is charged.
        pub workspace: Name,
        /// The model or class of call. Output lengths are learned for each workspace and kind.
        pub kind: Name,
        /// Tokens of the prompt; 0 for a plain call.
        pub prompt_tokens: u32,
        /// The largest number of tokens to produce; 1 for a plain call.
        pub max_tokens: u32,
        /// When the answer has lost its value.
        pub deadline: Option<Time>,
        /// Weighted tokens that other agents served to the workspace since its last request here.
        pub elsewhere: u64,
        /// Whether the request has already waited on another agent.
        pub retried: bool,
    }
}

/// What the caller of the scheduler has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start a queued job. It counts as running from now on.
    Start(JobKey),
    /// Preempt a running job.
    Pause(JobKey),
    /// Resume a job that `Pause` preempted.
    Resume(JobKey),
    /// Refuse a queued job; its key is no longer valid.
    Refuse(JobKey, NotRun),
    /// Abort a running job that is past its deadline, and report its end with
    /// [`Scheduler::finished`].
    Abort(JobKey),
}

/// A queued job that was refused because the process is draining.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drained {
    /// The key, no longer valid.
    pub job: JobKey,
    /// The proof that it did not run.
    pub refusal: NotRun,
}

/// After this time no entry routes to a draining process any more.
pub(crate) const DRAIN_RETRY: Duration = Duration::from_secs(2);

/// The scheduler of one backend server.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) tenants: Tenants,
    pub(crate) fair_queue: FairQueue<TenantKey>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) batch: Batch,
    // When each job must be refused or aborted.
    pub(crate) timeouts: BTreeSet<(Time, JobKey)>,
    pub(crate) queued: usize,
    pub(crate) queued_cost: CostByLength,
    pub(crate) lengths: LengthPredictor,
    pub(crate) drain_meter: DrainRate,
    pub(crate) wait_correction: WaitCorrection,
    pub(crate) token_gap: TokenGap,
    pub(crate) batch_cap: BatchCap,
    pub(crate) pacer: PrefillPacer,
    // The job that is next in order but does not fit, and since when.
    pub(crate) blocked: Option<(JobKey, Time)>,
    // Whether a job may be able to start or resume after the latest events.
    pub(crate) may_start: bool,
    // Whether the last attempt to start a queued job failed.
    pub(crate) out_of_room: bool,
    pub(crate) preemptions: u64,
    pub(crate) draining: bool,
}

impl Scheduler {
    /// Creates a scheduler without jobs.
    pub fn new(settings: SchedulerSettings) -> Self {
        let capacity = settings.capacity_tokens;
        let plan = MemoryPlan::new(capacity, settings.headroom.clone(), settings.max_pauses);
        Scheduler {
            tenants: Tenants::default(),
            fair_queue: FairQueue::new(settings.debt_limit * TOKEN_COST),
            jobs: SlotMap::with_key(),
            batch: Batch::new(plan),
            timeouts: BTreeSet::new(),
            queued: 0,
            queued_cost: CostByLength::default(),
            lengths: LengthPredictor::new(),
            drain_meter: DrainRate::default(),
            wait_correction: WaitCorrection::default(),
            token_gap: TokenGap::default(),
            batch_cap: BatchCap::new(settings.max_batch, settings.gap_target),
            pacer: PrefillPacer::new(settings.prompt_rate),
            blocked: None,
            may_start: false,
            out_of_room: false,
            preemptions: 0,
            draining: false,
            settings,
        }
    }

    /// Sets the policy of a workspace from now on.
    pub fn set_policy(&mut self, workspace: &Name, policy: WorkspacePolicy) {
        let share = policy.share;
        if let Some(key) = self.tenants.set_policy(workspace, policy) {
            let account = &mut self.tenants[key].account;
            self.fair_queue.set_share(key, account, share);
            self.update_fair_queue(key);
            self.tenants.update_active_share(key);
        }
    }

    /// Admits a request to the queue, or refuses it.
    pub fn offer(&mut self, now: Time, job: JobSpec) -> Result<JobKey, NotRun> {
        if self.draining {
            return Err(refuse(RefusalReason::Draining, Some(DRAIN_RETRY)));
        }
        let tenant = self
            .tenants
            .get_or_insert(&job.workspace, &self.settings.policy);
        let account = &mut self.tenants[tenant].account;
        let remote_cost = job.elsewhere.saturating_mul(TOKEN_COST);
        self.fair_queue.charge_remote(tenant, account, remote_cost);
        let mut job = self.new_job(now, tenant, job);
        let admitted = self.admit(now, &mut job);
        if admitted.is_ok() {
            let key = self.enqueue(tenant, job);
            self.tenants.update_idle(now, tenant, &self.fair_queue);
            return Ok(key);
        }
        self.tenants.update_idle(now, tenant, &self.fair_queue);
        Err(admitted.unwrap_err())
    }

    /// The next action for the caller. To be called after every event until it returns `None`.
    pub fn next_action(&mut self, now: Time) -> Option<Action> {
        self.drain_meter
            .observe(now, self.fair_queue.is_contended());
        if let Some(action) = self.next_timeout(now) {
            return Some(action);
        }
        if let Some(key) = self.batch.victim(&self.jobs, &self.tenants) {
            self.pause(key);
            return Some(Action::Pause(key));
        }
        if !self.may_start {
            return None;
        }
        let action = self.next_resume().or_else(|| self.next_start(now));
        self.may_start = action.is_some();
        self.out_of_room = action.is_none() && self.queued > 0;
        action
    }

    /// When [`Scheduler::next_action`] has to be called even if no event occurs.
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        let timeout = self.timeouts.first().map(|&(time, _)| time);
        let paced = self.pacer.wait_until(now).filter(|_| self.queued > 0);
        [timeout, paced].into_iter().flatten().min()
    }

    /// The engine produced a token.
    pub fn token_produced(&mut self, now: Time, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if matches!(job.state, JobState::PreemptedByEngine) {
            self.resumed(now, key);
        }
        let job = &mut self.jobs[key];
        if job.state == JobState::Queued {
            return;
        }
        job.produced += 1;
        let released = job.reserved_cost.saturating_sub(job.cost_to_reserve());
        job.reserved_cost -= released;
        let tenant = &mut self.tenants[job.tenant];
        // A token can be in flight when its generation is paused. The generation's memory has
        // already been subtracted, but the token counts, or the job's size would be too small after
        // it resumes.
        if job.state != JobState::Paused {
            self.batch.add_token();
            tenant.held_tokens += 1;
        }
        self.fair_queue
            .charge(job.tenant, &mut tenant.account, TOKEN_COST, released);
        self.drain_meter.record_completed(TOKEN_COST);
        if let Some(last) = job.last_token.replace(now) {
            let gap = now.since(last);
            self.token_gap.observe(gap);
            self.may_start |= self.batch_cap.observe(gap, self.batch.running() as u32);
        }
        if self.jobs[key].needs_reestimate() {
            self.reestimate(key);
        }
    }

    /// The engine preempted a running job by itself.
    pub fn preempted(&mut self, _now: Time, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state == JobState::Running {
            self.preemptions += 1;
            job.pauses += 1;
            self.tenants[job.tenant].held_tokens -= job.memory_tokens();
            self.batch.move_to(key, job, JobState::PreemptedByEngine);
        }
    }

    /// The engine resumed a job that it had preempted by itself.
    pub fn resumed(&mut self, _now: Time, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state == JobState::PreemptedByEngine {
            self.tenants[job.tenant].held_tokens += job.memory_tokens();
            self.batch.move_to(key, job, JobState::Running);
            self.may_start = true;
        }
    }

    /// A job ended by itself, running or queued. Its length is learned.
    pub fn finished(&mut self, now: Time, key: JobKey) {
        if let Some(job) = self.jobs.get(key)
            && matches!(job.state, JobState::Running | JobState::PreemptedByEngine)
            && job.produced > 0
        {
            let workspace = &self.tenants[job.tenant].name;
            self.lengths
                .observe(workspace, &job.kind, job.max_tokens, job.produced);
        }
        self.cancelled(now, key);
    }

    /// A job was ended early by its caller or by a failure. Its length is not learned, since it is
    /// shorter than the full output.
    pub fn cancelled(&mut self, now: Time, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if let Some(timeout) = job.timeout {
            self.timeouts.remove(&(timeout, key));
        }
        if job.state == JobState::Queued {
            self.remove_from_queue(key, &job);
        } else {
            self.remove_from_batch(key, &job);
        }
        self.may_start = true;
        self.tenants.update_idle(now, job.tenant, &self.fair_queue);
    }

    /// Applies the engine's report of its load.
    pub fn engine_load(&mut self, _now: Time, load: &EngineLoad) {
        if load.capacity_tokens > 0 {
            self.batch.memory_plan.set_capacity(load.capacity_tokens);
        }
        if self.token_gap.micros() == 0.0 && load.step_micros > 0 {
            self.token_gap
                .observe(Duration::from_micros(load.step_micros));
        }
        self.may_start = true;
    }

    /// Refuses queued and future jobs; running jobs continue.
    pub fn drain(&mut self, now: Time) -> Vec<Drained> {
        self.draining = true;
        let queued_key =
            |(key, job): (JobKey, &Job)| (job.state == JobState::Queued).then_some(key);
        let keys: Vec<JobKey> = self.jobs.iter().filter_map(queued_key).collect();
        let refuse_queued = |job| {
            self.cancelled(now, job);
            Drained {
                job,
                refusal: NotRun::left_queue(RefusalReason::Draining, Some(DRAIN_RETRY)),
            }
        };
        keys.into_iter().map(refuse_queued).collect()
    }

    /// The load as reported to entries.
    pub fn load_summary(&self, _now: Time) -> LoadSummary {
        let capacity = self.batch.memory_plan.capacity();
        let wait = if self.fair_queue.is_contended() {
            self.queued_cost.up_to(1) as f64 / self.drain_rate()
        } else {
            0.0
        };
        LoadSummary {
            expected_wait: seconds(wait).as_micros() as u64,
            token_gap: self.token_gap.micros() as u64,
            running: self.batch.running() as u32,
            queued: (self.queued + self.batch.paused.len()) as u32,
            free_tokens: capacity.saturating_sub(self.batch.held_tokens()),
            capacity_tokens: capacity,
            preemptions: self.preemptions,
            draining: self.draining,
            reachable: true,
        }
    }

    /// Weighted tokens served to a workspace here. May restart from 0 once the workspace was idle
    /// for more than a minute.
    pub fn tokens_served(&self, workspace: &Name) -> u64 {
        let tenant = self.tenants.find(workspace);
        tenant.map_or(0, |tenant| tenant.account.served() / TOKEN_COST)
    }

    /// The number of workspaces whose state is kept.
    pub fn workspace_count(&self) -> usize {
        self.tenants.len()
    }

    pub(crate) fn prompt_cost(&self, tokens: u32) -> u64 {
        (f64::from(tokens) * self.settings.prompt_weight * TOKEN_COST as f64) as u64
    }
}

pub(crate) fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> NotRun {
    NotRun::before_dispatch(reason, retry_after)
}
