//! Where callers and the balancer connect.

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

use crate::answer::AnswerBody;
use crate::caller_io::CallerIo;
use crate::caller_io::Overdue;
use crate::caller_io::Progress;
use crate::exchange;
use crate::relay::Relay;

/// The pause after a connection that could not be taken, so that a lack of descriptors makes no loop.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Connections that wait to be accepted: a burst of callers while the processor is used up.
const BACKLOG: u32 = 1_024;

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until the relay takes no more of them.
pub(crate) async fn serve_callers(relay: Arc<Relay>, listener: TcpListener) {
    let mut closing = relay.subscribe_stop_accepting();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_caller(relay.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "callers: a connection could not be taken");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Tells the balancer whether this entry takes new connections.
pub(crate) async fn serve_ready(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = ready_answer(&relay, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                tracing::debug!(%error, "ready: a connection broke");
            }
        });
    }
}

fn ready_answer(relay: &Relay, request: &Request<Incoming>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = if request.uri().path() != relay.dialect().ready_path() {
        StatusCode::NOT_FOUND
    } else if relay.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}

async fn serve_caller(relay: Arc<Relay>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "callers: a connection broke at once");
        return;
    }
    let limits = relay.table().config().limits.clone();
    let progress = Arc::new(Progress::new());
    let io = TokioIo::new(CallerIo::new(stream, progress.clone()));
    let handler = {
        let progress = progress.clone();
        let relay = relay.clone();
        service_fn(move |request| exchange::serve(relay.clone(), progress.clone(), request))
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .half_close(false)
        .max_buf_size(limits.max_header_bytes.max(8 * 1024));
    let serving = builder.serve_connection(io, handler);
    tokio::pin!(serving);
    let mut closing = false;
    let mut ending = relay.subscribe_close_idle();
    loop {
        let due = progress.due(limits.header_timeout, limits.idle_timeout);
        let overdue = async {
            match due {
                Some((at, why)) if !closing => {
                    sleep_until(Instant::from_std(at)).await;
                    why
                }
                // Nothing is due while a request is open; its own limits hold.
                _ => {
                    sleep(limits.idle_timeout).await;
                    Overdue::Idle
                }
            }
        };
        tokio::select! {
            outcome = &mut serving => {
                if let Err(error) = outcome {
                    tracing::debug!(%error, "callers: a connection broke");
                }
                return;
            }
            why = overdue => {
                let now = std::time::Instant::now();
                let still = progress.due(limits.header_timeout, limits.idle_timeout);
                match still {
                    Some((at, Overdue::Head)) if at <= now => {
                        relay.metrics().count_overdue("head");
                        return;
                    }
                    Some((at, _)) if at <= now && !closing => {
                        tracing::trace!(?why, "callers: an idle connection is closed");
                        closing = true;
                        serving.as_mut().graceful_shutdown();
                    }
                    _ => {}
                }
            }
            () = progress.changed() => {}
            _ = ending.changed(), if !closing => {
                closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}
