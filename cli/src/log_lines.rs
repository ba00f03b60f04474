//! The lines of relays' logs that tell where streams were placed and how they ended.

use std::io::BufRead;

use serde::Deserialize;

use crate::error::Error;
use crate::error::Result;

/// A placement or an end of a stream.
#[derive(Clone, Debug)]
pub(crate) struct StreamLine {
    /// When it was logged: UTC in RFC 3339, which sorts as text.
    pub(crate) timestamp: String,
    /// The identifier of the caller's attempt.
    pub(crate) id: String,
    /// The engine.
    pub(crate) server: String,
    /// What happened.
    pub(crate) event: StreamEvent,
}

/// What a line tells of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StreamEvent {
    /// It was sent to an engine.
    Placed {
        /// Expected time, in ms, until the engine has prefilled the prompts before it and its own.
        queued_ms: u64,
    },
    /// Its answer ended.
    Ended {
        /// Time to the first event, in ms.
        first_ms: u64,
        /// The longest gap between two events, in ms.
        longest_ms: u64,
    },
}

#[derive(Deserialize)]
struct LogLine {
    timestamp: String,
    fields: LogFields,
}

#[derive(Deserialize)]
struct LogFields {
    message: String,
    id: Option<String>,
    server: Option<String>,
    reading: Option<u64>,
    first: Option<u64>,
    longest: Option<u64>,
}

/// Reads the lines on streams in order of their time. Logs of several relays may follow one another, and lines on other
/// matters or in other formats are skipped. `name` is that of the file, for errors.
pub(crate) fn read(name: &str, input: impl BufRead) -> Result<Vec<StreamLine>> {
    let mut lines = Vec::new();
    for line in input.split(b'\n') {
        let line = line.map_err(|error| Error::File(name.to_owned(), error))?;
        lines.extend(stream_line(&line));
    }
    let has = |wanted: fn(&StreamEvent) -> bool| lines.iter().any(|line| wanted(&line.event));
    if !has(|event| matches!(event, StreamEvent::Placed { .. })) {
        return Err(Error::Log(name.to_owned(), "stream: placed"));
    }
    if !has(|event| matches!(event, StreamEvent::Ended { .. })) {
        return Err(Error::Log(name.to_owned(), "stream: ended"));
    }
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    Ok(lines)
}

fn stream_line(line: &[u8]) -> Option<StreamLine> {
    let LogLine { timestamp, fields } = serde_json::from_slice(line).ok()?;
    let event = match fields.message.as_str() {
        "stream: placed" => StreamEvent::Placed {
            queued_ms: fields.reading?,
        },
        "stream: ended" => StreamEvent::Ended {
            first_ms: fields.first?,
            longest_ms: fields.longest?,
        },
        _ => return None,
    };
    Some(StreamLine {
        timestamp,
        id: fields.id?,
        server: fields.server?,
        event,
    })
}
