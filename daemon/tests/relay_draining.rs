//! Planned stops of a relay: requests that arrive, or are still open, late in the grace period.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::wait_until;
use cicada_standins::headers;
use cicada_standins::service::Mode;
use eyre::Result;
use eyre::ensure;
use http::StatusCode;
use serde_json::json;
use testutils::cluster::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// The grace period of most tests.
const GRACE: Duration = Duration::from_secs(5);

/// Upper bound of a wait for a condition that normally holds within moments. It asserts no speed.
const PATIENCE: Duration = Duration::from_secs(20);

/// The longest time until a relay with nothing open has ended: the balancer takes 2 s to leave it out.
const SOON: Duration = Duration::from_secs(4);

/// The longest `Retry-After` of a caller that another relay could serve at once, in seconds.
const AT_ONCE: f64 = 0.1;

/// Time between two events of a slow engine, and events of a stream there, which takes 3 s.
const SLOW_PACE: Duration = Duration::from_millis(150);
const SLOW_EVENTS: u32 = 20;

/// Starts that are followed by a stop.
const STARTS: usize = 10;

/// Places of routes in the configuration: calls that must not be repeated, and calls that may be.
const DEPOSITS: usize = 2;
const SLOTS: usize = 3;

/// Starts a relay with this many engines and services, whose calls have `call_limit` and whose grace period is [`GRACE`].
async fn start(engines: usize, services: usize, call_limit: Duration) -> Result<Deployment> {
    start_with_grace(GRACE, engines, services, call_limit).await
}

async fn start_with_grace(
    grace: Duration,
    engines: usize,
    services: usize,
    call_limit: Duration,
) -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let mut deployment = Deployment::start(daemon, 1, engines, services).await?;
    deployment.reconfigure(|config| {
        for route in [DEPOSITS, SLOTS] {
            config["routes"][route]["timeoutMs"] = json!(call_limit.as_millis() as u64);
        }
    });
    deployment.set(0, "grace = 8", &format!("grace = {}", grace.as_secs()))?;
    let log = |text: &str| deployment.relays[0].process.log().contains(text);
    wait_until("the changes are applied", || {
        log("were read again") && log("version=2")
    })
    .await?;
    Ok(deployment)
}

/// An answer as it came over a connection that carries nothing else.
struct Answer {
    text: String,
}

impl Answer {
    fn status(&self) -> Option<u16> {
        self.text.split(' ').nth(1)?.parse().ok()
    }

    fn header(&self, name: &str) -> Option<&str> {
        let lines = self.text.lines().take_while(|line| !line.is_empty());
        let mut fields = lines.filter_map(|line| line.split_once(": "));
        let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value)
    }

    /// Whether it says that the request did not run, and that the caller may try another relay at once.
    fn sends_elsewhere(&self) -> bool {
        let pause = self
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        self.status() == Some(503)
            && self.header("connection") == Some("close")
            && pause.is_some_and(|pause: f64| pause <= AT_ONCE)
    }
}

