//! Requests to servers that are cold, sent by entries that do not hear each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::cold_start::ColdStart;
use cicada_lib::entry_shares::EntryShares;
use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Need;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::Place;
use cicada_lib::ids::Name;
use cicada_lib::peer_words::EngineHere;
use cicada_lib::peer_words::EngineLoad;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use testutils::site;

const CAPACITY: u64 = 27_000;
const WARM: u16 = 35;
const COLD: u16 = 7;
const SECOND: u64 = 1_000;

/// When the cold servers return, in milliseconds.
const RETURN: u64 = 2_000;

/// What may arrive at a cold server in a second, of a rate that it tolerates.
fn bound(rate: f64) -> usize {
    (rate * 1.5 + 5.0) as usize
}

fn entry(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, (number >> 8) as u8, number as u8], 7_200))
}

fn engine(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 8_701))
}

fn record(number: u16, cold: Duration) -> ServerRecord {
    let zone = if number < WARM { "a" } else { "b" };
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
    let here = EngineHere {
        address: engine(number),
        service: Name::new("llm"),
        zone: Name::new(if number < WARM { "a" } else { "b" }),
    };
    let load = EngineLoad {
        used,
        planned: used,
        running: (used / 3_000) as u32,
        capacity: CAPACITY,
        ..EngineLoad::default()
    };
    fleet.report(now, &here, &load);
}

/// An entry that knows all servers but the cold ones, all of them nearly full, and `entries` in all.
fn fleet(number: usize, entries: usize) -> Fleet {
    let regions = ["a", "b"].map(|zone| (Name::new(zone), Name::new("r")));
    let mut fleet = Fleet::new(Place {
        zone: Name::new("a"),
        regions: HashMap::from(regions),
    });
    let records: Vec<ServerRecord> = (0..WARM).map(|n| record(n, Duration::ZERO)).collect();
    fleet.set_all(Time::ZERO, &records);
    fleet.set_entries(entry(number), (0..entries).map(entry));
    fleet
}

/// Sends to cold servers while they are cold, and afterwards.
struct Outcome {
    // The most arrivals at one of them in a second.
    most: usize,
    // Arrivals at all of them while cold, and in the second after.
    cold: usize,
    warm: usize,
    // Requests that found no server.
    refused: usize,
}

/// Entries send `per_second` streams in all for some seconds; in the middle a zone returns cold, and nobody has
/// heard of what others send. A third of the entries has started again a moment before.
fn replay(entries: usize, per_second: u64, start: &ColdStart) -> Outcome {
    let mut fleets: Vec<Fleet> = (0..entries).map(|n| fleet(n, entries)).collect();
    let service = Name::new("llm");
    let spec = spec(start.clone());
    let mut arrivals: HashMap<SocketAddr, Vec<u64>> = HashMap::new();
    let mut refused = 0;
    let mut rng = fastrand::Rng::with_seed(7);
    let warm = RETURN + start.period.as_millis() as u64;
    for ms in 0..warm + 2 * SECOND {
        let now = Time::from_millis(ms);
        if ms == RETURN {
            for (number, fleet) in fleets.iter_mut().enumerate() {
                if number % 3 == 0 {
                    *fleet = self::fleet(number, entries);
                }
                for number in WARM..WARM + COLD {
                    let back = record(number, start.period);
                    fleet.change(now, &ServerChange::Put(back));
                }
            }
        }
        if ms.is_multiple_of(400) {
            for fleet in &mut fleets {
                (0..WARM).for_each(|number| report(fleet, now, number, CAPACITY * 9 / 10));
                if ms > RETURN {
                    (WARM..WARM + COLD).for_each(|number| report(fleet, now, number, 6_000));
                }
            }
        }
        if !(ms * per_second).is_multiple_of(SECOND) && per_second < SECOND {
            continue;
        }
        let fleet = &mut fleets[rng.usize(..entries)];
        let need = Need::new(&service, 2_500, 2_900);
        let Ok(key) = fleet.choose(now, &need, &spec) else {
            refused += 1;
            continue;
        };
        fleet.started(now, key, &need);
        let address = fleet.record(key).expect("chosen").address;
        if address.ip() >= engine(WARM).ip() {
            arrivals.entry(address).or_default().push(ms);
        }
    }
    let all = || arrivals.values().flatten();
    let within = |times: &Vec<u64>, from: u64| {
        let to = from + SECOND;
        times.iter().filter(|at| (from..to).contains(*at)).count()
    };
    let last = warm.saturating_sub(SECOND).max(RETURN);
    let windows = (RETURN..=last).flat_map(|from| arrivals.values().map(move |t| within(t, from)));
    Outcome {
        most: windows.max().unwrap_or_default(),
        cold: all().filter(|at| **at < warm).count(),
        warm: all()
            .filter(|at| (warm..warm + SECOND).contains(*at))
            .count(),
        refused,
    }
}

