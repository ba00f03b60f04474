//! Tracks the requests of one engine and forecasts its peak memory and prefill backlog. Runs in the scout beside the
//! engine.
//!
//! Load pattern: several relays send to one engine between two of its reports, and each run grows for seconds after it
//! was admitted. By their current usage the engines look half empty, and a few seconds later all of them preempt runs
//! halfway, whose prompts have to be prefilled again.
//!
//! Relays announce the expected size of each request to the scout. The scout sees which runs have begun, how much
//! memory they hold and which have ended, so no coordination is needed: it alone adds up the running requests, grown to
//! their expected ends, and the requests in transit. Expected sizes are right for half of the runs; a run that outgrows
//! its own is assumed to grow by half of the default growth again.
//!
//! A relay that probes the engine for a request gets a short reservation, so that two relays that probe shortly after
//! one another are not promised the same memory. If a relay probes five engines, one of them gets the request, so each
//! reserves a fifth of it. If every reservation counted in full, many at once would make idle engines look overloaded.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::dialect::EngineReport;
use crate::dialect::EngineRun;
use crate::ids::Name;
use crate::memory_plan::Footprint;
use crate::memory_plan::MemoryPlan;
use crate::move_plan;
use crate::peer_messages::LoadProbe;
use crate::peer_messages::RequestSent;
use crate::prefill_rate::PrefillRate;
use crate::time::Time;

/// Tokens by which a long run is assumed to grow if no relay announced it: half of a typical output.
const DEFAULT_GROWTH: u64 = 400;

/// Prompt tokens assumed for a waiting request that the engine counts but no relay announced.
const DEFAULT_PROMPT: u64 = 2_600;

/// A request that has not begun after this long only counts if the engine counts it as waiting: otherwise it
/// was refused, or its caller has gone.
const MAX_IN_TRANSIT: Duration = Duration::from_millis(300);

/// Lifetime of a reservation. A relay that chooses this engine announces the request within a few
/// milliseconds; most reservations are from relays that chose another engine.
const RESERVATION_TTL: Duration = Duration::from_millis(40);

/// A request sent less than this before the engine was polled is not in its report: its connection was still
/// being opened.
const REPORT_LAG: Duration = Duration::from_millis(5);

/// A request that waits longer has ended without the scout noticing: no caller waits this long for a first event.
const MAX_WAIT: Duration = Duration::from_secs(40);

/// Expected load of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadForecast {
    /// Expected peak memory, in tokens, of all running and waiting requests.
    pub peak_tokens: u64,
    /// Prompt tokens that are still to be prefilled.
    pub prefill_tokens: u64,
}

/// A request that a relay has announced.
#[derive(Clone, Copy, Debug)]
struct TrackedRequest {
    at: Time,
    prompt: u64,
    // Tokens that it is expected to hold when it ends.
    final_tokens: u64,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    // A relay probed for it and may send it to another engine.
    Reserved,
    Sent,
    Running,
}

impl TrackedRequest {
    fn new(at: Time, prompt: u64, final_tokens: u64, stage: Stage) -> Self {
        TrackedRequest {
            at,
            prompt,
            final_tokens,
            stage,
        }
    }

    /// Whether it is believed to be waiting for its prefill.
    fn is_waiting(&self, now: Time) -> bool {
        match self.stage {
            Stage::Reserved => now.since(self.at) < RESERVATION_TTL,
            Stage::Sent => true,
            Stage::Running => false,
        }
    }
}

/// Running and waiting requests of one engine.
#[derive(Debug, Default)]
pub struct EngineLoadTracker {
    requests: HashMap<Name, TrackedRequest>,
    // The engine's latest report, and when it was polled.
    report: EngineReport,
    polled_at: Time,
    prefill_rate: PrefillRate,
}

impl EngineLoadTracker {
    /// Creates a tracker without requests.
    pub fn new() -> Self {
        EngineLoadTracker::default()
    }

    /// Records a request that a relay has sent.
    pub fn record_sent(&mut self, now: Time, announced: &RequestSent) {
        let request = TrackedRequest::new(now, announced.prompt, announced.tokens, Stage::Sent);
        self.requests.insert(announced.id.clone(), request);
    }

