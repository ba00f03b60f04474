//! Times one stream, from its first send to its end, for `cicada_lib::stream_timings`.

use std::sync::Arc;

use cicada_lib::routing::ServerKey;
use cicada_lib::stream_timings::AcceptedStream;
use cicada_lib::stream_timings::SentStream;
use cicada_lib::stream_timings::StreamKey;

use crate::exchange::Call;
use crate::lock::lock;
use crate::placed_request::PlacedRequest;
use crate::relay::Relay;

/// Counts a stream as open until dropped.
pub(crate) struct StreamObserver {
    relay: Arc<Relay>,
    key: StreamKey,
}

impl StreamObserver {
    /// Begins with the send of a stream.
    pub(crate) fn start(
        relay: &Arc<Relay>,
        call: &Call,
        placed: &PlacedRequest,
        accepted: Option<AcceptedStream>,
    ) -> Self {
        let sent = SentStream {
            id: call.head.id.clone().unwrap_or_default(),
            service: call.service.clone(),
            engine: placed.key,
            prompt: call.head.prompt,
            accepted,
        };
        let key = lock(relay.stream_timings()).begin(relay.now(), sent);
        StreamObserver {
            relay: relay.clone(),
            key,
        }
    }

    /// Records how many events have arrived.
    pub(crate) fn record_events(&self, events: u64) {
        lock(self.relay.stream_timings()).record_events(self.relay.now(), self.key, events);
    }

    /// Records that the stream goes on at another engine.
    pub(crate) fn move_to(&self, engine: ServerKey) {
        lock(self.relay.stream_timings()).move_to(self.key, engine);
    }
}

impl Drop for StreamObserver {
    fn drop(&mut self) {
        lock(self.relay.stream_timings()).end(self.relay.now(), self.key);
    }
}
