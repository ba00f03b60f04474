//! How far other availability zones are away, and where calls go by that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Need;
use cicada_lib::fleet::Place;
use cicada_lib::ids::Name;
use cicada_lib::placement::Reach;
use cicada_lib::round_trips::RoundTrips;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

const MS: Duration = Duration::from_millis(1);

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn the_least_of_the_latest_probes_counts() {
    let mut trips = RoundTrips::default();
    let zone = Name::new("far");
    let prior = trips.estimate(millis(0), &zone, Reach::Far);
    for (at, took) in [(1, 240), (2, 221), (3, 900), (4, 230)] {
        trips.answered(millis(at), &zone, took * MS);
    }
    let estimate = trips.estimate(millis(5), &zone, Reach::Far);
    assert_eq!(estimate, 221 * MS);
    // A way that has become longer is believed once the former probes are gone.
    (6..20).for_each(|at| trips.answered(millis(at), &zone, 400 * MS));
    let estimate = trips.estimate(millis(20), &zone, Reach::Far);
    assert_eq!(estimate, 400 * MS);
    let forgotten = trips.estimate(millis(60_000), &zone, Reach::Far);
    assert_eq!(forgotten, prior);
    assert_eq!(
        trips.estimate(millis(5), &zone, Reach::Zone),
        Duration::ZERO
    );
}

fn spec() -> ServiceSpec {
    ServiceSpec {
        engine: None,
        ..site::engine_service(6, 1)
    }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_701))
}

/// A plain server with six places here, and one in another region.
fn fleet() -> Fleet {
    let regions = ["a", "b"].map(|zone| (Name::new(zone), Name::new(format!("region-{zone}"))));
    let mut fleet = Fleet::new(Place {
        zone: Name::new("a"),
        regions: HashMap::from(regions),
    });
    let near = site::server("near", address(0), "a", 6);
    let far = site::server("far", address(1), "b", 6);
    fleet.set_all(millis(0), &[near, far]);
    fleet
}

/// Calls that stay here of those that come at once, before one goes to the other region.
fn kept_here(fleet: &mut Fleet) -> usize {
    let service = Name::new("llm");
    let need = Need::new(&service, 0, 0);
    let near = fleet.key_at(address(0)).expect("listed");
    let mut kept = 0;
    while kept < 100 && fleet.choose(millis(10), &need, &spec()) == Ok(near) {
        fleet.started(millis(10), near, &need);
        kept += 1;
    }
    kept
}

/// Guards against calls that leave for a region whose way alone takes longer than the queue here.
#[test]
fn a_longer_way_keeps_more_calls_here() {
    let probed = |trip: Option<u32>| {
        let mut fleet = fleet();
        if let Some(trip) = trip {
            fleet.probed(millis(1), &Name::new("b"), trip * MS);
        }
        kept_here(&mut fleet)
    };
    let (unknown, short, long) = (probed(None), probed(Some(10)), probed(Some(220)));
    assert!(
        short < unknown && unknown < long,
        "{short} {unknown} {long}"
    );
}

/// Guards against a queue that is priced by another deployment's work: calls that take long leave a full server
/// sooner, short ones wait for a place.
#[test]
fn longer_work_makes_a_queue_dearer() {
    let worked = |ms: u32| {
        let mut fleet = fleet();
        let near = fleet.key_at(address(0)).expect("listed");
        (0..200).for_each(|_| fleet.worked(millis(1), near, ms * MS));
        kept_here(&mut fleet)
    };
    let (short, long) = (worked(5), worked(150));
    assert!(short > long, "{short} {long}");
}

/// Guards against one answer that hangs, after which a sound server would get nothing for long.
#[test]
fn one_late_answer_does_not_empty_a_server() {
    let mut fleet = fleet();
    let near = fleet.key_at(address(0)).expect("listed");
    (0..200).for_each(|_| fleet.worked(millis(1), near, 30 * MS));
    let before = kept_here(&mut fleet);
    let mut fleet = self::fleet();
    let near = fleet.key_at(address(0)).expect("listed");
    (0..200).for_each(|_| fleet.worked(millis(1), near, 30 * MS));
    fleet.worked(millis(2), near, 6_000 * MS);
    assert!(kept_here(&mut fleet) + 1 >= before, "{before}");
}
