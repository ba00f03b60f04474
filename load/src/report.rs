//! The report of a run: figures by workspace and by kind, and every broken promise.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Serialize;

use crate::caller::Codes;
use crate::caller::End;
use crate::caller::Seen;

/// Broken promises that are told in full; the others are counted.
const TOLD: usize = 100;

/// Histograms hold microseconds up to an hour, to three digits.
const MOST_MICROS: u64 = 3_600_000_000;

/// Quantiles in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Quantiles {
    /// Figures taken.
    pub count: u64,
    /// Half lie below.
    pub p50: f64,
    /// 95 in 100 lie below.
    pub p95: f64,
    /// 99 in 100 lie below.
    pub p99: f64,
    /// The largest.
    pub max: f64,
    /// The whole histogram, HdrHistogram V2 in hex, in microseconds.
    pub histogram: String,
}

/// What the callers of one workspace, or of one kind, received.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub completed: u64,
    /// Whole answers within the deadline of their kind.
    pub in_time: u64,
    /// Whole answers within the deadline, a second.
    pub goodput: f64,
    /// Refusals that say "not run", by code.
    pub refused: Codes,
    /// Requests that ran and failed, by code.
    pub failed: Codes,
    /// Requests that may have run, by code.
    pub unknown: Codes,
    /// Requests whose connection was lost for good.
    pub lost: u64,
    /// Requests that took longer than the limit.
    pub timed_out: u64,
    /// Streams resumed and calls sent again.
    pub again: u64,
    /// Tokens received.
    pub tokens: u64,
    /// The longest time without progress, the first token included.
    pub stall: Quantiles,
    /// The wait for the first token or the answer.
    pub first: Quantiles,
    /// The time between tokens.
    pub gap: Quantiles,
    /// Displacements told in usage blocks.
    pub preemptions: u64,
    /// The same for each 1,000 completed requests.
    pub preemption_rate: f64,
    /// Callers that came again after the time told.
    pub obeyed: u64,
    /// Of those, the ones that were then served.
    pub honest: u64,
}

/// What a run found.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// The command line.
    pub command: String,
    /// The seed.
    pub seed: u64,
    /// The rate asked for, requests a second.
    pub rate: f64,
    /// Seconds in which requests arrived.
    pub seconds: f64,
    /// Arrivals beyond the bound on open requests.
    pub not_sent: u64,
    /// All requests.
    pub total: Summary,
    /// By workspace.
    pub workspaces: BTreeMap<String, Summary>,
    /// By kind of request.
    pub kinds: BTreeMap<String, Summary>,
    /// Displacements by the daemons' counters, where status pages were given.
    pub counted_preemptions: Option<u64>,
    /// Effects that the service stand-ins recorded, where their addresses were given.
    pub effects: Option<u64>,
    /// The number of broken promises.
    pub broken: u64,
    /// The first of them.
    pub promises: Vec<String>,
    /// What was not checked since it could not be read.
    pub unchecked: Vec<String>,
}

/// Collects a [`Summary`].
#[derive(Debug)]
pub struct Tally {
    summary: Summary,
    stall: Histogram<u64>,
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Tally::new()
    }
}

impl Tally {
    /// Nothing yet.
    pub fn new() -> Self {
        Tally {
            summary: Summary::default(),
            stall: histogram(),
            first: histogram(),
            gap: histogram(),
        }
    }

