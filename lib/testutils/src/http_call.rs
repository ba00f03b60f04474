//! A plain HTTP call for tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

// Longer than any call in a test takes; a test that waits for more is stuck.
const LIMIT: Duration = Duration::from_secs(30);

/// Sends a request over a connection of its own, and returns the whole answer.
pub async fn call(addr: SocketAddr, request: Request<Bytes>) -> Result<Response<Bytes>> {
    let (mut head, body) = request.into_parts();
    head.uri = format!("http://{addr}{}", head.uri).parse()?;
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build_http();
    let request = Request::from_parts(head, Full::new(body));
    let whole = async {
        let (head, body) = client.request(request).await?.into_parts();
        Ok::<_, eyre::Report>(Response::from_parts(head, body.collect().await?.to_bytes()))
    };
    timeout(LIMIT, whole)
        .await
        .wrap_err("no answer in time; see the process's log")?
}

/// Reads `path`, which begins with a slash.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Response<Bytes>> {
    call(addr, Request::get(path).body(Bytes::new())?).await
}
