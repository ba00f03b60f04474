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
use cicada_lib::site::Result;
use cicada_lib::site::ServerChanges;
use cicada_lib::site::ServerListing;
use cicada_lib::site::WATCH_ANSWER_TIMEOUT;
use cicada_lib::watch_election;
use cicada_lib::watch_wait::PULL_TIME;
use cicada_lib::watch_wait::READ_TIME;
use cicada_lib::watch_wait::SILENCE_TIMEOUT;
use cicada_lib::watch_wait::SPREAD_TIME;
use cicada_lib::watch_wait::watch_wait;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::counted_directory::CountedDirectory;
use crate::peer_pull;
use crate::relay::Relay;
use crate::supervision::RelayTask;

/// Interval between watches on the backend servers per known relay, and its maximum. Each watch that returns
/// costs a call, and changes grow with the number of servers, while the platform's rate limits grow more
/// slowly: in a large deployment one call returns several changes. That an engine leaves is learnt earlier
/// from its scout.
const WATCH_INTERVAL_PER_RELAY: Duration = Duration::from_micros(2_500);
const MAX_WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Initial and maximum backoff after a failed call; the backoff is doubled after each failure. That the calls of
/// all relays together do not grow with their number is up to `watch_election`.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Interval at which a relay of an unwatched region decides whether to call the directory.
const TAKEOVER_TICK: Duration = Duration::from_millis(50);

/// How long a relay that has just started waits for the state of other relays. The seeds do not wait.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// After its region was unwatched for this long the directory counts as unreachable to a relay.
const UNWATCHED_TIMEOUT: Duration = Duration::from_secs(1);

/// After an outage of this length a list may lack servers that are still running: their records have expired,
/// and are written again as after the directory was restored from an older copy.
const RECORD_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);

/// After failing for this long the directory counts as unreachable. A broken connection is replaced sooner.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(400);

/// Interval at which newer state is pulled from other relays, and at which waiting tasks check their
/// condition; and the interval while this relay has no state.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
const JOIN_PULL_INTERVAL: Duration = Duration::from_millis(50);

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
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

impl DirectoryWatcher {
    /// Creates a watcher that updates `relay`.
    pub fn new(relay: Arc<Relay>, directory: Arc<dyn Directory>) -> Self {
        let directory = CountedDirectory::new(directory, relay.metrics().clone());
        let directory = Arc::new(directory);
        DirectoryWatcher { relay, directory }
    }

