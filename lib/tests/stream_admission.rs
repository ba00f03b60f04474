//! Admission of streams under a burst of load, in simulated time.

use std::time::Duration;

use burst::BurstOutcome;
use burst::KINDS;
use burst::Settings;
use cicada_lib::fleet::ExpectedLoad;
use cicada_lib::ids::Name;
use cicada_lib::stream_admission;
use cicada_lib::stream_admission::AdmissionRequest;
use cicada_lib::stream_admission::Bottleneck;
use cicada_lib::stream_admission::RetryPacer;
use cicada_lib::time::Time;

mod burst;

const LOADS: [f64; 5] = [1.5, 2.0, 3.0, 4.0, 6.0];
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn request(rank: u32, age: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank,
        age: Duration::from_millis(age),
        over_share: false,
        objective: Duration::from_millis(1_800),
        waiting: false,
    }
}

fn expected_load(memory: f64, before: u64, own: u64) -> ExpectedLoad {
    ExpectedLoad {
        memory,
        prefill_backlog: Duration::from_millis(before),
        own_prefill_time: Duration::from_millis(own),
        running: 4,
        slots: 64,
    }
}

fn simulate(load: f64, refuses: bool) -> Vec<BurstOutcome> {
    simulate_with(
        load,
        Settings {
            refuses,
            ..Settings::new()
        },
    )
}

fn simulate_with(load: f64, settings: Settings) -> Vec<BurstOutcome> {
    let seeds = SEEDS.iter();
    seeds
        .map(|seed| burst::simulate(load, *seed, settings))
        .collect()
}

