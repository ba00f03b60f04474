//! A caller's connection, with a record of when something came.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::lock::lock;

/// What goes on on a connection.
#[derive(Debug)]
pub(crate) struct Progress {
    state: Mutex<State>,
    // Raised when what is due next has changed.
    changed: Notify,
}

#[derive(Clone, Copy, Debug)]
struct State {
    // Requests whose answer is not yet sent.
    open: u32,
    // Since when the head of the next request is coming.
    head: Option<Instant>,
    // The end of the last answer, or the connection's begin.
    idle: Instant,
}

/// Why a connection is closed from this side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Overdue {
    /// The head of a request took too long.
    Head,
    /// Nothing came for too long.
    Idle,
}

impl Progress {
    /// A new connection.
    pub(crate) fn new() -> Self {
        Progress {
            state: Mutex::new(State {
                open: 0,
                head: None,
                idle: Instant::now(),
            }),
            changed: Notify::new(),
        }
    }

    /// Waits until something else is due than before.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// The head of a request is there.
    pub(crate) fn began(&self) {
        let mut state = self.lock();
        state.open += 1;
        state.head = None;
    }

    /// An answer is sent, or was given up.
    pub(crate) fn ended(&self) {
        let mut state = self.lock();
        state.open = state.open.saturating_sub(1);
        state.idle = Instant::now();
        self.changed.notify_one();
    }

    /// When the connection will be overdue if nothing comes, and of what.
    pub(crate) fn due(&self, head: Duration, idle: Duration) -> Option<(Instant, Overdue)> {
        let state = *self.lock();
        match (state.open, state.head) {
            (0, Some(since)) => Some((since + head, Overdue::Head)),
            (0, None) => Some((state.idle + idle, Overdue::Idle)),
            _ => None,
        }
    }

    fn read(&self) {
        let mut state = self.lock();
        if state.open == 0 && state.head.is_none() {
            state.head = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// A caller's connection.
pub(crate) struct CallerIo {
    stream: TcpStream,
    progress: Arc<Progress>,
}

impl CallerIo {
    /// Watches over what is read from the stream.
    pub(crate) fn new(stream: TcpStream, progress: Arc<Progress>) -> Self {
        CallerIo { stream, progress }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buf);
        if outcome.is_ready() && buf.filled().len() > before {
            self.progress.read();
        }
        outcome
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
