//! What an entry reads out of the heads of requests and answers, and writes into them.
//!
//! The words on the wire are the platform's and stay in its adapter; this module says what they mean.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use thiserror::Error;

use crate::copy_type;
use crate::ids::Name;
use crate::server_statement::ServerStatement;
use crate::server_statement::Speaker;
use crate::value_type;

value_type! {
    /// One part of a prompt, which other requests may share.
    pub struct PromptPart {
        /// What tells the part from others.
        pub id: u64,
        /// Its length.
        pub tokens: u32,
    }

    /// What a request says of itself in its head.
    #[derive(Default)]
    pub struct CallHead {
        /// The identifier of this attempt of the caller.
        pub id: Option<Name>,
        /// The model; empty for a plain call.
        pub model: Name,
        /// Tokens of the prompt; zero for a plain call.
        pub prompt: u32,
        /// The most tokens of the answer; zero for a plain call.
        pub output: u32,
        /// The caller's estimate of the tokens of the answer.
        pub hint: Option<u32>,
        /// The parts of the prompt, in their order.
        pub parts: Vec<PromptPart>,
        /// How long the caller waits from now on.
        pub deadline: Option<Duration>,
        /// The key that the caller shows.
        pub key: Option<Name>,
        /// The identifier of the last event that the caller got of this stream, if it got one before.
        pub last: Option<Name>,
    }

    /// The memory of a run that another server began, with which it goes on.
    pub struct RunMemory {
        /// The server that holds it, or that sent it.
        pub from: SocketAddr,
        /// What names it there.
        pub handle: Name,
    }

    /// What a request tells the backend server beyond what its caller wrote.
    #[derive(Default)]
    pub struct Dispatch {
        /// The only server that may run it; empty where its identifier is not known.
        pub server: Name,
        /// The caller's workspace.
        pub workspace: Option<Name>,
        /// How much longer the caller waits.
        pub left: Duration,
        /// The rank at an engine, 0 to 9, where 0 is first.
        pub rank: Option<u8>,
        /// The memory with which the run goes on, if it has begun elsewhere.
        pub memory: Option<RunMemory>,
        /// The identifier of the last event that the caller has got; empty for none.
        pub last: Name,
        /// The engine to which the run's memory is copied as it grows.
        pub backup: Option<SocketAddr>,
    }

    /// What an answer says of itself in its head.
    pub struct AnswerHead {
        /// The attempt that it belongs to.
        pub id: Option<Name>,
        /// Whether the server states that it did not run the request.
        pub refused: bool,
        /// The identifier of the server that is at the address now, where it is not the expected one.
        pub other: Option<Name>,
        /// Whether it bears the server's signature: without one it is no server's success.
        pub signed: bool,
        /// What the server states about itself. [`AnswerHead::speaker`] tells which server that is.
        pub statement: ServerStatement,
    }

    /// A run at an engine, as the engine reports it.
    pub struct EngineRun {
        /// The attempt's identifier.
        pub id: Name,
        /// Tokens that it holds.
        pub tokens: u64,
        /// Events that it has made.
        pub events: u64,
        /// Its rank, as it was sent.
        pub rank: u8,
    }

    /// What an engine says of its load; some hundred milliseconds old.
    #[derive(Default)]
    pub struct EngineReport {
        /// Requests that wait.
        pub queued: u32,
        /// Requests that run, those whose prompt is being read among them.
        pub running: u32,
        /// Requests whose prompt is being read, or waits to be.
        pub reading: u32,
        /// Tokens of memory that are taken and cannot be had back.
        pub used: u64,
        /// Tokens of memory in all.
        pub capacity: u64,
        /// Whether it has said that it leaves.
        pub leaving: bool,
        /// How much longer it is there, if that is known.
        pub leaves: Option<Duration>,
        /// When the engine started, in milliseconds since 1970, if it says so.
        pub born: Option<u64>,
        /// The runs that have begun.
        pub runs: Vec<EngineRun>,
    }

    /// What an engine says of itself at its health path.
    pub struct EngineHealth {
        /// The identifier under which it lives.
        pub id: Name,
        /// How much longer it is cold.
        pub cold: Duration,
    }

    /// A copy of a run's memory at another engine.
    pub struct Copied {
        /// What names the copy.
        pub handle: Name,
        /// Events of the run up to the copy's end.
        pub events: u64,
    }
}

