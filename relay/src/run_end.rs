//! Decides what becomes of a stream when the body of its engine's answer has ended.

use cicada_lib::body_end::BodyEnd;
use cicada_lib::body_end::Stop;

use crate::send::NoAnswer;
use crate::stream_run::Run;
use crate::stream_run::StreamEnd;

impl Run {
    /// Handles the end of the body. Returns how the stream ends; `None` if it goes on at an engine.
    pub(crate) async fn handle_body_end(&mut self, stop: Stop) -> Option<StreamEnd> {
        let end = BodyEnd::of(stop, self.events.position_at_end());
        self.record_body_end(end);
        match end {
            BodyEnd::Complete => Some(StreamEnd::Complete),
            BodyEnd::Broken(_) => {
                let goes_on =
                    self.recover_from_loss().await || self.restart(NoAnswer::Unknown).await;
                (!goes_on).then_some(StreamEnd::Lost)
            }
        }
    }

    fn record_body_end(&self, end: BodyEnd) {
        let why = end.as_str();
        self.relay.metrics().count_body_end(self.framing, why);
        if let BodyEnd::Broken(_) = end {
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
