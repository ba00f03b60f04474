//! Detects poison requests: requests that crash the backend servers that run them.
//!
//! Load pattern: one request crashes each engine that runs it, and its caller sends it again, through
//! any entry. Without detection, it crashes the servers of a service one after the other, and with
//! each of them the hundred other requests that run there.
//!
//! Whoever sees the crash of a backend server knows some or all of the requests that were running. All
//! of them become suspects. An agent runs a suspect alone the next time, so that a second crash can be
//! attributed to it and affects no other request. A relay cannot keep other requests away from a
//! server; it sends one copy of a suspect at a time, see [`crate::suspect_trials`]. [`Exposure`] says
//! how much a crash then proves. Identical requests are refused once the crashes add up to a proof,
//! and crashes that it explains no longer count against the requests that were in flight beside it. A
//! proof by crashes on trial or alone never counts less for what others are proved to be. A suspect that
//! succeeds, or produces [`PROBATION_TOKENS`] tokens without a crash, is cleared as well, so that a
//! batch of harmless long requests is not run one by one to the end.
//!
//! A single crash is no proof, since servers also crash for other reasons; neither are several at the
//! same moment, in which a request that many callers send is in flight at each of them. A poison
//! request therefore costs two engines before agents, or three servers before relays, of which two at
//! the same time, in each [`MARK_LIFETIME`], provided that its copies arrive after the evidence.
//! Copies that run at the same time cost one server each. To avoid this, entries use the fingerprint
//! of a suspect as its affinity, so that copies are routed to the same agent.
//!
//! The evidence is a set of marks that only grows, so agents and entries may exchange marks in any
//! order and more than once.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::crash_evidence::StoredMark;
use crate::crash_evidence::attributed_points;
use crate::crash_evidence::is_proof;
use crate::crash_evidence::verdict;
use crate::crash_mark::CrashId;
use crate::crash_mark::CrashMark;
use crate::crash_mark::Exposure;
use crate::crash_mark::MARK_LIFETIME;
use crate::crash_mark::News;
use crate::crash_mark::Verdict;
use crate::fingerprint::Fingerprint;
use crate::time::Time;

/// Tokens that a suspect must produce alone before other requests may run at the same time. Crashes
/// caused by a prompt occur during prefill; those of the stand-in engines and published ones occur
/// within the first tokens.
pub const PROBATION_TOKENS: u32 = 32;

/// The maximum number of marks; those of the oldest crash are evicted first. Enough for batches of 256
/// in 64 crashes within a lifetime; at about 100 bytes each, they take less than 2 MB.
pub const MAX_MARKS: usize = 16_384;

/// What is known of one request that may be poison.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How it may be run.
    pub verdict: Verdict,
    /// The crashes that count.
    pub crashes: Vec<CrashId>,
    /// Time since the latest of them.
    pub age: Duration,
}

#[derive(Debug)]
struct Crash {
    crashed_at: Time,
    requests: Vec<Fingerprint>,
    // The runs on trial, each with all that may be the cause.
    runs: Vec<(u32, Fingerprint)>,
    // A request among these that is proved to be poison. Not exchanged: each process derives it from the marks.
    cause: Option<Fingerprint>,
}

/// The evidence that one process has about poison requests.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: HashMap<Fingerprint, Vec<StoredMark>>,
    crashes: HashMap<CrashId, Crash>,
    // Crashes in the order in which this process learned of them.
    arrival_order: VecDeque<CrashId>,
    // The number of marks, at most `MAX_MARKS` after each change.
    marks: usize,
    // The number of those that are not cleared.
    open_marks: usize,
    // Incremented with every change.
    revision: u64,
}

impl Suspects {
    /// Creates an instance without evidence.
    pub fn new() -> Self {
        Suspects::default()
    }

    /// Records that the backend server crashed while it was running these requests.
    pub fn record_crash(&mut self, now: Time, crash: CrashId, running: &[Fingerprint]) {
        let exposure = match running.len() {
            1 => Exposure::Alone,
            _ => Exposure::Crowd,
        };
        for fingerprint in running {
            let mark = CrashMark {
                fingerprint: *fingerprint,
                crash,
                exposure,
                run: 0,
                cleared: false,
                age: 0,
            };
            self.add(now, &mark);
        }
        self.find_causes(running);
        self.evict(now);
    }

