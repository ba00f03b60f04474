//! Load pattern: a service fails every request for seconds, and all entries would send each once more.

use std::time::Duration;

use cicada_lib::retry_window::RetryBound;
use cicada_lib::retry_window::RetryWindow;
use cicada_lib::time::Time;
use quickcheck::QuickCheck;

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// Requests at each entry, in milliseconds from each to the next.
fn repeats(entries: usize, pauses: &[u16]) -> (Vec<Time>, Vec<Time>) {
    let mut windows: Vec<RetryWindow> = (0..entries).map(|_| RetryWindow::new(BOUND)).collect();
    let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
    let mut now = Time::from_millis(0);
    for (number, pause) in pauses.iter().enumerate() {
        now = now + Duration::from_millis(u64::from(*pause % 400));
        let window = &mut windows[number % entries];
        window.request(now);
        firsts.push(now);
        if window.take(now, Some(entries), 0.0) {
            repeats.push(now);
        }
    }
    (firsts, repeats)
}

fn within(times: &[Time], end: Time) -> f64 {
    let start = end.before(BOUND.window);
    times
        .iter()
        .filter(|at| **at >= start && **at <= end)
        .count() as f64
}

#[test]
fn all_entries_together_stay_within_the_bound_in_every_window() {
    fn property(entries: u8, pauses: Vec<u16>) -> bool {
        let entries = usize::from(entries % 12) + 1;
        let (firsts, repeats) = repeats(entries, &pauses);
        repeats.iter().all(|end| {
            let most = BOUND.ratio * within(&firsts, *end) + BOUND.slack;
            within(&repeats, *end) <= most
        })
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(u8, Vec<u16>) -> bool);
}

#[test]
fn most_of_the_bound_is_used_when_everything_fails() {
    let pauses = vec![20; 2_000];
    let (firsts, repeats) = repeats(5, &pauses);
    let end = *firsts.last().unwrap();
    let most = BOUND.ratio * within(&firsts, end) + BOUND.slack;
    let used = within(&repeats, end);
    assert!(used >= 0.7 * most, "{used} of {most}");
}

#[test]
fn a_spare_part_is_left_for_others() {
    let mut window = RetryWindow::new(BOUND);
    let now = Time::from_millis(0);
    let careful = (0..100).filter(|_| window.take(now, Some(1), 0.5)).count();
    let rest = (0..100).filter(|_| window.take(now, Some(1), 0.0)).count();
    assert!(careful > 0 && rest >= careful - 1, "{careful} and {rest}");
}

/// Guards against an entry that takes the slack of all for its own before it knows the others.
#[test]
fn an_entry_that_knows_no_others_has_no_part_of_the_slack() {
    let mut window = RetryWindow::new(BOUND);
    let now = Time::from_millis(1);
    (0..10).for_each(|_| window.request(now));
    let taken = (0..50).filter(|_| window.take(now, None, 0.0)).count();
    assert_eq!(taken, 1);
}
