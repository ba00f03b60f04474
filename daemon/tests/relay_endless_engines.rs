//! Engines and a store whose bytes never end: relays and scouts keep their memory, and serve other requests.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::headers;
use eyre::OptionExt;
use eyre::Result;
use eyre::ensure;
use testutils::cluster::Process;
use testutils::scripted_server::ID_MARK;
use testutils::scripted_server::Script;
use testutils::scripted_server::ScriptedServer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long each kind is played.
const PLAYED: Duration = Duration::from_secs(3);

/// The most memory of a process, in kilobytes: its own, one answer of the store or several of engines at a time.
const MAX_MEMORY_KB: u64 = 128 * 1024;

/// The time limit of streams in the test, and the time beyond it in which each has ended.
const TIMEOUT: Duration = Duration::from_secs(2);
const SLACK: Duration = Duration::from_millis(500);

const PIECE: usize = 16 * 1024;

/// The largest resident memory of a process so far, in kilobytes.
fn peak_memory(process: &Process) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.pid()))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.split_whitespace().next());
    Ok(peak.ok_or_eyre("no peak in the status")?.parse()?)
}

/// A signed head, and what is repeated behind it.
fn endless(status: &str, content: &str, repeated: &str) -> Script {
    let (id, seal) = (headers::ID, headers::SIGNATURE);
    let head = format!("HTTP/1.1 {status}\r\n{id}: {ID_MARK}\r\n{seal}: seal\r\n{content}\r\n");
    Script::new(head).with_repeated(repeated.repeat(PIECE / repeated.len()))
}

/// Bodies, error bodies and informational answers without end.
fn kinds() -> [(&'static str, Script); 4] {
    let hint = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let hints = Script::default().with_repeated(hint.repeat(PIECE / hint.len()));
    let chunked = "Transfer-Encoding: chunked\r\n";
    [
        ("body", endless("200 OK", "", "x")),
        ("chunks", endless("200 OK", chunked, "1\r\nx\r\n")),
        ("error body", endless("500 Odd", "", "x")),
        ("informational", hints),
    ]
}

/// Sends plain requests at an interval. All of them must succeed, and none of the processes may grow.
async fn serve_meanwhile(kind: &str, relay: SocketAddr, processes: &[&Process]) -> Result<()> {
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < PLAYED {
        let (method, path) = [("GET", "/slots/7"), ("POST", "/deposits/7")][number % 2];
        let sent = Instant::now();
        let ask = Ask::new(method, path, &format!("{kind}-{number}"), KEY);
        let heard = ask.send(relay).await?;
        let took = sent.elapsed();
        ensure!(heard.whole_success(), "{kind}: {}", heard.status);
        ensure!(took < TIMEOUT, "{kind}: {took:?}");
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
    for process in processes {
        let peak = peak_memory(process)?;
        ensure!(
            peak < MAX_MEMORY_KB,
            "{kind}: {peak} KB after {number} requests"
        );
    }
    Ok(())
}

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

/// Guards against an engine that fills the memory of its scout, or of a relay, by whatever it is asked.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_whose_answers_have_no_end_takes_no_memory() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 1).await?;
    let host = &deployment.engines[0];
    host.server.down().await;
    let engine = ScriptedServer::start(host.address(), headers::ID).await?;
    let relay = &deployment.relays[0];
    let mut failures = Vec::new();
    for (kind, script) in kinds() {
        engine.set_script("/", script);
        let id = format!("stream-{kind}").replace(' ', "-");
        let stream = Ask::stream(&id, KEY, 100, 5);
        let callers = relay.callers;
        let stream = tokio::spawn(async move { timeout(PLAYED, stream.send(callers)).await });
        let processes = [&relay.process, &host.scout];
        if let Err(error) = serve_meanwhile(kind, relay.callers, &processes).await {
            failures.push(error.to_string());
        }
        if let Ok(Ok(heard)) = stream.await?
            && heard.whole_success()
        {
            failures.push(format!("{kind}: the stream ended as complete"));
        }
    }
    ensure!(engine.requests().len() > 20, "the engine was hardly asked");
    ensure!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against a store that fills the memory of a relay, or stops what it serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_whose_answers_have_no_end_takes_no_memory() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    let relay = &deployment.relays[0];
    relay.door.down().await;
    let mut failures = Vec::new();
    let address = deployment.store_address(0);
    let store = ScriptedServer::start(address, headers::ID).await?;
    for (kind, script) in kinds() {
        store.set_script("/", script);
        let before = store.requests().len();
        if let Err(error) = serve_meanwhile(kind, relay.callers, &[&relay.process]).await {
            failures.push(error.to_string());
        }
        if store.requests().len() < before + 2 {
            failures.push(format!("{kind}: the store was hardly asked"));
        }
    }
    ensure!(failures.is_empty(), "{failures:#?}");
    Ok(())
}

/// Guards against a process whose message between relays claims any length, or has no end, and takes the relay's memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_without_end_between_relays_takes_no_memory() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    let relay = &deployment.relays[0];
    for length in [u32::MAX, 1_025, 1_024, 0] {
        let mut stream = TcpStream::connect(deployment.peer_address(0)).await?;
        stream.write_all(&length.to_be_bytes()).await?;
        let begun = Instant::now();
        let piece = [0xff; PIECE];
        let mut sent = 0;
        while begun.elapsed() < PLAYED && stream.write_all(&piece).await.is_ok() {
            sent += piece.len();
        }
        let took = begun.elapsed();
        ensure!(
            took < PLAYED,
            "{length}: {sent} bytes, still open after {took:?}"
        );
    }
    serve_meanwhile("peer", relay.callers, &[&relay.process]).await
}

