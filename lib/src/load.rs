//! The load report that an agent sends to entries with replies and heartbeats.

use crate::value_type;
use crate::wire_figures;
use crate::wire_figures::CheckFigures;
use crate::wire_figures::MAX_REQUESTS;
use crate::wire_figures::at_most;

value_type! {
    /// A compact summary of an agent's load. Postcard encodes the numbers as variable-length integers.
    #[derive(Default)]
    pub struct LoadSummary {
        /// The expected queueing delay of a short request that arrives now, in microseconds.
        pub expected_wait: u64,
        /// The recently measured time between two tokens of a stream, in microseconds; for a plain
        /// service, the duration of a call.
        pub token_gap: u64,
        /// The number of running requests.
        pub running: u32,
        /// The number of queued requests.
        pub queued: u32,
        /// Unreserved memory, in tokens.
        pub free_tokens: u64,
        /// Total memory, in tokens; zero for a plain service.
        pub capacity_tokens: u64,
        /// The number of preempted generations since the agent started.
        pub preemptions: u64,
        /// Whether new work is refused because the process or its backend server is draining.
        pub draining: bool,
        /// Whether the backend server is reachable.
        pub reachable: bool,
    }
}

/// The longest reported time in microseconds. An agent that makes no progress states waits of many years, and its report
/// still tells whether it is draining.
const MAX_MICROS: u64 = 1 << 53;

impl CheckFigures for LoadSummary {
    fn check_figures(&self) -> wire_figures::Result<()> {
        at_most("running", self.running, MAX_REQUESTS)?;
        at_most("queued", self.queued, MAX_REQUESTS)?;
        at_most("expected wait", self.expected_wait, MAX_MICROS)?;
        at_most("token gap", self.token_gap, MAX_MICROS)
    }
}
