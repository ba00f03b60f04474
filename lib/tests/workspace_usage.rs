//! Detection of workspaces that are over their share.

use cicada_lib::ids::Name;
use cicada_lib::time::Time;
use cicada_lib::workspace_usage::WorkspaceUsage;

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// One of ten workspaces uses ten times as many tokens as each other one.
#[test]
fn only_the_greedy_workspace_is_over_its_share() {
    let names: Vec<Name> = (0..10).map(|n| Name::new(format!("w-{n}"))).collect();
    let mut usage = WorkspaceUsage::new();
    for second in 0..10u64 {
        for (index, name) in names.iter().enumerate() {
            let tokens = if index == 0 { 40_000 } else { 4_000 };
            usage.record(millis(second * 1_000), name, tokens);
        }
    }
    let now = millis(10_000);
    let over_share: Vec<bool> = names
        .iter()
        .map(|name| usage.is_over_share(now, name))
        .collect();
    assert!(over_share[0]);
    assert!(over_share[1..].iter().all(|over_share| !over_share));
}

/// A single active workspace may use everything, since no other one needs the capacity.
#[test]
fn a_single_workspace_is_never_over_its_share() {
    let name = Name::new("alone");
    let mut usage = WorkspaceUsage::new();
    for second in 0..60u64 {
        usage.record(millis(second * 1_000), &name, 100_000);
        assert!(!usage.is_over_share(millis(second * 1_000), &name));
    }
}

/// Usage of half a minute ago has no effect.
#[test]
fn usage_decays() {
    let (greedy, usual) = (Name::new("greedy"), Name::new("usual"));
    let mut usage = WorkspaceUsage::new();
    for second in 0..5u64 {
        usage.record(millis(second * 1_000), &greedy, 100_000);
        usage.record(millis(second * 1_000), &usual, 5_000);
        usage.record(millis(second * 1_000), &Name::new("other"), 5_000);
    }
    assert!(usage.is_over_share(millis(6_000), &greedy));
    for second in 6..40u64 {
        usage.record(millis(second * 1_000), &greedy, 5_000);
        usage.record(millis(second * 1_000), &usual, 5_000);
    }
    assert!(!usage.is_over_share(millis(41_000), &greedy));
}
