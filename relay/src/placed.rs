//! A request's place at a backend server.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::fleet::ExclusionCounts;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_words::SentWord;
use cicada_lib::routing::ServerKey;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::site::ServerRecord;
use cicada_lib::time::Time;

use crate::relay::Relay;

/// What a server was chosen by, for the logs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Basis {
    // Tokens of its memory that were taken to be in use.
    pub(crate) used: u64,
    // Milliseconds since the report on which that rests, if it rests on one.
    pub(crate) age: Option<u64>,
    // How long the server was to read at the choice, this request's prompt among it.
    pub(crate) reading: Duration,
    // Servers of this region that were left out, where the chosen one stands in another region.
    pub(crate) left_out: Option<ExclusionCounts>,
    // The limit that the chosen server names, in requests a second.
    pub(crate) limit: Option<f64>,
    // Scouts that were asked, and that answered.
    pub(crate) asked: usize,
    pub(crate) answered: usize,
}

/// A request's place at a backend server, counted until it is dropped.
pub(crate) struct Placed {
    relay: Arc<Relay>,
    pub(crate) key: ServerKey,
    pub(crate) record: ServerRecord,
    pub(crate) basis: Basis,
    prompt: u64,
    tokens: u64,
    begun: bool,
}

impl Placed {
    /// The place of a request that the fleet has been told of.
    pub(crate) fn new(
        relay: &Arc<Relay>,
        key: ServerKey,
        record: ServerRecord,
        need: &PlacementRequest<'_>,
    ) -> Self {
        Placed {
            relay: relay.clone(),
            key,
            record,
            basis: Basis::default(),
            prompt: need.prompt,
            tokens: need.tokens,
            begun: false,
        }
    }

    /// The same place, with what the server was chosen by.
    pub(crate) fn with_basis(self, basis: Basis) -> Self {
        // A guard's fields cannot be moved out of it.
        let mut placed = self;
        placed.basis = basis;
        placed
    }

    /// The same place, with how many scouts were asked for it and have answered.
    pub(crate) fn with_asked(self, asked: usize, answered: usize) -> Self {
        let basis = Basis {
            asked,
            answered,
            ..self.basis
        };
        self.with_basis(basis)
    }

    /// What others are told of it.
    pub(crate) fn word(&self, id: &Name) -> SentWord {
        SentWord {
            id: id.clone(),
            engine: self.record.address,
            prompt: self.prompt,
            tokens: self.tokens,
        }
    }

    /// The first event came.
    pub(crate) fn began(&mut self) {
        if !self.begun {
            self.begun = true;
            self.relay.fleet().record_prefill_end(self.key, self.prompt);
        }
    }

    /// Since when the server is leaving.
    pub(crate) fn leaving(&self) -> Option<Time> {
        self.relay.fleet().leaving_since(self.key)
    }

    /// How long the engine takes to read the prompts that it has.
    pub(crate) fn reading(&self) -> Duration {
        let now = self.relay.now();
        self.relay.fleet().prefill_backlog(now, self.key)
    }

    pub(crate) fn went_well(&self) {
        self.relay.fleet().record_success(self.key);
        self.tell_ended(true);
    }

    /// The server failed the request; `hard` where it could not be reached.
    pub(crate) fn failed(&self, hard: bool) {
        let now = self.relay.now();
        self.relay.fleet().record_failure(now, self.key, hard);
        self.tell_ended(false);
    }

    /// A request makes no progress, and is waited for all the same: it may run nowhere else.
    pub(crate) fn is_slow(&self) {
        self.tell_ended(false);
    }

    fn tell_ended(&self, well: bool) {
        if self.tokens > 0 {
            self.relay.tell_ended(self.record.address, well);
        }
    }

    /// Another server than the expected one is at the address.
    pub(crate) fn record_mismatch(&self, other: &Name) {
        let now = self.relay.now();
        tracing::info!(server = %self.record.id, %other, address = %self.record.address, "fleet: another server is at the address");
        self.relay.fleet().record_mismatch(now, self.key, other);
    }

    /// The round trip to the server.
    pub(crate) fn round_trip(&self) -> Duration {
        let now = self.relay.now();
        self.relay.fleet().round_trip(now, &self.record.zone)
    }

    /// A plain server has answered after so long, with so many calls waiting there.
    pub(crate) fn worked(&self, took: Duration, waiting: u32) {
        if waiting == 0 {
            let now = self.relay.now();
            self.relay.fleet().record_work_time(now, self.key, took);
        }
    }

    /// An answer to a request that was sent at `sent` names the server's limit, or none.
    pub(crate) fn record_limit(&self, sent: Time, limit: Option<RequestRate>) {
        let server = (self.key, &self.record.id);
        self.relay.record_limit(server, sent, limit);
    }

    pub(crate) fn record_queue(&self, load: Option<(u32, u32)>) {
        if let Some((running, waiting)) = load {
            self.relay.fleet().record_queue(self.key, running, waiting);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.began();
        self.relay.fleet().record_ended(self.key, self.tokens);
    }
}
