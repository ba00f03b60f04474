//! Planned stops of an entry: requests that come when the balancer has already turned away.

use std::time::Duration;

use eyre::Result;
use testutils::caller::OpenStream;
use testutils::caller::error_of;
use testutils::cluster::Signal;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::service::ServiceFaults;
use tokio::time::sleep;

/// The notice is over 0.3 s after the signal, the process ends 4 s later at the latest.
const DRAIN: &str = "[drain]\nnotice = 300\nlimit = 4000\n";

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts an entry with an engine and a service, leaves a stream open, and stops the entry. Its notice is over by then.
async fn start_draining() -> Result<(Deployment, OpenStream)> {
    let settings = DeploymentSettings::new(1, 1, 1).with_extra(DRAIN);
    let mut deployment = Deployment::start(settings).await?;
    let open = deployment.caller(0).stream("open len=50000").await?;
    deployment.entries[0].process.signal(Signal::Term)?;
    sleep(Duration::from_millis(800)).await;
    Ok((deployment, open))
}

fn runs(deployment: &Deployment) -> usize {
    deployment.engines[0].engine.record().runs.len()
}

/// Guards against requests that an entry takes though they may outlast the time until its end, and cuts.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_may_outlast_a_stop_are_refused() -> Result<()> {
    let (mut deployment, open) = start_draining().await?;
    let before = runs(&deployment);
    let caller = deployment.caller(0);
    let stream = caller.stream("late len=20000").await?;
    let answer = stream.whole().await?;
    assert_eq!(answer.status(), 503, "{answer:?}");
    let error = error_of(&answer)?;
    assert_eq!(error["code"], "draining", "{error}");
    assert_eq!(error["ran"], "no", "{error}");
    let path = "/services/booking/book?font=2";
    let answer = caller.send("POST", path, &[], "{}").await?;
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert_eq!(error_of(&answer)?["ran"], "no");
    assert_eq!(runs(&deployment), before);
    assert!(deployment.services[0].service.effects().is_empty());
    drop(open);
    let entry = &mut deployment.entries[0];
    assert!(entry.process.wait_end(PATIENCE).await?.success());
    Ok(())
}

/// Guards against an entry that refuses requests whose deadlines give them an end in time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_deadlines_end_in_time_are_served() -> Result<()> {
    let (deployment, open) = start_draining().await?;
    let path = "/services/booking/book?font=2";
    let headers = [("x-deadline-ms", "900")];
    let answer = deployment
        .caller(0)
        .send("POST", path, &headers, "{}")
        .await?;
    assert!(answer.status().is_success(), "{answer:?}");
    assert_eq!(deployment.services[0].service.effects().len(), 1);
    drop(open);
    Ok(())
}

/// Guards against requests that are cut without an answer when an entry is ended by force.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_an_answer_get_one_at_the_end() -> Result<()> {
    let settings = DeploymentSettings::new(1, 1, 1).with_extra(DRAIN);
    let mut deployment = Deployment::start(settings).await?;
    deployment.services[0].service.set_faults(ServiceFaults {
        slow: 60_000,
        ..ServiceFaults::default()
    });
    let (caller, other) = (deployment.caller(0), deployment.caller(0));
    let whole = tokio::spawn(async move { caller.complete("whole len=50000").await });
    let path = "/services/booking/book?font=2";
    let call = tokio::spawn(async move { other.send("POST", path, &[], "{}").await });
    sleep(Duration::from_millis(500)).await;
    let entry = &mut deployment.entries[0];
    entry.process.signal(Signal::Term)?;
    let whole = whole.await??;
    assert_eq!(whole.status(), 502, "{whole:?}");
    assert_eq!(error_of(&whole)?["code"], "forced_stop");
    let call = call.await??;
    assert_eq!(call.status(), 502, "{call:?}");
    assert_eq!(error_of(&call)?["ran"], "unknown");
    assert!(entry.process.wait_end(PATIENCE).await?.success());
    Ok(())
}
