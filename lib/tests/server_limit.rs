//! Limits that backend servers name in their answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::fleet::Exclusion;
use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Need;
use cicada_lib::fleet::NoServer;
use cicada_lib::fleet::Place;
use cicada_lib::ids::Name;
use cicada_lib::server_limit::LimitChange;
use cicada_lib::server_limit::LimitState;
use cicada_lib::server_limit::LimitWord;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

const SECOND: u64 = 1_000;

/// The time over which arrivals at a server are counted.
const WINDOW: u64 = 4 * SECOND;

/// How long an entry has known a limit before its requests count.
const KNOWN: u64 = 500;

/// When the server begins to name its limit, when callers pause and come back, and when the limit ends.
const NAMED: u64 = 2 * SECOND;
const QUIET: u64 = 12 * SECOND;
const STORM: u64 = 27 * SECOND;
const LIFTED: u64 = 37 * SECOND;
const END: u64 = 55 * SECOND;

/// The longest way to the server and back, and the time that it works on a request, in milliseconds.
const WAY: u64 = 40;
const WORK: u64 = 30;

/// The time between two words of an entry to others, in milliseconds, and the entries that get one.
const HELLO: u64 = 400;
const FANOUT: usize = 12;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("it is a number of requests")
}

/// Guards against a limit that an answer from before it lifts.
#[test]
fn an_answer_that_was_under_way_lifts_no_limit() {
    let mut limit = LimitState::default();
    assert_eq!(limit.answered(at(10), at(0), None), None);
    let named = LimitChange::Named(rate(4.1));
    assert_eq!(
        limit.answered(at(100), at(60), Some(rate(4.1))),
        Some(named)
    );
    assert_eq!(limit.answered(at(120), at(60), Some(rate(4.1))), None);
    assert_eq!(limit.answered(at(130), at(90), None), None);
    assert_eq!(limit.rate(), Some(rate(4.1)));
    let lifted = Some(LimitChange::Lifted);
    assert_eq!(limit.answered(at(160), at(121), None), lifted);
    assert_eq!(limit.rate(), None);
    let again = LimitChange::Named(rate(3.0));
    assert_eq!(
        limit.answered(at(170), at(80), Some(rate(3.0))),
        Some(again)
    );
}

