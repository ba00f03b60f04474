//! Recognition of rejected requests that are retried at another entry.

use std::time::Duration;

use cicada_lib::recent_rejections::RecentRejections;
use cicada_lib::time::Time;

const DELAY: Duration = Duration::from_millis(500);

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A request is rejected by one entry and retried at another, whose clock has another origin. Its age counts
/// from the first attempt, also after a second rejection.
#[test]
fn a_retry_at_another_entry_is_recognized() {
    let (mut one, mut other) = (RecentRejections::new(), RecentRejections::new());
    one.record(millis(50_000), 7, Duration::ZERO, DELAY);
    let notices = one.take_unsent(millis(50_100));
    assert!(one.take_unsent(millis(50_200)).is_empty());
    other.merge(millis(900_000), &notices);
    assert_eq!(other.take(millis(900_410), 8), Duration::ZERO);
    let age = other.take(millis(900_410), 7);
    assert_eq!(age, Duration::from_millis(510));
    other.record(millis(900_410), 7, age, DELAY);
    assert_eq!(other.take(millis(900_910), 7), Duration::from_millis(1_010));
}

/// Several callers send the same request. One that arrives before the retry of the rejected caller is due
/// counts as new, and so does one that arrives after it: a rejection matches once.
#[test]
fn identical_requests_of_other_callers_are_new() {
    let mut rejections = RecentRejections::new();
    rejections.record(millis(1_000), 7, Duration::ZERO, DELAY);
    assert_eq!(rejections.take(millis(1_200), 7), Duration::ZERO);
    assert_eq!(
        rejections.take(millis(1_505), 7),
        Duration::from_millis(505)
    );
    assert_eq!(rejections.take(millis(1_510), 7), Duration::ZERO);
}

/// The rejection of a caller that never retries expires, and is not matched by another caller's request.
#[test]
fn a_rejection_without_retry_expires() {
    let mut rejections = RecentRejections::new();
    rejections.record(millis(1_000), 7, Duration::ZERO, DELAY);
    assert_eq!(rejections.take(millis(5_000), 7), Duration::ZERO);
}

/// During minutes of rejections, the number that is kept is bounded and the latest are kept.
#[test]
fn the_number_of_kept_rejections_is_bounded() {
    let mut rejections = RecentRejections::new();
    for number in 0..100_000u64 {
        rejections.record(millis(number), number, Duration::ZERO, DELAY);
    }
    let now = millis(100_000);
    assert!(rejections.take_unsent(now).len() <= 100);
    assert_eq!(rejections.take(now, 99_500), Duration::from_millis(500));
    assert_eq!(rejections.take(now, 90_000), Duration::ZERO);
}
