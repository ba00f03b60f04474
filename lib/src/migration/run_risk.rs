//! The risk that a run exceeds the longest gap that its route allows, at an engine that prefills prompts for a part of
//! the time.

use std::time::Duration;

use crate::copy_type;
use crate::migration::event_gaps::EventGaps;
use crate::migration::event_gaps::GapEstimate;
use crate::migration::pause_risk::pause_risk;

/// The risk above which a run should be elsewhere: one run in ten late is the most that a deployment accepts.
pub const MAX_RISK: f64 = 0.1;

/// The fraction of the time in which an engine that prefills new prompts is assumed to do so at least, even if it has
/// just begun to.
pub const MIN_MEMBER_USE: f64 = 0.3;

/// A run, as far as the decision to move it depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunState {
    /// Events that it has generated.
    pub events: u64,
    /// Events that it is expected to generate yet.
    pub events_left: u32,
    /// How long that is expected to take.
    pub time_left: Duration,
    /// The longest gap between two events that its route allows; zero if the route declares none.
    pub gap_limit: Duration,
    /// The tokens of memory that it is expected to hold at its end.
    pub tokens: u64,
}

/// An engine, as far as the decision to move a run depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineState {
    /// The observed gaps; `None` without a recent report.
    pub gaps: Option<EventGaps>,
    /// The age of the report.
    pub report_age: Duration,
    /// The fraction of the last seconds in which it had a prompt to prefill.
    pub prefill_use: f64,
    /// Its part in its availability zone's prefill.
    pub role: PrefillRole,
    /// The expected peak fill level of its memory, as a fraction.
    pub fill: f64,
}

copy_type! {
    /// An engine's part in the prefill of its availability zone.
    #[derive(Default)]
    pub enum PrefillRole {
        /// The zone has no prefill group.
        #[default]
        Any,
        /// It is in the group that prefills new prompts.
        Member,
        /// It is outside the group and mainly decodes.
        Decoder,
    }
}

impl EngineState {
    /// The probability that the run exceeds its gap limit here. `None` if the engine's gaps are unknown.
    pub fn risk_of(&self, run: &RunState) -> Option<f64> {
        let prefill_use = match self.role {
            PrefillRole::Member => self.prefill_use.max(MIN_MEMBER_USE),
            PrefillRole::Any | PrefillRole::Decoder => self.prefill_use,
        };
        run_risk(self.gaps?, prefill_use, run.gap_limit, run.events_left)
    }
}

/// The probability that one of `events_left` gaps exceeds the limit at an engine that prefills prompts for this
/// fraction of the time. `None` if both estimates are unknown; if one is, the other stands in for it.
pub fn run_risk(
    gaps: EventGaps,
    prefill_use: f64,
    limit: Duration,
    events_left: u32,
) -> Option<f64> {
    let known = |e: GapEstimate| (e.mean_ms > 0 && e.p99_ms > 0).then_some(e);
    let alone = known(gaps.alone).or(known(gaps.beside_prefill))?;
    let beside = known(gaps.beside_prefill).unwrap_or(alone);
    let events_beside = (f64::from(events_left) * prefill_use.clamp(0.0, 1.0)).ceil() as u32;
    let events_alone = events_left.saturating_sub(events_beside);
    let in_time_alone = 1.0 - pause_risk(alone, limit, events_alone);
    let in_time_beside = 1.0 - pause_risk(beside, limit, events_beside);
    Some(1.0 - in_time_alone * in_time_beside)
}