    /// Takes in what one caller saw.
    pub fn add(&mut self, seen: &Seen, in_time: bool) {
        let summary = &mut self.summary;
        summary.sent += 1;
        match &seen.end {
            End::Completed => summary.completed += 1,
            End::Refused(code) => count(&mut summary.refused, code),
            End::Failed(code) => count(&mut summary.failed, code),
            End::Unknown(code) => count(&mut summary.unknown, code),
            End::Lost => summary.lost += 1,
            End::TimedOut => summary.timed_out += 1,
        }
        summary.in_time += u64::from(in_time);
        summary.again += u64::from(seen.again);
        summary.tokens += u64::from(seen.tokens);
        summary.preemptions += u64::from(seen.preemptions);
        summary.obeyed += u64::from(seen.honest.is_some());
        summary.honest += u64::from(seen.honest == Some(true));
        // A refused caller has no stall: it knows at once that it must come again.
        if !matches!(seen.end, End::Refused(_)) {
            self.stall.saturating_record(micros(seen.stall.as_micros()));
        }
        if let Some(first) = seen.first {
            self.first.saturating_record(micros(first.as_micros()));
        }
        for gap in &seen.gaps {
            self.gap.saturating_record(u64::from(*gap));
        }
    }

    /// Requests so far.
    pub fn sent(&self) -> u64 {
        self.summary.sent
    }

    /// Whole answers so far.
    pub fn completed(&self) -> u64 {
        self.summary.completed
    }

    /// The summary of a run in which requests arrived for `seconds`.
    pub fn summary(&self, seconds: f64) -> Summary {
        let mut summary = self.summary.clone();
        summary.goodput = summary.in_time as f64 / seconds.max(1e-9);
        summary.stall = quantiles(&self.stall);
        summary.first = quantiles(&self.first);
        summary.gap = quantiles(&self.gap);
        let completed = summary.completed.max(1) as f64;
        summary.preemption_rate = summary.preemptions as f64 * 1_000.0 / completed;
        summary
    }
}

impl Report {
    /// Adds a broken promise.
    pub fn break_promise(&mut self, text: String) {
        self.broken += 1;
        if self.promises.len() < TOLD {
            self.promises.push(text);
        }
    }

    /// The figures for a terminal.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<16}{:>8}{:>8}{:>8}{:>8}{:>9}{:>10}{:>10}{:>9}{:>9}{:>9}\n",
            "workspace",
            "sent",
            "done",
            "in time",
            "refused",
            "goodput",
            "stall p50",
            "stall p99",
            "gap p95",
            "gap p99",
            "preempt",
        );
        let rows = self.workspaces.iter().chain(&self.kinds);
        for (name, summary) in rows
            .map(|(n, s)| (n.as_str(), s))
            .chain([("all", &self.total)])
        {
            text.push_str(&row(name, summary));
        }
        text.push_str(&format!(
            "not sent {}, refused by {:?}, came again {}, served then {}, broken promises {}\n",
            self.not_sent, self.total.refused, self.total.obeyed, self.total.honest, self.broken
        ));
        for promise in &self.promises {
            text.push_str(&format!("BROKEN: {promise}\n"));
        }
        for reason in &self.unchecked {
            text.push_str(&format!("not checked: {reason}\n"));
        }
        text
    }
}

fn row(name: &str, summary: &Summary) -> String {
    let refused: u64 = summary.refused.values().sum();
    format!(
        "{:<16}{:>8}{:>8}{:>8}{:>8}{:>9.2}{:>10.0}{:>10.0}{:>9.1}{:>9.1}{:>9}\n",
        name,
        summary.sent,
        summary.completed,
        summary.in_time,
        refused,
        summary.goodput,
        summary.stall.p50,
        summary.stall.p99,
        summary.gap.p95,
        summary.gap.p99,
        summary.preemptions,
    )
}

fn count(codes: &mut Codes, code: &str) {
    *codes.entry(code.to_string()).or_default() += 1;
}

fn micros(micros: u128) -> u64 {
    u64::try_from(micros).unwrap_or(u64::MAX)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_MICROS, 3).expect("the bounds are constant and valid")
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |part| histogram.value_at_quantile(part) as f64 / 1e3;
    let mut bytes = Vec::new();
    let written = V2Serializer::new().serialize(histogram, &mut bytes);
    Quantiles {
        count: histogram.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        max: histogram.max() as f64 / 1e3,
        histogram: written.map_or_else(|_| String::new(), |_| hex(&bytes)),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
