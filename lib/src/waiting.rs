//! How a scheduler takes requests into its queue: the expected wait, and the refusal where it is too
//! long.

use std::time::Duration;

use crate::admission::QueueAhead;
use crate::admission::seconds;
use crate::batch::Job;
use crate::batch::State;
use crate::order;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::scheduler::JobKey;
use crate::scheduler::JobSpec;
use crate::scheduler::Scheduler;
use crate::scheduler::refuse;
use crate::shares::TOKEN;
use crate::tenants::Bands;
use crate::tenants::TenantKey;
use crate::time::Time;

/// Microseconds between tokens before any was seen: what the engines of today need in a full batch.
const COLD_GAP: f64 = 41_000.0;

impl Scheduler {
    pub(crate) fn job(&self, now: Time, tenant: TenantKey, spec: JobSpec) -> Job {
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

    pub(crate) fn admit(&mut self, now: Time, job: &mut Job) -> Result<(), NotRun> {
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

    pub(crate) fn expected_wait(&self, job: &Job) -> Duration {
        if !self.shares.is_contended() {
            return Duration::ZERO;
        }
        let rate = self.drain_rate();
        let wait = self.queue_before(job).wait(rate);
        wait.mul_f64(self.correction.factor() * (1.0 - self.free_part()))
    }

    pub(crate) fn queue_before(&self, job: &Job) -> QueueAhead {
        let tenant = &self.tenants[job.tenant];
        let own = tenant.bands.up_to(job.band);
        let longer = tenant.bands.total() - own;
        QueueAhead {
            total: self.bands.total() - longer,
            own: (own + job.next_cost()).saturating_add_signed(self.shares.lead(&tenant.account)),
            share: self.part(job.tenant),
        }
    }

    /// Cost a second that leaves the queue. Before it was measured, what a batch of the mean job
    /// would bring at the present gap between tokens.
    pub(crate) fn drain_rate(&self) -> f64 {
        let gap = if self.gap.micros() > 0.0 {
            self.gap.micros()
        } else {
            COLD_GAP
        };
        let projected = || self.slots() * TOKEN as f64 * 1e6 / gap;
        self.drain.rate().unwrap_or_else(projected).max(1.0)
    }

    /// The jobs of mean cost that fit into batch and memory.
    pub(crate) fn slots(&self) -> f64 {
        let most = self.cap.get() as f64;
        let capacity = self.batch.plan.capacity() as f64;
        if capacity == 0.0 || self.queued == 0 {
            return most;
        }
        let mean = self.bands.total() as f64 / TOKEN as f64 / self.queued as f64;
        (capacity / mean.max(1.0)).min(most)
    }

    /// The part of the queue that goes into free room at once.
    pub(crate) fn free_part(&self) -> f64 {
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
    pub(crate) fn part(&self, tenant: TenantKey) -> f64 {
        let account = &self.tenants[tenant].account;
        let share = u64::from(account.share());
        let others = if account.is_listed() { 0 } else { share };
        share as f64 / (self.shares.weight() + others) as f64
    }

    pub(crate) fn full(&self, job: &Job) -> RefusalReason {
        let own = self.tenants[job.tenant].bands.total() as f64;
        if own > self.part(job.tenant) * self.bands.total() as f64 {
            RefusalReason::WorkspaceFull
        } else {
            RefusalReason::QueueFull
        }
    }

    pub(crate) fn promise(&mut self, now: Time, job: &Job, excess: Duration) -> Option<Duration> {
        let rate = self.drain_rate();
        let service = seconds(job.cost as f64 / (rate * self.part(job.tenant)));
        let promises = &mut self.tenants[job.tenant].promises;
        Some(promises.schedule(now, excess, service))
    }

    pub(crate) fn enqueue(&mut self, tenant: TenantKey, job: Job) -> JobKey {
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

    pub(crate) fn leave_queue(&mut self, key: JobKey, job: &Job) {
        let tenant = &mut self.tenants[job.tenant];
        tenant.queue.remove(&(job.due, key));
        tenant.bands.take(job.band, job.cost);
        self.bands.take(job.band, job.cost);
        self.queued -= 1;
        self.relist(job.tenant);
    }

    /// Keeps the set of those that wait in step with the workspace's queue.
    pub(crate) fn relist(&mut self, key: TenantKey) {
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
}
