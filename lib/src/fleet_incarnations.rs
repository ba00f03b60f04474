//! Which incarnations of backend servers are there, as one entry knows it.

use crate::fleet::Fleet;
use crate::routing::ServerKey;
use crate::site::ServerRecord;

impl Fleet {
    /// When the server started, in milliseconds since 1970, by its entry or its scout's reports.
    pub fn start(&self, key: ServerKey) -> Option<u64> {
        let server = self.servers.get(key)?;
        let listed = Some(server.record.born).filter(|born| *born != 0);
        listed.or(server.reported_start)
    }

    /// Whether a later incarnation is listed at the server's address, or under its identifier.
    pub fn is_replaced(&self, record: &ServerRecord) -> bool {
        let is_later = |key: &ServerKey| {
            let other = &self.servers[*key];
            other.listed && record.born != 0 && other.record.born > record.born
        };
        let at_address = self.addresses.get(&record.address);
        let mut at_address = at_address.into_iter().flatten();
        self.ids.get(&record.id).is_some_and(is_later) || at_address.any(is_later)
    }
}
