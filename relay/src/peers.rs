//! Which other relays there are, and which of them knows more than this one.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// Relays that hear a word at a time: with all of a small deployment, and in a large one news is
/// everywhere within a few rounds, since each passes it on.
const FANOUT: usize = 12;

/// A relay counts among those that share bounds for this long after its last word: one that is cut off
/// spends on.
const COUNTED: Duration = Duration::from_secs(60);

/// A relay's last word.
#[derive(Clone, Copy, Debug)]
struct Word {
    at: Instant,
    version: u64,
    revision: u64,
}

/// The other relays.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    // Those that are written down somewhere, heard of or not.
    known: HashSet<SocketAddr>,
    words: HashMap<SocketAddr, Word>,
}

impl Peers {
    /// Learns of relays.
    pub(crate) fn learn(&mut self, own: SocketAddr, peers: impl IntoIterator<Item = SocketAddr>) {
        self.known
            .extend(peers.into_iter().filter(|peer| *peer != own));
    }

    /// Takes a relay's word.
    pub(crate) fn heard(&mut self, from: SocketAddr, version: u64, revision: u64) {
        let word = Word {
            at: Instant::now(),
            version,
            revision,
        };
        self.known.insert(from);
        self.words.insert(from, word);
    }

    /// The relays to tell next.
    pub(crate) fn pick(&self) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.known.iter().copied(), FANOUT)
    }

    /// Some relays that were heard lately, to pass on.
    pub(crate) fn some(&self, most: usize) -> Vec<SocketAddr> {
        fastrand::choose_multiple(self.words.keys().copied(), most)
    }

    /// Relays that share bounds, this one among them.
    pub(crate) fn count(&self) -> usize {
        let heard = self.words.values().filter(|w| w.at.elapsed() < COUNTED);
        1 + heard.count()
    }

    /// A relay that has a later configuration.
    pub(crate) fn with_config_after(&self, version: u64) -> Option<SocketAddr> {
        self.best(|word| word.version, version)
    }

    /// A relay that knows the backend servers up to a later revision.
    pub(crate) fn with_servers_after(&self, revision: u64) -> Option<SocketAddr> {
        self.best(|word| word.revision, revision)
    }

    fn best(&self, figure: impl Fn(&Word) -> u64, above: u64) -> Option<SocketAddr> {
        let ahead = self.words.iter().filter(|(_, word)| figure(word) > above);
        let best = ahead.max_by_key(|(_, word)| (figure(word), word.at));
        best.map(|(peer, _)| *peer)
    }
}
