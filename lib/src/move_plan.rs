//! Which run leaves an engine next that is about to go, and where to.
//!
//! Load pattern: an engine says 1.5 to 2 s ahead that it goes, with five to nine long runs on it. Each
//! copy takes about a fifth of a second on the engine's one link, and a run stands still while the last
//! part of it waits there. Started all at once, every run stands still until the others are through,
//! and its caller sees a pause of up to a second. Sent to the emptiest engine by all, the runs meet
//! there and find no room.
//!
//! So one run goes at a time, first the one with the least to copy: as many runs as possible are off
//! before the engine is. Runs that will end by themselves stay. Targets are taken by the room that is
//! left after what was sent there already.

use std::net::SocketAddr;

use crate::dialect::EngineRun;
use crate::ids::Name;

/// Tokens that a target must have free beyond the run's own, for the run to grow in: a second's.
const GROWTH: u64 = 128;

/// A short run that has made more events than this is no short one after all.
const SHORT_EVENTS: u64 = 12;

/// The part of a target's memory that moved runs may fill: what runs there grows too.
const FILL: f64 = 0.97;

/// An engine to which runs can be moved.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Tokens of its memory that are taken, as last reported, with those sent there since.
    pub used: u64,
    /// Tokens of its memory in all.
    pub capacity: u64,
    /// Requests that run or wait there, with those sent there since.
    pub busy: u32,
    /// Whether it stands in the availability zone of the engine that leaves: to another zone of the region
    /// a copy takes twice as long.
    pub near: bool,
    /// Whether it has started lately: a cold engine tolerates few arrivals, and others send there too.
    pub cold: bool,
    /// Whether it names a limit of requests: a run that goes on there is one of them.
    pub limited: bool,
    /// Whether it falls to this engine among those that leave together. See [`falls_to`].
    pub own: bool,
}

/// Whether the target falls to `engine`, where several engines leave together: each target to one of
/// them, in turn. Copies of two engines to one target wait for each other on its link, and a run that
/// has stopped waits with them. All engines are in order of their addresses on both sides.
pub fn falls_to(engine: SocketAddr, leaving: &[SocketAddr], place: usize) -> bool {
    let mut all: Vec<SocketAddr> = leaving.iter().copied().chain([engine]).collect();
    all.sort();
    all.dedup();
    all[place % all.len()] == engine
}

/// Whether a rank says that the run is expected to be short. See [`rank`].
pub fn is_short(rank: u8) -> bool {
    rank % 2 == 1
}

/// The rank of a request at an engine, 0 to 9: by its priority, and within one long runs before short
/// ones. When memory runs out, engines displace the least urgent, and a short run has less to lose.
pub fn rank(priority: u32, short: bool) -> u8 {
    let rank = priority.min(4) as u8 * 2;
    rank + u8::from(short)
}

/// The run to move next, among those not in `done`; `None` where all others stay.
pub fn next_run<'a>(runs: &'a [EngineRun], done: &[Name]) -> Option<&'a EngineRun> {
    let open = runs.iter().filter(|run| !done.contains(&run.id));
    let worth = open.filter(|run| !is_short(run.rank) || run.events > SHORT_EVENTS);
    worth.min_by_key(|run| (run.tokens, run.id.clone()))
}

/// The target with the most room for a run, among those not in `refused`; first those that are neither cold nor at a
/// limit, own ones among them, and near ones among these.
pub fn target_for<'a>(
    tokens: u64,
    targets: &'a [Target],
    refused: &[SocketAddr],
) -> Option<&'a Target> {
    let open = targets.iter().filter(|t| !refused.contains(&t.address));
    let fits = open.filter(|target| {
        let most = (target.capacity as f64 * FILL) as u64;
        target.used + tokens + GROWTH <= most
    });
    fits.max_by_key(|target| {
        let room = target.capacity - target.used;
        (
            !target.cold && !target.limited,
            target.own,
            target.near,
            room,
            std::cmp::Reverse(target.busy),
        )
    })
}
