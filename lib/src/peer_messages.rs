//! Messages between relays and scouts: datagrams for short-lived state, a connection for the rest.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::crash_mark::CrashMark;
use crate::ids::Name;
use crate::limits::LoanMessage;
use crate::limits::ServiceDemand;
use crate::migration::event_gaps::EventGaps;
use crate::recent_rejections::RejectionNotice;
use crate::revision::Revision;
use crate::server_leaving::LeavingReport;
use crate::server_limit::LimitReport;
use crate::site::ServerChanges;
use crate::site::ServerListing;
use crate::site::SiteConfig;
use crate::state_holders::StateOffer;
use crate::state_holders::StateVersion;
use crate::suspect_trials::TrialEnd;
use crate::suspect_trials::TrialReply;
use crate::suspect_trials::TrialRequest;
use crate::value_type;
use crate::watch_election::WatchStatement;
use crate::wire_figures::CheckFigures;
use crate::wire_figures::FigureError;
use crate::zone_evacuation::EvacuatedZones;

/// The largest datagram in bytes. It passes every link without fragmentation.
pub const MAX_DATAGRAM: usize = 1_400;

value_type! {
    /// An engine's load, as its scout knows it.
    #[derive(Default)]
    pub struct EngineLoad {
        /// When the engine started, in milliseconds since 1970, if it reports that. Distinguishes incarnations.
        pub born: Option<u64>,
        /// Waiting requests.
        pub queued: u32,
        /// Running requests.
        pub running: u32,
        /// Requests whose prefill is under way or waiting.
        pub prefilling: u32,
        /// Tokens of memory in use that cannot be reclaimed.
        pub used: u64,
        /// Expected peak, in tokens, of the running requests and those on their way to the engine.
        pub peak_tokens: u64,
        /// Prompt tokens still to be prefilled.
        pub prefill_tokens: u64,
        /// Prompt tokens that it prefills in ten milliseconds; zero if unknown.
        pub prefill_rate: u32,
        /// Total memory in tokens.
        pub capacity: u64,
        /// Percentage of its recent requests that failed.
        pub failure_percent: u8,
        /// Whether the engine is shutting down.
        pub leaving: bool,
        /// Milliseconds for which it may still be cold.
        pub cold: u32,
        /// Milliseconds until it is gone, if known.
        pub leaves: Option<u32>,
        /// Milliseconds between two reports to the same subscriber while the load changes.
        pub interval_ms: u32,
        /// Observed gaps between the events of its runs.
        pub gaps: EventGaps,
        /// Percentage of the last seconds in which it had a prompt to prefill.
        pub prefill_percent: u8,
    }

    /// A scout's report of its engine's load.
    pub struct ScoutReport {
        /// The engine.
        pub engine: EngineLocation,
        /// Its load.
        pub load: EngineLoad,
    }

    /// A scout's announcement of its engine, for relays that do not learn of it from the directory.
    pub struct EngineLocation {
        /// Where the engine takes requests.
        pub address: SocketAddr,
        /// Its service.
        pub service: Name,
        /// Its availability zone.
        pub zone: Name,
    }

    /// Where a run continues that a scout has moved off its engine.
    pub struct MovedRun {
        /// The attempt's identifier.
        pub id: Name,
        /// The engine that stopped the run and still holds its memory.
        pub source: SocketAddr,
        /// The engine that holds the copy; `None` if no engine had room and the run continues at the source.
        pub target: Option<SocketAddr>,
        /// The handle of the copy.
        pub handle: Name,
    }

    /// A scout's question to the relay that holds a run's stream whether it may stop the run.
    pub struct StopQuery {
        /// The run, and the copy that the scout has made of it.
        pub run: MovedRun,
        /// Names the question. Never zero.
        pub number: u64,
    }

    /// The reply to a [`StopQuery`].
    pub struct StopReply {
        /// The attempt's identifier.
        pub id: Name,
        /// The number of the question.
        pub number: u64,
        /// Whether the run may be stopped. Otherwise it stays at its engine.
        pub permitted: bool,
    }

    /// What became of a permitted stop whose run has not been moved.
    pub struct StopNotice {
        /// The question that was answered with the permission.
        pub query: StopQuery,
        /// Whether the scout has not asked its engine for the stop after all. Otherwise the run may have stopped.
        pub withdrawn: bool,
    }

    /// Announces to other relays and to the engine's scout that a relay has sent the engine a request.
    pub struct RequestSent {
        /// The attempt's identifier.
        pub id: Name,
        /// Where the engine takes requests.
        pub engine: SocketAddr,
        /// Prompt length in tokens.
        pub prompt: u64,
        /// Tokens that the request is expected to hold when it ends.
        pub tokens: u64,
    }

    /// A relay's query for the current load of an engine that it considers for a request.
    pub struct LoadProbe {
        /// The attempt's identifier.
        pub id: Name,
        /// Where the engine takes requests.
        pub engine: SocketAddr,
        /// Prompt length in tokens.
        pub prompt: u64,
        /// Tokens that the request is expected to hold when it ends.
        pub tokens: u64,
        /// Number of engines probed for the request, including this one. Never zero.
        pub probed_engines: u32,
    }

    /// A scout's reply to a [`LoadProbe`].
    pub struct LoadProbeReply {
        /// The attempt's identifier.
        pub id: Name,
        /// The current load, without the request that the probe is for.
        pub report: ScoutReport,
    }

    /// A relay's periodic message to other relays.
    pub struct RelayHello {
        /// Its availability zone.
        pub zone: Name,
        /// Whether it watches the directory and receives answers.
        pub watches_directory: bool,
        /// What other relays of its region last stated about that.
        pub watchers: Vec<WatchStatement>,
        /// Number of relays that it knows, itself included.
        pub relay_count: u32,
        /// Whether it knows all relays of the directory's list.
        pub list_complete: bool,
        /// The version of the configuration in force there.
        pub version: u64,
        /// The store's revision up to which it knows the backend servers.
        pub revision: Revision,
        /// Some of the other relays that it has heard from recently.
        pub known_relays: Vec<SocketAddr>,
        /// The evacuated availability zones, as it knows them.
        pub evacuated: EvacuatedZones,
        /// Some of the latest request limits reported by backend servers.
        pub limits: Vec<LimitReport>,
        /// Servers that stated recently that they are leaving.
        pub leaving: Vec<LeavingReport>,
        /// Its demand for services whose servers announce limits.
        pub demands: Vec<ServiceDemand>,
    }

    /// The relays that a process knows.
    #[derive(Default)]
    pub struct RelayList {
        /// Their addresses for datagrams and connections.
        pub relays: Vec<SocketAddr>,
        /// Whether the directory's list is contained in them.
        pub complete: bool,
    }

    /// How a request ended at an engine.
    pub struct RequestOutcome {
        /// Where the engine takes requests.
        pub engine: SocketAddr,
        /// Whether the request made progress until it ended.
        pub succeeded: bool,
    }

    /// Changes to the list of backend servers, for relays that do not watch it themselves.
    pub struct ServerUpdate {
        /// The revision that the changes apply to.
        pub after: Revision,
        /// The changes and the resulting revision.
        pub changes: ServerChanges,
    }

    /// Subscribes to an engine's reports for the next seconds.
    #[derive(Default)]
    pub struct Subscription {
        /// Engines of the same service and region, to which runs can be moved.
        pub neighbours: Vec<SocketAddr>,
        /// The engine's health path, which returns its current identifier, if known.
        pub health: Option<Name>,
        /// Milliseconds for which the engine is cold after a start, if known.
        pub cold: Option<u32>,
        /// The evacuated availability zones. No run is moved there.
        pub evacuated: EvacuatedZones,
        /// Engines that report a request limit or asked the relay for rest. Runs are moved there last.
        pub limited: Vec<SocketAddr>,
        /// The relay's state, for a scout that holds a copy of it.
        pub state: Option<StateVersion>,
    }

    /// An engine's current identifier. The directory may still list a former incarnation.
    pub struct EngineIdentity {
        /// The engine. Its service is that of the scout's settings.
        pub engine: EngineLocation,
        /// Its identifier.
        pub id: Name,
        /// The incarnations that it has followed at the address, each sooner than the address could have been assigned
        /// to another service.
        pub predecessors: Vec<Name>,
        /// Whether the address cannot have been assigned to another service since the scout started.
        pub unbroken: bool,
    }

    /// What a process knows of poison requests, or has just learned.
    #[derive(Default)]
    pub struct SuspectNotice {
        /// Evidence.
        pub marks: Vec<CrashMark>,
    }

    /// A message about trials of suspects, between an entry and the arbiter of a service.
    pub enum TrialMessage {
        /// An entry asks for a trial, or renews one.
        Request(TrialRequest),
        /// The arbiter answers.
        Reply(TrialReply),
        /// A trial has ended, or is not wanted any more.
        End(TrialEnd),
    }

    /// A datagram between relays and scouts.
    pub enum Datagram {
        /// A relay, or a scout of the same region, subscribes to an engine's reports.
        Subscribe(Subscription),
        /// A scout reports its engine's identifier.
        Identity(EngineIdentity),
        /// A scout's report.
        Report(ScoutReport),
        /// A scout announces its engine. The receiving relay forwards it.
        Announcement(EngineLocation),
        /// A forwarded announcement of an engine. Relays that did not know the engine forward it again.
        ForwardedAnnouncement(EngineLocation),
        /// A run's memory is being copied and the run will stop soon. Sent by scouts that stop runs without permission.
        Moving(MovedRun),
        /// A run was moved.
        Moved(MovedRun),
        /// Asks whether the run with this identifier was moved, after its stream broke.
        QueryMove(Name),
        /// The list of backend servers has changed.
        ServerUpdate(ServerUpdate),
        /// A relay has sent a request to an engine.
        RequestSent(RequestSent),
        /// A relay's periodic message.
        Hello(RelayHello),
        /// A relay reports how a request ended at the scout's engine.
        RequestOutcome(RequestOutcome),
        /// A relay has rejected callers, who may retry at another relay.
        Rejections(Vec<RejectionNotice>),
        /// A relay queries a scout for its engine's load.
        LoadProbe(LoadProbe),
        /// A scout's reply to such a query.
        LoadProbeReply(LoadProbeReply),
        /// A relay probes the network path to another process. Holds a number chosen by the relay.
        Ping(u32),
        /// The reply to a `Ping`, with the same number.
        Pong(u32),
        /// A scout that hears of no relay offers the state that it holds.
        StateOffer(StateOffer),
        /// Evidence on poison requests. The receiving relay passes on what is new to it.
        Suspects(SuspectNotice),
        /// A relay that has just started asks for evidence on poison requests.
        QuerySuspects,
        /// A message about trials of suspects.
        Trial(TrialMessage),
        /// A message about loans of shares in servers' request limits.
        LimitLoan(LoanMessage),
        /// A scout has copied a run's memory and asks the relay that holds the stream whether it may stop the run.
        QueryStop(StopQuery),
        /// The reply to a `QueryStop`. Relays that do not hold the stream send none.
        StopReply(StopReply),
        /// What became of a permitted stop, unless the run was moved.
        StopNotice(StopNotice),
    }

    /// A request over a connection.
    pub enum PeerRequest {
        /// Requests the configuration if it is newer than the version.
        Config(u64),
        /// Requests the changes to the backend servers since the revision, or the full list.
        Servers(Revision),
        /// Requests the known relays.
        Relays,
    }
}

