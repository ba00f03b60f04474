//! Datagrams with odd figures and odd bytes, sent to a relay and to a scout that run in the test.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use cicada_lib::crash_mark::CrashId;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Exposure;
use cicada_lib::dialect::Copied;
use cicada_lib::dialect::EngineCalls;
use cicada_lib::dialect::EngineHealth;
use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::MoveError;
use cicada_lib::dialect::MoveStep;
use cicada_lib::dialect::ReportError;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::fleet::Location;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::EngineIdentity;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::LoadProbeReply;
use cicada_lib::peer_messages::MovedRun;
use cicada_lib::peer_messages::RelayHello;
use cicada_lib::peer_messages::RequestOutcome;
use cicada_lib::peer_messages::RequestSent;
use cicada_lib::peer_messages::ScoutReport;
use cicada_lib::peer_messages::ServerUpdate;
use cicada_lib::peer_messages::Subscription;
use cicada_lib::peer_messages::SuspectNotice;
use cicada_lib::peer_messages::TrialMessage;
use cicada_lib::recent_rejections::RejectionNotice;
use cicada_lib::retry_share::RetryLimit;
use cicada_lib::revision::Revision;
use cicada_lib::server_leaving::LeavingReport;
use cicada_lib::server_limit::LimitReport;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerChanges;
use cicada_lib::site::ServerPhase;
use cicada_lib::site::ServerRecord;
use cicada_lib::state_holders::StateOffer;
use cicada_lib::state_holders::StateVersion;
use cicada_lib::suspect_trials::TrialReply;
use cicada_lib::suspect_trials::TrialRequest;
use cicada_lib::watch_election::WatchStatement;
use cicada_lib::zone_evacuation::EvacuatedZones;
use cicada_platform::HttpEngines;
use cicada_platform::PlatformDialect;
use cicada_relay::Policy;
use cicada_relay::Relay;
use cicada_relay::RelayMetrics;
use cicada_relay::RelaySettings;
use cicada_relay::ReloadableSettings;
use cicada_relay::Scout;
use eyre::Result;
use prometheus::Registry;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;
use tracing_subscriber::fmt::MakeWriter;

/// Rounds of all kinds of datagrams.
const ROUNDS: usize = 400;

/// The hosts: that of the sender, which all datagrams name as an engine's, that of a relay, and that of a scout.
const SENDER: u8 = 1;
const RELAY: u8 = 2;
const SCOUT: u8 = 3;

/// A pause after which what was sent has been read.
const READ_TIME: Duration = Duration::from_millis(2);

/// An address that no other process of this machine takes.
fn address(host: u8, port: u16) -> SocketAddr {
    let [.., upper, lower] = std::process::id().to_be_bytes();
    let host = [127, 241 + upper % 8, lower, host];
    (host, port).into()
}

fn engine() -> EngineLocation {
    EngineLocation {
        address: address(SENDER, 8_701),
        service: Name::new("drafts"),
        zone: Name::new("a"),
    }
}

/// Small and large figures, and those near the ends of their ranges.
fn figure() -> u64 {
    let near = [
        0,
        1,
        100,
        65_536,
        1 << 20,
        u64::from(u32::MAX),
        1 << 36,
        1 << 53,
        u64::MAX,
    ];
    near[fastrand::usize(..near.len())].saturating_sub(fastrand::u64(..2))
}

fn short() -> u32 {
    u32::try_from(figure()).unwrap_or(u32::MAX)
}

fn revision() -> Revision {
    Revision::new(0, figure())
}

fn load() -> EngineLoad {
    EngineLoad {
        born: Some(figure()),
        queued: short(),
        running: short(),
        prefilling: short(),
        used: figure(),
        peak_tokens: figure(),
        prefill_tokens: figure(),
        prefill_rate: short(),
        capacity: figure(),
        failure_percent: fastrand::u8(..),
        cold: short(),
        leaves: Some(short()),
        interval_ms: short(),
        prefill_percent: fastrand::u8(..),
        leaving: fastrand::bool(),
        ..EngineLoad::default()
    }
}

fn marks() -> Vec<CrashMark> {
    let mark = CrashMark {
        fingerprint: Fingerprint(u128::from(fastrand::u8(..4))),
        crash: CrashId(figure()),
        exposure: Exposure::Trial,
        run: short(),
        cleared: fastrand::bool(),
        age: figure(),
    };
    vec![mark]
}

fn record() -> ServerRecord {
    ServerRecord {
        id: Name::new("e-1"),
        service: engine().service,
        address: engine().address,
        zone: engine().zone,
        slots: short(),
        phase: ServerPhase::Ready,
        cold: Duration::from_secs(figure()),
        born: figure(),
    }
}

