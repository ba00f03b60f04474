//! What crashes prove against one request.

use std::time::Duration;

use crate::crash_mark::CrashId;
use crate::crash_mark::CrashMark;
use crate::crash_mark::Exposure;
use crate::crash_mark::MARK_LIFETIME;
use crate::crash_mark::News;
use crate::crash_mark::Verdict;
use crate::fingerprint::Fingerprint;
use crate::time::Time;

/// Crashes within this time count as one moment.
const MOMENT: Duration = Duration::from_secs(1);

/// Points of evidence from which a request is refused.
pub(crate) const REFUSED_FROM: u32 = 3;

/// A mark as stored by one process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoredMark {
    pub(crate) crash: CrashId,
    pub(crate) exposure: Exposure,
    pub(crate) run: u32,
    pub(crate) cleared: bool,
    // The time of the crash on this process's clock.
    pub(crate) crashed_at: Time,
    // The revision of `Suspects` at which this mark last changed.
    pub(crate) revision: u64,
}

impl StoredMark {
    /// The kind of news that it is to others.
    pub(crate) fn news(&self, fingerprint: Fingerprint) -> News {
        match self.exposure {
            Exposure::Trial | Exposure::Alone if !self.cleared => News::Proof,
            _ if fingerprint.is_prompt_part() => News::Part,
            _ if self.cleared => News::Clearance,
            _ => News::Suspicion,
        }
    }

    /// Whether it counts against the request.
    pub(crate) fn counts(&self, now: Time) -> bool {
        !self.cleared && now.since(self.crashed_at) < MARK_LIFETIME
    }

    /// Whether it is of a run on trial that was tried for something else. It tells what else may be the cause, and makes
    /// no suspect.
    pub(crate) fn is_beside_trial(&self) -> bool {
        self.exposure == Exposure::Crowd && self.run != 0
    }

    /// The mark as other processes are told of it.
    pub(crate) fn mark(&self, now: Time, fingerprint: Fingerprint) -> CrashMark {
        let age = now.since(self.crashed_at).as_micros();
        CrashMark {
            fingerprint,
            crash: self.crash,
            exposure: self.exposure,
            run: self.run,
            cleared: self.cleared,
            age: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }
}

/// How requests like it may be run, by this evidence.
pub(crate) fn verdict(evidence: &[&StoredMark]) -> Verdict {
    match points(evidence) {
        0 => Verdict::Allow,
        points if points < REFUSED_FROM => Verdict::Isolate,
        _ => Verdict::Refuse,
    }
}

/// Whether the evidence refuses a request by crashes that no bystander has twice: on trial, or alone at the server.
pub(crate) fn is_proof(evidence: &[&StoredMark]) -> bool {
    attributed_points(evidence) >= 2 && points(evidence) >= REFUSED_FROM
}

/// The evidence by crashes that cannot be due to a request beside it.
pub(crate) fn attributed_points(evidence: &[&StoredMark]) -> u32 {
    let points = evidence.iter().map(|mark| match mark.exposure {
        Exposure::Crowd | Exposure::Lost => 0,
        Exposure::Trial => 1,
        Exposure::Alone => 2,
    });
    points.sum()
}

/// Adds up the evidence. Crashes beside other requests at the same moment count as one, since a request that many callers
/// send is in flight at all servers of its service. Lost answers count once, however many: no crash is shown.
pub(crate) fn points(evidence: &[&StoredMark]) -> u32 {
    let crowds = evidence.iter().filter(|m| m.exposure == Exposure::Crowd);
    let crowds = moments(crowds.map(|mark| mark.crashed_at).collect());
    let was_lost = evidence.iter().any(|m| m.exposure == Exposure::Lost);
    attributed_points(evidence) + crowds + u32::from(was_lost)
}

/// The number of moments in which these crashes occurred.
fn moments(mut crashes: Vec<Time>) -> u32 {
    crashes.sort();
    let mut count = 0;
    let mut begun = None;
    for at in crashes {
        if begun.is_none_or(|begun| at.since(begun) > MOMENT) {
            begun = Some(at);
            count += 1;
        }
    }
    count
}