/// Reads what comes, keeps none of it, and returns after how long the connection ended.
async fn read_to_end(relay: SocketAddr, id: &str) -> Result<(Duration, usize)> {
    let mut stream = TcpStream::connect(relay).await?;
    let begun = Instant::now();
    let (attempt, counts, model) = (headers::ID, headers::COUNTS, headers::MODEL);
    let request = format!(
        "POST /drafts/{id} HTTP/1.1\r\nHost: rites.example\r\n{attempt}: {id}\r\n{counts}: 100,20\r\n\
         {model}: m\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let (mut buffer, mut read) = (vec![0; 64 * 1024], 0);
    loop {
        // A reset ends an answer as well.
        match timeout(TIMEOUT + PLAYED, stream.read(&mut buffer)).await? {
            Ok(0) | Err(_) => return Ok((begun.elapsed(), read)),
            Ok(bytes) => read += bytes,
        }
        if begun.elapsed() > TIMEOUT + PLAYED {
            return Ok((begun.elapsed(), read));
        }
    }
}

/// Guards against an engine that sends events without end and holds a stream beyond its time, or fills the relay's
/// memory by an event without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_end_ends_at_its_time_limit() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 1).await?;
    deployment.reconfigure(|config| {
        config["routes"][0]["timeoutMs"] = (TIMEOUT.as_millis() as u64).into();
    });
    let host = &deployment.engines[0];
    let relay = &deployment.relays[0];
    host.server.down().await;
    let engine = ScriptedServer::start(host.address(), headers::ID).await?;
    let report = r#"{"queued":0,"active":0,"kvUsed":0,"kvTotal":9e4}"#;
    let other = format!("{}: {}", headers::OTHER, host.id);
    let length = report.len();
    let sound = format!("HTTP/1.1 200 OK\r\n{other}\r\nContent-Length: {length}\r\n\r\n{report}");
    engine.set_script("/api/report", Script::new(&sound));
    engine.set_script("/healthz", Script::new(&sound));
    let events = "Content-Type: text/event-stream\r\n";
    let kinds = [
        ("events", endless("200 OK", events, "id: 1\ndata: word\n\n")),
        ("event", endless("200 OK", events, "data: word\n")),
        ("line", endless("200 OK", events, "x")),
        ("comments", endless("200 OK", events, ": alive\n")),
    ];
    let mut failures = Vec::new();
    for (kind, script) in kinds {
        engine.set_script("/drafts/", script);
        sleep(Duration::from_millis(500)).await;
        let before = engine.requests().len();
        let (took, read) = read_to_end(relay.callers, kind).await?;
        let requests = engine.requests();
        let asked = requests[before..].iter();
        if asked.filter(|head| head.contains("/drafts/")).count() == 0 {
            failures.push(format!("{kind}: the engine was not asked"));
        }
        if took > TIMEOUT + SLACK {
            failures.push(format!("{kind}: took {took:?}, {read} bytes"));
        }
        let peak = peak_memory(&relay.process)?;
        if peak > MAX_MEMORY_KB {
            failures.push(format!("{kind}: {peak} KB"));
        }
    }
    ensure!(failures.is_empty(), "{failures:#?}");
    Ok(())
}
