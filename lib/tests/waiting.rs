//! Streams that wait for capacity under a burst of load, in simulated time, judged by what their callers receive.

use std::time::Duration;

use burst::BurstOutcome;
use burst::KINDS;
use burst::Settings;

mod burst;

const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// The urgent short kind and the patient long one.
const URGENT: usize = 0;
const PATIENT: usize = 1;

/// The usual kinds, but for an objective of the long one that lets it wait for 2.5 s.
fn settings(waits: bool) -> Settings {
    let mut kinds = KINDS;
    kinds[PATIENT].objective = Duration::from_millis(4_000);
    Settings {
        kinds,
        waits,
        ..Settings::new()
    }
}

fn simulate(load: f64, settings: Settings) -> Vec<BurstOutcome> {
    let seeds = SEEDS.iter();
    seeds
        .map(|seed| burst::simulate(load, *seed, settings))
        .collect()
}

fn sum(outcomes: &[BurstOutcome], figure: impl Fn(&BurstOutcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum()
}

/// Guards against waiting streams that take the capacity of urgent ones, and against retries that find nothing although
/// runs ended meanwhile. At 3 times the usual load, with a sixth of the engines leaving in turn, more streams of both
/// kinds are in time where the patient ones wait, and fewer returning callers are refused a second time.
#[test]
fn more_streams_are_in_time_during_a_burst_with_departures() {
    let run = |waits| {
        let settings = Settings {
            departures: true,
            ..settings(waits)
        };
        simulate(3.0, settings)
    };
    let (waiting, refused) = (run(true), run(false));
    for kind in [URGENT, PATIENT] {
        let in_time = |outcomes: &[BurstOutcome]| sum(outcomes, |o| o.kinds[kind].in_time);
        assert!(in_time(&waiting) >= in_time(&refused), "kind {kind}");
    }
    let worth = |outcomes: &[BurstOutcome]| sum(outcomes, BurstOutcome::worth);
    assert!(worth(&waiting) > 1.02 * worth(&refused));
    let twice = |outcomes: &[BurstOutcome]| sum(outcomes, |o| o.kinds[PATIENT].refused_twice);
    assert!(twice(&waiting) < 0.6 * twice(&refused));
}

/// Guards against long requests that hold up short ones in the line, or are refused far more often.
#[test]
fn long_requests_keep_their_share_of_the_line() {
    let outcomes = simulate(3.0, settings(true));
    let all = sum(&outcomes, |o| {
        o.kinds[PATIENT].served / o.kinds[PATIENT].requests
    });
    let large = sum(&outcomes, |o| {
        o.kinds[PATIENT].large_served / o.kinds[PATIENT].large
    });
    assert!(large >= 0.6 * all, "{large} of {all}");
}

/// Guards against a workspace that fills the line: of ten workspaces one sends as much as all others, which must be served
/// about as often in time as where nobody waits.
#[test]
fn a_greedy_workspace_does_not_fill_the_line() {
    let run = |waits| {
        let settings = Settings {
            has_greedy: true,
            ..settings(waits)
        };
        let outcomes = simulate(3.0, settings);
        [URGENT, PATIENT].map(|kind| sum(&outcomes, |o| o.kinds[kind].in_time))
    };
    let (waiting, refused) = (run(true), run(false));
    for kind in [URGENT, PATIENT] {
        assert!(
            waiting[kind] >= 0.95 * refused[kind],
            "{waiting:?} {refused:?}"
        );
    }
}

/// Guards against streams that wait although their route has no slack, and so against any change for deployments without
/// such routes. The outcomes themselves are not compared: they differ a little between two runs of the same seed, since
/// loads are summed in the order of a hash map.
#[test]
fn nobody_waits_without_slack() {
    for load in [1.5, 3.0] {
        let without_slack = Settings {
            waits: true,
            ..Settings::new()
        };
        let waits = |settings| {
            let outcomes = simulate(load, settings);
            [URGENT, PATIENT].map(|kind| sum(&outcomes, |o| o.kinds[kind].waits))
        };
        assert_eq!(waits(without_slack), [0.0, 0.0]);
        let [urgent, patient] = waits(settings(true));
        assert_eq!(urgent, 0.0);
        assert!(load < 2.0 || patient > 100.0, "{patient}");
    }
}
