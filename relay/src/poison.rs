//! Keeps poison requests from backend servers. `cicada_lib::quarantine` decides which requests may be sent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::crash_mark::CrashId;
use cicada_lib::crash_mark::Exposure;
use cicada_lib::crash_mark::Verdict;
use cicada_lib::fingerprint::Fingerprint;
use cicada_lib::peer_messages::SuspectNotice;
use cicada_lib::peer_messages::TrialMessage;
use cicada_lib::quarantine::Admission;
use cicada_lib::quarantine::CrashedRun;
use cicada_lib::quarantine::Quarantine;
use cicada_lib::quarantine::Refusal;
use cicada_lib::suspects::Suspicion;
use cicada_lib::time::Time;
use http::Response;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::exchange::Call;
use crate::lock::lock;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;

/// Longest wait of a copy for the outcome of another one's trial.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How long after its start a relay asks others for evidence.
pub(crate) const EVIDENCE_QUERY_TIME: Duration = Duration::from_secs(3);

/// Longest wait of the first request for the first answer to that; later ones do not wait. One comes within a round trip to
/// a scout or another relay, unless all of them have just started.
const MAX_EVIDENCE_WAIT: Duration = Duration::from_millis(300);

/// Maximum number of suspects on the status page.
const MAX_LISTED: usize = 64;

/// The quarantine of a relay, shared by its requests and its exchange with other processes.
pub(crate) struct Poison {
    quarantine: Mutex<Quarantine>,
    // Whether there is evidence against any request. Requests are not hashed otherwise.
    has_evidence: AtomicBool,
    // Whether another process has told what it knows, or there was none before this one.
    is_informed: AtomicBool,
    // Incremented when evidence or trials change.
    changes: watch::Sender<u64>,
    // Notified when there is something to tell other processes.
    news: Notify,
}

/// A trial that this relay asks for or holds for a copy of a suspect, until dropped.
pub(crate) struct Trial {
    relay: Arc<Relay>,
    id: u64,
    // Whether the copy is at a server, and nothing shows yet what becomes of it.
    is_unresolved: bool,
}

impl Poison {
    /// Creates one without evidence, for the relay at this address. `first_start` says that no relays ran before.
    pub(crate) fn new(own: SocketAddr, first_start: bool) -> Self {
        let quarantine = match first_start {
            true => Quarantine::new(own).with_first_start(),
            false => Quarantine::new(own),
        };
        Poison {
            quarantine: Mutex::new(quarantine),
            has_evidence: AtomicBool::new(false),
            is_informed: AtomicBool::new(first_start),
            changes: watch::Sender::new(0),
            news: Notify::new(),
        }
    }

    /// Waits until there is something to tell other processes.
    pub(crate) async fn has_news(&self) {
        self.news.notified().await;
    }

    /// Whether there is something to tell that has to wait for the budget.
    pub(crate) fn is_delayed(&self, now: Time) -> bool {
        self.lock().is_delayed(now)
    }

    /// What other processes are to be told.
    pub(crate) fn take_unsent(&self, now: Time) -> Option<SuspectNotice> {
        self.lock().take_unsent(now)
    }

    /// Charges the bytes of a notice that was sent.
    pub(crate) fn charge(&self, now: Time, bytes: usize) {
        self.lock().charge(now, bytes);
    }

    /// Much of the evidence, for a process that may lack it.
    pub(crate) fn samples(&self, now: Time) -> Vec<SuspectNotice> {
        match self.has_evidence() {
            true => self.lock().samples(now),
            false => Vec::new(),
        }
    }

    /// Whether this relay has just started and does not know yet what others know.
    pub(crate) fn awaits_evidence(&self, now: Time) -> bool {
        !self.is_informed.load(Ordering::Relaxed) && now.since(Time::ZERO) < EVIDENCE_QUERY_TIME
    }

