//! Load pattern: a service fails every request for some seconds, and all entries want to retry each of them.

use std::time::Duration;

use cicada_lib::retry_window::RetryLimit;
use cicada_lib::retry_window::RetryWindow;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// Sends requests to the entries in turn, with these intervals in milliseconds, and tries to retry each one.
/// Returns the times of the requests and of the retries.
fn simulate(entries: usize, intervals: &[u16]) -> (Vec<Time>, Vec<Time>) {
    let mut windows: Vec<RetryWindow> = (0..entries).map(|_| RetryWindow::new(LIMIT)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = Time::from_millis(0);
    for (number, interval) in intervals.iter().enumerate() {
        now = now + Duration::from_millis(u64::from(*interval % 400));
        let window = &mut windows[number % entries];
        window.record_request(now);
        requests.push(now);
        if window.try_retry(now, Some(entries), 0.0) {
            retries.push(now);
        }
    }
    (requests, retries)
}

fn within(times: &[Time], end: Time) -> f64 {
    let start = end.before(LIMIT.window);
    times
        .iter()
        .filter(|at| **at >= start && **at <= end)
        .count() as f64
}

#[test]
fn all_entries_together_stay_within_the_limit_in_every_window() {
    fn property(entries: u8, intervals: Vec<u16>) -> bool {
        let entries = usize::from(entries % 12) + 1;
        let (requests, retries) = simulate(entries, &intervals);
        retries.iter().all(|end| {
            let limit = LIMIT.ratio * within(&requests, *end) + LIMIT.slack;
            within(&retries, *end) <= limit
        })
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(u8, Vec<u16>) -> bool);
}

#[test]
fn most_of_the_limit_is_used_when_everything_fails() {
    let intervals = vec![20; 2_000];
    let (requests, retries) = simulate(5, &intervals);
    let end = *requests.last().unwrap();
    let limit = LIMIT.ratio * within(&requests, end) + LIMIT.slack;
    let used = within(&retries, end);
    assert!(used >= 0.7 * limit, "{used} of {limit}");
}

#[test]
fn the_reserved_share_is_left_for_other_retries() {
    let mut window = RetryWindow::new(LIMIT);
    let now = Time::from_millis(0);
    let reserving = (0..100)
        .filter(|_| window.try_retry(now, Some(1), 0.5))
        .count();
    let rest = (0..100)
        .filter(|_| window.try_retry(now, Some(1), 0.0))
        .count();
    assert!(
        reserving > 0 && rest >= reserving - 1,
        "{reserving} and {rest}"
    );
}

/// Guards against an entry that uses the whole slack before it knows of the other entries.
#[test]
fn an_entry_that_knows_no_others_has_no_share_of_the_slack() {
    let mut window = RetryWindow::new(LIMIT);
    let now = Time::from_millis(1);
    (0..10).for_each(|_| window.record_request(now));
    let taken = (0..50).filter(|_| window.try_retry(now, None, 0.0)).count();
    assert_eq!(taken, 1);
}
