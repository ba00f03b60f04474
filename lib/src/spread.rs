//! From whom a process gets the newest version of the configuration, and when.
//!
//! Load pattern: 3,400 changes a day and, now and then, a restart of everything, for 1,370 processes
//! before a store that takes 2,000 reads a second for all purposes. If each process watched the root,
//! a change would cost the store 1,370 answers and as many reads of each changed chunk within a
//! second. Here two processes of each availability zone watch, the others hear of a version by gossip
//! and pull the chunks that they lack from one who has them, which then hands them on itself. The
//! store is asked by others only when peers fail, after a drawn wait and within a budget.
//!
//! The driver asks [`Spread::next`] for a pull, makes it, and reports with [`Spread::done`].

use std::time::Duration;

use crate::config_apply::ConfigMark;
use crate::ids::Name;
use crate::membership::ConfigSeen;
use crate::roster::Member;
use crate::time::Time;

// A watcher that starts reads the store within this time: some twenty processes.
const WATCHER_START: Duration = Duration::from_millis(500);

// Any other process waits for peers first. When all restart, watchers have read and peers have handed
// on by then; when peers have nothing either, 1,370 processes read over eight seconds.
const START: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(11)];

// Peers that are tried for one version before the store is.
const PEERS: u32 = 3;

// After the first failure, doubled with each.
const PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_secs(5);

// The store is asked by a process that is no watcher at most this often: 1,370 processes that are all
// cut off from their peers make 137 reads of the root a second.
const STORE_GAP: Duration = Duration::from_secs(10);

// A process that heard of nothing new for this long looks at the root all the same: should gossip
// and all watchers fail together, a change is late by this much and not lost. 1,370 processes make
// eight reads a second.
const LOOK: Duration = Duration::from_secs(180);

/// Where to get a version from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Pull {
    /// From a process that has it in force.
    Peer(Member),
    /// From the store.
    Store,
}

/// What the process knows.
#[derive(Clone, Copy, Debug)]
pub struct SpreadView<'a> {
    /// The version in force here.
    pub own: Option<&'a ConfigMark>,
    /// The newest version heard of.
    pub seen: Option<&'a ConfigSeen>,
    /// Whether this process watches the store, and so needs no reading of its own but at the start.
    pub watcher: bool,
}

/// The pulls of one process.
#[derive(Debug)]
pub struct Spread {
    region: Name,
    zone: Name,
    start_store: Time,
    next_store: Time,
    next_look: Time,
    not_before: Time,
    failures: u32,
    // Peers tried for the version in `wanted`.
    tried: Vec<Name>,
    wanted: Option<ConfigMark>,
    busy: bool,
    drawn: f64,
}

impl Spread {
    /// The pulls of a process that starts now in the given place.
    pub fn new(now: Time, region: Name, zone: Name, rng: &mut fastrand::Rng) -> Self {
        let drawn = rng.f64();
        Spread {
            region,
            zone,
            start_store: now + START[0] + (START[1] - START[0]).mul_f64(drawn),
            next_store: now + WATCHER_START.mul_f64(drawn),
            next_look: now + LOOK.mul_f64(0.5 + rng.f64()),
            not_before: now,
            failures: 0,
            tried: Vec::new(),
            wanted: None,
            busy: false,
            drawn,
        }
    }

    /// The pull to make now, if any. One at a time.
    pub fn next(&mut self, now: Time, view: SpreadView, rng: &mut fastrand::Rng) -> Option<Pull> {
        if self.busy || now < self.not_before {
            return None;
        }
        let pull = self.choose(now, view, rng)?;
        self.busy = true;
        match &pull {
            Pull::Peer(member) => self.tried.push(member.name.clone()),
            Pull::Store => {
                self.next_store = now + STORE_GAP.mul_f64(0.8 + 0.4 * rng.f64());
                self.next_look = now + LOOK.mul_f64(0.5 + rng.f64());
            }
        }
        Some(pull)
    }

    /// The last pull is over. `succeeded` tells whether it brought what was wanted, or, from the
    /// store, an answer.
    pub fn done(&mut self, now: Time, succeeded: bool, rng: &mut fastrand::Rng) {
        self.busy = false;
        if succeeded {
            self.failures = 0;
            self.tried.clear();
            self.not_before = now;
            return;
        }
        let pause = PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.not_before = now + pause.min(MAX_PAUSE).mul_f64(0.5 + rng.f64());
    }

    /// A watch has told this process of the root, so that there is no need to look.
    pub fn watched(&mut self, now: Time) {
        self.next_look = now + LOOK.mul_f64(0.5 + self.drawn);
    }

    fn choose(&mut self, now: Time, view: SpreadView, rng: &mut fastrand::Rng) -> Option<Pull> {
        let own = view.own.map(|mark| mark.version);
        let newer = view.seen.filter(|seen| Some(seen.mark.version) > own);
        if let Some(seen) = newer {
            if self.wanted.as_ref() != Some(&seen.mark) {
                self.wanted = Some(seen.mark.clone());
                self.tried.clear();
            }
            if let Some(peer) = self.peer(seen, rng) {
                return Some(Pull::Peer(peer));
            }
            // All who have it have been tried: the store, and then the same peers again.
            let allowed = now >= self.next_store;
            self.tried.clear();
            return allowed.then_some(Pull::Store);
        }
        let start = view.own.is_none() && (view.watcher || now >= self.start_store);
        let look = now >= self.next_look;
        ((start || look) && now >= self.next_store).then_some(Pull::Store)
    }

    // One who has the version and was not tried: a near one, and of these any.
    fn peer(&self, seen: &ConfigSeen, rng: &mut fastrand::Rng) -> Option<Member> {
        if self.tried.len() >= PEERS as usize {
            return None;
        }
        let untried = |member: &&Member| !self.tried.contains(&member.name);
        let untried: Vec<_> = seen.holders.iter().filter(untried).collect();
        let distance = |member: &Member| match member.region == self.region {
            true if member.zone == self.zone => 0,
            true => 1,
            false => 2,
        };
        let nearest = untried.iter().map(|member| distance(member)).min()?;
        let near = untried
            .into_iter()
            .filter(|member| distance(member) == nearest);
        let near: Vec<_> = near.collect();
        rng.choice(near).cloned()
    }
}
