//! Weighted fairness between workspaces while lengths are unknown.
//!
//! Load pattern: a few workspaces ask for more than their share of a crowded engine. First come,
//! first served gives each what it asks for, so that the loudest takes the others' room.
//!
//! Each workspace has a level: the cost that it was charged, divided by its share. The lowest level
//! is served next. Cost is charged as tokens come; what a running job is still expected to cost is
//! held against its workspace from the start, since otherwise a workspace on a low level starts a
//! whole burst before the first token is charged. The difference is settled as the job goes on.
//!
//! - Idle room is lent: what is produced while nobody waits is not charged.
//! - Nothing is hoarded: a workspace that begins to wait is lifted to the level of the next to be
//!   served (the floor), so neither a newcomer nor a returner has credit; one that has jobs running
//!   keeps [`CREDIT`] at most.
//! - Work got on other agents is charged here when a request names it, so that shares hold without
//!   a central counter. Such debt is bounded, since the other agent may have had idle room.
//!
//! The bound on unfairness between two workspaces that keep waiting is the cost of one job each
//! over their shares, plus the error of the expected lengths of their running jobs.
//!
//! All is O(log n) in the workspaces that wait.

use std::collections::BTreeSet;

/// Cost is counted in thousandths of an output token.
pub const TOKEN: u64 = 1_000;

// Levels are cost times this over the share, so that shares of up to 10,000 divide without loss.
const SCALE: u64 = 1 << 10;

/// The cost, for a share of 1, by which a workspace may be behind others when it begins to wait
/// while jobs of it run. It is one long generation.
///
/// A workspace with a small share runs two or three generations at a time, and its queue is empty
/// at times even when it asks for more than its share. Lifted to the floor each time, it would lose
/// what it was behind, and get three quarters of its share. With nothing open it has no credit, so
/// nobody can save up for a burst.
pub const CREDIT: u64 = 1_024 * TOKEN;

/// The largest share.
pub const MAX_SHARE: u32 = 10_000;

/// What a workspace was charged.
#[derive(Clone, Debug)]
pub struct Account {
    share: u32,
    // Cost charged, over the share. Never falls.
    level: u64,
    // Cost that running jobs are still expected to bring.
    ahead: u64,
    // Cost produced here, charged or not.
    given: u64,
    // The cost of its next job.
    head: u64,
    // Where it stands in the set of those that wait.
    listed: Option<Place>,
}

/// Where a workspace stands. The order is by `end`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    // The level at which its next job ends, if it costs what is expected.
    end: u64,
    // The level at which it begins.
    begin: u64,
}

/// Who waits, in the order of levels.
#[derive(Clone, Debug)]
pub struct Shares<K> {
    // Invariant: holds exactly the accounts whose `listed` is set.
    waiting: BTreeSet<(Place, K)>,
    // Never falls.
    floor: u64,
    // The sum of the shares of those that wait.
    weight: u64,
    // The most cost that work elsewhere may put a workspace over the floor.
    debt_limit: u64,
}

impl Account {
    /// An account with a share between 1 and [`MAX_SHARE`].
    pub fn new(share: u32) -> Self {
        Account {
            share: share.clamp(1, MAX_SHARE),
            level: 0,
            ahead: 0,
            given: 0,
            head: 0,
            listed: None,
        }
    }

    /// The share.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Cost produced here.
    pub fn given(&self) -> u64 {
        self.given
    }

    /// Whether it stands among those that wait.
    pub fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    /// The level with what running jobs will bring: where its next job begins.
    pub fn begin(&self) -> u64 {
        self.level.saturating_add(self.levels(self.ahead))
    }

    fn place(&self) -> Place {
        let next = self.ahead.saturating_add(self.head);
        Place {
            end: self.level.saturating_add(self.levels(next)),
            begin: self.begin(),
        }
    }

    fn levels(&self, cost: u64) -> u64 {
        cost.saturating_mul(SCALE) / u64::from(self.share)
    }
}

impl<K: Copy + Ord> Shares<K> {
    /// Nobody waits. Work elsewhere counts up to `debt_limit` of cost for a share of 1.
    pub fn new(debt_limit: u64) -> Self {
        Shares {
            waiting: BTreeSet::new(),
            floor: 0,
            weight: 0,
            debt_limit,
        }
    }

