//! What an entry knows of the deployment: the configuration, the backend servers, evacuated availability zones and
//! the other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_words::ServerNews;
use cicada_lib::revision::Revision;
use cicada_lib::revision::SeenEra;
use cicada_lib::route_table::RouteTable;
use cicada_lib::site::PeerRecord;
use cicada_lib::site::ServerChanges;
use cicada_lib::site::ServerListing;
use cicada_lib::site::SiteConfig;
use cicada_lib::zone_evacuation::EvacuatedZones;

use tokio::sync::watch;

use crate::lock::lock;
use crate::peers::Peers;
use crate::relay::Relay;

/// Engines that name a limit, in what is told of a group: they fit into a datagram beside the rest.
const MOST_LIMITED: usize = 32;

/// The engines of a service in a region.
pub(crate) struct EngineGroup {
    pub(crate) engines: Vec<SocketAddr>,
    // Whether it is this relay's own region.
    pub(crate) near: bool,
    // The path at which they name themselves.
    pub(crate) health: Name,
    // How long they are cold after a start.
    pub(crate) cold: Duration,
    // Those of the service, in any region, that name a limit.
    pub(crate) limited: Vec<SocketAddr>,
}

impl Relay {
    /// The version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.table.load().config().version
    }

    /// Takes a configuration, if it is newer than the one in force.
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
        true
    }

    /// Takes the whole list of backend servers.
    pub fn set_servers(&self, listing: &ServerListing) {
        self.saw(listing.revision);
        self.fleet().replace_servers(self.now(), &listing.servers);
        lock(&self.changes).clear();
        self.listed_at(listing.revision);
    }

    /// Takes a list in which servers may be missing that are still there.
    pub fn add_servers(&self, listing: &ServerListing) {
        self.saw(listing.revision);
        self.fleet().merge_servers(self.now(), &listing.servers);
        lock(&self.changes).clear();
        self.listed_at(listing.revision);
    }

    /// Takes the list of another relay, unless more is known by now.
    pub(crate) fn take_listing(&self, listing: &ServerListing) {
        let (revision, known) = (listing.revision, self.revision());
        if revision < known {
            tracing::info!(%revision, %known, "directory: a list of servers passed over");
            return;
        }
        match revision.whole {
            true => self.set_servers(listing),
            false => self.add_servers(listing),
        }
    }

    /// Takes changes of the list from the directory, and passes them on to the relays of the zone.
    pub fn change_servers(&self, after: Revision, news: &ServerChanges) {
        if !news.changes.is_empty() {
            let word = ServerNews {
                after,
                changes: news.clone(),
            };
            if self.news.try_send(word).is_err() {
                tracing::debug!("peers: too much news waits, others will ask for it");
            }
        }
        self.take_changes(after, news);
    }

    /// Takes changes that another relay tells of, if they follow on what is known here.
    pub(crate) fn news(&self, news: &ServerNews) {
        if self.revision() >= news.after {
            self.take_changes(news.after, &news.changes);
        }
    }

    /// What has changed of the list after the revision, where that is kept.
    pub(crate) fn changes_since(&self, revision: Revision) -> Option<ServerChanges> {
        lock(&self.changes).since(revision)
    }

    pub(crate) fn take_changes(&self, after: Revision, news: &ServerChanges) {
        // Another relay may have told of them, and of later ones, before.
        let known = self.revision();
        if news.revision < known {
            let (changes, revision) = (news.changes.len(), news.revision);
            tracing::info!(changes, %revision, %known, "directory: changes of servers passed over");
            return;
        }
        self.saw(news.revision);
        let now = self.now();
        let mut fleet = self.fleet();
        for change in &news.changes {
            fleet.apply_change(now, change);
        }
        drop(fleet);
        lock(&self.changes).push(after, news);
        self.listed_at(news.revision);
    }

    /// The revision up to which the backend servers are known.
    pub fn revision(&self) -> Revision {
        *lock(&self.revision)
    }

    /// Something was read at the revision, by this relay or another one.
    pub(crate) fn saw(&self, revision: Revision) {
        let now = self.now();
        let mut went_back = false;
        self.era.send_if_modified(|seen| {
            went_back = seen.saw(now, revision);
            went_back
        });
        if went_back {
            self.fleet().directory_rolled_back(now);
            tracing::info!(%revision, known = %self.revision(), "directory: it has gone back to an older copy");
        }
    }

    /// The latest era of the directory.
    pub(crate) fn era(&self) -> u64 {
        self.era.borrow().era()
    }

    /// Whether the directory has all that it may have lost when it went back.
    pub(crate) fn is_settled(&self) -> bool {
        self.era.borrow().is_settled(self.now())
    }

    /// Changes when the directory goes back once more.
    pub(crate) fn eras(&self) -> watch::Receiver<SeenEra> {
        self.era.subscribe()
    }

    /// The backend servers as they are known.
    pub(crate) fn listing(&self) -> ServerListing {
        let servers = self.fleet().servers().cloned().collect();
        ServerListing {
            servers,
            revision: self.revision(),
        }
    }

    fn listed_at(&self, revision: Revision) {
        let mut known = lock(&self.revision);
        *known = revision.max(*known);
        drop(known);
        self.listed.store(true, Ordering::Relaxed);
        self.note_leaving();
        self.joined.notify_one();
    }

    /// Whether this relay may watch the directory for its region, where it is `watching` already or not.
    pub(crate) fn may_watch(&self, watching: bool) -> bool {
        let own = self.settings.peer;
        self.peers()
            .may_watch(own, watching, |zone| self.is_near(zone))
    }

    /// Whether the availability zone is in this relay's region.
    pub(crate) fn is_near(&self, zone: &Name) -> bool {
        let place = &self.settings.place;
        place.region_of(zone) == place.region_of(&place.zone)
    }

    /// The other relays. Held for microseconds.
    pub(crate) fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Relays of this region that were heard lately, and this one.
    pub(crate) fn relays_in_region(&self) -> usize {
        let peers = self.peers();
        1 + peers.count_recently_heard(|zone| self.is_near(zone))
    }

    /// The evacuated availability zones.
    pub fn evacuated(&self) -> EvacuatedZones {
        self.fleet().evacuated().clone()
    }

    /// Takes over which availability zones are evacuated, from the directory or another relay, if that is news.
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

    /// Takes over which relays share what backend servers take from all of them, where that has changed.
    pub(crate) fn share_among_entries(&self) {
        let others = self.peers().take_changed_peers();
        if let Some(others) = others {
            self.fleet().set_entries(self.settings.peer, others);
        }
    }

    /// How this relay is reached by the others.
    pub(crate) fn peer_record(&self) -> PeerRecord {
        PeerRecord {
            name: self.settings.name.clone(),
            address: self.settings.peer,
            zone: self.settings.place.zone.clone(),
            entry: true,
        }
    }

    /// Whether the directory has failed for a moment.
    pub(crate) fn is_out_of_reach(&self) -> bool {
        self.out_of_reach.load(Ordering::Relaxed)
    }

    /// Whether this relay watches the directory and is answered.
    pub(crate) fn is_fed(&self) -> bool {
        self.fed.load(Ordering::Relaxed) && !self.is_out_of_reach()
    }

    /// Notes whether this relay watches the directory and was answered last. Others are told at once that one does.
    pub(crate) fn set_fed(&self, fed: bool) {
        let before = self.fed.swap(fed, Ordering::Relaxed);
        if fed && !before {
            self.hello_due.notify_one();
        }
    }

    /// Notes whether the directory fails.
    pub(crate) fn set_out_of_reach(&self, out: bool) {
        self.out_of_reach.store(out, Ordering::Relaxed);
    }

    /// The engines, those of a service and region together: runs can be moved between them. Each with
    /// whether the group is of this relay's region.
    pub(crate) fn engine_groups(&self) -> Vec<EngineGroup> {
        let table = self.table();
        let place = &self.settings.place;
        let own = place.region_of(&place.zone);
        let mut groups: HashMap<(Name, Name), EngineGroup> = HashMap::new();
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
                near: region == own,
                health: spec.health_path.clone(),
                cold: spec.cold.period,
                limited: fleet
                    .limited_addresses(&server.service)
                    .take(MOST_LIMITED)
                    .collect(),
            });
            group.engines.push(server.address);
        }
        groups.into_values().collect()
    }

    /// Waits until other relays are to be told something at once.
    pub(crate) async fn hello_due(&self) {
        self.hello_due.notified().await;
    }

    /// The directory tells of evacuations; others are told at once where that is news.
    pub fn take_evacuated(&self, evacuated: &EvacuatedZones) {
        if self.set_evacuated(evacuated) {
            self.hello_due.notify_one();
        }
    }

    /// Waits until engines have come.
    pub(crate) async fn engines_joined(&self) {
        self.joined.notified().await;
    }
}
