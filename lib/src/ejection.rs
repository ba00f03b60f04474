//! Outlier ejection: excludes servers that are much slower than their peers or fail more often.
//!
//! Load pattern: one accelerator throttles or one host swaps, and every request sent there takes many
//! times as long, while the other servers are healthy. Without ejection, such a server slows down its
//! share of the callers for as long as it reports itself idle.
//!
//! A server is compared with the median of its peers over the same time. When all servers are slow,
//! none is ejected, since the cause is load rather than a fault, and removing servers would make it
//! worse. The share of servers that are ejected at a time is bounded.
//!
//! Delay: [`MIN_SAMPLES`] requests and at most one [`SWEEP_INTERVAL`]. Hysteresis: the ejection time
//! doubles with each consecutive ejection, earlier samples are discarded, and a readmitted server goes
//! through a slow start.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::routing::ServerKey;
use crate::time::Time;

/// A server is ejected when its requests take this many times the median of its peers: more than
/// contention and mixed lengths cause.
pub const SLOW_FACTOR: f64 = 3.0;

/// A server is ejected when it fails this share of its requests and the median of its peers is less
/// than a third of its own failure rate.
pub const FAILURE_RATE_THRESHOLD: f64 = 0.5;

/// The largest share of a service's servers that may be ejected at a time. With three or more servers,
/// one may always be ejected.
pub const MAX_EJECTED_SHARE: f64 = 0.2;

/// The number of completed requests or received reports required before a server is compared. With
/// fewer, a few long outputs in a row look like slowness.
pub const MIN_SAMPLES: u32 = 16;

/// The interval between two comparisons of the servers.
pub const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long the first ejection lasts. The time doubles with each further one, up to
/// [`MAX_EJECTION_TIME`].
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(10);

/// The longest ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(160);

/// The time over which the load of a readmitted or new server is raised to its full share.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// The share of its full load with which a server's slow start begins.
const SLOW_START_MIN_SHARE: f64 = 0.1;

/// The weight of a new sample in the moving averages, which cover about ten requests.
const EWMA_WEIGHT: f64 = 0.1;

/// A server without samples for this long is not compared.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);

/// The smallest number of servers that can be compared: with two, it is unknown which one is the
/// outlier.
const MIN_SERVERS: usize = 3;

/// Settings of outlier ejection.
#[derive(Clone, Debug)]
pub struct EjectionSettings {
    slow_factor: f64,
    max_ejected_share: f64,
    slow_start: Duration,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        EjectionSettings::new()
    }
}

impl EjectionSettings {
    /// Returns the default settings.
    pub fn new() -> Self {
        EjectionSettings {
            slow_factor: SLOW_FACTOR,
            max_ejected_share: MAX_EJECTED_SHARE,
            slow_start: SLOW_START,
        }
    }

    /// Sets the multiple of the peers' median that counts as slow, 1.5 to 100.
    pub fn with_slow_factor(mut self, factor: f64) -> Self {
        self.slow_factor = factor.clamp(1.5, 100.0);
        self
    }

    /// Sets the largest share of servers that may be ejected at a time, 0 (never eject) to 0.5.
    pub fn with_max_ejected_share(mut self, share: f64) -> Self {
        self.max_ejected_share = share.clamp(0.0, 0.5);
        self
    }

    /// Sets the duration of the slow start, at most 10 minutes.
    pub fn with_slow_start(mut self, time: Duration) -> Self {
        self.slow_start = time.min(Duration::from_secs(600));
        self
    }
}

/// A moving average of logarithms, in which a single long output has little weight.
#[derive(Clone, Copy, Debug, Default)]
struct LogMean {
    mean: f64,
    samples: u32,
}

#[derive(Clone, Debug, Default)]
struct ServerStats {
    // The time per token, or per call of a plain service, as measured by this entry.
    time_per_token: LogMean,
    // The time between tokens, as reported by the agent.
    token_gap: LogMean,
    // The moving average of failures, 0 to 1.
    failure_rate: f64,
    samples: u32,
    updated: Time,
    consecutive_ejections: u32,
    ejection: Option<Ejection>,
    // The beginning of the last slow start, if there was one.
    slow_start_from: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    since: Time,
    until: Time,
}

/// Decides which servers of one service are ejected, as seen by one entry.
#[derive(Debug)]
pub struct Ejector {
    settings: EjectionSettings,
    servers: SecondaryMap<ServerKey, ServerStats>,
    last_sweep: Time,
    ejected_count: usize,
}

impl Ejector {
    /// Creates an ejector without servers.
    pub fn new(settings: EjectionSettings) -> Self {
        Ejector {
            settings,
            servers: SecondaryMap::new(),
            last_sweep: Time::ZERO,
            ejected_count: 0,
        }
    }

