//! A caller that counts tokens and does little else, so that it costs less than what it measures.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use eyre::Result;
use eyre::bail;
use eyre::ensure;
use serde_json::json;
use testutils::deployment::KEY;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Where a caller sends to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target {
    /// An entry.
    Entry(SocketAddr),
    /// A stand-in engine, with nothing in between.
    Engine(SocketAddr),
}

impl Target {
    fn addr(self) -> SocketAddr {
        match self {
            Target::Entry(addr) | Target::Engine(addr) => addr,
        }
    }

    fn request(self, tokens: usize) -> String {
        // Each with a head of its own, so that none goes where another's prompt is cached.
        let prompt = format!("Tell {:x}. len={tokens}", fastrand::u64(..));
        let (path, body) = match self {
            Target::Entry(_) => (
                "/v1/completions",
                json!({"model": "model", "prompt": prompt, "stream": true, "max_tokens": tokens}),
            ),
            Target::Engine(_) => (
                "/generations",
                json!({"id": fastrand::u64(1..), "model": "model", "adapter": "",
                    "prompt": prompt, "max_tokens": tokens, "priority": 128}),
            ),
        };
        let body = body.to_string();
        format!(
            "POST {path} HTTP/1.1\r\nhost: measure\r\nauthorization: Bearer {KEY}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn marks(self) -> Marks {
        match self {
            // The last event has the usage, and the one after it ends the stream.
            Target::Entry(_) => Marks::new(b"\"text\"", b"[DONE]"),
            Target::Engine(_) => Marks::new(b"{\"Token", b"{\"Done"),
        }
    }

    /// Asks for `tokens` tokens and reads to the end, adding to `seen` as they come.
    pub(crate) async fn run(self, tokens: usize, seen: &AtomicU64) -> Result<u64> {
        let mut stream = TcpStream::connect(self.addr()).await?;
        stream.set_nodelay(true)?;
        stream.write_all(self.request(tokens).as_bytes()).await?;
        let mut marks = self.marks();
        let mut buffer = vec![0; 4 * 1024];
        let mut is_first = true;
        let mut sum = 0;
        loop {
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                bail!("the stream broke after {sum} tokens");
            }
            let bytes = &buffer[..count];
            if std::mem::take(&mut is_first) {
                let text = String::from_utf8_lossy(bytes);
                ensure!(text.starts_with("HTTP/1.1 200"), "refused: {text}");
            }
            let (fresh, ended) = marks.take(bytes);
            sum += fresh;
            seen.fetch_add(fresh, Ordering::Relaxed);
            if ended {
                return Ok(sum);
            }
        }
    }
}

// One refusal tells enough.
static TOLD: AtomicBool = AtomicBool::new(false);

/// Opens so many streams, and returns the count of their tokens.
pub(crate) fn open(target: Target, streams: usize, tokens: usize) -> OpenStreams {
    let seen = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..streams {
        let seen = seen.clone();
        let failed = failed.clone();
        tasks.spawn(async move {
            if let Err(err) = target.run(tokens, &seen).await
                && failed.fetch_add(1, Ordering::Relaxed) == 0
                && !TOLD.swap(true, Ordering::Relaxed)
            {
                eprintln!("first failed stream: {err}");
            }
        });
    }
    OpenStreams {
        seen,
        failed,
        tasks,
    }
}

/// Streams under way; they are cut when this is dropped.
pub(crate) struct OpenStreams {
    seen: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    tasks: tokio::task::JoinSet<()>,
}

impl OpenStreams {
    /// Tokens so far.
    pub(crate) fn tokens(&self) -> u64 {
        self.seen.load(Ordering::Relaxed)
    }

    /// Waits for the end of every stream; an error if one was refused or broke.
    pub(crate) async fn finish(mut self) -> Result<()> {
        while self.tasks.join_next().await.is_some() {}
        ensure!(self.failed() == 0, "{} streams failed", self.failed());
        Ok(())
    }

    /// Streams that were refused or broke.
    pub(crate) fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }
}

/// Finds a token's mark and the end's mark in bytes that come in pieces.
struct Marks {
    token: Mark,
    end: Mark,
}

struct Mark {
    bytes: &'static [u8],
    matched: usize,
}

impl Marks {
    fn new(token: &'static [u8], end: &'static [u8]) -> Self {
        let mark = |bytes| Mark { bytes, matched: 0 };
        Marks {
            token: mark(token),
            end: mark(end),
        }
    }

    /// The number of tokens in the bytes, and whether the end is among them.
    fn take(&mut self, bytes: &[u8]) -> (u64, bool) {
        let tokens = bytes.iter().filter(|byte| self.token.step(**byte));
        let tokens = tokens.count() as u64;
        let ended = bytes.iter().any(|byte| self.end.step(*byte));
        (tokens, ended)
    }
}

impl Mark {
    /// Whether the mark ends with this byte. A mark's first byte is not in its middle, so that a
    /// mismatch can only begin it anew.
    fn step(&mut self, byte: u8) -> bool {
        if byte == self.bytes[self.matched] {
            self.matched += 1;
        } else {
            self.matched = usize::from(byte == self.bytes[0]);
        }
        let whole = self.matched == self.bytes.len();
        if whole {
            self.matched = 0;
        }
        whole
    }
}
