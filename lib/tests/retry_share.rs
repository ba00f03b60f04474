//! Load pattern: a service fails every request for some seconds, all entries want to retry each of them, and entries are
//! restarted meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::entry_shares::EntryShares;
use cicada_lib::ids::Name;
use cicada_lib::retry_share::MIN_SLACK_SHARE;
use cicada_lib::retry_share::RetryLimit;
use cicada_lib::retry_share::RetryShare;
use cicada_lib::time::Time;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// An event at an entry.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request that fails, and that the entry wants to retry.
    Fails,
    /// A request that succeeds.
    Succeeds,
    /// The entry is killed and started again.
    Restart,
    /// All entries are killed and started again.
    RestartAll,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) {
            0..3 => Event::RestartAll,
            3..10 => Event::Restart,
            10..120 => Event::Succeeds,
            _ => Event::Fails,
        }
    }
}

/// An entry, and when its process started on the clock of the simulation.
struct Entry {
    share: RetryShare,
    started: Time,
}

impl Entry {
    fn new(started: Time) -> Self {
        let share = RetryShare::new(LIMIT);
        Entry { share, started }
    }

    /// The time on the process's own clock.
    fn clock(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.started)
    }
}

/// When requests came and retries were made.
#[derive(Default)]
struct History {
    requests: Vec<Time>,
    retries: Vec<Time>,
}

/// Plays the events, each after a pause in milliseconds and at the entry of a number.
fn play(entries: usize, events: &[(u16, u8, Event)]) -> History {
    let mut now = Time::ZERO;
    let mut all: Vec<Entry> = (0..entries).map(|_| Entry::new(now)).collect();
    let slack = LIMIT.slack / entries as f64;
    let mut history = History::default();
    for (pause, number, event) in events {
        now = now + Duration::from_millis(u64::from(*pause));
        let entry = &mut all[usize::from(*number) % entries];
        let clock = entry.clock(now);
        match event {
            Event::Restart => *entry = Entry::new(now),
            Event::RestartAll => all = (0..entries).map(|_| Entry::new(now)).collect(),
            Event::Fails | Event::Succeeds => {
                entry.share.record_request(clock, slack);
                history.requests.push(now);
            }
        }
        if matches!(event, Event::Fails) {
            let entry = &mut all[usize::from(*number) % entries];
            if entry.share.try_retry(clock, slack) {
                history.retries.push(now);
            }
        }
    }
    history
}

fn within(times: &[Time], end: Time) -> usize {
    let start = end.before(LIMIT.window);
    let inside = times.iter().filter(|at| **at >= start && **at <= end);
    inside.count()
}

/// The retries of the window that ends then, and those that are allowed: judged by the requests of the window, of the one
/// before or of the one half a window before, whichever has most.
fn judge(history: &History, end: Time) -> (usize, f64) {
    let ends = [end, end.before(LIMIT.window / 2), end.before(LIMIT.window)];
    let requests = ends.iter().map(|end| within(&history.requests, *end));
    let requests = requests.max().unwrap_or_default();
    let allowed = LIMIT.ratio * requests as f64 + LIMIT.slack;
    (within(&history.retries, end), allowed)
}

fn is_within_limit(history: &History) -> bool {
    // The windows that end or begin with a retry: others have no more retries than one of these.
    let mut ends = history
        .retries
        .iter()
        .flat_map(|at| [*at, *at + LIMIT.window]);
    ends.all(|end| {
        let (retries, allowed) = judge(history, end);
        retries as f64 <= allowed
    })
}

/// Requests that fail at the entries in turn, with these pauses in milliseconds.
fn failing(pauses: &[u16]) -> Vec<(u16, u8, Event)> {
    let events = pauses.iter().enumerate();
    events
        .map(|(number, pause)| (*pause, (number % 256) as u8, Event::Fails))
        .collect()
}

/// Guards against entries whose shares add up to more than the limit, whenever they are restarted.
#[test]
fn all_entries_together_stay_within_the_limit_across_restarts() {
    fn property(entries: u8, scale: u8, events: Vec<(u16, u8, Event)>) -> bool {
        let entries = usize::from(entries % 12) + 1;
        let longest = 1 + u16::from(scale) * 4;
        let events: Vec<_> = events
            .into_iter()
            .map(|(pause, number, event)| (pause % longest, number, event))
            .collect();
        is_within_limit(&play(entries, &events))
    }
    QuickCheck::new()
        .rng(Gen::new(1_500))
        .tests(400)
        .quickcheck(property as fn(u8, u8, Vec<(u16, u8, Event)>) -> bool);
}

