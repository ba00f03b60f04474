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

use crate::copy_type;
use crate::fingerprint::Fingerprint;
use crate::suspects::CrashMark;
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

copy_type! {
    /// An entry's request for a trial, repeated until the trial has ended.
    pub struct TrialRequest {
        /// A random number that identifies the trial.
        pub trial: u64,
        /// The suspect.
        pub content: Fingerprint,
        /// Its service.
        pub service: Fingerprint,
        /// The number of the service's servers that the entry knows.
        pub servers: u16,
        /// The entry that is to hold the trial.
        pub entry: SocketAddr,
        /// How often the request was passed on to another arbiter.
        pub hops: u8,
    }
}

value_type! {
    /// An arbiter's answer to a request.
    pub struct TrialReply {
        /// The trial.
        pub trial: u64,
        /// The service of the suspect.
        pub service: Fingerprint,
        /// Whether it is granted, from the request on for [`TRIAL_LEASE`]. Otherwise it waits for its turn.
        pub granted: bool,
        /// Milliseconds for which the suspect is not tried, since the outcome of its last trial is unknown.
        pub paused: Option<u32>,
        /// What the arbiter knows of the suspect, if that decides whether it may run.
        pub marks: Vec<CrashMark>,
    }

    /// The end of a trial, or of a request for one.
    pub struct TrialEnd {
        /// The trial.
        pub trial: u64,
        /// The service of the suspect.
        pub service: Fingerprint,
        /// What the holder knows of the suspect.
        pub marks: Vec<CrashMark>,
        /// The suspect, if it was sent and its outcome is unknown.
        pub unresolved: Option<Fingerprint>,
    }
}

/// Decides whose turn it is, for the services whose arbiter an entry is.
#[derive(Debug, Default)]
pub struct Arbiter {
    // At most `MAX_SERVICES`.
    queues: HashMap<Fingerprint, Queue>,
    // Requests whose last trial has no known outcome. At most `MAX_UNRESOLVED`.
    unresolved: HashMap<Fingerprint, Unresolved>,
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

#[derive(Clone, Copy, Debug)]
struct Running {
    trial: u64,
    content: Fingerprint,
    granted_at: Time,
    renewed_at: Time,
}

#[derive(Clone, Copy, Debug)]
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
                request: *request,
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

    /// Records that a trial of the request ended without a known outcome.
    pub fn record_unresolved(&mut self, now: Time, content: Fingerprint) {
        if !self.unresolved.contains_key(&content) && self.unresolved.len() >= MAX_UNRESOLVED {
            return;
        }
        let first = Unresolved {
            count: 0,
            latest: now,
        };
        let unresolved = self.unresolved.entry(content).or_insert(first);
        unresolved.count += 1;
        unresolved.latest = now;
    }

    /// Records that a trial of the request succeeded.
    pub fn record_success(&mut self, content: Fingerprint) {
        self.unresolved.remove(&content);
    }

    /// How long the request is not tried, since the outcome of its last trial is unknown.
    pub fn paused_for(&self, now: Time, content: Fingerprint) -> Option<Duration> {
        let unresolved = self.unresolved.get(&content)?;
        let left = unresolved.pause().checked_sub(now.since(unresolved.latest));
        left.filter(|left| !left.is_zero())
    }

    /// Grants what may begin now.
    pub fn take_grants(&mut self, now: Time) -> Vec<TrialRequest> {
        self.remove_lapsed(now);
        let unresolved = &self.unresolved;
        let queues = self.queues.values_mut();
        let granted = queues.flat_map(|queue| queue.take_grants(now, unresolved));
        granted.collect()
    }

    fn remove_lapsed(&mut self, now: Time) {
        self.unresolved.retain(|_, u| !u.is_forgotten(now));
        let mut unresolved = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|w| now.since(w.asked_at) < ASK_TTL);
            let lapsed = queue.running.extract_if(.., |r| r.has_lapsed(now));
            unresolved.extend(lapsed.map(|running| running.content));
        }
        for content in unresolved {
            self.record_unresolved(now, content);
        }
        self.queues.retain(|_, queue| !queue.is_idle(now));
    }
}

impl Queue {
    fn take_grants(
        &mut self,
        now: Time,
        unresolved: &HashMap<Fingerprint, Unresolved>,
    ) -> Vec<TrialRequest> {
        let mut granted = Vec::new();
        let mut place = 0;
        while let Some(Waiting { request, .. }) = self.waiting.get(place).copied() {
            if self.running.len() >= self.max_trials(now, request.servers) {
                break;
            }
            let is_running = self.running.iter().any(|r| r.content == request.content);
            let unresolved = unresolved.get(&request.content);
            if is_running || unresolved.is_some_and(|u| u.is_paused(now)) {
                place += 1;
                continue;
            }
            self.waiting.remove(place);
            self.running.push(Running {
                trial: request.trial,
                content: request.content,
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

    fn is_paused(&self, now: Time) -> bool {
        now.since(self.latest) < self.pause()
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
    /// Asks for a trial. Returns whether no other copy of the suspect is on trial here, or about to be.
    pub fn begin(&mut self, request: TrialRequest) -> bool {
        let mut trials = self.trials.values();
        if trials.any(|own| own.request.content == request.content) {
            return false;
        }
        let trial = OwnTrial {
            request,
            asked_at: None,
            unanswered_since: None,
            answered_from: None,
            held_until: None,
            paused_until: None,
        };
        self.trials.insert(request.trial, trial);
        true
    }

    /// The requests that are to be sent now.
    pub fn take_due(&mut self, now: Time) -> Vec<TrialRequest> {
        let due = self.trials.values_mut().filter(|own| own.is_due(now));
        let requests = due.map(|own| {
            own.asked_at = Some(now);
            own.unanswered_since.get_or_insert(now);
            own.request
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
