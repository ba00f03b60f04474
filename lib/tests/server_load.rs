//! Tests of the load that plain servers state, and a replay of servers whose hosts change speed many times a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::routing::ServerKey;
use cicada_lib::server_load::HostSpeed;
use cicada_lib::server_load::ServerLoad;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

/// Slots of the servers: two kinds of host.
const SLOTS: [u32; 6] = [8, 8, 8, 3, 3, 3];

/// Slots that the directory has for each of them.
const LISTED_SLOTS: u32 = 6;

const ENTRIES: usize = 8;

/// Work of a call on a host that is as fast as usual, in milliseconds, and the time within which an answer is in time.
const WORK_MS: f64 = 15.0;
const OBJECTIVE_MS: u64 = 60;

/// What the server with most slots can do within a tenth of a second on a host that is fast.
const MOST_IN_RUSH: usize = (8.0 * 100.0 / (WORK_MS * 0.7)) as usize;

/// Calls per second, and how long a replay takes in milliseconds.
const RATE: u64 = 800;
const REPLAY_MS: u64 = 12_000;

fn millis(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// How entries use what servers state of their speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Not at all, nor the slots.
    Ignored,
    /// The latest statement is taken for the present.
    Latest,
    /// As the product does.
    Product,
}

/// A call at a server.
struct Job {
    entry: usize,
    sent: u64,
    left_ms: f64,
}

/// A server on a host that others use too.
struct Server {
    slots: usize,
    percent: u32,
    running: Vec<Job>,
    waiting: Vec<Job>,
}

impl Server {
    /// Draws the speed anew: mostly near the usual, at times several times slower.
    fn draw_speed(&mut self, rng: &mut fastrand::Rng) {
        self.percent = match rng.u32(..10) {
            0 | 1 => rng.u32(250..600),
            _ => rng.u32(70..130),
        };
    }

    fn load(&self) -> ServerLoad {
        ServerLoad::new(self.running.len() as u32, self.waiting.len() as u32)
            .with_slots(Some(self.slots as u32))
            .with_work_percent(Some(self.percent))
    }

    /// Works for a millisecond and returns the calls that have ended.
    fn work(&mut self) -> Vec<Job> {
        while self.running.len() < self.slots && !self.waiting.is_empty() {
            self.running.push(self.waiting.remove(0));
        }
        for job in &mut self.running {
            job.left_ms -= 100.0 / f64::from(self.percent);
        }
        let jobs = std::mem::take(&mut self.running);
        let (ended, running) = jobs.into_iter().partition(|job| job.left_ms <= 0.0);
        self.running = running;
        ended
    }
}

/// What a replay gave.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    in_time: u64,
    // The most calls that any server got within a tenth of a second.
    largest_rush: usize,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 8_701))
}

fn number_of(fleet: &Fleet, key: ServerKey) -> usize {
    let address = fleet.record(key).expect("a listed server").address;
    (0..SLOTS.len())
        .find(|number| self::address(*number) == address)
        .expect("one of the servers")
}

fn entry() -> Fleet {
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::from([(Name::new("a"), Name::new("region"))]),
    });
    let records = (0..SLOTS.len())
        .map(|number| site::server(&format!("i-{number}"), address(number), "a", LISTED_SLOTS));
    fleet.replace_servers(millis(0), &records.collect::<Vec<_>>());
    fleet
}

/// What the entry is told of a statement, by the way that is compared.
fn told(way: Way, load: ServerLoad) -> ServerLoad {
    match way {
        Way::Ignored => ServerLoad::new(load.running, load.waiting),
        Way::Latest | Way::Product => load,
    }
}

fn replay(way: Way, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let spec = ServiceSpec {
        engine: None,
        ..site::engine_service(LISTED_SLOTS, 0)
    };
    let service = Name::new("llm");
    let request = PlacementRequest::new(&service, 0, 0);
    let mut entries: Vec<Fleet> = (0..ENTRIES).map(|_| entry()).collect();
    let mut latest = vec![[None; SLOTS.len()]; ENTRIES];
    let mut servers = SLOTS.map(|slots| Server {
        slots: slots as usize,
        percent: 100,
        running: Vec::new(),
        waiting: Vec::new(),
    });
    let mut placed: Vec<(u64, usize)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut due = 0.0;
    for now in 0..REPLAY_MS {
        for (number, server) in servers.iter_mut().enumerate() {
            if rng.u32(..200) == 0 {
                server.draw_speed(&mut rng);
            }
            for job in server.work() {
                let load = told(way, server.load());
                let fleet = &mut entries[job.entry];
                let key = fleet.key_at(address(number)).expect("a listed server");
                fleet.record_ended(key, 0);
                fleet.record_load(millis(now), key, &load);
                latest[job.entry][number] = Some(load);
                outcome.in_time += u64::from(now - job.sent <= OBJECTIVE_MS);
            }
        }
        due += RATE as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            let entry = rng.usize(..ENTRIES);
            let fleet = &mut entries[entry];
            if way == Way::Latest {
                for (number, load) in latest[entry].iter().enumerate() {
                    let key = fleet.key_at(address(number)).expect("a listed server");
                    load.iter()
                        .for_each(|load| fleet.record_load(millis(now), key, load));
                }
            }
            let key = fleet
                .choose(millis(now), &request, &spec)
                .expect("a server");
            fleet.record_sent(millis(now), key, &request);
            let number = number_of(fleet, key);
            placed.push((now, number));
            servers[number].waiting.push(Job {
                entry,
                sent: now,
                left_ms: WORK_MS,
            });
        }
    }
    outcome.largest_rush = largest_rush(&placed);
    outcome
}

