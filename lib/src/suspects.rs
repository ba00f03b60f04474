//! Requests that end the backend servers which run them.
//!
//! Load pattern: one request crashes each engine that runs it, and its caller sends it again, through
//! whichever entry. Without this it takes the servers of a service one after the other, and with each
//! the hundred requests of others that ran beside it.
//!
//! An agent outlives its backend server and knows what ran at the crash. All of it is suspect. A suspect
//! runs alone next time, so that a second crash is its own and costs no one else. After that, requests
//! like it are refused, and everything that was suspect only for crashes which it explains is cleared.
//! A suspect that goes well is cleared as well, after [`PROBATION`] tokens, so that a batch of innocent
//! long ones is not run one by one to the end.
//!
//! One crash alone is no proof, since engines also die by themselves. So a request costs two servers
//! within a [`LIFETIME`], if its copies come after the evidence. Copies that run at the same time cost
//! one each; entries send a suspect by its fingerprint as the affinity, so that its copies meet at one
//! agent.
//!
//! Evidence is a set of marks that only grows, so agents and entries may pass it on in any order and
//! more than once.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::copy_type;
use crate::ids::Name;
use crate::time::Time;
use crate::value_type;

/// Tokens that a suspect must produce alone before others may run beside it. Crashes by a prompt come
/// while it is read, and the stand-ins' and published ones within the first tokens.
pub const PROBATION: u32 = 32;

/// How long a mark counts. A caller that sends again for an hour costs four servers and no more.
pub const LIFETIME: Duration = Duration::from_secs(30 * 60);

/// Marks kept; the oldest crash goes first. Batches of 256 in 64 crashes within a lifetime, at about
/// 100 bytes each under 2 MB.
pub const MARKS: usize = 16_384;

copy_type! {
    /// What tells requests that are alike: service, model and prompt.
    pub struct Fingerprint(pub u128);

    /// One crash of one backend server, as a random number.
    pub struct CrashId(pub u64);

    /// What may be done with a request.
    pub enum Verdict {
        /// It may run beside others.
        Free,
        /// It may run only while nothing else does.
        Alone,
        /// It must not run.
        Refuse,
    }
}

value_type! {
    /// What is known of one request at one crash. Passed between agents by entries.
    pub struct Mark {
        /// The request.
        pub fingerprint: Fingerprint,
        /// The crash.
        pub crash: CrashId,
        /// Whether nothing else ran.
        pub alone: bool,
        /// Whether the request has been found innocent of this crash.
        pub cleared: bool,
        /// Microseconds since the crash.
        pub age: u64,
    }
}

#[derive(Clone, Copy, Debug)]
struct Evidence {
    crash: CrashId,
    alone: bool,
    cleared: bool,
    // When the crash was, by this process's clock.
    at: Time,
    // The table's revision at the last change.
    revision: u64,
}

#[derive(Debug)]
struct Crash {
    at: Time,
    requests: Vec<Fingerprint>,
}

/// The evidence that one process holds.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: HashMap<Fingerprint, Vec<Evidence>>,
    crashes: HashMap<CrashId, Crash>,
    // Crashes in the order in which they became known.
    order: VecDeque<CrashId>,
    // At most `MARKS` after each change.
    marks: usize,
    // Grows with every change.
    revision: u64,
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn new(service: &Name, model: &Name, prompt: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [
            service.as_str().as_bytes(),
            model.as_str().as_bytes(),
            prompt,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut head = [0; 16];
        head.copy_from_slice(&digest.as_bytes()[..16]);
        Fingerprint(u128::from_le_bytes(head))
    }

    /// The hash by which copies of a suspect meet at one agent.
    pub fn affinity(self) -> u64 {
        self.0 as u64
    }
}

impl Suspects {
    /// No evidence.
    pub fn new() -> Self {
        Suspects::default()
    }

    /// The backend server crashed while it ran these.
    pub fn crashed(&mut self, now: Time, crash: CrashId, running: &[Fingerprint]) {
        let alone = running.len() == 1;
        for fingerprint in running {
            let mark = Mark {
                fingerprint: *fingerprint,
                crash,
                alone,
                cleared: false,
                age: 0,
            };
            self.add(now, &mark);
        }
        self.explain_all(running);
        self.trim(now);
    }

