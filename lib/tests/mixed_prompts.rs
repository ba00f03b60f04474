//! Long generations beside short checks on engines of uneven speed: the prefill group, and moves of runs whose engines
//! stay.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::fleet::PlacementRequest;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::time::Time;

use zone_sim::FAST;
use zone_sim::LONG;
use zone_sim::Outcome;
use zone_sim::Pace;
use zone_sim::SHORT;
use zone_sim::SLOW;
use zone_sim::Zone;

mod zone_sim;

const SEEDS: std::ops::Range<u64> = 0..12;

/// A zone of deployment K, where one engine in five is fast.
const UNEVEN: [Pace; 6] = [SLOW, FAST, SLOW, SLOW, SLOW, SLOW];

fn sum(outcomes: impl Iterator<Item = Outcome>) -> Outcome {
    outcomes.fold(Outcome::default(), |a, b| Outcome {
        long: a.long + b.long,
        long_late: a.long_late + b.long_late,
        short: a.short + b.short,
        short_late: a.short_late + b.short_late,
        moves: a.moves + b.moves,
        most_moves: a.most_moves.max(b.most_moves),
    })
}

/// Runs the load without and with groups and moves.
fn compare(load: impl Fn(&mut Zone)) -> [Outcome; 2] {
    let outcomes = [false, true].map(|is_on| {
        sum(SEEDS.map(|seed| {
            let mut zone = Zone::new(&UNEVEN, seed, is_on);
            load(&mut zone);
            zone.run(12, 0.0, 0.0);
            zone.outcome
        }))
    });
    println!("{outcomes:?}");
    outcomes
}

/// Asserts that the part of the long runs that is late falls to at most this fraction, and that short ones are hardly
/// slower.
fn assert_better([off, on]: [Outcome; 2], fraction: f64) {
    let long = |o: Outcome| f64::from(o.long_late) / f64::from(o.long.max(1));
    let short = |o: Outcome| f64::from(o.short_late) / f64::from(o.short.max(1));
    assert!(long(on) < fraction * long(off), "{off:?} {on:?}");
    assert!(short(on) <= short(off) + 0.03, "{off:?} {on:?}");
    assert!(on.most_moves <= 2, "{on:?}");
}

#[test]
fn with_nine_short_to_one_long() {
    assert_better(compare(|zone| zone.run(40, 1.0, 9.0)), 0.6);
}

#[test]
fn with_nine_long_to_one_short() {
    assert_better(compare(|zone| zone.run(40, 3.6, 0.4)), 0.6);
}

#[test]
fn with_the_mix_of_deployment_k() {
    assert_better(compare(|zone| zone.run(60, 3.1, 3.5)), 0.5);
}

/// Guards against a workspace that sends only long requests and keeps the members of the group full.
#[test]
fn with_only_long_runs() {
    assert_better(compare(|zone| zone.run(40, 4.0, 0.0)), 0.8);
}

/// Guards against bursts that queue at the few members of the group.
#[test]
fn with_bursts_of_either_kind() {
    let load = |zone: &mut Zone| {
        zone.run(20, 3.0, 3.0);
        (0..12).for_each(|_| zone.place(SHORT));
        zone.run(10, 3.0, 3.0);
        (0..8).for_each(|_| zone.place(LONG));
        zone.run(10, 3.0, 3.0);
    };
    assert_better(compare(load), 0.7);
}

/// Guards against a group that stays as small as the mix before needed.
#[test]
fn with_a_mix_that_reverses_within_a_second() {
    let load = |zone: &mut Zone| {
        zone.run(20, 0.5, 10.0);
        zone.run(20, 3.6, 0.4);
        zone.run(20, 0.5, 10.0);
    };
    assert_better(compare(load), 0.7);
}

/// Guards against groups and moves without estimates, which a restart of all scouts has discarded.
#[test]
fn all_short_at_once_after_a_restart() {
    let mut zone = Zone::new(&UNEVEN, 1, true);
    zone.knows_gaps = false;
    (0..40).for_each(|_| zone.place(SHORT));
    zone.run(5, 0.0, 12.0);
    assert_eq!(zone.group(0), Vec::<usize>::new());
    assert_eq!(zone.outcome.moves, 0);
}

