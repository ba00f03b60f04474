//! What other processes tell at the end of a run: the effects that took place, and displacements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

const LIMIT: Duration = Duration::from_secs(10);

/// The daemons' counter of displacements.
const PREEMPTIONS: &str = "cicada_preemptions_total";

/// An effect, as a stand-in of a plain service records it.
#[derive(Clone, Debug, Deserialize)]
pub struct Effect {
    /// The caller's key; empty where it sent none.
    pub key: String,
}

/// Reads a page of a server.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{addr}{path}");
    let request = Request::get(&uri).body(Empty::<Bytes>::new())?;
    let whole = async {
        let body = client.request(request).await?.into_body();
        Ok::<_, eyre::Report>(body.collect().await?.to_bytes())
    };
    let answer = tokio::time::timeout(LIMIT, whole).await;
    answer.wrap_err("no answer in time")?.wrap_err(uri)
}

/// How often each key took effect, over all stand-ins.
pub async fn effects(records: &[SocketAddr]) -> Result<HashMap<String, u64>> {
    let mut counts = HashMap::new();
    for addr in records {
        let page = get(*addr, "/record").await?;
        let effects: Vec<Effect> =
            serde_json::from_slice(&page).wrap_err("no record of effects")?;
        for effect in effects {
            *counts.entry(effect.key).or_default() += 1;
        }
    }
    Ok(counts)
}

/// The sum of the daemons' counters of displacements.
pub async fn preemptions(status: &[SocketAddr]) -> Result<u64> {
    let mut sum = 0;
    for addr in status {
        let page = get(*addr, "/metrics").await?;
        sum += read_counter(&String::from_utf8_lossy(&page));
    }
    Ok(sum)
}

/// The sum of the counter's lines, whatever their labels.
pub fn read_counter(page: &str) -> u64 {
    let lines = page.lines().filter(|line| line.starts_with(PREEMPTIONS));
    let figures = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    figures.sum::<f64>() as u64
}