/// Reads until the connection ends. What came before a reset counts.
async fn read_to_end(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(Ok(count @ 1..)) = timeout(PATIENCE, stream.read(&mut buffer)).await {
        bytes.extend(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Answer { text }
}

fn head(method: &str, path: &str, id: &str, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: rites.example\r\n{}: {id}\r\nauthorization: Bearer {KEY}\r\n{}: 20000\r\n{extra}\r\n",
        headers::ID,
        headers::LIMIT
    )
}

/// Sends a head in two parts with a pause between them, and reads the answer.
async fn send_slowly(relay: SocketAddr, head: &str, pause: Duration) -> Result<Answer> {
    let (first, rest) = head.as_bytes().split_at(head.len() / 2);
    let mut stream = TcpStream::connect(relay).await?;
    stream.write_all(first).await?;
    sleep(pause).await;
    stream.write_all(rest).await?;
    Ok(read_to_end(&mut stream).await)
}

fn has_run(deployment: &Deployment, id: &str) -> bool {
    let ran = deployment.services[0].0.ran();
    ran.iter().any(|(ran, _)| ran == id)
}

async fn assert_ended_well(deployment: &mut Deployment) -> Result<()> {
    let status = deployment.relays[0].process.wait_end(PATIENCE).await?;
    let log = deployment.relays[0].process.log();
    assert!(status.success(), "{status}: {log}");
    Ok(())
}

/// Guards against requests that are cut because their heads were still arriving when the relay had no open request.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_heads_arrive_slowly_are_answered_whole() -> Result<()> {
    let mut deployment = start_with_grace(2 * GRACE, 1, 1, Duration::from_secs(2)).await?;
    deployment.services[0].0.set_mode(Mode::Slow(300));
    let relay = deployment.relays[0].callers;
    // Without it, late streams are refused: nothing is known of their engine.
    let before = Ask::stream("before", KEY, 200, 10);
    assert!(before.send(relay).await?.whole);
    deployment.relays[0].process.signal(Signal::Term)?;
    let begun = Instant::now();
    let counts = format!("{}: m\r\n{}: 200,40\r\n", headers::MODEL, headers::COUNTS);
    let mut callers = Vec::new();
    for number in 0..30_u32 {
        let id = format!("late-{number}");
        let head = match number % 3 {
            0 => head("POST", "/deposits/1", &id, "content-length: 0\r\n"),
            1 => head("GET", "/slots/1", &id, ""),
            _ => head(
                "POST",
                "/drafts/1",
                &id,
                &format!("{counts}content-length: 0\r\n"),
            ),
        };
        // No request is open before the first head is complete, 2.95 s after the signal.
        let pause = Duration::from_millis(1_050);
        sleep_until(begun + Duration::from_millis(1_900 + 10 * u64::from(number))).await;
        callers.push((
            id,
            tokio::spawn(async move { send_slowly(relay, &head, pause).await }),
        ));
    }
    for (id, caller) in callers {
        let answer = caller.await??;
        let log = deployment.relays[0].process.log();
        assert_eq!(answer.status(), Some(200), "{id} {}: {log}", answer.text);
        let chunked = answer.header("transfer-encoding").is_some();
        assert!(
            !chunked || answer.text.ends_with("0\r\n\r\n"),
            "{id}: {log}"
        );
    }
    assert_ended_well(&mut deployment).await
}

/// A call that neither was answered whole nor sent elsewhere: whether it ran, and its answer.
type LostCall = (String, bool, Option<String>);

/// Sends calls from now to the end of the grace period. Returns how many were served, and those that were lost.
async fn send_calls(deployment: &Deployment) -> Result<(usize, Vec<LostCall>)> {
    let relay = deployment.relays[0].callers;
    let begun = Instant::now();
    let mut callers = Vec::new();
    for number in 0_u32.. {
        sleep_until(begun + Duration::from_millis(50) * number).await;
        if begun.elapsed() > GRACE {
            break;
        }
        let id = format!("call-{number}");
        let head = match number % 2 {
            0 => head("POST", "/deposits/1", &id, "content-length: 0\r\n"),
            _ => head("GET", "/slots/1", &id, ""),
        };
        callers.push(tokio::spawn(async move {
            let answer = send_slowly(relay, &head, Duration::from_millis(50)).await;
            (id, answer)
        }));
    }
    let (mut served, mut lost) = (0, Vec::new());
    for caller in callers {
        let (id, answer) = caller.await?;
        let answer = answer.ok().filter(|answer| !answer.text.is_empty());
        match (answer, has_run(deployment, &id)) {
            (Some(answer), true) if answer.status() == Some(200) => served += 1,
            (Some(answer), false) if answer.sends_elsewhere() => {}
            (None, false) => {}
            (answer, ran) => lost.push((id, ran, answer.map(|answer| answer.text))),
        }
    }
    Ok((served, lost))
}

/// Guards against slow calls that are taken and sent shortly before the end of the grace period, and cut by it.
#[tokio::test(flavor = "multi_thread")]
async fn slow_calls_are_answered_whole_or_sent_elsewhere_until_the_end() -> Result<()> {
    let mut deployment = start(0, 1, Duration::from_secs(20)).await?;
    deployment.services[0].0.set_mode(Mode::Slow(1_200));
    let relay = deployment.relays[0].callers;
    let ask = Ask::new("GET", "/slots/1", "before", KEY);
    assert_eq!(ask.send(relay).await?.status, StatusCode::OK);
    deployment.relays[0].process.signal(Signal::Term)?;
    let (served, lost) = send_calls(&deployment).await?;
    let log = deployment.relays[0].process.log();
    assert!(lost.is_empty(), "{lost:?}: {log}");
    // Most calls of the first second are certain to end in time.
    assert!(served >= 10, "{served}: {log}");
    assert_ended_well(&mut deployment).await
}