    /// Reserves capacity for a request that a relay probes for and may send. Each of the probed engines reserves an
    /// equal part of it.
    pub fn reserve(&mut self, now: Time, ask: &LoadProbe) {
        let engines = u64::from(ask.probed_engines.max(1));
        let (prompt, tokens) = (ask.prompt / engines, ask.tokens / engines);
        let reservation = TrackedRequest::new(now, prompt, tokens, Stage::Reserved);
        self.requests.entry(ask.id.clone()).or_insert(reservation);
    }

    /// Updates the tracked requests and the prefill rate from a report that the engine returned at `now`.
    pub fn update(&mut self, now: Time, report: EngineReport) {
        let prefilled = self.reconcile(now, &report);
        self.prefill_rate
            .record_sample(now, report.reading > 0, prefilled);
        self.report = report;
        self.polled_at = now;
    }

    /// Forecasts the engine's peak memory and prefill backlog, leaving out the request `without`. Takes O(n log n)
    /// in the number of its requests.
    pub fn forecast(&self, now: Time, without: Option<&Name>) -> LoadForecast {
        let report = &self.report;
        let mut all: Vec<Footprint> = report.runs.iter().map(|run| self.footprint(run)).collect();
        let (unreported, mut waiting) = self.waiting(now, without);
        // The number of waiting requests is the engine's own count, or that of the requests that may still be in
        // transit if it is larger.
        let reported = report.reading as usize;
        let in_transit = waiting
            .iter()
            .filter(|request| now.since(request.at) < MAX_IN_TRANSIT);
        let counted = reported.max(in_transit.count());
        waiting.truncate(counted);
        let unannounced = reported.saturating_sub(waiting.len()) as u64;
        let mut prefill_tokens: u64 = waiting
            .iter()
            .chain(&unreported)
            .map(|request| request.prompt)
            .sum();
        prefill_tokens += unannounced * DEFAULT_PROMPT;
        all.extend(waiting.iter().chain(&unreported).map(|request| {
            let growth = request.final_tokens.saturating_sub(request.prompt);
            footprint(request.prompt, growth)
        }));
        all.extend((0..unannounced).map(|_| footprint(DEFAULT_PROMPT, DEFAULT_GROWTH)));
        LoadForecast {
            peak_tokens: MemoryPlan::peak(&mut all) as u64,
            prefill_tokens,
        }
    }

    /// Waiting requests: those sent too late for the engine's latest report, and the others, latest first.
    fn waiting(
        &self,
        now: Time,
        without: Option<&Name>,
    ) -> (Vec<TrackedRequest>, Vec<TrackedRequest>) {
        let others = self.requests.iter().filter(|(id, _)| Some(*id) != without);
        let waiting = others.filter(|(_, request)| request.is_waiting(now));
        let (unreported, mut rest): (Vec<TrackedRequest>, Vec<TrackedRequest>) = waiting
            .map(|(_, request)| *request)
            .partition(|request| request.at + REPORT_LAG > self.polled_at);
        rest.sort_by_key(|request| std::cmp::Reverse(request.at));
        (unreported, rest)
    }

    /// Estimated prefill rate of the engine, in tokens per millisecond.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate.per_ms()
    }

    /// Number of tracked requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Marks requests that run now and drops those that have ended. Returns the prompt tokens of the requests that have
    /// begun since the last report.
    fn reconcile(&mut self, now: Time, report: &EngineReport) -> u64 {
        let mut prefilled = 0;
        let runs: HashSet<&Name> = report.runs.iter().map(|run| &run.id).collect();
        let idle = report.reading == 0;
        self.requests.retain(|id, request| {
            if runs.contains(id) {
                if request.stage == Stage::Sent {
                    prefilled += request.prompt;
                }
                request.stage = Stage::Running;
                return true;
            }
            let age = now.since(request.at);
            let lost = idle && age >= MAX_IN_TRANSIT;
            request.is_waiting(now) && !lost && age < MAX_WAIT
        });
        prefilled
    }

    fn footprint(&self, run: &EngineRun) -> Footprint {
        let expected = self
            .requests
            .get(&run.id)
            .map(|request| request.final_tokens);
        let default = match move_plan::is_short(run.rank) {
            true => 0,
            false => DEFAULT_GROWTH,
        };
        let growth = match expected {
            None => default,
            Some(expected) if expected > run.tokens => expected - run.tokens,
            Some(_) => default / 2,
        };
        footprint(run.tokens, growth)
    }
}

fn footprint(held: u64, growth: u64) -> Footprint {
    Footprint {
        held,
        mean: growth as f64,
        variance: 0.0,
        most: growth,
    }
}
