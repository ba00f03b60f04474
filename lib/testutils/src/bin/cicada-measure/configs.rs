//! What the configuration costs at several numbers of workspaces.

use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::ensure;
use testutils::platform::PlatformCounts;
use tokio::time::sleep;

use crate::fit::Line;
use crate::fit::Point;
use crate::rig::Rig;

const ENTRIES: usize = 3;
const AGENTS: usize = 7;
const CHANGES: u32 = 20;
const PAUSE: Duration = Duration::from_millis(500);
const SETTLE: Duration = Duration::from_secs(4);

/// Memory after the load, and processor time, calls and bytes for a change.
pub(crate) async fn run(sizes: &[usize]) -> Result<()> {
    println!("\n## Configurations: {ENTRIES} entries, {AGENTS} agents, {CHANGES} changes each");
    let mut points: [Vec<Point>; 4] = Default::default();
    for &size in sizes {
        let mut rig = Rig::start(size).await?;
        let engine = rig.add_engine(5_000).await?;
        let start = Instant::now();
        for _ in 0..AGENTS {
            rig.add_agent(engine).await?;
        }
        for _ in 0..ENTRIES {
            rig.add_entry().await?;
        }
        rig.wait_ready().await?;
        let ready = start.elapsed().as_secs_f64();
        let first = rig.platform.counts();
        sleep(SETTLE).await;
        let processes = (ENTRIES + AGENTS) as f64;
        let reads = *first.kinds.get("read").unwrap_or(&0) as f64 / processes;
        let loaded = means(&rig)?;
        println!(
            "{size} workspaces: ready after {ready:.1} s, {reads:.1} reads a process; entry {:.0} kB, \
             agent {:.0} kB resident",
            loaded.entry_rss, loaded.agent_rss
        );
        let idle = cpu_while(&rig, PAUSE * CHANGES).await?;
        let counts = rig.platform.counts();
        let bytes = rig.entry_relay.bytes() + rig.agent_relay.bytes();
        let before = means(&rig)?;
        let mut slowest = Duration::ZERO;
        let from = Instant::now();
        for share in 0..CHANGES {
            let start = Instant::now();
            let version = rig.change(share + 2).await?;
            rig.wait_version(version).await?;
            slowest = slowest.max(start.elapsed());
            sleep(PAUSE.saturating_sub(start.elapsed())).await;
        }
        let took = from.elapsed().as_secs_f64();
        let after = means(&rig)?;
        let per = |now: f64, before: f64, idle: f64| {
            (now - before - idle * took) / f64::from(CHANGES) / 1e3
        };
        let entry = per(after.entry_cpu, before.entry_cpu, idle.entry_cpu);
        let agent = per(after.agent_cpu, before.agent_cpu, idle.agent_cpu);
        let calls: u64 = ["read", "watch", "hosts"]
            .iter()
            .map(|kind| {
                let now = rig.platform.counts().kinds.get(*kind).copied();
                now.unwrap_or(0) - counts.kinds.get(*kind).copied().unwrap_or(0)
            })
            .sum();
        let bytes = rig.entry_relay.bytes() + rig.agent_relay.bytes() - bytes;
        let share = f64::from(CHANGES) * processes;
        println!(
            "  a change: entry {entry:.2} ms, agent {agent:.2} ms of CPU; {:.2} calls and {:.0} B a \
             process; slowest in force everywhere after {:.2} s",
            calls as f64 / share,
            bytes as f64 / share,
            slowest.as_secs_f64()
        );
        println!(
            "  after the changes: entry {:.0} kB, agent {:.0} kB resident",
            after.entry_rss, after.agent_rss
        );
        let x = size as f64;
        for (points, y) in points
            .iter_mut()
            .zip([after.entry_rss, after.agent_rss, entry, agent])
        {
            points.push(Point { x, y });
        }
    }
    Line::fit(&points[0]).print("an entry's memory", "kB a workspace");
    Line::fit(&points[1]).print("an agent's memory", "kB a workspace");
    Line::fit(&points[2]).print("an entry's time for a change", "ms a workspace");
    Line::fit(&points[3]).print("an agent's time for a change", "ms a workspace");
    Ok(())
}

