//! Callers that were turned away and come back through another entry.

use std::time::Duration;

use cicada_lib::returns::Returns;
use cicada_lib::time::Time;

const PAUSE: Duration = Duration::from_millis(500);

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A caller is turned away by one entry and comes to another one, whose clock began elsewhere. It counts
/// from when it first asked, also when it is turned away twice.
#[test]
fn a_caller_that_comes_to_another_entry_is_known() {
    let (mut one, mut other) = (Returns::new(), Returns::new());
    one.turned_away(millis(50_000), 7, Duration::ZERO, PAUSE);
    let told = one.take_untold(millis(50_100));
    assert!(one.take_untold(millis(50_200)).is_empty());
    other.heard(millis(900_000), &told);
    assert_eq!(other.take(millis(900_410), 8), Duration::ZERO);
    let age = other.take(millis(900_410), 7);
    assert_eq!(age, Duration::from_millis(510));
    other.turned_away(millis(900_410), 7, age, PAUSE);
    assert_eq!(other.take(millis(900_910), 7), Duration::from_millis(1_010));
}

/// Many ask the same thing. Those that come while the one that was turned away stays away are new, and so
/// are those that come after it: its refusal is found once.
#[test]
fn others_who_ask_the_same_are_new() {
    let mut returns = Returns::new();
    returns.turned_away(millis(1_000), 7, Duration::ZERO, PAUSE);
    assert_eq!(returns.take(millis(1_200), 7), Duration::ZERO);
    assert_eq!(returns.take(millis(1_505), 7), Duration::from_millis(505));
    assert_eq!(returns.take(millis(1_510), 7), Duration::ZERO);
}

/// A caller that never comes back is forgotten, and its refusal is nobody else's.
#[test]
fn a_caller_that_stays_away_is_forgotten() {
    let mut returns = Returns::new();
    returns.turned_away(millis(1_000), 7, Duration::ZERO, PAUSE);
    assert_eq!(returns.take(millis(5_000), 7), Duration::ZERO);
}

/// A burst of refusals lasts for minutes: what is remembered stays bounded, and the latest are known.
#[test]
fn what_is_remembered_is_bounded() {
    let mut returns = Returns::new();
    for number in 0..100_000u64 {
        returns.turned_away(millis(number), number, Duration::ZERO, PAUSE);
    }
    let now = millis(100_000);
    assert!(returns.take_untold(now).len() <= 100);
    assert_eq!(returns.take(now, 99_500), Duration::from_millis(500));
    assert_eq!(returns.take(now, 90_000), Duration::ZERO);
}
