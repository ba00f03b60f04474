//! The limit on calls at a plain service.

use std::time::Duration;

use cicada_lib::limiter::Limiter;
use cicada_lib::limiter::LimiterSettings;
use cicada_lib::time::Time;

/// A service with `lanes` places, whose calls take `unhindered` and longer the more there are.
struct Application {
    lanes: u32,
    unhindered: f64,
}

struct Run {
    served: u32,
    // Milliseconds.
    p99: f64,
}

/// Calls come every `gap` microseconds for `seconds`; what is over the limit is refused.
fn run(app: &Application, limiter: &mut Limiter, from: Time, gap: u64, seconds: u64) -> Run {
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut times = Vec::new();
    let end = from.micros() + seconds * 1_000_000;
    for at in (from.micros()..end).step_by(gap as usize) {
        ends.sort_unstable();
        while ends.first().is_some_and(|(done, _)| *done <= at) {
            let (done, took) = ends.remove(0);
            times.push(took as f64 / 1e3);
            limiter.finished(Time::from_micros(done), Duration::from_micros(took), false);
        }
        if limiter.try_start() {
            let crowd = f64::from(limiter.running()) / f64::from(app.lanes);
            let took = (app.unhindered * crowd.max(1.0)) as u64;
            ends.push((at + took, took));
        }
    }
    for (done, took) in ends {
        limiter.finished(Time::from_micros(done), Duration::from_micros(took), false);
    }
    times.sort_by(f64::total_cmp);
    Run {
        served: times.len() as u32,
        p99: times[times.len() * 99 / 100],
    }
}

#[test]
fn an_overload_keeps_the_service_fast_and_busy() {
    // Calls come at three times what the service can do. Without a limit each would take longer and
    // longer until every caller has timed out; with it those that are let in take about as long as
    // ever, and the service does as much as it can.
    let app = Application {
        lanes: 8,
        unhindered: 20_000.0,
    };
    let mut limiter = Limiter::new(LimiterSettings::new());
    let run = run(&app, &mut limiter, Time::ZERO, 833, 60);
    let capacity = 8.0 / 0.020 * 60.0;
    assert!(run.p99 < 20.0 * 3.0, "p99 {} ms", run.p99);
    let share = f64::from(run.served) / capacity;
    assert!(share > 0.9, "served {share} of what fits");
}

#[test]
fn a_release_that_is_slower_for_good_is_not_taken_for_load() {
    let mut app = Application {
        lanes: 64,
        unhindered: 20_000.0,
    };
    let mut limiter = Limiter::new(LimiterSettings::new());
    run(&app, &mut limiter, Time::ZERO, 1_000, 20);
    app.unhindered = 60_000.0;
    let from = Time::from_millis(30_000);
    run(&app, &mut limiter, from, 1_000, 60);
    let after = run(&app, &mut limiter, Time::from_millis(100_000), 1_000, 20);
    let share = f64::from(after.served) / 20_000.0;
    assert!(share > 0.9, "served {share} of what came");
}

#[test]
fn an_idle_limit_does_not_grow() {
    let app = Application {
        lanes: 8,
        unhindered: 10_000.0,
    };
    let mut limiter = Limiter::new(LimiterSettings::new());
    run(&app, &mut limiter, Time::ZERO, 10_000, 25);
    assert!(limiter.limit() <= 16, "{}", limiter.limit());
}

#[test]
fn failures_shrink_the_limit_to_its_least() {
    let mut limiter = Limiter::new(LimiterSettings::new().with_bounds(3, 100));
    for i in 0..2_000u64 {
        if limiter.try_start() {
            let now = Time::from_millis(i * 10);
            limiter.finished(now, Duration::from_millis(5), true);
        }
    }
    assert_eq!(limiter.limit(), 3);
}
