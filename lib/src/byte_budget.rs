//! Bounds on the bytes that a process holds for its callers: request bodies, buffered answers and unread events.
//!
//! Load pattern: hundreds of callers read their answers a byte a second, or send bodies of megabytes at the same time.
//! Without a bound the process exceeds its host's memory and falls, and with it all requests that it serves. With a
//! bound per caller alone the sum has none; with a bound on the sum alone the first slow callers take all of it.
//!
//! So both are bounded, by shares of the host's memory. What a process needs for itself and for the buffers of its
//! sockets is left free.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use thiserror::Error;

/// The share of the host's memory that is held for callers. A buffer takes up to twice its bytes while it grows.
const HELD_SHARE: f64 = 0.25;

/// The share of that which one caller may take.
const CALLER_SHARE: f64 = 0.3;

/// The used share from which no more bodies are held and no more calls are accepted: a call that has run and whose answer
/// cannot be held has run in vain.
const NEARLY_USED_UP: f64 = 0.8;

/// The budget where the host's memory is not known.
const DEFAULT_BYTES: usize = 256 * 1024 * 1024;

/// Why bytes are not held.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BudgetError {
    /// The caller's share is used up.
    #[error(
        "one caller's bytes exceed its share of the host's memory; send or request less at once"
    )]
    CallerShare,
    /// The share of all callers is used up.
    #[error(
        "callers' bytes exceed their share of the host's memory; try again later or at another host"
    )]
    Total,
}

/// Result of holding bytes.
pub type Result<T> = std::result::Result<T, BudgetError>;

/// The bytes that a process may hold for all callers together.
#[derive(Debug)]
pub struct ByteBudget {
    total: usize,
    per_caller: usize,
    // Never above `total`.
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates the budget of a host with this memory in bytes; zero if it is not known.
    pub fn new(memory: usize) -> Arc<Self> {
        let total = match memory {
            0 => DEFAULT_BYTES,
            memory => (memory as f64 * HELD_SHARE) as usize,
        };
        Arc::new(ByteBudget {
            total,
            per_caller: (total as f64 * CALLER_SHARE) as usize,
            used: AtomicUsize::new(0),
        })
    }

    /// The bytes held at present.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// The bytes that may be held in all.
    pub fn total(&self) -> usize {
        self.total
    }

    /// The bytes that may be held for one caller.
    pub fn per_caller(&self) -> usize {
        self.per_caller
    }

    /// Whether so little is left that the answer to another call could probably not be held.
    pub fn is_nearly_used_up(&self) -> bool {
        self.used() > self.body_bound()
    }

    /// Starts to hold bytes for a caller; none yet.
    pub fn holder(self: &Arc<Self>) -> HeldBytes {
        self.held(0)
    }

    /// Takes bytes for a body, which leaves room for answers.
    pub(crate) fn take_for_body(&self, bytes: usize) -> Result<()> {
        self.take_up_to(bytes, self.body_bound())
    }

    /// The bytes that could be taken for a body now.
    pub(crate) fn left_for_bodies(&self) -> usize {
        self.body_bound().saturating_sub(self.used())
    }

    fn body_bound(&self) -> usize {
        (self.total as f64 * NEARLY_USED_UP) as usize
    }

    /// Holds bytes that were taken.
    pub(crate) fn held(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        let budget = self.clone();
        HeldBytes { budget, bytes }
    }

    fn take(&self, bytes: usize) -> Result<()> {
        self.take_up_to(bytes, self.total)
    }

    fn take_up_to(&self, bytes: usize, bound: usize) -> Result<()> {
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= bound)
            });
        taken.map(|_| ()).map_err(|_| BudgetError::Total)
    }

    pub(crate) fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes held for one caller, given back when dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl HeldBytes {
    /// Holds more bytes, or fails and holds as many as before.
    pub fn grow(&mut self, bytes: usize) -> Result<()> {
        if self.bytes.saturating_add(bytes) > self.budget.per_caller {
            return Err(BudgetError::CallerShare);
        }
        self.budget.take(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Gives bytes back, all of them at most.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.give_back(bytes);
    }

    /// The bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}
