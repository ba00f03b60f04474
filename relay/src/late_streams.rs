//! Streams that come to a relay, or are still open, while it drains.
//!
//! What is decided for each is in `cicada_lib::drain_admission`, on what `cicada_lib::stream_timings` has observed.

use std::sync::Mutex;
use std::time::Duration;

use cicada_lib::drain_admission;
use cicada_lib::drain_admission::LateRefusal;
use cicada_lib::drain_admission::LateRequest;
use cicada_lib::stream_timings::AcceptedStream;
use cicada_lib::stream_timings::StreamEvidence;
use cicada_lib::stream_timings::StreamTimings;
use cicada_lib::time::Time;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::answer::LocalResponse;
use crate::answer::ResponseBody;
use crate::exchange::Call;
use crate::exchange::RETRY_ELSEWHERE;
use crate::lock::lock;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::send::StartedAnswer;
use crate::stream;
use crate::stream_run::BodyRead;

/// Maximum number of streams that are logged when they are cut.
const MAX_LOGGED: usize = 100;

/// An observation as it is logged: the value, and how long ago it was made, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct LoggedEvidence {
    first: Option<u64>,
    first_age: Option<u64>,
    gap: Option<u64>,
    gap_age: Option<u64>,
    pause: u64,
}

impl LoggedEvidence {
    fn new(now: Time, evidence: &StreamEvidence) -> Self {
        let (first, gap) = (evidence.first_event, evidence.gap);
        LoggedEvidence {
            first: first.map(|first| millis(first.value)),
            first_age: first.map(|first| millis(now.since(first.at))),
            gap: gap.map(|gap| millis(gap.value)),
            gap_age: gap.map(|gap| millis(now.since(gap.at))),
            pause: millis(evidence.pause),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Relay {
    /// Decides whether a stream may be sent to the engine that was chosen for it, and on what; `None` unless this relay
    /// drains.
    pub(crate) fn accept_stream(
        &self,
        call: &Call,
        placed: &PlacedRequest,
    ) -> Result<Option<AcceptedStream>, LateRefusal> {
        let Some(left) = self.grace_left() else {
            return Ok(None);
        };
        let evidence = self.stream_evidence(call, placed);
        let request = LateRequest {
            grace: self.grace(),
            left,
            time_limit: call.time_left(),
            expected: stream::length(call).time(&evidence),
        };
        let verdict = request.check();
        let observed = LoggedEvidence::new(self.now(), &evidence);
        tracing::info!(
            id = call.id(),
            server = %placed.record.id,
            why = verdict.err().map(LateRefusal::as_str),
            left = millis(left),
            early = request.is_early(),
            expected = request.stream_time().map(millis),
            first = observed.first,
            first_age = observed.first_age,
            gap = observed.gap,
            gap_age = observed.gap_age,
            pause = observed.pause,
            "stream: checked, this relay is about to end"
        );
        verdict.map(|()| {
            Some(AcceptedStream {
                left,
                is_early: request.is_early(),
                expected: request.stream_time(),
                evidence,
            })
        })
    }

    /// What is known of the time that the stream takes at the engine. Nothing if the engine leaves: the stream goes on at
    /// another one then.
    fn stream_evidence(&self, call: &Call, placed: &PlacedRequest) -> StreamEvidence {
        if placed.leaving_since().is_some() {
            return StreamEvidence::default();
        }
        let (now, prompt) = (self.now(), call.head.prompt);
        let reported = self.fleet().event_gaps(now, placed.key).unwrap_or_default();
        let (alone, beside) = (reported.alone, reported.beside_prefill);
        let reported = |millis: u16| Duration::from_millis(millis.into());
        lock(self.stream_timings())
            .evidence(now, &call.service, placed.key, prompt)
            .with_reported_gap(now, reported(alone.mean_ms), reported(alone.p99_ms))
            .with_reported_gap(now, reported(beside.mean_ms), reported(beside.p99_ms))
            .with_prefill_backlog(placed.basis.prefill_backlog)
    }

    /// Refuses a stream that may not end in time.
    pub(crate) fn refuse_late_stream(&self, why: LateRefusal) -> Response<ResponseBody> {
        self.metrics().count_refusal(why.as_str());
        LocalResponse::NotRun(RETRY_ELSEWHERE).into_response()
    }

    /// Waits for the beginning of a stream that was accepted late, before its caller gets the head. If it comes so late
    /// that the stream would be cut, the caller gets a final answer instead; the request may have run.
    pub(crate) async fn first_read(
        &self,
        call: &Call,
        accepted: Option<&AcceptedStream>,
        answered: &mut StartedAnswer,
    ) -> Result<Option<BodyRead>, LocalResponse> {
        let late = accepted.filter(|accepted| !accepted.is_early);
        let (Some(accepted), Some(left)) = (late, self.grace_left()) else {
            return Ok(None);
        };
        let time_limit = call.time_left();
        let streaming = stream::length(call).streaming_time(&accepted.evidence);
        let until =
            Instant::now() + drain_admission::first_event_limit(left, time_limit, streaming);
        if let Ok(frame) = timeout_at(until, answered.body.frame()).await {
            return Ok(Some(BodyRead::of(frame)));
        }
        self.metrics().count_answer("drain_over");
        tracing::warn!(
            id = call.id(),
            left = self.grace_left().map(millis),
            streaming = streaming.map(millis),
            waited = millis(call.arrived.elapsed()),
            "stream: given up, its first event comes too late: this relay is about to end"
        );
        Err(match call.time_left().is_zero() {
            true => LocalResponse::DeadlineExceeded,
            false => LocalResponse::Failed,
        })
    }

    /// Logs the streams that are cut by the end of the process: when each was sent, and on what it was accepted.
    pub(crate) fn log_cut_streams(&self) {
        let now = self.now();
        let grace = self.grace();
        let timings = lock(self.stream_timings());
        for stream in timings.open_streams().take(MAX_LOGGED) {
            let accepted = stream.sent.accepted;
            let evidence = accepted.map(|accepted| accepted.evidence);
            let observed = LoggedEvidence::new(stream.sent_at, &evidence.unwrap_or_default());
            tracing::warn!(
                id = %stream.sent.id,
                service = %stream.sent.service,
                events = stream.events,
                open = millis(now.since(stream.sent_at)),
                after_signal = accepted.map(|accepted| millis(grace.saturating_sub(accepted.left))),
                early = accepted.map(|accepted| accepted.is_early),
                expected = accepted.and_then(|accepted| accepted.expected).map(millis),
                first = observed.first,
                first_age = observed.first_age,
                gap = observed.gap,
                gap_age = observed.gap_age,
                pause = observed.pause,
                "stream: cut by the end of this relay"
            );
        }
    }

    /// The timings of this relay's streams.
    pub(crate) fn stream_timings(&self) -> &Mutex<StreamTimings> {
        self.drain.timings()
    }
}
