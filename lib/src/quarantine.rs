//! Which requests an entry may send to backend servers, after servers have crashed under requests like them.
//!
//! Load pattern: one request crashes each server that runs it, and comes again through any entry, several copies and
//! several such requests at the same moment among them, while a request that many callers send is in flight at every
//! crash. Without memory the requests take all servers of a service again as soon as they are back.
//!
//! The entries share the evidence by gossip ([`crate::suspects`]); what is new to an entry it passes on. A copy of a suspect is
//! sent only on a trial that the arbiter of its service has granted ([`crate::suspect_trials`], [`crate::arbiter_route`]),
//! which also tells what it knows of the suspect: whatever is late costs time, not servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::arbiter_route::ArbiterRoute;
use crate::copy_type;
use crate::crash_mark::CrashId;
use crate::crash_mark::CrashMark;
use crate::crash_mark::Exposure;
use crate::crash_mark::News;
use crate::crash_mark::Verdict;
use crate::fingerprint::Fingerprint;
use crate::lost_answers::LostAnswers;
use crate::peer_messages::SuspectNotice;
use crate::peer_messages::TrialMessage;
use crate::server_reserve::ListedServer;
use crate::server_reserve::ServerReserve;
use crate::sound_subjects::SoundSubjects;
use crate::spread_budget::SpreadBudget;
use crate::suspect_trials::Arbiter;
use crate::suspect_trials::OwnTrials;
use crate::suspect_trials::TRIAL_LEASE;
use crate::suspect_trials::TrialRequest;
use crate::suspects::Suspects;
use crate::suspects::Suspicion;
use crate::time::Time;
use crate::value_type;

/// Maximum number of marks in a notice. They fit into a datagram.
const MAX_MARKS: usize = 20;

/// Maximum number of notices in which a process that may lack the evidence is told of it.
const MAX_SAMPLES: usize = 4;

/// Retry-after of a suspect whose service has no server to spare for a trial.
const SPARE_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Interval at which an entry takes over the servers of each service, while there is evidence and otherwise.
const SERVERS_INTERVAL: Duration = Duration::from_millis(200);
const IDLE_SERVERS_INTERVAL: Duration = Duration::from_secs(2);

/// Kinds of news in the order in which they are told.
const NEWS: [News; 4] = [News::Proof, News::Part, News::Suspicion, News::Clearance];

copy_type! {
    /// Why a request may not be sent.
    pub enum Refusal {
        /// Servers crashed under requests like it. It is tried again after this time, when the evidence has lapsed.
        Poison(Duration),
        /// Servers crashed under requests that share a part of its prompt. The same.
        PoisonPart(Duration),
        /// No trial was granted to it yet. It may be granted one after this time.
        OnTrial(Duration),
        /// A server has just crashed under a copy on trial. It is tried again after this time.
        Paused(Duration),
        /// A trial might take the last server of the service. There may be another one after this time.
        NoSpareServer(Duration),
    }

    /// Whether a request may be sent.
    pub enum Admission {
        /// It may be sent beside other copies.
        Free,
        /// A trial is asked for. It may be sent once that is held.
        Asked,
        /// Another copy is on trial here, or a trial is asked for it; or the service has no server to spare for one.
        Wait,
        /// It must not be sent.
        Refused(Refusal),
    }
}

value_type! {
    /// A request that is to be sent.
    pub struct Candidate {
        /// What may be the cause if it crashes a server: itself, and the parts of its prompt that others share.
        pub subjects: Vec<Fingerprint>,
        /// Its service.
        pub service: Fingerprint,
        /// The number of the service's servers.
        pub servers: u16,
    }

    /// A request under which a server crashed.
    pub struct CrashedRun {
        /// What may be the cause.
        pub subjects: Vec<Fingerprint>,
        /// The trial that it held.
        pub trial: Option<u64>,
        /// The crash.
        pub crash: CrashId,
        /// When the connection was opened that broke off.
        pub opened_at: Time,
    }
}

