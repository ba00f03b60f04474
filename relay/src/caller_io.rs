//! A caller's connection, with a record of its activity for timeouts.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use http::Version;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::lock::lock;

/// How long a caller may accept no byte of a response. What is held for it is freed then.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Activity on a connection: open requests, and the times from which its timeouts count.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    state: Mutex<State>,
    // Notified when the next timeout changes.
    changed: Notify,
}

#[derive(Clone, Copy, Debug)]
struct State {
    // Requests whose response is not yet sent.
    open_requests: u32,
    // Whether a request has arrived.
    used: bool,
    // When the first bytes of the next request's head were read.
    head_since: Option<Instant>,
    // When the last response ended, or the connection was opened.
    idle_since: Instant,
    // Since when the caller accepts no more bytes.
    unread_since: Option<Instant>,
    // Whether a response has no other end than that of the connection: its caller knows no chunks.
    ends_response: bool,
    // Whether a response was broken off. No other one follows it.
    aborted: bool,
}

/// The timeout for which a connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionTimeout {
    /// The head of a request did not arrive in time.
    Head,
    /// The connection was idle for too long.
    Idle,
    /// The caller has accepted no byte of a response for too long.
    Unread,
}

impl ConnectionActivity {
    /// Creates the record of a new connection.
    pub(crate) fn new() -> Self {
        ConnectionActivity {
            state: Mutex::new(State {
                open_requests: 0,
                used: false,
                head_since: None,
                idle_since: Instant::now(),
                unread_since: None,
                ends_response: false,
                aborted: false,
            }),
            changed: Notify::new(),
        }
    }

    /// Waits until the next timeout changes.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that the head of a request in this version of HTTP is complete.
    pub(crate) fn request_started(&self, version: Version) {
        let mut state = self.lock();
        state.ends_response = version < Version::HTTP_11;
        state.open_requests += 1;
        state.used = true;
        state.head_since = None;
    }

    /// Records that a response was sent or abandoned.
    pub(crate) fn response_ended(&self) {
        let mut state = self.lock();
        state.open_requests = state.open_requests.saturating_sub(1);
        state.idle_since = Instant::now();
        self.changed.notify_one();
    }

    /// Records that the response is broken off.
    pub(crate) fn response_aborted(&self) {
        self.lock().aborted = true;
    }

    /// Returns since when no request is open or arriving, and whether there was one before; `None` if there is one.
    pub(crate) fn idle_since(&self) -> Option<(Instant, bool)> {
        let state = *self.lock();
        let idle = state.open_requests == 0 && state.head_since.is_none();
        idle.then_some((state.idle_since, state.used))
    }

    /// Whether the end of the connection would complete a response that is not complete.
    fn must_reset(&self) -> bool {
        let state = self.lock();
        state.ends_response && (state.aborted || state.open_requests > 0)
    }

    /// Returns when the connection times out if nothing arrives or is accepted, and by which timeout. `None` while a
    /// request is open and the caller reads its response.
    pub(crate) fn next_timeout(
        &self,
        head: Duration,
        idle: Duration,
    ) -> Option<(Instant, ConnectionTimeout)> {
        let state = *self.lock();
        if let Some(since) = state.unread_since {
            return Some((since + UNREAD_TIMEOUT, ConnectionTimeout::Unread));
        }
        match (state.open_requests, state.head_since) {
            (0, Some(since)) => Some((since + head, ConnectionTimeout::Head)),
            (0, None) => Some((state.idle_since + idle, ConnectionTimeout::Idle)),
            _ => None,
        }
    }

    fn bytes_read(&self) {
        let mut state = self.lock();
        if state.open_requests == 0 && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    /// Records whether the caller accepted bytes, or has no room for them.
    fn bytes_offered(&self, accepted: bool) {
        let mut state = self.lock();
        match (accepted, state.unread_since) {
            (true, _) => state.unread_since = None,
            (false, None) => {
                state.unread_since = Some(Instant::now());
                self.changed.notify_one();
            }
            (false, Some(_)) => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// A caller's connection.
pub(crate) struct CallerIo {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
}

impl CallerIo {
    /// Wraps a stream, and records in `activity` when bytes are read from it.
    pub(crate) fn new(stream: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        CallerIo { stream, activity }
    }
}

impl Drop for CallerIo {
    fn drop(&mut self) {
        // Closing with this option resets the connection.
        if self.activity.must_reset()
            && let Err(error) = self.stream.set_zero_linger()
        {
            tracing::warn!(%error, "callers: a broken response may look complete, its connection could not be reset");
        }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if result.is_ready() && buf.filled().len() > before {
            self.activity.bytes_read();
        }
        result
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.bytes_offered(written.is_ready());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.bytes_offered(written.is_ready());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
