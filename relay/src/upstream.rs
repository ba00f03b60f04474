//! Connections to backend servers.
//!
//! Each request has a connection of its own. A late, duplicate or overlong answer therefore cannot be taken for the
//! answer to another request, and no request is lost on a pooled connection that went dead while idle. Opening a
//! connection within an availability zone takes less than a millisecond.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::head_limit::HeadLimited;

/// A second connection attempt starts after this time or three round trips, whichever is longer, in parallel with the
/// first one: the first one's SYN may be lost, and the kernel retransmits it only after a second.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(180);

/// Timeout for opening a connection, to which three round trips are added.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for asking whether a server is there, to which three round trips are added.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(150);

/// TCP user timeout: a server that acknowledges nothing for this long counts as unreachable.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request got no answer.
#[derive(Clone, Debug, Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[error("the server could not be reached ({0}); another one may be tried")]
    NotSent(String),
    /// The request may have reached the server.
    #[error("the connection to the server was lost ({0}); the request may have run")]
    Lost(String),
}

/// Closes the connection when dropped, which tells the server that nobody waits for the answer any more.
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose head has arrived, and the connection that its body comes on.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
}

/// An open connection that has not been used yet.
pub(crate) struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
    opened: Instant,
    head_ended: Arc<AtomicBool>,
}

/// Opens a connection to a server at the given round-trip time.
pub(crate) async fn open(
    server: SocketAddr,
    round_trip: Duration,
) -> Result<OpenConnection, SendError> {
    let stream = match timeout(
        CONNECT_TIMEOUT + round_trip * 3,
        connect(server, round_trip),
    )
    .await
    {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(SendError::NotSent(error.to_string())),
        Err(_) => return Err(SendError::NotSent("timed out while connecting".into())),
    };
    set_socket_options(&stream).map_err(|error| SendError::NotSent(error.to_string()))?;
    let head_ended = Arc::new(AtomicBool::new(false));
    let stream = HeadLimited::new(stream, head_ended.clone());
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = opened.map_err(|error| SendError::NotSent(error.to_string()))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::trace!(%error, "upstream: connection failed");
        }
    }));
    Ok(OpenConnection {
        sender,
        connection,
        opened: Instant::now(),
        head_ended,
    })
}

/// What a connection attempt tells of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PortState {
    /// It accepts connections.
    Accepts,
    /// Nothing listens at its port: its process has ended.
    Refuses,
    /// It does not answer in time, or cannot be reached.
    Silent,
}

impl PortState {
    /// The name in logs and counters.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PortState::Accepts => "accepts",
            PortState::Refuses => "refuses",
            PortState::Silent => "silent",
        }
    }
}

/// Asks whether the server is there. Takes one round trip if it or its host answers.
pub(crate) async fn port_state(server: SocketAddr, round_trip: Duration) -> PortState {
    let limit = ACCEPT_TIMEOUT + round_trip * 3;
    match timeout(limit, TcpStream::connect(server)).await {
        Ok(Ok(_)) => PortState::Accepts,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => PortState::Refuses,
        Ok(Err(_)) | Err(_) => PortState::Silent,
    }
}

impl OpenConnection {
    /// Time since it was opened.
    pub(crate) fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Sends the request, and returns when the head of the answer has arrived.
    pub(crate) async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Answer, SendError> {
        match self.sender.send_request(request).await {
            Ok(response) => {
                self.head_ended.store(true, Ordering::Relaxed);
                Ok(Answer {
                    response,
                    connection: self.connection,
                })
            }
            Err(error) => Err(SendError::Lost(error.to_string())),
        }
    }
}

/// Connects, with a second attempt in parallel if the first one takes long.
async fn connect(server: SocketAddr, round_trip: Duration) -> std::io::Result<TcpStream> {
    let first = TcpStream::connect(server);
    tokio::pin!(first);
    tokio::select! {
        outcome = &mut first => return outcome,
        () = sleep(SECOND_ATTEMPT_DELAY.max(round_trip * 3)) => {}
    }
    tokio::select! {
        outcome = &mut first => outcome,
        outcome = TcpStream::connect(server) => outcome,
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
