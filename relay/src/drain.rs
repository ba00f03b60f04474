//! Graceful shutdown of a relay: new callers are sent elsewhere first, and what is open gets its answer.
//!
//! What is decided for each request is in `cicada_lib::drain_admission`; `docs/design/draining.md` has the table.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::call_timings::CallTimings;
use cicada_lib::drain_admission::ANSWER_MARGIN;
use cicada_lib::drain_admission::DEREGISTRATION_DELAY;
use cicada_lib::drain_admission::ExpectedTime;
use cicada_lib::drain_admission::LateRefusal;
use cicada_lib::drain_admission::LateRequest;
use cicada_lib::drain_admission::STOP_MARGIN;
use cicada_lib::site::CallKind;
use cicada_lib::stream_timings::StreamTimings;
use http::Response;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::exchange::Call;
use crate::exchange::RETRY_ELSEWHERE;
use crate::lock::lock;
use crate::relay::Relay;
use crate::send_gate::SendGate;

/// When idle connections are closed, so that their callers reconnect through the load balancer. A connection that is
/// opened later serves a single request.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_200);

/// How often the number of open requests and connections is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long no request must have been open before the listener closes.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Time before the platform's forced stop at which the listener closes at the latest: a request whose connection was
/// opened later would hardly be answered.
const ACCEPT_MARGIN: Duration = Duration::from_millis(1_800);

/// A phase of a relay's life. Each includes what the ones before it do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum DrainPhase {
    /// Connections are kept.
    Serving,
    /// Idle connections are closed.
    ClosingIdle,
    /// No more connections are accepted, and those without a request are closed.
    Closing,
    /// Requests without an answer get one from the relay itself.
    Ending,
}

/// The state of a relay's shutdown.
pub(crate) struct DrainState {
    // When it began.
    started: Mutex<Option<Instant>>,
    phase: watch::Sender<DrainPhase>,
    // Open connections of callers, and the listener while it accepts more.
    connections: Arc<AtomicUsize>,
    calls: Mutex<CallTimings>,
    timings: Mutex<StreamTimings>,
}

impl DrainState {
    /// Creates the state of a relay that serves.
    pub(crate) fn new() -> Self {
        DrainState {
            started: Mutex::default(),
            phase: watch::Sender::new(DrainPhase::Serving),
            connections: Arc::default(),
            calls: Mutex::default(),
            timings: Mutex::default(),
        }
    }

    /// The timings of the relay's streams.
    pub(crate) fn timings(&self) -> &Mutex<StreamTimings> {
        &self.timings
    }
}

