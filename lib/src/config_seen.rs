//! The newest version of the configuration that was heard of, and who has it.

use crate::config_apply::ConfigMark;
use crate::gossip::MemberId;

// Processes named as holders of the newest version.
const HOLDERS: usize = 16;

/// What was heard of versions. It never goes back to an older one.
#[derive(Default)]
pub(crate) struct ConfigNews {
    pub(crate) best: Option<ConfigMark>,
    // Each has `best` in force.
    pub(crate) holders: Vec<MemberId>,
    /// How often two digests were heard for one version.
    pub(crate) conflicting: u64,
}

impl ConfigNews {
    /// Takes in that a version is in force, at another process or (`None`) at this one.
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
            && self.holders.len() < HOLDERS
        {
            self.holders.push(holder);
        }
    }
}
