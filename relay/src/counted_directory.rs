//! A directory whose calls are counted by kind and outcome.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cicada_lib::revision::Revision;
use cicada_lib::site::Directory;
use cicada_lib::site::DirectoryError;
use cicada_lib::site::PeerRecord;
use cicada_lib::site::Result;
use cicada_lib::site::ServerChanges;
use cicada_lib::site::ServerListing;
use cicada_lib::site::SiteConfig;
use cicada_lib::zone_evacuation::EvacuatedZones;

use crate::relay_metrics::RelayMetrics;

/// Counts the calls to another directory.
pub(crate) struct CountedDirectory {
    inner: Arc<dyn Directory>,
    metrics: RelayMetrics,
}

impl CountedDirectory {
    /// Creates a directory that passes all calls on to `inner`.
    pub(crate) fn new(inner: Arc<dyn Directory>, metrics: RelayMetrics) -> Self {
        CountedDirectory { inner, metrics }
    }

    fn counted<T>(&self, call: &str, result: Result<T>) -> Result<T> {
        let outcome = match &result {
            Ok(_) => "ok",
            Err(DirectoryError::HistoryGone) => "history_gone",
            Err(DirectoryError::Refused(_)) => "refused",
            Err(DirectoryError::Lost(_)) => "lost",
            Err(DirectoryError::Malformed(_)) => "malformed",
        };
        self.metrics.count_directory_call(call, outcome);
        result
    }
}

#[async_trait]
impl Directory for CountedDirectory {
    async fn config(&self) -> Result<(Option<Arc<SiteConfig>>, Revision)> {
        self.counted("read_config", self.inner.config().await)
    }

    async fn next_config(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<(Option<Arc<SiteConfig>>, Revision)> {
        let result = self.inner.next_config(after, wait).await;
        self.counted("watch_config", result)
    }

    async fn servers(&self) -> Result<ServerListing> {
        self.counted("list_servers", self.inner.servers().await)
    }

    async fn next_servers(&self, after: Revision, wait: Duration) -> Result<ServerChanges> {
        let result = self.inner.next_servers(after, wait).await;
        self.counted("watch_servers", result)
    }

    async fn evacuations(&self) -> Result<EvacuatedZones> {
        self.counted("list_evacuations", self.inner.evacuations().await)
    }

    async fn next_evacuations(
        &self,
        known: &EvacuatedZones,
        wait: Duration,
    ) -> Result<EvacuatedZones> {
        let result = self.inner.next_evacuations(known, wait).await;
        self.counted("watch_evacuations", result)
    }

    async fn register(&self, peer: &PeerRecord, is_new: bool) -> Result<()> {
        self.counted("register", self.inner.register(peer, is_new).await)
    }

    async fn peers(&self) -> Result<Vec<PeerRecord>> {
        self.counted("list_relays", self.inner.peers().await)
    }
}
