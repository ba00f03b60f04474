//! Splits a stream of server-sent events into whole events as its bytes arrive.
//!
//! Load pattern: streams whose engine dies, or whose run moves to another engine, in the middle of an event.

use crate::ids::Name;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event. No engine sends a longer one.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of an event stream, and returns them in pieces that end after a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    // Starts at an event boundary.
    buffer: BytesMut,
    last_id: Name,
    count: u64,
}

impl EventSplitter {
    /// Creates a splitter for the events that follow the one with the identifier `last_id`.
    pub fn after(last_id: Name) -> Self {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Appends received bytes, and returns all events that are now complete as one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_length(&self.buffer[end..]) {
            if let Some(id) = event_id(&self.buffer[end..end + length]) {
                self.last_id = id;
            }
            self.count += 1;
            end += length;
        }
        (end > 0).then(|| self.buffer.split_to(end).freeze())
    }

    /// Takes the remaining bytes of a stream that ended regularly: those after the last blank line.
    pub fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Discards a partial event, which another server sends again as a whole.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Whether the partial event exceeds the maximum size.
    pub fn is_partial_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Bytes received after the last whole event.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Identifier of the last whole event; empty if there is none.
    pub fn last_id(&self) -> &Name {
        &self.last_id
    }

    /// Number of whole events so far.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Returns the length of the first event, including the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let blank = matches!(&bytes[line_start..index], b"" | b"\r");
        if blank {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<Name> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(Name::new(text.trim()))
}
