//! Carries one request from an entry to agents until it has its outcome.
//!
//! The rules that keep the promises stand here:
//! - A further attempt follows only on proof that the one before did not run, or, for a generation
//!   of which no token has been sent, on its loss.
//! - A stream goes on only with the same generation at the next index. What does not fit is dropped.
//! - A lost connection is no outcome: the agent is asked over a new one. Only an agent that answers
//!   "no trace" proves that nothing ran, and it holds a tombstone from then on.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::backend::Header;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::ids::Attempt;
use cicada_lib::ids::GenerationId;
use cicada_lib::ids::Name;
use cicada_lib::ids::RequestId;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::RetryReason;
use cicada_lib::outcome::UnknownReason;
use cicada_lib::routing::AttemptEnd;
use cicada_lib::routing::AttemptResult;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Time;
use cicada_lib::wire::StreamFrame;
use cicada_lib::wire::Work;

use crate::entry::Entry;
use crate::event_id::Position;
use crate::link::LinkStream;
use crate::link::Release;

/// A request that passed the filters.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The request.
    pub(crate) id: RequestId,
    /// The service.
    pub(crate) service: Name,
    /// The model; empty for a plain call.
    pub(crate) model: Name,
    /// Who is charged.
    pub(crate) workspace: Name,
    /// The caller's key for work that must run at most once; empty for none.
    pub(crate) key: String,
    /// The digest of the prompt's head; zero for none.
    pub(crate) prefix: u64,
    /// What tells a generation from others, worked out once: it covers the whole prompt.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// When the caller no longer wants the answer.
    pub(crate) deadline: Time,
    /// Whether running it twice does no harm.
    pub(crate) idempotent: bool,
    /// Most attempts.
    pub(crate) attempts: u32,
    /// What to do.
    pub(crate) work: Work,
}

/// What a caller is given next.
#[derive(Debug)]
pub(crate) enum Part {
    /// Tokens, in order, each once.
    Tokens(Vec<String>),
    /// A plain service's answer.
    Answer {
        /// The status code.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
        /// The body.
        body: Vec<u8>,
    },
    /// The outcome; nothing follows.
    End {
        /// What became of the request.
        outcome: Outcome,
        /// How often the generation was displaced.
        preemptions: u32,
    },
}

/// Time beyond the deadline in which the agent's own word on it may still come.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(1_500);

/// First and longest pause between two attempts to reach an agent again.
pub(crate) const REACH_PAUSES: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(800));

/// The most tokens that an estimate for routing counts: lengths are unknown, and limits far above
/// what is used would hide the difference between servers.
pub(crate) const EXPECTED_TOKENS: u32 = 256;

/// A request under way. Dropping it before the end leaves the stream to be resumed, or cancels it
/// where nobody could resume it.
pub(crate) struct Dispatch {
    pub(crate) entry: Arc<Entry>,
    pub(crate) request: Request,
    pub(crate) attempt: Attempt,
    // The server of the current attempt, until the router was told of its end.
    pub(crate) server: Option<ServerKey>,
    pub(crate) agent: Name,
    pub(crate) stream: Option<LinkStream>,
    pub(crate) incarnation: u64,
    pub(crate) tried: Vec<ServerKey>,
    pub(crate) generation: Option<GenerationId>,
    // The index of the next token; every one before it was given out.
    pub(crate) next: u32,
    pub(crate) handed: Time,
    pub(crate) started: Time,
    pub(crate) progress: Time,
    pub(crate) longest: Duration,
    pub(crate) release: Release,
    pub(crate) lost: Option<RetryReason>,
    // What became of an earlier attempt that was given up on and may have run. While there is one,
    // "not run" is never said, whatever becomes of later attempts.
    pub(crate) doubt: Option<Outcome>,
    pub(crate) ended: bool,
}

impl Dispatch {
    pub(crate) fn new(entry: Arc<Entry>, request: Request, release: Release) -> Self {
        let now = entry.clock().now();
        entry.metrics().open().inc();
        Dispatch {
            entry,
            request,
            attempt: Attempt(0),
            server: None,
            agent: Name::default(),
            stream: None,
            incarnation: 0,
            tried: Vec::new(),
            generation: None,
            next: 0,
            handed: now,
            started: now,
            progress: now,
            longest: Duration::ZERO,
            release,
            lost: None,
            doubt: None,
            ended: false,
        }
    }

    pub(crate) fn resume(entry: Arc<Entry>, request: Request, position: Position) -> Self {
        let mut dispatch = Dispatch::new(entry, request, Release::Detach);
        dispatch.attempt = position.attempt;
        dispatch.agent = position.agent;
        dispatch.generation = Some(position.generation);
        dispatch.next = position.next;
        dispatch
    }

