//! The queues of streams that wait at this relay, and the turns at which one of them looks for capacity.
//!
//! The waiting tasks take turns, so that a queue costs the same however many wait: the first one tries when an engine's
//! report arrived or a run ended, or after an interval, and hands its turn on.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::admission::wait_queue::Departure;
use cicada_lib::admission::wait_queue::QueueFull;
use cicada_lib::admission::wait_queue::Ticket;
use cicada_lib::admission::wait_queue::WaitQueue;
use cicada_lib::admission::wait_queue::WaitRequest;
use cicada_lib::ids::Name;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Clock;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::lock::lock;

/// Interval between two tries of a queue without any sign of capacity. Each probes five scouts: a relay whose queue is
/// never empty sends 17 probes a second, and with 370 such relays and 1,000 engines each scout answers 6 a second.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Least time from a try that found no capacity to the next one of the queue: about an engine's step, or a scout's poll.
const TRY_SPACING: Duration = Duration::from_millis(50);

/// After how long a scout knows that a run of its engine ended: it polls the engine every 30 ms.
const FREED_DELAY: Duration = Duration::from_millis(40);

/// Maximum number of engines remembered at which runs have ended: those that one try probes.
const MAX_FREED: usize = 5;

/// The requests that wait together: those of a service that may be served in the same regions. A request that is
/// restricted to full regions then holds up no other.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct QueueKey {
    pub(crate) service: Name,
    pub(crate) regions: AllowedRegions,
}

/// One queue and its turns.
#[derive(Debug, Default)]
struct QueueState {
    queue: WaitQueue,
    wakers: HashMap<Ticket, Arc<Notify>>,
    // When the latest try found no capacity; `None` if it found some.
    failed_at: Option<Instant>,
    // When scouts were last probed for this queue.
    probed_at: Option<Instant>,
    // Whether there was a sign of capacity since the latest try.
    hinted: bool,
    // Engines at which runs of this relay ended since then, and when the last one did.
    freed: Vec<ServerKey>,
    freed_at: Option<Instant>,
}

/// What is known for one try.
#[derive(Debug)]
pub(crate) struct Try {
    /// Whether scouts are to be probed although no report shows capacity.
    pub(crate) must_probe: bool,
    /// Engines at which runs of this relay ended.
    pub(crate) freed: Vec<ServerKey>,
}

/// All queues of a relay.
#[derive(Debug)]
pub(crate) struct WaitQueues {
    clock: Clock,
    queues: Mutex<HashMap<QueueKey, QueueState>>,
    // The number of waiting requests of all queues.
    waiting: AtomicUsize,
}

/// A request's place in a queue, until dropped.
#[derive(Debug)]
pub(crate) struct QueueEntry {
    queues: Arc<WaitQueues>,
    key: QueueKey,
    ticket: Ticket,
    waker: Arc<Notify>,
}

impl QueueState {
    /// When the request may try; `None` if it is not its turn.
    fn due(&self, ticket: Ticket) -> Option<Instant> {
        if self.queue.next() != Some(ticket) {
            return None;
        }
        let Some(failed_at) = self.failed_at else {
            return Some(Instant::now());
        };
        let regular = failed_at + RETRY_INTERVAL;
        let hinted = self.hinted.then_some(failed_at + TRY_SPACING);
        let freed = self.freed_at.map(|at| at + FREED_DELAY);
        let freed = freed.map(|at| at.max(failed_at + TRY_SPACING));
        [Some(regular), hinted, freed].into_iter().flatten().min()
    }

    fn begin_try(&mut self) -> Try {
        let freed = std::mem::take(&mut self.freed);
        let overdue = |at: Instant| at.elapsed() >= RETRY_INTERVAL;
        let must_probe = !freed.is_empty() || self.probed_at.is_none_or(overdue);
        self.freed_at = None;
        self.hinted = false;
        if must_probe {
            self.probed_at = Some(Instant::now());
        }
        Try { must_probe, freed }
    }

    fn wake_next(&self) {
        let next = self.queue.next();
        if let Some(waker) = next.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }
}

