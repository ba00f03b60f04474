//! Forecasts of an engine's memory and prefill backlog, as its scout makes them.

use std::time::Duration;

use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::engine_load_tracker::EngineLoadTracker;
use cicada_lib::engine_load_tracker::LoadForecast;
use cicada_lib::ids::Name;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::RequestSent;
use cicada_lib::time::Time;

fn millis(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn request(id: &str, prompt: u64, tokens: u64) -> RequestSent {
    RequestSent {
        id: Name::new(id),
        engine: ([10, 0, 0, 1], 8_701).into(),
        prompt,
        tokens,
    }
}

fn run(id: &str, tokens: u64) -> EngineRun {
    EngineRun {
        id: Name::new(id),
        tokens,
        events: 1,
        rank: 2,
    }
}

fn report(runs: Vec<EngineRun>, reading: u32) -> EngineReport {
    EngineReport {
        running: runs.len() as u32 + reading,
        reading,
        used: runs.iter().map(|run| run.tokens).sum(),
        runs,
        ..EngineReport::default()
    }
}

/// Takes in a report and returns the forecast at the same time.
fn forecast(load_tracker: &mut EngineLoadTracker, now: Time, report: EngineReport) -> LoadForecast {
    load_tracker.update(now, report);
    load_tracker.forecast(now, None)
}

/// Two entries send between two reports. Before the engine reports either request, the forecast includes the peak
/// memory and the prefill of both.
#[test]
fn requests_in_transit_count_at_once() {
    let mut load_tracker = EngineLoadTracker::new();
    load_tracker.record_sent(millis(0), &request("a", 3_000, 4_000));
    load_tracker.record_sent(millis(1), &request("b", 2_000, 2_020));
    let load = forecast(&mut load_tracker, millis(10), report(vec![], 0));
    assert_eq!(load.prefill_tokens, 5_000);
    assert_eq!(load.peak_tokens, 5_040);
}

/// A run counts with its expected final size, is assumed to keep growing once it exceeds that, and is dropped when it
/// ends.
#[test]
fn a_run_counts_with_its_expected_final_size() {
    let mut load_tracker = EngineLoadTracker::new();
    load_tracker.record_sent(millis(0), &request("a", 3_000, 4_000));
    let load = forecast(
        &mut load_tracker,
        millis(500),
        report(vec![run("a", 3_100)], 0),
    );
    assert_eq!((load.peak_tokens, load.prefill_tokens), (4_000, 0));
    let load = forecast(
        &mut load_tracker,
        millis(9_000),
        report(vec![run("a", 4_500)], 0),
    );
    assert!(load.peak_tokens > 4_500, "{load:?}");
    let load = forecast(&mut load_tracker, millis(9_500), report(vec![], 0));
    assert_eq!(load.peak_tokens, 0);
    assert!(load_tracker.is_empty());
}

/// Runs of different lengths do not peak together: the forecast is the peak of the sum, not the sum of the peaks.
#[test]
fn runs_that_end_at_different_times_share_memory() {
    let mut load_tracker = EngineLoadTracker::new();
    load_tracker.record_sent(millis(0), &request("a", 1_000, 3_000));
    load_tracker.record_sent(millis(0), &request("b", 3_000, 3_400));
    let runs = vec![run("a", 1_000), run("b", 3_000)];
    let load = forecast(&mut load_tracker, millis(500), report(runs, 0));
    assert_eq!(load.peak_tokens, 4_800);
}

/// If an announcement or a request was lost, the engine's own count of waiting requests takes precedence, and requests
/// that never reached it are dropped.
#[test]
fn the_engine_s_own_count_takes_precedence() {
    let mut load_tracker = EngineLoadTracker::new();
    let load = forecast(&mut load_tracker, millis(0), report(vec![], 2));
    assert!(
        load.prefill_tokens >= 4_000 && load.peak_tokens > load.prefill_tokens,
        "{load:?}"
    );
    load_tracker.record_sent(millis(0), &request("refused", 3_000, 4_000));
    assert!(forecast(&mut load_tracker, millis(100), report(vec![], 0)).peak_tokens > 0);
    let load = forecast(&mut load_tracker, millis(1_000), report(vec![], 0));
    assert_eq!((load.peak_tokens, load.prefill_tokens), (0, 0));
    assert!(load_tracker.is_empty());
}

/// Announcements of requests that never reach the engine do not accumulate.
#[test]
fn tracked_requests_stay_bounded() {
    let mut load_tracker = EngineLoadTracker::new();
    for number in 0..10_000u64 {
        let now = millis(number * 20);
        load_tracker.record_sent(now, &request(&format!("r-{number}"), 100, 200));
        forecast(
            &mut load_tracker,
            now + Duration::from_millis(5),
            report(vec![], 1),
        );
    }
    assert!(load_tracker.len() < 2_500, "{}", load_tracker.len());
}

fn ask(id: &str, prompt: u64, probed_engines: u32) -> LoadProbe {
    LoadProbe {
        id: Name::new(id),
        engine: ([10, 0, 0, 1], 8_701).into(),
        prompt,
        tokens: prompt + 500,
        probed_engines,
    }
}

/// Two relays probe at the same time, five engines each. The second one sees a fifth of the first one's request, and
/// not its own. Once sent, the first request counts in full, and the unused reservation expires.
#[test]
fn a_reservation_counts_in_part() {
    let mut load_tracker = EngineLoadTracker::new();
    load_tracker.update(millis(0), report(vec![], 0));
    load_tracker.reserve(millis(10), &ask("a", 3_000, 5));
    load_tracker.reserve(millis(10), &ask("b", 2_000, 5));
    let load_for_b = load_tracker.forecast(millis(11), Some(&Name::new("b")));
    assert_eq!(load_for_b.prefill_tokens, 600);
    load_tracker.record_sent(millis(12), &request("a", 3_000, 3_500));
    assert_eq!(
        load_tracker.forecast(millis(13), None).prefill_tokens,
        3_400
    );
    assert_eq!(
        load_tracker.forecast(millis(100), None).prefill_tokens,
        3_000
    );
}

/// Ten relays probe an idle engine at almost the same time, as one of five engines each: it still looks able to prefill
/// a prompt in time.
#[test]
fn many_reservations_do_not_make_an_engine_look_overloaded() {
    let mut load_tracker = EngineLoadTracker::new();
    load_tracker.update(millis(0), report(vec![], 0));
    for number in 0..10 {
        load_tracker.reserve(millis(number), &ask(&format!("r-{number}"), 2_500, 5));
    }
    assert!(load_tracker.forecast(millis(10), None).prefill_tokens <= 5_000);
}

/// The engine reports one prompt in prefill, and another request was sent after the report. Both count.
#[test]
fn a_request_sent_after_the_report_counts_in_addition() {
    let mut load_tracker = EngineLoadTracker::new();
    load_tracker.record_sent(millis(0), &request("a", 3_000, 3_500));
    load_tracker.update(millis(400), report(vec![], 1));
    load_tracker.record_sent(millis(410), &request("b", 2_000, 2_500));
    assert_eq!(
        load_tracker.forecast(millis(411), None).prefill_tokens,
        5_000
    );
}
