//! Settings of an agent's scheduler, with their defaults and bounds.

use std::time::Duration;

use crate::figure_type;
use crate::preset::Preset;

// The largest batch that a setting may ask for.
const BATCH_LIMIT: u32 = 4_096;
// A shorter bound refuses on the jitter of one step; a longer one outlives any caller.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(600));

figure_type! {
    /// What one workspace may use of one backend server.
    pub struct WorkspacePolicy {
        /// Its weight against other workspaces; 1 at least.
        pub share: u32,
        /// The most requests that run at once.
        pub max_running: u32,
        /// The most requests that wait at once.
        pub max_queued: u32,
        /// The most requests a second over time; 0 sets no limit.
        pub rate: f64,
        /// The most requests at once within that rate.
        pub burst: u32,
    }

    /// The settings of a [`Scheduler`](crate::scheduler::Scheduler).
    pub struct SchedulerSettings {
        pub(crate) preset: Preset,
        // Zero: no memory plan.
        pub(crate) capacity_tokens: u64,
        pub(crate) max_batch: u32,
        pub(crate) max_wait: Duration,
        pub(crate) policy: WorkspacePolicy,
    }
}

impl Default for WorkspacePolicy {
    fn default() -> Self {
        WorkspacePolicy {
            share: 1,
            max_running: u32::MAX,
            max_queued: 1_000,
            rate: 0.0,
            burst: 0,
        }
    }
}

impl SchedulerSettings {
    /// Settings for a backend server that runs `max_batch` requests at once (1 to 4,096) and holds
    /// `capacity_tokens` in memory (0 for a plain service).
    pub fn new(preset: Preset, capacity_tokens: u64, max_batch: u32) -> Self {
        SchedulerSettings {
            preset,
            capacity_tokens,
            max_batch: max_batch.clamp(1, BATCH_LIMIT),
            max_wait: Duration::from_secs(10),
            policy: WorkspacePolicy::default(),
        }
    }

    /// Refuses a request whose expected wait is longer (10 ms to 10 min, by default 10 s).
    pub fn with_max_wait(mut self, wait: Duration) -> Self {
        self.max_wait = wait.clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1);
        self
    }

    /// The policy of workspaces that have none of their own.
    pub fn with_policy(mut self, policy: WorkspacePolicy) -> Self {
        self.policy = policy;
        self
    }
}
