//! Tests of the rate limits that backend servers announce in their responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::server_limit::LimitChange;
use cicada_lib::server_limit::LimitReport;
use cicada_lib::server_limit::LimitState;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

const SECOND: u64 = 1_000;

/// The window, in milliseconds, in which arrivals at a server are counted.
const WINDOW: u64 = 4 * SECOND;

/// How long, in milliseconds, an entry must have known the limit for its requests to count.
const NOTICE: u64 = 500;

/// Times, in milliseconds: the server announces its limit, callers pause and come back, the limit is
/// lifted, the simulation ends.
const LIMIT_START: u64 = 2 * SECOND;
const PAUSE_START: u64 = 12 * SECOND;
const PAUSE_END: u64 = 27 * SECOND;
const LIMIT_END: u64 = 37 * SECOND;
const END: u64 = 55 * SECOND;

/// The longest network delay in each direction, and the time that the server takes for a request, in
/// milliseconds.
const MAX_DELAY: u64 = 40;
const WORK_TIME: u64 = 30;

/// The interval at which an entry gossips, in milliseconds, and the number of entries that it contacts.
const GOSSIP_INTERVAL: u64 = 400;
const FANOUT: usize = 12;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a valid rate")
}

/// Guards against a limit that is lifted by a response to a request sent before the limit was known.
#[test]
fn a_response_to_an_earlier_request_does_not_lift_a_limit() {
    let mut limit = LimitState::default();
    assert_eq!(limit.record_response(at(10), at(0), None), None);
    let named = LimitChange::Named(rate(4.1));
    assert_eq!(
        limit.record_response(at(100), at(60), Some(rate(4.1))),
        Some(named)
    );
    assert_eq!(
        limit.record_response(at(120), at(60), Some(rate(4.1))),
        None
    );
    assert_eq!(limit.record_response(at(130), at(90), None), None);
    assert_eq!(limit.rate(), Some(rate(4.1)));
    let lifted = Some(LimitChange::Lifted);
    assert_eq!(limit.record_response(at(160), at(121), None), lifted);
    assert_eq!(limit.rate(), None);
    let again = LimitChange::Named(rate(3.0));
    assert_eq!(
        limit.record_response(at(170), at(80), Some(rate(3.0))),
        Some(again)
    );
}

#[test]
fn rates_reject_invalid_numbers_and_saturate() {
    assert_eq!(RequestRate::new(f64::NAN), None);
    assert_eq!(RequestRate::new(-1.0), None);
    assert_eq!(rate(3.2).per_second(), 3.2);
    assert!(rate(1e18).per_second() > 1e6);
}

fn entry(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, (number >> 8) as u8, number as u8], 7_200))
}

fn plain() -> ServiceSpec {
    ServiceSpec {
        engine: None,
        ..site::engine_service(24, 27_000)
    }
}

/// The fleet of an entry that knows one server, and `entries` entries including itself.
fn fleet(number: usize, entries: usize) -> Fleet {
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::new(),
    });
    let address = SocketAddr::from(([10, 1, 0, 1], 8_701));
    fleet.replace_servers(Time::ZERO, &[site::server("i-1", address, "a", 6)]);
    fleet.set_entries(entry(number), (0..entries).map(entry));
    fleet
}

/// A request at the server, or its response on the way back.
struct Sent {
    by: usize,
    incarnation: u32,
    at: u64,
    answered_at: u64,
    limit: Option<RequestRate>,
}

/// An entry, and when its current incarnation first received a response with a limit.
struct Entry {
    fleet: Fleet,
    incarnation: u32,
    limited_since: Option<u64>,
}

struct World {
    rng: fastrand::Rng,
    entries: Vec<Entry>,
    limit: f64,
    responses: Vec<Sent>,
    // Arrivals of all requests, and of requests by entries that knew the limit.
    arrivals: Vec<u64>,
    limited_arrivals: Vec<u64>,
    refused: Vec<u64>,
}

