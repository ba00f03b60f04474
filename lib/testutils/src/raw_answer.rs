//! Answers that a server writes itself, so that a test chooses how the body is delimited and how it ends.

use std::io;
use std::io::Write;

use http::Response;
use http::header;
use http_body_util::BodyExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::endless::Endless;
use crate::http_server::Body;

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// This length, stated in the head.
    Length(u64),
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Close,
    /// Nothing: the bytes of the answer have no end.
    Endless(Endless),
}

/// An answer with a framing of its own. Its connection ends with it.
pub struct RawAnswer {
    response: Response<Body>,
    framing: BodyFraming,
    // Bytes of the head after which the answer breaks off, and by what.
    cut: Option<(usize, io::Error)>,
}

impl RawAnswer {
    /// An answer whose body is delimited so. An error in the body closes the connection before the end, and resets it if
    /// the error is one of a reset connection.
    pub fn new(response: Response<Body>, framing: BodyFraming) -> Self {
        RawAnswer {
            response,
            framing,
            cut: None,
        }
    }

    /// The same answer, broken off by this error after so many bytes of its head.
    pub(crate) fn with_cut_head(self, bytes: usize, error: io::Error) -> Self {
        let cut = Some((bytes, error));
        RawAnswer { cut, ..self }
    }

    /// The same answer with a header more.
    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = value.parse() {
            self.response.headers_mut().insert(name, value);
        }
        self
    }

    /// Writes the answer until it ends, breaks or the peer is gone.
    pub(crate) async fn write(self, mut stream: TcpStream) {
        let written = self.write_all(&mut stream).await;
        let reset = written.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionReset);
        // Closing with this option resets the connection.
        if reset && stream.set_zero_linger().is_ok() {
            return;
        }
        // The connection ends in any case.
        drop(stream.shutdown().await);
    }

    async fn write_all(self, stream: &mut TcpStream) -> io::Result<()> {
        let framing = self.framing;
        let (parts, mut body) = self.response.into_parts();
        if let BodyFraming::Endless(endless) = framing {
            let headers = parts.headers.iter();
            let headers = headers
                .filter_map(|(name, value)| Some(format!("{name}: {}\r\n", value.to_str().ok()?)));
            return endless.write(&headers.collect::<String>(), stream).await;
        }
        let mut head = Vec::new();
        write!(head, "HTTP/1.1 {}\r\n", parts.status)?;
        for (name, value) in &parts.headers {
            write!(head, "{name}: ")?;
            head.extend_from_slice(value.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        match framing {
            BodyFraming::Length(length) => {
                write!(head, "{}: {length}\r\n", header::CONTENT_LENGTH)?
            }
            BodyFraming::Chunks => write!(head, "{}: chunked\r\n", header::TRANSFER_ENCODING)?,
            BodyFraming::Close => write!(head, "{}: close\r\n", header::CONNECTION)?,
            BodyFraming::Endless(_) => {}
        }
        head.extend_from_slice(b"\r\n");
        if let Some((bytes, error)) = self.cut {
            stream.write_all(&head[..bytes.min(head.len())]).await?;
            return Err(error);
        }
        stream.write_all(&head).await?;
        let mut unread = [0];
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                _ = stream.read(&mut unread) => return Ok(()),
            };
            let Some(frame) = frame else {
                break;
            };
            let data = frame?.into_data().unwrap_or_default();
            match framing {
                BodyFraming::Chunks => {
                    let size = format!("{:x}\r\n", data.len());
                    stream
                        .write_all(&[size.as_bytes(), &data, b"\r\n"].concat())
                        .await?;
                }
                BodyFraming::Length(_) | BodyFraming::Close | BodyFraming::Endless(_) => {
                    stream.write_all(&data).await?
                }
            }
        }
        if framing == BodyFraming::Chunks {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

/// An error that resets a connection in the middle of an answer.
pub fn reset() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionReset)
}

/// An error that closes a connection in the middle of an answer, as the kernel does for a process that dies.
pub fn closed() -> io::Error {
    io::Error::other("the answer breaks off on purpose")
}