/// Guards against calls that are taken by the former speed of a service whose slow calls have not ended yet.
#[tokio::test(flavor = "multi_thread")]
async fn open_calls_tell_how_slow_a_service_is() -> Result<()> {
    let mut deployment = start(0, 1, Duration::from_secs(20)).await?;
    let relay = deployment.relays[0].callers;
    let ask = Ask::new("GET", "/slots/1", "before", KEY);
    assert_eq!(ask.send(relay).await?.status, StatusCode::OK);
    deployment.services[0].0.set_mode(Mode::Slow(3_000));
    let open = Ask::new("GET", "/slots/1", "open", KEY);
    let open = tokio::spawn(async move { open.send(relay).await });
    sleep(Duration::from_millis(1_500)).await;
    deployment.relays[0].process.signal(Signal::Term)?;
    let (_, lost) = send_calls(&deployment).await?;
    let log = deployment.relays[0].process.log();
    assert!(lost.is_empty(), "{lost:?}: {log}");
    assert_eq!(open.await??.status, StatusCode::OK);
    assert_ended_well(&mut deployment).await
}

/// Guards against calls at a server that are cut without an answer because they outlast the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_outlast_the_grace_period_get_a_final_answer() -> Result<()> {
    let mut deployment = start(0, 1, Duration::from_secs(20)).await?;
    deployment.services[0].0.set_mode(Mode::Slow(15_000));
    let relay = deployment.relays[0].callers;
    let heads = [
        head("POST", "/deposits/1", "deposit", "content-length: 0\r\n"),
        head("GET", "/slots/1", "slot", ""),
    ];
    let callers = heads
        .map(|head| tokio::spawn(async move { send_slowly(relay, &head, Duration::ZERO).await }));
    wait_until("both calls run", || {
        deployment.services[0].0.arrivals().len() == 2
    })
    .await?;
    deployment.relays[0].process.signal(Signal::Term)?;
    let begun = Instant::now();
    for caller in callers {
        let answer = caller.await??;
        let log = deployment.relays[0].process.log();
        assert_eq!(answer.status(), Some(502), "{}: {log}", answer.text);
    }
    assert_ended_well(&mut deployment).await?;
    assert!(begun.elapsed() < GRACE, "{:?}", begun.elapsed());
    Ok(())
}

/// Guards against streams that are cut by the end of the grace period because their engine is slower than expected.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_slow_engine_are_whole_or_sent_elsewhere() -> Result<()> {
    let mut deployment = start(1, 0, Duration::from_secs(2)).await?;
    let relay = deployment.relays[0].callers;
    deployment.engines[0].engine.set_pace(SLOW_PACE);
    let before = Ask::stream("before", KEY, 200, SLOW_EVENTS);
    assert!(before.send(relay).await?.whole);
    deployment.relays[0].process.signal(Signal::Term)?;
    let begun = Instant::now();
    let mut streams = Vec::new();
    for number in 0..12_u32 {
        sleep_until(begun + Duration::from_millis(250) * number).await;
        let ask = Ask::stream(&format!("late-{number}"), KEY, 200, SLOW_EVENTS);
        streams.push(tokio::spawn(async move { ask.send(relay).await }));
    }
    let mut whole = 0;
    for stream in streams {
        // A connection that is refused is the caller's sign to go elsewhere.
        let Ok(answer) = stream.await? else { continue };
        let log = deployment.relays[0].process.log();
        assert!(answer.whole, "{answer:?}: {log}");
        whole += u32::from(answer.status == StatusCode::OK);
    }
    assert!(whole >= 1, "{}", deployment.relays[0].process.log());
    assert_ended_well(&mut deployment).await
}

