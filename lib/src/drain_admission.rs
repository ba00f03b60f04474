//! Decides whether a relay that is being stopped still takes a request, and remembers how long requests take.
//!
//! Load pattern: the load balancer sends requests to a relay for some seconds after SIGTERM, and to the end of the grace
//! period where most relays of a zone are stopped together. Heads and bodies arrive slowly, so that requests become
//! complete at any point of the grace period, with service times up to their routes' time limits. A request that is
//! taken too late is cut by the end of the process, after it ran; one that is refused needlessly costs its caller one of
//! a few attempts.
//!
//! A call is taken if it is certain to have a final answer within what is left, because its own time limit ends sooner, or
//! if the slowest recent calls of its service, with headroom, would have. A stream is taken by its expected output until
//! the load balancer has stopped sending requests. Later it is taken only if the longest output that its caller allows
//! fits, by what has been observed of its engine; nothing observed is no reason to take it. All others are refused before
//! they are sent to any server, so that their callers can go to another relay at once.

use std::time::Duration;

use crate::stream_timings::StreamEvidence;

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

/// By how much an early stream may exceed the observed or assumed times.
const EARLY_HEADROOM: f64 = 1.2;

/// By how much a late stream may exceed the observed wait for the first event, and the observed time after it. One that
/// is exceeded by the wait gets a final answer from the relay, one that is exceeded later is cut.
const LATE_WAIT_HEADROOM: f64 = 1.5;
const LATE_STREAMING_HEADROOM: f64 = 2.0;

/// Time from SIGTERM until the load balancer sends no more callers while other relays are in rotation: it polls readiness
/// once a second, and removes a relay after two negative answers. Until then a stop is in its early phase.
pub const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);

/// Assumed time to the first event of an early stream if none was observed.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(1_500);

/// Assumed time per token of an early stream if none was observed: a step of an engine with a typical batch.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// What is known of the time that a request takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedTime {
    /// A call with one answer.
    Call {
        /// Whether it may run more than once.
        repeatable: bool,
        /// The slowest recent call of its service, open ones included, if any is known.
        slowest: Option<Duration>,
    },
    /// A stream.
    Stream {
        /// With the expected output.
        expected: Duration,
        /// With the longest output that its caller allows; `None` if too little has been observed.
        longest: Option<Duration>,
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
            ExpectedTime::Stream { .. } => {
                let longest = self.stream_time().unwrap_or(self.time_limit);
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

    /// Whether the load balancer may still send requests.
    pub fn is_early(&self) -> bool {
        self.grace.saturating_sub(self.left) < DEREGISTRATION_DELAY
    }

    /// How long a stream is taken to last; `None` if that is not known.
    pub fn stream_time(&self) -> Option<Duration> {
        match self.expected {
            ExpectedTime::Call { .. } => None,
            ExpectedTime::Stream { expected, .. } if self.is_early() => Some(expected),
            ExpectedTime::Stream { longest, .. } => longest,
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

/// The events of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamLength {
    /// Expected output in tokens.
    pub expected: u32,
    /// The longest output in tokens that its caller allows.
    pub longest: u32,
    /// Tokens per event.
    pub event_tokens: u32,
}

impl StreamLength {
    /// How long the stream takes, by what has been observed.
    pub fn time(&self, evidence: &StreamEvidence) -> ExpectedTime {
        let first = evidence.first_event.map(|first| first.value);
        let gap = evidence.gap.map(|gap| gap.value);
        let assumed_gap = TOKEN_TIME * self.event_tokens;
        let expected = first.unwrap_or(FIRST_EVENT_TIME)
            + gap.unwrap_or(assumed_gap) * self.gaps(self.expected);
        let streaming = self.streaming_time(evidence);
        let longest = first.zip(streaming).map(|(first, streaming)| {
            first.mul_f64(LATE_WAIT_HEADROOM)
                + streaming.mul_f64(LATE_STREAMING_HEADROOM)
                + evidence.pause
        });
        ExpectedTime::Stream {
            expected: expected.mul_f64(EARLY_HEADROOM),
            longest,
        }
    }

    /// How long the longest output takes from its first event on, by what has been observed.
    pub fn streaming_time(&self, evidence: &StreamEvidence) -> Option<Duration> {
        match self.gaps(self.longest) {
            0 => Some(Duration::ZERO),
            gaps => evidence.gap.map(|gap| gap.value * gaps),
        }
    }

    fn gaps(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.event_tokens.max(1)).saturating_sub(1)
    }
}

/// How long the first event of a late stream may still take, if the rest takes as long as observed. A stream whose time
/// limit ends in time may wait for all of that.
pub fn first_event_limit(
    left: Duration,
    time_limit: Duration,
    streaming: Option<Duration>,
) -> Duration {
    let available = left.saturating_sub(STOP_MARGIN);
    match streaming {
        _ if time_limit <= available => time_limit,
        Some(streaming) => available.saturating_sub(streaming),
        None => Duration::ZERO,
    }
}
