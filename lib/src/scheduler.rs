//! The decisions that an agent takes for its backend server: what starts, waits, is paused or refused.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SlotMap;

use crate::admission::DrainRate;
use crate::admission::WaitCorrection;
use crate::admission::seconds;
use crate::backend::EngineLoad;
use crate::batch::Batch;
use crate::batch::Job;
use crate::batch::State;
use crate::batch::TokenGap;
use crate::ids::Name;
use crate::latency_objective::BatchCap;
use crate::latency_objective::PrefillPacer;
use crate::lengths::Lengths;
use crate::load::LoadSummary;
use crate::memory_plan::MemoryPlan;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
pub use crate::settings::SchedulerSettings;
pub use crate::settings::WorkspacePolicy;
use crate::shares::Shares;
use crate::shares::TOKEN;
use crate::tenants::Bands;
use crate::tenants::TenantKey;
use crate::tenants::Tenants;
use crate::time::Time;
use crate::value_type;

slotmap::new_key_type! {
    /// A request that a scheduler has accepted, until it ends.
    pub struct JobKey;
}

value_type! {
    /// A request as the scheduler sees it.
    pub struct JobSpec {
        /// The workspace that is charged.
        pub workspace: Name,
        /// The model or class of call; lengths are learned for each.
        pub kind: Name,
        /// Tokens of the prompt; 0 for a plain call.
        pub prompt_tokens: u32,
        /// The largest number of tokens to produce; 1 for a plain call.
        pub max_tokens: u32,
        /// When the answer is worth nothing any more.
        pub deadline: Option<Time>,
        /// Weighted tokens that the workspace got on other agents since its last request here.
        pub elsewhere: u64,
        /// Whether the request was moved here from another agent.
        pub returning: bool,
    }
}

/// What the caller of the scheduler has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start a queued job. It counts as running from now on.
    Start(JobKey),
    /// Displace a running job.
    Pause(JobKey),
    /// Run a job again that `Pause` displaced.
    Resume(JobKey),
    /// Refuse a queued job; its key is no longer valid.
    Refuse(JobKey, NotRun),
    /// End a running job past its deadline; report `finished` as for any other end.
    Abort(JobKey),
}

/// A queued job that left with the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drained {
    /// Its key, which is no longer valid.
    pub job: JobKey,
    /// The proof that it did not run.
    pub refusal: NotRun,
}

// Two seconds: the time after which a leaving process is out of every entry's view.
pub(crate) const DRAIN_RETRY: Duration = Duration::from_secs(2);

/// The scheduler of one backend server.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) tenants: Tenants,
    pub(crate) shares: Shares<TenantKey>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) batch: Batch,
    // When a job must be refused or ended.
    pub(crate) alarms: BTreeSet<(Time, JobKey)>,
    pub(crate) queued: usize,
    pub(crate) bands: Bands,
    pub(crate) lengths: Lengths,
    pub(crate) drain: DrainRate,
    pub(crate) correction: WaitCorrection,
    pub(crate) gap: TokenGap,
    pub(crate) cap: BatchCap,
    pub(crate) pacer: PrefillPacer,
    // The job that should start next but does not fit, and since when.
    pub(crate) blocked: Option<(JobKey, Time)>,
    // Whether something changed that could let a job start.
    pub(crate) changed: bool,
    // Whether the last attempt to start a waiting job found no room.
    pub(crate) stuck: bool,
    pub(crate) preemptions: u64,
    pub(crate) draining: bool,
}

