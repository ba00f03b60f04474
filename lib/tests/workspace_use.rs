//! Which workspaces have taken more than their share.

use cicada_lib::ids::Name;
use cicada_lib::time::Time;
use cicada_lib::workspace_use::WorkspaceUse;

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Of ten workspaces one takes ten times as much: it is over, and no other one is.
#[test]
fn a_greedy_workspace_is_over_and_the_others_are_not() {
    let names: Vec<Name> = (0..10).map(|n| Name::new(format!("w-{n}"))).collect();
    let mut used = WorkspaceUse::new();
    for second in 0..10u64 {
        for (place, name) in names.iter().enumerate() {
            let tokens = if place == 0 { 40_000 } else { 4_000 };
            used.taken(millis(second * 1_000), name, tokens);
        }
    }
    let now = millis(10_000);
    let over: Vec<bool> = names.iter().map(|name| used.is_over(now, name)).collect();
    assert!(over[0]);
    assert!(over[1..].iter().all(|over| !over));
}

/// A workspace that is alone takes all that there is, and nobody is the worse for it.
#[test]
fn a_workspace_that_is_alone_is_never_over() {
    let name = Name::new("alone");
    let mut used = WorkspaceUse::new();
    for second in 0..60u64 {
        used.taken(millis(second * 1_000), &name, 100_000);
        assert!(!used.is_over(millis(second * 1_000), &name));
    }
}

/// What was taken half a minute ago is no reason any more.
#[test]
fn what_was_taken_fades() {
    let (greedy, usual) = (Name::new("greedy"), Name::new("usual"));
    let mut used = WorkspaceUse::new();
    for second in 0..5u64 {
        used.taken(millis(second * 1_000), &greedy, 100_000);
        used.taken(millis(second * 1_000), &usual, 5_000);
        used.taken(millis(second * 1_000), &Name::new("other"), 5_000);
    }
    assert!(used.is_over(millis(6_000), &greedy));
    for second in 6..40u64 {
        used.taken(millis(second * 1_000), &greedy, 5_000);
        used.taken(millis(second * 1_000), &usual, 5_000);
    }
    assert!(!used.is_over(millis(41_000), &greedy));
}
