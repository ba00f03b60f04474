//! Which backend servers are leaving, as one entry knows it.

use crate::fleet::Fleet;
use crate::ids::Name;
use crate::routing::ServerKey;
use crate::server_leaving::Leaving;
use crate::server_leaving::LeavingSource;
use crate::site::ServerRecord;
use crate::time::Time;

impl Fleet {
    /// Records that a server is leaving; returns whether that is new. It gets no new requests from then on.
    pub fn record_leaving(&mut self, now: Time, key: ServerKey, source: LeavingSource) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        server.set_leaving(now, source)
    }

    /// Records that the server with the identifier is leaving; returns whether that is new.
    pub fn record_leaving_id(&mut self, now: Time, id: &Name, source: LeavingSource) -> bool {
        let key = self.ids.get(id).copied();
        key.is_some_and(|key| self.record_leaving(now, key, source))
    }

    /// Since when the server is known to be leaving; `None` if it is not leaving.
    pub fn leaving_since(&self, key: ServerKey) -> Option<Time> {
        match self.servers.get(key) {
            Some(server) => server.leaving.map(|leaving| leaving.since),
            None => Some(Time::ZERO),
        }
    }

    /// Whether the server takes new requests.
    pub fn takes_work(&self, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_some_and(|server| server.takes_work())
    }

    /// The listed servers that are leaving.
    pub fn leaving_servers(&self) -> impl Iterator<Item = (&ServerRecord, Leaving)> {
        let listed = self.ids.values().map(|key| &self.servers[*key]);
        listed.filter_map(|server| Some((&server.record, server.leaving?)))
    }
}
