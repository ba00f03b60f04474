//! What stands behind an agent: a model engine or a plain service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use thiserror::Error;

use crate::ids::GenerationId;
use crate::ids::Name;
use crate::value_type;

/// What can go wrong with a call to a backend server.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum BackendError {
    /// No byte of the request left this process.
    #[error("the backend server cannot be reached ({0}); see that it runs")]
    Unreachable(String),
    /// The backend server said that it did not run the request.
    #[error("the backend server did not run the request ({0}); send it elsewhere")]
    Refused(String),
    /// The backend server said that it did not run the request, and that it wants none for so long.
    #[error("the backend server asks for rest ({0:?}); send the request elsewhere")]
    Resting(Duration),
    /// The backend server answered with an error after it had begun.
    #[error("the backend server failed ({0}); see its log")]
    Failed(String),
    /// The connection was lost after the request had been sent: it may have run.
    #[error("the backend server's answer was lost ({0}); ask it what it ran")]
    Lost(String),
    /// The backend server does not know the generation.
    #[error("the backend server does not know the generation; it was restarted or has dropped it")]
    Gone,
    /// The order carries a fencing number below one that the backend server has seen.
    #[error("a newer agent has given orders (fencing number {0}); stop giving orders")]
    Fenced(u64),
}

/// The result of a call to a backend server.
pub type Result<T> = std::result::Result<T, BackendError>;

value_type! {
    /// A generation to start.
    pub struct GenerationSpec {
        /// The identifier under which the engine runs it. An engine runs each at most once.
        pub id: GenerationId,
        /// The model.
        pub model: Name,
        /// The adapter; empty for none.
        pub adapter: Name,
        /// The prompt's text.
        pub prompt: String,
        /// The largest number of tokens to produce.
        pub max_tokens: u32,
        /// Larger is displaced later by the engine.
        pub priority: u8,
    }

    /// What an engine says of a generation.
    pub enum EngineEvent {
        /// A token.
        Token {
            /// Its place, from 0.
            index: u32,
            /// Its text.
            text: String,
        },
        /// The engine displaced the generation; its memory is free until it is resumed.
        Preempted,
        /// The engine runs it again; the next token has the next index.
        Resumed,
        /// The generation is over.
        Done {
            /// Tokens of the prompt.
            prompt_tokens: u32,
            /// Tokens produced.
            output_tokens: u32,
            /// Whether the limit on tokens ended it.
            truncated: bool,
        },
    }

    /// An engine's report of its load, late by the engine's own lag.
    pub struct EngineLoad {
        /// Generations in the running batch.
        pub running: u32,
        /// Generations that wait inside the engine, the displaced ones included.
        pub waiting: u32,
        /// Tokens held in memory.
        pub used_tokens: u64,
        /// Tokens that fit in memory.
        pub capacity_tokens: u64,
        /// Displacements since the engine started.
        pub preemptions: u64,
        /// Microseconds that the last step of the batch took.
        pub step_micros: u64,
        /// The engine's start, as a number that differs at each start.
        pub incarnation: u64,
        /// The models and adapters that are loaded.
        pub models: Vec<Name>,
        /// The role: `mixed`, `prefill` or `decode`.
        pub role: Name,
        /// The largest fencing number seen.
        pub fence: u64,
    }

    /// An order to an engine.
    pub enum Order {
        /// Load a model, adapter or version.
        Load(Name),
        /// Unload a model, adapter or version.
        Unload(Name),
        /// Take a role: `mixed`, `prefill` or `decode`.
        Role(Name),
    }

    /// What became of a cached prefix. Comes late and with gaps.
    pub struct CacheEvent {
        /// Grows by one with each event; a step of more than one is a gap.
        pub sequence: u64,
        /// The digest of the prefix.
        pub prefix: u64,
        /// Whether the prefix was stored (else: dropped).
        pub stored: bool,
    }
}

/// The tokens and events of a generation.
pub type EngineStream = BoxStream<'static, Result<EngineEvent>>;

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation. A second start with the same identifier is refused.
    async fn start(&self, spec: &GenerationSpec) -> Result<EngineStream>;

    /// Goes on with a generation's stream from token `from`.
    async fn attach(&self, id: GenerationId, from: u32) -> Result<EngineStream>;

    /// Ends a generation and frees its memory. Ending one that is gone is no error.
    async fn cancel(&self, id: GenerationId) -> Result<()>;

    /// Displaces a generation: it keeps its identity, and its memory is freed.
    async fn pause(&self, id: GenerationId) -> Result<()>;

    /// Runs a displaced generation again.
    async fn resume(&self, id: GenerationId) -> Result<()>;

    /// The engine's last report of its load.
    async fn load(&self) -> Result<EngineLoad>;

    /// Gives an order under a fencing number. Some engines ignore the number.
    async fn order(&self, fence: u64, order: &Order) -> Result<()>;

    /// The cache events after `sequence`, at most 1,000.
    async fn cache_events(&self, sequence: u64) -> Result<Vec<CacheEvent>>;
}

value_type! {
    /// A header of a plain call.
    pub struct Header {
        /// The name, in lower case.
        pub name: String,
        /// The value's bytes.
        pub value: Vec<u8>,
    }

    /// A call to a plain service.
    pub struct CallSpec {
        /// The method.
        pub method: String,
        /// The path and query.
        pub path: String,
        /// The headers that are carried through.
        pub headers: Vec<Header>,
        /// The body.
        pub body: Vec<u8>,
    }
}

/// A plain service's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAnswer {
    /// The status code.
    pub status: u16,
    /// The headers that are carried through.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// A plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Makes a call, once.
    async fn call(&self, call: &CallSpec) -> Result<CallAnswer>;

    /// Whether the service answers its health check.
    async fn healthy(&self) -> Result<()>;
}
