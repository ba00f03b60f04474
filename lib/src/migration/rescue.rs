//! Decides whether a run moves off an engine that would make it late or cannot hold it.
//!
//! Load pattern: an engine's host becomes slower for seconds, or more runs grow long at an engine than it can hold.
//! Without a move, all of its runs exceed their gap limit, or the engine preempts the least urgent of them.

use crate::migration::handoff;
use crate::migration::handoff::MoveReason;
use crate::migration::run_risk::EngineState;
use crate::migration::run_risk::MAX_RISK;
use crate::migration::run_risk::RunState;

/// The fill level above which an engine cannot hold its runs to their end.
const FULL: f64 = 1.0;

/// Why the run should leave its engine; `None` if it stays.
///
/// All runs of an engine that lacks memory see the same shortage, at relays that do not know of each other. Each moves
/// with a probability of the missing fraction, given a `draw` from 0 to 1, so that the expected number of moves is what
/// the shortage calls for.
pub fn reason(run: &RunState, engine: &EngineState, draw: f64) -> Option<MoveReason> {
    if !handoff::is_worth_moving(run) {
        return None;
    }
    let risk = engine.risk_of(run)?;
    if risk > MAX_RISK {
        return Some(MoveReason::RescueRisk);
    }
    let missing = (engine.fill - FULL) / engine.fill.max(FULL);
    (draw < missing).then_some(MoveReason::RescueMemory)
}
