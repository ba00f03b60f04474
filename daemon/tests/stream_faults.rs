//! Streams of tokens under faults: each token once, in order, from one generation.

use std::time::Duration;

use eyre::Result;
use testutils::caller::Heard;
use testutils::cluster::Signal;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;

const FAST_LINKS: &str = "[link]\nheartbeat = 100\nsilent = 400\nconnect_time = 400\n\
    [agent]\nlinger = 3000\n[entry]\nresume_window = 8000\n[drain]\nnotice = 300\n";

/// The longest stall that a silent connection may cost with these settings: the silence, the time to
/// connect, and as much again for a busy machine.
const STALL_BOUND: Duration = Duration::from_millis(2_500);

fn settings(engines: usize, entries: usize) -> DeploymentSettings {
    DeploymentSettings::new(engines, 0, entries).with_extra(FAST_LINKS)
}

/// The place of the engine that runs a generation.
fn running(deployment: &Deployment) -> usize {
    deployment
        .engines
        .iter()
        .position(|host| host.engine.load().running > 0)
        .expect("a generation runs")
}

/// All engines' starts.
fn starts(deployment: &Deployment) -> usize {
    let runs = |host: &testutils::deployment::EngineHost| host.engine.record().runs.len();
    deployment.engines.iter().map(runs).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_goes_silent_costs_a_bounded_stall_and_no_token() -> Result<()> {
    // The caller sees a pause below the bound, then the rest of its stream.
    // The connection between entry and agent stays open and carries nothing any more, while new ones
    // work. No error ever comes; only the missing heartbeats tell, and the stream goes on by index.
    let deployment = Deployment::start(settings(1, 1)).await?;
    let prompt = "a programme len=300";
    let mut stream = deployment.caller(0).stream(prompt).await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 20).await;
    deployment.engines[0].front.silence();
    stream.hear_some(&mut heard, usize::MAX).await;
    assert!(heard.done, "{heard:?}");
    assert_eq!(heard.check(prompt)?, 300);
    assert!(heard.longest < STALL_BOUND, "{:?}", heard.longest);
    assert_eq!(starts(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_way_to_the_engine_goes_silent_and_the_stream_goes_on() -> Result<()> {
    // The caller sees a pause, then the rest of its stream.
    // The agent's connection to its engine carries nothing any more. The engine still produces; the
    // agent attaches anew at the next index.
    let mut settings = settings(1, 1);
    settings.extra.push_str("[backend]\nsilent = 700\n");
    let deployment = Deployment::start(settings).await?;
    let prompt = "a programme len=300";
    let mut stream = deployment.caller(0).stream(prompt).await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 20).await;
    deployment.engines[0].back.silence();
    stream.hear_some(&mut heard, usize::MAX).await;
    assert!(heard.done, "{heard:?}");
    assert_eq!(heard.check(prompt)?, 300);
    assert_eq!(starts(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_through_another_entry_when_its_own_dies() -> Result<()> {
    // The caller's connection breaks in mid-stream; it resumes at another entry and has every token
    // once. The entry is killed, nothing of it remains; the event's identifier names the agent and
    // the generation, and the agent kept the tokens.
    let mut deployment = Deployment::start(settings(2, 2)).await?;
    let prompt = "a programme len=400";
    let mut stream = deployment.caller(0).stream(prompt).await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 20).await;
    deployment.entries[0].process.signal(Signal::Kill)?;
    stream.hear_some(&mut heard, usize::MAX).await;
    assert!(!heard.done);

    let caller = deployment.caller(1);
    let rest = caller.resume(prompt, &heard.last_id).await?.hear().await;
    assert!(rest.done, "{rest:?}");
    heard.text.push_str(&rest.text);
    assert_eq!(heard.check(prompt)?, 400);
    assert_eq!(starts(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn another_workspace_cannot_resume_a_stream() -> Result<()> {
    // A caller of another workspace sends the identifier of an event that it has seen.
    // It gets an error and not a token: the identifier is proved for one workspace only.
    let deployment = Deployment::start(settings(1, 1)).await?;
    let prompt = "a programme len=40";
    let heard = deployment.caller(0).stream(prompt).await?.hear().await;
    let thief = deployment.other_caller(0);
    let stream = thief.resume(prompt, &heard.last_id).await?;
    assert_eq!(stream.status, 400);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_outlives_its_agent() -> Result<()> {
    // The caller sees a pause, then the rest of its stream.
    // The agent's process is killed and replaced in mid-stream. The engine still runs the generation,
    // and the new agent takes it over by its identifier from the next index on.
    let mut deployment = Deployment::start(settings(1, 1)).await?;
    let prompt = "a programme len=1500";
    let mut stream = deployment.caller(0).stream(prompt).await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 20).await;
    let agent = &mut deployment.engines[0].agent;
    agent.process.signal(Signal::Kill)?;
    agent.process.wait_end(Duration::from_secs(5)).await?;
    Deployment::restart(agent).await?;
    stream.hear_some(&mut heard, usize::MAX).await;
    assert!(heard.done, "{heard:?}");
    assert_eq!(heard.check(prompt)?, 1500);
    assert_eq!(starts(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_pauses_and_wakes_goes_on_with_its_streams() -> Result<()> {
    // The caller sees a pause as long as the agent's, then the rest of its stream.
    // The agent is stopped for longer than a link may be silent; the entry opens new links that the
    // kernel accepts and nobody answers, until the agent wakes.
    let mut deployment = Deployment::start(settings(1, 1)).await?;
    let prompt = "a programme len=600";
    let mut stream = deployment.caller(0).stream(prompt).await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 20).await;
    let agent = &mut deployment.engines[0].agent.process;
    agent.signal(Signal::Stop)?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    agent.signal(Signal::Cont)?;
    stream.hear_some(&mut heard, usize::MAX).await;
    assert!(heard.done, "{heard:?}");
    assert_eq!(heard.check(prompt)?, 600);
    assert_eq!(starts(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_dies_in_mid_stream_ends_it_truthfully() -> Result<()> {
    // The caller has some tokens, then an error that says that the request ran.
    // The engine dies with the generation. Tokens of another generation must not follow those that
    // the caller has, so that the stream ends.
    let deployment = Deployment::start(settings(2, 1)).await?;
    let prompt = "a programme len=2000";
    let mut stream = deployment.caller(0).stream(prompt).await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 20).await;
    let place = running(&deployment);
    deployment.engines[place].engine.kill().await;
    stream.hear_some(&mut heard, usize::MAX).await;
    assert!(!heard.done, "{heard:?}");
    let error = heard.error.clone().expect("an error event");
    assert_eq!(error["code"], "backend_lost", "{error}");
    assert_eq!(error["ran"], "yes", "{error}");
    assert!(heard.check(prompt)? >= 20);
    assert_eq!(starts(&deployment), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_cuts_nothing_and_gets_nothing_new() -> Result<()> {
    // Every caller has its whole stream; those who come after the signal are served elsewhere.
    // The agent says that it drains on every link at once, ends what it has, and ends itself.
    let mut deployment = Deployment::start(settings(2, 1)).await?;
    let prompts: Vec<String> = (0..8).map(|i| format!("programme {i} len=250")).collect();
    let mut open = Vec::new();
    for prompt in &prompts {
        open.push(deployment.caller(0).stream(prompt).await?);
    }
    deployment.engines[0].agent.process.signal(Signal::Term)?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = deployment.engines[0].engine.record().runs.len();
    for i in 0..6 {
        let prompt = format!("later {i} len=5");
        let heard = deployment.caller(0).stream(&prompt).await?.hear().await;
        assert_eq!(heard.check(&prompt)?, 5, "{heard:?}");
    }
    assert_eq!(deployment.engines[0].engine.record().runs.len(), before);
    for (prompt, stream) in prompts.iter().zip(open) {
        let heard = stream.hear().await;
        assert!(heard.done, "{heard:?}");
        assert_eq!(heard.check(prompt)?, 250);
    }
    let agent = &mut deployment.engines[0].agent.process;
    let status = agent.wait_end(Duration::from_secs(10)).await?;
    assert!(status.success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_cuts_no_stream() -> Result<()> {
    // Callers of an entry that is asked to end have their whole streams; its readiness fails at once.
    // The entry serves on until its last stream is over, and only then ends.
    let mut deployment = Deployment::start(settings(1, 1)).await?;
    let prompt = "a programme len=400";
    let stream = deployment.caller(0).stream(prompt).await?;
    let entry = &mut deployment.entries[0];
    entry.process.signal(Signal::Term)?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ready = testutils::http_call::get(entry.status, "/readyz").await?;
    assert_eq!(ready.status(), 503);
    let heard = stream.hear().await;
    assert!(heard.done, "{heard:?}");
    assert_eq!(heard.check(prompt)?, 400);
    let status = entry.process.wait_end(Duration::from_secs(10)).await?;
    assert!(status.success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_goes_away_frees_the_engine() -> Result<()> {
    // A caller closes its connection in mid-stream and does not come back.
    // Without a word down to the engine the generation would fill memory to its end; the agent
    // waits for the linger time and cancels it.
    let extra = FAST_LINKS.replace("linger = 3000", "linger = 300");
    let settings = DeploymentSettings::new(1, 0, 1).with_extra(&extra);
    let deployment = Deployment::start(settings).await?;
    let mut stream = deployment.caller(0).stream("a programme len=8000").await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 5).await;
    drop(stream);
    let engine = &deployment.engines[0].engine;
    for _ in 0..100 {
        if engine.load().running == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = engine.record().runs;
    assert_eq!(runs.len(), 1);
    assert!(runs[0].output_tokens < 8_000, "{runs:?}");
    assert_eq!(engine.load().running, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_past_its_deadline_is_not_called_not_run() -> Result<()> {
    // The caller asks another entry for the rest of a stream, with a short deadline, and the agent does
    // not answer.
    // The generation ran: the caller must not be told "not run".
    let mut deployment = Deployment::start(settings(1, 2)).await?;
    let prompt = "a programme len=2000";
    let caller = deployment.caller(0);
    let mut stream = caller.stream(prompt).await?;
    let mut heard = Heard::default();
    stream.hear_some(&mut heard, 20).await;
    deployment.engines[0].agent.process.signal(Signal::Stop)?;
    let body = format!("{{\"model\": \"model\", \"prompt\": \"{prompt}\", \"stream\": true}}");
    let headers = [
        ("last-event-id", heard.last_id.as_str()),
        ("x-deadline-ms", "500"),
    ];
    let answer = deployment
        .caller(1)
        .send("POST", "/v1/completions", &headers, &body)
        .await?;
    let error = testutils::caller::error_of(&answer)?;
    assert_eq!(error["ran"], "yes", "{error}");
    deployment.engines[0].agent.process.signal(Signal::Cont)?;
    Ok(())
}