/// The most calls that a server got within a tenth of a second.
fn largest_rush(placed: &[(u64, usize)]) -> usize {
    let rushes = placed.iter().enumerate().map(|(index, (at, server))| {
        let window = placed[index..].iter().take_while(|(t, _)| t - at < 100);
        window.filter(|(_, other)| other == server).count()
    });
    rushes.max().unwrap_or_default()
}

fn total(way: Way) -> Outcome {
    let outcomes = (1..=8).map(|seed| replay(way, seed));
    outcomes.fold(Outcome::default(), |sum, next| Outcome {
        in_time: sum.in_time + next.in_time,
        largest_rush: sum.largest_rush.max(next.largest_rush),
    })
}

/// Guards against calls that are sent to slow hosts although their servers state it, and against entries that all run to
/// the server that was fast a moment ago.
#[test]
fn stated_speeds_bring_more_calls_home_in_time_without_a_rush() {
    let (ignored, latest, product) = (total(Way::Ignored), total(Way::Latest), total(Way::Product));
    let seen = format!("ignored {ignored:?}, latest {latest:?}, product {product:?}");
    assert!(product.in_time > ignored.in_time, "{seen}");
    assert!(product.in_time >= latest.in_time, "{seen}");
    assert!(product.largest_rush <= MOST_IN_RUSH, "{seen}");
}

/// Guards against a server with few slots that gets as many calls as one with many, because the list says so.
#[test]
fn stated_slots_go_before_the_listed_ones() {
    let mut fleet = entry();
    let spec = ServiceSpec {
        engine: None,
        ..site::engine_service(LISTED_SLOTS, 0)
    };
    let service = Name::new("llm");
    let request = PlacementRequest::new(&service, 0, 0);
    for (number, slots) in SLOTS.iter().enumerate() {
        let key = fleet.key_at(address(number)).expect("a listed server");
        let load = ServerLoad::new(0, 0).with_slots(Some(*slots));
        fleet.record_load(millis(0), key, &load);
    }
    let mut calls = [0; SLOTS.len()];
    for _ in 0..SLOTS.iter().sum() {
        let key = fleet.choose(millis(1), &request, &spec).expect("a server");
        fleet.record_sent(millis(1), key, &request);
        calls[number_of(&fleet, key)] += 1;
    }
    assert_eq!(calls, SLOTS);
}

/// Guards against a statement of a moment ago that keeps calls away for longer than the host is slow.
#[test]
fn the_effect_of_a_slow_moment_fades() {
    let percent = |percent| ServerLoad::new(0, 0).with_work_percent(Some(percent));
    let mut speed = HostSpeed::default();
    (0..100).for_each(|step| speed.record(millis(step * 100), &percent(100)));
    speed.record(millis(10_000), &percent(500));
    assert!(speed.slowdown(millis(10_000)) > 4.0);
    assert!(speed.slowdown(millis(11_000)) < 1.5);
}

/// Guards against a host that was fast once and gets all calls.
#[test]
fn a_fast_moment_attracts_nothing() {
    let percent = |percent| ServerLoad::new(0, 0).with_work_percent(Some(percent));
    let mut speed = HostSpeed::default();
    (0..100).for_each(|step| speed.record(millis(step * 100), &percent(100)));
    speed.record(millis(10_000), &percent(20));
    assert!(speed.slowdown(millis(10_000)) > 0.9);
}

/// Guards against figures out of any proportion, which would overflow or exclude a server for good.
#[test]
fn figures_out_of_proportion_are_capped() {
    let huge = ServerLoad::new(u32::MAX, u32::MAX)
        .with_slots(Some(0))
        .with_work_percent(Some(u32::MAX));
    assert!(huge.requests() < u32::MAX);
    assert_eq!(huge.slots, None);
    assert!(huge.slowdown() <= 100.0);
    let zero = ServerLoad::new(0, 0).with_work_percent(Some(0));
    assert_eq!(zero.work_percent, None);
}
