//! Tests of requests whose answers are lost again and again.

use std::time::Duration;

use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::lost_answers::LostAnswers;
use cicada_lib::time::Time;

const REQUEST: Fingerprint = Fingerprint(1);
const SECOND: Duration = Duration::from_secs(1);

/// Guards against a request that many callers send and that becomes a suspect by resets here and there.
#[test]
fn losses_with_answers_between_them_are_no_evidence() {
    let mut lost = LostAnswers::default();
    for second in 0..100 {
        let now = Time::ZERO + SECOND * second;
        assert!(!lost.record_loss(now, REQUEST));
        lost.record_success(REQUEST);
    }
    assert!(lost.is_empty());
}

/// Guards against a request whose copies are lost one after the other and that is sent on beside others.
#[test]
fn losses_in_a_row_make_a_suspect() {
    let mut lost = LostAnswers::default();
    assert!(!lost.record_loss(Time::ZERO, REQUEST));
    assert!(lost.record_loss(Time::ZERO + SECOND * 20, REQUEST));
    assert!(!lost.record_loss(Time::ZERO + SECOND * 60, REQUEST));
}

/// Guards against a storm of resets that takes the memory of an entry.
#[test]
fn the_number_of_losses_is_bounded() {
    let mut lost = LostAnswers::default();
    for request in 0..20_000 {
        lost.record_loss(Time::ZERO, Fingerprint(request));
    }
    assert!(!lost.record_loss(Time::ZERO, Fingerprint(30_000)));
    assert!(!lost.record_loss(Time::ZERO, Fingerprint(30_000)));
    lost.remove_old(Time::ZERO + SECOND * 60);
    assert!(lost.is_empty());
}
