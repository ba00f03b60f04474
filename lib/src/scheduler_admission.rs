//! The scheduler's admission control: the expected wait of a request, and its refusal if that is
//! too long.

use std::time::Duration;

use crate::admission::QueueAhead;
use crate::admission::seconds;
use crate::batch::Job;
use crate::batch::JobState;
use crate::fair_queue::TOKEN_COST;
use crate::order;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::scheduler::JobKey;
use crate::scheduler::JobSpec;
use crate::scheduler::Scheduler;
use crate::scheduler::refuse;
use crate::tenants::CostByLength;
use crate::tenants::TenantKey;
use crate::time::Time;

/// Assumed inter-token latency in microseconds before any was measured: that of current engines
/// with a full batch.
const DEFAULT_TOKEN_GAP_MICROS: f64 = 41_000.0;

impl Scheduler {
    pub(crate) fn new_job(&self, now: Time, tenant: TenantKey, spec: JobSpec) -> Job {
        let max_tokens = spec.max_tokens.max(1);
        let expected = self
            .lengths
            .estimate(&spec.workspace, &spec.kind, max_tokens, 0);
        let service = self.token_gap.time_for(expected.median);
        let cost =
            self.prompt_cost(spec.prompt_tokens) + (expected.mean * TOKEN_COST as f64) as u64;
        // A retried job has already waited on another agent, so it is due at once.
        let due = if spec.retried {
            now
        } else {
            order::due_time(now, service)
        };
        // Lengths vary widely: a job is refused only when even a short output would end too late.
        let shortest = self.token_gap.time_for(expected.low);
        let latest_start = |deadline: Time| deadline.before(shortest);
        Job {
            tenant,
            kind: spec.kind,
            prompt_tokens: spec.prompt_tokens,
            max_tokens,
            state: JobState::Queued,
            due,
            timeout: spec.deadline.map(latest_start),
            deadline: spec.deadline,
            cost,
            band: CostByLength::band_of(expected.median),
            reserved_cost: 0,
            produced: 0,
            pauses: 0,
            expected,
            estimated_at: 0,
            last_token: None,
            arrived: now,
            expected_wait: Duration::ZERO,
        }
    }

    pub(crate) fn admit(&mut self, now: Time, job: &mut Job) -> Result<(), NotRun> {
        let wait = self.expected_wait(job);
        job.expected_wait = wait;
        if job.timeout.is_some_and(|latest| latest < now + wait) {
            let reason = RefusalReason::DeadlineUnreachable;
            return Err(refuse(reason, self.retry_after(now, job, wait)));
        }
        let tenant = &self.tenants[job.tenant];
        if tenant.policy.max_running == 0 {
            return Err(refuse(RefusalReason::ConcurrencyLimited, None));
        }
        if tenant.queue.len() >= tenant.policy.max_queued as usize {
            let excess = wait / tenant.queue.len().max(1) as u32;
            let reason = RefusalReason::WorkspaceFull;
            return Err(refuse(reason, self.retry_after(now, job, excess)));
        }
        if wait > self.settings.max_wait {
            let reason = self.queue_full_reason(job);
            let excess = wait - self.settings.max_wait;
            return Err(refuse(reason, self.retry_after(now, job, excess)));
        }
        let tenant = &mut self.tenants[job.tenant];
        let (rate, burst) = (tenant.policy.rate, tenant.policy.burst);
        let admitted = tenant.ceiling.take(now, rate, burst);
        admitted.map_err(|after| refuse(RefusalReason::RateLimited, Some(after)))
    }

    pub(crate) fn expected_wait(&self, job: &Job) -> Duration {
        if !self.fair_queue.is_contended() {
            return Duration::ZERO;
        }
        let rate = self.drain_rate();
        let wait = self.queue_ahead(job).wait(rate);
        wait.mul_f64(self.wait_correction.factor() * (1.0 - self.free_fraction()))
    }

    /// The cost that is served before `job`.
    pub(crate) fn queue_ahead(&self, job: &Job) -> QueueAhead {
        let tenant = &self.tenants[job.tenant];
        let own = tenant.queued_cost.up_to(job.band);
        let longer = tenant.queued_cost.total() - own;
        QueueAhead {
            total: self.queued_cost.total() - longer,
            own: (own + job.bounded_cost())
                .saturating_add_signed(self.fair_queue.lead(&tenant.account)),
            share: self.share_fraction(job.tenant),
        }
    }

