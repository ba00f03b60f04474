//! The draw of engines to probe for a waiting request.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::admission::capacity_search::CapacitySearch;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::peer_messages::EngineLocation;
use cicada_lib::routing::ServerKey;
use cicada_lib::site::ServerChange;
use cicada_lib::stream_admission::AdmissionRequest;
use cicada_lib::time::Time;
use testutils::site;

const CAPACITY: u64 = 27_000;
const NOW: Time = Time::from_millis(10_000);

/// The zones: two of the local region, and one of another.
const ZONES: [&str; 3] = ["a", "b", "far"];
const PER_ZONE: usize = 20;

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, engine as u8], 8_701))
}

/// A fleet of full engines, but for those given, whose reports show capacity.
fn fleet(roomy: &[usize]) -> Fleet {
    let region = |zone: &str| Name::new(if zone == "far" { "r2" } else { "r1" });
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: ZONES.map(|zone| (Name::new(zone), region(zone))).into(),
    });
    for engine in 0..PER_ZONE * ZONES.len() {
        let zone = ZONES[engine / PER_ZONE];
        let record = site::server(&format!("e-{engine}"), address(engine), zone, 24);
        fleet.apply_change(Time::ZERO, &ServerChange::Put(record));
        let used = if roomy.contains(&engine) {
            9_000
        } else {
            26_000
        };
        let load = EngineLoad {
            running: 5,
            used,
            peak_tokens: used,
            capacity: CAPACITY,
            ..EngineLoad::default()
        };
        let location = EngineLocation {
            address: address(engine),
            service: Name::new("llm"),
            zone: Name::new(zone),
        };
        fleet.apply_report(NOW, &location, &load);
    }
    fleet
}

fn draw(fleet: &Fleet, freed: &[ServerKey], seed: u64) -> Vec<ServerKey> {
    let service = Name::new("llm");
    let need = PlacementRequest::new(&service, 3_000, 3_700);
    let request = AdmissionRequest {
        rank: 1,
        age: Duration::ZERO,
        over_share: false,
        objective: Duration::from_millis(1_500),
        waiting: true,
    };
    let spec = site::engine_service(24, CAPACITY);
    let search = CapacitySearch::new(fleet, NOW, &need, &spec, &request);
    search.probe_targets(freed, &mut fastrand::Rng::with_seed(seed))
}

fn keys(fleet: &Fleet, engines: impl IntoIterator<Item = usize>) -> HashSet<ServerKey> {
    let keys = engines.into_iter().filter_map(|e| fleet.key_at(address(e)));
    keys.collect()
}

/// Guards against probes of engines known to be full while another zone of the region, or another region, has capacity.
#[test]
fn engines_with_capacity_are_probed_first_in_the_region_and_then_elsewhere() {
    for (roomy, expected) in [(&[25, 45][..], 25), (&[45], 45)] {
        let fleet = fleet(roomy);
        let drawn: HashSet<ServerKey> = draw(&fleet, &[], 1).into_iter().collect();
        assert_eq!(drawn, keys(&fleet, [expected]));
    }
}

/// Guards against relays that all probe the same engines.
#[test]
fn the_draw_is_random_among_many() {
    for fleet in [fleet(&[]), fleet(&(0..40).collect::<Vec<usize>>())] {
        let near = keys(&fleet, 0..40);
        let draws = (0..50).map(|seed| draw(&fleet, &[], seed));
        let draws: Vec<Vec<ServerKey>> = draws.collect();
        assert!(draws.iter().all(|drawn| drawn.len() == 5));
        let all: HashSet<ServerKey> = draws.into_iter().flatten().collect();
        assert!(all.is_subset(&near));
        assert!(all.len() > 35, "{}", all.len());
    }
}

/// Guards against an engine that is not probed although a run has just ended there.
#[test]
fn engines_at_which_runs_ended_are_probed() {
    let fleet = fleet(&[]);
    let freed: Vec<ServerKey> = keys(&fleet, [45]).into_iter().collect();
    let drawn = draw(&fleet, &freed, 1);
    assert_eq!(drawn.first(), freed.first());
    assert_eq!(drawn.len(), 5);
}
