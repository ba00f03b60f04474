//! Decides after each round of copying a run's memory whether the run is stopped for the last round.
//!
//! Load pattern: the copies of several runs queue on the links of two engines, and a run that is stopped waits for all
//! copies ahead of its last part. Its caller sees that wait as a gap.
//!
//! A round copies only what is new, so it takes milliseconds once the first round is done. If it takes longer, the links
//! are in use by others, and the run continues until a round is short.

use std::time::Duration;

use crate::copy_type;

/// The fraction of the gap limit that a round may take before the run is stopped for the next one, which takes about as
/// long. The rest of the limit is for the event before and for the restart at the target.
const MAX_ROUND_SHARE: f64 = 0.2;

/// Rounds after which a move is abandoned: its links are in use by others for seconds.
const MAX_ROUNDS: u32 = 8;

copy_type! {
    /// What follows a round.
    pub enum NextRound {
        /// Copies what is new while the run continues.
        Copy,
        /// Stops the run and copies the rest.
        Stop,
        /// Abandons the move.
        Abandon,
    }
}

/// Decides what follows after `rounds` rounds, of which the last one `took` this long.
pub fn next_round(rounds: u32, took: Duration, gap_limit: Duration) -> NextRound {
    match took <= gap_limit.mul_f64(MAX_ROUND_SHARE) {
        true => NextRound::Stop,
        false if rounds < MAX_ROUNDS => NextRound::Copy,
        false => NextRound::Abandon,
    }
}
