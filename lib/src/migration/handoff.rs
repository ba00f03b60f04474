//! Decides whether a run moves to an engine that mainly decodes after its prompt was prefilled.
//!
//! Load pattern: long prompts arrive at the engines of the prefill group one after the other. A run that stays there
//! generates beside all of them. The copy takes about 55 microseconds a token, and the run goes on meanwhile, so it
//! starts right after the first event.

use std::time::Duration;

use crate::copy_type;
use crate::migration::run_risk::EngineState;
use crate::migration::run_risk::MAX_RISK;
use crate::migration::run_risk::PrefillRole;
use crate::migration::run_risk::RunState;

/// A run that ends sooner finishes where it is: the copy of a long prompt takes about 0.2 s.
pub const MIN_TIME_LEFT: Duration = Duration::from_secs(1);

/// A run with fewer events left finishes where it is: it takes no more than a second.
pub const MIN_EVENTS_LEFT: u32 = 16;

/// The fill level of a group member's memory above which its runs make room for prompts. Above it, placement already
/// prefers other engines.
pub const MAX_MEMBER_FILL: f64 = 0.7;

copy_type! {
    /// Why a run is moved although its engine stays.
    pub enum MoveReason {
        /// Handoff: it would exceed its gap limit beside the prompts that its engine prefills.
        HandoffRisk,
        /// Handoff: the group needs the memory for prompts.
        HandoffRoom,
        /// Rescue: it would exceed its gap limit at its engine.
        RescueRisk,
        /// Rescue: its engine lacks the memory for the expected final size of its runs.
        RescueMemory,
    }
}

impl MoveReason {
    /// The name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            MoveReason::HandoffRisk => "handoff_risk",
            MoveReason::HandoffRoom => "handoff_room",
            MoveReason::RescueRisk => "rescue_risk",
            MoveReason::RescueMemory => "rescue_memory",
        }
    }

    /// Whether the destination must have at most half the risk. Otherwise its risk only has to be below the bound.
    pub fn needs_less_risk(self) -> bool {
        matches!(self, MoveReason::HandoffRisk | MoveReason::RescueRisk)
    }
}

/// Why the run should leave a member of the prefill group; `None` if it stays.
pub fn reason(run: &RunState, engine: &EngineState) -> Option<MoveReason> {
    if engine.role != PrefillRole::Member || !is_worth_moving(run) {
        return None;
    }
    match engine.risk_of(run)? {
        risk if risk > MAX_RISK => Some(MoveReason::HandoffRisk),
        _ if engine.fill > MAX_MEMBER_FILL => Some(MoveReason::HandoffRoom),
        _ => None,
    }
}

/// Whether the run has begun, declares a gap limit and is expected to last long enough.
pub(crate) fn is_worth_moving(run: &RunState) -> bool {
    run.events > 0
        && !run.gap_limit.is_zero()
        && run.events_left >= MIN_EVENTS_LEFT
        && run.time_left >= MIN_TIME_LEFT
}