/// Datagrams of all kinds that carry figures.
fn datagrams(relay: SocketAddr) -> Vec<Datagram> {
    let id = Name::new(fastrand::u8(..8).to_string());
    let report = || ScoutReport {
        engine: engine(),
        load: load(),
    };
    let evacuated = EvacuatedZones {
        revision: revision(),
        ..EvacuatedZones::default()
    };
    let state = StateVersion {
        version: figure(),
        revision: revision(),
        relay_count: short(),
    };
    let server = Name::new("e-1");
    let hello = RelayHello {
        zone: Name::new("a"),
        watches_directory: true,
        watchers: vec![WatchStatement {
            relay,
            watches: true,
            age_ms: short(),
        }],
        relay_count: short(),
        list_complete: true,
        version: figure(),
        revision: revision(),
        known_relays: Vec::new(),
        evacuated: evacuated.clone(),
        limits: vec![LimitReport {
            server: server.clone(),
            limit: RequestRate::new(figure() as f64),
            age: short(),
        }],
        leaving: vec![LeavingReport {
            server,
            born: figure(),
            age: short(),
        }],
        demands: Vec::new(),
    };
    let trial = TrialRequest {
        trial: figure(),
        suspects: vec![Fingerprint(1)],
        service: Fingerprint(2),
        servers: fastrand::u16(..),
        entry: relay,
        hops: fastrand::u8(..),
    };
    let reply = TrialReply {
        trial: figure(),
        service: Fingerprint(2),
        granted: false,
        paused: Some(short()),
        marks: marks(),
    };
    let moved = MovedRun {
        id: id.clone(),
        source: engine().address,
        target: None,
        handle: id.clone(),
    };
    vec![
        Datagram::ServerUpdate(ServerUpdate {
            after: Revision::default(),
            changes: ServerChanges {
                changes: vec![ServerChange::Put(record())],
                revision: revision(),
            },
        }),
        Datagram::Report(report()),
        Datagram::LoadProbeReply(LoadProbeReply {
            id: id.clone(),
            report: report(),
        }),
        Datagram::RequestSent(RequestSent {
            id: id.clone(),
            engine: engine().address,
            prompt: figure(),
            tokens: figure(),
        }),
        Datagram::LoadProbe(LoadProbe {
            id: id.clone(),
            engine: engine().address,
            prompt: figure(),
            tokens: figure(),
            probed_engines: short(),
        }),
        Datagram::Subscribe(Subscription {
            cold: Some(short()),
            state: Some(state.clone()),
            evacuated: evacuated.clone(),
            health: None,
            ..Subscription::default()
        }),
        Datagram::RequestOutcome(RequestOutcome {
            engine: engine().address,
            succeeded: fastrand::bool(),
        }),
        Datagram::Rejections(vec![RejectionNotice {
            fingerprint: figure(),
            waited: short(),
            due_in: short(),
        }]),
        Datagram::Identity(EngineIdentity {
            engine: engine(),
            id,
            predecessors: Vec::new(),
            unbroken: fastrand::bool(),
        }),
        Datagram::Suspects(SuspectNotice { marks: marks() }),
        Datagram::Trial(TrialMessage::Request(trial)),
        Datagram::Trial(TrialMessage::Reply(reply)),
        Datagram::StateOffer(StateOffer { state, evacuated }),
        Datagram::Moving(moved.clone()),
        Datagram::Moved(moved),
        Datagram::Pong(short()),
        Datagram::Announcement(engine()),
        Datagram::Hello(hello),
    ]
}

/// The bytes with some of them replaced, most often by the beginning of a large number.
fn garbled(mut bytes: Vec<u8>) -> Vec<u8> {
    for _ in 0..fastrand::usize(1..6) {
        let at = fastrand::usize(..bytes.len());
        bytes[at] = match fastrand::bool() {
            true => 0xff,
            false => fastrand::u8(..),
        };
    }
    bytes
}

/// Sends datagrams with odd figures, and with odd bytes, to a process.
async fn send_odd_datagrams(socket: &UdpSocket, to: SocketAddr) -> Result<()> {
    fastrand::seed(7);
    for _ in 0..ROUNDS {
        for datagram in datagrams(to) {
            let bytes = peer_messages::encode(&datagram)?;
            socket.send_to(&bytes, to).await?;
            socket.send_to(&garbled(bytes), to).await?;
        }
        sleep(READ_TIME).await;
    }
    Ok(())
}

