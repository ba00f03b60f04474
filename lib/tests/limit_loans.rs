//! Tests of loans of shares in servers' request limits, in a simulation without a network.

use std::collections::HashMap;
use std::net::SocketAddr;

use cicada_lib::fleet::Fleet;
use cicada_lib::fleet::Location;
use cicada_lib::fleet::PlacementRequest;
use cicada_lib::ids::Name;
use cicada_lib::limits::FLOOR;
use cicada_lib::limits::LEASE;
use cicada_lib::limits::Lender;
use cicada_lib::limits::LoanFraction;
use cicada_lib::limits::LoanMessage;
use cicada_lib::limits::LoanRequest;
use cicada_lib::limits::RECLAIM_MARGIN;
use cicada_lib::limits::ServicePosition;
use cicada_lib::limits::ShareLedger;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::server_limit::LimitReport;
use cicada_lib::server_limit::RequestRate;
use cicada_lib::site::ServiceSpec;
use cicada_lib::time::Time;
use testutils::site;

const SECOND: u64 = 1_000;

/// Number of limited servers.
const SERVERS: usize = 3;

/// Times in milliseconds: how long each relay gets all requests, and how long the simulation lasts.
const SHIFT_INTERVAL: u64 = 6 * SECOND;
const END: u64 = 60 * SECOND;

/// Intervals in milliseconds at which a relay looks for loans and states its demand.
const LOAN_INTERVAL: u64 = 200;
const HELLO_INTERVAL: u64 = 400;

/// The longest delay of a request or an undisturbed message, and of a late message, in milliseconds.
const MAX_DELAY: u64 = 40;
const MAX_LATENESS: u64 = 4 * SECOND;

/// Time after a shift from which the requests must be served, in milliseconds.
const FOLLOW_TIME: u64 = 4 * SECOND;

fn relay(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, (number >> 8) as u8, number as u8], 7_200))
}

fn service() -> Name {
    Name::new("llm")
}

/// Which faults a simulation has.
#[derive(Clone, Copy, Default)]
struct Faults {
    // Probabilities that a message is lost, late, or duplicated.
    lost: f64,
    late: f64,
    duplicated: f64,
    // Whether the relays are cut into two halves every other 5 s.
    partitions: bool,
    // Interval in milliseconds at which a random relay restarts, and at which all do; zero for never.
    restarts: u64,
    mass_restarts: u64,
}

/// A process of a relay.
struct Process {
    fleet: Fleet,
    born: u64,
    // The demand that each relay stated last.
    demands: HashMap<usize, f64>,
}

impl Process {
    fn start(now: u64, number: usize, relays: usize, limit: f64, seed: u32) -> Self {
        let place = Location {
            zone: Name::new("a"),
            regions: HashMap::new(),
        };
        let ledger = ShareLedger::new(seed).with_former_loans(Time::ZERO);
        let mut fleet = Fleet::new(place).with_ledger(ledger);
        let servers = (1..=SERVERS).map(|number| {
            let address = SocketAddr::from(([10, 1, 0, number as u8], 8_701));
            site::server(&format!("i-{number}"), address, "a", 6)
        });
        let servers: Vec<_> = servers.collect();
        fleet.replace_servers(Time::ZERO, &servers);
        fleet.set_entries(relay(number), (0..relays).map(relay));
        let reports = servers.iter().map(|server| LimitReport {
            server: server.id.clone(),
            limit: RequestRate::new(limit),
            age: 0,
        });
        let reports: Vec<LimitReport> = reports.collect();
        fleet.apply_limit_reports(Time::from_millis(1), &reports);
        Process {
            fleet,
            born: now,
            demands: HashMap::new(),
        }
    }

    /// The time by the process's own clock.
    fn time(&self, now: u64) -> Time {
        Time::from_millis(now - self.born + 1)
    }
}

struct Message {
    due: u64,
    from: usize,
    to: usize,
    content: LoanMessage,
}

struct World {
    rng: fastrand::Rng,
    relays: Vec<Process>,
    limit: f64,
    faults: Faults,
    lends: bool,
    messages: Vec<Message>,
    // Arrivals at each server.
    arrivals: Vec<Vec<u64>>,
    // When each request was sent, and whether it was served.
    requests: Vec<(u64, bool)>,
    // The largest sum of all shares, in equal shares.
    largest_sum: f64,
}

