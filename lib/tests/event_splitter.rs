//! Tests of the splitting of streams into events.

use cicada_lib::body_end::Position;
use cicada_lib::event_splitter::EventSplitter;
use cicada_lib::ids::Name;
use quickcheck::quickcheck;

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

#[test]
fn lines_may_end_with_cr_lf_or_both() {
    for end in ["\n", "\r\n", "\r"] {
        let text = format!("id: 1{end}data: a{end}{end}id: 2{end}data: b{end}{end}");
        for size in 1..text.len() {
            let (mut whole, mut splitter) = split(text.as_bytes(), size);
            assert_eq!(splitter.position_at_end(), Position::Boundary, "{end:?}");
            whole.extend(splitter.take_remainder());
            assert_eq!(whole, text.as_bytes(), "{end:?}, pieces of {size}");
        }
    }
}

/// Guards against a partial event that is taken for a regular end, and against a complete stream that is taken for a
/// broken one because of what follows its last event.
#[test]
fn a_stream_is_broken_where_an_event_has_begun() {
    let after_event = [
        ("", Position::Boundary),
        ("\n", Position::Boundary),
        ("\r\n\r", Position::Boundary),
        (": a comment\n", Position::Boundary),
        (": a comment\n\n: another\r\n", Position::Boundary),
        (": a comm", Position::InsideEvent),
        ("\u{feff}", Position::InsideEvent),
        ("i", Position::InsideEvent),
        ("id: 2", Position::InsideEvent),
        ("id: 2\n", Position::InsideEvent),
        ("data: b\r\n", Position::InsideEvent),
        ("data: b\r", Position::InsideEvent),
        (": a comment\ndata: b\n", Position::InsideEvent),
    ];
    for (rest, expected) in after_event {
        let text = format!("id: 1\ndata: a\n\n{rest}");
        for size in 1..text.len() {
            let (_, splitter) = split(text.as_bytes(), size);
            assert_eq!(splitter.position_at_end(), expected, "{rest:?}");
        }
    }
}

quickcheck! {
    /// What comes out and where the stream stands depends on its bytes, not on the packets in which they come.
    fn packets_make_no_difference(pieces: Vec<u8>, size: usize) -> bool {
        let parts = ["id: 7\n", "data: x", "\n", "\r\n", "\r", ": c", "\n\n"];
        let pieces = pieces.iter().map(|piece| parts[usize::from(*piece) % parts.len()]);
        let text: String = pieces.collect();
        let (whole, at_once) = split(text.as_bytes(), text.len().max(1));
        let (same, in_pieces) = split(text.as_bytes(), size % 5 + 1);
        at_once.position_at_end() == in_pieces.position_at_end()
            && at_once.last_id() == in_pieces.last_id()
            && at_once.count() == in_pieces.count()
            && whole == same
    }
}
