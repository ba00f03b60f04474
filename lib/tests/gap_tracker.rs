//! Estimation of the time between two events of a run, from polls of an engine's event counters.

use std::time::Duration;
use std::time::Instant;

use cicada_lib::dialect::EngineReport;
use cicada_lib::dialect::EngineRun;
use cicada_lib::ids::Name;
use cicada_lib::migration::event_gaps::EventGaps;
use cicada_lib::migration::event_gaps::GapEstimate;
use cicada_lib::migration::gap_tracker::GapTracker;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::EngineLoad;
use cicada_lib::time::Time;

const POLL_MS: u64 = 30;
const TOKENS_PER_EVENT: u64 = 4;
const PROMPT: u64 = 3_000;

/// An engine whose runs generate an event every `gap` ms, or `beside` ms while it prefills a prompt, and whose host is
/// 2.5 times slower for 300 ms in every `slow_every` ms. Prefill takes the first 400 ms of every `prefill_every` ms.
#[derive(Clone)]
struct Engine {
    gap: f64,
    beside: f64,
    slow_every: u64,
    prefill_every: u64,
    born: u64,
    // Parts of an event that the runs have generated.
    runs: Vec<f64>,
    now: u64,
}

impl Engine {
    fn new(gap: f64, beside: f64) -> Self {
        Engine {
            gap,
            beside,
            slow_every: u64::MAX,
            prefill_every: 2_000,
            born: 1,
            runs: (0..8).map(|run| f64::from(run) / 8.0).collect(),
            now: 0,
        }
    }

