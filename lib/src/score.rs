//! Estimates the wait at a server from local requests in flight and delayed load reports.
//!
//! Load pattern: hundreds of entries see the same report, a few hundred milliseconds old, of one
//! idle server. Without damping, all of them send there at once, the server is full by the next
//! report, and all of them move away again: load oscillates between servers with the period of the
//! reports.
//!
//! Three mechanisms damp this. Local requests since the report count at once, and count several
//! times, because the other entries that saw the report are assumed to act alike. A report's
//! deviation from the mean of all servers decays with its age. And the router compares only a few
//! sampled servers.
//!
//! A report may also be wrong, for example when its sender's figures are stuck. A report with load
//! that does not change keeps aging as if it had not arrived, and waits observed by this entry
//! count where they are longer than the reported one.
//!
//! Delay: local requests count at once; a report counts on arrival; an observed wait decays within
//! seconds.

use std::time::Duration;

use crate::load::LoadSummary;
use crate::time::Time;

/// Half-life of a report's deviation from the mean, as a fraction of the mean request duration. A
/// batch of one-second requests has turned over after a second; a batch of minute-long requests has
/// not. With 90 entries and requests of 1.5 s at 0.8 of capacity, the p95 wait was 482 ms with a
/// fixed half-life of 2 s and 295 ms with 0.15. Smaller values gain little there and are worse for
/// long requests.
pub(crate) const REPORT_HALF_LIFE: f64 = 0.15;

/// Bounds of a report's half-life, in seconds. Delivery alone takes about the lower bound; a report
/// older than the upper bound may come from a process that has been replaced.
pub(crate) const MIN_HALF_LIFE: f64 = 0.05;
pub(crate) const MAX_HALF_LIFE: f64 = 5.0;

/// Upper bound on the number of requests that one local request since the report stands for, on the
/// assumption that other entries sent requests as well.
const MAX_REQUEST_WEIGHT: f64 = 8.0;

/// How much each request in a batch slows the others, as a fraction of the token gap. The stand-in
/// engines and published batching curves lie between 1/20 and 1/5.
const CONTENTION: f64 = 0.125;

/// Minimum token gap for the contention estimate, in microseconds. The gap is unknown before the
/// first report; without a minimum, local requests in flight would not count and a burst would be
/// spread at random.
const MIN_TOKEN_GAP: f64 = 5_000.0;

/// EWMA weight of a newly observed wait or request duration.
const OBSERVATION_WEIGHT: f64 = 0.3;

/// Half-life of an observed wait.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(1);

/// How long a report that the backend server is unreachable stays valid. The agent's next heartbeat
/// would have reported a change.
const UNREACHABLE_TTL: Duration = Duration::from_secs(10);

/// Moving averages over all servers of a service. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceMean {
    pub(crate) wait: f64,
    pub(crate) load: f64,
    pub(crate) gap: f64,
    // Time from dispatch to the end of a request.
    pub(crate) duration: f64,
}

impl ServiceMean {
    const WEIGHT: f64 = 0.05;

    /// Adds one server's report to the averages.
    pub(crate) fn report(&mut self, load: &LoadSummary) {
        let requests = f64::from(load.running) + f64::from(load.queued);
        update_ewma(&mut self.wait, load.expected_wait as f64, Self::WEIGHT);
        update_ewma(&mut self.load, requests, Self::WEIGHT);
        update_ewma(&mut self.gap, load.token_gap as f64, Self::WEIGHT);
    }

    /// Adds the duration of a finished request to the average.
    pub(crate) fn ended(&mut self, duration: Duration) {
        update_ewma(&mut self.duration, micros(duration), Self::WEIGHT);
    }

    /// Returns the half-life of a report's deviation from the mean.
    fn report_half_life(&self) -> Duration {
        let half_life = self.duration * REPORT_HALF_LIFE / 1e6;
        Duration::from_secs_f64(half_life.clamp(MIN_HALF_LIFE, MAX_HALF_LIFE))
    }
}

/// The estimated delays of a request at a server, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    // Time before the request starts.
    pub(crate) wait: f64,
    // Slowdown by the requests that run beside it.
    pub(crate) contention: f64,
}

/// Tracks one entry's requests at a server, and the load that the server reports.
#[derive(Debug, Default)]
pub(crate) struct LoadTracker {
    in_flight: u32,
    // Requests in flight that have no first token yet.
    pending: u32,
    // When a first token or an end last arrived, or `pending` last rose from zero.
    last_progress: Time,
    report: LoadSummary,
    // When a new report last arrived. `None` before the first.
    report_changed: Option<Time>,
    // When any report last arrived.
    report_received: Time,
    // Value of `in_flight` when `report_changed` was set.
    base: u32,
    // Average wait observed by this entry without the round trip, in microseconds.
    observed_wait: f64,
    observed_at: Time,
    // Average duration of a request at this server, in microseconds.
    mean_duration: f64,
}

