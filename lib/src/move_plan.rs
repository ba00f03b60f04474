//! Plans the migration of runs off a draining engine: which run moves next, and to which engine.
//!
//! Load pattern: an engine announces its shutdown 1.5 to 2 s ahead, with five to nine long runs on it. Each copy takes
//! about a fifth of a second on the engine's single link, and a run is paused while the last part of it is copied. If
//! all copies start at once, every run stays paused until the others are copied too, and its caller sees a gap of up to
//! a second. If every engine sends its runs to the least loaded target, the runs collide there and do not fit.
//!
//! So runs move one at a time, the smallest first, to get as many as possible off the engine before it shuts down. Runs
//! that will finish soon stay. Targets are chosen by the memory that is left after the runs already moved there.

use std::net::SocketAddr;

use crate::dialect::EngineRun;
use crate::ids::Name;

/// Free tokens that a target needs beyond the size of the run: the growth of a run in one second.
const GROWTH_RESERVE: u64 = 128;

/// A run that was expected to be short is treated as long once it has produced more events than this.
const MAX_SHORT_EVENTS: u64 = 12;

/// Fraction of a target's memory that moved runs may fill. The rest is left for the growth of the runs already there.
const MAX_FILL: f64 = 0.97;

/// An engine that runs can be moved to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Tokens of memory in use: as last reported, plus runs moved there since.
    pub used: u64,
    /// Total tokens of memory.
    pub capacity: u64,
    /// Running and waiting requests: as last reported, plus runs moved there since.
    pub requests: u32,
    /// Whether it is in the availability zone of the draining engine. A copy to another zone of the region takes
    /// twice as long.
    pub same_zone: bool,
    /// Whether it is cold: a recently started engine tolerates few arrivals, and others send requests there too.
    pub cold: bool,
    /// Whether it announces a request limit. A run that is moved there counts towards the limit.
    pub limited: bool,
    /// Whether it is assigned to this engine among those that drain at the same time. See [`is_assigned_to`].
    pub assigned: bool,
}

/// Whether the target with this index is assigned to `engine`, if several engines drain at the same time: targets are
/// assigned round-robin. Copies from two engines to one target would wait for each other on its link, together with
/// the run that is paused for its last copy step. `leaving` and the targets are sorted by address at every engine, so
/// that all engines agree.
pub fn is_assigned_to(engine: SocketAddr, leaving: &[SocketAddr], index: usize) -> bool {
    let mut all: Vec<SocketAddr> = leaving.iter().copied().chain([engine]).collect();
    all.sort();
    all.dedup();
    all[index % all.len()] == engine
}

/// Whether a rank marks a run that is expected to be short. See [`rank`].
pub fn is_short(rank: u8) -> bool {
    rank % 2 == 1
}

/// Returns the rank of a request at an engine, from 0 (most urgent) to 9: by priority, with long runs before short ones
/// of the same priority. When an engine runs out of memory it preempts the least urgent runs, and a short run loses
/// less work.
pub fn rank(priority: u32, short: bool) -> u8 {
    let rank = priority.min(4) as u8 * 2;
    rank + u8::from(short)
}

/// Chooses the run to move next among those not in `done`; `None` if all remaining runs should stay.
pub fn next_run<'a>(runs: &'a [EngineRun], done: &[Name]) -> Option<&'a EngineRun> {
    let remaining = runs.iter().filter(|run| !done.contains(&run.id));
    let long = remaining.filter(|run| !is_short(run.rank) || run.events > MAX_SHORT_EVENTS);
    long.min_by_key(|run| (run.tokens, run.id.clone()))
}

/// Chooses the target for a run of `tokens` tokens, among those not in `refused` that have enough memory.
///
/// Prefers targets that are neither cold nor limited, then those assigned to this engine, then those in the same zone,
/// then the one with the most free memory.
pub fn choose_target<'a>(
    tokens: u64,
    targets: &'a [Target],
    refused: &[SocketAddr],
) -> Option<&'a Target> {
    let accepting = targets.iter().filter(|t| !refused.contains(&t.address));
    let fitting = accepting.filter(|target| {
        let usable = (target.capacity as f64 * MAX_FILL) as u64;
        target.used + tokens + GROWTH_RESERVE <= usable
    });
    fitting.max_by_key(|target| {
        let free = target.capacity - target.used;
        (
            !target.cold && !target.limited,
            target.assigned,
            target.same_zone,
            free,
            std::cmp::Reverse(target.requests),
        )
    })
}
