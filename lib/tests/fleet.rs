//! Which backend server a request goes to, under the loads that the fleet is made for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Need;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::Place;
use cicada_lib::ids::Name;
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::EngineLoad;
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
const DRAFT: u64 = 4_000;
const PROMPT: u64 = 3_000;

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
    Fleet::new(Place {
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

fn here(number: u16, zone: &str) -> EngineHere {
    EngineHere {
        address: address(number),
        service: Name::new("llm"),
        zone: Name::new(zone),
    }
}

fn report(used: u64, running: u32) -> EngineLoad {
    EngineLoad {
        running,
        used,
        planned: used + u64::from(running) * 400,
        capacity: CAPACITY,
        ..EngineLoad::default()
    }
}

fn need<'a>(service: &'a Name, tried: &'a [ServerKey]) -> Need<'a> {
    Need {
        tried,
        ..Need::new(service, PROMPT, DRAFT)
    }
}

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Sends a draft; the number of the engine in its identifier.
fn send(fleet: &mut Fleet, now: Time) -> Result<String, NoServer> {
    let service = Name::new("llm");
    let need = need(&service, &[]);
    let key = fleet.choose(now, &need, &spec())?;
    fleet.started(now, key, &need);
    Ok(fleet
        .record(key)
        .map(|r| r.id.to_string())
        .unwrap_or_default())
}

/// Load pattern: long drafts, one after the other, as many as the memory of all engines holds. Placed
/// by their number alone they would meet where short ones ran before.
#[test]
fn long_drafts_fill_the_engines_evenly() {
    let mut fleet = fleet("a");
    let records: Vec<ServerRecord> = (0..4).map(|n| record(n, "a")).collect();
    fleet.set_all(millis(0), &records);
    fleet.report(millis(0), &here(0, "a"), &report(16_000, 4));
    let mut counts: HashMap<String, u64> = HashMap::new();
    for number in 0..20 {
        let now = millis(1_000 * number);
        let id = send(&mut fleet, now).unwrap();
        *counts.entry(id.clone()).or_default() += 1;
        let first = counts.get("i-0").copied().unwrap_or_default();
        let told = report(16_000 + first * DRAFT, 4 + first as u32);
        let engine = fleet.key_at(address(id.trim_start_matches("i-").parse().unwrap()));
        fleet.began(engine.unwrap(), PROMPT);
        fleet.report(now + Duration::from_millis(500), &here(0, "a"), &told);
    }
    let first = counts.get("i-0").copied().unwrap_or_default();
    assert!(
        first <= 3,
        "the engine that was half full got {first} of 20"
    );
    assert!(counts.values().all(|count| *count <= 8), "{counts:?}");
}

/// Load pattern: one availability zone is so full that its engines could not take in the runs of one of
/// them, which may leave at any time, while another region has room. Without the headroom a draft stays
/// near and is lost with the next engine that leaves.
#[test]
fn a_zone_without_room_to_retreat_sends_drafts_to_another_region() {
    let mut fleet = fleet("a");
    let records = [
        record(0, "a"),
        record(1, "a"),
        record(2, "b"),
        record(3, "b"),
        record(4, "b"),
    ];
    fleet.set_all(millis(0), &records);
    for (number, zone, used) in [
        (0, "a", 17_000),
        (1, "a", 17_000),
        (2, "b", 9_000),
        (3, "b", 9_000),
    ] {
        fleet.report(millis(0), &here(number, zone), &report(used, 4));
    }
    fleet.report(millis(0), &here(4, "b"), &report(9_000, 2));
    let id = send(&mut fleet, millis(10)).unwrap();
    assert!(
        ["i-2", "i-3", "i-4"].contains(&id.as_str()),
        "it went to {id}"
    );
}

#[test]
fn a_zone_with_room_keeps_its_drafts() {
    let mut fleet = fleet("a");
    let records: Vec<ServerRecord> = (0..4)
        .map(|n| record(n, "a"))
        .chain((4..8).map(|n| record(n, "b")))
        .collect();
    fleet.set_all(millis(0), &records);
    for number in 0..8 {
        let zone = if number < 4 { "a" } else { "b" };
        fleet.report(millis(0), &here(number, zone), &report(10_000, 3));
    }
    let id = send(&mut fleet, millis(10)).unwrap();
    assert!(
        ["i-0", "i-1", "i-2", "i-3"].contains(&id.as_str()),
        "it went to {id}"
    );
}

/// Load pattern: five entries read the same report of an engine that has just come, empty. Without
/// word of each other's requests all of them send there, and their prompts are read one after the other.
#[test]
fn entries_that_hear_of_each_others_requests_do_not_meet_at_one_engine() {
    let mut fleets: Vec<Fleet> = (0..5).map(|_| fleet("a")).collect();
    let records: Vec<ServerRecord> = (0..4).map(|n| record(n, "a")).collect();
    for fleet in &mut fleets {
        fleet.set_all(millis(0), &records);
        for number in 0..4 {
            let used = if number == 3 { 0 } else { 6_000 };
            fleet.report(millis(0), &here(number, "a"), &report(used, 2));
        }
    }
    let mut counts: HashMap<String, u32> = HashMap::new();
    for entry in 0..5 {
        let now = millis(10 + entry as u64);
        let id = send(&mut fleets[entry], now).unwrap();
        let number: u16 = id.trim_start_matches("i-").parse().unwrap();
        for (other, fleet) in fleets.iter_mut().enumerate() {
            if other != entry {
                fleet.started_elsewhere(now, address(number), PROMPT, DRAFT);
            }
        }
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count <= 2), "{counts:?}");
}

#[test]
fn a_leaving_or_gone_server_gets_nothing_new() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "a")]);
    let mut draining = record(0, "a");
    draining.phase = ServerPhase::Draining;
    fleet.change(millis(1), &ServerChange::Put(draining));
    for _ in 0..10 {
        assert_eq!(send(&mut fleet, millis(2)).unwrap(), "i-1");
    }
    fleet.change(millis(3), &ServerChange::Gone(Name::new("i-1")));
    assert_eq!(send(&mut fleet, millis(4)), Err(NoServer::None));
}

