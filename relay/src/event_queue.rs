//! The events of a stream that its caller has not read yet.
//!
//! An engine cuts off an answer that is not read for some seconds, and its memory is held as long as it writes. Events
//! are therefore read on and held here while the caller is slower than the engine, within the process's budget. A
//! caller that reads nothing while there is no room is given up on purpose, before the process falls or the engine cuts
//! the answer off.

use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::byte_budget::HeldBytes;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::answer::StreamAborted;
use crate::lock::lock;

/// The most bytes that are held for one stream: several long answers.
const MAX_UNREAD_BYTES: usize = 512 * 1024;

/// How long a caller may read nothing while there is no room for the next event.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why an event was not queued.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum QueueError {
    /// The caller has closed the connection.
    #[error("the caller is gone")]
    CallerGone,
    /// The caller reads too slowly.
    #[error("the caller reads too slowly, and what is held for it has reached its bound")]
    TooSlow,
}

/// What the two ends share.
struct Shared {
    held: Mutex<HeldBytes>,
    // Notified when the caller has read something.
    read: Notify,
}

impl Shared {
    fn try_hold(&self, bytes: usize) -> bool {
        let mut held = lock(&self.held);
        // A single event may exceed the bound of the stream, but not that of the caller.
        let fits = held.bytes() == 0 || held.bytes() + bytes <= MAX_UNREAD_BYTES;
        fits && held.grow(bytes).is_ok()
    }

    fn release(&self, bytes: usize) {
        lock(&self.held).shrink(bytes);
        self.read.notify_one();
    }
}

/// What is queued for a caller.
enum Piece {
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The end at which events are queued. Unless the stream is completed, dropping it aborts the stream.
pub(crate) struct EventSender {
    shared: Arc<Shared>,
    pieces: mpsc::UnboundedSender<Piece>,
}

/// The end at which the caller's connection reads them.
pub(crate) struct EventReceiver {
    shared: Arc<Shared>,
    pieces: mpsc::UnboundedReceiver<Piece>,
}

/// Creates the queue of a stream.
pub(crate) fn event_queue(held: HeldBytes) -> (EventSender, EventReceiver) {
    let shared = Arc::new(Shared {
        held: Mutex::new(held),
        read: Notify::new(),
    });
    let (sender, receiver) = mpsc::unbounded_channel();
    let sender = EventSender {
        shared: shared.clone(),
        pieces: sender,
    };
    let receiver = EventReceiver {
        shared,
        pieces: receiver,
    };
    (sender, receiver)
}

impl EventSender {
    /// Queues whole events. Waits for room while the caller reads.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), QueueError> {
        while !self.shared.try_hold(bytes.len()) {
            tokio::select! {
                () = self.pieces.closed() => return Err(QueueError::CallerGone),
                read = timeout(STALL_TIMEOUT, self.shared.read.notified()) => {
                    read.map_err(|_| QueueError::TooSlow)?;
                }
            }
        }
        let sent = self.pieces.send(Piece::Events(bytes));
        sent.map_err(|_| QueueError::CallerGone)
    }

    /// Ends the stream as complete, after what is queued.
    pub(crate) fn complete(self) {
        // The send fails only if the caller is gone.
        drop(self.pieces.send(Piece::End));
    }

    /// Waits until the caller has closed the connection.
    pub(crate) async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl EventReceiver {
    /// Polls for the next events. A stream whose sender is dropped without completing it ends with an error.
    pub(crate) fn poll_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamAborted>>> {
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Piece::Events(bytes)) => {
                self.shared.release(bytes.len());
                Some(Ok(bytes))
            }
            Some(Piece::End) => None,
            None => Some(Err(StreamAborted)),
        })
    }
}
