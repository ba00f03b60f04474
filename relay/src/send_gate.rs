//! Counts how often a request is sent to backend servers, until no more sends are allowed.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use cicada_lib::ids::Name;

/// Set when no more sends are allowed. The lower bits count.
const CLOSED: u32 = 1 << 31;

/// The sends of a request. An answer that says "not run" holds if the gate was closed without a send before.
#[derive(Debug, Default)]
pub(crate) struct SendGate {
    sends: AtomicU32,
    // The caller's identifier of the attempt, once its head is read.
    id: OnceLock<Name>,
}

impl SendGate {
    /// Records the caller's identifier of the attempt, for logs.
    pub(crate) fn set_id(&self, id: Option<&Name>) {
        if let Some(id) = id {
            self.id.get_or_init(|| id.clone());
        }
    }

    /// The caller's identifier of the attempt, for logs; `-` if there is none.
    pub(crate) fn id(&self) -> &str {
        self.id.get().map_or("-", Name::as_str)
    }

    /// Records a send and returns how many there were before; `None` if it is not allowed.
    pub(crate) fn pass(&self) -> Option<u32> {
        let before = self.sends.fetch_add(1, Ordering::AcqRel);
        (before & CLOSED == 0).then_some(before)
    }

    /// Allows no more sends, and returns how many there were.
    pub(crate) fn close(&self) -> u32 {
        self.sends.fetch_or(CLOSED, Ordering::AcqRel) & !CLOSED
    }
}
