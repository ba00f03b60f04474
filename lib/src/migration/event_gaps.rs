//! Observed time between two events of the runs at one engine.
//!
//! Load pattern: some engines of a service generate several times slower than others, and slow down further while they
//! prefill a prompt. Without an estimate for each engine, a run is placed where it exceeds the longest gap that its
//! route allows.

use crate::copy_type;

copy_type! {
    /// Time between two consecutive events of a run, in milliseconds. Zero if unknown.
    #[derive(Default)]
    pub struct GapEstimate {
        /// The mean.
        pub mean_ms: u16,
        /// The 99th percentile.
        pub p99_ms: u16,
    }

    /// Gaps of the runs at one engine.
    #[derive(Default)]
    pub struct EventGaps {
        /// While the engine prefills no prompt.
        pub alone: GapEstimate,
        /// While the engine prefills a prompt beside its runs.
        pub beside_prefill: GapEstimate,
    }
}
