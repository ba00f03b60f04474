//! Keeps the newest configuration in force: told of it by the store or by gossip, and pulled from
//! peers or the store as [`cicada_lib::config_pull`] decides.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config_apply::ConfigState;
use cicada_lib::config_apply::VersionComparison;
use cicada_lib::config_chunks::EncodedConfig;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::config_pull::ConfigPuller;
use cicada_lib::config_pull::PullContext;
use cicada_lib::config_pull::PullSource;
use cicada_lib::config_store;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::config_store::StoredRoot;
use cicada_lib::gossip_net::GossipNet;
use cicada_lib::ids::Version;
use cicada_lib::roster::Member;
use cicada_lib::time::Clock;

use crate::control::Controller;
use crate::control::Running;
use crate::link::LinkSettings;
use crate::metrics::ConfigMetrics;
use crate::peer_ask;
use crate::peer_ask::mark_of;
use crate::status::Process;

/// How often the plan is looked at. Well below the second in which gossip brings news.
const STEP: Duration = Duration::from_millis(100);

/// Pause after a watch that failed: two watchers of ten availability zones make 20 calls a second.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// Told of each configuration that comes into force.
pub(crate) trait ConfigSink: Send + Sync {
    /// A newer configuration is in force.
    fn changed(&self, loaded: &Arc<LoadedConfig>);
}

/// Where versions come from.
pub(crate) struct ConfigSources {
    /// The platform's store.
    pub(crate) store: ConfigStore,
    /// Who tells of versions.
    pub(crate) net: GossipNet,
    /// How peers are reached.
    pub(crate) links: LinkSettings,
    /// How long a watch waits.
    pub(crate) wait: Duration,
}

/// Follows the configuration.
pub(crate) struct ConfigController {
    process: Arc<Process>,
    sources: ConfigSources,
    clock: Clock,
    metrics: ConfigMetrics,
    sinks: Vec<Arc<dyn ConfigSink>>,
    state: ConfigState,
    // The version of the root object that a watch goes on from; `None` before the first reading.
    watched: Option<Version>,
    // What was read of a version that is not whole yet, and of the one in force.
    parts: EncodedConfig,
}

impl ConfigController {
    /// A controller with nothing in force.
    pub(crate) fn new(
        process: Arc<Process>,
        sources: ConfigSources,
        clock: Clock,
        metrics: ConfigMetrics,
        sinks: Vec<Arc<dyn ConfigSink>>,
    ) -> Self {
        ConfigController {
            process,
            sources,
            clock,
            metrics,
            sinks,
            state: ConfigState::new(),
            watched: None,
            parts: EncodedConfig::default(),
        }
    }

    async fn follow(mut self) {
        let mut rng = fastrand::Rng::new();
        let settings = self.process.settings();
        let region = settings.name("process", "region");
        let zone = settings.name("process", "zone");
        let mut puller = ConfigPuller::new(self.clock.now(), region, zone, &mut rng);
        loop {
            let now = self.clock.now();
            // A process that knows nobody yet would take itself for a watcher. When all start at once,
            // each of them would read all of the configuration from the store.
            let knows_others = !self.process.hosts().is_empty();
            let watcher = knows_others && self.sources.net.membership().is_watcher(now);
            let seen = self.sources.net.membership().best_config();
            let own = self.state.version_id();
            let view = PullContext {
                own: own.as_ref(),
                seen: seen.as_ref(),
                watcher,
            };
            if let Some(pull) = puller.next_pull(now, view, &mut rng) {
                let succeeded = self.pull(pull).await;
                puller.record_result(self.clock.now(), succeeded, &mut rng);
            } else if watcher && own.is_some() {
                self.watch(&mut puller).await;
            } else {
                tokio::time::sleep(STEP).await;
            }
        }
    }

    /// Waits for a change at the store, and looks up now and then for news from elsewhere.
    async fn watch(&mut self, puller: &mut ConfigPuller) {
        // A watcher that had its first version from a peer has not seen the root yet. Without a
        // reading it would never watch, and with two such watchers an availability zone would learn
        // of changes from others only.
        let Some(after) = self.watched else {
            if !self.load().await {
                tokio::time::sleep(WATCH_PAUSE).await;
            }
            return;
        };
        let store = self.sources.store.clone();
        let watching = store.watch_root(after, self.sources.wait);
        let result = tokio::select! {
            result = watching => result,
            () = self.news() => return,
        };
        match result {
            Ok(Some(root)) => {
                self.note_root(&root);
                self.load().await;
            }
            // A store that was restored from a copy counts its versions from an older one, and would
            // not end a watch on the newer one: a change made there would go unseen.
            Ok(None) => {
                self.load().await;
            }
            Err(err) => {
                tracing::warn!(%err, "config: the watch failed, the version in force stays");
                tokio::time::sleep(WATCH_PAUSE).await;
                return;
            }
        }
        puller.record_watch(self.clock.now());
    }

