//! A server that answers each request with bytes chosen by the test, which need not be a valid answer.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Replaced by the request's identifier in the bytes of an answer.
pub const ID_MARK: &str = "{id}";

/// Replaced by the number of requests before in the bytes of an answer.
pub const NUMBER_MARK: &str = "{number}";

/// The bytes of an answer. The connection is closed after them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Script {
    first: String,
    repeated: String,
    pause: Duration,
}

impl Script {
    /// An answer of these bytes, in which [`ID_MARK`] and [`NUMBER_MARK`] are replaced.
    pub fn new(bytes: impl Into<String>) -> Self {
        Script {
            first: bytes.into(),
            repeated: String::new(),
            pause: Duration::ZERO,
        }
    }

    /// The same bytes, followed by these without end, until the peer closes the connection.
    pub fn with_repeated(self, bytes: impl Into<String>) -> Self {
        Script {
            repeated: bytes.into(),
            ..self
        }
    }

    /// The same bytes, with a pause after each repetition.
    pub fn with_pause(self, pause: Duration) -> Self {
        Script { pause, ..self }
    }
}

/// Answers by its scripts, until it is dropped. Without one for a path it closes the connection.
pub struct ScriptedServer {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct State {
    id_header: String,
    // By the beginning of the path.
    scripts: BTreeMap<String, Script>,
    requests: Vec<String>,
    longest: usize,
    unfinished: usize,
}

impl ScriptedServer {
    /// Starts a server at `address`, whose requests carry their identifier in the header `id_header`.
    pub async fn start(address: SocketAddr, id_header: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            id_header: id_header.to_string(),
            ..State::default()
        }));
        let task = tokio::spawn(serve(listener, state.clone()));
        Ok(ScriptedServer {
            address,
            state,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the next requests are answered whose path begins so. The longest such beginning counts.
    pub fn set_script(&self, path: &str, script: Script) {
        self.lock().scripts.insert(path.to_string(), script);
    }

    /// The heads of the requests that it has read.
    pub fn requests(&self) -> Vec<String> {
        self.lock().requests.clone()
    }

    /// The bytes of the longest answer so far, as far as the kernel took them.
    pub fn longest_answer(&self) -> usize {
        self.lock().longest
    }

    /// Answers that are still being written.
    pub fn unfinished_answers(&self) -> usize {
        self.lock().unfinished
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, state: Arc<Mutex<State>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let state = state.clone();
        tokio::spawn(async move {
            let mut stream = stream;
            if let Ok(Some(head)) = read_request(&mut stream).await {
                let script = begin(&state, head);
                // A peer that closes the connection ends its answer alone.
                drop(write(&mut stream, &script, &state).await);
                lock(&state).unfinished -= 1;
            }
        });
    }
}

/// Records a request, and returns what answers it.
fn begin(state: &Mutex<State>, head: String) -> Script {
    let mut state = lock(state);
    let id = header(&head, &state.id_header).unwrap_or_default();
    let path = head.split(' ').nth(1).unwrap_or_default();
    let scripts = state.scripts.iter().filter(|(p, _)| path.starts_with(*p));
    let script = scripts.max_by_key(|(p, _)| p.len());
    let mut script = script.map(|(_, s)| s.clone()).unwrap_or_default();
    let number = state.requests.len().to_string();
    script.first = script
        .first
        .replace(ID_MARK, &id)
        .replace(NUMBER_MARK, &number);
    state.requests.push(head);
    state.unfinished += 1;
    script
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
    field.map(|(_, value)| value.trim().to_string())
}

/// Reads a request with its body, and returns its head; `None` if the peer closes before.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut read = Vec::new();
    let head = loop {
        if let Some(end) = read.windows(4).position(|end| end == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut read).await? == 0 {
            return Ok(None);
        }
    };
    let text = String::from_utf8_lossy(&read[..head]).into_owned();
    let length = header(&text, "content-length").and_then(|length| length.parse().ok());
    let whole = head + length.unwrap_or(0_usize);
    while read.len() < whole {
        if stream.read_buf(&mut read).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(text))
}

async fn write(stream: &mut TcpStream, script: &Script, state: &Mutex<State>) -> io::Result<()> {
    stream.write_all(script.first.as_bytes()).await?;
    if script.repeated.is_empty() {
        return stream.shutdown().await;
    }
    let mut written = script.first.len();
    loop {
        stream.write_all(script.repeated.as_bytes()).await?;
        written += script.repeated.len();
        {
            let mut state = lock(state);
            state.longest = state.longest.max(written);
        }
        if !script.pause.is_zero() {
            sleep(script.pause).await;
        }
    }
}