impl Scheduler {
    /// A scheduler without jobs.
    pub fn new(settings: SchedulerSettings) -> Self {
        let capacity = settings.capacity_tokens;
        let plan = MemoryPlan::new(capacity, settings.headroom.clone(), settings.max_pauses);
        Scheduler {
            tenants: Tenants::default(),
            shares: Shares::new(settings.debt_limit * TOKEN),
            jobs: SlotMap::with_key(),
            batch: Batch::new(plan),
            alarms: BTreeSet::new(),
            queued: 0,
            bands: Bands::default(),
            lengths: Lengths::new(),
            drain: DrainRate::default(),
            correction: WaitCorrection::default(),
            gap: TokenGap::default(),
            cap: BatchCap::new(settings.max_batch, settings.gap_target),
            pacer: PrefillPacer::new(settings.prompt_rate),
            blocked: None,
            changed: false,
            stuck: false,
            preemptions: 0,
            draining: false,
            settings,
        }
    }

    /// Sets what a workspace may use, from now on.
    pub fn set_policy(&mut self, workspace: &Name, policy: WorkspacePolicy) {
        let share = policy.share;
        if let Some(key) = self.tenants.set_policy(workspace, policy) {
            let account = &mut self.tenants[key].account;
            self.shares.set_share(key, account, share);
            self.relist(key);
            self.tenants.recount(key);
        }
    }

    /// Takes a request into the queue, or refuses it.
    pub fn offer(&mut self, now: Time, job: JobSpec) -> Result<JobKey, NotRun> {
        if self.draining {
            return Err(refuse(RefusalReason::Draining, Some(DRAIN_RETRY)));
        }
        let tenant = self.tenants.open(&job.workspace, &self.settings.policy);
        let account = &mut self.tenants[tenant].account;
        let elsewhere = job.elsewhere.saturating_mul(TOKEN);
        self.shares.charge_elsewhere(tenant, account, elsewhere);
        let mut job = self.job(now, tenant, job);
        let admitted = self.admit(now, &mut job);
        if admitted.is_ok() {
            let key = self.enqueue(tenant, job);
            self.tenants.settle(now, tenant, &self.shares);
            return Ok(key);
        }
        self.tenants.settle(now, tenant, &self.shares);
        Err(admitted.unwrap_err())
    }

    /// The next thing to do. To be called until `None` after every event.
    pub fn next(&mut self, now: Time) -> Option<Action> {
        self.drain.observe(now, self.shares.is_contended());
        if let Some(action) = self.next_alarm(now) {
            return Some(action);
        }
        if let Some(key) = self.batch.victim(&self.jobs, &self.tenants) {
            self.pause(key);
            return Some(Action::Pause(key));
        }
        if !self.changed {
            return None;
        }
        let action = self.next_resume().or_else(|| self.next_start(now));
        self.changed = action.is_some();
        self.stuck = action.is_none() && self.queued > 0;
        action
    }

