//! Relays read from each other what the directory does not give them.
//!
//! The directory may turn one host away while it serves the others. Without this, such a host would go
//! on by a configuration whose keys are revoked, and send work to servers that have left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::peer_words;
use cicada_lib::peer_words::PeerAnswer;
use cicada_lib::peer_words::PeerQuestion;
use eyre::Context;
use eyre::bail;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::relay::Relay;

/// The longest time for one question and its answer: a configuration of some hundred kilobytes over
/// three round trips between regions.
const ASK_TIME: Duration = Duration::from_millis(1_200);

/// The largest question, and the largest answer. The directory's own values have a megabyte.
const MOST_QUESTION: u32 = 1_024;
const MOST_ANSWER: u32 = 16 * 1_024 * 1_024;

/// The pause after a connection that could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers other relays until the process ends.
pub(crate) async fn serve(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move {
            let answering = timeout(ASK_TIME, answer(&relay, stream)).await;
            match answering {
                Ok(Ok(())) => {}
                Ok(Err(error)) => tracing::debug!(%from, %error, "peers: a question failed"),
                Err(_) => tracing::debug!(%from, "peers: a question took too long"),
            }
        });
    }
}

/// Asks another relay.
pub(crate) async fn ask(peer: SocketAddr, question: &PeerQuestion) -> eyre::Result<PeerAnswer> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        write(&mut stream, &peer_words::encode(question)?).await?;
        let bytes = read(&mut stream, MOST_ANSWER).await?;
        eyre::Ok(peer_words::decode(&bytes)?)
    };
    timeout(ASK_TIME, exchange)
        .await
        .wrap_err("no answer in time")?
}

async fn answer(relay: &Relay, mut stream: TcpStream) -> eyre::Result<()> {
    let bytes = read(&mut stream, MOST_QUESTION).await?;
    let answer = match peer_words::decode(&bytes)? {
        PeerQuestion::Config(version) if relay.version() > version => {
            PeerAnswer::Config(relay.table().config().clone())
        }
        PeerQuestion::Servers(revision) if relay.revision() > revision => {
            let missed = relay.changes_since(revision);
            missed.map_or_else(|| PeerAnswer::Servers(relay.listing()), PeerAnswer::Changes)
        }
        PeerQuestion::Config(_) | PeerQuestion::Servers(_) => PeerAnswer::Nothing,
    };
    write(&mut stream, &peer_words::encode(&answer)?).await
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> eyre::Result<()> {
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(bytes).await?;
    Ok(())
}

async fn read(stream: &mut TcpStream, most: u32) -> eyre::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > most {
        bail!("a message of {length} bytes is over the limit of {most}");
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
