//! A relay that has just woken waits for word of what holds. See `cicada_lib::freeze_detector`.

use std::time::Duration;

use cicada_lib::revision::Revision;
use tokio::time::sleep;

use crate::relay::Relay;

/// How often a request that waits for the process to be sure looks again.
const SURE_PAUSE: Duration = Duration::from_millis(15);

impl Relay {
    /// Notes that this process runs, and that it woke where it has stood still.
    pub(crate) fn note_runs(&self) {
        let stood = self.freeze_detector().heartbeat(self.now());
        if let Some(stood) = stood {
            let stood = stood.as_millis() as u64;
            let version = self.version();
            tracing::warn!(
                stood,
                version,
                "process: stood still, others are asked what holds"
            );
        }
    }

    /// Another process has told what it knows, up to these versions.
    pub(crate) fn note_told(&self, version: u64, revision: Revision) {
        if self.version() >= version && self.revision() >= revision {
            self.freeze_detector().state_received(self.now());
        }
    }

    /// Waits until this process may act on what it knows, where it has just stood still.
    pub(crate) async fn sure(&self) {
        self.note_runs();
        while !self.freeze_detector().is_state_confirmed(self.now()) {
            sleep(SURE_PAUSE).await;
        }
    }
}
