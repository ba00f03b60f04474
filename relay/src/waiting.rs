//! Places streams, and lets those wait for which no engine has capacity and whose route's objective allows it.
//! `cicada_lib::admission::wait_queue` decides who waits, for how long and in which order.

use std::sync::Arc;
use std::time::Duration;

use cicada_lib::admission::wait_queue;
use cicada_lib::admission::wait_queue::QueueFull;
use cicada_lib::admission::wait_queue::WaitRequest;
use cicada_lib::ids::Name;
use cicada_lib::route_table::AdmissionChange;
use cicada_lib::route_table::Denied;
use cicada_lib::stream_admission::AdmissionError;
use cicada_lib::stream_admission::AdmissionRequest;
use cicada_lib::stream_admission::Rejection;
use http::Response;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::attempts::Attempts;
use crate::exchange::Call;
use crate::exchange::RETRY_ELSEWHERE;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::stream;
use crate::wait_queues::QueueEntry;
use crate::wait_queues::QueueKey;

/// Callers heed a `Retry-After` of at most this fraction (one third) of their remaining time.
const HEEDED_DIVISOR: u32 = 3;

/// Why a stream was not placed.
pub(crate) enum Unplaced {
    /// Its caller gets this answer.
    Answer(Response<ResponseBody>),
    /// No server is eligible.
    NoServer,
}

/// Why a wait ended without a server.
enum WaitFailure {
    Expired,
    NoServer,
    Draining,
    Changed(AdmissionChange),
}

/// A stream that is to be placed for the first time.
struct Waiter<'a> {
    relay: &'a Arc<Relay>,
    call: &'a Call,
    tokens: u64,
    admission: &'a AdmissionRequest,
}

/// Chooses a server for a stream. If the engines are overloaded it may wait for capacity, unless it was sent before.
pub(crate) async fn place(
    relay: &Arc<Relay>,
    call: &Call,
    attempts: &mut Attempts,
    tokens: u64,
    admission: &AdmissionRequest,
) -> Result<PlacedRequest, Unplaced> {
    let waiter = Waiter {
        relay,
        call,
        tokens,
        admission,
    };
    let is_first = attempts.sends() == 0;
    let key = queue_key(relay, call);
    let may_wait = is_first && waiter.has_slack();
    if may_wait
        && relay.wait_queues().is_ahead_of(&key, admission.rank)
        && let Some(rejection) = attempts.outlook(relay, call, tokens)
        && let Some(limit) = waiter.limit(rejection.expected_load.own_prefill_time)
    {
        return waiter.wait(attempts, &key, &rejection, limit).await;
    }
    let admission_check = relay.policy().refuse.then_some(admission);
    match attempts.place(relay, call, tokens, admission_check).await {
        Ok(placed) => {
            if !admission.age.is_zero() {
                relay.wait_queues().record_returned(&key);
            }
            Ok(placed)
        }
        Err(AdmissionError::Rejected(rejection)) if may_wait => {
            match waiter.limit(rejection.expected_load.own_prefill_time) {
                Some(limit) => waiter.wait(attempts, &key, &rejection, limit).await,
                None => Err(waiter.reject(&rejection, Duration::ZERO)),
            }
        }
        Err(AdmissionError::Rejected(rejection)) if is_first => {
            Err(waiter.reject(&rejection, Duration::ZERO))
        }
        Err(_) => Err(Unplaced::NoServer),
    }
}

fn queue_key(relay: &Relay, call: &Call) -> QueueKey {
    QueueKey {
        service: call.service.clone(),
        regions: relay.table().regions_now(&call.admitted),
    }
}

