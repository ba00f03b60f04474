//! Bytes without end that a server writes in place of an answer, until its peer closes the connection.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause between two bytes of a slow answer.
const BYTE_INTERVAL: Duration = Duration::from_millis(200);

/// Bytes of a piece that is repeated, about.
const PIECE: usize = 16 * 1024;

/// Where the bytes without end are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// In the status line.
    StatusLine,
    /// In the value of a header.
    Header,
    /// Header after header.
    Headers,
    /// One informational answer after another.
    Informational,
    /// In the extension of a chunk.
    ChunkExtension,
    /// Chunk after chunk.
    Chunks,
    /// Trailer after trailer.
    Trailers,
    /// Beyond the length of the body.
    BeyondLength,
    /// In a body that only the end of the connection ends.
    Body,
    /// A byte at a time, in the head.
    Slow,
}

impl Endless {
    /// All of them.
    pub const ALL: [Endless; 10] = [
        Endless::StatusLine,
        Endless::Header,
        Endless::Headers,
        Endless::Informational,
        Endless::ChunkExtension,
        Endless::Chunks,
        Endless::Trailers,
        Endless::BeyondLength,
        Endless::Body,
        Endless::Slow,
    ];

    /// What is sent first, for an answer with these header lines, and what is repeated then.
    fn pieces(self, headers: &str) -> (String, String) {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let filler = "x".repeat(PIECE);
        match self {
            Endless::StatusLine => ("HTTP/1.1 200 ".into(), filler),
            Endless::Header => (format!("{head}x-long: "), filler),
            Endless::Headers => (head, "x-one: more\r\n".repeat(PIECE / 13)),
            Endless::Informational => (
                String::new(),
                "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(PIECE / 28),
            ),
            Endless::ChunkExtension => (format!("{chunked}5;"), filler),
            Endless::Chunks => (chunked, format!("{PIECE:x}\r\n{filler}\r\n")),
            Endless::Trailers => (
                format!("{chunked}5\r\nwhole\r\n0\r\n"),
                "x-one: more\r\n".repeat(PIECE / 13),
            ),
            Endless::BeyondLength => (format!("{head}content-length: 5\r\n\r\nwhole"), filler),
            Endless::Body => (format!("{head}connection: close\r\n\r\n"), filler),
            Endless::Slow => (head, "x".into()),
        }
    }

    /// Writes until the peer closes the connection.
    pub(crate) async fn write(self, headers: &str, stream: &mut TcpStream) -> io::Result<()> {
        let (first, repeated) = self.pieces(headers);
        stream.write_all(first.as_bytes()).await?;
        loop {
            stream.write_all(repeated.as_bytes()).await?;
            if self == Endless::Slow {
                sleep(BYTE_INTERVAL).await;
            }
        }
    }
}
