//! Requests that end the engine which runs them.

use std::time::Duration;

use eyre::Result;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::generation::End;
use testutils::generation::RunRecord;
use testutils::token_text::prompt_digest;

fn deaths(deployment: &Deployment) -> u64 {
    let engines = deployment.engines.iter();
    engines.map(|host| host.engine.record().deaths).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_kills_costs_two_engines_however_often_it_is_sent() -> Result<()> {
    // The caller sends a prompt that ends every engine, again and again through each entry. It is told
    // that the request ran and is not tried again. The first engine dies with the request among
    // others, the second with it alone; then it is refused everywhere.
    let deployment = Deployment::start(DeploymentSettings::new(8, 0, 2)).await?;
    for round in 0..8 {
        let caller = deployment.caller(round % 2);
        let stream = caller.stream("a KILL programme len=50").await?;
        let heard = stream.hear().await;
        assert!(!heard.done, "{heard:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let answer = deployment
        .caller(0)
        .complete("a KILL programme len=50")
        .await?;
    let error = testutils::caller::error_of(&answer)?;
    assert_eq!(error["code"], "kills_backends", "{error}");
    assert_eq!(error["ran"], "yes", "{error}");
    assert!(
        deaths(&deployment) <= 2,
        "{} engines died",
        deaths(&deployment)
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspect_harms_nobody_beside_it() -> Result<()> {
    // Streams run on both near engines, 0 and 3, when a killer comes. The engine that it is given dies with those
    // beside it. Its next try must run alone, and where no engine is idle it does not run: the streams
    // on all other engines come to their end.
    let deployment = Deployment::start(DeploymentSettings::new(4, 0, 1)).await?;
    let prompts: Vec<String> = (0..12).map(|i| format!("programme {i} len=2500")).collect();
    let mut open = Vec::new();
    for prompt in &prompts {
        open.push(deployment.caller(0).stream(prompt).await?);
    }
    let _ = deployment
        .caller(0)
        .complete("a KILL programme len=50")
        .await?;
    for stream in open {
        stream.hear().await;
    }
    let harmed = deployment.engines.iter().filter(|host| {
        let runs = host.engine.record().runs;
        let innocent = |run: &RunRecord| prompts.iter().any(|p| prompt_digest(p) == run.digest);
        runs.iter().any(|run| innocent(run) && run.end == End::Died)
    });
    assert_eq!(harmed.count(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn those_that_ran_beside_a_killer_are_served_when_they_come_again() -> Result<()> {
    // Eight callers' streams run on the engine that a killer ends. They are told the truth, and send
    // their requests again: each is served, though all were suspect, since a suspect runs alone first.
    let deployment = Deployment::start(DeploymentSettings::new(1, 0, 1)).await?;
    let prompts: Vec<String> = (0..8).map(|i| format!("programme {i} len=400")).collect();
    let mut open = Vec::new();
    for prompt in &prompts {
        open.push(deployment.caller(0).stream(prompt).await?);
    }
    let killer = deployment.caller(0);
    let killer = tokio::spawn(async move { killer.complete("a KILL programme len=50").await });
    for stream in open {
        let heard = stream.hear().await;
        assert!(!heard.done, "{heard:?}");
    }
    killer.await??;
    for prompt in &prompts {
        let mut heard = deployment.caller(0).stream(prompt).await?.hear().await;
        for _ in 0..40 {
            if heard.done {
                break;
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
            heard = deployment.caller(0).stream(prompt).await?.hear().await;
        }
        assert!(heard.done, "{prompt}: {heard:?}");
        assert_eq!(heard.check(prompt)?, 400);
    }
    assert!(deaths(&deployment) <= 2);
    Ok(())
}
