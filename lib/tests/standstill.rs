//! Freeze detection, and confirmation of state after a freeze.

use std::time::Duration;

use cicada_lib::standstill::Standstill;
use cicada_lib::time::Time;

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A delay of half a second is not a freeze.
#[test]
fn short_delays_are_not_a_freeze() {
    let mut standstill = Standstill::new(millis(0));
    for time in [400, 800, 1_300, 1_700] {
        assert_eq!(standstill.runs(millis(time)), None);
        assert!(standstill.is_sure(millis(time)));
    }
}

/// A host freezes for three seconds. Messages buffered in the sockets meanwhile are received first
/// and do not confirm the state; later ones do.
#[test]
fn state_is_confirmed_by_messages_sent_after_the_freeze() {
    let mut standstill = Standstill::new(millis(0));
    let frozen = standstill.runs(millis(3_000));
    assert_eq!(frozen, Some(Duration::from_secs(3)));
    assert!(!standstill.is_sure(millis(3_000)));
    standstill.told(millis(3_005));
    assert!(!standstill.is_sure(millis(3_010)));
    assert_eq!(standstill.runs(millis(3_100)), None);
    standstill.told(millis(3_150));
    assert!(standstill.is_sure(millis(3_150)));
}

/// No other process answers: the process trusts its state again, as all do while the directory is
/// unavailable.
#[test]
fn state_is_trusted_again_after_the_timeout() {
    let mut standstill = Standstill::new(millis(0));
    standstill.runs(millis(3_000));
    assert!(!standstill.is_sure(millis(3_500)));
    assert!(standstill.is_sure(millis(4_000)));
}

/// The process freezes again before its state was confirmed.
#[test]
fn a_second_freeze_restarts_the_timeout() {
    let mut standstill = Standstill::new(millis(0));
    standstill.runs(millis(3_000));
    standstill.runs(millis(6_000));
    assert!(!standstill.is_sure(millis(6_500)));
}
