//! A limit on informational answers before a final one.
//!
//! Load pattern: a faulty server sends one informational answer after another, as fast as it can. Each of them is valid and
//! small; together they keep the thread busy that serves all other requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// The most informational answers before a final one. Servers send a few: to continue, early hints, progress.
pub const MAX_INFORMATIONAL: usize = 64;

/// Counts the informational answers to a request that is sent by HTTP/1.
pub struct InformationalLimit {
    exceeded: Arc<Notify>,
}

impl InformationalLimit {
    /// Starts to count those to `request`.
    pub fn new<B>(request: &mut Request<B>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let (notify, count) = (exceeded.clone(), AtomicUsize::new(0));
        on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
                notify.notify_one();
            }
        });
        InformationalLimit { exceeded }
    }

    /// Waits until there are more than [`MAX_INFORMATIONAL`]. The request is then to be dropped, which closes its
    /// connection.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
