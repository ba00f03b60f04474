//! Holds back requests after this process was frozen, until its state is confirmed to be current. See
//! `cicada_lib::freeze_detector`.

use std::time::Duration;

use cicada_lib::revision::Revision;
use tokio::time::sleep;

use crate::relay::Relay;

/// Interval at which a waiting request checks again whether the state is confirmed.
const CONFIRMATION_POLL: Duration = Duration::from_millis(15);

impl Relay {
    /// Records that this process is running, and logs if it was frozen since the last call.
    pub(crate) fn record_heartbeat(&self) {
        let stood = self.freeze_detector().heartbeat(self.now());
        if let Some(stood) = stood {
            let stood = stood.as_millis() as u64;
            let version = self.version();
            tracing::warn!(
                stood,
                version,
                "process: stood still; requests wait until its state is confirmed"
            );
        }
    }

    /// Handles the versions that another process reported: if they are not newer than this process's own, its
    /// state is confirmed.
    pub(crate) fn record_peer_versions(&self, version: u64, revision: Revision) {
        if self.version() >= version && self.revision() >= revision {
            self.freeze_detector().state_received(self.now());
        }
    }

    /// Waits until this process may act on its state, if it was frozen a moment ago.
    pub(crate) async fn wait_until_confirmed(&self) {
        self.record_heartbeat();
        while !self.freeze_detector().is_state_confirmed(self.now()) {
            sleep(CONFIRMATION_POLL).await;
        }
    }
}