    /// Records that the request produced [`PROBATION_TOKENS`] tokens or succeeded, in a run that began
    /// after its crashes.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        let crashes: Vec<CrashId> = self.crashes_of(fingerprint);
        for crash in crashes {
            self.clear(fingerprint, crash);
        }
        self.find_causes(&[fingerprint]);
    }

    /// Returns the identifier of the crash that broke off a connection which was opened at `opened_at`. A server that
    /// accepted it after a crash is another incarnation, whatever the list says of it.
    pub fn crash_after(
        &self,
        subjects: &[Fingerprint],
        mut crash: CrashId,
        opened_at: Time,
    ) -> CrashId {
        let marks = subjects.iter().flat_map(|s| self.marks(*s));
        let before: HashSet<CrashId> = marks
            .filter(|mark| mark.crashed_at < opened_at)
            .map(|mark| mark.crash)
            .collect();
        while before.contains(&crash) {
            crash = crash.next();
        }
        crash
    }

    /// When the server crashed last that is listed with this identifier of its next crash, if it crashed at all.
    pub(crate) fn latest_crash(&self, crash: CrashId) -> Option<Time> {
        let crashes = std::iter::successors(Some(crash), |crash| Some(crash.next()));
        let known = crashes.map_while(|crash| self.crashes.get(&crash));
        known.last().map(|crash| crash.crashed_at)
    }

    /// Returns how the request, or a request with the prompt part, may be run. Takes O(1).
    pub fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        let counted = self.counted(now, fingerprint);
        match counted.is_empty() {
            true => Verdict::Allow,
            false if !fingerprint.is_prompt_part() => verdict(&counted),
            // A part that many requests share is in flight at most crashes: only trials convict it.
            false if self.proves(now, &[fingerprint]) => Verdict::Refuse,
            false => Verdict::Isolate,
        }
    }

    pub(crate) fn counted(&self, now: Time, fingerprint: Fingerprint) -> Vec<&StoredMark> {
        let evidence = self.marks(fingerprint);
        let mut counted: Vec<&StoredMark> = evidence.filter(|mark| mark.counts(now)).collect();
        counted.retain(|mark| !fingerprint.is_prompt_part() || !mark.is_beside_trial());
        let is_proved = match fingerprint.is_prompt_part() {
            true => self.proves(now, &[fingerprint]),
            false => is_proof(&counted),
        };
        if !is_proved {
            counted.retain(|mark| !self.is_explained(fingerprint, mark));
        }
        counted
    }

    /// Whether something else is known to have caused a crash: another request beside which this one was in flight, or
    /// a prompt part that was on trial in the same run.
    fn is_explained(&self, fingerprint: Fingerprint, mark: &StoredMark) -> bool {
        let Some(crash) = self.crashes.get(&mark.crash) else {
            return false;
        };
        let Some(cause) = crash.cause.filter(|cause| *cause != fingerprint) else {
            return false;
        };
        match mark.exposure {
            Exposure::Crowd => true,
            Exposure::Trial => cause.is_prompt_part() && crash.runs.contains(&(mark.run, cause)),
            Exposure::Alone | Exposure::Lost => false,
        }
    }

    /// Returns how long the request is still refused, if it is.
    pub fn refused_for(&self, now: Time, fingerprint: Fingerprint) -> Option<Duration> {
        let counted = self.counted(now, fingerprint);
        let oldest = counted.iter().map(|mark| mark.crashed_at).min()?;
        (verdict(&counted) == Verdict::Refuse).then(|| MARK_LIFETIME - now.since(oldest))
    }

    /// Whether something besides these subjects is proved to have caused the crash.
    pub(crate) fn has_other_cause(&self, crash: CrashId, subjects: &[Fingerprint]) -> bool {
        let cause = self.crashes.get(&crash).and_then(|c| c.cause);
        cause.is_some_and(|cause| !subjects.contains(&cause))
    }

    /// The requests and prompt parts that were in flight at a crash, those that did not cause it included.
    pub(crate) fn in_flight_at(&self, crash: CrashId) -> &[Fingerprint] {
        let crash = self.crashes.get(&crash);
        crash.map_or(&[], |crash| crash.requests.as_slice())
    }

    /// Whether a crash counts against the suspect, as far as it has not been cleared.
    fn is_open(&self, suspect: Fingerprint, crash: CrashId) -> bool {
        let mut marks = self.marks(suspect);
        marks.any(|mark| mark.crash == crash && !mark.cleared)
    }

    /// All marks of a request or a prompt part.
    pub(crate) fn marks(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &StoredMark> {
        self.requests.get(&fingerprint).into_iter().flatten()
    }

    /// What may have caused a crash, of all that a run on trial there consisted of.
    pub(crate) fn causes_in_run(&self, crash: CrashId, run: u32) -> Vec<Fingerprint> {
        let runs = self.crashes.get(&crash).map(|c| c.runs.as_slice());
        let parts = runs.into_iter().flatten();
        let open = parts.filter(|(number, cause)| *number == run && self.is_open(*cause, crash));
        open.map(|(_, cause)| *cause).collect()
    }

    /// Returns what is known of each request that is not allowed to run beside others: the refused first, then those
    /// under which servers crashed on trial.
    pub fn listing(&self, now: Time) -> Vec<Suspicion> {
        let suspicions = self.requests.keys().filter_map(|fingerprint| {
            let counted = self.counted(now, *fingerprint);
            let latest = counted.iter().map(|mark| mark.crashed_at).max()?;
            let suspicion = Suspicion {
                fingerprint: *fingerprint,
                verdict: self.verdict(now, *fingerprint),
                crashes: counted.iter().map(|mark| mark.crash).collect(),
                age: now.since(latest),
            };
            Some((attributed_points(&counted), suspicion))
        });
        let mut suspicions: Vec<(u32, Suspicion)> = suspicions.collect();
        suspicions.sort_by_key(|(points, s)| (Reverse(s.verdict), Reverse(*points), s.age));
        suspicions.into_iter().map(|(_, s)| s).collect()
    }

    /// Returns at most `count` marks, in the order of [`Suspects::listing`], for a process that may lack them.
    pub fn sample(&self, now: Time, count: usize) -> Vec<CrashMark> {
        let marks = self.listing(now).into_iter().flat_map(|s| {
            let counted = self.counted(now, s.fingerprint).into_iter();
            counted.map(move |mark| mark.mark(now, s.fingerprint))
        });
        marks.take(count).collect()
    }

    /// Returns the marks that changed after `revision`, for other processes.
    pub fn marks_since(&self, now: Time, revision: u64) -> Vec<CrashMark> {
        let changed = self.changed_since(revision);
        changed.map(|(f, mark)| mark.mark(now, f)).collect()
    }

    /// Returns the next marks of a kind that changed after `revision`, and the revision that they lead to.
    pub fn next_changes(
        &self,
        now: Time,
        news: News,
        revision: u64,
        count: usize,
    ) -> (Vec<CrashMark>, u64) {
        let changed = self.changed_since(revision);
        let changed = changed.filter(|(f, mark)| mark.news(*f) == news);
        let mut changed: Vec<(Fingerprint, &StoredMark)> = changed.collect();
        changed.sort_by_key(|(_, mark)| mark.revision);
        let next = match changed.get(count) {
            Some((_, rest)) => rest.revision - 1,
            None => self.revision,
        };
        changed.truncate(count);
        let marks = changed.iter().map(|(f, mark)| mark.mark(now, *f));
        (marks.collect(), next)
    }

    fn changed_since(&self, revision: u64) -> impl Iterator<Item = (Fingerprint, &StoredMark)> {
        // Most of the time nothing has changed, and there may be many marks.
        let requests = (revision < self.revision).then_some(&self.requests);
        let requests = requests.into_iter().flatten();
        let marks = requests.flat_map(|(f, marks)| marks.iter().map(move |mark| (*f, mark)));
        marks.filter(move |(_, mark)| mark.revision > revision)
    }

    /// Returns the current revision, from which the next [`Suspects::marks_since`] continues.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges marks from another process, and returns those that are new.
    pub fn take_in(&mut self, now: Time, marks: &[CrashMark]) -> Vec<CrashMark> {
        let before = self.revision;
        self.merge(now, marks);
        self.marks_since(now, before)
    }

    /// Merges marks from another process.
    pub fn merge(&mut self, now: Time, marks: &[CrashMark]) {
        for mark in marks {
            if Duration::from_micros(mark.age) < MARK_LIFETIME {
                self.add(now, mark);
            }
        }
        let changed: Vec<Fingerprint> = marks.iter().map(|m| m.fingerprint).collect();
        self.find_causes(&changed);
        self.evict(now);
    }

    /// Returns at most `count` marks of one request, the latest first, cleared ones included.
    pub fn marks_of(&self, now: Time, fingerprint: Fingerprint, count: usize) -> Vec<CrashMark> {
        let marks = self.requests.get(&fingerprint).into_iter().flatten();
        let latest = marks.rev().take(count);
        latest.map(|mark| mark.mark(now, fingerprint)).collect()
    }

    /// Returns whether a server crashed under the request on trial within `time`.
    pub fn crashed_on_trial_within(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        time: Duration,
    ) -> bool {
        let mut counted = self.counted(now, fingerprint).into_iter();
        counted.any(|m| m.exposure == Exposure::Trial && now.since(m.crashed_at) < time)
    }

    /// Returns the crashes that count against the request.
    pub fn crashes(&self, now: Time, fingerprint: Fingerprint) -> Vec<CrashId> {
        let counted = self.counted(now, fingerprint);
        counted.iter().map(|mark| mark.crash).collect()
    }

    /// The largest number of crashes that count against one of these.
    pub(crate) fn most_crashes(&self, now: Time, fingerprints: &[Fingerprint]) -> usize {
        let counts = fingerprints.iter().map(|f| self.counted(now, *f).len());
        counts.max().unwrap_or_default()
    }

    /// Returns whether any mark is not cleared.
    pub fn has_open_marks(&self) -> bool {
        self.open_marks > 0
    }

    /// Returns the number of marks.
    pub fn len(&self) -> usize {
        self.marks
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.marks == 0
    }

    fn add(&mut self, now: Time, mark: &CrashMark) {
        let crashed_at = Time::from_micros(now.micros().saturating_sub(mark.age));
        let evidence = self.requests.entry(mark.fingerprint).or_default();
        if let Some(known) = evidence.iter_mut().find(|e| e.crash == mark.crash) {
            if mark.cleared && !known.cleared {
                known.cleared = true;
                self.open_marks -= 1;
                self.revision += 1;
                known.revision = self.revision;
            }
            return;
        }
        self.revision += 1;
        self.marks += 1;
        self.open_marks += usize::from(!mark.cleared);
        evidence.push(StoredMark {
            crash: mark.crash,
            exposure: mark.exposure,
            run: mark.run,
            cleared: mark.cleared,
            crashed_at,
            revision: self.revision,
        });
        let arrival_order = &mut self.arrival_order;
        let crash = self.crashes.entry(mark.crash).or_insert_with(|| {
            arrival_order.push_back(mark.crash);
            Crash {
                crashed_at,
                requests: Vec::new(),
                runs: Vec::new(),
                cause: None,
            }
        });
        crash.requests.push(mark.fingerprint);
        if mark.run != 0 {
            crash.runs.push((mark.run, mark.fingerprint));
        }
    }

    /// Finds the causes of the crashes in which these requests were in flight. Marks of a crash may arrive after the proof.
    fn find_causes(&mut self, requests: &[Fingerprint]) {
        let crashes = requests.iter().flat_map(|f| self.crashes_of(*f));
        let crashes: HashSet<CrashId> = crashes.collect();
        for id in crashes {
            let Some(crash) = self.crashes.get(&id) else {
                continue;
            };
            let proved = crash.requests.iter().filter(|f| self.is_proved(**f));
            // A part explains more crashes than a request that has it.
            let cause = proved.copied().max_by_key(|f| f.is_prompt_part());
            if let Some(crash) = self.crashes.get_mut(&id) {
                crash.cause = cause;
            }
        }
    }

    /// Whether the request is proved to be poison, whatever else was in flight at its crashes. Other requests' proofs do
    /// not change this, so that the order in which proofs arrive does not matter.
    fn is_proved(&self, fingerprint: Fingerprint) -> bool {
        if fingerprint.is_prompt_part() {
            return self
                .joint_evidence(&[fingerprint], |mark| !mark.cleared)
                .is_proof();
        }
        let evidence = self.marks(fingerprint);
        let evidence: Vec<&StoredMark> = evidence.filter(|mark| !mark.cleared).collect();
        is_proof(&evidence)
    }

    fn clear(&mut self, fingerprint: Fingerprint, crash: CrashId) {
        let Some(evidence) = self.requests.get_mut(&fingerprint) else {
            return;
        };
        let marks = evidence.iter_mut();
        for mark in marks.filter(|e| e.crash == crash && !e.cleared) {
            mark.cleared = true;
            self.open_marks -= 1;
            self.revision += 1;
            mark.revision = self.revision;
        }
    }

    fn crashes_of(&self, fingerprint: Fingerprint) -> Vec<CrashId> {
        let evidence = self.requests.get(&fingerprint);
        evidence.map_or_else(Vec::new, |list| list.iter().map(|e| e.crash).collect())
    }

    /// Evicts expired and excess marks, whole crashes at a time.
    fn evict(&mut self, now: Time) {
        while let Some(crash) = self.arrival_order.front().copied() {
            let crashed_at = self.crashes.get(&crash).map(|c| c.crashed_at);
            let expired = crashed_at.is_none_or(|at| now.since(at) >= MARK_LIFETIME);
            if !expired && self.marks <= MAX_MARKS {
                return;
            }
            self.arrival_order.pop_front();
            self.remove_crash(crash);
        }
    }

    fn remove_crash(&mut self, crash: CrashId) {
        let Some(removed) = self.crashes.remove(&crash) else {
            return;
        };
        for fingerprint in removed.requests {
            let Some(evidence) = self.requests.get_mut(&fingerprint) else {
                continue;
            };
            let removed = evidence.iter().filter(|e| e.crash == crash);
            self.open_marks -= removed.filter(|e| !e.cleared).count();
            let before = evidence.len();
            evidence.retain(|e| e.crash != crash);
            self.marks -= before - evidence.len();
            if evidence.is_empty() {
                self.requests.remove(&fingerprint);
            }
        }
    }
}
