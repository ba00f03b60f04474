//! What processes know together: the configuration, and who is there.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cicada_lib::config_edit::Action;
use cicada_lib::config_edit::Change;
use cicada_lib::config_edit::Edit;
use cicada_lib::config_edit::WorkspaceField;
use cicada_lib::ids::Name;
use eyre::Result;
use eyre::ensure;
use serde_json::Value;
use testutils::cluster::Signal;
use testutils::deployment::Daemon;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::deployment::WORKSPACE;
use testutils::http_call;
use testutils::platform::PlatformFaults;

/// A change is to be in force everywhere within this.
const IN_FORCE: Duration = Duration::from_secs(11);

fn share(share: u32) -> Change {
    let fields = vec![WorkspaceField::Share(share)];
    Change::new(vec![Edit::Workspace(
        Name::new(WORKSPACE),
        Action::Set(fields),
    )])
}

async fn version(status: SocketAddr) -> u64 {
    let Ok(page) = http_call::get(status, "/status").await else {
        return 0;
    };
    let page: Value = serde_json::from_slice(page.body()).unwrap_or_default();
    page["version"].as_u64().unwrap_or_default()
}

fn daemons(deployment: &Deployment) -> Vec<SocketAddr> {
    let engines = deployment.engines.iter().map(|host| host.agent.status);
    let services = deployment.services.iter().map(|host| host.agent.status);
    let entries = deployment.entries.iter().map(|entry| entry.status);
    engines.chain(services).chain(entries).collect()
}

async fn wait_version(statuses: &[SocketAddr], wanted: u64) -> Result<()> {
    let start = Instant::now();
    for status in statuses {
        while version(*status).await != wanted {
            ensure!(start.elapsed() < IN_FORCE, "{status} is not at {wanted}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_on_every_process() -> Result<()> {
    // An operator changes a share three times; each version reaches every process. Two processes of
    // an availability zone watch the store, and the others take the version from those.
    let deployment = Deployment::start(DeploymentSettings::new(9, 3, 3)).await?;
    let statuses = daemons(&deployment);
    for (number, wanted) in [(2, 2), (3, 3), (4, 4)] {
        deployment.commit(share(number)).await?;
        wait_version(&statuses, wanted).await?;
    }
    let mut pulled = 0;
    for status in &statuses {
        let page = http_call::get(*status, "/metrics").await?;
        let text = String::from_utf8_lossy(page.body()).to_string();
        let line = text
            .lines()
            .find(|line| line.starts_with("cicada_config_peer_pulls_total"));
        let count = line.and_then(|line| line.rsplit(' ').next()).unwrap_or("0");
        pulled += count.parse::<u64>()?;
    }
    assert!(pulled > 0, "no process took a version from a peer");
    Ok(())
}

/// The sum of a counter at a process.
async fn counter(status: SocketAddr, name: &str) -> Result<u64> {
    let page = http_call::get(status, "/metrics").await?;
    let text = String::from_utf8_lossy(page.body()).to_string();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let counts = lines.filter_map(|line| line.rsplit(' ').next());
    Ok(counts.filter_map(|count| count.parse::<u64>().ok()).sum())
}

/// Starts a daemon anew with seeds, as on a host that was replaced.
async fn replace(daemon: &mut Daemon, seeds: SocketAddr) -> Result<()> {
    daemon.process.signal(Signal::Kill)?;
    daemon.process.wait_end(Duration::from_secs(5)).await?;
    let seeds = format!("[platform]\nseeds = {seeds}\n");
    daemon.config.push_str(&seeds);
    Deployment::restart(daemon).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_starts_from_its_peers_while_the_store_is_down() -> Result<()> {
    // The platform is down and an entry is replaced. Callers are served through the new one: it has
    // the hosts from a seed and the configuration from a peer.
    let mut deployment = Deployment::start(DeploymentSettings::new(2, 0, 2)).await?;
    deployment.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let seed = deployment.engines[0].front.addr();
    replace(&mut deployment.entries[0], seed).await?;
    let prompt = "a programme len=10";
    let heard = deployment.caller(0).stream(prompt).await?.hear().await;
    assert_eq!(heard.check(prompt)?, 10, "{heard:?}");
    assert_eq!(version(deployment.entries[0].status).await, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_restored_from_a_copy_takes_no_process_back() -> Result<()> {
    // The platform comes back from an outage with an older state. Every process keeps the newer
    // version that was in force, and counts what it refused.
    let deployment = Deployment::start(DeploymentSettings::new(1, 0, 1)).await?;
    let statuses = daemons(&deployment);
    let copy = deployment.platform.snapshot();
    deployment.commit(share(5)).await?;
    wait_version(&statuses, 2).await?;
    deployment.platform.restore(copy);
    let start = Instant::now();
    for status in &statuses {
        while counter(*status, "cicada_config_refused_total").await? == 0 {
            ensure!(start.elapsed() < IN_FORCE, "{status} has refused nothing");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(version(*status).await, 2);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_operators_drain_gets_no_new_work() -> Result<()> {
    // An operator drains one backend server by a change of the configuration. Once the change is in
    // force, callers are served by the other one alone.
    let deployment = Deployment::start(DeploymentSettings::new(2, 0, 1)).await?;
    let drained = Name::new(&deployment.engines[0].agent.name);
    deployment
        .commit(Change::new(vec![Edit::Drain(drained)]))
        .await?;
    wait_version(&daemons(&deployment), 2).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = deployment.engines[0].engine.record().runs.len();
    for number in 0..10 {
        let prompt = format!("programme {number} len=3");
        let heard = deployment.caller(0).stream(&prompt).await?.hear().await;
        assert_eq!(heard.check(&prompt)?, 3, "{heard:?}");
    }
    assert_eq!(deployment.engines[0].engine.record().runs.len(), before);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_do_not_notice_that_an_agent_is_gone() -> Result<()> {
    // A host dies without a word. Callers that come at once and later are all served: what was sent
    // to the dead host had not begun, and is sent elsewhere.
    let mut deployment = Deployment::start(DeploymentSettings::new(3, 0, 1)).await?;
    deployment.engines[0].agent.process.signal(Signal::Kill)?;
    for number in 0..20 {
        let prompt = format!("programme {number} len=3");
        let stream = deployment.caller(0).stream(&prompt).await?;
        let heard = stream.hear().await;
        assert_eq!(heard.check(&prompt)?, 3, "{number}: {heard:?}");
    }
    Ok(())
}
