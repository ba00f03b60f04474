//! Times one call, from its arrival to its end, for `cicada_lib::call_timings`.

use std::sync::Arc;

use cicada_lib::call_timings::CallEnd;
use cicada_lib::call_timings::CallKey;
use cicada_lib::ids::Name;

use crate::lock::lock;
use crate::relay::Relay;

/// Counts a call as open until dropped. Unless its end is set, its caller has disconnected by then.
pub(crate) struct CallObserver {
    relay: Arc<Relay>,
    key: CallKey,
    end: CallEnd,
}

impl CallObserver {
    /// Begins with a call that is taken.
    pub(crate) fn start(relay: &Arc<Relay>, service: &Name) -> Self {
        let key = lock(relay.call_timings()).begin(relay.now(), service.clone());
        CallObserver {
            relay: relay.clone(),
            key,
            end: CallEnd::Abandoned,
        }
    }

    /// Ends with an answer, or a refusal.
    pub(crate) fn finish(mut self, end: CallEnd) {
        self.end = end;
    }
}

impl Drop for CallObserver {
    fn drop(&mut self) {
        lock(self.relay.call_timings()).end(self.relay.now(), self.key, self.end);
    }
}
