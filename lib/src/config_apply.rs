//! The version of the configuration that a process applies.
//!
//! Versions arrive from the store, from peers and through gossip, possibly late, duplicated or out of
//! order. A process only moves to a newer version: otherwise a store restored from a backup, or a
//! lagging replica, would revert the whole fleet to a configuration that operators had replaced.

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
    /// How another version compares with the one in force.
    pub enum Verdict {
        /// It is newer, and is to be fetched and applied.
        Newer,
        /// It is the one in force.
        Same,
        /// It is older, and is rejected.
        Older,
        /// It has the same number but other content, as after a restore of the store, and is rejected.
        Conflicting,
    }
}

value_type! {
    /// Counts of versions by outcome, since the process started.
    #[derive(Default)]
    pub struct ApplyCounts {
        /// Versions applied.
        pub applied: u64,
        /// Versions rejected because they were older than the one in force.
        pub older: u64,
        /// Versions rejected because one with the same number and other content was in force.
        pub conflicting: u64,
        /// Versions rejected because their data were incomplete or invalid.
        pub invalid: u64,
    }

    /// Identifies a version by number and digest; this is what gossip carries.
    pub struct ConfigMark {
        /// The version number.
        pub version: Version,
        /// The digest of the root.
        pub digest: ConfigDigest,
    }
}

impl ConfigMark {
    /// Returns the identity of a loaded version.
    pub fn of(loaded: &Loaded) -> Self {
        ConfigMark {
            version: loaded.version,
            digest: loaded.digest,
        }
    }
}

/// Holds the version in force in one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    // Only ever replaced by a version with a higher number.
    current: Option<Arc<Loaded>>,
    applied_at: Time,
    confirmed_at: Time,
    counts: ApplyCounts,
}

impl ConfigState {
    /// Creates the state of a process that has no configuration yet.
    pub fn new() -> Self {
        ConfigState::default()
    }

    /// Returns the version in force.
    pub fn current(&self) -> Option<&Arc<Loaded>> {
        self.current.as_ref()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.current.as_ref().map(|l| &l.config)
    }

    /// Returns the number and digest of the version in force.
    pub fn mark(&self) -> Option<ConfigMark> {
        self.current.as_ref().map(|l| ConfigMark::of(l))
    }

    /// Returns when the version in force was applied; [`Time::ZERO`] before the first one.
    pub fn applied_at(&self) -> Time {
        self.applied_at
    }

    /// Returns the time since the store last reported the version in force as the newest. It bounds
    /// how stale the configuration of a partitioned process may be.
    pub fn unconfirmed(&self, now: Time) -> Duration {
        now.since(self.confirmed_at)
    }

    /// Returns the counts of versions by outcome.
    pub fn counts(&self) -> &ApplyCounts {
        &self.counts
    }

    /// Compares a version with the one in force. Does not check whether its content is valid.
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

    /// Compares a version received from the store or a peer, and counts it if it is rejected. Use
    /// [`ConfigState::judge`] for peers that may simply be behind.
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

    /// Applies a version atomically if it is newer than the one in force.
    ///
    /// A [`Loaded`] exists only after validation, so its content is not checked again.
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

    /// Counts a version whose data were incomplete or invalid.
    pub fn refuse_invalid(&mut self) {
        self.counts.invalid += 1;
    }
}
