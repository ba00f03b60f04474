//! The other relays: which are known, which have newer state than this one, and which one watches the
//! directory.
//!
//! One relay of each region watches the directory, and the others receive its state from it. If all of them
//! watched, each change would cost a call per relay. When the watching relay falls silent or the directory
//! rejects it, another one takes over.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_messages::RelayHello;
use cicada_lib::revision::Revision;
use tokio::time::Instant;

/// Number of relays that receive each gossiped message: all of a small deployment. In a large one a message
/// reaches every relay within a few rounds, since each relay passes it on.
const GOSSIP_FANOUT: usize = 12;

/// Number of relays that are notified of each request to an engine. In a deployment of up to this size these
/// are all relays, which send to the same engines. At two streams a second and 25 bytes this is under 2 KB/s.
const REQUEST_NOTICE_FANOUT: usize = 32;

/// How long after its last hello a relay still counts among those that share limits: a relay that is only cut
/// off goes on using its share.
const SHARE_TTL: Duration = Duration::from_secs(60);

/// Maximum silence of a relay that is probed.
const MAX_PROBED_SILENCE: Duration = Duration::from_secs(5);

/// Maximum silence of a relay that counts as watching the directory: a little more than three hellos.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Number of relays of the local region that receive each hello of the watching relay. In a larger region
/// they are sampled.
const REGION_FANOUT: usize = 40;

/// The contents of a relay's last hello.
#[derive(Clone, Debug)]
struct LastHello {
    heard_at: Instant,
    zone: Name,
    fed: bool,
    version: u64,
    revision: Revision,
}

/// The other relays.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    // All relays that any source has named, whether they sent a hello or not.
    known: HashSet<SocketAddr>,
    last_hellos: HashMap<SocketAddr, LastHello>,
    // Whether the directory's list has been read.
    list_read: bool,
    // Whether `known` has grown or become complete since it was last taken.
    changed: bool,
}

impl Peers {
    /// Adds relays to the known ones.
    pub(crate) fn add_known(
        &mut self,
        own: SocketAddr,
        peers: impl IntoIterator<Item = SocketAddr>,
    ) {
        let before = self.known.len();
        self.known
            .extend(peers.into_iter().filter(|peer| *peer != own));
        self.changed |= self.known.len() > before;
    }

    /// Records that the directory's list has been read: relays that are added from now on are new.
    pub(crate) fn set_list_read(&mut self) {
        self.changed |= !self.list_read;
        self.list_read = true;
    }

    /// All known relays, alive or not, if there are more than at the last call; `None` also until the
    /// directory's list has been read.
    pub(crate) fn take_changed_peers(&mut self) -> Option<Vec<SocketAddr>> {
        if !self.list_read || !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(self.known.iter().copied().collect())
    }

    /// Records a relay's hello.
    pub(crate) fn record_hello(&mut self, from: SocketAddr, hello: &RelayHello) {
        let last_hello = LastHello {
            heard_at: Instant::now(),
            zone: hello.zone.clone(),
            fed: hello.watches_directory,
            version: hello.version,
            revision: hello.revision,
        };
        self.changed |= self.known.insert(from);
        self.last_hellos.insert(from, last_hello);
    }

    /// A random sample of the known relays, of all zones.
    pub(crate) fn gossip_targets(&self) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.known.iter().copied(), GOSSIP_FANOUT)
    }

    /// The relays to notify of a request to an engine.
    pub(crate) fn request_notice_targets(&self) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.known.iter().copied(), REQUEST_NOTICE_FANOUT)
    }

    /// Recently heard relays in the availability zones that match, sampled if there are many.
    pub(crate) fn recently_heard_in(&self, is: impl Fn(&Name) -> bool) -> Vec<SocketAddr> {
        let recently_heard = self
            .last_hellos
            .iter()
            .filter(|(_, hello)| hello.heard_at.elapsed() < SHARE_TTL);
        let matching = recently_heard.filter(|(_, hello)| is(&hello.zone));
        fastrand::choose_multiple(matching.map(|(peer, _)| *peer), REGION_FANOUT)
    }

    /// Whether the relay at `own` may watch the directory for the zones of its region. If two relays watch,
    /// the one with the lower address continues.
    pub(crate) fn may_watch(
        &self,
        own: SocketAddr,
        watching: bool,
        is_near: impl Fn(&Name) -> bool,
    ) -> bool {
        let near = self
            .last_hellos
            .iter()
            .filter(|(_, hello)| is_near(&hello.zone));
        let mut others =
            near.filter(|(_, hello)| hello.fed && hello.heard_at.elapsed() < WATCHER_TIMEOUT);
        match watching {
            true => others.all(|(peer, _)| own < *peer),
            false => others.next().is_none(),
        }
    }

    /// A random recently heard relay of each availability zone other than `own`.
    pub(crate) fn sample_other_zones(&self, own: &Name) -> Vec<(SocketAddr, Name)> {
        let mut zones: HashMap<&Name, Vec<SocketAddr>> = HashMap::new();
        for (peer, hello) in &self.last_hellos {
            if hello.zone != *own && hello.heard_at.elapsed() < MAX_PROBED_SILENCE {
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
    pub(crate) fn sample_heard(&self, count: usize) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.last_hellos.keys().copied(), count)
    }

    /// Number of relays that share limits, including this one.
    pub(crate) fn count(&self) -> usize {
        1 + self.count_recently_heard(|_| true)
    }

    /// Number of other recently heard relays in the availability zones that match.
    pub(crate) fn count_recently_heard(&self, is: impl Fn(&Name) -> bool) -> usize {
        let recently_heard = self
            .last_hellos
            .values()
            .filter(|hello| hello.heard_at.elapsed() < SHARE_TTL);
        recently_heard.filter(|hello| is(&hello.zone)).count()
    }

    /// The relay with the latest configuration after `version`.
    pub(crate) fn most_advanced_config(&self, version: u64) -> Option<SocketAddr> {
        self.most_advanced(|hello| hello.version, version)
    }

    /// The relay with the latest list of backend servers after `revision`.
    pub(crate) fn most_advanced_servers(&self, revision: Revision) -> Option<SocketAddr> {
        self.most_advanced(|hello| hello.revision, revision)
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
