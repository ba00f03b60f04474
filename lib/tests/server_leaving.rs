//! Tests of servers that are leaving while the directory does not show it.

use std::collections::HashMap;
use std::net::SocketAddr;

use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::routing::ServerKey;
use cicada_lib::server_leaving::LeavingSource;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerPhase;
use cicada_lib::site::ServerRecord;
use cicada_lib::time::Time;
use testutils::site;

fn fleet() -> Fleet {
    let regions = ["a", "b"].map(|zone| (Name::new(zone), Name::new("region")));
    Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::from(regions),
    })
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_701))
}

fn record(number: u8) -> ServerRecord {
    let zone = if number == 0 { "a" } else { "b" };
    site::server(&format!("i-{number}"), address(number), zone, 24)
}

fn choose(fleet: &Fleet, now: Time) -> Result<ServerKey, NoServer> {
    let service = Name::new("llm");
    let spec = site::engine_service(24, 34_000);
    fleet.choose(now, &PlacementRequest::new(&service, 100, 200), &spec)
}

fn chosen(fleet: &Fleet, now: Time) -> Option<String> {
    let key = choose(fleet, now).ok()?;
    fleet.record(key).map(|record| record.id.to_string())
}

fn millis(ms: u64) -> Time {
    Time::ZERO + std::time::Duration::from_millis(ms)
}

/// Two servers, of which the nearer one has stated that it is leaving.
fn fleet_with_leaving_server() -> Fleet {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record(0), record(1)]);
    let near = choose(&fleet, millis(1)).unwrap();
    assert!(fleet.record_leaving(millis(2), near, LeavingSource::Answer));
    assert!(!fleet.record_leaving(millis(3), near, LeavingSource::Scout));
    fleet
}

/// Guards against new requests to a server that the directory still lists as ready.
#[test]
fn a_statement_takes_effect_at_once() {
    let fleet = fleet_with_leaving_server();
    assert_eq!(chosen(&fleet, millis(4)).as_deref(), Some("i-1"));
    let leaving: Vec<(String, LeavingSource)> = fleet
        .leaving_servers()
        .map(|(record, leaving)| (record.id.to_string(), leaving.source))
        .collect();
    assert_eq!(leaving, [("i-0".to_string(), LeavingSource::Answer)]);
}

/// Guards against a leaving server that an older entry, a list that is read anew or a rollback makes usable again.
#[test]
fn lists_do_not_revoke_a_statement() {
    let mut fleet = fleet_with_leaving_server();
    fleet.apply_change(millis(10), &ServerChange::Put(record(0)));
    assert_eq!(chosen(&fleet, millis(11)).as_deref(), Some("i-1"));
    fleet.replace_servers(millis(20), &[record(0), record(1)]);
    assert_eq!(chosen(&fleet, millis(21)).as_deref(), Some("i-1"));
    fleet.directory_rolled_back(millis(30));
    fleet.merge_servers(millis(31), &[record(0), record(1)]);
    assert_eq!(chosen(&fleet, millis(32)).as_deref(), Some("i-1"));
}

/// Guards against entries that learn the list from this one and use a server that this one knows to be leaving.
#[test]
fn a_statement_is_passed_on_with_the_list() {
    let fleet = fleet_with_leaving_server();
    let draining = fleet.servers().filter(|r| r.phase == ServerPhase::Draining);
    let draining: Vec<String> = draining.map(|record| record.id.to_string()).collect();
    assert_eq!(draining, ["i-0"]);
}

/// Guards against a server that stays unused for good after it has restarted under its identifier.
#[test]
fn a_statement_ends_with_the_incarnation() {
    let mut fleet = fleet_with_leaving_server();
    let restarted = ServerRecord {
        born: 7,
        ..record(0)
    };
    fleet.apply_change(millis(10), &ServerChange::Put(restarted));
    assert_eq!(chosen(&fleet, millis(11)).as_deref(), Some("i-0"));
}

/// Guards against a healthy server that is taken for leaving because of the server that used its address before.
#[test]
fn a_statement_of_another_server_concerns_that_server_only() {
    let mut fleet = fleet();
    fleet.replace_servers(millis(0), &[record(0), record(1)]);
    let other = Name::new("i-9");
    assert!(!fleet.record_leaving_id(millis(1), &other, LeavingSource::Answer));
    assert_eq!(chosen(&fleet, millis(2)).as_deref(), Some("i-0"));
    assert!(fleet.record_leaving_id(millis(3), &Name::new("i-0"), LeavingSource::Answer));
    assert_eq!(chosen(&fleet, millis(4)).as_deref(), Some("i-1"));
}

