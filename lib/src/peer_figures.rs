//! Bounds of the figures in messages between the system's own processes, see `wire_figures`.

use crate::peer_messages::Datagram;
use crate::peer_messages::EngineLoad;
use crate::peer_messages::LoadProbe;
use crate::peer_messages::PeerRequest;
use crate::peer_messages::PeerResponse;
use crate::peer_messages::RequestSent;
use crate::wire_figures::CheckFigures;
use crate::wire_figures::MAX_REQUESTS;
use crate::wire_figures::MAX_TOKEN_SUM;
use crate::wire_figures::MAX_TOKENS;
use crate::wire_figures::MAX_VERSION;
use crate::wire_figures::Result;
use crate::wire_figures::at_most;

impl CheckFigures for EngineLoad {
    fn check_figures(&self) -> Result<()> {
        at_most("queued", self.queued, MAX_REQUESTS)?;
        at_most("running", self.running, MAX_REQUESTS)?;
        at_most("prefilling", self.prefilling, 2 * MAX_REQUESTS)?;
        at_most("used", self.used, MAX_TOKENS)?;
        at_most("peak tokens", self.peak_tokens, MAX_TOKEN_SUM)?;
        at_most("prefill tokens", self.prefill_tokens, MAX_TOKEN_SUM)?;
        at_most("capacity", self.capacity, MAX_TOKENS)?;
        at_most("failure percent", self.failure_percent, 100_u64)?;
        at_most("prefill percent", self.prefill_percent, 100_u64)
    }
}

impl CheckFigures for RequestSent {
    fn check_figures(&self) -> Result<()> {
        at_most("prompt", self.prompt, MAX_TOKENS)?;
        at_most("tokens", self.tokens, MAX_TOKENS)
    }
}

impl CheckFigures for LoadProbe {
    fn check_figures(&self) -> Result<()> {
        at_most("prompt", self.prompt, MAX_TOKENS)?;
        at_most("tokens", self.tokens, MAX_TOKENS)
    }
}

impl CheckFigures for Datagram {
    fn check_figures(&self) -> Result<()> {
        match self {
            Datagram::Report(report) => report.load.check_figures(),
            Datagram::LoadProbeReply(reply) => reply.report.load.check_figures(),
            Datagram::RequestSent(sent) => sent.check_figures(),
            Datagram::LoadProbe(probe) => probe.check_figures(),
            Datagram::ServerUpdate(update) => update.changes.check_figures(),
            Datagram::Hello(hello) => at_most("version", hello.version, MAX_VERSION),
            Datagram::StateOffer(offer) => at_most("version", offer.state.version, MAX_VERSION),
            // Addresses, names, and figures of which each value can be used.
            Datagram::Subscribe(_)
            | Datagram::Identity(_)
            | Datagram::Announcement(_)
            | Datagram::ForwardedAnnouncement(_)
            | Datagram::Moving(_)
            | Datagram::Moved(_)
            | Datagram::QueryMove(_)
            | Datagram::QueryStop(_)
            | Datagram::StopReply(_)
            | Datagram::StopNotice(_)
            | Datagram::RequestOutcome(_)
            | Datagram::Rejections(_)
            | Datagram::Ping(_)
            | Datagram::Pong(_)
            | Datagram::Suspects(_)
            | Datagram::QuerySuspects
            | Datagram::Trial(_)
            | Datagram::LimitLoan(_) => Ok(()),
        }
    }
}

impl CheckFigures for PeerRequest {
    fn check_figures(&self) -> Result<()> {
        Ok(())
    }
}

impl CheckFigures for PeerResponse {
    fn check_figures(&self) -> Result<()> {
        match self {
            PeerResponse::Config(config) => config.check_figures(),
            PeerResponse::Servers(listing) => listing.check_figures(),
            PeerResponse::Changes(changes) => changes.check_figures(),
            PeerResponse::Nothing | PeerResponse::Relays(_) | PeerResponse::Busy => Ok(()),
        }
    }
}
