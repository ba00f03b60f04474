//! Output lengths as learned online, for each workspace and kind of request.
//!
//! Load pattern: generations whose length nobody knows, short checks and long drafts under one
//! name. Without an expectation, either memory is left empty to be safe, or the engine's memory
//! fills up in the midst of decoding and it displaces generations blindly.
//!
//! Lengths are counted in buckets a fifth apart, so one sketch takes 64 words for any range. Newer
//! observations weigh more: a sketch forgets half of its past in `HALF_LIFE` observations, and at
//! once when the recent mean leaves the range that the past makes likely (drift). A workspace with
//! few observations is filled up from all workspaces' lengths of that kind, and these from a
//! cold-start rule: every order of magnitude up to the caller's limit is equally likely.
//!
//! A kind is split by the caller's limit on tokens, in powers of four, since callers who ask for
//! short answers name short limits.
//!
//! One observation is O(1), one expectation is one pass over 64 buckets. Memory is bounded by
//! `MAX_SKETCHES`.

use std::collections::HashMap;

use crate::ids::Name;

const BUCKETS: usize = 64;

/// Observations after which half of a sketch's weight is new. Fewer follow drift sooner but leave
/// the tail to chance: the 90th percentile then rests on six observations.
const HALF_LIFE: f64 = 64.0;

/// Observations that the next wider level counts for. With eight of its own, a workspace is judged
/// by itself and by the others alike.
const PARENT_WEIGHT: f64 = 8.0;

/// Sketches kept, about 300 bytes each: 5,100 workspaces with a kind or two in use on one backend
/// server at a time. The least lately used make room.
const MAX_SKETCHES: usize = 8_192;

/// The part of the generations that count as short, for what may still make its deadline.
const LOW: f64 = 0.1;

/// Drift is when the mean of about eight observations lies four standard errors off.
const DRIFT_ERRORS: f64 = 4.0;
const FAST: f64 = 1.0 / 8.0;
const SLOW: f64 = 1.0 / 64.0;

/// The weight that the past keeps when drift is seen.
const DRIFT_KEEPS: f64 = 1.0 / 16.0;

/// What is expected of a generation that has produced some tokens already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expectation {
    /// The mean number of tokens still to come.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
    /// The number that a tenth of the generations do not exceed.
    pub low: f64,
    /// The number that half of the generations do not exceed.
    pub median: f64,
}

/// The lengths of one set of generations.
#[derive(Clone, Debug)]
pub struct Sketch {
    buckets: [f32; BUCKETS],
    // The sum of the buckets.
    total: f64,
    // The weight of the next observation; it grows, in place of all others shrinking.
    unit: f64,
    // Means and variance of the logarithm, for drift.
    fast: f64,
    slow: f64,
    variance: f64,
    seen: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SketchKey {
    // None: all workspaces.
    workspace: Option<Name>,
    kind: Name,
    class: u8,
}

#[derive(Debug)]
struct Entry {
    key: SketchKey,
    sketch: Sketch,
    // Whether it was used since the hand passed last.
    used: bool,
}

/// The sketches of one service.
#[derive(Debug, Default)]
pub struct Lengths {
    entries: Vec<Entry>,
    places: HashMap<SketchKey, usize>,
    hand: usize,
}

impl Lengths {
    /// Nothing learned yet.
    pub fn new() -> Self {
        Lengths::default()
    }

    /// Takes in the length of a generation that came to its end.
    pub fn observe(&mut self, workspace: &Name, kind: &Name, limit: u32, length: u32) {
        for workspace in [Some(workspace), None] {
            let place = self.place(&SketchKey::new(workspace, kind, limit));
            self.entries[place].sketch.observe(length);
        }
    }

    /// What is expected of a generation with at most `limit` tokens, `produced` of which came.
    pub fn expect(&self, workspace: &Name, kind: &Name, limit: u32, produced: u32) -> Expectation {
        let own = self.find(&SketchKey::new(Some(workspace), kind, limit));
        let all = self.find(&SketchKey::new(None, kind, limit));
        expect(own, all, limit, produced)
    }

    fn find(&self, key: &SketchKey) -> Option<&Sketch> {
        self.places
            .get(key)
            .map(|&place| &self.entries[place].sketch)
    }

    fn place(&mut self, key: &SketchKey) -> usize {
        if let Some(&place) = self.places.get(key) {
            self.entries[place].used = true;
            return place;
        }
        let entry = Entry {
            key: key.clone(),
            sketch: Sketch::new(),
            used: true,
        };
        let place = if self.entries.len() < MAX_SKETCHES {
            self.entries.push(entry);
            self.entries.len() - 1
        } else {
            let place = self.least_used();
            self.places.remove(&self.entries[place].key);
            self.entries[place] = entry;
            place
        };
        self.places.insert(key.clone(), place);
        place
    }

