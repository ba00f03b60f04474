//! What one decision costs: a request offered, the next action taken, and a request ended, with a
//! full batch and as many workspaces as wait.

// The macro's function takes no doc comment.
#![allow(missing_docs)]

use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::latency_objective::LatencyObjective;
use cicada_lib::scheduler::Action;
use cicada_lib::scheduler::JobKey;
use cicada_lib::scheduler::JobSpec;
use cicada_lib::scheduler::Scheduler;
use cicada_lib::scheduler::SchedulerSettings;
use cicada_lib::time::Time;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

const BATCH: u32 = 64;

fn spec(names: &[Name], index: usize) -> JobSpec {
    JobSpec {
        workspace: names[index % names.len()].clone(),
        kind: Name::new("model"),
        prompt_tokens: 100,
        max_tokens: 1_024,
        deadline: Some(Time::from_millis(1 << 40)),
        elsewhere: 10,
        returning: false,
    }
}

/// A scheduler with a full batch, and each workspace waiting.
fn full(names: &[Name]) -> (Scheduler, Vec<JobKey>) {
    let settings = SchedulerSettings::new(LatencyObjective::Stall, 1 << 16, BATCH);
    let settings = settings.with_max_wait(Duration::from_secs(600));
    let mut scheduler = Scheduler::new(settings);
    let mut running = Vec::new();
    for index in 0..names.len() + BATCH as usize {
        let _ = scheduler.offer(Time::ZERO, spec(names, index));
        while let Some(action) = scheduler.next(Time::ZERO) {
            if let Action::Start(key) = action {
                running.push(key);
            }
        }
    }
    (scheduler, running)
}

fn decisions(criterion: &mut Criterion) {
    for count in [100, 1_000, 5_100] {
        let names: Vec<Name> = (0..count)
            .map(|index| Name::new(format!("w{index}")))
            .collect();
        let (mut scheduler, _) = full(&names);
        let mut index = 0;
        let now = Time::from_millis(1);
        criterion.bench_function(
            &format!("offer, next and cancel, {count} workspaces"),
            |bench| {
                bench.iter(|| {
                    index += 7;
                    if let Ok(key) = scheduler.offer(now, spec(&names, index)) {
                        scheduler.next(now);
                        scheduler.cancelled(now, key);
                    }
                })
            },
        );
        let (mut scheduler, mut running) = full(&names);
        criterion.bench_function(
            &format!("finish, offer and start, {count} workspaces"),
            |bench| {
                bench.iter(|| {
                    index += 7;
                    let place = index % running.len();
                    scheduler.token(now, running[place]);
                    scheduler.finished(now, running.swap_remove(place));
                    let _ = scheduler.offer(now, spec(&names, index));
                    while let Some(action) = scheduler.next(now) {
                        if let Action::Start(key) = action {
                            running.push(key);
                        }
                    }
                })
            },
        );
        let (mut scheduler, running) = full(&names);
        criterion.bench_function(&format!("token and next, {count} workspaces"), |bench| {
            bench.iter(|| {
                index += 1;
                scheduler.token(now, running[index % running.len()]);
                scheduler.next(now)
            })
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
