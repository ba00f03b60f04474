//! The scouts that hold what relays need to start: the configuration, the list of backend servers and that of relays.
//!
//! Failure: all relays are killed at once while the directory is away. What they knew is on no host any more, and nobody
//! is served until the directory is back, although the engines and the processes beside them live on.
//!
//! So a few scouts of each region take a copy from the relays that subscribe to them, and hand it on while no relay does
//! any more. They hold what the relays last knew and write nothing: a copy is as old as the silence of the relays, and
//! newer state replaces it everywhere.

use std::net::SocketAddr;

use crate::rendezvous::hash_address;
use crate::rendezvous::mix;
use crate::revision::Revision;
use crate::value_type;
use crate::zone_evacuation::EvacuatedZones;

/// Number of scouts of a region that hold the state. One that is alive is enough.
const HOLDERS: usize = 3;

value_type! {
    /// Which state a process has.
    #[derive(Default)]
    pub struct StateVersion {
        /// The version of the configuration.
        pub version: u64,
        /// The revision of the list of backend servers.
        pub revision: Revision,
        /// Number of known relays.
        pub relay_count: u32,
    }

    /// A scout's offer of the state that it holds, while it hears of no relay.
    pub struct StateOffer {
        /// The state.
        pub state: StateVersion,
        /// The evacuated availability zones.
        pub evacuated: EvacuatedZones,
    }
}

/// The engines of a region whose scouts hold the state: the same at every relay that knows the same engines.
pub fn holders(engines: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut engines = engines.to_vec();
    engines.sort_by_key(|engine| mix(hash_address(*engine)));
    engines.truncate(HOLDERS);
    engines
}
