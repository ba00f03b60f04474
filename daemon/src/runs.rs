//! Carries requests to the backend server and tells the desk what it says.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use cicada_lib::backend::BackendError;
use cicada_lib::backend::CallAnswer;
use cicada_lib::backend::CallSpec;
use cicada_lib::backend::Engine;
use cicada_lib::backend::EngineEvent;
use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::EngineStream;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::backend::Service;
use cicada_lib::ids::GenerationId;
use cicada_lib::outcome::Completion;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::UnknownReason;
use cicada_lib::server_rest::RestState;
use cicada_lib::time::Clock;
use futures_util::StreamExt;
use tokio::sync::mpsc;

use crate::record::RecordKey;

/// What happened to a run.
#[derive(Debug)]
pub(crate) enum RunEvent {
    /// The engine said something of a generation.
    Engine(EngineEvent),
    /// A plain service answered.
    Answer(CallAnswer),
    /// The run is over.
    Ended(Outcome),
}

/// A run's event, or the backend server's load.
#[derive(Debug)]
pub(crate) enum BackendEvent {
    /// Of a run.
    Run(RecordKey, RunEvent),
    /// The engine's report.
    Load(EngineLoad),
    /// Whether the backend server answers.
    Reachable(bool),
}

/// Where backend events go.
pub(crate) type Events = mpsc::UnboundedSender<BackendEvent>;

/// The work that a run carries out.
#[derive(Debug)]
pub(crate) enum RunSpec {
    /// A generation.
    Generate(GenerationSpec),
    /// Goes on with a generation that an earlier agent process started, from an index on.
    Adopt(GenerationId, u32),
    /// A call.
    Call(CallSpec),
}

/// The one writer towards a backend server.
#[async_trait]
pub(crate) trait Backend: Send + Sync {
    /// Runs to the end, telling each event but the last, and returns what became of it.
    async fn run(&self, record: RecordKey, spec: RunSpec, events: &Events) -> Outcome;

    /// Ends a generation.
    async fn cancel(&self, generation: GenerationId);

    /// Displaces a generation.
    async fn pause(&self, generation: GenerationId);

    /// Runs a displaced generation again.
    async fn resume(&self, generation: GenerationId);

    /// Reads the load or asks for health.
    async fn poll(&self) -> BackendEvent;
}

/// A model engine as a backend.
pub(crate) struct EngineBackend {
    engine: Arc<dyn Engine>,
}

/// Pause before a lost stream of an engine is attached anew.
const REATTACH_PAUSE: Duration = Duration::from_millis(100);

/// Attempts to attach in a row that may fail before the generation counts as lost: with the pause,
/// some three seconds, longer than a connection takes to open on any path of the brief.
const REATTACH_TRIES: u32 = 30;

impl EngineBackend {
    /// A backend over the engine.
    pub(crate) fn new(engine: Arc<dyn Engine>) -> Self {
        EngineBackend { engine }
    }

    /// Attaches until it works or the engine has no trace of the generation.
    async fn attach(&self, id: GenerationId, from: u32) -> Option<EngineStream> {
        for _ in 0..REATTACH_TRIES {
            match self.engine.attach(id, from).await {
                Ok(stream) => return Some(stream),
                Err(BackendError::Gone) => return None,
                Err(_) => tokio::time::sleep(REATTACH_PAUSE).await,
            }
        }
        None
    }

    /// Follows a generation over as many connections as it takes.
    async fn follow(
        &self,
        record: RecordKey,
        id: GenerationId,
        mut next: u32,
        mut stream: EngineStream,
        events: &Events,
    ) -> Outcome {
        loop {
            match stream.next().await {
                Some(Ok(EngineEvent::Done {
                    prompt_tokens,
                    output_tokens,
                    truncated,
                })) => {
                    return Outcome::Completed(Completion {
                        prompt_tokens,
                        output_tokens,
                        truncated,
                    });
                }
                Some(Ok(event)) => {
                    if let EngineEvent::Token { index, .. } = event {
                        next = index + 1;
                    }
                    let _ = events.send(BackendEvent::Run(record, RunEvent::Engine(event)));
                }
                Some(Err(BackendError::Failed(_))) => {
                    return Outcome::Failed(FailureReason::BackendError);
                }
                // The connection was lost or silent; the engine may still run the generation.
                Some(Err(_)) | None => match self.attach(id, next).await {
                    Some(again) => stream = again,
                    None => return Outcome::Failed(FailureReason::BackendLost),
                },
            }
        }
    }
}

