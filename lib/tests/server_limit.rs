//! Limits that backend servers name in their answers.

use cicada_lib::server_limit::LimitChange;
use cicada_lib::server_limit::LimitState;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("it is a number of requests")
}

/// Guards against a limit that an answer from before it lifts.
#[test]
fn an_answer_that_was_under_way_lifts_no_limit() {
    let mut limit = LimitState::default();
    assert_eq!(limit.answered(at(10), at(0), None), None);
    let named = LimitChange::Named(rate(4.1));
    assert_eq!(
        limit.answered(at(100), at(60), Some(rate(4.1))),
        Some(named)
    );
    assert_eq!(limit.answered(at(120), at(60), Some(rate(4.1))), None);
    assert_eq!(limit.answered(at(130), at(90), None), None);
    assert_eq!(limit.rate(), Some(rate(4.1)));
    let lifted = Some(LimitChange::Lifted);
    assert_eq!(limit.answered(at(160), at(121), None), lifted);
    assert_eq!(limit.rate(), None);
    let again = LimitChange::Named(rate(3.0));
    assert_eq!(
        limit.answered(at(170), at(80), Some(rate(3.0))),
        Some(again)
    );
}

#[test]
fn a_rate_is_a_number_of_requests() {
    assert_eq!(RequestRate::new(f64::NAN), None);
    assert_eq!(RequestRate::new(-1.0), None);
    assert_eq!(rate(3.2).per_second(), 3.2);
    assert!(rate(1e18).per_second() > 1e6);
}
