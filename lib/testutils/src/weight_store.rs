//! A stand-in for the rate-limited weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::Request;
use http::StatusCode;

use crate::http_call;
use crate::http_server::Call;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::Reply;
use crate::rate::RateLimit;

struct Shared {
    limit: Mutex<RateLimit>,
    granted: AtomicU64,
    refused: AtomicU64,
}

/// A running weight store: `POST /slots` grants the start of one load, or answers 429.
pub struct WeightStore {
    server: Arc<HttpServer>,
    shared: Arc<Shared>,
}

impl WeightStore {
    /// Starts a store that grants `rate` loads a second on the current runtime.
    pub fn start(listen: SocketAddr, rate: f64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            limit: Mutex::new(RateLimit::new(rate)),
            granted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        });
        Ok(WeightStore {
            server: HttpServer::start(listen, shared.clone())?,
            shared,
        })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Loads granted so far.
    pub fn granted(&self) -> u64 {
        self.shared.granted.load(Ordering::Relaxed)
    }

    /// Loads refused so far.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, _: Call) -> BoxFuture<'static, Reply> {
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let reply = if limit.take(Instant::now()) {
            self.granted.fetch_add(1, Ordering::Relaxed);
            Reply::text(StatusCode::OK, "")
        } else {
            self.refused.fetch_add(1, Ordering::Relaxed);
            Reply::text(StatusCode::TOO_MANY_REQUESTS, "over the rate")
        };
        async move { reply }.boxed()
    }
}

/// Asks the store at `addr` for the start of one load; `false` where it is refused or not reached.
pub async fn take_slot(addr: SocketAddr) -> bool {
    let Ok(request) = Request::post("/slots").body(Bytes::new()) else {
        return false;
    };
    let answer = http_call::call(addr, request).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
