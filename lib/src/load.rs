//! What an agent tells entries of its load, on replies and heartbeats.

use crate::value_type;

value_type! {
    /// An agent's load in a few bytes. Postcard packs the figures as variable-length integers.
    #[derive(Default)]
    pub struct LoadSummary {
        /// Microseconds that a short request arriving now is expected to wait before it starts.
        pub expected_wait: u64,
        /// Microseconds between two tokens of a stream, as measured lately; for a plain service the
        /// time that a call takes.
        pub token_gap: u64,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub queued: u32,
        /// Tokens of memory not yet spoken for.
        pub free_tokens: u64,
        /// Tokens of memory in all; zero for a plain service.
        pub capacity_tokens: u64,
        /// Displaced generations since the agent started.
        pub preemptions: u64,
        /// Whether new work is refused since the process or its backend server leaves.
        pub draining: bool,
        /// Whether the backend server answers.
        pub reachable: bool,
    }
}
