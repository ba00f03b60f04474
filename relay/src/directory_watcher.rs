//! Keeps a relay's view of the configuration and of the backend servers up to date, from the directory or
//! from other relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::peer_messages::PeerRequest;
use cicada_lib::peer_messages::PeerResponse;
use cicada_lib::revision::ERA_SETTLE_TIME;
use cicada_lib::revision::Revision;
use cicada_lib::site::Directory;
use cicada_lib::site::DirectoryError;
use cicada_lib::site::PeerRecord;
use cicada_lib::site::Result;
use cicada_lib::site::ServerChanges;
use cicada_lib::site::ServerListing;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::peer_pull;
use crate::relay::Relay;

/// How long a watch on the configuration, and one on the backend servers, waits for a change. Each watch
/// costs a call. A directory that rejects new calls while a watch is pending is noticed only when the watch
/// times out, and so is a dead connection: until then no engine is accepted on its scout's announcement
/// alone, and no relay receives a new configuration.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
const SERVER_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between watches on the backend servers per known relay, and its maximum. Each watch that returns
/// costs a call, and changes grow with the number of servers, while the platform's rate limits grow more
/// slowly: in a large deployment one call returns several changes. That an engine leaves is learnt earlier
/// from its scout.
const WATCH_INTERVAL_PER_RELAY: Duration = Duration::from_micros(2_500);
const MAX_WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Initial and maximum backoff after a failed call; the backoff is doubled after each failure. The maximum is
/// meant for a region with few relays and grows with each further `RELAYS_PER_BACKOFF_STEP` relays: together
/// they notice the store's return as early, with as many calls.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
const RELAYS_PER_BACKOFF_STEP: u32 = 3;

/// Maximum random delay before a relay takes over the watch of another one. All relays of the region notice
/// at the same time that the watching relay is gone, and one is enough.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(300);

/// After an outage of this length a list may lack servers that are still running: their records have expired,
/// and are written again as after the directory was restored from an older copy.
const RECORD_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);

/// After failing for this long the directory counts as unreachable. A broken connection is replaced sooner.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(400);

/// Interval at which newer state is pulled from other relays, and at which waiting tasks check their
/// condition.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the directory's list of relays is read, and the retry interval. Relays also learn of
/// each other from hellos.
const PEERS_INTERVAL: Duration = Duration::from_secs(20);
const PEERS_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Applies the directory's state to a relay and watches the directory for changes.
pub struct DirectoryWatcher {
    pub(crate) relay: Arc<Relay>,
    pub(crate) directory: Arc<dyn Directory>,
}

/// Backoff state of the calls to the directory.
pub(crate) struct CallBackoff {
    delay: Duration,
    failing_since: Option<Instant>,
}

impl CallBackoff {
    pub(crate) fn new() -> Self {
        CallBackoff {
            delay: MIN_BACKOFF,
            failing_since: None,
        }
    }

    pub(crate) fn reset(&mut self) {
        *self = CallBackoff::new();
    }

    /// Records a failed call and waits before the next one.
    pub(crate) async fn wait_after_failure(&mut self, relay: &Relay) {
        let failing_since = *self.failing_since.get_or_insert_with(Instant::now);
        if failing_since.elapsed() >= UNREACHABLE_AFTER {
            relay.set_directory_unreachable(true);
        }
        sleep(self.delay.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
        self.delay = (self.delay * 2).min(max_backoff(relay));
    }
}

impl DirectoryWatcher {
    /// Creates a watcher that updates `relay`.
    pub fn new(relay: Arc<Relay>, directory: Arc<dyn Directory>) -> Self {
        DirectoryWatcher { relay, directory }
    }

    /// Watches the directory until the process ends.
    pub async fn run(self) {
        tokio::join!(
            self.watch_config(),
            self.watch_servers(),
            self.watch_evacuations(),
            self.sync_peers(),
            self.pull_from_peers(),
        );
    }

    /// Watches the configuration.
    ///
    /// After an interrupted watch the whole configuration is read again. Watching on from the last revision
    /// is not safe: the changes in between may be lost without an error from the directory, and the watch
    /// would miss one change and return only with the next.
    async fn watch_config(&self) {
        let mut backoff = CallBackoff::new();
        let mut revision: Option<Revision> = None;
        loop {
            if self.relay.version() > 0 && self.defer_to_watching_relay().await {
                revision = None;
                continue;
            }
            let outcome = match revision {
                None => self.directory.config().await,
                Some(after) => tokio::select! {
                    outcome = self.directory.next_config(after, CONFIG_WATCH_TIMEOUT) => outcome,
                    // A failure that the watch on the servers has noticed also affects this watch, which may
                    // not notice it until it times out.
                    () = self.wait_for_reset(after), if self.relay.version() > 0 => {
                        revision = None;
                        continue;
                    }
                },
            };
            match outcome {
                Ok((config, read_at)) => {
                    backoff.reset();
                    revision = Some(read_at);
                    if let Some(config) = config {
                        self.relay.set_config(config);
                    }
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of the configuration");
                    revision = None;
                    backoff.wait_after_failure(&self.relay).await;
                }
            }
        }
    }

