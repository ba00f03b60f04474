//! Tests of the choice of a backend server under the load patterns that the fleet is designed for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::IdentityNews;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::EngineIdentity;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::residency::ANY_REGION;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::revision::Revision;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerPhase;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use cicada_lib::zone_evacuation::EvacuatedZones;
use testutils::site;

const CAPACITY: u64 = 34_000;
const REQUEST_TOKENS: u64 = 4_000;
const PROMPT_TOKENS: u64 = 3_000;

fn spec() -> ServiceSpec {
    site::engine_service(24, CAPACITY)
}

fn plain() -> ServiceSpec {
    ServiceSpec {
        engine: None,
        ..spec()
    }
}

fn fleet(zone: &str) -> Fleet {
    let regions = ["a", "b", "c"].map(|z| (Name::new(z), Name::new(format!("region-{z}"))));
    Fleet::new(Location {
        zone: Name::new(zone),
        regions: HashMap::from(regions),
    })
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8_701))
}

fn record(number: u16, zone: &str) -> ServerRecord {
    site::server(&format!("i-{number}"), address(number), zone, 24)
}

fn here(number: u16, zone: &str) -> EngineLocation {
    EngineLocation {
        address: address(number),
        service: Name::new("llm"),
        zone: Name::new(zone),
    }
}

/// What the scout of an engine says after it has seen `predecessors` there, each shortly before the next.
fn identity(here: EngineLocation, predecessors: &[&str], id: &str) -> EngineIdentity {
    EngineIdentity {
        engine: here,
        id: Name::new(id),
        predecessors: predecessors.iter().copied().map(Name::new).collect(),
        unbroken: true,
    }
}

fn report(used: u64, running: u32) -> EngineLoad {
    EngineLoad {
        running,
        used,
        peak_tokens: used + u64::from(running) * 400,
        capacity: CAPACITY,
        ..EngineLoad::default()
    }
}

fn request<'a>(service: &'a Name, tried: &'a [ServerKey]) -> PlacementRequest<'a> {
    PlacementRequest {
        tried,
        ..PlacementRequest::new(service, PROMPT_TOKENS, REQUEST_TOKENS)
    }
}

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Sends a request and returns the identifier of the chosen engine.
fn send(fleet: &mut Fleet, now: Time) -> Result<String, NoServer> {
    let service = Name::new("llm");
    let request = request(&service, &[]);
    let key = fleet.choose(now, &request, &spec())?;
    fleet.record_sent(now, key, &request);
    Ok(fleet
        .record(key)
        .map(|r| r.id.to_string())
        .unwrap_or_default())
}

/// Load pattern: a series of long requests, as many as the memory of all engines holds. If they were
/// placed by count alone, several would meet at an engine that ran short ones before.
#[test]
fn long_requests_fill_the_engines_evenly() {
    let mut fleet = fleet("a");
    let records: Vec<ServerRecord> = (0..4).map(|n| record(n, "a")).collect();
    fleet.replace_servers(millis(0), &records);
    fleet.apply_report(millis(0), &here(0, "a"), &report(16_000, 4));
    let mut counts: HashMap<String, u64> = HashMap::new();
    for number in 0..20 {
        let now = millis(1_000 * number);
        let id = send(&mut fleet, now).unwrap();
        *counts.entry(id.clone()).or_default() += 1;
        let first = counts.get("i-0").copied().unwrap_or_default();
        let reported = report(16_000 + first * REQUEST_TOKENS, 4 + first as u32);
        let engine = fleet.key_at(address(id.trim_start_matches("i-").parse().unwrap()));
        fleet.record_prefill_end(engine.unwrap(), PROMPT_TOKENS);
        fleet.apply_report(now + Duration::from_millis(500), &here(0, "a"), &reported);
    }
    let first = counts.get("i-0").copied().unwrap_or_default();
    assert!(
        first <= 3,
        "the engine that was half full got {first} of 20"
    );
    assert!(counts.values().all(|count| *count <= 8), "{counts:?}");
}

