//! Trials of suspected poison requests: a copy of a suspect runs only where one entry of the fleet has granted it.
//!
//! Load pattern: many callers send several poison requests through all entries, beside requests that were in flight at the
//! same crashes. If every entry tried for itself whether a suspect is harmless, each copy could crash one more server, and
//! several suspects could take a service down together.
//!
//! The arbiter of a service (see [`crate::arbiter_route`]) grants trials one after the other, a few at the same time in a
//! large service. A message that is late, lost or held back delays a trial and never permits one: a copy without a grant
//! is not sent, and a grant ends with the lease that its holder knows of. A trial whose end the arbiter does not hear of
//! may have crashed a server, so that the request is not tried again for a while.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::crash_mark::CrashMark;
use crate::fingerprint::Fingerprint;
use crate::time::Time;
use crate::value_type;

/// How long a granted trial is valid without being renewed.
pub const TRIAL_LEASE: Duration = Duration::from_secs(3);

/// Interval at which a waiting entry asks again, and at which the holder of a trial renews it.
const ASK_INTERVAL: Duration = Duration::from_millis(150);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);

/// Time after which a request that was not repeated counts as given up: several were lost, or its entry is gone.
const ASK_TTL: Duration = Duration::from_millis(600);

/// Longest trial, renewed or not.
const MAX_TRIAL: Duration = Duration::from_secs(10);

/// Time without another trial of a request, after one whose outcome is unknown; doubled with each in a row up to the
/// maximum, and forgotten after another such time.
const MIN_UNRESOLVED_PAUSE: Duration = Duration::from_secs(10);
const MAX_UNRESOLVED_PAUSE: Duration = Duration::from_secs(300);

/// Time after a crash on trial in which a service has one trial at a time: more of its suspects may be poison.
const STRICT_TIME: Duration = Duration::from_secs(10);

/// Servers of a service for each trial that may run at the same time.
const SERVERS_PER_TRIAL: u16 = 3;

/// The maximum number of requests that wait for one service's trials, and of services with trials.
const MAX_WAITING: usize = 512;
const MAX_SERVICES: usize = 256;

/// The maximum number of requests whose last trial has no known end.
const MAX_UNRESOLVED: usize = 1_024;

value_type! {
    /// An entry's request for a trial, repeated until the trial has ended.
    pub struct TrialRequest {
        /// A random number that identifies the trial.
        pub trial: u64,
        /// What keeps the request that is to be sent from running beside others: itself, parts of its prompt, or both.
        pub suspects: Vec<Fingerprint>,
        /// Its service.
        pub service: Fingerprint,
        /// The number of the service's servers that the entry knows.
        pub servers: u16,
        /// The entry that is to hold the trial.
        pub entry: SocketAddr,
        /// How often the request was passed on to another arbiter.
        pub hops: u8,
    }

    /// An arbiter's answer to a request.
    pub struct TrialReply {
        /// The trial.
        pub trial: u64,
        /// The service of the request.
        pub service: Fingerprint,
        /// Whether it is granted, from the request on for [`TRIAL_LEASE`]. Otherwise it waits for its turn.
        pub granted: bool,
        /// Milliseconds for which the suspects are not tried, since the outcome of their last trial is unknown.
        pub paused: Option<u32>,
        /// What the arbiter knows of the suspects, if that decides whether the request may run.
        pub marks: Vec<CrashMark>,
    }

    /// The end of a trial, or of a request for one.
    pub struct TrialEnd {
        /// The trial.
        pub trial: u64,
        /// The service of the request.
        pub service: Fingerprint,
        /// The suspects that were on trial.
        pub suspects: Vec<Fingerprint>,
        /// What the holder knows of them.
        pub marks: Vec<CrashMark>,
        /// Whether the request was sent and its outcome is unknown.
        pub is_unresolved: bool,
    }
}