/// An engine says itself that it leaves, before the list does; an older word of the list, that it is
/// ready, must not bring it back.
#[test]
fn a_server_that_leaves_does_not_come_back_by_an_older_word() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "a")]);
    let mut leaves = report(0, 0);
    leaves.leaving = true;
    assert!(
        fleet.report(millis(1), &here(0, "a"), &leaves),
        "that is news"
    );
    fleet.change(millis(2), &ServerChange::Put(record(0, "a")));
    assert_eq!(send(&mut fleet, millis(3)).unwrap(), "i-1");
    assert_eq!(send(&mut fleet, millis(3)).unwrap(), "i-1");
}

/// A server starts again under the identifier that it had: what was there before is gone with it.
#[test]
fn another_life_under_the_same_identifier_is_another_server() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a")]);
    let service = Name::new("llm");
    let before = fleet
        .choose(millis(1), &need(&service, &[]), &spec())
        .unwrap();
    fleet.started(millis(1), before, &need(&service, &[]));
    let mut reborn = record(0, "a");
    reborn.born = 2;
    fleet.change(millis(2), &ServerChange::Put(reborn));
    assert!(fleet.leaving(before).is_some());
    let after = fleet
        .choose(millis(3), &need(&service, &[]), &spec())
        .unwrap();
    assert_ne!(before, after);
    assert!(fleet.leaving(after).is_none());
}

#[test]
fn a_server_that_cannot_be_reached_rests_and_comes_back() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "a")]);
    let service = Name::new("llm");
    let key = fleet
        .choose(millis(0), &need(&service, &[]), &spec())
        .unwrap();
    fleet.failed(millis(0), key, true);
    let lost = fleet.record(key).map(|r| r.id.to_string()).unwrap();
    for _ in 0..3 {
        assert_ne!(send(&mut fleet, millis(10)).unwrap(), lost);
    }
    let back = (0..8).any(|_| send(&mut fleet, millis(5_000)).unwrap() == lost);
    assert!(back, "it never came back");
}

