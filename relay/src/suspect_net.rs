//! Exchanges evidence on poison requests, and trials of suspects, with other relays and scouts.

use std::net::SocketAddr;

use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::SuspectNotice;
use cicada_lib::peer_messages::TrialMessage;
use cicada_lib::state_holders;
use cicada_lib::time::Time;

use crate::peer_net::PeerNet;
use crate::poison::EVIDENCE_QUERY_TIME;

/// How many others a relay that starts asks for evidence on poison requests at a time.
const QUERIED_RELAYS: usize = 3;

impl PeerNet {
    /// Has one of the scouts that hold the relays' state keep the evidence on poison requests too, and asks all of them for
    /// it after a start.
    pub(crate) async fn exchange_held_evidence(&self, holders: &[SocketAddr]) {
        let now = self.relay.now();
        let scouts = self.socket.addresses_of(holders);
        if now.since(Time::ZERO) < EVIDENCE_QUERY_TIME {
            self.socket.send(&Datagram::QuerySuspects, &scouts).await;
        }
        self.send_evidence(fastrand::choice(scouts)).await;
    }

    /// Passes on what is new about poison requests, to a few relays that do the same.
    pub(crate) async fn send_suspects(&self) {
        let now = self.relay.now();
        while let Some(notice) = self.relay.poison.take_unsent(now) {
            let datagram = Datagram::Suspects(notice);
            let peers = self.relay.peers().gossip_targets();
            let bytes = self.socket.send(&datagram, &peers).await;
            self.relay.poison.charge(now, bytes);
        }
        if self.relay.poison.is_delayed(now) {
            self.relay.metrics().count_delayed_suspect_news();
            tracing::info!("poison: news of suspects waits for its budget");
        }
    }

    /// Asks for trials of suspects, and grants those of the services whose arbiter this relay is.
    pub(crate) async fn advance_trials(&self) {
        let poison = &self.relay.poison;
        self.relay.update_trial_servers();
        if !poison.has_evidence() {
            return;
        }
        let now = self.relay.now();
        let relays = self.relay.peers().recently_heard(now);
        self.send_trials(poison.advance_trials(now, relays)).await;
    }

    pub(crate) async fn send_trials(&self, messages: Vec<(SocketAddr, TrialMessage)>) {
        for (to, message) in messages {
            self.socket.send(&Datagram::Trial(message), &[to]).await;
        }
    }

    /// Asks a few relays for evidence on poison requests after a start, and a scout that holds it until there is some.
    /// Callers arrive as soon as this relay is ready.
    pub(crate) async fn query_evidence(&self) {
        if self.relay.now().since(Time::ZERO) >= EVIDENCE_QUERY_TIME {
            return;
        }
        let peers = self.relay.peers().gossip_targets();
        // One is enough to complete what another one has told.
        let most = if self.relay.poison.has_evidence() {
            1
        } else {
            QUERIED_RELAYS
        };
        let few = &peers[..peers.len().min(most)];
        self.socket.send(&Datagram::QuerySuspects, few).await;
        if self.relay.poison.has_evidence() {
            return;
        }
        let groups = self.relay.engine_groups().into_iter();
        let own_groups = groups.filter(|group| group.in_own_region);
        let holders = own_groups.flat_map(|group| state_holders::holders(&group.engines));
        let holder = fastrand::choose_multiple(holders, 1);
        let scouts = self.socket.addresses_of(&holder);
        self.socket.send(&Datagram::QuerySuspects, &scouts).await;
    }

    /// Sends a part of the evidence on poison requests, if there is any: every other time what is refused.
    pub(crate) async fn send_evidence(&self, to: Option<SocketAddr>) {
        let samples = self.relay.poison.samples(self.relay.now());
        let notice = match fastrand::bool() {
            true => samples.into_iter().next(),
            false => fastrand::choice(samples),
        };
        if let (Some(notice), Some(to)) = (notice, to) {
            self.socket.send(&Datagram::Suspects(notice), &[to]).await;
        }
    }

    /// Answers a relay that starts with the evidence on poison requests, or that there is none.
    pub(crate) async fn answer_query(&self, to: SocketAddr) {
        let now = self.relay.now();
        if self.relay.poison.awaits_evidence(now) {
            return;
        }
        for notice in SuspectNotice::answers(self.relay.poison.samples(now)) {
            self.socket.send(&Datagram::Suspects(notice), &[to]).await;
        }
    }
}