/// Decides whose turn it is, for the services whose arbiter an entry is.
#[derive(Debug, Default)]
pub struct Arbiter {
    // At most `MAX_SERVICES`.
    queues: HashMap<Fingerprint, Queue>,
    // The sorted suspects of requests whose last trial has no known outcome. At most `MAX_UNRESOLVED`.
    unresolved: HashMap<Vec<Fingerprint>, Unresolved>,
}

/// The trials of a request that had no known outcome.
#[derive(Clone, Copy, Debug)]
struct Unresolved {
    count: u32,
    latest: Time,
}

/// The trials of one service.
#[derive(Debug, Default)]
struct Queue {
    running: Vec<Running>,
    // In the order of arrival, at most `MAX_WAITING`.
    waiting: VecDeque<Waiting>,
    crashed_at: Option<Time>,
}

#[derive(Clone, Debug)]
struct Running {
    trial: u64,
    suspects: Vec<Fingerprint>,
    granted_at: Time,
    renewed_at: Time,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: TrialRequest,
    asked_at: Time,
}

impl Arbiter {
    /// Takes a request in. Returns whether its trial is granted already, and renews it then.
    pub fn ask(&mut self, now: Time, request: &TrialRequest) -> bool {
        let is_known = self.queues.contains_key(&request.service);
        if !is_known && self.queues.len() >= MAX_SERVICES {
            return false;
        }
        let queue = self.queues.entry(request.service).or_default();
        let running = queue.running.iter_mut().find(|r| r.trial == request.trial);
        if let Some(running) = running {
            running.renewed_at = now;
            return true;
        }
        let has_room = queue.waiting.len() < MAX_WAITING;
        let waiting = queue
            .waiting
            .iter_mut()
            .find(|w| w.request.trial == request.trial);
        match waiting {
            Some(waiting) => waiting.asked_at = now,
            None if has_room => queue.waiting.push_back(Waiting {
                request: request.clone(),
                asked_at: now,
            }),
            None => {}
        }
        false
    }

    /// Records that a trial ended, or that a request for one was given up.
    pub fn end(&mut self, service: Fingerprint, trial: u64) {
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.running.retain(|r| r.trial != trial);
            queue.waiting.retain(|w| w.request.trial != trial);
        }
    }

    /// Records a crash on trial.
    pub fn record_crash(&mut self, now: Time, service: Fingerprint) {
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.crashed_at = Some(now);
        }
    }

    /// Records that a trial of these suspects ended without a known outcome.
    pub fn record_unresolved(&mut self, now: Time, suspects: &[Fingerprint]) {
        let mut suspects = suspects.to_vec();
        suspects.sort();
        if !self.unresolved.contains_key(&suspects) && self.unresolved.len() >= MAX_UNRESOLVED {
            return;
        }
        let first = Unresolved {
            count: 0,
            latest: now,
        };
        let unresolved = self.unresolved.entry(suspects).or_insert(first);
        unresolved.count += 1;
        unresolved.latest = now;
    }

    /// Records that a trial of these suspects succeeded.
    pub fn record_success(&mut self, suspects: &[Fingerprint]) {
        self.unresolved
            .retain(|unresolved, _| !is_subset(unresolved, suspects));
    }

    /// How long a request with these suspects is not tried, since the outcome of the last trial of some of them is unknown.
    pub fn paused_for(&self, now: Time, suspects: &[Fingerprint]) -> Option<Duration> {
        let unresolved = self.unresolved.iter();
        let unresolved = unresolved.filter(|(tried, _)| is_subset(tried, suspects));
        let left = unresolved.map(|(_, u)| u.pause().saturating_sub(now.since(u.latest)));
        left.max().filter(|left| !left.is_zero())
    }

    /// Grants what may begin now. `allows` tells whether the servers allow a trial of the request, if so many run then.
    pub fn take_grants(
        &mut self,
        now: Time,
        allows: impl Fn(&TrialRequest, usize) -> bool,
    ) -> Vec<TrialRequest> {
        self.remove_lapsed(now);
        let mut queues = std::mem::take(&mut self.queues);
        let granted = queues.values_mut().flat_map(|queue| {
            let is_paused = |suspects: &[Fingerprint]| self.paused_for(now, suspects).is_some();
            queue.take_grants(now, is_paused, &allows)
        });
        let granted = granted.collect();
        self.queues = queues;
        granted
    }

    fn remove_lapsed(&mut self, now: Time) {
        self.unresolved.retain(|_, u| !u.is_forgotten(now));
        let mut unresolved = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|w| now.since(w.asked_at) < ASK_TTL);
            let lapsed = queue.running.extract_if(.., |r| r.has_lapsed(now));
            unresolved.extend(lapsed.map(|running| running.suspects));
        }
        for suspects in unresolved {
            self.record_unresolved(now, &suspects);
        }
        self.queues.retain(|_, queue| !queue.is_idle(now));
    }
}