/// Guards against requests that are cut without an answer because their bodies arrive until the grace period ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_still_arriving_is_sent_elsewhere() -> Result<()> {
    let mut deployment = start(0, 1, Duration::from_secs(20)).await?;
    let mut stream = TcpStream::connect(deployment.relays[0].callers).await?;
    let head = head("POST", "/deposits/1", "slow", "content-length: 100000\r\n");
    stream.write_all(head.as_bytes()).await?;
    deployment.relays[0].process.signal(Signal::Term)?;
    let (mut reader, mut writer) = stream.into_split();
    let sending = tokio::spawn(async move {
        while writer.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    let mut bytes = Vec::new();
    let read = timeout(PATIENCE, reader.read_to_end(&mut bytes)).await?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let answer = Answer { text };
    let log = deployment.relays[0].process.log();
    assert!(answer.sends_elsewhere(), "{read:?} {}: {log}", answer.text);
    sending.abort();
    assert!(!has_run(&deployment, "slow"));
    assert_ended_well(&mut deployment).await
}

/// Guards against a kept connection whose next request has partly arrived when idle connections are closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_kept_connection_in_the_middle_of_a_head_is_served() -> Result<()> {
    let mut deployment = start(0, 1, Duration::from_secs(2)).await?;
    let mut stream = TcpStream::connect(deployment.relays[0].callers).await?;
    stream
        .write_all(head("GET", "/slots/1", "first", "").as_bytes())
        .await?;
    let mut buffer = [0; 4_096];
    assert!(stream.read(&mut buffer).await? > 0);
    sleep(Duration::from_millis(300)).await;
    deployment.relays[0].process.signal(Signal::Term)?;
    sleep(Duration::from_millis(800)).await;
    let head = head("POST", "/deposits/1", "second", "content-length: 0\r\n");
    let (first, rest) = head.as_bytes().split_at(head.len() / 2);
    stream.write_all(first).await?;
    sleep(Duration::from_millis(800)).await;
    stream.write_all(rest).await?;
    let answer = read_to_end(&mut stream).await;
    let log = deployment.relays[0].process.log();
    assert_eq!(answer.status(), Some(200), "{}: {log}", answer.text);
    assert_eq!(answer.header("connection"), Some("close"));
    assert_ended_well(&mut deployment).await
}

/// Guards against a relay that waits for connections on which nothing arrives, or that a second signal ends at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_with_nothing_open_ends_soon() -> Result<()> {
    let mut deployment = start(0, 1, Duration::from_secs(2)).await?;
    deployment.services[0].0.set_mode(Mode::Slow(1_500));
    let relay = deployment.relays[0].callers;
    let silent = TcpStream::connect(relay).await?;
    let head = head("GET", "/slots/1", "open", "");
    let open = tokio::spawn(async move { send_slowly(relay, &head, Duration::ZERO).await });
    wait_until("the call runs", || {
        !deployment.services[0].0.arrivals().is_empty()
    })
    .await?;
    let begun = Instant::now();
    deployment.relays[0].process.signal(Signal::Term)?;
    sleep(Duration::from_millis(100)).await;
    deployment.relays[0].process.signal(Signal::Term)?;
    assert_eq!(open.await??.status(), Some(200));
    assert_ended_well(&mut deployment).await?;
    assert!(begun.elapsed() < SOON, "{:?}", begun.elapsed());
    drop(silent);
    Ok(())
}

/// Waits until the process has started another thread.
fn wait_for_threads(pid: u32) -> Result<()> {
    let begun = std::time::Instant::now();
    while std::fs::read_dir(format!("/proc/{pid}/task"))?.count() < 2 {
        ensure!(begun.elapsed() < PATIENCE, "the process starts no thread");
    }
    Ok(())
}

/// Guards against a relay that a stop right after its start ends with an error, or that then waits for callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_is_stopped_right_after_its_start_ends_well() -> Result<()> {
    let mut deployment = start(0, 0, Duration::from_secs(2)).await?;
    deployment.relays[0].process.signal(Signal::Term)?;
    assert_ended_well(&mut deployment).await?;
    for _ in 0..STARTS {
        deployment.restart_relay(0)?;
        wait_for_threads(deployment.relays[0].process.pid())?;
        deployment.relays[0].process.signal(Signal::Term)?;
        assert_ended_well(&mut deployment).await?;
    }
    Ok(())
}
