//! The `Retry-After` of a rejected request.
//!
//! Load pattern: all hosts lose power at once and are back within two seconds, and about a hundred callers
//! send requests in the meantime. Told to retry at once, they find no engine a second time, and most of
//! them try at most twice. Told the same time, they all retry together. Told too late a time, their first
//! event misses its objective although engines have been idle for a second.
//!
//! So the delay depends on why the request was rejected, and is drawn from a range that is at least as wide as
//! its shortest delay.

use std::time::Duration;

use crate::copy_type;

/// Shortest and longest delay for a full engine. It has room again when one of its runs ends, within some
/// hundred milliseconds.
const FULL: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(500));

/// Shortest and longest delay for unreachable engines. They are replaced, or announced again by their
/// scouts, within a second of their return. Objectives for the first event are 1.5 s and more, so that
/// even the last retry can be in time.
const UNREACHED: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1_400));

/// Jitter for callers rejected by a rate limit, in addition to the wait itself.
const LIMITED_JITTER: Duration = Duration::from_millis(200);

/// Jitter for callers rejected because all servers rest, in addition to a share of the wait: a server that has rested
/// accepts single requests at first.
const RESTING_JITTER: Duration = Duration::from_millis(300);

/// Callers heed a `Retry-After` of at most this fraction (one third) of their remaining time.
const HEEDED_DIVISOR: u32 = 3;

copy_type! {
    /// Why a request was rejected.
    pub enum RejectionCause {
        /// The chosen engine answered that it is full.
        Full,
        /// No engine could be reached.
        Unreached,
        /// This entry has used up its share of the servers' rate limits. Holds the time until the next
        /// request may be sent.
        Limited(Duration),
        /// All servers that may receive the request asked for rest. Holds the time until the first one's is over.
        Resting(Duration),
        /// No server may receive the request until an operator changes the rules.
        NotAllowed,
    }
}

/// How long a caller with `left` until its deadline should wait before it retries. `jitter` is a random
/// number from 0 to 1, drawn anew for each caller.
pub fn delay(cause: RejectionCause, left: Duration, jitter: f64) -> Duration {
    let jitter = jitter.clamp(0.0, 1.0);
    let (min, max) = match cause {
        RejectionCause::Full => FULL,
        RejectionCause::Unreached => UNREACHED,
        RejectionCause::Limited(wait) => (wait, wait * 2 + LIMITED_JITTER),
        // Callers that come back before the rest is over would be rejected again.
        RejectionCause::Resting(wait) => return wait + (wait / 2 + RESTING_JITTER).mul_f64(jitter),
        RejectionCause::NotAllowed => return left / HEEDED_DIVISOR,
    };
    let jittered = min + (max - min).mul_f64(jitter);
    jittered.min(left / HEEDED_DIVISOR)
}