    pub(crate) fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    pub(crate) fn request(&self) -> &Request {
        &self.request
    }

    pub(crate) fn position(&self) -> Option<Position> {
        Some(Position {
            request: self.request.id,
            attempt: self.attempt,
            agent: self.agent.clone(),
            generation: self.generation?,
            next: self.next,
        })
    }

    pub(crate) async fn next(&mut self) -> Part {
        let now = self.entry.clock().now();
        let limit = self.request.deadline.since(now) + DEADLINE_GRACE;
        match tokio::time::timeout(limit, self.advance()).await {
            Ok(part) => part,
            Err(_) => self.end(self.overdue(), 0),
        }
    }

    /// The next part for a caller that has had nothing yet. It gets the end if the process ends before.
    pub(crate) async fn next_or_end(&mut self) -> Part {
        let process = self.entry.process().clone();
        tokio::select! {
            biased;
            part = self.next() => part,
            () = process.ending() => self.end(self.ended_by_force(), 0),
        }
    }

    fn ended_by_force(&self) -> Outcome {
        match self.overdue() {
            Outcome::NotRun(_) => Outcome::NotRun(NotRun::never_sent(RefusalReason::Draining)),
            Outcome::Failed(_) => Outcome::Failed(FailureReason::ForcedStop),
            outcome => outcome,
        }
    }

    pub(crate) fn overdue(&self) -> Outcome {
        // A stream that was asked for again has a generation before it has a connection.
        let handed = self.stream.is_some() || self.lost.is_some() || self.generation.is_some();
        match (&self.request.work, handed) {
            (_, false) => Outcome::NotRun(NotRun::before_dispatch(
                RefusalReason::DeadlineUnreachable,
                None,
            )),
            (Work::Generate { .. }, true) => Outcome::Failed(FailureReason::DeadlineExceeded),
            (Work::Call(_), true) => Outcome::Unknown(UnknownReason::AnswerLost),
        }
    }

    pub(crate) async fn advance(&mut self) -> Part {
        loop {
            if self.stream.is_none()
                && let Err(outcome) = self.reach().await
            {
                return self.end(outcome, 0);
            }
            let Some(stream) = self.stream.as_mut() else {
                continue;
            };
            let frame = stream.recv().await;
            if let Some(part) = self.take(frame).await {
                return part;
            }
        }
    }

    pub(crate) async fn take(&mut self, frame: Option<StreamFrame>) -> Option<Part> {
        match frame {
            None => {
                self.stream = None;
                self.lost = Some(RetryReason::ConnectionSilent);
                self.entry.metrics().retried(RetryReason::ConnectionSilent);
                None
            }
            Some(StreamFrame::Accepted) => None,
            Some(StreamFrame::Tokens {
                generation,
                first,
                texts,
            }) => self.take_tokens(generation, first, texts),
            Some(StreamFrame::Answer {
                status,
                headers,
                body,
            }) => Some(Part::Answer {
                status,
                headers,
                body,
            }),
            Some(StreamFrame::NoTrace) => {
                // The agent answers, and its tombstone covers the lost attempt only.
                self.tried.pop();
                let refusal = NotRun::never_sent(RefusalReason::ConnectFailed);
                self.refused(RetryReason::ConnectFailed, refusal).await
            }
            Some(StreamFrame::End {
                outcome,
                preemptions,
            }) => self.take_end(outcome, preemptions).await,
        }
    }

    pub(crate) fn take_tokens(
        &mut self,
        generation: GenerationId,
        first: u32,
        mut texts: Vec<String>,
    ) -> Option<Part> {
        let known = *self.generation.get_or_insert(generation);
        let count = texts.len() as u32;
        // A late frame of an earlier connection may repeat tokens. One of another generation, or one
        // that leaves a gap, would break the stream: it is dropped, and the stream attached anew.
        if known != generation || first > self.next {
            self.entry.metrics().dropped();
            self.stream = None;
            self.lost = Some(RetryReason::ConnectionSilent);
            return None;
        }
        let known_tokens = (self.next - first).min(count);
        if let Some(stream) = self.stream.as_mut() {
            stream.taken(count);
        }
        texts.drain(..known_tokens as usize);
        if texts.is_empty() {
            self.entry.metrics().dropped();
            return None;
        }
        self.note_progress(first == 0);
        self.next += count - known_tokens;
        Some(Part::Tokens(texts))
    }

