//! Which backend servers are leaving, as one entry knows it.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::ids::Name;
use crate::routing::ServerKey;
use crate::server_incarnations::StandingStatements;
use crate::server_leaving::Leaving;
use crate::server_leaving::LeavingReport;
use crate::server_leaving::LeavingSource;
use crate::site::ServerRecord;
use crate::time::Time;

/// How long other entries are told that a server is leaving, counted from its statement. Several rounds of messages
/// fit in, each of which reaches a sample of the entries.
const REPORT_PERIOD: Duration = Duration::from_secs(4);

/// The most servers that one message names, so that it fits into a datagram along with its other content.
const MAX_REPORTS: usize = 16;

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

    /// The reports to other entries of servers that are leaving, the latest first. Servers with a live scout are left
    /// out, since it tells all entries that use them.
    pub fn leaving_reports(&self, now: Time) -> Vec<LeavingReport> {
        let leaving = self.ids.iter().filter_map(|(id, key)| {
            let leaving = self.servers[*key].leaving?;
            let is_stated = matches!(leaving.source, LeavingSource::Answer | LeavingSource::Entry);
            let age = now.since(leaving.since);
            let is_due = is_stated && age < REPORT_PERIOD && !self.has_live_scout(now, *key);
            is_due.then(|| LeavingReport {
                server: id.clone(),
                born: self.servers[*key].record.born,
                age: age.as_millis() as u32,
            })
        });
        let mut reports: Vec<LeavingReport> = leaving.collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Applies another entry's reports of servers that are leaving. Returns those that this entry did not know to be.
    pub fn apply_leaving_reports(&mut self, now: Time, reports: &[LeavingReport]) -> Vec<Name> {
        let new = reports.iter().filter(|report| {
            let since = now.before(Duration::from_millis(u64::from(report.age)));
            let listed = self.ids.get(&report.server);
            let listed = listed.filter(|key| self.servers[**key].record.born == report.born);
            if let Some(key) = listed.copied() {
                return self.record_leaving(since, key, LeavingSource::Entry);
            }
            let statements = StandingStatements {
                leaving: Some(Leaving {
                    since,
                    source: LeavingSource::Entry,
                }),
                ..StandingStatements::default()
            };
            self.incarnations
                .keep_statements(now, &report.server, report.born, statements);
            false
        });
        new.map(|report| report.server.clone()).collect()
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