/// What one entry knows of poison requests.
#[derive(Debug)]
pub struct Quarantine {
    pub(crate) suspects: Suspects,
    sound: SoundSubjects,
    pub(crate) reserve: ServerReserve,
    pub(crate) lost: LostAnswers,
    // The trials that this entry asks for or holds, and those that it grants.
    pub(crate) own: OwnTrials,
    pub(crate) arbiter: Arbiter,
    pub(crate) route: ArbiterRoute,
    // The revisions of the evidence up to which others were told, for each of `NEWS`.
    told: [u64; NEWS.len()],
    // Messages about trials to be sent, at most `quarantine_trials::MAX_OUTGOING`.
    pub(crate) outgoing: Vec<(SocketAddr, TrialMessage)>,
    budget: SpreadBudget,
}

impl Quarantine {
    /// Creates an instance without evidence, for the entry at this address.
    pub fn new(own: SocketAddr) -> Self {
        Quarantine {
            suspects: Suspects::new(),
            sound: SoundSubjects::default(),
            reserve: ServerReserve::default(),
            lost: LostAnswers::default(),
            own: OwnTrials::default(),
            arbiter: Arbiter::default(),
            route: ArbiterRoute::new(own),
            told: [0; NEWS.len()],
            outgoing: Vec::new(),
            budget: SpreadBudget::default(),
        }
    }

    /// The same for an entry of a deployment that starts for the first time.
    pub fn with_first_start(self) -> Self {
        Quarantine {
            route: self.route.with_first_start(),
            ..self
        }
    }

    /// Sets the other entries.
    pub fn set_entries(&mut self, entries: Vec<SocketAddr>) {
        self.route.set_entries(entries);
    }

    /// Records that another entry was heard.
    pub fn record_heard(&mut self, entry: SocketAddr) {
        self.route.record_heard(entry);
    }

    /// Whether the servers that it knows are out of date.
    pub fn needs_servers(&self, now: Time) -> bool {
        let interval = match self.has_evidence() {
            true => SERVERS_INTERVAL,
            false => IDLE_SERVERS_INTERVAL,
        };
        self.reserve.age(now).is_none_or(|age| age >= interval)
    }

    /// Sets the servers of each service.
    pub fn set_servers(&mut self, now: Time, listed: HashMap<Fingerprint, Vec<ListedServer>>) {
        self.reserve.set_listed(now, listed);
    }

    /// Whether the service's servers allow a trial of these suspects.
    fn allows_trial(&self, now: Time, service: Fingerprint, suspects: &[Fingerprint]) -> bool {
        let crashes = self.suspects.most_crashes(now, suspects);
        self.reserve
            .allows_trial(now, service, 1, crashes, &self.suspects)
    }

    /// Decides whether a copy of the request may be sent, and asks for a trial if it needs one. `trial` is a random number
    /// for this copy.
    pub fn admit(&mut self, now: Time, candidate: &Candidate, trial: u64) -> Admission {
        if let Err(refusal) = self.check(now, &candidate.subjects) {
            return Admission::Refused(refusal);
        }
        let suspects = self.suspects.suspects_among(now, &candidate.subjects);
        if suspects.is_empty() {
            return Admission::Free;
        }
        if !self.allows_trial(now, candidate.service, &suspects) {
            return Admission::Wait;
        }
        let request = TrialRequest {
            trial,
            suspects,
            service: candidate.service,
            servers: candidate.servers,
            entry: self.route.own(),
            hops: 0,
        };
        match self.own.begin(request) {
            true => Admission::Asked,
            false => Admission::Wait,
        }
    }

    /// Whether a request with these suspects is neither refused nor paused.
    pub(crate) fn check(&self, now: Time, subjects: &[Fingerprint]) -> Result<(), Refusal> {
        if let Some(left) = self.suspects.joint_refused_for(now, subjects) {
            let mut suspects = subjects.iter().filter(|s| !s.is_prompt_part());
            let is_itself = suspects.any(|s| self.suspects.verdict(now, *s) == Verdict::Refuse);
            return Err(match is_itself {
                true => Refusal::Poison(left),
                false => Refusal::PoisonPart(left),
            });
        }
        match self.suspects.joint_paused_for(now, subjects) {
            Some(left) => Err(Refusal::Paused(left)),
            None => Ok(()),
        }
    }

    /// How a request with these suspects may be run.
    pub fn verdict(&self, now: Time, subjects: &[Fingerprint]) -> Verdict {
        self.suspects.joint_verdict(now, subjects)
    }

    /// Those of the subjects of a request that keep it from running beside others.
    pub fn suspects_among(&self, now: Time, subjects: &[Fingerprint]) -> Vec<Fingerprint> {
        self.suspects.suspects_among(now, subjects)
    }

