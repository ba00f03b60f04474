//! A histogram of gaps between events in which old observations decay.
//!
//! Decay runs only while gaps of the same kind are observed, so that an engine without prompts for some seconds is still
//! known to be slow beside one. What was not observed for [`MAX_AGE`] is unknown.

use std::time::Duration;

use crate::migration::event_gaps::GapEstimate;
use crate::time::Time;

/// Half-life of the observations, in seconds of observed time: some slowdowns of a host take some hundred milliseconds
/// and recur within seconds.
const HALF_LIFE_S: f64 = 5.0;

/// Least number of gaps, with decay, behind an estimate: fewer have no 99th percentile.
pub(crate) const MIN_WEIGHT: f64 = 100.0;

/// Observations this old, in seconds, no longer count: the engine's runs have all changed since.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Observations at most this far apart count as one period for the decay.
const MAX_DECAY_STEP: Duration = Duration::from_millis(250);

/// Upper end of the first bucket in ms, and the ratio of two ends: an estimate is within 5% of the observation.
const FIRST_BUCKET_MS: f64 = 4.0;
const BUCKET_RATIO: f64 = 1.05;

/// Number of buckets. The last one ends at 4.9 s, over any limit for a gap.
const BUCKETS: usize = 147;

/// The percentile that is estimated, as a fraction.
const PERCENTILE: f64 = 0.99;

/// Gaps of one kind.
#[derive(Clone, Debug)]
pub(crate) struct DecayedGaps {
    buckets: [f32; BUCKETS],
    weight: f64,
    // Sum of all gaps, in ms.
    total_ms: f64,
    updated_at: Option<Time>,
}

impl Default for DecayedGaps {
    fn default() -> Self {
        DecayedGaps {
            buckets: [0.0; BUCKETS],
            weight: 0.0,
            total_ms: 0.0,
            updated_at: None,
        }
    }
}

impl DecayedGaps {
    /// Lets earlier observations decay until `now`, at which a gap is observed.
    pub(crate) fn decay(&mut self, now: Time) {
        let elapsed = self.updated_at.replace(now).map(|at| now.since(at));
        match elapsed {
            Some(elapsed) if elapsed > MAX_AGE => {
                *self = DecayedGaps {
                    updated_at: Some(now),
                    ..DecayedGaps::default()
                };
            }
            Some(elapsed) if !elapsed.is_zero() => self.decay_over(elapsed.min(MAX_DECAY_STEP)),
            _ => {}
        }
    }

    fn decay_over(&mut self, elapsed: Duration) {
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE_S);
        let bucket_decay = decay as f32;
        self.buckets
            .iter_mut()
            .for_each(|weight| *weight *= bucket_decay);
        self.weight *= decay;
        self.total_ms *= decay;
    }

    /// Records `count` gaps that took `time` in all, the longest of them `longest`.
    pub(crate) fn record(&mut self, time: Duration, count: u64, longest: Duration) {
        let time_ms = time.as_secs_f64() * 1e3;
        let longest_ms = longest.as_secs_f64() * 1e3;
        let others = count.saturating_sub(1) as f64;
        self.weight += count as f64;
        self.total_ms += time_ms;
        self.buckets[bucket(longest_ms)] += 1.0;
        if others > 0.0 {
            let other_ms = (time_ms - longest_ms).max(0.0) / others;
            self.buckets[bucket(other_ms)] += others as f32;
        }
    }

    /// The mean, if enough gaps were observed for an estimate.
    pub(crate) fn mean(&self) -> Option<Duration> {
        (self.weight >= MIN_WEIGHT)
            .then(|| Duration::from_secs_f64(self.total_ms / self.weight / 1e3))
    }

    /// Mean and 99th percentile; unknown with fewer than [`MIN_WEIGHT`] gaps and after [`MAX_AGE`].
    pub(crate) fn estimate(&self, now: Time) -> GapEstimate {
        let recent = |at: Time| now.since(at) <= MAX_AGE;
        let Some(mean) = self.mean().filter(|_| self.updated_at.is_some_and(recent)) else {
            return GapEstimate::default();
        };
        let mean_ms = whole_ms(mean.as_secs_f64() * 1e3);
        GapEstimate {
            mean_ms,
            p99_ms: whole_ms(self.percentile_ms()).max(mean_ms),
        }
    }

    fn percentile_ms(&self) -> f64 {
        let total: f64 = self.buckets.iter().map(|weight| f64::from(*weight)).sum();
        let mut above = total * (1.0 - PERCENTILE);
        for (index, weight) in self.buckets.iter().enumerate().rev() {
            above -= f64::from(*weight);
            if above < 0.0 {
                return bucket_ms(index);
            }
        }
        bucket_ms(0)
    }
}

fn bucket(ms: f64) -> usize {
    let index = (ms / FIRST_BUCKET_MS).ln() / BUCKET_RATIO.ln();
    // A cast saturates, so that zero and negative gaps are in the first bucket.
    (index.ceil() as usize).min(BUCKETS - 1)
}

/// The middle of a bucket.
fn bucket_ms(index: usize) -> f64 {
    FIRST_BUCKET_MS * BUCKET_RATIO.powf(index as f64 - 0.5)
}

/// At least 1 ms, since zero stands for an unknown estimate.
fn whole_ms(ms: f64) -> u16 {
    ms.round().clamp(1.0, f64::from(u16::MAX)) as u16
}
