//! Tests of the record of a run's stops.

use std::net::SocketAddr;

use cicada_lib::ids::Name;
use cicada_lib::migration::run_stops::RunStops;
use cicada_lib::migration::run_stops::StopRefusal;
use cicada_lib::migration::run_stops::StopRequest;
use cicada_lib::migration::run_stops::StopState;
use cicada_lib::migration::run_stops::Stopper;
use quickcheck::QuickCheck;

fn engine(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8_720))
}

fn stop(by: Stopper, at: u8, handle: &str) -> StopRequest {
    StopRequest {
        by,
        engine: engine(at),
        target: Some(engine(9)),
        handle: Name::new(handle),
        number: 1,
    }
}

fn at(number: u8) -> RunStops {
    let mut stops = RunStops::new();
    stops.begin_at(engine(number));
    stops
}

/// Guards against a scout's stop that the holder of the stream would not know of when the stream ends.
#[test]
fn a_permitted_stop_is_open_until_its_outcome_is_known() {
    let mut stops = at(1);
    assert!(stops.open_stop(engine(1)).is_none());
    let key = stops.permit(stop(Stopper::Scout, 1, "a")).unwrap();
    stops.end_body();
    let open = stops.open_stop(engine(1)).unwrap();
    assert_eq!((open.key, open.state), (key, StopState::Pending));
    stops.lose(key);
    assert_eq!(
        stops.open_stop(engine(1)).unwrap().state,
        StopState::Unknown
    );
    stops.settle(key);
    assert!(stops.open_stop(engine(1)).is_none());
}

/// Guards against a whole answer that is taken for a stopped one because the scout asks after its end.
#[test]
fn a_stop_is_refused_after_the_body_has_ended_and_at_another_engine() {
    let mut stops = at(1);
    let elsewhere = stops.permit(stop(Stopper::Scout, 2, "a"));
    assert_eq!(elsewhere, Err(StopRefusal::NotHere));
    stops.end_body();
    let late = stops.permit(stop(Stopper::Scout, 1, "a"));
    assert_eq!(late, Err(StopRefusal::NotHere));
    assert!(stops.open_stop(engine(1)).is_none());
}

/// Guards against a permission that is refused, or counted twice, because the reply to the first question was lost.
#[test]
fn the_same_stop_is_permitted_again() {
    let mut stops = at(1);
    let first = stops.permit(stop(Stopper::Scout, 1, "a"));
    assert!(first.is_ok());
    assert_eq!(stops.permit(stop(Stopper::Scout, 1, "a")), first);
    stops.settle(first.unwrap());
    assert!(stops.open_stop(engine(1)).is_none());
}

/// Guards against news of an earlier stop, sent again, that settles a later one with the same copy.
#[test]
fn news_of_another_stop_settles_nothing() {
    let mut stops = at(1);
    let first = stops.permit(stop(Stopper::Scout, 1, "a")).unwrap();
    assert_eq!(stops.scout_stop(engine(1), 1), Some(first));
    stops.settle(first);
    let again = StopRequest {
        number: 2,
        ..stop(Stopper::Scout, 1, "a")
    };
    let second = stops.permit(again).unwrap();
    assert_eq!(stops.scout_stop(engine(1), 1), None);
    assert_eq!(stops.scout_stop(engine(1), 2), Some(second));
}

/// Guards against a copy that nobody can use since its handle came after the permission, or after the end of the stream.
#[test]
fn the_handle_of_a_copy_may_follow_the_permission() {
    let mut stops = at(1);
    let key = stops.permit(stop(Stopper::Scout, 1, "")).unwrap();
    assert!(stops.take_copy(engine(1)).is_none());
    stops.end_body();
    assert_eq!(stops.permit(stop(Stopper::Scout, 1, "a")), Ok(key));
    stops.lose(key);
    let copy = stops.take_copy(engine(1)).unwrap();
    assert_eq!(copy.handle, Name::new("a"));
}

/// Guards against two stops of one run, of which the outcome of one says nothing about the other.
#[test]
fn relay_and_scout_do_not_stop_the_same_run() {
    let mut stops = at(1);
    let own = stops.record_own(stop(Stopper::Relay, 1, "a")).unwrap();
    let scout = stops.permit(stop(Stopper::Scout, 1, "b"));
    assert_eq!(scout, Err(StopRefusal::Unsettled));
    stops.settle(own);
    assert!(stops.permit(stop(Stopper::Scout, 1, "b")).is_ok());
    let own = stops.record_own(stop(Stopper::Relay, 1, "a"));
    assert_eq!(own, Err(StopRefusal::Unsettled));
}

