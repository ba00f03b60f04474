//! Tells operators of processes that run another version, whose messages this relay cannot read.

use std::net::SocketAddr;

use cicada_lib::peer_messages::CodecError;

use crate::lock::lock;
use crate::relay::Relay;

impl Relay {
    /// Records a message that cannot be read.
    pub(crate) fn record_unreadable(&self, from: SocketAddr, error: &CodecError) {
        self.metrics().count_unreadable_datagram();
        let is_due = lock(&self.unreadable).record(self.now(), from);
        if is_due {
            tracing::warn!(%from, %error, "peers: messages of a process cannot be read");
        }
    }

    /// Other processes whose messages could not be read lately.
    pub fn unreadable_senders(&self) -> Vec<SocketAddr> {
        lock(&self.unreadable).present(self.now())
    }
}
