//! Answers that stop in the middle of their head, at plain services behind a relay.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::cut_head::Cut;
use cicada_standins::cut_head::CutHeadServer;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use eyre::Result;
use http::StatusCode;
use tokio::time::sleep;

/// Guards against an answer that stops in its head and reaches the caller as a whole one, of no or a short body.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_stops_in_its_head_is_never_a_success() -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 1, 0, 1).await?;
    let (service, server) = &deployment.services[0];
    server.down().await;
    let server = CutHeadServer::start(service.address()).await?;
    let relay = deployment.relays[0].callers;
    let mut sound = 0;
    let length = CutHeadServer::head_length("GET-000-false");
    for bytes in 0..length {
        for (reset, method, path) in [
            (false, "GET", "/slots/1"),
            (true, "GET", "/slots/1"),
            (false, "POST", "/deposits/1"),
            (true, "POST", "/deposits/1"),
        ] {
            let id = format!("{method}-{bytes:03}-{reset}");
            let bytes = Some(bytes);
            server.set_cut(Cut { bytes, reset });
            let heard = Ask::new(method, path, &id, KEY).send(relay).await?;
            assert!(
                heard.whole && !heard.status.is_success(),
                "{id}: {}",
                heard.status
            );
            // A success ends the backoff of the only server.
            server.set_cut(Cut::default());
            let heard = Ask::new("GET", "/slots/1", &format!("{id}-sound"), KEY)
                .send(relay)
                .await?;
            sound += usize::from(heard.status == StatusCode::OK);
            if heard.status != StatusCode::OK {
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
    assert!(
        server.cut_answers() >= length,
        "{} were cut",
        server.cut_answers()
    );
    assert!(sound >= length, "{sound} sound answers");
    Ok(())
}
