//! Decides what becomes of a stream when the body of its engine's answer has ended.

use cicada_lib::body_end::BodyEnd;
use cicada_lib::body_end::Framing;
use cicada_lib::body_end::Stop;
use cicada_lib::dialect::MoveStep;
use cicada_lib::ids::Name;

use crate::crash_check;
use crate::placed_request::PlacedRequest;
use crate::run_moves::Followed;
use crate::stream_run::Run;
use crate::stream_run::StreamEnd;
use crate::upstream;

/// A body that has ended, as it is logged: the run may be at another engine by then.
struct EndedBody {
    server: Name,
    framing: Framing,
    events: u64,
    partial: usize,
    // The step of a move by this relay that was in progress.
    step: Option<MoveStep>,
    // Whether a scout had announced a move.
    announced: bool,
    leaving: bool,
    failed_moves: u32,
}

impl Run {
    /// Handles the end of the body. Returns how the stream ends; `None` if it goes on at an engine.
    pub(crate) async fn handle_body_end(&mut self, stop: Stop) -> Option<StreamEnd> {
        let body = EndedBody {
            server: self.placed.record.id.clone(),
            framing: self.framing,
            events: self.events.count(),
            partial: self.events.partial_bytes(),
            step: self.moving.as_ref().map(|moving| moving.step),
            announced: self.is_move_announced(),
            leaving: self.placed.leaving_since().is_some(),
            failed_moves: self.failed_moves,
        };
        let end = BodyEnd::of(self.framing, stop, self.events.position_at_end());
        // An engine also ends a stream so when it stops the run for a move.
        if end == BodyEnd::Unconfirmed && self.expects_stop() {
            let followed = self.follow_stop().await;
            if followed != Followed::NotMoved {
                self.record_body_end(&body, end.after_move(true));
                return self.go_on(followed).await;
            }
        }
        let end = confirm_end(end, &self.placed).await;
        self.record_body_end(&body, end);
        if end == BodyEnd::Complete {
            return Some(StreamEnd::Complete);
        }
        let followed = self.follow_stop().await;
        self.go_on(followed).await
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

    fn record_body_end(&self, body: &EndedBody, end: BodyEnd) {
        let why = end.as_str();
        self.relay.metrics().count_body_end(body.framing, why);
        if end != BodyEnd::Complete {
            tracing::info!(
                id = self.call.id(),
                server = %body.server,
                framing = %body.framing,
                why,
                events = body.events,
                partial = body.partial,
                moving = body.step.is_some(),
                "stream: broken off by its engine"
            );
        }
        if body.framing == Framing::Close {
            tracing::info!(
                id = self.call.id(),
                server = %body.server,
                why,
                step = ?body.step,
                announced = body.announced,
                leaving = body.leaving,
                failed_moves = body.failed_moves,
                events = body.events,
                "stream: its connection was its end"
            );
        }
    }
}

/// Settles the end of a body that nothing but its connection marked: the port of a server whose process has died refuses
/// connections. Costs one round trip, and only such a body's end waits for it.
pub(crate) async fn confirm_end(end: BodyEnd, placed: &PlacedRequest) -> BodyEnd {
    match end {
        BodyEnd::Unconfirmed => {
            let is_there = upstream::accepts(placed.record.address, placed.round_trip()).await;
            end.confirm(is_there)
        }
        settled => settled,
    }
}
