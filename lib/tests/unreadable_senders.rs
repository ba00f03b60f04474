//! Tests of the record of processes whose messages cannot be read.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cicada_lib::time::Time;
use cicada_lib::unreadable_senders::UnreadableSenders;

const SECOND: Duration = Duration::from_secs(1);

fn sender(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, number))
}

/// Guards against a log that a relay of another version floods with a line for each of its messages.
#[test]
fn a_sender_is_logged_once_a_minute() {
    let mut senders = UnreadableSenders::default();
    let logged = (0..1_200).filter(|step| {
        let now = Time::ZERO + SECOND / 10 * *step;
        senders.record(now, sender(1))
    });
    assert_eq!(logged.count(), 2);
}

/// Guards against a process that was replaced and still counts as present.
#[test]
fn a_sender_that_falls_silent_is_not_present() {
    let mut senders = UnreadableSenders::default();
    senders.record(Time::ZERO, sender(2));
    senders.record(Time::ZERO + SECOND * 20, sender(1));
    assert_eq!(
        senders.present(Time::ZERO + SECOND * 20),
        [sender(1), sender(2)]
    );
    assert_eq!(senders.present(Time::ZERO + SECOND * 40), [sender(1)]);
}

/// Guards against datagrams of many made-up senders that take the memory of a relay.
#[test]
fn the_number_of_senders_is_bounded() {
    let mut senders = UnreadableSenders::default();
    for number in 0..60_000 {
        senders.record(Time::ZERO, sender(number));
    }
    assert!(senders.present(Time::ZERO).len() < 2_000);
    assert!(!senders.record(Time::ZERO, sender(60_001)));
    assert!(senders.record(Time::ZERO + SECOND * 120, sender(60_001)));
}
