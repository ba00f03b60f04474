//! Progress timeouts at an engine that hangs, and at one that is overloaded.

use std::time::Duration;

use cicada_lib::progress_timeout;

const OBJECTIVE: Duration = Duration::from_millis(1_500);
const GAP: Duration = Duration::from_millis(180);

/// The first-event timeout of an idle engine that hangs leaves time for a second send to meet the objective.
#[test]
fn an_idle_engine_that_hangs_times_out_within_the_objective() {
    let wait = progress_timeout::first_event(OBJECTIVE, Duration::ZERO);
    assert!(
        wait > Duration::from_millis(300),
        "a prompt is prefilled in 0.3 s"
    );
    assert!(wait <= OBJECTIVE / 2);
}

/// An engine first prefills ten other prompts, which takes 3 s. A request that waits for them must not be
/// sent to another engine before that.
#[test]
fn an_overloaded_engine_is_not_mistaken_for_a_hanging_one() {
    let prefill = Duration::from_secs(3);
    assert!(progress_timeout::first_event(OBJECTIVE, prefill) > prefill);
    assert!(progress_timeout::next_event(GAP, prefill) > prefill);
}

/// Moved runs pause for up to 250 ms and preempted ones for up to 700 ms, which must not count as hanging.
/// Callers give up after eight times the longest gap that they do not notice, or after two seconds.
#[test]
fn a_moved_or_preempted_run_does_not_time_out() {
    let wait = progress_timeout::next_event(GAP, Duration::ZERO);
    assert!(wait > Duration::from_millis(700));
    assert!(wait < Duration::from_secs(2));
    assert!(
        progress_timeout::next_event(Duration::ZERO, Duration::ZERO) > Duration::from_millis(700)
    );
}