/// While the directory is away only its scout tells of an engine. When the list has it again, it is the
/// same engine, and what runs there goes on.
#[test]
fn an_announced_engine_stays_itself_when_the_list_has_it() {
    let mut fleet = fleet("a");
    assert!(fleet.announced(millis(0), &here(0, "a")));
    assert!(
        !fleet.announced(millis(1), &here(0, "a")),
        "that is no news"
    );
    let service = Name::new("llm");
    let key = fleet
        .choose(millis(2), &need(&service, &[]), &spec())
        .unwrap();
    assert_eq!(
        Fleet::expected_id(fleet.record(key).unwrap()),
        Name::default()
    );
    fleet.started(millis(2), key, &need(&service, &[]));
    fleet.set_all(millis(3), &[record(0, "a")]);
    assert!(fleet.leaving(key).is_none());
    assert_eq!(fleet.record(key).unwrap().id, Name::new("i-0"));
}

#[test]
fn an_announced_engine_whose_scout_falls_silent_is_forgotten() {
    let mut fleet = fleet("a");
    fleet.announced(millis(0), &here(0, "a"));
    fleet.report(millis(100), &here(0, "a"), &report(0, 0));
    fleet.trim_announced(millis(500));
    assert!(send(&mut fleet, millis(600)).is_ok());
    fleet.trim_announced(millis(5_000));
    assert_eq!(send(&mut fleet, millis(5_100)), Err(NoServer::None));
}

/// All engines have lost power and started again under new identifiers; the list still names the old
/// ones. A request finds the new one at the address, and its scout says what it is.
#[test]
fn an_engine_found_in_place_of_another_serves_before_the_list_has_it() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a")]);
    let service = Name::new("llm");
    let key = fleet
        .choose(millis(1), &need(&service, &[]), &spec())
        .unwrap();
    fleet.is_other(millis(2), key, &Name::new("i-new"));
    assert_eq!(send(&mut fleet, millis(3)), Err(NoServer::None));
    fleet.report(millis(4), &here(0, "a"), &report(0, 0));
    assert_eq!(send(&mut fleet, millis(5)).unwrap(), "i-new");
    // Without a scout's word the address may be another service's by now.
    let key = fleet.key_at(address(0)).unwrap();
    fleet.is_other(millis(3_006), key, &Name::new("i-newer"));
    assert_eq!(send(&mut fleet, millis(3_007)), Err(NoServer::None));
    fleet.report(millis(9_000), &here(0, "a"), &report(0, 0));
    assert_eq!(
        send(&mut fleet, millis(9_001)),
        Err(NoServer::None),
        "the word is too old"
    );
}

/// Load pattern: a burst of plain calls. They stay near while there is a free place, and go to another
/// region only when the queue would take longer than the way.
#[test]
fn plain_calls_stay_near_until_the_queue_outweighs_the_way() {
    let mut fleet = fleet("a");
    let mut near = record(0, "a");
    near.slots = 6;
    let mut far = record(1, "b");
    far.slots = 6;
    fleet.set_all(millis(0), &[near, far]);
    let service = Name::new("llm");
    let need = Need::new(&service, 0, 0);
    let mut went = Vec::new();
    for _ in 0..12 {
        let key = fleet.choose(millis(1), &need, &plain()).unwrap();
        fleet.started(millis(1), key, &need);
        went.push(fleet.record(key).unwrap().id.to_string());
    }
    assert!(went[..6].iter().all(|id| id == "i-0"), "{went:?}");
    assert!(went[6..].iter().any(|id| id == "i-1"), "{went:?}");
}

