//! A plain service behind HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header::RETRY_AFTER;
use http_body_util::Full;

use crate::backend::BackendError;
use crate::backend::CallAnswer;
use crate::backend::CallSpec;
use crate::backend::Header;
use crate::backend::Result;
use crate::backend::Service;
use crate::http_client::HttpClient;
use crate::http_client::HttpLimits;
use crate::http_client::Reuse;
use crate::http_client::did_not_run;
use crate::http_client::excerpt;
use crate::server_rest;

// A plain service shows no sign of life while it works on a call, so silence is no sign of a lost
// connection before the longest call that users wait for is over.
const SERVICE_SILENCE: Duration = Duration::from_secs(30);

// A health check does no work.
const HEALTH_SILENCE: Duration = Duration::from_secs(2);

/// A plain service that is reached over HTTP.
pub struct HttpService {
    http: HttpClient,
    // Begins with a slash.
    health: String,
}

impl HttpService {
    /// The service at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        HttpService::with_limits(addr, HttpLimits::new().with_silence(SERVICE_SILENCE))
    }

    /// The service at `addr`, with other limits.
    pub fn with_limits(addr: SocketAddr, limits: HttpLimits) -> Self {
        HttpService {
            http: HttpClient::new(addr, limits),
            health: "/health".to_string(),
        }
    }

    /// Checks the service's health at `path`, which begins with a slash.
    pub fn with_health(self, path: impl Into<String>) -> Self {
        HttpService {
            health: path.into(),
            ..self
        }
    }

    fn request(&self, call: &CallSpec) -> Result<Request<Full<Bytes>>> {
        let mut request = self.http.request(&call.method, &call.path);
        for header in &call.headers {
            if !is_per_hop(&header.name) {
                request = request.header(&header.name, header.value.as_slice());
            }
        }
        request
            .body(Full::from(call.body.clone()))
            .map_err(|error| BackendError::Refused(format!("not a request for HTTP: {error}")))
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, call: &CallSpec) -> Result<CallAnswer> {
        let request = self.request(call)?;
        let reuse = reuse(request.method());
        let response = self.http.fetch(request, reuse).await?;
        if did_not_run(&response) {
            if let Some(rest) = requested_rest(response.headers()) {
                return Err(BackendError::Resting(rest));
            }
            let text = format!("{}: {}", response.status(), excerpt(response.body()));
            return Err(BackendError::Refused(text));
        }
        Ok(CallAnswer {
            status: response.status().as_u16(),
            headers: carried(response.headers()),
            body: response.into_body(),
        })
    }

    async fn healthy(&self) -> Result<()> {
        let request = self
            .http
            .request("GET", &self.health)
            .body(Full::default())
            .map_err(|error| BackendError::Failed(format!("the health path: {error}")))?;
        let response = self
            .http
            .send_within(request, Reuse::Pooled, HEALTH_SILENCE)
            .await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(BackendError::Failed(format!(
            "its health check answers {}",
            response.status()
        )))
    }
}

/// The rest that a refusal asks for, in seconds. A date, or what is no time, stands for the default.
fn requested_rest(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    let rest = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds.max(0.0)).ok());
    Some(rest.unwrap_or(server_rest::DEFAULT_REST))
}

// Only methods that change nothing may meet a connection that the peer has just closed.
fn reuse(method: &Method) -> Reuse {
    if method.is_safe() {
        Reuse::Pooled
    } else {
        Reuse::Fresh
    }
}

fn carried(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_per_hop(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Whether a header belongs to one connection and is not carried through.
fn is_per_hop(name: &str) -> bool {
    PER_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

const PER_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
