//! The scheduler's state for each workspace, and its eviction.
//!
//! State is kept while it has an effect: while jobs are queued or running, while requests count
//! against a rate limit or a promised retry time lies ahead, and while the workspace's virtual time
//! is above the floor. A workspace is considered for eviction once it was idle for
//! [`IDLE_RETENTION`], so the state is bounded by the workspaces of the last minutes.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::Index;
use std::ops::IndexMut;
use std::time::Duration;

use slotmap::SlotMap;

use crate::admission::RateLimiter;
use crate::admission::RetrySchedule;
use crate::fair_queue::Account;
use crate::fair_queue::FairQueue;
use crate::ids::Name;
use crate::scheduler::JobKey;
use crate::settings::WorkspacePolicy;
use crate::time::Time;

/// The least time for which an idle workspace is kept. It is longer than any expected wait, so that
/// the state still exists when a caller retries after the time it was told.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// The debt of an idle workspace is dropped after this time.
const MAX_DEBT_AGE: Duration = Duration::from_secs(600);

/// A workspace is over its share when it holds this multiple of it. Generations are few and large,
/// so a workspace with a small share fluctuates around its share.
const OVER_SHARE_FACTOR: f64 = 1.5;

slotmap::new_key_type! {
    /// Identifies a workspace known to the scheduler.
    pub(crate) struct TenantKey;
}

/// Cost of queued jobs in four bands of expected length: below 64 tokens, below 256, below 1,024,
/// and the rest.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CostByLength([u64; 4]);

/// The scheduler's state of one workspace.
#[derive(Debug)]
pub(crate) struct Tenant {
    pub(crate) name: Name,
    pub(crate) policy: WorkspacePolicy,
    pub(crate) account: Account,
    /// Queued jobs, ordered by due time.
    pub(crate) queue: BTreeSet<(Time, JobKey)>,
    pub(crate) queued_cost: CostByLength,
    /// Number of started jobs, including preempted ones.
    pub(crate) running: u32,
    /// Tokens in the engine's memory.
    pub(crate) held_tokens: u64,
    pub(crate) ceiling: RateLimiter,
    pub(crate) promises: RetrySchedule,
    // None while jobs are queued or running.
    idle_since: Option<Time>,
    // Whether its share is counted in `Tenants::active_share`.
    is_active: bool,
}

/// The workspaces known to a scheduler.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    tenants: SlotMap<TenantKey, Tenant>,
    by_name: HashMap<Name, TenantKey>,
    policies: HashMap<Name, WorkspacePolicy>,
    // Sum of the shares of the workspaces with queued or running jobs.
    active_share: u64,
    // Workspaces in the order in which they became idle. May contain some that are active again.
    idle_queue: VecDeque<TenantKey>,
}

impl CostByLength {
    pub(crate) fn add(&mut self, band: usize, cost: u64) {
        self.0[band] += cost;
    }

    pub(crate) fn remove(&mut self, band: usize, cost: u64) {
        self.0[band] = self.0[band].saturating_sub(cost);
    }

    pub(crate) fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// The cost in this band and those of shorter jobs.
    pub(crate) fn up_to(&self, band: usize) -> u64 {
        self.0[..=band].iter().sum()
    }

    /// The band of an expected length in tokens.
    pub(crate) fn band_of(length: f64) -> usize {
        match length {
            ..64.0 => 0,
            ..256.0 => 1,
            ..1_024.0 => 2,
            _ => 3,
        }
    }
}

impl Tenant {
    fn new(name: Name, policy: WorkspacePolicy) -> Self {
        Tenant {
            name,
            account: Account::new(policy.share),
            policy,
            queue: BTreeSet::new(),
            queued_cost: CostByLength::default(),
            running: 0,
            held_tokens: 0,
            ceiling: RateLimiter::default(),
            promises: RetrySchedule::default(),
            idle_since: None,
            is_active: false,
        }
    }

    /// Whether a job is queued and the workspace's own concurrency limit allows it to start.
    pub(crate) fn can_start(&self) -> bool {
        !self.queue.is_empty() && self.running < self.policy.max_running
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }
}