impl World {
    fn new(seed: u64, relays: usize, limit: f64, faults: Faults) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = |number| Process::start(0, number, relays, limit, rng.u32(..));
        let processes: Vec<Process> = (0..relays).map(start).collect();
        World {
            rng,
            relays: processes,
            limit,
            faults,
            lends: true,
            messages: Vec::new(),
            arrivals: vec![Vec::new(); SERVERS],
            requests: Vec::new(),
            largest_sum: 0.0,
        }
    }

    fn without_loans(mut self) -> Self {
        self.lends = false;
        self
    }

    /// The relay that gets all requests.
    fn target(&self, now: u64) -> usize {
        (now / SHIFT_INTERVAL) as usize * 3 % self.relays.len()
    }

    fn is_cut(&self, now: u64, from: usize, to: usize) -> bool {
        let half = self.relays.len() / 2;
        let is_partition = self.faults.partitions && (now / (5 * SECOND)) % 2 == 1;
        is_partition && (from < half) != (to < half)
    }

    fn send_message(&mut self, now: u64, from: usize, to: usize, content: LoanMessage) {
        let copies = 1 + usize::from(self.rng.f64() < self.faults.duplicated);
        for _ in 0..copies {
            if self.rng.f64() < self.faults.lost || self.is_cut(now, from, to) {
                continue;
            }
            let most = match self.rng.f64() < self.faults.late {
                true => MAX_LATENESS,
                false => MAX_DELAY,
            };
            let due = now + self.rng.u64(1..most);
            let content = content.clone();
            self.messages.push(Message {
                due,
                from,
                to,
                content,
            });
        }
    }

    fn deliver_messages(&mut self, now: u64) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|m| m.due <= now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let (from, to) = (message.from, message.to);
            let process = &mut self.relays[to];
            let time = process.time(now);
            match message.content {
                LoanMessage::Request(request) => {
                    let grant = process.fleet.grant_loan(time, relay(from), &request);
                    let grant = grant.expect("limits and relays are known");
                    self.send_message(now, to, from, LoanMessage::Grant(grant));
                }
                LoanMessage::Grant(grant) => {
                    process.fleet.apply_loan_grant(time, relay(from), &grant);
                }
            }
        }
    }

    fn look_for_loans(&mut self, now: u64, number: usize) {
        let process = &mut self.relays[number];
        let time = process.time(now);
        process.fleet.settle_shares(time);
        let demands = process.demands.iter();
        let lenders = demands.map(|(number, demand)| Lender {
            relay: relay(*number),
            demand: *demand,
        });
        let mut lenders: Vec<Lender> = lenders.collect();
        // The order must depend on the seed only.
        lenders.sort_by_key(|lender| lender.relay);
        self.rng.shuffle(&mut lenders);
        let requests = process.fleet.loan_requests(time, &service(), lenders);
        for (lender, request) in requests {
            let to = (0..self.relays.len()).find(|other| relay(*other) == lender);
            let to = to.expect("a known relay");
            self.send_message(now, number, to, LoanMessage::Request(request));
        }
    }

    fn state_demand(&mut self, now: u64, number: usize) {
        let process = &self.relays[number];
        let demand = process.fleet.ledger().demand(process.time(now), &service());
        for other in 0..self.relays.len() {
            if other != number && !self.is_cut(now, number, other) {
                self.relays[other].demands.insert(number, demand);
            }
        }
    }

    fn send_request(&mut self, now: u64) {
        // A tenth of the requests goes to other relays.
        let to = match self.rng.u32(..10) {
            0 => self.rng.usize(..self.relays.len()),
            _ => self.target(now),
        };
        let process = &mut self.relays[to];
        let time = process.time(now);
        let (service, spec) = (service(), plain());
        let request = PlacementRequest::new(&service, 0, 0);
        let chosen = process.fleet.choose(time, &request, &spec);
        self.requests.push((now, chosen.is_ok()));
        let Ok(key) = chosen else {
            return process.fleet.record_limit_rejection(time, &service);
        };
        process.fleet.record_sent(time, key, &request);
        let record = process.fleet.record(key).expect("a listed server");
        let server = record.address.to_string();
        process.fleet.record_ended(key, 0);
        let arrival = now + self.rng.u64(1..MAX_DELAY);
        let index = (1..=SERVERS).find(|number| server == format!("10.1.0.{number}:8701"));
        self.arrivals[index.expect("a server") - 1].push(arrival);
    }

    fn restart(&mut self, now: u64, number: usize) {
        let (relays, seed) = (self.relays.len(), self.rng.u32(..));
        self.relays[number] = Process::start(now, number, relays, self.limit, seed);
    }

    fn restart_due(&mut self, now: u64) {
        let Faults {
            restarts,
            mass_restarts,
            ..
        } = self.faults;
        if restarts > 0 && now % restarts == restarts - 1 {
            let number = self.rng.usize(..self.relays.len());
            self.restart(now, number);
        }
        if mass_restarts > 0 && now % mass_restarts == mass_restarts - 1 {
            (0..self.relays.len()).for_each(|number| self.restart(now, number));
        }
    }

    /// The sum of all relays' shares as they may be used now, in equal shares.
    fn sum_of_shares(&self, now: u64) -> f64 {
        let shares = self.relays.iter().map(|process| {
            let (time, fleet) = (process.time(now), &process.fleet);
            let kept = fleet.ledger().kept_fraction(time, &service());
            let (_, borrowed) = fleet.loan_totals(time, &service());
            kept + borrowed
        });
        shares.sum()
    }

    /// Runs the simulation with this many requests a second.
    fn run(mut self, per_second: u64) -> Self {
        let mut due = 0;
        for now in 0..END {
            self.restart_due(now);
            self.deliver_messages(now);
            for number in 0..self.relays.len() {
                let phase = now + number as u64 * 37;
                if phase.is_multiple_of(HELLO_INTERVAL) {
                    self.state_demand(now, number);
                }
                if self.lends && phase.is_multiple_of(LOAN_INTERVAL) {
                    self.look_for_loans(now, number);
                }
            }
            due += per_second;
            while due >= SECOND {
                due -= SECOND;
                self.send_request(now);
            }
            if now.is_multiple_of(10) {
                self.largest_sum = self.largest_sum.max(self.sum_of_shares(now));
            }
        }
        self
    }

    /// The part of the requests that was served from some time after each shift on.
    fn served_after_shifts(&self) -> f64 {
        let later = self.requests.iter();
        let later =
            later.filter(|(at, _)| *at > SHIFT_INTERVAL && at % SHIFT_INTERVAL > FOLLOW_TIME);
        let (served, all) = later.fold((0, 0), |(served, all), (_, is_served)| {
            (served + usize::from(*is_served), all + 1)
        });
        served as f64 / all as f64
    }

    /// The most arrivals at one server in a window of this many seconds.
    fn peak(&self, seconds: u64) -> usize {
        let peaks = self.arrivals.iter().map(|arrivals| {
            let mut arrivals = arrivals.clone();
            arrivals.sort();
            let mut first = 0;
            let counts = arrivals.iter().enumerate().map(|(last, at)| {
                while arrivals[first] + seconds * SECOND <= *at {
                    first += 1;
                }
                last - first + 1
            });
            counts.max().unwrap_or_default()
        });
        peaks.max().unwrap_or_default()
    }

    fn assert_within_limits(&self, case: &str) {
        let sum = self.largest_sum;
        assert!(
            sum <= self.relays.len() as f64 + 1e-6,
            "{case}: {sum} shares"
        );
        for seconds in [1, 4] {
            let peak = self.peak(seconds);
            let tolerated = tolerated(self.limit, seconds);
            assert!(
                peak <= tolerated,
                "{case}: {peak} in {seconds} s, of {tolerated}"
            );
        }
    }
}

