//! Predicts output lengths, learned online for each workspace and kind of request.
//!
//! Load pattern: generations of unknown length: short checks and long drafts come under the same name.
//! Without a prediction, either memory is left unused to be safe, or the engine's memory fills up
//! during decoding and the engine preempts generations arbitrarily.
//!
//! Lengths are counted in logarithmic buckets about a fifth apart, so that a histogram takes 64 words
//! for any range. Recent observations weigh more: the weight of past observations halves with every
//! `HALF_LIFE` new ones, and drops at once on drift, when the recent mean leaves the range that the
//! past makes likely. For a workspace with few observations, the lengths of all workspaces for that
//! kind serve as the prior. Their own prior, for a cold start, is that every order of magnitude up to
//! the caller's limit is equally likely.
//!
//! A kind is split by the caller's token limit, in powers of four, since callers who expect short
//! answers set low limits.
//!
//! An observation takes O(1), an estimate one pass over 64 buckets. Memory is bounded by
//! `MAX_HISTOGRAMS`.

use std::collections::HashMap;

use crate::ids::Name;

const BUCKETS: usize = 64;

/// The number of observations after which the weight of earlier ones has halved. A smaller number
/// follows drift sooner but leaves the tail to chance: the 90th percentile then rests on six
/// observations.
const HALF_LIFE: f64 = 64.0;

/// The weight, in observations, of all workspaces' lengths as the prior of one workspace. A workspace
/// with eight observations of its own is estimated from these and from the prior in equal parts.
const PRIOR_WEIGHT: f64 = 8.0;

/// The number of histograms kept, about 300 bytes each: enough for 5,100 workspaces with one or two
/// kinds in use on one backend server at a time. Beyond it, a histogram that was not used recently is
/// evicted.
const MAX_HISTOGRAMS: usize = 8_192;

/// The quantile used as an optimistic length, to decide what may still meet its deadline.
const LOW_QUANTILE: f64 = 0.1;

/// Drift is detected when the mean of about eight recent observations is this many standard errors
/// away from the long-term mean.
const DRIFT_ERRORS: f64 = 4.0;
const FAST_WEIGHT: f64 = 1.0 / 8.0;
const SLOW_WEIGHT: f64 = 1.0 / 64.0;

/// The share of their weight that past observations retain when drift is detected.
const DRIFT_RETENTION: f64 = 1.0 / 16.0;

/// An estimate of the tokens that a running generation will still produce.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    /// The mean number of remaining tokens.
    pub mean: f64,
    /// The variance of the number of remaining tokens.
    pub variance: f64,
    /// The 10th percentile of the number of remaining tokens.
    pub low: f64,
    /// The median number of remaining tokens.
    pub median: f64,
}

/// A histogram of the lengths of one set of generations, with exponential decay.
#[derive(Clone, Debug)]
pub struct LengthHistogram {
    buckets: [f32; BUCKETS],
    // The sum of all buckets.
    total: f64,
    // The weight of the next observation. It grows, which has the same effect as decaying all earlier
    // ones.
    sample_weight: f64,
    // Moving averages and variance of the logarithm, for drift detection.
    fast_mean: f64,
    slow_mean: f64,
    variance: f64,
    observations: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HistogramKey {
    // `None` stands for all workspaces together.
    workspace: Option<Name>,
    kind: Name,
    limit_class: u8,
}

#[derive(Debug)]
struct Entry {
    key: HistogramKey,
    histogram: LengthHistogram,
    // Whether it was used since the clock hand last passed it.
    referenced: bool,
}

/// Predicts the output lengths of one service.
#[derive(Debug, Default)]
pub struct LengthPredictor {
    entries: Vec<Entry>,
    index: HashMap<HistogramKey, usize>,
    clock_hand: usize,
}

impl LengthPredictor {
    /// Creates a predictor without observations.
    pub fn new() -> Self {
        LengthPredictor::default()
    }

