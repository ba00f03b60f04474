//! Asks processes for their state over HTTP.

use std::cmp::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::informational_limit::InformationalLimit;
use cicada_lib::platform::HostRecord;
use futures_util::StreamExt;
use futures_util::stream;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

// With 64 at a time and 30 ms between regions, 1,370 processes answer within a second or two, and
// the tool holds no more than 64 connections.
const PARALLEL: usize = 64;
// A status page has some hundred bytes; more is not one.
const MAX_PAGE: usize = 65_536;

/// A process's status page. Fields that it does not know are left at their defaults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct StatusPage {
    /// The host's name.
    pub(crate) name: String,
    /// `starting`, `ready` or `draining`.
    pub(crate) state: String,
    /// The version of the configuration in force; 0 for none.
    pub(crate) version: u64,
    /// Its digest.
    pub(crate) digest: String,
    /// Requests that are not over.
    pub(crate) in_flight: i64,
}

/// What is known of a host's process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessReport {
    /// The platform's record.
    pub(crate) host: HostRecord,
    /// What the process says; else why it does not.
    pub(crate) page: Result<StatusPage, String>,
}

impl ProcessReport {
    /// The state, `unreachable` where the process does not answer.
    pub(crate) fn state(&self) -> &str {
        self.page.as_ref().map_or("unreachable", |p| &p.state)
    }

    /// How the version that the process follows stands to the store's newest.
    pub(crate) fn standing(&self, newest: &ConfigVersionId) -> Standing {
        let Ok(page) = &self.page else {
            return Standing::Unreachable;
        };
        match page.version.cmp(&newest.version.0) {
            Ordering::Less => Standing::Behind,
            Ordering::Greater => Standing::Ahead,
            Ordering::Equal if page.digest == newest.digest.to_string() => Standing::Newest,
            Ordering::Equal => Standing::Conflicting,
        }
    }
}

/// How a process's version stands to the store's newest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Standing {
    /// It is the newest.
    Newest,
    /// It is older.
    Behind,
    /// It is newer than the store's: the store was restored from a backup.
    Ahead,
    /// It has the newest's number and other content: the store was restored, and changed since.
    Conflicting,
    /// The process does not answer.
    Unreachable,
}

impl Standing {
    /// The name in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Standing::Newest => "newest",
            Standing::Behind => "behind",
            Standing::Ahead => "ahead",
            Standing::Conflicting => "conflicting",
            Standing::Unreachable => "unreachable",
        }
    }
}

/// Asks processes.
pub(crate) struct StatusClient {
    timeout: Duration,
}

type Http = Client<HttpConnector, Empty<Bytes>>;

impl StatusClient {
    /// Waits for each process as long as `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        StatusClient { timeout }
    }

    /// Asks every host's process, and returns the answers in the hosts' order.
    pub(crate) async fn ask_all(&self, hosts: Vec<HostRecord>) -> Vec<ProcessReport> {
        let http: Http = Client::builder(TokioExecutor::new()).build_http();
        let asked = hosts.into_iter().map(|host| self.ask(&http, host));
        stream::iter(asked).buffered(PARALLEL).collect().await
    }

    async fn ask(&self, http: &Http, host: HostRecord) -> ProcessReport {
        let answer = tokio::time::timeout(self.timeout, page(http, &host)).await;
        let page = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let page = page.and_then(|p| own(p, &host));
        ProcessReport { host, page }
    }
}

// Addresses are used again: an answer of another host says nothing of this one.
fn own(page: StatusPage, host: &HostRecord) -> Result<StatusPage, String> {
    if page.name == host.name.as_str() {
        return Ok(page);
    }
    Err(format!("'{}' answers at its address", page.name))
}

async fn page(http: &Http, host: &HostRecord) -> Result<StatusPage, String> {
    let uri = format!("http://{}/status", host.status);
    let request = Request::get(uri).body(Empty::new());
    let mut request = request.map_err(|e| e.to_string())?;
    let informational = InformationalLimit::new(&mut request);
    let answer = tokio::select! {
        answer = http.request(request) => answer,
        () = informational.exceeded() => {
            return Err("it sends informational answers without end".to_owned());
        }
    };
    let answer = answer.map_err(|_| "it cannot be reached".to_owned())?;
    if !answer.status().is_success() {
        return Err(format!(
            "it answers with status {}",
            answer.status().as_u16()
        ));
    }
    let body = Limited::new(answer.into_body(), MAX_PAGE).collect().await;
    let body = body.map_err(|_| "its answer was cut off".to_owned())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| "its answer cannot be read".to_owned())
}
