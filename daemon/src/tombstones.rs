//! Attempts that must not run although their submit may still be under way.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use cicada_lib::ids::Attempt;
use cicada_lib::ids::RequestId;
use cicada_lib::time::Time;

/// How long a tombstone is kept: longer than a connection can hold a frame back. A link that has
/// heard nothing for its limit is closed, and with it go the frames on it; the limit is 2 minutes
/// at most.
const KEPT: Duration = Duration::from_secs(240);

/// The most tombstones. At 40 bytes each they stay under 4 MB.
const MOST: usize = 100_000;

/// The tombstones of one agent process. They end with the process, and so does every connection on
/// which a submit could still arrive.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    attempts: HashMap<RequestId, Attempt>,
    // In the order in which they were added; each request once or more often.
    order: VecDeque<Laid>,
    now: Time,
}

#[derive(Clone, Copy, Debug)]
struct Laid {
    request: RequestId,
    attempt: Attempt,
    at: Time,
}

impl Tombstones {
    /// No tombstones.
    pub(crate) fn new() -> Self {
        Tombstones::default()
    }

    /// Forbids this attempt and those before it.
    pub(crate) fn add(&mut self, request: RequestId, attempt: Attempt) {
        let held = self.attempts.entry(request).or_insert(attempt);
        *held = attempt.max(*held);
        self.order.push_back(Laid {
            request,
            attempt,
            at: self.now,
        });
        if self.order.len() > MOST {
            self.drop_oldest();
        }
    }

    /// Whether the attempt is forbidden.
    pub(crate) fn covers(&self, request: RequestId, attempt: Attempt) -> bool {
        self.attempts
            .get(&request)
            .is_some_and(|forbidden| attempt <= *forbidden)
    }

    /// Forgets what is older than a late submit can be.
    pub(crate) fn expire(&mut self, now: Time) {
        self.now = now;
        while self
            .order
            .front()
            .is_some_and(|laid| now.since(laid.at) > KEPT)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(laid) = self.order.pop_front() else {
            return;
        };
        if self.attempts.get(&laid.request) == Some(&laid.attempt) {
            self.attempts.remove(&laid.request);
        }
    }
}
