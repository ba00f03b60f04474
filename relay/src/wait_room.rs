//! The lines of streams that wait at this relay, and the turns at which one of them looks for capacity.
//!
//! The waiting tasks take turns, so that a line costs the same however many wait: the first one tries when an engine's
//! report arrived or a run ended, or after an interval, and hands its turn on.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::admission::wait_line::Departure;
use cicada_lib::admission::wait_line::LineFull;
use cicada_lib::admission::wait_line::Ticket;
use cicada_lib::admission::wait_line::WaitLine;
use cicada_lib::admission::wait_line::WaitRequest;
use cicada_lib::ids::Name;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Clock;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::lock::lock;

/// Interval between two tries of a line without any sign of capacity. Each probes five scouts: a relay whose line is
/// never empty sends 17 probes a second, and with 370 such relays and 1,000 engines each scout answers 6 a second.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Least time from a try that found no capacity to the next one of the line: about an engine's step, or a scout's poll.
const TRY_SPACING: Duration = Duration::from_millis(50);

/// After how long a scout knows that a run of its engine ended: it polls the engine every 30 ms.
const FREED_DELAY: Duration = Duration::from_millis(40);

/// Maximum number of engines remembered at which runs have ended: those that one try probes.
const MAX_FREED: usize = 5;

/// The requests that wait together: those of a service that may be served in the same regions. A request that is
/// restricted to full regions then holds up no other.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LineKey {
    pub(crate) service: Name,
    pub(crate) regions: AllowedRegions,
}

/// One line and its turns.
#[derive(Debug, Default)]
struct Room {
    line: WaitLine,
    wakers: HashMap<Ticket, Arc<Notify>>,
    // When the latest try found no capacity; `None` if it found some.
    failed_at: Option<Instant>,
    // When scouts were last probed for this line.
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

/// All lines of a relay.
#[derive(Debug)]
pub(crate) struct WaitRoom {
    clock: Clock,
    rooms: Mutex<HashMap<LineKey, Room>>,
    // The number of waiting requests of all lines.
    waiting: AtomicUsize,
}

/// A request's place in a line, until dropped.
#[derive(Debug)]
pub(crate) struct LinePlace {
    room: Arc<WaitRoom>,
    key: LineKey,
    ticket: Ticket,
    waker: Arc<Notify>,
}

impl Room {
    /// When the request may try; `None` if it is not its turn.
    fn due(&self, ticket: Ticket) -> Option<Instant> {
        if self.line.next() != Some(ticket) {
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
        let next = self.line.next();
        if let Some(waker) = next.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }
}

impl WaitRoom {
    /// Creates a room in which nobody waits.
    pub(crate) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(WaitRoom {
            clock,
            rooms: Mutex::default(),
            waiting: AtomicUsize::new(0),
        })
    }

    /// Whether a new request of this rank would overtake one that waits.
    pub(crate) fn is_ahead_of(&self, key: &LineKey, rank: u32) -> bool {
        let rooms = lock(&self.rooms);
        rooms
            .get(key)
            .is_some_and(|room| room.line.is_ahead_of(rank))
    }

    /// Adds a request to its line, if it is expected to be placed in time.
    pub(crate) fn enter(
        self: &Arc<Self>,
        key: LineKey,
        request: &WaitRequest,
    ) -> Result<LinePlace, LineFull> {
        let mut rooms = lock(&self.rooms);
        let room = rooms.entry(key.clone()).or_default();
        let now = self.clock.now();
        // Those whose task has not noticed yet that their wait is over are not ahead of it.
        room.line.expire(now);
        let was_empty = room.line.is_empty();
        let ticket = room.line.enter(now, request)?;
        if was_empty {
            // It was just rejected at its first choice, and signs of capacity before that are outdated.
            let now = Instant::now();
            *room = Room {
                line: std::mem::take(&mut room.line),
                wakers: std::mem::take(&mut room.wakers),
                failed_at: Some(now),
                probed_at: Some(now),
                ..Room::default()
            };
        }
        let waker = Arc::new(Notify::new());
        room.wakers.insert(ticket, waker.clone());
        self.waiting.fetch_add(1, Ordering::Relaxed);
        drop(rooms);
        Ok(LinePlace {
            room: self.clone(),
            key,
            ticket,
            waker,
        })
    }