/// Keeps what is logged.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl io::Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = Log;

    fn make_writer(&'a self) -> Log {
        self.clone()
    }
}

/// The lines on panics.
fn panics(log: &Log) -> Vec<String> {
    let log = String::from_utf8_lossy(&log.0.lock().unwrap()).into_owned();
    let panics = log.lines().filter(|line| line.contains("panicked"));
    panics.map(String::from).collect()
}

fn settings(peer: SocketAddr) -> RelaySettings {
    let port = |port| SocketAddr::new(peer.ip(), port);
    RelaySettings {
        name: Name::new("relay"),
        peer,
        seeds: Vec::new(),
        listen: port(7_301),
        ready: port(7_302),
        place: Location {
            zone: Name::new("a"),
            regions: HashMap::from([(Name::new("a"), Name::new("r"))])
                .into_iter()
                .collect(),
        },
        first_start: true,
        config_apply: Duration::from_secs(3),
        drain_apply: Duration::from_secs(3),
        memory: 0,
        reloadable: ReloadableSettings {
            retry_limit: RetryLimit {
                ratio: 0.1,
                slack: 1.0,
                window: Duration::from_secs(10),
            },
            grace: Duration::from_secs(1),
            policy: Policy {
                refuse: true,
                returns: true,
                resume: true,
                patience: true,
                avoid: true,
                shares: true,
                ask: true,
                handoff: true,
                rescue: true,
                wait: true,
                lend: true,
            },
        },
    }
}

/// Guards against a relay whose exchange of datagrams ends at an odd one.
#[tokio::test]
async fn odd_datagrams_end_nothing_in_a_relay() -> Result<()> {
    let log = Log::default();
    let subscriber = tracing_subscriber::fmt().with_writer(log.clone()).finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    let peer = address(RELAY, 7_200);
    let relay = Relay::new(
        settings(peer),
        Arc::new(PlatformDialect::new()),
        Arc::new(HttpEngines::new()),
        RelayMetrics::new(&Registry::new())?,
    );
    relay.serve().await?;
    let socket = UdpSocket::bind(address(SENDER, 7_200)).await?;
    send_odd_datagrams(&socket, peer).await?;
    assert_eq!(panics(&log), Vec::<String>::new());
    // What it has sent in the meantime is read first.
    let answers = async {
        socket
            .send_to(&peer_messages::encode(&Datagram::Ping(77))?, peer)
            .await?;
        let mut buffer = [0; peer_messages::MAX_DATAGRAM];
        loop {
            let (length, _) = socket.recv_from(&mut buffer).await?;
            if let Ok(Datagram::Pong(77)) = peer_messages::decode(&buffer[..length]) {
                return eyre::Ok(());
            }
        }
    };
    timeout(Duration::from_secs(5), answers).await?
}

/// An engine that does nothing.
struct IdleEngine;

#[async_trait]
impl EngineCalls for IdleEngine {
    async fn report(&self, _: SocketAddr) -> std::result::Result<EngineReport, ReportError> {
        Ok(EngineReport::default())
    }

    async fn health(
        &self,
        _: SocketAddr,
        _: &Name,
    ) -> std::result::Result<EngineHealth, ReportError> {
        Err(ReportError("no answer".into()))
    }

    async fn move_run(
        &self,
        _: SocketAddr,
        _: &Name,
        _: SocketAddr,
        _: MoveStep,
    ) -> std::result::Result<Copied, MoveError> {
        Err(MoveError::NoRun)
    }

    async fn drop_copy(&self, _: SocketAddr, _: &Name) {}
}

/// Guards against a scout that ends at an odd datagram, or at what it has to report after it.
#[tokio::test]
async fn odd_datagrams_end_nothing_in_a_scout() -> Result<()> {
    let log = Log::default();
    let subscriber = tracing_subscriber::fmt().with_writer(log.clone()).finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    let peer = address(SCOUT, 7_201);
    let scout = Scout::bind(peer, engine(), Vec::new(), Arc::new(IdleEngine)).await?;
    tokio::spawn(scout.run());
    let socket = UdpSocket::bind(address(SENDER, 7_201)).await?;
    send_odd_datagrams(&socket, peer).await?;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(panics(&log), Vec::<String>::new());
    let mut buffer = [0; peer_messages::MAX_DATAGRAM];
    let reports = async {
        loop {
            let (length, _) = socket.recv_from(&mut buffer).await?;
            if let Ok(Datagram::Report(_)) = peer_messages::decode(&buffer[..length]) {
                return eyre::Ok(());
            }
        }
    };
    timeout(Duration::from_secs(5), reports).await?
}
