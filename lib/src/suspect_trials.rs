//! Trials of suspected poison requests: at most one copy of a suspect runs in the whole fleet.
//!
//! Load pattern: many callers send the same request through all entries, and it has crashed a server, or was in flight
//! when one crashed. If every entry tried for itself whether the request is harmless, each copy could take one more
//! server.
//!
//! An entry that wants to send a copy claims the trial, tells the others, and waits for the [`claim_time`]. Of claims
//! that are made within that time the lowest one wins, so that two entries that hear each other never hold the same trial.
//! The outcome clears the suspect or adds to the evidence, and both end the trial for all; a claim whose holder is gone
//! lapses.

use std::collections::HashMap;
use std::time::Duration;

use crate::copy_type;
use crate::relay_peers::GOSSIP_FANOUT;
use crate::suspects::Fingerprint;
use crate::time::Time;

/// Time between a claim and its trial where each entry tells all others, and where claims are passed on: a claim reaches
/// the entries of all regions, and a competing one that was made just before comes back.
const DIRECT_CLAIM_TIME: Duration = Duration::from_millis(120);
const GOSSIP_CLAIM_TIME: Duration = Duration::from_millis(260);

/// Time after which a trial counts as given up.
pub const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of trials that are known. Further suspects wait.
const MAX_TRIALS: usize = 512;

/// The maximum number of ended trials that are remembered.
const MAX_ENDED: usize = 2_048;

copy_type! {
    /// An entry's claim of a trial.
    pub struct TrialClaim {
        /// The suspect, or the service whose suspects are tried one after the other.
        pub subject: Fingerprint,
        /// A random number. The lowest claim wins.
        pub claimant: u64,
        /// Microseconds since the claim.
        pub age: u64,
    }
}

impl TrialClaim {
    /// Creates a claim that is made now.
    pub fn new(subject: Fingerprint, claimant: u64) -> Self {
        TrialClaim {
            subject,
            claimant,
            age: 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    claimant: u64,
    claimed_at: Time,
}

/// The trials that one entry knows of, its own and those of others.
#[derive(Debug, Default)]
pub struct Trials {
    // At most `MAX_TRIALS`.
    trials: HashMap<Fingerprint, Trial>,
    // Claimants whose trials have ended, and when: their claims may arrive later. At most `MAX_ENDED`.
    ended: HashMap<u64, Time>,
}

/// How long a claim waits before its trial, among so many entries that know each other.
pub fn claim_time(entries: usize) -> Duration {
    match entries <= GOSSIP_FANOUT {
        true => DIRECT_CLAIM_TIME,
        false => GOSSIP_CLAIM_TIME,
    }
}

impl Trials {
    /// Claims a trial. Fails if another one of the subject is known, with the time at which that ends at the latest.
    pub fn claim(
        &mut self,
        now: Time,
        subject: Fingerprint,
        claimant: u64,
    ) -> std::result::Result<(), Time> {
        self.remove_lapsed(now);
        if let Some(trial) = self.trials.get(&subject) {
            return Err(trial.claimed_at + TRIAL_TIMEOUT);
        }
        if self.trials.len() >= MAX_TRIALS {
            return Err(now + TRIAL_TIMEOUT);
        }
        let claimed_at = now;
        let trial = Trial {
            claimant,
            claimed_at,
        };
        self.trials.insert(subject, trial);
        Ok(())
    }

    /// Takes in another entry's claim. Returns whether it is new and wins here.
    pub fn merge(&mut self, now: Time, claim: &TrialClaim) -> bool {
        let trial = Trial {
            claimant: claim.claimant,
            claimed_at: Time::from_micros(now.micros().saturating_sub(claim.age)),
        };
        if trial.has_lapsed(now) || self.ended.contains_key(&claim.claimant) {
            return false;
        }
        self.remove_lapsed(now);
        let wins = match self.trials.get(&claim.subject) {
            Some(known) => known.yields_to(now, &trial),
            None => self.trials.len() < MAX_TRIALS,
        };
        if wins {
            self.trials.insert(claim.subject, trial);
        }
        wins
    }

    /// Whether the claimant holds the trial.
    pub fn is_held_by(&self, now: Time, subject: Fingerprint, claimant: u64) -> bool {
        let trial = self.trials.get(&subject);
        trial.is_some_and(|trial| trial.claimant == claimant && !trial.has_lapsed(now))
    }

    /// Ends a trial of the claimant. Returns whether that is new.
    pub fn end(&mut self, now: Time, subject: Fingerprint, claimant: u64) -> bool {
        let trial = self.trials.get(&subject);
        if trial.is_some_and(|trial| trial.claimant == claimant) {
            self.trials.remove(&subject);
        }
        self.remove_lapsed(now);
        self.ended.len() < MAX_ENDED && self.ended.insert(claimant, now).is_none()
    }

    /// Ends whichever trial of the suspect: its outcome is known.
    pub fn settle(&mut self, now: Time, subject: Fingerprint) {
        let trial = self.trials.remove(&subject);
        if let Some(trial) = trial.filter(|_| self.ended.len() < MAX_ENDED) {
            self.ended.insert(trial.claimant, now);
        }
    }

    fn remove_lapsed(&mut self, now: Time) {
        self.trials.retain(|_, trial| !trial.has_lapsed(now));
        self.ended
            .retain(|_, ended_at| now.since(*ended_at) < TRIAL_TIMEOUT);
    }
}

impl Trial {
    fn has_lapsed(&self, now: Time) -> bool {
        now.since(self.claimed_at) >= TRIAL_TIMEOUT
    }

    /// Whether a trial that has not begun gives way to another claim.
    fn yields_to(&self, now: Time, other: &Trial) -> bool {
        other.claimant < self.claimant && now.since(self.claimed_at) < GOSSIP_CLAIM_TIME
    }
}
