//! Measures membership at several sizes, over a network with delay and loss, in virtual time.
//!
//! `cargo run -p cicada-lib --example gossip_trial` prints for each size, or those given, the bytes and datagrams that a
//! process sends, the processor time that it needs, and how long news takes to reach everyone.

use std::time::Duration;

use cicada_lib::config_apply::ConfigVersionId;
use cicada_lib::config_chunks::root_digest;
use cicada_lib::ids::Version;
use cicada_lib::roster::MemberState;
use testutils::lossy_net::LossyNet;
use testutils::lossy_net::Node;

const LOSS: f64 = 0.03;
const STEADY: u64 = 20;

fn net(count: usize, seed: u64) -> LossyNet {
    let mut net = LossyNet::new(count, 4, 3, seed);
    net.loss = LOSS;
    net.run(Duration::from_secs(8));
    net
}

fn seconds(took: Option<Duration>) -> String {
    took.map_or("never".to_owned(), |took| {
        format!("{:.1} s", took.as_secs_f64())
    })
}

// Until at most one pair in a hundred processes is misjudged; looks once a second, since to compare
// all pairs takes long.
fn settle(net: &mut LossyNet) -> Option<Duration> {
    let few = net.nodes.len() / 100;
    let mut rounds = 1..=120;
    rounds
        .find(|_| {
            net.run(Duration::from_secs(1));
            net.misjudged() <= few
        })
        .map(Duration::from_secs)
}

fn steady(count: usize) {
    let mut net = net(count, 1);
    net.reset_counts();
    net.run(Duration::from_secs(STEADY));
    let per = |sum: u64| sum as f64 / count as f64 / STEADY as f64;
    let bytes = per(net.nodes.iter().map(|node| node.sent).sum());
    let most = net.nodes.iter().map(|node| node.sent).max().unwrap_or(0) / STEADY;
    let peak = net.nodes.iter().map(|node| node.peak).max().unwrap_or(0);
    let datagrams = per(net.nodes.iter().map(|node| node.datagrams).sum());
    let micros = net.cpu.as_secs_f64() * 1e6 / count as f64 / STEADY as f64;
    println!(
        "{count:5} steady: {bytes:4.0} B/s sent (most of one process {most}, in one second {peak}), \
         {datagrams:.1} datagrams/s, {micros:.0} us of a core a second, {} pairs misjudged",
        net.misjudged()
    );
}

fn draining(count: usize) {
    let mut worst = Duration::ZERO;
    let mut peak = 0;
    for seed in 0..5 {
        let mut net = net(count, 10 + seed);
        net.reset_counts();
        let now = net.now();
        net.nodes[7].membership.set_draining(now);
        let all = |net: &LossyNet| net.all_see(7, MemberState::Draining);
        let took = net.run_until(Duration::from_secs(20), all);
        worst = worst.max(took.unwrap_or(Duration::MAX));
        peak = peak.max(net.nodes.iter().map(|node| node.peak).max().unwrap_or(0));
    }
    println!(
        "{count:5} draining word everywhere, worst of 5: {}, most bytes of a process in a second {peak}",
        seconds(Some(worst))
    );
}

fn version(count: usize) {
    let mut net = net(count, 20);
    for node in &mut net.nodes {
        node.follows = true;
    }
    let mark = ConfigVersionId {
        version: Version(1),
        digest: root_digest(b"1"),
    };
    let now = net.now();
    net.nodes[0].membership.set_config(now, mark.clone());
    net.nodes[0].adopted = Some(mark.clone());
    let all = |net: &LossyNet| net.nodes.iter().all(|n| n.adopted.as_ref() == Some(&mark));
    let took = net.run_until(Duration::from_secs(60), all);
    println!("{count:5} version in force everywhere: {}", seconds(took));
}

fn death(count: usize) {
    let mut net = net(count, 30);
    net.nodes[7].up = false;
    let gone = |net: &LossyNet| {
        let mut up = (0..count).filter(|n| *n != 7);
        up.all(|n| {
            let state = net.state(n, 7);
            matches!(state, Some(MemberState::Suspect | MemberState::Lost))
        })
    };
    let took = net.run_until(Duration::from_secs(60), gone);
    println!("{count:5} dead host known everywhere: {}", seconds(took));
}

fn region(count: usize) {
    let mut net = net(count, 40);
    let lone = |node: &Node| node.host.region.as_str() == "region-1";
    net.cut = Box::new(move |a, b| lone(a) != lone(b));
    net.reset_counts();
    net.run(Duration::from_secs(60));
    let cut = net.misjudged();
    net.cut = Box::new(|_, _| false);
    let took = settle(&mut net);
    let peak = net.nodes.iter().map(|node| node.peak).max().unwrap_or(0);
    println!(
        "{count:5} region cut for 60 s: {cut} pairs apart at its end; together again after {}; most \
         bytes of a process in a second {peak}",
        seconds(took)
    );
}

fn restart(count: usize) {
    let mut net = net(count, 50);
    net.reset_counts();
    let now = net.now();
    for node in &mut net.nodes {
        node.membership.set_leaving(now);
    }
    net.run(Duration::from_secs(1));
    for n in 0..count {
        net.restart(n, 2_000);
    }
    let took = settle(&mut net);
    let peak = net.nodes.iter().map(|node| node.peak).max().unwrap_or(0);
    println!(
        "{count:5} all restarted at once: settled after {}, most bytes of a process in a second {peak}",
        seconds(took)
    );
}

fn main() {
    println!("4 regions with 3 availability zones each, {LOSS} of datagrams lost");
    let sizes: Vec<_> = std::env::args()
        .skip(1)
        .flat_map(|size| size.parse())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![50, 100, 200, 1_370]
    } else {
        sizes
    };
    for count in sizes {
        steady(count);
        draining(count);
        version(count);
        death(count);
        region(count);
        restart(count);
    }
}
