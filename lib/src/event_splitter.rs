//! Splits a stream of server-sent events into whole events as its bytes arrive.
//!
//! Load pattern: streams whose engine dies, or whose run moves to another engine, in the middle of an event.

use bytes::Bytes;
use bytes::BytesMut;

use crate::body_end::Position;
use crate::ids::Name;

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
        while let Some(length) = event_length(&self.buffer[end..], false) {
            let event = &self.buffer[end..end + length];
            if let Some(id) = event_id(event) {
                self.last_id = id;
            }
            // A blank line alone is no event. It may be the LF of an event that was forwarded at its CR.
            if !matches!(event, b"\n" | b"\r" | b"\r\n") {
                self.count += 1;
            }
            end += length;
        }
        (end > 0).then(|| self.buffer.split_to(end).freeze())
    }

    /// Where the stream stands if no more bytes follow. Blank lines and comments after the last event are not part of
    /// another one.
    pub fn position_at_end(&self) -> Position {
        let mut rest = &self.buffer[..];
        if let Some(length) = event_length(rest, true) {
            rest = &rest[length..];
        }
        while let Some((line, length)) = first_line(rest, true) {
            if !line.is_empty() && !line.starts_with(b":") {
                return Position::InsideEvent;
            }
            rest = &rest[length..];
        }
        match rest.is_empty() {
            true => Position::Boundary,
            false => Position::InsideEvent,
        }
    }

    /// Takes the remaining bytes of a stream that is complete.
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

/// Returns the length of the first event, including the blank line that ends it. `is_end` is whether no bytes follow.
fn event_length(bytes: &[u8], is_end: bool) -> Option<usize> {
    let mut end = 0;
    loop {
        let (line, length) = first_line(&bytes[end..], is_end)?;
        end += length;
        if line.is_empty() {
            return Some(end);
        }
    }
}

/// Returns the first line without its end, and its length with it. A line ends with LF, CR or both. A CR at the very end
/// may be followed by an LF, which does not matter after a blank line.
fn first_line(bytes: &[u8], is_end: bool) -> Option<(&[u8], usize)> {
    let end = bytes
        .iter()
        .position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let line = &bytes[..end];
    match (bytes[end], bytes.get(end + 1)) {
        (b'\r', None) if !is_end && !line.is_empty() => None,
        (b'\r', Some(b'\n')) => Some((line, end + 2)),
        _ => Some((line, end + 1)),
    }
}

fn event_id(event: &[u8]) -> Option<Name> {
    let mut rest = event;
    while let Some((line, length)) = first_line(rest, true) {
        if let Some(id) = line.strip_prefix(b"id:") {
            return Some(Name::new(std::str::from_utf8(id).ok()?.trim()));
        }
        rest = &rest[length..];
    }
    None
}
