//! Measures two ways to run keyed calls at most once, at a store with rate limits.
//!
//! `cargo run -p cicada-lib --example claims_trial` prints for several arrival rates what a write for
//! each call carries and what group commit carries, then what a change of owner costs.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use cicada_lib::claims::Claim;
use cicada_lib::claims::ClaimSettings;
use cicada_lib::claims::Claims;
use cicada_lib::claims::KeyDigest;
use cicada_lib::claims::RecordedResponse;
use cicada_lib::ids::Name;
use cicada_lib::ids::Version;
use cicada_lib::platform::Condition;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::Object;
use cicada_lib::platform::Platform;
use cicada_lib::platform::PlatformError;
use cicada_lib::platform::Result;
use testutils::memory_platform::MemoryPlatform;
use tokio::task::JoinSet;

const WRITES: f64 = 300.0;
const READS: f64 = 2_000.0;
const LATENCY_MS: u64 = 3;
const AGENTS: usize = 3;
const RUN: Duration = Duration::from_secs(6);
const CALL: Duration = Duration::from_millis(5);
const NOW: u64 = 1_790_000_000_000;
// A caller of either way is refused after this wait.
const PATIENCE: Duration = Duration::from_secs(1);

struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Mutex<Self> {
        Mutex::new(Bucket {
            rate,
            tokens: 0.0,
            filled: Instant::now(),
        })
    }

    fn take(&mut self) -> Result<()> {
        let now = Instant::now();
        let fresh = self.rate * now.duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + fresh).min(self.rate / 10.0);
        self.filled = now;
        if self.tokens < 1.0 {
            return Err(PlatformError::Refused("rate limit".to_owned()));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// A store with latency and rate limits.
struct Limited {
    inner: MemoryPlatform,
    writes: Mutex<Bucket>,
    reads: Mutex<Bucket>,
}

impl Limited {
    fn new() -> Self {
        Limited {
            inner: MemoryPlatform::new(),
            writes: Bucket::new(WRITES),
            reads: Bucket::new(READS),
        }
    }

    async fn pass(&self, bucket: &Mutex<Bucket>) -> Result<()> {
        let jitter = fastrand::u64(0..2 * LATENCY_MS);
        tokio::time::sleep(Duration::from_millis(LATENCY_MS / 2 + jitter)).await;
        bucket.lock().expect("no call panics").take()
    }
}

#[async_trait]
impl Platform for Limited {
    async fn read(&self, key: &str) -> Result<Option<Object>> {
        self.pass(&self.reads).await?;
        self.inner.read(key).await
    }

    async fn write(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version> {
        self.pass(&self.writes).await?;
        self.inner.write(key, value, condition).await
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        self.pass(&self.writes).await?;
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<String>> {
        self.pass(&self.reads).await?;
        self.inner.list(prefix, after).await
    }

    async fn watch(&self, key: &str, version: Version, wait: Duration) -> Result<Option<Object>> {
        self.pass(&self.reads).await?;
        self.inner.watch(key, version, wait).await
    }

    async fn hosts(&self) -> Result<Vec<HostRecord>> {
        self.pass(&self.reads).await?;
        self.inner.hosts().await
    }
}

/// A way to claim a key and record its answer.
#[async_trait]
trait Way: Send + Sync {
    async fn call(&self, key: &str) -> Option<Duration>;
}

/// One object for each key: created before the run, written again with the answer.
struct Single(Arc<Limited>);

impl Single {
    async fn write(&self, key: &str, condition: Condition, until: Instant) -> Option<Version> {
        loop {
            let value = Bytes::from_static(&[0; 41]);
            match self.0.write(key, value, condition).await {
                Ok(version) => return Some(version),
                Err(PlatformError::Refused(_)) if Instant::now() < until => {
                    let pause = fastrand::u64(20..60);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
                Err(_) => return None,
            }
        }
    }
}

#[async_trait]
impl Way for Single {
    async fn call(&self, key: &str) -> Option<Duration> {
        let from = Instant::now();
        let key = format!("claims/{key}");
        let until = from + PATIENCE;
        let version = self.write(&key, Condition::Absent, until).await?;
        let added = from.elapsed();
        tokio::time::sleep(CALL).await;
        let until = Instant::now() + 10 * PATIENCE;
        self.write(&key, Condition::At(version), until).await;
        Some(added)
    }
}

/// Group commit by the process that the key's shard falls to.
struct Grouped {
    agents: Vec<Claims>,
    service: Name,
    workspace: Name,
}

impl Grouped {
    fn new(store: Arc<Limited>, agents: usize, settings: ClaimSettings) -> Self {
        let agent = |number| {
            let writer = Name::new(format!("agent-{number}"));
            Claims::new(store.clone(), settings, writer)
        };
        Grouped {
            agents: (0..agents).map(agent).collect(),
            service: Name::new("booking"),
            workspace: Name::new("hanshan"),
        }
    }
}

#[async_trait]
impl Way for Grouped {
    async fn call(&self, key: &str) -> Option<Duration> {
        let from = Instant::now();
        let shard = KeyDigest::new(&self.workspace, key).shard();
        let agent = &self.agents[usize::from(shard) % self.agents.len()];
        let claim = agent.claim(&self.service, &self.workspace, key, NOW);
        let claim = tokio::time::timeout(PATIENCE, claim).await.ok()?.ok()?;
        let added = from.elapsed();
        let Claim::Run(ticket) = claim else {
            return None;
        };
        tokio::time::sleep(CALL).await;
        let answer = RecordedResponse::new(201, b"{\"booked\":true,\"number\":123456}");
        // What cannot be written now is kept and written later.
        let _ = agent.settle(ticket, answer).await;
        Some(added)
    }
}

async fn load(name: &str, way: Arc<dyn Way>, store: &Limited, rate: u64) {
    store.inner.take_usage();
    let mut calls = JoinSet::new();
    let from = Instant::now();
    let total = rate * RUN.as_secs();
    for number in 0..total {
        let due = from + Duration::from_secs_f64(number as f64 / rate as f64);
        tokio::time::sleep_until(due.into()).await;
        let way = way.clone();
        calls.spawn(async move { way.call(&format!("{rate}-{number}")).await });
    }
    let mut added: Vec<_> = calls.join_all().await.into_iter().flatten().collect();
    let took = from.elapsed().as_secs_f64();
    added.sort();
    let at = |part: f64| {
        let place = (added.len() as f64 * part) as usize;
        added.get(place).map_or(f64::NAN, |d| d.as_secs_f64() * 1e3)
    };
    let usage = store.inner.take_usage();
    let done = added.len() as f64;
    println!(
        "{name:8} {rate:5}/s: carried {:6.0}/s, refused {:5.1}%, added p50 {:6.1} ms p99 {:6.1} ms, \
         writes {:5.3} reads {:5.3} a call, {:5.0} writes/s, {:7.0} kB/s",
        done / RUN.as_secs_f64(),
        100.0 * (1.0 - done / total as f64),
        at(0.5),
        at(0.99),
        usage.writes as f64 / done,
        usage.reads as f64 / done,
        usage.writes as f64 / took,
        usage.bytes_written as f64 / took / 1e3,
    );
}

async fn change_of_owner(store: Arc<Limited>, settings: ClaimSettings) {
    let objects = store.inner.objects();
    store.inner.take_usage();
    let heir = Arc::new(Grouped::new(store.clone(), 1, settings));
    let from = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0..200 {
        let heir = heir.clone();
        calls.spawn(async move { heir.call(&format!("after-{number}")).await });
    }
    let mut added: Vec<_> = calls.join_all().await.into_iter().flatten().collect();
    added.sort();
    let usage = store.inner.take_usage();
    println!(
        "change of owner of all 8 shards, {} objects: {} of 200 calls carried, slowest claim {:.0} ms, \
         {} reads, {:.0} kB read, all done after {:.0} ms",
        objects.len(),
        added.len(),
        added.last().map_or(f64::NAN, |d| d.as_secs_f64() * 1e3),
        usage.reads,
        usage.bytes_read as f64 / 1e3,
        from.elapsed().as_secs_f64() * 1e3,
    );
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    println!(
        "store: {WRITES} writes/s, {READS} reads/s, {LATENCY_MS} ms; {AGENTS} agents, 8 shards"
    );
    for rate in [20, 100, 200, 400, 1_000] {
        let store = Arc::new(Limited::new());
        load("single", Arc::new(Single(store.clone())), &store, rate).await;
    }
    for head_bytes in [64 * 1024, 16 * 1024] {
        println!("heads up to {head_bytes} bytes");
        let settings = ClaimSettings {
            head_bytes,
            ..ClaimSettings::default()
        };
        let store = Arc::new(Limited::new());
        for rate in [20, 100, 200, 400, 1_000, 3_000] {
            let way = Arc::new(Grouped::new(store.clone(), AGENTS, settings));
            load("grouped", way, &store, rate).await;
        }
        change_of_owner(store, settings).await;
    }
}
