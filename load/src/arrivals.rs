//! The seeded sequence of arrivals. It depends on nothing that happens in the run, so that two runs of
//! one seed ask for the same.

use std::time::Duration;

use crate::plan::Action;
use crate::plan::Plan;
use crate::plan::Span;

/// One request, before it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its place in the sequence.
    pub index: u64,
    /// When it is due, from the run's start.
    pub at: Duration,
    /// The place of its workspace in the plan.
    pub tenant: usize,
    /// The place of its kind in the plan.
    pub kind: usize,
    /// The prompt of a generation, or the body of a call.
    pub text: String,
    /// Tokens that a stand-in engine will produce, where the prompt says so.
    pub tokens: Option<u32>,
    /// The key of a call that must take effect at most once; empty for others.
    pub key: String,
    /// The place of the first entry it is sent to.
    pub entry: usize,
    /// Whether it comes again after a refusal, once the time told has passed.
    pub obeys: bool,
}

/// All arrivals of a plan, in order of time.
pub struct Arrivals<'a> {
    plan: &'a Plan,
    rng: fastrand::Rng,
    index: u64,
    at: Duration,
}

impl<'a> Arrivals<'a> {
    /// The arrivals of `plan`.
    pub fn new(plan: &'a Plan) -> Self {
        Arrivals {
            plan,
            rng: fastrand::Rng::with_seed(plan.seed),
            index: 0,
            at: Duration::ZERO,
        }
    }

    fn text(&mut self, bytes: Span, tokens: Option<u32>) -> String {
        let length = self.rng.u32(bytes.least..=bytes.most) as usize;
        let mut text = format!("request {}-{} ", self.plan.seed, self.index);
        if let Some(tokens) = tokens {
            text.push_str(&format!("len={tokens} "));
        }
        while text.len() < length {
            text.push(self.rng.lowercase());
        }
        text
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = -(1.0 - self.rng.f64()).ln() / self.plan.rate;
        self.at += Duration::from_secs_f64(gap);
        if self.at > self.plan.length || self.index >= self.plan.max_requests {
            return None;
        }
        self.index += 1;
        let tenant = pick(&mut self.rng, self.plan.tenants.iter().map(|t| t.weight));
        let kind = pick(&mut self.rng, self.plan.kinds.iter().map(|k| k.weight));
        let of = &self.plan.kinds[kind];
        let tokens = draw_tokens(&mut self.rng, of.tokens, self.plan.max_tokens);
        let text = self.text(of.prompt, tokens);
        let key = match of.action {
            Action::Effect => format!("load-{}-{:016x}", self.index, self.rng.u64(..)),
            _ => String::new(),
        };
        Some(Arrival {
            index: self.index,
            at: self.at,
            tenant,
            kind,
            text,
            tokens,
            key,
            entry: self.index as usize % self.plan.entries.len().max(1),
            obeys: self.rng.f64() < self.plan.obey,
        })
    }
}

fn pick(rng: &mut fastrand::Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let sum: f64 = weights.clone().sum();
    let mut left = rng.f64() * sum;
    let mut last = 0;
    for (place, weight) in weights.enumerate() {
        if weight > 0.0 {
            last = place;
            left -= weight;
        }
        if left < 0.0 {
            break;
        }
    }
    last
}

/// Even on a logarithmic scale: short outputs are far more frequent than long ones.
fn draw_tokens(rng: &mut fastrand::Rng, span: Span, most: u32) -> Option<u32> {
    if span.most == 0 {
        return None;
    }
    let least = f64::from(span.least.max(1)).ln();
    let width = f64::from(span.most).ln() - least;
    let tokens = (least + rng.f64() * width.max(0.0)).exp().round() as u32;
    Some(tokens.clamp(1, most))
}
