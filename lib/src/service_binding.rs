//! Service bindings: the service of a backend server, and who may state it.
//!
//! Fault pattern: the address of a server that has ended is assigned to another service, while records, scouts and
//! earlier answers still connect the address with the former one. Whoever derives a server's service from its address
//! then sends requests to a service that may not run them, under an identifier that is right.
//!
//! - The directory binds an identifier to a service. It goes before all other sources.
//! - A server states its own identifier, and nothing about its service.
//! - A server that follows another one at an address sooner than addresses are assigned again has the same service.
//! - A scout's settings count only while the directory is unreachable, for a server that it does not list, and only until
//!   the scout's engine was silent for as long as that.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::peer_messages::EngineIdentity;
use crate::time::Time;

/// How long the binding of a server is kept after it was last listed.
const BINDING_RETENTION: Duration = Duration::from_secs(60);

/// Number of bindings beyond the listed servers from which outdated ones are removed.
const MAX_UNLISTED: usize = 256;

#[derive(Clone, Debug)]
struct Binding {
    service: Name,
    listed_at: Time,
}

/// The services of the servers that the directory has listed.
#[derive(Debug, Default)]
pub(crate) struct ServiceBindings {
    bindings: HashMap<Name, Binding>,
}

impl ServiceBindings {
    /// Binds a server to a service: the directory lists it, or it directly follows a server that was bound.
    pub(crate) fn bind(&mut self, now: Time, id: &Name, service: &Name) {
        let binding = Binding {
            service: service.clone(),
            listed_at: now,
        };
        self.bindings.insert(id.clone(), binding);
    }

    /// Removes outdated bindings if there are many; those of servers that are still listed are kept.
    pub(crate) fn prune(&mut self, now: Time, listed: &HashMap<Name, impl Sized>) {
        if self.bindings.len() <= listed.len() + MAX_UNLISTED {
            return;
        }
        self.bindings.retain(|id, binding| {
            listed.contains_key(id) || now.since(binding.listed_at) < BINDING_RETENTION
        });
    }

    /// Whether the directory has listed the server.
    pub(crate) fn is_bound(&self, id: &Name) -> bool {
        self.bindings.contains_key(id)
    }

    /// The service that a server with this identifier is bound to by the directory, directly or through a server that it
    /// has followed.
    pub(crate) fn bound_service(&self, identity: &EngineIdentity) -> Option<Name> {
        let latest_first = identity.predecessors.iter().rev();
        let mut ids = std::iter::once(&identity.id).chain(latest_first);
        ids.find_map(|id| self.bindings.get(id))
            .map(|binding| binding.service.clone())
    }

    /// The service of a server that its scout names; `None` if nobody can tell. `trusts_scouts`: the directory is
    /// unreachable, so that it cannot list the server.
    pub(crate) fn service_of(
        &self,
        identity: &EngineIdentity,
        trusts_scouts: bool,
    ) -> Option<Name> {
        let by_settings = || identity.engine.service.clone();
        self.bound_service(identity)
            .or_else(|| (trusts_scouts && identity.unbroken).then(by_settings))
    }
}
