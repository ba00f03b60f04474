//! Passes evidence on requests that end engines from process to process.
//!
//! Load pattern: a caller that sends such a request again through whichever entry. An entry that has
//! no link to the agents which saw the crashes would send it to a server that knows nothing. Whoever
//! learns something new pushes it to a few others, who do the same: all but one or two in a hundred
//! hear of it within a second, and those who do not are told by the next agent that they meet.
//! Crashes are rare, so that this costs nothing otherwise.

use cicada_lib::crash_mark::CrashMark;
use cicada_lib::gossip_net::GossipNet;
use cicada_lib::roster::Member;
use cicada_lib::roster::MemberState;
use cicada_lib::time::Clock;
use tokio::runtime::Handle;

use crate::link::LinkSettings;
use crate::peer_ask;

/// Others that are told. With four, all but e^-4 of them hear of it.
const FAN_OUT: usize = 4;

/// Takes evidence from another process.
pub(crate) trait MarkSink: Send + Sync {
    /// Takes in marks, and passes on what is new.
    fn learn(&self, marks: &[CrashMark]);
}

/// Pushes evidence to others.
#[derive(Clone)]
pub(crate) struct MarkSpread {
    net: GossipNet,
    links: LinkSettings,
    clock: Clock,
    runtime: Handle,
}

impl MarkSpread {
    /// A spread over the members; its calls run on `runtime`.
    pub(crate) fn new(net: GossipNet, links: LinkSettings, clock: Clock, runtime: Handle) -> Self {
        MarkSpread {
            net,
            links,
            clock,
            runtime,
        }
    }

    /// Tells a few others.
    pub(crate) fn push(&self, marks: &[CrashMark]) {
        let members = self.net.membership().members(self.clock.now());
        let ready = members
            .into_iter()
            .filter(|view| view.state == MemberState::Ready);
        let ready: Vec<Member> = ready.map(|view| view.member).collect();
        for member in fastrand::choose_multiple(ready, FAN_OUT) {
            let links = self.links.clone();
            let marks = marks.to_vec();
            self.runtime.spawn(async move {
                if let Err(err) = peer_ask::marks(member.address, &links, marks).await {
                    tracing::info!(peer = %member.name, %err, "suspects: a peer was not told");
                }
            });
        }
    }
}