impl World {
    fn new(entries: usize, limit: f64) -> Self {
        let all = (0..entries).map(|number| Entry {
            fleet: fleet(number, entries),
            incarnation: 0,
            limited_since: None,
        });
        World {
            rng: fastrand::Rng::with_seed(entries as u64),
            entries: all.collect(),
            limit,
            responses: Vec::new(),
            arrivals: Vec::new(),
            limited_arrivals: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn send_request(&mut self, now: u64) {
        let by = self.rng.usize(..self.entries.len());
        let (service, spec) = (Name::new("llm"), plain());
        let request = PlacementRequest::new(&service, 0, 0);
        let entry = &mut self.entries[by];
        let Ok(key) = entry.fleet.choose(at(now), &request, &spec) else {
            self.refused.push(now);
            return;
        };
        entry.fleet.record_sent(at(now), key, &request);
        let arrival = now + self.rng.u64(1..MAX_DELAY);
        self.arrivals.push(arrival);
        let limited = (LIMIT_START..LIMIT_END).contains(&arrival);
        if limited
            && entry
                .limited_since
                .is_some_and(|limited_since| arrival >= limited_since + NOTICE)
        {
            self.limited_arrivals.push(arrival);
        }
        let answered_at = arrival + WORK_TIME + self.rng.u64(1..MAX_DELAY);
        self.responses.push(Sent {
            by,
            incarnation: entry.incarnation,
            at: now,
            answered_at,
            limit: limited.then(|| rate(self.limit)),
        });
    }

    fn deliver_responses(&mut self, now: u64) {
        let sent = std::mem::take(&mut self.responses);
        let (due, later): (Vec<Sent>, Vec<Sent>) =
            sent.into_iter().partition(|sent| sent.answered_at <= now);
        self.responses = later;
        for sent in due {
            let entry = &mut self.entries[sent.by];
            if entry.incarnation != sent.incarnation {
                continue;
            }
            let address = SocketAddr::from(([10, 1, 0, 1], 8_701));
            let key = entry.fleet.key_at(address).expect("listed");
            entry.fleet.record_ended(key, 0);
            entry
                .fleet
                .record_limit(at(now), key, at(sent.at), sent.limit);
            if sent.limit.is_some() {
                entry.limited_since.get_or_insert(now);
            }
        }
    }

    fn gossip(&mut self, now: u64, from: usize) {
        let reports: Vec<LimitReport> = self.entries[from].fleet.limit_reports(at(now));
        for _ in 0..FANOUT {
            let to = self.rng.usize(..self.entries.len());
            if to != from {
                self.entries[to]
                    .fleet
                    .apply_limit_reports(at(now), &reports);
            }
        }
    }

    fn restart(&mut self, number: usize) {
        let entries = self.entries.len();
        let incarnation = self.entries[number].incarnation + 1;
        self.entries[number] = Entry {
            fleet: fleet(number, entries),
            incarnation,
            limited_since: None,
        };
    }

    /// Runs the simulation: requests arrive at a constant rate except in the pause, and a third of the
    /// entries restarts while the limit is in force.
    fn run(mut self, per_second: u64, gossip: bool) -> Self {
        let mut due = 0;
        for now in 0..END {
            self.deliver_responses(now);
            if now == LIMIT_START + 3 * SECOND {
                let starting = (0..self.entries.len()).step_by(3);
                starting.for_each(|number| self.restart(number));
            }
            for number in 0..self.entries.len() {
                if gossip && (now + number as u64 * 7).is_multiple_of(GOSSIP_INTERVAL) {
                    self.gossip(now, number);
                }
            }
            due += if (PAUSE_START..PAUSE_END).contains(&now) {
                0
            } else {
                per_second
            };
            while due >= SECOND {
                due -= SECOND;
                self.send_request(now);
            }
        }
        self
    }
}

/// The largest number of the times that lie within one window.
fn max_in_window(times: &[u64]) -> usize {
    let mut times = times.to_vec();
    times.sort();
    let within = |(first, from): (usize, &u64)| {
        let later = times[first..].iter();
        later.take_while(|at| **at < from + WINDOW).count()
    };
    times
        .iter()
        .enumerate()
        .map(within)
        .max()
        .unwrap_or_default()
}

/// The number of requests that may arrive within one window.
fn tolerated(limit: f64) -> usize {
    (limit * 1.5 * (WINDOW / SECOND) as f64 + 5.0) as usize
}

const SIZES: [(usize, f64, u64); 9] = [
    (2, 12.0, 100),
    (5, 3.2, 45),
    (5, 0.5, 45),
    (29, 4.1, 200),
    (29, 40.0, 300),
    (103, 4.1, 500),
    (103, 0.0, 500),
    (370, 4.1, 1_400),
    (370, 200.0, 1_400),
];

/// Guards against entries that each send the whole limit to an overloaded server, or that all send one
/// request at once after an idle period.
#[test]
fn all_entries_together_keep_to_the_limit_and_use_it() {
    for (entries, limit, per_second) in SIZES {
        for gossip in [true, false] {
            let case = format!("{entries} entries, {limit} a second, gossip {gossip}");
            let world = World::new(entries, limit).run(per_second, gossip);
            let peak = max_in_window(&world.limited_arrivals);
            assert!(peak <= tolerated(limit), "{case}: {peak}");
            let within = |from: u64, to: u64| {
                let arrivals = world.arrivals.iter();
                arrivals.filter(|at| (from..to).contains(*at)).count() as f64
            };
            let arrival_rate =
                within(PAUSE_END, LIMIT_END) / ((LIMIT_END - PAUSE_END) / SECOND) as f64;
            assert!(
                arrival_rate >= 0.6 * limit,
                "{case}: {arrival_rate} a second"
            );
        }
    }
}

/// Guards against entries that keep applying a limit after it was lifted, because they send nothing to
/// the server and so get no response.
#[test]
fn a_lifted_limit_is_lifted_at_all_entries() {
    for (entries, limit, per_second) in SIZES {
        let world = World::new(entries, limit).run(per_second, true);
        let late = world.refused.iter().filter(|at| **at >= END - 3 * SECOND);
        let late = late.count();
        assert_eq!(late, 0, "{entries} entries, {limit} a second");
    }
}

/// Guards against an entry that takes the whole limit while it does not know how many entries there are.
#[test]
fn an_entry_that_knows_no_others_sends_nothing_to_a_limited_server() {
    let mut fleet = Fleet::new(Location {
        zone: Name::new("a"),
        regions: HashMap::new(),
    });
    let address = SocketAddr::from(([10, 1, 0, 1], 8_701));
    fleet.replace_servers(Time::ZERO, &[site::server("i-1", address, "a", 6)]);
    let word = LimitReport {
        server: Name::new("i-1"),
        limit: Some(rate(10.0)),
        age: 0,
    };
    fleet.apply_limit_reports(at(10), &[word]);
    let (service, spec) = (Name::new("llm"), plain());
    let request = PlacementRequest::new(&service, 0, 0);
    let limited = Err(NoServer::Excluded(Exclusion::Limited));
    for second in 1..30 {
        assert_eq!(fleet.choose(at(second * SECOND), &request, &spec), limited);
    }
    assert_eq!(fleet.exclusion_wait(at(SECOND), &request, &spec), None);
    fleet.set_entries(entry(0), [entry(1)]);
    assert!(fleet.choose(at(30 * SECOND), &request, &spec).is_ok());
}

/// Guards against a share that is exceeded permanently by requests sent regardless of the limit, such as
/// moved runs: later requests must wait until these are compensated.
#[test]
fn requests_beyond_the_share_are_deducted() {
    let mut fleet = fleet(0, 2);
    let word = LimitReport {
        server: Name::new("i-1"),
        limit: Some(rate(2.0)),
        age: 0,
    };
    fleet.apply_limit_reports(at(0), &[word]);
    let (service, spec) = (Name::new("llm"), plain());
    let request = PlacementRequest::new(&service, 0, 0);
    let key = fleet
        .choose(at(2 * SECOND), &request, &spec)
        .expect("its share");
    (0..4).for_each(|_| fleet.record_sent(at(2 * SECOND), key, &request));
    assert!(fleet.choose(at(5 * SECOND), &request, &spec).is_err());
    let wait = fleet.exclusion_wait(at(5 * SECOND), &request, &spec);
    let (why, wait) = wait.unzip();
    assert_eq!(why, Some(Exclusion::Limited));
    assert_eq!(wait, Some(Duration::from_secs(1)));
    assert!(fleet.choose(at(6 * SECOND), &request, &spec).is_ok());
}

/// Guards against a limit that is forgotten because the server's entry lapsed and came back.
#[test]
fn a_limit_outlasts_the_entry() {
    let mut fleet = fleet(0, 1);
    let word = LimitReport {
        server: Name::new("i-1"),
        limit: Some(rate(2.0)),
        age: 0,
    };
    fleet.apply_limit_reports(at(0), &[word]);
    let listed: Vec<ServerRecord> = fleet.servers().cloned().collect();
    fleet.replace_servers(at(SECOND), &[]);
    fleet.replace_servers(at(2 * SECOND), &listed);
    let key = fleet.key_at(listed[0].address).expect("a listed server");
    assert_eq!(fleet.limit(key), Some(rate(2.0)));
}
