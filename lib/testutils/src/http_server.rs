//! A small HTTP server whose connections can all be cut at once, as when a process dies.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::raw_answer::BodyFraming;
use crate::raw_answer::RawAnswer;

/// The body of an answer. An error cuts its connection before the body's end.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// What becomes of a request.
pub enum Reply {
    /// It is answered.
    Answer(Response<Body>),
    /// It is answered with a framing of the handler's choice, and the connection ends.
    Raw(RawAnswer),
    /// The connection is closed without an answer.
    Cut,
}

impl Reply {
    /// An answer with a status and a text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Reply::bytes(status, Bytes::from(text.into()))
    }

    /// An answer with a status and a body.
    pub fn bytes(status: StatusCode, body: Bytes) -> Self {
        let mut response = Response::new(
            Full::new(body)
                .map_err(|never| match never {})
                .boxed_unsync(),
        );
        *response.status_mut() = status;
        Reply::Answer(response)
    }

    /// A good answer in JSON.
    pub fn json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Reply::bytes(StatusCode::OK, body.into()),
            Err(error) => Reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    /// A good answer whose body comes bit by bit.
    pub fn stream(body: Body) -> Self {
        Reply::Answer(Response::new(body))
    }

    /// The same answer with a header more.
    pub fn with_header(self, name: &'static str, value: impl ToString) -> Self {
        match self {
            Reply::Cut => Reply::Cut,
            Reply::Raw(raw) => Reply::Raw(raw.with_header(name, &value.to_string())),
            Reply::Answer(mut response) => {
                if let Ok(value) = value.to_string().parse() {
                    response.headers_mut().insert(name, value);
                }
                Reply::Answer(response)
            }
        }
    }
}

impl Reply {
    /// The same answer with this framing.
    pub fn with_framing(self, framing: BodyFraming) -> Self {
        match self {
            Reply::Answer(response) => Reply::Raw(RawAnswer::new(response, framing)),
            Reply::Raw(_) | Reply::Cut => self,
        }
    }

    /// The same answer, broken off by this error after so many bytes of its head. For one with a framing of its own.
    pub fn with_cut_head(self, bytes: usize, error: io::Error) -> Self {
        match self {
            Reply::Raw(raw) => Reply::Raw(raw.with_cut_head(bytes, error)),
            Reply::Answer(_) | Reply::Cut => self,
        }
    }
}

/// A request whose body has been read.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method, path, query and headers.
    pub head: http::request::Parts,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// The path without its first slash, split at slashes, each part unescaped.
    pub fn path(&self) -> Vec<String> {
        let path = self.head.uri.path().trim_start_matches('/');
        path.split('/').map(unescape).collect()
    }

    /// The value of a query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.head.uri.query()?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }

    /// The number in a query parameter.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// The value of a header, empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.head
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// What a server does with a request.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply>;
}

/// A server that runs until it is dropped.
pub struct HttpServer {
    addr: SocketAddr,
    // Bound and never listening: keeps the port while no listener has it, so that connections are
    // refused then, and no other process is given the port.
    _reserved: TcpSocket,
    handler: Arc<dyn Handler>,
    // `None` while the server is down.
    accepting: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Starts a server at `addr`; port 0 stands for any free one.
    pub fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Arc<Self>> {
        let reserved = bind(addr)?;
        let server = HttpServer {
            addr: reserved.local_addr()?,
            _reserved: reserved,
            handler,
            accepting: Mutex::new(None),
        };
        server.up()?;
        Ok(Arc::new(server))
    }

    /// Where the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts every connection, and refuses new ones from when this returns.
    ///
    /// Not to be awaited by a handler: its own connection is cut.
    pub async fn down(&self) {
        let task = self.accepting().take();
        if let Some(task) = task {
            task.abort();
            let _ = task.await;
        }
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        self.accepting().is_some()
    }

    /// Accepts connections again.
    pub fn up(&self) -> io::Result<()> {
        let listener = bind(self.addr)?.listen(BACKLOG)?;
        let task = tokio::spawn(accept(listener, self.handler.clone()));
        if let Some(earlier) = self.accepting().replace(task) {
            earlier.abort();
        }
        Ok(())
    }

    /// Goes down now, and up again after `delay`, when `ready` has run.
    pub async fn restart(self: &Arc<Self>, delay: Duration, ready: impl FnOnce() + Send + 'static) {
        self.down().await;
        let server = Arc::downgrade(self);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            ready();
            if let Some(server) = server.upgrade() {
                // The port is reserved, so this fails only where sockets have run out.
                let _ = server.up();
            }
        });
    }

    fn accepting(&self) -> std::sync::MutexGuard<'_, Option<JoinHandle<()>>> {
        self.accepting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(task) = self.accepting().take() {
            task.abort();
        }
    }
}

// Accepting fails while file descriptors have run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

// Room for a burst of new connections.
pub(crate) const BACKLOG: u32 = 1024;

pub(crate) fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>) {
    // Dropped with this task, which ends all connections.
    let mut connections = JoinSet::new();
    // Dropped before the connections: a peer that sees one of them end finds the port closed.
    let listener = listener;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                match accepted {
                    Ok((stream, _)) => drop(connections.spawn(serve(stream, handler.clone()))),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<dyn Handler>) {
    let _ = stream.set_nodelay(true);
    let raw = RawSlot::default();
    let service = {
        let raw = raw.clone();
        service_fn(move |request| Box::pin(answer(handler.clone(), raw.clone(), request)))
    };
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error here is a connection that the peer closed, or one that was to be cut.
    let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    let raw = raw.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(raw) = raw {
        raw.write(connection.into_parts().io.into_inner()).await;
    }
}

/// The answer that is to be written by hand once the library has let go of the connection.
type RawSlot = Arc<Mutex<Option<RawAnswer>>>;

async fn answer(
    handler: Arc<dyn Handler>,
    slot: RawSlot,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionCut> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionCut)?.to_bytes();
    match handler.handle(Call { head, body }).await {
        Reply::Answer(response) => Ok(response),
        Reply::Raw(raw) => {
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(raw);
            Err(ConnectionCut)
        }
        Reply::Cut => Err(ConnectionCut),
    }
}

/// The connection ends without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is cut on purpose")]
struct ConnectionCut;

fn unescape(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, code.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
