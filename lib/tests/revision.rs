//! Tests of revisions of a directory that reverts to older copies.

use cicada_lib::ids::Name;
use cicada_lib::revision::ERA_SETTLE_TIME;
use cicada_lib::revision::EraTracker;
use cicada_lib::revision::Revision;
use cicada_lib::time::Time;
use cicada_lib::zone_evacuation::EvacuatedZones;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn zones(revision: Revision, zones: &[&str]) -> EvacuatedZones {
    EvacuatedZones {
        zones: zones.iter().map(Name::new).collect(),
        revision,
    }
}

/// Guards against taking a change for an old one because the directory has reverted and reuses its revision number.
#[test]
fn revision_of_later_era_is_later_regardless_of_number() {
    assert!(Revision::new(1, 25) > Revision::new(0, 28));
    assert!(Revision::new(1, 25) < Revision::new(1, 27));
    let incomplete = Revision::new(1, 25).with_whole(false);
    assert!(incomplete < Revision::new(1, 25) && incomplete > Revision::new(0, 28));
    assert!(incomplete.is_known() && !Revision::default().is_known());
}

/// Guards against taking a list for complete while entries that the directory lost are still being written again.
#[test]
fn era_settles_after_entries_can_have_been_rewritten() {
    let mut seen = EraTracker::default();
    assert!(!seen.observe(at(10), Revision::new(0, 7)));
    assert!(seen.is_settled(at(10)), "it has never reverted");
    assert!(seen.observe(at(1_000), Revision::new(1, 5)));
    assert!(!seen.observe(at(1_100), Revision::new(1, 9)));
    assert!(
        !seen.observe(at(1_200), Revision::new(0, 9)),
        "a response from the earlier era"
    );
    assert_eq!(seen.era(), 1);
    assert!(!seen.is_settled(at(1_200)));
    assert!(seen.is_settled(at(1_000) + ERA_SETTLE_TIME));
    let mut started = EraTracker::default();
    assert!(!started.observe(at(0), Revision::new(3, 5)));
    assert!(!started.is_settled(at(1)), "it may have just reverted");
}

/// Guards against ending an evacuation because the directory has lost its entry, and against keeping it forever.
#[test]
fn evacuation_persists_until_it_can_have_been_rewritten() {
    let mut known = zones(Revision::new(0, 28), &["a"]);
    let incomplete = Revision::new(1, 25).with_whole(false);
    assert!(known.update(&zones(incomplete, &["b"])).ended.is_empty());
    assert_eq!(known.zones.len(), 2);
    let later = Revision::new(1, 26).with_whole(false);
    assert!(
        known.update(&zones(later, &[])).is_empty(),
        "incomplete listing of a relay that has just started"
    );
    assert!(known.update(&zones(Revision::new(0, 29), &[])).is_empty());
    let again = known.update(&zones(Revision::new(1, 26), &["b"]));
    assert_eq!(again.ended, [Name::new("a")]);
}
