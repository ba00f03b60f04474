//! Token usage per workspace, to find workspaces that took more than their share of a service.
//!
//! Load pattern: engines are full and one workspace sends ten times as many requests as the others.
//! With first come, first served admission it gets nine of ten slots that become free, and the
//! others are refused as often as it is although they send little.
//!
//! Each entry counts the tokens it admitted for each workspace. Callers of a workspace are spread
//! over all entries, so local counts are representative and no messages are needed. Counts decay
//! exponentially.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Time;

/// Half-life of the counts. It is short enough to detect a burst of a few seconds while it lasts.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// A workspace is over its share above this multiple of the mean usage of the others. Requests are
/// few and large, so a workspace with ordinary usage fluctuates around the mean.
const OVER_SHARE_FACTOR: f64 = 3.0;

/// Workspaces below this fraction of the mean usage do not count as active.
const MIN_ACTIVE_FRACTION: f64 = 0.05;

/// Interval at which counts decay, active workspaces are counted and inactive ones are dropped.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Decaying token counts of the workspaces that use one service.
#[derive(Debug, Default)]
pub struct WorkspaceUsage {
    // Tokens, decayed up to `decayed_at`.
    tokens: HashMap<Name, f64>,
    total: f64,
    active: usize,
    decayed_at: Time,
}

impl WorkspaceUsage {
    /// Creates empty counts.
    pub fn new() -> Self {
        WorkspaceUsage::default()
    }

    /// Records an admitted request of `tokens` tokens.
    pub fn record(&mut self, now: Time, workspace: &Name, tokens: u64) {
        self.decay(now);
        *self.tokens.entry(workspace.clone()).or_default() += tokens as f64;
        self.total += tokens as f64;
    }

    /// Whether the workspace is over its share while at least one other workspace is active.
    pub fn is_over_share(&mut self, now: Time, workspace: &Name) -> bool {
        self.decay(now);
        let own = self.tokens.get(workspace).copied().unwrap_or_default();
        let others = self.active.saturating_sub(1);
        others > 0 && own > OVER_SHARE_FACTOR * (self.total - own) / others as f64
    }

    /// Decays all counts and drops workspaces without usage. O(n) in the workspaces of the last
    /// half minute, at most once a second.
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let retained = 0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.total = 0.0;
        for tokens in self.tokens.values_mut() {
            *tokens *= retained;
            self.total += *tokens;
        }
        let min_active = MIN_ACTIVE_FRACTION * self.total / self.tokens.len().max(1) as f64;
        self.tokens
            .retain(|_, tokens| *tokens > min_active.min(1.0));
        self.active = self
            .tokens
            .values()
            .filter(|tokens| **tokens > min_active)
            .count();
    }
}
