//! A relay's datagrams: reports of engines come in, subscriptions go out.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cicada_lib::peer_words;
use cicada_lib::peer_words::Datagram;
use cicada_lib::peer_words::LoadAsk;
use cicada_lib::peer_words::RelayHello;
use cicada_lib::peer_words::ServerNews;
use cicada_lib::peer_words::Subscription;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::moved_runs::MoveAsk;
use crate::relay::Pending;
use crate::relay::Relay;
use crate::relay::Sent;
use crate::relay_view::EngineGroup;
use crate::word_socket::WordSocket;
use crate::zone_probes::ZoneProbes;

/// How often subscriptions are renewed: a scout keeps one for four of them, so that lost datagrams cost
/// nothing.
const RENEW: Duration = Duration::from_millis(700);

/// How often other relays are told: a change that one host alone does not hear of must reach it within
/// a second or two.
const HELLO: Duration = Duration::from_millis(400);

/// How often the ways to other availability zones are probed.
const PROBE: Duration = Duration::from_secs(1);

/// How often the zone is told of callers that were turned away: none of them is asked back sooner than
/// 200 ms later.
const TELL_REFUSALS: Duration = Duration::from_millis(100);

/// Relays that are named to others in a word.
const PASSED_ON: usize = 4;

/// Engines that a subscription names: they fit into a datagram, and are more than runs are moved to.
const MOST_NAMED: usize = 64;

/// Relays that name a scout's neighbours to it in a round of subscriptions: one within several rounds is enough.
/// Named by all relays, they would be most of what a scout receives.
const NAMING: f64 = 3.0;

/// Engines of all regions that a relay follows. Beyond this it follows those of its own region, and elsewhere
/// those that run something of its own; where a stream is to go to another region, it asks.
const FOLLOWED: usize = 64;

/// The datagrams of a relay.
pub(crate) struct PeerNet {
    relay: Arc<Relay>,
    socket: WordSocket,
    probes: ZoneProbes,
}

impl PeerNet {
    /// A socket at `peer`; all other processes have theirs at the same port.
    pub(crate) async fn bind(relay: Arc<Relay>, peer: SocketAddr) -> std::io::Result<Self> {
        Ok(PeerNet {
            relay,
            socket: WordSocket::bind(peer).await?,
            probes: ZoneProbes::default(),
        })
    }

