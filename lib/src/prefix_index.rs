//! Which servers hold which prompt prefixes in their caches.
//!
//! Load pattern: many requests share a long head, such as a firm's instructions. Without an index each
//! server reads the same head again, and the first token waits for it.
//!
//! The engines' events come late and with gaps, so that the index is a hint and never more: a wrong
//! entry costs one reading of a prompt. A gap drops the server's whole index, since the events missing
//! may be the drops. A request that was sent to a server counts as stored there at once, which bridges
//! the lag of the events.
//!
//! Bounded: [`PREFIXES`] for each server, [`HOLDERS`] for each prefix, and an age.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::backend::CacheEvent;
use crate::routing::ServerKey;
use crate::time::Time;

/// Prefixes remembered for each server. An engine's cache holds some hundred heads of a thousand
/// tokens; at 24 bytes each and 600 servers in an entry's subsets this takes under 8 MB.
pub const PREFIXES: usize = 512;

/// Servers remembered for each prefix: as many as are worth comparing for one request.
pub const HOLDERS: usize = 4;

/// A prefix is forgotten when nothing has been heard of it for this long: an engine under load has
/// used its memory for something else by then.
pub const PREFIX_AGE: Duration = Duration::from_secs(300);

#[derive(Debug, Default)]
struct Held {
    // The last event's number. `None` after a drop, until the next event.
    sequence: Option<u64>,
    // When each prefix was last stored or used.
    prefixes: HashMap<u64, Time>,
    // In order of storing; entries that were dropped or used since are passed over.
    order: VecDeque<(u64, Time)>,
}

/// The prefixes held by the servers that an entry sends to.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    servers: SecondaryMap<ServerKey, Held>,
    // At most `HOLDERS` each; never empty.
    holders: HashMap<u64, Vec<ServerKey>>,
    gaps: u64,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new() -> Self {
        PrefixIndex::default()
    }

    /// Takes in an event. One with an old number is passed over; a gap drops the server's index.
    pub fn event(&mut self, now: Time, server: ServerKey, event: &CacheEvent) {
        let Some(entry) = self.servers.entry(server) else {
            return;
        };
        let held = entry.or_default();
        let last = held.sequence;
        if last.is_some_and(|last| event.sequence <= last) {
            return;
        }
        held.sequence = Some(event.sequence);
        if last.is_some_and(|last| event.sequence != last + 1) {
            self.gaps += 1;
            self.forget(server);
        }
        if event.stored {
            self.store(now, server, event.prefix);
        } else {
            self.drop_prefix(server, event.prefix);
        }
    }

    /// A request with this prefix goes to the server, which will hold it.
    pub fn sent(&mut self, now: Time, server: ServerKey, prefix: u64) {
        if prefix != 0 {
            self.store(now, server, prefix);
        }
    }

    /// The servers that are thought to hold the prefix.
    pub fn holders(&self, prefix: u64) -> &[ServerKey] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Whether the server is thought to hold the prefix.
    pub fn holds(&self, now: Time, server: ServerKey, prefix: u64) -> bool {
        let held = self.servers.get(server);
        let at = held.and_then(|h| h.prefixes.get(&prefix));
        at.is_some_and(|at| now.since(*at) < PREFIX_AGE)
    }

    /// The server left or was started anew.
    pub fn left(&mut self, server: ServerKey) {
        self.forget(server);
        self.servers.remove(server);
    }

    /// Gaps seen among events.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Prefixes remembered for all servers together.
    pub fn len(&self) -> usize {
        self.servers.values().map(|h| h.prefixes.len()).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn store(&mut self, now: Time, server: ServerKey, prefix: u64) {
        let Some(entry) = self.servers.entry(server) else {
            return;
        };
        let held = entry.or_default();
        held.prefixes.insert(prefix, now);
        held.order.push_back((prefix, now));
        let dropped = held.trim();
        for prefix in dropped {
            self.unlink(server, prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        if !holders.contains(&server) {
            if holders.len() == HOLDERS {
                holders.remove(0);
            }
            holders.push(server);
        }
    }

    fn drop_prefix(&mut self, server: ServerKey, prefix: u64) {
        if let Some(held) = self.servers.get_mut(server) {
            held.prefixes.remove(&prefix);
        }
        self.unlink(server, prefix);
    }

    fn forget(&mut self, server: ServerKey) {
        let Some(held) = self.servers.get_mut(server) else {
            return;
        };
        held.order.clear();
        let prefixes = std::mem::take(&mut held.prefixes);
        for prefix in prefixes.into_keys() {
            self.unlink(server, prefix);
        }
    }

    fn unlink(&mut self, server: ServerKey, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|key| *key != server);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}

impl Held {
    /// Takes out what is beyond the bounds, oldest first.
    fn trim(&mut self) -> Vec<u64> {
        let mut dropped = Vec::new();
        while self.prefixes.len() > PREFIXES || self.order.len() > 4 * PREFIXES {
            let Some((prefix, at)) = self.order.pop_front() else {
                break;
            };
            if self.prefixes.get(&prefix) == Some(&at) {
                self.prefixes.remove(&prefix);
                dropped.push(prefix);
            }
        }
        dropped
    }
}
