//! Answers whose status is no final one, at plain services behind a relay.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::caller::Heard;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::headers;
use eyre::Result;
use eyre::ensure;
use http::StatusCode;
use testutils::scripted_server::ID_MARK;
use testutils::scripted_server::Script;
use testutils::scripted_server::ScriptedServer;
use tokio::time::sleep;

/// Statuses that no final answer has. The first ones cannot be parsed, or announce another answer.
const ODD: [&str; 12] = [
    "000", "099", "00", "0200", "1000", "-200", "100", "101", "102", "103", "600", "999",
];

/// An idempotent, a non-idempotent, an anonymous and a streaming route.
const ROUTES: [(&str, &str); 4] = [
    ("GET", "/slots/"),
    ("POST", "/deposits/"),
    ("GET", "/slots/open/"),
    ("POST", STREAMS),
];

/// The streaming route, whose server is an engine.
const STREAMS: &str = "/drafts/";

/// Framing and body of a stream of one event, and of an engine's report.
const EVENT: (&str, &str) = (
    "Content-Type: text/event-stream\r\nContent-Length: 20\r\n",
    "id: 1\ndata: word 1\n\n",
);
const REPORT: (&str, &str) = (
    "Content-Type: application/json\r\nContent-Length: 48\r\n",
    r#"{"queued":0,"active":0,"kvUsed":0,"kvTotal":9e4}"#,
);

/// Headers and body by which an answer is delimited.
const FRAMINGS: [(&str, &str); 3] = [
    ("Content-Length: 5\r\n", "whole"),
    ("Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
    ("Connection: close\r\n", "whole"),
];

/// An answer with this status and framing, as the server of a request signs it.
fn answer(status: &str, (framing, body): (&str, &str)) -> String {
    let (id, seal) = (headers::ID, headers::SIGNATURE);
    let head = format!("{id}: {ID_MARK}\r\n{seal}: seal\r\n{framing}\r\n");
    format!("HTTP/1.1 {status} Odd\r\n{head}{body}")
}

fn upgrade(status: &str) -> String {
    let head = format!("{}: {ID_MARK}\r\n", headers::ID);
    format!("HTTP/1.1 {status} Odd\r\n{head}Upgrade: echo\r\nConnection: upgrade\r\n\r\n")
}

/// Servers whose answers a test chooses, and the relay before them.
struct Servers {
    deployment: Deployment,
    plain: ScriptedServer,
    engine: ScriptedServer,
}

impl Servers {
    async fn start() -> Result<Self> {
        let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
        let deployment = Deployment::start(daemon, 1, 1, 1).await?;
        let (service, server) = &deployment.services[0];
        server.down().await;
        let plain = ScriptedServer::start(service.address(), headers::ID).await?;
        let host = &deployment.engines[0];
        host.server.down().await;
        let engine = ScriptedServer::start(host.address(), headers::ID).await?;
        engine.set_script("/api/report", Script::new(answer("200", REPORT)));
        let health = format!("{}: {}\r\n{}", headers::OTHER, host.id, FRAMINGS[0].0);
        let health = answer("200", (&health, FRAMINGS[0].1));
        engine.set_script("/healthz", Script::new(health));
        Ok(Servers {
            deployment,
            plain,
            engine,
        })
    }

    fn server(&self, path: &str) -> &ScriptedServer {
        match path {
            STREAMS => &self.engine,
            _ => &self.plain,
        }
    }

    async fn send(&self, method: &str, path: &str, id: &str) -> Result<Heard> {
        let whole_path = format!("{path}{id}");
        let ask = match path {
            STREAMS => Ask::stream(id, KEY, 100, 5).with_path(&whole_path),
            _ => Ask::new(method, &whole_path, id, KEY),
        };
        let ask = ask
            .with_header("connection", "upgrade, keep-alive")
            .with_header("upgrade", "echo");
        ask.send(self.deployment.relays[0].callers).await
    }

    /// Sends a request on each kind of route. One that the server read must end with 502, another one as not run.
    async fn check(&self, script: &str) -> Result<()> {
        for (method, path) in ROUTES {
            let server = self.server(path);
            server.set_script(path, Script::new(script));
            // Requests of their own, since one whose answers are lost again and again becomes a suspect.
            let id = format!("odd-{}-", server.requests().len());
            let heard = self.send(method, path, &id).await?;
            let was_read = server.requests().iter().any(|head| head.contains(&id));
            let expected = match was_read {
                true => StatusCode::BAD_GATEWAY,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            ensure!(
                heard.whole && heard.status == expected,
                "{method} {path}: {} after {script:?}, read: {was_read}",
                heard.status
            );
            self.recover(method, path).await?;
        }
        Ok(())
    }

    /// Lets the only server of a route answer well until its backoff is over.
    async fn recover(&self, method: &str, path: &str) -> Result<()> {
        let server = self.server(path);
        server.set_script(path, Script::new(answer("200", EVENT)));
        for number in 0..100 {
            let id = format!("sound-{}-{number}", server.requests().len());
            if self.send(method, path, &id).await?.whole_success() {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        eyre::bail!("the server of {path} was not used again")
    }
}

/// Guards against an answer whose status is no final one and that reaches the caller as the answer to its request.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_no_final_answer_has_ends_as_no_answer() -> Result<()> {
    let servers = Servers::start().await?;
    for (method, path) in ROUTES {
        servers.recover(method, path).await?;
    }
    let mut failures = Vec::new();
    for status in ODD {
        let framed = FRAMINGS.map(|framing| answer(status, framing));
        for script in framed.into_iter().chain([upgrade(status)]) {
            if let Err(error) = servers.check(&script).await {
                failures.push(error.to_string());
            }
        }
    }
    ensure!(failures.is_empty(), "{}: {failures:#?}", failures.len());
    let sent = ODD.len() * (FRAMINGS.len() + 1);
    for (method, path) in ROUTES {
        let requests = servers.server(path).requests();
        let odd = format!("{method} {path}odd-");
        let read = requests
            .iter()
            .filter(|head| head.starts_with(&odd))
            .count();
        ensure!(read >= sent / 2, "{odd}: {read} of {sent} were read");
        let upgrade = |head: &&String| head.to_ascii_lowercase().contains("upgrade");
        ensure!(
            requests.iter().find(upgrade).is_none(),
            "an upgrade was forwarded"
        );
    }
    Ok(())
}
