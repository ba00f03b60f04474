//! What processes cost that have no requests.

use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use tokio::time::sleep;

use crate::client;
use crate::client::Target;
use crate::fit::Line;
use crate::fit::Point;
use crate::proc_stat::Usage;
use crate::rig::Daemon;
use crate::rig::Rig;

const SETTLE: Duration = Duration::from_secs(6);
// Two intervals at which the list of hosts is read.
const WINDOW: Duration = Duration::from_secs(20);
const IDLE_ENGINE: u64 = 5_000;
// Of 1,370 processes 370 are entries.
const ENTRIES_IN_100: usize = 27;

struct Seen {
    cpu: f64,
    rss: f64,
    anon: f64,
}

/// Means over daemons: parts of a core in per cent, and kB.
fn mean(daemons: &[Daemon], before: &[Usage], took: f64) -> Result<Seen> {
    let count = daemons.len() as f64;
    let mut seen = Seen {
        cpu: 0.0,
        rss: 0.0,
        anon: 0.0,
    };
    for (daemon, before) in daemons.iter().zip(before) {
        let usage = daemon.usage()?;
        seen.cpu += usage.cpu_us_since(before) / took / 1e4 / count;
        seen.rss += usage.rss_kb as f64 / count;
        seen.anon += usage.anon_kb as f64 / count;
    }
    Ok(seen)
}

fn usages(daemons: &[Daemon]) -> Result<Vec<Usage>> {
    daemons.iter().map(Daemon::usage).collect()
}

/// The cost of a process at several numbers of processes.
pub(crate) async fn run(sizes: &[usize]) -> Result<()> {
    println!("\n## Idle processes, 10 workspaces, default settings");
    let mut points: [Vec<Point>; 2] = Default::default();
    for &size in sizes {
        let mut rig = Rig::start(10).await?;
        let engine = rig.add_engine(IDLE_ENGINE).await?;
        let entries = (size * ENTRIES_IN_100 / 100).max(1);
        let start = Instant::now();
        for _ in entries..size {
            rig.add_agent(engine).await?;
        }
        for _ in 0..entries {
            rig.add_entry().await?;
        }
        rig.wait_ready().await?;
        let ready = start.elapsed().as_secs_f64();
        println!("{size} processes ({entries} entries), started and ready after {ready:.1} s");
        let rate = window(&rig).await?;
        points[0].push(Point {
            x: size as f64,
            y: rate.hosts,
        });
        points[1].push(Point {
            x: size as f64,
            y: rate.watches,
        });
    }
    Line::fit(&points[0]).print("reads of the host list", "calls/s a process");
    Line::fit(&points[1]).print("watches", "calls/s a process");
    Ok(())
}

struct CallRate {
    hosts: f64,
    watches: f64,
}

async fn window(rig: &Rig) -> Result<CallRate> {
    sleep(SETTLE).await;
    let entries = usages(&rig.entries)?;
    let agents = usages(&rig.agents)?;
    let counts = rig.platform.counts();
    let entry_bytes = rig.entry_relay.bytes();
    let agent_bytes = rig.agent_relay.bytes();
    let start = Instant::now();
    sleep(WINDOW).await;
    let took = start.elapsed().as_secs_f64();
    let each = |bytes: u64, daemons: &[Daemon]| bytes as f64 / took / daemons.len() as f64;
    for (name, daemons, before, bytes) in [
        (
            "entry",
            &rig.entries,
            &entries,
            rig.entry_relay.bytes() - entry_bytes,
        ),
        (
            "agent",
            &rig.agents,
            &agents,
            rig.agent_relay.bytes() - agent_bytes,
        ),
    ] {
        let seen = mean(daemons, before, took)?;
        println!(
            "  {name}: {:.3}% of a core, {:.0} kB resident, {:.0} kB of its own, {:.0} B/s with the \
             platform",
            seen.cpu,
            seen.rss,
            seen.anon,
            each(bytes, daemons)
        );
    }
    let after = rig.platform.counts();
    let rate = |kind: &str| {
        let of =
            |kinds: &std::collections::BTreeMap<String, u64>| kinds.get(kind).copied().unwrap_or(0);
        (of(&after.kinds) - of(&counts.kinds)) as f64 / took
    };
    let rates = CallRate {
        hosts: rate("hosts"),
        watches: rate("watch"),
    };
    println!(
        "  store calls/s: hosts {:.2}, watches {:.2}, reads {:.2}, writes {:.2}; refused {}",
        rates.hosts,
        rates.watches,
        rate("read"),
        rate("write"),
        after.limited
    );
    Ok(rates)
}