    /// Records the length of a generation that ran to its end.
    pub fn observe(&mut self, workspace: &Name, kind: &Name, limit: u32, length: u32) {
        for workspace in [Some(workspace), None] {
            let slot = self.slot(&HistogramKey::new(workspace, kind, limit));
            self.entries[slot].histogram.observe(length);
        }
    }

    /// Estimates the remaining length of a generation limited to `limit` tokens that has produced
    /// `produced` so far.
    pub fn estimate(
        &self,
        workspace: &Name,
        kind: &Name,
        limit: u32,
        produced: u32,
    ) -> LengthEstimate {
        let own = self.find(&HistogramKey::new(Some(workspace), kind, limit));
        let all = self.find(&HistogramKey::new(None, kind, limit));
        estimate(own, all, limit, produced)
    }

    fn find(&self, key: &HistogramKey) -> Option<&LengthHistogram> {
        self.index
            .get(key)
            .map(|&slot| &self.entries[slot].histogram)
    }

    fn slot(&mut self, key: &HistogramKey) -> usize {
        if let Some(&slot) = self.index.get(key) {
            self.entries[slot].referenced = true;
            return slot;
        }
        let entry = Entry {
            key: key.clone(),
            histogram: LengthHistogram::new(),
            referenced: true,
        };
        let slot = if self.entries.len() < MAX_HISTOGRAMS {
            self.entries.push(entry);
            self.entries.len() - 1
        } else {
            let slot = self.next_victim();
            self.index.remove(&self.entries[slot].key);
            self.entries[slot] = entry;
            slot
        };
        self.index.insert(key.clone(), slot);
        slot
    }

    // Selects an entry by the clock (second chance) algorithm, in constant time on average.
    fn next_victim(&mut self) -> usize {
        loop {
            self.clock_hand = (self.clock_hand + 1) % self.entries.len();
            let entry = &mut self.entries[self.clock_hand];
            if !entry.referenced {
                return self.clock_hand;
            }
            entry.referenced = false;
        }
    }
}

impl HistogramKey {
    fn new(workspace: Option<&Name>, kind: &Name, limit: u32) -> Self {
        HistogramKey {
            workspace: workspace.cloned(),
            kind: kind.clone(),
            limit_class: (limit.max(1).ilog2() / 2) as u8,
        }
    }
}

impl Default for LengthHistogram {
    fn default() -> Self {
        LengthHistogram::new()
    }
}

impl LengthHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        LengthHistogram {
            buckets: [0.0; BUCKETS],
            total: 0.0,
            sample_weight: 1.0,
            fast_mean: 0.0,
            slow_mean: 0.0,
            variance: 1.0,
            observations: 0,
        }
    }

    /// Records one length.
    pub fn observe(&mut self, length: u32) {
        self.track_drift(f64::from(length.max(1)).log2());
        self.buckets[bucket(length)] += self.sample_weight as f32;
        self.total += self.sample_weight;
        self.sample_weight *= 2f64.powf(1.0 / HALF_LIFE);
        if self.sample_weight > 1e6 {
            self.rescale();
        }
    }

    /// Returns the length that a share `part` of the generations do not exceed; 0 without observations.
    pub fn quantile(&self, part: f64) -> u32 {
        let mut remaining = self.total * part;
        for (index, &weight) in self.buckets.iter().enumerate() {
            remaining -= f64::from(weight);
            if remaining <= 0.0 && weight > 0.0 {
                return BUCKET_MIDPOINTS[index] as u32;
            }
        }
        0
    }

    // The total weight, in units of the most recent observation.
    fn weight(&self) -> f64 {
        self.total / self.sample_weight
    }

    fn track_drift(&mut self, log_length: f64) {
        self.observations += 1;
        if self.observations == 1 {
            self.fast_mean = log_length;
            self.slow_mean = log_length;
        }
        let slow_weight = SLOW_WEIGHT.max(1.0 / self.observations as f64);
        self.fast_mean +=
            FAST_WEIGHT.max(1.0 / self.observations as f64) * (log_length - self.fast_mean);
        self.variance += slow_weight * ((log_length - self.slow_mean).powi(2) - self.variance);
        self.slow_mean += slow_weight * (log_length - self.slow_mean);
        // The standard error of an exponential moving average with the weight `FAST_WEIGHT`.
        let standard_error = (self.variance * FAST_WEIGHT / (2.0 - FAST_WEIGHT)).sqrt();
        let drifted =
            (self.fast_mean - self.slow_mean).abs() > DRIFT_ERRORS * standard_error.max(0.05);
        if drifted && self.observations > 16 {
            self.sample_weight /= DRIFT_RETENTION;
            self.slow_mean = self.fast_mean;
        }
    }

    fn rescale(&mut self) {
        for weight in &mut self.buckets {
            *weight /= self.sample_weight as f32;
        }
        self.total /= self.sample_weight;
        self.sample_weight = 1.0;
    }
}

