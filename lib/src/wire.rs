//! Frames between an entry and an agent: postcard behind a length.
//!
//! Every frame names its stream, and every token its generation and index, so that a late, doubled
//! or crossed frame is known for what it is and dropped.

use thiserror::Error;

use crate::backend::CallSpec;
use crate::backend::Header;
use crate::config_apply::ConfigVersionId;
use crate::config_chunks::ChunkDigest;
use crate::crash_mark::CrashMark;
use crate::ids::Attempt;
use crate::ids::GenerationId;
use crate::ids::Name;
use crate::ids::RequestId;
use crate::load::LoadSummary;
use crate::outcome::Outcome;
use crate::platform::HostRecord;
use crate::value_type;

/// The first bytes of a connection; anything else is no process of this system.
pub const MAGIC: [u8; 4] = *b"cica";

/// The version of these frames. A peer of another version is refused at the hello.
pub const PROTOCOL: u16 = 1;

/// The largest frame in bytes: the largest body, with room for its headers.
pub const MAX_FRAME: usize = 17 * 1024 * 1024;

/// The largest frame before a peer has proved that it holds the key.
pub const MAX_HELLO: usize = 512;

/// Bytes of a nonce or a proof.
pub const PROOF_LEN: usize = 32;

value_type! {
    /// The first frame, from the side that connects.
    pub struct Hello {
        /// [`MAGIC`].
        pub magic: [u8; 4],
        /// [`PROTOCOL`].
        pub protocol: u16,
        /// The host that connects.
        pub name: Name,
        /// Random; the answer's proof covers it.
        pub nonce: [u8; PROOF_LEN],
    }

    /// The answer to a hello.
    pub struct HelloAnswer {
        /// [`PROTOCOL`].
        pub protocol: u16,
        /// The host that was connected to.
        pub name: Name,
        /// Differs at each start of the process.
        pub incarnation: u64,
        /// Random; the connecting side's proof covers it.
        pub nonce: [u8; PROOF_LEN],
        /// Proof that the answering side holds the key.
        pub proof: [u8; PROOF_LEN],
    }

    /// Proof that the connecting side holds the key.
    pub struct HelloProof {
        /// The proof.
        pub proof: [u8; PROOF_LEN],
    }

    /// The work of a request.
    pub enum Work {
        /// A generation.
        Generate {
            /// The model.
            model: Name,
            /// The adapter; empty for none.
            adapter: Name,
            /// The prompt.
            prompt: String,
            /// The largest number of tokens to produce.
            max_tokens: u32,
        },
        /// A call to a plain service.
        Call(CallSpec),
    }

    /// Asks an agent to run a request.
    pub struct Submit {
        /// The request.
        pub request: RequestId,
        /// The try.
        pub attempt: Attempt,
        /// The service.
        pub service: Name,
        /// The workspace that is charged.
        pub workspace: Name,
        /// The caller's key for work that must run at most once; empty for none.
        pub key: String,
        /// Milliseconds until the deadline. Not a time of day: clocks of hosts differ.
        pub deadline: u64,
        /// Tokens that the workspace got on other agents since its last request here.
        pub elsewhere: u64,
        /// Tokens that may be sent before more credit comes.
        pub credit: u32,
        /// What to do.
        pub work: Work,
    }

    /// Asks for a request's stream from an index on.
    pub struct Attach {
        /// The request.
        pub request: RequestId,
        /// The try that the asker has in mind.
        pub attempt: Attempt,
        /// The workspace; the stream of another workspace is not given out.
        pub workspace: Name,
        /// The generation that the caller has tokens of; `None` before the first token.
        pub generation: Option<GenerationId>,
        /// The index of the next token that is wanted.
        pub next: u32,
        /// Tokens that may be sent before more credit comes.
        pub credit: u32,
    }

    /// What an entry sends.
    pub enum ToAgent {
        /// Run a request.
        Submit(u32, Box<Submit>),
        /// Go on with a stream.
        Attach(u32, Attach),
        /// More tokens may be sent on the stream.
        Credit(u32, u32),
        /// Nobody reads the stream any more; it may be asked for again.
        Detach(u32),
        /// Nobody wants the request any more: end it.
        Cancel(u32),
        /// A heartbeat with a number that the answer repeats.
        Ping(u64),
        /// Evidence on requests that end engines.
        Marks(Vec<CrashMark>),
        /// A question between any two processes: the only frame of its connection, answered by a
        /// [`PeerResponse`].
        Ask(PeerAsk),
    }

    /// What a process asks another for itself.
    pub enum PeerAsk {
        /// A version of the configuration.
        Config {
            /// Which one.
            mark: ConfigVersionId,
            /// The chunks that the asker has.
            held: Vec<ChunkDigest>,
        },
        /// The platform's list of hosts, as the asked one has it.
        Hosts {
            /// The digest of the list that the asker has; zero for none.
            held: u64,
        },
        /// Evidence on requests that end engines, to take in and pass on.
        Marks(Vec<CrashMark>),
    }

    /// The answer to a [`PeerAsk`].
    pub enum PeerResponse {
        /// The marks were taken in.
        Taken,
        /// The version's parts; `None` where that version is not in force there.
        Config(Option<ConfigParts>),
        /// The hosts; `None` where the asker has the same list.
        Hosts(Option<Vec<HostRecord>>),
    }

    /// A version's root, and the chunks that the asker lacked.
    pub struct ConfigParts {
        /// The root's bytes.
        pub root: Vec<u8>,
        /// The chunks' bytes.
        pub chunks: Vec<Vec<u8>>,
    }

    /// What an agent says of one stream.
    pub enum StreamFrame {
        /// The request waits in the queue or runs, and has sent no token yet.
        Accepted,
        /// Tokens in order.
        Tokens {
            /// Their generation.
            generation: GenerationId,
            /// The index of the first.
            first: u32,
            /// Their texts.
            texts: Vec<String>,
        },
        /// A plain service's answer.
        Answer {
            /// The status code.
            status: u16,
            /// The headers that are carried through.
            headers: Vec<Header>,
            /// The body.
            body: Vec<u8>,
        },
        /// The last frame of the stream.
        End {
            /// What became of the request.
            outcome: Outcome,
            /// How often the generation was displaced.
            preemptions: u32,
        },
        /// The agent has no trace of the request, and holds a tombstone for it now: a submit of this
        /// or an earlier attempt that is still under way will be refused.
        NoTrace,
    }

    /// What an agent sends.
    pub enum ToEntry {
        /// A frame of a stream.
        Stream(u32, StreamFrame),
        /// The answer to a heartbeat.
        Pong(u64, LoadSummary),
        /// Load, without being asked, as when the agent begins to drain.
        Load(LoadSummary),
        /// Evidence on requests that end engines.
        Marks(Vec<CrashMark>),
    }
}

/// What can be wrong with a peer or its frames.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection failed.
    #[error("the connection failed ({0}); open a new one")]
    Io(#[from] std::io::Error),
    /// A frame is larger than allowed.
    #[error(
        "a frame of {0} bytes is over the bound; the peer is faulty or no process of this system"
    )]
    TooLarge(usize),
    /// A frame cannot be read.
    #[error("a frame cannot be read ({0}); the peer is faulty or no process of this system")]
    Garbled(#[from] postcard::Error),
    /// The peer speaks something else.
    #[error("the peer is no process of this system; check the address")]
    Foreign,
    /// The peer speaks another version.
    #[error(
        "the peer speaks version {0} of the protocol, this process {PROTOCOL}; upgrade the older one"
    )]
    Protocol(u16),
    /// The peer does not hold the key.
    #[error("the peer's proof is wrong; give both processes the same [process] peer_key_file")]
    Proof,
    /// The exchange of hellos took too long.
    #[error("the peer did not answer in time; see that it runs")]
    Slow,
}

/// The result of an exchange with a peer.
pub type Result<T> = std::result::Result<T, WireError>;
