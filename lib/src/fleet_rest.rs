//! The rests that backend servers asked this entry for, and the waits of requests that no server may get.

use std::time::Duration;

use crate::fleet::Exclusion;
use crate::fleet::Fleet;
use crate::fleet::PlacementRequest;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::routing::ServerKey;
use crate::server_load::ServerLoad;
use crate::site::ServiceSpec;
use crate::time::Time;

impl Fleet {
    /// Records that the server turned a request away and asks this entry for rest; returns whether it did not rest
    /// before. `load` is what the refusal states of its load. The request still counts as open.
    pub fn record_rest(
        &mut self,
        now: Time,
        key: ServerKey,
        rest: Duration,
        load: Option<ServerLoad>,
    ) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let open = server.open_requests.saturating_sub(1);
        let busy = load.map(|load| load.requests());
        let (service, slots) = (server.record.service.clone(), server.slots());
        let is_new = server.rest.record_request(now, rest);
        // The servers of a service are alike: what is too much for one would make the others ask for rest as well.
        for server in self.servers.values_mut() {
            if server.record.service == service {
                server
                    .busy_limit
                    .record_refusal(now, rest, open, busy, slots);
            }
        }
        is_new
    }

    /// Records that the server accepted a request that was sent at `sent`, which ends its trial after a rest.
    pub fn record_accepted(&mut self, key: ServerKey, sent: Time) {
        if let Some(server) = self.servers.get_mut(key) {
            server.rest.record_accepted(sent);
        }
    }

    /// Whether the server rests.
    pub fn is_resting(&self, now: Time, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| server.rest.is_resting(now))
    }

    /// The listed servers that rest, and how much longer.
    pub fn resting_servers(&self, now: Time) -> impl Iterator<Item = (&Name, Duration)> {
        let listed = self
            .ids
            .iter()
            .map(|(id, key)| (id, self.servers[*key].rest));
        let resting = listed.filter(move |(_, rest)| rest.is_resting(now));
        resting.map(move |(id, rest)| (id, rest.left(now)))
    }

    /// How long until this entry may send the request to one of the servers that are excluded only for a time that is
    /// known, and why that server is excluded.
    pub fn exclusion_wait(
        &self,
        now: Time,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> Option<(Exclusion, Duration)> {
        let waits = self.servers.iter().filter_map(|(key, server)| {
            if !request.matches(key, server) {
                return None;
            }
            let why = self.exclusion(now, server, request, spec)?;
            let timed = matches!(why, Exclusion::Resting | Exclusion::Limited);
            let wait = self.wait(now, server).filter(|_| timed)?;
            Some((why, wait))
        });
        waits.min_by_key(|(_, wait)| *wait)
    }

    fn wait(&self, now: Time, server: &Server) -> Option<Duration> {
        let limit_wait = self.limit_wait(now, server)?;
        Some(limit_wait.max(server.rest.wait(now)))
    }
}