impl SuspectNotice {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}

impl Datagram {
    /// The name of its kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Datagram::Subscribe(_) => "subscription",
            Datagram::Identity(_) => "identity",
            Datagram::Report(_) => "report",
            Datagram::Announcement(_) | Datagram::ForwardedAnnouncement(_) => "announcement",
            Datagram::Moving(_)
            | Datagram::Moved(_)
            | Datagram::QueryMove(_)
            | Datagram::QueryStop(_)
            | Datagram::StopReply(_)
            | Datagram::StopNotice(_) => "move",
            Datagram::ServerUpdate(_) => "server_update",
            Datagram::RequestSent(_) | Datagram::RequestOutcome(_) => "request",
            Datagram::Hello(_) => "hello",
            Datagram::Rejections(_) => "rejections",
            Datagram::LoadProbe(_) | Datagram::LoadProbeReply(_) => "load_probe",
            Datagram::Ping(_) | Datagram::Pong(_) => "round_trip",
            Datagram::StateOffer(_) => "state_offer",
            Datagram::Suspects(_) | Datagram::QuerySuspects => "suspects",
            Datagram::Trial(_) => "trial",
            Datagram::LimitLoan(_) => "limit_loan",
        }
    }
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerResponse {
    /// The requester is up to date.
    Nothing,
    /// The configuration.
    Config(Arc<SiteConfig>),
    /// The full list of backend servers.
    Servers(ServerListing),
    /// Changes to the list of backend servers.
    Changes(ServerChanges),
    /// The known relays.
    Relays(RelayList),
    /// The process is serving as many pulls as it can; another one may be asked.
    Busy,
}

/// A message that cannot be encoded or decoded.
#[derive(Clone, Debug, Error)]
pub enum CodecError {
    /// The bytes are no message of this version.
    #[error("a message of another process cannot be read ({0}); run the same version everywhere")]
    Malformed(String),
    /// A figure is out of bounds.
    #[error("a message of another process is rejected: {0}")]
    Figure(#[from] FigureError),
}

/// The result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(message).map_err(|error| CodecError::Malformed(error.to_string()))
}

/// Decodes a message, and checks its figures.
pub fn decode<'a, T: Deserialize<'a> + CheckFigures>(bytes: &'a [u8]) -> Result<T> {
    let message: T =
        postcard::from_bytes(bytes).map_err(|error| CodecError::Malformed(error.to_string()))?;
    message.check_figures()?;
    Ok(message)
}
