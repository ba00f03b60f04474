//! Counters and histograms, one registry for each process.

use std::time::Duration;

use cicada_lib::ids::Version;
use cicada_lib::load::LoadSummary;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::Reason;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::RetryReason;
use cicada_lib::outcome::UnknownReason;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bounds of the histograms, in seconds: from below the 41 ms between tokens to past the longest
/// wait that a caller bears.
const BOUNDS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.041, 0.08, 0.16, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 60.0,
];

/// The registry and how it is read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// An empty registry.
    pub(crate) fn new() -> Self {
        Metrics::default()
    }

    /// Where parts outside of this program register their figures.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Every figure in the text form that scrapers read.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            tracing::warn!(%err, "metrics: the figures could not be written");
        }
        out
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("the name is valid");
        self.add(counter)
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("the name is valid");
        self.add(gauge)
    }

    fn histogram(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name, help).buckets(BOUNDS.to_vec());
        let histogram = Histogram::with_opts(opts).expect("the name is valid");
        self.add(histogram)
    }

    /// A counter with one series for each variant of `R`, there from the start at zero.
    fn reasons<R: Reason>(&self, name: &str, help: &str) -> IntCounterVec {
        let opts = Opts::new(name, help);
        let counters = IntCounterVec::new(opts, &["reason"]).expect("the name is valid");
        for reason in R::ALL {
            counters.with_label_values(&[reason.code()]);
        }
        self.add(counters)
    }

    fn add<C: prometheus::core::Collector + Clone + 'static>(&self, collector: C) -> C {
        self.registry
            .register(Box::new(collector.clone()))
            .expect("no two figures share a name");
        collector
    }
}

/// What became of requests, by reason.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeMetrics {
    completed: IntCounter,
    refused: IntCounterVec,
    failed: IntCounterVec,
    unknown: IntCounterVec,
}

impl OutcomeMetrics {
    /// The counters of outcomes.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        OutcomeMetrics {
            completed: metrics.counter("cicada_completed_total", "Requests that ran to their end."),
            refused: metrics.reasons::<RefusalReason>(
                "cicada_refused_total",
                "Requests that did not run, by reason.",
            ),
            failed: metrics.reasons::<FailureReason>(
                "cicada_failed_total",
                "Requests that ran and failed, by reason.",
            ),
            unknown: metrics.reasons::<UnknownReason>(
                "cicada_unknown_total",
                "Requests that may have run, by reason.",
            ),
        }
    }

    /// Counts one.
    pub(crate) fn count(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Completed(_) => self.completed.inc(),
            Outcome::NotRun(refusal) => bump(&self.refused, refusal.reason()),
            Outcome::Failed(reason) => bump(&self.failed, *reason),
            Outcome::Unknown(reason) => bump(&self.unknown, *reason),
        }
    }
}

fn bump<R: Reason>(counters: &IntCounterVec, reason: R) {
    counters.with_label_values(&[reason.code()]).inc();
}

/// The figures of the configuration.
#[derive(Debug)]
pub(crate) struct ConfigMetrics {
    version: IntGauge,
    peers: IntCounter,
    store: IntCounter,
    refused: IntCounter,
}

impl ConfigMetrics {
    /// The figures, in the registry.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        ConfigMetrics {
            version: metrics.gauge("cicada_config_version", "Version in force."),
            peers: metrics.counter(
                "cicada_config_peer_pulls_total",
                "Versions pulled from a peer.",
            ),
            store: metrics.counter("cicada_config_store_reads_total", "Readings of the store."),
            refused: metrics.counter(
                "cicada_config_refused_total",
                "Older or conflicting versions that the store gave.",
            ),
        }
    }

    /// Notes the version in force.
    pub(crate) fn in_force(&self, version: Version) {
        self.version
            .set(i64::try_from(version.0).unwrap_or(i64::MAX));
    }

    /// Counts a pull from a peer.
    pub(crate) fn pulled_from_peer(&self) {
        self.peers.inc();
    }

    /// Counts a reading of the store.
    pub(crate) fn read_from_store(&self) {
        self.store.inc();
    }

    /// Counts a refused version.
    pub(crate) fn refused(&self) {
        self.refused.inc();
    }
}

/// The figures of orders to an engine.
#[derive(Debug)]
pub(crate) struct OrderMetrics {
    taken: IntCounter,
    refused: IntCounter,
}

impl OrderMetrics {
    /// The figures, in the registry.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        OrderMetrics {
            taken: metrics.counter("cicada_orders_total", "Orders that the engine took."),
            refused: metrics.counter(
                "cicada_orders_failed_total",
                "Orders that the engine refused or that were lost.",
            ),
        }
    }

    /// Counts an order.
    pub(crate) fn given(&self, taken: bool) {
        match taken {
            true => self.taken.inc(),
            false => self.refused.inc(),
        }
    }
}

