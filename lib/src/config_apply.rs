//! The version of the configuration that a process applies.
//!
//! Versions arrive from the store, from peers and through gossip, possibly late, duplicated or out of
//! order. A process only moves to a newer version: otherwise a store restored from a backup, or a
//! lagging replica, would revert the whole fleet to a configuration that operators had replaced.

use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::config_chunks::ConfigDigest;
use crate::config_chunks::LoadedConfig;
use crate::copy_type;
use crate::ids::Version;
use crate::time::Time;
use crate::value_type;

copy_type! {
    /// How another version compares with the one in force.
    pub enum VersionComparison {
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
    pub struct ConfigVersionId {
        /// The version number.
        pub version: Version,
        /// The digest of the root.
        pub digest: ConfigDigest,
    }
}

impl ConfigVersionId {
    /// Returns the identity of a loaded version.
    pub fn of(loaded: &LoadedConfig) -> Self {
        ConfigVersionId {
            version: loaded.version,
            digest: loaded.digest,
        }
    }
}

/// Holds the version in force in one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    // Only ever replaced by a version with a higher number.
    current: Option<Arc<LoadedConfig>>,
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
    pub fn current(&self) -> Option<&Arc<LoadedConfig>> {
        self.current.as_ref()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.current.as_ref().map(|l| &l.config)
    }

    /// Returns the number and digest of the version in force.
    pub fn version_id(&self) -> Option<ConfigVersionId> {
        self.current.as_ref().map(|l| ConfigVersionId::of(l))
    }

    /// Returns when the version in force was applied; [`Time::ZERO`] before the first one.
    pub fn applied_at(&self) -> Time {
        self.applied_at
    }

    /// Returns the time since the store last reported the version in force as the newest. It bounds
    /// how stale the configuration of a partitioned process may be.
    pub fn time_since_confirmed(&self, now: Time) -> Duration {
        now.since(self.confirmed_at)
    }

    /// Returns the counts of versions by outcome.
    pub fn counts(&self) -> &ApplyCounts {
        &self.counts
    }

    /// Compares a version with the one in force. Does not check whether its content is valid.
    pub fn compare(&self, id: ConfigVersionId) -> VersionComparison {
        let Some(current) = self.version_id() else {
            return VersionComparison::Newer;
        };
        match id.version.cmp(&current.version) {
            std::cmp::Ordering::Greater => VersionComparison::Newer,
            std::cmp::Ordering::Less => VersionComparison::Older,
            std::cmp::Ordering::Equal if id.digest == current.digest => VersionComparison::Same,
            std::cmp::Ordering::Equal => VersionComparison::Conflicting,
        }
    }

    /// Compares a version received from the store or a peer, and counts it if it is rejected. Use
    /// [`ConfigState::compare`] for peers that may simply be behind.
    pub fn observe(&mut self, id: ConfigVersionId, now: Time) -> VersionComparison {
        let comparison = self.compare(id);
        match comparison {
            VersionComparison::Newer => {}
            VersionComparison::Same => self.confirmed_at = now,
            VersionComparison::Older => self.counts.older += 1,
            VersionComparison::Conflicting => self.counts.conflicting += 1,
        }
        comparison
    }

    /// Applies a version atomically if it is newer than the one in force.
    ///
    /// A [`LoadedConfig`] exists only after validation, so its content is not checked again.
    pub fn apply_if_newer(&mut self, loaded: LoadedConfig, now: Time) -> VersionComparison {
        let comparison = self.observe(ConfigVersionId::of(&loaded), now);
        if comparison == VersionComparison::Newer {
            self.current = Some(Arc::new(loaded));
            self.applied_at = now;
            self.confirmed_at = now;
            self.counts.applied += 1;
        }
        comparison
    }

    /// Counts a version whose data were incomplete or invalid.
    pub fn count_invalid(&mut self) {
        self.counts.invalid += 1;
    }
}
