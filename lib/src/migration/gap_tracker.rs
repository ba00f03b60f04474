//! Estimates the time between two events of the runs at one engine; runs in the scout beside the engine.
//!
//! Load pattern: engines of one deployment generate an event in 16 to 76 ms, slower ones more slowly still while they
//! prefill a prompt beside their runs, and their hosts slow down by 2.5 times for some hundred milliseconds now and then.
//! The scout sees the event counters of all runs every 30 ms, so that a gap is known to within one poll interval. The
//! mean needs no finer view: it is the time between two polls at which a counter advanced, divided by the events
//! generated. For the tail, the longest gap in that time is estimated from the polls around it.

use std::collections::HashMap;
use std::mem;
use std::time::Duration;

use crate::dialect::EngineReport;
use crate::dialect::EngineRun;
use crate::ids::Name;
use crate::migration::decayed_gaps::DecayedGaps;
use crate::migration::event_gaps::EventGaps;
use crate::migration::prefill_use::PrefillUse;
use crate::time::Time;

/// Longest time between two polls over which the engine counts as observed. Gaps of interest are 100 to 300 ms, and a
/// pause of the scout looks like one of them.
pub(crate) const MAX_POLL_GAP: Duration = Duration::from_millis(250);

/// Events of a run that are skipped after it appears or after its memory shrank: the first ones come while its prompt,
/// or its memory after a preemption or a move, is still being loaded.
pub(crate) const SKIPPED_EVENTS: u64 = 2;

/// Event gaps and use of prefill of one engine.
#[derive(Debug, Default)]
pub struct GapTracker {
    alone: DecayedGaps,
    beside_prefill: DecayedGaps,
    prefill_use: PrefillUse,
    runs: HashMap<Name, TrackedRun>,
    last_poll: Option<Poll>,
}

/// What is kept of the last poll.
#[derive(Clone, Copy, Debug)]
struct Poll {
    at: Time,
    born: Option<u64>,
    prefilling: bool,
}

/// The time between two polls.
#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Time,
    end: Time,
    // Whether the engine had a prompt to prefill at either poll.
    prefilling: bool,
}

impl Interval {
    fn length(&self) -> Duration {
        self.end.since(self.start)
    }
}

/// A run, as of the last poll.
#[derive(Clone, Debug)]
struct TrackedRun {
    tokens: u64,
    events: u64,
    // Nothing is learned up to this number of events.
    skipped: u64,
    // `None` until an advance was seen after the skipped events.
    advance: Option<Advance>,
    beside_prefill: bool,
}

/// The last poll at which the counter of a run had advanced.
#[derive(Clone, Copy, Debug)]
struct Advance {
    seen: Time,
    // When the last event was probably generated, from the events seen at that poll.
    event: Time,
    // The poll before, after which the last event was generated.
    not_before: Time,
}

/// Events of one run that a poll saw for the first time.
#[derive(Clone, Copy, Debug)]
struct Progress {
    count: u64,
    // Since the poll that saw the events before them.
    since_seen: Duration,
    // From the event before them to the first of them, as estimated.
    longest: Duration,
    // Bounds of that time: counters show no more.
    at_least: Duration,
    at_most: Duration,
}

impl GapTracker {
    /// Creates a tracker that knows nothing.
    pub fn new() -> Self {
        GapTracker::default()
    }

    /// Records a report that the engine returned at `now`. Forgets everything learned if the engine has started again,
    /// or was not observed for longer than `MAX_POLL_GAP`.
    pub fn record_poll(&mut self, now: Time, report: &EngineReport) {
        let poll = Poll {
            at: now,
            born: report.born,
            prefilling: report.reading > 0,
        };
        let Some(last) = self.last_poll.replace(poll) else {
            return self.track_anew(report);
        };
        if last.born != report.born || now.since(last.at) > MAX_POLL_GAP {
            *self = GapTracker::default();
            self.last_poll = Some(poll);
            return self.track_anew(report);
        }
        self.prefill_use.record(now.since(last.at), poll.prefilling);
        if report.leaving {
            // Its scout moves the runs, which stop and continue elsewhere.
            return self.track_anew(report);
        }
        let interval = Interval {
            start: last.at,
            end: now,
            prefilling: last.prefilling || poll.prefilling,
        };
        let mut before = mem::take(&mut self.runs);
        for run in &report.runs {
            let tracked = match before.remove(&run.id) {
                Some(tracked) => self.update_run(interval, tracked, run),
                None => TrackedRun::new(run),
            };
            self.runs.insert(run.id.clone(), tracked);
        }
    }

    /// The estimate at `now`; unknown with fewer than `MIN_WEIGHT` gaps (see `decayed_gaps`).
    pub fn gaps(&self, now: Time) -> EventGaps {
        EventGaps {
            alone: self.alone.estimate(now),
            beside_prefill: self.beside_prefill.estimate(now),
        }
    }

    /// The part of the last seconds, in percent, in which the engine had a prompt to prefill.
    pub fn prefill_percent(&self) -> u8 {
        self.prefill_use.percent()
    }

    fn track_anew(&mut self, report: &EngineReport) {
        let runs = report.runs.iter();
        self.runs = runs
            .map(|run| (run.id.clone(), TrackedRun::new(run)))
            .collect();
    }

    fn update_run(
        &mut self,
        interval: Interval,
        mut tracked: TrackedRun,
        run: &EngineRun,
    ) -> TrackedRun {
        if run.tokens < tracked.tokens || run.events < tracked.events {
            return TrackedRun::new(run);
        }
        tracked.beside_prefill |= interval.prefilling;
        if let Some(progress) = tracked.advance_to(interval, run) {
            let gaps = match tracked.beside_prefill {
                true => &mut self.beside_prefill,
                false => &mut self.alone,
            };
            progress.record(interval.end, gaps);
        }
        if run.events > tracked.events {
            tracked.beside_prefill = false;
        }
        tracked.tokens = run.tokens;
        tracked.events = run.events;
        tracked
    }
}

impl TrackedRun {
    fn new(run: &EngineRun) -> Self {
        TrackedRun {
            tokens: run.tokens,
            events: run.events,
            skipped: run.events + SKIPPED_EVENTS,
            advance: None,
            beside_prefill: false,
        }
    }

    /// The events since the last poll, if there are any and those before them were seen.
    fn advance_to(&mut self, interval: Interval, run: &EngineRun) -> Option<Progress> {
        let count = run.events - self.events;
        if count == 0 || run.events < self.skipped {
            return None;
        }
        // Events that one poll sees are taken to be spread evenly over the time since the poll before.
        let spacing = interval.length().div_f64(count as f64 + 1.0);
        let advance = Advance {
            seen: interval.end,
            event: interval.end.before(spacing),
            not_before: interval.start,
        };
        let before = self.advance.replace(advance)?;
        Some(Progress {
            count,
            since_seen: interval.end.since(before.seen),
            longest: (interval.start + spacing).since(before.event),
            at_least: interval.start.since(before.seen),
            at_most: interval.end.since(before.not_before),
        })
    }
}

impl Progress {
    /// Counters that fit the mean gap are recorded as such. Without that, polls of a steady engine would look like gaps
    /// that vary by a poll interval.
    fn record(&self, now: Time, gaps: &mut DecayedGaps) {
        gaps.decay(now);
        let mean = gaps.mean().unwrap_or(self.longest);
        let fits = self.at_least <= mean && mean <= self.at_most;
        let longest = if fits { mean } else { self.longest };
        gaps.record(self.since_seen, self.count, longest);
    }
}