    /// The sum of the shares of those that wait.
    pub fn weight(&self) -> u64 {
        self.weight
    }

    /// Whether anybody waits.
    pub fn is_contended(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Those that wait, the one to be served next first.
    pub fn in_order(&self) -> impl Iterator<Item = K> {
        self.waiting.iter().map(|&(_, key)| key)
    }

    /// The workspace waits, and its next job is expected to cost `head`.
    pub fn list(&mut self, key: K, account: &mut Account, head: u64) {
        account.head = head;
        if account.is_listed() {
            self.relist(key, account);
            return;
        }
        self.raise_floor();
        // Only the level is lifted: what its running jobs will bring stays held against it.
        let credit = if account.ahead > 0 { CREDIT * SCALE } else { 0 };
        account.level = account.level.max(self.floor.saturating_sub(credit));
        self.weight += u64::from(account.share);
        self.insert(key, account);
    }

    /// The workspace waits no longer.
    pub fn unlist(&mut self, key: K, account: &mut Account) {
        if let Some(place) = account.listed.take() {
            self.raise_floor();
            self.waiting.remove(&(place, key));
            self.weight -= u64::from(account.share);
        }
    }

    /// Gives the workspace another share, from now on.
    pub fn set_share(&mut self, key: K, account: &mut Account, share: u32) {
        let listed = account.is_listed();
        self.unlist(key, account);
        account.share = share.clamp(1, MAX_SHARE);
        if listed {
            self.list(key, account, account.head);
        }
    }

    /// Holds the expected cost of a job that starts against its workspace.
    pub fn hold(&mut self, key: K, account: &mut Account, cost: u64) {
        account.ahead += cost;
        self.relist(key, account);
    }

    /// Lets go of cost that was held.
    pub fn release(&mut self, key: K, account: &mut Account, cost: u64) {
        account.ahead = account.ahead.saturating_sub(cost);
        self.relist(key, account);
    }

    /// Charges cost that came. `held` of it had been held, and is released.
    pub fn charge(&mut self, key: K, account: &mut Account, cost: u64, held: u64) {
        account.given += cost;
        account.ahead = account.ahead.saturating_sub(held);
        if self.is_contended() {
            account.level = account.level.saturating_add(account.levels(cost));
        }
        // The place stays as it is where all of the cost had been held, which saves the reordering
        // at nearly each token.
        if cost != held {
            self.relist(key, account);
        }
    }

    /// Charges work that the workspace got on other agents.
    pub fn charge_elsewhere(&mut self, key: K, account: &mut Account, cost: u64) {
        let limit = self.floor.saturating_add(account.levels(self.debt_limit));
        let level = account.level.saturating_add(account.levels(cost));
        account.level = level.min(limit.max(account.level));
        self.relist(key, account);
    }

    /// The cost by which a workspace is over the floor, or under it.
    pub fn lead(&self, account: &Account) -> i64 {
        let share = i128::from(account.share);
        let levels = i128::from(account.begin()) - i128::from(self.floor);
        i64::try_from(levels * share / i128::from(SCALE)).unwrap_or(i64::MAX)
    }

    /// Whether forgetting the account would give the workspace nothing.
    pub fn is_settled(&self, account: &Account) -> bool {
        !account.is_listed() && account.ahead == 0 && account.level <= self.floor
    }

    /// The floor is where the next job begins. It must not wait for one that asks for less than its
    /// share and is served at once each time: the others' levels would run away from it.
    fn raise_floor(&mut self) {
        if let Some(&(next, _)) = self.waiting.first() {
            self.floor = self.floor.max(next.begin);
        }
    }

    fn insert(&mut self, key: K, account: &mut Account) {
        let place = account.place();
        account.listed = Some(place);
        self.waiting.insert((place, key));
    }

    fn relist(&mut self, key: K, account: &mut Account) {
        let Some(place) = account.listed else { return };
        if place != account.place() {
            self.waiting.remove(&(place, key));
            self.insert(key, account);
            self.raise_floor();
        }
    }
}
