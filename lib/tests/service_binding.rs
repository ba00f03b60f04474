//! Tests of who may state the service of a backend server.

use std::collections::HashMap;
use std::net::SocketAddr;

use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::IdentityNews;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::EngineIdentity;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerRecord;
use cicada_lib::time::Time;
use testutils::site;

fn millis(at: u64) -> Time {
    Time::from_millis(at)
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8_701))
}

fn fleet() -> Fleet {
    Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::new(),
    })
}

fn record(id: &str, service: &str, born: u64) -> ServerRecord {
    ServerRecord {
        service: Name::new(service),
        born,
        ..site::server(id, address(), "a", 24)
    }
}

/// What the scout of the former service says; it knows its service from its settings.
fn stale_identity(id: &str, predecessors: &[&str], unbroken: bool) -> EngineIdentity {
    EngineIdentity {
        engine: location("drafts"),
        id: Name::new(id),
        predecessors: predecessors.iter().copied().map(Name::new).collect(),
        unbroken,
    }
}

fn location(service: &str) -> EngineLocation {
    EngineLocation {
        address: address(),
        service: Name::new(service),
        zone: Name::new("a"),
    }
}

/// The server that requests of a service go to.
fn server_of(fleet: &mut Fleet, now: Time, service: &str) -> Option<Name> {
    let service = Name::new(service);
    let request = PlacementRequest::new(&service, 100, 200);
    let key = fleet.choose(now, &request, &site::engine_service(24, 34_000));
    let record = fleet.record(key.ok()?)?;
    Some(record.id.clone())
}

/// Guards against requests that are run by another service at the address of an engine that is gone.
#[test]
fn a_scout_that_outlives_its_engine_does_not_name_the_next_service() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-d", "drafts", 1)]);
    fleet.apply_change(millis(2_200), &ServerChange::Put(record("i-h", "hymns", 2)));
    let news = fleet.apply_identity(millis(2_300), &stale_identity("i-h", &[], false), false);
    assert_eq!(news, IdentityNews::Ended);
    assert_eq!(server_of(&mut fleet, millis(2_400), "drafts"), None);
    let hymns = server_of(&mut fleet, millis(2_400), "hymns");
    assert_eq!(hymns, Some(Name::new("i-h")));
}

/// The same where the list has the new server late: until then nobody can tell its service.
#[test]
fn a_server_that_is_not_listed_yet_gets_no_requests_of_the_former_service() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-d", "drafts", 1)]);
    for directory_unreachable in [false, true] {
        let identity = stale_identity("i-h", &[], false);
        fleet.apply_identity(millis(2_300), &identity, directory_unreachable);
        let mut load = EngineLoad {
            born: Some(2),
            ..EngineLoad::default()
        };
        fleet.apply_report(millis(2_310), &location("drafts"), &load);
        load.running = 1;
        fleet.apply_load_answer(millis(2_320), &location("drafts"), &load);
        assert_eq!(server_of(&mut fleet, millis(2_400), "drafts"), None);
    }
    fleet.apply_change(millis(2_500), &ServerChange::Put(record("i-h", "hymns", 2)));
    assert_eq!(server_of(&mut fleet, millis(2_600), "drafts"), None);
    assert!(server_of(&mut fleet, millis(2_600), "hymns").is_some());
}

/// Guards against the list's word being given up for a scout's while the directory is unreachable.
#[test]
fn a_server_that_was_listed_under_another_service_keeps_it_while_the_directory_is_away() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-h", "hymns", 1)]);
    fleet.apply_change(millis(10), &ServerChange::Gone(Name::new("i-h")));
    fleet.apply_change(millis(20), &ServerChange::Put(record("i-d", "drafts", 2)));
    let news = fleet.apply_identity(millis(30), &stale_identity("i-h", &[], true), true);
    assert_eq!(news, IdentityNews::Ended);
    assert_eq!(server_of(&mut fleet, millis(40), "drafts"), None);
}

/// A request finds another server at the address, whose scout has not been heard since: its service is unknown.
#[test]
fn a_server_that_a_request_has_found_is_not_taken_for_one_of_the_service() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-d", "drafts", 1)]);
    let load = EngineLoad {
        born: Some(1),
        ..EngineLoad::default()
    };
    fleet.apply_report(millis(10), &location("drafts"), &load);
    let key = fleet.key_at(address()).unwrap();
    let next = EngineLoad {
        born: Some(2),
        ..EngineLoad::default()
    };
    fleet.apply_report(millis(2_300), &location("drafts"), &next);
    fleet.record_mismatch(millis(2_310), key, &Name::new("i-h"));
    fleet.apply_report(millis(2_340), &location("drafts"), &next);
    assert_eq!(server_of(&mut fleet, millis(2_400), "drafts"), None);
}