/// The same, and the scout has spoken before the request found the new engine: the request goes to it at
/// once. The list, read again, still names the former life, which would be found out anew each time.
#[test]
fn a_life_that_has_ended_does_not_come_back_with_the_list() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a")]);
    fleet.report(millis(1), &here(0, "a"), &report(5_000, 2));
    let key = fleet.key_at(address(0)).unwrap();
    fleet.is_other(millis(2), key, &Name::new("i-new"));
    assert_eq!(send(&mut fleet, millis(3)).unwrap(), "i-new");
    let key = fleet.key_at(address(0)).unwrap();
    assert!(
        fleet.load(millis(3), key).0 > 5_000,
        "the scout's word still holds"
    );
    fleet.set_all(millis(500), &[record(0, "a")]);
    fleet.change(millis(600), &ServerChange::Put(record(0, "a")));
    assert_eq!(send(&mut fleet, millis(700)).unwrap(), "i-new");
    // It has had time to come into the list.
    fleet.set_all(millis(6_000), &[]);
    assert_eq!(send(&mut fleet, millis(6_001)), Err(NoServer::None));
    // Another life under the first identifier is none of the one that ended.
    let mut reborn = record(0, "a");
    reborn.born = 2;
    fleet.change(millis(6_100), &ServerChange::Put(reborn));
    assert_eq!(send(&mut fleet, millis(6_200)).unwrap(), "i-0");
}

/// All hosts were without power. Before any request has found out, the scout names the engine's new life.
#[test]
fn a_scout_names_the_life_that_the_list_does_not_have() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "a")]);
    let id = Name::new("i-new");
    assert!(fleet.identified(millis(1), &here(0, "a"), &id));
    assert!(!fleet.identified(millis(2), &here(0, "a"), &id), "no news");
    let key = fleet.key_at(address(0)).unwrap();
    assert_eq!(fleet.record(key).unwrap().id, id);
    fleet.set_all(millis(10), &[record(0, "a"), record(1, "a")]);
    assert_eq!(fleet.servers().count(), 2);
    // The list has it: from then on it is gone when the list says so.
    let mut listed = record(0, "a");
    listed.id = id.clone();
    listed.born = 9;
    fleet.change(millis(900), &ServerChange::Put(listed));
    assert_eq!(fleet.key_at(address(0)), Some(key), "the same life");
    fleet.change(millis(1_000), &ServerChange::Gone(id));
    assert!(fleet.key_at(address(0)).is_none());
}

/// An engine that leaves without saying so is taken off the list and runs on. Its scout's word, which
/// tells who it is, must not bring it back; nor may a scout of another service name it.
#[test]
fn a_scout_does_not_bring_back_an_engine_that_was_taken_off_the_list() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a")]);
    fleet.change(millis(1), &ServerChange::Gone(Name::new("i-0")));
    assert!(!fleet.identified(millis(2), &here(0, "a"), &Name::new("i-0")));
    assert_eq!(send(&mut fleet, millis(3)), Err(NoServer::None));
    fleet.change(millis(4), &ServerChange::Put(record(1, "a")));
    let mut other = here(1, "a");
    other.service = Name::new("other");
    assert!(!fleet.identified(millis(5), &other, &Name::new("i-x")));
}

/// Who waits for reports of new engines is told which have come, once.
#[test]
fn engines_that_have_come_are_told_once() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "a")]);
    assert_eq!(fleet.take_joined().len(), 2);
    fleet.set_all(millis(1), &[record(0, "a"), record(2, "a")]);
    assert_eq!(fleet.take_joined(), [address(2)]);
    assert!(fleet.take_joined().is_empty());
}

/// A scout moves a run to an engine that this entry has not heard of. The run goes there, and nothing
/// else does; to an engine that has left the list it does not go.
#[test]
fn a_moved_run_may_go_where_the_list_has_nothing() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "a")]);
    let service = Name::new("llm");
    let key = fleet.adopted(millis(1), &here(2, "a")).unwrap();
    fleet.started(millis(1), key, &need(&service, &[]));
    assert_eq!(
        Fleet::expected_id(fleet.record(key).unwrap()),
        Name::default(),
        "its identifier is not known"
    );
    fleet.set_all(millis(2), &[]);
    assert_eq!(send(&mut fleet, millis(3)), Err(NoServer::None));
    fleet.ended(key, need(&service, &[]).tokens);
    assert!(fleet.record(key).is_none(), "nothing of it is kept");
    assert!(
        fleet.adopted(millis(4), &here(1, "a")).is_none(),
        "it has left"
    );
    fleet.set_all(millis(5), &[record(1, "a")]);
    let listed = fleet.key_at(address(1));
    assert_eq!(fleet.adopted(millis(6), &here(1, "a")), listed);
}