#[test]
fn a_rate_is_a_number_of_requests() {
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

/// An entry that knows one server, and `entries` in all.
fn fleet(number: usize, entries: usize) -> Fleet {
    let mut fleet = Fleet::new(Place {
        zone: Name::new("a"),
        regions: HashMap::new(),
    });
    let address = SocketAddr::from(([10, 1, 0, 1], 8_701));
    fleet.set_all(Time::ZERO, &[site::server("i-1", address, "a", 6)]);
    fleet.set_entries(entry(number), (0..entries).map(entry));
    fleet
}

/// A request at the server, or its answer on the way back.
struct Sent {
    by: usize,
    life: u32,
    at: u64,
    answered: u64,
    limit: Option<RequestRate>,
}

/// An entry, and when its present life first heard an answer with a limit.
struct Entry {
    fleet: Fleet,
    life: u32,
    told: Option<u64>,
}

struct World {
    rng: fastrand::Rng,
    entries: Vec<Entry>,
    limit: f64,
    answers: Vec<Sent>,
    // Of all requests; and of those of entries that had known the limit.
    arrivals: Vec<u64>,
    bound: Vec<u64>,
    refused: Vec<u64>,
}

impl World {
    fn new(entries: usize, limit: f64) -> Self {
        let all = (0..entries).map(|number| Entry {
            fleet: fleet(number, entries),
            life: 0,
            told: None,
        });
        World {
            rng: fastrand::Rng::with_seed(entries as u64),
            entries: all.collect(),
            limit,
            answers: Vec::new(),
            arrivals: Vec::new(),
            bound: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn request(&mut self, now: u64) {
        let by = self.rng.usize(..self.entries.len());
        let (service, spec) = (Name::new("llm"), plain());
        let need = Need::new(&service, 0, 0);
        let entry = &mut self.entries[by];
        let Ok(key) = entry.fleet.choose(at(now), &need, &spec) else {
            self.refused.push(now);
            return;
        };
        entry.fleet.started(at(now), key, &need);
        let arrival = now + self.rng.u64(1..WAY);
        self.arrivals.push(arrival);
        let names = (NAMED..LIFTED).contains(&arrival);
        if names && entry.told.is_some_and(|told| arrival >= told + KNOWN) {
            self.bound.push(arrival);
        }
        let answered = arrival + WORK + self.rng.u64(1..WAY);
        self.answers.push(Sent {
            by,
            life: entry.life,
            at: now,
            answered,
            limit: names.then(|| rate(self.limit)),
        });
    }

    fn hear_answers(&mut self, now: u64) {
        let sent = std::mem::take(&mut self.answers);
        let (due, later): (Vec<Sent>, Vec<Sent>) =
            sent.into_iter().partition(|sent| sent.answered <= now);
        self.answers = later;
        for sent in due {
            let entry = &mut self.entries[sent.by];
            if entry.life != sent.life {
                continue;
            }
            let address = SocketAddr::from(([10, 1, 0, 1], 8_701));
            let key = entry.fleet.key_at(address).expect("it is listed");
            entry.fleet.ended(key, 0);
            entry
                .fleet
                .told_limit(at(now), key, at(sent.at), sent.limit);
            if sent.limit.is_some() {
                entry.told.get_or_insert(now);
            }
        }
    }

    fn hello(&mut self, now: u64, from: usize) {
        let words: Vec<LimitWord> = self.entries[from].fleet.limit_words(at(now));
        for _ in 0..FANOUT {
            let to = self.rng.usize(..self.entries.len());
            if to != from {
                self.entries[to].fleet.hear_limits(at(now), &words);
            }
        }
    }

    fn restart(&mut self, number: usize) {
        let entries = self.entries.len();
        let life = self.entries[number].life + 1;
        self.entries[number] = Entry {
            fleet: fleet(number, entries),
            life,
            told: None,
        };
    }

    /// Callers come all the time but for a pause; a third of the entries starts again while the limit holds.
    fn play(mut self, per_second: u64, gossip: bool) -> Self {
        let mut owed = 0;
        for now in 0..END {
            self.hear_answers(now);
            if now == NAMED + 3 * SECOND {
                let starting = (0..self.entries.len()).step_by(3);
                starting.for_each(|number| self.restart(number));
            }
            for number in 0..self.entries.len() {
                if gossip && (now + number as u64 * 7).is_multiple_of(HELLO) {
                    self.hello(now, number);
                }
            }
            owed += if (QUIET..STORM).contains(&now) {
                0
            } else {
                per_second
            };
            while owed >= SECOND {
                owed -= SECOND;
                self.request(now);
            }
        }
        self
    }
}

/// The most of the times that lie within one window.
fn most(times: &[u64]) -> usize {
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

/// What may arrive within one window.
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

/// Guards against entries that each send a server in need its limit, or all send one request at once after a quiet time.
#[test]
fn all_entries_together_keep_to_the_limit_and_use_it() {
    for (entries, limit, per_second) in SIZES {
        for gossip in [true, false] {
            let case = format!("{entries} entries, {limit} a second, gossip {gossip}");
            let world = World::new(entries, limit).play(per_second, gossip);
            let most = most(&world.bound);
            assert!(most <= tolerated(limit), "{case}: {most}");
            let within = |from: u64, to: u64| {
                let there = world.arrivals.iter();
                there.filter(|at| (from..to).contains(*at)).count() as f64
            };
            let busy = within(STORM, LIFTED) / ((LIFTED - STORM) / SECOND) as f64;
            assert!(busy >= 0.6 * limit, "{case}: {busy} a second");
        }
    }
}

/// Guards against a limit that most entries go on keeping to after it was lifted, since they send nothing there.
#[test]
fn a_lifted_limit_is_over_at_all_entries() {
    for (entries, limit, per_second) in SIZES {
        let world = World::new(entries, limit).play(per_second, true);
        let late = world.refused.iter().filter(|at| **at >= END - 3 * SECOND);
        let late = late.count();
        assert_eq!(late, 0, "{entries} entries, {limit} a second");
    }
}

/// Guards against a share for each entry that does not know yet how many there are.
#[test]
fn an_entry_that_knows_no_others_sends_nothing_to_a_limited_server() {
    let mut fleet = Fleet::new(Place {
        zone: Name::new("a"),
        regions: HashMap::new(),
    });
    let address = SocketAddr::from(([10, 1, 0, 1], 8_701));
    fleet.set_all(Time::ZERO, &[site::server("i-1", address, "a", 6)]);
    let word = LimitWord {
        server: Name::new("i-1"),
        limit: Some(rate(10.0)),
        age: 0,
    };
    fleet.hear_limits(at(10), &[word]);
    let (service, spec) = (Name::new("llm"), plain());
    let need = Need::new(&service, 0, 0);
    let limited = Err(NoServer::Excluded(Exclusion::Limited));
    for second in 1..30 {
        assert_eq!(fleet.choose(at(second * SECOND), &need, &spec), limited);
    }
    assert_eq!(fleet.until_unlimited(at(SECOND), &need, &spec), None);
    fleet.set_entries(entry(0), [entry(1)]);
    assert!(fleet.choose(at(30 * SECOND), &need, &spec).is_ok());
}

/// Guards against a share that grows with requests which are sent whatever the limit: runs that are moved.
#[test]
fn requests_beyond_the_share_are_made_up_for() {
    let mut fleet = fleet(0, 2);
    let word = LimitWord {
        server: Name::new("i-1"),
        limit: Some(rate(2.0)),
        age: 0,
    };
    fleet.hear_limits(at(0), &[word]);
    let (service, spec) = (Name::new("llm"), plain());
    let need = Need::new(&service, 0, 0);
    let key = fleet
        .choose(at(2 * SECOND), &need, &spec)
        .expect("its share");
    (0..4).for_each(|_| fleet.started(at(2 * SECOND), key, &need));
    assert!(fleet.choose(at(5 * SECOND), &need, &spec).is_err());
    let wait = fleet.until_unlimited(at(5 * SECOND), &need, &spec);
    assert_eq!(wait, Some(Duration::from_secs(1)));
    assert!(fleet.choose(at(6 * SECOND), &need, &spec).is_ok());
}
