//! What the configuration costs at several numbers of workspaces.

use std::time::Duration;
use std::time::Instant;

use eyre::Result;
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

// The store's reads a second, and the processes among which they are shared at the target.
const READS: f64 = 2_000.0;
const PROCESSES: f64 = 1_370.0;
const WORKSPACES: usize = 5_100;
const LIMIT: Duration = Duration::from_secs(90);

/// All processes started at once before a store whose rate has the same part for each as 2,000 reads
/// a second have at 1,370 processes.
pub(crate) async fn run_restart(sizes: &[usize]) -> Result<()> {
    println!("\n## All processes started at once, {WORKSPACES} workspaces");
    for &size in sizes {
        let reads = READS * size as f64 / PROCESSES;
        let mut rig = Rig::with_reads(WORKSPACES, reads).await?;
        let engine = rig.add_engine(5_000).await?;
        let start = Instant::now();
        for _ in 0..size {
            rig.add_agent(engine).await?;
        }
        let mut configured = 0;
        while configured < size && start.elapsed() < LIMIT {
            sleep(Duration::from_secs(1)).await;
            configured = rig.configured().await;
        }
        let counts = rig.platform.counts();
        println!(
            "{size} processes, {reads:.0} reads/s: {configured} have a configuration after {:.0} s; \
             {} reads sent, {} calls refused",
            start.elapsed().as_secs_f64(),
            counts.kinds.get("read").unwrap_or(&0),
            counts.limited
        );
    }
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