/// The number of requests that may arrive at a server in so many seconds, as in the tests of equal shares.
fn tolerated(limit: f64, seconds: u64) -> usize {
    (limit * 1.5 * seconds as f64 + 5.0) as usize
}

fn plain() -> ServiceSpec {
    ServiceSpec {
        engine: None,
        ..site::engine_service(24, 27_000)
    }
}

const ALL_FAULTS: Faults = Faults {
    lost: 0.2,
    late: 0.2,
    duplicated: 0.2,
    partitions: true,
    restarts: 700,
    mass_restarts: 13_000,
};

/// Numbers of relays, limits of a server, and requests a second of all callers.
const SIZES: [(usize, f64, u64); 4] =
    [(8, 40.0, 70), (8, 20.0, 90), (20, 60.0, 110), (29, 4.1, 12)];

/// Guards against a relay that gets all requests and can use only its equal share of the limits.
#[test]
fn limits_follow_a_shift_of_requests() {
    for (relays, limit, per_second) in [(8, 40.0, 62), (8, 40.0, 80), (20, 60.0, 80)] {
        let case = format!("{relays} relays, {limit} a second");
        let equal = World::new(1, relays, limit, Faults::default()).without_loans();
        let equal = equal.run(per_second).served_after_shifts();
        assert!(equal < 0.5, "{case}: {equal} served by equal shares");
        let lending = World::new(1, relays, limit, Faults::default()).run(per_second);
        let served = lending.served_after_shifts();
        println!("{case}: {equal} served by equal shares, {served} with loans");
        assert!(served > 0.9, "{case}: {served} served");
        lending.assert_within_limits(&case);
    }
}

