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

/// The end at which events are queued.
pub(crate) struct EventSender {
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<Result<Bytes, StreamAborted>>,
}

/// The end at which the caller's connection reads them.
pub(crate) struct EventReceiver {
    shared: Arc<Shared>,
    events: mpsc::UnboundedReceiver<Result<Bytes, StreamAborted>>,
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
        events: sender,
    };
    let receiver = EventReceiver {
        shared,
        events: receiver,
    };
    (sender, receiver)
}

impl EventSender {
    /// Queues whole events. Waits for room while the caller reads.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), QueueError> {
        while !self.shared.try_hold(bytes.len()) {
            tokio::select! {
                () = self.events.closed() => return Err(QueueError::CallerGone),
                read = timeout(STALL_TIMEOUT, self.shared.read.notified()) => {
                    read.map_err(|_| QueueError::TooSlow)?;
                }
            }
        }
        let sent = self.events.send(Ok(bytes));
        sent.map_err(|_| QueueError::CallerGone)
    }

    /// Ends the stream before its last event, after what is queued.
    pub(crate) fn abort(&self) {
        // The send fails only if the caller is gone.
        drop(self.events.send(Err(StreamAborted)));
    }

    /// Waits until the caller has closed the connection.
    pub(crate) async fn closed(&self) {
        self.events.closed().await;
    }
}

impl EventReceiver {
    /// Polls for the next events.
    pub(crate) fn poll_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamAborted>>> {
        let polled = self.events.poll_recv(cx);
        if let Poll::Ready(Some(Ok(bytes))) = &polled {
            self.shared.release(bytes.len());
        }
        polled
    }
}
