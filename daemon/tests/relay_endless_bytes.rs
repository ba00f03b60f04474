//! Servers whose bytes never end: each request ends truthfully, and the relay's memory stays bounded.

use std::fs;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::service::Mode;
use eyre::OptionExt;
use eyre::Result;
use eyre::ensure;
use http::StatusCode;
use testutils::endless::Endless;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Requests at the same time.
const REQUESTS: usize = 8;

/// The time limit of the route, and the time beyond it in which each request has its answer.
const TIMEOUT: Duration = Duration::from_secs(2);
const SLACK: Duration = Duration::from_millis(500);

/// The most memory of a relay, in kilobytes: its own, and the largest answer for each request.
const MAX_MEMORY_KB: u64 = 64 * 1024 + REQUESTS as u64 * 8 * 1024;

/// The largest resident memory of a process so far, in kilobytes.
fn peak_memory(pid: u32) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.split_whitespace().next());
    Ok(peak.ok_or_eyre("no peak in the status")?.parse()?)
}

async fn check_endless(endless: Endless) -> Result<()> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 1, 0, 2).await?;
    for (service, _) in &deployment.services {
        service.set_mode(Mode::Endless(endless));
    }
    let relay = &deployment.relays[0];
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let (method, route) = [("GET", "slots"), ("POST", "deposits")][number % 2];
        // Copies of one request would be held back once two answers to it were lost.
        let path = format!("/{route}/{number}");
        let ask = Ask::new(method, &path, &format!("r-{number}"), KEY);
        let callers = relay.callers;
        requests.spawn(async move {
            let begun = Instant::now();
            (ask.send(callers).await, begun.elapsed())
        });
    }
    // What comes after the last byte of an answer is no part of it.
    let is_whole = endless == Endless::BeyondLength;
    for (heard, took) in requests.join_all().await {
        let heard = heard?;
        ensure!(took < TIMEOUT + SLACK, "{endless:?} took {took:?}");
        match is_whole {
            true => ensure!(
                heard.whole_success() && heard.body == "whole",
                "{endless:?}"
            ),
            false => {
                let may_have_run = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
                ensure!(
                    may_have_run.contains(&heard.status),
                    "{endless:?} {}\n{}",
                    heard.status,
                    relay.process.log()
                );
            }
        }
    }
    let peak = peak_memory(relay.process.pid())?;
    ensure!(peak < MAX_MEMORY_KB, "{endless:?}: {peak} KB");
    for (service, _) in &deployment.services {
        service.set_mode(Mode::Good);
    }
    let once = Ask::new("POST", "/deposits/8", "after", KEY);
    ensure!(
        once.send(relay.callers).await?.whole_success(),
        "{endless:?}"
    );
    Ok(())
}

/// Guards against a server that sends a status line, headers, 100 continue and other 1xx answers, chunk extensions, trailers or
/// a body without end, and so takes its callers' time or the relay's memory.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_ends_truthfully_and_in_bounded_memory() -> Result<()> {
    let mut failures = Vec::new();
    for endless in Endless::ALL {
        if let Err(error) = check_endless(endless).await {
            failures.push(error.to_string());
        }
    }
    ensure!(failures.is_empty(), "{failures:#?}");
    Ok(())
}
