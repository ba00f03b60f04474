//! Migration of running generations between engines for other reasons than an engine's departure.
//!
//! Load pattern: engines of uneven speed prefill long prompts between the tokens of the runs that they generate. A run
//! at a slow engine then exceeds the longest gap between two events that its route allows, although another engine
//! would have kept it.

mod decayed_gaps;
pub mod event_gaps;
pub mod gap_tracker;
pub mod handoff;
pub mod move_bounds;
pub mod move_target;
pub mod pause_risk;
pub mod precopy;
pub mod prefill_group;
mod prefill_use;
pub mod rescue;
pub mod run_risk;
pub mod run_stops;