    /// Whether a copy may be sent this moment, on this trial if it has one.
    pub fn may_send(&self, now: Time, subjects: &[Fingerprint], trial: Option<u64>) -> bool {
        match (self.verdict(now, subjects), trial) {
            (Verdict::Allow, _) => true,
            (Verdict::Isolate, Some(trial)) => {
                self.own.is_held(now, trial)
                    && self.allows_own_trial(now, trial)
                    && self.covers(now, trial, subjects)
                    && self.check(now, subjects).is_ok()
            }
            _ => false,
        }
    }

    fn allows_own_trial(&self, now: Time, trial: u64) -> bool {
        let (service, suspects) = (self.own.service(trial), self.own.suspects(trial));
        service.is_none_or(|service| self.allows_trial(now, service, suspects))
    }

    /// Whether a trial was asked for all suspects that the request has by now.
    pub fn covers(&self, now: Time, trial: u64, subjects: &[Fingerprint]) -> bool {
        let tried = self.own.suspects(trial);
        let suspects = self.suspects.suspects_among(now, subjects);
        suspects.iter().all(|suspect| tried.contains(suspect))
    }

    /// Why no trial of the request will be granted, as far as it is known by now.
    pub fn trial_refusal(
        &self,
        now: Time,
        subjects: &[Fingerprint],
        trial: u64,
    ) -> Option<Refusal> {
        let paused = self.own.paused_for(now, trial).map(Refusal::Paused);
        paused.or(self.check(now, subjects).err())
    }

    /// Why a request that has waited long enough is refused.
    pub fn wait_refusal(&self, now: Time, candidate: &Candidate) -> Refusal {
        match self.allows_trial(now, candidate.service, &candidate.subjects) {
            true => Refusal::OnTrial(TRIAL_LEASE),
            false => Refusal::NoSpareServer(SPARE_RETRY_AFTER),
        }
    }

    /// Whether a trial is held.
    pub fn holds_trial(&self, now: Time, trial: u64) -> bool {
        self.own.is_held(now, trial)
    }

    /// Records a crash. Returns its identifier, and how requests like the one under which it was may be run from now on.
    pub fn record_crash(&mut self, now: Time, run: &CrashedRun) -> (CrashId, Verdict) {
        let crash = self
            .suspects
            .crash_after(&run.subjects, run.crash, run.opened_at);
        let tried = run.trial.map_or(&[][..], |trial| self.own.suspects(trial));
        let marks = run.subjects.iter().map(|subject| CrashMark {
            fingerprint: *subject,
            crash,
            exposure: match tried.contains(subject) {
                true => Exposure::Trial,
                false => Exposure::Crowd,
            },
            run: run.trial.unwrap_or_default() as u32,
            cleared: false,
            age: 0,
        });
        let marks: Vec<CrashMark> = marks.collect();
        let marks = self.excuse_sound(now, &marks);
        self.suspects.merge(now, &marks);
        (crash, self.verdict(now, &run.subjects))
    }

    /// Records that the answer to the request was lost, and nothing shows whether its server crashed. `loss` is a random
    /// number. Returns whether the request is a suspect by it.
    pub fn record_loss(&mut self, now: Time, subjects: &[Fingerprint], loss: u64) -> bool {
        let mut marks = Vec::new();
        for subject in subjects {
            let is_suspicious = self.lost.record_loss(now, *subject);
            if !is_suspicious
                || self.suspects.verdict(now, *subject) != Verdict::Allow
                || self.sound.excuses(*subject, now)
            {
                continue;
            }
            marks.push(CrashMark {
                fingerprint: *subject,
                crash: CrashId(loss),
                exposure: Exposure::Lost,
                run: 0,
                cleared: false,
                age: 0,
            });
        }
        self.suspects.merge(now, &marks);
        !marks.is_empty()
    }

    /// Records that a server ran the request and lived on. Returns whether something of it was a suspect.
    pub fn record_success(&mut self, now: Time, subjects: &[Fingerprint]) -> bool {
        let before = self.suspects.revision();
        for subject in subjects {
            self.lost.record_success(*subject);
            self.suspects.record_success(*subject);
        }
        self.record_sound(now, subjects);
        self.suspects.revision() != before
    }

