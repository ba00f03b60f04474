//! The events of a stream, found in the bytes as they come.

use bytes::Bytes;
use bytes::BytesMut;
use cicada_lib::ids::Name;

/// The largest event; a longer one is no event of ours.
pub(crate) const MAX_EVENT: usize = 1024 * 1024;

/// Cuts a stream of bytes after whole events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    // Begins at the begin of an event.
    buffer: BytesMut,
    last: Name,
    count: u64,
}

impl Events {
    /// The events after the one that is named `last`.
    pub(crate) fn after(last: Name) -> Self {
        Events {
            last,
            ..Events::default()
        }
    }

    /// Takes bytes in, and returns all whole events that are there now, as one piece.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_length(&self.buffer[end..]) {
            if let Some(id) = event_id(&self.buffer[end..end + length]) {
                self.last = id;
            }
            self.count += 1;
            end += length;
        }
        (end > 0).then(|| self.buffer.split_to(end).freeze())
    }

    /// What is left when the stream ended well: bytes that no blank line follows.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Forgets a part of an event, whose whole comes again from another server.
    pub(crate) fn forget_rest(&mut self) {
        self.buffer.clear();
    }

    /// Whether more has come without a whole event than any event has.
    pub(crate) fn is_overfull(&self) -> bool {
        self.buffer.len() > MAX_EVENT
    }

    /// The identifier of the last whole event; empty for none.
    pub(crate) fn last(&self) -> &Name {
        &self.last
    }

    /// Whole events so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

/// The length of the first event, with the blank line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let blank = matches!(&bytes[line..index], b"" | b"\r");
        if blank {
            return Some(index + 1);
        }
        line = index + 1;
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
