//! Selects the subset of servers that one entry sends to, for each service and model, and the server
//! order for keyed calls.
//!
//! Load pattern: hundreds of entries in front of a thousand replicas. Without subsetting, each entry
//! would hold a connection to each replica and compare all of them for every request. Subsets are
//! computed by rendezvous hashing with the entry's name: they need no coordination, and a server that
//! leaves changes only the subsets that contained it.

use std::collections::HashMap;

use crate::ids::Name;
use crate::rendezvous::mix;
use crate::routing::ServerKey;

/// The number of slots that keys are hashed to. The server order is computed once for each slot. With
/// this many slots, the shares of a plain service's servers differ by a few per cent at most.
const HASH_SLOTS: u64 = 1024;

/// The length of a slot's server order. When none of these servers is usable, a keyed call is routed
/// by load.
const MAX_KEYED_ORDER: usize = 8;

/// The properties of a server that a pool depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolMember<'a> {
    pub(crate) key: ServerKey,
    pub(crate) hash: u64,
    pub(crate) region: &'a Name,
    pub(crate) ready: bool,
}

/// The subset of servers in one remote region.
#[derive(Debug)]
pub(crate) struct RegionPool {
    pub(crate) region: Name,
    // Contains only ready servers.
    pub(crate) servers: Vec<ServerKey>,
}

/// The servers that serve one model of a service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) local: Vec<ServerKey>,
    pub(crate) remote: Vec<RegionPool>,
    // Every member that is not gone, with its hash. Members that are not ready are included, since the
    // keyed order must not change with readiness.
    members: Vec<(ServerKey, u64)>,
    keyed_orders: HashMap<u64, Vec<ServerKey>>,
}

/// Parameters of an entry's subsets: the hash of its name, its region and the subset sizes.
#[derive(Debug)]
pub(crate) struct SubsetRule {
    pub(crate) entry_hash: u64,
    pub(crate) region: Name,
    pub(crate) local_size: usize,
    pub(crate) remote_size: usize,
}

impl Pool {
    pub(crate) fn new(rule: &SubsetRule, members: &[PoolMember<'_>]) -> Self {
        let mut regions: HashMap<&Name, Vec<(u64, ServerKey)>> = HashMap::new();
        for member in members.iter().filter(|m| m.ready) {
            let score = mix(member.hash ^ rule.entry_hash);
            let region = regions.entry(member.region).or_default();
            region.push((score, member.key));
        }
        let mut pool = Pool {
            members: members.iter().map(|m| (m.key, m.hash)).collect(),
            ..Pool::default()
        };
        for (region, ranked) in regions {
            if *region == rule.region {
                pool.local = top_ranked(ranked, rule.local_size);
            } else {
                pool.remote.push(RegionPool {
                    region: region.clone(),
                    servers: top_ranked(ranked, rule.remote_size),
                });
            }
        }
        // The iteration order of the map is random, but a choice must be reproducible.
        pool.remote.sort_by(|a, b| a.region.cmp(&b.region));
        pool
    }

    /// Returns the servers for a key in order of preference. The order is the same at every entry.
    pub(crate) fn keyed_order(&mut self, affinity: u64) -> &[ServerKey] {
        let slot = mix(affinity) % HASH_SLOTS;
        let members = &self.members;
        self.keyed_orders
            .entry(slot)
            .or_insert_with(|| rank_for_slot(members, slot))
    }

    /// Returns whether the server belongs to this entry's subsets.
    pub(crate) fn contains(&self, server: ServerKey) -> bool {
        let mut remote = self.remote.iter();
        self.local.contains(&server) || remote.any(|r| r.servers.contains(&server))
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.members.iter().map(|(key, _)| *key)
    }
}

fn rank_for_slot(members: &[(ServerKey, u64)], slot: u64) -> Vec<ServerKey> {
    let salt = mix(slot + 1);
    let ranked = members.iter().map(|(key, hash)| (mix(hash ^ salt), *key));
    top_ranked(ranked.collect(), MAX_KEYED_ORDER)
}

fn top_ranked(mut ranked: Vec<(u64, ServerKey)>, count: usize) -> Vec<ServerKey> {
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, key)| key).collect()
}