/// Guards against entries that spend a whole share before and after they are killed together.
#[test]
fn entries_killed_together_while_all_fails_stay_within_the_limit() {
    let mut events = failing(&vec![10; 6_000]);
    for place in (2_000..4_000).step_by(125) {
        events[place] = (10, 0, Event::RestartAll);
    }
    assert!(is_within_limit(&play(5, &events)));
}

/// Guards against retries that two bursts earned and one of them spends.
#[test]
fn two_bursts_most_of_a_window_apart_stay_within_the_limit() {
    let mut events: Vec<_> = (0..200).map(|_| (50, 0, Event::Succeeds)).collect();
    events.extend((0..600).map(|n| (3, (n % 5) as u8, Event::Succeeds)));
    events.push((7_000, 0, Event::Succeeds));
    events.extend(failing(&[1; 800]));
    assert!(is_within_limit(&play(5, &events)));
}

/// Guards against a share so careful that half of the limit is never used.
#[test]
fn most_of_the_limit_can_be_used_in_a_window() {
    let succeeding = (0..1_000).map(|n| (20, (n % 5) as u8, Event::Succeeds));
    let mut events: Vec<_> = succeeding.collect();
    events.extend(failing(&[20; 2_000]));
    let history = play(5, &events);
    let used_until = |end: Time| {
        let (retries, allowed) = judge(&history, end);
        retries as f64 / allowed
    };
    let begun = Time::from_millis(20_000);
    let first = used_until(begun + LIMIT.window);
    assert!(first >= 0.85, "{first} of the limit in the first window");
    let later = used_until(begun + LIMIT.window * 3);
    assert!(later >= 0.42, "{later} of the limit in a later window");
}

/// Guards against an entry that retries nothing for long after its start.
#[test]
fn an_entry_that_has_just_started_soon_retries() {
    let history = play(5, &failing(&vec![20; 250]));
    let first = history.retries.first().unwrap();
    assert!(first.since(Time::ZERO) < Duration::from_secs(2));
}

/// Guards against a deployment whose relays, started for the first time, send no refused request on.
#[test]
fn a_process_without_a_predecessor_retries_at_once() {
    let mut share = RetryShare::new(LIMIT).with_full();
    let now = Time::from_millis(100);
    share.record_request(now, 0.0);
    assert!(!share.try_retry(now, 0.0));
    let retries = (0..100).filter(|_| share.try_retry(now, LIMIT.slack));
    let retries = retries.count() as f64;
    assert!(
        retries > 1.0 && retries <= LIMIT.slack / 2.0 + 1.0,
        "{retries}"
    );
}

/// Guards against a changed limit that renews what was spent under the one before.
#[test]
fn a_changed_limit_renews_nothing() {
    let mut share = RetryShare::new(LIMIT);
    let now = Time::from_millis(20_000);
    while share.try_retry(now, LIMIT.slack) {}
    let larger = RetryLimit {
        slack: LIMIT.slack * 2.0,
        ..LIMIT
    };
    for limit in [larger, LIMIT] {
        share.set_limit(limit);
        assert!(!share.try_retry(now, limit.slack));
    }
}

/// Guards against an entry that uses the whole slack before it knows of the other entries.
#[test]
fn an_entry_that_knows_no_others_has_no_share_of_the_slack() {
    let service = Name::from("booking");
    let unknown = EntryShares::default();
    assert_eq!(
        unknown.slack_share(&service, LIMIT.slack, MIN_SLACK_SHARE),
        0.0
    );
}

/// Guards against parts of the slack that are too small for a single retry, or add up to more than the slack.
#[test]
fn a_slack_that_is_small_for_many_entries_is_given_to_some_of_them() {
    let address = |host: u16| SocketAddr::from(([10, 0, (host >> 8) as u8, host as u8], 7_200));
    for (entries, slack) in [(370, 32.0), (370, 1_040.0), (5, 56.0), (3, 0.5)] {
        let all: Vec<SocketAddr> = (0..entries).map(address).collect();
        let parts = all.iter().map(|own| {
            let mut shares = EntryShares::default();
            shares.set_entries(*own, all.iter().copied());
            shares.slack_share(&Name::from("booking"), slack, MIN_SLACK_SHARE)
        });
        let parts: Vec<f64> = parts.collect();
        let sum: f64 = parts.iter().sum();
        assert!(
            (sum - slack).abs() < 1e-6,
            "{entries} entries have {sum} of {slack}"
        );
        let least = MIN_SLACK_SHARE.min(slack);
        assert!(
            parts
                .iter()
                .all(|part| *part == 0.0 || *part >= least - 1e-6)
        );
    }
}