impl Waiter<'_> {
    /// Whether the settings and the route's objective let the stream wait. A suspected request on trial does not wait:
    /// its copies wait for the trial.
    fn has_slack(&self) -> bool {
        let (relay, policy) = (self.relay, self.relay.policy());
        let may_wait = policy.refuse && policy.wait && !relay.is_draining();
        may_wait && self.call.trial().is_none() && self.limit(Duration::ZERO).is_some()
    }

    /// How long the stream may wait; `None` if it may not.
    fn limit(&self, own_prefill: Duration) -> Option<Duration> {
        let tightest = self.relay.table().tightest_objective(&self.call.service)?;
        let (objective, age) = (self.admission.objective, self.admission.age);
        let limit = wait_queue::wait_limit(objective, tightest, own_prefill, age)?;
        let left = self.call.time_left().saturating_sub(tightest + own_prefill);
        Some(limit.min(left)).filter(|limit| !limit.is_zero())
    }

    async fn wait(
        &self,
        attempts: &mut Attempts,
        key: &QueueKey,
        rejection: &Rejection,
        limit: Duration,
    ) -> Result<PlacedRequest, Unplaced> {
        let (relay, call) = (self.relay, self.call);
        let request = WaitRequest {
            rank: self.admission.rank,
            returning: !self.admission.age.is_zero(),
            over_share: self.admission.over_share,
            tokens: self.tokens,
            limit,
        };
        let place = match relay.wait_queues().enter(key.clone(), &request) {
            Ok(place) => place,
            Err(full) => return Err(self.refuse_entry(key, rejection, &full, limit)),
        };
        let mut record = WaitRecord::begin(relay, call, key, &request);
        let end = self.wait_for_turns(attempts, &place, Instant::now() + limit, &mut record);
        let end = end.await;
        match end {
            Ok(placed) => {
                place.leave_placed();
                record.end("served");
                match relay.clear_to_send(call).await {
                    Ok(()) => Ok(placed),
                    Err(why) => Err(Unplaced::Answer(relay.refuse_suspect(call, why))),
                }
            }
            Err(WaitFailure::Expired) => {
                let waited = record.end("expired");
                Err(self.reject(rejection, waited))
            }
            Err(WaitFailure::NoServer) => {
                place.hand_on();
                record.end("no_server");
                Err(Unplaced::NoServer)
            }
            Err(WaitFailure::Draining) => {
                let waited = record.end("draining");
                Err(self.reject_elsewhere("draining", waited))
            }
            Err(WaitFailure::Changed(change)) => {
                let waited = record.end("config");
                Err(self.reject_changed(change, waited))
            }
        }
    }

    /// Takes turns with the other waiting requests until the stream is placed, or may wait no longer.
    async fn wait_for_turns(
        &self,
        attempts: &mut Attempts,
        place: &QueueEntry,
        until: Instant,
        record: &mut WaitRecord<'_>,
    ) -> Result<PlacedRequest, WaitFailure> {
        let relay = self.relay;
        loop {
            self.check_again()?;
            let due = place.due();
            tokio::select! {
                biased;
                () = sleep_until(until) => return Err(WaitFailure::Expired),
                () = place.woken() => continue,
                () = sleep_until(due.unwrap_or(until)) => {}
            }
            let Some(turn) = place.begin_try() else {
                continue;
            };
            record.tries += 1;
            let admission = self.waiting_admission();
            let found = attempts.place_waiting(relay, self.call, self.tokens, &admission, &turn);
            match found.await {
                Some(Ok(placed)) => return self.check_again().map(|()| placed),
                Some(Err(AdmissionError::NoServer(_))) => return Err(WaitFailure::NoServer),
                Some(Err(AdmissionError::Rejected(_))) | None => place.record_unfit(),
            }
        }
    }

    /// Checks that the stream may still be sent: this relay does not drain, and the configuration admits it.
    fn check_again(&self) -> Result<(), WaitFailure> {
        if self.relay.is_draining() {
            return Err(WaitFailure::Draining);
        }
        let call = self.call;
        let key = call.head.key.as_ref().map(Name::as_str);
        let table = self.relay.table();
        let admitted = table.check_again(&call.admitted, &call.service, key);
        admitted.map_err(WaitFailure::Changed)
    }

    /// The admission check of the stream while it waits. As the slack is for the wait, an engine must begin it within the
    /// tightest objective. It gets no bonus for its age: waiting streams would fill the memory that is left free for more
    /// urgent ones.
    fn waiting_admission(&self) -> AdmissionRequest {
        let (service, workspace) = (&self.call.service, &self.call.admitted.workspace);
        let tightest = self.relay.table().tightest_objective(service);
        AdmissionRequest {
            age: Duration::ZERO,
            over_share: self.relay.is_over_share(service, workspace.as_ref()),
            objective: tightest.unwrap_or(self.admission.objective),
            waiting: true,
            ..*self.admission
        }
    }

    /// Rejects the stream because the engines are overloaded.
    fn reject(&self, rejection: &Rejection, waited: Duration) -> Unplaced {
        let (relay, call) = (self.relay, self.call);
        let admission = AdmissionRequest {
            age: self.admission.age + waited,
            ..*self.admission
        };
        let pause = relay.retry_delay(&call.service, &admission, call.time_left());
        Unplaced::Answer(stream::reject(relay, call, &admission, rejection, pause))
    }

    /// Rejects a stream that would not be placed in time behind those that wait already.
    fn refuse_entry(
        &self,
        key: &QueueKey,
        rejection: &Rejection,
        full: &QueueFull,
        limit: Duration,
    ) -> Unplaced {
        let relay = self.relay;
        let (waiting, rate) = relay.wait_queues().outlook(key);
        relay.metrics().count_wait("refused");
        tracing::info!(
            id = self.call.id(),
            service = %key.service,
            ahead = full.ahead,
            waiting,
            rate,
            limit = limit.as_millis() as u64,
            "wait: refused at entry"
        );
        let left = self.call.time_left();
        let pause = relay.retry_delay(&self.call.service, self.admission, left);
        let pause = pause.max(full.shorter_in.min(left / HEEDED_DIVISOR));
        Unplaced::Answer(stream::reject(
            relay,
            self.call,
            self.admission,
            rejection,
            pause,
        ))
    }

    /// Rejects the stream, which other relays can serve at once.
    fn reject_elsewhere(&self, why: &str, waited: Duration) -> Unplaced {
        let relay = self.relay;
        let age = self.admission.age + waited;
        let fingerprint = self.call.fingerprint();
        relay
            .recent_rejections()
            .record(relay.now(), fingerprint, age, RETRY_ELSEWHERE);
        relay.metrics().count_refusal(why);
        relay.metrics().count_answer("not_run");
        Unplaced::Answer(LocalResponse::NotRun(RETRY_ELSEWHERE).into_response())
    }

    /// Rejects a stream that the configuration no longer admits, with the answer that it would get now.
    fn reject_changed(&self, change: AdmissionChange, waited: Duration) -> Unplaced {
        let (why, response) = match change {
            AdmissionChange::Rerouted => return self.reject_elsewhere("rerouted", waited),
            AdmissionChange::Denied(Denied::NoRoute) => ("no_route", LocalResponse::NoRoute),
            AdmissionChange::Denied(Denied::BadKey) => ("bad_key", LocalResponse::InvalidKey),
        };
        self.relay.metrics().count_refusal(why);
        Unplaced::Answer(response.into_response())
    }
}

