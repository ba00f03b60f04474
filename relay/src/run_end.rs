//! Decides what becomes of a stream when the body of its engine's answer has ended.

use cicada_lib::body_end::BodyEnd;
use cicada_lib::body_end::Framing;
use cicada_lib::body_end::Stop;
use cicada_lib::ids::Name;
use cicada_lib::migration::run_stops::OpenStop;

use crate::crash_check;
use crate::end_proof;
use crate::run_stop::Followed;
use crate::stream_run::Run;
use crate::stream_run::StreamEnd;

/// A body that has ended, as it is logged: the run may be at another engine by then.
struct EndedBody {
    server: Name,
    framing: Framing,
    events: u64,
    partial: usize,
    leaving: bool,
    // The stop that may have ended it.
    stop: Option<OpenStop>,
}

impl Run {
    /// Handles the end of the body. Returns how the stream ends; `None` if it goes on at an engine.
    pub(crate) async fn handle_body_end(&mut self, stop: Stop) -> Option<StreamEnd> {
        let end = BodyEnd::of(self.framing, stop, self.events.position_at_end());
        let body = EndedBody {
            server: self.placed.record.id.clone(),
            framing: self.framing,
            events: self.events.count(),
            partial: self.events.partial_bytes(),
            leaving: self.placed.leaving_since().is_some(),
            stop: self.end_body(),
        };
        if end == BodyEnd::Complete {
            self.record_body_end(&body, end, Followed::NotStopped);
            return Some(StreamEnd::Complete);
        }
        let followed = self.follow_stop().await;
        let end = end.after_stop(followed.run_stop());
        let end = end_proof::confirm_end(end, &self.relay, &self.call, &self.placed).await;
        self.record_body_end(&body, end, followed);
        match end {
            BodyEnd::Complete => Some(StreamEnd::Complete),
            _ => self.go_on(followed).await,
        }
    }

    /// Has a stream that its engine broke off go on, in another run if it was not moved.
    async fn go_on(&mut self, followed: Followed) -> Option<StreamEnd> {
        if followed == Followed::GoesOn {
            return None;
        }
        let (relay, call, placed) = (&self.relay, &self.call, &self.placed);
        let loss = match self.is_past_probation() {
            true => crash_check::classify_loss(relay, call, placed).await,
            false => crash_check::handle_loss(relay, call, placed).await,
        };
        (!self.restart(loss).await).then_some(StreamEnd::Lost)
    }

    fn record_body_end(&self, body: &EndedBody, end: BodyEnd, followed: Followed) {
        let why = end.as_str();
        self.relay.metrics().count_body_end(body.framing, why);
        let message = match (end, body.framing) {
            (BodyEnd::Complete, Framing::Length | Framing::Chunks) => return,
            (BodyEnd::Complete, Framing::Close) => "stream: its connection was its end",
            _ => "stream: broken off by its engine",
        };
        let stop = body.stop.as_ref();
        tracing::info!(
            id = self.call.id(),
            server = %body.server,
            framing = %body.framing,
            why,
            events = body.events,
            partial = body.partial,
            leaving = body.leaving,
            // Who could have stopped the run, what was known then, and what became known.
            stopper = stop.map(|stop| stop.request.by.as_str()),
            known = stop.map(|stop| stop.state.as_str()),
            outcome = followed.as_str(),
            failed_moves = self.failed_moves,
            "{message}"
        );
    }
}