/// Reports that come often are chosen by; those that come seldom, or not at all, are not. A relay that has no engine
/// near goes by those that are far.
#[test]
fn reports_that_come_seldom_are_dated() {
    let service = Name::new("llm");
    let often = report(0, 0);
    let seldom = EngineLoad {
        every: 500,
        ..report(0, 0)
    };
    let mut near = fleet("a");
    near.set_all(millis(0), &[record(0, "a"), record(1, "b")]);
    assert!(near.reports_too_sparse(millis(1), &service, &ANY_REGION));
    near.report(millis(1), &here(0, "a"), &often);
    near.report(millis(1), &here(1, "b"), &seldom);
    assert!(!near.reports_too_sparse(millis(2), &service, &ANY_REGION));
    near.report(millis(3), &here(0, "a"), &seldom);
    assert!(near.reports_too_sparse(millis(4), &service, &ANY_REGION));
    let mut far = fleet("c");
    far.set_all(millis(0), &[record(0, "a")]);
    far.report(millis(1), &here(0, "a"), &often);
    assert!(!far.reports_too_sparse(millis(2), &service, &ANY_REGION));
}

/// An engine has left, and another one has begun at its address while a stream still runs at the first. Each is
/// found for what it is: new requests and reports go to the one that is listed.
#[test]
fn an_address_that_is_used_again_names_the_listed_server() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a")]);
    send(&mut fleet, millis(1)).unwrap();
    let former = fleet.key_at(address(0)).unwrap();
    fleet.change(millis(2), &ServerChange::Gone(Name::new("i-0")));
    assert_eq!(fleet.key_at(address(0)), None);
    let mut second = record(0, "a");
    second.id = Name::new("i-9");
    second.born = 2;
    fleet.change(millis(3), &ServerChange::Put(second));
    let listed = fleet.key_at(address(0)).unwrap();
    assert_ne!(listed, former);
    assert_eq!(fleet.record(listed).unwrap().id.as_str(), "i-9");
    fleet.ended(former, DRAFT);
    assert_eq!(fleet.key_at(address(0)), Some(listed));
    assert!(fleet.record(former).is_none());
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().map(Name::new))
}

/// Guards against a near server that gets what may not be served in its region, however crowded the others are.
#[test]
fn a_restricted_request_goes_far_and_nowhere_else() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "b"), record(2, "c")]);
    fleet.report(millis(1), &here(1, "b"), &report(33_000, 20));
    let service = Name::new("llm");
    let regions = only(&["region-b", "region-nowhere"]);
    let need = Need {
        regions: &regions,
        ..need(&service, &[])
    };
    let key = fleet.choose(millis(2), &need, &spec()).unwrap();
    assert_eq!(fleet.record(key).unwrap().id, Name::new("i-1"));
    let left_out = fleet.left_out_near(millis(2), &need, &spec());
    assert_eq!((left_out.region, left_out.evacuated), (1, 0));
    let options = fleet.options(millis(2), &need, &spec());
    assert_eq!(options.len(), 1, "nor is another one asked for its load");
    let nowhere = only(&[]);
    let need = Need {
        regions: &nowhere,
        ..need
    };
    let why = fleet.choose(millis(2), &need, &spec());
    assert_eq!(why, Err(NoServer::Excluded(Exclusion::Region)));
}