/// Logs and counts a wait; as that of a caller that left if it is dropped before its end.
struct WaitRecord<'a> {
    relay: &'a Relay,
    call: &'a Call,
    began: Instant,
    tries: u32,
    ended: bool,
}

impl<'a> WaitRecord<'a> {
    fn begin(relay: &'a Relay, call: &'a Call, key: &QueueKey, request: &WaitRequest) -> Self {
        let (waiting, rate) = relay.wait_queues().outlook(key);
        relay.metrics().count_wait("entered");
        tracing::info!(
            id = call.id(),
            service = %key.service,
            rank = request.rank,
            returning = request.returning,
            over = request.over_share,
            tokens = request.tokens,
            limit = request.limit.as_millis() as u64,
            waiting,
            rate,
            "wait: entered"
        );
        WaitRecord {
            relay,
            call,
            began: Instant::now(),
            tries: 0,
            ended: false,
        }
    }

    fn waited(&self) -> Duration {
        self.began.elapsed()
    }

    fn end(&mut self, outcome: &str) -> Duration {
        self.ended = true;
        let waited = self.waited();
        self.relay.metrics().count_wait(outcome);
        self.relay.metrics().observe_wait(waited);
        tracing::info!(
            id = self.call.id(),
            waited = waited.as_millis() as u64,
            tries = self.tries,
            "wait: {outcome}"
        );
        waited
    }
}

impl Drop for WaitRecord<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end("caller_left");
        }
    }
}
