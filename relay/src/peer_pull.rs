//! Requests between relays over TCP, for state that the directory does not give one of them.
//!
//! The directory may reject one host while it serves the others. Without these requests such a host would
//! keep using a configuration whose keys have been revoked, and send requests to servers that have left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::peer_messages;
use cicada_lib::peer_messages::PeerRequest;
use cicada_lib::peer_messages::PeerResponse;
use eyre::Context;
use eyre::bail;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::relay::Relay;

/// Time limit of one request and its response: enough for a configuration of several hundred kilobytes in
/// three round trips between regions.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a request, and of a response. The directory limits its values to one megabyte.
const MAX_REQUEST_SIZE: u32 = 1_024;
const MAX_RESPONSE_SIZE: u32 = 16 * 1_024 * 1_024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves requests of other relays until the process ends.
pub(crate) async fn serve(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move {
            let outcome = timeout(REQUEST_TIMEOUT, respond(&relay, stream)).await;
            match outcome {
                Ok(Ok(())) => {}
                Ok(Err(error)) => tracing::debug!(%from, %error, "peers: a request failed"),
                Err(_) => tracing::debug!(%from, "peers: a request timed out"),
            }
        });
    }
}

/// Sends a request to another relay and returns its response.
pub(crate) async fn request(
    peer: SocketAddr,
    question: &PeerRequest,
) -> eyre::Result<PeerResponse> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        write_message(&mut stream, &peer_messages::encode(question)?).await?;
        let bytes = read_message(&mut stream, MAX_RESPONSE_SIZE).await?;
        eyre::Ok(peer_messages::decode(&bytes)?)
    };
    timeout(REQUEST_TIMEOUT, exchange)
        .await
        .wrap_err("no response in time")?
}

async fn respond(relay: &Relay, mut stream: TcpStream) -> eyre::Result<()> {
    let bytes = read_message(&mut stream, MAX_REQUEST_SIZE).await?;
    let response = match peer_messages::decode(&bytes)? {
        PeerRequest::Config(version) if relay.version() > version => {
            PeerResponse::Config(relay.table().config().clone())
        }
        PeerRequest::Servers(revision) if relay.revision() > revision => {
            let changes = relay.changes_since(revision);
            changes.map_or_else(
                || PeerResponse::Servers(relay.listing()),
                PeerResponse::Changes,
            )
        }
        PeerRequest::Config(_) | PeerRequest::Servers(_) => PeerResponse::Nothing,
    };
    write_message(&mut stream, &peer_messages::encode(&response)?).await
}

async fn write_message(stream: &mut TcpStream, bytes: &[u8]) -> eyre::Result<()> {
    stream.write_u32(u32::try_from(bytes.len())?).await?;
    stream.write_all(bytes).await?;
    Ok(())
}

async fn read_message(stream: &mut TcpStream, limit: u32) -> eyre::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > limit {
        bail!("a message of {length} bytes exceeds the limit of {limit}");
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
