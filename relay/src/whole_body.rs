//! Reads the whole body of a backend server's answer, for answers that are not streams.

use bytes::Bytes;
use bytes::BytesMut;
use cicada_lib::body_end::BodyEnd;
use cicada_lib::body_end::Position;
use cicada_lib::body_end::Stop;
use cicada_lib::byte_budget::HeldBytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::time::timeout_at;

use crate::crash_check;
use crate::end_proof::confirm_end;
use crate::exchange::Call;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;
use crate::send::NoAnswer;
use crate::send::StartedAnswer;

/// Maximum size of a buffered answer's body.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A backend server's complete answer.
pub(crate) struct BufferedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) held: HeldBytes,
}

impl StartedAnswer {
    /// Reads the rest of the answer, until the call's deadline. Fails if the answer was broken off.
    pub(crate) async fn read_whole(
        mut self,
        relay: &Relay,
        call: &Call,
        placed: &PlacedRequest,
    ) -> Result<BufferedAnswer, NoAnswer> {
        let mut whole = BytesMut::new();
        let mut held = relay.budget().holder();
        let stop = loop {
            match timeout_at(call.timer_deadline, self.body.frame()).await {
                Err(_) => return Err(NoAnswer::TimeOver),
                Ok(None) => break Stop::Announced,
                Ok(Some(Err(_))) => break Stop::Failed,
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    let too_large = whole.len() + data.len() > MAX_ANSWER_BYTES;
                    if too_large || held.grow(data.len()).is_err() {
                        return Err(NoAnswer::TooLarge);
                    }
                    whole.extend_from_slice(&data);
                }
            }
        };
        drop(self.connection);
        let end = BodyEnd::of(self.framing, stop, Position::Boundary);
        let end = confirm_end(end, relay, call, placed).await;
        relay.metrics().count_body_end(self.framing, end.as_str());
        if end != BodyEnd::Complete {
            tracing::info!(
                id = call.id(),
                server = %placed.record.id,
                framing = %self.framing,
                why = end.as_str(),
                bytes = whole.len(),
                "request: its answer was broken off by the server"
            );
            return Err(crash_check::handle_loss(relay, call, placed).await);
        }
        Ok(BufferedAnswer {
            status: self.parts.status,
            headers: self.parts.headers,
            body: whole.freeze(),
            held,
        })
    }
}
