//! Tracks the newest known version of the configuration and the processes that have it.

use crate::config_apply::ConfigMark;
use crate::gossip::MemberId;

// The largest number of holders that are tracked.
const MAX_HOLDERS: usize = 16;

/// The newest known version. Never replaced by an older one.
#[derive(Default)]
pub(crate) struct ConfigNews {
    pub(crate) best: Option<ConfigMark>,
    // Processes in which that version is in force.
    pub(crate) holders: Vec<MemberId>,
    /// How often a second digest was reported for the same version.
    pub(crate) conflicting: u64,
}

impl ConfigNews {
    /// Records that a version is in force at another process, or at this one if `holder` is `None`.
    pub(crate) fn note(&mut self, holder: Option<MemberId>, mark: &ConfigMark) {
        let newer = |best: &ConfigMark| mark.version > best.version;
        if self.best.as_ref().is_none_or(newer) {
            self.best = Some(mark.clone());
            self.holders.clear();
        }
        let Some(best) = &self.best else {
            return;
        };
        if best.version == mark.version && best.digest != mark.digest {
            self.conflicting += 1;
        } else if let Some(holder) = holder
            && best == mark
            && !self.holders.contains(&holder)
            && self.holders.len() < MAX_HOLDERS
        {
            self.holders.push(holder);
        }
    }
}
