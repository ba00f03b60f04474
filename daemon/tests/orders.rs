//! Orders to engines: what operators place is loaded, by one agent, and stale orders are refused.

use std::time::Duration;

use cicada_lib::config::EngineRole;
use cicada_lib::config::PlacementConfig;
use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::ServiceField;
use cicada_lib::ids::Name;
use eyre::Result;
use eyre::ensure;
use testutils::cluster::Process;
use testutils::cluster::Signal;
use testutils::cluster::program;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::deployment::MODEL_SERVICE;

fn place(host: &str, models: &[&str]) -> Edit {
    let placement = PlacementConfig {
        models: models.iter().map(Name::new).collect(),
        role: EngineRole::Mixed,
        ..PlacementConfig::default()
    };
    Edit::Placement(Name::new(host), Action::Create(placement))
}

fn offer(models: &[&str]) -> Edit {
    let models = models.iter().map(Name::new).collect();
    let fields = vec![ServiceField::Models(models)];
    Edit::Service(Name::new(MODEL_SERVICE), Action::Set(fields))
}

async fn wait_models(deployment: &Deployment, place: usize, wanted: &[&str]) -> Result<()> {
    let wanted: Vec<Name> = wanted.iter().map(Name::new).collect();
    for _ in 0..200 {
        let mut held = deployment.engines[place].engine.load().models;
        held.sort();
        if held == wanted {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let record = deployment.engines[place].engine.record();
    ensure!(
        false,
        "engine {place} does not hold {wanted:?}: {:?}",
        record.orders
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_placement_is_loaded_and_a_stale_agent_is_refused() -> Result<()> {
    // An operator places another version; the agent loads it. The agent is stopped, a second one is
    // started for the same engine and gives orders under a higher number. The first one wakes and
    // believes that it still may: what it orders is refused, and the engine keeps what it has.
    let mut deployment = Deployment::start(DeploymentSettings::new(1, 0, 1)).await?;
    let host = deployment.engines[0].agent.name.clone();
    let models = ["model", "model-2"];
    deployment
        .commit(Change::new(vec![offer(&models), place(&host, &models)]))
        .await?;
    wait_models(&deployment, 0, &models).await?;
    let first = deployment.engines[0].engine.load().fence;
    assert!(first > 0);

    deployment.engines[0].agent.process.signal(Signal::Stop)?;
    let peer = testutils::cluster::free_addr()?;
    let status = testutils::cluster::free_addr()?;
    let mut config = String::new();
    for line in deployment.engines[0].agent.config.lines() {
        match line.split(" = ").next() {
            Some("peer") => config.push_str(&format!("peer = {peer}\n")),
            Some("status") => config.push_str(&format!("status = {status}\n")),
            _ => config.push_str(&format!("{line}\n")),
        }
    }
    let mut second = Process::spawn(&program("cicadad")?, &config)?;
    second.wait_ready(status).await?;
    let fields = vec![cicada_lib::config_edit::PlacementField::Models(
        [Name::new("model")].into(),
    )];
    let edit = Edit::Placement(Name::new(&host), Action::Set(fields));
    deployment.commit(Change::new(vec![edit])).await?;
    wait_models(&deployment, 0, &["model"]).await?;
    assert!(deployment.engines[0].engine.load().fence > first);

    deployment.engines[0].agent.process.signal(Signal::Cont)?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    wait_models(&deployment, 0, &["model"]).await?;
    let orders = deployment.engines[0].engine.record().orders;
    let mut highest = 0;
    for order in orders.iter().filter(|order| order.taken) {
        assert!(order.fence >= highest, "{orders:?}");
        highest = order.fence;
    }
    Ok(())
}