/// The scout's report of a listed server of another service must not bring that server the former service's requests.
#[test]
fn a_request_that_finds_a_listed_server_of_another_service_does_not_move_it() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-d", "drafts", 0)]);
    let key = fleet.key_at(address()).unwrap();
    fleet.apply_change(millis(5), &ServerChange::Put(record("i-h", "hymns", 2)));
    fleet.apply_report(millis(10), &location("drafts"), &EngineLoad::default());
    fleet.record_mismatch(millis(20), key, &Name::new("i-h"));
    assert_eq!(server_of(&mut fleet, millis(30), "drafts"), None);
    assert!(server_of(&mut fleet, millis(30), "hymns").is_some());
}

/// Guards against the run of one service being resumed at a server of another one, to which a scout has moved it.
#[test]
fn a_moved_run_does_not_go_to_a_server_of_another_service() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-h", "hymns", 1)]);
    let key = fleet.key_for_moved_run(millis(1), &location("drafts"));
    assert_eq!(key, None);
}

/// An engine that restarts quickly is used at once, also after a request has found it and while the directory is away.
#[test]
fn an_engine_of_the_same_service_that_restarts_is_used_at_once() {
    for directory_unreachable in [false, true] {
        let mut fleet = fleet();
        fleet.replace_servers(millis(0), &[record("i-1", "drafts", 1)]);
        let second = stale_identity("i-2", &["i-1"], true);
        fleet.apply_identity(millis(10), &second, directory_unreachable);
        let used = server_of(&mut fleet, millis(20), "drafts");
        assert_eq!(used, Some(Name::new("i-2")));
        let key = fleet.key_at(address()).unwrap();
        fleet.record_mismatch(millis(3_000), key, &Name::new("i-3"));
        let third = stale_identity("i-3", &["i-1", "i-2"], true);
        fleet.apply_identity(millis(3_010), &third, directory_unreachable);
        let used = server_of(&mut fleet, millis(3_020), "drafts");
        assert_eq!(used, Some(Name::new("i-3")));
    }
}

/// All hosts restart while the directory is unreachable: only the settings of the scouts tell the service.
#[test]
fn engines_are_used_after_a_power_loss_without_the_directory() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-1", "drafts", 1)]);
    let restarted = stale_identity("i-2", &[], true);
    let news = fleet.apply_identity(millis(10), &restarted, true);
    assert_eq!(news, IdentityNews::Replaced);
    let used = server_of(&mut fleet, millis(20), "drafts");
    assert_eq!(used, Some(Name::new("i-2")));
    // The list goes before.
    fleet.apply_change(millis(900), &ServerChange::Put(record("i-2", "hymns", 2)));
    assert_eq!(server_of(&mut fleet, millis(910), "drafts"), None);
}

/// An address goes to another service and back. Each server gets the requests of its own service alone.
#[test]
fn an_address_goes_to_another_service_and_back() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record("i-d", "drafts", 1)]);
    fleet.apply_change(millis(2_200), &ServerChange::Put(record("i-h", "hymns", 2)));
    fleet.apply_identity(millis(2_210), &stale_identity("i-h", &[], false), false);
    fleet.apply_change(millis(3_600), &ServerChange::Gone(Name::new("i-d")));
    fleet.apply_change(
        millis(5_000),
        &ServerChange::Put(record("i-e", "drafts", 3)),
    );
    fleet.apply_identity(millis(5_010), &stale_identity("i-e", &[], false), false);
    let used = server_of(&mut fleet, millis(5_100), "drafts");
    assert_eq!(used, Some(Name::new("i-e")));
    assert_eq!(server_of(&mut fleet, millis(5_100), "hymns"), None);
}

/// An engine that only its scout announced is not guarded by an identifier. It is not used once the scout is silent.
#[test]
fn an_announced_engine_that_never_reports_is_removed() {
    let mut fleet = fleet();
    fleet.add_announced(millis(0), &location("drafts"));
    fleet.remove_silent_engines(millis(1_000));
    assert!(server_of(&mut fleet, millis(1_000), "drafts").is_some());
    fleet.remove_silent_engines(millis(1_300));
    assert_eq!(server_of(&mut fleet, millis(1_300), "drafts"), None);
}
