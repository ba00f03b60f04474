//! Requests to cold servers, sent by entries that do not communicate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::cold_start::ColdStart;
use cicada_lib::entry_shares::EntryShares;
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
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use testutils::site;

const CAPACITY: u64 = 27_000;
const WARM_SERVERS: u16 = 35;
const COLD_SERVERS: u16 = 7;
const SECOND_MS: u64 = 1_000;

/// When the cold servers restart, in milliseconds.
const RESTART: u64 = 2_000;

/// Maximum arrivals per second at a cold server that tolerates `rate`.
fn max_arrivals(rate: f64) -> usize {
    (rate * 1.5 + 5.0) as usize
}

fn entry(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, (number >> 8) as u8, number as u8], 7_200))
}

fn engine(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 8_701))
}

fn record(number: u16, cold: Duration) -> ServerRecord {
    let zone = if number < WARM_SERVERS { "a" } else { "b" };
    ServerRecord {
        cold,
        ..site::server(&format!("i-{number}"), engine(number), zone, 24)
    }
}

fn spec(start: ColdStart) -> ServiceSpec {
    ServiceSpec {
        cold: start,
        ..site::engine_service(24, CAPACITY)
    }
}

fn report(fleet: &mut Fleet, now: Time, number: u16, used: u64) {
    let here = EngineLocation {
        address: engine(number),
        service: Name::new("llm"),
        zone: Name::new(if number < WARM_SERVERS { "a" } else { "b" }),
    };
    let load = EngineLoad {
        used,
        peak_tokens: used,
        running: (used / 3_000) as u32,
        capacity: CAPACITY,
        ..EngineLoad::default()
    };
    fleet.apply_report(now, &here, &load);
}

/// The fleet view of one of `entries` entries, which knows the warm servers but not the cold ones.
fn fleet(number: usize, entries: usize) -> Fleet {
    let regions = ["a", "b"].map(|zone| (Name::new(zone), Name::new("r")));
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::from(regions),
    });
    let records: Vec<ServerRecord> = (0..WARM_SERVERS)
        .map(|n| record(n, Duration::ZERO))
        .collect();
    fleet.replace_servers(Time::ZERO, &records);
    fleet.set_entries(entry(number), (0..entries).map(entry));
    fleet
}

/// Arrivals at the restarted servers.
struct Outcome {
    // Maximum arrivals at one server within any second of its cold period.
    peak: usize,
    // Arrivals at all of them while cold, and in the second after.
    cold: usize,
    warm: usize,
    // Requests that found no server.
    refused: usize,
}

/// Simulates entries that send `per_second` streams in total while the servers of a zone restart cold. Entries get no
/// information on what the others send, and a third of them restart just before the servers do.
fn replay(entries: usize, per_second: u64, start: &ColdStart) -> Outcome {
    let mut fleets: Vec<Fleet> = (0..entries).map(|n| fleet(n, entries)).collect();
    let service = Name::new("llm");
    let spec = spec(start.clone());
    let mut arrivals: HashMap<SocketAddr, Vec<u64>> = HashMap::new();
    let mut refused = 0;
    let mut rng = fastrand::Rng::with_seed(7);
    let warm = RESTART + start.period.as_millis() as u64;
    for ms in 0..warm + 2 * SECOND_MS {
        let now = Time::from_millis(ms);
        if ms == RESTART {
            for (number, fleet) in fleets.iter_mut().enumerate() {
                if number % 3 == 0 {
                    *fleet = self::fleet(number, entries);
                }
                for number in WARM_SERVERS..WARM_SERVERS + COLD_SERVERS {
                    let restarted = record(number, start.period);
                    fleet.apply_change(now, &ServerChange::Put(restarted));
                }
            }
        }
        if ms.is_multiple_of(400) {
            for fleet in &mut fleets {
                (0..WARM_SERVERS).for_each(|number| report(fleet, now, number, CAPACITY * 9 / 10));
                if ms > RESTART {
                    (WARM_SERVERS..WARM_SERVERS + COLD_SERVERS)
                        .for_each(|number| report(fleet, now, number, 6_000));
                }
            }
        }
        if !(ms * per_second).is_multiple_of(SECOND_MS) && per_second < SECOND_MS {
            continue;
        }
        let fleet = &mut fleets[rng.usize(..entries)];
        let need = PlacementRequest::new(&service, 2_500, 2_900);
        let Ok(key) = fleet.choose(now, &need, &spec) else {
            refused += 1;
            continue;
        };
        fleet.record_sent(now, key, &need);
        let address = fleet.record(key).expect("chosen").address;
        if address.ip() >= engine(WARM_SERVERS).ip() {
            arrivals.entry(address).or_default().push(ms);
        }
    }
    let all = || arrivals.values().flatten();
    let within = |times: &Vec<u64>, from: u64| {
        let to = from + SECOND_MS;
        times.iter().filter(|at| (from..to).contains(*at)).count()
    };
    let last = warm.saturating_sub(SECOND_MS).max(RESTART);
    let windows = (RESTART..=last).flat_map(|from| arrivals.values().map(move |t| within(t, from)));
    Outcome {
        peak: windows.max().unwrap_or_default(),
        cold: all().filter(|at| **at < warm).count(),
        warm: all()
            .filter(|at| (warm..warm + SECOND_MS).contains(*at))
            .count(),
        refused,
    }
}

