//! A request that is counted at a backend server.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::fleet::ExclusionCounts;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::RequestSent;
use cicada_lib::routing::ServerKey;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::server_load::ServerLoad;
use cicada_lib::site::ServerRecord;
use cicada_lib::time::Time;

use crate::relay::Relay;

/// The figures by which a server was chosen, for the logs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChoiceBasis {
    // Tokens of the server's memory that counted as in use.
    pub(crate) used_tokens: u64,
    // Age in milliseconds of the report behind `used_tokens`, if there is one.
    pub(crate) report_age_ms: Option<u64>,
    // Expected time to prefill all prompts that the server has, including this request's.
    pub(crate) prefill_backlog: Duration,
    // Servers of the relay's own region that were excluded, if the chosen one is in another region.
    pub(crate) exclusions: Option<ExclusionCounts>,
    // Request rate limit that the chosen server states, in requests per second.
    pub(crate) rate_limit: Option<f64>,
    // Number of scouts that were probed, and of those that answered.
    pub(crate) scouts_probed: usize,
    pub(crate) scouts_answered: usize,
}

/// A request that counts towards the load of a backend server until this guard is dropped.
pub(crate) struct PlacedRequest {
    relay: Arc<Relay>,
    pub(crate) key: ServerKey,
    pub(crate) record: ServerRecord,
    pub(crate) basis: ChoiceBasis,
    prompt: u64,
    tokens: u64,
    started: bool,
}

impl PlacedRequest {
    /// Wraps a request that the fleet already counts at the server.
    pub(crate) fn new(
        relay: &Arc<Relay>,
        key: ServerKey,
        record: ServerRecord,
        request: &PlacementRequest<'_>,
    ) -> Self {
        PlacedRequest {
            relay: relay.clone(),
            key,
            record,
            basis: ChoiceBasis::default(),
            prompt: request.prompt,
            tokens: request.tokens,
            started: false,
        }
    }

    /// Adds the figures by which the server was chosen.
    pub(crate) fn with_basis(self, basis: ChoiceBasis) -> Self {
        // Struct update syntax would move fields out of a type that implements `Drop`.
        let mut placed = self;
        placed.basis = basis;
        placed
    }

    /// Adds how many scouts were probed and how many answered.
    pub(crate) fn with_probe_counts(self, scouts_probed: usize, scouts_answered: usize) -> Self {
        let basis = ChoiceBasis {
            scouts_probed,
            scouts_answered,
            ..self.basis
        };
        self.with_basis(basis)
    }

    /// The message that announces the request to other processes.
    pub(crate) fn sent_message(&self, id: &Name) -> RequestSent {
        RequestSent {
            id: id.clone(),
            engine: self.record.address,
            prompt: self.prompt,
            tokens: self.tokens,
        }
    }

    /// Records that the first event arrived, which means that the prompt is prefilled.
    pub(crate) fn record_first_event(&mut self) {
        if !self.started {
            self.started = true;
            self.relay.fleet().record_prefill_end(self.key, self.prompt);
        }
    }

    /// Whether the request may still be sent: the server has neither begun to leave nor asked for rest.
    pub(crate) fn may_be_sent(&self) -> bool {
        let now = self.relay.now();
        let fleet = self.relay.fleet();
        fleet.takes_work(self.key) && !fleet.is_resting(now, self.key)
    }

    /// When the server began to leave, if it is leaving.
    pub(crate) fn leaving_since(&self) -> Option<Time> {
        self.relay.fleet().leaving_since(self.key)
    }

    /// Expected time until the engine has prefilled the prompts that it has.
    pub(crate) fn prefill_backlog(&self) -> Duration {
        let now = self.relay.now();
        self.relay.fleet().prefill_backlog(now, self.key)
    }

    /// Records that the server completed the request.
    pub(crate) fn record_success(&self) {
        let now = self.relay.now();
        self.relay.fleet().record_success(now, self.key);
        self.report_outcome(true);
    }

    /// Records that the request failed at the server; `hard` if the server was unreachable.
    pub(crate) fn record_failure(&self, hard: bool) {
        let now = self.relay.now();
        self.relay.fleet().record_failure(now, self.key, hard);
        self.report_outcome(false);
    }

    /// Reports to the scout that the request makes no progress. It stays at the server, since it may run nowhere else.
    pub(crate) fn report_stall(&self) {
        self.report_outcome(false);
    }

    fn report_outcome(&self, success: bool) {
        if self.tokens > 0 {
            self.relay.report_outcome(self.record.address, success);
        }
    }

    /// Records that the address belongs to another server than expected.
    pub(crate) fn record_mismatch(&self, other: &Name) {
        let now = self.relay.now();
        tracing::info!(server = %self.record.id, %other, address = %self.record.address, "fleet: another server is at the address");
        self.relay.fleet().record_mismatch(now, self.key, other);
    }

    /// The round-trip time to the server.
    pub(crate) fn round_trip(&self) -> Duration {
        let now = self.relay.now();
        self.relay.fleet().round_trip(now, &self.record.zone)
    }

    /// Records a plain server's response time. Ignored unless it states that no calls were waiting there, since it
    /// otherwise includes their queueing.
    pub(crate) fn record_response_time(&self, elapsed: Duration, load: Option<ServerLoad>) {
        if let Some(load) = load.filter(|load| load.waiting == 0) {
            let now = self.relay.now();
            let mut fleet = self.relay.fleet();
            fleet.record_work_time(now, self.key, elapsed, &load);
        }
    }

    /// Records the limit that an answer states, or that it states none. `sent` is when the request was sent.
    pub(crate) fn record_limit(&self, sent: Time, limit: Option<RequestRate>) {
        let server = (self.key, &self.record.id);
        self.relay.record_limit(server, sent, limit);
    }

    /// Records the load that an answer states.
    pub(crate) fn record_load(&self, load: Option<ServerLoad>) {
        if let Some(load) = load {
            let now = self.relay.now();
            self.relay.fleet().record_load(now, self.key, &load);
        }
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.record_first_event();
        self.relay.fleet().record_ended(self.key, self.tokens);
        if self.tokens > 0 {
            self.relay.wait_queues().record_freed(self.key);
        }
    }
}
