//! Tests of the log of changes to the list of backend servers.

use cicada_lib::change_log::ChangeLog;
use cicada_lib::ids::Name;
use cicada_lib::revision::Revision;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerChanges;
use quickcheck::quickcheck;

fn gone(number: u64) -> ServerChange {
    ServerChange::Gone(Name::new(format!("i-{number}")))
}

fn changes(numbers: &[u64], revision: u64) -> ServerChanges {
    ServerChanges {
        changes: numbers.iter().copied().map(gone).collect(),
        revision: Revision::new(0, revision),
    }
}

#[test]
fn missed_changes_are_returned_in_order() {
    let mut log = ChangeLog::default();
    log.push(Revision::new(0, 10), &changes(&[11], 11));
    log.push(Revision::new(0, 11), &changes(&[13, 14], 14));
    assert_eq!(
        log.since(Revision::new(0, 10)),
        Some(changes(&[11, 13, 14], 14))
    );
    assert_eq!(
        log.since(Revision::new(0, 11)),
        Some(changes(&[13, 14], 14))
    );
    // Batches are not split, even if part of one is already known.
    assert_eq!(
        log.since(Revision::new(0, 13)),
        Some(changes(&[13, 14], 14))
    );
    assert_eq!(log.since(Revision::new(0, 14)), None);
    assert_eq!(
        log.since(Revision::new(0, 9)),
        None,
        "earlier changes are not in the log"
    );
}

/// Guards against returning changes with a gap: a relay would not learn of the changes between.
#[test]
fn changes_before_a_gap_are_dropped() {
    let mut log = ChangeLog::default();
    log.push(Revision::new(0, 10), &changes(&[11], 11));
    log.push(Revision::new(0, 20), &changes(&[21], 21));
    assert_eq!(log.since(Revision::new(0, 10)), None);
    assert_eq!(log.since(Revision::new(0, 20)), Some(changes(&[21], 21)));
    log.clear();
    assert_eq!(log.since(Revision::new(0, 20)), None);
}

/// The log is bounded, and drops its oldest changes.
#[test]
fn oldest_changes_are_dropped() {
    let mut log = ChangeLog::default();
    (0..10_000).for_each(|n| log.push(Revision::new(0, n), &changes(&[n + 1], n + 1)));
    assert_eq!(log.since(Revision::new(0, 0)), None);
    let latest = log.since(Revision::new(0, 9_000)).expect("kept");
    assert_eq!(latest.changes.len(), 1_000);
}

quickcheck! {
    /// The changes returned for a revision include every later change.
    fn no_change_is_omitted(sizes: Vec<u8>, from: u64) -> bool {
        let mut log = ChangeLog::default();
        let mut at = 5;
        for size in sizes {
            let to = at + u64::from(size % 4) + 1;
            let numbers: Vec<u64> = (at + 1..=to).collect();
            log.push(Revision::new(0, at), &changes(&numbers, to));
            at = to;
        }
        let from = 5 + from % (at - 4);
        match log.since(Revision::new(0, from)) {
            None => from == at,
            Some(missed) => (from + 1..=at).all(|n| missed.changes.contains(&gone(n))),
        }
    }
}
