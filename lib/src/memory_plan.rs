//! Admission of requests to the running batch by their memory, and the choice of a preemption victim.
//!
//! Load pattern: many generations of unknown length grow at the same time. Admitted by the memory that they
//! hold now, they outgrow the memory together, and the engine preempts the latest ones again and again,
//! whatever work is lost. Admitted by their token limits, most of the memory stays empty.
//!
//! The plan follows the expected growth of all runs up to the end of each: memory use peaks just before one
//! of them ends. A request may join if the highest of these peaks fits, with [`Headroom::Expected`]
//! standard deviations to spare. The deviations of many generations average out, so that the headroom is
//! small for a large batch and large for a few long runs.
//!
//! If the expectation was wrong, a victim is chosen here before the engine chooses one: among the runs of
//! workspaces that hold more than their share, the one that loses the least work. No run is preempted more
//! often than a configured count.

use crate::figure_type;

figure_type! {
    /// How much memory is reserved for growth.
    pub enum Headroom {
        /// The expected growth plus this many standard deviations.
        Expected(f64),
        /// A fixed share of the memory, independent of the batch.
        Fixed(f64),
        /// None: only the memory held now counts.
        None,
        /// Growth of each request to its token limit.
        Limit,
    }
}

/// The memory of one generation, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct Footprint {
    /// Tokens held now, or about to be prefilled.
    pub held: u64,
    /// Expected number of further tokens.
    pub mean: f64,
    /// Variance of the number of further tokens.
    pub variance: f64,
    /// Largest possible number of further tokens.
    pub most: u64,
}

/// A run that could be preempted.
#[derive(Clone, Copy, Debug)]
pub struct VictimCandidate {
    /// Tokens that would have to be recomputed.
    pub lost_tokens: u64,
    /// How often it has been preempted.
    pub preemptions: u32,
    /// Whether its workspace holds more than its share of the memory.
    pub over_share: bool,
}

/// The memory plan of one engine.
#[derive(Clone, Debug)]
pub struct MemoryPlan {
    capacity: u64,
    headroom: Headroom,
    max_preemptions: u32,
}

/// Steps of the batch that must still fit. The order to preempt takes a step or two to reach the engine, and
/// must arrive before its memory is full.
const STEPS_AHEAD: u64 = 4;

impl MemoryPlan {
    /// Creates a plan for `capacity` tokens; 0 disables it.
    pub fn new(capacity: u64, headroom: Headroom, max_preemptions: u32) -> Self {
        MemoryPlan {
            capacity,
            headroom,
            max_preemptions,
        }
    }

    /// The engine's memory in tokens, or 0 if the plan is disabled.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Sets the capacity that the engine reported, which overrides the settings.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Whether all of these can run together in a share of the memory. Sorts the slice.
    pub fn fits(&self, all: &mut [Footprint], share: f64) -> bool {
        if self.capacity == 0 {
            return true;
        }
        let capacity = (self.capacity as f64 * share) as u64;
        let held: u64 = all.iter().map(|footprint| footprint.held).sum();
        let next = held + STEPS_AHEAD * all.len() as u64;
        if next > capacity {
            return false;
        }
        match self.headroom {
            Headroom::None => true,
            Headroom::Fixed(reserve) => next as f64 <= capacity as f64 * (1.0 - reserve),
            Headroom::Limit => {
                for footprint in all.iter_mut() {
                    footprint.mean = footprint.most as f64;
                }
                peak(all, 0.0) <= usable(capacity, all.len())
            }
            Headroom::Expected(deviations) => peak(all, deviations) <= usable(capacity, all.len()),
        }
    }

    /// The expected peak of all of these in tokens, without headroom. Sorts the slice.
    pub fn peak(all: &mut [Footprint]) -> f64 {
        peak(all, 0.0)
    }

    /// Whether the engine, with `running` requests that hold `held` tokens, would soon preempt one itself.
    pub fn is_short(&self, held: u64, running: u64) -> bool {
        self.capacity > 0 && running > 1 && held + STEPS_AHEAD * running > self.capacity
    }

    /// Selects the run to preempt and returns its index. Runs of workspaces over their share come first, then
    /// those preempted least often, then those that lose the least work. Returns `None` if all of them have
    /// been preempted as often as allowed.
    pub fn victim(&self, candidates: impl Iterator<Item = VictimCandidate>) -> Option<usize> {
        let eligible = candidates
            .enumerate()
            .filter(|(_, c)| c.preemptions < self.max_preemptions);
        let chosen = eligible.min_by_key(|(_, c)| (!c.over_share, c.preemptions, c.lost_tokens));
        chosen.map(|(index, _)| index)
    }
}

// The memory available to `running` requests if none of them is to be preempted.
fn usable(capacity: u64, running: usize) -> f64 {
    capacity.saturating_sub(STEPS_AHEAD * running as u64) as f64
}

/// The expected peak of memory use. Generations are visited from the last to end to the first. Just before a
/// generation ends, it and all that end later hold memory, and all of these have grown by its length.
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
