//! Chooses the engine that a run moves to while its engine stays.
//!
//! Load pattern: reports of the engines are up to half a second old, and many relays choose by the same reports. If all
//! took the best engine, their copies would meet there and not fit, so each takes one of the best few at random.

use crate::copy_type;
use crate::migration::handoff::MoveReason;
use crate::migration::run_risk::EngineState;
use crate::migration::run_risk::MAX_RISK;
use crate::migration::run_risk::PrefillRole;
use crate::migration::run_risk::RunState;
use crate::routing::ServerKey;

/// The fraction of a target's memory that may be filled after the move. The rest is what the runs of a departing engine
/// need, see `HEADROOM_FRACTION` of the placement.
const MAX_TARGET_FILL: f64 = 0.85;

/// A destination must have at most this fraction of the risk at the run's engine.
const MAX_RISK_RATIO: f64 = 0.5;

/// Differences in risk below this are noise of the estimates, and free memory decides.
const RISK_STEP: f64 = 0.02;

/// The best targets, one of which is taken at random.
const SPREAD: usize = 3;

/// An engine that a run can be moved to. It is in the run's zone, in a permitted region and takes work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveTarget {
    /// The engine.
    pub key: ServerKey,
    /// Its state.
    pub engine: EngineState,
    /// Tokens of memory that are expected to be in use at the peak.
    pub used: u64,
    /// Total tokens of memory.
    pub capacity: u64,
    /// Whether all of its slots are in use.
    pub is_full: bool,
    /// Whether it is cold or announces a request limit: taken only if there is no other.
    pub is_spare: bool,
}

copy_type! {
    /// Why no target was chosen.
    pub enum NoTarget {
        /// No engine has the memory and a slot.
        NoRoom,
        /// No engine with room has clearly less risk.
        NotBetter,
    }
}

impl NoTarget {
    /// The name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            NoTarget::NoRoom => "no_room",
            NoTarget::NotBetter => "not_better",
        }
    }
}

impl MoveTarget {
    fn has_room(&self, run: &RunState) -> bool {
        let usable = self.capacity as f64 * MAX_TARGET_FILL;
        !self.is_full && (self.used + run.tokens) as f64 <= usable
    }

    /// The risk of the run here. An engine without observed gaps may be as risky as is tolerated.
    fn risk_of(&self, run: &RunState) -> f64 {
        self.engine.risk_of(run).unwrap_or(MAX_RISK)
    }

    fn is_better(&self, run: &RunState, reason: MoveReason, risk: f64) -> bool {
        let own = self.risk_of(run);
        match reason.needs_less_risk() {
            true => own <= risk * MAX_RISK_RATIO,
            false => own <= MAX_RISK.max(risk) && self.engine.role != PrefillRole::Member,
        }
    }
}

/// Chooses the target of a run that has the given risk at its engine. Prefers engines that are neither cold nor
/// limited, then those outside the prefill group, then the least risk, then the most free memory.
pub fn choose(
    run: &RunState,
    reason: MoveReason,
    risk: f64,
    targets: &[MoveTarget],
    rng: &mut fastrand::Rng,
) -> Result<MoveTarget, NoTarget> {
    let roomy: Vec<&MoveTarget> = targets.iter().filter(|t| t.has_room(run)).collect();
    if roomy.is_empty() {
        return Err(NoTarget::NoRoom);
    }
    let better = roomy.into_iter().filter(|t| t.is_better(run, reason, risk));
    let mut ranked: Vec<(TargetRank, &MoveTarget)> = better.map(|t| (rank(run, t), t)).collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    // Only targets of the same class as the best one are among the best few.
    let Some((TargetRank { class: best, .. }, _)) = ranked.first().copied() else {
        return Err(NoTarget::NotBetter);
    };
    let alike = ranked.iter().filter(|(rank, _)| rank.class == best);
    let few: Vec<MoveTarget> = alike.take(SPREAD).map(|(_, target)| **target).collect();
    rng.choice(few).ok_or(NoTarget::NotBetter)
}

copy_type! {
    /// The order of targets; the least is the best.
    struct TargetRank {
        // Whether it is spare, and whether it is in the prefill group.
        class: (bool, bool),
        risk_steps: u32,
        used: u64,
    }
}

fn rank(run: &RunState, target: &MoveTarget) -> TargetRank {
    let used_fraction = target.used as f64 / target.capacity.max(1) as f64;
    TargetRank {
        class: (target.is_spare, target.engine.role == PrefillRole::Member),
        risk_steps: (target.risk_of(run) / RISK_STEP) as u32,
        used: (used_fraction * 1_000.0) as u64,
    }
}