    /// Adds a server. With `slow_start`, as for a server that joins a running service, it goes through a
    /// slow start.
    pub fn add_server(&mut self, now: Time, server: ServerKey, slow_start: bool) {
        let stats = ServerStats {
            slow_start_from: slow_start.then_some(now),
            ..ServerStats::default()
        };
        self.servers.insert(server, stats);
    }

    /// Removes a server.
    pub fn remove_server(&mut self, server: ServerKey) {
        let stats = self.servers.remove(server);
        if stats.is_some_and(|s| s.ejection.is_some()) {
            self.ejected_count -= 1;
        }
    }

    /// Records that a request succeeded. `pace` is its time per token, or the time of the whole call.
    pub fn record_success(&mut self, now: Time, server: ServerKey, pace: Duration) {
        let Some(stats) = self.count_request(now, server, 0.0) else {
            return;
        };
        stats.time_per_token.add(pace);
    }

    /// Records the time between tokens that the agent of a busy server reported. Reports also cover
    /// servers to which this entry sends few requests, as soon happens with a slow one.
    pub fn record_token_gap(&mut self, now: Time, server: ServerKey, token_gap: Duration) {
        let stats = self.servers.get_mut(server);
        if let Some(stats) = stats.filter(|s| s.ejection.is_none()) {
            stats.token_gap.add(token_gap);
            stats.updated = now;
        }
    }

    /// Records that a request failed.
    pub fn record_failure(&mut self, now: Time, server: ServerKey) {
        self.count_request(now, server, 1.0);
    }

