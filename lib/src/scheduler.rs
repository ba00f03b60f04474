//! The decisions that an agent takes for its backend server: what starts, waits, is paused or refused.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::SlotMap;

use crate::admission::Correction;
use crate::admission::Drain;
use crate::admission::Queue;
use crate::admission::seconds;
use crate::backend::EngineLoad;
use crate::batch::Batch;
use crate::batch::Job;
use crate::batch::State;
use crate::batch::TokenGap;
use crate::ids::Name;
use crate::lengths::Lengths;
use crate::load::LoadSummary;
use crate::memory_plan::MemoryPlan;
use crate::order;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::preset::BatchCap;
use crate::preset::Pacer;
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
const DRAIN_RETRY: Duration = Duration::from_secs(2);

/// Microseconds between tokens before any was seen: what the engines of today need in a full batch.
const COLD_GAP: f64 = 41_000.0;

/// Workspaces whose first job is tried when that of the workspace before does not fit in memory.
const BACKFILL: usize = 4;

/// The part of the batch and of the memory that may be lent to workspaces over their share. The rest
/// is kept for the others: a generation that runs gives its room back only at its end, and whoever
/// asks for less than its share would wait for that.
const LENT: f64 = 0.85;

/// A job that does not fit is passed by others for this long. Then room is left for it.
const BACKFILL_TIME: Duration = Duration::from_secs(2);