/// Load pattern: one availability zone is so full that its engines could not take over the runs of one
/// of them, which may leave at any time, while another region has free memory. Without the headroom
/// cost a request stays near and is lost with the next engine that leaves.
#[test]
fn a_zone_without_headroom_sends_requests_to_another_region() {
    let mut fleet = fleet("a");
    let records = [
        record(0, "a"),
        record(1, "a"),
        record(2, "b"),
        record(3, "b"),
        record(4, "b"),
    ];
    fleet.replace_servers(millis(0), &records);
    for (number, zone, used) in [
        (0, "a", 17_000),
        (1, "a", 17_000),
        (2, "b", 9_000),
        (3, "b", 9_000),
    ] {
        fleet.apply_report(millis(0), &here(number, zone), &report(used, 4));
    }
    fleet.apply_report(millis(0), &here(4, "b"), &report(9_000, 2));
    let id = send(&mut fleet, millis(10)).unwrap();
    assert!(
        ["i-2", "i-3", "i-4"].contains(&id.as_str()),
        "it went to {id}"
    );
}

#[test]
fn a_zone_with_headroom_keeps_its_requests() {
    let mut fleet = fleet("a");
    let records: Vec<ServerRecord> = (0..4)
        .map(|n| record(n, "a"))
        .chain((4..8).map(|n| record(n, "b")))
        .collect();
    fleet.replace_servers(millis(0), &records);
    for number in 0..8 {
        let zone = if number < 4 { "a" } else { "b" };
        fleet.apply_report(millis(0), &here(number, zone), &report(10_000, 3));
    }
    let id = send(&mut fleet, millis(10)).unwrap();
    assert!(
        ["i-0", "i-1", "i-2", "i-3"].contains(&id.as_str()),
        "it went to {id}"
    );
}

/// Load pattern: five entries receive the same report of a new, empty engine. Unless they are notified of
/// each other's requests, all of them send there, and the prompts are processed one after the other.
#[test]
fn entries_that_share_sent_requests_spread_over_engines() {
    let mut fleets: Vec<Fleet> = (0..5).map(|_| fleet("a")).collect();
    let records: Vec<ServerRecord> = (0..4).map(|n| record(n, "a")).collect();
    for fleet in &mut fleets {
        fleet.replace_servers(millis(0), &records);
        for number in 0..4 {
            let used = if number == 3 { 0 } else { 6_000 };
            fleet.apply_report(millis(0), &here(number, "a"), &report(used, 2));
        }
    }
    let mut counts: HashMap<String, u32> = HashMap::new();
    for entry in 0..5 {
        let now = millis(10 + entry as u64);
        let id = send(&mut fleets[entry], now).unwrap();
        let number: u16 = id.trim_start_matches("i-").parse().unwrap();
        for (other, fleet) in fleets.iter_mut().enumerate() {
            if other != entry {
                fleet.record_sent_elsewhere(now, address(number), PROMPT_TOKENS, REQUEST_TOKENS);
            }
        }
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count <= 2), "{counts:?}");
}

#[test]
fn a_leaving_or_removed_server_gets_no_new_requests() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "a")]);
    let mut draining = record(0, "a");
    draining.phase = ServerPhase::Draining;
    fleet.apply_change(millis(1), &ServerChange::Put(draining));
    for _ in 0..10 {
        assert_eq!(send(&mut fleet, millis(2)).unwrap(), "i-1");
    }
    fleet.apply_change(millis(3), &ServerChange::Gone(Name::new("i-1")));
    assert_eq!(send(&mut fleet, millis(4)), Err(NoServer::None));
}

/// An engine reports that it is leaving before the list does. An older list entry, which says that it
/// is ready, must not make it usable again.
#[test]
fn an_older_list_entry_does_not_revive_a_leaving_server() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "a")]);
    let mut leaving = report(0, 0);
    leaving.leaving = true;
    assert!(
        fleet.apply_report(millis(1), &here(0, "a"), &leaving),
        "the first sign of it"
    );
    fleet.apply_change(millis(2), &ServerChange::Put(record(0, "a")));
    assert_eq!(send(&mut fleet, millis(3)).unwrap(), "i-1");
    assert_eq!(send(&mut fleet, millis(3)).unwrap(), "i-1");
}