/// Guards against prompts that have no members to go to after all of them have left.
#[test]
fn a_group_that_loses_all_its_engines_is_formed_anew() {
    let mut zone = Zone::new(&UNEVEN, 1, true);
    zone.run(20, 2.0, 2.0);
    let before = zone.group(0);
    assert!(
        !before.is_empty() && before.len() < UNEVEN.len(),
        "{before:?}"
    );
    before.iter().for_each(|engine| zone.remove(*engine));
    zone.run(2, 1.0, 1.0);
    let after = zone.group(0);
    assert!(
        after.iter().all(|engine| !before.contains(engine)),
        "{after:?}"
    );
    assert!(
        !after.is_empty() || before.len() + 1 >= UNEVEN.len(),
        "{after:?}"
    );
}

/// Guards against relays that settle on different groups: their reports differ in age only.
#[test]
fn relays_that_disagree_do_so_for_a_short_time() {
    let mut zone = Zone::new(&UNEVEN, 1, true);
    zone.run(10, 2.0, 3.0);
    let mut agreed = 0;
    for _ in 0..100 {
        zone.run(1, 2.0, 3.0);
        let (a, b) = (zone.group(0), zone.group(1));
        // One is a prefix of the other in the common order.
        assert!(a.iter().all(|e| b.contains(e)) || b.iter().all(|e| a.contains(e)));
        agreed += u32::from(a == b);
    }
    assert!(agreed >= 70, "{agreed} of 100");
}

/// Guards against a change of what is served where all engines tolerate prefill beside their runs.
#[test]
fn engines_of_one_speed_are_used_as_without_groups() {
    let [off, on] = [false, true].map(|is_on| {
        let mut zone = Zone::new(&[FAST; 6], 7, is_on);
        zone.run(30, 2.0, 6.0);
        assert_eq!(zone.group(0), Vec::<usize>::new());
        (zone.outcome, zone.placed)
    });
    assert_eq!(off.1, on.1);
    assert_eq!(on.0.moves, 0);
}

/// Guards against groups and moves that make a choice or a decision slower than what a relay can afford.
#[test]
fn decisions_among_a_thousand_engines_take_microseconds() {
    let now = Time::from_millis(10_000);
    let [plain, mut grouped] = [(); 2].map(|()| {
        let mut fleet = zone_sim::new_fleet(1_000);
        for engine in 0..1_000 {
            let load = EngineLoad {
                capacity: zone_sim::CAPACITY,
                prefill_percent: 20,
                gaps: UNEVEN[engine % UNEVEN.len()].gaps,
                ..EngineLoad::default()
            };
            fleet.apply_report(now, &zone_sim::here(engine), &load);
        }
        fleet
    });
    let (service, spec) = (zone_sim::service(), zone_sim::spec());
    let request = PlacementRequest::new(&service, 3_000, 3_744);
    let time = |work: &mut dyn FnMut()| {
        let started = Instant::now();
        work();
        started.elapsed()
    };
    // The least of interleaved measurements, since other processes share the machine.
    let mut least = [Duration::MAX; 4];
    for _ in 0..200 {
        let times = [
            time(&mut || _ = black_box(plain.choose(now, &request, &spec))),
            time(&mut || _ = grouped.update_prefill_groups(now, &zone_sim::objectives())),
            time(&mut || _ = black_box(grouped.choose(now, &request, &spec))),
            time(&mut || _ = black_box(grouped.move_targets(now, &request, &spec))),
        ];
        least = [0, 1, 2, 3].map(|i| least[i].min(times[i]));
    }
    let [before, update, after, targets] = least;
    println!("choose {before:?}, with groups {after:?}; update {update:?}, targets {targets:?}");
    assert!(
        after < before + Duration::from_micros(20),
        "{before:?} {after:?}"
    );
}
