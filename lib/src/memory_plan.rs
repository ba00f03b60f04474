//! What may join the running batch, and who leaves it when the memory fills up.
//!
//! Load pattern: many generations grow at once, to lengths nobody knows. Admitted by what they hold
//! now, they outgrow the memory together; the engine then displaces blindly the ones it started
//! last, again and again. Admitted by their limits, most of the memory stays empty.
//!
//! The plan follows the expected growth of all that runs up to the end of each: memory is highest
//! just before one of them ends. A job may join while the highest of these points fits, with
//! [`Headroom::Expected`] standard deviations to spare. Deviations of many generations even out, so
//! the spare room is small for a large batch and large for a few long ones.
//!
//! When the expectation was wrong, the victim is chosen here before the engine chooses: of those
//! who hold more than their share the one that loses the least work, and nobody more often than a
//! stated count.

use crate::figure_type;

figure_type! {
    /// How much memory is kept free for growth.
    pub enum Headroom {
        /// Room for the expected growth and this many standard deviations more.
        Expected(f64),
        /// A fixed part of the memory, whatever runs.
        Fixed(f64),
        /// None: only what is held now counts.
        None,
        /// Room for growth as if each job came to its limit.
        Limit,
    }
}

/// The memory of one generation.
#[derive(Clone, Copy, Debug)]
pub struct Footprint {
    /// Tokens held now, or to be read in at once.
    pub held: u64,
    /// Tokens that are expected to follow.
    pub mean: f64,
    /// Their variance.
    pub variance: f64,
    /// The most that can follow.
    pub most: u64,
}

/// Someone who could be displaced.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Tokens that would have to be computed again.
    pub lost: u64,
    /// How often it was displaced.
    pub pauses: u32,
    /// Whether its workspace holds more than its share of the memory.
    pub over: bool,
}

/// The plan for one engine's memory.
#[derive(Clone, Debug)]
pub struct MemoryPlan {
    capacity: u64,
    headroom: Headroom,
    max_pauses: u32,
}

/// Steps of the batch that must still fit. The order to displace must reach the engine before its
/// memory is full; it takes a step or two.
const STEPS_AHEAD: u64 = 4;

impl MemoryPlan {
    /// A plan for `capacity` tokens, 0 for no plan.
    pub fn new(capacity: u64, headroom: Headroom, max_pauses: u32) -> Self {
        MemoryPlan {
            capacity,
            headroom,
            max_pauses,
        }
    }

    /// Tokens of memory, 0 for no plan.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Takes the engine's own figure, which goes before the settings'.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Whether all of these can run together in `part` of the memory. Sorts them.
    pub fn fits(&self, all: &mut [Footprint], part: f64) -> bool {
        if self.capacity == 0 {
            return true;
        }
        let capacity = (self.capacity as f64 * part) as u64;
        let held: u64 = all.iter().map(|footprint| footprint.held).sum();
        let next = held + STEPS_AHEAD * all.len() as u64;
        if next > capacity {
            return false;
        }
        match self.headroom {
            Headroom::None => true,
            Headroom::Fixed(part) => next as f64 <= capacity as f64 * (1.0 - part),
            Headroom::Limit => {
                for footprint in all.iter_mut() {
                    footprint.mean = footprint.most as f64;
                }
                peak(all, 0.0) <= usable(capacity, all.len())
            }
            Headroom::Expected(deviations) => peak(all, deviations) <= usable(capacity, all.len()),
        }
    }

    /// Tokens at the highest point that is expected of all of these, without any to spare. Sorts them.
    pub fn peak(all: &mut [Footprint]) -> f64 {
        peak(all, 0.0)
    }

    /// Whether the engine would soon displace someone, with `held` tokens of `running` jobs.
    pub fn is_short(&self, held: u64, running: u64) -> bool {
        self.capacity > 0 && running > 1 && held + STEPS_AHEAD * running > self.capacity
    }

    /// Whom to displace: the index of the one that loses the least, those over their share first.
    /// None if everyone was displaced as often as may be.
    pub fn victim(&self, candidates: impl Iterator<Item = Candidate>) -> Option<usize> {
        let open = candidates
            .enumerate()
            .filter(|(_, c)| c.pauses < self.max_pauses);
        let least = open.min_by_key(|(_, c)| (!c.over, c.pauses, c.lost));
        least.map(|(index, _)| index)
    }
}

// What is left of the memory when so many run and none is displaced.
fn usable(capacity: u64, running: usize) -> f64 {
    capacity.saturating_sub(STEPS_AHEAD * running as u64) as f64
}

/// The highest point of the memory, as expected. In the order of ends, the last first, each point
/// just before an end holds that generation and all that end later, grown as long as it.
fn peak(all: &mut [Footprint], deviations: f64) -> f64 {
    all.sort_by(|a, b| b.mean.total_cmp(&a.mean));
    let (mut held, mut variance, mut peak) = (0.0, 0.0, 0.0_f64);
    for (count, footprint) in (1..).zip(all.iter()) {
        held += footprint.held as f64;
        variance += footprint.variance;
        let grown = held + f64::from(count) * footprint.mean;
        peak = peak.max(grown + deviations * variance.sqrt());
    }
    peak
}
