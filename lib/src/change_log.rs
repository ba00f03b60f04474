//! A log of recent changes to the list of backend servers, for relays that have missed some of them.
//!
//! It is designed for thousands of servers, hundreds of which change each second, and hundreds of relays, one of which
//! watches the directory for each region. The changes do not fit into a datagram, and a relay that reads the whole list
//! instead transfers hundreds of kilobytes, several times a second, over the link that its callers use.

use std::collections::VecDeque;

use crate::revision::Revision;
use crate::site::ServerChange;
use crate::site::ServerChanges;

/// The largest number of changes kept: those of a few seconds at the target size.
const MAX_CHANGES: usize = 4_096;

/// The changes that directly follow a revision.
#[derive(Clone, Debug)]
struct Batch {
    after: Revision,
    changes: ServerChanges,
}

/// The latest changes, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    // Each batch follows the one before without a gap.
    batches: VecDeque<Batch>,
    count: usize,
}

impl ChangeLog {
    /// Appends the changes that directly follow the revision `after`. Ignores changes that are not newer than the log,
    /// and clears it first if changes between it and `after` are missing.
    pub fn push(&mut self, after: Revision, changes: &ServerChanges) {
        let last = self.batches.back().map(|batch| batch.changes.revision);
        if last.is_some_and(|last| changes.revision <= last) {
            return;
        }
        if last.is_some_and(|last| after > last) {
            self.clear();
        }
        self.count += changes.changes.len();
        self.batches.push_back(Batch {
            after,
            changes: changes.clone(),
        });
        while self.count > MAX_CHANGES {
            let Some(oldest) = self.batches.pop_front() else {
                return;
            };
            self.count -= oldest.changes.changes.len();
        }
    }

    /// Clears the log. Used after a whole list was read, since the changes leading to it are unknown.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.count = 0;
    }

    /// Returns the changes after the revision; `None` if there are none or some are no longer in the log. Batches are
    /// not split, so some changes may be at or before the revision: applying them again in order has no effect.
    pub fn since(&self, revision: Revision) -> Option<ServerChanges> {
        let mut missed = self.batches.iter();
        let first = missed.position(|batch| batch.changes.revision > revision)?;
        let missed: Vec<&Batch> = self.batches.range(first..).collect();
        let covered = missed.first().is_some_and(|batch| batch.after <= revision);
        let last = missed.last().filter(|_| covered)?;
        let changes = missed.iter().flat_map(|batch| &batch.changes.changes);
        let changes: Vec<ServerChange> = changes.cloned().collect();
        Some(ServerChanges {
            changes,
            revision: last.changes.revision,
        })
    }
}
