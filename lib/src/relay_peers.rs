//! The other relays: which are known, and which have newer state than this one.
//!
//! Load pattern: hundreds of relays start at the same time, or are killed together while the directory is away. None of
//! them can ask the directory for all others, nor all of them one relay for its state. Each tells a few relays of
//! itself several times a second and names some others, pulls what it lacks from any relay that has it, and so passes
//! on what it has: the number of informed relays grows by a factor in each round.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::Name;
use crate::limits::Lender;
use crate::limits::ServiceDemand;
use crate::peer_messages::RelayHello;
use crate::peer_messages::RelayList;
use crate::revision::Revision;
use crate::state_holders::StateVersion;
use crate::time::Time;
use crate::watch_election;

/// Number of relays that receive each gossiped message: all of a small deployment. In a large one a message
/// reaches every relay within a few rounds, since each relay passes it on.
pub(crate) const GOSSIP_FANOUT: usize = 12;

/// Number of relays that are notified of each request to an engine. In a deployment of up to this size these
/// are all relays, which send to the same engines. At two streams a second and 25 bytes this is under 2 KB/s.
const REQUEST_NOTICE_FANOUT: usize = 32;

/// How long after its last hello a relay still counts among those that share limits: a relay that is only cut
/// off goes on using its share.
const SHARE_TTL: Duration = Duration::from_secs(60);

/// Maximum silence of a relay that is probed.
const MAX_PROBED_SILENCE: Duration = Duration::from_secs(5);

/// Maximum silence of a relay that is asked to lend. With 370 relays, a relay hears each other one about every 12 s.
const MAX_LENDER_SILENCE: Duration = Duration::from_secs(20);

/// Silence of all other relays from which this one counts as cut off from them: several hellos.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long offers of scouts are collected before one is taken: longer than the interval of a scout's offers.
const OFFER_COLLECTION_TIME: Duration = Duration::from_millis(400);

/// Number of relays of the local region that receive each hello of the watching relay. In a larger region
/// they are sampled.
const REGION_FANOUT: usize = watch_election::DIRECTLY_TOLD;

/// The contents of a relay's last hello.
#[derive(Clone, Debug)]
struct LastHello {
    heard_at: Time,
    zone: Name,
    version: u64,
    revision: Revision,
    relay_count: usize,
    list_complete: bool,
    demands: Vec<ServiceDemand>,
}

/// The other relays.
#[derive(Debug, Default)]
pub struct RelayPeers {
    // All relays that any source has named, whether they sent a hello or not.
    known: HashSet<SocketAddr>,
    last_hellos: HashMap<SocketAddr, LastHello>,
    // Scouts that offered the state that they hold, and when.
    offers: HashMap<SocketAddr, (Time, StateVersion)>,
    first_offer_at: Option<Time>,
    // Whether the directory's list has been read.
    list_read: bool,
    // Whether `known` has grown or become complete since it was last taken.
    changed: bool,
}

impl RelayPeers {
    /// Adds relays to the known ones.
    pub fn add_known(&mut self, own: SocketAddr, peers: impl IntoIterator<Item = SocketAddr>) {
        let before = self.known.len();
        self.known
            .extend(peers.into_iter().filter(|peer| *peer != own));
        self.changed |= self.known.len() > before;
    }

    /// Records that the directory's list has been read: relays that are added from now on are new.
    pub fn set_list_read(&mut self) {
        self.changed |= !self.list_read;
        self.list_read = true;
    }

    /// All known relays, alive or not, if there are more than at the last call; `None` also until the
    /// directory's list has been read.
    pub fn take_changed_peers(&mut self) -> Option<Vec<SocketAddr>> {
        if !self.list_read || !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(self.known.iter().copied().collect())
    }

    /// Records a relay's hello.
    pub fn record_hello(&mut self, now: Time, from: SocketAddr, hello: &RelayHello) {
        let last_hello = LastHello {
            heard_at: now,
            zone: hello.zone.clone(),
            version: hello.version,
            revision: hello.revision,
            relay_count: hello.relay_count as usize,
            list_complete: hello.list_complete,
            demands: hello.demands.clone(),
        };
        self.changed |= self.known.insert(from);
        self.last_hellos.insert(from, last_hello);
    }

    /// Records that a scout offers the state that it holds.
    pub fn record_offer(&mut self, now: Time, scout: SocketAddr, state: StateVersion) {
        self.first_offer_at.get_or_insert(now);
        self.offers.insert(scout, (now, state));
    }