/// A server restarts under the same identifier: requests of the previous incarnation are lost.
#[test]
fn another_incarnation_under_the_same_identifier_is_another_server() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a")]);
    let service = Name::new("llm");
    let before = fleet
        .choose(millis(1), &request(&service, &[]), &spec())
        .unwrap();
    fleet.record_sent(millis(1), before, &request(&service, &[]));
    let mut restarted = record(0, "a");
    restarted.born = 2;
    fleet.apply_change(millis(2), &ServerChange::Put(restarted));
    assert!(fleet.leaving_since(before).is_some());
    let after = fleet
        .choose(millis(3), &request(&service, &[]), &spec())
        .unwrap();
    assert_ne!(before, after);
    assert!(fleet.leaving_since(after).is_none());
}

#[test]
fn an_unreachable_server_is_backed_off_and_retried() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "a")]);
    let service = Name::new("llm");
    let key = fleet
        .choose(millis(0), &request(&service, &[]), &spec())
        .unwrap();
    fleet.record_failure(millis(0), key, true);
    let lost = fleet.record(key).map(|r| r.id.to_string()).unwrap();
    for _ in 0..3 {
        assert_ne!(send(&mut fleet, millis(10)).unwrap(), lost);
    }
    let retried = (0..8).any(|_| send(&mut fleet, millis(5_000)).unwrap() == lost);
    assert!(retried, "it was never retried");
}

/// While the directory is unavailable an engine is known only from its scout. Once the list has it, it
/// must count as the same engine, so that its requests continue.
#[test]
fn an_announced_engine_keeps_its_requests_once_it_is_listed() {
    let mut fleet = fleet("a");
    assert!(fleet.add_announced(millis(0), &here(0, "a")));
    assert!(
        !fleet.add_announced(millis(1), &here(0, "a")),
        "it is known already"
    );
    let service = Name::new("llm");
    let key = fleet
        .choose(millis(2), &request(&service, &[]), &spec())
        .unwrap();
    assert_eq!(
        Fleet::expected_id(fleet.record(key).unwrap()),
        Name::default()
    );
    fleet.record_sent(millis(2), key, &request(&service, &[]));
    fleet.replace_servers(millis(3), &[record(0, "a")]);
    assert!(fleet.leaving_since(key).is_none());
    assert_eq!(fleet.record(key).unwrap().id, Name::new("i-0"));
}

#[test]
fn an_announced_engine_whose_scout_falls_silent_is_removed() {
    let mut fleet = fleet("a");
    fleet.add_announced(millis(0), &here(0, "a"));
    fleet.apply_report(millis(100), &here(0, "a"), &report(0, 0));
    fleet.remove_silent_engines(millis(500));
    assert!(send(&mut fleet, millis(600)).is_ok());
    fleet.remove_silent_engines(millis(5_000));
    assert_eq!(send(&mut fleet, millis(5_100)), Err(NoServer::None));
}

/// Engines restarted under new identifiers, while the list still names the old ones. A request finds the new engine at
/// the address, and its scout tells that it has directly followed the listed one. A report alone tells no service.
#[test]
fn an_engine_found_in_place_of_another_serves_before_the_list_has_it() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a")]);
    let service = Name::new("llm");
    let key = fleet
        .choose(millis(1), &request(&service, &[]), &spec())
        .unwrap();
    fleet.record_mismatch(millis(2), key, &Name::new("i-new"));
    assert_eq!(send(&mut fleet, millis(3)), Err(NoServer::None));
    fleet.apply_report(millis(4), &here(0, "a"), &report(0, 0));
    assert_eq!(send(&mut fleet, millis(4)), Err(NoServer::None));
    let restarted = identity(here(0, "a"), &["i-0"], "i-new");
    fleet.apply_identity(millis(4), &restarted, false);
    fleet.apply_report(millis(4), &here(0, "a"), &report(0, 0));
    assert_eq!(send(&mut fleet, millis(5)).unwrap(), "i-new");
    // Without a recent scout report the address may belong to another service by now.
    let key = fleet.key_at(address(0)).unwrap();
    fleet.record_mismatch(millis(3_006), key, &Name::new("i-newer"));
    assert_eq!(send(&mut fleet, millis(3_007)), Err(NoServer::None));
    fleet.apply_report(millis(9_000), &here(0, "a"), &report(0, 0));
    assert_eq!(
        send(&mut fleet, millis(9_001)),
        Err(NoServer::None),
        "the observation is too old"
    );
}

