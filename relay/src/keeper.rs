//! Keeps an entry's view of the configuration and of the backend servers up to date.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::site::Directory;
use cicada_lib::site::DirectoryError;
use cicada_lib::site::Revision;
use tokio::time::sleep;

use crate::relay::Relay;

/// How long a watch waits: each costs a call, and a connection that went silent is noticed by its
/// keep-alive sooner.
const WATCH: Duration = Duration::from_secs(10);

/// Pauses after a call that failed, from the first to the longest. A store that refuses is asked often
/// enough that its return is noticed within half a second, and by each process at another time.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Reads the directory and follows it.
pub struct Keeper {
    relay: Arc<Relay>,
    directory: Arc<dyn Directory>,
}

/// The pause before the next try.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Backoff(FIRST_PAUSE)
    }

    fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }

    async fn wait(&mut self) {
        sleep(self.0.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
        self.0 = (self.0 * 2).min(LONGEST_PAUSE);
    }
}

impl Keeper {
    /// A keeper for the entry.
    pub fn new(relay: Arc<Relay>, directory: Arc<dyn Directory>) -> Self {
        Keeper { relay, directory }
    }

    /// Follows the directory until the process ends.
    pub async fn run(self) {
        tokio::join!(self.follow_config(), self.follow_servers());
    }

    async fn follow_config(&self) {
        let mut backoff = Backoff::new();
        let mut at: Option<Revision> = None;
        loop {
            let outcome = match at {
                None => self.directory.config().await,
                Some(after) => self.directory.next_config(after, WATCH).await,
            };
            match outcome {
                Ok((config, revision)) => {
                    backoff.reset();
                    at = Some(revision);
                    if let Some(config) = config {
                        self.relay.set_config(config);
                    }
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of the configuration");
                    if error == DirectoryError::HistoryGone {
                        at = None;
                    }
                    backoff.wait().await;
                }
            }
        }
    }

    async fn follow_servers(&self) {
        let mut backoff = Backoff::new();
        let mut at: Option<Revision> = None;
        loop {
            let outcome = match at {
                None => self.list_servers().await,
                Some(after) => self.watch_servers(after).await,
            };
            match outcome {
                Ok(revision) => {
                    backoff.reset();
                    at = Some(revision);
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of the backend servers");
                    if error == DirectoryError::HistoryGone {
                        at = None;
                    }
                    backoff.wait().await;
                }
            }
        }
    }

    async fn list_servers(&self) -> Result<Revision, DirectoryError> {
        let listing = self.directory.servers().await?;
        let servers = listing.servers.len();
        tracing::info!(
            servers,
            revision = listing.revision.0,
            "directory: servers listed"
        );
        self.relay.set_servers(&listing.servers);
        Ok(listing.revision)
    }

    async fn watch_servers(&self, after: Revision) -> Result<Revision, DirectoryError> {
        let news = self.directory.next_servers(after, WATCH).await?;
        if !news.changes.is_empty() {
            tracing::info!(
                changes = news.changes.len(),
                revision = news.revision.0,
                "directory: servers changed"
            );
            self.relay.change_servers(&news.changes);
        }
        Ok(news.revision)
    }
}
