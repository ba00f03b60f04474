//! The platform's service behind HTTP. The protocol is published in docs/standins.md.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ETAG;
use http::header::IF_NONE_MATCH;
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::http_client::CallError;
use crate::http_client::HttpClient;
use crate::http_client::HttpLimits;
use crate::http_client::Reuse;
use crate::http_client::escape;
use crate::http_client::excerpt;
use crate::ids::Name;
use crate::ids::Version;
use crate::platform::Condition;
use crate::platform::HostRecord;
use crate::platform::MAX_VALUE;
use crate::platform::Object;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::Result;

/// The header by which the platform's record of calls tells processes apart.
pub const CALLER_HEADER: &str = "x-caller";

/// The platform's service, reached over HTTP.
pub struct HttpPlatform {
    http: HttpClient,
    token: String,
    caller: Name,
    known: Mutex<KnownHosts>,
}

// The list of hosts as it came last. It changes some 200 times a day and has some 300 KB at 1,370
// hosts, so that reading it whole each time would cost more than all other control state together.
#[derive(Debug, Default)]
struct KnownHosts {
    // As the answer carried it; empty before the first one.
    tag: String,
    hosts: Vec<HostRecord>,
}

impl HttpPlatform {
    /// The service at `addr`, with the bearer token that it asks for.
    pub fn new(addr: SocketAddr, token: impl Into<String>) -> Self {
        HttpPlatform::with_limits(addr, token, HttpLimits::new())
    }

    /// The service at `addr`, with other limits.
    pub fn with_limits(addr: SocketAddr, token: impl Into<String>, limits: HttpLimits) -> Self {
        HttpPlatform {
            http: HttpClient::new(addr, limits),
            token: token.into(),
            caller: Name::default(),
            known: Mutex::default(),
        }
    }

    /// Names this process in each call.
    pub fn with_caller(self, caller: Name) -> Self {
        HttpPlatform { caller, ..self }
    }

    fn request(
        &self,
        method: &str,
        path: &str,
        condition: Option<Condition>,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>> {
        let mut request = self
            .http
            .request(method, path)
            .header("authorization", format!("Bearer {}", self.token))
            .header(CALLER_HEADER, self.caller.as_str());
        request = match condition {
            None => request,
            Some(Condition::Absent) => request.header("if-none-match", "*"),
            Some(Condition::At(version)) => request.header("if-match", tag(version)),
        };
        request
            .body(Full::new(body))
            .map_err(|error| PlatformError::Refused(format!("not a request for HTTP: {error}")))
    }

    fn get(&self, path: &str) -> Result<Request<Full<Bytes>>> {
        self.request("GET", path, None, Bytes::new())
    }

    async fn json<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let response = self.http.fetch(self.get(path)?, Reuse::Pooled).await?;
        let response = accepted(response)?;
        parsed(response.body())
    }

    fn known(&self) -> MutexGuard<'_, KnownHosts> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parsed<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::Unknown(format!("the answer cannot be read: {error}")))
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<Object>> {
        let request = self.get(&object_path(key))?;
        let response = self.http.fetch(request, Reuse::Pooled).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        object(accepted(response)?).map(Some)
    }

    async fn write(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version> {
        if value.len() > MAX_VALUE {
            return Err(PlatformError::TooLarge(value.len()));
        }
        let request = self.request("PUT", &object_path(key), Some(condition), value)?;
        let response = self.http.fetch(request, Reuse::Fresh).await?;
        version(&accepted(response)?)
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        let condition = Some(Condition::At(version));
        let request = self.request("DELETE", &object_path(key), condition, Bytes::new())?;
        let response = self.http.fetch(request, Reuse::Fresh).await?;
        accepted(response).map(drop)
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<String>> {
        let path = format!("/objects?prefix={}&after={}", escape(prefix), escape(after));
        self.json(&path).await
    }

    async fn watch(&self, key: &str, version: Version, wait: Duration) -> Result<Option<Object>> {
        let path = format!(
            "{}?watch={}&wait={}",
            object_path(key),
            version.0,
            wait.as_millis()
        );
        let limit = wait + self.http.silence();
        let response = self
            .http
            .send_within(self.get(&path)?, Reuse::Pooled, limit)
            .await?;
        let response = accepted(self.http.whole(response).await?)?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        object(response).map(Some)
    }

    async fn hosts(&self) -> Result<Vec<HostRecord>> {
        let mut request = self.get("/hosts")?;
        let tag = self.known().tag.clone();
        if let Ok(tag) = HeaderValue::from_str(&tag)
            && !tag.is_empty()
        {
            request.headers_mut().insert(IF_NONE_MATCH, tag);
        }
        let response = self.http.fetch(request, Reuse::Pooled).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(self.known().hosts.clone());
        }
        let response = accepted(response)?;
        let hosts: Vec<HostRecord> = parsed(response.body())?;
        let tag = response
            .headers()
            .get(ETAG)
            .and_then(|tag| tag.to_str().ok());
        *self.known() = KnownHosts {
            tag: tag.unwrap_or_default().to_string(),
            hosts: hosts.clone(),
        };
        Ok(hosts)
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", escape(key))
}

fn tag(version: Version) -> String {
    format!("\"{}\"", version.0)
}

fn found<T>(response: &Response<T>) -> Option<Version> {
    let value = response.headers().get("etag")?;
    let text = value.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Version)
}

fn version<T>(response: &Response<T>) -> Result<Version> {
    found(response)
        .ok_or_else(|| PlatformError::Unknown("the answer carries no version".to_string()))
}

fn object(response: Response<Bytes>) -> Result<Object> {
    Ok(Object {
        version: version(&response)?,
        value: response.into_body(),
    })
}

/// A good answer, or what a bad one means.
fn accepted(response: Response<Bytes>) -> Result<Response<Bytes>> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = format!("{status}: {}", excerpt(response.body()));
    match status {
        StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict {
            found: found(&response),
        }),
        StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Refused(text)),
        // A timeout while the service was at work on the call, perhaps.
        StatusCode::REQUEST_TIMEOUT => Err(PlatformError::Unknown(text)),
        _ if status.is_client_error() => Err(PlatformError::Refused(text)),
        _ => Err(PlatformError::Unknown(text)),
    }
}

impl From<CallError> for PlatformError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(text) => PlatformError::Refused(text),
            CallError::Lost(text) => PlatformError::Unknown(text),
        }
    }
}
