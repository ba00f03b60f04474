//! Keeps the newest configuration in force.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::config_chunks::Loaded;
use cicada_lib::config_chunks::Parts;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Version;

use crate::control::Controller;
use crate::control::Running;
use crate::status::Process;

/// Longest pause after a failed call. Short against the 11 s in which a change is in force, and long
/// enough that 1,370 processes after an outage stay under the store's reads a second.
const RETRY: Duration = Duration::from_millis(2_000);

/// Told of each configuration that comes into force.
pub(crate) trait ConfigSink: Send + Sync {
    /// A newer configuration is in force.
    fn changed(&self, loaded: &Arc<Loaded>);
}

/// Watches the root at the store.
pub(crate) struct ConfigController {
    process: Arc<Process>,
    store: ConfigStore,
    wait: Duration,
    sinks: Vec<Arc<dyn ConfigSink>>,
}

impl ConfigController {
    /// A controller over the store; one watch waits for `wait`.
    pub(crate) fn new(
        process: Arc<Process>,
        store: ConfigStore,
        wait: Duration,
        sinks: Vec<Arc<dyn ConfigSink>>,
    ) -> Self {
        ConfigController {
            process,
            store,
            wait,
            sinks,
        }
    }

    async fn follow(self) {
        loop {
            if let Err(err) = self.step().await {
                tracing::warn!(%err, "config: the store cannot be read, the old version stays in force");
                let pause = RETRY.mul_f64(fastrand::f64().max(0.1));
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn step(&self) -> cicada_lib::config_store::Result<()> {
        let held = self.process.config();
        let after = held.as_ref().and_then(|held| held.stored);
        if let Some(after) = after
            && self.store.watch_root(after, self.wait).await?.is_none()
        {
            return Ok(());
        }
        let parts = held.as_ref().map(|held| held.parts.clone());
        let parts = parts.unwrap_or_else(|| Arc::new(Parts::default()));
        match self.store.load_after(&parts).await? {
            Some(loaded) => self.apply(Arc::new(loaded), held.as_ref().map(|held| held.version)),
            None => tokio::time::sleep(RETRY / 4).await,
        }
        Ok(())
    }

    /// Puts a newer version in force. An older one, as from a store that was restored from a copy, is
    /// refused: a configuration that was in force never comes back.
    fn apply(&self, loaded: Arc<Loaded>, held: Option<Version>) {
        if held.is_some_and(|held| loaded.version <= held) {
            return;
        }
        tracing::info!(version = loaded.version.0, digest = %loaded.digest, "config: in force");
        self.process.set_config(loaded.clone());
        for sink in &self.sinks {
            sink.changed(&loaded);
        }
    }
}

impl Controller for ConfigController {
    fn run(self: Box<Self>) -> Running {
        Box::pin(self.follow())
    }
}
