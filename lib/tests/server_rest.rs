//! Tests of the rest that backend servers ask for, and of the choice of servers meanwhile.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::routing::ServerKey;
use cicada_lib::server_load::ServerLoad;
use cicada_lib::server_rest::MAX_REST;
use cicada_lib::server_rest::RestState;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

const REST: Duration = Duration::from_secs(3);

fn millis(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn spec() -> ServiceSpec {
    ServiceSpec {
        engine: None,
        ..site::engine_service(6, 0)
    }
}

fn record(number: u8) -> ServerRecord {
    let address = SocketAddr::from(([10, 0, 0, number], 8_701));
    site::server(&format!("i-{number}"), address, "a", 6)
}

/// A fleet of as many servers, all in one availability zone.
fn fleet(servers: u8) -> Fleet {
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::from([(Name::new("a"), Name::new("region"))]),
    });
    let records: Vec<ServerRecord> = (0..servers).map(record).collect();
    fleet.replace_servers(millis(0), &records);
    fleet
}

fn choose(fleet: &Fleet, now: Time) -> Result<ServerKey, NoServer> {
    let service = Name::new("llm");
    fleet.choose(now, &PlacementRequest::new(&service, 0, 0), &spec())
}

/// Chooses a server and sends it a request, which ends at once.
fn send(fleet: &mut Fleet, now: Time) -> Result<ServerKey, NoServer> {
    let key = choose(fleet, now)?;
    let service = Name::new("llm");
    fleet.record_sent(now, key, &PlacementRequest::new(&service, 0, 0));
    fleet.record_ended(key, 0);
    Ok(key)
}

/// Guards against a server that gets requests during its rest.
#[test]
fn a_resting_server_is_left_out_until_its_time_is_over() {
    let mut fleet = fleet(2);
    let resting = choose(&fleet, millis(0)).unwrap();
    assert!(fleet.record_rest(millis(10), resting, REST, None));
    for ms in (10..3_010).step_by(100) {
        assert_ne!(send(&mut fleet, millis(ms)), Ok(resting), "at {ms} ms");
    }
    assert!(
        fleet.exclusion_wait(
            millis(1_010),
            &PlacementRequest::new(&Name::new("llm"), 0, 0),
            &spec()
        ) == Some((Exclusion::Resting, Duration::from_secs(2)))
    );
}

/// Guards against callers that wait when all servers rest, and against a time to come back before any takes work.
#[test]
fn if_all_servers_rest_the_wait_is_until_the_first_is_back() {
    let mut fleet = fleet(2);
    let first = choose(&fleet, millis(0)).unwrap();
    fleet.record_rest(millis(0), first, REST, None);
    let second = choose(&fleet, millis(1)).unwrap();
    fleet.record_rest(millis(0), second, Duration::from_secs(1), None);
    let refused = Err(NoServer::Excluded(Exclusion::Resting));
    assert_eq!(choose(&fleet, millis(400)), refused);
    let service = Name::new("llm");
    let wait = fleet.exclusion_wait(millis(400), &PlacementRequest::new(&service, 0, 0), &spec());
    assert_eq!(wait, Some((Exclusion::Resting, Duration::from_millis(600))));
    assert_eq!(choose(&fleet, millis(1_000)), Ok(second));
}

/// Guards against a server that is overloaded again by all requests at once when its rest ends.
#[test]
fn after_its_rest_a_server_gets_single_requests_until_it_accepts_one() {
    let mut rest = RestState::default();
    assert!(rest.record_request(millis(0), REST));
    assert!(rest.wait(millis(2_999)) > Duration::ZERO);
    assert!(rest.wait(millis(3_000)).is_zero());
    rest.record_sent(millis(3_000));
    assert!(rest.wait(millis(3_001)) > Duration::ZERO, "one at a time");
    assert!(rest.wait(millis(3_500)).is_zero(), "no answer came");
    rest.record_sent(millis(3_500));
    rest.record_accepted(millis(2_990));
    assert!(rest.wait(millis(3_501)) > Duration::ZERO, "sent before");
    rest.record_accepted(millis(3_500));
    assert!(rest.wait(millis(3_502)).is_zero());
}

/// Guards against a shorter rest, or an answer to a request of before, that ends a longer one.
#[test]
fn the_rest_that_ends_last_holds() {
    let mut rest = RestState::default();
    rest.record_request(millis(0), REST);
    assert!(!rest.record_request(millis(100), Duration::from_millis(500)));
    rest.record_accepted(millis(50));
    assert!(rest.is_resting(millis(2_999)));
    assert!(!rest.record_request(millis(2_000), REST));
    assert!(rest.is_resting(millis(4_999)));
    assert!(!rest.is_resting(millis(5_000)));
}

/// Guards against times of nothing and of years.
#[test]
fn extreme_times_are_bounded() {
    let mut rest = RestState::default();
    assert!(!rest.record_request(millis(0), Duration::ZERO));
    assert!(rest.wait(millis(0)).is_zero());
    rest.record_request(millis(0), Duration::from_secs(1_000_000_000));
    assert_eq!(rest.left(millis(0)), MAX_REST);
}

/// Guards against a restarted server that is left out because of the rest that its former incarnation asked for.
#[test]
fn rest_ends_with_the_incarnation() {
    let mut fleet = fleet(1);
    let key = choose(&fleet, millis(0)).unwrap();
    fleet.record_rest(millis(0), key, REST, None);
    let restarted = ServerRecord {
        born: 7,
        ..record(0)
    };
    fleet.apply_change(millis(100), &ServerChange::Put(restarted));
    assert!(choose(&fleet, millis(101)).is_ok());
}

/// Guards against a server that is used during its rest because its entry lapsed and came back meanwhile.
#[test]
fn rest_outlasts_the_entry() {
    let mut fleet = fleet(1);
    let key = choose(&fleet, millis(0)).unwrap();
    fleet.record_rest(millis(0), key, REST, None);
    fleet.apply_change(millis(500), &ServerChange::Gone(Name::new("i-0")));
    fleet.apply_change(millis(1_000), &ServerChange::Put(record(0)));
    let refused = Err(NoServer::Excluded(Exclusion::Resting));
    assert_eq!(choose(&fleet, millis(2_999)), refused);
    assert!(choose(&fleet, millis(3_000)).is_ok());
}

/// Guards against a service that is used less for good because a full server named a time of years.
#[test]
fn the_bound_of_a_full_server_ends() {
    let mut fleet = fleet(1);
    let key = choose(&fleet, millis(0)).unwrap();
    let service = Name::new("llm");
    for _ in 0..8 {
        fleet.record_sent(millis(0), key, &PlacementRequest::new(&service, 0, 0));
    }
    let years = Duration::from_secs(100_000_000);
    fleet.record_rest(millis(0), key, years, Some(ServerLoad::new(6, 2)));
    assert!(choose(&fleet, millis(1_000)).is_err());
    assert!(choose(&fleet, Time::ZERO + MAX_REST).is_ok());
}