    /// Watches the directory until the process ends.
    pub async fn run(self) {
        let relay = &self.relay;
        tokio::join!(
            relay.supervise(RelayTask::ConfigWatch, || self.watch_config()),
            relay.supervise(RelayTask::ServerWatch, || self.watch_servers()),
            relay.supervise(RelayTask::EvacuationWatch, || self.watch_evacuations()),
            relay.supervise(RelayTask::RelayList, || self.sync_relays()),
            relay.supervise(RelayTask::PeerPulls, || self.pull_from_peers()),
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
        let reaction = SILENCE_TIMEOUT + READ_TIME + PULL_TIME;
        let wait = watch_wait(self.relay.settings().config_apply, reaction);
        loop {
            if self.defer_to_watching_relay().await {
                revision = None;
                continue;
            }
            let outcome = match revision {
                None => self.directory.config().await,
                Some(after) => tokio::select! {
                    outcome = self.directory.next_config(after, wait) => outcome,
                    () = sleep(wait + SILENCE_TIMEOUT) => {
                        tracing::info!("directory: the watch on the configuration is silent; it is read again");
                        self.relay.metrics().count_silent_watch();
                        revision = None;
                        continue;
                    }
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
                    if config.is_some_and(|config| self.relay.set_config(config)) {
                        self.relay.announce_state();
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
        self.wait_for_peers().await;
        let mut backoff = CallBackoff::new();
        let mut watching = false;
        let mut unwatched_since = None;
        let mut view = ServerView::default();
        loop {
            watching = self.should_watch(watching, &mut unwatched_since).await;
            // Set only after a successful call: other relays stop watching for this one, which may be
            // rejected itself.
            self.relay
                .set_watching_directory(watching && view.revision.is_some());
            if !watching {
                view.revision = None;
                continue;
            }
            match self.next_servers(&mut view, &backoff).await {
                Ok(()) => {
                    backoff.reset();
                    self.relay.set_directory_unreachable(false);
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of the backend servers");
                    view.revision = None;
                    // Another relay of the region may reach the directory.
                    watching = false;
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
        sleep(self.pull_interval()).await;
        true
    }

    /// Waits until this relay no longer watches the directory, its last call failed, or the directory was
    /// restored from an older copy after `revision`.
    pub(crate) async fn wait_for_reset(&self, revision: Revision) {
        while self.relay.is_watching_directory() && self.relay.era() <= revision.era {
            sleep(PULL_INTERVAL).await;
        }
    }

    /// Waits until this relay has heard of others and had time to pull their state. A relay that all others start from
    /// does not wait, and one that hears nobody reads who there is.
    async fn wait_for_peers(&self) {
        let settings = self.relay.settings();
        if settings.seeds.is_empty() || settings.seeds.contains(&settings.peer) {
            return;
        }
        let until = Instant::now() + JOIN_TIMEOUT;
        while Instant::now() < until && !self.relay.has_state() {
            sleep(JOIN_PULL_INTERVAL).await;
        }
        if self.relay.peers().is_isolated(self.relay.now()) {
            self.list_relays().await;
        }
    }

    /// Whether this relay should watch the directory; `watching` tells whether it does so now. If another
    /// relay watches, or it is not this one's turn to try, returns false after a pause.
    async fn should_watch(&self, watching: bool, unwatched_since: &mut Option<Instant>) -> bool {
        if self.relay.may_watch(watching) {
            let since = *unwatched_since.get_or_insert_with(Instant::now);
            let relays = self.relay.relays_in_region();
            if watching || watch_election::calls_now(TAKEOVER_TICK, relays, fastrand::f64()) {
                *unwatched_since = None;
                return true;
            }
            if since.elapsed() >= UNWATCHED_TIMEOUT {
                self.relay.set_directory_unreachable(true);
            }
            sleep(TAKEOVER_TICK).await;
            return false;
        }
        *unwatched_since = None;
        // The watching relay reaches the directory and passes its state on.
        self.relay.set_directory_unreachable(false);
        sleep(self.pull_interval()).await;
        false
    }

    fn pull_interval(&self) -> Duration {
        match self.relay.has_state() {
            true => PULL_INTERVAL,
            false => JOIN_PULL_INTERVAL,
        }
    }

    async fn next_servers(&self, view: &mut ServerView, backoff: &CallBackoff) -> Result<()> {
        let Some(after) = view.revision else {
            return self.list_servers(view, backoff).await;
        };
        // A directory that rejects new calls while a watch is pending is noticed only when the watch times out: until then
        // no engine is accepted on its scout's announcement alone.
        let longest = watch_wait(
            self.relay.settings().drain_apply,
            WATCH_ANSWER_TIMEOUT + SPREAD_TIME,
        );
        let wait = match view.relist_at {
            Some(relist_at) => relist_at
                .saturating_duration_since(Instant::now())
                .min(longest),
            None => longest,
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
        let relays = self.relay.peers().count(self.relay.now()) as u32;
        (WATCH_INTERVAL_PER_RELAY * relays).min(MAX_WATCH_INTERVAL)
    }

    /// Pulls state from other relays that is newer than this relay's.
    async fn pull_from_peers(&self) {
        // The versions one round ago. State is pulled only if they have not changed since: a relay with a
        // working watch has caught up by then.
        let (mut version, mut revision) = (0, Revision::default());
        loop {
            sleep(self.pull_interval()).await;
            if let Some(peer) = self.config_source(version) {
                let known = self.relay.version();
                self.pull_from(peer, &PeerRequest::Config(known)).await;
            }
            if let Some(peer) = self.server_source(revision) {
                let known = self.relay.revision();
                self.pull_from(peer, &PeerRequest::Servers(known)).await;
            }
            version = self.relay.version();
            revision = self.relay.revision();
        }
    }

    /// The relay to pull the configuration from, if that one has a later version and this one still has `before`. A
    /// relay without one asks any, so that not all of them ask the same.
    fn config_source(&self, before: u64) -> Option<SocketAddr> {
        let (now, known) = (self.relay.now(), self.relay.version());
        let peers = self.relay.peers();
        match known {
            0 => peers.any_with_config(now),
            _ => peers
                .most_advanced_config(now, known)
                .filter(|_| known == before),
        }
    }

    /// The same for the list of backend servers.
    fn server_source(&self, before: Revision) -> Option<SocketAddr> {
        let (now, known) = (self.relay.now(), self.relay.revision());
        let peers = self.relay.peers();
        match known.is_known() {
            false => peers.any_with_servers(now),
            true => peers
                .most_advanced_servers(now, known)
                .filter(|_| known == before),
        }
    }

    pub(crate) async fn pull_from(&self, peer: SocketAddr, question: &PeerRequest) {
        let before = self.relay.revision();
        match peer_pull::request(peer, question).await {
            Ok(PeerResponse::Nothing | PeerResponse::Busy) => {}
            Ok(PeerResponse::Relays(list)) => self.relay.merge_relays(list),
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

/// State of the watch on the backend servers.
#[derive(Default)]
struct ServerView {
    // The revision to watch from; `None` if the list must be read first.
    revision: Option<Revision>,
    // When the list must be read again, because it may have been incomplete.
    relist_at: Option<Instant>,
}
