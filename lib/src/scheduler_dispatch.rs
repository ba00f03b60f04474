//! The scheduler's dispatch: when jobs are started, paused, resumed and aborted.

use std::time::Duration;

use crate::batch::Job;
use crate::batch::JobState;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::scheduler::Action;
use crate::scheduler::DRAIN_RETRY;
use crate::scheduler::JobKey;
use crate::scheduler::Scheduler;
use crate::time::Time;

/// How many workspaces are tried in fair order while the first job of each does not fit in memory.
const BACKFILL_WORKSPACES: usize = 4;

/// The fraction of the batch and of the memory in which workspaces over their share may start jobs.
/// The rest is kept free for the others: a generation frees its memory only when it ends, and a
/// workspace that asks for less than its share would have to wait for that.
const LENDABLE_FRACTION: f64 = 0.85;

/// For this long, other jobs may start before a job that does not fit. Then none start until it
/// fits.
const MAX_BACKFILL_TIME: Duration = Duration::from_secs(2);

impl Scheduler {
    pub(crate) fn remove_from_batch(&mut self, key: JobKey, job: &Job) {
        let tenant = &mut self.tenants[job.tenant];
        if matches!(job.state, JobState::Running | JobState::Aborted) {
            tenant.held_tokens -= job.memory_tokens();
        }
        tenant.running -= 1;
        self.fair_queue
            .release(job.tenant, &mut tenant.account, job.reserved_cost);
        self.batch.remove(key, job);
        self.update_fair_queue(job.tenant);
    }

    /// Refuses or aborts a job whose timeout has passed.
    pub(crate) fn next_timeout(&mut self, now: Time) -> Option<Action> {
        let &(time, key) = self.timeouts.first()?;
        if time > now {
            return None;
        }
        self.timeouts.pop_first();
        self.jobs[key].timeout = None;
        if self.jobs[key].state == JobState::Queued {
            let wait = self.expected_wait(&self.jobs[key]);
            let reason = RefusalReason::DeadlineUnreachable;
            let refusal = NotRun::left_queue(reason, Some(wait.max(DRAIN_RETRY)));
            self.cancelled(now, key);
            return Some(Action::Refuse(key, refusal));
        }
        let job = &mut self.jobs[key];
        if job.state != JobState::Running {
            self.tenants[job.tenant].held_tokens += job.memory_tokens();
        }
        self.batch.move_to(key, job, JobState::Aborted);
        Some(Action::Abort(key))
    }

    pub(crate) fn pause(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.pauses += 1;
        self.preemptions += 1;
        self.tenants[job.tenant].held_tokens -= job.memory_tokens();
        self.batch.move_to(key, job, JobState::Paused);
    }

    pub(crate) fn next_resume(&mut self) -> Option<Action> {
        let &key = self.batch.paused.front()?;
        if self.batch.running() >= self.batch_cap.get()
            || !self.batch.fits(&self.jobs, &self.jobs[key], 1.0)
        {
            return None;
        }
        let job = &mut self.jobs[key];
        self.tenants[job.tenant].held_tokens += job.memory_tokens();
        self.batch.move_to(key, job, JobState::Running);
        Some(Action::Resume(key))
    }

    pub(crate) fn next_start(&mut self, now: Time) -> Option<Action> {
        if self.batch.has_preempted() || self.batch.in_engine() >= self.batch_cap.get() {
            return None;
        }
        if self.pacer.wait_until(now).is_some() {
            return None;
        }
        for tenant in self
            .fair_queue
            .in_order()
            .take(BACKFILL_WORKSPACES)
            .collect::<Vec<_>>()
        {
            let Some(&(_, key)) = self.tenants[tenant].queue.first() else {
                continue;
            };
            let capacity = self.batch.memory_plan.capacity();
            let over_share = self
                .tenants
                .is_over_share(tenant, capacity, self.batch_cap.get());
            if self.has_room(key, if over_share { LENDABLE_FRACTION } else { 1.0 }) {
                self.start(now, key);
                return Some(Action::Start(key));
            }
            if !over_share && !self.may_backfill(now, key) {
                return None;
            }
        }
        None
    }

    /// Whether a job fits in `fraction` of the batch and of the memory.
    pub(crate) fn has_room(&mut self, key: JobKey, fraction: f64) -> bool {
        let most = self.batch_cap.get() as f64 * fraction;
        (self.batch.in_engine() as f64) < most
            && self.batch.fits(&self.jobs, &self.jobs[key], fraction)
    }

    /// Whether other jobs may start before a job that does not fit.
    pub(crate) fn may_backfill(&mut self, now: Time, key: JobKey) -> bool {
        match self.blocked {
            Some((job, since)) if self.jobs.contains_key(job) => {
                job != key || now.since(since) < MAX_BACKFILL_TIME
            }
            _ => {
                self.blocked = Some((key, now));
                true
            }
        }
    }

    pub(crate) fn start(&mut self, now: Time, key: JobKey) {
        if self.blocked.is_some_and(|(job, _)| job == key) {
            self.blocked = None;
        }
        let job = &mut self.jobs[key];
        if let Some(timeout) = job.timeout.take() {
            self.timeouts.remove(&(timeout, key));
        }
        if let Some(deadline) = job.deadline {
            job.timeout = Some(deadline);
            self.timeouts.insert((deadline, key));
        }
        self.pacer.start(now, job.prompt_tokens);
        self.wait_correction
            .observe(job.expected_wait, now.since(job.arrived));
        let (tenant, due, band, cost) = (job.tenant, job.due, job.band, job.cost);
        job.reserved_cost = job.cost_to_reserve();
        let reserved = job.reserved_cost;
        let prompt = u64::from(job.prompt_tokens);
        self.batch.add(key, job);
        let prompt_cost = self.prompt_cost(prompt as u32);
        let owner = &mut self.tenants[tenant];
        owner.queue.remove(&(due, key));
        owner.queued_cost.remove(band, cost);
        owner.running += 1;
        owner.held_tokens += prompt;
        self.queued_cost.remove(band, cost);
        self.queued -= 1;
        self.fair_queue
            .reserve(tenant, &mut owner.account, reserved);
        self.fair_queue
            .charge(tenant, &mut owner.account, prompt_cost, 0);
        self.drain_meter.record_completed(prompt_cost);
        self.update_fair_queue(tenant);
    }

    /// Estimates the length of a running job anew and adjusts its reservation.
    pub(crate) fn reestimate(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let tenant = &mut self.tenants[job.tenant];
        job.expected = self
            .lengths
            .estimate(&tenant.name, &job.kind, job.max_tokens, job.produced);
        job.estimated_at = job.produced;
        let reserved = job.cost_to_reserve();
        let before = std::mem::replace(&mut job.reserved_cost, reserved);
        if reserved > before {
            self.fair_queue
                .reserve(job.tenant, &mut tenant.account, reserved - before);
        } else {
            self.fair_queue
                .release(job.tenant, &mut tenant.account, before - reserved);
        }
        self.may_start = true;
    }
}
