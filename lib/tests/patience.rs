//! The load of an engine that hangs, and of one that is crowded.

use std::time::Duration;

use cicada_lib::patience;

const OBJECTIVE: Duration = Duration::from_millis(1_500);
const GAP: Duration = Duration::from_millis(180);

/// An idle engine hangs: a second send begins while the objective can still be met.
#[test]
fn an_idle_engine_that_hangs_is_given_up_within_the_objective() {
    let wait = patience::first_event(OBJECTIVE, Duration::ZERO);
    assert!(
        wait > Duration::from_millis(300),
        "a prompt is read in 0.3 s"
    );
    assert!(wait <= OBJECTIVE / 2);
}

/// An engine reads the prompts of ten others first, which takes 3 s. What waits there makes progress, and
/// is not sent elsewhere before that.
#[test]
fn a_crowded_engine_is_not_taken_for_one_that_hangs() {
    let reading = Duration::from_secs(3);
    assert!(patience::first_event(OBJECTIVE, reading) > reading);
    assert!(patience::next_event(GAP, reading) > reading);
}

/// Pauses of moves, up to 250 ms, and of displaced runs, up to 700 ms, are no hanging. Callers give up
/// after eight pauses that they do not notice, or two seconds.
#[test]
fn a_pause_of_a_moved_or_displaced_run_is_waited_for() {
    let wait = patience::next_event(GAP, Duration::ZERO);
    assert!(wait > Duration::from_millis(700));
    assert!(wait < Duration::from_secs(2));
    assert!(patience::next_event(Duration::ZERO, Duration::ZERO) > Duration::from_millis(700));
}
