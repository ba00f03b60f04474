//! The decisions that an agent takes for its backend server: what starts, waits, is paused or refused.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SlotMap;

use crate::backend::EngineLoad;
use crate::ids::Name;
use crate::load::LoadSummary;
use crate::outcome::NotRun;
use crate::outcome::RefusalReason;
pub use crate::settings::SchedulerSettings;
pub use crate::settings::WorkspacePolicy;
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

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    running: bool,
    aborted: bool,
}

/// The scheduler of one backend server.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    policies: HashMap<Name, WorkspacePolicy>,
    jobs: SlotMap<JobKey, Job>,
    queue: VecDeque<JobKey>,
    running: Vec<JobKey>,
    given: HashMap<Name, u64>,
    preemptions: u64,
    draining: bool,
}

impl Scheduler {
    /// A scheduler without jobs.
    pub fn new(settings: SchedulerSettings) -> Self {
        Scheduler {
            settings,
            policies: HashMap::new(),
            jobs: SlotMap::with_key(),
            queue: VecDeque::new(),
            running: Vec::new(),
            given: HashMap::new(),
            preemptions: 0,
            draining: false,
        }
    }

    /// Sets what a workspace may use, from now on.
    pub fn set_policy(&mut self, workspace: &Name, policy: WorkspacePolicy) {
        self.policies.insert(workspace.clone(), policy);
    }

    /// Takes a request into the queue, or refuses it.
    pub fn offer(&mut self, now: Time, job: JobSpec) -> Result<JobKey, NotRun> {
        if self.draining {
            return Err(NotRun::before_dispatch(
                RefusalReason::Draining,
                Some(DRAIN_RETRY),
            ));
        }
        if job.deadline.is_some_and(|deadline| deadline <= now) {
            let reason = RefusalReason::DeadlineUnreachable;
            return Err(NotRun::before_dispatch(reason, None));
        }
        let key = self.jobs.insert(Job {
            spec: job,
            running: false,
            aborted: false,
        });
        self.queue.push_back(key);
        Ok(key)
    }

    /// The next thing to do. To be called until `None` after every event.
    pub fn next(&mut self, now: Time) -> Option<Action> {
        if let Some(key) = self.overdue(now) {
            self.jobs[key].aborted = true;
            return Some(Action::Abort(key));
        }
        if self.running.len() >= self.settings.max_batch as usize {
            return None;
        }
        let key = self.queue.pop_front()?;
        if self.jobs[key]
            .spec
            .deadline
            .is_some_and(|deadline| deadline <= now)
        {
            self.jobs.remove(key);
            let reason = RefusalReason::DeadlineUnreachable;
            return Some(Action::Refuse(key, NotRun::left_queue(reason, None)));
        }
        self.jobs[key].running = true;
        self.running.push(key);
        Some(Action::Start(key))
    }

    /// When `next` has something to do without any event before.
    pub fn next_wakeup(&self, _now: Time) -> Option<Time> {
        let live = self.jobs.values().filter(|job| !job.aborted);
        live.filter_map(|job| job.spec.deadline).min()
    }

    /// One token came from the engine.
    pub fn token(&mut self, _now: Time, job: JobKey) {
        if let Some(job) = self.jobs.get(job) {
            *self.given.entry(job.spec.workspace.clone()).or_default() += 1;
        }
    }

    /// The engine displaced a running job by itself.
    pub fn preempted(&mut self, _now: Time, _job: JobKey) {
        self.preemptions += 1;
    }

    /// The engine runs a job again that it had displaced by itself.
    pub fn resumed(&mut self, _now: Time, _job: JobKey) {}

    /// A job is done, failed or cancelled, whether it ran or waited.
    pub fn finished(&mut self, _now: Time, job: JobKey) {
        if self.jobs.remove(job).is_some() {
            self.queue.retain(|&key| key != job);
            self.running.retain(|&key| key != job);
        }
    }

    /// The engine's report of its load.
    pub fn engine_load(&mut self, _now: Time, _load: &EngineLoad) {}

    /// Takes no more work and gives back what waits; what runs goes on.
    pub fn drain(&mut self, _now: Time) -> Vec<Drained> {
        self.draining = true;
        let refusal = NotRun::left_queue(RefusalReason::Draining, Some(DRAIN_RETRY));
        let keys = std::mem::take(&mut self.queue);
        for &key in &keys {
            self.jobs.remove(key);
        }
        let drained = |job| Drained {
            job,
            refusal: refusal.clone(),
        };
        keys.into_iter().map(drained).collect()
    }

    /// The load, for entries.
    pub fn summary(&self, _now: Time) -> LoadSummary {
        LoadSummary {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            capacity_tokens: self.settings.capacity_tokens,
            free_tokens: self.settings.capacity_tokens,
            preemptions: self.preemptions,
            draining: self.draining,
            reachable: true,
            ..LoadSummary::default()
        }
    }

    /// Weighted tokens that a workspace got here.
    pub fn service_given(&self, workspace: &Name) -> u64 {
        self.given.get(workspace).copied().unwrap_or_default()
    }

    fn overdue(&self, now: Time) -> Option<JobKey> {
        let late = |job: &Job| job.spec.deadline.is_some_and(|deadline| deadline <= now);
        let open = |key: &&JobKey| !self.jobs[**key].aborted && late(&self.jobs[**key]);
        self.running.iter().find(open).copied()
    }
}