fn mean(outcomes: &[BurstOutcome], figure: impl Fn(&BurstOutcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

/// For 20 s the load is 1.5 to 6 times the usual. At each load, goodput must be at least 0.95 of the best at
/// any lower load. Without admission control it falls to a fraction of that.
#[test]
fn goodput_does_not_fall_as_load_grows() {
    let mut best: f64 = 0.0;
    for load in LOADS {
        let worth = mean(&simulate(load, true), BurstOutcome::worth);
        assert!(worth >= 0.95 * best, "{worth} of {best} at {load}");
        best = best.max(worth);
    }
    let unbounded = mean(&simulate(6.0, false), BurstOutcome::worth);
    assert!(unbounded < 0.5 * best, "{unbounded} of {best}");
}

/// Under the same bursts, the share of requests served in time is at least as high for the urgent kind as for
/// the other, long requests are served at least 0.6 times as often as their kind, and hardly any run is
/// preempted.
#[test]
fn urgent_and_large_requests_keep_their_share() {
    for load in LOADS {
        let outcomes = simulate(load, true);
        let share = |kind: usize| {
            let tally = |o: &BurstOutcome| o.kinds[kind].in_time / o.kinds[kind].requests;
            mean(&outcomes, tally)
        };
        assert!(
            share(0) + 0.05 >= share(1),
            "{} {} at {load}",
            share(0),
            share(1)
        );
        for (kind, _) in KINDS.iter().enumerate() {
            let all = mean(&outcomes, |o| o.kinds[kind].served / o.kinds[kind].requests);
            let large = mean(&outcomes, |o| {
                o.kinds[kind].large_served / o.kinds[kind].large
            });
            assert!(large >= 0.6 * all, "{large} of {all} at {load}");
        }
        let preempted = mean(&outcomes, |o| o.preemptions as f64);
        assert!(preempted < 5.0, "{preempted} at {load}");
    }
}

/// A request admitted at its first attempt begins within its objective, apart from a few whose own prompt
/// takes most of it.
#[test]
fn admitted_requests_are_served_in_time() {
    for load in LOADS {
        for outcome in simulate(load, true) {
            for tally in &outcome.kinds {
                let (fresh, in_time) = (tally.first_attempts, tally.first_attempts_in_time);
                assert!(in_time >= 0.9 * fresh, "{in_time} of {fresh} at {load}");
            }
        }
    }
}

/// One of ten workspaces sends as much as all others together. The others must be served, in time, at least
/// three quarters of their equal share; the rest is lost before the greedy workspace is recognized. Without
/// shares they get little more than half of it under the heaviest load.
#[test]
fn a_greedy_workspace_leaves_the_others_their_share() {
    for load in [3.0, 6.0] {
        let even = simulate(load, true);
        let greedy = |enforces_shares: bool| {
            let settings = Settings {
                has_greedy: true,
                enforces_shares,
                ..Settings::new()
            };
            simulate_with(load, settings)
        };
        let (with_shares, without_shares) = (greedy(true), greedy(false));
        for (kind, _) in KINDS.iter().enumerate() {
            let in_time = |outcomes: &[BurstOutcome]| mean(outcomes, |o| o.kinds[kind].in_time);
            let asked = mean(&with_shares, |o| o.kinds[kind].requests);
            let share = asked.min(0.9 * in_time(&even));
            let got = in_time(&with_shares);
            assert!(got >= 0.75 * share, "{got} of {share} at {load}");
            assert!(got > in_time(&without_shares), "{got} at {load}");
        }
    }
}

/// Full memory, a long queue of prompts and full slots each cause a rejection with that reason; less urgent
/// requests are rejected earlier than urgent ones.
#[test]
fn a_rejection_names_the_scarce_resource() {
    assert_eq!(
        stream_admission::check(&request(0, 0), &expected_load(0.9, 0, 400)),
        Ok(())
    );
    let full = stream_admission::check(&request(0, 0), &expected_load(1.1, 0, 400));
    assert_eq!(full, Err(Bottleneck::Memory));
    let late = stream_admission::check(&request(0, 0), &expected_load(0.5, 1_500, 400));
    assert_eq!(late, Err(Bottleneck::Prefill));
    let most = ExpectedLoad {
        running: 64,
        ..expected_load(0.5, 0, 400)
    };
    assert_eq!(
        stream_admission::check(&request(0, 0), &most),
        Err(Bottleneck::Slots)
    );
    let nearly = expected_load(0.92, 0, 400);
    assert_eq!(stream_admission::check(&request(0, 0), &nearly), Ok(()));
    assert_eq!(
        stream_admission::check(&request(1, 0), &nearly),
        Err(Bottleneck::Memory)
    );
}

/// A prompt that takes most of the objective by itself is admitted, since no other engine would prefill it
/// sooner. A request larger than the admissible share of memory is admitted by an idle engine.
#[test]
fn an_idle_engine_admits_large_requests() {
    assert_eq!(
        stream_admission::check(&request(1, 0), &expected_load(0.2, 0, 1_700)),
        Ok(())
    );
    let alone = ExpectedLoad {
        running: 0,
        ..expected_load(0.99, 0, 1_700)
    };
    assert_eq!(stream_admission::check(&request(1, 0), &alone), Ok(()));
}

/// A retry that can still be in time takes precedence over a new request, and one that is already late comes
/// last.
#[test]
fn a_retry_in_time_takes_precedence() {
    let nearly = expected_load(0.9, 100, 400);
    assert_eq!(
        stream_admission::check(&request(1, 0), &nearly),
        Err(Bottleneck::Memory)
    );
    assert_eq!(stream_admission::check(&request(1, 800), &nearly), Ok(()));
    let half = expected_load(0.8, 0, 400);
    assert_eq!(stream_admission::check(&request(1, 0), &half), Ok(()));
    assert_eq!(
        stream_admission::check(&request(1, 5_000), &half),
        Err(Bottleneck::Memory)
    );
}

/// Many requests are rejected at the same moment. The first are told to retry at different times within their
/// objective, as many as are likely to be admitted by then; the others later. No delay may be longer than
/// callers heed.
#[test]
fn retries_are_spread_over_time() {
    let service = Name::new("llm");
    let mut pacer = RetryPacer::new();
    // One admission every 200 ms.
    for number in 1..100 {
        pacer.record_admission(Time::from_millis(number * 200), &service, 1);
    }
    let now = Time::from_millis(20_000);
    let left = Duration::from_secs(39);
    let delays: Vec<Duration> = (0..20)
        .map(|_| pacer.retry_delay(now, &service, &request(1, 0), left, 0.5))
        .collect();
    let in_time = Duration::from_millis(1_000);
    let soon: Vec<&Duration> = delays.iter().filter(|delay| **delay <= in_time).collect();
    assert!((3..=5).contains(&soon.len()), "{delays:?}");
    assert!(
        soon.windows(2)
            .all(|two| *two[1] >= *two[0] + Duration::from_millis(150))
    );
    assert!(delays.iter().all(|delay| *delay <= left / 3), "{delays:?}");
    assert!(
        delays[10..]
            .iter()
            .all(|delay| *delay > Duration::from_secs(2))
    );
}