/// Guards against shares that add up to more than the limit when messages are lost, late or duplicated, when relays cannot
/// reach each other, and when one or all of them restart.
#[test]
fn all_shares_stay_within_the_limits_whatever_fails() {
    let cases = [
        (
            "lost",
            Faults {
                lost: 0.4,
                ..Faults::default()
            },
        ),
        (
            "late",
            Faults {
                late: 0.5,
                ..Faults::default()
            },
        ),
        (
            "duplicated",
            Faults {
                duplicated: 0.5,
                late: 0.3,
                ..Faults::default()
            },
        ),
        (
            "partitions",
            Faults {
                partitions: true,
                ..Faults::default()
            },
        ),
        (
            "restarts",
            Faults {
                restarts: 700,
                ..Faults::default()
            },
        ),
        (
            "mass restarts",
            Faults {
                mass_restarts: 7_000,
                ..Faults::default()
            },
        ),
        ("all", ALL_FAULTS),
    ];
    for (name, faults) in cases {
        for (relays, limit, per_second) in SIZES {
            for seed in 0..3 {
                let world = World::new(seed, relays, limit, faults).run(per_second);
                world.assert_within_limits(&format!("{name}, {relays} relays, seed {seed}"));
            }
        }
    }
}

const POSITION: ServicePosition = ServicePosition {
    own_share: 20.0,
    mean_share: 20.0,
    relays: 7,
};

fn loan_request(number: u32, fraction: f64) -> LoanRequest {
    LoanRequest {
        service: service(),
        number,
        relays: POSITION.relays,
        fraction: LoanFraction::new(fraction),
    }
}

/// Guards against a restarted relay that uses, or lends again, what its former process had lent.
#[test]
fn a_restarted_relay_uses_its_floor_until_former_loans_have_ended() {
    let mut ledger = ShareLedger::new(1).with_former_loans(Time::ZERO);
    let end = Time::ZERO + LEASE + RECLAIM_MARGIN;
    let before = end.before(std::time::Duration::from_millis(1));
    assert_eq!(ledger.kept_fraction(before, &service()), FLOOR);
    let grant = ledger.grant(before, relay(1), &loan_request(1, 0.5), POSITION);
    assert_eq!(grant.fraction.value(), 0.0);
    assert_eq!(ledger.kept_fraction(end, &service()), 1.0);
    let grant = ledger.grant(end, relay(1), &loan_request(2, 0.5), POSITION);
    assert_eq!(grant.fraction.value(), 0.5);
    assert_eq!(ledger.kept_fraction(end, &service()), 0.5);
}

/// Guards against a lender that takes a part back before the borrower has stopped using it: a renewal for less leaves the
/// earlier grant in use where its answer is lost.
#[test]
fn a_lender_takes_back_a_loan_after_its_last_possible_use() {
    let mut ledger = ShareLedger::new(1);
    let at = Time::from_millis;
    ledger.grant(at(100), relay(1), &loan_request(1, 0.6), POSITION);
    ledger.grant(at(1_300), relay(1), &loan_request(2, 0.2), POSITION);
    ledger.grant(at(1_400), relay(2), &loan_request(1, 0.9), POSITION);
    let kept = |millis| (ledger.kept_fraction(at(millis), &service()) * 100.0).round();
    assert_eq!(kept(1_500), 25.0, "the floor is left");
    assert_eq!(kept(2_599), 25.0);
    assert_eq!(kept(2_600), 65.0, "the first grant has ended");
    assert_eq!(kept(3_800), 85.0, "the second one has ended");
    assert_eq!(kept(3_900), 100.0);
}

