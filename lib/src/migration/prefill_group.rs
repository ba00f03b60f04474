//! The engines of one service in one availability zone that prefill new prompts, while the others mainly decode.
//!
//! Load pattern: long generations and short checks arrive at the same engines, and every prompt slows down all runs
//! beside it. On engines that generate slowly, a run then exceeds the longest gap between two events that its route
//! allows. If the prompts go to a few engines, and among these to the ones whose runs tolerate it, the runs at the
//! others are in time.
//!
//! Each relay derives the group from the engines' reports. The order of the engines is the same at all relays, so
//! relays disagree only for as long as their reports differ. The group is the shortest prefix of the order that keeps
//! its utilization low enough for prompts to start in time. It grows at once, and shrinks after some seconds of lower
//! demand. There is no group where no run is known to suffer, or where the demand takes all engines.

use std::collections::HashMap;
use std::time::Duration;

use crate::copy_type;
use crate::migration::event_gaps::EventGaps;
use crate::migration::run_risk;
use crate::migration::run_risk::MAX_RISK;
use crate::routing::ServerKey;
use crate::time::Time;

/// How often the groups are derived: a few times between two reports that are 0.5 s apart.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// The utilization of the group's prefill up to which prompts start well within their objective. With more engines in the
/// group, the others lack the memory for all long runs.
const MAX_UTILIZATION: f64 = 0.8;

/// The fraction of the tightest objective within which the group must prefill the prompts that wait.
const BACKLOG_SHARE: f64 = 0.5;

/// How long the demand must be lower before the group shrinks: bursts of some seconds recur.
const SHRINK_DELAY: Duration = Duration::from_secs(5);

/// How long the judgement of an engine is kept after its gaps have become unknown: an engine that mainly decodes has
/// none beside prompts any more.
const VERDICT_TTL: Duration = Duration::from_secs(60);

/// An engine that suffered counts as tolerant only below this fraction of the bound, so that it does not alternate.
const TOLERANT_FRACTION: f64 = 0.5;

/// The fraction of the engines whose reports must be known to derive a group.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// What the callers of a service need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapObjective {
    /// The longest gap between two events that a route of the service allows.
    pub gap_limit: Duration,
    /// The tightest objective for the first event among the routes of the service.
    pub first_event: Duration,
}

/// An engine that may be in the group.
#[derive(Clone, Copy, Debug)]
pub struct GroupEngine {
    /// The engine.
    pub key: ServerKey,
    /// A hash of its address, the same at all relays.
    pub hash: u64,
    /// The observed gaps; `None` without a recent report.
    pub gaps: Option<EventGaps>,
    /// The fraction of the last seconds in which it had a prompt to prefill.
    pub prefill_use: f64,
    /// Prompt tokens that it prefills per millisecond.
    pub prefill_rate: f64,
    /// Prompt tokens there whose prefill is outstanding.
    pub prefill_tokens: f64,
}

copy_type! {
    /// How runs at an engine fare beside prompts. Ordered by how suitable the engine is for the group.
    enum Verdict {
        Tolerates,
        Unknown,
        Suffers,
    }
}

/// The group of one service in one availability zone, and what it was derived from.
#[derive(Debug, Default)]
pub struct PrefillGroup {
    verdicts: HashMap<ServerKey, (Verdict, Time)>,
    size: usize,
    // Since when fewer engines suffice, and the most that were needed since then.
    lower_since: Option<Time>,
    needed_since: usize,
    members: Vec<ServerKey>,
}

impl PrefillGroup {
    /// Creates an empty group.
    pub fn new() -> Self {
        PrefillGroup::default()
    }

    /// The members; empty if there is no group.
    pub fn members(&self) -> &[ServerKey] {
        &self.members
    }