    /// Records that a server answered on these subjects, of which none is a suspect here.
    pub fn record_sound(&mut self, now: Time, subjects: &[Fingerprint]) {
        for subject in subjects {
            self.sound.record_success(now, *subject);
        }
    }

    /// Takes in what another process tells. Returns whether anything is new.
    pub fn merge(&mut self, now: Time, notice: &SuspectNotice) -> bool {
        let marks = self.excuse_sound(now, &notice.marks);
        !self.suspects.take_in(now, &marks).is_empty()
    }

    /// Clears the marks of what this entry knows to be sound. Others are told, so that all excuse the same crashes.
    fn excuse_sound(&mut self, now: Time, marks: &[CrashMark]) -> Vec<CrashMark> {
        let excused = marks.iter().map(|mark| {
            let crashed_at = now.before(Duration::from_micros(mark.age));
            let is_sound = self.sound.has_answered_since(mark.fingerprint, crashed_at);
            // Of a run on trial, nothing is excused: the blame would fall on its other parts.
            let is_excusable = mark.exposure == Exposure::Crowd && mark.run == 0 && !is_sound;
            let is_excused = is_excusable && self.sound.excuses(mark.fingerprint, crashed_at);
            CrashMark {
                cleared: mark.cleared || is_sound || is_excused,
                ..mark.clone()
            }
        });
        excused.collect()
    }

    /// What others have not been told yet, if there is something and the budget for it is not used up. The most urgent
    /// comes first.
    pub fn take_unsent(&mut self, now: Time) -> Option<SuspectNotice> {
        for (place, news) in NEWS.into_iter().enumerate() {
            if !self.budget.allows(now, news) {
                continue;
            }
            let told = self.told[place];
            let (marks, told) = self.suspects.next_changes(now, news, told, MAX_MARKS);
            self.told[place] = told;
            if !marks.is_empty() {
                return Some(SuspectNotice { marks });
            }
        }
        None
    }

    /// Whether there is something to tell that has to wait for the budget.
    pub fn is_delayed(&mut self, now: Time) -> bool {
        let revision = self.suspects.revision();
        let untold = self
            .told
            .iter()
            .zip(NEWS)
            .filter(|(told, _)| **told < revision);
        let untold: Vec<News> = untold.map(|(_, news)| news).collect();
        untold
            .into_iter()
            .any(|news| !self.budget.allows(now, news))
    }

    /// The requests in a notice that are refused.
    pub fn refused_in(&self, now: Time, notice: &SuspectNotice) -> HashSet<Fingerprint> {
        let named = notice.marks.iter().map(|mark| mark.fingerprint);
        let refused = named.filter(|f| self.suspects.verdict(now, *f) == Verdict::Refuse);
        refused.collect()
    }

    /// Charges the bytes of a notice that was sent.
    pub fn charge(&mut self, now: Time, bytes: usize) {
        self.budget.charge(now, bytes);
    }

    /// Much of the evidence, for a process that may lack it.
    pub fn samples(&self, now: Time) -> Vec<SuspectNotice> {
        SuspectNotice::samples_of(&self.suspects, now)
    }

    /// Whether there is evidence against any request, or an answer was lost.
    pub fn has_evidence(&self) -> bool {
        self.suspects.has_open_marks() || !self.lost.is_empty()
    }

    /// What is known of each suspect, the refused ones first.
    pub fn listing(&self, now: Time) -> Vec<Suspicion> {
        self.suspects.listing(now)
    }

    /// The crashes that count against the request or the part.
    pub fn crashes(&self, now: Time, fingerprint: Fingerprint) -> Vec<CrashId> {
        self.suspects.crashes(now, fingerprint)
    }
}

impl SuspectNotice {
    /// The answer to a process that asks for the evidence: the samples of it, or an empty notice if there is none.
    pub fn answers(samples: Vec<Self>) -> Vec<Self> {
        match samples.is_empty() {
            true => vec![SuspectNotice::default()],
            false => samples,
        }
    }

    /// Notices with the evidence, that against refused requests first, as far as it fits into a few.
    pub fn samples_of(suspects: &Suspects, now: Time) -> Vec<Self> {
        let marks = suspects.sample(now, MAX_SAMPLES * MAX_MARKS);
        let notices = marks.chunks(MAX_MARKS);
        notices
            .map(|marks| SuspectNotice {
                marks: marks.to_vec(),
            })
            .collect()
    }
}
