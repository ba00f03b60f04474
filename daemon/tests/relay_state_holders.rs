//! Relays that are all killed while the store is away, with scouts that live on.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use eyre::Result;
use testutils::cluster::Signal;
use tokio::time::Instant;
use tokio::time::sleep;

/// Numbers of relays and engines.
const RELAYS: usize = 2;
const ENGINES: usize = 2;

/// Time within which killed relays serve again although the store is away.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Guards against callers that nobody serves until the store is back, although engines and the scouts beside them live.
#[tokio::test(flavor = "multi_thread")]
async fn killed_relays_serve_again_while_the_store_is_away() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, RELAYS, ENGINES, 1).await?;
    // The scouts take their copy from the relays' subscriptions.
    sleep(Duration::from_secs(3)).await;
    deployment.store.set_busy(true);
    for relay in 0..RELAYS {
        deployment.relays[relay].process.signal(Signal::Kill)?;
    }
    sleep(Duration::from_millis(300)).await;
    for relay in 0..RELAYS {
        deployment.restart_relay(relay)?;
    }
    let begun = Instant::now();
    for relay in 0..RELAYS {
        deployment.wait_ready(relay).await?;
    }
    assert!(begun.elapsed() < RECOVERY_TIME, "{:?}", begun.elapsed());
    for relay in 0..RELAYS {
        let id = format!("draft-{relay}");
        let draft = Ask::stream(&id, KEY, 200, 10);
        let heard = draft.send(deployment.relays[relay].callers).await?;
        assert!(heard.whole_success(), "{:?}", heard.status);
        assert_eq!(heard.events(&id)?.len(), 10);
        let read = Ask::new("GET", "/slots/1", &format!("read-{relay}"), KEY);
        let heard = read.send(deployment.relays[relay].callers).await?;
        assert!(heard.whole_success(), "{:?}", heard.status);
    }
    Ok(())
}
