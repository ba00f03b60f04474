//! Property test of the placement rules: allowed regions, zone evacuation and cold-start admission hold
//! under random sequences of evacuations, configuration changes, directory outages, entry crashes and
//! cold starts.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::cold_start::ColdStart;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::residency::AllowedRegions;
use cicada_lib::revision::Revision;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use cicada_lib::zone_evacuation::EvacuatedZones;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use testutils::site;

const ENTRIES: usize = 12;
const ZONES: usize = 4;
const PER_ZONE: usize = 3;
const SERVERS: usize = ZONES * PER_ZONE;

/// The requests per second that a cold server tolerates, and the most that may arrive in a second.
const COLD_RATE: f64 = 6.0;
const MAX_COLD_ARRIVALS: usize = 14;

/// How long a server is cold.
const COLD_PERIOD: Duration = Duration::from_secs(3);

/// The time between two steps in milliseconds, and the steps within which gossip must have reached every
/// entry.
const STEP: u64 = 100;
const GOSSIP_STEPS: u64 = 8;

/// An event in a step, in addition to requests.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator evacuates a zone, or ends its evacuation.
    Evacuate(usize),
    /// An operator restricts a route to a set of regions, given as bits.
    Allow(u8),
    /// The directory becomes unavailable, or available again.
    Outage,
    /// An entry crashes and restarts with the state of the directory.
    Crash(usize),
    /// A zone's servers restart cold.
    ColdStart(usize),
    Nothing,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = usize::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0 => Event::Evacuate(number % ZONES),
            1 => Event::Allow(number as u8),
            2 => Event::Outage,
            3 | 4 => Event::Crash(number % ENTRIES),
            5 => Event::ColdStart(number % ZONES),
            _ => Event::Nothing,
        }
    }
}

struct Entry {
    fleet: Fleet,
    version: u64,
    allowed: u8,
}

struct World {
    now: u64,
    rng: fastrand::Rng,
    entries: Vec<Entry>,
    // The directory's state.
    outage: bool,
    revision: u64,
    evacuated: BTreeSet<Name>,
    version: u64,
    allowed: u8,
    records: Vec<ServerRecord>,
    // When each evacuated zone was evacuated, and when the configuration last changed.
    evacuated_since: HashMap<Name, u64>,
    configured_at: u64,
    // When each server restarted cold, and its arrivals since.
    cold_since: HashMap<SocketAddr, u64>,
    arrivals: HashMap<SocketAddr, Vec<u64>>,
}

fn zone(number: usize) -> Name {
    Name::new(format!("z-{number}"))
}

/// The region of a zone: each has two zones.
fn region(number: usize) -> Name {
    Name::new(format!("r-{}", number / 2))
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 8_701))
}

fn entry_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, number as u8], 7_200))
}

fn record(number: usize, cold: Duration) -> ServerRecord {
    let zone = zone(number / PER_ZONE);
    ServerRecord {
        cold,
        ..site::server(&format!("i-{number}"), address(number), zone.as_str(), 24)
    }
}

fn regions(bits: u8) -> AllowedRegions {
    match bits % 4 {
        0 => AllowedRegions::Any,
        bits => AllowedRegions::only((0..2).filter(|n| bits >> n & 1 == 1).map(|n| region(n * 2))),
    }
}