    async fn watch_servers(&self) {
        let mut backoff = CallBackoff::new();
        let mut watching = false;
        let mut view = ServerView::default();
        loop {
            if self.relay.revision().is_known() {
                watching = self.should_watch(watching).await;
                // Set only after a successful call: other relays stop watching for this one, which may be
                // rejected itself.
                self.relay
                    .set_watching_directory(watching && view.revision.is_some());
                if !watching {
                    view.revision = None;
                    continue;
                }
            }
            match self.next_servers(&mut view, &backoff).await {
                Ok(()) => {
                    backoff.reset();
                    self.relay.set_directory_unreachable(false);
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of the backend servers");
                    view.revision = None;
                    self.relay.set_watching_directory(false);
                    backoff.wait_after_failure(&self.relay).await;
                }
            }
        }
    }

    /// Returns true after a pause if this relay does not watch the directory: another relay of the region
    /// does, or the directory is unreachable. The watch on the servers decides this for all watches.
    pub(crate) async fn defer_to_watching_relay(&self) -> bool {
        if self.relay.is_watching_directory() {
            return false;
        }
        sleep(PULL_INTERVAL).await;
        true
    }

    /// Waits until this relay no longer watches the directory, its last call failed, or the directory was
    /// restored from an older copy after `revision`.
    pub(crate) async fn wait_for_reset(&self, revision: Revision) {
        while self.relay.is_watching_directory() && self.relay.era() <= revision.era {
            sleep(PULL_INTERVAL).await;
        }
    }

    /// Whether this relay should watch the directory; `watching` tells whether it does so now. If another
    /// relay watches, returns false after a pause.
    async fn should_watch(&self, watching: bool) -> bool {
        // Without other relays there is no one to coordinate with.
        let others = self.relay.relays_in_region() > 1;
        if !watching && others && self.relay.may_watch(watching) {
            sleep(MAX_TAKEOVER_DELAY.mul_f64(fastrand::f64())).await;
        }
        if self.relay.may_watch(watching) {
            return true;
        }
        // The watching relay reaches the directory and passes its state on.
        self.relay.set_directory_unreachable(false);
        sleep(PULL_INTERVAL).await;
        false
    }

    async fn next_servers(&self, view: &mut ServerView, backoff: &CallBackoff) -> Result<()> {
        let Some(after) = view.revision else {
            return self.list_servers(view, backoff).await;
        };
        let wait = match view.relist_at {
            Some(relist_at) => relist_at
                .saturating_duration_since(Instant::now())
                .min(SERVER_WATCH_TIMEOUT),
            None => SERVER_WATCH_TIMEOUT,
        };
        let started_at = Instant::now();
        let news = self.directory.next_servers(after, wait).await?;
        if !news.changes.is_empty() {
            let changes = news.changes.len();
            tracing::info!(
                changes,
                revision = %news.revision,
                "directory: servers changed"
            );
        }
        let news = ServerChanges {
            revision: news.revision.with_whole(after.whole),
            ..news
        };
        self.relay.apply_directory_changes(after, &news);
        view.revision = Some(news.revision);
        if view
            .relist_at
            .is_some_and(|relist_at| relist_at <= Instant::now())
        {
            view.relist_at = None;
            view.revision = None;
        }
        sleep_until(started_at + self.watch_interval()).await;
        Ok(())
    }

    async fn list_servers(&self, view: &mut ServerView, backoff: &CallBackoff) -> Result<()> {
        let listing = self.directory.servers().await?;
        self.relay.observe_revision(listing.revision);
        if listing.revision.era < self.relay.era() {
            return Err(DirectoryError::HistoryGone);
        }
        // A server that is missing in a list after an outage may still be running.
        let records_expired = backoff
            .failing_since
            .is_some_and(|since| since.elapsed() >= RECORD_EXPIRY_OUTAGE);
        let whole = self.relay.is_settled() && !records_expired;
        let listing = ServerListing {
            revision: listing.revision.with_whole(whole),
            ..listing
        };
        tracing::info!(
            servers = listing.servers.len(),
            whole,
            revision = %listing.revision,
            "directory: servers listed"
        );
        if whole {
            self.relay.set_servers(&listing);
        } else {
            self.relay.merge_servers(&listing);
            view.relist_at = Some(Instant::now() + ERA_SETTLE_TIME);
        }
        view.revision = Some(listing.revision);
        Ok(())
    }