    /// Ends the wait for evidence, for all requests.
    fn set_informed(&self) {
        if !self.is_informed.swap(true, Ordering::Relaxed) {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Takes in what another process tells.
    pub(crate) fn merge(&self, now: Time, notice: &SuspectNotice) {
        self.set_informed();
        let mut quarantine = self.lock();
        let was_refused = quarantine.refused_in(now, notice);
        if quarantine.merge(now, notice) {
            self.announce(&quarantine);
        }
        let still_refused = quarantine.refused_in(now, notice);
        for fingerprint in was_refused.difference(&still_refused) {
            tracing::warn!(%fingerprint, "poison: no longer refused, another process has cleared it");
        }
    }

    /// Asks for trials and grants them as far as it is due, among these other relays. Returns the messages to send.
    pub(crate) fn advance_trials(
        &self,
        now: Time,
        relays: Vec<SocketAddr>,
    ) -> Vec<(SocketAddr, TrialMessage)> {
        let mut quarantine = self.lock();
        quarantine.set_entries(relays);
        quarantine.advance_trials(now);
        let messages = quarantine.take_outgoing();
        drop(quarantine);
        // A trial that this relay grants itself needs no message.
        self.changes.send_modify(|count| *count += 1);
        messages
    }

    /// Takes in a message about a trial, among these other relays. Returns the messages to send.
    pub(crate) fn handle_trial(
        &self,
        now: Time,
        relays: Vec<SocketAddr>,
        message: TrialMessage,
    ) -> Vec<(SocketAddr, TrialMessage)> {
        let mut quarantine = self.lock();
        quarantine.set_entries(relays);
        quarantine.handle(now, message);
        self.announce(&quarantine);
        quarantine.take_outgoing()
    }

    /// Records that another relay was heard.
    pub(crate) fn record_heard(&self, relay: SocketAddr) {
        self.lock().record_heard(relay);
    }

    /// What is known of each suspect, the refused ones first.
    pub(crate) fn listing(&self, now: Time) -> Vec<Suspicion> {
        let mut listing = self.lock().listing(now);
        listing.truncate(MAX_LISTED);
        listing
    }

    /// What keeps a request from being sent, with the number of crashes that count against each, for logs.
    fn suspects(&self, now: Time, subjects: &[Fingerprint]) -> String {
        let quarantine = self.lock();
        let suspects = quarantine.suspects_among(now, subjects).into_iter();
        let suspects = suspects.map(|f| format!("{f}:{}", quarantine.crashes(now, f).len()));
        suspects.collect::<Vec<String>>().join(",")
    }

    /// The crashes that count against these suspects, for logs.
    fn crashes(&self, now: Time, subjects: &[Fingerprint]) -> String {
        let quarantine = self.lock();
        let crashes = subjects.iter().flat_map(|s| quarantine.crashes(now, *s));
        let crashes: BTreeSet<String> = crashes.map(|crash| crash.to_string()).collect();
        crashes.into_iter().collect::<Vec<String>>().join(",")
    }

    /// Whether there is evidence against any request.
    pub(crate) fn has_evidence(&self) -> bool {
        self.has_evidence.load(Ordering::Relaxed)
    }

    /// Lets waiting requests and other processes know of a change.
    fn announce(&self, quarantine: &Quarantine) {
        let has_evidence = quarantine.has_evidence();
        self.has_evidence.store(has_evidence, Ordering::Relaxed);
        self.changes.send_modify(|count| *count += 1);
        self.news.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }
}

impl Relay {
    /// Tells the quarantine which servers each service has, as often as that is due.
    pub(crate) fn update_trial_servers(&self) {
        let now = self.now();
        if self.poison.lock().needs_servers(now) {
            let listed = self.fleet().listed_servers(now);
            self.poison.lock().set_servers(now, listed);
        }
    }

    /// Waits until the request may be sent to a backend server. If it is a suspect, it is on trial from then on.
    pub(crate) async fn clear_to_send(self: &Arc<Self>, call: &Call) -> Result<(), Refusal> {
        self.wait_for_evidence(call).await;
        if !self.poison.has_evidence() || call.trial().is_some() {
            return Ok(());
        }
        let give_up_at = Instant::now() + MAX_WAIT.min(call.time_left() / 4);
        let candidate = call.candidate(self.server_count(&call.service));
        let mut changes = self.poison.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let (relay, id) = (self.clone(), fastrand::u64(..));
            let admission = self.poison.lock().admit(self.now(), &candidate, id);
            match admission {
                Admission::Free => return Ok(()),
                Admission::Refused(why) => return Err(why),
                Admission::Asked => {
                    let is_unresolved = false;
                    let trial = Trial {
                        relay,
                        id,
                        is_unresolved,
                    };
                    self.poison.news.notify_one();
                    let subjects = &candidate.subjects;
                    let held = self.wait_for_trial(subjects, &trial, give_up_at).await;
                    self.log_trial(call, subjects, held == Ok(true));
                    if held? {
                        call.set_trial(Some(trial));
                        return Ok(());
                    }
                }
                Admission::Wait => {
                    let _ = timeout_at(give_up_at, changes.changed()).await;
                }
            }
            if Instant::now() >= give_up_at {
                let quarantine = self.poison.lock();
                return Err(quarantine.wait_refusal(self.now(), &candidate));
            }
        }
    }

    /// Waits after a start until another process has told what it knows of poison requests.
    async fn wait_for_evidence(&self, call: &Call) {
        let give_up_at = Instant::now() + MAX_EVIDENCE_WAIT.min(call.time_left() / 4);
        let mut changes = self.poison.changes.subscribe();
        while self.poison.awaits_evidence(self.now()) {
            if timeout_at(give_up_at, changes.changed()).await.is_err() {
                self.poison.set_informed();
            }
        }
    }

    /// Waits until the trial is held. Returns `false` if the request needs none any more or another one, or waited long.
    async fn wait_for_trial(
        &self,
        subjects: &[Fingerprint],
        trial: &Trial,
        give_up_at: Instant,
    ) -> Result<bool, Refusal> {
        let mut changes = self.poison.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let now = self.now();
            if self.poison.lock().holds_trial(now, trial.id) {
                return Ok(true);
            }
            let why = {
                let quarantine = self.poison.lock();
                quarantine.trial_refusal(now, subjects, trial.id)
            };
            if let Some(why) = why {
                return Err(why);
            }
            let is_wanted = {
                let quarantine = self.poison.lock();
                quarantine.verdict(now, subjects) == Verdict::Isolate
                    && quarantine.covers(now, trial.id, subjects)
            };
            if !is_wanted || timeout_at(give_up_at, changes.changed()).await.is_err() {
                return Ok(false);
            }
        }
    }