    /// Hears and tells until the process ends.
    pub(crate) async fn run(mut self, mut asks: mpsc::Receiver<MoveAsk>, pending: Pending) {
        let Pending {
            mut sent,
            mut ended,
            mut news,
            asks: mut load_asks,
        } = pending;
        let mut renewals = interval(RENEW);
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut hellos = interval(HELLO);
        hellos.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut probes = interval(PROBE);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut refusals = interval(TELL_REFUSALS);
        refusals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; peer_words::MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = renewals.tick() => self.subscribe().await,
                () = self.relay.engines_joined() => self.subscribe_new().await,
                _ = hellos.tick() => self.hello().await,
                () = self.relay.hello_due() => self.hello().await,
                _ = refusals.tick() => self.tell_refusals().await,
                _ = probes.tick() => self.probe().await,
                Some(news) = news.recv() => self.tell_news(news).await,
                Some(asks) = load_asks.recv() => self.ask_load(asks).await,
                Some(sent) = sent.recv() => self.tell_sent(sent).await,
                Some(word) = ended.recv() => {
                    let scout = self.socket.address_on(word.engine.ip());
                    self.socket.send(&Datagram::Ended(word), &[scout]).await;
                }
                Some(ask) = asks.recv() => {
                    let scout = self.socket.address_on(ask.engine.ip());
                    self.socket.send(&Datagram::WasMoved(ask.id), &[scout]).await;
                }
                received = self.socket.receive(&mut buffer) => {
                    if let Some((length, from)) = received {
                        self.heard(&buffer[..length], from).await;
                    }
                }
            }
        }
    }

    async fn subscribe(&self) {
        let now = self.relay.now();
        self.relay.fleet().remove_silent_engines(now);
        let groups = self.relay.engine_groups();
        let all = groups.iter().map(|group| group.engines.len()).sum();
        for group in groups {
            let engines = self.followed(&group, all);
            let neighbours = match group.near && self.names() {
                true => group.engines.iter().copied().take(MOST_NAMED).collect(),
                false => Vec::new(),
            };
            self.subscribe_to(&group, &engines, neighbours).await;
        }
    }

    /// The engines of a group whose reports this relay wants, where there are so many in `all`.
    fn followed(&self, group: &EngineGroup, all: usize) -> Vec<SocketAddr> {
        let mut engines = group.engines.clone();
        if !group.near && all > FOLLOWED {
            let fleet = self.relay.fleet();
            engines.retain(|engine| fleet.has_open_requests_at(*engine));
        }
        engines
    }

    /// Whether this relay names neighbours in this round. Relays of the region take turns by chance.
    fn names(&self) -> bool {
        let relays = self.relay.relays_in_region();
        fastrand::f64() * (relays as f64) < NAMING
    }

    /// Asks for the reports of engines that have just come. Until the next renewal they would count as
    /// empty, and after all hosts have started again as the former lives that the list names.
    async fn subscribe_new(&self) {
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
        let all = groups.iter().map(|group| group.engines.len()).sum();
        for group in groups {
            let engines = self.followed(&group, all).into_iter();
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
        let word = Datagram::Subscribe(Subscription {
            neighbours,
            health: Some(group.health.clone()),
            cold: Some(group.cold.as_millis() as u32),
            evacuated: self.relay.evacuated(),
            limited: group.limited.clone(),
        });
        let scouts = self.socket.addresses_of(engines);
        self.socket.send(&word, &scouts).await;
    }

    async fn hello(&self) {
        self.relay.record_heartbeat();
        self.relay.share_among_entries();
        let word = Datagram::Hello(RelayHello {
            zone: self.relay.settings().place.zone.clone(),
            fed: self.relay.is_fed(),
            version: self.relay.version(),
            revision: self.relay.revision(),
            others: self.relay.peers().some(PASSED_ON),
            evacuated: self.relay.evacuated(),
            limits: self.relay.limit_reports(),
        });
        if self.relay.is_fed() {
            self.tell_region(&word).await;
        }
        self.tell_peers(&word).await;
    }

    /// Tells the relays of the zone whom this one has turned away: they come to these.
    async fn tell_refusals(&self) {
        let now = self.relay.now();
        let returns = self.relay.returns().take_unsent(now);
        if !returns.is_empty() {
            self.tell_zone(&Datagram::TurnedAway(returns)).await;
        }
    }

    async fn tell_zone(&self, word: &Datagram) {
        let own = &self.relay.settings().place.zone;
        let peers = self.relay.peers().of_zones(|zone| zone == own);
        self.socket.send(word, &peers).await;
    }

    async fn tell_region(&self, word: &Datagram) {
        let peers = self.relay.peers().of_zones(|zone| self.relay.is_near(zone));
        self.socket.send(word, &peers).await;
    }

    /// Tells the relays of the region of changes of the list. Those that miss it ask, see `peer_pull`.
    async fn tell_news(&self, news: ServerNews) {
        let word = Datagram::News(news);
        let fits = peer_words::encode(&word).is_ok_and(|b| b.len() <= peer_words::MAX_DATAGRAM);
        if fits {
            self.tell_region(&word).await;
        }
        self.hello().await;
    }

    async fn tell_sent(&self, Sent { word, widely }: Sent) {
        let mut told = match widely {
            true => self.relay.peers().pick_for_sent(),
            false => Vec::new(),
        };
        told.push(self.socket.address_on(word.engine.ip()));
        self.socket.send(&Datagram::Sent(word), &told).await;
    }

    async fn ask_load(&self, asks: Vec<LoadAsk>) {
        for ask in asks {
            let scout = self.socket.address_on(ask.engine.ip());
            self.socket.send(&Datagram::Ask(ask), &[scout]).await;
        }
    }

    async fn tell_peers(&self, word: &Datagram) {
        let peers = self.relay.peers().pick();
        self.socket.send(word, &peers).await;
    }

    /// Probes the way to each other availability zone.
    async fn probe(&mut self) {
        let own = &self.relay.settings().place.zone;
        let peers = self.relay.peers().one_of_each_zone(own);
        for (peer, zone) in peers {
            let number = self.probes.send(self.relay.now(), peer, zone);
            self.socket.send(&Datagram::Ping(number), &[peer]).await;
        }
    }

    async fn heard(&mut self, bytes: &[u8], from: SocketAddr) {
        match peer_words::decode(bytes) {
            Ok(Datagram::Ping(number)) => {
                self.socket.send(&Datagram::Pong(number), &[from]).await;
            }
            Ok(Datagram::Pong(number)) => {
                let now = self.relay.now();
                if let Some((zone, took)) = self.probes.answered(now, from, number) {
                    self.relay.fleet().record_round_trip(now, &zone, took);
                }
            }
            _ => {
                if let Some(word) = self.hear(bytes, from) {
                    self.tell_peers(&word).await;
                }
            }
        }
    }

    /// Takes a word in; the word to pass on, if there is one.
    fn hear(&self, bytes: &[u8], from: SocketAddr) -> Option<Datagram> {
        match peer_words::decode(bytes) {
            Ok(Datagram::Report(report)) if report.here.address.ip() == from.ip() => {
                self.relay.handle_report(&report);
            }
            Ok(Datagram::Answer(answer)) if answer.report.here.address.ip() == from.ip() => {
                self.relay.handle_load_answer(&answer);
            }
            Ok(Datagram::Moving(moving)) if moving.source.ip() == from.ip() => {
                self.relay.prepare_move(&moving);
            }
            Ok(Datagram::Moved(moved)) if moved.source.ip() == from.ip() => {
                self.relay.note_moved(moved);
            }
            Ok(Datagram::TurnedAway(returns)) => {
                let now = self.relay.now();
                self.relay.returns().merge(now, &returns);
            }
            Ok(Datagram::News(news)) => self.relay.news(&news),
            Ok(Datagram::Sent(word)) => self.relay.sent_elsewhere(&word),
            Ok(Datagram::Here(here)) if here.address.ip() == from.ip() => {
                self.relay.handle_announcement(&here);
                return Some(Datagram::HerePassedOn(here));
            }
            Ok(Datagram::Identity(word)) if word.here.address.ip() == from.ip() => {
                self.relay.handle_identity(&word);
            }
            // Passed on by each relay to which it is news, so that it reaches all of them.
            Ok(Datagram::HerePassedOn(here)) if self.relay.handle_announcement(&here) => {
                return Some(Datagram::HerePassedOn(here));
            }
            Ok(Datagram::Hello(hello)) => {
                let mut peers = self.relay.peers();
                peers.heard(from, &hello);
                peers.learn(self.relay.settings().peer, hello.others);
                drop(peers);
                self.relay.set_evacuated(&hello.evacuated);
                self.relay.apply_limit_reports(from, &hello.limits);
                self.relay
                    .record_peer_versions(hello.version, hello.revision);
            }
            Ok(_) => {}
            Err(error) => tracing::debug!(%from, %error, "peers: a datagram is passed over"),
        }
        None
    }
}
