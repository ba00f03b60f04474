//! Request rate limits that backend servers state: learned from answers and other relays, passed on, logged and
//! counted.

use std::net::SocketAddr;

use cicada_lib::ids::Name;
use cicada_lib::routing::ServerKey;
use cicada_lib::server_limit::LimitChange;
use cicada_lib::server_limit::LimitReport;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::time::Time;

use crate::relay::Relay;

impl Relay {
    /// Records the limit that a server's answer states, or that it states none. `sent` is when the request was sent.
    pub(crate) fn record_limit(
        &self,
        (key, server): (ServerKey, &Name),
        sent: Time,
        limit: Option<RequestRate>,
    ) {
        let change = self.fleet().record_limit(self.now(), key, sent, limit);
        let Some(change) = change else {
            return;
        };
        self.log_limit_change(server, change, None);
        // Other relays would otherwise learn of it only from an answer to a request of their own.
        if !matches!(change, LimitChange::Changed(_)) {
            self.hello_due.notify_one();
        }
    }

    /// The servers' limits as reported to other relays.
    pub(crate) fn limit_reports(&self) -> Vec<LimitReport> {
        self.fleet().limit_reports(self.now())
    }

    /// Applies the servers' limits that another relay reports.
    pub(crate) fn apply_limit_reports(&self, from: SocketAddr, words: &[LimitReport]) {
        let changes = self.fleet().apply_limit_reports(self.now(), words);
        for (server, change) in changes {
            self.log_limit_change(&server, change, Some(from));
        }
    }

    fn log_limit_change(&self, server: &Name, change: LimitChange, from: Option<SocketAddr>) {
        self.metrics()
            .set_limited_servers(self.fleet().limited_server_count());
        let from = from.map(tracing::field::display);
        match change {
            LimitChange::Named(rate) | LimitChange::Changed(rate) => {
                let limit = rate.per_second();
                tracing::info!(%server, limit, from, "fleet: a server names a limit");
            }
            LimitChange::Lifted => {
                tracing::info!(%server, from, "fleet: a server names no limit any more");
            }
        }
    }
}
