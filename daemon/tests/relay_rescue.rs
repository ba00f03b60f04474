//! Moves of runs off engines that stay: those that have become slow, and those that prefill new prompts. Relays and scouts
//! are processes, engines stand-ins.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use eyre::Result;
use http::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time between two events of a slow engine: well over the longest gap that the route declares.
const SLOW: Duration = Duration::from_millis(300);

/// Time between two events of an engine that is not slow.
const FAST: Duration = Duration::from_millis(5);

/// Events of a run: it lasts several seconds.
const EVENTS: u32 = 800;

/// How long an engine is not slow at first. Its scout needs a hundred gaps for an estimate.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);

/// Time in which the relays hear of all engines.
const START: Duration = Duration::from_millis(1_500);

/// Tokens of a prompt whose copy takes half a second.
const LARGE_PROMPT: u32 = 25_000;

struct Slowed {
    deployment: Deployment,
    stream: JoinHandle<Result<Heard>>,
    source: usize,
}

/// Starts a relay that moves runs whose engines stay, which is off by default, and two engines.
async fn start_moving() -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 1, 2, 0).await?;
    deployment.set(0, "grace = 8\n", "grace = 8\nhandoff = on\nrescue = on\n")?;
    let process = &deployment.relays[0].process;
    wait_until("the settings were read again", || {
        process.log().contains("were read again")
    })
    .await?;
    Ok(deployment)
}

/// Starts a run of this prompt at one of two engines, which then becomes slow.
async fn start(prompt: u32, prepare: impl Fn(&Deployment, usize)) -> Result<Slowed> {
    let deployment = start_moving().await?;
    for host in &deployment.engines {
        host.engine.set_pace(FAST);
    }
    sleep(START).await;
    let ask = Ask::stream("draft", KEY, prompt, EVENTS);
    let relay = deployment.relays[0].callers;
    let stream = tokio::spawn(async move { ask.send(relay).await });
    let running = |engine: usize| deployment.engines[engine].engine.running();
    wait_until("the run has begun", || running(0) + running(1) == 1).await?;
    let source = usize::from(running(1) == 1);
    prepare(&deployment, source);
    sleep(LEARNING_TIME).await;
    deployment.engines[source].engine.set_pace(SLOW);
    Ok(Slowed {
        deployment,
        stream,
        source,
    })
}

impl Slowed {
    fn runs_at(&self, engine: usize) -> bool {
        self.deployment.engines[engine].engine.running() == 1
    }

    fn log(&self) -> String {
        self.deployment.relays[0].process.log()
    }

    async fn wait(&self, what: &str, condition: impl FnMut() -> bool) {
        if wait_until(what, condition).await.is_err() {
            panic!("{what}\n{}", self.log());
        }
    }

    /// Asserts that the caller gets every event once, in order.
    async fn assert_whole(self) -> Result<()> {
        let log = self.log();
        let response = self.stream.await??;
        assert!(response.whole, "{log}");
        let all: Vec<u64> = (1..=u64::from(EVENTS)).collect();
        assert_eq!(response.events("draft")?, all, "{log}");
        Ok(())
    }
}

/// Guards against runs that stay at an engine where they are late, and against events that are lost or repeated by a
/// move.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_leaves_an_engine_that_has_become_slow() -> Result<()> {
    let slowed = start(1_000, |_, _| {}).await?;
    let target = 1 - slowed.source;
    slowed.wait("it was moved", || slowed.runs_at(target)).await;
    assert!(slowed.log().contains("migration: started"));
    slowed.assert_whole().await
}

/// Guards against a run that is stopped, or tried again without pause, because its target has no room.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_without_room_is_left_alone_for_a_while() -> Result<()> {
    let refuse = |deployment: &Deployment, source: usize| {
        deployment.engines[1 - source].engine.refuse_copies(2);
    };
    let slowed = start(1_000, refuse).await?;
    let target = 1 - slowed.source;
    let engine = slowed.deployment.engines[target].engine.clone();
    slowed
        .wait("it refused once", || engine.copy_refusals() < 2)
        .await;
    sleep(Duration::from_millis(700)).await;
    assert_eq!(engine.copy_refusals(), 1, "{}", slowed.log());
    slowed.wait("it was moved", || slowed.runs_at(target)).await;
    slowed.assert_whole().await
}

