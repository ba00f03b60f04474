//! Which other relays there are, which of them knows more than this one, and who watches the directory.
//!
//! One relay of each region watches the directory, and the others hear from it. A watch by each of them would cost a
//! call for each change and relay. When the one falls silent, or the directory turns it away, another one takes over.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_words::RelayHello;
use cicada_lib::revision::Revision;
use tokio::time::Instant;

/// Relays that hear a word at a time: with all of a small deployment, and in a large one news is
/// everywhere within a few rounds, since each passes it on.
const FANOUT: usize = 12;

/// Relays that are told of each request to an engine: all of a deployment of this size, which send to the
/// same engines. At two streams a second and 25 bytes that is under 2 KB a second.
const SENT_FANOUT: usize = 32;

/// A relay counts among those that share bounds for this long after its last word: one that is cut off
/// spends on.
const COUNTED: Duration = Duration::from_secs(60);

/// A relay that was silent for longer is not probed.
const PROBED: Duration = Duration::from_secs(5);

/// A relay that was silent for longer does not count as one that watches: three words and a bit.
const SILENT: Duration = Duration::from_millis(1_400);

/// Relays of the local region that are told each time by the one that watches. In a larger region they are sampled.
const REGION_FANOUT: usize = 40;

/// A relay's last word.
#[derive(Clone, Debug)]
struct Word {
    at: Instant,
    zone: Name,
    fed: bool,
    version: u64,
    revision: Revision,
}

/// The other relays.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    // Those that are written down somewhere, heard of or not.
    known: HashSet<SocketAddr>,
    words: HashMap<SocketAddr, Word>,
    // Whether the directory's list has been learnt.
    listed: bool,
    // Whether `known` has grown, or become complete, since it was last taken.
    changed: bool,
}

impl Peers {
    /// Learns of relays.
    pub(crate) fn learn(&mut self, own: SocketAddr, peers: impl IntoIterator<Item = SocketAddr>) {
        let before = self.known.len();
        self.known
            .extend(peers.into_iter().filter(|peer| *peer != own));
        self.changed |= self.known.len() > before;
    }

    /// The directory's list of relays has been learnt: who is not known now has come since.
    pub(crate) fn set_listed(&mut self) {
        self.changed |= !self.listed;
        self.listed = true;
    }

    /// All relays that are known, alive or not, where there are more than when this was last asked; `None` also until
    /// the directory's list has been learnt.
    pub(crate) fn take_changed(&mut self) -> Option<Vec<SocketAddr>> {
        if !self.listed || !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(self.known.iter().copied().collect())
    }

    /// Takes a relay's word.
    pub(crate) fn heard(&mut self, from: SocketAddr, hello: &RelayHello) {
        let word = Word {
            at: Instant::now(),
            zone: hello.zone.clone(),
            fed: hello.fed,
            version: hello.version,
            revision: hello.revision,
        };
        self.changed |= self.known.insert(from);
        self.words.insert(from, word);
    }

    /// Some relays to tell, of all zones.
    pub(crate) fn pick(&self) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.known.iter().copied(), FANOUT)
    }

    /// The relays that are told of a request to an engine.
    pub(crate) fn pick_for_sent(&self) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.known.iter().copied(), SENT_FANOUT)
    }

    /// The relays of some availability zones that were heard lately.
    pub(crate) fn of_zones(&self, is: impl Fn(&Name) -> bool) -> Vec<SocketAddr> {
        let heard = self
            .words
            .iter()
            .filter(|(_, word)| word.at.elapsed() < COUNTED);
        let these = heard.filter(|(_, word)| is(&word.zone));
        fastrand::choose_multiple(these.map(|(peer, _)| *peer), REGION_FANOUT)
    }

    /// Whether the relay at `own` may watch the directory for the availability zones that are near. One that is
    /// `watching` goes on until another one with a lower address does so too.
    pub(crate) fn may_watch(
        &self,
        own: SocketAddr,
        watching: bool,
        is_near: impl Fn(&Name) -> bool,
    ) -> bool {
        let near = self.words.iter().filter(|(_, word)| is_near(&word.zone));
        let mut others = near.filter(|(_, word)| word.fed && word.at.elapsed() < SILENT);
        match watching {
            true => others.all(|(peer, _)| own < *peer),
            false => others.next().is_none(),
        }
    }

    /// One relay of each availability zone but `own`, of those that were heard lately.
    pub(crate) fn one_of_each_zone(&self, own: &Name) -> Vec<(SocketAddr, Name)> {
        let mut zones: HashMap<&Name, Vec<SocketAddr>> = HashMap::new();
        for (peer, word) in &self.words {
            if word.zone != *own && word.at.elapsed() < PROBED {
                zones.entry(&word.zone).or_default().push(*peer);
            }
        }
        let one = zones.into_iter().filter_map(|(zone, peers)| {
            let peer = fastrand::choice(peers)?;
            Some((peer, zone.clone()))
        });
        one.collect()
    }

    /// Some relays that were heard lately, to pass on.
    pub(crate) fn some(&self, most: usize) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.words.keys().copied(), most)
    }

    /// Relays that share bounds, this one among them.
    pub(crate) fn count(&self) -> usize {
        1 + self.count_where(|_| true)
    }

    /// Other relays that were heard lately in availability zones of some kind.
    pub(crate) fn count_where(&self, is: impl Fn(&Name) -> bool) -> usize {
        let heard = self.words.values().filter(|w| w.at.elapsed() < COUNTED);
        heard.filter(|word| is(&word.zone)).count()
    }

    /// A relay that has a later configuration.
    pub(crate) fn with_config_after(&self, version: u64) -> Option<SocketAddr> {
        self.best(|word| word.version, version)
    }

    /// A relay that knows the backend servers up to a later revision.
    pub(crate) fn with_servers_after(&self, revision: Revision) -> Option<SocketAddr> {
        self.best(|word| word.revision, revision)
    }

    fn best<T: Ord>(&self, figure: impl Fn(&Word) -> T, above: T) -> Option<SocketAddr> {
        let ahead = self.words.iter().filter(|(_, word)| figure(word) > above);
        let best = ahead.max_by_key(|(_, word)| (figure(word), word.at));
        best.map(|(peer, _)| *peer)
    }
}
