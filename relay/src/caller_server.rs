//! The listeners for callers and for the load balancer's readiness checks.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::answer::ResponseBody;
use crate::caller_io::CallerIo;
use crate::caller_io::ConnectionActivity;
use crate::caller_io::ConnectionTimeout;
use crate::drain::ConnectionGuard;
use crate::drain::DrainPhase;
use crate::exchange;
use crate::relay::Relay;

/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of connections that wait to be accepted: a burst of callers while the CPU is saturated.
const BACKLOG: u32 = 1_024;

/// How long a connection without a request is kept after it was opened, once a drain closes connections: its caller may
/// be about to send.
const SILENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Opens a listener on an address.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves callers until the relay closes its listener.
pub(crate) async fn serve_callers(
    relay: Arc<Relay>,
    listener: TcpListener,
    _open: ConnectionGuard,
) {
    let mut phase = relay.drain_phase();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= DrainPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                start_connection(&relay, stream);
            }
            Err(error) => {
                tracing::warn!(%error, "callers: failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = serve_backlog(&relay, listener) {
        tracing::warn!(%error, "callers: connections that were not accepted yet are reset");
    }
}

/// Serves the connections that the kernel has accepted already: closing the listener would reset them.
fn serve_backlog(relay: &Arc<Relay>, listener: TcpListener) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        start_connection(relay, TcpStream::from_std(stream)?);
    }
    Ok(())
}

fn start_connection(relay: &Arc<Relay>, stream: TcpStream) {
    let open = relay.open_connection();
    let serving = serve_connection(relay.clone(), stream);
    tokio::spawn(async move {
        serving.await;
        drop(open);
    });
}

/// Returns when the connection is to be closed in this phase if nothing arrives; `None` while a request is open or
/// arriving.
fn drain_close_time(
    phase: DrainPhase,
    activity: &ConnectionActivity,
) -> Option<std::time::Instant> {
    let (since, used) = activity.idle_since()?;
    match (phase, used) {
        (DrainPhase::Serving, _) | (DrainPhase::ClosingIdle, false) => None,
        (_, true) => Some(since),
        (_, false) => Some(since + SILENT_TIMEOUT),
    }
}

/// Answers the load balancer's checks whether this relay accepts new connections.
pub(crate) async fn serve_readiness(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = readiness_response(&relay, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                tracing::debug!(%error, "ready: connection error");
            }
        });
    }
}

fn readiness_response(relay: &Relay, request: &Request<Incoming>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = if request.uri().path() != relay.dialect().ready_path() {
        StatusCode::NOT_FOUND
    } else if relay.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}

async fn serve_connection(relay: Arc<Relay>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "callers: failed to set up a connection");
        return;
    }
    let limits = relay.table().config().limits.clone();
    let activity = Arc::new(ConnectionActivity::new());
    let io = TokioIo::new(CallerIo::new(stream, activity.clone()));
    let handler = {
        let activity = activity.clone();
        let relay = relay.clone();
        service_fn(move |request| exchange::serve(relay.clone(), activity.clone(), request))
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .half_close(false)
        .max_buf_size(limits.max_header_bytes.max(8 * 1024));
    let serving = builder.serve_connection(io, handler);
    tokio::pin!(serving);
    let mut shutting_down = false;
    let mut phase = relay.drain_phase();
    loop {
        let close_at = drain_close_time(*phase.borrow_and_update(), &activity);
        let timeout = activity.next_timeout(limits.header_timeout, limits.idle_timeout);
        let timed_out = async {
            match timeout {
                Some((at, why)) if !shutting_down || why == ConnectionTimeout::Unread => {
                    sleep_until(Instant::from_std(at)).await;
                    why
                }
                // No timeout applies while a request is open, which has its own deadline.
                _ => {
                    sleep(limits.idle_timeout).await;
                    ConnectionTimeout::Idle
                }
            }
        };
        tokio::select! {
            // What has arrived is read before the connection counts as idle.
            biased;
            result = &mut serving => {
                if let Err(error) = result {
                    tracing::debug!(%error, "callers: connection error");
                }
                return;
            }
            why = timed_out => {
                let now = std::time::Instant::now();
                let next = activity.next_timeout(limits.header_timeout, limits.idle_timeout);
                match next {
                    Some((at, ConnectionTimeout::Head)) if at <= now => {
                        relay.metrics().count_overdue("head");
                        return;
                    }
                    Some((at, ConnectionTimeout::Unread)) if at <= now => {
                        relay.metrics().count_overdue("unread");
                        return;
                    }
                    Some((at, _)) if at <= now && !shutting_down => {
                        tracing::trace!(?why, "callers: closing an idle connection");
                        shutting_down = true;
                        serving.as_mut().graceful_shutdown();
                    }
                    _ => {}
                }
            }
            () = activity.changed() => {}
            _ = phase.changed() => {}
            () = sleep_until_std(close_at), if close_at.is_some() && !shutting_down => {
                if activity.idle_since().is_some() {
                    shutting_down = true;
                    serving.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn sleep_until_std(at: Option<std::time::Instant>) {
    match at {
        Some(at) => sleep_until(Instant::from_std(at)).await,
        None => std::future::pending().await,
    }
}