/// Guards against work for a zone that is evacuated, and against one that stays unused after that is taken back.
#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let evacuated = |revision, zones: &[&str]| EvacuatedZones {
        zones: zones.iter().map(Name::new).collect(),
        revision: Revision::new(0, revision),
    };
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "b")]);
    assert_eq!(send(&mut fleet, millis(1)), Ok("i-0".into()));
    let change = fleet.set_evacuated(millis(2), &evacuated(5, &["a"]));
    assert_eq!(change.begun, [Name::new("a")]);
    assert_eq!(send(&mut fleet, millis(3)), Ok("i-1".into()));
    fleet.change(millis(4), &ServerChange::Put(record(2, "a")));
    assert_eq!(
        send(&mut fleet, millis(5)),
        Ok("i-1".into()),
        "a server that comes is no exception"
    );
    fleet.set_evacuated(millis(6), &evacuated(6, &["a", "b"]));
    let none = Err(NoServer::Excluded(Exclusion::Evacuated));
    assert_eq!(send(&mut fleet, millis(7)), none);
    fleet.set_evacuated(millis(8), &evacuated(9, &["b"]));
    assert_eq!(send(&mut fleet, millis(9)), Ok("i-2".into()));
}

/// Guards against a run that is moved, or goes back, to where new work may not go.
#[test]
fn a_moved_run_goes_where_new_work_may_go() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "b")]);
    let key = |fleet: &Fleet, number| fleet.key_at(address(number)).unwrap();
    let (one, two) = (key(&fleet, 0), key(&fleet, 1));
    assert!(fleet.may_get(one, &only(&["region-a"])) && !fleet.may_get(two, &only(&["region-a"])));
    let evacuated = EvacuatedZones {
        zones: [Name::new("a")].into(),
        revision: Revision::new(0, 3),
    };
    fleet.set_evacuated(millis(1), &evacuated);
    assert!(!fleet.may_get(one, &ANY_REGION) && fleet.may_get(two, &ANY_REGION));
}

/// Guards against work for a server that has left, since the directory went back to a copy that still lists it.
#[test]
fn a_server_that_has_left_is_not_taken_back_from_an_older_copy() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "b")]);
    fleet.change(millis(100), &ServerChange::Gone(Name::new("i-0")));
    fleet.directory_returned(millis(500));
    fleet.add_all(millis(510), &[record(0, "a")]);
    assert_eq!(send(&mut fleet, millis(520)), Ok("i-1".into()));
    fleet.set_all(millis(3_000), &[record(0, "a"), record(1, "b")]);
    assert_eq!(send(&mut fleet, millis(3_010)), Ok("i-1".into()));
    let other = ServerRecord {
        born: 7,
        ..record(0, "a")
    };
    fleet.add_all(millis(3_020), &[other]);
    assert_eq!(
        send(&mut fleet, millis(3_030)),
        Ok("i-0".into()),
        "another life"
    );
}

/// Guards against a server that stays unused though it has written its entry again.
#[test]
fn a_server_that_writes_its_entry_again_is_used() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "b")]);
    fleet.change(millis(100), &ServerChange::Gone(Name::new("i-0")));
    fleet.directory_returned(millis(500));
    fleet.add_all(millis(510), &[record(0, "a")]);
    fleet.change(millis(900), &ServerChange::Put(record(0, "a")));
    assert_eq!(send(&mut fleet, millis(910)), Ok("i-0".into()));
}

/// Guards against a server that takes work again, since the directory has lost its word that it leaves.
#[test]
fn a_server_that_leaves_goes_on_leaving_when_the_directory_has_lost_its_word() {
    let mut fleet = fleet("a");
    fleet.set_all(millis(0), &[record(0, "a"), record(1, "b")]);
    let leaving = ServerRecord {
        phase: ServerPhase::Draining,
        ..record(0, "a")
    };
    fleet.change(millis(100), &ServerChange::Put(leaving));
    fleet.directory_returned(millis(500));
    fleet.add_all(millis(510), &[record(0, "a"), record(1, "b")]);
    assert_eq!(send(&mut fleet, millis(520)), Ok("i-1".into()));
    let told: Vec<ServerPhase> = fleet.servers().map(|record| record.phase).collect();
    assert!(
        told.contains(&ServerPhase::Draining),
        "others are told so as well"
    );
}