    pub(crate) fn note_progress(&mut self, first: bool) {
        let now = self.entry.clock().now();
        let gap = now.since(self.progress);
        self.longest = self.longest.max(gap);
        self.progress = now;
        if first {
            self.entry.metrics().first_token(gap);
            if let Some(server) = self.server {
                self.entry.first_token(server, now.since(self.handed));
            }
        } else {
            self.entry.metrics().token(gap);
        }
    }

    pub(crate) async fn take_end(&mut self, outcome: Outcome, preemptions: u32) -> Option<Part> {
        match outcome {
            Outcome::NotRun(refusal) if self.generation.is_none() => {
                let reason = match refusal.reason() {
                    RefusalReason::Draining => RetryReason::Draining,
                    _ => RetryReason::AgentRefused,
                };
                self.refused(reason, refusal).await
            }
            Outcome::Failed(FailureReason::BackendLost) if self.may_move() => {
                self.stream = None;
                self.leave(AttemptResult::Failed);
                self.doubt = Some(outcome.clone());
                let reason = RetryReason::LostBeforeFirstToken;
                match self.again(reason, outcome).await {
                    Ok(()) => None,
                    Err(outcome) => Some(self.end(outcome, preemptions)),
                }
            }
            Outcome::Unknown(_) if self.may_move() => {
                self.stream = None;
                self.leave(AttemptResult::Lost);
                self.doubt = Some(outcome.clone());
                match self.again(RetryReason::LostBeforeFirstToken, outcome).await {
                    Ok(()) => None,
                    Err(outcome) => Some(self.end(outcome, preemptions)),
                }
            }
            outcome => Some(self.end(outcome, preemptions)),
        }
    }

    pub(crate) async fn refused(&mut self, reason: RetryReason, refusal: NotRun) -> Option<Part> {
        self.stream = None;
        self.leave(AttemptResult::Refused);
        if !may_help(refusal.reason()) {
            return Some(self.end(Outcome::NotRun(refusal), 0));
        }
        match self.retry(reason, refusal).await {
            Ok(()) => None,
            Err(outcome) => Some(self.end(outcome, 0)),
        }
    }

    pub(crate) fn leave(&mut self, result: AttemptResult) {
        let Some(server) = self.server.take() else {
            return;
        };
        let duration = self.entry.clock().now().since(self.handed);
        let mut end = AttemptEnd::new(result, duration);
        end.tokens = self.next;
        end.first_token = self.generation.is_some();
        self.entry.finished(server, &end);
    }

    pub(crate) fn end(&mut self, outcome: Outcome, preemptions: u32) -> Part {
        let outcome = match (outcome, self.doubt.take()) {
            (Outcome::NotRun(_), Some(doubt)) => doubt,
            (outcome, _) => outcome,
        };
        self.ended = true;
        self.stream = None;
        self.leave(match &outcome {
            Outcome::Completed(_) => AttemptResult::Ok,
            Outcome::NotRun(_) => AttemptResult::Refused,
            Outcome::Failed(FailureReason::Cancelled) => AttemptResult::Cancelled,
            Outcome::Failed(_) => AttemptResult::Failed,
            // The agent itself said so, and can be reached: a loss was told when it was found.
            Outcome::Unknown(_) => AttemptResult::Failed,
        });
        let waited = self.entry.clock().now().since(self.progress);
        self.longest = self.longest.max(waited);
        self.entry.metrics().stalled(self.longest);
        self.entry.metrics().ended(&outcome);
        if self.next > 0 {
            self.entry
                .note_service(&self.request.workspace, &self.agent, self.next);
        }
        let took = self.entry.clock().now().since(self.started);
        tracing::info!(
            request = %self.request.id, workspace = %self.request.workspace, agent = %self.agent,
            attempt = self.attempt.0, tokens = self.next, took_ms = took.as_millis() as u64,
            outcome = %outcome_word(&outcome), "dispatch: over",
        );
        Part::End {
            outcome,
            preemptions,
        }
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.entry.metrics().open().dec();
        if !self.ended {
            self.stream = None;
            self.leave(AttemptResult::Cancelled);
        }
    }
}

pub(crate) fn may_help(reason: RefusalReason) -> bool {
    !matches!(
        reason,
        RefusalReason::RateLimited
            | RefusalReason::ConcurrencyLimited
            | RefusalReason::Cancelled
            | RefusalReason::StoreUnavailable
    )
}

pub(crate) fn outcome_word(outcome: &Outcome) -> &'static str {
    use cicada_lib::outcome::Reason;
    match outcome {
        Outcome::Completed(_) => "completed",
        Outcome::NotRun(refusal) => refusal.reason().code(),
        Outcome::Failed(reason) => reason.code(),
        Outcome::Unknown(reason) => reason.code(),
    }
}
