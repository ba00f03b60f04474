//! The parts of a scheduler, each by itself.

use std::time::Duration;

use cicada_lib::admission::RateLimiter;
use cicada_lib::admission::RetrySchedule;
use cicada_lib::admission::WaitCorrection;
use cicada_lib::ids::Name;
use cicada_lib::latency_objective::BatchCap;
use cicada_lib::lengths::Lengths;
use cicada_lib::memory_plan::Headroom;
use cicada_lib::memory_plan::MemoryPlan;
use cicada_lib::memory_plan::VictimCandidate;
use cicada_lib::order::MAX_DELAY;
use cicada_lib::order::due;
use cicada_lib::time::Time;

#[test]
fn cold_start_is_filled_up_from_the_kind() {
    let (kind, mut lengths) = (Name::new("model"), Lengths::new());
    let cold = lengths.expect(&Name::new("new"), &kind, 1_000, 0);
    assert!((50.0..400.0).contains(&cold.mean), "{cold:?}");
    for _ in 0..50 {
        lengths.observe(&Name::new("other"), &kind, 1_000, 30);
    }
    let filled = lengths.expect(&Name::new("new"), &kind, 1_000, 0);
    assert!((25.0..70.0).contains(&filled.mean), "{filled:?}");
    for _ in 0..50 {
        lengths.observe(&Name::new("new"), &kind, 1_000, 600);
    }
    let own = lengths.expect(&Name::new("new"), &kind, 1_000, 0);
    assert!(own.mean > 400.0, "{own:?}");
    // Past all that was seen, something is still to come, up to the limit.
    let late = lengths.expect(&Name::new("new"), &kind, 1_000, 900);
    assert!(late.mean >= 1.0 && late.mean <= 100.0, "{late:?}");
}

// A new release of the model writes ten times as much. Old lengths outweigh the new ones for a long
// time unless the change itself is noticed.
#[test]
fn drift_is_noticed_within_some_twenty_generations() {
    let (name, kind, mut lengths) = (Name::new("w"), Name::new("model"), Lengths::new());
    for index in 0..500 {
        lengths.observe(&name, &kind, 1_000, 40 + index % 20);
    }
    for index in 0..20 {
        lengths.observe(&name, &kind, 1_000, 400 + index);
    }
    let mean = lengths.expect(&name, &kind, 1_000, 0).mean;
    assert!(mean > 300.0, "{mean}");
}

#[test]
fn nobody_is_overtaken_for_longer_than_the_bound() {
    let long = due(Time::ZERO, Duration::from_secs(3_600));
    assert_eq!(long, Time::ZERO + MAX_DELAY);
    assert!(due(Time::from_millis(1), Duration::ZERO) < long);
}

#[test]
fn victim_loses_least_and_was_not_displaced_too_often() {
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
fn rate_ceiling_says_when_the_next_may_come() {
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
fn promises_are_spread_out() {
    let mut promises = RetrySchedule::default();
    let (excess, service) = (Duration::from_secs(1), Duration::from_millis(500));
    let mut promise = || promises.schedule(Time::ZERO, excess, service);
    assert_eq!(promise(), Duration::from_millis(1_500));
    assert_eq!(promise(), Duration::from_millis(2_000));
    assert_eq!(promise(), Duration::from_millis(2_500));
}

// Load steps up so that each gap is over the target, and back. The cap must come down to where the
// gaps fit, stay there, and not swing between the two.
#[test]
fn batch_cap_settles_under_a_step_of_load() {
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
    let late = &caps[100..];
    let (least, most) = (late.iter().min().unwrap(), late.iter().max().unwrap());
    assert!(*most <= 78 && *least >= 66, "{least} to {most}");
}

#[test]
fn batch_cap_rests_between_its_marks() {
    let mut cap = BatchCap::new(96, Some(Duration::from_millis(41)));
    let judge = |cap: &mut BatchCap, over: u32| {
        let running = cap.get() as u32;
        for index in 0..512 {
            let gap = if index < over { 50 } else { 30 };
            cap.observe(Duration::from_millis(gap), running);
        }
        cap.get()
    };
    let cut = judge(&mut cap, 512);
    assert!(cut < 96);
    // 3 in 100.
    assert_eq!(judge(&mut cap, 15), cut);
    assert_eq!(judge(&mut cap, 0), cut + 1);
}

#[test]
fn waits_that_turn_out_longer_raise_the_estimate() {
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