    fn is_prefilling(&self) -> bool {
        self.now % self.prefill_every < 400
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            let gap = match self.is_prefilling() {
                true => self.beside,
                false => self.gap,
            };
            let slow = self.slow_every < u64::MAX && self.now % self.slow_every < 300;
            let gap = if slow { 2.5 * gap } else { gap };
            self.runs.iter_mut().for_each(|run| *run += 1.0 / gap);
            self.now += 1;
        }
    }

    fn report(&self) -> EngineReport {
        let run = |(number, made): (usize, &f64)| EngineRun {
            id: Name::new(format!("run-{number}")),
            tokens: PROMPT + *made as u64 * TOKENS_PER_EVENT,
            events: *made as u64,
            rank: 0,
        };
        EngineReport {
            reading: u32::from(self.is_prefilling()),
            born: Some(self.born),
            runs: self.runs.iter().enumerate().map(run).collect(),
            ..EngineReport::default()
        }
    }

    fn poll_for(&mut self, tracker: &mut GapTracker, ms: u64) {
        for _ in 0..ms / POLL_MS {
            self.advance(POLL_MS);
            tracker.record_poll(self.time(), &self.report());
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn gaps(&self, tracker: &GapTracker) -> EventGaps {
        tracker.gaps(self.time())
    }
}

fn observed(mut engine: Engine, ms: u64) -> (Engine, GapTracker) {
    let mut tracker = GapTracker::new();
    engine.poll_for(&mut tracker, ms);
    (engine, tracker)
}

#[track_caller]
fn assert_close(found: u16, expected: f64, tolerance: f64) {
    let error = (f64::from(found) - expected).abs();
    assert!(error <= tolerance, "{found} ms instead of {expected} ms");
}

/// Guards against polls that are too coarse to tell fast engines from slow ones, and prefill from none.
#[test]
fn the_mean_is_that_of_the_engine_in_both_states() {
    for (gap, beside) in [(16.0, 22.0), (29.0, 40.0), (36.0, 60.0), (70.0, 105.0)] {
        let (engine, tracker) = observed(Engine::new(gap, beside), 20_000);
        let gaps = engine.gaps(&tracker);
        assert_close(gaps.alone.mean_ms, gap, 0.06 * gap);
        // Gaps that are only partly beside prefill count as beside it.
        assert!(f64::from(gaps.beside_prefill.mean_ms) < 1.05 * beside);
        assert!(f64::from(gaps.beside_prefill.mean_ms) > gap + 0.5 * (beside - gap));
        assert!(gaps.beside_prefill.p99_ms > gaps.alone.mean_ms);
    }
}

/// Guards against a tail that is only the resolution of the polls: a steady engine would seem to vary by 30 ms.
#[test]
fn a_steady_engine_has_a_short_tail() {
    for gap in [16.0, 36.0, 45.0, 70.0] {
        let (engine, tracker) = observed(Engine::new(gap, gap), 20_000);
        assert_close(engine.gaps(&tracker).alone.p99_ms, gap, 0.1 * gap + 3.0);
    }
}

/// Guards against a tail that misses a host that slows down for some hundred milliseconds.
#[test]
fn a_host_that_slows_down_lengthens_the_tail() {
    let mut engine = Engine::new(70.0, 70.0);
    engine.prefill_every = u64::MAX;
    engine.slow_every = 3_000;
    engine.now = 1_000;
    let (engine, tracker) = observed(engine, 20_000);
    let gaps = engine.gaps(&tracker);
    assert_close(gaps.alone.p99_ms, 175.0, 30.0);
    assert_eq!(gaps.beside_prefill, EventGaps::default().beside_prefill);
}

/// Guards against an estimate that keeps to a speed that the engine no longer has.
#[test]
fn the_estimate_follows_a_change_of_speed() {
    let (mut engine, mut tracker) = observed(Engine::new(20.0, 30.0), 20_000);
    (engine.gap, engine.beside) = (70.0, 100.0);
    engine.poll_for(&mut tracker, 30_000);
    assert_close(engine.gaps(&tracker).alone.mean_ms, 70.0, 6.0);
}

/// Guards against estimates of a process that no longer runs.
#[test]
fn a_restart_discards_the_estimate() {
    let (mut engine, mut tracker) = observed(Engine::new(70.0, 100.0), 10_000);
    assert_ne!(engine.gaps(&tracker), EventGaps::default());
    engine.born += 1;
    engine.poll_for(&mut tracker, POLL_MS);
    assert_eq!(engine.gaps(&tracker), EventGaps::default());
    assert_eq!(tracker.prefill_percent(), 0);
    engine.runs.fill(0.0);
    (engine.gap, engine.beside) = (20.0, 30.0);
    engine.poll_for(&mut tracker, 10_000);
    assert_close(engine.gaps(&tracker).alone.mean_ms, 20.0, 2.0);
}

/// Guards against a pause of the scout that looks like a gap of the runs, or hides a restart.
#[test]
fn a_polling_gap_discards_the_estimate() {
    let (mut engine, mut tracker) = observed(Engine::new(20.0, 30.0), 10_000);
    engine.advance(300);
    engine.poll_for(&mut tracker, POLL_MS);
    assert_eq!(engine.gaps(&tracker), EventGaps::default());
    engine.poll_for(&mut tracker, 10_000);
    assert!(engine.gaps(&tracker).alone.p99_ms < 30);
}

/// Guards against preempted and moved runs, whose pauses are no property of the engine's speed.
#[test]
fn a_preempted_run_adds_no_gap() {
    // With two runs, one gap in thirty would be a pause.
    let mut engine = Engine::new(20.0, 30.0);
    engine.runs.truncate(2);
    let (mut engine, mut tracker) = observed(engine, 10_000);
    for round in 0..40 {
        let (number, vanishes) = (round % 2, round / 2 % 2 == 0);
        let preempted = engine.report().runs.remove(number);
        for poll in 0..8 {
            engine.advance(POLL_MS);
            let mut report = engine.report();
            report.runs[number] = preempted.clone();
            match vanishes {
                true => drop(report.runs.remove(number)),
                false => report.runs[number].tokens = PROMPT - poll * 100,
            }
            tracker.record_poll(engine.time(), &report);
        }
        engine.runs[number] = preempted.events as f64;
        engine.poll_for(&mut tracker, 300);
    }
    let gaps = engine.gaps(&tracker);
    assert!(gaps.alone.p99_ms < 30, "{gaps:?}");
    assert!(gaps.beside_prefill.p99_ms < 60, "{gaps:?}");
}

/// Guards against runs whose first events, generated while their memory is loaded, make an engine look slow.
#[test]
fn the_first_events_of_a_run_are_skipped() {
    let mut tracker = GapTracker::new();
    for round in 0..200_u64 {
        let start = round * 400;
        for (at, events) in [(0, 1), (100, 1), (200, 2), (300, 3)] {
            let run = |number: u64| EngineRun {
                id: Name::new(format!("run-{round}-{number}")),
                tokens: PROMPT + events * TOKENS_PER_EVENT,
                events,
                rank: 0,
            };
            let report = EngineReport {
                runs: (0..24).map(run).collect(),
                ..EngineReport::default()
            };
            tracker.record_poll(Time::from_millis(start + at), &report);
        }
    }
    let gaps = tracker.gaps(Time::from_millis(80_000));
    assert_eq!(gaps, EventGaps::default());
}

/// Guards against gaps of runs that the scout moves away while its engine leaves.
#[test]
fn nothing_is_learned_while_the_engine_leaves() {
    let (mut engine, mut tracker) = observed(Engine::new(20.0, 30.0), 10_000);
    let before = engine.gaps(&tracker);
    (engine.gap, engine.beside) = (200.0, 200.0);
    for _ in 0..60 {
        engine.advance(POLL_MS);
        let report = EngineReport {
            leaving: true,
            ..engine.report()
        };
        tracker.record_poll(engine.time(), &report);
    }
    assert_eq!(engine.gaps(&tracker), before);
}

/// Guards against polls that come early or late and make a steady engine look uneven.
#[test]
fn an_uneven_poll_interval_changes_little() {
    let mut engine = Engine::new(60.0, 60.0);
    let mut tracker = GapTracker::new();
    for poll in 0..700_u64 {
        // 16 to 44 ms, and 90 ms once in 50 polls.
        let late = if poll % 50 == 0 { 60 } else { 0 };
        engine.advance(16 + poll * 7_919 % 29 + late);
        tracker.record_poll(engine.time(), &engine.report());
    }
    let gaps = engine.gaps(&tracker);
    assert_close(gaps.alone.mean_ms, 60.0, 4.0);
    assert_close(gaps.alone.p99_ms, 60.0, 20.0);
}

/// Guards against an estimate from a handful of gaps, and one from gaps of long ago.
#[test]
fn few_or_old_gaps_are_unknown() {
    let (_, tracker) = observed(Engine::new(70.0, 70.0), 600);
    assert_eq!(tracker.gaps(Time::from_millis(600)), EventGaps::default());
    let (engine, tracker) = observed(Engine::new(70.0, 70.0), 10_000);
    let later = engine.time() + Duration::from_secs(31);
    assert_eq!(tracker.gaps(later), EventGaps::default());
}

/// Guards against a use of prefill that does not follow the load.
#[test]
fn the_use_of_prefill_is_that_of_the_last_seconds() {
    let mut engine = Engine::new(20.0, 30.0);
    engine.prefill_every = 1_000;
    let (mut engine, mut tracker) = observed(engine, 20_000);
    let percent = tracker.prefill_percent();
    assert!((33..=47).contains(&percent), "{percent}%");
    engine.prefill_every = u64::MAX;
    engine.poll_for(&mut tracker, 20_000);
    assert!(tracker.prefill_percent() <= 1);
}

/// Guards against a poll that costs the scout a noticeable part of its interval.
#[test]
fn a_poll_of_24_runs_takes_little_time() {
    const POLLS: u32 = 1_000;
    let mut engine = Engine::new(36.0, 60.0);
    engine.runs = (0..24).map(f64::from).collect();
    let reports: Vec<(Time, EngineReport)> = (0..POLLS)
        .map(|_| {
            engine.advance(POLL_MS);
            (engine.time(), engine.report())
        })
        .collect();
    let mut tracker = GapTracker::new();
    let start = Instant::now();
    for (at, report) in &reports {
        tracker.record_poll(*at, report);
        std::hint::black_box(tracker.gaps(*at));
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(POLLS);
    println!("{micros:.1} microseconds a poll with 24 runs");
    assert!(micros < 1_000.0, "{micros} microseconds");
}

/// Guards against reports that grow by more than is accounted for in docs/CAPACITY.md.
#[test]
fn the_estimate_adds_at_most_13_bytes_to_a_report() -> Result<(), peer_messages::CodecError> {
    let bytes = |load: &EngineLoad| peer_messages::encode(load).map(|bytes| bytes.len());
    let without = bytes(&EngineLoad::default())?;
    let longest = GapEstimate {
        mean_ms: u16::MAX,
        p99_ms: u16::MAX,
    };
    let load = EngineLoad {
        gaps: EventGaps {
            alone: longest,
            beside_prefill: longest,
        },
        prefill_percent: 100,
        ..EngineLoad::default()
    };
    // Unknown values take a byte each.
    assert!(bytes(&load)? <= without - 5 + 13);
    let (mut engine, mut tracker) = observed(Engine::new(36.0, 140.0), 10_000);
    engine.poll_for(&mut tracker, POLL_MS);
    let typical = EngineLoad {
        gaps: engine.gaps(&tracker),
        prefill_percent: tracker.prefill_percent(),
        ..EngineLoad::default()
    };
    let added = bytes(&typical)? + 5 - without;
    println!("{added} bytes in a report of a slow engine: {typical:?}");
    assert!(added <= 9);
    Ok(())
}