    /// The request produced [`PROBATION`] tokens or ended well, in a run that began after its crashes.
    pub fn went_well(&mut self, fingerprint: Fingerprint) {
        let crashes: Vec<CrashId> = self.crashes_of(fingerprint);
        for crash in crashes {
            self.clear(fingerprint, crash);
        }
    }

    /// What may be done with the request. O(1).
    pub fn verdict(&self, now: Time, fingerprint: Fingerprint) -> Verdict {
        let Some(evidence) = self.requests.get(&fingerprint) else {
            return Verdict::Free;
        };
        verdict(evidence.iter().filter(|e| e.counts(now)))
    }

    /// The marks that changed after `revision`, to be passed on.
    pub fn marks_since(&self, now: Time, revision: u64) -> Vec<Mark> {
        let requests = self.requests.iter();
        let marks = requests.flat_map(|(fingerprint, evidence)| {
            let changed = evidence.iter().filter(move |e| e.revision > revision);
            changed.map(move |e| e.mark(now, *fingerprint))
        });
        marks.collect()
    }

    /// The revision that the next [`Suspects::marks_since`] goes on from.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in marks from another process.
    pub fn learn(&mut self, now: Time, marks: &[Mark]) {
        for mark in marks {
            if Duration::from_micros(mark.age) < LIFETIME {
                self.add(now, mark);
            }
        }
        let learnt: Vec<Fingerprint> = marks.iter().map(|m| m.fingerprint).collect();
        self.explain_all(&learnt);
        self.trim(now);
    }

    /// Marks held.
    pub fn len(&self) -> usize {
        self.marks
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.marks == 0
    }

    fn add(&mut self, now: Time, mark: &Mark) {
        let at = Time::from_micros(now.micros().saturating_sub(mark.age));
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
        evidence.push(Evidence {
            crash: mark.crash,
            alone: mark.alone,
            cleared: mark.cleared,
            at,
            revision: self.revision,
        });
        let order = &mut self.order;
        let crash = self.crashes.entry(mark.crash).or_insert_with(|| {
            order.push_back(mark.crash);
            Crash {
                at,
                requests: Vec::new(),
            }
        });
        crash.requests.push(mark.fingerprint);
    }

    /// Clears those who ran beside a request that is now to be refused.
    fn explain_all(&mut self, requests: &[Fingerprint]) {
        for fingerprint in requests {
            let evidence = self.requests.get(fingerprint);
            let evidence = evidence.map_or(&[][..], Vec::as_slice);
            if verdict(evidence.iter().filter(|e| !e.cleared)) == Verdict::Refuse {
                self.explain(*fingerprint);
            }
        }
    }

    fn explain(&mut self, killer: Fingerprint) {
        for crash in self.crashes_of(killer) {
            let requests = self.crashes.get(&crash).map(|c| c.requests.clone());
            let others = requests.unwrap_or_default().into_iter();
            for other in others.filter(|f| *f != killer) {
                self.clear(other, crash);
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

    /// Drops what is too old or too much, whole crashes at a time.
    fn trim(&mut self, now: Time) {
        while let Some(crash) = self.order.front().copied() {
            let at = self.crashes.get(&crash).map(|c| c.at);
            let old = at.is_none_or(|at| now.since(at) >= LIFETIME);
            if !old && self.marks <= MARKS {
                return;
            }
            self.order.pop_front();
            self.forget(crash);
        }
    }

    fn forget(&mut self, crash: CrashId) {
        let Some(crash_entry) = self.crashes.remove(&crash) else {
            return;
        };
        for fingerprint in crash_entry.requests {
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

impl Evidence {
    fn counts(&self, now: Time) -> bool {
        !self.cleared && now.since(self.at) < LIFETIME
    }

    fn mark(&self, now: Time, fingerprint: Fingerprint) -> Mark {
        let age = now.since(self.at).as_micros();
        Mark {
            fingerprint,
            crash: self.crash,
            alone: self.alone,
            cleared: self.cleared,
            age: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }
}

/// Two crashes, one of them alone, leave no other explanation that is as likely. Three in company mean
/// that running alone was not kept to somewhere, and the request is not given a fourth.
fn verdict<'a>(evidence: impl Iterator<Item = &'a Evidence>) -> Verdict {
    let mut crashes = 0;
    let mut alone = false;
    for mark in evidence {
        crashes += 1;
        alone |= mark.alone;
    }
    match crashes {
        0 => Verdict::Free,
        1 => Verdict::Alone,
        2 if !alone => Verdict::Alone,
        _ => Verdict::Refuse,
    }
}
