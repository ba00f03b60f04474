//! Runs that leave their engine for one whose answer to the resumed run has an odd status or no end.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::headers;
use eyre::Result;
use eyre::ensure;
use testutils::scripted_server::ID_MARK;
use testutils::scripted_server::Script;
use testutils::scripted_server::ScriptedServer;
use tokio::time::sleep;
use tokio::time::timeout;

/// Events of a stream that runs for some seconds.
const EVENTS: u32 = 200;

/// Time until relay and scout have heard of an engine that is added.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// Longest time of a stream: its run, its move, and the time-outs of an engine that does not begin to answer.
const MAX_TIME: Duration = Duration::from_secs(20);

const PIECE: usize = 16 * 1024;

fn signed(status: &str) -> String {
    let (id, seal) = (headers::ID, headers::SIGNATURE);
    let content = "Content-Type: text/event-stream\r\n";
    format!("HTTP/1.1 {status} Odd\r\n{id}: {ID_MARK}\r\n{seal}: seal\r\n{content}")
}

fn scripts() -> Vec<(&'static str, Script)> {
    let odd = ["000", "101", "103", "600"].map(|status| {
        let head = signed(status);
        (
            status,
            Script::new(format!("{head}Content-Length: 5\r\n\r\nwhole")),
        )
    });
    let hint = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(PIECE / 28);
    let head = signed("200");
    let endless = [
        ("informational", Script::default().with_repeated(hint)),
        (
            "header",
            Script::new(format!("{head}X-Long: ")).with_repeated("x".repeat(PIECE)),
        ),
        (
            "event",
            Script::new(format!("{head}\r\n")).with_repeated("data: word\n".repeat(PIECE / 11)),
        ),
    ];
    odd.into_iter().chain(endless).collect()
}

/// Moves a run to an engine that answers so. Returns what was wrong with its stream.
async fn check(kind: &str, script: Script) -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 1, 1, 0).await?;
    let relay = deployment.relays[0].callers;
    let ask = Ask::stream("stream", KEY, 500, EVENTS);
    let stream = tokio::spawn(async move { timeout(MAX_TIME, ask.send(relay)).await });
    let source = deployment.engines[0].engine.clone();
    wait_until("the run has begun", || source.running() > 0).await?;
    deployment.add_engine()?;
    let target = &deployment.engines[1];
    target.server.down().await;
    let server = ScriptedServer::start(target.address(), headers::ID).await?;
    let report = r#"{"queued":0,"active":0,"kvUsed":0,"kvTotal":9e4}"#;
    let (other, length) = (headers::OTHER, report.len());
    let sound = format!(
        "HTTP/1.1 200 OK\r\n{other}: {}\r\nContent-Length: {length}\r\n\r\n{report}",
        target.id
    );
    server.set_script("/", Script::new(sound));
    server.set_script("/drafts/", script);
    sleep(NEWS_TIME).await;
    deployment.leave(0, Duration::from_secs(3));
    let heard = stream.await???;
    let events = heard.events("stream")?;
    let expected: Vec<u64> = (1..=events.len() as u64).collect();
    ensure!(events == expected, "{kind}: {events:?}");
    let is_complete = events.len() == EVENTS as usize;
    ensure!(
        !heard.whole || is_complete,
        "{kind}: {} events",
        events.len()
    );
    let requests = server.requests();
    let resumed = requests.iter().filter(|head| {
        let head = head.to_ascii_lowercase();
        head.contains(headers::RESUME)
    });
    ensure!(resumed.count() > 0, "{kind}: no run was resumed there");
    Ok(())
}

/// Guards against a resumed run whose answer is no final one, or has no end, and that ends its stream as complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_answer_to_a_resumed_run_is_not_its_end() -> Result<()> {
    let mut failures = Vec::new();
    for (kind, script) in scripts() {
        if let Err(error) = check(kind, script).await {
            failures.push(format!("{error:#}"));
        }
    }
    ensure!(failures.is_empty(), "{failures:#?}");
    Ok(())
}