/// The scheduler of one backend server.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    tenants: Tenants,
    shares: Shares<TenantKey>,
    jobs: SlotMap<JobKey, Job>,
    batch: Batch,
    // When a job must be refused or ended.
    alarms: BTreeSet<(Time, JobKey)>,
    queued: usize,
    bands: Bands,
    lengths: Lengths,
    drain: Drain,
    correction: Correction,
    gap: TokenGap,
    cap: BatchCap,
    pacer: Pacer,
    // The job that should start next but does not fit, and since when.
    blocked: Option<(JobKey, Time)>,
    // Whether something changed that could let a job start.
    changed: bool,
    // Whether the last attempt to start a waiting job found no room.
    stuck: bool,
    preemptions: u64,
    draining: bool,
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
            drain: Drain::default(),
            correction: Correction::default(),
            gap: TokenGap::default(),
            cap: BatchCap::new(settings.max_batch, settings.gap_target),
            pacer: Pacer::new(settings.prompt_rate),
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
        if job.state != State::Running {
            return;
        }
        job.produced += 1;
        let held = job.held.saturating_sub(job.ahead());
        job.held -= held;
        self.batch.grow();
        let tenant = &mut self.tenants[job.tenant];
        tenant.held += 1;
        self.shares
            .charge(job.tenant, &mut tenant.account, TOKEN, held);
        self.drain.done(TOKEN);
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

    fn job(&self, now: Time, tenant: TenantKey, spec: JobSpec) -> Job {
        let limit = spec.max_tokens.max(1);
        let expected = self.lengths.expect(&spec.workspace, &spec.kind, limit, 0);
        let service = self.gap.times(expected.median);
        let cost = self.prompt_cost(spec.prompt_tokens) + (expected.mean * TOKEN as f64) as u64;
        // A job that was moved here has waited on another agent already.
        let due = if spec.returning {
            now
        } else {
            order::due(now, service)
        };
        // Lengths scatter: a job is given up on only when even a short one would end too late.
        let least = self.gap.times(expected.low);
        let latest = |deadline: Time| deadline.before(least);
        Job {
            tenant,
            kind: spec.kind,
            prompt: spec.prompt_tokens,
            limit,
            state: State::Queued,
            due,
            alarm: spec.deadline.map(latest),
            deadline: spec.deadline,
            cost,
            band: Bands::band(expected.median),
            held: 0,
            produced: 0,
            pauses: 0,
            expected,
            checked: 0,
            last_token: None,
            arrived: now,
            expected_wait: Duration::ZERO,
        }
    }

    fn admit(&mut self, now: Time, job: &mut Job) -> Result<(), NotRun> {
        let wait = self.expected_wait(job);
        job.expected_wait = wait;
        if job.alarm.is_some_and(|latest| latest < now + wait) {
            let reason = RefusalReason::DeadlineUnreachable;
            return Err(refuse(reason, self.promise(now, job, wait)));
        }
        let tenant = &self.tenants[job.tenant];
        if tenant.policy.max_running == 0 {
            return Err(refuse(RefusalReason::ConcurrencyLimited, None));
        }
        if tenant.queue.len() >= tenant.policy.max_queued as usize {
            let excess = wait / tenant.queue.len().max(1) as u32;
            let reason = RefusalReason::WorkspaceFull;
            return Err(refuse(reason, self.promise(now, job, excess)));
        }
        if wait > self.settings.max_wait {
            let reason = self.full(job);
            let excess = wait - self.settings.max_wait;
            return Err(refuse(reason, self.promise(now, job, excess)));
        }
        let tenant = &mut self.tenants[job.tenant];
        let (rate, burst) = (tenant.policy.rate, tenant.policy.burst);
        let taken = tenant.ceiling.take(now, rate, burst);
        taken.map_err(|after| refuse(RefusalReason::RateLimited, Some(after)))
    }

    fn expected_wait(&self, job: &Job) -> Duration {
        if !self.shares.is_contended() {
            return Duration::ZERO;
        }
        let rate = self.drain_rate();
        let wait = self.queue_before(job).wait(rate);
        wait.mul_f64(self.correction.get() * (1.0 - self.free_part()))
    }

    fn queue_before(&self, job: &Job) -> Queue {
        let tenant = &self.tenants[job.tenant];
        let own = tenant.bands.up_to(job.band);
        let longer = tenant.bands.total() - own;
        Queue {
            total: self.bands.total() - longer,
            own: (own + job.next_cost()).saturating_add_signed(self.shares.lead(&tenant.account)),
            part: self.part(job.tenant),
        }
    }

    /// Cost a second that leaves the queue. Before it was measured, what a batch of the mean job
    /// would bring at the present gap between tokens.
    fn drain_rate(&self) -> f64 {
        let gap = if self.gap.micros() > 0.0 {
            self.gap.micros()
        } else {
            COLD_GAP
        };
        let projected = || self.slots() * TOKEN as f64 * 1e6 / gap;
        self.drain.rate().unwrap_or_else(projected).max(1.0)
    }

    /// The jobs of mean cost that fit into batch and memory.
    fn slots(&self) -> f64 {
        let most = self.cap.get() as f64;
        let capacity = self.batch.plan.capacity() as f64;
        if capacity == 0.0 || self.queued == 0 {
            return most;
        }
        let mean = self.bands.total() as f64 / TOKEN as f64 / self.queued as f64;
        (capacity / mean.max(1.0)).min(most)
    }

    /// The part of the queue that goes into free room at once.
    fn free_part(&self) -> f64 {
        if self.stuck {
            return 0.0;
        }
        let capacity = self.batch.plan.capacity() as f64;
        let held = if capacity > 0.0 {
            self.batch.held() as f64 / capacity
        } else {
            0.0
        };
        let open = self.batch.open() as f64 / self.cap.get() as f64;
        let free = self.slots() * (1.0 - open.max(held)).max(0.0);
        (free / self.queued.max(1) as f64).min(1.0)
    }

    /// The part of the drain that a workspace is due while it waits.
    fn part(&self, tenant: TenantKey) -> f64 {
        let account = &self.tenants[tenant].account;
        let share = u64::from(account.share());
        let others = if account.is_listed() { 0 } else { share };
        share as f64 / (self.shares.weight() + others) as f64
    }

    fn full(&self, job: &Job) -> RefusalReason {
        let own = self.tenants[job.tenant].bands.total() as f64;
        if own > self.part(job.tenant) * self.bands.total() as f64 {
            RefusalReason::WorkspaceFull
        } else {
            RefusalReason::QueueFull
        }
    }

    fn promise(&mut self, now: Time, job: &Job, excess: Duration) -> Option<Duration> {
        let rate = self.drain_rate();
        let service = seconds(job.cost as f64 / (rate * self.part(job.tenant)));
        let promises = &mut self.tenants[job.tenant].promises;
        Some(promises.promise(now, excess, service))
    }

    fn enqueue(&mut self, tenant: TenantKey, job: Job) -> JobKey {
        let (due, alarm, band, cost) = (job.due, job.alarm, job.band, job.cost);
        let key = self.jobs.insert(job);
        if let Some(alarm) = alarm {
            self.alarms.insert((alarm, key));
        }
        self.tenants[tenant].queue.insert((due, key));
        self.tenants[tenant].bands.add(band, cost);
        self.bands.add(band, cost);
        self.queued += 1;
        self.changed = true;
        self.relist(tenant);
        key
    }

    fn leave_queue(&mut self, key: JobKey, job: &Job) {
        let tenant = &mut self.tenants[job.tenant];
        tenant.queue.remove(&(job.due, key));
        tenant.bands.take(job.band, job.cost);
        self.bands.take(job.band, job.cost);
        self.queued -= 1;
        self.relist(job.tenant);
    }

    fn leave_batch(&mut self, key: JobKey, job: &Job) {
        let tenant = &mut self.tenants[job.tenant];
        if matches!(job.state, State::Running | State::Aborted) {
            tenant.held -= job.size();
        }
        tenant.running -= 1;
        self.shares
            .release(job.tenant, &mut tenant.account, job.held);
        self.batch.remove(key, job);
        self.relist(job.tenant);
    }

    /// Keeps the set of those that wait in step with the workspace's queue.
    fn relist(&mut self, key: TenantKey) {
        let tenant = &mut self.tenants[key];
        if tenant.is_waiting() {
            let head = tenant
                .queue
                .first()
                .map_or(0, |&(_, job)| self.jobs[job].cost);
            self.shares.list(key, &mut tenant.account, head);
        } else {
            self.shares.unlist(key, &mut tenant.account);
        }
    }

    fn next_alarm(&mut self, now: Time) -> Option<Action> {
        let &(time, key) = self.alarms.first()?;
        if time > now {
            return None;
        }
        self.alarms.pop_first();
        self.jobs[key].alarm = None;
        if self.jobs[key].state == State::Queued {
            let wait = self.expected_wait(&self.jobs[key]);
            let reason = RefusalReason::DeadlineUnreachable;
            let refusal = NotRun::left_queue(reason, Some(wait.max(DRAIN_RETRY)));
            self.cancelled(now, key);
            return Some(Action::Refuse(key, refusal));
        }
        let job = &mut self.jobs[key];
        if job.state != State::Running {
            self.tenants[job.tenant].held += job.size();
        }
        self.batch.move_to(key, job, State::Aborted);
        Some(Action::Abort(key))
    }

    fn pause(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.pauses += 1;
        self.preemptions += 1;
        self.tenants[job.tenant].held -= job.size();
        self.batch.move_to(key, job, State::Paused);
    }

    fn next_resume(&mut self) -> Option<Action> {
        let &key = self.batch.paused.front()?;
        if self.batch.running() >= self.cap.get()
            || !self.batch.fits(&self.jobs, &self.jobs[key], 1.0)
        {
            return None;
        }
        let job = &mut self.jobs[key];
        self.tenants[job.tenant].held += job.size();
        self.batch.move_to(key, job, State::Running);
        Some(Action::Resume(key))
    }

    fn next_start(&mut self, now: Time) -> Option<Action> {
        if self.batch.has_displaced() || self.batch.open() >= self.cap.get() {
            return None;
        }
        if self.pacer.wait_until(now).is_some() {
            return None;
        }
        for tenant in self.shares.in_order().take(BACKFILL).collect::<Vec<_>>() {
            let Some(&(_, key)) = self.tenants[tenant].queue.first() else {
                continue;
            };
            let capacity = self.batch.plan.capacity();
            let over = self.tenants.is_over(tenant, capacity, self.cap.get());
            if self.has_room(key, if over { LENT } else { 1.0 }) {
                self.start(now, key);
                return Some(Action::Start(key));
            }
            if !over && !self.may_pass(now, key) {
                return None;
            }
        }
        None
    }

    /// Whether a job may start within `part` of the batch and of the memory.
    fn has_room(&mut self, key: JobKey, part: f64) -> bool {
        let most = self.cap.get() as f64 * part;
        (self.batch.open() as f64) < most && self.batch.fits(&self.jobs, &self.jobs[key], part)
    }

    /// Whether others may start before a job that does not fit.
    fn may_pass(&mut self, now: Time, key: JobKey) -> bool {
        match self.blocked {
            Some((job, since)) if self.jobs.contains_key(job) => {
                job != key || now.since(since) < BACKFILL_TIME
            }
            _ => {
                self.blocked = Some((key, now));
                true
            }
        }
    }

    fn start(&mut self, now: Time, key: JobKey) {
        if self.blocked.is_some_and(|(job, _)| job == key) {
            self.blocked = None;
        }
        let job = &mut self.jobs[key];
        if let Some(alarm) = job.alarm.take() {
            self.alarms.remove(&(alarm, key));
        }
        if let Some(deadline) = job.deadline {
            job.alarm = Some(deadline);
            self.alarms.insert((deadline, key));
        }
        self.pacer.start(now, job.prompt);
        self.correction
            .observe(job.expected_wait, now.since(job.arrived));
        let (tenant, due, band, cost) = (job.tenant, job.due, job.band, job.cost);
        job.held = job.ahead();
        let held = job.held;
        let prompt = u64::from(job.prompt);
        self.batch.add(key, job);
        let prompt_cost = self.prompt_cost(prompt as u32);
        let entry = &mut self.tenants[tenant];
        entry.queue.remove(&(due, key));
        entry.bands.take(band, cost);
        entry.running += 1;
        entry.held += prompt;
        self.bands.take(band, cost);
        self.queued -= 1;
        self.shares.hold(tenant, &mut entry.account, held);
        self.shares
            .charge(tenant, &mut entry.account, prompt_cost, 0);
        self.drain.done(prompt_cost);
        self.relist(tenant);
    }

    /// Makes the expectation of a running job anew, and holds what it says.
    fn check(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let tenant = &mut self.tenants[job.tenant];
        job.expected = self
            .lengths
            .expect(&tenant.name, &job.kind, job.limit, job.produced);
        job.checked = job.produced;
        let held = job.ahead();
        let before = std::mem::replace(&mut job.held, held);
        if held > before {
            self.shares
                .hold(job.tenant, &mut tenant.account, held - before);
        } else {
            self.shares
                .release(job.tenant, &mut tenant.account, before - held);
        }
        self.changed = true;
    }

    fn prompt_cost(&self, tokens: u32) -> u64 {
        (f64::from(tokens) * self.settings.prompt_weight * TOKEN as f64) as u64
    }
}

fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> NotRun {
    NotRun::before_dispatch(reason, retry_after)
}
