//! An entry's view of the deployment: the configuration, the backend servers, evacuated availability zones and the
//! other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_messages::RelayHello;
use cicada_lib::peer_messages::RelayList;
use cicada_lib::peer_messages::ServerUpdate;
use cicada_lib::relay_peers::RelayPeers;
use cicada_lib::revision::EraTracker;
use cicada_lib::revision::Revision;
use cicada_lib::route_table::RouteTable;
use cicada_lib::site::PeerRecord;
use cicada_lib::site::ServerChanges;
use cicada_lib::site::ServerListing;
use cicada_lib::site::SiteConfig;
use cicada_lib::state_holders::StateOffer;
use cicada_lib::state_holders::StateVersion;
use cicada_lib::watch_election::WatchStatement;
use cicada_lib::zone_evacuation::EvacuatedZones;
use tokio::sync::watch;

use crate::lock::lock;
use crate::relay::Relay;

/// Maximum number of rate-limited engines listed for a group, so that the message fits into one datagram.
const MAX_LIMITED_ENGINES: usize = 32;

/// The engines of a service in a region.
pub(crate) struct EngineGroup {
    pub(crate) engines: Vec<SocketAddr>,
    // Whether the group is in this relay's own region.
    pub(crate) in_own_region: bool,
    // The path at which the engines report their identifiers.
    pub(crate) health_path: Name,
    // How long the engines are cold after a start.
    pub(crate) cold_period: Duration,
    // Engines of the service, in any region, that state a request rate limit or asked for rest.
    pub(crate) limited_engines: Vec<SocketAddr>,
}