/// Guards against overload of a zone that restarts during a burst: its cold servers are the least loaded, so every
/// entry would send the whole burst there.
#[test]
fn a_zone_that_restarts_cold_is_used_within_its_limit() {
    for (entries, rate, period) in [
        (5, 31.0, 1),
        (29, 31.0, 1),
        (29, 5.0, 5),
        (103, 31.0, 1),
        (103, 5.0, 5),
        (370, 10.0, 3),
    ] {
        let start = ColdStart {
            period: Duration::from_secs(period),
            rate,
        };
        let without_limit = ColdStart {
            rate: 0.0,
            ..start.clone()
        };
        let unlimited = replay(entries, 1_000, &without_limit);
        assert!(
            unlimited.peak > max_arrivals(rate),
            "{entries} entries: {}",
            unlimited.peak
        );
        let limited = replay(entries, 1_000, &start);
        let Outcome {
            peak, cold, warm, ..
        } = limited;
        assert!(
            peak <= max_arrivals(rate),
            "{entries} entries: {peak} in a second"
        );
        let tolerated = rate * period as f64 * f64::from(COLD_SERVERS);
        assert!(cold as f64 >= 0.5 * tolerated, "{entries} entries: {cold}");
        assert!(
            warm as f64 >= 0.8 * unlimited.warm as f64,
            "{warm} after the cold period"
        );
        assert_eq!(limited.refused, 0);
    }
}

/// Guards against an entry that uses the whole rate itself because it does not know the other entries yet.
#[test]
fn an_entry_that_does_not_know_the_others_sends_nothing_to_a_cold_server() {
    let start = ColdStart {
        period: Duration::from_secs(1),
        rate: 31.0,
    };
    assert_eq!(start.share(&EntryShares::default(), engine(0)), 0);
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::new(),
    });
    let now = Time::from_millis(1);
    fleet.replace_servers(now, &[record(0, Duration::from_millis(700))]);
    let service = Name::new("llm");
    let need = PlacementRequest::new(&service, 2_500, 2_900);
    let chosen = fleet.choose(now, &need, &spec(start.clone()));
    assert_eq!(chosen, Err(NoServer::Excluded(Exclusion::Cold)));
    let later = Time::from_millis(702);
    assert!(fleet.choose(later, &need, &spec(start)).is_ok());
}

