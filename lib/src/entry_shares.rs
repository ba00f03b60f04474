//! The share of one entry process in what all entries together may send to a backend server.
//!
//! Load pattern: a server accepts a number of requests from all entries together. The entries may not
//! reach each other, or may have lost their peers a moment ago, so none can count what the others send.
//!
//! Shares are therefore computed from all entries that this one has ever heard of, dead ones included.
//! Where the limit is below one request per entry, rendezvous hashing selects the entries that may
//! send, so that all entries agree without exchanging messages.

use std::net::SocketAddr;

use crate::ids::Name;
use crate::rendezvous::hash_address;
use crate::rendezvous::hash_name;
use crate::rendezvous::mix;

/// The entries among which a server's limit is divided.
#[derive(Clone, Debug, Default)]
pub struct EntryShares {
    // Address hashes of this entry and of all others; `None` until the others are known.
    entries: Option<Entries>,
}

#[derive(Clone, Debug)]
struct Entries {
    own: u64,
    others: Vec<u64>,
    digest: u32,
}

impl EntryShares {
    /// Sets all known entries, whether they are alive or not.
    pub fn set_entries(&mut self, own: SocketAddr, others: impl IntoIterator<Item = SocketAddr>) {
        let others = others.into_iter().filter(|other| *other != own);
        let own = hash_address(own);
        let others: Vec<u64> = others.map(hash_address).collect();
        let digest = others.iter().fold(mix(own), |all, other| all ^ mix(*other));
        self.entries = Some(Entries {
            own,
            others,
            digest: digest as u32,
        });
    }

    /// The number of entries, including this one; `None` until the others are known.
    pub fn count(&self) -> Option<usize> {
        let entries = self.entries.as_ref()?;
        Some(entries.others.len() + 1)
    }

    /// A digest of all entries, this one included, which is the same at entries that know the same ones; `None` until the
    /// others are known.
    pub fn digest(&self) -> Option<u32> {
        Some(self.entries.as_ref()?.digest)
    }

    /// The entries among those given that are among the `count` entries selected for the server. As
    /// [`EntryShares::is_selected`], for other entries.
    pub(crate) fn selected_of(&self, server: SocketAddr, count: usize, of: &[u64]) -> Vec<bool> {
        let Some(entries) = &self.entries else {
            return vec![false; of.len()];
        };
        let key = hash_address(server);
        let all = entries.others.iter().chain([&entries.own]);
        let mut ranks: Vec<u64> = all.map(|entry| mix(entry ^ key)).collect();
        if count >= ranks.len() {
            return vec![true; of.len()];
        }
        let (_, threshold, _) = ranks.select_nth_unstable_by(count, |a, b| b.cmp(a));
        of.iter()
            .map(|entry| mix(entry ^ key) > *threshold)
            .collect()
    }

    /// Whether this entry is one of the `count` entries selected for the server by rendezvous
    /// hashing.
    pub fn is_selected(&self, server: SocketAddr, count: usize) -> bool {
        self.is_selected_by(hash_address(server), count)
    }

    /// This entry's part of a service's retry slack, zero until the others are known. An equal part of less than
    /// `least` would be of no use, so fewer entries then have a part of that size.
    pub fn slack_share(&self, service: &Name, slack: f64, least: f64) -> f64 {
        let Some(count) = self.count() else {
            return 0.0;
        };
        let sharing = ((slack / least) as usize).clamp(1, count);
        let has_share = sharing == count || self.is_selected_by(hash_name(service), sharing);
        match has_share {
            true => slack / sharing as f64,
            false => 0.0,
        }
    }

    fn is_selected_by(&self, key: u64, count: usize) -> bool {
        let Some(entries) = &self.entries else {
            return false;
        };
        if count > entries.others.len() {
            return true;
        }
        let own = mix(entries.own ^ key);
        let ahead = entries.others.iter();
        let ahead = ahead.filter(|other| mix(**other ^ key) > own);
        ahead.count() < count
    }

    /// Whether this entry is sampled for the server in this period. Each entry is sampled
    /// independently with the given probability.
    pub fn is_sampled(&self, server: SocketAddr, period: u64, probability: f64) -> bool {
        let Some(entries) = &self.entries else {
            return false;
        };
        let hash = mix(entries.own ^ hash_address(server) ^ mix(period));
        (hash as f64) < probability * u64::MAX as f64
    }
}
