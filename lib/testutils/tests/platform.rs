//! The stand-in of the platform over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cicada_lib::ids::Name;
use cicada_lib::ids::Version;
use cicada_lib::platform::Condition;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::HostRole;
use cicada_lib::platform::Platform;
use cicada_lib::platform::PlatformError;
use cicada_lib::platform_http::HttpPlatform;
use eyre::Result;
use futures_util::future::join_all;
use testutils::platform::PlatformFaults;
use testutils::platform::PlatformServer;
use testutils::platform::PlatformSettings;

fn host(name: &str) -> HostRecord {
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    HostRecord {
        name: Name::new(name),
        role: HostRole::Entry,
        address: any,
        status: any,
        service: Name::default(),
        region: Name::new("north"),
        zone: Name::new("north-1"),
        leaving: false,
    }
}

// Operators race: each read the same version, and each writes its change under that version. One
// change is taken; all others learn which version won.
#[tokio::test]
async fn one_of_many_racing_writes_is_taken() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    let first = platform
        .write("root", Bytes::new(), Condition::Absent)
        .await?;
    let writes = (0..20).map(|number| {
        let value = Bytes::from(format!("change {number}"));
        platform.write("root", value, Condition::At(first))
    });
    let results = join_all(writes).await;
    let (taken, refused): (Vec<_>, Vec<_>) = results.into_iter().partition(|one| one.is_ok());
    let winner = taken.into_iter().next().transpose()?;
    assert_eq!(refused.len(), 19);
    for one in refused {
        assert_eq!(one, Err(PlatformError::Conflict { found: winner }));
    }
    Ok(())
}

#[tokio::test]
async fn version_is_never_used_twice() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    let first = platform.write("k", Bytes::new(), Condition::Absent).await?;
    platform.delete("k", first).await?;
    let second = platform.write("k", Bytes::new(), Condition::Absent).await?;
    assert!(second > first);
    let stale = platform
        .write("k", Bytes::new(), Condition::At(first))
        .await;
    let found = Some(second);
    assert_eq!(stale, Err(PlatformError::Conflict { found }));
    Ok(())
}

// The store is restored from a backup: a reader sees an older version than it has seen before, and a
// change made after that gets a version above all that were ever given.
#[tokio::test]
async fn restored_store_shows_older_versions() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    let first = platform.write("k", Bytes::new(), Condition::Absent).await?;
    let backup = server.snapshot();
    let second = platform
        .write("k", Bytes::new(), Condition::At(first))
        .await?;
    server.restore(backup);
    let seen = platform.read("k").await?.map(|object| object.version);
    assert_eq!(seen, Some(first));
    let third = platform
        .write("k", Bytes::new(), Condition::At(first))
        .await?;
    assert!(third > second);
    Ok(())
}

#[tokio::test]
async fn calls_over_the_rate_are_refused_and_counted() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings {
        write_rate: 2.0,
        read_rate: 2.0,
        ..PlatformSettings::new()
    })?;
    let platform = HttpPlatform::new(server.addr(), "").with_caller(Name::new("agent-1"));
    let writes = (0..10).map(|key| {
        let key = key.to_string();
        let platform = &platform;
        async move { platform.write(&key, Bytes::new(), Condition::Absent).await }
    });
    let results = join_all(writes).await;
    let refused = |one: &&Result<_, _>| matches!(one, Err(PlatformError::Refused(_)));
    assert!(results.iter().filter(refused).count() > 0);
    // A waiting watch is a call like any other.
    let watches = (0..10).map(|_| platform.watch("0", Version(0), Duration::from_millis(1)));
    let results = join_all(watches).await;
    assert!(results.iter().any(Result::is_err));
    let counts = server.counts();
    assert_eq!(counts.kinds["write"], 10);
    assert_eq!(counts.kinds["watch"], 10);
    assert_eq!(counts.callers["agent-1"], 20);
    assert!(counts.limited > 0);
    Ok(())
}

#[tokio::test]
async fn outage_refuses_and_keeps_the_objects() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    platform.write("k", Bytes::new(), Condition::Absent).await?;
    server.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let read = platform.read("k").await;
    assert!(matches!(read, Err(PlatformError::Refused(_))));
    server.set_faults(PlatformFaults::default());
    assert!(platform.read("k").await?.is_some());
    server.down().await;
    let read = platform.read("k").await;
    assert!(read.is_err());
    server.up()?;
    assert!(platform.read("k").await?.is_some());
    Ok(())
}

// A writer's answer is lost, and the write itself is still under way. Reading back at once shows the
// old state; the write lands later, unless its condition has been overtaken.
#[tokio::test]
async fn late_write_lands_after_the_read_back() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    server.set_faults(PlatformFaults {
        late_next: 1,
        late_by: 1_000,
        ..PlatformFaults::default()
    });
    let value = Bytes::from("late");
    let written = platform.write("k", value, Condition::Absent).await;
    assert!(matches!(written, Err(PlatformError::Unknown(_))));
    assert_eq!(platform.read("k").await?, None);
    let landed = platform
        .watch("k", Version(0), Duration::from_secs(5))
        .await?;
    assert!(landed.is_some());
    Ok(())
}

#[tokio::test]
async fn lost_share_of_answers_is_seeded() -> Result<()> {
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let server = PlatformServer::start(PlatformSettings::new())?;
        server.set_faults(PlatformFaults {
            lost: 0.5,
            ..PlatformFaults::default()
        });
        let platform = HttpPlatform::new(server.addr(), "");
        let mut lost = Vec::new();
        for key in 0..20 {
            let key = key.to_string();
            let written = platform.write(&key, Bytes::new(), Condition::Absent).await;
            lost.push(written.is_err());
        }
        assert_eq!(platform.list("", "").await?.len(), 20);
        outcomes.push(lost);
    }
    assert!(outcomes[0].contains(&true) && outcomes[0].contains(&false));
    assert_eq!(outcomes[0], outcomes[1]);
    Ok(())
}

#[tokio::test]
async fn token_is_asked_for() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings {
        token: "secret".to_string(),
        ..PlatformSettings::new()
    })?;
    let stranger = HttpPlatform::new(server.addr(), "guess");
    assert!(matches!(
        stranger.read("k").await,
        Err(PlatformError::Refused(_))
    ));
    let platform = HttpPlatform::new(server.addr(), "secret");
    assert_eq!(platform.read("k").await?, None);
    Ok(())
}

#[tokio::test]
async fn hosts_are_seen_after_the_lag() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings {
        host_lag: Duration::from_secs(1),
        ..PlatformSettings::new()
    })?;
    let platform = HttpPlatform::new(server.addr(), "");
    server.put_host(host("a"));
    assert!(platform.hosts().await?.is_empty());
    while platform.hosts().await?.is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    server.remove_host("a");
    assert_eq!(platform.hosts().await?, [host("a")]);
    while !platform.hosts().await?.is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

#[tokio::test]
async fn list_goes_on_after_a_key() -> Result<()> {
    let server = PlatformServer::start(PlatformSettings::new())?;
    let platform = HttpPlatform::new(server.addr(), "");
    for key in ["a", "b/1", "b/2", "b/3", "c"] {
        platform.write(key, Bytes::new(), Condition::Absent).await?;
    }
    assert_eq!(platform.list("b/", "").await?, ["b/1", "b/2", "b/3"]);
    assert_eq!(platform.list("b/", "b/1").await?, ["b/2", "b/3"]);
    assert!(platform.list("b/", "b/3").await?.is_empty());
    Ok(())
}
