//! Weighted fair queueing between workspaces whose job lengths are unknown.
//!
//! Load pattern: a few workspaces send more than their share to an overloaded engine. First come,
//! first served admission gives each what it asks for, so that the most aggressive workspace takes
//! the capacity of the others.
//!
//! Each workspace has a virtual time: the cost charged to it divided by its share. The workspace
//! whose next job would finish at the lowest virtual time is served next. Cost is charged as tokens
//! are produced; the expected remaining cost of running jobs is reserved from their start, since
//! otherwise a workspace with a low virtual time starts a whole burst before the first token is
//! charged. Reservations turn into charges as the job proceeds.
//!
//! - Idle capacity is free: tokens produced while no workspace waits are not charged.
//! - Credit does not accumulate: when a workspace starts to wait, its virtual time is raised to
//!   that of the workspace to be served next (the floor), so neither a new nor a returning one has
//!   credit. A workspace with running jobs keeps at most [`MAX_CREDIT`].
//! - Work done on other agents is charged here when a request reports it, so that shares hold
//!   without a central counter. This debt is bounded, since the other agent may have had idle
//!   capacity.
//!
//! The unfairness between two workspaces that stay backlogged is bounded by the cost of one job of
//! each divided by its share, plus the estimation error for the lengths of their running jobs.
//!
//! All operations are O(log n) in the number of waiting workspaces.

use std::collections::BTreeSet;

/// The cost of an output token; the unit of cost is a thousandth of it.
pub const TOKEN_COST: u64 = 1_000;

// Virtual time is cost times this divided by the share, to keep precision for shares up to 10,000.
const SCALE: u64 = 1 << 10;

/// The most cost, for a share of 1, by which a workspace may be behind the floor when it starts to
/// wait while it has running jobs. It is one long generation.
///
/// A workspace with a small share runs two or three generations at a time, and its queue runs empty
/// now and then even if it asks for more than its share. If it were raised to the floor each time,
/// it would lose what it is owed and get three quarters of its share. A workspace without running
/// jobs has no credit, so none can save up for a burst.
pub const MAX_CREDIT: u64 = 1_024 * TOKEN_COST;

/// The largest share.
pub const MAX_SHARE: u32 = 10_000;

/// The cost charged to a workspace and reserved for it.
#[derive(Clone, Debug)]
pub struct Account {
    share: u32,
    // Cost charged, divided by the share. Never decreases.
    virtual_time: u64,
    // Expected remaining cost of running jobs.
    reserved: u64,
    // Cost of work done here, charged or not.
    served: u64,
    // Expected cost of the next job.
    next_cost: u64,
    // The tags under which the workspace is queued; none if it does not wait.
    queued: Option<Tags>,
}

/// Start and finish tag of a workspace's next job. The order is by finish tag.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Tags {
    // Virtual time at which the next job ends if its cost is as expected.
    finish: u64,
    // Virtual time at which the next job starts.
    start: u64,
}

/// The waiting workspaces in the order in which they are served.
#[derive(Clone, Debug)]
pub struct FairQueue<K> {
    // Invariant: holds exactly the accounts whose `queued` is set.
    waiting: BTreeSet<(Tags, K)>,
    // System virtual time. Never decreases.
    floor: u64,
    // Sum of the shares of the waiting workspaces.
    queued_share: u64,
    // The most cost by which remote work may put a workspace above the floor.
    debt_limit: u64,
}

impl Account {
    /// Creates an account; the share is clamped to between 1 and [`MAX_SHARE`].
    pub fn new(share: u32) -> Self {
        Account {
            share: share.clamp(1, MAX_SHARE),
            virtual_time: 0,
            reserved: 0,
            served: 0,
            next_cost: 0,
            queued: None,
        }
    }

    /// The weight of the workspace.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Cost of work done here, charged or not.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// Whether the workspace is in the queue.
    pub fn is_queued(&self) -> bool {
        self.queued.is_some()
    }

    /// The virtual time at which the next job starts: that of the charges and reservations.
    pub fn start_tag(&self) -> u64 {
        self.virtual_time
            .saturating_add(self.to_virtual(self.reserved))
    }

    fn tags(&self) -> Tags {
        let next = self.reserved.saturating_add(self.next_cost);
        Tags {
            finish: self.virtual_time.saturating_add(self.to_virtual(next)),
            start: self.start_tag(),
        }
    }

    fn to_virtual(&self, cost: u64) -> u64 {
        cost.saturating_mul(SCALE) / u64::from(self.share)
    }
}

