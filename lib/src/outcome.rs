//! The four possible outcomes of a request, and the reasons for them.
//!
//! Callers act on the outcome: a booking is repeated after "not run", and must not be after "unknown". So
//! a [`NotRun`] can only be created by constructors that name the proof that the request did not run, and
//! nothing turns an [`Outcome::Unknown`] into one.

use std::time::Duration;

use crate::copy_type;
use crate::value_type;

copy_type! {
    /// Why a request was rejected before it ran. Each reason has its own counter.
    pub enum RefusalReason {
        /// The expected wait in the queue exceeds the bound.
        QueueFull,
        /// The workspace has used up its share of the queue.
        WorkspaceFull,
        /// The workspace exceeds its rate limit.
        RateLimited,
        /// The workspace or caller exceeds its limit on open requests.
        ConcurrencyLimited,
        /// The request could not complete before its deadline.
        DeadlineUnreachable,
        /// The process or backend server is draining.
        Draining,
        /// No backend server for the service can be reached.
        NoBackend,
        /// The request needs the platform's store, which does not answer.
        StoreUnavailable,
        /// A later attempt of the same request has taken its place.
        Superseded,
        /// The backend server answered that it did not run the request.
        BackendRefused,
        /// The connection failed before the request left this process.
        ConnectFailed,
        /// The retry budget of the service is exhausted.
        RetryBudget,
        /// The caller disconnected before the request started.
        Cancelled,
        /// The process has not applied a configuration yet.
        NoConfiguration,
        /// The backend server does not hold the service, model or adapter.
        NotPlaced,
        /// The service has no capacity at all.
        ServiceUnknown,
        /// Requests like this one have crashed backend servers before.
        Suspected,
    }

    /// Why a request that ran has failed.
    pub enum FailureReason {
        /// The backend server was lost while it ran the request, after tokens had been delivered.
        BackendLost,
        /// The backend server answered with an error of its own.
        BackendError,
        /// The deadline passed while the request ran.
        DeadlineExceeded,
        /// Requests like this one crashed several backend servers; it is not retried.
        KillsBackends,
        /// The caller disconnected while the request ran.
        Cancelled,
        /// The process was stopped without waiting for its requests.
        ForcedStop,
        /// The caller resumed the stream after its tokens had been dropped.
        ReplayExpired,
    }

    /// Why it is unknown whether the request ran.
    pub enum UnknownReason {
        /// The connection was lost after the request had been sent.
        AnswerLost,
        /// A claim for the same key exists, and its run left no result.
        ClaimUnsettled,
        /// The store's answer to the claim was lost, and reading it back failed as well.
        StoreAnswerLost,
    }

    /// Why a request is retried. Each reason has its own counter.
    pub enum RetryReason {
        /// The chosen agent rejected the request, with proof that it did not run.
        AgentRefused,
        /// The agent could not be reached.
        ConnectFailed,
        /// The agent was lost before the first token of a generation.
        LostBeforeFirstToken,
        /// A connection went silent; the stream continues over a new one.
        ConnectionSilent,
        /// The agent is draining.
        Draining,
    }
}

/// A reason that has a code for counters and for the error codes that callers see.
pub trait Reason: Copy + 'static {
    /// Every variant, in the order of declaration.
    const ALL: &'static [Self];

    /// The name of the variant in snake case.
    fn code(self) -> &'static str;
}

macro_rules! reasons {
    ($name:ident { $($variant:ident => $code:literal),+ $(,)? }) => {
        impl Reason for $name {
            const ALL: &'static [Self] = &[$($name::$variant),+];

            fn code(self) -> &'static str {
                match self {
                    $($name::$variant => $code),+
                }
            }
        }
    };
}

reasons!(RefusalReason {
    QueueFull => "queue_full",
    WorkspaceFull => "workspace_full",
    RateLimited => "rate_limited",
    ConcurrencyLimited => "concurrency_limited",
    DeadlineUnreachable => "deadline_unreachable",
    Draining => "draining",
    NoBackend => "no_backend",
    StoreUnavailable => "store_unavailable",
    Superseded => "superseded",
    BackendRefused => "backend_refused",
    ConnectFailed => "connect_failed",
    RetryBudget => "retry_budget",
    Cancelled => "cancelled",
    NoConfiguration => "no_configuration",
    NotPlaced => "not_placed",
    ServiceUnknown => "service_unknown",
    Suspected => "suspected",
});

reasons!(FailureReason {
    BackendLost => "backend_lost",
    BackendError => "backend_error",
    DeadlineExceeded => "deadline_exceeded",
    KillsBackends => "kills_backends",
    Cancelled => "cancelled",
    ForcedStop => "forced_stop",
    ReplayExpired => "replay_expired",
});

reasons!(UnknownReason {
    AnswerLost => "answer_lost",
    ClaimUnsettled => "claim_unsettled",
    StoreAnswerLost => "store_answer_lost",
});

reasons!(RetryReason {
    AgentRefused => "agent_refused",
    ConnectFailed => "connect_failed",
    LostBeforeFirstToken => "lost_before_first_token",
    ConnectionSilent => "connection_silent",
    Draining => "draining",
});

value_type! {
    /// Proof that a request did not run, and when to retry it.
    pub struct NotRun {
        reason: RefusalReason,
        // Milliseconds; `None` if a retry would have the same outcome.
        retry_after: Option<u64>,
    }

    /// Statistics of a completed request.
    #[derive(Default)]
    pub struct Completion {
        /// Tokens of the prompt; zero for a plain call.
        pub prompt_tokens: u32,
        /// Tokens delivered; zero for a plain call.
        pub output_tokens: u32,
        /// Whether the token limit ended the generation.
        pub truncated: bool,
    }

    /// The outcome of a request.
    pub enum Outcome {
        /// It completed.
        Completed(Completion),
        /// It did not run.
        NotRun(NotRun),
        /// It ran, and failed.
        Failed(FailureReason),
        /// It may have run.
        Unknown(UnknownReason),
    }
}

impl NotRun {
    /// Rejected by this process before it passed the request on.
    pub fn before_dispatch(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        NotRun {
            reason,
            retry_after: retry_after.map(whole_millis),
        }
    }

    /// Removed from the agent's own queue, the only place from which it could have been started.
    pub fn left_queue(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        NotRun::before_dispatch(reason, retry_after)
    }

    /// Rejected by the backend server, with an answer that says that the request did not run.
    pub fn refused_by_backend(retry_after: Option<Duration>) -> Self {
        NotRun::before_dispatch(RefusalReason::BackendRefused, retry_after)
    }

    /// No byte of the request left this process.
    pub fn never_sent(reason: RefusalReason) -> Self {
        NotRun::before_dispatch(reason, Some(Duration::from_millis(RECONNECT_MS)))
    }

    /// Why the request was rejected.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// The time after which a retry is likely to be served.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after.map(Duration::from_millis)
    }
}

// A refused connection is most often caused by a restart, which takes about this long.
const RECONNECT_MS: u64 = 500;

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
