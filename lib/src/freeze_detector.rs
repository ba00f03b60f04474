//! Detects that the process was frozen, and tells when it may trust its state again.
//!
//! Fault pattern: a host freezes for seconds and resumes. The state of its processes dates from
//! before the freeze: since then keys have been revoked, servers have left and other processes have
//! taken over. For the process no time has elapsed, and the first thing it sees are the requests
//! that arrived meanwhile. If it served them from its old state, it would admit a caller whose key
//! was revoked seconds ago, long after all other hosts refuse it.
//!
//! So the process reports at regular intervals that it runs. After a longer gap it was frozen, and
//! its state is unconfirmed until another process sends current state. Datagrams that arrived
//! during the freeze still wait in its sockets and confirm nothing: they are read within a moment
//! after the process resumes, and only later ones count. If no other process answers, the process
//! trusts its state again after a timeout, as it does without a freeze.

use std::time::Duration;

use crate::time::Time;

/// A gap of this length between two heartbeats counts as a freeze: three heartbeat intervals.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(1_200);

/// For this long after a freeze, received messages may have been buffered in sockets during it.
const STALE_MESSAGE_TIME: Duration = Duration::from_millis(60);

/// The process trusts its state again after this time even if no other process confirmed it. Other
/// processes send several messages a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Detects freezes of this process from gaps between heartbeats.
#[derive(Debug)]
pub struct FreezeDetector {
    // The last heartbeat.
    last_heartbeat: Time,
    // When the process resumed; none once its state is confirmed.
    resumed_at: Option<Time>,
}

impl FreezeDetector {
    /// Creates a detector for a process that starts now and has no state that could be outdated.
    pub fn new(now: Time) -> Self {
        FreezeDetector {
            last_heartbeat: now,
            resumed_at: None,
        }
    }

    /// Records a heartbeat. Returns the length of the freeze if there was one since the last
    /// heartbeat.
    pub fn heartbeat(&mut self, now: Time) -> Option<Duration> {
        let elapsed = now.since(self.last_heartbeat);
        self.last_heartbeat = now;
        if elapsed < FREEZE_THRESHOLD {
            return None;
        }
        self.resumed_at = Some(now);
        Some(elapsed)
    }

    /// Another process sent current state, and this process has applied it.
    pub fn state_received(&mut self, now: Time) {
        let fresh = self
            .resumed_at
            .is_some_and(|resumed_at| now.since(resumed_at) >= STALE_MESSAGE_TIME);
        if fresh {
            self.resumed_at = None;
        }
    }

    /// Whether the process may act on its state.
    pub fn is_state_confirmed(&self, now: Time) -> bool {
        self.resumed_at
            .is_none_or(|resumed_at| now.since(resumed_at) >= CONFIRMATION_TIMEOUT)
    }
}
