//! When a stream that may go on in another run is given up at its engine.
//!
//! Load pattern: an engine is well by all that it reports, and some of its requests hang: before their
//! first event, or in the middle. Without a bound the caller waits until it gives up by itself, seconds
//! after its objective, though the others could have served it.
//!
//! An error is seen by itself; a hanging request is seen by its lack of progress alone. Progress is
//! judged against what the engine's load explains: prompts that are read before the first event, and a
//! prompt that is read again after its run was displaced. So a crowded engine is not taken for one that
//! hangs, where a second send would add to the crowd.

use std::time::Duration;

/// The part of the objective that may pass without a first event: a second send then still can be in
/// time, with half of the objective for it.
const FIRST_PART: f64 = 0.5;

/// Times that the explained wait may be exceeded: reports are old by some 100 ms, and the engine reads
/// in chunks between the tokens of others.
const EXPLAINED: f64 = 2.0;

/// Pauses that callers do not notice, and as many that pass before the stream is given up: a displaced
/// run is back after four, a move to another engine takes one.
const PAUSES: u32 = 6;

/// The shortest wait between events, for routes that name no pause.
const LEAST_PAUSE: Duration = Duration::from_millis(800);

/// How long the first event is awaited, on a route with this objective, at an engine whose unread prompts
/// take `reading`.
pub fn first_event(objective: Duration, reading: Duration) -> Duration {
    objective.mul_f64(FIRST_PART) + reading.mul_f64(EXPLAINED)
}

/// How long the next event is awaited, on a route whose callers do not notice pauses up to `gap`.
pub fn next_event(gap: Duration, reading: Duration) -> Duration {
    (gap * PAUSES).max(LEAST_PAUSE) + reading.mul_f64(EXPLAINED)
}
