//! Memory of open streams.

use std::time::Duration;

use eyre::Result;
use tokio::time::sleep;

use crate::client;
use crate::client::Target;
use crate::fit::Line;
use crate::fit::Point;
use crate::rig::Rig;

// As many agents hold the largest number, each below the engine's largest batch of 4,096.
const AGENTS: usize = 4;
// Slow, so that the machine carries 10,000 streams: 5,000 tokens a second in all.
const STEP_MICROS: u64 = 2_000_000;
const SETTLE: Duration = Duration::from_secs(10);
const ENDLESS: usize = 100_000;

/// Opens streams in steps up to each size, and fits the memory of entry and agents.
pub(crate) async fn run(sizes: &[usize]) -> Result<()> {
    println!("\n## Memory of open streams: one entry, {AGENTS} agents");
    let mut rig = Rig::start(10).await?;
    rig.zones = 1;
    for _ in 0..AGENTS {
        let engine = rig.add_engine(STEP_MICROS).await?;
        rig.add_agent(engine).await?;
    }
    rig.add_entry().await?;
    rig.wait_ready().await?;
    let target = Target::Entry(rig.entry()?.listen);
    sleep(SETTLE).await;
    let mut open = Vec::new();
    let mut opened = 0;
    let mut entry = vec![Point {
        x: 0.0,
        y: rig.entry()?.usage()?.rss_kb as f64,
    }];
    let mut agents = Vec::new();
    for &size in sizes {
        // In small lots: what is measured is to hold streams, not to open them at once.
        while opened < size {
            let lot = (size - opened).min(250);
            open.push(client::open(target, lot, ENDLESS));
            opened += lot;
            sleep(Duration::from_millis(400)).await;
        }
        sleep(SETTLE).await;
        let failed: u64 = open.iter().map(client::OpenStreams::failed).sum();
        let held = rig.entry()?.metric("cicada_open_requests").await?;
        let rss = rig.entry()?.usage()?.rss_kb as f64;
        println!("{size} streams asked, {held:.0} held, {failed} failed; entry {rss:.0} kB");
        entry.push(Point { x: held, y: rss });
        for agent in &rig.agents {
            let runs = agent.metric("cicada_running").await?;
            let rss = agent.usage()?.rss_kb as f64;
            println!("  agent with {runs:.0} running: {rss:.0} kB");
            agents.push(Point { x: runs, y: rss });
        }
        let before = rig.entry()?.usage()?;
        sleep(Duration::from_secs(4)).await;
        let spent = rig.entry()?.usage()?.cpu_us_since(&before) / 4e4;
        println!("  entry's processor time: {spent:.1}% of a core");
    }
    Line::fit(&entry).print("the entry's memory", "kB a stream");
    Line::fit(&agents).print("an agent's memory", "kB a stream");
    Ok(())
}
