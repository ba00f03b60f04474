//! The latest changes of the list of backend servers, for entries that have missed some of them.
//!
//! Load pattern: thousands of servers, of which some hundred change in a second, before hundreds of entries of which
//! one watches for each region. A datagram does not hold what has changed, and an entry that reads the whole list
//! instead takes hundreds of kilobytes, several times a second, over the link that its callers use.

use std::collections::VecDeque;

use crate::revision::Revision;
use crate::site::ServerChange;
use crate::site::ServerChanges;

/// Changes that are kept: those of some seconds at the size that the system is built towards.
const KEPT: usize = 4_096;

/// Changes that followed on a revision.
#[derive(Clone, Debug)]
struct Batch {
    after: Revision,
    changes: ServerChanges,
}

/// The latest changes, in order.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    // Each follows on the one before without a gap.
    batches: VecDeque<Batch>,
    count: usize,
}

impl ChangeLog {
    /// Notes changes that followed on the revision `after`.
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
        while self.count > KEPT {
            let Some(oldest) = self.batches.pop_front() else {
                return;
            };
            self.count -= oldest.changes.changes.len();
        }
    }

    /// Forgets all: a whole list was taken over, and what came between is not known.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.count = 0;
    }

    /// What has changed after the revision; `None` where not all of it is kept. Some of it may have been before: applied
    /// once more in this order it changes nothing.
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
