//! Tests of the splitting of streams into events.

use cicada_lib::event_splitter::EventSplitter;
use cicada_lib::ids::Name;

fn splitter() -> EventSplitter {
    EventSplitter::after(Name::default())
}

/// Pushes the bytes in pieces of this size, and returns what came out.
fn split(bytes: &[u8], size: usize) -> (Vec<u8>, EventSplitter) {
    let mut splitter = splitter();
    let mut whole = Vec::new();
    for piece in bytes.chunks(size) {
        whole.extend(splitter.push(piece).unwrap_or_default());
    }
    (whole, splitter)
}

#[test]
fn only_whole_events_come_out() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";
    for size in 1..text.len() {
        let (whole, splitter) = split(text, size);
        assert_eq!(whole, text[..text.len() - 8], "pieces of {size}");
        assert_eq!(splitter.last_id().as_str(), "2");
        assert_eq!(splitter.count(), 2);
        assert_eq!(splitter.partial_bytes(), 8);
    }
}
