//! Keeps an entry's view of the configuration and of the backend servers up to date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::peer_words::PeerAnswer;
use cicada_lib::peer_words::PeerQuestion;
use cicada_lib::revision::RETURN;
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

/// How long a watch on the configuration waits, and one on the backend servers. Each costs a call. A
/// directory that turns new calls away while a watch waits is noticed only at the watch's end, and so is a connection
/// that fell silent: until then no engine is taken on its scout's word, and nobody hears of a configuration.
const CONFIG_WATCH: Duration = Duration::from_secs(10);
const SERVER_WATCH: Duration = Duration::from_millis(1_500);

/// The time from one watch on the backend servers to the next, for each relay that is known, and the longest. Each
/// watch that returns costs a call, and changes grow with the fleet, while the platform's rates grow more
/// slowly: in a large fleet several changes come with one call. Engines that leave are known by their scouts.
const WATCH_GAP: Duration = Duration::from_micros(2_500);
const LONGEST_GAP: Duration = Duration::from_millis(300);

/// Backoff after a failed call, doubled up to the maximum. The maximum holds for a few relays of a region and grows
/// with more, so that together they notice a store's return as soon, at as many calls.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
const BACKOFF_RELAYS: u32 = 3;

/// The longest wait before a relay takes over from one that watched, drawn at random: all relays of the region
/// notice at the same time that it is gone, and one is enough.
const TAKE_OVER: Duration = Duration::from_millis(300);

/// After an outage of this length servers may be missing in the list that are still there: their
/// entries have lapsed, and come back as after the directory's return from a copy.
const OUTAGE: Duration = Duration::from_secs(1);

/// After this a directory that fails counts as out of reach: a connection that broke is replaced sooner.
const OUT_OF_REACH: Duration = Duration::from_millis(400);

/// How often other relays are asked for what they know more.
const PULL: Duration = Duration::from_millis(250);

/// The directory is asked for the other relays this often; they also name each other.
const PEERS: Duration = Duration::from_secs(20);
const PEERS_AGAIN: Duration = Duration::from_secs(1);

/// Reads the directory and follows it.
pub struct Keeper {
    pub(crate) relay: Arc<Relay>,
    pub(crate) directory: Arc<dyn Directory>,
}

/// How the calls to the directory go: the pause before the next try, and since when they fail.
pub(crate) struct Tries {
    pause: Duration,
    lost: Option<Instant>,
}

impl Tries {
    pub(crate) fn new() -> Self {
        Tries {
            pause: MIN_BACKOFF,
            lost: None,
        }
    }

    pub(crate) fn went_well(&mut self) {
        *self = Tries::new();
    }

    /// Notes a failure, and waits before the next try.
    pub(crate) async fn failed(&mut self, relay: &Relay) {
        let lost = *self.lost.get_or_insert_with(Instant::now);
        if lost.elapsed() >= OUT_OF_REACH {
            relay.set_out_of_reach(true);
        }
        sleep(self.pause.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
        self.pause = (self.pause * 2).min(max_backoff(relay));
    }
}

impl Keeper {
    /// A keeper for the entry.
    pub fn new(relay: Arc<Relay>, directory: Arc<dyn Directory>) -> Self {
        Keeper { relay, directory }
    }

    /// Follows the directory until the process ends.
    pub async fn run(self) {
        tokio::join!(
            self.follow_config(),
            self.follow_servers(),
            self.follow_evacuations(),
            self.follow_peers(),
            self.pull(),
        );
    }

    /// A watch that was cut off is not taken up again where it was: the history between may be gone
    /// without the directory saying so, and the watch would wait for the next change but one. The
    /// whole is read instead.
    async fn follow_config(&self) {
        let mut tries = Tries::new();
        let mut at: Option<Revision> = None;
        loop {
            if self.relay.version() > 0 && self.is_told().await {
                at = None;
                continue;
            }
            let outcome = match at {
                None => self.directory.config().await,
                Some(after) => tokio::select! {
                    outcome = self.directory.next_config(after, CONFIG_WATCH) => outcome,
                    // What the watch on the servers met, this one has met too and does not know yet.
                    () = self.until_reset(after), if self.relay.version() > 0 => {
                        at = None;
                        continue;
                    }
                },
            };
            match outcome {
                Ok((config, revision)) => {
                    tries.went_well();
                    at = Some(revision);
                    if let Some(config) = config {
                        self.relay.set_config(config);
                    }
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of the configuration");
                    at = None;
                    tries.failed(&self.relay).await;
                }
            }
        }
    }

    async fn follow_servers(&self) {
        let mut tries = Tries::new();
        let mut watching = false;
        let mut view = ServerView::default();
        loop {
            if self.relay.revision().is_known() {
                watching = self.is_watcher(watching).await;
                // Only once it was answered: others would stand down for one that is turned away.
                self.relay.set_fed(watching && view.at.is_some());
                if !watching {
                    view.at = None;
                    continue;
                }
            }
            match self.next_servers(&mut view, &tries).await {
                Ok(()) => {
                    tries.went_well();
                    self.relay.set_out_of_reach(false);
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no news of the backend servers");
                    view.at = None;
                    self.relay.set_fed(false);
                    tries.failed(&self.relay).await;
                }
            }
        }
    }

    /// Whether another relay of the region watches, or the directory is out of reach; waits a moment where that is so.
    /// Whoever watches the servers watches all else.
    pub(crate) async fn is_told(&self) -> bool {
        if self.relay.is_fed() {
            return false;
        }
        sleep(PULL).await;
        true
    }

    /// Waits until this relay watches no more, was not answered, or the directory has gone back since the revision.
    pub(crate) async fn until_reset(&self, revision: Revision) {
        while self.relay.is_fed() && self.relay.era() <= revision.era {
            sleep(PULL).await;
        }
    }