    fn watch_interval(&self) -> Duration {
        let relays = self.relay.peers().count() as u32;
        (WATCH_INTERVAL_PER_RELAY * relays).min(MAX_WATCH_INTERVAL)
    }

    async fn sync_peers(&self) {
        let own = self.relay.peer_record();
        let mut eras = self.relay.subscribe_era();
        let mut registered = false;
        loop {
            if !registered {
                registered = self.register(&own).await;
            }
            let pause = match self.directory.peers().await {
                Ok(peers) => {
                    let others = peers.into_iter().filter(|p| p.entry).map(|p| p.address);
                    let mut known = self.relay.peers();
                    known.add_known(own.address, others);
                    known.set_list_read();
                    drop(known);
                    self.relay.update_entry_shares();
                    PEERS_INTERVAL
                }
                Err(error) => {
                    tracing::info!(%error, "directory: cannot read the list of relays");
                    PEERS_RETRY_INTERVAL
                }
            };
            tokio::select! {
                () = sleep(if registered { pause } else { PEERS_RETRY_INTERVAL }) => {}
                _ = eras.changed() => {
                    // The directory may have lost this relay's record, like those of all other relays.
                    registered = false;
                    sleep(PEERS_RETRY_INTERVAL.mul_f64(fastrand::f64())).await;
                }
            }
        }
    }

    async fn register(&self, own: &PeerRecord) -> bool {
        match self.directory.register(own).await {
            Ok(()) => true,
            Err(error) => {
                tracing::info!(%error, "directory: cannot register this relay");
                false
            }
        }
    }

    /// Pulls state from other relays that is newer than this relay's.
    async fn pull_from_peers(&self) {
        // The versions one round ago. State is pulled only if they have not changed since: a relay with a
        // working watch has caught up by then.
        let (mut version, mut revision) = (0, Revision::default());
        loop {
            sleep(PULL_INTERVAL).await;
            let ahead = self
                .relay
                .peers()
                .most_advanced_config(self.relay.version());
            if let Some(peer) = ahead.filter(|_| self.relay.version() == version) {
                self.pull_from(peer, &PeerRequest::Config(version)).await;
            }
            let ahead = self
                .relay
                .peers()
                .most_advanced_servers(self.relay.revision());
            if let Some(peer) = ahead.filter(|_| self.relay.revision() == revision) {
                self.pull_from(peer, &PeerRequest::Servers(revision)).await;
            }
            version = self.relay.version();
            revision = self.relay.revision();
        }
    }

    async fn pull_from(&self, peer: SocketAddr, question: &PeerRequest) {
        let before = self.relay.revision();
        match peer_pull::request(peer, question).await {
            Ok(PeerResponse::Nothing) => {}
            Ok(PeerResponse::Config(config)) => {
                tracing::info!(%peer, version = config.version, "peers: a configuration came from a relay");
                self.relay.set_config(config);
            }
            Ok(PeerResponse::Servers(listing)) => {
                tracing::info!(%peer, revision = %listing.revision, "peers: pulled servers from a relay");
                self.relay.apply_peer_listing(&listing);
            }
            Ok(PeerResponse::Changes(changes)) => {
                let count = changes.changes.len();
                tracing::debug!(%peer, count, revision = %changes.revision, "peers: pulled changes of servers from a relay");
                self.relay.apply_changes(before, &changes);
            }
            Err(error) => tracing::debug!(%peer, %error, "peers: cannot pull from a relay"),
        }
    }
}

/// The maximum backoff. Short for a relay that is not ready yet, since it serves no requests until a call
/// succeeds.
fn max_backoff(relay: &Relay) -> Duration {
    match relay.is_ready() {
        true => MAX_BACKOFF * (1 + relay.relays_in_region() as u32 / RELAYS_PER_BACKOFF_STEP),
        false => MAX_BACKOFF,
    }
}

/// State of the watch on the backend servers.
#[derive(Default)]
struct ServerView {
    // The revision to watch from; `None` if the list must be read first.
    revision: Option<Revision>,
    // When the list must be read again, because it may have been incomplete.
    relist_at: Option<Instant>,
}
