//! Address tenure: how long the engine's address can have belonged to one service only.
//!
//! Fault pattern: an engine crashes for good and its address goes to another service, while the scout beside it, which
//! knows the service from its settings alone, stays. The platform assigns an address again only after the former engine
//! has ended for some time. So incarnations that follow each other sooner than that belong to the same service, and a
//! longer silence means that the scout can no longer tell.

use std::time::Duration;

use crate::ids::Name;
use crate::time::Time;

/// Maximum number of incarnations that are named as predecessors, the latest ones.
const MAX_PREDECESSORS: usize = 4;

/// Tracks, for a scout, the incarnations that have followed each other at its engine's address.
#[derive(Debug)]
pub struct AddressTenure {
    // The time after its end in which an engine's address cannot be assigned to another service.
    reuse_after: Duration,
    // When the last poll that was answered was sent.
    answered_poll: Option<Time>,
    // Whether the engine has never been silent for `reuse_after` between two answers.
    unbroken: bool,
    // The identifiers since the last such silence, in order.
    names: Vec<Name>,
}

impl AddressTenure {
    /// The tenure of an address that the platform assigns again `reuse_after` the end of an engine.
    pub fn new(reuse_after: Duration) -> Self {
        AddressTenure {
            reuse_after,
            answered_poll: None,
            unbroken: true,
            names: Vec::new(),
        }
    }

    /// Records that the engine has answered a poll.
    pub fn record_answer(&mut self, sent_at: Time, received_at: Time) {
        let was_silent = self
            .answered_poll
            .is_some_and(|at| received_at.since(at) >= self.reuse_after);
        if was_silent {
            self.unbroken = false;
            self.names.clear();
        }
        self.answered_poll = Some(sent_at);
    }

    /// Records the identifier of the current incarnation.
    pub fn record_name(&mut self, id: &Name) {
        if self.names.last() == Some(id) {
            return;
        }
        if self.names.len() > MAX_PREDECESSORS {
            self.names.remove(0);
        }
        self.names.push(id.clone());
    }

    /// The incarnations that the current one has followed, each sooner than another service could have got the address.
    pub fn predecessors(&self) -> &[Name] {
        self.names.split_last().map_or(&[], |(_, before)| before)
    }

    /// Whether the address has belonged to the service of the scout's settings since the scout started, as far as the
    /// scout can tell.
    pub fn is_unbroken(&self) -> bool {
        self.unbroken
    }
}