/// Load pattern: a burst of plain calls. They stay near while there is a free slot, and go to another
/// region only when queueing would take longer than the round trip.
#[test]
fn plain_calls_stay_near_until_the_queue_outweighs_the_round_trip() {
    let mut fleet = fleet("a");
    let mut near = record(0, "a");
    near.slots = 6;
    let mut far = record(1, "b");
    far.slots = 6;
    fleet.replace_servers(millis(0), &[near, far]);
    let service = Name::new("llm");
    let request = PlacementRequest::new(&service, 0, 0);
    let mut went = Vec::new();
    for _ in 0..12 {
        let key = fleet.choose(millis(1), &request, &plain()).unwrap();
        fleet.record_sent(millis(1), key, &request);
        went.push(fleet.record(key).unwrap().id.to_string());
    }
    assert!(went[..6].iter().all(|id| id == "i-0"), "{went:?}");
    assert!(went[6..].iter().any(|id| id == "i-1"), "{went:?}");
}

/// Engines restarted under new identifiers, and the scout reported before a request found the new one:
/// the request goes to it at once. The list still names the previous incarnation when it is read again;
/// if that were revived, each request would have to find out anew.
#[test]
fn an_ended_incarnation_is_not_revived_by_the_list() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a")]);
    fleet.apply_report(millis(1), &here(0, "a"), &report(5_000, 2));
    let key = fleet.key_at(address(0)).unwrap();
    fleet.record_mismatch(millis(2), key, &Name::new("i-new"));
    assert_eq!(send(&mut fleet, millis(3)).unwrap(), "i-new");
    let key = fleet.key_at(address(0)).unwrap();
    assert!(
        fleet.memory_use(millis(3), key).0 > 5_000,
        "the scout's report is kept"
    );
    fleet.replace_servers(millis(500), &[record(0, "a")]);
    fleet.apply_change(millis(600), &ServerChange::Put(record(0, "a")));
    assert_eq!(send(&mut fleet, millis(700)).unwrap(), "i-new");
    // By now the list should have it.
    fleet.replace_servers(millis(6_000), &[]);
    assert_eq!(send(&mut fleet, millis(6_001)), Err(NoServer::None));
    // Another incarnation under the first identifier is not the one that ended.
    let mut restarted = record(0, "a");
    restarted.born = 2;
    fleet.apply_change(millis(6_100), &ServerChange::Put(restarted));
    assert_eq!(send(&mut fleet, millis(6_200)).unwrap(), "i-0");
}

/// An engine restarted. The scout reports its new identifier before any request finds it out.
#[test]
fn a_scout_reports_an_incarnation_before_the_list_has_it() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "a")]);
    let id = Name::new("i-new");
    let restarted = identity(here(0, "a"), &["i-0"], "i-new");
    let news = fleet.apply_identity(millis(1), &restarted, false);
    assert_eq!(news, IdentityNews::Replaced);
    let news = fleet.apply_identity(millis(2), &restarted, false);
    assert_eq!(news, IdentityNews::Known);
    let key = fleet.key_at(address(0)).unwrap();
    assert_eq!(fleet.record(key).unwrap().id, id);
    fleet.replace_servers(millis(10), &[record(0, "a"), record(1, "a")]);
    assert_eq!(fleet.servers().count(), 2);
    // Once listed, it is removed when the list says so.
    let mut listed = record(0, "a");
    listed.id = id.clone();
    listed.born = 9;
    fleet.apply_change(millis(900), &ServerChange::Put(listed));
    assert_eq!(fleet.key_at(address(0)), Some(key), "the same incarnation");
    fleet.apply_change(millis(1_000), &ServerChange::Gone(id));
    assert!(fleet.key_at(address(0)).is_none());
}

/// An engine that leaves without announcing it is removed from the list and keeps running. Its scout's
/// identity report must not make it usable again, and a scout of another service must not identify it.
#[test]
fn a_scout_does_not_revive_an_engine_that_was_removed_from_the_list() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a")]);
    fleet.apply_change(millis(1), &ServerChange::Gone(Name::new("i-0")));
    let removed = identity(here(0, "a"), &[], "i-0");
    let news = fleet.apply_identity(millis(2), &removed, false);
    assert_eq!(news, IdentityNews::Known);
    assert_eq!(send(&mut fleet, millis(3)), Err(NoServer::None));
    fleet.apply_change(millis(4), &ServerChange::Put(record(1, "a")));
    let mut other = here(1, "a");
    other.service = Name::new("other");
    let news = fleet.apply_identity(millis(5), &identity(other, &[], "i-x"), false);
    assert_eq!(
        news,
        IdentityNews::Ended,
        "another server is at the address"
    );
    assert_eq!(send(&mut fleet, millis(6)), Err(NoServer::None));
}