impl WaitQueues {
    /// Creates a state in which nobody waits.
    pub(crate) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(WaitQueues {
            clock,
            queues: Mutex::default(),
            waiting: AtomicUsize::new(0),
        })
    }

    /// Whether a new request of this rank would overtake one that waits.
    pub(crate) fn is_ahead_of(&self, key: &QueueKey, rank: u32) -> bool {
        let queues = lock(&self.queues);
        queues
            .get(key)
            .is_some_and(|state| state.queue.is_ahead_of(rank))
    }

    /// Adds a request to its queue, if it is expected to be placed in time.
    pub(crate) fn enter(
        self: &Arc<Self>,
        key: QueueKey,
        request: &WaitRequest,
    ) -> Result<QueueEntry, QueueFull> {
        let mut queues = lock(&self.queues);
        let state = queues.entry(key.clone()).or_default();
        let now = self.clock.now();
        // Those whose task has not noticed yet that their wait is over are not ahead of it.
        state.queue.expire(now);
        let was_empty = state.queue.is_empty();
        let ticket = state.queue.enter(now, request)?;
        if was_empty {
            // It was just rejected at its first choice, and signs of capacity before that are outdated.
            let now = Instant::now();
            *state = QueueState {
                queue: std::mem::take(&mut state.queue),
                wakers: std::mem::take(&mut state.wakers),
                failed_at: Some(now),
                probed_at: Some(now),
                ..QueueState::default()
            };
        }
        let waker = Arc::new(Notify::new());
        state.wakers.insert(ticket, waker.clone());
        self.waiting.fetch_add(1, Ordering::Relaxed);
        drop(queues);
        Ok(QueueEntry {
            queues: self.clone(),
            key,
            ticket,
            waker,
        })
    }

    /// Records that the request of a returning caller was placed without waiting.
    pub(crate) fn record_returned(&self, key: &QueueKey) {
        let mut queues = lock(&self.queues);
        if let Some(state) = queues.get_mut(key) {
            state.queue.record_returned(self.clock.now());
        }
    }

    /// The number of waiting requests of a queue, and the rate at which they are placed.
    pub(crate) fn outlook(&self, key: &QueueKey) -> (usize, f64) {
        let queues = lock(&self.queues);
        queues
            .get(key)
            .map_or((0, 0.0), |state| (state.queue.len(), state.queue.rate()))
    }

    /// Records a sign that an engine may have capacity: its load report, or a change of the list of servers.
    pub(crate) fn record_sign(&self) {
        self.wake(|state| !std::mem::replace(&mut state.hinted, true));
    }

    /// Records that a run of this relay ended at an engine.
    pub(crate) fn record_freed(&self, engine: ServerKey) {
        self.wake(|state| {
            if state.freed.len() < MAX_FREED && !state.freed.contains(&engine) {
                state.freed.push(engine);
            }
            state.freed_at = Some(Instant::now());
            true
        });
    }

    /// Wakes all waiting requests: the configuration has changed, or this relay drains.
    pub(crate) fn wake_all(&self) {
        for state in lock(&self.queues).values() {
            state.wakers.values().for_each(|waker| waker.notify_one());
        }
    }

    /// Applies `sign` to each queue that is not empty, and wakes those whose turn it is where it returns true.
    fn wake(&self, mut sign: impl FnMut(&mut QueueState) -> bool) {
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        for state in lock(&self.queues).values_mut() {
            if !state.queue.is_empty() && sign(state) {
                state.wake_next();
            }
        }
    }
}

impl QueueEntry {
    /// Waits until the turn of this request may have come, or something else has changed.
    pub(crate) async fn woken(&self) {
        self.waker.notified().await;
    }

    /// When this request may try; `None` if it is not its turn.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.with_state(|state| state.due(self.ticket))
    }

    /// Begins a try if it is still this request's turn.
    pub(crate) fn begin_try(&self) -> Option<Try> {
        self.with_state(|state| {
            let due = state.due(self.ticket)?;
            (due <= Instant::now()).then(|| state.begin_try())
        })
    }

    /// Records that no engine had capacity, and hands the turn on.
    pub(crate) fn record_unfit(&self) {
        self.with_state(|state| {
            state.queue.record_unfit(self.ticket);
            state.failed_at = Some(Instant::now());
            // A smaller request is tried soon after.
            state.hinted |= state.queue.next() != Some(self.ticket);
            state.wake_next();
        });
    }

    /// Lets the next request try at once: this one was placed, or learned that no engine is left.
    pub(crate) fn hand_on(&self) {
        self.with_state(|state| state.failed_at = None);
    }

    /// Leaves the queue, placed at an engine.
    pub(crate) fn leave_placed(self) {
        self.hand_on();
        self.leave(Departure::Placed);
    }

    fn leave(&self, why: Departure) {
        let now = self.queues.clock.now();
        self.with_state(|state| {
            if state.wakers.remove(&self.ticket).is_some() {
                state.queue.leave(now, self.ticket, why);
                self.queues.waiting.fetch_sub(1, Ordering::Relaxed);
                state.wake_next();
            }
        });
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut QueueState) -> T) -> T {
        let mut queues = lock(&self.queues.queues);
        action(queues.entry(self.key.clone()).or_default())
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.leave(Departure::Withdrawn);
    }
}
