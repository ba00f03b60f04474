//! Progress timeouts: how long to wait for a stream's next event before moving it to another engine.
//!
//! Load pattern: an engine reports itself healthy, but some of its requests hang, before their first event
//! or later. Without a timeout the caller waits until its own, seconds after the objective, although other
//! engines could have served the request.
//!
//! A hanging request can only be recognized by its lack of progress. Progress is judged against what the
//! engine's load explains: prompts that are prefilled before the first event, and a prompt that is
//! prefilled again after its run was preempted. So an overloaded engine is not mistaken for a hanging one;
//! a second send would only add to the overload.

use std::time::Duration;

/// The share of the objective that may pass without a first event. Half of the objective is left for a
/// second send, which can then still be in time.
const FIRST_EVENT_SHARE: f64 = 0.5;

/// The factor by which the wait that the load explains may be exceeded: reports are about 100 ms old, and
/// the engine prefills in chunks between the tokens of other requests.
const PREFILL_FACTOR: f64 = 2.0;

/// The timeout between events, as a multiple of the longest gap that callers do not notice. A preempted run
/// is back after four such gaps, and a move to another engine takes one.
const GAPS_UNTIL_TIMEOUT: u32 = 6;

/// The shortest timeout between events, for routes that configure no gap.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(800);

/// The timeout for the first event on a route with this objective, at an engine whose queued prompts take
/// `prefill` to read.
pub fn first_event(objective: Duration, prefill: Duration) -> Duration {
    objective.mul_f64(FIRST_EVENT_SHARE) + prefill.mul_f64(PREFILL_FACTOR)
}

/// The timeout for the next event on a route whose callers do not notice gaps of up to `gap`.
pub fn next_event(gap: Duration, prefill: Duration) -> Duration {
    (gap * GAPS_UNTIL_TIMEOUT).max(MIN_GAP_TIMEOUT) + prefill.mul_f64(PREFILL_FACTOR)
}
