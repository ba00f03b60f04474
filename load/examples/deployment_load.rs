//! Sends a load through a whole deployment on the loopback, of real daemons before stand-ins.
//!
//! `cargo build --workspace && cargo run -p cicada-load --example deployment_load -- MIX RATE SECONDS`

use std::time::Duration;

use cicada_load::plan::Plan;
use cicada_load::plan::Tenant;
use cicada_load::run::run;
use eyre::Result;
use eyre::WrapErr;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::deployment::KEY;
use testutils::deployment::OTHER_KEY;
use testutils::deployment::OTHER_WORKSPACE;
use testutils::deployment::PLAIN_SERVICE;
use testutils::deployment::WORKSPACE;

const ENGINES: usize = 6;
const SERVICES: usize = 2;
const ENTRIES: usize = 3;

#[tokio::main]
async fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arg = |place: usize, default: &str| args.get(place).cloned().unwrap_or(default.to_string());
    let mut plan = Plan::mix(&arg(0, "hanshan"))?;
    plan.rate = arg(1, "10").parse().wrap_err("RATE")?;
    plan.length = Duration::from_secs(arg(2, "20").parse().wrap_err("SECONDS")?);
    plan.tenants = vec![
        tenant(WORKSPACE, KEY, 3.0),
        tenant(OTHER_WORKSPACE, OTHER_KEY, 1.0),
    ];
    for kind in plan.kinds.iter_mut().filter(|kind| !kind.path.is_empty()) {
        kind.path = format!("/services/{PLAIN_SERVICE}/book");
    }
    let settings = DeploymentSettings::new(ENGINES, SERVICES, ENTRIES);
    let deployment = Deployment::start(settings).await?;
    plan.entries = deployment.entries.iter().map(|e| e.listen).collect();
    plan.records = deployment
        .services
        .iter()
        .map(|s| s.service.addr())
        .collect();
    let agents = deployment.engines.iter().map(|e| e.agent.status);
    plan.status = agents.collect();
    let command = format!("deployment_load {}", args.join(" "));
    let report = run(plan, command, |line| eprintln!("load: {line}")).await;
    print!("{}", report.table());
    println!(
        "displacements by the agents' counters: {:?}",
        report.counted_preemptions
    );
    Ok(())
}

fn tenant(name: &str, key: &str, weight: f64) -> Tenant {
    Tenant {
        name: name.to_string(),
        key: key.to_string(),
        weight,
    }
}
