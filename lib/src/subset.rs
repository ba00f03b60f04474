//! The servers that one entry sends to, for each service and model, and the order for keyed calls.
//!
//! Load pattern: hundreds of entries before a thousand replicas. Without subsets each entry would hold
//! a connection to each replica and weigh each for every request. Subsets are drawn by rendezvous
//! hashing with the entry's name, so that they need no agreement, and a server that leaves changes
//! only the subsets that it was in.

use std::collections::HashMap;

use crate::ids::Name;
use crate::rendezvous::mix;
use crate::routing::ServerKey;

/// Keys are first mapped to this many slots, and each slot's order of servers is worked out once.
/// Enough that the servers of a plain service have equal parts within a few per cent.
const SLOTS: u64 = 1024;

/// Servers kept in order for each slot; beyond them a keyed call goes by load.
const ORDER: usize = 8;

/// A server as a pool sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member<'a> {
    pub(crate) key: ServerKey,
    pub(crate) hash: u64,
    pub(crate) region: &'a Name,
    pub(crate) ready: bool,
}

/// The subset within one region.
#[derive(Debug)]
pub(crate) struct RegionPool {
    pub(crate) region: Name,
    // Ready servers only.
    pub(crate) servers: Vec<ServerKey>,
}

/// The servers for one model of a service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) local: Vec<ServerKey>,
    pub(crate) remote: Vec<RegionPool>,
    // Every member that is not gone, with its hash: the keyed order must not change with readiness.
    members: Vec<(ServerKey, u64)>,
    orders: HashMap<u64, Vec<ServerKey>>,
}

/// Sizes and place of an entry's subsets.
#[derive(Debug)]
pub(crate) struct SubsetRule {
    pub(crate) entry: u64,
    pub(crate) region: Name,
    pub(crate) local: usize,
    pub(crate) remote: usize,
}

impl Pool {
    pub(crate) fn new(rule: &SubsetRule, members: &[Member<'_>]) -> Self {
        let mut regions: HashMap<&Name, Vec<(u64, ServerKey)>> = HashMap::new();
        for member in members.iter().filter(|m| m.ready) {
            let rank = mix(member.hash ^ rule.entry);
            let region = regions.entry(member.region).or_default();
            region.push((rank, member.key));
        }
        let mut pool = Pool {
            members: members.iter().map(|m| (m.key, m.hash)).collect(),
            ..Pool::default()
        };
        for (region, ranked) in regions {
            if *region == rule.region {
                pool.local = highest(ranked, rule.local);
            } else {
                pool.remote.push(RegionPool {
                    region: region.clone(),
                    servers: highest(ranked, rule.remote),
                });
            }
        }
        // The map's order differs from run to run; a choice must not.
        pool.remote.sort_by(|a, b| a.region.cmp(&b.region));
        pool
    }

    /// The servers for a key, first choice first. Every entry has the same order.
    pub(crate) fn order(&mut self, affinity: u64) -> &[ServerKey] {
        let slot = mix(affinity) % SLOTS;
        let members = &self.members;
        self.orders
            .entry(slot)
            .or_insert_with(|| rendezvous(members, slot))
    }

    /// Whether the server is among those that this entry sends to.
    pub(crate) fn holds(&self, server: ServerKey) -> bool {
        let mut remote = self.remote.iter();
        self.local.contains(&server) || remote.any(|r| r.servers.contains(&server))
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.members.iter().map(|(key, _)| *key)
    }
}

fn rendezvous(members: &[(ServerKey, u64)], slot: u64) -> Vec<ServerKey> {
    let salt = mix(slot + 1);
    let ranked = members.iter().map(|(key, hash)| (mix(hash ^ salt), *key));
    highest(ranked.collect(), ORDER)
}

fn highest(mut ranked: Vec<(u64, ServerKey)>, count: usize) -> Vec<ServerKey> {
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, key)| key).collect()
}