/// Guards against a lender that goes on sending its whole share when requests come back to it.
#[test]
fn a_lender_sends_no_more_than_it_kept() {
    let mut process = Process::start(0, 0, 8, 40.0, 1);
    let position = process.fleet.entry_shares().digest();
    let request = LoanRequest {
        relays: position.expect("the relays are known"),
        ..loan_request(1, 0.75)
    };
    let at = Time::from_millis;
    process.fleet.settle_shares(at(4_000));
    let grant = process.fleet.grant_loan(at(4_000), relay(1), &request);
    assert_eq!(grant.expect("a grant").fraction.value(), 0.75);
    let (service, spec) = (service(), plain());
    let request = PlacementRequest::new(&service, 0, 0);
    let mut sent = 0;
    for millis in (4_000..6_000).step_by(10) {
        process.fleet.settle_shares(at(millis));
        if let Ok(key) = process.fleet.choose(at(millis), &request, &spec) {
            process.fleet.record_sent(at(millis), key, &request);
            process.fleet.record_ended(key, 0);
            sent += 1;
        }
    }
    // A quarter of 5 a second at each server in 2 s, and one request saved up at each.
    let most = SERVERS as f64 * (0.25 * 5.0 * 2.0 + 1.0);
    assert!(sent as f64 <= most, "{sent} sent, of {most}");
}

/// Guards against a loan between relays whose equal shares differ, since they know different relays.
#[test]
fn relays_that_know_different_relays_do_not_lend() {
    let mut ledger = ShareLedger::new(1);
    let request = LoanRequest {
        relays: POSITION.relays + 1,
        ..loan_request(1, 0.5)
    };
    let grant = ledger.grant(Time::ZERO, relay(1), &request, POSITION);
    assert_eq!(grant.fraction.value(), 0.0);
}

/// Guards against an old or duplicated answer that extends a loan.
#[test]
fn only_the_answer_to_the_open_request_counts() {
    let mut ledger = ShareLedger::new(1);
    let at = Time::from_millis;
    (0..60).for_each(|_| ledger.record_demand(at(100), &service()));
    let lender = Lender {
        relay: relay(1),
        demand: 0.0,
    };
    let requests = ledger.requests(at(100), &service(), POSITION, vec![lender]);
    let [(_, request)] = requests.as_slice() else {
        panic!("{requests:?}");
    };
    let mut other = ShareLedger::new(2);
    let grant = other.grant(at(9_000), relay(0), request, POSITION);
    let mut old = grant.clone();
    old.number = old.number.wrapping_sub(1);
    assert_eq!(ledger.apply_grant(at(150), relay(1), &old), None);
    assert_eq!(ledger.apply_grant(at(150), relay(2), &grant), None);
    let loan = ledger.apply_grant(at(200), relay(1), &grant);
    let loan = loan.expect("the answer to the open request");
    assert_eq!(loan.until, at(100) + LEASE);
    assert_eq!(ledger.apply_grant(at(300), relay(1), &grant), None);
    assert_eq!(
        ledger.loans(at(2_099), &service(), POSITION.relays).len(),
        1
    );
    assert!(
        ledger
            .loans(at(2_100), &service(), POSITION.relays)
            .is_empty()
    );
    let others = POSITION.relays + 1;
    assert!(ledger.loans(at(300), &service(), others).is_empty());
}

/// Guards against datagrams for loans that cost more than the page on contention allows.
#[test]
fn a_message_about_a_loan_is_small() {
    let request = Datagram::LimitLoan(LoanMessage::Request(LoanRequest {
        service: Name::new("inference"),
        number: u32::MAX,
        relays: u32::MAX,
        fraction: LoanFraction::new(0.75),
    }));
    let bytes = peer_messages::encode(&request).expect("a message").len();
    assert!(bytes <= 32, "{bytes} bytes");
}
