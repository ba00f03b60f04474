//! What a scheduler keeps for each workspace, and when it may forget it.
//!
//! State is kept while it matters: while jobs are open, while a ceiling still counts against the
//! workspace, and while it is charged more than those that wait. A workspace is looked at again
//! once it was idle for [`FORGET_AFTER`], so the state is bounded by the workspaces of the last
//! minutes.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::Index;
use std::ops::IndexMut;
use std::time::Duration;

use slotmap::SlotMap;

use crate::admission::RateLimiter;
use crate::admission::RetrySchedule;
use crate::ids::Name;
use crate::scheduler::JobKey;
use crate::settings::WorkspacePolicy;
use crate::shares::Account;
use crate::shares::Shares;
use crate::time::Time;

/// Longer than any expected wait, so that a caller who comes back as told finds its state.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A debt against workspaces that stopped waiting is void after this time.
const DEBT_ENDS: Duration = Duration::from_secs(600);

/// A workspace is over its part when it holds half as much again: generations are few and large, so
/// that one with a small share is over and under its part by turns.
const OVER: f64 = 1.5;

slotmap::new_key_type! {
    pub(crate) struct TenantKey;
}

/// Costs that wait, by expected length: up to 64 tokens, 256, 1,024 and more.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bands([u64; 4]);

#[derive(Debug)]
pub(crate) struct Tenant {
    pub(crate) name: Name,
    pub(crate) policy: WorkspacePolicy,
    pub(crate) account: Account,
    /// Waiting jobs by the time at which they are due.
    pub(crate) queue: BTreeSet<(Time, JobKey)>,
    pub(crate) bands: Bands,
    /// Jobs that run or are displaced.
    pub(crate) running: u32,
    /// Tokens in the engine's memory.
    pub(crate) held: u64,
    pub(crate) ceiling: RateLimiter,
    pub(crate) promises: RetrySchedule,
    // None while jobs are open.
    idle: Option<Time>,
    // Whether its share counts in `Tenants::active`.
    active: bool,
}

/// The workspaces that a scheduler knows.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    all: SlotMap<TenantKey, Tenant>,
    names: HashMap<Name, TenantKey>,
    policies: HashMap<Name, WorkspacePolicy>,
    // The sum of the shares of those with open jobs.
    active: u64,
    // Those that became idle, the first one first. May hold some that are no longer.
    idle: VecDeque<TenantKey>,
}

impl Bands {
    pub(crate) fn add(&mut self, band: usize, cost: u64) {
        self.0[band] += cost;
    }

    pub(crate) fn take(&mut self, band: usize, cost: u64) {
        self.0[band] = self.0[band].saturating_sub(cost);
    }

    pub(crate) fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// What lies in this band and those of shorter jobs.
    pub(crate) fn up_to(&self, band: usize) -> u64 {
        self.0[..=band].iter().sum()
    }

    pub(crate) fn band(length: f64) -> usize {
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
            bands: Bands::default(),
            running: 0,
            held: 0,
            ceiling: RateLimiter::default(),
            promises: RetrySchedule::default(),
            idle: None,
            active: false,
        }
    }

    /// Whether a job of it could start, as far as it is concerned.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.queue.is_empty() && self.running < self.policy.max_running
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }
}

impl Tenants {
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn find(&self, name: &Name) -> Option<&Tenant> {
        self.names.get(name).map(|&key| &self.all[key])
    }

    pub(crate) fn set_policy(&mut self, name: &Name, policy: WorkspacePolicy) -> Option<TenantKey> {
        self.policies.insert(name.clone(), policy.clone());
        let key = *self.names.get(name)?;
        let tenant = &mut self.all[key];
        tenant.policy = policy;
        if std::mem::take(&mut tenant.active) {
            self.active -= u64::from(tenant.account.share());
        }
        Some(key)
    }

    /// The workspace's state, made where there is none.
    pub(crate) fn open(&mut self, name: &Name, default: &WorkspacePolicy) -> TenantKey {
        if let Some(&key) = self.names.get(name) {
            return key;
        }
        let policy = self.policies.get(name).unwrap_or(default).clone();
        let key = self.all.insert(Tenant::new(name.clone(), policy));
        self.names.insert(name.clone(), key);
        key
    }

    /// Whether the workspace holds clearly more than its part while others are active: of `capacity`
    /// tokens, or of `slots` where there is no memory plan.
    pub(crate) fn is_over(&self, key: TenantKey, capacity: u64, slots: usize) -> bool {
        let tenant = &self.all[key];
        let part = f64::from(tenant.account.share()) / self.active.max(1) as f64;
        if capacity == 0 {
            return f64::from(tenant.running) > OVER * part * slots as f64;
        }
        tenant.held as f64 > OVER * part * capacity as f64
    }

    /// Counts the workspace's share where it has open jobs.
    pub(crate) fn recount(&mut self, key: TenantKey) {
        let tenant = &mut self.all[key];
        let active = !tenant.is_idle();
        if active != tenant.active {
            let share = u64::from(tenant.account.share());
            tenant.active = active;
            self.active = if active {
                self.active + share
            } else {
                self.active - share
            };
        }
    }

    /// Notes whether the workspace has become idle, and forgets one that was so for long.
    pub(crate) fn settle(&mut self, now: Time, key: TenantKey, shares: &Shares<TenantKey>) {
        self.recount(key);
        let tenant = &mut self.all[key];
        if !tenant.is_idle() {
            tenant.idle = None;
        } else if tenant.idle.is_none() {
            tenant.idle = Some(now);
            self.idle.push_back(key);
        }
        self.forget_one(now, shares);
    }

    fn forget_one(&mut self, now: Time, shares: &Shares<TenantKey>) {
        let Some(&key) = self.idle.front() else {
            return;
        };
        let Some(tenant) = self.all.get(key) else {
            self.idle.pop_front();
            return;
        };
        let Some(since) = tenant.idle else {
            self.idle.pop_front();
            return;
        };
        let idle = now.since(since);
        if idle < FORGET_AFTER {
            return;
        }
        self.idle.pop_front();
        let settled = shares.is_settled(&tenant.account) || idle >= DEBT_ENDS;
        if settled && tenant.ceiling.is_idle(now) && tenant.promises.is_idle(now) {
            self.names.remove(&tenant.name);
            self.all.remove(key);
        } else {
            self.idle.push_back(key);
        }
    }
}

impl Index<TenantKey> for Tenants {
    type Output = Tenant;

    fn index(&self, key: TenantKey) -> &Tenant {
        &self.all[key]
    }
}

impl IndexMut<TenantKey> for Tenants {
    fn index_mut(&mut self, key: TenantKey) -> &mut Tenant {
        &mut self.all[key]
    }
}
