//! State that a relay pulls from a peer, which the test simulates.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::PeerResponse;
use cicada_lib::peer_messages::RelayHello;
use cicada_lib::revision::Revision;
use cicada_lib::site::ServerListing;
use cicada_lib::site::ServerPhase;
use cicada_lib::site::ServerRecord;
use cicada_lib::zone_evacuation::EvacuatedZones;
use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use eyre::Result;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;

/// The port on which all relays exchange messages.
const PEER_PORT: u16 = 7_200;

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// A revision that the store never reaches.
const FUTURE_REVISION: u64 = 1_000;

/// An address in the relay's network that no process of the deployment uses.
fn unused_address(relay: SocketAddr) -> SocketAddr {
    let IpAddr::V4(ip) = relay.ip() else {
        unreachable!("relays listen on IPv4 loopback addresses");
    };
    let [first, second, third, _] = ip.octets();
    SocketAddr::new(Ipv4Addr::new(first, second, third, 252).into(), PEER_PORT)
}

/// A simulated peer that claims a newer revision than the relay under test.
struct Peer {
    datagrams: UdpSocket,
    requests: TcpListener,
    relay: SocketAddr,
}

impl Peer {
    async fn start(relay: SocketAddr) -> Result<Self> {
        let own = unused_address(relay);
        Ok(Peer {
            datagrams: UdpSocket::bind(own).await?,
            requests: TcpListener::bind(own).await?,
            relay: SocketAddr::new(relay.ip(), PEER_PORT),
        })
    }

    /// Announces the newer revision, and returns the connection on which the relay has sent its request.
    async fn accept_request(&self) -> Result<TcpStream> {
        let hello = RelayHello {
            zone: Name::new("a"),
            watches_directory: false,
            watchers: Vec::new(),
            relay_count: 1,
            list_complete: false,
            version: 0,
            revision: Revision::new(0, FUTURE_REVISION),
            known_relays: Vec::new(),
            evacuated: EvacuatedZones::default(),
            limits: Vec::new(),
            leaving: Vec::new(),
            demands: Vec::new(),
        };
        let message = peer_messages::encode(&Datagram::Hello(hello))?;
        self.datagrams.send_to(&message, self.relay).await?;
        let (mut stream, _) = self.requests.accept().await?;
        let length = stream.read_u32().await?;
        stream.read_exact(&mut vec![0; length as usize]).await?;
        Ok(stream)
    }
}

async fn send_response(mut stream: TcpStream, response: &PeerResponse) -> Result<()> {
    let bytes = peer_messages::encode(response)?;
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    Ok(())
}

/// Sends a request, and returns the index of the service that ran it, if any.
async fn serving_index(deployment: &Deployment, id: &str) -> Result<Option<usize>> {
    let ask = Ask::new("GET", "/slots/7", id, KEY);
    ask.send(deployment.relays[0].callers).await?;
    let mut services = deployment.services.iter();
    Ok(services.position(|(service, _)| service.ran().iter().any(|(ran, _)| ran == id)))
}

/// Guards against a removed server that is used again because an older list from another relay arrives late.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_comes_late_undoes_no_later_change() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 0, 0, 0).await?;
    for zone in ["a", "b"] {
        deployment.add_service_in(zone, Duration::ZERO)?;
    }
    deployment.add_relay()?;
    deployment.wait_ready(0).await?;
    let records = deployment.services.iter().map(|(service, _)| ServerRecord {
        id: Name::new(service.id()),
        service: Name::new("booking"),
        address: service.address(),
        zone: Name::new(service.zone()),
        slots: 24,
        phase: ServerPhase::Ready,
        cold: Duration::ZERO,
        born: 1_700_000_000_000,
    });
    let listing = ServerListing {
        servers: records.collect(),
        revision: Revision::new(0, 1),
    };
    let peer = Peer::start(deployment.relays[0].callers).await?;
    let request = peer.accept_request().await?;
    deployment
        .store
        .remove("servers", &deployment.services[0].0.id());
    let started = Instant::now();
    let mut number = 0;
    while serving_index(&deployment, &format!("left-{number}")).await? != Some(1) {
        assert!(started.elapsed() < PATIENCE, "the server is still used");
        number += 1;
    }
    send_response(request, &PeerResponse::Servers(listing)).await?;
    for number in 0..40 {
        let at = serving_index(&deployment, &format!("late-{number}")).await?;
        assert_eq!(at, Some(1), "{}", deployment.relays[0].process.log());
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against a relay of another version that nobody notices, since its messages are dropped without a word.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_whose_messages_cannot_be_read_is_shown() -> Result<()> {
    let deployment =
        Deployment::start_plain(Path::new(env!("CARGO_BIN_EXE_cicadad")), &["a"], &["a"]).await?;
    let peer = Peer::start(deployment.relays[0].callers).await?;
    let shown = vec![peer.datagrams.local_addr()?.to_string()];
    for _ in 0..20 {
        peer.datagrams.send_to(&[0xff; 40], peer.relay).await?;
        sleep(Duration::from_millis(20)).await;
    }
    let status = deployment.status(0).await?;
    assert_eq!(status["unreadable"], serde_json::json!(shown));
    let log = deployment.relays[0].process.log();
    let lines = log.lines().filter(|line| line.contains("cannot be read"));
    assert_eq!(lines.count(), 1);
    Ok(())
}
