//! Bounds the moves of one run whose engine stays: their number, the time between them, and the backoff after failures.

use std::time::Duration;

use crate::time::Time;

/// Moves of one run. Each costs its caller a gap of about 25 ms, and two engines the bandwidth for its memory.
const MAX_MOVES: u32 = 2;

/// Failed moves after which a run stays where it is.
const MAX_FAILURES: u32 = 4;

/// Time between two moves of a run: the estimates of a new engine need some seconds to settle.
const MOVE_INTERVAL: Duration = Duration::from_secs(3);

/// Time until a run is considered again while it needs no move, or none is possible: the interval of the reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time until a run is considered again that waits for other moves off its engine: the copy of a prompt takes twice as
/// long.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Backoff after a failed move, doubled for each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// The moves of one run.
#[derive(Clone, Debug, Default)]
pub struct MoveBounds {
    moves: u32,
    failures: u32,
    next_check: Time,
}

impl MoveBounds {
    /// Creates the bounds of a run that is considered at once.
    pub fn new() -> Self {
        MoveBounds::default()
    }

    /// When the run is considered next; `None` if it is not moved any more.
    pub fn next_check(&self) -> Option<Time> {
        let may_move = self.moves < MAX_MOVES && self.failures < MAX_FAILURES;
        may_move.then_some(self.next_check)
    }

    /// Whether the run may be moved now.
    pub fn may_move(&self, now: Time) -> bool {
        self.next_check().is_some_and(|at| at <= now)
    }

    /// Records that the run was considered and stays for now.
    pub fn record_check(&mut self, now: Time) {
        self.next_check = now + CHECK_INTERVAL;
    }

    /// Records that too many moves off its engine are in progress.
    pub fn record_busy(&mut self, now: Time) {
        self.next_check = now + BUSY_INTERVAL;
    }

    /// Records that the run was moved.
    pub fn record_move(&mut self, now: Time) {
        self.moves += 1;
        self.next_check = now + MOVE_INTERVAL;
    }

    /// Records that a move failed.
    pub fn record_failure(&mut self, now: Time) {
        self.next_check = now + INITIAL_BACKOFF * 2u32.pow(self.failures.min(MAX_FAILURES));
        self.failures += 1;
    }
}
