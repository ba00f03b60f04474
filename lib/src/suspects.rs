//! Detects poison requests: requests that crash the backend servers that run them.
//!
//! Load pattern: one request crashes each engine that runs it, and its caller sends it again, through
//! any entry. Without detection, it crashes the servers of a service one after the other, and with
//! each of them the hundred other requests that run there.
//!
//! An agent survives the crash of its backend server and knows which requests were running. All of
//! them become suspects. A suspect runs alone the next time, so that a second crash can be attributed
//! to it and affects no other request. After a second crash, identical requests are refused, and the
//! requests that were suspect only because of crashes it explains are cleared. A suspect that produces
//! [`PROBATION_TOKENS`] tokens without a crash is cleared as well, so that a batch of harmless long
//! requests is not run one by one to the end.
//!
//! A single crash is no proof, since engines also crash for other reasons. A poison request therefore
//! costs two servers in each [`MARK_LIFETIME`], provided that its copies arrive after the evidence.
//! Copies that run at the same time cost one server each. To avoid this, entries use the fingerprint
//! of a suspect as its affinity, so that copies are routed to the same agent.
//!
//! The evidence is a set of marks that only grows, so agents and entries may exchange marks in any
//! order and more than once.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use crate::copy_type;
use crate::ids::Name;
use crate::time::Time;
use crate::value_type;

/// Tokens that a suspect must produce alone before other requests may run at the same time. Crashes
/// caused by a prompt occur during prefill; those of the stand-in engines and published ones occur
/// within the first tokens.
pub const PROBATION_TOKENS: u32 = 32;

/// How long a mark is valid. A caller that keeps retrying for an hour crashes at most four servers.
pub const MARK_LIFETIME: Duration = Duration::from_secs(30 * 60);

/// The maximum number of marks; those of the oldest crash are evicted first. Enough for batches of 256
/// in 64 crashes within a lifetime; at about 100 bytes each, they take less than 2 MB.
pub const MAX_MARKS: usize = 16_384;

copy_type! {
    /// A hash of a request's service, model and prompt, equal for identical requests.
    pub struct Fingerprint(pub u128);

    /// Identifies one crash of one backend server; a random number.
    pub struct CrashId(pub u64);

    /// How a request may be run.
    pub enum Verdict {
        /// It may run concurrently with other requests.
        Allow,
        /// It may run only while no other request does.
        Isolate,
        /// It must not run.
        Refuse,
    }
}

value_type! {
    /// Evidence that a request was running at a crash. Entries exchange marks between agents.
    pub struct CrashMark {
        /// The fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// The crash.
        pub crash: CrashId,
        /// Whether no other request was running.
        pub alone: bool,
        /// Whether it has been established that the request did not cause this crash.
        pub cleared: bool,
        /// Microseconds since the crash. Marks carry an age since the clocks of processes differ.
        pub age: u64,
    }
}

/// A mark as stored by one process.
#[derive(Clone, Copy, Debug)]
struct StoredMark {
    crash: CrashId,
    alone: bool,
    cleared: bool,
    // The time of the crash on this process's clock.
    crashed_at: Time,
    // The revision of `Suspects` at which this mark last changed.
    revision: u64,
}

#[derive(Debug)]
struct Crash {
    crashed_at: Time,
    requests: Vec<Fingerprint>,
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
    // Incremented with every change.
    revision: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a generation.
    pub fn new(service: &Name, model: &Name, prompt: &[u8]) -> Self {
        Fingerprint::of_parts(&[
            service.as_str().as_bytes(),
            model.as_str().as_bytes(),
            prompt,
        ])
    }

