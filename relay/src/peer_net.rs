//! A relay's datagrams: load reports and messages of other processes come in; subscriptions, hellos, notices
//! and probes go out.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::limits::SETTLE_INTERVAL;
use cicada_lib::peer_messages;
use cicada_lib::peer_messages::Datagram;
use cicada_lib::peer_messages::LoadProbe;
use cicada_lib::peer_messages::RelayHello;
use cicada_lib::peer_messages::ServerUpdate;
use cicada_lib::peer_messages::StopQuery;
use cicada_lib::peer_messages::Subscription;
use cicada_lib::state_holders;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::datagram_socket::DatagramSocket;
use crate::moved_runs::MoveQuery;
use crate::relay::QueueReceivers;
use crate::relay::Relay;
use crate::relay::SentNotice;
use crate::relay_view::EngineGroup;
use crate::zone_probes::ZoneProbes;

/// Interval at which subscriptions are renewed. Scouts keep a subscription for several intervals, so lost
/// datagrams do no harm.
const SUBSCRIPTION_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between hellos to other relays: a change that one host cannot read from the directory must reach
/// it within one or two seconds.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between round-trip probes to other availability zones.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which rejected callers are announced to the zone's relays. None of these callers is asked to
/// retry sooner than after 200 ms.
const REJECTIONS_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of other relays that a hello names.
const MAX_NAMED_RELAYS: usize = 4;

/// Maximum number of neighbours that a subscription names: they fit into a datagram, and runs are never moved
/// to that many engines.
const MAX_NAMED_NEIGHBOURS: usize = 64;

/// Average number of relays that name a scout's neighbours in each round of subscriptions. It is enough if
/// one does within several rounds; if all relays named them, the lists would be most of what a scout
/// receives.
const RELAYS_NAMING_NEIGHBOURS: f64 = 3.0;

/// If there are more engines than this in its own region, or in all regions, a relay subscribes there only to those
/// that run requests of its own. To place a stream it probes the scouts of others.
const MAX_SUBSCRIBED_ENGINES: usize = 64;

/// Sends and receives a relay's datagrams.
pub(crate) struct PeerNet {
    pub(crate) relay: Arc<Relay>,
    pub(crate) socket: DatagramSocket,
    probes: ZoneProbes,
}

impl PeerNet {
    /// Binds the socket to `peer`. All other processes use the same port.
    pub(crate) async fn bind(relay: Arc<Relay>, peer: SocketAddr) -> std::io::Result<Self> {
        let socket = DatagramSocket::bind(peer).await?;
        Ok(PeerNet {
            socket: socket.with_metrics(relay.metrics().clone()),
            relay,
            probes: ZoneProbes::default(),
        })
    }

