//! Decides when a process pulls the newest version of the configuration, and from which source.
//!
//! Load pattern: 3,400 changes a day, occasional restarts of all 1,370 processes, and a store that
//! serves 2,000 reads a second for all purposes. If each process watched the root, a change would
//! cost the store 1,370 responses and as many reads of each changed chunk within a second. Instead,
//! two processes of each availability zone watch the store. The others learn of a version by gossip
//! and pull the missing chunks from a peer that has them; each then serves them to others. A process
//! that is not a watcher reads the store only when its peers fail, after a random delay and at a
//! limited rate.
//!
//! The driver gets a pull from [`ConfigPuller::next_pull`], performs it, and reports the result to
//! [`ConfigPuller::record_result`].

use std::time::Duration;

use crate::config_apply::ConfigVersionId;
use crate::ids::Name;
use crate::membership::ConfigSeen;
use crate::roster::Member;
use crate::time::Time;

// A starting watcher reads the store at a random time within this window. There are about twenty
// watchers.
const WATCHER_FIRST_READ_WINDOW: Duration = Duration::from_millis(500);

// The range from which any other process draws the delay of its first read of the store. After a
// restart of all processes, watchers have read the store and peers have passed the version on by the
// lower bound. If no peer has it either, the reads of 1,370 processes are spread over eight seconds.
const FIRST_READ_DELAY: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(11)];

// Peers to try for a version before falling back to the store.
const MAX_PEER_ATTEMPTS: u32 = 3;

// Backoff after the first failure. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

// The minimum interval between two reads of the store by one process. 1,370 processes that are all
// partitioned from their peers make 137 reads of the root a second.
const MIN_STORE_INTERVAL: Duration = Duration::from_secs(10);

// A process reads the root after this long without news, so that a change is delayed by this much
// but not missed if gossip and all watchers fail together. 1,370 processes make eight reads a second.
const POLL_INTERVAL: Duration = Duration::from_secs(180);

/// The source to pull a version from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PullSource {
    /// A process that has applied the version.
    Peer(Member),
    /// The configuration store.
    Store,
}

/// The state of the process on which the choice of a pull depends.
#[derive(Clone, Copy, Debug)]
pub struct PullContext<'a> {
    /// The version that this process has applied.
    pub own: Option<&'a ConfigVersionId>,
    /// The newest version known from gossip.
    pub seen: Option<&'a ConfigSeen>,
    /// Whether this process watches the store. A watcher needs no read of its own except at startup.
    pub watcher: bool,
}

/// Schedules the configuration pulls of one process.
#[derive(Debug)]
pub struct ConfigPuller {
    region: Name,
    zone: Name,
    first_store_read: Time,
    next_store_read: Time,
    next_poll: Time,
    retry_at: Time,
    failures: u32,
    // Peers already tried for the version in `target`.
    tried: Vec<Name>,
    target: Option<ConfigVersionId>,
    in_progress: bool,
    jitter: f64,
}

impl ConfigPuller {
    /// Creates the schedule of a process that starts now in the given region and zone.
    pub fn new(now: Time, region: Name, zone: Name, rng: &mut fastrand::Rng) -> Self {
        let jitter = rng.f64();
        ConfigPuller {
            region,
            zone,
            first_store_read: now
                + FIRST_READ_DELAY[0]
                + (FIRST_READ_DELAY[1] - FIRST_READ_DELAY[0]).mul_f64(jitter),
            next_store_read: now + WATCHER_FIRST_READ_WINDOW.mul_f64(jitter),
            next_poll: now + POLL_INTERVAL.mul_f64(0.5 + rng.f64()),
            retry_at: now,
            failures: 0,
            tried: Vec::new(),
            target: None,
            in_progress: false,
            jitter,
        }
    }

    /// Returns the pull to perform now, if any. Only one pull is in progress at a time.
    pub fn next_pull(
        &mut self,
        now: Time,
        context: PullContext,
        rng: &mut fastrand::Rng,
    ) -> Option<PullSource> {
        if self.in_progress || now < self.retry_at {
            return None;
        }
        let pull = self.select(now, context, rng)?;
        self.in_progress = true;
        match &pull {
            PullSource::Peer(member) => self.tried.push(member.name.clone()),
            PullSource::Store => {
                self.next_store_read = now + MIN_STORE_INTERVAL.mul_f64(0.8 + 0.4 * rng.f64());
                self.next_poll = now + POLL_INTERVAL.mul_f64(0.5 + rng.f64());
            }
        }
        Some(pull)
    }

    /// Records the result of the last pull. `succeeded` is true if a peer returned the requested
    /// version, or if the store answered.
    pub fn record_result(&mut self, now: Time, succeeded: bool, rng: &mut fastrand::Rng) {
        self.in_progress = false;
        if succeeded {
            self.failures = 0;
            self.tried.clear();
            self.retry_at = now;
            return;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.retry_at = now + backoff.min(MAX_BACKOFF).mul_f64(0.5 + rng.f64());
    }

    /// Postpones the next poll because a watch has just returned the root.
    pub fn record_watch(&mut self, now: Time) {
        self.next_poll = now + POLL_INTERVAL.mul_f64(0.5 + self.jitter);
    }

    fn select(
        &mut self,
        now: Time,
        context: PullContext,
        rng: &mut fastrand::Rng,
    ) -> Option<PullSource> {
        let own = context.own.map(|mark| mark.version);
        let newer = context.seen.filter(|seen| Some(seen.mark.version) > own);
        if let Some(seen) = newer {
            if self.target.as_ref() != Some(&seen.mark) {
                self.target = Some(seen.mark.clone());
                self.tried.clear();
            }
            if let Some(peer) = self.select_peer(seen, rng) {
                return Some(PullSource::Peer(peer));
            }
            // All peers that have the version were tried: fall back to the store, then retry them.
            let allowed = now >= self.next_store_read;
            self.tried.clear();
            return allowed.then_some(PullSource::Store);
        }
        let first_read = context.own.is_none() && (context.watcher || now >= self.first_store_read);
        let poll_due = now >= self.next_poll;
        ((first_read || poll_due) && now >= self.next_store_read).then_some(PullSource::Store)
    }

    // Returns a random peer among the nearest ones that have the version and were not tried yet.
    fn select_peer(&self, seen: &ConfigSeen, rng: &mut fastrand::Rng) -> Option<Member> {
        if self.tried.len() >= MAX_PEER_ATTEMPTS as usize {
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
