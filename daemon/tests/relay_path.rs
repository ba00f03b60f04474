//! The path of a request through a relay, from the caller to a backend server and back.

use std::path::Path;
use std::time::Duration;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use cicada_standins::deployment::WORKSPACE;
use cicada_standins::headers;
use cicada_standins::headers::ID;
use cicada_standins::service::Mode;
use eyre::Result;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_cicadad"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_comes_whole_and_in_order() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 2, 0).await?;
    let relay = deployment.relays[0].callers;
    let response = Ask::stream("draft-1", KEY, 500, 40).send(relay).await?;
    assert_eq!(response.status, StatusCode::OK);
    assert!(response.whole);
    assert_eq!(response.events("draft-1")?, (1..=40).collect::<Vec<u64>>());
    assert_eq!(response.headers[headers::SIGNATURE], "seal-draft-1");
    let arrivals = deployment
        .engines
        .iter()
        .flat_map(|host| host.engine.arrivals());
    let workspaces: Vec<String> = arrivals.map(|arrival| arrival.workspace).collect();
    assert_eq!(workspaces, [WORKSPACE]);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_reach_the_service_unchanged() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    let relay = deployment.relays[0].callers;
    let ask =
        Ask::new("POST", "/deposits/font%202?day=3", "deposit-1", KEY).with_body(b"twelve bytes");
    let response = ask.send(relay).await?;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(&response.body[..], b"POST /deposits/font%202?day=3 12");
    let response = Ask::new("GET", "/slots/7", "slot-1", KEY)
        .send(relay)
        .await?;
    assert_eq!(&response.body[..], b"GET /slots/7 0");
    let ran = deployment.services[0].0.ran();
    let expected = ["deposit-1", "slot-1"].map(|id| (id.to_string(), WORKSPACE.to_string()));
    assert_eq!(ran, expected);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn what_the_configuration_does_not_allow_is_refused_and_does_not_run() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    let relay = deployment.relays[0].callers;
    let large = vec![b'x'; 200_000];
    let cases = [
        (
            Ask::new("GET", "/nowhere/1", "a", KEY),
            StatusCode::NOT_FOUND,
        ),
        (
            Ask::new("GET", "/slots/1", "b", "no-such-key"),
            StatusCode::UNAUTHORIZED,
        ),
        (
            Ask::new("POST", "/deposits/1", "c", KEY).with_body(&large),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
        (
            Ask::new("GET", "/slots/1", "d", KEY).with_header("host", "other.example"),
            StatusCode::NOT_FOUND,
        ),
    ];
    for (ask, status) in cases {
        assert_eq!(ask.send(relay).await?.status, status, "{ask:?}");
    }
    assert_eq!(deployment.services[0].0.ran(), []);
    let open = Ask::new("GET", "/slots/open/1", "e", "no-such-key")
        .send(relay)
        .await?;
    assert_eq!(
        open.status,
        StatusCode::OK,
        "an anonymous route needs no key"
    );
    Ok(())
}

/// A caller sets headers that only the system may set, and names a header of the protocol in `connection` so that it
/// is dropped as hop-by-hop. Forwarding the former would give the caller another caller's memory; dropping the latter
/// would make the engine run something other than what was requested.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_speak_for_the_system() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 1, 0).await?;
    let ask = Ask::stream("draft-1", KEY, 500, 5)
        .with_header(headers::RESUME, "127.0.0.1:1/copy-of-another")
        .with_header(headers::WORKSPACE, "another")
        .with_header(headers::EXPECTED, "another")
        .with_header("connection", headers::COUNTS);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.events("draft-1")?.len(), 5);
    let arrivals = deployment.engines[0].engine.arrivals();
    assert!(!arrivals[0].resumed);
    assert_eq!(arrivals[0].workspace, WORKSPACE);
    Ok(())
}

/// Guards against request smuggling: a request has both `content-length` and chunked encoding. Parsed by its length,
/// the body includes the hidden request; parsed by its chunks, the hidden request follows as a separate one and would
/// run in the caller's name.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_hidden_in_another_does_not_run() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    let mut stream = TcpStream::connect(deployment.relays[0].callers).await?;
    let hidden = format!(
        "POST /deposits/hidden HTTP/1.1\r\nHost: rites.example\r\nAuthorization: Bearer {KEY}\r\n\
         {ID}: hidden\r\nContent-Length: 0\r\n\r\n"
    );
    let request = format!(
        "POST /deposits/1 HTTP/1.1\r\nHost: rites.example\r\nAuthorization: Bearer {KEY}\r\n\
         {ID}: outer\r\nContent-Length: {}\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        5 + hidden.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let ran = deployment.services[0].0.ran();
    assert!(ran.iter().all(|(id, _)| id != "hidden"), "{ran:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_kept_and_one_that_is_slow_to_ask_is_closed() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    let mut stream = TcpStream::connect(deployment.relays[0].callers).await?;
    for id in ["first", "second"] {
        let request = format!(
            "GET /slots/1 HTTP/1.1\r\nHost: rites.example\r\nAuthorization: Bearer {KEY}\r\n\
             {ID}: {id}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"GET /slots/1 0") {
            let mut part = [0; 4_096];
            let length = stream.read(&mut part).await?;
            assert!(
                length > 0,
                "closed after {}",
                String::from_utf8_lossy(&answer)
            );
            answer.extend(&part[..length]);
        }
    }
    stream
        .write_all(b"GET /slots/1 HTTP/1.1\r\nHost: ri")
        .await?;
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
    assert_eq!(deployment.services[0].0.ran().len(), 2);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_takes_too_long_is_answered_at_its_routes_limit() -> Result<()> {
    let deployment = Deployment::start(daemon(), 1, 0, 1).await?;
    deployment.services[0].0.set_mode(Mode::Slow(20_000));
    let ask = Ask::new("POST", "/deposits/1", "slow", KEY);
    let response = ask.send(deployment.relays[0].callers).await?;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    Ok(())
}
