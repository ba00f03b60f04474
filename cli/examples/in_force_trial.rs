//! How long a change takes until real processes follow it, and how many calls it costs the store.
//!
//! `cargo build --workspace --locked && cargo run --locked -p cicada-cli --example in_force_trial --
//! ENGINES ENTRIES CHANGES`

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::WorkspaceField;
use cicada_lib::ids::Name;
use eyre::Result;
use eyre::bail;
use futures_util::future::join_all;
use serde_json::Value;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::deployment::WORKSPACE;
use testutils::http_call::get;

#[tokio::main]
async fn main() -> Result<()> {
    let numbers: Vec<usize> = std::env::args()
        .skip(1)
        .map_while(|a| a.parse().ok())
        .collect();
    let [engines, entries, changes] = numbers[..] else {
        bail!("usage: in_force_trial ENGINES ENTRIES CHANGES");
    };
    let settings = DeploymentSettings::new(engines, 0, entries);
    let deployment = Deployment::start(settings).await?;
    let agents = deployment.engines.iter().map(|e| e.agent.status);
    let all: Vec<SocketAddr> = agents
        .chain(deployment.entries.iter().map(|e| e.status))
        .collect();
    let idle = calls_in(&deployment, Duration::from_secs(10)).await;
    println!(
        "{} processes; calls in 10 s without a change: {idle}",
        all.len()
    );
    let mut times = Vec::new();
    let before = calls(&deployment);
    let start = Instant::now();
    for i in 0..changes {
        let version = commit(&deployment, i).await?;
        times.extend(follow(&all, version).await?);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let spent = start.elapsed().as_secs_f64();
    let made = (calls(&deployment) - before) as f64 / changes as f64;
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_millis();
    let (p50, p95, last) = (at(0.5), at(0.95), at(1.0));
    println!(
        "{changes} changes in {spent:.1} s: followed after p50 {p50} ms, p95 {p95} ms, last {last} ms"
    );
    println!("calls for each change, the list of hosts left out: {made:.0}");
    Ok(())
}

// The list of hosts is read whether or not there is a change.
fn calls(deployment: &Deployment) -> u64 {
    let kinds = deployment.platform.counts().kinds;
    let kinds = kinds.iter().filter(|(kind, _)| *kind != "hosts");
    kinds.map(|(_, count)| count).sum()
}

async fn calls_in(deployment: &Deployment, time: Duration) -> u64 {
    let before = calls(deployment);
    tokio::time::sleep(time).await;
    calls(deployment) - before
}

async fn commit(deployment: &Deployment, i: usize) -> Result<u64> {
    let share = WorkspaceField::Share(i as u32 + 2);
    let edit = Edit::Workspace(Name::new(WORKSPACE), Action::Set(vec![share]));
    deployment.commit(Change::new(vec![edit])).await?;
    // The first version is the deployment's own.
    Ok(i as u64 + 2)
}

// The time from the commit until each process says that it follows.
async fn follow(all: &[SocketAddr], version: u64) -> Result<Vec<Duration>> {
    let start = Instant::now();
    let mut left = all.to_vec();
    let mut times = Vec::new();
    while !left.is_empty() {
        let pages = join_all(left.iter().map(|a| get(*a, "/status"))).await;
        let mut behind = Vec::new();
        for (addr, page) in left.iter().zip(pages) {
            let page: Value = serde_json::from_slice(page?.body())?;
            if page["version"].as_u64() >= Some(version) {
                times.push(start.elapsed());
            } else {
                behind.push(*addr);
            }
        }
        left = behind;
        if start.elapsed() > Duration::from_secs(60) {
            bail!("{} processes do not follow version {version}", left.len());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(times)
}
