//! Entries of another writer beside those of the servers, read by relays.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use cicada_standins::caller::Ask;
use cicada_standins::deployment::Deployment;
use cicada_standins::deployment::KEY;
use eyre::Result;
use http::StatusCode;
use tokio::time::sleep;

/// Time in which relays read what was written.
const READ_TIME: Duration = Duration::from_millis(300);

/// Time in which a new server must have been used.
const USE_TIME: Duration = Duration::from_secs(8);

/// An entry without faults, whose server does not exist.
const SOUND: &str = r#"{"service":"booking","address":"127.0.0.1:9","zone":"a","version":"v1","slots":24,"state":"draining","coldRemainingMs":0,"seq":1,"born":1700000000000}"#;

const FIELDS: [&str; 9] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "seq",
    "born",
];

/// The sound entry with another value in one field.
fn with_field(field: &str, value: &str) -> String {
    let start = SOUND.find(&format!("\"{field}\":")).expect("a field") + field.len() + 3;
    let length = SOUND[start..].find([',', '}']).expect("an end");
    format!("{}{value}{}", &SOUND[..start], &SOUND[start + length..])
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Odd entries of each kind.
fn odd_entries() -> Vec<Vec<u8>> {
    let values = [
        "1e300".to_string(),
        "-1e300".to_string(),
        "1e999".to_string(),
        "18446744073709551616".to_string(),
        "4294967296".to_string(),
        "-1".to_string(),
        "\"127.0.0.1:65536\"".to_string(),
        "\"not an address\"".to_string(),
        "{}".to_string(),
        "null".to_string(),
        "\"\\ud800\"".to_string(),
        nested(100_000),
    ];
    let mut entries: Vec<Vec<u8>> = Vec::new();
    for field in FIELDS {
        entries.extend(values.iter().map(|v| with_field(field, v).into_bytes()));
        entries.push(format!("{{\"{field}\":1}}").into_bytes());
    }
    let mut garbled = SOUND.as_bytes().to_vec();
    garbled[13] = 0xff;
    entries.push(garbled);
    entries.extend([nested(100_000).into_bytes(), b"7".to_vec()]);
    entries
}

/// Sends reads to both relays in turn until one ends at the newest server, or the time is over; returns how many of
/// them were answered, and how many were sent.
async fn send_until_used(deployment: &Deployment) -> Result<(usize, usize)> {
    let newest = &deployment.services.last().expect("a service").0;
    let started = Instant::now();
    let (mut sound, mut sent) = (0, 0);
    while newest.arrivals().is_empty() && started.elapsed() < USE_TIME {
        let relay = &deployment.relays[sent % deployment.relays.len()];
        let ask = Ask::new(
            "GET",
            &format!("/slots/{sent}"),
            &format!("read-{sent}"),
            KEY,
        );
        sound += usize::from(ask.send(relay.callers).await?.status == StatusCode::OK);
        sent += 1;
        sleep(Duration::from_millis(10)).await;
    }
    Ok((sound, sent))
}

/// Checks that no process has ended, that both relays are ready, and that a server which is added now is used. The others
/// leave, so that its turn comes soon.
async fn assert_followed(deployment: &mut Deployment) -> Result<()> {
    deployment.add_service()?;
    for leaving in 0..deployment.services.len() - 1 {
        deployment.service_leaves(leaving);
    }
    let (sound, sent) = send_until_used(deployment).await?;
    let newest = &deployment.services.last().expect("a service").0;
    assert!(
        !newest.arrivals().is_empty(),
        "a new server is not used: {sent} requests, log:\n{}",
        tail(deployment)
    );
    assert_eq!(sound, sent, "requests failed; log:\n{}", tail(deployment));
    for relay in 0..deployment.relays.len() {
        assert!(deployment.relays[relay].process.status()?.is_none());
        deployment.wait_ready(relay).await?;
    }
    Ok(())
}

fn tail(deployment: &Deployment) -> String {
    let log = deployment.relays[0].process.log();
    let lines: Vec<&str> = log.lines().collect();
    let last = &lines[lines.len().saturating_sub(40)..];
    let last = last.iter().map(|l| l.chars().take(300).collect::<String>());
    last.collect::<Vec<String>>().join("\n")
}

async fn start() -> Result<Deployment> {
    let daemon = Path::new(env!("CARGO_BIN_EXE_cicadad"));
    let deployment = Deployment::start(daemon, 2, 0, 2).await?;
    sleep(Duration::from_secs(1)).await;
    Ok(deployment)
}

/// Guards against a relay that follows nothing any more since a watch told it of an odd entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_server_is_used_after_a_watch_on_odd_entries() -> Result<()> {
    let mut deployment = start().await?;
    for (number, entry) in odd_entries().into_iter().enumerate() {
        let store = &deployment.store;
        store.put_raw("servers", &format!("odd-{number}"), entry);
        sleep(Duration::from_millis(5)).await;
    }
    sleep(READ_TIME).await;
    assert_followed(&mut deployment).await
}

/// Guards against a list of servers that is read in part, or not at all, since odd entries stand in it. The store lists
/// entries in pages, some of which hold odd ones only.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_server_is_used_after_a_list_with_odd_entries() -> Result<()> {
    let mut deployment = start().await?;
    for door in deployment.relays.iter().map(|relay| &relay.door) {
        door.down().await;
    }
    for (number, entry) in odd_entries().into_iter().enumerate() {
        let store = &deployment.store;
        store.put_raw("servers", &format!("odd-{number:03}"), entry);
    }
    deployment.store.forget_history();
    for door in deployment.relays.iter().map(|relay| &relay.door) {
        door.up()?;
    }
    sleep(READ_TIME).await;
    assert_followed(&mut deployment).await
}

/// Guards against a configuration with one odd figure that ends what follows the store, or replaces the last good one.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_good_configuration_stays_in_force_beside_an_odd_one() -> Result<()> {
    let mut deployment = start().await?;
    let config = deployment.store.content("config", "main").expect("written");
    for (version, (field, value)) in [
        ("timeoutMs", "1e300"),
        ("sloMs", "1e19"),
        ("gapTargetMs", "1e300"),
        ("idleTimeoutMs", "1e300"),
    ]
    .into_iter()
    .enumerate()
    {
        let mut odd = config.clone();
        odd["version"] = serde_json::json!(version + 2);
        let text = odd.to_string();
        let at = text.find(&format!("\"{field}\":")).expect("a field") + field.len() + 3;
        let length = text[at..].find([',', '}']).expect("an end");
        let text = format!("{}{value}{}", &text[..at], &text[at + length..]);
        deployment.store.put_raw("config", "main", text);
        sleep(READ_TIME).await;
    }
    assert_followed(&mut deployment).await?;
    let mut good = config;
    good["version"] = serde_json::json!(9);
    good["tenants"][0]["apiKeys"] = serde_json::json!(["another-key"]);
    deployment.store.put("config", "main", good);
    sleep(Duration::from_secs(3)).await;
    for relay in &deployment.relays {
        let ask = Ask::new("GET", "/slots/1", "dropped", KEY);
        let status = ask.send(relay.callers).await?.status;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{}", tail(&deployment));
    }
    Ok(())
}
