//! Counters and histograms of an entry.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The figures. All counters have one label, which says why or how.
#[derive(Clone, Debug)]
pub struct Figures {
    answers: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    moves: IntCounterVec,
    overdue: IntCounterVec,
    asks: IntCounterVec,
    starts: IntCounterVec,
    open: IntGauge,
    limited: IntGauge,
    first: Histogram,
    gap: Histogram,
}

// From a step of an engine to far beyond what callers wait.
const BOUNDS: &[f64] = &[
    0.005, 0.01, 0.02, 0.05, 0.1, 0.18, 0.3, 0.5, 1.0, 1.8, 3.0, 6.0, 12.0, 40.0,
];

/// What a first event may take beside the reading of prompts: ways, and the steps of running requests.
const START_SLACK: Duration = Duration::from_millis(200);

impl Figures {
    /// Registers the figures.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let figures = Figures {
            answers: counter("relay_answers_total", "Answers by outcome", "outcome")?,
            refusals: counter("relay_refusals_total", "Own refusals by reason", "reason")?,
            retries: counter("relay_retries_total", "Further sends by reason", "reason")?,
            moves: counter("relay_moves_total", "Moves of runs by outcome", "outcome")?,
            overdue: counter(
                "relay_overdue_total",
                "Connections closed as overdue",
                "what",
            )?,
            asks: counter(
                "relay_load_asks_total",
                "Questions to scouts before a choice, by how many of those asked answered",
                "answered",
            )?,
            starts: counter(
                "relay_starts_total",
                "First events, by what the engine was taken to have to read",
                "came",
            )?,
            open: IntGauge::new("relay_open_requests", "Requests that are open")?,
            limited: IntGauge::new(
                "relay_limited_servers",
                "Backend servers that name a limit in their answers",
            )?,
            first: histogram(
                "relay_first_seconds",
                "Time to the first event or the answer",
            )?,
            gap: histogram("relay_move_gap_seconds", "Pause of a stream by a move")?,
        };
        registry.register(Box::new(figures.answers.clone()))?;
        registry.register(Box::new(figures.refusals.clone()))?;
        registry.register(Box::new(figures.retries.clone()))?;
        registry.register(Box::new(figures.moves.clone()))?;
        registry.register(Box::new(figures.overdue.clone()))?;
        registry.register(Box::new(figures.asks.clone()))?;
        registry.register(Box::new(figures.starts.clone()))?;
        registry.register(Box::new(figures.open.clone()))?;
        registry.register(Box::new(figures.limited.clone()))?;
        registry.register(Box::new(figures.first.clone()))?;
        registry.register(Box::new(figures.gap.clone()))?;
        Ok(figures)
    }

    pub(crate) fn answer(&self, outcome: &str) {
        self.answers.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    pub(crate) fn moved(&self, outcome: &str) {
        self.moves.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn overdue(&self, what: &str) {
        self.overdue.with_label_values(&[what]).inc();
    }

    /// So many scouts were asked at once, and so many answered in time.
    pub(crate) fn asked(&self, asked: usize, answered: usize) {
        let word = match answered {
            0 => "none",
            answered if answered < asked => "some",
            _ => "all",
        };
        self.asks.with_label_values(&[word]).inc();
    }

    /// A first event took so long, where its engine was `expected` to read for so long.
    pub(crate) fn start(&self, expected: Duration, took: Duration) {
        let word = match took > expected * 2 + START_SLACK {
            true => "much_later",
            false => "as_expected",
        };
        self.starts.with_label_values(&[word]).inc();
    }

    pub(crate) fn first(&self, time: Duration) {
        self.first.observe(time.as_secs_f64());
    }

    pub(crate) fn gap(&self, time: Duration) {
        self.gap.observe(time.as_secs_f64());
    }

    /// So many backend servers name a limit.
    pub(crate) fn limited(&self, servers: usize) {
        self.limited.set(servers as i64);
    }

    /// Requests that are open.
    pub fn open(&self) -> &IntGauge {
        &self.open
    }
}

fn counter(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}

fn histogram(name: &str, help: &str) -> prometheus::Result<Histogram> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(BOUNDS.to_vec()))
}
