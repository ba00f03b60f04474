//! How the body of a backend server's answer is delimited, and whether it ended complete.
//!
//! Failure: a server dies or stops a run while it answers. What the caller gets must not look complete unless the
//! server's answer was, by its framing and by its content.

use std::fmt;

use http::HeaderMap;
use http::header;

use crate::copy_type;

copy_type! {
    /// What marks the end of an answer's body.
    pub enum Framing {
        /// Its length, which the head states or which is zero by definition.
        Length,
        /// The last of its chunks.
        Chunks,
        /// The end of the connection, which looks the same whether the server closed it or died: a close-delimited body.
        Close,
    }

    /// How the bytes of a body stopped.
    pub enum Stop {
        /// As the framing announces the end.
        Announced,
        /// By an error: the connection was reset, or was closed before the announced end.
        Failed,
    }

    /// Whether the run behind a body was stopped for a move.
    pub enum RunStop {
        /// Nobody asked for it, or the engine stated that it did not.
        NotStopped,
        /// It was.
        Stopped,
        /// It was asked for, and the outcome is not known.
        Unknown,
    }

    /// What became of the server that made an answer, after the answer's end.
    pub enum ServerFate {
        /// Its incarnation was there after the end.
        Alive,
        /// It is not there any more, or another incarnation is.
        Gone,
        /// It did not tell.
        Unknown,
    }

    /// Where in its content a body stopped.
    pub enum Position {
        /// Between two events, before the first one, or in a content without events.
        Boundary,
        /// In the middle of an event.
        InsideEvent,
    }

    /// Whether the body of an answer is complete.
    pub enum BodyEnd {
        /// The server ended its answer.
        Complete,
        /// The connection was closed, by the server at the end of its answer or because the server died.
        Unconfirmed,
        /// The answer was broken off.
        Broken(BreakReason),
    }

    /// Why an answer counts as broken off.
    pub enum BreakReason {
        /// The connection failed before the announced end.
        Connection,
        /// The stream ends in the middle of an event.
        InsideEvent,
        /// The run was stopped to go on at another engine.
        Moved,
        /// The run may have been stopped to go on at another engine, and nothing but its connection marked the end.
        StopUnknown,
        /// The server is gone, and nothing but its connection marked the end.
        ServerGone,
        /// The server did not tell whether it is the one that made the answer, and nothing but its connection marked the end.
        ServerUnknown,
    }
}

impl BodyEnd {
    /// Whether a body that stopped so, at this position, is complete.
    pub fn of(framing: Framing, stop: Stop, position: Position) -> Self {
        match (stop, position, framing) {
            (Stop::Failed, _, _) => BodyEnd::Broken(BreakReason::Connection),
            (_, Position::InsideEvent, _) => BodyEnd::Broken(BreakReason::InsideEvent),
            (_, Position::Boundary, Framing::Close) => BodyEnd::Unconfirmed,
            (_, Position::Boundary, Framing::Length | Framing::Chunks) => BodyEnd::Complete,
        }
    }

    /// Settles an unconfirmed end where the run was stopped, or may have been. An engine closes the stream of a run that it
    /// stops, and accepts connections afterwards.
    pub fn after_stop(self, stop: RunStop) -> Self {
        match (self, stop) {
            (BodyEnd::Unconfirmed, RunStop::Stopped) => BodyEnd::Broken(BreakReason::Moved),
            (BodyEnd::Unconfirmed, RunStop::Unknown) => BodyEnd::Broken(BreakReason::StopUnknown),
            (end, _) => end,
        }
    }

    /// Settles an unconfirmed end by what became of the server: the kernel closes the connections of a process that dies.
    pub fn confirm(self, fate: ServerFate) -> Self {
        match (self, fate) {
            (BodyEnd::Unconfirmed, ServerFate::Alive) => BodyEnd::Complete,
            (BodyEnd::Unconfirmed, ServerFate::Gone) => BodyEnd::Broken(BreakReason::ServerGone),
            (BodyEnd::Unconfirmed, ServerFate::Unknown) => {
                BodyEnd::Broken(BreakReason::ServerUnknown)
            }
            (settled, _) => settled,
        }
    }

    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyEnd::Complete => "complete",
            BodyEnd::Unconfirmed => "unconfirmed",
            BodyEnd::Broken(BreakReason::Connection) => "connection",
            BodyEnd::Broken(BreakReason::InsideEvent) => "inside_event",
            BodyEnd::Broken(BreakReason::Moved) => "moved",
            BodyEnd::Broken(BreakReason::StopUnknown) => "stop_unknown",
            BodyEnd::Broken(BreakReason::ServerGone) => "server_gone",
            BodyEnd::Broken(BreakReason::ServerUnknown) => "server_unknown",
        }
    }
}

impl Framing {
    /// The framing of a body by the headers of its answer, and its exact length if the reader knows it from the head.
    pub fn of(headers: &HeaderMap, exact_length: Option<u64>) -> Self {
        if exact_length.is_some() {
            return Framing::Length;
        }
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        let last = codings.iter().next_back();
        let last = last.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
        match last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            true => Framing::Chunks,
            false => Framing::Close,
        }
    }

    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Close => "close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
