//! Callers that read a byte a second or send large bodies, with a relay run as a process.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::headers;
use cicada_standins::service::Mode;
use eyre::Result;
use http::StatusCode;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Memory of the relay's host, in MB.
const MEMORY_MB: usize = 96;

const MEGABYTE: usize = 1024 * 1024;

/// Callers that read slowly, and the answer that each asks for. Without a bound they would hold over a gigabyte.
const SLOW_CALLERS: usize = 200;
const LARGE_ANSWER: usize = 6 * MEGABYTE;

/// Callers that send a body, and its size.
const SENDING_CALLERS: usize = 60;
const LARGE_BODY: usize = 4 * MEGABYTE;

/// Bytes that each caller sends in a step, the time between two steps, and the bodies that the relay can hold whole.
const BODY_STEP: usize = 64 * 1024;
const STEP_TIME: Duration = Duration::from_millis(10);
const HELD_BODIES: usize = 4;

/// Time after which callers that stopped sending are known to have stopped, before their deadlines.
const STALL_TIME: Duration = Duration::from_millis(1_300);

/// How long the memory is watched.
const WATCH_TIME: Duration = Duration::from_secs(6);

async fn start() -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start_plain(daemon, &["a"], &[]).await?;
    deployment.memory_mb = MEMORY_MB;
    deployment.add_relay()?;
    deployment.wait_ready(0).await?;
    Ok(deployment)
}

/// The relay's resident memory in bytes.
fn memory(deployment: &Deployment) -> Result<usize> {
    let status = std::fs::read_to_string(format!(
        "/proc/{}/status",
        deployment.relays[0].process.pid()
    ))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    Ok(kilobytes.unwrap_or_default() * 1024)
}

/// The most memory of the relay while it is watched.
async fn peak_memory(deployment: &Deployment) -> Result<usize> {
    let until = Instant::now() + WATCH_TIME;
    let mut peak = 0;
    while Instant::now() < until {
        peak = peak.max(memory(deployment)?);
        sleep(Duration::from_millis(50)).await;
    }
    Ok(peak)
}

/// Opens a connection with a small window, sends a call and reads a byte a second of its answer.
async fn read_slowly(deployment: &Deployment, number: usize) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(4_096)?;
    let mut stream = socket.connect(deployment.relays[0].callers).await?;
    let (id, limit) = (headers::ID, headers::LIMIT);
    let request = format!(
        "GET /slots/{number} HTTP/1.1\r\nhost: rites.example\r\nauthorization: Bearer {KEY}\r\n\
         {id}: slow-{number}\r\n{limit}: 20000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Guards against a relay that exceeds its host's memory because hundreds of callers read a byte a second.
#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_do_not_exhaust_the_memory() -> Result<()> {
    let deployment = start().await?;
    deployment.services[0].0.set_mode(Mode::Large(LARGE_ANSWER));
    let mut readers = JoinSet::new();
    for number in 0..SLOW_CALLERS {
        let mut stream = read_slowly(&deployment, number).await?;
        readers.spawn(async move {
            let mut byte = [0];
            while let Ok(1) = stream.read(&mut byte).await {
                sleep(Duration::from_secs(1)).await;
            }
        });
    }
    let peak = peak_memory(&deployment).await?;
    readers.abort_all();
    assert!(peak < MEMORY_MB * MEGABYTE, "{peak} bytes");
    Ok(())
}

/// Guards against a host that serves nobody any more once slow readers have taken its memory.
#[tokio::test(flavor = "multi_thread")]
async fn others_are_served_again_once_slow_readers_are_gone() -> Result<()> {
    let deployment = start().await?;
    let (service, _) = &deployment.services[0];
    service.set_mode(Mode::Large(LARGE_ANSWER));
    let mut slow = Vec::new();
    for number in 0..SLOW_CALLERS {
        slow.push(read_slowly(&deployment, number).await?);
    }
    sleep(Duration::from_secs(2)).await;
    service.set_mode(Mode::Good);
    let relay = deployment.relays[0].callers;
    let refused = Ask::new("GET", "/slots/1", "refused", KEY)
        .send(relay)
        .await?;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers.contains_key("retry-after"));
    assert!(service.ran().iter().all(|(id, _)| id != "refused"));
    drop(slow);
    sleep(Duration::from_millis(500)).await;
    let served = Ask::new("GET", "/slots/1", "served", KEY)
        .send(relay)
        .await?;
    assert!(served.whole_success(), "{:?}", served.status);
    Ok(())
}

/// Sends a call's head, and returns its connection. The body follows as `framing` says.
async fn begin_body(deployment: &Deployment, id: &str, framing: &str) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(deployment.relays[0].callers).await?;
    let (id_header, limit) = (headers::ID, headers::LIMIT);
    let head = format!(
        "POST /deposits/1 HTTP/1.1\r\nhost: rites.example\r\nauthorization: Bearer {KEY}\r\n\
         {id_header}: {id}\r\n{limit}: 20000\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    Ok(stream)
}

