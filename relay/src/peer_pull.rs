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
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::relay::Relay;

/// Time limit of one request and its response: enough for a configuration of several hundred kilobytes in
/// three round trips between regions.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a request, and of a response. The directory limits its values to one megabyte.
const MAX_REQUEST_SIZE: u32 = 1_024;
const MAX_RESPONSE_SIZE: u32 = 16 * 1_024 * 1_024;

/// Responses that are sent at the same time. After a restart of all relays each would otherwise share its link between
/// hundreds that ask, and none of them would get its response in time.
const MAX_CONCURRENT_PULLS: usize = 8;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What answers requests for state.
pub(crate) trait StateSource: Send + Sync {
    /// The response to a request.
    fn respond(&self, request: &PeerRequest) -> PeerResponse;
}

/// Serves requests of other processes until this one ends.
pub(crate) async fn serve(source: Arc<dyn StateSource>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_PULLS));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (source, permits) = (source.clone(), permits.clone());
        tokio::spawn(async move {
            let outcome = timeout(REQUEST_TIMEOUT, respond(&*source, &permits, stream)).await;
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

async fn respond(
    source: &dyn StateSource,
    permits: &Semaphore,
    mut stream: TcpStream,
) -> eyre::Result<()> {
    let bytes = read_message(&mut stream, MAX_REQUEST_SIZE).await?;
    let request = peer_messages::decode(&bytes)?;
    let permit = permits.try_acquire();
    let response = match &permit {
        Ok(_) => source.respond(&request),
        Err(_) => PeerResponse::Busy,
    };
    write_message(&mut stream, &peer_messages::encode(&response)?).await
}

impl StateSource for Relay {
    fn respond(&self, request: &PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Relays => {
                PeerResponse::Relays(self.peers().relay_list(self.settings().peer))
            }
            PeerRequest::Config(version) if self.version() > *version => {
                PeerResponse::Config(self.table().config().clone())
            }
            PeerRequest::Servers(revision) if self.revision() > *revision => {
                let changes = self.changes_since(*revision);
                changes.map_or_else(
                    || PeerResponse::Servers(self.listing()),
                    PeerResponse::Changes,
                )
            }
            PeerRequest::Config(_) | PeerRequest::Servers(_) => PeerResponse::Nothing,
        }
    }
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