impl Queue {
    /// Grants what may begin now. Requests with fewer suspects come first: their outcome says most about each of them.
    fn take_grants(
        &mut self,
        now: Time,
        is_paused: impl Fn(&[Fingerprint]) -> bool,
        allows: impl Fn(&TrialRequest, usize) -> bool,
    ) -> Vec<TrialRequest> {
        let mut order: Vec<TrialRequest> = self.waiting.iter().map(|w| w.request.clone()).collect();
        order.sort_by_key(|request| request.suspects.len());
        let mut granted = Vec::new();
        for request in order {
            if self.running.len() >= self.max_trials(now, request.servers) {
                break;
            }
            let mut running = self.running.iter();
            let is_running = running.any(|r| shares_any(&r.suspects, &request.suspects));
            if is_running || is_paused(&request.suspects) {
                continue;
            }
            if !allows(&request, self.running.len() + 1) {
                continue;
            }
            self.waiting.retain(|w| w.request.trial != request.trial);
            self.running.push(Running {
                trial: request.trial,
                suspects: request.suspects.clone(),
                granted_at: now,
                renewed_at: now,
            });
            granted.push(request);
        }
        granted
    }

    fn max_trials(&self, now: Time, servers: u16) -> usize {
        let crashed = self.crashed_at;
        match crashed.is_some_and(|at| now.since(at) < STRICT_TIME) {
            true => 1,
            false => usize::from(servers / SERVERS_PER_TRIAL).max(1),
        }
    }

    fn is_idle(&self, now: Time) -> bool {
        let crashed = self.crashed_at;
        let is_strict = crashed.is_some_and(|at| now.since(at) < STRICT_TIME);
        self.running.is_empty() && self.waiting.is_empty() && !is_strict
    }
}

impl Unresolved {
    fn pause(&self) -> Duration {
        let doubled = MIN_UNRESOLVED_PAUSE * (1 << (self.count - 1).min(8));
        doubled.min(MAX_UNRESOLVED_PAUSE)
    }

    fn is_forgotten(&self, now: Time) -> bool {
        now.since(self.latest) >= self.pause() * 2
    }
}

impl Running {
    fn has_lapsed(&self, now: Time) -> bool {
        now.since(self.renewed_at) >= TRIAL_LEASE || now.since(self.granted_at) >= MAX_TRIAL
    }
}

/// The trials that one entry asks for or holds.
#[derive(Debug, Default)]
pub struct OwnTrials {
    trials: HashMap<u64, OwnTrial>,
}

#[derive(Debug)]
struct OwnTrial {
    request: TrialRequest,
    // When it was last asked for, and the first time since the arbiter's last answer.
    asked_at: Option<Time>,
    unanswered_since: Option<Time>,
    // The value of `unanswered_since` at the last answer.
    answered_from: Option<Time>,
    // Until when it is held.
    held_until: Option<Time>,
    // Until when the arbiter grants it to nobody.
    paused_until: Option<Time>,
}