/// Guards against a scout that was restarted and whose "no such run" would hide the stop of the one before.
#[test]
fn another_scout_may_not_stop_a_run_whose_stop_is_not_settled() {
    let mut stops = at(1);
    let first = stops.permit(stop(Stopper::Scout, 1, "a")).unwrap();
    let other = StopRequest {
        number: 2,
        ..stop(Stopper::Scout, 1, "b")
    };
    let second = stops.permit(other);
    assert_eq!(second, Err(StopRefusal::Unsettled));
    stops.lose(first);
    let second = stops.permit(stop(Stopper::Scout, 1, "a"));
    assert_eq!(second, Err(StopRefusal::Unsettled));
}

/// Guards against a run that nobody moves any more since the scout that was permitted to stop it was restarted.
#[test]
fn a_new_question_of_the_scout_ends_the_wait_for_its_former_stop() {
    let mut stops = at(1);
    let first = stops.permit(stop(Stopper::Scout, 1, "a")).unwrap();
    let other = StopRequest {
        number: 2,
        ..stop(Stopper::Scout, 1, "b")
    };
    assert_eq!(stops.permit(other), Err(StopRefusal::Unsettled));
    let open = stops.open_stop(engine(1)).unwrap();
    assert_eq!((open.key, open.state), (first, StopState::Unknown));
    assert!(stops.record_own(stop(Stopper::Relay, 1, "c")).is_ok());
}

/// Guards against a lost stop that reaches the engine after the run has returned there.
#[test]
fn a_stop_of_unknown_outcome_stays_open_when_the_run_returns() {
    let mut stops = at(1);
    let lost = stops.record_own(stop(Stopper::Relay, 1, "a")).unwrap();
    stops.lose(lost);
    stops.begin_at(engine(2));
    assert!(stops.open_stop(engine(2)).is_none());
    stops.begin_at(engine(1));
    let retry = stops.record_own(stop(Stopper::Relay, 1, "b")).unwrap();
    stops.settle(retry);
    assert_eq!(stops.open_stop(engine(1)).map(|stop| stop.key), Some(lost));
}

/// Guards against a run that is resumed twice from one copy, and against a copy that is left unused.
#[test]
fn each_copy_is_taken_once_the_latest_first() {
    let mut stops = at(1);
    for handle in ["a", "b"] {
        let key = stops.record_own(stop(Stopper::Relay, 1, handle)).unwrap();
        stops.lose(key);
    }
    let mut handles = Vec::new();
    while let Some(copy) = stops.take_copy(engine(1)) {
        handles.push(copy.handle.to_string());
    }
    assert_eq!(handles, ["b", "a"]);
    assert!(stops.open_stop(engine(1)).is_some());
    assert!(stops.take_copy(engine(2)).is_none());
}

/// Replays leaving engines with busy links: whatever order stops, lost answers and moves come in, an end at an engine is
/// trusted only if each stop there was settled.
#[test]
fn an_engine_with_an_unsettled_stop_is_never_trusted() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut stops = at(0);
        let mut expected: Vec<(u8, _)> = Vec::new();
        for (step, (action, number)) in steps.into_iter().enumerate() {
            let here = number % 3;
            let handle = step.to_string();
            let numbered = |request| StopRequest {
                number: step as u64,
                ..request
            };
            match action % 5 {
                0 => stops.begin_at(engine(here)),
                1 => {
                    if let Ok(key) = stops.permit(numbered(stop(Stopper::Scout, here, &handle))) {
                        expected.push((here, key));
                    }
                }
                2 => {
                    if let Ok(key) = stops.record_own(stop(Stopper::Relay, here, &handle)) {
                        expected.push((here, key));
                    }
                }
                3 if !expected.is_empty() => {
                    let (_, key) = expected.remove(usize::from(number) % expected.len());
                    stops.settle(key);
                }
                _ => {
                    if let Some((_, key)) = expected.last() {
                        stops.lose(*key);
                    }
                }
            }
            let is_consistent = (0..3).all(|at| {
                let open = expected.iter().any(|(engine, _)| *engine == at);
                stops.open_stop(engine(at)).is_some() == open
            });
            if !is_consistent {
                return false;
            }
        }
        true
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