impl Tenants {
    pub(crate) fn len(&self) -> usize {
        self.tenants.len()
    }

    pub(crate) fn find(&self, name: &Name) -> Option<&Tenant> {
        self.by_name.get(name).map(|&key| &self.tenants[key])
    }

    pub(crate) fn set_policy(&mut self, name: &Name, policy: WorkspacePolicy) -> Option<TenantKey> {
        self.policies.insert(name.clone(), policy.clone());
        let key = *self.by_name.get(name)?;
        let tenant = &mut self.tenants[key];
        tenant.policy = policy;
        if std::mem::take(&mut tenant.is_active) {
            self.active_share -= u64::from(tenant.account.share());
        }
        Some(key)
    }

    /// The key of the workspace, which is created if it is unknown.
    pub(crate) fn get_or_insert(&mut self, name: &Name, default: &WorkspacePolicy) -> TenantKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let policy = self.policies.get(name).unwrap_or(default).clone();
        let key = self.tenants.insert(Tenant::new(name.clone(), policy));
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Whether the workspace holds clearly more than its share among the active workspaces: of
    /// `capacity` tokens, or of `slots` if there is no memory plan.
    pub(crate) fn is_over_share(&self, key: TenantKey, capacity: u64, slots: usize) -> bool {
        let tenant = &self.tenants[key];
        let fraction = f64::from(tenant.account.share()) / self.active_share.max(1) as f64;
        if capacity == 0 {
            return f64::from(tenant.running) > OVER_SHARE_FACTOR * fraction * slots as f64;
        }
        tenant.held_tokens as f64 > OVER_SHARE_FACTOR * fraction * capacity as f64
    }

    /// Updates the sum of active shares after a change of the workspace.
    pub(crate) fn update_active_share(&mut self, key: TenantKey) {
        let tenant = &mut self.tenants[key];
        let active = !tenant.is_idle();
        if active != tenant.is_active {
            let share = u64::from(tenant.account.share());
            tenant.is_active = active;
            self.active_share = if active {
                self.active_share + share
            } else {
                self.active_share - share
            };
        }
    }

    /// Records whether the workspace has become idle, and evicts at most one that was idle for
    /// long.
    pub(crate) fn update_idle(
        &mut self,
        now: Time,
        key: TenantKey,
        fair_queue: &FairQueue<TenantKey>,
    ) {
        self.update_active_share(key);
        let tenant = &mut self.tenants[key];
        if !tenant.is_idle() {
            tenant.idle_since = None;
        } else if tenant.idle_since.is_none() {
            tenant.idle_since = Some(now);
            self.idle_queue.push_back(key);
        }
        self.evict_idle(now, fair_queue);
    }

    fn evict_idle(&mut self, now: Time, fair_queue: &FairQueue<TenantKey>) {
        let Some(&key) = self.idle_queue.front() else {
            return;
        };
        let Some(tenant) = self.tenants.get(key) else {
            self.idle_queue.pop_front();
            return;
        };
        let Some(since) = tenant.idle_since else {
            self.idle_queue.pop_front();
            return;
        };
        let idle = now.since(since);
        if idle < IDLE_RETENTION {
            return;
        }
        self.idle_queue.pop_front();
        let can_discard = fair_queue.can_discard(&tenant.account) || idle >= MAX_DEBT_AGE;
        if can_discard && tenant.ceiling.is_idle(now) && tenant.promises.is_idle(now) {
            self.by_name.remove(&tenant.name);
            self.tenants.remove(key);
        } else {
            self.idle_queue.push_back(key);
        }
    }
}

impl Index<TenantKey> for Tenants {
    type Output = Tenant;

    fn index(&self, key: TenantKey) -> &Tenant {
        &self.tenants[key]
    }
}

impl IndexMut<TenantKey> for Tenants {
    fn index_mut(&mut self, key: TenantKey) -> &mut Tenant {
        &mut self.tenants[key]
    }
}