    // Second chance: constant time on average.
    fn least_used(&mut self) -> usize {
        loop {
            self.hand = (self.hand + 1) % self.entries.len();
            let entry = &mut self.entries[self.hand];
            if !entry.used {
                return self.hand;
            }
            entry.used = false;
        }
    }
}

impl SketchKey {
    fn new(workspace: Option<&Name>, kind: &Name, limit: u32) -> Self {
        SketchKey {
            workspace: workspace.cloned(),
            kind: kind.clone(),
            class: (limit.max(1).ilog2() / 2) as u8,
        }
    }
}

impl Default for Sketch {
    fn default() -> Self {
        Sketch::new()
    }
}

impl Sketch {
    /// An empty sketch.
    pub fn new() -> Self {
        Sketch {
            buckets: [0.0; BUCKETS],
            total: 0.0,
            unit: 1.0,
            fast: 0.0,
            slow: 0.0,
            variance: 1.0,
            seen: 0,
        }
    }

    /// Takes in one length.
    pub fn observe(&mut self, length: u32) {
        self.follow(f64::from(length.max(1)).log2());
        self.buckets[bucket(length)] += self.unit as f32;
        self.total += self.unit;
        self.unit *= 2f64.powf(1.0 / HALF_LIFE);
        if self.unit > 1e6 {
            self.rescale();
        }
    }

    /// The length that `part` of the generations do not exceed; 0 without observations.
    pub fn quantile(&self, part: f64) -> u32 {
        let mut left = self.total * part;
        for (index, &weight) in self.buckets.iter().enumerate() {
            left -= f64::from(weight);
            if left <= 0.0 && weight > 0.0 {
                return MIDDLES[index] as u32;
            }
        }
        0
    }

    // The weight in observations, most recent first.
    fn weight(&self) -> f64 {
        self.total / self.unit
    }

    fn follow(&mut self, log: f64) {
        self.seen += 1;
        if self.seen == 1 {
            self.fast = log;
            self.slow = log;
        }
        let slow = SLOW.max(1.0 / self.seen as f64);
        self.fast += FAST.max(1.0 / self.seen as f64) * (log - self.fast);
        self.variance += slow * ((log - self.slow).powi(2) - self.variance);
        self.slow += slow * (log - self.slow);
        // The standard error of a mean that forgets by FAST.
        let error = (self.variance * FAST / (2.0 - FAST)).sqrt();
        let drifted = (self.fast - self.slow).abs() > DRIFT_ERRORS * error.max(0.05);
        if drifted && self.seen > 16 {
            self.unit /= DRIFT_KEEPS;
            self.slow = self.fast;
        }
    }

    fn rescale(&mut self) {
        for weight in &mut self.buckets {
            *weight /= self.unit as f32;
        }
        self.total /= self.unit;
        self.unit = 1.0;
    }
}

fn expect(own: Option<&Sketch>, all: Option<&Sketch>, limit: u32, produced: u32) -> Expectation {
    if produced >= limit {
        return Expectation {
            mean: 0.0,
            variance: 0.0,
            low: 0.0,
            median: 0.0,
        };
    }
    let empty = Sketch::new();
    let own = own.unwrap_or(&empty);
    let all = all.unwrap_or(&empty);
    let own_part = 1.0 / own.unit;
    let all_part = PARENT_WEIGHT.min(all.weight()) / all.total.max(f64::MIN_POSITIVE);
    let last = bucket(limit);
    let prior = 1.0 / (last + 1) as f64;
    let first = bucket(produced + 1);
    let mut shares = [0.0; BUCKETS];
    for (index, share) in shares.iter_mut().enumerate().skip(first) {
        let own = f64::from(own.buckets[index]) * own_part;
        let all = f64::from(all.buckets[index]) * all_part;
        *share = own + all + if index <= last { prior } else { 0.0 };
    }
    let left = |index: usize| {
        let length = MIDDLES[index]
            .min(f64::from(limit))
            .max(f64::from(produced + 1));
        length - f64::from(produced)
    };
    let (mut weight, mut sum, mut squares) = (0.0, 0.0, 0.0);
    for (index, share) in shares.iter().enumerate().skip(first) {
        let left = left(index);
        weight += share;
        sum += share * left;
        squares += share * left * left;
    }
    let mean = sum / weight;
    let quantile = |part: f64| {
        let mut under = weight * part;
        let reached = |&index: &usize| {
            under -= shares[index];
            under <= 0.0
        };
        left((first..BUCKETS).find(reached).unwrap_or(first))
    };
    Expectation {
        mean,
        variance: (squares / weight - mean * mean).max(0.0),
        low: quantile(LOW),
        median: quantile(0.5),
    }
}

// Four buckets for each doubling.
fn bucket(length: u32) -> usize {
    let length = length.max(1);
    let power = length.ilog2();
    let quarter = if power >= 2 {
        (length >> (power - 2)) & 3
    } else {
        (length << (2 - power)) & 3
    };
    ((4 * power + quarter) as usize).min(BUCKETS - 1)
}

// The middle of each bucket.
static MIDDLES: [f64; BUCKETS] = middles();

const fn middles() -> [f64; BUCKETS] {
    let mut middles = [0.0; BUCKETS];
    let mut index = 0;
    while index < BUCKETS {
        let power = (1_u64 << (index / 4)) as f64;
        // Between (4 + quarter) / 4 and (5 + quarter) / 4 of the power of two.
        middles[index] = power * (9 + 2 * (index % 4)) as f64 / 8.0;
        index += 1;
    }
    middles
}