fn estimate(
    own: Option<&LengthHistogram>,
    all: Option<&LengthHistogram>,
    limit: u32,
    produced: u32,
) -> LengthEstimate {
    if produced >= limit {
        return LengthEstimate {
            mean: 0.0,
            variance: 0.0,
            low: 0.0,
            median: 0.0,
        };
    }
    let empty = LengthHistogram::new();
    let own = own.unwrap_or(&empty);
    let all = all.unwrap_or(&empty);
    let own_scale = 1.0 / own.sample_weight;
    let all_scale = PRIOR_WEIGHT.min(all.weight()) / all.total.max(f64::MIN_POSITIVE);
    let last = bucket(limit);
    let prior = 1.0 / (last + 1) as f64;
    let first = bucket(produced + 1);
    let mut shares = [0.0; BUCKETS];
    for (index, share) in shares.iter_mut().enumerate().skip(first) {
        let own = f64::from(own.buckets[index]) * own_scale;
        let all = f64::from(all.buckets[index]) * all_scale;
        *share = own + all + if index <= last { prior } else { 0.0 };
    }
    let remaining = |index: usize| {
        let length = BUCKET_MIDPOINTS[index]
            .min(f64::from(limit))
            .max(f64::from(produced + 1));
        length - f64::from(produced)
    };
    let (mut weight, mut sum, mut squares) = (0.0, 0.0, 0.0);
    for (index, share) in shares.iter().enumerate().skip(first) {
        let remaining = remaining(index);
        weight += share;
        sum += share * remaining;
        squares += share * remaining * remaining;
    }
    let mean = sum / weight;
    let quantile = |part: f64| {
        let mut remaining_weight = weight * part;
        let covers = |&index: &usize| {
            remaining_weight -= shares[index];
            remaining_weight <= 0.0
        };
        remaining((first..BUCKETS).find(covers).unwrap_or(first))
    };
    LengthEstimate {
        mean,
        variance: (squares / weight - mean * mean).max(0.0),
        low: quantile(LOW_QUANTILE),
        median: quantile(0.5),
    }
}

// Returns the bucket of a length. There are four buckets for each power of two.
fn bucket(length: u32) -> usize {
    let length = length.max(1);
    let exponent = length.ilog2();
    let quarter = if exponent >= 2 {
        (length >> (exponent - 2)) & 3
    } else {
        (length << (2 - exponent)) & 3
    };
    ((4 * exponent + quarter) as usize).min(BUCKETS - 1)
}

// The midpoint of each bucket.
static BUCKET_MIDPOINTS: [f64; BUCKETS] = bucket_midpoints();

const fn bucket_midpoints() -> [f64; BUCKETS] {
    let mut midpoints = [0.0; BUCKETS];
    let mut index = 0;
    while index < BUCKETS {
        let power = (1_u64 << (index / 4)) as f64;
        // Between (4 + quarter) / 4 and (5 + quarter) / 4 of the power of two.
        midpoints[index] = power * (9 + 2 * (index % 4)) as f64 / 8.0;
        index += 1;
    }
    midpoints
}
