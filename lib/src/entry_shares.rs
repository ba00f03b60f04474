//! This entry's share of what all entries together may send to one backend server.
//!
//! Load pattern: a server takes a number of requests from all entries together, and the entries may not hear each
//! other, or have lost their peers a moment ago, so that none can count what the others send.
//!
//! So shares follow from the entries that this one has ever heard of, dead ones included. Where there is less than
//! one request for each, rendezvous hashing draws the entries that may send, so that all agree without a message.

use std::net::SocketAddr;

use crate::rendezvous::hash_address;
use crate::rendezvous::mix;

/// The entries that share.
#[derive(Clone, Debug, Default)]
pub struct EntryShares {
    // Hashes of this entry's address and of all others' that are known; `None` until the others are known.
    entries: Option<Entries>,
}

#[derive(Clone, Debug)]
struct Entries {
    own: u64,
    others: Vec<u64>,
}

impl EntryShares {
    /// All entries that are known, whether they are alive or not.
    pub fn set_entries(&mut self, own: SocketAddr, others: impl IntoIterator<Item = SocketAddr>) {
        let others = others.into_iter().filter(|other| *other != own);
        self.entries = Some(Entries {
            own: hash_address(own),
            others: others.map(hash_address).collect(),
        });
    }

    /// The entries that share, this one among them; `None` until the others are known.
    pub fn count(&self) -> Option<usize> {
        let entries = self.entries.as_ref()?;
        Some(entries.others.len() + 1)
    }

    /// Whether this entry is one of the `places` that are drawn for the server.
    pub fn is_drawn(&self, server: SocketAddr, places: usize) -> bool {
        let Some(entries) = &self.entries else {
            return false;
        };
        let server = hash_address(server);
        let own = mix(entries.own ^ server);
        let before = entries.others.iter();
        let before = before.filter(|other| mix(**other ^ server) > own);
        before.count() < places
    }

    /// Whether this entry is drawn for the server in the `turn`. Each entry is, with this probability.
    pub fn is_in_turn(&self, server: SocketAddr, turn: u64, probability: f64) -> bool {
        let Some(entries) = &self.entries else {
            return false;
        };
        let drawn = mix(entries.own ^ hash_address(server) ^ mix(turn));
        (drawn as f64) < probability * u64::MAX as f64
    }
}