/// The caller that requests reports of new engines gets each address once.
#[test]
fn added_engines_are_returned_once() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "a")]);
    assert_eq!(fleet.take_added_addresses().len(), 2);
    fleet.replace_servers(millis(1), &[record(0, "a"), record(2, "a")]);
    assert_eq!(fleet.take_added_addresses(), [address(2)]);
    assert!(fleet.take_added_addresses().is_empty());
}

/// A scout moves a run to an engine that this entry does not know. Only that run may go there; and no
/// run may go to an engine that was removed from the list.
#[test]
fn a_moved_run_may_go_to_an_unlisted_engine() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "a")]);
    let service = Name::new("llm");
    let key = fleet.key_for_moved_run(millis(1), &here(2, "a")).unwrap();
    fleet.record_sent(millis(1), key, &request(&service, &[]));
    assert_eq!(
        Fleet::expected_id(fleet.record(key).unwrap()),
        Name::default(),
        "its identifier is unknown"
    );
    fleet.replace_servers(millis(2), &[]);
    assert_eq!(send(&mut fleet, millis(3)), Err(NoServer::None));
    fleet.record_ended(key, request(&service, &[]).tokens);
    assert!(fleet.record(key).is_none(), "it is removed");
    assert!(
        fleet.key_for_moved_run(millis(4), &here(1, "a")).is_none(),
        "it was removed from the list"
    );
    fleet.replace_servers(millis(5), &[record(1, "a")]);
    let listed = fleet.key_at(address(1));
    assert_eq!(fleet.key_for_moved_run(millis(6), &here(1, "a")), listed);
}

/// Servers are chosen by reports only if these are frequent. A relay without engines in its region
/// considers the reports of other regions.
#[test]
fn infrequent_reports_are_too_sparse() {
    let service = Name::new("llm");
    let frequent = report(0, 0);
    let infrequent = EngineLoad {
        interval_ms: 500,
        ..report(0, 0)
    };
    let mut near = fleet("a");
    near.replace_servers(millis(0), &[record(0, "a"), record(1, "b")]);
    assert!(near.reports_too_sparse(millis(1), &service, &ANY_REGION));
    near.apply_report(millis(1), &here(0, "a"), &frequent);
    near.apply_report(millis(1), &here(1, "b"), &infrequent);
    assert!(!near.reports_too_sparse(millis(2), &service, &ANY_REGION));
    near.apply_report(millis(3), &here(0, "a"), &infrequent);
    assert!(near.reports_too_sparse(millis(4), &service, &ANY_REGION));
    let mut far = fleet("c");
    far.replace_servers(millis(0), &[record(0, "a")]);
    far.apply_report(millis(1), &here(0, "a"), &frequent);
    assert!(!far.reports_too_sparse(millis(2), &service, &ANY_REGION));
}

/// An engine left and another one started at its address while a stream still runs at the first. New
/// requests and reports must be attributed to the listed one.
#[test]
fn a_reused_address_maps_to_the_listed_server() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a")]);
    send(&mut fleet, millis(1)).unwrap();
    let previous = fleet.key_at(address(0)).unwrap();
    fleet.apply_change(millis(2), &ServerChange::Gone(Name::new("i-0")));
    assert_eq!(fleet.key_at(address(0)), None);
    let mut second = record(0, "a");
    second.id = Name::new("i-9");
    second.born = 2;
    fleet.apply_change(millis(3), &ServerChange::Put(second));
    let listed = fleet.key_at(address(0)).unwrap();
    assert_ne!(listed, previous);
    assert_eq!(fleet.record(listed).unwrap().id.as_str(), "i-9");
    fleet.record_ended(previous, REQUEST_TOKENS);
    assert_eq!(fleet.key_at(address(0)), Some(listed));
    assert!(fleet.record(previous).is_none());
}