/// Guards against a zone that returns cold and emptiest of all into a burst, and is sent all of it.
#[test]
fn a_zone_that_returns_cold_gets_what_it_tolerates_and_is_used() {
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
        let unbounded = ColdStart {
            rate: 0.0,
            ..start.clone()
        };
        let free = replay(entries, 1_000, &unbounded);
        assert!(free.most > bound(rate), "{entries} entries: {}", free.most);
        let bounded = replay(entries, 1_000, &start);
        let Outcome {
            most, cold, warm, ..
        } = bounded;
        assert!(most <= bound(rate), "{entries} entries: {most} in a second");
        let tolerated = rate * period as f64 * f64::from(COLD);
        assert!(cold as f64 >= 0.5 * tolerated, "{entries} entries: {cold}");
        assert!(warm as f64 >= 0.8 * free.warm as f64, "{warm} once warm");
        assert_eq!(bounded.refused, 0);
    }
}

/// Guards against an entry that takes the whole rate for its own before it knows the others.
#[test]
fn an_entry_that_knows_no_others_sends_nothing_to_a_cold_server() {
    let start = ColdStart {
        period: Duration::from_secs(1),
        rate: 31.0,
    };
    assert_eq!(start.share(&EntryShares::default(), engine(0)), 0);
    let mut fleet = Fleet::new(Place {
        zone: Name::new("a"),
        regions: HashMap::new(),
    });
    let now = Time::from_millis(1);
    fleet.set_all(now, &[record(0, Duration::from_millis(700))]);
    let service = Name::new("llm");
    let need = Need::new(&service, 2_500, 2_900);
    let chosen = fleet.choose(now, &need, &spec(start.clone()));
    assert_eq!(chosen, Err(NoServer::Excluded(Exclusion::Cold)));
    let later = Time::from_millis(702);
    assert!(fleet.choose(later, &need, &spec(start)).is_ok());
}

/// Guards against a server that is cold again, or whose start only its scout has seen.
#[test]
fn every_word_of_a_cold_server_counts() {
    let start = ColdStart {
        period: Duration::from_secs(2),
        rate: 31.0,
    };
    let mut fleet = fleet(0, 31);
    let service = Name::new("llm");
    let key = |fleet: &Fleet| fleet.key_at(engine(0)).expect("listed");
    let taken = |fleet: &mut Fleet, ms: u64| {
        let among = [key(fleet)];
        let need = Need {
            among: Some(&among),
            ..Need::new(&service, 2_500, 2_900)
        };
        let now = Time::from_millis(ms);
        let mut sent = 0;
        while sent < 10 && fleet.choose(now, &need, &spec(start.clone())).is_ok() {
            fleet.started(now, among[0], &need);
            sent += 1;
        }
        sent
    };
    assert_eq!(taken(&mut fleet, 10), 10, "it is warm");
    let told = ServerChange::Put(record(0, Duration::from_secs(2)));
    fleet.change(Time::from_millis(2_000), &told);
    assert_eq!(taken(&mut fleet, 2_010), 1, "by the list");
    let former = ServerChange::Put(record(0, Duration::ZERO));
    fleet.change(Time::from_millis(2_020), &former);
    assert_eq!(taken(&mut fleet, 3_900), 1, "an older word does not end it");
    assert_eq!(taken(&mut fleet, 5_100), 10, "it is warm again");
    let here = EngineHere {
        address: engine(0),
        service: service.clone(),
        zone: Name::new("a"),
    };
    let load = EngineLoad {
        cold: 900,
        capacity: CAPACITY,
        ..EngineLoad::default()
    };
    fleet.report(Time::from_millis(7_000), &here, &load);
    assert_eq!(taken(&mut fleet, 7_001), 1, "by its scout");
    assert!(fleet.identified(Time::from_millis(9_000), &here, &Name::new("i-other")));
    assert_eq!(taken(&mut fleet, 9_001), 1, "another incarnation");
}

quickcheck! {
    /// All entries together stay within the rate, however many there are and whichever server it is.
    fn shares_add_up_to_the_rate(entries: u16, rate: u16, server: u16) -> TestResult {
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