/// The status of the answer on a connection.
async fn status_of(stream: &mut TcpStream) -> Result<u16> {
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    Ok(std::str::from_utf8(&head)?[9..].parse()?)
}

/// Has all callers send a step of their bodies before any of them sends the next one, and returns how many were served, and the relay's log.
async fn served_in_lockstep(chunked: bool) -> Result<(usize, String)> {
    let deployment = start().await?;
    deployment.reconfigure(|config| config["limits"]["maxBodyBytes"] = json!(LARGE_BODY));
    sleep(Duration::from_millis(500)).await;
    let framing = match chunked {
        true => "transfer-encoding: chunked".to_string(),
        false => format!("content-length: {LARGE_BODY}"),
    };
    let mut streams = Vec::new();
    for number in 0..SENDING_CALLERS {
        streams.push(begin_body(&deployment, &format!("step-{number}"), &framing).await?);
    }
    let data = vec![b'x'; BODY_STEP];
    let step = match chunked {
        true => [format!("{BODY_STEP:x}\r\n").as_bytes(), &data, b"\r\n"].concat(),
        false => data,
    };
    for _ in 0..LARGE_BODY / BODY_STEP {
        for stream in &mut streams {
            stream.write_all(&step).await?;
        }
        sleep(STEP_TIME).await;
    }
    let mut served = 0;
    for stream in &mut streams {
        if chunked {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        match status_of(stream).await? {
            200 => served += 1,
            status => assert_eq!(status, 503),
        }
    }
    Ok((served, deployment.relays[0].process.log()))
}

/// Guards against bodies of known length that grow side by side until none of them can be held.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_in_lockstep_are_not_all_refused() -> Result<()> {
    let (served, log) = served_in_lockstep(false).await?;
    assert!(served >= HELD_BODIES, "{served} served\n{log}");
    Ok(())
}

/// Guards against chunked bodies that grow side by side until none of them can be held.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_sent_in_lockstep_are_not_all_refused() -> Result<()> {
    let (served, log) = served_in_lockstep(true).await?;
    assert!(served >= HELD_BODIES, "{served} served\n{log}");
    Ok(())
}

/// Guards against callers that were refused and stop sending, and whose bodies keep the memory from others.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_arriving_leave_the_memory_to_others() -> Result<()> {
    let deployment = start().await?;
    deployment.reconfigure(|config| config["limits"]["maxBodyBytes"] = json!(LARGE_BODY));
    sleep(Duration::from_millis(500)).await;
    let mut stopped = Vec::new();
    for number in 0..SENDING_CALLERS {
        let framing = "transfer-encoding: chunked";
        let mut stream = begin_body(&deployment, &format!("stops-{number}"), framing).await?;
        let data = vec![b'x'; LARGE_BODY / 2];
        let chunk = [format!("{:x}\r\n", data.len()).as_bytes(), &data, b"\r\n"].concat();
        stopped.push(tokio::spawn(async move {
            let _ = stream.write_all(&chunk).await;
            stream
        }));
    }
    sleep(STALL_TIME).await;
    let body = vec![b'x'; LARGE_BODY];
    let ask = Ask::new("POST", "/deposits/1", "after", KEY).with_body(&body);
    let heard = ask.send(deployment.relays[0].callers).await?;
    assert!(heard.whole_success(), "{:?}", heard.status);
    stopped.into_iter().for_each(|caller| caller.abort());
    Ok(())
}

/// Guards against a relay that falls because many large bodies arrive at once, and against a refusal of a call that ran.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_are_refused_before_the_memory_is_exhausted() -> Result<()> {
    let deployment = start().await?;
    deployment.reconfigure(|config| config["limits"]["maxBodyBytes"] = json!(LARGE_BODY));
    let (service, _) = &deployment.services[0];
    service.set_mode(Mode::Slow(1_500));
    sleep(Duration::from_millis(500)).await;
    let relay = deployment.relays[0].callers;
    let mut callers = JoinSet::new();
    let body = vec![b'x'; LARGE_BODY];
    for number in 0..SENDING_CALLERS {
        let ask = Ask::new("POST", "/deposits/1", &format!("large-{number}"), KEY);
        let ask = ask.with_body(&body);
        callers.spawn(async move { (number, ask.send(relay).await) });
    }
    let peak = peak_memory(&deployment).await?;
    let ran = service.ran();
    let mut refused = 0;
    while let Some(outcome) = callers.join_next().await {
        let (number, heard) = outcome?;
        let heard = heard?;
        if heard.status == StatusCode::SERVICE_UNAVAILABLE {
            refused += 1;
            assert!(heard.headers.contains_key("retry-after"));
            assert!(ran.iter().all(|(id, _)| *id != format!("large-{number}")));
        }
    }
    assert!(refused > 0 && refused < SENDING_CALLERS, "{refused}");
    assert!(peak < MEMORY_MB * MEGABYTE, "{peak} bytes");
    Ok(())
}
