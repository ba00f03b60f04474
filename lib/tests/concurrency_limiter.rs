//! The adaptive concurrency limit on calls to a plain service.

use std::time::Duration;

use cicada_lib::concurrency_limiter::ConcurrencyLimiter;
use cicada_lib::concurrency_limiter::LimiterSettings;
use cicada_lib::time::Time;

/// A service that runs `lanes` calls in parallel at a latency of `baseline` microseconds. With more calls, the
/// latency grows in proportion.
struct Application {
    lanes: u32,
    baseline: f64,
}

struct Run {
    served: u32,
    // Milliseconds.
    p99: f64,
}

/// Sends a call every `gap` microseconds for `seconds`; calls over the limit are rejected.
fn run(
    app: &Application,
    limiter: &mut ConcurrencyLimiter,
    from: Time,
    gap: u64,
    seconds: u64,
) -> Run {
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
            let load = f64::from(limiter.running()) / f64::from(app.lanes);
            let took = (app.baseline * load.max(1.0)) as u64;
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
    // The load is three times the capacity. Without a limit, latency would grow until every caller times
    // out. With it, latency stays near the baseline and the service works at full capacity.
    let app = Application {
        lanes: 8,
        baseline: 20_000.0,
    };
    let mut limiter = ConcurrencyLimiter::new(LimiterSettings::new());
    let run = run(&app, &mut limiter, Time::ZERO, 833, 60);
    let capacity = 8.0 / 0.020 * 60.0;
    assert!(run.p99 < 20.0 * 3.0, "p99 {} ms", run.p99);
    let share = f64::from(run.served) / capacity;
    assert!(share > 0.9, "served {share} of the capacity");
}

#[test]
fn a_permanently_slower_release_is_not_mistaken_for_load() {
    let mut app = Application {
        lanes: 64,
        baseline: 20_000.0,
    };
    let mut limiter = ConcurrencyLimiter::new(LimiterSettings::new());
    run(&app, &mut limiter, Time::ZERO, 1_000, 20);
    app.baseline = 60_000.0;
    let from = Time::from_millis(30_000);
    run(&app, &mut limiter, from, 1_000, 60);
    let after = run(&app, &mut limiter, Time::from_millis(100_000), 1_000, 20);
    let share = f64::from(after.served) / 20_000.0;
    assert!(share > 0.9, "served {share} of the calls");
}

#[test]
fn an_idle_limit_does_not_grow() {
    let app = Application {
        lanes: 8,
        baseline: 10_000.0,
    };
    let mut limiter = ConcurrencyLimiter::new(LimiterSettings::new());
    run(&app, &mut limiter, Time::ZERO, 10_000, 25);
    assert!(limiter.limit() <= 16, "{}", limiter.limit());
}

#[test]
fn failures_shrink_the_limit_to_its_minimum() {
    let mut limiter = ConcurrencyLimiter::new(LimiterSettings::new().with_bounds(3, 100));
    for i in 0..2_000u64 {
        if limiter.try_start() {
            let now = Time::from_millis(i * 10);
            limiter.finished(now, Duration::from_millis(5), true);
        }
    }
    assert_eq!(limiter.limit(), 3);
}