fn spec() -> ServiceSpec {
    ServiceSpec {
        cold: ColdStart {
            period: COLD_PERIOD,
            rate: COLD_RATE,
        },
        ..site::engine_service(24, 1_000_000)
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = World {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            entries: Vec::new(),
            outage: false,
            revision: 1,
            evacuated: BTreeSet::new(),
            version: 1,
            allowed: 0,
            records: (0..SERVERS).map(|n| record(n, Duration::ZERO)).collect(),
            evacuated_since: HashMap::new(),
            configured_at: 0,
            cold_since: HashMap::new(),
            arrivals: HashMap::new(),
        };
        world.entries = (0..ENTRIES).map(|n| world.start(n)).collect();
        world
    }

    /// Starts an entry with the state of the directory.
    fn start(&self, number: usize) -> Entry {
        let zones = (0..ZONES).map(|n| (zone(n), region(n)));
        let mut fleet = Fleet::new(Location {
            zone: zone(number % ZONES),
            regions: zones.collect(),
        });
        fleet.replace_servers(self.time(), &self.records);
        fleet.set_evacuated(self.time(), &self.evacuated_now());
        fleet.set_entries(entry_address(number), (0..ENTRIES).map(entry_address));
        Entry {
            fleet,
            version: self.version,
            allowed: self.allowed,
        }
    }

    fn evacuated_now(&self) -> EvacuatedZones {
        EvacuatedZones {
            zones: self.evacuated.clone(),
            revision: Revision::new(0, self.revision),
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Outage => self.outage = !self.outage,
            // The operator cannot reach the directory either.
            Event::Evacuate(_) | Event::Allow(_) if self.outage => {}
            Event::Evacuate(number) => {
                self.revision += 1;
                let zone = zone(number);
                match self.evacuated.remove(&zone) {
                    true => drop(self.evacuated_since.remove(&zone)),
                    false => {
                        self.evacuated.insert(zone.clone());
                        self.evacuated_since.insert(zone, now);
                    }
                }
                // One entry watches the directory and is notified at once.
                let evacuated = self.evacuated_now();
                let watcher = self.rng.usize(..ENTRIES);
                let at = self.time();
                self.entries[watcher].fleet.set_evacuated(at, &evacuated);
            }
            Event::Allow(bits) => {
                self.version += 1;
                self.allowed = bits;
                self.configured_at = now;
                let watcher = self.rng.usize(..ENTRIES);
                self.configure(watcher);
            }
            // An entry that starts during an outage would know nothing but what its peers tell it.
            Event::Crash(number) if !self.outage => self.entries[number] = self.start(number),
            Event::Crash(_) | Event::Nothing => {}
            Event::ColdStart(number) => self.cold_start(number),
        }
    }

    fn cold_start(&mut self, zone: usize) {
        let now = self.time();
        for number in zone * PER_ZONE..(zone + 1) * PER_ZONE {
            self.cold_since.insert(address(number), self.now);
            self.records[number] = record(number, COLD_PERIOD);
            let put = ServerChange::Put(record(number, COLD_PERIOD));
            for entry in &mut self.entries {
                entry.fleet.apply_change(now, &put);
            }
        }
    }

    fn configure(&mut self, number: usize) {
        let (version, allowed) = (self.version, self.allowed);
        let entry = &mut self.entries[number];
        (entry.version, entry.allowed) = (version, allowed);
    }

    /// Each entry sends its state to two others; newer state replaces older state.
    fn gossip(&mut self) {
        for from in 0..ENTRIES {
            for _ in 0..2 {
                let to = self.rng.usize(..ENTRIES);
                let evacuated = self.entries[from].fleet.evacuated().clone();
                let (version, allowed) = (self.entries[from].version, self.entries[from].allowed);
                let now = self.time();
                let other = &mut self.entries[to];
                other.fleet.set_evacuated(now, &evacuated);
                if version > other.version {
                    (other.version, other.allowed) = (version, allowed);
                }
            }
        }
    }

    /// Sends a request through a random entry; `Err` describes the rule that its placement violates.
    fn send_request(&mut self) -> Result<(), String> {
        let number = self.rng.usize(..ENTRIES);
        let (now, at) = (self.now, self.time());
        let entry = &mut self.entries[number];
        let service = Name::new("llm");
        let allowed = regions(entry.allowed);
        let request = PlacementRequest {
            regions: &allowed,
            ..PlacementRequest::new(&service, 500, 800)
        };
        let Ok(key) = entry.fleet.choose(at, &request, &spec()) else {
            return Ok(());
        };
        entry.fleet.record_sent(at, key, &request);
        let record = entry.fleet.record(key).expect("chosen").clone();
        let must_know = |since: u64| now > since + GOSSIP_STEPS * STEP;
        if let Some(since) = self.evacuated_since.get(&record.zone)
            && must_know(*since)
        {
            return Err(format!(
                "{} was evacuated at {since} and used at {now}",
                record.zone
            ));
        }
        let zone = (0..ZONES)
            .find(|n| zone(*n) == record.zone)
            .expect("a zone");
        if must_know(self.configured_at) && !regions(self.allowed).permits(&region(zone)) {
            return Err(format!("{} is in no allowed region at {now}", record.zone));
        }
        let Some(since) = self.cold_since.get(&record.address) else {
            return Ok(());
        };
        if now >= since + COLD_PERIOD.as_millis() as u64 {
            return Ok(());
        }
        let arrivals = self.arrivals.entry(record.address).or_default();
        arrivals.push(now);
        let latest = arrivals.iter().filter(|at| now - **at < 1_000).count();
        match latest > MAX_COLD_ARRIVALS {
            true => Err(format!(
                "{} got {latest} requests in a second while cold",
                record.address
            )),
            false => Ok(()),
        }
    }
}

/// Applies the events, with a burst of requests in each step.
fn simulate(events: &[Event], seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    for event in events {
        world.now += STEP;
        world.apply(*event);
        world.gossip();
        for _ in 0..30 {
            world.send_request()?;
        }
    }
    Ok(())
}

#[test]
fn placement_rules_hold_in_any_order_of_events() {
    fn holds(events: Vec<Event>, seed: u64) -> quickcheck::TestResult {
        match simulate(&events, seed) {
            Ok(()) => quickcheck::TestResult::passed(),
            Err(violation) => quickcheck::TestResult::error(violation),
        }
    }
    let generator = Gen::from_size_and_seed(150, 26);
    let mut check = QuickCheck::new().rng(generator).tests(150);
    check.quickcheck(holds as fn(Vec<Event>, u64) -> quickcheck::TestResult);
}
