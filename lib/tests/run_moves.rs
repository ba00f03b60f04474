//! Single decisions to move a run whose engine stays, and the choice of its target.

use std::time::Duration;

use cicada_lib::migration::event_gaps::EventGaps;
use cicada_lib::migration::event_gaps::GapEstimate;
use cicada_lib::migration::handoff;
use cicada_lib::migration::handoff::MoveReason;
use cicada_lib::migration::move_bounds::MoveBounds;
use cicada_lib::migration::move_target;
use cicada_lib::migration::move_target::MoveTarget;
use cicada_lib::migration::move_target::NoTarget;
use cicada_lib::migration::precopy;
use cicada_lib::migration::precopy::NextRound;
use cicada_lib::migration::rescue;
use cicada_lib::migration::run_risk::EngineState;
use cicada_lib::migration::run_risk::PrefillRole;
use cicada_lib::migration::run_risk::RunState;
use cicada_lib::routing::ServerKey;
use cicada_lib::time::Time;
use slotmap::SlotMap;

const CAPACITY: u64 = 27_000;

fn gaps(alone: (u16, u16), beside: (u16, u16)) -> EventGaps {
    let estimate = |(mean_ms, p99_ms)| GapEstimate { mean_ms, p99_ms };
    EventGaps {
        alone: estimate(alone),
        beside_prefill: estimate(beside),
    }
}

fn engine(role: PrefillRole, prefill_use: f64, fill: f64) -> EngineState {
    EngineState {
        gaps: Some(gaps((45, 75), (75, 190))),
        report_age: Duration::ZERO,
        prefill_use,
        role,
        fill,
    }
}

fn run() -> RunState {
    RunState {
        events: 1,
        events_left: 185,
        time_left: Duration::from_secs(7),
        gap_limit: Duration::from_millis(180),
        tokens: 3_744,
    }
}

fn targets(states: &[(EngineState, u64)]) -> Vec<MoveTarget> {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let targets = states.iter().map(|(engine, used)| MoveTarget {
        key: keys.insert(()),
        engine: *engine,
        used: *used,
        capacity: CAPACITY,
        is_full: false,
        is_spare: false,
    });
    targets.collect()
}

/// Guards against moves of runs that end where they are, that declare no limit, or whose engine is not known.
#[test]
fn only_long_runs_with_a_limit_and_known_gaps_leave_the_group() {
    let member = engine(PrefillRole::Member, 0.6, 0.3);
    assert_eq!(
        handoff::reason(&run(), &member),
        Some(MoveReason::HandoffRisk)
    );
    let staying = [
        RunState { events: 0, ..run() },
        RunState {
            events_left: 2,
            ..run()
        },
        RunState {
            time_left: Duration::from_millis(300),
            ..run()
        },
        RunState {
            gap_limit: Duration::ZERO,
            ..run()
        },
    ];
    for run in staying {
        assert_eq!(handoff::reason(&run, &member), None, "{run:?}");
        assert_eq!(rescue::reason(&run, &member, 0.0), None, "{run:?}");
    }
    for gaps in [None, Some(EventGaps::default())] {
        let unknown = EngineState { gaps, ..member };
        assert_eq!(handoff::reason(&run(), &unknown), None);
        assert_eq!(rescue::reason(&run(), &unknown, 0.0), None);
    }
    let decoder = engine(PrefillRole::Decoder, 0.0, 0.9);
    assert_eq!(handoff::reason(&run(), &decoder), None);
    assert_eq!(rescue::reason(&run(), &decoder, 0.0), None);
}

/// Guards against members of the group that are full of runs which would tolerate the prompts.
#[test]
fn a_full_member_makes_room() {
    let tolerant = EngineState {
        gaps: Some(gaps((20, 30), (28, 60))),
        ..engine(PrefillRole::Member, 0.6, 0.8)
    };
    assert_eq!(
        handoff::reason(&run(), &tolerant),
        Some(MoveReason::HandoffRoom)
    );
    let roomy = EngineState {
        fill: 0.5,
        ..tolerant
    };
    assert_eq!(handoff::reason(&run(), &roomy), None);
}

/// Guards against all runs of an overfilled engine leaving it at once.
#[test]
fn as_many_runs_leave_a_full_engine_as_do_not_fit() {
    let full = engine(PrefillRole::Any, 0.0, 1.25);
    assert_eq!(
        rescue::reason(&run(), &full, 0.19),
        Some(MoveReason::RescueMemory)
    );
    assert_eq!(rescue::reason(&run(), &full, 0.21), None);
    let slow = EngineState {
        gaps: Some(gaps((90, 200), (0, 0))),
        ..full
    };
    assert_eq!(
        rescue::reason(&run(), &slow, 0.99),
        Some(MoveReason::RescueRisk)
    );
}

