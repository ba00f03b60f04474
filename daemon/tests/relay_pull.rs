//! What a relay takes over from another one, which the test plays.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_words;
use cicada_lib::peer_words::Datagram;
use cicada_lib::peer_words::PeerAnswer;
use cicada_lib::peer_words::RelayHello;
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

/// The port of all relays' words.
const PEER: u16 = 7_200;

/// The longest wait for something that takes a moment. It judges no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// A revision that the store does not reach.
const AHEAD: u64 = 1_000;

/// An address in the relay's network that no process of the deployment has.
fn beside(relay: SocketAddr) -> SocketAddr {
    let IpAddr::V4(ip) = relay.ip() else {
        unreachable!("relays stand on the loopback");
    };
    let [first, second, third, _] = ip.octets();
    SocketAddr::new(Ipv4Addr::new(first, second, third, 252).into(), PEER)
}

/// Another relay, which says that it knows more than the one at the address.
struct Peer {
    words: UdpSocket,
    questions: TcpListener,
    relay: SocketAddr,
}

impl Peer {
    async fn start(relay: SocketAddr) -> Result<Self> {
        let own = beside(relay);
        Ok(Peer {
            words: UdpSocket::bind(own).await?,
            questions: TcpListener::bind(own).await?,
            relay: SocketAddr::new(relay.ip(), PEER),
        })
    }

    /// The relay's question, once it has asked.
    async fn asked(&self) -> Result<TcpStream> {
        let hello = RelayHello {
            zone: Name::new("a"),
            fed: false,
            version: 0,
            revision: Revision::new(0, AHEAD),
            others: Vec::new(),
            evacuated: EvacuatedZones::default(),
            limits: Vec::new(),
        };
        let word = peer_words::encode(&Datagram::Hello(hello))?;
        self.words.send_to(&word, self.relay).await?;
        let (mut stream, _) = self.questions.accept().await?;
        let length = stream.read_u32().await?;
        stream.read_exact(&mut vec![0; length as usize]).await?;
        Ok(stream)
    }
}

async fn answer(mut stream: TcpStream, answer: &PeerAnswer) -> Result<()> {
    let bytes = peer_words::encode(answer)?;
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(&bytes).await?;
    Ok(())
}

/// The place of the service that runs a request.
async fn place(deployment: &Deployment, id: &str) -> Result<Option<usize>> {
    let ask = Ask::new("GET", "/slots/7", id, KEY);
    ask.send(deployment.relays[0].callers).await?;
    let mut services = deployment.services.iter();
    Ok(services.position(|(service, _)| service.ran().iter().any(|(ran, _)| ran == id)))
}

/// Guards against a server that has left, and is used again since another relay's older list came late.
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
    let question = peer.asked().await?;
    deployment
        .store
        .remove("servers", deployment.services[0].0.id());
    let begun = Instant::now();
    let mut number = 0;
    while place(&deployment, &format!("left-{number}")).await? != Some(1) {
        assert!(begun.elapsed() < PATIENCE, "the server is still used");
        number += 1;
    }
    answer(question, &PeerAnswer::Servers(listing)).await?;
    for number in 0..40 {
        let at = place(&deployment, &format!("late-{number}")).await?;
        assert_eq!(at, Some(1), "{}", deployment.relays[0].process.log());
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