impl AnswerHead {
    /// The server that made the statements of this answer to the attempt `id`.
    pub fn speaker(&self, id: Option<&Name>, status: StatusCode) -> Speaker {
        if let Some(other) = &self.other {
            return Speaker::Other(other.clone());
        }
        let is_other_answer = self.id.is_some() && self.id.as_ref() != id;
        let is_forged = status.is_success() && !self.signed;
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        match is_other_answer || is_forged || is_misdirected {
            true => Speaker::Unknown,
            false => Speaker::Expected,
        }
    }
}

copy_type! {
    /// Whether a run goes on while its memory is copied.
    pub enum MoveStep {
        /// It goes on, and what it adds is left for a later step.
        Copy,
        /// It stops first; its stream ends without its last event.
        Stop,
    }
}

/// Why a run's memory was not copied.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum MoveError {
    /// The engine runs no such request.
    #[error("the engine runs no such request; it may have ended")]
    NoRun,
    /// A copy of it is being made.
    #[error("a copy of the run is being made; ask again when that is done")]
    Busy,
    /// The other engine has no room, or cannot be reached. After [`MoveStep::Stop`] the run has
    /// stopped, and its memory lies at its own engine under the handle.
    #[error("the other engine has no room or cannot be reached; choose another")]
    NoRoom(Option<Name>),
    /// No answer came: the run may have stopped.
    #[error("no answer of the engine ({0}); take the run's stream as the truth")]
    Lost(String),
}

impl MoveError {
    /// Whether the run has stopped and its engine handed over its memory. After [`MoveStep::Stop`], no other failure tells
    /// whether the run has stopped: a server in trouble answers with any status.
    pub fn has_memory(&self) -> bool {
        matches!(self, MoveError::NoRoom(Some(_)))
    }
}

/// What can go wrong when an engine is asked for its load.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("the engine gave no report ({0}); ask again later")]
pub struct ReportError(pub String);

/// The words of requests and answers.
pub trait Dialect: Send + Sync {
    /// The path at which the balancer asks whether this entry takes connections.
    fn ready_path(&self) -> &str;

    /// Reads the head of a caller's request.
    fn call_head(&self, headers: &HeaderMap) -> CallHead;

    /// Whether a header of a caller's request may reach a backend server. Headers of the system's own
    /// may not: a caller who sets them would have the system's rights.
    fn passes(&self, name: &HeaderName) -> bool;

    /// Whether a header must reach the backend server, whatever the caller lists as meant for one
    /// connection only.
    fn must_pass(&self, name: &HeaderName) -> bool;

    /// Adds the system's own headers.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch);

    /// Reads the head of a backend server's answer.
    fn answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}

/// The calls to engines beside requests.
#[async_trait]
pub trait EngineCalls: Send + Sync {
    /// Asks for the load.
    async fn report(&self, engine: SocketAddr) -> Result<EngineReport, ReportError>;

    /// Asks when the engine started, in milliseconds since 1970, over a connection of its own. `None` if it does not tell.
    async fn start(&self, engine: SocketAddr) -> Result<Option<u64>, ReportError> {
        self.report(engine).await.map(|report| report.born)
    }

    /// Asks at the service's health path under which identifier the engine lives. Costs more than a
    /// report: once in a life is enough.
    async fn health(&self, engine: SocketAddr, path: &Name) -> Result<EngineHealth, ReportError>;

    /// Copies the memory of the run `id` to the engine `target`. Returns when the copy is complete.
    async fn move_run(
        &self,
        engine: SocketAddr,
        id: &Name,
        target: SocketAddr,
        step: MoveStep,
    ) -> Result<Copied, MoveError>;

    /// Frees a copy at both ends. Failing is harmless: engines free copies that nobody uses.
    async fn drop_copy(&self, engine: SocketAddr, handle: &Name);
}