/// Counts a connection as open until dropped.
pub(crate) struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Relay {
    pub(crate) fn is_draining(&self) -> bool {
        self.grace_left().is_some()
    }

    /// The time left until the process is killed, if it drains.
    pub(crate) fn grace_left(&self) -> Option<Duration> {
        let started = *lock(&self.drain.started);
        started.map(|started| self.grace().saturating_sub(started.elapsed()))
    }

    fn set_draining(&self) {
        lock(&self.drain.started).get_or_insert_with(Instant::now);
        self.wait_queues().wake_all();
    }

    fn set_drain_phase(&self, phase: DrainPhase) {
        self.drain.phase.send_replace(phase);
    }

    pub(crate) fn drain_phase(&self) -> watch::Receiver<DrainPhase> {
        self.drain.phase.subscribe()
    }

    /// Waits until requests without an answer must get one.
    pub(crate) async fn drain_ending(&self) {
        let mut phase = self.drain_phase();
        // The wait fails only if the relay is gone.
        drop(phase.wait_for(|phase| *phase == DrainPhase::Ending).await);
    }

    /// Counts a connection, or the listener, as open.
    pub(crate) fn open_connection(&self) -> ConnectionGuard {
        self.drain.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.drain.connections.clone())
    }

    fn open_connections(&self) -> usize {
        self.drain.connections.load(Ordering::Relaxed)
    }

    /// The timings of this relay's calls.
    pub(crate) fn call_timings(&self) -> &Mutex<CallTimings> {
        &self.drain.calls
    }

    /// Whether the request is taken, if this relay drains.
    fn check_late(&self, call: &Call) -> Result<(), LateRefusal> {
        let Some(left) = self.grace_left() else {
            return Ok(());
        };
        let expected = match call.admitted.route.kind {
            // Checked again when its engine is known.
            CallKind::Streaming => ExpectedTime::Stream {
                expected: Duration::ZERO,
                longest: Some(Duration::ZERO),
            },
            kind => ExpectedTime::Call {
                repeatable: kind == CallKind::Idempotent,
                slowest: lock(self.call_timings()).longest(self.now(), &call.service),
            },
        };
        let request = LateRequest {
            grace: self.grace(),
            left,
            time_limit: call.time_left(),
            expected,
        };
        request.check()
    }

    /// Refuses the request if this relay drains and it may not be answered in time.
    pub(crate) fn refuse_late(&self, call: &Call) -> Option<Response<ResponseBody>> {
        let why = self.check_late(call).err()?;
        self.metrics().count_refusal(why.as_str());
        tracing::info!(
            id = call.id(),
            why = why.as_str(),
            left = self.grace_left().map(|left| left.as_millis() as u64),
            service = %call.service,
            "request: refused, this relay is about to end"
        );
        Some(LocalResponse::NotRun(RETRY_ELSEWHERE).into_response())
    }

    /// Answers a request that has no answer at the end of the grace period. It is not sent to any server from now on.
    pub(crate) fn end_request(&self, gate: &SendGate) -> Response<ResponseBody> {
        let sends = gate.close();
        let (outcome, own) = match sends {
            0 => ("not_run", LocalResponse::NotRun(RETRY_ELSEWHERE)),
            _ => ("drain_over", LocalResponse::Failed),
        };
        self.metrics().count_answer(outcome);
        if sends == 0 {
            self.metrics().count_refusal("draining_unsent");
        }
        tracing::warn!(
            id = gate.id(),
            outcome,
            sends,
            "request: ended by the end of the grace period"
        );
        own.into_response()
    }
}

/// Drains a relay, and returns when its process may exit.
pub async fn drain(relay: &Arc<Relay>) {
    let begun = Instant::now();
    // A relay that was never ready gets no callers from the load balancer.
    let was_ready = relay.is_ready();
    relay.set_draining();
    tracing::info!(
        requests = relay.open_requests(),
        connections = relay.open_connections(),
        "process: draining"
    );
    let margin = |margin| begun + relay.grace().saturating_sub(margin);
    let closing = close_in_steps(relay, was_ready, begun, margin(ACCEPT_MARGIN));
    if timeout_at(margin(ANSWER_MARGIN), closing).await.is_err() {
        relay.set_drain_phase(DrainPhase::Ending);
        // An answer that its caller does not read keeps its connection open.
        drop(timeout_at(margin(STOP_MARGIN), connections_closed(relay)).await);
    }
    let open = relay.open_requests();
    relay.log_cut_streams();
    tracing::info!(
        open,
        connections = relay.open_connections(),
        waited = begun.elapsed().as_millis(),
        "process: drained"
    );
}

/// Closes idle connections, then the listener, and returns when no connection is open.
async fn close_in_steps(relay: &Relay, was_ready: bool, begun: Instant, accept_until: Instant) {
    if was_ready {
        sleep_until(begun + IDLE_CLOSE_DELAY).await;
        relay.set_drain_phase(DrainPhase::ClosingIdle);
        sleep_until(begun + DEREGISTRATION_DELAY).await;
        drop(timeout_at(accept_until, quiet(relay)).await);
    }
    // A caller whose connection is refused reconnects to another relay.
    relay.set_drain_phase(DrainPhase::Closing);
    connections_closed(relay).await;
}

/// Waits until no request has been open for a while.
async fn quiet(relay: &Relay) {
    let mut quiet_since = Instant::now();
    while quiet_since.elapsed() < QUIET_PERIOD {
        sleep(POLL_INTERVAL).await;
        if relay.open_requests() > 0 {
            quiet_since = Instant::now();
        }
    }
}

/// Waits until no connection is open: all answers are written then.
async fn connections_closed(relay: &Relay) {
    while relay.open_connections() > 0 {
        sleep(POLL_INTERVAL).await;
    }
}
