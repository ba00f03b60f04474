//! The listeners for callers and for the load balancer's readiness checks.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

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
use crate::exchange;
use crate::relay::Relay;

/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Maximum number of connections that wait to be accepted: a burst of callers while the CPU is saturated.
const BACKLOG: u32 = 1_024;

/// Opens a listener on an address.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves callers until the relay closes its listener.
pub(crate) async fn serve_callers(relay: Arc<Relay>, listener: TcpListener) {
    let mut closing = relay.subscribe_stop_accepting();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(relay.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "callers: failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
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
    let mut ending = relay.subscribe_close_idle();
    loop {
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
            _ = ending.changed(), if !shutting_down => {
                shutting_down = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}
