//! Which words a process passes on, to how many peers and when.
//!
//! A word that is passed on only with the datagram of each second reaches the last of 1,370 processes
//! after 8 to 10 s; meanwhile a leaving backend server gets new work. So whoever hears news passes it
//! on within a tenth of a second, and again a little later; the datagrams of each second fill the gaps
//! that loss leaves. All copies of many words together stay under a byte budget: a whole zone that
//! restarts delays words, it does not fill the links.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gossip::MAX_WORDS;
use crate::gossip::MemberId;
use crate::gossip::Word;
use crate::time::Time;

// Copies at once, then a little later. Of n processes that each pass on k copies, the share e^-k
// hears nothing: one in 3,000 at eight. The datagrams of each second reach these.
const COPIES: [usize; 2] = [5, 3];
const SECOND_ROUND: Duration = Duration::from_millis(300);

// With more words than this under way only the first copies go out, and fewer: a zone that restarts
// would else take a minute to be heard of. Corrections reach those whom two copies miss.
const CROWD: usize = 20;
const CROWD_COPIES: usize = 2;

// After this a word travels no more. A datagram goes out three times a second.
const LIFETIME: Duration = Duration::from_secs(8);

/// The bytes that news may take in a second. With the datagrams of each second it leaves more than
/// half of the 8 KB that a process may spend on control.
pub const NEWS_BYTES: f64 = 3_000.0;

// News of some processes goes out at once.
const BURST: f64 = 1_500.0;

struct Rumour {
    word: Word,
    born: Time,
    // Rounds of copies that are done.
    rounds: usize,
    due: Time,
    // Times it went along with a datagram of each second.
    rides: u32,
}

/// A round of copies: the same words to each of `copies` peers.
pub(crate) struct Round {
    pub(crate) copies: usize,
    pub(crate) words: Vec<Word>,
}

/// The words that travel.
pub(crate) struct Rumours {
    // Ordered, so that equal histories pick equal words.
    items: BTreeMap<MemberId, Rumour>,
    // The process's own news: its state or configuration, which every datagram carries.
    own: Option<(usize, Time)>,
    budget: f64,
    filled: Time,
}

impl Rumours {
    pub(crate) fn new() -> Self {
        Rumours {
            items: BTreeMap::new(),
            own: None,
            budget: BURST,
            filled: Time::ZERO,
        }
    }

    /// Starts to pass on a word; it takes the place of an older one on the same process.
    pub(crate) fn add(&mut self, now: Time, word: Word) {
        let rumour = Rumour {
            word,
            born: now,
            rounds: 0,
            due: now,
            rides: 0,
        };
        self.items.insert(word.id, rumour);
    }

    /// The process has news of its own, which any datagram carries.
    pub(crate) fn own_news(&mut self, now: Time) {
        // Copies that are due already carry it as well.
        let due = match self.own {
            Some((0, due)) => due.min(now),
            _ => now,
        };
        self.own = Some((0, due));
    }

    /// The rounds that are due. `cost` is the bytes of a datagram with so many words.
    pub(crate) fn rounds(&mut self, now: Time, cost: impl Fn(usize) -> usize) -> Vec<Round> {
        self.refill(now);
        // What the budget has held back so far is still to go out.
        self.items
            .retain(|_, rumour| rumour.rounds == 0 || now < rumour.born + LIFETIME);
        let mut rounds = Vec::new();
        let crowd = self.items.len() > CROWD;
        let plan = if crowd {
            &[CROWD_COPIES]
        } else {
            COPIES.as_slice()
        };
        for (number, copies) in plan.iter().copied().enumerate() {
            let own = self
                .own
                .is_some_and(|(done, due)| done == number && due <= now);
            let mut due = self.due(now, number);
            let mut first = own;
            while first || !due.is_empty() {
                let bytes = |words| (copies * cost(words)) as f64;
                // As many as the budget allows now: a datagram that never fits would hold up all.
                let fits =
                    (0..=due.len().min(MAX_WORDS)).rfind(|words| bytes(*words) <= self.budget);
                let Some(fits) = fits.filter(|fits| *fits > 0 || due.is_empty()) else {
                    return rounds;
                };
                let rest = due.split_off(fits);
                self.budget -= bytes(fits);
                self.advance(now, &due, first);
                rounds.push(Round { copies, words: due });
                first = false;
                due = rest;
            }
        }
        rounds
    }

    /// Whether the budget allows a datagram of so many bytes besides; takes them from it.
    pub(crate) fn afford(&mut self, now: Time, bytes: usize) -> bool {
        self.refill(now);
        let fits = self.budget >= bytes as f64;
        if fits {
            self.budget -= bytes as f64;
        }
        fits
    }

    /// The words that ride with a datagram of each second: those that rode least.
    pub(crate) fn ride(&mut self, most: usize) -> Vec<Word> {
        let mut order: Vec<_> = self.items.values().map(|r| (r.rides, r.word.id)).collect();
        order.sort_unstable();
        order.truncate(most);
        let mut words = Vec::with_capacity(order.len());
        for (_, id) in order {
            if let Some(rumour) = self.items.get_mut(&id) {
                rumour.rides += 1;
                words.push(rumour.word);
            }
        }
        words
    }

    fn refill(&mut self, now: Time) {
        let fresh = NEWS_BYTES * now.since(self.filled).as_secs_f64();
        self.budget = (self.budget + fresh).min(BURST);
        self.filled = now;
    }

    fn due(&self, now: Time, number: usize) -> Vec<Word> {
        let due = self.items.values();
        let due = due.filter(|rumour| rumour.rounds == number && rumour.due <= now);
        due.map(|rumour| rumour.word).collect()
    }

    fn advance(&mut self, now: Time, words: &[Word], own: bool) {
        for word in words {
            if let Some(rumour) = self.items.get_mut(&word.id) {
                rumour.rounds += 1;
                rumour.due = now + SECOND_ROUND;
            }
        }
        if own {
            self.own = match self.own {
                Some((done, _)) if done + 1 < COPIES.len() => Some((done + 1, now + SECOND_ROUND)),
                _ => None,
            };
        }
    }
}