impl Relay {
    /// The version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.table.load().config().version
    }

    /// Puts a configuration into force if it is newer than the current one, and returns whether it did.
    pub fn set_config(&self, config: Arc<SiteConfig>) -> bool {
        let known = self.table.load();
        if config.version <= known.config().version {
            return false;
        }
        tracing::info!(
            version = config.version,
            before = known.config().version,
            routes = config.routes.len(),
            workspaces = config.workspaces.len(),
            "config: a version came into force"
        );
        self.table.store(Arc::new(RouteTable::new(config)));
        self.wait_queues().wake_all();
        true
    }

    /// Replaces the list of backend servers with a complete one.
    pub fn set_servers(&self, listing: &ServerListing) {
        self.observe_revision(listing.revision);
        self.fleet().replace_servers(self.now(), &listing.servers);
        lock(&self.change_log).clear();
        self.record_revision(listing.revision);
    }

    /// Merges a list of backend servers that may be incomplete: servers that it lacks stay.
    pub fn merge_servers(&self, listing: &ServerListing) {
        self.observe_revision(listing.revision);
        self.fleet().merge_servers(self.now(), &listing.servers);
        lock(&self.change_log).clear();
        self.record_revision(listing.revision);
    }

    /// Applies the list that another relay sent, unless it is older than the known one.
    pub(crate) fn apply_peer_listing(&self, listing: &ServerListing) {
        let (revision, known) = (listing.revision, self.revision());
        if revision < known {
            tracing::info!(%revision, %known, "directory: ignored an outdated list of servers");
            return;
        }
        match revision.whole {
            true => self.set_servers(listing),
            false => self.merge_servers(listing),
        }
    }

    /// Applies changes of the list that the directory reported, and passes them on to other relays.
    pub fn apply_directory_changes(&self, after: Revision, update: &ServerChanges) {
        if !update.changes.is_empty() {
            let message = ServerUpdate {
                after,
                changes: update.clone(),
            };
            if self.server_news_queue.try_send(message).is_err() {
                tracing::debug!(
                    "peers: the queue of server changes is full; other relays will pull them"
                );
            }
        }
        self.apply_changes(after, update);
    }

    /// Applies changes that another relay reports, if none between them and the known revision are missing.
    pub(crate) fn handle_server_news(&self, news: &ServerUpdate) {
        if self.revision() >= news.after {
            self.apply_changes(news.after, &news.changes);
        }
    }

    /// The changes of the list after the revision, if the log reaches back that far.
    pub(crate) fn changes_since(&self, revision: Revision) -> Option<ServerChanges> {
        lock(&self.change_log).since(revision)
    }

    /// Applies changes that follow on the revision `after`, unless later ones are known already.
    pub(crate) fn apply_changes(&self, after: Revision, update: &ServerChanges) {
        // Another relay may have reported these changes and later ones before.
        let known = self.revision();
        if update.revision < known {
            let (changes, revision) = (update.changes.len(), update.revision);
            tracing::info!(changes, %revision, %known, "directory: changes of servers passed over");
            return;
        }
        self.observe_revision(update.revision);
        let now = self.now();
        let mut fleet = self.fleet();
        for change in &update.changes {
            fleet.apply_change(now, change);
        }
        drop(fleet);
        lock(&self.change_log).push(after, update);
        self.record_revision(update.revision);
    }

    /// The revision up to which the list of backend servers is known.
    pub fn revision(&self) -> Revision {
        *lock(&self.revision)
    }

    /// Records that this relay or another one read the directory at the revision, and detects whether the directory was
    /// restored from an older copy.
    pub(crate) fn observe_revision(&self, revision: Revision) {
        let now = self.now();
        let mut rolled_back = false;
        self.era.send_if_modified(|seen| {
            rolled_back = seen.observe(now, revision);
            rolled_back
        });
        if rolled_back {
            self.fleet().directory_rolled_back(now);
            tracing::info!(%revision, known = %self.revision(), "directory: it has gone back to an older copy");
        }
    }

    /// The latest known era of the directory, which increases each time it is restored from an older copy.
    pub(crate) fn era(&self) -> u64 {
        self.era.borrow().era()
    }

    /// Whether the entries that the directory lost in its last restore have had time to be written again.
    pub(crate) fn is_settled(&self) -> bool {
        self.era.borrow().is_settled(self.now())
    }

    /// Subscribes to restores of the directory from an older copy.
    pub(crate) fn subscribe_era(&self) -> watch::Receiver<EraTracker> {
        self.era.subscribe()
    }

    /// The known list of backend servers, with its revision.
    pub(crate) fn listing(&self) -> ServerListing {
        let servers = self.fleet().servers().cloned().collect();
        ServerListing {
            servers,
            revision: self.revision(),
        }
    }

    /// Records up to which revision the list is known, and notifies the tasks that follow the list.
    fn record_revision(&self, revision: Revision) {
        let mut known = lock(&self.revision);
        *known = revision.max(*known);
        drop(known);
        self.has_server_list.store(true, Ordering::Relaxed);
        self.notify_leaving();
        self.notify_engines_joined();
    }

    /// Whether this relay may watch the directory on behalf of its region. `watching` tells whether it does so now.
    pub(crate) fn may_watch(&self, watching: bool) -> bool {
        let (now, relays) = (self.now(), self.relays_in_region());
        lock(&self.election).may_watch(now, self.settings.peer, watching, relays)
    }

    /// Whether the availability zone is in this relay's region.
    pub(crate) fn is_in_own_region(&self, zone: &Name) -> bool {
        let place = &self.settings.place;
        place.region_of(zone) == place.region_of(&place.zone)
    }

    /// The other relays. The lock is held for microseconds.
    pub(crate) fn peers(&self) -> MutexGuard<'_, RelayPeers> {
        lock(&self.peers)
    }

    /// Whether another relay of this region watches the directory.
    pub(crate) fn is_region_watched(&self) -> bool {
        let (now, relays) = (self.now(), self.relays_in_region());
        lock(&self.election).is_watched(now, self.settings.peer, relays)
    }

    /// Records what another relay states about itself and about the watchers of its region. If this relay learns from it
    /// that its region is watched, others that may not know are told at once.
    pub(crate) fn record_watchers(&self, from: SocketAddr, hello: &RelayHello) {
        if !self.is_in_own_region(&hello.zone) {
            return;
        }
        let (now, own) = (self.now(), self.settings.peer);
        let relays = self.relays_in_region();
        let mut election = lock(&self.election);
        let before = election.is_watched(now, own, relays);
        election.record(now, from, hello.watches_directory, Duration::ZERO);
        for statement in hello.watchers.iter().filter(|s| s.relay != own) {
            let age = Duration::from_millis(u64::from(statement.age_ms));
            election.record(now, statement.relay, statement.watches, age);
        }
        if !before && election.is_watched(now, own, relays) {
            self.hello_due.notify_one();
        }
    }

    /// What is known of the watchers of this region, to be passed on.
    pub(crate) fn watch_statements(&self) -> Vec<WatchStatement> {
        let (now, relays) = (self.now(), self.relays_in_region());
        lock(&self.election).statements(now, relays)
    }

    /// Estimated number of relays in this region, including this one; one if this relay hears no other.
    pub(crate) fn relays_in_region(&self) -> usize {
        let now = self.now();
        let regions = self.settings.place.region_count();
        let near = |zone: &Name| self.is_in_own_region(zone);
        self.peers().region_size(now, regions, near)
    }

    /// Estimated number of relays of the deployment, including this one.
    pub(crate) fn relay_count(&self) -> usize {
        self.relays_in_region() * self.settings.place.region_count()
    }

    /// The evacuated availability zones.
    pub fn evacuated(&self) -> EvacuatedZones {
        self.fleet().evacuated().clone()
    }

    /// Applies which availability zones are evacuated, as read from the directory or sent by another relay. Returns
    /// whether that changed anything.
    pub fn set_evacuated(&self, evacuated: &EvacuatedZones) -> bool {
        let change = self.fleet().set_evacuated(self.now(), evacuated);
        if change.is_empty() {
            return false;
        }
        let place = &self.settings.place;
        let unknown = change.begun.iter();
        let unknown = unknown.filter(|zone| !place.regions.contains_key(*zone));
        let unknown: Vec<&Name> = unknown.collect();
        tracing::info!(
            begun = ?change.begun,
            ended = ?change.ended,
            unknown = ?unknown,
            revision = %evacuated.revision,
            "fleet: evacuated availability zones changed"
        );
        true
    }

    /// Updates the set of relays that share the capacity of the backend servers, if it has changed.
    pub(crate) fn update_entry_shares(&self) {
        let others = self.peers().take_changed_peers();
        if let Some(others) = others {
            self.fleet().set_entries(self.settings.peer, others);
        }
    }

    /// Which state this relay has.
    pub(crate) fn state_version(&self) -> StateVersion {
        StateVersion {
            version: self.version(),
            revision: self.revision(),
            relay_count: self.peers().known_count() as u32,
        }
    }

    /// Records a scout's offer of the state that it holds, for a relay that has none.
    pub(crate) fn record_offer(&self, scout: SocketAddr, offer: &StateOffer) {
        let is_ahead =
            offer.state.version > self.version() || offer.state.revision > self.revision();
        if self.has_state() && self.peers().is_list_complete() && !is_ahead {
            return;
        }
        let now = self.now();
        self.peers().record_offer(now, scout, offer.state.clone());
        self.set_evacuated(&offer.evacuated);
    }

    /// Adds the relays of the directory's list.
    pub(crate) fn add_listed_relays(&self, relays: impl Iterator<Item = SocketAddr>) {
        let mut peers = self.peers();
        peers.add_known(self.settings.peer, relays);
        peers.set_list_read();
        drop(peers);
        self.update_entry_shares();
    }

    /// Adds the relays that another process knows.
    pub(crate) fn merge_relays(&self, list: RelayList) {
        self.peers().merge_list(self.settings.peer, list);
        self.update_entry_shares();
    }

    /// The record by which other processes find this relay.
    pub(crate) fn peer_record(&self) -> PeerRecord {
        PeerRecord {
            name: self.settings.name.clone(),
            address: self.settings.peer,
            zone: self.settings.place.zone.clone(),
            entry: true,
        }
    }

    /// Whether calls to the directory have failed for long enough to count it as unreachable.
    pub(crate) fn is_directory_unreachable(&self) -> bool {
        self.directory_unreachable.load(Ordering::Relaxed)
    }

    /// Whether this relay watches the directory successfully.
    pub(crate) fn is_watching_directory(&self) -> bool {
        self.watching_directory.load(Ordering::Relaxed) && !self.is_directory_unreachable()
    }

    /// Records whether this relay watches the directory and its last call succeeded. If that becomes true, other relays
    /// are told at once.
    pub(crate) fn set_watching_directory(&self, watching: bool) {
        let before = self.watching_directory.swap(watching, Ordering::Relaxed);
        if watching && !before {
            self.hello_due.notify_one();
        }
    }

    /// Records whether the directory is unreachable. While it is, engines are accepted on their scouts' announcements.
    pub(crate) fn set_directory_unreachable(&self, unreachable: bool) {
        let before = self
            .directory_unreachable
            .swap(unreachable, Ordering::Relaxed);
        match (before, unreachable) {
            (false, true) => tracing::info!("directory: counts as unreachable"),
            (true, false) => tracing::info!("directory: reached again"),
            _ => {}
        }
    }

    /// The number of known servers of a service.
    pub(crate) fn server_count(&self, service: &Name) -> usize {
        let fleet = self.fleet();
        fleet.servers().filter(|r| r.service == *service).count()
    }

    /// The engines, grouped by service and region. Runs can be moved between the engines of a group.
    pub(crate) fn engine_groups(&self) -> Vec<EngineGroup> {
        let table = self.table();
        let place = &self.settings.place;
        let own = place.region_of(&place.zone);
        let mut groups: HashMap<(Name, Name), EngineGroup> = HashMap::new();
        let now = self.now();
        let fleet = self.fleet();
        for server in fleet.servers() {
            let Some(spec) = table.service(&server.service) else {
                continue;
            };
            if spec.engine.is_none() {
                continue;
            }
            let region = place.region_of(&server.zone);
            let key = (server.service.clone(), region.clone());
            let group = groups.entry(key).or_insert_with(|| EngineGroup {
                engines: Vec::new(),
                in_own_region: region == own,
                health_path: spec.health_path.clone(),
                cold_period: spec.cold.period,
                limited_engines: fleet
                    .limited_addresses(now, &server.service)
                    .take(MAX_LIMITED_ENGINES)
                    .collect(),
            });
            group.engines.push(server.address);
        }
        groups.into_values().collect()
    }

    /// Tells other relays at once which state this one has.
    pub(crate) fn announce_state(&self) {
        self.hello_due.notify_one();
    }

    /// Waits until other relays should get a `Hello` without delay.
    pub(crate) async fn hello_due(&self) {
        self.hello_due.notified().await;
    }

    /// Applies the evacuations that the directory reports. If they changed, other relays are told at once.
    pub fn apply_directory_evacuations(&self, evacuated: &EvacuatedZones) {
        if self.set_evacuated(evacuated) {
            self.hello_due.notify_one();
        }
    }

    /// Notifies the task that subscribes to the reports of new engines.
    pub(crate) fn notify_engines_joined(&self) {
        self.servers_changed.notify_one();
    }

    /// Waits until there may be new engines.
    pub(crate) async fn engines_joined(&self) {
        self.servers_changed.notified().await;
    }
}
