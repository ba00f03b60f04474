//! Registers a relay in the directory, and keeps the list of relays complete.
//!
//! A registration costs a call, and the list is read by the relays that watch the directory alone. The others pull it
//! from a relay that knows more than they do: if each read it, the bytes of all lists would grow with the square of the
//! number of relays.

use std::time::Duration;

use cicada_lib::peer_messages::PeerRequest;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::directory_watcher::DirectoryWatcher;

/// Interval at which a relay looks whether others know more relays, and the retry interval of a registration.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
const INITIAL_SYNC_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which a watching relay reads the list, and the interval while it knows no other relay.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
const LONE_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Mean interval between the registrations of relays that start together.
const REGISTRATION_SPACING: Duration = Duration::from_millis(5);

impl DirectoryWatcher {
    /// Registers this relay and follows the list of relays until the process ends.
    pub(crate) async fn sync_relays(&self) {
        let mut eras = self.relay.subscribe_era();
        let mut registered = false;
        let mut listed_at: Option<Instant> = None;
        loop {
            if !self.relay.is_watching_directory() {
                self.pull_relays().await;
            } else if listed_at.is_none_or(|at| at.elapsed() >= self.list_interval()) {
                self.list_relays().await;
                listed_at = Some(Instant::now());
            }
            if !registered && self.is_directory_served() {
                registered = self.register().await;
                // Of two relays that start together, the one that registers later finds the other.
                if registered && self.relay.is_watching_directory() {
                    self.list_relays().await;
                }
            }
            let pause = self.sync_interval().mul_f64(0.5 + 0.5 * fastrand::f64());
            tokio::select! {
                () = sleep(pause) => {}
                _ = eras.changed() => {
                    // The directory may have lost this relay's record, like those of all other relays.
                    registered = false;
                }
            }
        }
    }

    /// Reads the directory's list of relays.
    pub(crate) async fn list_relays(&self) {
        match self.directory.peers().await {
            Ok(records) => {
                let relays = records.into_iter().filter(|record| record.entry);
                self.relay
                    .add_listed_relays(relays.map(|record| record.address));
            }
            Err(error) => tracing::info!(%error, "directory: cannot read the list of relays"),
        }
    }

    /// Short until this relay knows all others: it takes no share of what all of them share before that.
    fn sync_interval(&self) -> Duration {
        match self.relay.peers().is_list_complete() {
            true => SYNC_INTERVAL,
            false => INITIAL_SYNC_INTERVAL,
        }
    }

    /// Whether the directory serves this relay or another one of the region.
    fn is_directory_served(&self) -> bool {
        self.relay.is_watching_directory() || self.relay.is_region_watched()
    }

    fn list_interval(&self) -> Duration {
        match self.relay.peers().known_count() {
            1 => LONE_LIST_INTERVAL,
            _ => LIST_INTERVAL,
        }
    }

    /// Registers this relay after a random delay, since all relays may have started at the same time.
    async fn register(&self) -> bool {
        let spread = REGISTRATION_SPACING * self.relay.relay_count() as u32;
        sleep(spread.mul_f64(fastrand::f64())).await;
        let record = self.relay.peer_record();
        let first_start = self.relay.settings().first_start;
        match self.directory.register(&record, first_start).await {
            Ok(()) => true,
            Err(error) => {
                tracing::info!(%error, "directory: cannot register this relay");
                false
            }
        }
    }

    async fn pull_relays(&self) {
        let source = self.relay.peers().better_informed(self.relay.now());
        if let Some(peer) = source {
            self.pull_from(peer, &PeerRequest::Relays).await;
        }
    }
}
