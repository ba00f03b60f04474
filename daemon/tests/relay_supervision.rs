//! A relay whose tasks that follow the directory panic. The relay runs in the test; the directory is a stand-in.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use cicada_lib::fleet::Location;
use cicada_lib::ids::Name;
use cicada_lib::retry_share::RetryLimit;
use cicada_lib::revision::Revision;
use cicada_lib::site::Directory;
use cicada_lib::site::PeerRecord;
use cicada_lib::site::Result;
use cicada_lib::site::ServerChanges;
use cicada_lib::site::ServerListing;
use cicada_lib::site::SiteConfig;
use cicada_lib::zone_evacuation::EvacuatedZones;
use cicada_platform::HttpEngines;
use cicada_platform::PlatformDialect;
use cicada_relay::DirectoryWatcher;
use cicada_relay::Policy;
use cicada_relay::Relay;
use cicada_relay::RelayMetrics;
use cicada_relay::RelaySettings;
use cicada_relay::ReloadableSettings;
use prometheus::Registry;
use tokio::time::Instant;
use tokio::time::sleep;
use tracing_subscriber::fmt::MakeWriter;

/// A directory whose list of servers makes its reader panic.
#[derive(Default)]
struct OddDirectory {
    // Panics that are still to come, and whether they never end.
    panics: AtomicU32,
    always: AtomicBool,
    lists: AtomicU32,
}

impl OddDirectory {
    fn read(&self) {
        let panics = self.panics.load(Ordering::SeqCst);
        if panics > 0 {
            self.panics.store(panics - 1, Ordering::SeqCst);
            panic!("an odd figure");
        }
        assert!(!self.always.load(Ordering::SeqCst), "an odd figure");
    }
}

#[async_trait]
impl Directory for OddDirectory {
    async fn config(&self) -> Result<(Option<Arc<SiteConfig>>, Revision)> {
        let config = SiteConfig {
            version: 1,
            ..SiteConfig::default()
        };
        Ok((Some(Arc::new(config)), Revision::new(0, 1)))
    }

    async fn next_config(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<(Option<Arc<SiteConfig>>, Revision)> {
        sleep(wait).await;
        Ok((None, after))
    }

    async fn servers(&self) -> Result<ServerListing> {
        self.lists.fetch_add(1, Ordering::SeqCst);
        self.read();
        Ok(ServerListing {
            servers: Vec::new(),
            revision: Revision::new(0, 1),
        })
    }

    async fn next_servers(&self, after: Revision, wait: Duration) -> Result<ServerChanges> {
        sleep(wait.min(Duration::from_millis(100))).await;
        self.read();
        Ok(ServerChanges {
            changes: Vec::new(),
            revision: after,
        })
    }

    async fn evacuations(&self) -> Result<EvacuatedZones> {
        Ok(EvacuatedZones::default())
    }

    async fn next_evacuations(
        &self,
        known: &EvacuatedZones,
        wait: Duration,
    ) -> Result<EvacuatedZones> {
        sleep(wait).await;
        Ok(known.clone())
    }

    async fn register(&self, _peer: &PeerRecord, _is_new: bool) -> Result<()> {
        Ok(())
    }

    async fn peers(&self) -> Result<Vec<PeerRecord>> {
        Ok(Vec::new())
    }
}

/// Keeps what is logged.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().unwrap()).into_owned()
    }
}

impl io::Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = Log;

    fn make_writer(&'a self) -> Log {
        self.clone()
    }
}

fn settings() -> RelaySettings {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    RelaySettings {
        name: Name::new("relay"),
        peer: address,
        seeds: Vec::new(),
        listen: address,
        ready: address,
        place: Location {
            zone: Name::new("a"),
            regions: HashMap::from([(Name::new("a"), Name::new("r"))])
                .into_iter()
                .collect(),
        },
        first_start: true,
        config_apply: Duration::from_secs(3),
        drain_apply: Duration::from_secs(3),
        memory: 0,
        reloadable: ReloadableSettings {
            retry_limit: RetryLimit {
                ratio: 0.1,
                slack: 1.0,
                window: Duration::from_secs(10),
            },
            grace: Duration::from_secs(1),
            policy: Policy {
                refuse: true,
                returns: true,
                resume: true,
                patience: true,
                avoid: true,
                shares: true,
                ask: true,
                handoff: true,
                rescue: true,
                wait: true,
                lend: true,
            },
        },
    }
}

/// A relay that follows the directory, its figures, and its log.
fn start(directory: &Arc<OddDirectory>) -> (Arc<Relay>, Registry) {
    let registry = Registry::new();
    let relay = Relay::new(
        settings(),
        Arc::new(PlatformDialect::new()),
        Arc::new(HttpEngines::new()),
        RelayMetrics::new(&registry).unwrap(),
    );
    tokio::spawn(DirectoryWatcher::new(relay.clone(), directory.clone()).run());
    (relay, registry)
}

async fn wait_ready(relay: &Relay, ready: bool, limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if relay.is_ready() == ready {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

fn restarts(registry: &Registry) -> f64 {
    let families = registry.gather();
    let restarts = families
        .iter()
        .find(|family| family.name() == "relay_task_restarts_total");
    let counts = restarts.into_iter().flat_map(|family| family.get_metric());
    counts.map(|metric| metric.get_counter().get_value()).sum()
}

/// Guards against a watch that a panic ends for good and unseen.
#[tokio::test]
async fn a_watch_that_panics_follows_again() {
    let log = Log::default();
    let subscriber = tracing_subscriber::fmt().with_writer(log.clone()).finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    let directory = Arc::new(OddDirectory::default());
    directory.panics.store(2, Ordering::SeqCst);
    let (relay, registry) = start(&directory);
    let ready = wait_ready(&relay, true, Duration::from_secs(5)).await;
    assert!(ready, "{}", log.text());
    assert!(directory.lists.load(Ordering::SeqCst) >= 3);
    assert!(log.text().contains("a task panicked"), "{}", log.text());
    assert!(log.text().contains("server_watch"), "{}", log.text());
    assert!(log.text().contains("an odd figure"), "{}", log.text());
    assert_eq!(restarts(&registry), 2.0);
}

/// Guards against a relay that says it is ready and follows nothing, and against one that is out of use for good.
#[tokio::test]
async fn a_relay_whose_watch_panics_again_and_again_is_not_ready() {
    let directory = Arc::new(OddDirectory::default());
    let (relay, registry) = start(&directory);
    assert!(wait_ready(&relay, true, Duration::from_secs(5)).await);
    directory.always.store(true, Ordering::SeqCst);
    assert!(wait_ready(&relay, false, Duration::from_secs(5)).await);
    let lists = directory.lists.load(Ordering::SeqCst);
    sleep(Duration::from_secs(4)).await;
    assert!(!relay.is_ready());
    let lists = directory.lists.load(Ordering::SeqCst) - lists;
    assert!((1..=8).contains(&lists), "{lists} lists in 4 s");
    directory.always.store(false, Ordering::SeqCst);
    assert!(wait_ready(&relay, true, Duration::from_secs(15)).await);
    assert!(restarts(&registry) >= 4.0);
}