impl<K: Copy + Ord> FairQueue<K> {
    /// Creates an empty queue. Remote work is charged up to a cost of `debt_limit` for a share of
    /// 1.
    pub fn new(debt_limit: u64) -> Self {
        FairQueue {
            waiting: BTreeSet::new(),
            floor: 0,
            queued_share: 0,
            debt_limit,
        }
    }

    /// Sum of the shares of the waiting workspaces.
    pub fn queued_share(&self) -> u64 {
        self.queued_share
    }

    /// Whether any workspace waits.
    pub fn is_contended(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The waiting workspaces, the one to be served next first.
    pub fn in_order(&self) -> impl Iterator<Item = K> {
        self.waiting.iter().map(|&(_, key)| key)
    }

    /// Adds the workspace, or updates the expected cost of its next job.
    pub fn enqueue(&mut self, key: K, account: &mut Account, next_cost: u64) {
        account.next_cost = next_cost;
        if account.is_queued() {
            self.requeue(key, account);
            return;
        }
        self.advance_floor();
        // Reservations for running jobs remain on top of the raised virtual time.
        let credit = if account.reserved > 0 {
            MAX_CREDIT * SCALE
        } else {
            0
        };
        account.virtual_time = account.virtual_time.max(self.floor.saturating_sub(credit));
        self.queued_share += u64::from(account.share);
        self.insert(key, account);
    }

    /// Removes the workspace if it is queued.
    pub fn dequeue(&mut self, key: K, account: &mut Account) {
        if let Some(tags) = account.queued.take() {
            self.advance_floor();
            self.waiting.remove(&(tags, key));
            self.queued_share -= u64::from(account.share);
        }
    }

    /// Changes the share of the workspace from now on.
    pub fn set_share(&mut self, key: K, account: &mut Account, share: u32) {
        let queued = account.is_queued();
        self.dequeue(key, account);
        account.share = share.clamp(1, MAX_SHARE);
        if queued {
            self.enqueue(key, account, account.next_cost);
        }
    }

    /// Reserves the expected cost of a job that starts.
    pub fn reserve(&mut self, key: K, account: &mut Account, cost: u64) {
        account.reserved += cost;
        self.requeue(key, account);
    }

    /// Releases reserved cost.
    pub fn release(&mut self, key: K, account: &mut Account, cost: u64) {
        account.reserved = account.reserved.saturating_sub(cost);
        self.requeue(key, account);
    }

    /// Charges cost and releases `released` of the reservation.
    pub fn charge(&mut self, key: K, account: &mut Account, cost: u64, released: u64) {
        account.served += cost;
        account.reserved = account.reserved.saturating_sub(released);
        if self.is_contended() {
            account.virtual_time = account
                .virtual_time
                .saturating_add(account.to_virtual(cost));
        }
        // If all of the cost was reserved the tags do not change, so nearly every token avoids a
        // reordering.
        if cost != released {
            self.requeue(key, account);
        }
    }

    /// Charges work that other agents did for the workspace.
    pub fn charge_remote(&mut self, key: K, account: &mut Account, cost: u64) {
        let limit = self
            .floor
            .saturating_add(account.to_virtual(self.debt_limit));
        let virtual_time = account
            .virtual_time
            .saturating_add(account.to_virtual(cost));
        account.virtual_time = virtual_time.min(limit.max(account.virtual_time));
        self.requeue(key, account);
    }

    /// The cost by which a workspace is above the floor, negative if below.
    pub fn lead(&self, account: &Account) -> i64 {
        let share = i128::from(account.share);
        let difference = i128::from(account.start_tag()) - i128::from(self.floor);
        i64::try_from(difference * share / i128::from(SCALE)).unwrap_or(i64::MAX)
    }

    /// Whether the account can be dropped without giving the workspace credit.
    pub fn can_discard(&self, account: &Account) -> bool {
        !account.is_queued() && account.reserved == 0 && account.virtual_time <= self.floor
    }

    /// Advances the floor to the start tag of the next job. It must not wait for a workspace that
    /// asks for less than its share and is always served at once: the virtual times of the others
    /// would grow far above it.
    fn advance_floor(&mut self) {
        if let Some(&(next, _)) = self.waiting.first() {
            self.floor = self.floor.max(next.start);
        }
    }

    fn insert(&mut self, key: K, account: &mut Account) {
        let tags = account.tags();
        account.queued = Some(tags);
        self.waiting.insert((tags, key));
    }

    fn requeue(&mut self, key: K, account: &mut Account) {
        let Some(tags) = account.queued else { return };
        if tags != account.tags() {
            self.waiting.remove(&(tags, key));
            self.insert(key, account);
            self.advance_floor();
        }
    }
}
