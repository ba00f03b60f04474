//! Answers without a length whose server has crashed and is back before the relay reads their end.

use std::path::Path;
use std::time::Duration;

use cicada_standins::breaks::Cause;
use cicada_standins::breaks::Framing;
use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::crashes::CrashPlan;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::service::Mode;
use eyre::Result;
use http::StatusCode;
use testutils::cluster::Signal;
use tokio::time::sleep;

/// Number of events of a stream that runs for a second and a half.
const EVENTS: u32 = 100;

/// How long a relay stands still. The engine crashes and is back in that time.
const PAUSE: Duration = Duration::from_millis(900);

/// A text that no path has: nothing but the test crashes a server.
const NO_PATH: &str = "/none";

fn plan(keeps_id: bool) -> CrashPlan {
    CrashPlan {
        keeps_id,
        ..CrashPlan::new(NO_PATH, Duration::ZERO)
    }
}

/// How an engine crashes while its relay stands still.
#[derive(Clone, Copy, Debug)]
struct Crash {
    keeps_id: bool,
    // Whether the store tells nothing from before the crash on.
    store_away: bool,
    resumable: bool,
}

impl Crash {
    /// Plays a stream over the crash. Returns the caller's answer and the relay's log.
    async fn play(&self) -> Result<(Heard, String)> {
        let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
        let mut deployment = Deployment::start(daemon, 1, 1, 0).await?;
        let engine = deployment.engines[0].engine.clone();
        engine.set_framing(Framing::Close);
        engine.crashes().set_plan(Some(plan(self.keeps_id)));
        let relay = deployment.relays[0].callers;
        let ask = match self.resumable {
            true => Ask::question("stream", KEY, 100, EVENTS),
            false => Ask::stream("stream", KEY, 100, EVENTS),
        };
        let stream = tokio::spawn(async move { ask.send(relay).await });
        wait_until("the stream runs", || engine.running() == 1).await?;
        sleep(Duration::from_millis(400)).await;
        let born = engine.born();
        deployment.relays[0].process.signal(Signal::Stop)?;
        if self.store_away {
            deployment.relays[0].door.down().await;
        }
        engine.crash_now();
        sleep(PAUSE).await;
        assert!(engine.born() > born, "the engine is back");
        deployment.relays[0].process.signal(Signal::Cont)?;
        let heard = stream.await??;
        Ok((heard, deployment.relays[0].process.log()))
    }
}

/// Guards against a part of a stream that passes for the whole because another process listens at its engine's address.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engine_crashed_and_is_back_is_not_complete() -> Result<()> {
    for keeps_id in [false, true] {
        for store_away in [false, true] {
            let crash = Crash {
                keeps_id,
                store_away,
                resumable: false,
            };
            let (heard, log) = crash.play().await?;
            assert_eq!(heard.status, StatusCode::OK, "{crash:?}: {log}");
            assert!(!heard.whole, "{crash:?}: {log}");
        }
    }
    Ok(())
}

/// Guards against such a stream that is cut although it can be resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_whose_engine_crashed_and_is_back_goes_on() -> Result<()> {
    let crash = Crash {
        keeps_id: false,
        store_away: false,
        resumable: true,
    };
    let (heard, log) = crash.play().await?;
    assert!(heard.whole_success(), "{heard:?}: {log}");
    let events = heard.events("stream")?;
    assert!(events.into_iter().eq(1..=u64::from(EVENTS)), "{log}");
    Ok(())
}

/// Guards against a part of an answer that passes for the whole because another process listens at its server's address.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_server_crashed_and_is_back_is_not_answered() -> Result<()> {
    for keeps_id in [false, true] {
        let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
        let mut deployment = Deployment::start(daemon, 1, 0, 1).await?;
        let service = deployment.services[0].0.clone();
        service.set_mode(Mode::Cut(Framing::Close, Cause::Closed));
        service.set_cut_pause(2 * PAUSE);
        service.crashes().set_plan(Some(plan(keeps_id)));
        let relay = deployment.relays[0].callers;
        let ask = Ask::new("POST", "/deposits/1", "deposit", KEY);
        let call = tokio::spawn(async move { ask.send(relay).await });
        wait_until("the call runs", || !service.arrivals().is_empty()).await?;
        sleep(Duration::from_millis(100)).await;
        deployment.relays[0].process.signal(Signal::Stop)?;
        service.crash_now();
        sleep(PAUSE).await;
        deployment.relays[0].process.signal(Signal::Cont)?;
        let heard = call.await??;
        let log = deployment.relays[0].process.log();
        let status = StatusCode::BAD_GATEWAY;
        assert_eq!(heard.status, status, "{keeps_id}: {heard:?}: {log}");
    }
    Ok(())
}

/// Guards against sound answers without a length that are cut for want of a proof.
#[tokio::test(flavor = "multi_thread")]
async fn sound_answers_without_a_length_are_complete() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 1, 2, 0).await?;
    for host in &deployment.engines {
        host.engine.set_framing(Framing::Close);
    }
    for number in 0..20 {
        let ask = Ask::stream(&format!("stream-{number}"), KEY, 100, 5);
        let heard = ask.send(deployment.relays[0].callers).await?;
        let log = deployment.relays[0].process.log();
        assert!(heard.whole_success(), "{heard:?}: {log}");
    }
    Ok(())
}
