//! Plain calls whose answer is broken off, as seen by callers.

use std::path::Path;

use cicada_standins::breaks::Cause;
use cicada_standins::breaks::Framing;
use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::service::Mode;
use eyre::Result;
use eyre::ensure;
use http::StatusCode;

/// Calls after which one of two servers has been chosen.
const MOST_CALLS: usize = 60;

/// Whether the half of an answer that ends so is all that the server had to say.
fn is_complete(framing: Framing, cause: Cause) -> bool {
    match framing {
        Framing::Length => false,
        Framing::Chunks => cause == Cause::Ended,
        Framing::Close => matches!(cause, Cause::Ended | Cause::Closed),
    }
}

/// Calls two servers, one of which breaks its answers off so, until it has run a call, and checks all answers.
async fn check(framing: Framing, cause: Cause, method: &str, path: &str) -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 1, 0, 2).await?;
    let [broken, sound] = [0, 1].map(|service: usize| &deployment.services[service].0);
    broken.set_mode(Mode::Cut(framing, cause));
    let repeatable = method == "GET";
    let whole = format!("{method} {path} 0");
    let half = &whole[..whole.len() / 2];
    for number in 0..MOST_CALLS {
        let id = format!("call-{number}");
        let heard = Ask::new(method, path, &id, KEY)
            .send(deployment.relays[0].callers)
            .await?;
        let log = deployment.relays[0].process.log();
        let ran = |service: &cicada_standins::service::Service| {
            service.ran().iter().filter(|(ran, _)| *ran == id).count()
        };
        let (at_broken, at_sound) = (ran(broken), ran(sound));
        let got = std::str::from_utf8(&heard.body)?;
        let case = format!(
            "{framing:?} {cause:?} {method}: {} {got:?}\n{log}",
            heard.status
        );
        match (at_broken, is_complete(framing, cause), repeatable) {
            (0, _, _) => ensure!(heard.whole_success() && got == whole, "{case}"),
            (_, true, _) => {
                ensure!(
                    heard.whole_success() && got == half && at_sound == 0,
                    "{case}"
                );
            }
            (_, false, true) => {
                ensure!(
                    heard.whole_success() && got == whole && at_sound == 1,
                    "{case}"
                );
            }
            (_, false, false) => {
                ensure!(
                    heard.status == StatusCode::BAD_GATEWAY && at_sound == 0,
                    "{case}"
                );
            }
        }
        if at_broken > 0 {
            return Ok(());
        }
    }
    eyre::bail!("the server was never chosen")
}

async fn check_framing(framing: Framing) -> Result<()> {
    for cause in [Cause::Crash, Cause::Closed, Cause::Reset, Cause::Ended] {
        check(framing, cause, "GET", "/slots/1").await?;
        check(framing, cause, "POST", "/deposits/1").await?;
    }
    Ok(())
}

/// Guards against an answer that only its connection ends, whose server has died, and that is passed on with a length.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_by_a_crash_is_not_complete() -> Result<()> {
    check(Framing::Close, Cause::Crash, "GET", "/slots/1").await?;
    check(Framing::Close, Cause::Crash, "POST", "/deposits/1").await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_length_is_complete_where_its_server_says_so() -> Result<()> {
    check_framing(Framing::Length).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_chunks_is_complete_where_its_server_says_so() -> Result<()> {
    check_framing(Framing::Chunks).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_complete_where_its_server_lives_on()
-> Result<()> {
    check_framing(Framing::Close).await
}
