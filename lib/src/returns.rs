//! Which callers were turned away a moment ago, and since when they wait.
//!
//! Load pattern: under a burst of some seconds every second caller was there before. A caller that is back
//! within its objective has waited longer than a new one and can still be in time; one that is back too late
//! cannot, and served before the new ones it makes them late in turn. At 6 times the usual load a third of
//! what engines did went to callers that were late already.
//!
//! A caller comes back with another identifier and through another entry, so that requests are told by what
//! they ask: the entries of an availability zone tell each other the fingerprints of those that they turned
//! away, and when these were asked back. Several callers may ask the same at a time: one that comes at
//! another time than it was asked for counts as new, and each refusal is found once.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;
use crate::value_type;

/// How much sooner or later than asked a caller comes: clocks of hosts run alike, and a connection takes up
/// to a second where its first packet is lost.
const EARLY: Duration = Duration::from_millis(60);
const LATE: Duration = Duration::from_millis(1_000);

/// Refusals that are remembered: those of 15 s, for which callers stay away at most, at 270 a second.
const MOST: usize = 4_096;

/// Requests that are told of in one word: it fits into a datagram.
const MOST_TOLD: usize = 100;

value_type! {
    /// A request that was turned away.
    pub struct Return {
        /// What tells it from others.
        pub fingerprint: u64,
        /// Milliseconds since its caller first asked.
        pub waited: u32,
        /// Milliseconds until it is asked back.
        pub away: u32,
    }
}

/// A caller that was turned away.
#[derive(Clone, Copy, Debug)]
struct Away {
    // When it first asked, and when it is asked back.
    since: Time,
    due: Time,
}

/// The requests that were turned away lately.
#[derive(Debug, Default)]
pub struct Returns {
    away: HashMap<u64, Vec<Away>>,
    // In the order in which they were noted.
    order: VecDeque<u64>,
    // Those that others have not been told of.
    untold: Vec<(u64, Away)>,
}

impl Returns {
    /// Nobody was turned away.
    pub fn new() -> Self {
        Returns::default()
    }

    /// A caller that first asked `age` ago was turned away here, and asked back after `pause`.
    pub fn turned_away(&mut self, now: Time, fingerprint: u64, age: Duration, pause: Duration) {
        let away = Away {
            since: now.before(age),
            due: now + pause,
        };
        self.note(fingerprint, away);
        if self.untold.len() < MOST_TOLD {
            self.untold.push((fingerprint, away));
        }
    }

    /// Another entry has turned callers away.
    pub fn heard(&mut self, now: Time, returns: &[Return]) {
        for back in returns {
            let away = Away {
                since: now.before(Duration::from_millis(u64::from(back.waited))),
                due: now + Duration::from_millis(u64::from(back.away)),
            };
            self.note(back.fingerprint, away);
        }
    }

    /// How long ago the request's caller first asked, found once; zero for one that was not asked back now.
    pub fn take(&mut self, now: Time, fingerprint: u64) -> Duration {
        let Some(all) = self.away.get_mut(&fingerprint) else {
            return Duration::ZERO;
        };
        all.retain(|away| now < away.due + LATE);
        let place = all.iter().position(|away| now + EARLY >= away.due);
        let since = place.map(|place| all.remove(place).since);
        if all.is_empty() {
            self.away.remove(&fingerprint);
        }
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// What others are to be told of, once.
    pub fn take_untold(&mut self, now: Time) -> Vec<Return> {
        let untold = std::mem::take(&mut self.untold).into_iter();
        let told = untold.map(|(fingerprint, away)| Return {
            fingerprint,
            waited: now.since(away.since).as_millis() as u32,
            away: away.due.since(now).as_millis() as u32,
        });
        told.collect()
    }

    fn note(&mut self, fingerprint: u64, away: Away) {
        self.away.entry(fingerprint).or_default().push(away);
        self.order.push_back(fingerprint);
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.forget_one(oldest);
        }
    }

    /// Forgets the oldest refusal of a request, if it has not come back.
    fn forget_one(&mut self, fingerprint: u64) {
        let Some(all) = self.away.get_mut(&fingerprint) else {
            return;
        };
        all.remove(0);
        if all.is_empty() {
            self.away.remove(&fingerprint);
        }
    }
}
