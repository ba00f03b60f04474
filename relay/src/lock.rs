//! Locks that outlive a panic of a holder.

use std::sync::Mutex;
use std::sync::MutexGuard;

/// Takes the lock. What it guards is whole after each statement that changes it, so that a holder's
/// panic leaves nothing half done.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
