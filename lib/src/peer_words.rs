//! What relays and scouts tell each other: datagrams for what is soon old, a connection for the rest.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::Name;
use crate::recent_rejections::RejectionNotice;
use crate::revision::Revision;
use crate::server_limit::LimitReport;
use crate::site::ServerChanges;
use crate::site::ServerListing;
use crate::site::SiteConfig;
use crate::value_type;
use crate::zone_evacuation::EvacuatedZones;

/// The largest datagram: it passes every link whole.
pub const MAX_DATAGRAM: usize = 1_400;

value_type! {
    /// An engine's load, as its scout knows it.
    #[derive(Default)]
    pub struct EngineLoad {
        /// When the engine started, in milliseconds since 1970, if it says so; tells its lives apart.
        pub born: Option<u64>,
        /// Requests that wait.
        pub queued: u32,
        /// Requests that run.
        pub running: u32,
        /// Requests whose prompt is being read, or waits to be.
        pub reading: u32,
        /// Tokens of memory that are taken and cannot be had back.
        pub used: u64,
        /// Tokens that are expected at the highest point of what runs, and of what is under way there.
        pub planned: u64,
        /// Tokens of prompts that it has still to read.
        pub unread: u64,
        /// Tokens of prompts that it reads in ten milliseconds; zero where that is not known.
        pub reads: u32,
        /// Tokens of memory in all.
        pub capacity: u64,
        /// The part of its requests that it has failed lately, in hundredths.
        pub failing: u8,
        /// Whether it leaves.
        pub leaving: bool,
        /// Milliseconds for which it may be cold yet.
        pub cold: u32,
        /// Milliseconds for which it is still there, where that is known.
        pub leaves: Option<u32>,
        /// Milliseconds between two reports to the same listener while there is news.
        pub every: u32,
    }

    /// A scout's word of its engine's load.
    pub struct ScoutReport {
        /// The engine.
        pub here: EngineHere,
        /// Its load.
        pub load: EngineLoad,
    }

    /// A scout's word that its engine is there, for relays that the directory does not tell of it.
    pub struct EngineHere {
        /// Where the engine takes requests.
        pub address: SocketAddr,
        /// Its service.
        pub service: Name,
        /// Its availability zone.
        pub zone: Name,
    }

    /// Where a run goes on that a scout has moved off its engine.
    pub struct MovedRun {
        /// The attempt's identifier.
        pub id: Name,
        /// The engine that stopped it, and still holds its memory.
        pub source: SocketAddr,
        /// The engine that holds the copy; `None` where none had room, and it goes on at its own.
        pub target: Option<SocketAddr>,
        /// What names the copy.
        pub handle: Name,
    }

    /// A relay has sent a request to an engine. For other relays, and for the engine's scout.
    pub struct SentWord {
        /// The attempt's identifier.
        pub id: Name,
        /// Where the engine takes requests.
        pub engine: SocketAddr,
        /// Tokens of the prompt.
        pub prompt: u64,
        /// Tokens that the request is expected to hold at its end.
        pub tokens: u64,
    }

    /// A relay is about to choose an engine for a request, and asks what it would meet there.
    pub struct LoadAsk {
        /// The attempt's identifier.
        pub id: Name,
        /// Where the engine takes requests.
        pub engine: SocketAddr,
        /// Tokens of the prompt.
        pub prompt: u64,
        /// Tokens that the request is expected to hold at its end.
        pub tokens: u64,
        /// Engines that are asked, this one among them. Never zero.
        pub asked: u32,
    }

    /// A scout's answer to a [`LoadAsk`].
    pub struct LoadAnswer {
        /// The attempt's identifier.
        pub id: Name,
        /// The load as of now, without the request that was asked for.
        pub report: ScoutReport,
    }

    /// A relay's word to the other relays.
    pub struct RelayHello {
        /// Its availability zone.
        pub zone: Name,
        /// Whether it watches the directory and is answered.
        pub fed: bool,
        /// The version of the configuration in force there.
        pub version: u64,
        /// The store's revision up to which it knows the backend servers.
        pub revision: Revision,
        /// Other relays that it has heard lately, a few of them.
        pub others: Vec<SocketAddr>,
        /// The evacuated availability zones, as it knows them.
        pub evacuated: EvacuatedZones,
        /// The limits that backend servers name, some of the latest.
        pub limits: Vec<LimitReport>,
    }

    /// How a request ended at an engine.
    pub struct RunEnded {
        /// Where the engine takes requests.
        pub engine: SocketAddr,
        /// Whether it made progress to its end.
        pub well: bool,
    }

    /// Changes of the list of backend servers, for relays that do not watch it themselves.
    pub struct ServerNews {
        /// The revision that they follow on.
        pub after: Revision,
        /// The changes, and the revision that they lead to.
        pub changes: ServerChanges,
    }

    /// A process wants an engine's reports for the next seconds.
    #[derive(Default)]
    pub struct Subscription {
        /// Engines of the same service and region, to which runs can be moved.
        pub neighbours: Vec<SocketAddr>,
        /// The path at which the engine says under which identifier it lives, where that is known.
        pub health: Option<Name>,
        /// Milliseconds for which the engine is cold after a start, where that is known.
        pub cold: Option<u32>,
        /// The evacuated availability zones: no run is moved there.
        pub evacuated: EvacuatedZones,
        /// Engines that name a limit of requests: runs are moved there last.
        pub limited: Vec<SocketAddr>,
    }

    /// Under which identifier an engine lives: the directory may still name a former life.
    pub struct EngineIdentity {
        /// The engine.
        pub here: EngineHere,
        /// Its identifier.
        pub id: Name,
    }

    /// A datagram.
    pub enum Datagram {
        /// A relay, or a scout of the same region, wants an engine's reports.
        Subscribe(Subscription),
        /// A scout says who its engine is.
        Identity(EngineIdentity),
        /// A scout's report.
        Report(ScoutReport),
        /// An engine is there. Passed on by the relay that gets it.
        Here(EngineHere),
        /// A relay passes on that an engine is there. Passed on further by relays to which that is news.
        HerePassedOn(EngineHere),
        /// A run's memory is being copied, and it will stop soon; the handle is not known yet.
        Moving(MovedRun),
        /// A run was moved.
        Moved(MovedRun),
        /// A run's stream has broken: was the run of this identifier moved?
        WasMoved(Name),
        /// The list of backend servers has changed.
        News(ServerNews),
        /// A relay has sent a request to an engine.
        Sent(SentWord),
        /// A relay's word.
        Hello(RelayHello),
        /// A relay says how a request ended at the scout's engine.
        Ended(RunEnded),
        /// A relay has turned callers away, who may come to another one.
        TurnedAway(Vec<RejectionNotice>),
        /// A relay asks a scout for its engine's load.
        Ask(LoadAsk),
        /// A scout's answer.
        Answer(LoadAnswer),
        /// A relay probes the way to another process, with a number of its own.
        Ping(u32),
        /// The answer, with the probe's number.
        Pong(u32),
    }

    /// A question over a connection.
    pub enum PeerQuestion {
        /// The configuration, if it is newer than the version.
        Config(u64),
        /// What has changed of the backend servers after the revision, or all of them.
        Servers(Revision),
    }
}

/// The answer to a [`PeerQuestion`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerAnswer {
    /// There is nothing newer.
    Nothing,
    /// The configuration.
    Config(Arc<SiteConfig>),
    /// The backend servers.
    Servers(ServerListing),
    /// What has changed of the backend servers.
    Changes(ServerChanges),
}

/// Bytes that hold none of these words.
#[derive(Clone, Debug, Error)]
#[error("a message of another process cannot be read ({0}); run the same version everywhere")]
pub struct WordError(String);

/// The result of reading or writing a word.
pub type Result<T> = std::result::Result<T, WordError>;

/// The bytes of a word.
pub fn encode<T: Serialize>(word: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(word).map_err(|error| WordError(error.to_string()))
}

/// The word in the bytes.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| WordError(error.to_string()))
}