    /// A random sample of the known relays, of all zones.
    pub fn gossip_targets(&self) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.known.iter().copied(), GOSSIP_FANOUT)
    }

    /// The relays to notify of a request to an engine.
    pub fn request_notice_targets(&self) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.known.iter().copied(), REQUEST_NOTICE_FANOUT)
    }

    /// Recently heard relays in the availability zones that match, sampled if there are many.
    pub fn recently_heard_in(&self, now: Time, is: impl Fn(&Name) -> bool) -> Vec<SocketAddr> {
        let matching = self.last_heard(now).filter(|(_, hello)| is(&hello.zone));
        fastrand::choose_multiple(matching.map(|(peer, _)| peer), REGION_FANOUT)
    }

    /// All relays that were heard recently.
    pub fn recently_heard(&self, now: Time) -> Vec<SocketAddr> {
        self.last_heard(now).map(|(peer, _)| peer).collect()
    }

    /// The last hellos of the relays that were heard recently.
    fn last_heard(&self, now: Time) -> impl Iterator<Item = (SocketAddr, &LastHello)> {
        let hellos = self.last_hellos.iter();
        let recent = hellos.filter(move |(_, hello)| now.since(hello.heard_at) < SHARE_TTL);
        recent.map(|(peer, hello)| (*peer, hello))
    }

    /// The relays that can be asked for a part of their share in the limits of a service, in random order. A relay that
    /// states no demand has none.
    pub fn lenders(&self, now: Time, service: &Name) -> Vec<Lender> {
        let hellos = self.last_hellos.iter();
        let reachable = hellos.filter(|(_, hello)| now.since(hello.heard_at) < MAX_LENDER_SILENCE);
        let lenders = reachable.map(|(relay, hello)| {
            let demand = hello.demands.iter().find(|d| d.service == *service);
            Lender {
                relay: *relay,
                demand: demand.map_or(0.0, |demand| f64::from(demand.per_second)),
            }
        });
        let mut lenders: Vec<Lender> = lenders.collect();
        fastrand::shuffle(&mut lenders);
        lenders
    }

    /// A random recently heard relay of each availability zone other than `own`.
    pub fn sample_other_zones(&self, now: Time, own: &Name) -> Vec<(SocketAddr, Name)> {
        let mut zones: HashMap<&Name, Vec<SocketAddr>> = HashMap::new();
        for (peer, hello) in &self.last_hellos {
            if hello.zone != *own && now.since(hello.heard_at) < MAX_PROBED_SILENCE {
                zones.entry(&hello.zone).or_default().push(*peer);
            }
        }
        let sample = zones.into_iter().filter_map(|(zone, peers)| {
            let peer = fastrand::choice(peers)?;
            Some((peer, zone.clone()))
        });
        sample.collect()
    }

    /// A random sample of the relays that have sent a hello, to name to others.
    pub fn sample_heard(&self, count: usize) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.last_hellos.keys().copied(), count)
    }

    /// Number of relays that share limits, including this one.
    pub fn count(&self, now: Time) -> usize {
        1 + self.count_recently_heard(now, |_| true)
    }

    /// Number of other recently heard relays in the availability zones that match.
    pub fn count_recently_heard(&self, now: Time, is: impl Fn(&Name) -> bool) -> usize {
        let matching = self.last_heard(now).filter(|(_, hello)| is(&hello.zone));
        matching.count()
    }

    /// Whether no relay was heard for so long that this one counts as cut off from the others.
    pub fn is_isolated(&self, now: Time) -> bool {
        let mut heard = self.last_hellos.values();
        heard.all(|hello| now.since(hello.heard_at) >= ISOLATION_TIMEOUT)
    }

    /// The number of relays that are known, this one included, alive or not.
    pub fn known_count(&self) -> usize {
        self.known.len() + 1
    }

    /// Whether the directory's list of relays is contained in what is known.
    pub fn is_list_complete(&self) -> bool {
        self.list_read
    }

    /// The estimated number of relays in the availability zones that match, this one included, if there are as many
    /// `regions`. A relay that has just started has heard a few of them only, but these state how many they know.
    pub fn region_size(&self, now: Time, regions: usize, is: impl Fn(&Name) -> bool) -> usize {
        if self.is_isolated(now) {
            return 1;
        }
        let stated = self.last_hellos.values().map(|hello| hello.relay_count);
        let known = stated.max().unwrap_or_default().max(self.known_count());
        let heard = 1 + self.count_recently_heard(now, is);
        heard.max(known / regions.max(1))
    }

    /// All known relays, and whether the directory's list is contained in them.
    pub fn relay_list(&self, own: SocketAddr) -> RelayList {
        let known = self.known.iter().copied();
        RelayList {
            relays: known.chain([own]).collect(),
            complete: self.list_read,
        }
    }

    /// Adds the relays that another relay knows.
    pub fn merge_list(&mut self, own: SocketAddr, list: RelayList) {
        self.add_known(own, list.relays);
        if list.complete {
            self.set_list_read();
        }
    }

    /// A relay that knows more relays than this one, if there is one.
    pub fn better_informed(&self, now: Time) -> Option<SocketAddr> {
        let known = self.known_count();
        let better = self.any_with(now, |hello| {
            hello.relay_count > known || (hello.list_complete && !self.list_read)
        });
        better.or_else(|| self.any_offer(now, |state| state.relay_count as usize > known))
    }

    /// Any relay that has a configuration, for one that has none; otherwise the scout that offers the latest one.
    pub fn any_with_config(&self, now: Time) -> Option<SocketAddr> {
        let relay = self.any_with(now, |hello| hello.version > 0);
        relay.or_else(|| self.latest_offer(now, |state| state.version, 0))
    }

    /// Any relay that has a list of backend servers, for one that has none; otherwise the scout that offers the latest one.
    pub fn any_with_servers(&self, now: Time) -> Option<SocketAddr> {
        let relay = self.any_with(now, |hello| hello.revision.is_known());
        relay.or_else(|| self.latest_offer(now, |state| state.revision, Revision::default()))
    }

    /// The scout that offers the latest state by this key, above what is known. `None` until all scouts that hold the
    /// state have had time to offer it: one of them may hold an old copy.
    fn latest_offer<T: Ord>(
        &self,
        now: Time,
        key: impl Fn(&StateVersion) -> T,
        above: T,
    ) -> Option<SocketAddr> {
        if now.since(self.first_offer_at?) < OFFER_COLLECTION_TIME {
            return None;
        }
        let recent = self.offers.iter().filter(|(_, (offered_at, state))| {
            now.since(*offered_at) < ISOLATION_TIMEOUT && key(state) > above
        });
        let latest = recent.max_by_key(|(_, (_, state))| key(state));
        latest.map(|(scout, _)| *scout)
    }

    fn any_offer(&self, now: Time, has: impl Fn(&StateVersion) -> bool) -> Option<SocketAddr> {
        let having = self.offers.iter().filter(|(_, (offered_at, state))| {
            now.since(*offered_at) < ISOLATION_TIMEOUT && has(state)
        });
        fastrand::choice(having.map(|(scout, _)| *scout).collect::<Vec<_>>())
    }

    fn any_with(&self, now: Time, has: impl Fn(&LastHello) -> bool) -> Option<SocketAddr> {
        let having = self
            .last_hellos
            .iter()
            .filter(|(_, hello)| now.since(hello.heard_at) < ISOLATION_TIMEOUT && has(hello));
        fastrand::choice(having.map(|(peer, _)| *peer).collect::<Vec<_>>())
    }

    /// The relay or scout with the latest configuration after `version`.
    pub fn most_advanced_config(&self, now: Time, version: u64) -> Option<SocketAddr> {
        let relay = self.most_advanced(|hello| hello.version, version);
        relay.or_else(|| self.latest_offer(now, |state| state.version, version))
    }

    /// The relay or scout with the latest list of backend servers after `revision`.
    pub fn most_advanced_servers(&self, now: Time, revision: Revision) -> Option<SocketAddr> {
        let relay = self.most_advanced(|hello| hello.revision, revision);
        relay.or_else(|| self.latest_offer(now, |state| state.revision, revision))
    }

    fn most_advanced<T: Ord>(&self, key: impl Fn(&LastHello) -> T, above: T) -> Option<SocketAddr> {
        let ahead = self
            .last_hellos
            .iter()
            .filter(|(_, hello)| key(hello) > above);
        let best = ahead.max_by_key(|(_, hello)| (key(hello), hello.heard_at));
        best.map(|(peer, _)| *peer)
    }
}
