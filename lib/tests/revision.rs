//! Revisions of a directory that goes back to older copies of itself.

use cicada_lib::ids::Name;
use cicada_lib::revision::RETURN;
use cicada_lib::revision::Revision;
use cicada_lib::revision::SeenEra;
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

/// Guards against a change that is taken for old, since its number was given out before.
#[test]
fn a_revision_of_a_later_era_is_later_whatever_its_number() {
    assert!(Revision::new(1, 25) > Revision::new(0, 28));
    assert!(Revision::new(1, 25) < Revision::new(1, 27));
    let incomplete = Revision::new(1, 25).with_whole(false);
    assert!(incomplete < Revision::new(1, 25) && incomplete > Revision::new(0, 28));
    assert!(incomplete.is_known() && !Revision::default().is_known());
}

/// Guards against a list that is taken for complete while what the directory lost is being written again.
#[test]
fn an_era_settles_when_all_can_have_been_written_again() {
    let mut seen = SeenEra::default();
    assert!(!seen.saw(at(10), Revision::new(0, 7)));
    assert!(seen.is_settled(at(10)), "it has never gone back");
    assert!(seen.saw(at(1_000), Revision::new(1, 5)));
    assert!(!seen.saw(at(1_100), Revision::new(1, 9)));
    assert!(
        !seen.saw(at(1_200), Revision::new(0, 9)),
        "an answer from before"
    );
    assert_eq!(seen.era(), 1);
    assert!(!seen.is_settled(at(1_200)));
    assert!(seen.is_settled(at(1_000) + RETURN));
    let mut started = SeenEra::default();
    assert!(!started.saw(at(0), Revision::new(3, 5)));
    assert!(!started.is_settled(at(1)), "it may have gone back just now");
}

/// Guards against an evacuation that ends since the directory has lost it, or never ends since it was kept.
#[test]
fn an_evacuation_holds_until_it_can_have_been_written_again() {
    let mut known = zones(Revision::new(0, 28), &["a"]);
    let incomplete = Revision::new(1, 25).with_whole(false);
    assert!(known.update(&zones(incomplete, &["b"])).ended.is_empty());
    assert_eq!(known.zones.len(), 2);
    let later = Revision::new(1, 26).with_whole(false);
    assert!(
        known.update(&zones(later, &[])).is_empty(),
        "an entry that has just started"
    );
    assert!(known.update(&zones(Revision::new(0, 29), &[])).is_empty());
    let again = known.update(&zones(Revision::new(1, 26), &["b"]));
    assert_eq!(again.ended, [Name::new("a")]);
}
