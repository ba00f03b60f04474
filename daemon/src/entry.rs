//! What all requests of an entry share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cicada_lib::claims::KeyDigest;
use cicada_lib::crash_mark::CrashMark;
use cicada_lib::crash_mark::Verdict;
use cicada_lib::handshake::PeerKey;
use cicada_lib::ids::Name;
use cicada_lib::load::LoadSummary;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::outcome::RetryReason;
use cicada_lib::router::Router;
use cicada_lib::routing::AttemptEnd;
use cicada_lib::routing::RouteRequest;
use cicada_lib::routing::ServerKey;
use cicada_lib::routing::ServerState;
use cicada_lib::routing::ServerView;
use cicada_lib::time::Clock;

use crate::attempts::Chosen;
use crate::dispatch::Request;
use crate::elsewhere::Elsewhere;
use crate::evidence::Evidence;
use crate::link::LoadSink;
use crate::links::Links;
use crate::mark_spread::MarkSink;
use crate::metrics::EntryMetrics;
use crate::status::Process;

/// The router with its clock. Held for microseconds, by traffic threads and by the control thread
/// when the list of servers changes.
pub(crate) struct Routing {
    clock: Clock,
    router: Mutex<Router>,
    evidence: Arc<Evidence>,
}

impl Routing {
    /// A routing over the router.
    pub(crate) fn new(clock: Clock, router: Router, evidence: Arc<Evidence>) -> Self {
        Routing {
            clock,
            evidence,
            router: Mutex::new(router),
        }
    }

    /// Takes the whole list of servers.
    pub(crate) fn set_servers(&self, servers: &[ServerView]) {
        let now = self.clock.now();
        self.lock().set_servers(now, servers);
    }

    fn lock(&self) -> MutexGuard<'_, Router> {
        self.router
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl LoadSink for Routing {
    fn report(&self, agent: &Name, load: LoadSummary) {
        let now = self.clock.now();
        let mut router = self.lock();
        if load.draining {
            router.set_state(now, agent, ServerState::Draining);
        }
        if let Some(server) = router.key(agent) {
            router.report(now, server, load);
        }
    }

    fn marks(&self, marks: &[CrashMark]) {
        self.evidence.learn(marks);
    }
}

/// An entry.
pub(crate) struct Entry {
    process: Arc<Process>,
    clock: Clock,
    routing: Arc<Routing>,
    links: Arc<Links>,
    metrics: EntryMetrics,
    peer_key: PeerKey,
    elsewhere: Mutex<Elsewhere>,
}

impl Entry {
    /// An entry.
    pub(crate) fn new(
        process: Arc<Process>,
        routing: Arc<Routing>,
        links: Arc<Links>,
        metrics: EntryMetrics,
        peer_key: PeerKey,
    ) -> Self {
        Entry {
            process,
            clock: routing.clock,
            routing,
            links,
            metrics,
            peer_key,
            elsewhere: Mutex::default(),
        }
    }

    /// The process.
    pub(crate) fn process(&self) -> &Arc<Process> {
        &self.process
    }

    /// The clock of all decisions.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The router.
    pub(crate) fn routing(&self) -> &Routing {
        &self.routing
    }

    /// The links to agents.
    pub(crate) fn links(&self) -> &Links {
        &self.links
    }

    /// The figures.
    pub(crate) fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// The system's key, for proofs in event identifiers.
    pub(crate) fn peer_key(&self) -> &PeerKey {
        &self.peer_key
    }

    /// How long a stream tries to go on.
    pub(crate) fn resume_window(&self) -> Duration {
        self.process.settings().millis("entry", "resume_window")
    }

    /// Chooses a server.
    pub(crate) fn choose(&self, ask: &RouteRequest<'_>) -> Result<Chosen, NotRun> {
        let now = self.clock.now();
        let mut router = self.routing.lock();
        let key = router.choose(now, ask, &mut fastrand::Rng::new())?;
        let gone = || NotRun::before_dispatch(RefusalReason::NoBackend, None);
        let name = router.name(key).cloned().ok_or_else(gone)?;
        router.started(now, key, ask);
        Ok(Chosen { key, name })
    }

    /// Tells the router of a first token.
    pub(crate) fn first_token(&self, server: ServerKey, waited: Duration) {
        let now = self.clock.now();
        self.routing.lock().first_token(now, server, waited);
    }

    /// Tells the router of the end of an attempt.
    pub(crate) fn finished(&self, server: ServerKey, end: &AttemptEnd) {
        let now = self.clock.now();
        self.routing.lock().finished(now, server, end);
    }

    /// The pause before another attempt, if the service's budget has one left.
    pub(crate) fn may_retry(&self, service: &Name, reason: RetryReason) -> Option<Duration> {
        let now = self.clock.now();
        self.routing.lock().may_retry(now, service, reason)
    }

    /// What is known of requests like this one.
    pub(crate) fn verdict(&self, request: &Request) -> Verdict {
        match request.fingerprint {
            Some(fingerprint) => self.routing.evidence.verdict(fingerprint),
            None => Verdict::Allow,
        }
    }

    /// The hash by which keyed calls, and copies of a suspect, keep to one agent.
    pub(crate) fn affinity(&self, request: &Request) -> Option<u64> {
        if request.key.is_empty() {
            let print = request.fingerprint?;
            let suspect = self.routing.evidence.verdict(print) == Verdict::Isolate;
            return suspect.then(|| print.affinity());
        }
        // All keys of a shard go to one agent, so that it alone commits the shard's claims.
        let shard = KeyDigest::new(&request.workspace, &request.key).shard();
        Some(u64::from(shard))
    }

    /// Tokens that the workspace got on other agents since its last request at this one.
    pub(crate) fn elsewhere(&self, workspace: &Name, agent: &Name) -> u64 {
        self.lock_elsewhere().take(workspace, agent)
    }

    /// Notes tokens that the workspace got.
    pub(crate) fn note_service(&self, workspace: &Name, agent: &Name, tokens: u32) {
        self.lock_elsewhere().note(workspace, agent, tokens);
    }

    fn lock_elsewhere(&self) -> MutexGuard<'_, Elsewhere> {
        self.elsewhere
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The agents' addresses out of a list of servers.
pub(crate) type Addresses = HashMap<Name, std::net::SocketAddr>;
