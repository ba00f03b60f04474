//! Tests of the trials of suspected poison requests.

use std::time::Duration;

use cicada_lib::suspect_trials::TRIAL_TIMEOUT;
use cicada_lib::suspect_trials::TrialClaim;
use cicada_lib::suspect_trials::Trials;
use cicada_lib::suspect_trials::claim_time;
use cicada_lib::suspects::Fingerprint;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;

const SUSPECT: Fingerprint = Fingerprint(1);

/// Guards against two entries that hear of each other's claim and both send their copy.
#[test]
fn two_entries_that_hear_each_other_never_hold_the_same_trial() {
    fn one_at_most(offset: u8, delays: (u8, u8), claimants: (u64, u64)) -> bool {
        let claim_time = claim_time(2);
        let longest = claim_time.as_millis() as u64 / 2;
        let starts = [10, 10 + u64::from(offset) % (claim_time.as_millis() as u64)];
        let delays = [delays.0, delays.1].map(|delay| 1 + u64::from(delay) % (longest - 1));
        let claimants = [claimants.0, claimants.1];
        if claimants[0] == claimants[1] {
            return true;
        }
        let mut entries = [Trials::default(), Trials::default()];
        let mut held = [false; 2];
        let mut made = [None; 2];
        for ms in 0..1_000 {
            let now = Time::from_millis(ms);
            for own in 0..2 {
                let other = 1 - own;
                if ms == starts[other] + delays[own] && made[other].is_some() {
                    let claim = TrialClaim::new(SUSPECT, claimants[other]);
                    entries[own].merge(now, &claim);
                }
                if ms == starts[own] && entries[own].claim(now, SUSPECT, claimants[own]).is_ok() {
                    made[own] = Some(now + claim_time);
                }
                if made[own] == Some(now) {
                    held[own] = entries[own].is_held_by(now, SUSPECT, claimants[own]);
                }
            }
        }
        !(held[0] && held[1]) && (held[0] || held[1])
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(one_at_most as fn(u8, (u8, u8), (u64, u64)) -> bool);
}

/// Guards against a suspect that nobody tries any more since the holder of its trial is gone.
#[test]
fn a_trial_whose_holder_is_gone_lapses() {
    let mut trials = Trials::default();
    let begun = Time::from_millis(10);
    assert!(trials.merge(begun, &TrialClaim::new(SUSPECT, 1)));
    let after = begun + TRIAL_TIMEOUT;
    let before = begun + (TRIAL_TIMEOUT - Duration::from_millis(1));
    assert_eq!(trials.claim(before, SUSPECT, 2), Err(after));
    assert_eq!(trials.claim(after, SUSPECT, 2), Ok(()));
}

/// Guards against a late claim that takes a trial over which has begun.
#[test]
fn a_trial_that_has_begun_is_not_yielded() {
    let mut trials = Trials::default();
    assert_eq!(trials.claim(Time::ZERO, SUSPECT, 5), Ok(()));
    let start = Time::ZERO + claim_time(100);
    assert!(!trials.merge(start, &TrialClaim::new(SUSPECT, 1)));
    assert!(trials.is_held_by(start, SUSPECT, 5));
}

/// Guards against a claim that arrives after the end of its trial and that all others wait for.
#[test]
fn a_claim_that_arrives_after_its_end_is_ignored() {
    let mut trials = Trials::default();
    assert!(trials.end(Time::ZERO, SUSPECT, 5));
    assert!(!trials.merge(Time::ZERO, &TrialClaim::new(SUSPECT, 5)));
    assert_eq!(trials.claim(Time::ZERO, SUSPECT, 6), Ok(()));
}