impl OwnTrials {
    /// Asks for a trial. Returns whether no other request with one of its suspects is on trial here, or about to be. One
    /// with more suspects, whose trial is not granted yet, is no hindrance.
    pub fn begin(&mut self, request: TrialRequest) -> bool {
        let mut trials = self.trials.values();
        let is_hindered = trials.any(|own| {
            let is_first =
                own.held_until.is_some() || own.request.suspects.len() <= request.suspects.len();
            is_first && shares_any(&own.request.suspects, &request.suspects)
        });
        if is_hindered {
            return false;
        }
        let id = request.trial;
        let trial = OwnTrial {
            request,
            asked_at: None,
            unanswered_since: None,
            answered_from: None,
            held_until: None,
            paused_until: None,
        };
        self.trials.insert(id, trial);
        true
    }

    /// The requests that are to be sent now.
    pub fn take_due(&mut self, now: Time) -> Vec<TrialRequest> {
        let due = self.trials.values_mut().filter(|own| own.is_due(now));
        let requests = due.map(|own| {
            own.asked_at = Some(now);
            own.unanswered_since.get_or_insert(now);
            own.request.clone()
        });
        requests.collect()
    }

    /// Takes an arbiter's answer in. Returns whether the trial is still wanted.
    pub fn answered(&mut self, trial: u64, granted: bool) -> bool {
        let Some(own) = self.trials.get_mut(&trial) else {
            return false;
        };
        // The lease began when the arbiter got one of the requests since then, at the earliest with the first. A grant may
        // follow another answer to the same request.
        own.answered_from = own.unanswered_since.take().or(own.answered_from);
        if let Some(asked) = own.answered_from.filter(|_| granted) {
            own.held_until = Some(asked + TRIAL_LEASE);
        }
        true
    }

    /// Records that the arbiter grants the trial to nobody for so long.
    pub fn set_paused(&mut self, now: Time, trial: u64, pause: Duration) {
        if let Some(own) = self.trials.get_mut(&trial) {
            own.paused_until = Some(now + pause);
        }
    }

    /// How long the trial is granted to nobody.
    pub fn paused_for(&self, now: Time, trial: u64) -> Option<Duration> {
        let until = self.trials.get(&trial)?.paused_until?;
        (until > now).then(|| until.since(now))
    }

    /// Whether the trial is held.
    pub fn is_held(&self, now: Time, trial: u64) -> bool {
        let own = self.trials.get(&trial);
        own.and_then(|own| own.held_until)
            .is_some_and(|until| now < until)
    }

    /// The service of a trial, or of a request for one.
    pub fn service(&self, trial: u64) -> Option<Fingerprint> {
        self.trials.get(&trial).map(|own| own.request.service)
    }

    /// The suspects of a trial, or of a request for one.
    pub fn suspects(&self, trial: u64) -> &[Fingerprint] {
        let own = self.trials.get(&trial);
        own.map_or(&[], |own| own.request.suspects.as_slice())
    }

    /// Removes a trial, or a request for one.
    pub fn end(&mut self, trial: u64) -> Option<TrialRequest> {
        self.trials.remove(&trial).map(|own| own.request)
    }
}

impl OwnTrial {
    fn is_due(&self, now: Time) -> bool {
        let interval = match self.held_until {
            Some(_) => RENEWAL_INTERVAL,
            None => ASK_INTERVAL,
        };
        self.asked_at.is_none_or(|at| now.since(at) >= interval)
    }
}

/// Whether all of `few` are among `many`.
fn is_subset(few: &[Fingerprint], many: &[Fingerprint]) -> bool {
    few.iter().all(|suspect| many.contains(suspect))
}

/// Whether a suspect is in both.
fn shares_any(one: &[Fingerprint], other: &[Fingerprint]) -> bool {
    one.iter().any(|suspect| other.contains(suspect))
}
