//! Estimated round trips and service times, and how they affect the choice between regions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::placement::Locality;
use cicada_lib::round_trips::RoundTrips;
use cicada_lib::server_load::ServerLoad;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

const MS: Duration = Duration::from_millis(1);

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn the_estimate_is_the_shortest_recent_probe() {
    let mut trips = RoundTrips::default();
    let zone = Name::new("far");
    let prior = trips.estimate(millis(0), &zone, Locality::OtherRegion);
    for (at, took) in [(1, 240), (2, 221), (3, 900), (4, 230)] {
        trips.record(millis(at), &zone, took * MS);
    }
    let estimate = trips.estimate(millis(5), &zone, Locality::OtherRegion);
    assert_eq!(estimate, 221 * MS);
    // A longer round trip is adopted once the earlier probes are dropped.
    (6..20).for_each(|at| trips.record(millis(at), &zone, 400 * MS));
    let estimate = trips.estimate(millis(20), &zone, Locality::OtherRegion);
    assert_eq!(estimate, 400 * MS);
    let forgotten = trips.estimate(millis(60_000), &zone, Locality::OtherRegion);
    assert_eq!(forgotten, prior);
    assert_eq!(
        trips.estimate(millis(5), &zone, Locality::SameZone),
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

/// A plain server with six slots in the local zone, and one in another region.
fn fleet() -> Fleet {
    let regions = ["a", "b"].map(|zone| (Name::new(zone), Name::new(format!("region-{zone}"))));
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::from(regions),
    });
    let near = site::server("near", address(0), "a", 6);
    let far = site::server("far", address(1), "b", 6);
    fleet.replace_servers(millis(0), &[near, far]);
    fleet
}

/// Number of concurrent calls that are sent to the local server before one goes to the other region.
fn local_calls(fleet: &mut Fleet) -> usize {
    let service = Name::new("llm");
    let need = PlacementRequest::new(&service, 0, 0);
    let near = fleet.key_at(address(0)).expect("listed");
    let mut count = 0;
    while count < 100 && fleet.choose(millis(10), &need, &spec()) == Ok(near) {
        fleet.record_sent(millis(10), near, &need);
        count += 1;
    }
    count
}

/// Guards against calls sent to another region although the round trip there takes longer than the local queue.
#[test]
fn a_longer_round_trip_keeps_more_calls_local() {
    let probed = |trip: Option<u32>| {
        let mut fleet = fleet();
        if let Some(trip) = trip {
            fleet.record_round_trip(millis(1), &Name::new("b"), trip * MS);
        }
        local_calls(&mut fleet)
    };
    let (unknown, short, long) = (probed(None), probed(Some(10)), probed(Some(220)));
    assert!(
        short < unknown && unknown < long,
        "{short} {unknown} {long}"
    );
}

/// Guards against a queue cost that assumes another deployment's service time: long calls overflow from a full server
/// sooner, short ones wait for a slot.
#[test]
fn a_longer_service_time_raises_the_queue_cost() {
    let calls_at = |ms: u32| {
        let mut fleet = fleet();
        let near = fleet.key_at(address(0)).expect("listed");
        (0..200)
            .for_each(|_| fleet.record_work_time(millis(1), near, ms * MS, &ServerLoad::default()));
        local_calls(&mut fleet)
    };
    let (short, long) = (calls_at(5), calls_at(150));
    assert!(short > long, "{short} {long}");
}

/// Guards against a single slow answer after which a healthy server gets no calls for a long time.
#[test]
fn one_slow_answer_does_not_divert_all_calls() {
    let mut fleet = fleet();
    let near = fleet.key_at(address(0)).expect("listed");
    (0..200).for_each(|_| fleet.record_work_time(millis(1), near, 30 * MS, &ServerLoad::default()));
    let before = local_calls(&mut fleet);
    let mut fleet = self::fleet();
    let near = fleet.key_at(address(0)).expect("listed");
    (0..200).for_each(|_| fleet.record_work_time(millis(1), near, 30 * MS, &ServerLoad::default()));
    fleet.record_work_time(millis(2), near, 6_000 * MS, &ServerLoad::default());
    assert!(local_calls(&mut fleet) + 1 >= before, "{before}");
}
