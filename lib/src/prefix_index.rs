//! Tracks which servers hold which prompt prefixes in their caches.
//!
//! Load pattern: many requests share a long prefix, such as a firm's instructions. Without an index,
//! each server processes the same prefix again, which delays the first token.
//!
//! Cache events of engines arrive late and with gaps, so the index is only a hint: a wrong entry costs
//! one prefill. A gap clears the server's whole index, since the missing events may be evictions. The
//! prefix of a request counts as stored as soon as the request is sent, which covers the delay of the
//! events.
//!
//! The index is bounded by [`MAX_PREFIXES`] for each server, [`MAX_HOLDERS`] for each prefix, and
//! [`PREFIX_TTL`].

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SecondaryMap;

use crate::backend::CacheEvent;
use crate::routing::ServerKey;
use crate::time::Time;

/// The maximum number of prefixes tracked for each server. An engine's cache holds a few hundred
/// prefixes of a thousand tokens. With 24 bytes each and 600 servers in an entry's subsets, this takes
/// less than 8 MB.
pub const MAX_PREFIXES: usize = 512;

/// The maximum number of servers tracked for each prefix: as many as are worth comparing for one
/// request.
pub const MAX_HOLDERS: usize = 4;

/// A prefix expires when it has been neither stored nor used for this long: an engine under load has
/// reused its memory by then.
pub const PREFIX_TTL: Duration = Duration::from_secs(300);

/// The prefixes that one server is assumed to hold.
#[derive(Debug, Default)]
struct ServerPrefixes {
    // The sequence number of the last event. `None` until the first event.
    last_sequence: Option<u64>,
    // When each prefix was last stored or used.
    prefixes: HashMap<u64, Time>,
    // In order of insertion. Entries of prefixes that were removed or used since are skipped.
    insertion_order: VecDeque<(u64, Time)>,
}

/// The prefixes that the servers of an entry's subsets are assumed to hold.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    servers: SecondaryMap<ServerKey, ServerPrefixes>,
    // Each list has at most `MAX_HOLDERS` servers and is never empty.
    holders: HashMap<u64, Vec<ServerKey>>,
    gaps: u64,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        PrefixIndex::default()
    }

    /// Applies a cache event. An event with an old sequence number is ignored; a gap clears the server's
    /// index.
    pub fn apply_event(&mut self, now: Time, server: ServerKey, event: &CacheEvent) {
        let Some(entry) = self.servers.entry(server) else {
            return;
        };
        let known = entry.or_default();
        let last = known.last_sequence;
        if last.is_some_and(|last| event.sequence <= last) {
            return;
        }
        known.last_sequence = Some(event.sequence);
        if last.is_some_and(|last| event.sequence != last + 1) {
            self.gaps += 1;
            self.clear_server(server);
        }
        if event.stored {
            self.insert(now, server, event.prefix);
        } else {
            self.remove_prefix(server, event.prefix);
        }
    }

    /// Records that a request with this prefix is sent to the server, which will then hold the prefix.
    pub fn record_request(&mut self, now: Time, server: ServerKey, prefix: u64) {
        if prefix != 0 {
            self.insert(now, server, prefix);
        }
    }

    /// Returns the servers that are assumed to hold the prefix.
    pub fn holders(&self, prefix: u64) -> &[ServerKey] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }

    /// Returns whether the server is assumed to hold the prefix.
    pub fn holds(&self, now: Time, server: ServerKey, prefix: u64) -> bool {
        let known = self.servers.get(server);
        let last_used = known.and_then(|h| h.prefixes.get(&prefix));
        last_used.is_some_and(|at| now.since(*at) < PREFIX_TTL)
    }

    /// Removes a server that left or was restarted.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.clear_server(server);
        self.servers.remove(server);
    }

    /// Returns the number of gaps detected in the events.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns the number of prefixes tracked for all servers together.
    pub fn len(&self) -> usize {
        self.servers.values().map(|h| h.prefixes.len()).sum()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, now: Time, server: ServerKey, prefix: u64) {
        let Some(entry) = self.servers.entry(server) else {
            return;
        };
        let known = entry.or_default();
        known.prefixes.insert(prefix, now);
        known.insertion_order.push_back((prefix, now));
        let evicted = known.evict();
        for prefix in evicted {
            self.remove_holder(server, prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        if !holders.contains(&server) {
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(server);
        }
    }

    fn remove_prefix(&mut self, server: ServerKey, prefix: u64) {
        if let Some(known) = self.servers.get_mut(server) {
            known.prefixes.remove(&prefix);
        }
        self.remove_holder(server, prefix);
    }

    fn clear_server(&mut self, server: ServerKey) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.insertion_order.clear();
        let prefixes = std::mem::take(&mut known.prefixes);
        for prefix in prefixes.into_keys() {
            self.remove_holder(server, prefix);
        }
    }

    fn remove_holder(&mut self, server: ServerKey, prefix: u64) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.retain(|key| *key != server);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}

impl ServerPrefixes {
    /// Evicts the oldest prefixes beyond the bounds and returns them.
    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.prefixes.len() > MAX_PREFIXES || self.insertion_order.len() > 4 * MAX_PREFIXES {
            let Some((prefix, last_used)) = self.insertion_order.pop_front() else {
                break;
            };
            if self.prefixes.get(&prefix) == Some(&last_used) {
                self.prefixes.remove(&prefix);
                evicted.push(prefix);
            }
        }
        evicted
    }
}