    /// Whether the request may be sent this moment: it may have become a suspect while it waited for a server.
    pub(crate) fn may_send(&self, call: &Call) -> bool {
        if !self.poison.has_evidence() {
            return true;
        }
        let quarantine = self.poison.lock();
        quarantine.may_send(self.now(), &call.subjects(), call.trial())
    }

    fn log_trial(&self, call: &Call, subjects: &[Fingerprint], held: bool) {
        let outcome = if held { "held" } else { "given_up" };
        self.metrics().count_trial(outcome);
        tracing::info!(
            id = call.id(),
            fingerprint = %call.content(),
            outcome,
            suspects = self.poison.suspects(self.now(), subjects),
            crashes = self.poison.crashes(self.now(), subjects),
            waited = call.arrived.elapsed().as_millis() as u64,
            "poison: a suspect's trial"
        );
    }

    /// Records that the server's process ended while it ran the request, unless it was to end.
    pub(crate) fn record_crash(&self, call: &Call, placed: &PlacedRequest) {
        if placed.leaving_since().is_some() {
            return;
        }
        let trial = call.trial();
        let exposure = match trial.is_some() {
            true => Exposure::Trial,
            false => Exposure::Crowd,
        };
        let run = CrashedRun {
            subjects: call.subjects(),
            trial,
            crash: CrashId::of_server(&placed.record.id, placed.record.born),
            opened_at: call.opened_at(),
        };
        let mut quarantine = self.poison.lock();
        let earlier = quarantine.crashes(self.now(), call.content()).len();
        let (crash, verdict) = quarantine.record_crash(self.now(), &run);
        self.poison.announce(&quarantine);
        drop(quarantine);
        call.set_unresolved(false);
        call.set_trial(None);
        self.metrics().count_crash(exposure.as_str());
        self.metrics().count_crashed_request(earlier > 0);
        tracing::warn!(
            id = call.id(),
            fingerprint = %call.content(),
            earlier,
            parts = joined(call.shared_parts()),
            suspects = self.poison.suspects(self.now(), &run.subjects),
            %crash,
            server = %placed.record.id,
            exposure = exposure.as_str(),
            verdict = verdict.as_str(),
            "poison: a server crashed under the request"
        );
    }

