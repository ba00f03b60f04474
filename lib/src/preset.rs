//! The two objectives by which an engine's agent decides.
//!
//! Load pattern: a full batch. A larger batch lets more callers begin, and makes each step longer
//! for all. Hanshan weighs the time without any progress most, so its batch is as large as the
//! memory allows. Saryarka weighs the tail of the time between two tokens most, so its batch is
//! capped where the measured gap meets the target, and starts are spread out, since reading in a
//! prompt holds up every stream of the batch.

use std::time::Duration;

use crate::copy_type;
use crate::time::Time;

copy_type! {
    /// What a deployment weighs most.
    #[derive(Default)]
    pub enum Preset {
        /// The time that a caller waits without progress; Hanshan's choice.
        #[default]
        Stall,
        /// The tail of the time between two tokens of a stream; Saryarka's choice.
        Gap,
    }
}

/// Gaps that are judged together. With 5 in 100 allowed over the target, 512 gaps tell 2 from 5.
const JUDGED: u32 = 512;

/// Cut at more than 5 in 100 gaps over the target, grow at less than 2: between them the cap
/// rests, so that it does not swing.
const CUT_OVER: f64 = 0.05;
const GROW_UNDER: f64 = 0.02;

/// A cut takes a tenth, as much as the step time of common engines falls noticeably by.
const CUT: f64 = 0.9;

/// The least batch to which the cap may fall, as a part of the largest.
const LEAST: f64 = 0.125;

/// The cap on the batch, held where few gaps are over the target.
#[derive(Clone, Debug)]
pub struct BatchCap {
    target: Duration,
    max_batch: u32,
    cap: f64,
    judged: u32,
    over: u32,
}

/// Spreads starts out by the prompt tokens that they make the engine read in.
#[derive(Clone, Debug)]
pub struct Pacer {
    // Prompt tokens a second; none for no pacing.
    rate: Option<f64>,
    next: Time,
}

impl BatchCap {
    /// A cap between an eighth of `max_batch` and all of it; all of it without a target.
    pub fn new(max_batch: u32, target: Option<Duration>) -> Self {
        BatchCap {
            target: target.unwrap_or(Duration::MAX),
            max_batch,
            cap: f64::from(max_batch),
            judged: 0,
            over: 0,
        }
    }

    /// Takes in the time between two tokens of a stream, while `running` ran. Says whether the cap
    /// was raised.
    pub fn observe(&mut self, gap: Duration, running: u32) -> bool {
        self.judged += 1;
        self.over += u32::from(gap > self.target);
        if self.judged < JUDGED {
            return false;
        }
        let before = self.cap;
        let part = f64::from(self.over) / f64::from(self.judged);
        let most = f64::from(self.max_batch);
        if part > CUT_OVER {
            self.cap = (self.cap.min(f64::from(running)) * CUT).max(most * LEAST);
        } else if part < GROW_UNDER && f64::from(running) + 1.0 >= self.cap {
            self.cap = (self.cap + 1.0).min(most);
        }
        self.judged = 0;
        self.over = 0;
        self.cap > before
    }

    /// The most that may run now.
    pub fn get(&self) -> usize {
        self.cap.max(1.0) as usize
    }
}

impl Pacer {
    /// A pacer for that many prompt tokens a second; none for no pacing.
    pub fn new(rate: Option<f64>) -> Self {
        Pacer {
            rate,
            next: Time::ZERO,
        }
    }

    /// When the next start may be, if that lies ahead.
    pub fn wait_until(&self, now: Time) -> Option<Time> {
        (self.next > now).then_some(self.next)
    }

    /// Takes in a start.
    pub fn start(&mut self, now: Time, prompt_tokens: u32) {
        if let Some(rate) = self.rate {
            let time = Duration::from_secs_f64(f64::from(prompt_tokens) / rate);
            self.next = self.next.max(now) + time;
        }
    }
}
