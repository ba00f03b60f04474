//! Tracks the newest known version of the configuration and the processes that have it.

use crate::config_apply::ConfigVersionId;
use crate::gossip::MemberId;

// The largest number of holders that are tracked.
const MAX_HOLDERS: usize = 16;

/// The newest known version. Never replaced by an older one.
#[derive(Default)]
pub(crate) struct NewestConfig {
    pub(crate) newest: Option<ConfigVersionId>,
    // Processes in which that version is in force.
    pub(crate) holders: Vec<MemberId>,
    /// How often a second digest was reported for the same version.
    pub(crate) conflicting: u64,
}

impl NewestConfig {
    /// Records that a version is in force at another process, or at this one if `holder` is `None`.
    pub(crate) fn record(&mut self, holder: Option<MemberId>, id: &ConfigVersionId) {
        let newer = |newest: &ConfigVersionId| id.version > newest.version;
        if self.newest.as_ref().is_none_or(newer) {
            self.newest = Some(id.clone());
            self.holders.clear();
        }
        let Some(newest) = &self.newest else {
            return;
        };
        if newest.version == id.version && newest.digest != id.digest {
            self.conflicting += 1;
        } else if let Some(holder) = holder
            && newest == id
            && !self.holders.contains(&holder)
            && self.holders.len() < MAX_HOLDERS
        {
            self.holders.push(holder);
        }
    }
}
