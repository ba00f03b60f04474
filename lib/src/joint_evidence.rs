//! Evidence against requests of which several things may crash a server: the request itself, and each part of its prompt.
//!
//! Load pattern: one part of a prompt crashes each engine that begins an answer on it, and no two requests with it are
//! alike, while sound requests share their other parts. Evidence by whole requests finds nothing, since each request is
//! new; evidence by single parts convicts parts that are in flight at every crash.
//!
//! A crash on trial counts against a set of suspects if nothing else in that run may have caused it. What has succeeded since
//! may not; neither may a part that was in flight at some of the crashes of another one in the run and at no other crash,
//! since that one explains more. Parts that only ever come together are convicted together: a request with all of them is
//! refused, one with some of them is tried.

use std::time::Duration;

use crate::crash_evidence::REFUSED_FROM;
use crate::crash_evidence::StoredMark;
use crate::crash_evidence::points;
use crate::crash_mark::CrashId;
use crate::crash_mark::Exposure;
use crate::crash_mark::MARK_LIFETIME;
use crate::crash_mark::Verdict;
use crate::fingerprint::Fingerprint;
use crate::suspects::Suspects;
use crate::time::Time;

/// Crashes on trial from which parts of a prompt are convicted.
const MIN_TRIALS: usize = 2;

/// What crashes prove against several suspects together.
#[derive(Debug, Default)]
pub(crate) struct JointEvidence<'a> {
    // Crashes on trial that nothing else may have caused, a mark of each.
    trials: Vec<&'a StoredMark>,
    // Crashes beside other requests, and lost answers.
    others: Vec<&'a StoredMark>,
}

impl JointEvidence<'_> {
    pub(crate) fn is_proof(&self) -> bool {
        let trials = self.trials.len();
        trials >= MIN_TRIALS && trials as u32 + points(&self.others) >= REFUSED_FROM
    }

    /// The time of the oldest crash.
    fn begun_at(&self) -> Option<Time> {
        let marks = self.trials.iter().chain(&self.others);
        marks.map(|mark| mark.crashed_at).min()
    }
}

impl Suspects {
    /// Returns how a request may be run that has these suspects. Takes O(1) for a bounded number of them.
    pub fn joint_verdict(&self, now: Time, subjects: &[Fingerprint]) -> Verdict {
        let verdicts = subjects.iter().map(|subject| self.verdict(now, *subject));
        match verdicts.max().unwrap_or(Verdict::Allow) {
            Verdict::Isolate if self.proves(now, subjects) => Verdict::Refuse,
            verdict => verdict,
        }
    }

    /// Returns how long requests with these suspects are still refused, if they are.
    pub fn joint_refused_for(&self, now: Time, subjects: &[Fingerprint]) -> Option<Duration> {
        let requests = subjects.iter().filter(|subject| !subject.is_prompt_part());
        let by_request = requests.filter_map(|request| self.refused_for(now, *request));
        let evidence = self.joint_evidence(subjects, |mark| mark.counts(now));
        let begun_at = evidence.begun_at().filter(|_| evidence.is_proof());
        let by_parts = begun_at.map(|at| MARK_LIFETIME.saturating_sub(now.since(at)));
        by_request.chain(by_parts).max()
    }

    /// Returns how long requests with these suspects must not be tried again, since a server has just crashed under them on
    /// trial.
    pub fn joint_paused_for(&self, now: Time, subjects: &[Fingerprint]) -> Option<Duration> {
        let requests = subjects.iter().filter(|subject| !subject.is_prompt_part());
        let by_request = requests.filter_map(|request| self.paused_for(now, *request));
        let evidence = self.joint_evidence(subjects, |mark| mark.counts(now));
        let latest = evidence.trials.iter().max_by_key(|mark| mark.crashed_at);
        let by_parts = latest.and_then(|latest| self.pause_after(now, latest, subjects));
        by_request.chain(by_parts).max()
    }

    /// Returns those of the subjects of a request that keep it from running beside others.
    pub fn suspects_among(&self, now: Time, subjects: &[Fingerprint]) -> Vec<Fingerprint> {
        let suspects = subjects.iter().copied();
        let suspects = suspects.filter(|s| self.verdict(now, *s) != Verdict::Allow);
        suspects.collect()
    }

    /// Whether the parts among the subjects are proved to crash servers together.
    pub(crate) fn proves(&self, now: Time, subjects: &[Fingerprint]) -> bool {
        let evidence = self.joint_evidence(subjects, |mark| mark.counts(now));
        evidence.is_proof()
    }

    /// The evidence against the prompt parts among the subjects, by the marks that count.
    pub(crate) fn joint_evidence(
        &self,
        subjects: &[Fingerprint],
        counts: impl Fn(&StoredMark) -> bool,
    ) -> JointEvidence<'_> {
        let mut evidence = JointEvidence::default();
        for part in subjects.iter().filter(|subject| subject.is_prompt_part()) {
            let marks: Vec<&StoredMark> = self.marks(*part).filter(|mark| counts(mark)).collect();
            let trials = marks
                .iter()
                .filter(|mark| self.is_only_cause(mark, subjects));
            let before = evidence.trials.len();
            evidence.trials.extend(trials);
            if evidence.trials.len() > before {
                let others = marks.iter().filter(|m| m.exposure != Exposure::Trial);
                evidence.others.extend(others);
            }
        }
        evidence.trials.sort_by_key(|mark| mark.crash);
        evidence.trials.dedup_by_key(|mark| mark.crash);
        evidence
    }

    /// Whether a run on trial crashed its server, and nothing in it but the subjects may be the cause.
    fn is_only_cause(&self, mark: &StoredMark, subjects: &[Fingerprint]) -> bool {
        if mark.exposure != Exposure::Trial {
            return false;
        }
        let causes = self.causes_in_run(mark.crash, mark.run);
        let others = causes.iter().filter(|cause| !subjects.contains(cause));
        let mut others = others.copied();
        others.all(|other| causes.iter().any(|cause| self.explains(*cause, other)))
    }

    /// Whether all crashes under `other`, those that it was excused included, are some of those that count against the
    /// suspect.
    fn explains(&self, suspect: Fingerprint, other: Fingerprint) -> bool {
        let open = self.marks(suspect).filter(|mark| !mark.cleared);
        let crashes: Vec<CrashId> = open.map(|mark| mark.crash).collect();
        let others: Vec<CrashId> = self.marks(other).map(|mark| mark.crash).collect();
        others.len() < crashes.len() && others.iter().all(|crash| crashes.contains(crash))
    }
}
