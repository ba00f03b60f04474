//! The queue of streams that wait at a relay until an engine has capacity for them.
//!
//! Load pattern: all engines are full for some seconds, and runs end at them all the time. A relay that rejects a stream
//! at once tells its caller to retry later, and the retry finds whatever capacity there is at that moment, however much
//! there was meanwhile. Streams whose first event may come later than that of the most pressing streams of their service
//! have time to wait for the next run that ends.
//!
//! The module decides who may wait, for how long, and whose turn it is:
//!
//! - **Bound on the wait.** The slack of the route's objective over the tightest objective of the service's streaming
//!   routes, less the time of the request's own prefill and the time since its caller's first attempt. Within the tightest
//!   objective an engine still begins the stream in time.
//! - **Bound on the length.** A request enters only if the rate at which waiting and returning requests were placed lately
//!   serves it within its bound, after those ahead of it.
//! - **Order.** More urgent kinds first, then returning callers, then workspaces that are not over their share, then
//!   arrival. A returning caller that can no longer be in time has no time left to wait and never enters.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::placement_rate::PlacementRate;
use crate::copy_type;
use crate::time::Time;

/// The least slack at which a stream waits. An engine ends a run within some hundred milliseconds, so that a shorter wait
/// is mostly in vain.
pub const MIN_SLACK: Duration = Duration::from_millis(500);

/// Maximum number of waiting requests in a queue: 2.5 s of waiting at a hundred placements per second, which is more than
/// a relay places.
const MAX_WAITING: usize = 256;

/// A request at most this large, as a fraction of the first one in the queue, may be tried after the first one did not
/// fit: an engine without memory for a large request often has memory for one of half its size.
const SMALLER_FRACTION: f64 = 0.5;

/// Returns how long a stream may wait for capacity; `None` if it is to be rejected at once. `tightest` is the tightest
/// objective of the service's streaming routes, and `age` the time since the caller's first attempt.
pub fn wait_limit(
    objective: Duration,
    tightest: Duration,
    own_prefill: Duration,
    age: Duration,
) -> Option<Duration> {
    let slack = objective.saturating_sub(tightest);
    let limit = slack.saturating_sub(own_prefill + age);
    (slack >= MIN_SLACK && !limit.is_zero()).then_some(limit)
}

/// A request that asks to wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitRequest {
    /// The number of kinds of request of the service that are more urgent.
    pub rank: u32,
    /// Whether its caller was rejected before and returns.
    pub returning: bool,
    /// Whether its workspace has recently used more than its share.
    pub over_share: bool,
    /// The tokens of memory that it is expected to hold at its end.
    pub tokens: u64,
    /// How long it may wait, see [`wait_limit`].
    pub limit: Duration,
}

copy_type! {
    /// Identifies a waiting request, and orders it among the others of its queue.
    pub struct Ticket {
        rank: u32,
        new: bool,
        over_share: bool,
        arrival: u64,
    }

    /// Why a waiting request leaves the queue before its wait is over.
    pub enum Departure {
        /// It was placed at an engine.
        Placed,
        /// Its caller is gone, or it is rejected for another reason.
        Withdrawn,
    }
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueFull {
    /// The number of waiting requests that would be served earlier.
    pub ahead: usize,
    /// After how long the queue is expected to be short enough for the request.
    pub shorter_in: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    entered: Time,
    until: Time,
    tokens: u64,
}

/// The streams that wait for capacity, of one service and the same allowed regions.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<Ticket, Waiting>,
    arrivals: u64,
    rate: PlacementRate,
    // The first request if it did not fit at its latest turn, so that the next turn is that of a smaller one.
    unfit: Option<Ticket>,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        WaitQueue::default()
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The expected placements per second of waiting requests.
    pub fn rate(&self) -> f64 {
        self.rate.per_second()
    }

    /// Whether a new request of this rank would overtake a waiting one of the same or a more urgent kind.
    pub fn is_ahead_of(&self, rank: u32) -> bool {
        let first = self.waiting.first_key_value();
        first.is_some_and(|(ticket, _)| ticket.rank <= rank)
    }

    /// Adds a request, if it is expected to be placed in time.
    pub fn enter(&mut self, now: Time, request: &WaitRequest) -> Result<Ticket, QueueFull> {
        self.rate.observe(now, !self.is_empty());
        let ticket = Ticket {
            rank: request.rank,
            new: !request.returning,
            over_share: request.over_share,
            arrival: self.arrivals,
        };
        let ahead = self.waiting.range(..ticket).count();
        let expected = Duration::from_secs_f64((ahead + 1) as f64 / self.rate.per_second());
        if expected > request.limit || self.len() >= MAX_WAITING {
            let shorter_in = expected.saturating_sub(request.limit);
            return Err(QueueFull { ahead, shorter_in });
        }
        self.arrivals += 1;
        let waiting = Waiting {
            entered: now,
            until: now + request.limit,
            tokens: request.tokens,
        };
        self.waiting.insert(ticket, waiting);
        Ok(ticket)
    }

    /// The request whose turn it is to be tried: the first one, or a smaller one once after the first did not fit.
    pub fn next(&self) -> Option<Ticket> {
        let (first, largest) = self.waiting.first_key_value()?;
        let small = largest.tokens as f64 * SMALLER_FRACTION;
        let mut others = self.waiting.iter().skip(1);
        let smaller = others.find(|(_, other)| other.tokens as f64 <= small);
        match smaller {
            Some((ticket, _)) if self.unfit == Some(*first) => Some(*ticket),
            _ => Some(*first),
        }
    }

    /// Records that no engine had capacity for the request at its turn.
    pub fn record_unfit(&mut self, ticket: Ticket) {
        let is_first = self.waiting.first_key_value().map(|(first, _)| *first) == Some(ticket);
        self.unfit = is_first.then_some(ticket);
    }

    /// Removes a request, and returns how long it waited; `None` if it is not in the queue.
    pub fn leave(&mut self, now: Time, ticket: Ticket, why: Departure) -> Option<Duration> {
        self.rate.observe(now, !self.is_empty());
        let waiting = self.waiting.remove(&ticket)?;
        if why == Departure::Placed {
            self.rate.record_placed();
        }
        Some(now.since(waiting.entered))
    }

    /// Removes and returns the requests that have waited as long as they may.
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        self.rate.observe(now, !self.is_empty());
        let expired = self.waiting.iter().filter(|(_, w)| w.until <= now);
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in &expired {
            self.waiting.remove(ticket);
        }
        expired
    }

    /// Records that the request of a returning caller was placed without waiting.
    pub fn record_returned(&mut self, now: Time) {
        self.rate.observe(now, !self.is_empty());
        self.rate.record_returned();
    }
}
