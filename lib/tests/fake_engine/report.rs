//! What the callers of a run received, in figures.

use std::collections::BTreeMap;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::time::Time;

use super::Received;
use super::Request;
use super::Trial;
use super::mixes::Tenant;

/// The figures of one or more runs.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub stall_p50: f64,
    pub stall_p99: f64,
    /// Displacements per 1,000 generations that ran.
    pub preemptions: f64,
    /// The 99th percentile of milliseconds between two tokens.
    pub gap_p99: f64,
    pub jain: f64,
    /// The smallest part of its entitlement that a workspace got.
    pub least: f64,
    /// Weighted tokens a second of answers complete within the deadline.
    pub goodput: f64,
    /// The part of the requests that were refused.
    pub refused: f64,
}

// A prompt token costs the fake engines about a twentieth of an output token.
const PROMPT_WEIGHT: f64 = 0.1;

/// Weighted tokens of the whole request.
pub fn work(request: &Request) -> f64 {
    f64::from(request.length) + PROMPT_WEIGHT * f64::from(request.prompt)
}

/// The value at `part` of the sorted figures.
pub fn quantile<T: Copy + Ord + Default>(figures: &mut [T], part: f64) -> T {
    figures.sort_unstable();
    let place = (figures.len() as f64 * part) as usize;
    let last = figures.len().saturating_sub(1);
    figures.get(place.min(last)).copied().unwrap_or_default()
}

/// The stall times of the requests that `filter` takes.
pub fn stalls(trial: &Trial, filter: impl Fn(&Request) -> bool) -> Vec<Duration> {
    let pairs = trial.requests.iter().zip(&trial.received);
    let taken = pairs.filter(|(request, _)| filter(request));
    taken.map(|(_, received)| received.stall).collect()
}

/// Weighted tokens that each workspace got within the window.
pub fn service(trial: &Trial) -> BTreeMap<Name, f64> {
    let mut service = BTreeMap::new();
    for (request, received) in trial.requests.iter().zip(&trial.received) {
        *service.entry(request.workspace.clone()).or_default() += got(request, received);
    }
    service
}

fn got(request: &Request, received: &Received) -> f64 {
    let begun = f64::from(u8::from(received.in_window > 0));
    f64::from(received.in_window) + begun * PROMPT_WEIGHT * f64::from(request.prompt)
}

/// What each workspace is entitled to: `total` is parted by share, and what one does not ask for
/// goes to the others.
pub fn entitled(
    demand: &BTreeMap<Name, f64>,
    tenants: &[Tenant],
    total: f64,
) -> BTreeMap<Name, f64> {
    let mut open: Vec<&Tenant> = tenants
        .iter()
        .filter(|t| demand.contains_key(&t.name))
        .collect();
    let mut left = total;
    let mut entitled = BTreeMap::new();
    loop {
        let shares: f64 = open.iter().map(|tenant| f64::from(tenant.share)).sum();
        let level = left / shares.max(1.0);
        let part = |tenant: &Tenant| level * f64::from(tenant.share);
        let (few, many): (Vec<&Tenant>, Vec<&Tenant>) = open
            .iter()
            .partition(|tenant| demand[&tenant.name] <= part(tenant));
        if few.is_empty() {
            entitled.extend(
                many.iter()
                    .map(|tenant| (tenant.name.clone(), part(tenant))),
            );
            return entitled;
        }
        for tenant in few {
            left -= demand[&tenant.name];
            entitled.insert(tenant.name.clone(), demand[&tenant.name]);
        }
        open = many;
    }
}

impl Figures {
    /// The figures of a run whose window ended at `end`.
    pub fn new(trial: &Trial, tenants: &[Tenant], end: Time) -> Self {
        let mut stalls = stalls(trial, |request| request.arrival <= end);
        let mut gaps = trial.gaps.clone();
        let pairs = trial.requests.iter().zip(&trial.received);
        let pairs: Vec<(&Request, &Received)> = pairs
            .filter(|(request, _)| request.arrival <= end)
            .collect();
        let ran = pairs
            .iter()
            .filter(|(_, r)| r.first_token.is_some())
            .count();
        let refused = pairs.iter().filter(|(_, r)| r.refusal.is_some()).count();
        let in_time = pairs.iter().filter(|(request, received)| {
            let deadline = request.deadline.unwrap_or(end);
            received.complete && received.ended.is_some_and(|ended| ended <= deadline)
        });
        let good: f64 = in_time
            .map(|(request, received)| got(request, received))
            .sum();
        let service = service(trial);
        let mut demand = BTreeMap::new();
        for (request, _) in &pairs {
            *demand.entry(request.workspace.clone()).or_default() += work(request);
        }
        let entitled = entitled(&demand, tenants, service.values().sum());
        let parts: Vec<f64> = entitled
            .iter()
            .map(|(name, entitled)| (service[name] / entitled.max(1.0)).min(1.0))
            .collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        Figures {
            stall_p50: quantile(&mut stalls, 0.5).as_secs_f64(),
            stall_p99: quantile(&mut stalls, 0.99).as_secs_f64(),
            preemptions: 1e3 * trial.preemptions as f64 / ran.max(1) as f64,
            gap_p99: f64::from(quantile(&mut gaps, 0.99)) / 1e3,
            jain: sum * sum / (squares * parts.len() as f64).max(f64::MIN_POSITIVE),
            least: parts.iter().copied().fold(1.0, f64::min),
            goodput: good / end.seconds(),
            refused: refused as f64 / pairs.len().max(1) as f64,
        }
    }

    /// The mean of several runs' figures.
    pub fn mean(runs: &[Figures]) -> Figures {
        let count = runs.len().max(1) as f64;
        let mean = |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / count;
        Figures {
            stall_p50: mean(|f| f.stall_p50),
            stall_p99: mean(|f| f.stall_p99),
            preemptions: mean(|f| f.preemptions),
            gap_p99: mean(|f| f.gap_p99),
            jain: mean(|f| f.jain),
            least: mean(|f| f.least),
            goodput: mean(|f| f.goodput),
            refused: mean(|f| f.refused),
        }
    }
}