    /// Returns once gossip tells of a newer version, or this process is no watcher any more.
    async fn news(&self) {
        loop {
            tokio::time::sleep(STEP).await;
            let now = self.clock.now();
            let membership = self.sources.net.membership();
            let newer = membership
                .best_config()
                .is_some_and(|seen| self.state.compare(seen.mark) == VersionComparison::Newer);
            if newer || !membership.is_watcher(now) {
                return;
            }
        }
    }

    async fn pull(&mut self, pull: PullSource) -> bool {
        match pull {
            PullSource::Store => self.load().await,
            PullSource::Peer(peer) => self.pull_from(&peer).await,
        }
    }

    async fn pull_from(&mut self, peer: &Member) -> bool {
        let seen = self.sources.net.membership().best_config();
        let Some(seen) = seen else { return false };
        let links = &self.sources.links;
        let held = self.state.current();
        match peer_ask::config(peer.address, links, &seen.mark, held).await {
            Ok(Some(loaded)) => {
                self.metrics.pulled_from_peer();
                self.apply(loaded);
                true
            }
            Ok(None) => false,
            Err(err) => {
                tracing::info!(peer = %peer.name, %err, "config: a peer could not be asked");
                false
            }
        }
    }

    /// Reads the newest version from the store; true where the store answered.
    async fn load(&mut self) -> bool {
        match self.read().await {
            Ok(Some(loaded)) => {
                self.metrics.read_from_store();
                self.watched = loaded.stored;
                self.apply(loaded);
                true
            }
            Ok(None) => false,
            Err(err) => {
                tracing::warn!(%err, "config: the store cannot be read, the version in force stays");
                false
            }
        }
    }

    /// Reads the root, and the rest only where the root is newer than what is in force.
    async fn read(&mut self) -> config_store::Result<Option<LoadedConfig>> {
        let Some(root) = self.sources.store.root().await? else {
            return Ok(None);
        };
        let newer = self.note_root(&root);
        if !newer && self.state.current().is_some() {
            return Ok(self.state.current().map(|held| LoadedConfig {
                stored: Some(root.stored),
                ..held.as_ref().clone()
            }));
        }
        self.sources.store.load_into(&mut self.parts).await
    }

    /// Judges a root that the store gave; true where it is newer than what is in force. An older one,
    /// as from a store that was restored from a copy, is counted and refused.
    fn note_root(&mut self, root: &StoredRoot) -> bool {
        self.watched = Some(root.stored);
        let mark = cicada_lib::config_apply::ConfigVersionId {
            version: root.root.version,
            digest: root.digest,
        };
        let comparison = self.state.observe(mark, self.clock.now());
        if matches!(
            comparison,
            VersionComparison::Older | VersionComparison::Conflicting
        ) {
            tracing::warn!(
                version = root.root.version.0,
                "config: the store gave an older version, which is refused"
            );
            self.metrics.refused();
        }
        comparison == VersionComparison::Newer
    }

    fn apply(&mut self, loaded: LoadedConfig) {
        if self.state.compare(mark_of(&loaded)) != VersionComparison::Newer {
            return;
        }
        let now = self.clock.now();
        self.state.apply_if_newer(loaded, now);
        let Some(loaded) = self.state.current().cloned() else {
            return;
        };
        self.parts = loaded.parts.as_ref().clone();
        tracing::info!(version = loaded.version.0, digest = %loaded.digest, "config: in force");
        self.metrics.in_force(loaded.version);
        self.process.set_config(loaded.clone());
        for sink in &self.sinks {
            sink.changed(&loaded);
        }
        let mark = mark_of(&loaded);
        self.sources.net.membership().set_config(now, mark);
    }
}

impl Controller for ConfigController {
    fn run(self: Box<Self>) -> Running {
        Box::pin(self.follow())
    }
}
