//! Unit tests of the scheduler's components.

use std::time::Duration;

use cicada_lib::admission::RateLimiter;
use cicada_lib::admission::RetrySchedule;
use cicada_lib::admission::WaitCorrection;
use cicada_lib::ids::Name;
use cicada_lib::latency_objective::BatchCap;
use cicada_lib::length_predictor::LengthPredictor;
use cicada_lib::memory_plan::Headroom;
use cicada_lib::memory_plan::MemoryPlan;
use cicada_lib::memory_plan::VictimCandidate;
use cicada_lib::order::MAX_DELAY;
use cicada_lib::order::due_time;
use cicada_lib::time::Time;

#[test]
fn unknown_workspace_uses_lengths_of_the_kind() {
    let (kind, mut lengths) = (Name::new("model"), LengthPredictor::new());
    let cold = lengths.estimate(&Name::new("new"), &kind, 1_000, 0);
    assert!((50.0..400.0).contains(&cold.mean), "{cold:?}");
    for _ in 0..50 {
        lengths.observe(&Name::new("other"), &kind, 1_000, 30);
    }
    let from_kind = lengths.estimate(&Name::new("new"), &kind, 1_000, 0);
    assert!((25.0..70.0).contains(&from_kind.mean), "{from_kind:?}");
    for _ in 0..50 {
        lengths.observe(&Name::new("new"), &kind, 1_000, 600);
    }
    let own = lengths.estimate(&Name::new("new"), &kind, 1_000, 0);
    assert!(own.mean > 400.0, "{own:?}");
    // Beyond all observed lengths, the estimate stays between one token and the limit.
    let beyond = lengths.estimate(&Name::new("new"), &kind, 1_000, 900);
    assert!(beyond.mean >= 1.0 && beyond.mean <= 100.0, "{beyond:?}");
}

// A new release of the model produces ten times longer output. Old lengths outweigh the new ones
// for a long time unless the change is detected.
#[test]
fn drift_is_detected_within_twenty_generations() {
    let (name, kind, mut lengths) = (Name::new("w"), Name::new("model"), LengthPredictor::new());
    for index in 0..500 {
        lengths.observe(&name, &kind, 1_000, 40 + index % 20);
    }
    for index in 0..20 {
        lengths.observe(&name, &kind, 1_000, 400 + index);
    }
    let mean = lengths.estimate(&name, &kind, 1_000, 0).mean;
    assert!(mean > 300.0, "{mean}");
}

#[test]
fn overtaking_is_bounded() {
    let long = due_time(Time::ZERO, Duration::from_secs(3_600));
    assert_eq!(long, Time::ZERO + MAX_DELAY);
    assert!(due_time(Time::from_millis(1), Duration::ZERO) < long);
}

#[test]
fn victim_loses_least_and_is_below_the_preemption_limit() {
    let plan = MemoryPlan::new(100, Headroom::None, 2);
    let candidate = |lost_tokens, preemptions, over_share| VictimCandidate {
        lost_tokens,
        preemptions,
        over_share,
    };
    let all = [
        candidate(1, 2, true),
        candidate(9, 0, true),
        candidate(5, 0, false),
    ];
    assert_eq!(plan.victim(all.into_iter()), Some(1));
    assert_eq!(plan.victim(all[..1].iter().copied()), None);
}

#[test]
fn rate_limit_tells_when_to_retry() {
    let mut ceiling = RateLimiter::default();
    assert!(ceiling.take(Time::ZERO, 10.0, 2).is_ok());
    assert!(ceiling.take(Time::ZERO, 10.0, 2).is_ok());
    let after = ceiling.take(Time::ZERO, 10.0, 2).unwrap_err();
    assert_eq!(after, Duration::from_millis(100));
    assert!(ceiling.take(Time::ZERO + after, 10.0, 2).is_ok());
    assert!(!ceiling.is_idle(Time::from_millis(200)));
    assert!(ceiling.is_idle(Time::from_millis(400)));
}

#[test]
fn promised_retry_times_are_spread_out() {
    let mut promises = RetrySchedule::default();
    let (excess, service) = (Duration::from_secs(1), Duration::from_millis(500));
    let mut promise = || promises.schedule(Time::ZERO, excess, service);
    assert_eq!(promise(), Duration::from_millis(1_500));
    assert_eq!(promise(), Duration::from_millis(2_000));
    assert_eq!(promise(), Duration::from_millis(2_500));
}

// At the full batch each gap exceeds the target. The cap must fall to where gaps meet the target,
// and stay there without oscillation.
#[test]
fn batch_cap_converges_without_oscillation() {
    let target = Duration::from_millis(41);
    let mut cap = BatchCap::new(96, Some(target));
    let mut caps = Vec::new();
    for _ in 0..200 {
        let running = cap.get() as u32;
        for _ in 0..512 {
            cap.observe(
                Duration::from_micros(14_000 + 350 * u64::from(running)),
                running,
            );
        }
        caps.push(cap.get());
    }
    let settled = &caps[100..];
    let (least, most) = (settled.iter().min().unwrap(), settled.iter().max().unwrap());
    assert!(*most <= 78 && *least >= 66, "{least} to {most}");
}

#[test]
fn batch_cap_is_stable_between_its_thresholds() {
    let mut cap = BatchCap::new(96, Some(Duration::from_millis(41)));
    let observe_gaps = |cap: &mut BatchCap, over: u32| {
        let running = cap.get() as u32;
        for index in 0..512 {
            let gap = if index < over { 50 } else { 30 };
            cap.observe(Duration::from_millis(gap), running);
        }
        cap.get()
    };
    let reduced = observe_gaps(&mut cap, 512);
    assert!(reduced < 96);
    // 15 of 512 gaps, 3%, are over the target: between the thresholds for growth and cuts.
    assert_eq!(observe_gaps(&mut cap, 15), reduced);
    assert_eq!(observe_gaps(&mut cap, 0), reduced + 1);
}

#[test]
fn longer_waits_than_expected_raise_the_estimate() {
    let mut correction = WaitCorrection::default();
    for _ in 0..500 {
        correction.observe(Duration::from_secs(2), Duration::from_secs(5));
    }
    assert!(
        (2.0..3.0).contains(&correction.factor()),
        "{}",
        correction.factor()
    );
}
