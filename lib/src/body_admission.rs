//! Which callers' bodies are held when there is not enough memory for all of them.
//!
//! Load pattern: many callers send large bodies side by side. If each body takes memory as it comes, all of them reach the
//! bound with a part each, and none can be completed.
//!
//! So a body whose length is announced takes its whole share before its first byte is read, or is refused at once. One of
//! unknown length takes memory as it comes; if there is none left, the youngest of those bodies is refused and gives back
//! what it holds, so that the oldest is always completed. A body that has stopped arriving gives way to any other. A part
//! of the memory is left for answers: a call that has run and whose answer cannot be held has run in vain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::byte_budget::BudgetError;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::HeldBytes;
use crate::byte_budget::Result;
use crate::time::Time;

/// A body of which nothing has arrived for this time has stopped arriving.
const STALL_TIME: Duration = Duration::from_secs(1);

/// The bodies of a process that are being read.
#[derive(Debug)]
pub struct BodyAdmission {
    budget: Arc<ByteBudget>,
    bodies: Mutex<Bodies>,
}

#[derive(Debug, Default)]
struct Bodies {
    next: u64,
    // By age, the oldest first.
    growing: BTreeMap<u64, Growing>,
}

#[derive(Debug)]
struct Growing {
    bytes: usize,
    // Whether all bytes were taken before the first was read.
    announced: bool,
    progress_at: Time,
    evicted: Arc<Notify>,
}

/// A body that is being read. What it holds is given back when it is dropped.
#[derive(Debug)]
pub struct GrowingBody {
    admission: Arc<BodyAdmission>,
    number: u64,
    evicted: Arc<Notify>,
}

impl BodyAdmission {
    /// Creates the admission to the bytes of a budget.
    pub fn new(budget: Arc<ByteBudget>) -> Arc<Self> {
        Arc::new(BodyAdmission {
            budget,
            bodies: Mutex::default(),
        })
    }

    /// Admits a body whose length is `announced`, if it is known.
    pub fn begin(self: &Arc<Self>, now: Time, announced: Option<usize>) -> Result<GrowingBody> {
        let mut bodies = self.lock();
        let number = bodies.next;
        bodies.next += 1;
        let bytes = announced.unwrap_or_default();
        self.make_room(&mut bodies, now, number, bytes)?;
        let evicted = Arc::new(Notify::new());
        let growing = Growing {
            bytes,
            announced: announced.is_some(),
            progress_at: now,
            evicted: evicted.clone(),
        };
        bodies.growing.insert(number, growing);
        Ok(GrowingBody {
            admission: self.clone(),
            number,
            evicted,
        })
    }

    /// Takes bytes for a body, at the expense of others if need be.
    fn make_room(&self, bodies: &mut Bodies, now: Time, number: u64, bytes: usize) -> Result<()> {
        let held = bodies.growing.get(&number).map_or(0, |body| body.bytes);
        if held + bytes > self.budget.per_caller() {
            return Err(BudgetError::CallerShare);
        }
        if bytes > self.budget.left_for_bodies() + bodies.yielding(now, number) {
            return Err(BudgetError::Total);
        }
        loop {
            match self.budget.take_for_body(bytes) {
                Ok(()) => return Ok(()),
                Err(error) => {
                    let victim = bodies.victim(now, number).ok_or(error)?;
                    self.evict(bodies, victim);
                }
            }
        }
    }

    fn evict(&self, bodies: &mut Bodies, number: u64) {
        if let Some(body) = bodies.growing.remove(&number) {
            self.budget.give_back(body.bytes);
            body.evicted.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Bodies> {
        self.bodies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bodies {
    /// The next body that gives way to another one: one that has stopped arriving, or else the youngest.
    fn victim(&self, now: Time, number: u64) -> Option<u64> {
        let stalled = self
            .victims(now, number)
            .find(|(_, body)| body.has_stalled(now));
        let victim = stalled.or_else(|| self.victims(now, number).next_back());
        victim.map(|(number, _)| *number)
    }

    /// The bytes of all bodies that would give way to another one.
    fn yielding(&self, now: Time, number: u64) -> usize {
        self.victims(now, number).map(|(_, body)| body.bytes).sum()
    }

    /// The bodies that give way to another one: those that have stopped arriving, and younger ones of unknown length.
    fn victims(&self, now: Time, number: u64) -> impl DoubleEndedIterator<Item = (&u64, &Growing)> {
        self.growing.iter().filter(move |(other, body)| {
            let is_younger = **other > number && !body.announced;
            **other != number && body.bytes > 0 && (is_younger || body.has_stalled(now))
        })
    }
}

impl Growing {
    fn has_stalled(&self, now: Time) -> bool {
        now.since(self.progress_at) >= STALL_TIME
    }
}

impl GrowingBody {
    /// Holds bytes that have arrived. Fails if there is no room, or if the body has given way to another one.
    pub fn grow(&mut self, now: Time, bytes: usize) -> Result<()> {
        let mut bodies = self.admission.lock();
        let Some(body) = bodies.growing.get_mut(&self.number) else {
            return Err(BudgetError::Total);
        };
        body.progress_at = now;
        if body.announced {
            return Ok(());
        }
        self.admission
            .make_room(&mut bodies, now, self.number, bytes)?;
        if let Some(body) = bodies.growing.get_mut(&self.number) {
            body.bytes += bytes;
        }
        Ok(())
    }

    /// Waits until the body has given way to another one.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Ends the reading of a whole body. Fails if it has given way to another one.
    pub fn finish(self) -> Result<HeldBytes> {
        let mut bodies = self.admission.lock();
        let body = bodies.growing.remove(&self.number);
        let body = body.ok_or(BudgetError::Total)?;
        Ok(self.admission.budget.held(body.bytes))
    }
}

impl Drop for GrowingBody {
    fn drop(&mut self) {
        let mut bodies = self.admission.lock();
        if let Some(body) = bodies.growing.remove(&self.number) {
            self.admission.budget.give_back(body.bytes);
        }
    }
}
