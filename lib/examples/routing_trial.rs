//! Compares the router with round robin, least reported load and random two, on the same seeds.
//!
//! `cargo run --release -p cicada-lib --example routing_trial [SCENARIO ...]`

use std::time::Duration;

use cicada_lib::ejection::EjectionSettings;
use cicada_lib::routing::RouterSettings;
use testutils::fake_fleet::Fault;
use testutils::fake_fleet::Outcome;
use testutils::fake_fleet::Plan;
use testutils::fake_fleet::Trouble;
use testutils::fake_fleet::run;
use testutils::pickers::Picker;
use testutils::pickers::PlainPicker;
use testutils::pickers::RouterPicker;
use testutils::pickers::Way;

const SEEDS: [u64; 3] = [1, 2, 3];

struct Scenario {
    name: &'static str,
    plan: Plan,
}

type Make = Box<dyn Fn(usize, usize) -> Box<dyn Picker>>;

struct Contender {
    name: &'static str,
    make: Make,
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    for scenario in scenarios() {
        if !wanted.is_empty() && !wanted.iter().any(|w| w == scenario.name) {
            continue;
        }
        println!("\n{}", scenario.name);
        println!(
            "{:<22}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "way", "p50 ms", "p95 ms", "p99 ms", "in 2 s", "retries", "crossed", "spread"
        );
        for contender in contenders() {
            print_row(&contender, &scenario.plan);
        }
    }
}

fn print_row(contender: &Contender, plan: &Plan) {
    let mut all = Outcome::default();
    for seed in SEEDS {
        let plan = Plan {
            seed,
            ..plan.clone()
        };
        let mut outcome = run(&plan, &contender.make);
        all.fates.append(&mut outcome.fates);
        all.spread += outcome.spread / SEEDS.len() as f64;
    }
    println!(
        "{:<22}{:>9.0}{:>9.0}{:>9.0}{:>9.3}{:>9.3}{:>9.3}{:>9.3}",
        contender.name,
        all.wait(0.5),
        all.wait(0.95),
        all.wait(0.99),
        all.within(Duration::from_secs(2)),
        all.retries(),
        all.crossed(),
        all.spread,
    );
}

fn contenders() -> Vec<Contender> {
    vec![
        plain("round robin", Way::RoundRobin),
        plain("least reported", Way::LeastReported),
        plain("random two", Way::RandomTwo),
        router("router", |s| s),
        router("router, 2 choices", |s| s.with_sample_size(2)),
        router("router, whole subset", |s| s.with_sample_size(64)),
        router("router, no ejection", |s| {
            s.with_ejection(EjectionSettings::new().with_max_ejected_share(0.0))
        }),
        router("router, own region", |s| s.with_remote_subset(0)),
    ]
}

fn plain(name: &'static str, way: Way) -> Contender {
    let make =
        move |entry, region| -> Box<dyn Picker> { Box::new(PlainPicker::new(way, entry, region)) };
    Contender {
        name,
        make: Box::new(make),
    }
}

fn router(name: &'static str, with: fn(RouterSettings) -> RouterSettings) -> Contender {
    let make = move |entry, region| -> Box<dyn Picker> {
        Box::new(RouterPicker::new(entry, region, with))
    };
    Contender {
        name,
        make: Box::new(make),
    }
}

/// Requests a second that a server carries at most, with this part of long requests.
fn capacity(long: f64) -> f64 {
    let tokens = long * 1_000.0 + (1.0 - long) * 35.0;
    16.0 / (0.2 + tokens * 0.040)
}

fn plan(regions: usize, entries: usize, servers: usize, long: f64, load: f64) -> Plan {
    Plan {
        regions,
        entries,
        servers,
        slots: 16,
        rate: capacity(long) * (regions * servers) as f64 * load,
        long,
        skew: None,
        prefixes: 0,
        length: Duration::from_secs(120),
        lag: Duration::from_millis(500),
        heartbeat: Duration::from_secs(2),
        faults: Vec::new(),
        seed: 1,
    }
}

fn fault(seconds: u64, what: Trouble) -> Fault {
    Fault {
        at: Duration::from_secs(seconds),
        what,
    }
}

fn scenarios() -> Vec<Scenario> {
    let hanshan = |load| plan(3, 2, 4, 0.3, load);
    let target = |long, load| plan(2, 90, 22, long, load);
    let region = vec![
        fault(30, Trouble::RegionLost(0)),
        fault(38, Trouble::RegionGone(0)),
        fault(80, Trouble::RegionBack(0)),
    ];
    let scenario = |name, plan| Scenario { name, plan };
    vec![
        scenario("hanshan-0.7", hanshan(0.7)),
        scenario("hanshan-0.95", hanshan(0.95)),
        scenario("many-entries-long-0.8", target(0.3, 0.8)),
        scenario("many-entries-short-0.8", target(0.0, 0.8)),
        scenario("many-entries-short-0.95", target(0.0, 0.95)),
        scenario(
            "slow-server",
            Plan {
                faults: vec![fault(20, Trouble::Slow(1, 6.0))],
                ..hanshan(0.7)
            },
        ),
        scenario(
            "frozen-report",
            Plan {
                faults: vec![fault(0, Trouble::Frozen(1))],
                ..hanshan(0.8)
            },
        ),
        scenario(
            "region-lost",
            Plan {
                faults: region,
                ..hanshan(0.5)
            },
        ),
        scenario(
            "all-slow",
            Plan {
                faults: vec![fault(20, Trouble::AllSlow(2.0))],
                ..hanshan(0.4)
            },
        ),
        scenario(
            "one-region-hot",
            Plan {
                skew: Some(0.5),
                ..hanshan(0.6)
            },
        ),
        scenario(
            "prefixes",
            Plan {
                prefixes: 100,
                ..hanshan(0.7)
            },
        ),
        scenario("overload-1.5", hanshan(1.5)),
    ]
}
