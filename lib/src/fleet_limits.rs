//! The limits that backend servers name, as one entry knows them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::Exclusion;
use crate::fleet::Fleet;
use crate::fleet::Need;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::routing::ServerKey;
use crate::server_limit::LimitChange;
use crate::server_limit::LimitWord;
use crate::server_limit::RequestRate;
use crate::site::ServiceSpec;
use crate::time::Time;

/// Limits that one entry tells others at once: they fit into a datagram beside the rest.
const MOST_TOLD: usize = 24;

impl Fleet {
    /// An answer to a request that was sent at `sent` names the server's limit, or none.
    pub fn told_limit(
        &mut self,
        now: Time,
        key: ServerKey,
        sent: Time,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        self.servers.get_mut(key)?.limit.answered(now, sent, limit)
    }

    /// The limit that the server names.
    pub fn limit(&self, key: ServerKey) -> Option<RequestRate> {
        self.servers.get(key)?.limit.rate()
    }

    /// Listed servers that name a limit.
    pub fn limited_count(&self) -> usize {
        let listed = self.servers.values().filter(|server| server.listed);
        listed
            .filter(|server| server.limit.rate().is_some())
            .count()
    }

    /// The addresses of listed servers of the service that name a limit.
    pub fn limited_at<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = SocketAddr> + 'a {
        let limited = self.servers.values().filter(move |server| {
            let named = server.limit.rate().is_some();
            named && server.listed && server.record.service == *service
        });
        limited.map(|server| server.record.address)
    }

    /// Another entry tells of servers' limits. The servers whose limits have changed by that.
    pub fn hear_limits(&mut self, now: Time, words: &[LimitWord]) -> Vec<(Name, LimitChange)> {
        let mut changes = Vec::new();
        for word in words {
            let Some(key) = self.ids.get(&word.server) else {
                continue;
            };
            if let Some(change) = self.servers[*key].limit.heard(now, word) {
                changes.push((word.server.clone(), change));
            }
        }
        changes
    }

    /// What other entries are told of servers' limits, the latest first.
    pub fn limit_words(&self, now: Time) -> Vec<LimitWord> {
        let listed = self.ids.iter();
        let words = listed.filter_map(|(id, key)| self.servers[*key].limit.word(now, id));
        let mut words: Vec<LimitWord> = words.collect();
        words.sort_by_key(|word| word.age);
        words.truncate(MOST_TOLD);
        words
    }

    /// How long until this entry may send a request to one of the servers that only their limits keep it from.
    pub fn until_unlimited(
        &self,
        now: Time,
        need: &Need<'_>,
        spec: &ServiceSpec,
    ) -> Option<Duration> {
        let limited = self.servers.iter().filter(|(key, server)| {
            let limited = Some(Exclusion::Limited);
            need.asks_for(*key, server) && self.exclusion(now, server, need, spec) == limited
        });
        let waits = limited.filter_map(|(_, server)| self.limit_wait(now, server));
        waits.min()
    }

    /// Whether the server has got this entry's share of the limit that it names.
    pub(crate) fn is_at_limit(&self, now: Time, server: &Server) -> bool {
        self.limit_wait(now, server) != Some(Duration::ZERO)
    }

    fn limit_wait(&self, now: Time, server: &Server) -> Option<Duration> {
        let address = server.record.address;
        server.limit.wait(now, address, &self.entries)
    }
}
