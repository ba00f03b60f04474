//! Which workspaces have taken more than their share of a service lately.
//!
//! Load pattern: one workspace asks for ten times what the others do, when engines are full. Taken in as
//! they come, nine of ten places that come free are its, and the others are refused as often as it is, though
//! they ask for little.
//!
//! Each entry counts the tokens that it has taken in for each workspace; callers of a workspace are spread
//! over all entries, so that no message is needed. What was taken longer ago counts less.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Time;

/// Half of what was taken is forgotten in this time: a burst of some seconds is seen while it lasts.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Times the mean of the others that a workspace may take: requests are few and large, so that one with a usual share is
/// above and below it by turns.
const OVER: f64 = 3.0;

/// Workspaces with less than this part of the mean do not count as taking part.
const ACTIVE: f64 = 0.05;

/// How often workspaces are counted, and those that have gone forgotten.
const SWEEP: Duration = Duration::from_secs(1);

/// What workspaces have taken of one service.
#[derive(Debug, Default)]
pub struct WorkspaceUse {
    // Tokens, as of the latest sweep.
    taken: HashMap<Name, f64>,
    total: f64,
    active: usize,
    swept: Time,
}

impl WorkspaceUse {
    /// Nothing was taken.
    pub fn new() -> Self {
        WorkspaceUse::default()
    }

    /// A request of the workspace was taken in.
    pub fn taken(&mut self, now: Time, workspace: &Name, tokens: u64) {
        self.sweep(now);
        *self.taken.entry(workspace.clone()).or_default() += tokens as f64;
        self.total += tokens as f64;
    }

    /// Whether the workspace has taken more than its share, where others take part.
    pub fn is_over(&mut self, now: Time, workspace: &Name) -> bool {
        self.sweep(now);
        let own = self.taken.get(workspace).copied().unwrap_or_default();
        let others = self.active.saturating_sub(1);
        others > 0 && own > OVER * (self.total - own) / others as f64
    }

    /// Fades what was taken. Takes O(n) in the workspaces of the last half minute, once a second.
    fn sweep(&mut self, now: Time) {
        let passed = now.since(self.swept);
        if passed < SWEEP {
            return;
        }
        self.swept = now;
        let kept = 0.5f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.total = 0.0;
        for taken in self.taken.values_mut() {
            *taken *= kept;
            self.total += *taken;
        }
        let least = ACTIVE * self.total / self.taken.len().max(1) as f64;
        self.taken.retain(|_, taken| *taken > least.min(1.0));
        self.active = self.taken.values().filter(|taken| **taken > least).count();
    }
}
