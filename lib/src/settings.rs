//! Settings of an agent's scheduler, with their defaults and bounds.

use std::time::Duration;

use crate::figure_type;
use crate::latency_objective::LatencyObjective;
use crate::memory_plan::Headroom;

// The largest batch that a setting may ask for.
const BATCH_LIMIT: u32 = 4_096;
// A shorter bound refuses on the jitter of one step; a longer one outlives any caller.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(600));
// What the slowest caller accepts today is about 1 s between tokens.
const GAP_BOUNDS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(10));

/// Reading in a prompt token costs about a tenth of producing one on common engines, which read
/// many at once.
const PROMPT_WEIGHT: f64 = 0.1;

/// Longer queues gain no goodput and add to every wait; shorter ones run empty now and then, and a
/// workspace with a small share loses its turn. Measured in docs/design/scheduling.md.
const STALL_MAX_WAIT: Duration = Duration::from_secs(4);
const GAP_MAX_WAIT: Duration = Duration::from_secs(8);

/// Under half of what common engines read in. A lower rate costs goodput in the steady state, a
/// higher one lets a burst hold up all streams for as long as it takes to read in.
const PROMPT_RATE: f64 = 10_000.0;

/// Standard deviations of the batch's expected growth that are kept free. Measured there as well:
/// a whole one costs 3 in 100 of the goodput, none four times the displacements.
const DEVIATIONS: f64 = 0.25;

/// The target for 95 in 100 gaps between tokens at the size that the system is built for.
const GAP_TARGET: Duration = Duration::from_millis(41);

figure_type! {
    /// What one workspace may use of one backend server.
    pub struct WorkspacePolicy {
        /// Its weight against other workspaces, 1 to 10,000.
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
        pub(crate) objective: LatencyObjective,
        // Zero: no memory plan.
        pub(crate) capacity_tokens: u64,
        pub(crate) max_batch: u32,
        pub(crate) max_wait: Duration,
        pub(crate) policy: WorkspacePolicy,
        pub(crate) prompt_weight: f64,
        pub(crate) headroom: Headroom,
        pub(crate) max_pauses: u32,
        pub(crate) gap_target: Option<Duration>,
        // Prompt tokens a second that starts may bring; none for no pacing.
        pub(crate) prompt_rate: Option<f64>,
        // Weighted tokens for a share of 1.
        pub(crate) debt_limit: u64,
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
    pub fn new(objective: LatencyObjective, capacity_tokens: u64, max_batch: u32) -> Self {
        let gap_first = objective == LatencyObjective::Gap;
        SchedulerSettings {
            objective,
            capacity_tokens,
            max_batch: max_batch.clamp(1, BATCH_LIMIT),
            max_wait: if gap_first {
                GAP_MAX_WAIT
            } else {
                STALL_MAX_WAIT
            },
            policy: WorkspacePolicy::default(),
            prompt_weight: PROMPT_WEIGHT,
            headroom: Headroom::Expected(DEVIATIONS),
            max_pauses: 2,
            gap_target: gap_first.then_some(GAP_TARGET),
            prompt_rate: gap_first.then_some(PROMPT_RATE),
            debt_limit: 20_000,
        }
    }

    /// Refuses a request whose expected wait is longer (10 ms to 10 min, by default 4 s with
    /// [`LatencyObjective::Stall`] and 8 s with [`LatencyObjective::Gap`]).
    pub fn with_max_wait(mut self, wait: Duration) -> Self {
        self.max_wait = wait.clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1);
        self
    }

    /// The policy of workspaces that have none of their own.
    pub fn with_policy(mut self, policy: WorkspacePolicy) -> Self {
        self.policy = policy;
        self
    }

    /// What a prompt token is charged, in output tokens (0 to 10, by default 0.1).
    pub fn with_prompt_weight(mut self, weight: f64) -> Self {
        self.prompt_weight = weight.clamp(0.0, 10.0);
        self
    }

    /// How much memory is kept free for growth.
    pub fn with_headroom(mut self, headroom: Headroom) -> Self {
        self.headroom = headroom;
        self
    }

    /// How often one generation may be displaced here (by default twice).
    pub fn with_max_pauses(mut self, pauses: u32) -> Self {
        self.max_pauses = pauses;
        self
    }

    /// Caps the batch so that 95 in 100 gaps between tokens stay within `target` (1 ms to 10 s, by
    /// default 41 ms with [`LatencyObjective::Gap`] and none with [`LatencyObjective::Stall`]).
    pub fn with_gap_target(mut self, target: Option<Duration>) -> Self {
        self.gap_target = target.map(|target| target.clamp(GAP_BOUNDS.0, GAP_BOUNDS.1));
        self
    }

    /// Spreads starts out so that they bring at most `rate` prompt tokens a second (at least 1; by
    /// default 10,000 with [`LatencyObjective::Gap`] and none with [`LatencyObjective::Stall`]).
    pub fn with_prompt_rate(mut self, rate: Option<f64>) -> Self {
        self.prompt_rate = rate.map(|rate| rate.max(1.0));
        self
    }

    /// The most weighted tokens, for a share of 1, that work on other agents may count against a
    /// workspace here (by default 20,000).
    pub fn with_debt_limit(mut self, tokens: u64) -> Self {
        self.debt_limit = tokens;
        self
    }
}
