//! A plain service behind an agent whose answers have odd statuses or no end.

use std::fs;
use std::time::Duration;

use eyre::OptionExt;
use eyre::Result;
use eyre::ensure;
use http::StatusCode;
use testutils::cluster::Process;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;
use testutils::scripted_server::Script;
use testutils::scripted_server::ScriptedServer;
use tokio::time::Instant;
use tokio::time::sleep;

const BOOK: &str = "/services/booking/book";

const PIECE: usize = 16 * 1024;

/// The time in which each call has its answer.
const MAX_TIME: Duration = Duration::from_secs(3);

/// The most memory of an agent or entry, in kilobytes: its own, and the largest answer in a few copies.
const MAX_MEMORY_KB: u64 = 128 * 1024;

fn peak_memory(process: &Process) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.pid()))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.split_whitespace().next());
    Ok(peak.ok_or_eyre("no peak in the status")?.parse()?)
}

fn scripts() -> Vec<(String, Script)> {
    let odd = ["000", "099", "101", "102", "103", "600", "999"].map(|status| {
        let head = format!("HTTP/1.1 {status} Odd\r\nx-ran: no\r\ncontent-length: 5\r\n\r\n");
        (status.to_string(), Script::new(head + "whole"))
    });
    let hints = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(PIECE / 28);
    let filler = "x".repeat(PIECE);
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunk = format!("{PIECE:x}\r\n{filler}\r\n");
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    let endless = [
        ("informational", Script::default().with_repeated(hints)),
        (
            "body",
            Script::new(format!("{ok}\r\n")).with_repeated(&filler),
        ),
        ("chunks", Script::new(chunked).with_repeated(chunk)),
        (
            "error body",
            Script::new("HTTP/1.1 500 Odd\r\n\r\n").with_repeated(&filler),
        ),
    ];
    let endless = endless.map(|(kind, script)| (kind.to_string(), script));
    odd.into_iter().chain(endless).collect()
}

/// Guards against an answer that is no final one and reaches the caller or counts as "not run", and against one without
/// end that takes an agent's memory or its caller's time.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_answer_of_a_service_ends_as_unknown() -> Result<()> {
    let deployment = Deployment::start(DeploymentSettings::new(0, 1, 1)).await?;
    let host = &deployment.services[0];
    let address = host.service.addr();
    host.service.down().await;
    let service = ScriptedServer::start(address, "x-id").await?;
    let sound = Script::new("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    service.set_script("/health", sound.clone());
    let caller = deployment.caller(0);
    let mut failures = Vec::new();
    for (kind, script) in scripts() {
        service.set_script("/book", script);
        let key = kind.replace(' ', "-");
        let begun = Instant::now();
        let answer = caller
            .send("POST", BOOK, &[("idempotency-key", &key)], "{}")
            .await?;
        let took = begun.elapsed();
        if answer.status() != StatusCode::BAD_GATEWAY || took > MAX_TIME {
            failures.push(format!("{kind}: {} in {took:?}", answer.status()));
        }
        service.set_script("/book", sound.clone());
        let key = format!("{key}-sound");
        let answer = caller
            .send("POST", BOOK, &[("idempotency-key", &key)], "{}")
            .await?;
        if answer.status() != StatusCode::OK {
            failures.push(format!("{kind}, then a sound one: {}", answer.status()));
            sleep(Duration::from_secs(1)).await;
        }
    }
    for process in [&host.agent.process, &deployment.entries[0].process] {
        let peak = peak_memory(process)?;
        ensure!(peak < MAX_MEMORY_KB, "{peak} KB");
    }
    ensure!(failures.is_empty(), "{failures:#?}");
    Ok(())
}