    /// When `next` has something to do without any event before.
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        let alarm = self.alarms.first().map(|&(time, _)| time);
        let paced = self.pacer.wait_until(now).filter(|_| self.queued > 0);
        [alarm, paced].into_iter().flatten().min()
    }

    /// One token came from the engine.
    pub fn token(&mut self, now: Time, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if matches!(job.state, State::Displaced) {
            self.resumed(now, key);
        }
        let job = &mut self.jobs[key];
        if job.state == State::Queued {
            return;
        }
        job.produced += 1;
        let held = job.held.saturating_sub(job.ahead());
        job.held -= held;
        let tenant = &mut self.tenants[job.tenant];
        // A token may cross the order to displace its generation: its memory is given back already,
        // but it counts, or the job would be taken for smaller than it is once it runs again.
        if job.state != State::Paused {
            self.batch.grow();
            tenant.held += 1;
        }
        self.shares
            .charge(job.tenant, &mut tenant.account, TOKEN, held);
        self.drain.record_completed(TOKEN);
        if let Some(last) = job.last_token.replace(now) {
            let gap = now.since(last);
            self.gap.observe(gap);
            self.changed |= self.cap.observe(gap, self.batch.running() as u32);
        }
        if self.jobs[key].wants_check() {
            self.check(key);
        }
    }

    /// The engine displaced a running job by itself.
    pub fn preempted(&mut self, _now: Time, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state == State::Running {
            self.preemptions += 1;
            job.pauses += 1;
            self.tenants[job.tenant].held -= job.size();
            self.batch.move_to(key, job, State::Displaced);
        }
    }

    /// The engine runs a job again that it had displaced by itself.
    pub fn resumed(&mut self, _now: Time, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state == State::Displaced {
            self.tenants[job.tenant].held += job.size();
            self.batch.move_to(key, job, State::Running);
            self.changed = true;
        }
    }

    /// A job came to its own end, whether it ran or waited. Its length is learned.
    pub fn finished(&mut self, now: Time, key: JobKey) {
        if let Some(job) = self.jobs.get(key)
            && matches!(job.state, State::Running | State::Displaced)
            && job.produced > 0
        {
            let workspace = &self.tenants[job.tenant].name;
            self.lengths
                .observe(workspace, &job.kind, job.limit, job.produced);
        }
        self.cancelled(now, key);
    }

    /// A job was ended before its time, by its caller or by a failure: its length says nothing.
    pub fn cancelled(&mut self, now: Time, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if let Some(alarm) = job.alarm {
            self.alarms.remove(&(alarm, key));
        }
        if job.state == State::Queued {
            self.leave_queue(key, &job);
        } else {
            self.leave_batch(key, &job);
        }
        self.changed = true;
        self.tenants.settle(now, job.tenant, &self.shares);
    }

    /// The engine's report of its load.
    pub fn engine_load(&mut self, _now: Time, load: &EngineLoad) {
        if load.capacity_tokens > 0 {
            self.batch.plan.set_capacity(load.capacity_tokens);
        }
        if self.gap.micros() == 0.0 && load.step_micros > 0 {
            self.gap.observe(Duration::from_micros(load.step_micros));
        }
        self.changed = true;
    }

    /// Takes no more work and gives back what waits; what runs goes on.
    pub fn drain(&mut self, now: Time) -> Vec<Drained> {
        self.draining = true;
        let waits = |(key, job): (JobKey, &Job)| (job.state == State::Queued).then_some(key);
        let keys: Vec<JobKey> = self.jobs.iter().filter_map(waits).collect();
        let give_back = |job| {
            self.cancelled(now, job);
            Drained {
                job,
                refusal: NotRun::left_queue(RefusalReason::Draining, Some(DRAIN_RETRY)),
            }
        };
        keys.into_iter().map(give_back).collect()
    }

    /// The load, for entries.
    pub fn summary(&self, _now: Time) -> LoadSummary {
        let capacity = self.batch.plan.capacity();
        let wait = if self.shares.is_contended() {
            self.bands.up_to(1) as f64 / self.drain_rate()
        } else {
            0.0
        };
        LoadSummary {
            expected_wait: seconds(wait).as_micros() as u64,
            token_gap: self.gap.micros() as u64,
            running: self.batch.running() as u32,
            queued: (self.queued + self.batch.paused.len()) as u32,
            free_tokens: capacity.saturating_sub(self.batch.held()),
            capacity_tokens: capacity,
            preemptions: self.preemptions,
            draining: self.draining,
            reachable: true,
        }
    }

    /// Weighted tokens that a workspace got here. Starts anew from 0 once the workspace was idle
    /// for more than a minute.
    pub fn service_given(&self, workspace: &Name) -> u64 {
        let tenant = self.tenants.find(workspace);
        tenant.map_or(0, |tenant| tenant.account.given() / TOKEN)
    }

    /// Workspaces of which state is kept.
    pub fn workspaces(&self) -> usize {
        self.tenants.len()
    }

    pub(crate) fn prompt_cost(&self, tokens: u32) -> u64 {
        (f64::from(tokens) * self.settings.prompt_weight * TOKEN as f64) as u64
    }
}

pub(crate) fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> NotRun {
    NotRun::before_dispatch(reason, retry_after)
}
