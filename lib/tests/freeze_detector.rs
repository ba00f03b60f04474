//! Freeze detection, and confirmation of state after a freeze.

use std::time::Duration;

use cicada_lib::freeze_detector::FreezeDetector;
use cicada_lib::time::Time;

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A delay of half a second is not a freeze.
#[test]
fn short_delays_are_not_a_freeze() {
    let mut freeze_detector = FreezeDetector::new(millis(0));
    for time in [400, 800, 1_300, 1_700] {
        assert_eq!(freeze_detector.heartbeat(millis(time)), None);
        assert!(freeze_detector.is_state_confirmed(millis(time)));
    }
}

/// A host freezes for three seconds. Messages buffered in the sockets meanwhile are received first
/// and do not confirm the state; later ones do.
#[test]
fn state_is_confirmed_by_messages_sent_after_the_freeze() {
    let mut freeze_detector = FreezeDetector::new(millis(0));
    let frozen = freeze_detector.heartbeat(millis(3_000));
    assert_eq!(frozen, Some(Duration::from_secs(3)));
    assert!(!freeze_detector.is_state_confirmed(millis(3_000)));
    freeze_detector.state_received(millis(3_005));
    assert!(!freeze_detector.is_state_confirmed(millis(3_010)));
    assert_eq!(freeze_detector.heartbeat(millis(3_100)), None);
    freeze_detector.state_received(millis(3_150));
    assert!(freeze_detector.is_state_confirmed(millis(3_150)));
}

/// No other process answers: the process trusts its state again, as all do while the directory is
/// unavailable.
#[test]
fn state_is_trusted_again_after_the_timeout() {
    let mut freeze_detector = FreezeDetector::new(millis(0));
    freeze_detector.heartbeat(millis(3_000));
    assert!(!freeze_detector.is_state_confirmed(millis(3_500)));
    assert!(freeze_detector.is_state_confirmed(millis(4_000)));
}

/// The process freezes again before its state was confirmed.
#[test]
fn a_second_freeze_restarts_the_timeout() {
    let mut freeze_detector = FreezeDetector::new(millis(0));
    freeze_detector.heartbeat(millis(3_000));
    freeze_detector.heartbeat(millis(6_000));
    assert!(!freeze_detector.is_state_confirmed(millis(6_500)));
}
