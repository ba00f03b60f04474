//! Tests of which scout a relay takes state from that starts while the directory is away.

use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::relay_peers::RelayPeers;
use cicada_lib::state_holders::StateVersion;
use cicada_lib::time::Time;

fn scout(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn state(version: u64) -> StateVersion {
    StateVersion {
        version,
        ..StateVersion::default()
    }
}

/// Guards against a relay that takes an outdated configuration from the scout that it hears first.
#[test]
fn the_latest_offer_is_taken() {
    let mut peers = RelayPeers::default();
    peers.record_offer(at(0), scout(1), state(1));
    assert_eq!(peers.any_with_config(at(10)), None);
    peers.record_offer(at(290), scout(2), state(4));
    assert_eq!(peers.any_with_config(at(300)), None);
    assert_eq!(peers.any_with_config(at(450)), Some(scout(2)));
}

/// Guards against a relay that keeps an outdated configuration although a scout offers a later one.
#[test]
fn a_later_offer_replaces_what_was_taken() {
    let mut peers = RelayPeers::default();
    peers.record_offer(at(0), scout(1), state(1));
    assert_eq!(peers.any_with_config(at(500)), Some(scout(1)));
    peers.record_offer(at(600), scout(2), state(4));
    assert_eq!(peers.most_advanced_config(at(650), 1), Some(scout(2)));
    assert_eq!(peers.most_advanced_config(at(650), 4), None);
}