    /// Counts a request that ended. Requests that end while the server is ejected were started before
    /// the ejection and are ignored.
    fn count_request(
        &mut self,
        now: Time,
        server: ServerKey,
        failed: f64,
    ) -> Option<&mut ServerStats> {
        let stats = self.servers.get_mut(server)?;
        if stats.ejection.is_some() {
            return None;
        }
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(stats.samples + 1));
        stats.failure_rate += (failed - stats.failure_rate) * weight;
        stats.samples = stats.samples.saturating_add(1);
        stats.updated = now;
        Some(stats)
    }

    /// Compares the servers if a sweep is due. `ready` lists the servers that accept work. Takes
    /// O(n log n) once in each [`SWEEP_INTERVAL`].
    pub fn sweep(&mut self, now: Time, ready: &[ServerKey]) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.readmit_expired(now);
        self.limit_ejected(now, ready.len());
        self.eject_outliers(now, ready);
    }

    /// Readmits servers, longest ejected first, until the number of ejected servers is within the limit
    /// for `ready` servers.
    pub fn limit_ejected(&mut self, now: Time, ready: usize) {
        while self.ejected_count > self.max_ejected(ready) {
            let ejections = self.servers.iter();
            let oldest = ejections
                .filter_map(|(key, stats)| Some((stats.ejection?.since, key)))
                .min();
            let Some((_, key)) = oldest else {
                return;
            };
            self.readmit(now, key);
        }
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, server: ServerKey) -> bool {
        let stats = self.servers.get(server);
        stats.is_some_and(|s| s.ejection.is_some())
    }

    /// Returns the share of its full load that the server should get, above 0 and up to 1.
    pub fn load_share(&self, now: Time, server: ServerKey) -> f64 {
        let Some(from) = self.servers.get(server).and_then(|s| s.slow_start_from) else {
            return 1.0;
        };
        let whole = self.settings.slow_start.as_secs_f64();
        if whole == 0.0 {
            return 1.0;
        }
        let passed = now.since(from).as_secs_f64() / whole;
        passed.clamp(SLOW_START_MIN_SHARE, 1.0)
    }

    /// Returns the number of ejected servers.
    pub fn ejected_count(&self) -> usize {
        self.ejected_count
    }

    /// Returns how many of `ready` servers may be ejected at a time.
    pub fn max_ejected(&self, ready: usize) -> usize {
        if ready < MIN_SERVERS || self.settings.max_ejected_share == 0.0 {
            return 0;
        }
        let share = (ready as f64 * self.settings.max_ejected_share).floor() as usize;
        share.max(1)
    }

    fn readmit_expired(&mut self, now: Time) {
        let ejections = self.servers.iter();
        let expired: Vec<ServerKey> = ejections
            .filter(|(_, s)| s.ejection.is_some_and(|e| e.until <= now))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.readmit(now, key);
        }
    }

    fn readmit(&mut self, now: Time, server: ServerKey) {
        let Some(stats) = self.servers.get_mut(server) else {
            return;
        };
        if stats.ejection.take().is_some() {
            self.ejected_count -= 1;
        }
        stats.slow_start_from = Some(now);
        stats.samples = 0;
        stats.failure_rate = 0.0;
        stats.time_per_token = LogMean::default();
        stats.token_gap = LogMean::default();
    }

    fn eject_outliers(&mut self, now: Time, ready: &[ServerKey]) {
        let comparable: Vec<ServerKey> = ready
            .iter()
            .copied()
            .filter(|key| self.is_comparable(now, *key))
            .collect();
        if comparable.len() < MIN_SERVERS {
            return;
        }
        let medians = Medians {
            time_per_token: self.median(&comparable, |s| s.time_per_token.value()),
            token_gap: self.median(&comparable, |s| s.token_gap.value()),
            failure_rate: self.median(&comparable, |s| Some(s.failure_rate)),
        };
        let mut outliers: Vec<(f64, ServerKey)> = comparable
            .iter()
            .map(|key| (self.excess(*key, &medians), *key))
            .filter(|(excess, _)| *excess > 0.0)
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.reset_backoff(now, &comparable);
        let remaining = self
            .max_ejected(ready.len())
            .saturating_sub(self.ejected_count);
        for (_, key) in outliers.into_iter().take(remaining) {
            self.eject_server(now, key);
        }
    }

    /// Resets the ejection backoff of servers that were readmitted more than the longest ejection time
    /// ago.
    fn reset_backoff(&mut self, now: Time, comparable: &[ServerKey]) {
        for key in comparable {
            let stats = &mut self.servers[*key];
            if stats
                .slow_start_from
                .is_some_and(|from| now.since(from) > MAX_EJECTION_TIME)
            {
                stats.consecutive_ejections = 0;
            }
        }
    }

    /// Returns the median of a statistic over the servers for which it is available.
    fn median(
        &self,
        servers: &[ServerKey],
        statistic: impl Fn(&ServerStats) -> Option<f64>,
    ) -> Option<f64> {
        let values = servers
            .iter()
            .filter_map(|key| statistic(&self.servers[*key]));
        let mut values: Vec<f64> = values.collect();
        if values.len() < MIN_SERVERS {
            return None;
        }
        values.sort_by(f64::total_cmp);
        values.get((values.len() - 1) / 2).copied()
    }

    /// Returns how far the server exceeds the threshold, as a logarithm; zero or less if it does not.
    fn excess(&self, server: ServerKey, medians: &Medians) -> f64 {
        let stats = &self.servers[server];
        let median_failure_rate = medians.failure_rate.unwrap_or(0.0);
        if stats.samples >= MIN_SAMPLES
            && stats.failure_rate >= FAILURE_RATE_THRESHOLD
            && median_failure_rate * 3.0 < stats.failure_rate
        {
            return f64::MAX;
        }
        let time_per_token = log_ratio(stats.time_per_token.value(), medians.time_per_token);
        let token_gap = log_ratio(stats.token_gap.value(), medians.token_gap);
        time_per_token.max(token_gap) - self.settings.slow_factor.ln()
    }

    fn eject_server(&mut self, now: Time, server: ServerKey) {
        let stats = &mut self.servers[server];
        let ejection_time =
            BASE_EJECTION_TIME * 2u32.saturating_pow(stats.consecutive_ejections.min(10));
        stats.ejection = Some(Ejection {
            since: now,
            until: now + ejection_time.min(MAX_EJECTION_TIME),
        });
        stats.consecutive_ejections = stats.consecutive_ejections.saturating_add(1);
        self.ejected_count += 1;
    }

    fn is_comparable(&self, now: Time, server: ServerKey) -> bool {
        self.servers.get(server).is_some_and(|s| {
            let samples = s.samples.max(s.token_gap.samples);
            s.ejection.is_none() && samples >= MIN_SAMPLES && now.since(s.updated) < MAX_SAMPLE_AGE
        })
    }
}

/// The medians over the compared servers.
struct Medians {
    time_per_token: Option<f64>,
    token_gap: Option<f64>,
    failure_rate: Option<f64>,
}

impl LogMean {
    fn add(&mut self, time: Duration) {
        let log_micros = (time.as_micros().max(1) as f64).ln();
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.mean += (log_micros - self.mean) * weight;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean once there are enough samples.
    fn value(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }
}

/// Returns the logarithm of the ratio of `own` to `median`. Both are logarithms already.
fn log_ratio(own: Option<f64>, median: Option<f64>) -> f64 {
    match (own, median) {
        (Some(own), Some(median)) => own - median,
        _ => 0.0,
    }
}
