//! Takes in what backend servers state about themselves in answers: to calls, streams, and runs that were moved or
//! resumed.

use std::net::SocketAddr;

use cicada_lib::dialect::AnswerHead;
use cicada_lib::ids::Name;
use cicada_lib::server_leaving::LeavingReport;
use cicada_lib::server_leaving::LeavingSource;
use cicada_lib::server_statement::ServerStatement;
use cicada_lib::server_statement::Speaker;
use cicada_lib::time::Time;

use crate::placed_request::PlacedRequest;
use crate::relay::Relay;

impl Relay {
    /// Records what the `speaker` states about itself in the head of an answer to a request that was sent at `sent`.
    pub(crate) fn record_statement(
        &self,
        placed: &PlacedRequest,
        speaker: &Speaker,
        head: &AnswerHead,
        sent: Time,
    ) {
        let statement = &head.statement;
        let now = self.now();
        let (server, started_leaving) = match speaker {
            Speaker::Unknown => return,
            Speaker::Other(id) => {
                let leaving = statement.leaving
                    && self
                        .fleet()
                        .record_leaving_id(now, id, LeavingSource::Answer);
                (id, leaving)
            }
            Speaker::Expected => {
                placed.record_load(statement.load);
                if statement.limit.is_some() || head.signed {
                    placed.record_limit(sent, statement.limit);
                }
                self.record_rest(placed, statement);
                if !head.refused && statement.rest.is_none() {
                    self.fleet().record_accepted(placed.key, sent);
                }
                let leaving = statement.leaving
                    && self
                        .fleet()
                        .record_leaving(now, placed.key, LeavingSource::Answer);
                (&placed.record.id, leaving)
            }
        };
        if started_leaving {
            self.handle_leaving(server, LeavingSource::Answer, None);
            // Other relays would otherwise learn of it only from an answer to a request of their own.
            self.hello_due.notify_one();
        }
    }

    /// Records the rest that a server asked for in a refusal. Only this relay rests it: others may not have been asked.
    fn record_rest(&self, placed: &PlacedRequest, statement: &ServerStatement) {
        let Some(rest) = statement.rest else {
            return;
        };
        self.metrics().count_rest();
        let (now, load) = (self.now(), statement.load);
        if self.fleet().record_rest(now, placed.key, rest, load) {
            let (server, rest) = (placed.record.id.as_str(), rest.as_millis() as u64);
            tracing::info!(server, rest, "fleet: a server asks for rest");
        }
    }

    /// Servers that are leaving, as reported to other relays.
    pub(crate) fn leaving_reports(&self) -> Vec<LeavingReport> {
        self.fleet().leaving_reports(self.now())
    }

    /// Applies another relay's reports of servers that are leaving.
    pub(crate) fn apply_leaving_reports(&self, from: SocketAddr, reports: &[LeavingReport]) {
        let new = self.fleet().apply_leaving_reports(self.now(), reports);
        for server in new {
            self.handle_leaving(&server, LeavingSource::Entry, Some(from));
        }
    }

    fn handle_leaving(&self, server: &Name, source: LeavingSource, from: Option<SocketAddr>) {
        let source = source.as_str();
        let from = from.map(tracing::field::display);
        tracing::info!(%server, source, from, "fleet: a server leaves");
        self.metrics().count_leaving(source);
        self.notify_leaving();
    }
}