/// Guards against targets without the memory for the run's final size, and against moves that gain nothing.
#[test]
fn a_target_has_room_and_half_the_risk() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut choose = |reason, risk, targets: &[MoveTarget]| {
        move_target::choose(&run(), reason, risk, targets, &mut rng)
    };
    let calm = engine(PrefillRole::Decoder, 0.0, 0.5);
    let busy = engine(PrefillRole::Decoder, 0.5, 0.5);
    let full = targets(&[(calm, 24_000)]);
    let reason = MoveReason::HandoffRisk;
    assert_eq!(choose(reason, 0.9, &full), Err(NoTarget::NoRoom));
    let mut no_slot = targets(&[(calm, 0)]);
    no_slot[0].is_full = true;
    assert_eq!(choose(reason, 0.9, &no_slot), Err(NoTarget::NoRoom));
    let risky = targets(&[(busy, 0)]);
    assert_eq!(choose(reason, 0.9, &risky), Err(NoTarget::NotBetter));
    let member = targets(&[(
        EngineState {
            role: PrefillRole::Member,
            ..calm
        },
        0,
    )]);
    let room = MoveReason::HandoffRoom;
    assert_eq!(choose(room, 0.05, &member), Err(NoTarget::NotBetter));
    let both = targets(&[(busy, 0), (calm, 10_000)]);
    assert_eq!(choose(reason, 0.9, &both).unwrap().key, both[1].key);
    // An engine whose gaps are unknown comes after those that are known to be good, and is still used.
    let unknown = EngineState { gaps: None, ..calm };
    let idle = targets(&[(unknown, 0)]);
    assert_eq!(choose(reason, 0.9, &idle).unwrap().key, idle[0].key);
    assert_eq!(choose(reason, 0.15, &idle), Err(NoTarget::NotBetter));
}

/// Guards against relays that all choose the engine with the most free memory, and against cold or limited targets where
/// there are others.
#[test]
fn targets_are_spread_over_the_best_few() {
    let calm = engine(PrefillRole::Decoder, 0.0, 0.5);
    let mut all = targets(&[
        (calm, 0),
        (calm, 1_000),
        (calm, 2_000),
        (calm, 9_000),
        (calm, 0),
    ]);
    all[4].is_spare = true;
    let mut counts = [0; 5];
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let target = move_target::choose(&run(), MoveReason::HandoffRisk, 0.9, &all, &mut rng);
        let key = target.unwrap().key;
        counts[all.iter().position(|t| t.key == key).unwrap()] += 1;
    }
    assert!(counts[..3].iter().all(|count| *count > 60), "{counts:?}");
    assert_eq!(counts[3..], [0, 0], "{counts:?}");
}

/// Guards against runs that are moved back and forth, and against a loop of failed moves.
#[test]
fn moves_of_one_run_are_bounded() {
    let mut bounds = MoveBounds::new();
    let second = Duration::from_secs(1);
    let start = Time::from_millis(5_000);
    assert!(bounds.may_move(start));
    bounds.record_move(start);
    assert!(!bounds.may_move(start + second));
    assert!(bounds.may_move(start + 3 * second));
    bounds.record_move(start + 3 * second);
    assert_eq!(bounds.next_check(), None);
    let mut failing = MoveBounds::new();
    let (mut now, mut tries) = (start, 0);
    while let Some(at) = failing.next_check() {
        assert!(tries == 0 || at >= now + Duration::from_millis(250));
        now = now.max(at);
        failing.record_failure(now);
        tries += 1;
        assert!(tries < 10);
    }
    assert_eq!(tries, 4);
}

/// Guards against a run that is stopped while its last part waits for other copies on the links.
#[test]
fn a_run_is_stopped_only_after_a_short_round() {
    let limit = Duration::from_millis(180);
    let short = Duration::from_millis(30);
    let long = Duration::from_millis(60);
    assert_eq!(precopy::next_round(1, long, limit), NextRound::Copy);
    assert_eq!(precopy::next_round(2, short, limit), NextRound::Stop);
    assert_eq!(precopy::next_round(7, long, limit), NextRound::Copy);
    assert_eq!(precopy::next_round(8, long, limit), NextRound::Abandon);
}
