//! Sets of evacuated availability zones that arrive in any order.

use cicada_lib::ids::Name;
use cicada_lib::revision::Revision;
use cicada_lib::zone_evacuation::EvacuatedZones;
use cicada_lib::zone_evacuation::EvacuationChange;
use quickcheck::quickcheck;

fn zones(revision: u64, zones: &[&str]) -> EvacuatedZones {
    EvacuatedZones {
        zones: zones.iter().map(Name::new).collect(),
        revision: Revision::new(0, revision),
    }
}

#[test]
fn evacuations_overlap_and_end_one_by_one() {
    let mut known = EvacuatedZones::default();
    assert!(!known.is_known());
    let begun = known.update(&zones(3, &["a"]));
    assert_eq!(begun.begun, [Name::new("a")]);
    let both = known.update(&zones(5, &["a", "b"]));
    assert_eq!(both.begun, [Name::new("b")]);
    let ended = known.update(&zones(9, &["b"]));
    assert_eq!(ended.ended, [Name::new("a")]);
    assert!(known.contains(&Name::new("b")) && !known.contains(&Name::new("a")));
}

/// Guards against a zone that gets work again because an entry that missed the evacuation sends an outdated set.
#[test]
fn an_outdated_set_changes_nothing() {
    let mut known = zones(7, &["a"]);
    for old in [zones(6, &[]), zones(7, &[]), EvacuatedZones::default()] {
        assert_eq!(known.update(&old), EvacuationChange::default());
    }
    assert!(known.contains(&Name::new("a")));
}

quickcheck! {
    /// The set with the latest revision wins, in whatever order and however often the sets arrive.
    fn the_latest_set_wins(order: Vec<u8>) -> bool {
        let mut known = EvacuatedZones::default();
        for number in &order {
            let names: Vec<String> = (0..3).filter(|bit| number >> bit & 1 == 1).map(|n| format!("z-{n}")).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            known.update(&zones(u64::from(*number), &names));
        }
        let Some(latest) = order.iter().max().copied() else {
            return !known.is_known();
        };
        let bits = (0..3).filter(|bit| latest >> bit & 1 == 1);
        let expected = bits.map(|n| Name::new(format!("z-{n}"))).collect();
        known.zones == expected && known.revision == Revision::new(0, u64::from(latest))
    }
}