/// The cost of open links without streams.
pub(crate) async fn run_links(sizes: &[usize]) -> Result<()> {
    println!("\n## One entry with open links that carry no stream");
    let mut points: [Vec<Point>; 2] = Default::default();
    for &size in sizes {
        let mut rig = Rig::start(10).await?;
        let engine = rig.add_engine(IDLE_ENGINE).await?;
        rig.zones = 1;
        rig.count_links = true;
        for _ in 0..size {
            rig.add_agent(engine).await?;
        }
        rig.add_entry().await?;
        rig.wait_ready().await?;
        let target = Target::Entry(rig.entry()?.listen);
        // Enough that each agent of the subset gets some.
        drop(client::open(target, size * 20, 10));
        let open = client::open(target, size * 20, 10);
        sleep(Duration::from_secs(8)).await;
        drop(open);
        let links = rig.links.iter().filter(|link| link.bytes() > 0).count();
        let before = rig.entry()?.usage()?;
        let from: u64 = rig.links.iter().map(|link| link.bytes()).sum();
        let start = Instant::now();
        sleep(WINDOW).await;
        let took = start.elapsed().as_secs_f64();
        let bytes: u64 = rig.links.iter().map(|link| link.bytes()).sum();
        let bytes = (bytes - from) as f64 / took;
        let cpu = rig.entry()?.usage()?.cpu_us_since(&before) / took / 1e4;
        println!("{size} agents, {links} links: entry {cpu:.3}% of a core, {bytes:.0} B/s");
        let x = links as f64;
        points[0].push(Point { x, y: cpu });
        points[1].push(Point { x, y: bytes });
    }
    Line::fit(&points[0]).print("the entry's processor time", "% of a core a link");
    Line::fit(&points[1]).print("bytes both ways", "B/s a link");
    Ok(())
}

/// The cost of the list of hosts, most of which have no process.
pub(crate) async fn run_hosts(sizes: &[usize]) -> Result<()> {
    println!("\n## One idle entry before a list of hosts");
    let mut points: [Vec<Point>; 3] = Default::default();
    for &size in sizes {
        let mut rig = Rig::start(10).await?;
        rig.fill_hosts(size);
        rig.add_entry().await?;
        rig.wait_ready().await?;
        sleep(SETTLE).await;
        let before = usages(&rig.entries)?;
        let from = rig.entry_relay.bytes();
        let calls = rig.platform.counts();
        let start = Instant::now();
        sleep(WINDOW).await;
        let took = start.elapsed().as_secs_f64();
        let seen = mean(&rig.entries, &before, took)?;
        let bytes = (rig.entry_relay.bytes() - from) as f64 / took;
        let after = rig.platform.counts();
        let reads = after.kinds.get("hosts").unwrap_or(&0) - calls.kinds.get("hosts").unwrap_or(&0);
        println!(
            "{size} hosts: {:.3}% of a core, {:.0} kB resident, {bytes:.0} B/s, {reads} reads of the \
             list",
            seen.cpu, seen.rss
        );
        let x = size as f64;
        points[0].push(Point { x, y: seen.cpu });
        points[1].push(Point { x, y: seen.rss });
        points[2].push(Point { x, y: bytes });
    }
    Line::fit(&points[0]).print("processor time", "% of a core a host");
    Line::fit(&points[1]).print("memory", "kB a host");
    Line::fit(&points[2]).print("bytes", "B/s a host");
    Ok(())
}
