//! The engine's cache of prompt prefixes, and its events, which come late and with gaps.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::backend::CacheEvent;

/// The most events in one answer.
pub const MAX_EVENTS: usize = 1_000;

// Older events are dropped; a reader that far behind sees a gap.
const KEPT_EVENTS: usize = 20_000;

#[derive(Debug)]
struct Published {
    due: Instant,
    event: CacheEvent,
}

/// A cache of blocks with the least recently used one dropped first.
#[derive(Debug)]
pub struct PrefixCache {
    // The last use of each block; at most `capacity` of them.
    used: HashMap<u64, u64>,
    // The blocks by their last use; the same pairs as in `used`.
    by_use: BTreeMap<u64, u64>,
    capacity: usize,
    // Grows with each use.
    tick: u64,
    sequence: u64,
    // Sequences and due times grow from front to back.
    events: VecDeque<Published>,
    lag: Duration,
    // The part of events that are lost, from 0 to 1.
    gaps: f64,
    rng: fastrand::Rng,
}

impl PrefixCache {
    /// An empty cache for `capacity` blocks.
    pub fn new(capacity: usize, lag: Duration, gaps: f64, seed: u64) -> Self {
        PrefixCache {
            used: HashMap::new(),
            by_use: BTreeMap::new(),
            capacity,
            tick: 0,
            sequence: 0,
            events: VecDeque::new(),
            lag,
            gaps,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Uses a prompt's blocks, shortest prefix first, and stores those that are not there yet.
    /// Returns how many of them, from the first on, were there.
    pub fn touch(&mut self, digests: &[u64], now: Instant) -> usize {
        let hits = digests
            .iter()
            .take_while(|digest| self.used.contains_key(digest))
            .count();
        // The longest first, so that a prefix is never dropped before what continues it.
        for &digest in digests.iter().rev() {
            self.tick += 1;
            self.by_use.insert(self.tick, digest);
            match self.used.insert(digest, self.tick) {
                Some(earlier) => drop(self.by_use.remove(&earlier)),
                None => self.publish(digest, true, now),
            }
        }
        while self.used.len() > self.capacity {
            self.drop_oldest(now);
        }
        hits
    }

    /// The events after `sequence` that are due.
    pub fn events(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        let start = self
            .events
            .partition_point(|published| published.event.sequence <= sequence);
        self.events
            .iter()
            .skip(start)
            .take_while(|published| published.due <= now)
            .take(MAX_EVENTS)
            .map(|published| published.event.clone())
            .collect()
    }

    fn drop_oldest(&mut self, now: Instant) {
        if let Some((_, digest)) = self.by_use.pop_first() {
            self.used.remove(&digest);
            self.publish(digest, false, now);
        }
    }

    fn publish(&mut self, prefix: u64, stored: bool, now: Instant) {
        self.sequence += 1;
        if self.rng.f64() < self.gaps {
            return;
        }
        self.events.push_back(Published {
            due: now + self.lag,
            event: CacheEvent {
                sequence: self.sequence,
                prefix,
                stored,
            },
        });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
