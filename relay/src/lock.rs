//! Locking that ignores poisoning.

use std::sync::Mutex;
use std::sync::MutexGuard;

/// Locks the mutex, even if a previous holder panicked. The guarded data is consistent after every statement
/// that changes it, so a panic leaves no partial update.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