impl LoadTracker {
    /// Records a report. Returns whether it counts as new: a report with load that is equal to the
    /// one before does not.
    pub(crate) fn report(&mut self, now: Time, load: LoadSummary) -> bool {
        self.report_received = now;
        let has_load = load.running + load.queued > 0;
        if has_load && self.report_changed.is_some() && load == self.report {
            return false;
        }
        self.report = load;
        self.report_changed = Some(now);
        self.base = self.in_flight;
        true
    }

    pub(crate) fn started(&mut self, now: Time) {
        if self.pending == 0 {
            self.last_progress = now;
        }
        self.in_flight += 1;
        self.pending += 1;
    }

    pub(crate) fn first_token(&mut self, now: Time, waited: Duration) {
        self.pending = self.pending.saturating_sub(1);
        self.last_progress = now;
        let decayed =
            self.observed_wait * decay(now.since(self.observed_at), OBSERVATION_HALF_LIFE);
        self.observed_wait = decayed;
        update_ewma(&mut self.observed_wait, micros(waited), OBSERVATION_WEIGHT);
        self.observed_at = now;
    }

    pub(crate) fn finished(&mut self, now: Time, duration: Duration, first_token: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !first_token {
            self.pending = self.pending.saturating_sub(1);
        }
        self.last_progress = now;
        update_ewma(
            &mut self.mean_duration,
            micros(duration),
            OBSERVATION_WEIGHT,
        );
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the last report says that the server is draining.
    pub(crate) fn reports_draining(&self) -> bool {
        self.report.draining
    }

    /// Whether a recent report says that the backend server is unreachable.
    pub(crate) fn reports_unreachable(&self, now: Time) -> bool {
        let reported = self.report_changed.is_some() && !self.report.reachable;
        reported && now.since(self.report_received) < UNREACHABLE_TTL
    }

    /// Estimates the delays of a request of `tokens` tokens that is sent now.
    pub(crate) fn estimate(&self, now: Time, tokens: u32, mean: &ServiceMean) -> LoadEstimate {
        let weight = match self.report_changed {
            Some(at) => decay(now.since(at), mean.report_half_life()),
            None => 0.0,
        };
        let added = self.requests_since_report();
        let reported = self.report.expected_wait as f64 + self.queueing_delay(added, tokens);
        let load = f64::from(self.report.running) + f64::from(self.report.queued) + added;
        let wait = blend(reported, mean.wait, weight);
        let load = blend(load, mean.load + added, weight).max(f64::from(self.in_flight));
        let gap = blend(self.report.token_gap as f64, mean.gap, weight);
        LoadEstimate {
            wait: wait
                .max(self.decayed_wait(now))
                .max(self.time_without_progress(now)),
            contention: load * gap.max(MIN_TOKEN_GAP) * CONTENTION,
        }
    }

    /// Requests added since the report: those of this entry, scaled up by its share of the reported
    /// load to include what other entries are assumed to have sent. Negative if requests have
    /// ended.
    fn requests_since_report(&self) -> f64 {
        let own = f64::from(self.in_flight) - f64::from(self.base);
        if own <= 0.0 {
            return own;
        }
        let all = f64::from(self.report.running) + f64::from(self.report.queued);
        let per_request = all / f64::from(self.base.max(1));
        own * per_request.clamp(1.0, MAX_REQUEST_WEIGHT)
    }

    /// The wait caused by `added` requests, as far as they do not fit into the server's free
    /// memory.
    fn queueing_delay(&self, added: f64, tokens: u32) -> f64 {
        let fitting = self.report.free_tokens as f64 / f64::from(tokens.max(1));
        let excess = (added - fitting).max(0.0);
        let waiting = f64::from(self.report.queued);
        let wait_per_request = if waiting > 0.0 {
            self.report.expected_wait as f64 / waiting
        } else {
            self.mean_duration / f64::from(self.report.running.max(1))
        };
        excess * wait_per_request
    }

    fn decayed_wait(&self, now: Time) -> f64 {
        self.observed_wait * decay(now.since(self.observed_at), OBSERVATION_HALF_LIFE)
    }

    /// Time since the last progress while requests are pending; their wait is at least this long.
    fn time_without_progress(&self, now: Time) -> f64 {
        match self.pending {
            0 => 0.0,
            _ => micros(now.since(self.last_progress)),
        }
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_micros() as f64
}

fn update_ewma(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}

fn blend(own: f64, mean: f64, weight: f64) -> f64 {
    (own * weight + mean * (1.0 - weight)).max(0.0)
}

/// Exponential decay: 1 at age zero, 0.5 at age `half_life`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
