//! What a scheduler starts, resumes, displaces and ends, and when.

use std::time::Duration;

use crate::batch::Job;
use crate::batch::State;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
use crate::scheduler::Action;
use crate::scheduler::DRAIN_RETRY;
use crate::scheduler::JobKey;
use crate::scheduler::Scheduler;
use crate::time::Time;

/// Workspaces whose first job is tried when that of the workspace before does not fit in memory.
const BACKFILL: usize = 4;

/// The part of the batch and of the memory that may be lent to workspaces over their share. The rest
/// is kept for the others: a generation that runs gives its room back only at its end, and whoever
/// asks for less than its share would wait for that.
const LENT: f64 = 0.85;

/// A job that does not fit is passed by others for this long. Then room is left for it.
const BACKFILL_TIME: Duration = Duration::from_secs(2);

impl Scheduler {
    pub(crate) fn leave_batch(&mut self, key: JobKey, job: &Job) {
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

    pub(crate) fn next_alarm(&mut self, now: Time) -> Option<Action> {
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

    pub(crate) fn pause(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.pauses += 1;
        self.preemptions += 1;
        self.tenants[job.tenant].held -= job.size();
        self.batch.move_to(key, job, State::Paused);
    }

    pub(crate) fn next_resume(&mut self) -> Option<Action> {
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

    pub(crate) fn next_start(&mut self, now: Time) -> Option<Action> {
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
    pub(crate) fn has_room(&mut self, key: JobKey, part: f64) -> bool {
        let most = self.cap.get() as f64 * part;
        (self.batch.open() as f64) < most && self.batch.fits(&self.jobs, &self.jobs[key], part)
    }

    /// Whether others may start before a job that does not fit.
    pub(crate) fn may_pass(&mut self, now: Time, key: JobKey) -> bool {
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

    pub(crate) fn start(&mut self, now: Time, key: JobKey) {
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
        self.drain.record_completed(prompt_cost);
        self.relist(tenant);
    }

    /// Makes the expectation of a running job anew, and holds what it says.
    pub(crate) fn check(&mut self, key: JobKey) {
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
}
