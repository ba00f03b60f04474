//! Connections to backend servers.
//!
//! Each request has a connection of its own. An answer that comes late, twice or with more bytes than
//! it should then meets no other request, and a connection that went silent while it was kept cannot
//! swallow one. Opening one within an availability zone takes less than a millisecond.

use std::net::SocketAddr;
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
use tokio::time::sleep;
use tokio::time::timeout;

/// After this, or three round trips, a second connection is tried beside the first: its opening packet may be lost,
/// and the kernel sends it again only after a second.
const SECOND_TRY: Duration = Duration::from_millis(180);

/// The longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(700);

/// A server that acknowledges nothing for so long is out of reach.
const SILENT_TIME: Duration = Duration::from_secs(3);

/// Why there is no answer.
#[derive(Clone, Debug, Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[error("the server could not be reached ({0}); another one may be tried")]
    NotSent(String),
    /// The request may have reached the server.
    #[error("the connection to the server was lost ({0}); the request may have run")]
    Lost(String),
}

/// Closes the connection when dropped, by which the server learns that nobody waits any more.
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose head is there, and the connection that it comes on.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
}

/// A connection that is open and has carried nothing.
pub(crate) struct Opened {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
}

/// Opens a connection to a server that is a round trip away.
pub(crate) async fn open(server: SocketAddr, trip: Duration) -> Result<Opened, SendError> {
    let stream = match timeout(CONNECT_TIME + trip * 3, connect(server, trip)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(SendError::NotSent(error.to_string())),
        Err(_) => return Err(SendError::NotSent("no connection in time".into())),
    };
    prepare(&stream).map_err(|error| SendError::NotSent(error.to_string()))?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = opened.map_err(|error| SendError::NotSent(error.to_string()))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::trace!(%error, "upstream: a connection broke");
        }
    }));
    Ok(Opened { sender, connection })
}

impl Opened {
    /// Sends the request, and returns when the answer's head is there.
    pub(crate) async fn send(mut self, request: Request<Full<Bytes>>) -> Result<Answer, SendError> {
        match self.sender.send_request(request).await {
            Ok(response) => Ok(Answer {
                response,
                connection: self.connection,
            }),
            Err(error) => Err(SendError::Lost(error.to_string())),
        }
    }
}

async fn connect(server: SocketAddr, trip: Duration) -> std::io::Result<TcpStream> {
    let first = TcpStream::connect(server);
    tokio::pin!(first);
    tokio::select! {
        outcome = &mut first => return outcome,
        () = sleep(SECOND_TRY.max(trip * 3)) => {}
    }
    tokio::select! {
        outcome = &mut first => outcome,
        outcome = TcpStream::connect(server) => outcome,
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENT_TIME))
}