/// An agent's figures.
#[derive(Debug)]
pub(crate) struct AgentMetrics {
    outcomes: OutcomeMetrics,
    tokens: IntCounter,
    duplicates: IntCounter,
    gaps: IntCounter,
    preemptions: IntCounter,
    displaced: IntCounter,
    queue_wait: Histogram,
    running: IntGauge,
    queued: IntGauge,
}

impl AgentMetrics {
    /// The figures, in the registry.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        AgentMetrics {
            outcomes: OutcomeMetrics::new(metrics),
            tokens: metrics.counter("cicada_tokens_total", "Tokens from the engine."),
            duplicates: metrics.counter(
                "cicada_dropped_duplicates_total",
                "Tokens that came a second time and were dropped.",
            ),
            gaps: metrics.counter(
                "cicada_dropped_gaps_total",
                "Tokens that came too early and were dropped.",
            ),
            preemptions: metrics.counter(
                "cicada_preemptions_total",
                "Generations that the engine displaced by itself.",
            ),
            displaced: metrics.counter(
                "cicada_displaced_total",
                "Generations that the agent displaced before the engine had to.",
            ),
            queue_wait: metrics.histogram(
                "cicada_queue_wait_seconds",
                "Time from a request's arrival to its start.",
            ),
            running: metrics.gauge("cicada_running", "Requests that run."),
            queued: metrics.gauge("cicada_queued", "Requests that wait."),
        }
    }

    /// Counts what became of a request.
    pub(crate) fn ended(&self, outcome: &Outcome) {
        self.outcomes.count(outcome);
    }

    /// Counts a token.
    pub(crate) fn token(&self) {
        self.tokens.inc();
    }

    /// Counts a token that came a second time.
    pub(crate) fn dropped_duplicate(&self) {
        self.duplicates.inc();
    }

    /// Counts a token that came too early.
    pub(crate) fn dropped_gap(&self) {
        self.gaps.inc();
    }

    /// Counts a generation that the engine displaced.
    pub(crate) fn preempted(&self) {
        self.preemptions.inc();
    }

    /// Counts a generation that the agent displaced.
    pub(crate) fn displaced(&self) {
        self.displaced.inc();
    }

    /// Notes how long a request waited.
    pub(crate) fn queue_waited(&self, waited: Duration) {
        self.queue_wait.observe(waited.as_secs_f64());
    }

    /// Notes the load.
    pub(crate) fn set_load(&self, load: &LoadSummary) {
        self.running.set(i64::from(load.running));
        self.queued.set(i64::from(load.queued));
    }
}

/// An entry's figures.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    outcomes: OutcomeMetrics,
    retries: IntCounterVec,
    tokens: IntCounter,
    stall: Histogram,
    first_token: Histogram,
    token_gap: Histogram,
    dropped: IntCounter,
    open: IntGauge,
}

impl EntryMetrics {
    /// The figures, in the registry.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        EntryMetrics {
            outcomes: OutcomeMetrics::new(metrics),
            retries: metrics
                .reasons::<RetryReason>("cicada_retries_total", "Further attempts, by reason."),
            tokens: metrics.counter("cicada_tokens_total", "Tokens sent to callers."),
            stall: metrics.histogram(
                "cicada_stall_seconds",
                "Longest time of a request without progress, the first token included.",
            ),
            first_token: metrics.histogram(
                "cicada_first_token_seconds",
                "Time to a generation's first token.",
            ),
            token_gap: metrics.histogram("cicada_token_gap_seconds", "Time between two tokens."),
            dropped: metrics.counter(
                "cicada_dropped_frames_total",
                "Late, doubled or crossed frames that were dropped.",
            ),
            open: metrics.gauge("cicada_open_requests", "Requests that are not over."),
        }
    }

    /// Counts what became of a request.
    pub(crate) fn ended(&self, outcome: &Outcome) {
        self.outcomes.count(outcome);
    }

    /// Counts a further attempt.
    pub(crate) fn retried(&self, reason: RetryReason) {
        bump(&self.retries, reason);
    }

    /// Counts a dropped frame.
    pub(crate) fn dropped(&self) {
        self.dropped.inc();
    }

    /// Notes the first token.
    pub(crate) fn first_token(&self, after: Duration) {
        self.tokens.inc();
        self.first_token.observe(after.as_secs_f64());
    }

    /// Notes a token after the first.
    pub(crate) fn token(&self, gap: Duration) {
        self.tokens.inc();
        self.token_gap.observe(gap.as_secs_f64());
    }

    /// Notes the longest time without progress.
    pub(crate) fn stalled(&self, longest: Duration) {
        self.stall.observe(longest.as_secs_f64());
    }

    /// The number of open requests.
    pub(crate) fn open(&self) -> &IntGauge {
        &self.open
    }
}