    /// Computes the fingerprint of a request from all parts that make it the same request.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&digest.as_bytes()[..16]);
        Fingerprint(u128::from_le_bytes(truncated))
    }

    /// Returns the affinity hash by which copies of a suspect are routed to the same agent.
    pub fn affinity(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Suspects {
    /// Creates an instance without evidence.
    pub fn new() -> Self {
        Suspects::default()
    }

    /// Records that the backend server crashed while it was running these requests.
    pub fn record_crash(&mut self, now: Time, crash: CrashId, running: &[Fingerprint]) {
        let alone = running.len() == 1;
        for fingerprint in running {
            let mark = CrashMark {
                fingerprint: *fingerprint,
                crash,
                alone,
                cleared: false,
                age: 0,
            };
            self.add(now, &mark);
        }
        self.clear_explained(running);
        self.evict(now);
    }

    /// Records that the request produced [`PROBATION_TOKENS`] tokens or succeeded, in a run that began
    /// after its crashes.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        let crashes: Vec<CrashId> = self.crashes_of(fingerprint);
        for crash in crashes {
            self.clear(fingerprint, crash);
        }
    }

    /// Returns how the request may be run. Takes O(1).
    pub fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        let Some(evidence) = self.requests.get(&fingerprint) else {
            return Verdict::Allow;
        };
        verdict(evidence.iter().filter(|e| e.counts(now)))
    }

    /// Returns the marks that changed after `revision`, for other processes.
    pub fn marks_since(&self, now: Time, revision: u64) -> Vec<CrashMark> {
        let requests = self.requests.iter();
        let marks = requests.flat_map(|(fingerprint, evidence)| {
            let changed = evidence.iter().filter(move |e| e.revision > revision);
            changed.map(move |e| e.mark(now, *fingerprint))
        });
        marks.collect()
    }

    /// Returns the current revision, from which the next [`Suspects::marks_since`] continues.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges marks from another process.
    pub fn merge(&mut self, now: Time, marks: &[CrashMark]) {
        for mark in marks {
            if Duration::from_micros(mark.age) < MARK_LIFETIME {
                self.add(now, mark);
            }
        }
        let changed: Vec<Fingerprint> = marks.iter().map(|m| m.fingerprint).collect();
        self.clear_explained(&changed);
        self.evict(now);
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
                self.revision += 1;
                known.revision = self.revision;
            }
            return;
        }
        self.revision += 1;
        self.marks += 1;
        evidence.push(StoredMark {
            crash: mark.crash,
            alone: mark.alone,
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
            }
        });
        crash.requests.push(mark.fingerprint);
    }

    /// For each of the requests that must now be refused, clears the requests that ran concurrently with
    /// it.
    fn clear_explained(&mut self, requests: &[Fingerprint]) {
        for fingerprint in requests {
            let evidence = self.requests.get(fingerprint);
            let evidence = evidence.map_or(&[][..], Vec::as_slice);
            if verdict(evidence.iter().filter(|e| !e.cleared)) == Verdict::Refuse {
                self.clear_bystanders(*fingerprint);
            }
        }
    }

    fn clear_bystanders(&mut self, poison: Fingerprint) {
        for crash in self.crashes_of(poison) {
            let requests = self.crashes.get(&crash).map(|c| c.requests.clone());
            let bystanders = requests.unwrap_or_default().into_iter();
            for bystander in bystanders.filter(|f| *f != poison) {
                self.clear(bystander, crash);
            }
        }
    }

    fn clear(&mut self, fingerprint: Fingerprint, crash: CrashId) {
        let Some(evidence) = self.requests.get_mut(&fingerprint) else {
            return;
        };
        let marks = evidence.iter_mut();
        for mark in marks.filter(|e| e.crash == crash && !e.cleared) {
            mark.cleared = true;
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
            let before = evidence.len();
            evidence.retain(|e| e.crash != crash);
            self.marks -= before - evidence.len();
            if evidence.is_empty() {
                self.requests.remove(&fingerprint);
            }
        }
    }
}

impl StoredMark {
    fn counts(&self, now: Time) -> bool {
        !self.cleared && now.since(self.crashed_at) < MARK_LIFETIME
    }

    fn mark(&self, now: Time, fingerprint: Fingerprint) -> CrashMark {
        let age = now.since(self.crashed_at).as_micros();
        CrashMark {
            fingerprint,
            crash: self.crash,
            alone: self.alone,
            cleared: self.cleared,
            age: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }
}

/// After two crashes, in one of which the request ran alone, no other explanation is as likely. Three
/// crashes that all had other requests running mean that the isolation was not enforced somewhere; the
/// request is refused rather than run a fourth time.
fn verdict<'a>(evidence: impl Iterator<Item = &'a StoredMark>) -> Verdict {
    let mut crashes = 0;
    let mut alone = false;
    for mark in evidence {
        crashes += 1;
        alone |= mark.alone;
    }
    match crashes {
        0 => Verdict::Allow,
        1 => Verdict::Isolate,
        2 if !alone => Verdict::Isolate,
        _ => Verdict::Refuse,
    }
}
