//! Restarts of tasks that panic.

use std::time::Duration;

use cicada_lib::task_restarts::TaskRestarts;
use cicada_lib::time::Time;

/// Guards against a task that is started again without a pause, and against a process that counts as ready meanwhile.
#[test]
fn a_task_that_panics_at_once_is_paused_ever_longer_and_counts_as_failing() {
    let mut restarts = TaskRestarts::new();
    let (mut now, mut runs) = (Time::from_millis(1_000), 0);
    let mut pauses = Vec::new();
    while now < Time::from_millis(61_000) {
        pauses.push(restarts.record_panic(now));
        runs += 1;
        assert_eq!(restarts.is_failing(now), runs >= 3, "after {runs} panics");
        now = now + pauses[runs - 1];
        assert_eq!(restarts.is_failing(now), runs >= 3, "after {runs} panics");
    }
    assert!(runs < 50, "{runs} runs in a minute");
    assert!(pauses.is_sorted());
    assert_eq!(pauses.last(), Some(&Duration::from_secs(2)));
}

/// Guards against a process that is out of use for good since a task panicked some time ago.
#[test]
fn a_task_that_runs_again_has_recovered() {
    let mut restarts = TaskRestarts::new();
    let start = Time::from_millis(1_000);
    let first = restarts.record_panic(start);
    for _ in 0..5 {
        restarts.record_panic(start);
    }
    assert!(restarts.is_failing(start));
    let later = start + Duration::from_secs(10);
    assert!(!restarts.is_failing(later));
    assert_eq!(restarts.record_panic(later), first);
    assert!(!restarts.is_failing(later));
}