// Reads a second that the store takes, and those that are left of them in the first second of a start
// of 1,370 processes, each of which reads the list of hosts.
const READS: [f64; 2] = [2_000.0, 830.0];
const WORKSPACES: usize = 5_100;
const LIMIT: Duration = Duration::from_secs(40);

/// All processes started at once, in ten availability zones as at the target.
pub(crate) async fn run_restart(sizes: &[usize]) -> Result<()> {
    for &size in sizes {
        for reads in READS {
            start_all(Rig::with_reads(WORKSPACES, reads).await?, size, reads).await?;
        }
    }
    Ok(())
}

/// Two processes of one availability zone before a store that is short of reads: one load of 65 reads
/// takes as many seconds as the rate says, if it ends.
pub(crate) async fn run_short(rates: &[usize]) -> Result<()> {
    for &reads in rates {
        let mut rig = Rig::with_reads(WORKSPACES, reads as f64).await?;
        rig.zones = 1;
        start_all(rig, 2, reads as f64).await?;
    }
    Ok(())
}

async fn start_all(mut rig: Rig, size: usize, reads: f64) -> Result<()> {
    println!("\n{size} processes, {reads:.0} reads/s, {WORKSPACES} workspaces");
    let engine = rig.add_engine(5_000).await?;
    let start = Instant::now();
    for _ in 0..size {
        rig.add_agent(engine).await?;
    }
    let none = PlatformCounts::default();
    follow_start(&mut rig, "first start", start, &none).await?;
    sleep(SETTLE).await;
    let before = rig.platform.counts();
    let start = Instant::now();
    rig.restart_all().await?;
    follow_start(&mut rig, "killed and started again", start, &before).await
}

async fn follow_start(
    rig: &mut Rig,
    what: &str,
    start: Instant,
    before: &PlatformCounts,
) -> Result<()> {
    let size = rig.daemons().count();
    let mut configured = 0;
    while configured < size && start.elapsed() < LIMIT {
        sleep(Duration::from_millis(200)).await;
        configured = rig.configured().await;
    }
    let took = start.elapsed().as_secs_f64();
    let ended = rig.ended()?;
    ensure!(
        ended == 0,
        "{ended} of {size} processes ended at their start"
    );
    let counts = rig.platform.counts();
    let since = |kind: &str| {
        let of = |counts: &PlatformCounts| counts.kinds.get(kind).copied().unwrap_or(0);
        of(&counts) - of(before)
    };
    println!(
        "  {what}: {configured} have a configuration after {took:.1} s; {} reads and {} lists of \
         hosts asked for, {} calls refused",
        since("read"),
        since("hosts"),
        counts.limited - before.limited
    );
    Ok(())
}

/// Means over the processes of a role: kB, and microseconds of processor time so far.
#[derive(Default)]
struct Means {
    entry_rss: f64,
    agent_rss: f64,
    entry_cpu: f64,
    agent_cpu: f64,
}

fn means(rig: &Rig) -> Result<Means> {
    let mut means = Means::default();
    for daemon in &rig.entries {
        let usage = daemon.usage()?;
        means.entry_rss += usage.rss_kb as f64 / ENTRIES as f64;
        means.entry_cpu += usage.cpu_ns as f64 / 1e3 / ENTRIES as f64;
    }
    for daemon in &rig.agents {
        let usage = daemon.usage()?;
        means.agent_rss += usage.rss_kb as f64 / AGENTS as f64;
        means.agent_cpu += usage.cpu_ns as f64 / 1e3 / AGENTS as f64;
    }
    Ok(means)
}

/// Microseconds a second while nothing changes.
async fn cpu_while(rig: &Rig, time: Duration) -> Result<Means> {
    let before = means(rig)?;
    let start = Instant::now();
    sleep(time).await;
    let took = start.elapsed().as_secs_f64();
    let after = means(rig)?;
    Ok(Means {
        entry_cpu: (after.entry_cpu - before.entry_cpu) / took,
        agent_cpu: (after.agent_cpu - before.agent_cpu) / took,
        ..Means::default()
    })
}
