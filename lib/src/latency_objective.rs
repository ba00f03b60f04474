//! The two latency objectives of an engine's agent, and the controls that follow from them.
//!
//! Load pattern: a full batch. A larger batch lets more requests begin, but makes each step longer for all
//! of them. Hanshan gives most weight to the time without any progress, so its batch is as large as memory
//! allows. Saryarka gives most weight to the tail of the inter-token latency. There the batch is capped at
//! the size at which the measured gap meets the target, and starts are paced, since the prefill of a prompt
//! holds up every stream of the batch.

use std::time::Duration;

use crate::copy_type;
use crate::time::Time;

copy_type! {
    /// The latency figure to which a deployment gives most weight.
    #[derive(Default)]
    pub enum LatencyObjective {
        /// The longest time that a caller waits without progress; used by Hanshan.
        #[default]
        Stall,
        /// The tail of the inter-token latency of a stream; used by Saryarka.
        Gap,
    }
}

/// Gaps per adjustment of the cap. With 5 in 100 allowed over the target, 512 gaps are enough to tell 2 in
/// 100 from 5 in 100.
const GAPS_PER_ADJUSTMENT: u32 = 512;

/// The cap shrinks if more than 5 in 100 gaps exceed the target, and grows if fewer than 2 in 100 do. In
/// between it stays as it is, so that it does not oscillate.
const SHRINK_ABOVE: f64 = 0.05;
const GROW_BELOW: f64 = 0.02;

/// The factor by which the cap shrinks. A tenth less is enough to shorten the step time of common engines
/// noticeably.
const SHRINK_FACTOR: f64 = 0.9;

/// The smallest cap, as a share of the largest batch.
const MIN_CAP_SHARE: f64 = 0.125;

/// A cap on the batch size, adjusted so that few gaps between tokens exceed the target.
#[derive(Clone, Debug)]
pub struct BatchCap {
    target: Duration,
    max_batch: u32,
    cap: f64,
    gaps: u32,
    late_gaps: u32,
}

/// Paces starts by the prompt tokens that the engine has to prefill for them.
#[derive(Clone, Debug)]
pub struct PrefillPacer {
    // Prompt tokens per second; `None` disables pacing.
    rate: Option<f64>,
    next: Time,
}

impl BatchCap {
    /// Creates a cap between an eighth of `max_batch` and all of it; without a target it stays at all of it.
    pub fn new(max_batch: u32, target: Option<Duration>) -> Self {
        BatchCap {
            target: target.unwrap_or(Duration::MAX),
            max_batch,
            cap: f64::from(max_batch),
            gaps: 0,
            late_gaps: 0,
        }
    }

    /// Records the gap between two tokens of a stream, with `running` requests in the batch. Returns whether
    /// the cap was raised.
    pub fn observe(&mut self, gap: Duration, running: u32) -> bool {
        self.gaps += 1;
        self.late_gaps += u32::from(gap > self.target);
        if self.gaps < GAPS_PER_ADJUSTMENT {
            return false;
        }
        let before = self.cap;
        let late_share = f64::from(self.late_gaps) / f64::from(self.gaps);
        let max = f64::from(self.max_batch);
        if late_share > SHRINK_ABOVE {
            self.cap = (self.cap.min(f64::from(running)) * SHRINK_FACTOR).max(max * MIN_CAP_SHARE);
        } else if late_share < GROW_BELOW && f64::from(running) + 1.0 >= self.cap {
            self.cap = (self.cap + 1.0).min(max);
        }
        self.gaps = 0;
        self.late_gaps = 0;
        self.cap > before
    }

    /// The current maximum batch size.
    pub fn get(&self) -> usize {
        self.cap.max(1.0) as usize
    }
}

impl PrefillPacer {
    /// Creates a pacer for `rate` prompt tokens per second; `None` disables pacing.
    pub fn new(rate: Option<f64>) -> Self {
        PrefillPacer {
            rate,
            next: Time::ZERO,
        }
    }

    /// The time of the next permitted start, if it is in the future.
    pub fn wait_until(&self, now: Time) -> Option<Time> {
        (self.next > now).then_some(self.next)
    }

    /// Records a start.
    pub fn start(&mut self, now: Time, prompt_tokens: u32) {
        if let Some(rate) = self.rate {
            let time = Duration::from_secs_f64(f64::from(prompt_tokens) / rate);
            self.next = self.next.max(now) + time;
        }
    }
}
