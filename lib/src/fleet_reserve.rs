//! What the fleet knows of servers that may be spared for trials of suspects.

use std::collections::HashMap;

use crate::crash_mark::CrashId;
use crate::fingerprint::Fingerprint;
use crate::fleet::Fleet;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::server_reserve::ListedServer;
use crate::time::Time;

impl Fleet {
    /// The servers of each service that take work.
    pub fn listed_servers(&self, now: Time) -> HashMap<Fingerprint, Vec<ListedServer>> {
        let mut services: HashMap<&Name, Vec<ListedServer>> = HashMap::new();
        let servers = self.ids.values().map(|key| &self.servers[*key]);
        for server in servers.filter(|server| server.takes_work()) {
            let listed = services.entry(&server.record.service).or_default();
            listed.push(server.for_reserve(now));
        }
        let named = services.into_iter();
        named
            .map(|(service, listed)| (Fingerprint::of_service(service), listed))
            .collect()
    }
}

impl Server {
    fn for_reserve(&self, now: Time) -> ListedServer {
        ListedServer {
            crash: CrashId::of_server(&self.record.id, self.record.born),
            answered_at: self.answered_at,
            is_reachable: now >= self.backoff_until,
        }
    }
}
