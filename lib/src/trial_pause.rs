//! How long a suspect is not tried again after a server crashed under it on trial.
//!
//! Load pattern: several poison requests come at the same moment as many sound ones, some of which are suspects. A relay
//! keeps no other request away from the server of a trial, so that a sound suspect on trial is in flight at the crash
//! of a poison request that runs beside it. Most requests under which a server crashes on trial are poison and wait;
//! where something else is as likely the cause, the crash says nothing of the suspect on trial, and it does not wait.

use std::collections::HashSet;
use std::time::Duration;

use crate::crash_evidence::StoredMark;
use crate::crash_evidence::points;
use crate::crash_mark::CrashId;
use crate::crash_mark::Exposure;
use crate::fingerprint::Fingerprint;
use crate::suspects::Suspects;
use crate::time::Time;

/// Time after a crash on trial until the next trial of the same request. Most such requests are poison, and each further
/// trial of one takes a server with all that runs there.
pub const TRIAL_BACKOFF: Duration = Duration::from_secs(60);

/// Points of evidence from which a request that ran beside a trial is as likely the cause of the crash: a suspect has
/// two after its first crash on trial. One moment's crashes give a bystander that many callers send a single point.
const RIVAL_POINTS: u32 = 2;

impl Suspects {
    /// Returns how long the request must not be tried again, if a server has just crashed under it on trial.
    pub fn paused_for(&self, now: Time, fingerprint: Fingerprint) -> Option<Duration> {
        let counted = self.counted(now, fingerprint).into_iter();
        let trials = counted.filter(|m| m.exposure == Exposure::Trial);
        let latest = trials.max_by_key(|mark| mark.crashed_at)?;
        self.pause_after(now, latest, &[fingerprint])
    }

    /// How long what crashed a server on trial must not be tried again. No time if another suspect was on trial there,
    /// another request that ran there is as likely the cause, or something else is proved to be the cause.
    pub(crate) fn pause_after(
        &self,
        now: Time,
        latest: &StoredMark,
        subjects: &[Fingerprint],
    ) -> Option<Duration> {
        let left = TRIAL_BACKOFF
            .checked_sub(now.since(latest.crashed_at))
            .filter(|left| !left.is_zero())?;
        let is_unclear = self.trials_at(latest.crash) > 1
            || self.has_other_cause(latest.crash, subjects)
            || self.has_rival(now, latest, subjects);
        (!is_unclear).then_some(left)
    }

    /// The number of runs that were on trial at a crash and may have caused it.
    fn trials_at(&self, crash: CrashId) -> usize {
        let subjects = self.in_flight_at(crash).iter();
        let marks = subjects.flat_map(|s| self.marks(*s));
        let trials = marks.filter(|mark| {
            mark.crash == crash && mark.exposure == Exposure::Trial && !mark.cleared
        });
        let runs: HashSet<u32> = trials.map(|mark| mark.run).collect();
        runs.len()
    }

    /// Whether a request in another run at the crash is as likely its cause. Its crashes that others are proved to have
    /// caused count here: it runs beside others because of them, and they do not show that it is harmless. Parts of
    /// prompts are no rivals, since many requests share them and they are in flight at most crashes.
    fn has_rival(&self, now: Time, latest: &StoredMark, subjects: &[Fingerprint]) -> bool {
        let requests = self.in_flight_at(latest.crash).iter();
        let mut others = requests.filter(|f| !f.is_prompt_part() && !subjects.contains(f));
        others.any(|other| {
            let marks = self.marks(*other).filter(|mark| mark.counts(now));
            let marks: Vec<&StoredMark> = marks.collect();
            let ran_beside =
                |mark: &&StoredMark| mark.crash == latest.crash && mark.run != latest.run;
            marks.iter().any(ran_beside) && points(&marks) >= RIVAL_POINTS
        })
    }
}