    /// Derives the group anew from the `engines` that take work. A typical long run generates `typical_events`.
    pub fn update(
        &mut self,
        now: Time,
        engines: &[GroupEngine],
        objective: &GapObjective,
        typical_events: u32,
    ) {
        self.members.clear();
        self.judge(now, engines, objective.gap_limit, typical_events);
        let known = engines.iter().filter(|engine| engine.gaps.is_some());
        let is_known = known.count() as f64 >= engines.len() as f64 * MIN_KNOWN_SHARE;
        let mut order: Vec<(Verdict, u64, &GroupEngine)> = engines
            .iter()
            .map(|engine| (self.verdict(engine.key), engine.hash, engine))
            .collect();
        order.sort_unstable_by_key(|(verdict, hash, _)| (*verdict, *hash));
        let someone_suffers = order
            .last()
            .is_some_and(|(verdict, ..)| *verdict == Verdict::Suffers);
        if !is_known || !someone_suffers {
            self.size = 0;
            self.lower_since = None;
            return;
        }
        let needed = needed_size(order.iter().map(|(.., engine)| *engine), objective);
        self.resize(now, needed);
        // A group of all engines is no preference.
        if self.size < order.len() {
            let members = order.iter().take(self.size);
            self.members.extend(members.map(|(.., engine)| engine.key));
        }
    }

    fn judge(&mut self, now: Time, engines: &[GroupEngine], limit: Duration, events: u32) {
        for engine in engines {
            let before = self.verdict(engine.key);
            let verdict = engine
                .gaps
                .and_then(|gaps| judge(gaps, limit, events, before));
            if let Some(verdict) = verdict {
                self.verdicts.insert(engine.key, (verdict, now));
            }
        }
        self.verdicts
            .retain(|_, (_, judged_at)| now.since(*judged_at) < VERDICT_TTL);
    }

    fn verdict(&self, key: ServerKey) -> Verdict {
        let judged = self.verdicts.get(&key);
        judged.map_or(Verdict::Unknown, |(verdict, _)| *verdict)
    }

    /// Grows at once, and shrinks to the most that was needed in the last `SHRINK_DELAY`.
    fn resize(&mut self, now: Time, needed: usize) {
        if needed >= self.size {
            self.size = needed;
            self.lower_since = None;
            return;
        }
        let since = match self.lower_since {
            Some(since) => since,
            None => {
                self.needed_since = 0;
                *self.lower_since.insert(now)
            }
        };
        self.needed_since = self.needed_since.max(needed);
        if now.since(since) >= SHRINK_DELAY {
            self.size = self.needed_since;
            self.lower_since = None;
        }
    }
}

/// Judges an engine by a typical run beside prompts for as much of the time as the group allows. `None` if its gaps
/// beside prompts are unknown.
fn judge(gaps: EventGaps, limit: Duration, events: u32, before: Verdict) -> Option<Verdict> {
    if gaps.beside_prefill.mean_ms == 0 || gaps.beside_prefill.p99_ms == 0 {
        return None;
    }
    let risk = run_risk::run_risk(gaps, MAX_UTILIZATION, limit, events)?;
    let bound = match before {
        Verdict::Suffers => MAX_RISK * TOLERANT_FRACTION,
        Verdict::Tolerates | Verdict::Unknown => MAX_RISK,
    };
    Some(match risk > bound {
        true => Verdict::Suffers,
        false => Verdict::Tolerates,
    })
}

/// The number of engines, in this order, that prefill the zone's prompts in time; at least one.
fn needed_size<'a>(
    order: impl Iterator<Item = &'a GroupEngine> + Clone,
    objective: &GapObjective,
) -> usize {
    let steady: f64 = order.clone().map(|e| e.prefill_use * e.prefill_rate).sum();
    let backlog: f64 = order.clone().map(|e| e.prefill_tokens).sum();
    let backlog_ms = objective.first_event.as_secs_f64() * 1_000.0 * BACKLOG_SHARE;
    let rate = (steady / MAX_UTILIZATION).max(backlog / backlog_ms.max(1.0));
    let mut total = 0.0;
    let enough = order.clone().take_while(|engine| {
        let is_missing = total < rate;
        total += engine.prefill_rate;
        is_missing
    });
    enough.count().max(1)
}
