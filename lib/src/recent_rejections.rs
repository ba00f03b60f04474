//! Recently rejected requests, by which retries are recognized and their waiting time is known.
//!
//! Load pattern: in a burst of some seconds, every second request is a retry. A caller that retries within
//! its objective has waited longer than a new one and can still be in time. One that retries too late
//! cannot, and served before new requests it makes them late in turn. At 6 times the usual load a third of
//! the engines' work went to requests that were already late.
//!
//! A retry has a new identifier and may arrive at another entry, so requests are recognized by a
//! fingerprint of their content: the entries of an availability zone send each other the fingerprints of
//! the requests that they rejected, with the times at which these are due to be retried. Several callers
//! may send the same request at a time. So a request that arrives at another time than the due time counts
//! as new, and each rejection matches only one request.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;
use crate::value_type;

/// How much sooner or later than its due time a retry may arrive. Host clocks run at nearly the same rate,
/// and connecting takes up to a second if the first packet is lost.
const MAX_EARLY: Duration = Duration::from_millis(60);
const MAX_LATE: Duration = Duration::from_millis(1_000);

/// Maximum number of rejections kept: 270 per second over 15 s, the longest time until a retry.
const CAPACITY: usize = 4_096;

/// Maximum number of rejections in one message, so that it fits into a datagram. Any more are not sent.
const MAX_PER_MESSAGE: usize = 100;

value_type! {
    /// A rejected request, as sent to other entries.
    pub struct RejectionNotice {
        /// Fingerprint of the request's content.
        pub fingerprint: u64,
        /// Milliseconds since the caller's first attempt.
        pub waited: u32,
        /// Milliseconds until the retry is due.
        pub due_in: u32,
    }
}

/// The times of a rejected request.
#[derive(Clone, Copy, Debug)]
struct Rejected {
    first_attempt: Time,
    // When the caller was told to retry.
    due: Time,
}

/// The recently rejected requests that this entry knows of, its own and those of other entries.
#[derive(Debug, Default)]
pub struct RecentRejections {
    by_fingerprint: HashMap<u64, Vec<Rejected>>,
    // Fingerprints in insertion order, for eviction.
    order: VecDeque<u64>,
    // Own rejections that have not been sent to other entries yet.
    unsent: Vec<(u64, Rejected)>,
}

impl RecentRejections {
    /// Creates an empty set.
    pub fn new() -> Self {
        RecentRejections::default()
    }

    /// Records a request that this entry rejected, `age` after its first attempt, and that is due to be retried
    /// after `delay`.
    pub fn record(&mut self, now: Time, fingerprint: u64, age: Duration, delay: Duration) {
        let rejected = Rejected {
            first_attempt: now.before(age),
            due: now + delay,
        };
        self.insert(fingerprint, rejected);
        if self.unsent.len() < MAX_PER_MESSAGE {
            self.unsent.push((fingerprint, rejected));
        }
    }

    /// Adds the rejections received from another entry.
    pub fn merge(&mut self, now: Time, received: &[RejectionNotice]) {
        for notice in received {
            let rejected = Rejected {
                first_attempt: now.before(Duration::from_millis(u64::from(notice.waited))),
                due: now + Duration::from_millis(u64::from(notice.due_in)),
            };
            self.insert(notice.fingerprint, rejected);
        }
    }

    /// The time since the first attempt of this request if it is a retry that is due now, and zero otherwise.
    /// Removes the rejection that it matches.
    pub fn take(&mut self, now: Time, fingerprint: u64) -> Duration {
        let Some(same) = self.by_fingerprint.get_mut(&fingerprint) else {
            return Duration::ZERO;
        };
        same.retain(|rejected| now < rejected.due + MAX_LATE);
        let index = same
            .iter()
            .position(|rejected| now + MAX_EARLY >= rejected.due);
        let first_attempt = index.map(|index| same.remove(index).first_attempt);
        if same.is_empty() {
            self.by_fingerprint.remove(&fingerprint);
        }
        first_attempt.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Removes and returns the rejections that have not been sent to other entries yet.
    pub fn take_unsent(&mut self, now: Time) -> Vec<RejectionNotice> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        let notices = unsent.map(|(fingerprint, rejected)| RejectionNotice {
            fingerprint,
            waited: now.since(rejected.first_attempt).as_millis() as u32,
            due_in: rejected.due.since(now).as_millis() as u32,
        });
        notices.collect()
    }

    fn insert(&mut self, fingerprint: u64, rejected: Rejected) {
        self.by_fingerprint
            .entry(fingerprint)
            .or_default()
            .push(rejected);
        self.order.push_back(fingerprint);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.evict_oldest(oldest);
        }
    }

    /// Removes the oldest rejection with this fingerprint, if there is one left.
    fn evict_oldest(&mut self, fingerprint: u64) {
        let Some(same) = self.by_fingerprint.get_mut(&fingerprint) else {
            return;
        };
        same.remove(0);
        if same.is_empty() {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}
