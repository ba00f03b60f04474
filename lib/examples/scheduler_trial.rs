//! Prints what callers receive from one engine under the scheduler and under simpler rules.
//!
//! `cargo run --release --example scheduler_trial [-- SECONDS [SEEDS]]`

#[path = "../tests/fake_engine/mod.rs"]
mod fake_engine;

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::latency_objective::LatencyObjective;
use cicada_lib::memory_plan::Headroom;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::scheduler::SchedulerSettings;
use cicada_lib::scheduler::WorkspacePolicy;
use cicada_lib::time::Time;
use fake_engine::Front;
use fake_engine::Trial;
use fake_engine::mixes::Mix;
use fake_engine::mixes::Tenant;
use fake_engine::mixes::hanshan;
use fake_engine::mixes::saryarka;
use fake_engine::report::Figures;
use fake_engine::report::quantile;
use fake_engine::report::stalls;
use fake_engine::report::work;

// Seconds for which load goes on after the window, so that what began in it can end.
const TAIL: f64 = 100.0;
// A workspace within this part of its share is well-behaved.
const QUIET: f64 = 0.8;

// Runs at a time.
const THREADS: usize = 4;

const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

/// Who decides, and what it knows.
#[derive(Clone, Copy)]
enum Rule {
    Fifo,
    Stall,
    Gap,
    /// Stall first, with another headroom.
    NoHeadroom,
    FixedHeadroom,
    /// Stall first, with the true lengths.
    Oracle,
}

const RULES: [(&str, Rule); 6] = [
    ("FIFO, no limits", Rule::Fifo),
    ("no headroom", Rule::NoHeadroom),
    ("fixed headroom", Rule::FixedHeadroom),
    ("true lengths", Rule::Oracle),
    ("**stall first**", Rule::Stall),
    ("**gap first**", Rule::Gap),
];

// A common choice where lengths are not known.
const FIXED_HEADROOM: f64 = 0.2;

fn front(rule: Rule, mix: &Mix) -> Front {
    let objective = match rule {
        Rule::Fifo => return Front::Direct,
        Rule::Gap => LatencyObjective::Gap,
        _ => LatencyObjective::Stall,
    };
    let engine = &mix.engine;
    let settings = SchedulerSettings::new(objective, engine.capacity, engine.max_batch as u32);
    let settings = match rule {
        Rule::NoHeadroom => settings.with_headroom(Headroom::None),
        Rule::FixedHeadroom => settings.with_headroom(Headroom::Fixed(FIXED_HEADROOM)),
        Rule::Oracle => settings.with_headroom(Headroom::Limit),
        _ => settings,
    };
    let mut scheduler = Scheduler::new(settings);
    for tenant in &mix.tenants {
        let policy = WorkspacePolicy {
            share: tenant.share,
            ..WorkspacePolicy::default()
        };
        scheduler.set_policy(&tenant.name, policy);
    }
    Front::Scheduled(Box::new(scheduler))
}

/// Weighted tokens a second that the engine yields when it is never short of work and lengths are
/// known: the capacity to which loads refer.
fn capacity(mix: &Mix) -> f64 {
    let mut requests = mix.requests(20.0, 600.0, 1);
    for request in &mut requests {
        request.deadline = None;
    }
    let end = Time::from_millis(600_000);
    let mut trial = Trial::new(mix.engine.clone(), Front::Reference, requests);
    trial.run(end, end);
    let service = fake_engine::report::service(&trial);
    service.values().sum::<f64>() / end.seconds()
}

