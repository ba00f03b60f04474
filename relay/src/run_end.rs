//! Decides what becomes of a stream when the body of its engine's answer has ended.

use cicada_lib::body_end::BodyEnd;
use cicada_lib::body_end::Stop;

use crate::placed_request::PlacedRequest;
use crate::run_moves::Followed;
use crate::send::NoAnswer;
use crate::stream_run::Run;
use crate::stream_run::StreamEnd;
use crate::upstream;

impl Run {
    /// Handles the end of the body. Returns how the stream ends; `None` if it goes on at an engine.
    pub(crate) async fn handle_body_end(&mut self, stop: Stop) -> Option<StreamEnd> {
        let mut end = BodyEnd::of(self.framing, stop, self.events.position_at_end());
        // Such an end is also how an engine ends the stream of a run that it stops for a move.
        let may_be_stopped = end == BodyEnd::Unconfirmed && self.expects_stop();
        let mut followed = Followed::NotMoved;
        if may_be_stopped {
            followed = self.follow_stop().await;
            end = end.after_move(followed != Followed::NotMoved);
        }
        end = confirm_end(end, &self.placed).await;
        self.record_body_end(end);
        if end == BodyEnd::Complete {
            return Some(StreamEnd::Complete);
        }
        if !may_be_stopped {
            followed = self.follow_stop().await;
        }
        let goes_on = followed == Followed::GoesOn || self.restart(NoAnswer::Unknown).await;
        (!goes_on).then_some(StreamEnd::Lost)
    }

    fn record_body_end(&self, end: BodyEnd) {
        let why = end.as_str();
        self.relay.metrics().count_body_end(self.framing, why);
        if end != BodyEnd::Complete {
            tracing::info!(
                id = self.call.id(),
                server = %self.placed.record.id,
                framing = %self.framing,
                why,
                events = self.events.count(),
                partial = self.events.partial_bytes(),
                moving = self.moving.is_some(),
                "stream: broken off by its engine"
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