#[async_trait]
impl Backend for EngineBackend {
    async fn run(&self, record: RecordKey, spec: RunSpec, events: &Events) -> Outcome {
        let (id, next, stream) = match spec {
            RunSpec::Generate(spec) => match self.engine.start(&spec).await {
                Ok(stream) => (spec.id, 0, stream),
                // The engine may have taken it before the answer was lost; the identifier tells.
                Err(BackendError::Lost(_)) => match self.attach(spec.id, 0).await {
                    Some(stream) => (spec.id, 0, stream),
                    None => return Outcome::Failed(FailureReason::BackendLost),
                },
                Err(err) => return not_started(&err),
            },
            RunSpec::Adopt(id, next) => match self.attach(id, next).await {
                Some(stream) => (id, next, stream),
                None => return Outcome::Failed(FailureReason::BackendLost),
            },
            RunSpec::Call(_) => return placed_wrongly(),
        };
        self.follow(record, id, next, stream, events).await
    }

    async fn cancel(&self, generation: GenerationId) {
        if let Err(err) = self.engine.cancel(generation).await {
            tracing::warn!(%generation, %err, "backend: a generation could not be cancelled");
        }
    }

    async fn pause(&self, generation: GenerationId) {
        if let Err(err) = self.engine.pause(generation).await {
            tracing::warn!(%generation, %err, "backend: a generation could not be displaced");
        }
    }

    async fn resume(&self, generation: GenerationId) {
        if let Err(err) = self.engine.resume(generation).await {
            tracing::warn!(%generation, %err, "backend: a generation could not be resumed");
        }
    }

    async fn poll(&self) -> BackendEvent {
        match self.engine.load().await {
            Ok(load) => BackendEvent::Load(load),
            Err(_) => BackendEvent::Reachable(false),
        }
    }
}

/// A plain service as a backend.
pub(crate) struct ServiceBackend {
    service: Arc<dyn Service>,
    clock: Clock,
    // The rest that the service asked for. It gets no call meanwhile.
    rest: Mutex<RestState>,
}

impl ServiceBackend {
    /// A backend over the service.
    pub(crate) fn new(service: Arc<dyn Service>) -> Self {
        ServiceBackend {
            service,
            clock: Clock::new(),
            rest: Mutex::default(),
        }
    }

    /// Calls the service unless it rests.
    async fn call(&self, call: &CallSpec) -> cicada_lib::backend::Result<CallAnswer> {
        let sent = self.clock.now();
        let wait = self.rest().wait(sent);
        if !wait.is_zero() {
            return Err(BackendError::Resting(wait));
        }
        self.rest().record_sent(sent);
        let answer = self.service.call(call).await;
        match &answer {
            Ok(_) => self.rest().record_accepted(sent),
            Err(BackendError::Resting(rest)) => {
                if self.rest().record_request(self.clock.now(), *rest) {
                    tracing::info!(
                        rest = rest.as_millis() as u64,
                        "backend: the service asks for rest"
                    );
                }
            }
            Err(_) => {}
        }
        answer
    }

    fn rest(&self) -> MutexGuard<'_, RestState> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Backend for ServiceBackend {
    async fn run(&self, record: RecordKey, spec: RunSpec, events: &Events) -> Outcome {
        let RunSpec::Call(call) = spec else {
            return placed_wrongly();
        };
        match self.call(&call).await {
            Ok(answer) => {
                let _ = events.send(BackendEvent::Run(record, RunEvent::Answer(answer)));
                Outcome::Completed(Completion::default())
            }
            // A call that was sent and not answered may have run: it is never rounded to "not run".
            Err(BackendError::Lost(_)) => Outcome::Unknown(UnknownReason::AnswerLost),
            Err(err) => not_started(&err),
        }
    }

    async fn cancel(&self, _generation: GenerationId) {}

    async fn pause(&self, _generation: GenerationId) {}

    async fn resume(&self, _generation: GenerationId) {}

    async fn poll(&self) -> BackendEvent {
        BackendEvent::Reachable(self.service.healthy().await.is_ok())
    }
}

fn not_started(err: &BackendError) -> Outcome {
    match err {
        BackendError::Unreachable(_) => {
            Outcome::NotRun(NotRun::never_sent(RefusalReason::ConnectFailed))
        }
        BackendError::Resting(rest) => Outcome::NotRun(NotRun::refused_by_backend(Some(*rest))),
        BackendError::Refused(_) => Outcome::NotRun(NotRun::refused_by_backend(None)),
        _ => Outcome::Failed(FailureReason::BackendError),
    }
}

fn placed_wrongly() -> Outcome {
    Outcome::NotRun(NotRun::before_dispatch(RefusalReason::NotPlaced, None))
}
