//! How a request gets a stream: of a new attempt, or of the one that runs.

use cicada_lib::crash_mark::Verdict;
use cicada_lib::ids::Attempt;
use cicada_lib::ids::Name;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::RetryReason;
use cicada_lib::outcome::UnknownReason;
use cicada_lib::routing::AttemptResult;
use cicada_lib::routing::RouteRequest;
use cicada_lib::routing::ServerKey;
use cicada_lib::wire::Attach;
use cicada_lib::wire::Submit;
use cicada_lib::wire::Work;

use crate::dispatch::Dispatch;
use crate::dispatch::EXPECTED_TOKENS;
use crate::dispatch::REACH_PAUSES;
use crate::link::LinkStream;

impl Dispatch {
    pub(crate) async fn reach(&mut self) -> Result<(), Outcome> {
        if self.lost.is_some() || (self.generation.is_some() && self.server.is_none()) {
            self.reattach().await
        } else {
            self.submit().await
        }
    }

    pub(crate) async fn submit(&mut self) -> Result<(), Outcome> {
        loop {
            if self.entry.verdict(&self.request) == Verdict::Refuse {
                return Err(Outcome::Failed(FailureReason::KillsBackends));
            }
            let server = self.choose().map_err(Outcome::NotRun)?;
            self.tried.push(server.key);
            self.attempt = Attempt(self.attempt.0 + 1);
            self.agent = server.name;
            self.handed = self.entry.clock().now();
            self.server = Some(server.key);
            if let Some(link) = self.entry.links().get(&self.agent).await {
                let stream = link.submit(self.message()).await;
                if let Some(stream) = stream {
                    self.incarnation = stream.incarnation();
                    self.keep(stream);
                    return Ok(());
                }
            }
            self.leave(AttemptResult::Lost);
            let refusal = NotRun::never_sent(RefusalReason::ConnectFailed);
            self.retry(RetryReason::ConnectFailed, refusal).await?;
        }
    }

    pub(crate) fn choose(&mut self) -> Result<Chosen, NotRun> {
        let request = &self.request;
        let expected = match &request.work {
            Work::Generate { max_tokens, .. } => (*max_tokens).min(EXPECTED_TOKENS),
            Work::Call(_) => 1,
        };
        let ask = RouteRequest {
            service: &request.service,
            model: &request.model,
            workspace: &request.workspace,
            prefix: request.prefix,
            expected_tokens: expected,
            affinity: self.entry.affinity(request),
            tried: &self.tried,
        };
        self.entry.choose(&ask)
    }

    pub(crate) fn message(&self) -> Submit {
        let now = self.entry.clock().now();
        let left = self.request.deadline.since(now).as_millis();
        Submit {
            request: self.request.id,
            attempt: self.attempt,
            service: self.request.service.clone(),
            workspace: self.request.workspace.clone(),
            key: self.request.key.clone(),
            deadline: u64::try_from(left).unwrap_or(u64::MAX),
            elsewhere: self.entry.elsewhere(&self.request.workspace, &self.agent),
            credit: 0,
            work: self.request.work.clone(),
        }
    }

    pub(crate) fn keep(&mut self, mut stream: LinkStream) {
        stream.on_drop(self.release);
        self.stream = Some(stream);
        self.lost = None;
    }

    pub(crate) async fn reattach(&mut self) -> Result<(), Outcome> {
        let since = self.entry.clock().now();
        let mut pause = REACH_PAUSES.0;
        loop {
            if let Some(link) = self.entry.links().get(&self.agent).await {
                // A new process at the agent's address knows nothing of the attempt. The engine may
                // still run the generation, and the generation's identifier lets the agent ask it.
                if link.incarnation() != self.incarnation && self.generation.is_none() {
                    return self.abandon().await;
                }
                if let Some(stream) = link.attach(self.attach_message()).await {
                    self.incarnation = link.incarnation();
                    self.keep(stream);
                    return Ok(());
                }
            } else if self.may_move() {
                return self.abandon().await;
            }
            if self.entry.clock().now().since(since) > self.entry.resume_window() {
                return self.abandon().await;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(REACH_PAUSES.1);
        }
    }

    pub(crate) fn attach_message(&self) -> Attach {
        Attach {
            request: self.request.id,
            attempt: self.attempt,
            workspace: self.request.workspace.clone(),
            generation: self.generation,
            next: self.next,
            credit: 0,
        }
    }

    pub(crate) fn may_move(&self) -> bool {
        self.generation.is_none() && (self.is_generation() || self.request.idempotent)
    }

    pub(crate) fn is_generation(&self) -> bool {
        matches!(self.request.work, Work::Generate { .. })
    }

    pub(crate) async fn abandon(&mut self) -> Result<(), Outcome> {
        self.leave(AttemptResult::Lost);
        self.lost = None;
        if self.generation.is_some() {
            return Err(Outcome::Failed(FailureReason::BackendLost));
        }
        if !self.may_move() && self.request.key.is_empty() {
            return Err(Outcome::Unknown(UnknownReason::AnswerLost));
        }
        // A keyed call may be handed in again: the claim on its key keeps it from running twice.
        let fallback = match self.is_generation() {
            true => Outcome::Failed(FailureReason::BackendLost),
            false => Outcome::Unknown(UnknownReason::AnswerLost),
        };
        self.doubt = Some(fallback.clone());
        self.again(RetryReason::LostBeforeFirstToken, fallback)
            .await?;
        self.submit_boxed().await
    }

    pub(crate) async fn submit_boxed(&mut self) -> Result<(), Outcome> {
        Box::pin(self.submit()).await
    }

    pub(crate) async fn retry(
        &mut self,
        reason: RetryReason,
        refusal: NotRun,
    ) -> Result<(), Outcome> {
        self.again(reason, Outcome::NotRun(refusal)).await
    }

    pub(crate) async fn again(
        &mut self,
        reason: RetryReason,
        otherwise: Outcome,
    ) -> Result<(), Outcome> {
        if self.attempt.0 >= self.request.attempts {
            return Err(otherwise);
        }
        match self.entry.may_retry(&self.request.service, reason) {
            Some(pause) => {
                self.entry.metrics().retried(reason);
                tracing::info!(
                    request = %self.request.id, attempt = self.attempt.0, ?reason,
                    "dispatch: another attempt",
                );
                tokio::time::sleep(pause).await;
                Ok(())
            }
            None => Err(otherwise),
        }
    }
}

pub(crate) struct Chosen {
    /// Its key.
    pub(crate) key: ServerKey,
    /// Its agent.
    pub(crate) name: Name,
}