/// Guards against an announced engine that is taken for another server when it first names itself, before its scout's
/// first report, and is not used for seconds.
#[test]
fn an_announced_engine_that_names_itself_stays_in_use() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[]);
    assert!(fleet.add_announced(millis(1_000), &here(0, "a")));
    let announced = fleet.key_at(address(0)).unwrap();
    fleet.record_mismatch(millis(1_010), announced, &Name::new("i-0"));
    let named = fleet.key_at(address(0)).unwrap();
    assert_eq!(fleet.record(named).unwrap().id.as_str(), "i-0");
    assert!(fleet.is_confirmed(named));
    // Later its address may have gone to another service.
    assert!(fleet.add_announced(millis(2_000), &here(1, "a")));
    let announced = fleet.key_at(address(1)).unwrap();
    fleet.record_mismatch(millis(3_300), announced, &Name::new("i-1"));
    assert_eq!(fleet.key_at(address(1)), None);
}

/// Guards against an answer that passes for that of a server which a later incarnation has replaced, and against one that
/// does not because a former incarnation is still listed.
#[test]
fn only_a_later_incarnation_replaces_a_server() {
    let with = |id: &str, number: u16, born: u64| ServerRecord {
        id: Name::new(id),
        born,
        ..record(number, "a")
    };
    let server = with("i-1", 0, 5);
    let is_replaced = |others: &[ServerRecord]| {
        let mut fleet = fleet("a");
        fleet.replace_servers(millis(0), others);
        fleet.is_replaced(&server)
    };
    assert!(!is_replaced(&[]), "one that leaves is not listed");
    assert!(!is_replaced(std::slice::from_ref(&server)));
    assert!(is_replaced(&[with("i-2", 0, 6)]), "at its address");
    assert!(is_replaced(&[with("i-1", 0, 6)]), "under its identifier");
    assert!(!is_replaced(&[with("i-0", 0, 4), server.clone()]));
    assert!(!is_replaced(&[server.clone(), with("i-2", 1, 6)]));
}

/// Guards against the start of an engine that is taken from a former list.
#[test]
fn the_start_of_a_server_is_that_of_its_entry() {
    let mut fleet = fleet("a");
    let listed = ServerRecord {
        born: 5,
        ..record(0, "a")
    };
    fleet.replace_servers(millis(0), std::slice::from_ref(&listed));
    let key = fleet.key_at(address(0)).unwrap();
    assert_eq!(fleet.start(key), Some(5));
    let next = ServerRecord { born: 6, ..listed };
    fleet.apply_change(millis(1), &ServerChange::Put(next));
    let key = fleet.key_at(address(0)).unwrap();
    assert_eq!(fleet.start(key), Some(6));
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().map(Name::new))
}

/// Guards against a request that is sent to a near server, in a region where it may not be served, because
/// the allowed servers are crowded.
#[test]
fn a_restricted_request_goes_only_to_allowed_regions() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "b"), record(2, "c")]);
    fleet.apply_report(millis(1), &here(1, "b"), &report(33_000, 20));
    let service = Name::new("llm");
    let regions = only(&["region-b", "region-nowhere"]);
    let request = PlacementRequest {
        regions: &regions,
        ..request(&service, &[])
    };
    let key = fleet.choose(millis(2), &request, &spec()).unwrap();
    assert_eq!(fleet.record(key).unwrap().id, Name::new("i-1"));
    let left_out = fleet.exclusions_in_own_region(millis(2), &request, &spec());
    assert_eq!((left_out.region, left_out.evacuated), (1, 0));
    let options = fleet.candidates(millis(2), &request, &spec());
    assert_eq!(options.len(), 1, "no other server is asked for its load");
    let no_regions = only(&[]);
    let request = PlacementRequest {
        regions: &no_regions,
        ..request
    };
    let chosen = fleet.choose(millis(2), &request, &spec());
    assert_eq!(chosen, Err(NoServer::Excluded(Exclusion::Region)));
}