    /// Exchanges datagrams until the process ends.
    pub(crate) async fn run(
        &mut self,
        move_queries: &mut mpsc::Receiver<MoveQuery>,
        pending: &mut QueueReceivers,
    ) {
        let QueueReceivers {
            sent,
            ended,
            news,
            asks: load_probes,
        } = pending;
        let mut renewals = interval(SUBSCRIPTION_INTERVAL);
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut hellos = interval(HELLO_INTERVAL);
        hellos.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut zone_probes = interval(PROBE_INTERVAL);
        zone_probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut rejections = interval(REJECTIONS_INTERVAL);
        rejections.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut loans = interval(SETTLE_INTERVAL);
        loans.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; peer_messages::MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = renewals.tick() => self.subscribe().await,
                () = self.relay.engines_joined() => self.subscribe_to_joined().await,
                _ = hellos.tick() => self.send_hello().await,
                () = self.relay.hello_due() => self.send_hello().await,
                _ = rejections.tick() => {
                    self.send_rejections().await;
                    self.send_suspects().await;
                    self.advance_trials().await;
                    self.query_evidence().await;
                }
                () = self.relay.poison.has_news() => {
                    self.advance_trials().await;
                    self.send_suspects().await;
                }
                _ = zone_probes.tick() => self.send_zone_probes().await,
                _ = loans.tick() => self.request_loans().await,
                Some(news) = news.recv() => self.send_server_changes(news).await,
                Some(probes) = load_probes.recv() => self.send_load_probes(probes).await,
                Some(sent) = sent.recv() => self.send_request_notice(sent).await,
                Some(notice) = ended.recv() => {
                    let scout = self.socket.address_on(notice.engine.ip());
                    self.socket.send(&Datagram::RequestOutcome(notice), &[scout]).await;
                }
                Some(query) = move_queries.recv() => {
                    let scout = self.socket.address_on(query.engine.ip());
                    self.socket.send(&Datagram::QueryMove(query.id), &[scout]).await;
                }
                received = self.socket.receive(&mut buffer) => {
                    if let Some((length, from)) = received {
                        self.handle_datagram(&buffer[..length], from).await;
                    }
                }
            }
        }
    }

    async fn subscribe(&self) {
        let now = self.relay.now();
        self.relay.fleet().remove_silent_engines(now);
        let groups = self.relay.engine_groups();
        let total = groups.iter().map(|group| group.engines.len()).sum();
        let names_neighbours = self.names_neighbours();
        for group in groups {
            if group.in_own_region && names_neighbours {
                let neighbours = group.engines.iter().copied().take(MAX_NAMED_NEIGHBOURS);
                self.subscribe_to(&group, &group.engines, neighbours.collect())
                    .await;
            } else {
                let engines = self.engines_to_subscribe(&group, total);
                self.subscribe_to(&group, &engines, Vec::new()).await;
            }
        }
    }

    /// The engines of a group whose reports this relay needs, if `total` engines are known: all of them in a small
    /// deployment.
    fn engines_to_subscribe(&self, group: &EngineGroup, total: usize) -> Vec<SocketAddr> {
        let mut engines = group.engines.clone();
        let few = match group.in_own_region {
            true => group.engines.len() <= MAX_SUBSCRIBED_ENGINES,
            false => total <= MAX_SUBSCRIBED_ENGINES,
        };
        if !few {
            let fleet = self.relay.fleet();
            engines.retain(|engine| fleet.needs_reports_of(*engine));
        }
        engines
    }

    /// Whether this relay names neighbours in this round, to all engines of its region. Each relay of the region decides
    /// at random, so that on average `RELAYS_NAMING_NEIGHBOURS` do.
    fn names_neighbours(&self) -> bool {
        let relays = self.relay.relays_in_region();
        fastrand::f64() * (relays as f64) < RELAYS_NAMING_NEIGHBOURS
    }

    /// Subscribes to engines that have just joined. Until the next renewal they would count as empty, and
    /// after a restart of all hosts as the former incarnations that the list still names.
    async fn subscribe_to_joined(&self) {
        let joined: HashSet<SocketAddr> = self
            .relay
            .fleet()
            .take_added_addresses()
            .into_iter()
            .collect();
        if joined.is_empty() {
            return;
        }
        let groups = self.relay.engine_groups();
        let total = groups.iter().map(|group| group.engines.len()).sum();
        for group in groups {
            let engines = self.engines_to_subscribe(&group, total).into_iter();
            let new: Vec<SocketAddr> = engines.filter(|e| joined.contains(e)).collect();
            self.subscribe_to(&group, &new, Vec::new()).await;
        }
    }

    async fn subscribe_to(
        &self,
        group: &EngineGroup,
        engines: &[SocketAddr],
        neighbours: Vec<SocketAddr>,
    ) {
        let subscription = Subscription {
            neighbours,
            health: Some(group.health_path.clone()),
            cold: Some(group.cold_period.as_millis() as u32),
            evacuated: self.relay.evacuated(),
            limited: group.limited_engines.clone(),
            state: None,
        };
        let (holding, others) = match group.in_own_region {
            true => {
                let holders = state_holders::holders(&group.engines);
                engines.iter().partition(|engine| holders.contains(engine))
            }
            false => (Vec::new(), engines.to_vec()),
        };
        let with_state = Subscription {
            state: Some(self.relay.state_version()),
            ..subscription.clone()
        };
        self.exchange_held_evidence(&holding).await;
        for (subscription, engines) in [(with_state, holding), (subscription, others)] {
            let scouts = self.socket.addresses_of(&engines);
            let datagram = Datagram::Subscribe(subscription);
            self.socket.send(&datagram, &scouts).await;
        }
    }

    async fn send_hello(&self) {
        self.relay.record_heartbeat();
        self.relay.update_entry_shares();
        let datagram = self.hello();
        if self.relay.is_watching_directory() {
            self.send_to_region(&datagram).await;
        }
        self.gossip(&datagram).await;
        // Any relay may have missed some of the evidence.
        let peer = self.relay.peers().gossip_targets().first().copied();
        self.send_evidence(peer).await;
    }

    fn hello(&self) -> Datagram {
        // Each lock is released before the next call.
        let peers = self.relay.peers();
        let known_relays = peers.sample_heard(MAX_NAMED_RELAYS);
        let (relay_count, list_complete) = (peers.known_count() as u32, peers.is_list_complete());
        drop(peers);
        Datagram::Hello(RelayHello {
            zone: self.relay.settings().place.zone.clone(),
            watches_directory: self.relay.is_watching_directory(),
            watchers: self.relay.watch_statements(),
            relay_count,
            list_complete,
            version: self.relay.version(),
            revision: self.relay.revision(),
            known_relays,
            evacuated: self.relay.evacuated(),
            limits: self.relay.limit_reports(),
            leaving: self.relay.leaving_reports(),
            demands: self.relay.service_demands(),
        })
    }

    /// Announces to the relays of the zone which callers this one has rejected: they may retry there.
    async fn send_rejections(&self) {
        let now = self.relay.now();
        let returns = self.relay.recent_rejections().take_unsent(now);
        if !returns.is_empty() {
            self.send_to_zone(&Datagram::Rejections(returns)).await;
        }
    }

    async fn send_to_zone(&self, datagram: &Datagram) {
        let own = &self.relay.settings().place.zone;
        let now = self.relay.now();
        let peers = self
            .relay
            .peers()
            .recently_heard_in(now, |zone| zone == own);
        self.socket.send(datagram, &peers).await;
    }

    async fn send_to_region(&self, datagram: &Datagram) {
        let now = self.relay.now();
        let peers = self
            .relay
            .peers()
            .recently_heard_in(now, |zone| self.relay.is_in_own_region(zone));
        self.socket.send(datagram, &peers).await;
    }

    /// Sends changes of the server list to the relays of the region. Relays that miss a datagram pull the
    /// changes, see `peer_pull`.
    async fn send_server_changes(&self, news: ServerUpdate) {
        let datagram = Datagram::ServerUpdate(news);
        let fits =
            peer_messages::encode(&datagram).is_ok_and(|b| b.len() <= peer_messages::MAX_DATAGRAM);
        if fits {
            self.send_to_region(&datagram).await;
        }
        self.send_hello().await;
    }

    async fn send_request_notice(&self, SentNotice { message, to_relays }: SentNotice) {
        let mut recipients = match to_relays {
            true => self.relay.peers().request_notice_targets(),
            false => Vec::new(),
        };
        recipients.push(self.socket.address_on(message.engine.ip()));
        self.socket
            .send(&Datagram::RequestSent(message), &recipients)
            .await;
    }

    async fn send_load_probes(&self, probes: Vec<LoadProbe>) {
        for probe in probes {
            let scout = self.socket.address_on(probe.engine.ip());
            self.socket
                .send(&Datagram::LoadProbe(probe), &[scout])
                .await;
        }
    }

    async fn gossip(&self, datagram: &Datagram) {
        let peers = self.relay.peers().gossip_targets();
        self.socket.send(datagram, &peers).await;
    }

    /// Measures the round trip to each other availability zone.
    async fn send_zone_probes(&mut self) {
        let own = &self.relay.settings().place.zone;
        let now = self.relay.now();
        let peers = self.relay.peers().sample_other_zones(now, own);
        for (peer, zone) in peers {
            let sequence = self.probes.start(self.relay.now(), peer, zone);
            self.socket.send(&Datagram::Ping(sequence), &[peer]).await;
        }
    }

    async fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        self.relay.poison.record_heard(from);
        match peer_messages::decode(bytes) {
            Ok(Datagram::Ping(sequence)) => {
                self.socket.send(&Datagram::Pong(sequence), &[from]).await;
            }
            Ok(Datagram::Pong(sequence)) => {
                let now = self.relay.now();
                if let Some((zone, took)) = self.probes.finish(now, from, sequence) {
                    self.relay.fleet().record_round_trip(now, &zone, took);
                }
            }
            Ok(Datagram::Hello(hello)) => self.handle_hello(from, hello).await,
            Ok(Datagram::Trial(message)) => {
                let now = self.relay.now();
                let relays = self.relay.peers().recently_heard(now);
                let answers = self.relay.poison.handle_trial(now, relays, message);
                self.send_trials(answers).await;
            }
            Ok(Datagram::LimitLoan(message)) => self.handle_loan(from, message).await,
            Ok(Datagram::QueryStop(query)) if query.run.source.ip() == from.ip() => {
                if let Some(reply) = self.relay.permit_stop(&query) {
                    self.socket.send(&Datagram::StopReply(reply), &[from]).await;
                }
            }
            Ok(Datagram::QuerySuspects) => self.answer_query(from).await,
            _ => {
                if let Some(datagram) = self.apply_datagram(bytes, from) {
                    self.gossip(&datagram).await;
                }
            }
        }
    }

    /// Applies another relay's hello. One that has just started is answered at once: it may know few other relays, and
    /// would otherwise hear of their state by chance.
    async fn handle_hello(&self, from: SocketAddr, hello: RelayHello) {
        self.apply_hello(from, &hello);
        let starts = hello.version == 0 || !hello.revision.is_known();
        let knows_more = hello.relay_count < self.relay.peers().known_count() as u32;
        if starts && (self.relay.has_state() || knows_more) {
            self.socket.send(&self.hello(), &[from]).await;
        }
    }

    fn apply_hello(&self, from: SocketAddr, hello: &RelayHello) {
        let (now, own) = (self.relay.now(), self.relay.settings().peer);
        let mut peers = self.relay.peers();
        peers.record_hello(now, from, hello);
        peers.add_known(own, hello.known_relays.iter().copied());
        drop(peers);
        self.relay.record_watchers(from, hello);
        self.relay.set_evacuated(&hello.evacuated);
        self.relay.apply_limit_reports(from, &hello.limits);
        self.relay.apply_leaving_reports(from, &hello.leaving);
        self.relay
            .record_peer_versions(hello.version, hello.revision);
    }

    /// Applies a datagram to the relay's state and returns the datagram to pass on, if any.
    fn apply_datagram(&self, bytes: &[u8], from: SocketAddr) -> Option<Datagram> {
        match peer_messages::decode(bytes) {
            Ok(Datagram::Report(report)) if report.engine.address.ip() == from.ip() => {
                self.relay.handle_report(&report);
            }
            Ok(Datagram::LoadProbeReply(answer))
                if answer.report.engine.address.ip() == from.ip() =>
            {
                self.relay.handle_load_answer(&answer);
            }
            // Its scout stops the run without waiting for the reply.
            Ok(Datagram::Moving(moving)) if moving.source.ip() == from.ip() => {
                self.relay.permit_stop(&StopQuery {
                    run: moving,
                    number: 0,
                });
            }
            Ok(Datagram::StopNotice(notice)) if notice.query.run.source.ip() == from.ip() => {
                self.relay.record_stop_notice(&notice);
            }
            Ok(Datagram::Moved(moved)) if moved.source.ip() == from.ip() => {
                self.relay.record_moved_run(moved);
            }
            Ok(Datagram::Rejections(returns)) => {
                let now = self.relay.now();
                self.relay.recent_rejections().merge(now, &returns);
            }
            Ok(Datagram::Suspects(notice)) => {
                self.relay.poison.merge(self.relay.now(), &notice);
            }
            Ok(Datagram::ServerUpdate(news)) => self.relay.handle_server_news(&news),
            Ok(Datagram::StateOffer(offer)) => self.relay.record_offer(from, &offer),
            Ok(Datagram::RequestSent(notice)) => self.relay.record_sent_elsewhere(&notice),
            Ok(Datagram::Announcement(here)) if here.address.ip() == from.ip() => {
                self.relay.handle_announcement(&here);
                return Some(Datagram::ForwardedAnnouncement(here));
            }
            Ok(Datagram::Identity(identity)) if identity.engine.address.ip() == from.ip() => {
                self.relay.handle_identity(&identity);
            }
            // Every relay to which the announcement is new passes it on, so that it reaches all of them.
            Ok(Datagram::ForwardedAnnouncement(here)) if self.relay.handle_announcement(&here) => {
                return Some(Datagram::ForwardedAnnouncement(here));
            }
            Ok(_) => {}
            Err(error) => self.relay.record_unreadable(from, &error),
        }
        None
    }
}