/// Guards against a run that is lost with the target, although its own engine holds its memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_returns_when_its_target_dies_after_the_stop() -> Result<()> {
    let delay = |deployment: &Deployment, source: usize| {
        let last = Duration::from_millis(600);
        deployment.engines[source].engine.set_last_copy(last);
    };
    let slowed = start(1_000, delay).await?;
    let target = 1 - slowed.source;
    let engine = slowed.deployment.engines[slowed.source].engine.clone();
    // The engine holds the memory of a run that was stopped.
    slowed.wait("it was stopped", || engine.copies() == 1).await;
    slowed.deployment.engines[target].server.down().await;
    engine.set_pace(FAST);
    let refused = || slowed.log().contains("outcome=\"refused\"");
    slowed.wait("the target is given up", refused).await;
    slowed.assert_whole().await?;
    let arrivals = engine.arrivals();
    let resumed = arrivals.iter().filter(|arrival| arrival.resumed).count();
    // More than once if the target is tried again before its scout falls silent.
    assert!(resumed >= 1, "{arrivals:?}");
    Ok(())
}

/// Guards against copies that keep their memory after their caller has left, and against a run that goes on then.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_is_freed_when_the_caller_leaves_meanwhile() -> Result<()> {
    let slowed = start(LARGE_PROMPT, |_, _| {}).await?;
    slowed
        .wait("a copy is made", || {
            slowed.log().contains("migration: started")
        })
        .await;
    slowed.stream.abort();
    let [a, b] = [0, 1].map(|n| slowed.deployment.engines[n].engine.clone());
    let source = [&a, &b][slowed.source];
    slowed
        .wait("the copy is freed", || source.freed() == 1)
        .await;
    assert_eq!((a.copies(), b.copies()), (0, 0));
    assert_eq!((a.running(), b.running()), (0, 0));
    Ok(())
}

/// Pace of engines that prefill beside their runs: some gaps are near the limit, so that a long run is at risk.
const BESIDE_PROMPTS: [(u64, u64); 2] = [(15, 300), (160, 320)];

/// Pace of engines without prompts.
const ALONE: Duration = Duration::from_millis(10);

/// How often the engines take turns between the paces while their scouts learn.
const LEARNING_ROUNDS: usize = 5;

fn stream(deployment: &Deployment, id: &str, events: u32) -> JoinHandle<Result<Heard>> {
    let ask = Ask::stream(id, KEY, 1_000, events);
    let relay = deployment.relays[0].callers;
    tokio::spawn(async move { ask.send(relay).await })
}

/// Guards against long runs that stay beside the prompts of the prefill group, and against events that are lost or
/// repeated by a handoff.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_leaves_the_prefill_group_after_its_first_event() -> Result<()> {
    let deployment = start_moving().await?;
    let engines = || deployment.engines.iter().map(|host| &host.engine);
    let log = || deployment.relays[0].process.log();
    sleep(START).await;
    let others: Vec<_> = (0..4)
        .map(|n| stream(&deployment, &format!("other-{n}"), 1_400))
        .collect();
    engines().for_each(|engine| engine.set_prefilling(1));
    for _ in 0..LEARNING_ROUNDS {
        for (pace, time) in BESIDE_PROMPTS {
            engines().for_each(|engine| engine.set_pace(Duration::from_millis(pace)));
            sleep(Duration::from_millis(time)).await;
        }
    }
    engines().for_each(|engine| {
        engine.set_prefilling(0);
        engine.set_pace(ALONE);
    });
    let is_handed_off = |id: &str| {
        let log = log();
        let mut ended = log.lines().filter(|line| line.contains("migration: ended"));
        ended.any(|line| {
            let done = line.contains("reason=\"handoff_risk\" outcome=\"done\"");
            done && line.contains(&format!("id=\"{id}\""))
        })
    };
    let mut streams = Vec::new();
    for number in 0..12 {
        let id = format!("draft-{number}");
        streams.push((stream(&deployment, &id, 200), id.clone()));
        sleep(Duration::from_secs(1)).await;
        if is_handed_off(&id) {
            break;
        }
    }
    let handed_off = streams.iter().any(|(_, id)| is_handed_off(id));
    assert!(handed_off, "{}", log());
    for (stream, id) in streams {
        let response = stream.await??;
        // The first ones may be rejected while the engines report prompts.
        if response.status == StatusCode::SERVICE_UNAVAILABLE && !is_handed_off(&id) {
            continue;
        }
        assert!(response.whole, "{id}\n{}", log());
        assert_eq!(
            response.events(&id)?,
            (1..=200).collect::<Vec<u64>>(),
            "{id}"
        );
    }
    others.iter().for_each(JoinHandle::abort);
    Ok(())
}