    /// Cost per second that leaves the queue. Until it has been measured, the rate of a batch of
    /// mean jobs at the current inter-token latency.
    pub(crate) fn drain_rate(&self) -> f64 {
        let gap = if self.token_gap.micros() > 0.0 {
            self.token_gap.micros()
        } else {
            DEFAULT_TOKEN_GAP_MICROS
        };
        let projected = || self.batch_slots() * TOKEN_COST as f64 * 1e6 / gap;
        self.drain_meter.rate().unwrap_or_else(projected).max(1.0)
    }

    /// The number of jobs of mean cost that fit into batch and memory.
    pub(crate) fn batch_slots(&self) -> f64 {
        let most = self.batch_cap.get() as f64;
        let capacity = self.batch.memory_plan.capacity() as f64;
        if capacity == 0.0 || self.queued == 0 {
            return most;
        }
        let mean = self.queued_cost.total() as f64 / TOKEN_COST as f64 / self.queued as f64;
        (capacity / mean.max(1.0)).min(most)
    }

    /// The fraction of the queue that fits into free capacity and starts at once.
    pub(crate) fn free_fraction(&self) -> f64 {
        if self.out_of_room {
            return 0.0;
        }
        let capacity = self.batch.memory_plan.capacity() as f64;
        let held = if capacity > 0.0 {
            self.batch.held_tokens() as f64 / capacity
        } else {
            0.0
        };
        let occupied = self.batch.in_engine() as f64 / self.batch_cap.get() as f64;
        let free = self.batch_slots() * (1.0 - occupied.max(held)).max(0.0);
        (free / self.queued.max(1) as f64).min(1.0)
    }

    /// The fraction of the drain rate that a workspace is entitled to while it waits.
    pub(crate) fn share_fraction(&self, tenant: TenantKey) -> f64 {
        let account = &self.tenants[tenant].account;
        let share = u64::from(account.share());
        let additional = if account.is_queued() { 0 } else { share };
        share as f64 / (self.fair_queue.queued_share() + additional) as f64
    }

    /// Blames the workspace if it queues more than its share of the cost, and the queue otherwise.
    pub(crate) fn queue_full_reason(&self, job: &Job) -> RefusalReason {
        let own = self.tenants[job.tenant].queued_cost.total() as f64;
        if own > self.share_fraction(job.tenant) * self.queued_cost.total() as f64 {
            RefusalReason::WorkspaceFull
        } else {
            RefusalReason::QueueFull
        }
    }

    /// When a refused caller should retry, if its expected wait is `excess` too long.
    pub(crate) fn retry_after(
        &mut self,
        now: Time,
        job: &Job,
        excess: Duration,
    ) -> Option<Duration> {
        let rate = self.drain_rate();
        let service = seconds(job.cost as f64 / (rate * self.share_fraction(job.tenant)));
        let promises = &mut self.tenants[job.tenant].promises;
        Some(promises.schedule(now, excess, service))
    }

    pub(crate) fn enqueue(&mut self, tenant: TenantKey, job: Job) -> JobKey {
        let (due, timeout, band, cost) = (job.due, job.timeout, job.band, job.cost);
        let key = self.jobs.insert(job);
        if let Some(timeout) = timeout {
            self.timeouts.insert((timeout, key));
        }
        self.tenants[tenant].queue.insert((due, key));
        self.tenants[tenant].queued_cost.add(band, cost);
        self.queued_cost.add(band, cost);
        self.queued += 1;
        self.may_start = true;
        self.update_fair_queue(tenant);
        key
    }

    pub(crate) fn remove_from_queue(&mut self, key: JobKey, job: &Job) {
        let tenant = &mut self.tenants[job.tenant];
        tenant.queue.remove(&(job.due, key));
        tenant.queued_cost.remove(job.band, job.cost);
        self.queued_cost.remove(job.band, job.cost);
        self.queued -= 1;
        self.update_fair_queue(job.tenant);
    }

    /// Updates the workspace's place in the fair queue after a change of its own queue.
    pub(crate) fn update_fair_queue(&mut self, key: TenantKey) {
        let tenant = &mut self.tenants[key];
        if tenant.can_start() {
            let next_cost = tenant
                .queue
                .first()
                .map_or(0, |&(_, job)| self.jobs[job].cost);
            self.fair_queue.enqueue(key, &mut tenant.account, next_cost);
        } else {
            self.fair_queue.dequeue(key, &mut tenant.account);
        }
    }
}
