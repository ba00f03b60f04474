//! The copy of the relays' state that a scout holds for relays that start while the directory is away. See
//! `cicada_lib::state_holders`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::peer_messages::PeerRequest;
use cicada_lib::peer_messages::PeerResponse;
use cicada_lib::peer_messages::RelayList;
use cicada_lib::revision::Revision;
use cicada_lib::site::ServerChange;
use cicada_lib::site::ServerListing;
use cicada_lib::site::ServerRecord;
use cicada_lib::site::SiteConfig;
use cicada_lib::state_holders::StateVersion;
use tokio::time::Instant;

use crate::lock::lock;
use crate::peer_pull;
use crate::peer_pull::StateSource;

/// Silence of all relays from which the state is offered to them.
const OFFER_AFTER: Duration = Duration::from_secs(1);

/// Relays that the state is offered to, besides the seeds: those that subscribed last.
const MAX_RECENT_RELAYS: usize = 16;

/// The state that a scout holds, and the relays that it was copied from.
#[derive(Default)]
pub(crate) struct HeldState {
    copy: Mutex<StateCopy>,
    // Whether a pull is under way.
    pulling: AtomicBool,
    relays: Mutex<RecentRelays>,
}

/// A copy of a relay's state.
#[derive(Default)]
struct StateCopy {
    config: Option<Arc<SiteConfig>>,
    servers: BTreeMap<Name, ServerRecord>,
    revision: Revision,
    relays: RelayList,
}

/// The relays that told of their state.
#[derive(Default)]
struct RecentRelays {
    heard_at: Option<Instant>,
    // The latest last.
    addresses: VecDeque<SocketAddr>,
}

impl HeldState {
    /// Records the state that a relay has, and pulls what is newer than the copy.
    pub(crate) fn record(self: &Arc<Self>, relay: SocketAddr, state: &StateVersion) {
        let mut relays = lock(&self.relays);
        relays.heard_at = Some(Instant::now());
        relays.addresses.retain(|known| *known != relay);
        relays.addresses.push_back(relay);
        if relays.addresses.len() > MAX_RECENT_RELAYS {
            relays.addresses.pop_front();
        }
        drop(relays);
        let wanted = self.wanted(state);
        if wanted.is_empty() || self.pulling.swap(true, Ordering::Relaxed) {
            return;
        }
        let held = self.clone();
        tokio::spawn(async move {
            for request in wanted {
                match peer_pull::request(relay, &request).await {
                    Ok(response) => held.apply(response),
                    Err(error) => tracing::debug!(%relay, %error, "scout: cannot pull state"),
                }
            }
            held.pulling.store(false, Ordering::Relaxed);
        });
    }

    /// Records that a relay does not count this scout among those that hold the state. If it did, the copy is no longer
    /// kept up to date and is given up.
    pub(crate) fn release(&self, relay: SocketAddr) {
        let mut relays = lock(&self.relays);
        let before = relays.addresses.len();
        relays.addresses.retain(|known| *known != relay);
        if relays.addresses.len() < before {
            *lock(&self.copy) = StateCopy::default();
            tracing::info!(%relay, "scout: the relays' state is held elsewhere now");
        }
    }

    /// Whether the copy has a later configuration or list of servers than a relay's state.
    pub(crate) fn is_ahead_of(&self, state: &StateVersion) -> bool {
        let held = self.version();
        held.version > state.version || held.revision > state.revision
    }

    /// The state to offer and the relays to offer it to; `None` while relays are heard or there is nothing to offer.
    pub(crate) fn offer(&self) -> Option<(StateVersion, Vec<SocketAddr>)> {
        let relays = lock(&self.relays);
        let silent = relays.heard_at?.elapsed() >= OFFER_AFTER;
        let recipients: Vec<SocketAddr> = relays.addresses.iter().copied().collect();
        drop(relays);
        let state = self.version();
        let complete = state.version > 0 && state.revision.is_known();
        (silent && complete).then_some((state, recipients))
    }

    /// The state that is held.
    pub(crate) fn version(&self) -> StateVersion {
        let copy = lock(&self.copy);
        StateVersion {
            version: copy.config.as_ref().map_or(0, |config| config.version),
            revision: copy.revision,
            relay_count: copy.relays.relays.len() as u32,
        }
    }

    fn wanted(&self, state: &StateVersion) -> Vec<PeerRequest> {
        let held = self.version();
        let requests = [
            (state.version > held.version).then_some(PeerRequest::Config(held.version)),
            (state.revision > held.revision).then_some(PeerRequest::Servers(held.revision)),
            (state.relay_count > held.relay_count).then_some(PeerRequest::Relays),
        ];
        requests.into_iter().flatten().collect()
    }

    fn apply(&self, response: PeerResponse) {
        let mut copy = lock(&self.copy);
        match response {
            PeerResponse::Config(config) => copy.config = Some(config),
            PeerResponse::Servers(listing) => {
                let servers = listing.servers.into_iter();
                copy.servers = servers.map(|s| (s.id.clone(), s)).collect();
                copy.revision = listing.revision;
            }
            PeerResponse::Changes(changes) => {
                for change in changes.changes {
                    match change {
                        ServerChange::Put(record) => {
                            copy.servers.insert(record.id.clone(), record);
                        }
                        ServerChange::Gone(id) => {
                            copy.servers.remove(&id);
                        }
                    }
                }
                copy.revision = changes.revision;
            }
            PeerResponse::Relays(relays) => copy.relays = relays,
            PeerResponse::Nothing | PeerResponse::Busy => {}
        }
    }
}

impl StateSource for HeldState {
    fn respond(&self, request: &PeerRequest) -> PeerResponse {
        let held = self.version();
        let copy = lock(&self.copy);
        match (request, &copy.config) {
            (PeerRequest::Config(version), Some(config)) if held.version > *version => {
                PeerResponse::Config(config.clone())
            }
            (PeerRequest::Servers(revision), _) if copy.revision > *revision => {
                PeerResponse::Servers(ServerListing {
                    servers: copy.servers.values().cloned().collect(),
                    revision: copy.revision,
                })
            }
            (PeerRequest::Relays, _) => PeerResponse::Relays(copy.relays.clone()),
            _ => PeerResponse::Nothing,
        }
    }
}