/// Guards against overload of a server whose restart is missed: one that becomes cold again, whose record is outdated,
/// or whose restart is only announced by its scout.
#[test]
fn every_announcement_of_a_cold_server_counts() {
    let start = ColdStart {
        period: Duration::from_secs(2),
        rate: 31.0,
    };
    let mut fleet = fleet(0, 31);
    let service = Name::new("llm");
    let key = |fleet: &Fleet| fleet.key_at(engine(0)).expect("listed");
    let accepted = |fleet: &mut Fleet, ms: u64| {
        let candidates = [key(fleet)];
        let need = PlacementRequest {
            among: Some(&candidates),
            ..PlacementRequest::new(&service, 2_500, 2_900)
        };
        let now = Time::from_millis(ms);
        let mut sent = 0;
        while sent < 10 && fleet.choose(now, &need, &spec(start.clone())).is_ok() {
            fleet.record_sent(now, candidates[0], &need);
            sent += 1;
        }
        sent
    };
    assert_eq!(accepted(&mut fleet, 10), 10, "warm at first");
    let announced = ServerChange::Put(record(0, Duration::from_secs(2)));
    fleet.apply_change(Time::from_millis(2_000), &announced);
    assert_eq!(accepted(&mut fleet, 2_010), 1, "announced by its record");
    let outdated = ServerChange::Put(record(0, Duration::ZERO));
    fleet.apply_change(Time::from_millis(2_020), &outdated);
    assert_eq!(
        accepted(&mut fleet, 3_900),
        1,
        "an outdated record does not end the cold period"
    );
    assert_eq!(accepted(&mut fleet, 5_100), 10, "warm again");
    let here = EngineLocation {
        address: engine(0),
        service: service.clone(),
        zone: Name::new("a"),
    };
    let load = EngineLoad {
        cold: 900,
        capacity: CAPACITY,
        ..EngineLoad::default()
    };
    fleet.apply_report(Time::from_millis(7_000), &here, &load);
    assert_eq!(accepted(&mut fleet, 7_001), 1, "announced by its scout");
    let restarted = EngineIdentity {
        engine: here,
        id: Name::new("i-other"),
        predecessors: fleet.servers().map(|server| server.id.clone()).collect(),
        unbroken: true,
    };
    let news = fleet.apply_identity(Time::from_millis(9_000), &restarted, false);
    assert_eq!(news, IdentityNews::Replaced);
    assert_eq!(accepted(&mut fleet, 9_001), 1, "another incarnation");
}

quickcheck! {
    /// The shares of all entries add up to at most the rate, for any number of entries and any server.
    fn shares_stay_within_the_rate(entries: u16, rate: u16, server: u16) -> TestResult {
        let (entries, rate) = (usize::from(entries % 400) + 1, f64::from(rate % 60) + 1.0);
        let start = ColdStart { period: Duration::from_secs(1), rate };
        let shares = (0..entries).map(|own| {
            let mut shares = EntryShares::default();
            shares.set_entries(entry(own), (0..entries).map(entry));
            start.share(&shares, engine(server % 200))
        });
        let all: usize = shares.sum();
        TestResult::from_bool(all > 0 && all as f64 <= rate)
    }
}

/// Guards against overload of a cold server by entries that forget, when they are restarted, what they sent it.
#[test]
fn entries_restarted_within_a_second_keep_to_the_rate_of_a_cold_server() {
    let rate = 31.0;
    let start = ColdStart {
        period: Duration::from_secs(5),
        rate,
    };
    let cold = record(WARM_SERVERS, start.period);
    let need_service = Name::new("llm");
    let need = PlacementRequest::new(&need_service, 2_500, 2_900);
    let entries = 5;
    // Entries that have run for a while, and their successors in the same second.
    let clocks = [Time::from_millis(60_000), Time::from_millis(300)];
    let mut sent = 0;
    for clock in clocks {
        for number in 0..entries {
            let mut fleet = fleet(number, entries);
            fleet.replace_servers(clock, std::slice::from_ref(&cold));
            while let Ok(key) = fleet.choose(clock, &need, &spec(start.clone())) {
                fleet.record_sent(clock, key, &need);
                sent += 1;
            }
        }
    }
    assert!(sent > 0 && sent <= max_arrivals(rate), "{sent} in a second");
    let mut restarted = fleet(0, entries);
    let later = Time::from_millis(1_200);
    restarted.replace_servers(later, std::slice::from_ref(&cold));
    assert!(restarted.choose(later, &need, &spec(start)).is_ok());
}
