//! Load pattern: an engine with eight long runs and some short ones says that it is there for 1.6 s
//! more. One copy at a time fits on its link.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::dialect::EngineRun;
use cicada_lib::ids::Name;
use cicada_lib::move_plan::Target;
use cicada_lib::move_plan::falls_to;
use cicada_lib::move_plan::is_short;
use cicada_lib::move_plan::next_run;
use cicada_lib::move_plan::rank;
use cicada_lib::move_plan::target_for;
use quickcheck::QuickCheck;

/// The time that the link takes for a token: 18,432 bytes at 2,700 Mbit/s.
const TOKEN_TIME: Duration = Duration::from_nanos(54_600);

const NOTICE: Duration = Duration::from_millis(1_600);

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
        busy: 3,
        own: true,
        near: true,
        cold: false,
        limited: false,
    }
}

/// The runs that are off in time when they go in the given order.
fn saved<'a>(runs: impl Iterator<Item = &'a EngineRun>) -> usize {
    let mut left = NOTICE;
    let copies = runs.map(|run| TOKEN_TIME * run.tokens as u32);
    copies
        .take_while(|copy| match left.checked_sub(*copy) {
            Some(rest) => {
                left = rest;
                true
            }
            None => false,
        })
        .count()
}

#[test]
fn as_many_runs_as_possible_are_off_in_time() {
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
        saved(order.iter()) > saved(runs.iter()),
        "no better than as they came"
    );
    assert_eq!(saved(order.iter()), 7);
}

#[test]
fn short_runs_end_by_themselves() {
    let runs = [run("check", 2_200, 3, true), run("draft", 4_000, 3, false)];
    assert_eq!(next_run(&runs, &[]).unwrap().id, Name::new("draft"));
    assert_eq!(next_run(&runs, &[Name::new("draft")]), None);
    let long_after_all = [run("check", 2_200, 30, true)];
    assert_eq!(
        next_run(&long_after_all, &[]).unwrap().id,
        Name::new("check")
    );
}

#[test]
fn a_run_goes_where_the_most_room_is() {
    let targets = [target(1, 30_000), target(2, 12_000), target(3, 20_000)];
    assert_eq!(target_for(4_000, &targets, &[]).unwrap().address.port(), 2);
    let refused = [targets[1].address];
    assert_eq!(
        target_for(4_000, &targets, &refused)
            .unwrap()
            .address
            .port(),
        3
    );
}

#[test]
fn a_full_target_gets_no_run() {
    assert!(target_for(4_000, &[target(1, 30_000)], &[]).is_none());
    assert!(target_for(2_000, &[target(1, 30_000)], &[]).is_some());
}

#[test]
fn ranks_keep_the_order_of_priorities_and_tell_short_from_long() {
    fn property(one: u32, other: u32, short: bool) -> bool {
        let (low, high) = (one.min(other) % 5, one.max(other) % 5);
        let (low, high) = (low.min(high), low.max(high));
        let ordered = low == high || rank(low, true) < rank(high, false);
        ordered && is_short(rank(one, short)) == short && rank(one, short) <= 9
    }
    QuickCheck::new().quickcheck(property as fn(u32, u32, bool) -> bool);
}

/// Load pattern: two engines of one availability zone leave at the same time. Each has targets of its
/// own, so that no copy waits on a link for one of the other engine, and falls back to the others.
#[test]
fn engines_that_leave_together_do_not_meet_at_one_target() {
    let address = |last: u8| SocketAddr::from(([10, 0, 0, last], 8_701));
    let (one, other) = (address(1), address(2));
    for place in 0..6 {
        let first = falls_to(one, &[other], place);
        let second = falls_to(other, &[one], place);
        assert!(first != second, "target {place} falls to one of them");
        assert!(falls_to(one, &[], place), "alone it has all");
    }
    let mut targets = [target(1, 2_000), target(2, 20_000)];
    targets[0].own = false;
    assert_eq!(target_for(4_000, &targets, &[]).unwrap().address.port(), 2);
    targets[1].used = 32_000;
    assert_eq!(target_for(4_000, &targets, &[]).unwrap().address.port(), 1);
}

#[test]
fn a_near_target_is_preferred_and_a_far_one_is_better_than_none() {
    let mut targets = [target(1, 2_000), target(2, 20_000)];
    targets[0].near = false;
    assert_eq!(target_for(4_000, &targets, &[]).unwrap().address.port(), 2);
    targets[1].used = 32_000;
    assert_eq!(target_for(4_000, &targets, &[]).unwrap().address.port(), 1);
}

/// Guards against runs that are moved to an engine in need while another one has room.
#[test]
fn cold_and_limited_engines_are_the_last_targets() {
    let limited = Target {
        limited: true,
        ..target(1, 1_000)
    };
    let cold = Target {
        cold: true,
        ..target(2, 1_000)
    };
    let usual = target(3, 20_000);
    let all = [limited.clone(), cold, usual];
    let chosen = target_for(3_000, &all, &[]).map(|target| target.address.port());
    assert_eq!(chosen, Some(3));
    let alone = target_for(3_000, std::slice::from_ref(&limited), &[]);
    assert_eq!(alone.map(|target| target.address.port()), Some(1));
}
