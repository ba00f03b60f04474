//! Load pattern: an engine with eight long runs and some short ones announces that it shuts down in 1.6 s. Its link
//! carries one copy at a time.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::dialect::EngineRun;
use cicada_lib::ids::Name;
use cicada_lib::move_plan::Target;
use cicada_lib::move_plan::choose_target;
use cicada_lib::move_plan::is_assigned_to;
use cicada_lib::move_plan::is_short;
use cicada_lib::move_plan::next_run;
use cicada_lib::move_plan::rank;
use quickcheck::QuickCheck;

/// Copy time per token: 18,432 bytes at 2,700 Mbit/s.
const TOKEN_TIME: Duration = Duration::from_nanos(54_600);

const SHUTDOWN_NOTICE: Duration = Duration::from_millis(1_600);

fn run(id: &str, tokens: u64, events: u64, short: bool) -> EngineRun {
    EngineRun {
        id: Name::new(id),
        tokens,
        events,
        rank: rank(1, short),
    }
}

fn target(port: u16, used: u64) -> Target {
    Target {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        used,
        capacity: 34_000,
        requests: 3,
        assigned: true,
        same_zone: true,
        cold: false,
        limited: false,
    }
}

/// Number of runs that are copied in time if they move in the given order.
fn moved_in_time<'a>(runs: impl Iterator<Item = &'a EngineRun>) -> usize {
    let mut remaining = SHUTDOWN_NOTICE;
    let copies = runs.map(|run| TOKEN_TIME * run.tokens as u32);
    copies
        .take_while(|copy| match remaining.checked_sub(*copy) {
            Some(rest) => {
                remaining = rest;
                true
            }
            None => false,
        })
        .count()
}

#[test]
fn as_many_runs_as_possible_move_in_time() {
    let sizes = [6_100, 3_300, 5_900, 2_600, 4_800, 3_900, 3_100, 2_900];
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let runs: Vec<EngineRun> = names
        .iter()
        .zip(sizes)
        .map(|(id, tokens)| run(id, tokens, 40, false))
        .collect();
    let mut done = Vec::new();
    let mut order = Vec::new();
    while let Some(next) = next_run(&runs, &done) {
        done.push(next.id.clone());
        order.push(next.clone());
    }
    assert_eq!(order.len(), runs.len());
    assert!(
        moved_in_time(order.iter()) > moved_in_time(runs.iter()),
        "no better than in the reported order"
    );
    assert_eq!(moved_in_time(order.iter()), 7);
}

#[test]
fn short_runs_stay() {
    let runs = [run("check", 2_200, 3, true), run("draft", 4_000, 3, false)];
    assert_eq!(next_run(&runs, &[]).unwrap().id, Name::new("draft"));
    assert_eq!(next_run(&runs, &[Name::new("draft")]), None);
    let outgrown = [run("check", 2_200, 30, true)];
    assert_eq!(next_run(&outgrown, &[]).unwrap().id, Name::new("check"));
}

#[test]
fn a_run_moves_to_the_target_with_the_most_free_memory() {
    let targets = [target(1, 30_000), target(2, 12_000), target(3, 20_000)];
    assert_eq!(
        choose_target(4_000, &targets, &[]).unwrap().address.port(),
        2
    );
    let refused = [targets[1].address];
    assert_eq!(
        choose_target(4_000, &targets, &refused)
            .unwrap()
            .address
            .port(),
        3
    );
}

#[test]
fn a_full_target_gets_no_run() {
    assert!(choose_target(4_000, &[target(1, 30_000)], &[]).is_none());
    assert!(choose_target(2_000, &[target(1, 30_000)], &[]).is_some());
}

#[test]
fn ranks_preserve_priority_order_and_encode_shortness() {
    fn property(one: u32, other: u32, short: bool) -> bool {
        let (low, high) = (one.min(other) % 5, one.max(other) % 5);
        let (low, high) = (low.min(high), low.max(high));
        let ordered = low == high || rank(low, true) < rank(high, false);
        ordered && is_short(rank(one, short)) == short && rank(one, short) <= 9
    }
    QuickCheck::new().quickcheck(property as fn(u32, u32, bool) -> bool);
}

/// Two engines of one availability zone drain at the same time. Each has its own targets, so that no copy waits on a
/// link for one from the other engine, and falls back to the other targets if its own are full.
#[test]
fn engines_that_drain_together_use_different_targets() {
    let address = |last: u8| SocketAddr::from(([10, 0, 0, last], 8_701));
    let (one, other) = (address(1), address(2));
    for index in 0..6 {
        let first = is_assigned_to(one, &[other], index);
        let second = is_assigned_to(other, &[one], index);
        assert!(
            first != second,
            "target {index} is assigned to exactly one engine"
        );
        assert!(
            is_assigned_to(one, &[], index),
            "a single engine has all targets"
        );
    }
    let mut targets = [target(1, 2_000), target(2, 20_000)];
    targets[0].assigned = false;
    assert_eq!(
        choose_target(4_000, &targets, &[]).unwrap().address.port(),
        2
    );
    targets[1].used = 32_000;
    assert_eq!(
        choose_target(4_000, &targets, &[]).unwrap().address.port(),
        1
    );
}

#[test]
fn targets_in_the_same_zone_are_preferred_but_not_required() {
    let mut targets = [target(1, 2_000), target(2, 20_000)];
    targets[0].same_zone = false;
    assert_eq!(
        choose_target(4_000, &targets, &[]).unwrap().address.port(),
        2
    );
    targets[1].used = 32_000;
    assert_eq!(
        choose_target(4_000, &targets, &[]).unwrap().address.port(),
        1
    );
}

/// Guards against runs that are moved to a cold or limited engine although another one has enough memory.
#[test]
fn cold_and_limited_engines_are_the_last_choice() {
    let limited = Target {
        limited: true,
        ..target(1, 1_000)
    };
    let cold = Target {
        cold: true,
        ..target(2, 1_000)
    };
    let unrestricted = target(3, 20_000);
    let all = [limited.clone(), cold, unrestricted];
    let chosen = choose_target(3_000, &all, &[]).map(|target| target.address.port());
    assert_eq!(chosen, Some(3));
    let alone = choose_target(3_000, std::slice::from_ref(&limited), &[]);
    assert_eq!(alone.map(|target| target.address.port()), Some(1));
}