    /// Whether this relay is to watch the directory, where it does so already or not. Waits a moment where another
    /// one does.
    async fn is_watcher(&self, watching: bool) -> bool {
        // Where nobody else was heard there is nobody to wait for.
        let others = self.relay.relays_in_region() > 1;
        if !watching && others && self.relay.may_watch(watching) {
            sleep(TAKE_OVER.mul_f64(fastrand::f64())).await;
        }
        if self.relay.may_watch(watching) {
            return true;
        }
        // The one that watches has the directory's answers, and passes them on.
        self.relay.set_out_of_reach(false);
        sleep(PULL).await;
        false
    }

    async fn next_servers(&self, view: &mut ServerView, tries: &Tries) -> Result<()> {
        let Some(after) = view.at else {
            return self.list_servers(view, tries).await;
        };
        let wait = match view.again {
            Some(again) => again
                .saturating_duration_since(Instant::now())
                .min(SERVER_WATCH),
            None => SERVER_WATCH,
        };
        let begun = Instant::now();
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
        self.relay.change_servers(after, &news);
        view.at = Some(news.revision);
        if view.again.is_some_and(|again| again <= Instant::now()) {
            view.again = None;
            view.at = None;
        }
        sleep_until(begun + self.watch_gap()).await;
        Ok(())
    }

    async fn list_servers(&self, view: &mut ServerView, tries: &Tries) -> Result<()> {
        let listing = self.directory.servers().await?;
        self.relay.saw(listing.revision);
        if listing.revision.era < self.relay.era() {
            return Err(DirectoryError::HistoryGone);
        }
        // A server that is missing in a list after an outage may still be there.
        let lapsed = tries.lost.is_some_and(|since| since.elapsed() >= OUTAGE);
        let whole = self.relay.is_settled() && !lapsed;
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
            self.relay.add_servers(&listing);
            view.again = Some(Instant::now() + RETURN);
        }
        view.at = Some(listing.revision);
        Ok(())
    }

    fn watch_gap(&self) -> Duration {
        let relays = self.relay.peers().count() as u32;
        (WATCH_GAP * relays).min(LONGEST_GAP)
    }

    async fn follow_peers(&self) {
        let own = self.relay.peer_record();
        let mut eras = self.relay.eras();
        let mut written = false;
        loop {
            if !written {
                written = self.register(&own).await;
            }
            let pause = match self.directory.peers().await {
                Ok(peers) => {
                    let others = peers.into_iter().filter(|p| p.entry).map(|p| p.address);
                    let mut known = self.relay.peers();
                    known.learn(own.address, others);
                    known.set_listed();
                    drop(known);
                    self.relay.share_among_entries();
                    PEERS
                }
                Err(error) => {
                    tracing::info!(%error, "directory: no list of relays");
                    PEERS_AGAIN
                }
            };
            tokio::select! {
                () = sleep(if written { pause } else { PEERS_AGAIN }) => {}
                _ = eras.changed() => {
                    // What this relay has written may be lost, as that of all others.
                    written = false;
                    sleep(PEERS_AGAIN.mul_f64(fastrand::f64())).await;
                }
            }
        }
    }

    async fn register(&self, own: &PeerRecord) -> bool {
        match self.directory.register(own).await {
            Ok(()) => true,
            Err(error) => {
                tracing::info!(%error, "directory: this relay could not be written down");
                false
            }
        }
    }

    /// Reads from other relays what they know and this one does not.
    async fn pull(&self) {
        // What was known a round ago: a relay whose watch is alive has caught up by then.
        let (mut version, mut revision) = (0, Revision::default());
        loop {
            sleep(PULL).await;
            let ahead = self.relay.peers().with_config_after(self.relay.version());
            if let Some(peer) = ahead.filter(|_| self.relay.version() == version) {
                self.pull_from(peer, &PeerQuestion::Config(version)).await;
            }
            let ahead = self.relay.peers().with_servers_after(self.relay.revision());
            if let Some(peer) = ahead.filter(|_| self.relay.revision() == revision) {
                self.pull_from(peer, &PeerQuestion::Servers(revision)).await;
            }
            version = self.relay.version();
            revision = self.relay.revision();
        }
    }

    async fn pull_from(&self, peer: SocketAddr, question: &PeerQuestion) {
        let before = self.relay.revision();
        match peer_pull::ask(peer, question).await {
            Ok(PeerAnswer::Nothing) => {}
            Ok(PeerAnswer::Config(config)) => {
                tracing::info!(%peer, version = config.version, "peers: a configuration came from a relay");
                self.relay.set_config(config);
            }
            Ok(PeerAnswer::Servers(listing)) => {
                tracing::info!(%peer, revision = %listing.revision, "peers: servers came from a relay");
                self.relay.take_listing(&listing);
            }
            Ok(PeerAnswer::Changes(changes)) => {
                let count = changes.changes.len();
                tracing::debug!(%peer, count, revision = %changes.revision, "peers: changes of servers came from a relay");
                self.relay.take_changes(before, &changes);
            }
            Err(error) => tracing::debug!(%peer, %error, "peers: a relay gave no answer"),
        }
    }
}

/// The longest pause between two calls that fail. Short for one that knows nothing yet: it serves nobody.
fn max_backoff(relay: &Relay) -> Duration {
    match relay.is_ready() {
        true => MAX_BACKOFF * (1 + relay.relays_in_region() as u32 / BACKOFF_RELAYS),
        false => MAX_BACKOFF,
    }
}

/// How far the backend servers are known from the directory.
#[derive(Default)]
struct ServerView {
    // Where the watch goes on; `None` where the list is to be read.
    at: Option<Revision>,
    // When the list is to be read again, since it may have been incomplete.
    again: Option<Instant>,
}
