//! Which version of the configuration a process follows.
//!
//! Versions reach a process from the store, from peers and from gossip, late, twice and in any order.
//! Without this module a store that was restored from a backup, or a replica of it that lags, would
//! put the whole fleet back to rules that operators had replaced.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::config_chunks::ConfigDigest;
use crate::config_chunks::Loaded;
use crate::copy_type;
use crate::ids::Version;
use crate::time::Time;
use crate::value_type;

copy_type! {
    /// How an offered version stands to the one in force.
    pub enum Verdict {
        /// It is newer: pull it and apply it.
        Newer,
        /// It is the one in force.
        Same,
        /// It is older: it is refused.
        Older,
        /// It has the same number and other content, as after a restore of the store: it is refused.
        Conflicting,
    }
}

value_type! {
    /// What became of offered versions, since the process started.
    #[derive(Default)]
    pub struct ApplyCounts {
        /// Applied.
        pub applied: u64,
        /// Refused as older than the one in force.
        pub older: u64,
        /// Refused since another one of the same number is in force.
        pub conflicting: u64,
        /// Refused since its parts were not whole or not valid.
        pub invalid: u64,
    }

    /// A version by number and digest, as gossip carries it.
    pub struct ConfigMark {
        /// The number.
        pub version: Version,
        /// The digest of the root.
        pub digest: ConfigDigest,
    }
}

impl ConfigMark {
    /// The mark of a version.
    pub fn of(loaded: &Loaded) -> Self {
        ConfigMark {
            version: loaded.version,
            digest: loaded.digest,
        }
    }
}

/// The version in force in one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    // Never replaced by a version that is not above it.
    current: Option<Arc<Loaded>>,
    applied_at: Time,
    confirmed_at: Time,
    counts: ApplyCounts,
}

impl ConfigState {
    /// The state of a process that has no configuration yet.
    pub fn new() -> Self {
        ConfigState::default()
    }

    /// The version in force.
    pub fn current(&self) -> Option<&Arc<Loaded>> {
        self.current.as_ref()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.current.as_ref().map(|l| &l.config)
    }

    /// The number and digest of the version in force.
    pub fn mark(&self) -> Option<ConfigMark> {
        self.current.as_ref().map(|l| ConfigMark::of(l))
    }

    /// When the version in force was applied; the origin before the first one.
    pub fn applied_at(&self) -> Time {
        self.applied_at
    }

    /// The time since the store last named the version in force as the newest. It tells how old the
    /// rules of a process that is cut off may be.
    pub fn unconfirmed(&self, now: Time) -> Duration {
        now.since(self.confirmed_at)
    }

    /// What became of offered versions.
    pub fn counts(&self) -> &ApplyCounts {
        &self.counts
    }

    /// How a version stands to the one in force. Says nothing of whether its content is valid.
    pub fn judge(&self, mark: ConfigMark) -> Verdict {
        let Some(current) = self.mark() else {
            return Verdict::Newer;
        };
        match mark.version.cmp(&current.version) {
            std::cmp::Ordering::Greater => Verdict::Newer,
            std::cmp::Ordering::Less => Verdict::Older,
            std::cmp::Ordering::Equal if mark.digest == current.digest => Verdict::Same,
            std::cmp::Ordering::Equal => Verdict::Conflicting,
        }
    }

    /// Judges a mark that the store or a peer gave, and counts it where it is refused. Peers that are
    /// merely behind should be judged by [`ConfigState::judge`].
    pub fn note(&mut self, mark: ConfigMark, now: Time) -> Verdict {
        let verdict = self.judge(mark);
        match verdict {
            Verdict::Newer => {}
            Verdict::Same => self.confirmed_at = now,
            Verdict::Older => self.counts.older += 1,
            Verdict::Conflicting => self.counts.conflicting += 1,
        }
        verdict
    }

    /// Applies a version if it is newer than the one in force. It takes effect in one step.
    ///
    /// A [`Loaded`] is made only by validating all its parts, so that nothing is left to check.
    pub fn offer(&mut self, loaded: Loaded, now: Time) -> Verdict {
        let verdict = self.note(ConfigMark::of(&loaded), now);
        if verdict == Verdict::Newer {
            self.current = Some(Arc::new(loaded));
            self.applied_at = now;
            self.confirmed_at = now;
            self.counts.applied += 1;
        }
        verdict
    }

    /// Counts a version whose parts were not whole or not valid.
    pub fn refuse_invalid(&mut self) {
        self.counts.invalid += 1;
    }
}
