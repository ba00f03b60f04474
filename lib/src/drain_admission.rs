//! Decides whether a relay that is being stopped still takes a request, and remembers how long requests take.
//!
//! Load pattern: the load balancer sends requests to a relay for some seconds after SIGTERM, and to the end of the grace
//! period where most relays of a zone are stopped together. Heads and bodies arrive slowly, so that requests become
//! complete at any point of the grace period, with service times up to their routes' time limits. A request that is
//! taken too late is cut by the end of the process, after it ran; one that is refused needlessly costs its caller one of
//! a few attempts.
//!
//! A request is taken if it is certain to have a final answer within what is left, because its own time limit ends
//! sooner, or if the slowest recent requests of its service, with headroom, would have. All others are refused before
//! they are sent to any server, so that their callers can go to another relay at once.

use std::time::Duration;

use crate::time::Time;

/// Time from the last answer that the relay makes itself to the platform's forced stop: what is open then gets a final
/// answer, which must be written before the process ends.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(700);

/// Time from the end of the process to the platform's forced stop, at least.
pub const STOP_MARGIN: Duration = Duration::from_millis(300);

/// The least time that a call is given. One that is retried in another region takes a quarter of a second, one that waits
/// for a full server longer.
const MIN_CALL_TIME: Duration = Duration::from_millis(600);

/// By how much a request may exceed the slowest recent one of its service. A request that must not be repeated is lost if
/// it does; one that may be repeated costs its caller an attempt.
const REPEATABLE_HEADROOM: f64 = 1.5;
const UNREPEATABLE_HEADROOM: f64 = 2.5;

/// By how much the time per token of a stream may exceed the longest recent one of its service.
const STREAM_HEADROOM: f64 = 1.2;

/// A stop is in its early phase while more than this fraction of the grace period is left.
const EARLY_FRACTION: f64 = 0.7;

/// Upper estimate of the time to the first event of a stream. Few wait longer.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(1_500);

/// Time per token of a stream before one was measured, and at least: a step of an engine with a typical batch. At most
/// four times that, so that callers that read slowly do not have all streams refused.
const TOKEN_TIME: Duration = Duration::from_millis(10);
const MAX_TOKEN_TIME: Duration = Duration::from_millis(40);

/// How long a slow request is remembered, at least; at most twice as long.
const MEMORY: Duration = Duration::from_secs(30);

/// What is known of the time that a request takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedTime {
    /// A call with one answer.
    Call {
        /// Whether it may run more than once.
        repeatable: bool,
        /// The slowest recent call of its service, if any is known.
        slowest: Option<Duration>,
    },
    /// A stream.
    Stream {
        /// With the expected output.
        expected: Duration,
        /// With the longest output that its caller allows.
        longest: Duration,
    },
}

/// A complete request that has arrived at a relay that is being stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LateRequest {
    /// The time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// What is left of it.
    pub left: Duration,
    /// What is left of the request's own time limit: the caller's or the route's.
    pub time_limit: Duration,
    /// What is known of the time that it takes.
    pub expected: ExpectedTime,
}

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LateRefusal {
    /// Hardly any request could be answered in what is left.
    TooLate,
    /// It may take longer than what is left.
    MayOutlast,
}

impl LateRefusal {
    /// The label of its counter.
    pub fn as_str(self) -> &'static str {
        match self {
            LateRefusal::TooLate => "draining_too_late",
            LateRefusal::MayOutlast => "draining_may_outlast",
        }
    }
}

impl LateRequest {
    /// Decides whether the request is taken.
    pub fn check(&self) -> Result<(), LateRefusal> {
        let (longest, available) = match self.expected {
            ExpectedTime::Call {
                repeatable,
                slowest,
            } => {
                let available = self.left.saturating_sub(ANSWER_MARGIN);
                (self.longest_call(repeatable, slowest), available)
            }
            ExpectedTime::Stream { expected, longest } => {
                // Few streams exceed their estimate by all the time that is left early in a stop. Later one that does
                // would be cut off.
                let early = self.left > self.grace.mul_f64(EARLY_FRACTION);
                let longest = if early { expected } else { longest };
                (longest, self.left.saturating_sub(STOP_MARGIN))
            }
        };
        if available < MIN_CALL_TIME {
            Err(LateRefusal::TooLate)
        } else if longest.min(self.time_limit) > available {
            Err(LateRefusal::MayOutlast)
        } else {
            Ok(())
        }
    }

    fn longest_call(&self, repeatable: bool, slowest: Option<Duration>) -> Duration {
        let headroom = match repeatable {
            true => REPEATABLE_HEADROOM,
            false => UNREPEATABLE_HEADROOM,
        };
        slowest.map_or(self.time_limit, |slowest| {
            slowest.mul_f64(headroom).max(MIN_CALL_TIME)
        })
    }
}

/// The time per token of a stream that took so long, for as many tokens as its caller allowed.
pub fn token_time(took: Duration, tokens: u32) -> Duration {
    took.saturating_sub(FIRST_EVENT_TIME) / tokens.max(1)
}

/// How long a stream of so many tokens may take, by the longest recent time per token of its service.
pub fn stream_time(slowest: Option<Duration>, tokens: u32) -> Duration {
    let slowest = slowest.unwrap_or_default().mul_f64(STREAM_HEADROOM);
    let token_time = slowest.clamp(TOKEN_TIME, MAX_TOKEN_TIME);
    FIRST_EVENT_TIME + token_time * tokens
}

/// The slowest recent request of a service, or the longest time per token of its streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowestRequest {
    // Of the present span of `MEMORY` and of the one before it.
    present: Option<Duration>,
    former: Option<Duration>,
    since: Time,
}

impl SlowestRequest {
    /// Records how long a request took.
    pub fn record(&mut self, now: Time, took: Duration) {
        self.advance(now);
        self.present = self.present.max(Some(took));
    }

    /// How long the slowest recent request took; `None` if there was none.
    pub fn longest(&mut self, now: Time) -> Option<Duration> {
        self.advance(now);
        self.present.max(self.former)
    }

    fn advance(&mut self, now: Time) {
        let passed = now.since(self.since);
        if passed < MEMORY {
            return;
        }
        self.former = self.present.filter(|_| passed < 2 * MEMORY);
        self.present = None;
        self.since = now;
    }
}