/// Guards against callers that wait for a server although all that are left are leaving.
#[test]
fn without_other_servers_the_choice_fails() {
    let mut fleet = fleet_with_leaving_server();
    fleet.apply_change(millis(10), &ServerChange::Gone(Name::new("i-1")));
    assert_eq!(choose(&fleet, millis(11)), Err(NoServer::None));
}

/// Guards against a leaving server that is used again because its entry lapsed and is back from before.
#[test]
fn a_statement_outlasts_the_entry() {
    let mut fleet = fleet_with_leaving_server();
    fleet.apply_change(millis(10), &ServerChange::Gone(Name::new("i-0")));
    fleet.apply_change(millis(4_000), &ServerChange::Put(record(0)));
    assert_eq!(chosen(&fleet, millis(4_001)).as_deref(), Some("i-1"));
    let restarted = ServerRecord {
        born: 7,
        ..record(0)
    };
    fleet.apply_change(millis(5_000), &ServerChange::Put(restarted));
    assert_eq!(chosen(&fleet, millis(5_001)).as_deref(), Some("i-0"));
}

/// Guards against a statement that is forgotten with the entry because it was made long before the entry lapsed.
#[test]
fn an_early_statement_outlasts_the_entry() {
    let mut fleet = fleet_with_leaving_server();
    fleet.apply_change(millis(60_000), &ServerChange::Gone(Name::new("i-0")));
    fleet.apply_change(millis(61_000), &ServerChange::Put(record(0)));
    assert_eq!(chosen(&fleet, millis(61_001)).as_deref(), Some("i-1"));
}

/// Guards against entries that each learn only from their own requests that a server is leaving.
#[test]
fn a_statement_is_reported_to_other_entries_for_a_while() {
    let near = fleet_with_leaving_server();
    let reports = near.leaving_reports(millis(100));
    assert_eq!(reports.len(), 1);
    let mut other = fleet();
    other.replace_servers(millis(0), &[record(0), record(1)]);
    let new = other.apply_leaving_reports(millis(100), &reports);
    assert_eq!(new, [Name::new("i-0")]);
    assert!(
        other
            .apply_leaving_reports(millis(101), &reports)
            .is_empty()
    );
    assert_eq!(chosen(&other, millis(102)).as_deref(), Some("i-1"));
    assert_eq!(other.leaving_reports(millis(102)).len(), 1, "passed on");
    assert!(near.leaving_reports(millis(10_000)).is_empty());
    assert!(other.leaving_reports(millis(10_000)).is_empty());
}

/// Guards against a restarted server that another entry's report of its former incarnation takes out of use.
#[test]
fn a_report_concerns_its_incarnation_only() {
    let reports = fleet_with_leaving_server().leaving_reports(millis(100));
    let mut other = fleet();
    let restarted = ServerRecord {
        born: 7,
        ..record(0)
    };
    other.replace_servers(millis(0), &[restarted, record(1)]);
    assert!(
        other
            .apply_leaving_reports(millis(100), &reports)
            .is_empty()
    );
    assert_eq!(chosen(&other, millis(102)).as_deref(), Some("i-0"));
}

/// Guards against an entry that lists a server only after another entry reported that it is leaving.
#[test]
fn a_report_that_comes_before_the_list_holds() {
    let reports = fleet_with_leaving_server().leaving_reports(millis(100));
    let mut other = fleet();
    assert!(
        other
            .apply_leaving_reports(millis(100), &reports)
            .is_empty()
    );
    other.replace_servers(millis(200), &[record(0), record(1)]);
    assert_eq!(chosen(&other, millis(201)).as_deref(), Some("i-1"));
}

/// Guards against an engine that stays unused because the one before at its address, which no list had, was leaving.
#[test]
fn an_announced_engine_does_not_inherit_its_predecessors_leaving() {
    let mut fleet = fleet();
    let engine = EngineLocation {
        address: address(0),
        service: Name::new("llm"),
        zone: Name::new("a"),
    };
    let leaving = EngineLoad {
        leaving: true,
        ..EngineLoad::default()
    };
    assert!(fleet.add_announced(millis(0), &engine));
    assert!(fleet.apply_report(millis(100), &engine, &leaving));
    fleet.remove_silent_engines(millis(5_000));
    assert!(fleet.add_announced(millis(6_000), &engine));
    assert!(chosen(&fleet, millis(6_001)).is_some());
}