/// Guards against requests to an evacuated zone, and against a zone that stays unused after the end of
/// its evacuation.
#[test]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let evacuated = |revision, zones: &[&str]| EvacuatedZones {
        zones: zones.iter().map(Name::new).collect(),
        revision: Revision::new(0, revision),
    };
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "b")]);
    assert_eq!(send(&mut fleet, millis(1)), Ok("i-0".into()));
    let change = fleet.set_evacuated(millis(2), &evacuated(5, &["a"]));
    assert_eq!(change.begun, [Name::new("a")]);
    assert_eq!(send(&mut fleet, millis(3)), Ok("i-1".into()));
    fleet.apply_change(millis(4), &ServerChange::Put(record(2, "a")));
    assert_eq!(
        send(&mut fleet, millis(5)),
        Ok("i-1".into()),
        "a new server is no exception"
    );
    fleet.set_evacuated(millis(6), &evacuated(6, &["a", "b"]));
    let none = Err(NoServer::Excluded(Exclusion::Evacuated));
    assert_eq!(send(&mut fleet, millis(7)), none);
    fleet.set_evacuated(millis(8), &evacuated(9, &["b"]));
    assert_eq!(send(&mut fleet, millis(9)), Ok("i-2".into()));
}

/// Guards against a run that is moved, or returns, to a server where new requests may not go.
#[test]
fn a_moved_run_goes_only_where_new_requests_may_go() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "b")]);
    let key = |fleet: &Fleet, number| fleet.key_at(address(number)).unwrap();
    let (one, two) = (key(&fleet, 0), key(&fleet, 1));
    assert!(
        fleet.is_permitted_at(one, &only(&["region-a"]))
            && !fleet.is_permitted_at(two, &only(&["region-a"]))
    );
    let evacuated = EvacuatedZones {
        zones: [Name::new("a")].into(),
        revision: Revision::new(0, 3),
    };
    fleet.set_evacuated(millis(1), &evacuated);
    assert!(!fleet.is_permitted_at(one, &ANY_REGION) && fleet.is_permitted_at(two, &ANY_REGION));
}

/// Guards against requests to a server that has left, after the directory was rolled back to a copy that
/// still lists it.
#[test]
fn a_server_that_has_left_is_not_taken_back_from_an_older_copy() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "b")]);
    fleet.apply_change(millis(100), &ServerChange::Gone(Name::new("i-0")));
    fleet.directory_rolled_back(millis(500));
    fleet.merge_servers(millis(510), &[record(0, "a")]);
    assert_eq!(send(&mut fleet, millis(520)), Ok("i-1".into()));
    fleet.replace_servers(millis(3_000), &[record(0, "a"), record(1, "b")]);
    assert_eq!(send(&mut fleet, millis(3_010)), Ok("i-1".into()));
    let other = ServerRecord {
        born: 7,
        ..record(0, "a")
    };
    fleet.merge_servers(millis(3_020), &[other]);
    assert_eq!(
        send(&mut fleet, millis(3_030)),
        Ok("i-0".into()),
        "another incarnation"
    );
}

/// Guards against a server that stays unused although it has written its entry again.
#[test]
fn a_server_that_writes_its_entry_again_is_used() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "b")]);
    fleet.apply_change(millis(100), &ServerChange::Gone(Name::new("i-0")));
    fleet.directory_rolled_back(millis(500));
    fleet.merge_servers(millis(510), &[record(0, "a")]);
    fleet.apply_change(millis(900), &ServerChange::Put(record(0, "a")));
    assert_eq!(send(&mut fleet, millis(910)), Ok("i-0".into()));
}

/// Guards against a leaving server that gets new requests after a rollback of the directory lost its
/// draining state.
#[test]
fn a_leaving_server_keeps_leaving_after_a_directory_rollback() {
    let mut fleet = fleet("a");
    fleet.replace_servers(millis(0), &[record(0, "a"), record(1, "b")]);
    let leaving = ServerRecord {
        phase: ServerPhase::Draining,
        ..record(0, "a")
    };
    fleet.apply_change(millis(100), &ServerChange::Put(leaving));
    fleet.directory_rolled_back(millis(500));
    fleet.merge_servers(millis(510), &[record(0, "a"), record(1, "b")]);
    assert_eq!(send(&mut fleet, millis(520)), Ok("i-1".into()));
    let phases: Vec<ServerPhase> = fleet.servers().map(|record| record.phase).collect();
    assert!(
        phases.contains(&ServerPhase::Draining),
        "the state is passed on to other entries"
    );
}
