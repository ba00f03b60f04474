//! What each workspace got on which agent, so that shares hold across agents without messages.
//!
//! Load pattern: a workspace that spreads its requests over many agents. Without this each agent
//! would give it a whole share. An entry adds to each request the tokens that the workspace got
//! through this entry on other agents since its last request here; the agent charges them.

use std::collections::HashMap;

use cicada_lib::ids::Name;

/// The most pairs of workspace and agent that are kept: 5,100 workspaces, each on ten agents. What
/// is forgotten costs a workspace nothing, and lets it have a little more than its share.
const MOST: usize = 51_000;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    // What the workspace had got in all when it last sent a request to the agent.
    total: u64,
    // What it got there since.
    here: u64,
}

/// The account of one entry.
#[derive(Debug, Default)]
pub(crate) struct Elsewhere {
    totals: HashMap<Name, u64>,
    seen: HashMap<Name, HashMap<Name, Seen>>,
    pairs: usize,
}

impl Elsewhere {
    /// Notes tokens that a workspace got on an agent.
    pub(crate) fn note(&mut self, workspace: &Name, agent: &Name, tokens: u32) {
        let tokens = u64::from(tokens);
        *self.totals.entry(workspace.clone()).or_default() += tokens;
        self.pair(workspace, agent).here += tokens;
    }

    /// The tokens got on other agents since the last call for this pair.
    pub(crate) fn take(&mut self, workspace: &Name, agent: &Name) -> u64 {
        let total = self.totals.get(workspace).copied().unwrap_or_default();
        let known = self
            .seen
            .get(workspace)
            .is_some_and(|agents| agents.contains_key(agent));
        let pair = self.pair(workspace, agent);
        let since = total.saturating_sub(pair.total).saturating_sub(pair.here);
        *pair = Seen { total, here: 0 };
        // At a first meeting the whole past counts as nothing: a newcomer owes no old debts.
        if known { since } else { 0 }
    }

    fn pair(&mut self, workspace: &Name, agent: &Name) -> &mut Seen {
        if self.pairs >= MOST {
            self.totals.clear();
            self.seen.clear();
            self.pairs = 0;
        }
        let agents = self.seen.entry(workspace.clone()).or_default();
        if !agents.contains_key(agent) {
            self.pairs += 1;
        }
        agents.entry(agent.clone()).or_default()
    }
}
