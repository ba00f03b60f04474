//! Tests of how bodies are delimited.

use cicada_lib::body_end::BodyEnd;
use cicada_lib::body_end::BreakReason;
use cicada_lib::body_end::Framing;
use cicada_lib::body_end::Position;
use cicada_lib::body_end::RunStop;
use cicada_lib::body_end::ServerFate;
use cicada_lib::body_end::Stop;
use http::HeaderMap;
use http::HeaderValue;
use http::header::TRANSFER_ENCODING;

const FATES: [ServerFate; 3] = [ServerFate::Alive, ServerFate::Gone, ServerFate::Unknown];

fn framing(codings: &[&'static str], length: Option<u64>) -> Framing {
    let mut headers = HeaderMap::new();
    for coding in codings {
        headers.append(TRANSFER_ENCODING, HeaderValue::from_static(coding));
    }
    Framing::of(&headers, length)
}

#[test]
fn a_body_without_length_and_chunks_ends_with_its_connection() {
    assert_eq!(framing(&[], Some(0)), Framing::Length);
    assert_eq!(framing(&["chunked"], None), Framing::Chunks);
    assert_eq!(framing(&["gzip, Chunked "], None), Framing::Chunks);
    assert_eq!(framing(&["gzip", "chunked"], None), Framing::Chunks);
    assert_eq!(framing(&[], None), Framing::Close);
    assert_eq!(framing(&["chunked, gzip"], None), Framing::Close);
}

#[test]
fn an_end_that_only_the_connection_marks_needs_a_server_that_is_there() {
    let end = |framing, position| BodyEnd::of(framing, Stop::Announced, position);
    for framing in [Framing::Length, Framing::Chunks] {
        let complete = end(framing, Position::Boundary);
        assert_eq!(complete, BodyEnd::Complete);
        assert_eq!(complete.confirm(ServerFate::Gone), BodyEnd::Complete);
    }
    let unconfirmed = end(Framing::Close, Position::Boundary);
    assert_eq!(unconfirmed.confirm(ServerFate::Alive), BodyEnd::Complete);
    let gone = BodyEnd::Broken(BreakReason::ServerGone);
    assert_eq!(unconfirmed.confirm(ServerFate::Gone), gone);
    let unknown = BodyEnd::Broken(BreakReason::ServerUnknown);
    assert_eq!(unconfirmed.confirm(ServerFate::Unknown), unknown);
}

#[test]
fn what_was_broken_off_stays_so_whatever_is_known_of_the_server() {
    for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
        let inside = BodyEnd::of(framing, Stop::Announced, Position::InsideEvent);
        let failed = BodyEnd::of(framing, Stop::Failed, Position::Boundary);
        for (end, reason) in [
            (inside, BreakReason::InsideEvent),
            (failed, BreakReason::Connection),
        ] {
            for fate in FATES {
                assert_eq!(end.confirm(fate), BodyEnd::Broken(reason));
            }
        }
    }
}

#[test]
fn an_end_that_only_the_connection_marks_may_be_that_of_a_moved_run() {
    let boundary = |framing| BodyEnd::of(framing, Stop::Announced, Position::Boundary);
    let moved = boundary(Framing::Close).after_stop(RunStop::Stopped);
    let broken = BodyEnd::Broken(BreakReason::Moved);
    assert_eq!(moved.confirm(ServerFate::Alive), broken);
    let stayed = boundary(Framing::Close).after_stop(RunStop::NotStopped);
    assert_eq!(stayed.confirm(ServerFate::Alive), BodyEnd::Complete);
    for stop in [RunStop::Stopped, RunStop::Unknown] {
        let complete = boundary(Framing::Chunks).after_stop(stop);
        assert_eq!(complete, BodyEnd::Complete);
    }
}

/// Guards against an open port that is taken as proof of a whole answer although the run may have been stopped.
#[test]
fn an_end_after_a_stop_of_unknown_outcome_is_broken_whatever_the_port_says() {
    let end = BodyEnd::of(Framing::Close, Stop::Announced, Position::Boundary);
    let end = end.after_stop(RunStop::Unknown);
    for fate in FATES {
        let broken = BodyEnd::Broken(BreakReason::StopUnknown);
        assert_eq!(end.confirm(fate), broken);
    }
}
