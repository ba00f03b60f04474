//! A limit on what a backend server may send before the head of its answer is complete.
//!
//! Load pattern: a server sends one informational answer after another, as fast as it can. Each of them is valid and small;
//! together they keep the thread busy that serves all other requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// The most bytes of a head with all informational answers before it. Those of the largest heads that are parsed fit.
const MAX_HEAD_BYTES: usize = 512 * 1024;

/// A connection to a backend server that fails if the head of an answer is too large.
pub(crate) struct HeadLimited<S> {
    stream: S,
    read: usize,
    head_ended: Arc<AtomicBool>,
}

impl<S> HeadLimited<S> {
    /// Limits the head of the answer on the connection, until the flag is set.
    pub(crate) fn new(stream: S, head_ended: Arc<AtomicBool>) -> Self {
        HeadLimited {
            stream,
            read: 0,
            head_ended,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if !self.head_ended.load(Ordering::Relaxed) {
            self.read += buffer.filled().len() - before;
            if self.read > MAX_HEAD_BYTES {
                let error = "the head of the answer is too large; check the backend server";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