fn run(rule: Rule, mix: &Mix, rate: f64, seconds: f64, seed: u64) -> Figures {
    let end = Time::from_micros((seconds * 1e6) as u64);
    let mut requests = mix.requests(rate, seconds + TAIL, seed);
    if matches!(rule, Rule::Oracle) {
        requests = Mix::known(requests);
    }
    let mut trial = Trial::new(mix.engine.clone(), front(rule, mix), requests);
    trial.run(end, end + Duration::from_secs(TAIL as u64));
    Figures::new(&trial, &mix.tenants, end)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seconds = args
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1_200.0);
    let seeds: u64 = args.next().and_then(|text| text.parse().ok()).unwrap_or(3);
    for mix in [hanshan(), saryarka()] {
        let capacity = capacity(&mix);
        let sample = mix.requests(100.0, 200.0, 7);
        let mean = sample.iter().map(work).sum::<f64>() / sample.len() as f64;
        println!(
            "\n## {}: capacity {capacity:.0} weighted tokens/s\n",
            mix.name
        );
        println!(
            "| load | rule | stall p50 s | stall p99 s | preempt/1000 | gap p99 ms | Jain | \
             least share | goodput/capacity | refused |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|");
        for load in LOADS {
            let rate = load * capacity / mean;
            for ((name, _), f) in RULES.iter().zip(all_rules(&mix, rate, seconds, seeds)) {
                println!(
                    "| {load} | {name} | {:.2} | {:.2} | {:.1} | {:.0} | {:.3} | {:.2} | {:.2} | {:.3} |",
                    f.stall_p50,
                    f.stall_p99,
                    f.preemptions,
                    f.gap_p99,
                    f.jain,
                    f.least,
                    f.goodput / capacity,
                    f.refused,
                );
            }
        }
        print_hot(&mix, capacity / mean, seconds, seeds);
    }
}

/// The 99th percentile of the stall time of those within their share, without and with ten times the load of
/// the second largest.
fn print_hot(mix: &Mix, rate: f64, seconds: f64, seeds: u64) {
    println!("\n| load without | rule | stall p99 s without | with a hot workspace |");
    println!("|---|---|---|---|");
    let hot = mix.tenants[1].name.clone();
    let shares: u32 = mix.tenants.iter().map(|tenant| tenant.share).sum();
    for load in [0.6, 0.9] {
        let within = |tenant: &&Tenant| {
            let entitled = f64::from(tenant.share) / f64::from(shares);
            tenant.name != hot && load * tenant.part < QUIET * entitled
        };
        let quiet = mix
            .tenants
            .iter()
            .filter(within)
            .map(|tenant| tenant.name.clone());
        let quiet: Vec<Name> = quiet.collect();
        for (name, rule) in [RULES[0], RULES[4], RULES[5]] {
            let stall = |factor: f64| {
                let runs = (1..=seeds).map(|seed| {
                    let mut requests = mix.requests(load * rate, seconds, seed);
                    let extra = mix.requests(load * rate * factor, seconds, seed + 100);
                    requests.extend(extra.into_iter().filter(|r| r.workspace == hot));
                    let end = Time::from_micros((seconds * 1e6) as u64);
                    let mut trial = Trial::new(mix.engine.clone(), front(rule, mix), requests);
                    trial.run(end, end + Duration::from_secs(TAIL as u64));
                    let mut stalls = stalls(&trial, |request| quiet.contains(&request.workspace));
                    quantile(&mut stalls, 0.99).as_secs_f64()
                });
                runs.sum::<f64>() / seeds as f64
            };
            println!(
                "| {load} | {name} | {:.2} | {:.2} |",
                stall(0.0),
                stall(9.0)
            );
        }
    }
}

/// The mean figures of each rule over the seeds, a few runs at a time.
fn all_rules(mix: &Mix, rate: f64, seconds: f64, seeds: u64) -> Vec<Figures> {
    let rules = 0..RULES.len();
    let tasks = rules.flat_map(|rule| (1..=seeds).map(move |seed| (rule, seed)));
    let tasks = Mutex::new(tasks);
    let done = Mutex::new(vec![Vec::new(); RULES.len()]);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let task = tasks.lock().unwrap().next();
                    let Some((rule, seed)) = task else { return };
                    let figures = run(RULES[rule].1, mix, rate, seconds, seed);
                    done.lock().unwrap()[rule].push(figures);
                }
            });
        }
    });
    let done = done.into_inner().unwrap();
    done.iter().map(|runs| Figures::mean(runs)).collect()
}