    /// Records that the request of a returning caller was placed without waiting.
    pub(crate) fn record_returned(&self, key: &LineKey) {
        let mut rooms = lock(&self.rooms);
        if let Some(room) = rooms.get_mut(key) {
            room.line.record_returned(self.clock.now());
        }
    }

    /// The number of waiting requests of a line, and the rate at which they are placed.
    pub(crate) fn outlook(&self, key: &LineKey) -> (usize, f64) {
        let rooms = lock(&self.rooms);
        rooms
            .get(key)
            .map_or((0, 0.0), |room| (room.line.len(), room.line.rate()))
    }

    /// Records a sign that an engine may have capacity: its load report, or a change of the list of servers.
    pub(crate) fn record_sign(&self) {
        self.wake(|room| !std::mem::replace(&mut room.hinted, true));
    }

    /// Records that a run of this relay ended at an engine.
    pub(crate) fn record_freed(&self, engine: ServerKey) {
        self.wake(|room| {
            if room.freed.len() < MAX_FREED && !room.freed.contains(&engine) {
                room.freed.push(engine);
            }
            room.freed_at = Some(Instant::now());
            true
        });
    }

    /// Wakes all waiting requests: the configuration has changed, or this relay drains.
    pub(crate) fn wake_all(&self) {
        for room in lock(&self.rooms).values() {
            room.wakers.values().for_each(|waker| waker.notify_one());
        }
    }

    /// Applies `sign` to each line that is not empty, and wakes those whose turn it is where it returns true.
    fn wake(&self, mut sign: impl FnMut(&mut Room) -> bool) {
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        for room in lock(&self.rooms).values_mut() {
            if !room.line.is_empty() && sign(room) {
                room.wake_next();
            }
        }
    }
}

impl LinePlace {
    /// Waits until the turn of this request may have come, or something else has changed.
    pub(crate) async fn woken(&self) {
        self.waker.notified().await;
    }

    /// When this request may try; `None` if it is not its turn.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.with_room(|room| room.due(self.ticket))
    }

    /// Begins a try if it is still this request's turn.
    pub(crate) fn begin_try(&self) -> Option<Try> {
        self.with_room(|room| {
            let due = room.due(self.ticket)?;
            (due <= Instant::now()).then(|| room.begin_try())
        })
    }

    /// Records that no engine had capacity, and hands the turn on.
    pub(crate) fn record_unfit(&self) {
        self.with_room(|room| {
            room.line.record_unfit(self.ticket);
            room.failed_at = Some(Instant::now());
            // A smaller request is tried soon after.
            room.hinted |= room.line.next() != Some(self.ticket);
            room.wake_next();
        });
    }

    /// Lets the next request try at once: this one was placed, or learned that no engine is left.
    pub(crate) fn hand_on(&self) {
        self.with_room(|room| room.failed_at = None);
    }

    /// Leaves the line, placed at an engine.
    pub(crate) fn leave_placed(self) {
        self.hand_on();
        self.leave(Departure::Placed);
    }

    fn leave(&self, why: Departure) {
        let now = self.room.clock.now();
        self.with_room(|room| {
            if room.wakers.remove(&self.ticket).is_some() {
                room.line.leave(now, self.ticket, why);
                self.room.waiting.fetch_sub(1, Ordering::Relaxed);
                room.wake_next();
            }
        });
    }

    fn with_room<T>(&self, action: impl FnOnce(&mut Room) -> T) -> T {
        let mut rooms = lock(&self.room.rooms);
        action(rooms.entry(self.key.clone()).or_default())
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        self.leave(Departure::Withdrawn);
    }
}
