//! Tests of membership over UDP sockets on the loopback interface.

use std::time::Duration;

use cicada_lib::gossip_net::GossipNet;
use cicada_lib::ids::Name;
use cicada_lib::membership::Membership;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use cicada_lib::roster::Member;
use cicada_lib::roster::MemberState;
use cicada_lib::time::Clock;

fn host(number: usize) -> HostRecord {
    let address = ([127, 0, 0, 1], 0).into();
    HostRecord {
        name: Name::new(format!("host-{number}")),
        role: HostRole::Agent,
        address,
        status: address,
        service: Name::new("booking"),
        region: Name::new("north"),
        zone: Name::new("north-1"),
        leaving: false,
    }
}

/// Five processes gossip over UDP, and a socket outside the system sends bytes to one of them. When
/// a process announces that it is draining, the others must know within two seconds, and the
/// foreign datagram must be dropped and counted.
#[tokio::test]
async fn draining_spreads_over_udp_sockets() {
    let mut hosts: Vec<_> = (0..5).map(host).collect();
    let clock = Clock::new();
    let mut nets = Vec::new();
    for host in &mut hosts {
        let membership = Membership::new(Member::from(&*host), 1);
        let net = GossipNet::bind(host.address, [3; 32], membership, clock).await;
        let net = net.expect("a free port");
        host.address = net.address().expect("bound");
        nets.push(net);
    }
    for net in &nets {
        net.membership().update_hosts(clock.now(), &hosts);
        let net = net.clone();
        tokio::spawn(async move { net.run().await });
    }
    let outsider = tokio::net::UdpSocket::bind("127.0.0.1:0").await;
    let outsider = outsider.expect("a free port");
    let sent = outsider.send_to(&[0; 64], hosts[1].address).await;
    assert_eq!(sent.expect("loopback"), 64);
    nets[0].membership().set_draining(clock.now());
    let knows = |net: &GossipNet| {
        let members = net.membership().members(clock.now());
        let named = members.iter().find(|v| v.member.name == hosts[0].name);
        named.map(|view| view.state) == Some(MemberState::Draining)
    };
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        if nets[1..].iter().all(knows) {
            let dropped = &nets[1].counts().dropped;
            assert_eq!(dropped.load(std::sync::atomic::Ordering::Relaxed), 1);
            return;
        }
    }
    panic!("not everyone knows after two seconds");
}
