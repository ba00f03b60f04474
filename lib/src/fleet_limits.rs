//! The request rate limits that backend servers announce, as one entry knows them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet_server::Server;
use crate::ids::Name;
use crate::routing::ServerKey;
use crate::server_limit::LimitChange;
use crate::server_limit::LimitReport;
use crate::server_limit::RequestRate;
use crate::time::Time;

/// The most limits that one entry reports at once: they fit into a datagram along with its other content.
const MAX_REPORTS: usize = 24;

impl Fleet {
    /// Applies the limit in a response to a request that was sent at `sent`, or the absence of one.
    pub fn record_limit(
        &mut self,
        now: Time,
        key: ServerKey,
        sent: Time,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        self.servers
            .get_mut(key)?
            .limit
            .record_response(now, sent, limit)
    }

    /// The limit that the server announces.
    pub fn limit(&self, key: ServerKey) -> Option<RequestRate> {
        self.servers.get(key)?.limit.rate()
    }

    /// The number of listed servers with a limit.
    pub fn limited_server_count(&self) -> usize {
        let listed = self.servers.values().filter(|server| server.listed);
        listed
            .filter(|server| server.limit.rate().is_some())
            .count()
    }

    /// The addresses of listed servers of the service that have a limit or rest.
    pub fn limited_addresses<'a>(
        &'a self,
        now: Time,
        service: &'a Name,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let limited = self.servers.values().filter(move |server| {
            let is_limited = server.limit.rate().is_some() || server.rest.is_resting(now);
            is_limited && server.listed && server.record.service == *service
        });
        limited.map(|server| server.record.address)
    }

    /// Applies another entry's reports of limits. Returns the servers whose limits changed.
    pub fn apply_limit_reports(
        &mut self,
        now: Time,
        reports: &[LimitReport],
    ) -> Vec<(Name, LimitChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let Some(key) = self.ids.get(&report.server) else {
                continue;
            };
            if let Some(change) = self.servers[*key].limit.apply_report(now, report) {
                changes.push((report.server.clone(), change));
            }
        }
        changes
    }

    /// The reports of servers' limits to other entries, the latest first.
    pub fn limit_reports(&self, now: Time) -> Vec<LimitReport> {
        let listed = self.ids.iter();
        let reports = listed.filter_map(|(id, key)| self.servers[*key].limit.report(now, id));
        let mut reports: Vec<LimitReport> = reports.collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Whether this entry has used up its share of the server's limit.
    pub(crate) fn has_reached_limit(&self, now: Time, server: &Server) -> bool {
        self.limit_wait(now, server) != Some(Duration::ZERO)
    }

    /// How long until this entry has a share of the server's limit; `None` if it never has.
    pub(crate) fn limit_wait(&self, now: Time, server: &Server) -> Option<Duration> {
        if server.limit.rate().is_none() {
            return Some(Duration::ZERO);
        }
        let address = server.record.address;
        let kept = self.ledger.kept_fraction(now, &server.record.service);
        server.limit.wait(now, address, &self.entry_shares, kept)
    }
}