    /// Records that a server has answered on the request's prompt and lives on.
    pub(crate) fn record_harmless(&self, call: &Call) {
        if self.poison.has_evidence() || call.trial().is_some() {
            self.clear(call, &call.subjects());
        } else {
            let parts = call.shared_parts().iter().copied();
            self.record_sound(call.cheap_content().into_iter().chain(parts));
        }
    }

    /// Records that a server answered the request with a failure and lives on. It may not have begun on the prompt.
    pub(crate) fn record_survived(&self, call: &Call) {
        if self.poison.has_evidence() || call.trial().is_some() {
            self.clear(call, &[call.content()]);
        } else {
            self.record_sound(call.cheap_content());
        }
    }

    /// Remembers what servers answered on while there is no evidence against any request.
    fn record_sound(&self, subjects: impl IntoIterator<Item = Fingerprint>) {
        let subjects: Vec<Fingerprint> = subjects.into_iter().collect();
        if !subjects.is_empty() {
            self.poison.lock().record_sound(self.now(), &subjects);
        }
    }

    /// Clears subjects of a request, and ends its trial.
    fn clear(&self, call: &Call, subjects: &[Fingerprint]) {
        let mut quarantine = self.poison.lock();
        if quarantine.record_success(self.now(), subjects) {
            self.poison.announce(&quarantine);
        }
        drop(quarantine);
        call.set_unresolved(false);
        call.set_trial(None);
    }

    /// Records that the answer to the request was lost at a server of which nothing shows whether it crashed.
    pub(crate) fn record_loss(&self, call: &Call, placed: &PlacedRequest) {
        if placed.leaving_since().is_some() {
            return;
        }
        let mut quarantine = self.poison.lock();
        let is_suspect = quarantine.record_loss(self.now(), &call.subjects(), fastrand::u64(..));
        self.poison.announce(&quarantine);
        drop(quarantine);
        if is_suspect {
            self.metrics().count_crash(Exposure::Lost.as_str());
            tracing::warn!(
                id = call.id(),
                fingerprint = %call.content(),
                server = %placed.record.id,
                "poison: answers to the request were lost several times"
            );
        }
    }

    /// Drops the evidence against requests that an operator says are no poison.
    pub fn clear_suspects(&self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            let mut quarantine = self.poison.lock();
            if quarantine.record_success(self.now(), &[*fingerprint]) {
                self.poison.announce(&quarantine);
                tracing::info!(%fingerprint, "poison: cleared by the settings");
            }
        }
    }

    /// Refuses a request that did not run.
    pub(crate) fn refuse_suspect(&self, call: &Call, why: Refusal) -> Response<ResponseBody> {
        let (reason, pause) = match why {
            Refusal::Poison(left) => ("poison", left),
            Refusal::PoisonPart(left) => ("poison_part", left),
            Refusal::OnTrial(left) | Refusal::Paused(left) => ("suspect", left),
            Refusal::NoSpareServer(left) => ("no_spare_server", left),
        };
        self.metrics().count_refusal(reason);
        self.metrics().count_answer("not_run");
        tracing::info!(
            id = call.id(),
            reason,
            fingerprint = %call.content(),
            suspects = self.poison.suspects(self.now(), &call.subjects()),
            crashes = self.poison.crashes(self.now(), &call.subjects()),
            service = %call.service,
            pause = pause.as_millis() as u64,
            "poison: refused"
        );
        LocalResponse::NotRun(pause).into_response()
    }
}

impl Trial {
    /// Its identifier.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Sets whether the copy is at a server and its outcome unknown.
    pub(crate) fn set_unresolved(&mut self, is_unresolved: bool) {
        self.is_unresolved = is_unresolved;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let poison = &self.relay.poison;
        let mut quarantine = poison.lock();
        quarantine.end_trial(self.relay.now(), self.id, self.is_unresolved);
        poison.announce(&quarantine);
    }
}

fn joined(fingerprints: &[Fingerprint]) -> String {
    let texts = fingerprints.iter().map(Fingerprint::to_string);
    texts.collect::<Vec<String>>().join(",")
}
