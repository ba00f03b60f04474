//! Tests of how long an address can have belonged to one service.

use std::time::Duration;

use cicada_lib::address_tenure::AddressTenure;
use cicada_lib::ids::Name;
use cicada_lib::time::Time;
use quickcheck::quickcheck;

const REUSE_AFTER: Duration = Duration::from_secs(2);

fn poll(tenure: &mut AddressTenure, at_ms: u64) {
    tenure.record_answer(Time::from_millis(at_ms), Time::from_millis(at_ms + 5));
}

/// An engine that is back before its address can be assigned again follows the former one.
#[test]
fn a_quick_restart_keeps_the_tenure() {
    let mut tenure = AddressTenure::new(REUSE_AFTER);
    poll(&mut tenure, 0);
    tenure.record_name(&Name::new("i-1"));
    poll(&mut tenure, 1_900);
    tenure.record_name(&Name::new("i-2"));
    assert_eq!(tenure.predecessors(), [Name::new("i-1")]);
    assert!(tenure.is_unbroken());
}

/// Guards against a scout that vouches for whatever answers at its engine's address after a long silence.
#[test]
fn a_long_silence_ends_the_tenure() {
    let mut tenure = AddressTenure::new(REUSE_AFTER);
    poll(&mut tenure, 0);
    tenure.record_name(&Name::new("i-1"));
    poll(&mut tenure, 2_000);
    tenure.record_name(&Name::new("i-2"));
    assert!(tenure.predecessors().is_empty());
    assert!(!tenure.is_unbroken());
    poll(&mut tenure, 2_030);
    tenure.record_name(&Name::new("i-3"));
    assert_eq!(tenure.predecessors(), [Name::new("i-2")]);
    assert!(
        !tenure.is_unbroken(),
        "the settings are no evidence any more"
    );
}

/// An engine that starts long after its scout is the one that the settings name.
#[test]
fn the_first_engine_may_start_late() {
    let mut tenure = AddressTenure::new(REUSE_AFTER);
    poll(&mut tenure, 60_000);
    assert!(tenure.is_unbroken());
}

quickcheck! {
    /// Whatever the polls, no predecessor is named across a silence in which the address could be assigned again.
    fn predecessors_are_never_named_across_a_silence(gaps: Vec<u16>) -> bool {
        let mut tenure = AddressTenure::new(REUSE_AFTER);
        let (mut now, mut last_silence) = (0, 0);
        for (number, gap) in gaps.iter().enumerate() {
            now += u64::from(*gap % 4_000);
            poll(&mut tenure, now);
            if number > 0 && u64::from(*gap % 4_000) + 5 >= 2_000 {
                last_silence = number;
            }
            tenure.record_name(&Name::new(format!("i-{number}")));
        }
        tenure.predecessors().iter().all(|name| {
            let number: usize = name.as_str()[2..].parse().unwrap();
            number >= last_silence
        })
    }
}
