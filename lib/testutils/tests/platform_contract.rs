//! The two stand-ins of the platform, in memory and over HTTP, answer the same calls alike.

use std::time::Duration;

use bytes::Bytes;
use cicada_lib::ids::Version;
use cicada_lib::platform::Condition;
use cicada_lib::platform::MAX_VALUE;
use cicada_lib::platform::Platform;
use cicada_lib::platform::PlatformError;
use cicada_lib::platform_http::HttpPlatform;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use testutils::memory_platform::MemoryPlatform;
use testutils::platform::PlatformServer;
use testutils::platform::PlatformSettings;

const KEYS: [&str; 4] = ["a", "a/b", "a/c d", "b%2F"];

/// A call. Versions are named by the write that made them, counted from 0.
#[derive(Clone, Copy, Debug)]
enum Call {
    Read(usize),
    Create(usize, u8),
    Update(usize, usize),
    Delete(usize, usize),
    List(usize, usize),
    Watch(usize, usize),
    TooLarge(usize),
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = usize::arbitrary(g) % KEYS.len();
        let write = usize::arbitrary(g) % 8;
        match u8::arbitrary(g) % 16 {
            0..=2 => Call::Read(key),
            3..=7 => Call::Create(key, u8::arbitrary(g)),
            8..=10 => Call::Update(key, write),
            11..=12 => Call::Delete(key, write),
            13 => Call::List(key, write % KEYS.len()),
            14 => Call::Watch(key, write),
            _ => Call::TooLarge(key),
        }
    }
}

/// What a call came to, with versions named by the write that made them.
#[derive(Debug, PartialEq)]
enum Answer {
    Object(Option<(usize, Bytes)>),
    Written,
    Deleted,
    Keys(Vec<String>),
    Conflict(Option<usize>),
    TooLarge,
    Other(String),
}

/// A platform, and the versions that its writes have made.
struct Side<'a> {
    platform: &'a dyn Platform,
    versions: Vec<Version>,
}

impl Side<'_> {
    async fn call(&mut self, call: Call) -> Answer {
        match call {
            Call::Read(key) => {
                let found = self.platform.read(KEYS[key]).await;
                self.object(found)
            }
            Call::Watch(key, write) => {
                let version = self.version(write);
                let wait = Duration::ZERO;
                let found = self.platform.watch(KEYS[key], version, wait).await;
                self.object(found)
            }
            Call::Create(key, value) => {
                let value = Bytes::from(vec![value]);
                self.write(key, value, Condition::Absent).await
            }
            Call::Update(key, write) => {
                let condition = Condition::At(self.version(write));
                self.write(key, Bytes::from("new"), condition).await
            }
            Call::TooLarge(key) => {
                let value = Bytes::from(vec![0; MAX_VALUE + 1]);
                self.write(key, value, Condition::Absent).await
            }
            Call::Delete(key, write) => {
                let version = self.version(write);
                match self.platform.delete(KEYS[key], version).await {
                    Ok(()) => Answer::Deleted,
                    Err(error) => self.error(error),
                }
            }
            Call::List(prefix, after) => {
                let prefix = &KEYS[prefix][..1];
                match self.platform.list(prefix, KEYS[after]).await {
                    Ok(keys) => Answer::Keys(keys),
                    Err(error) => self.error(error),
                }
            }
        }
    }

    async fn write(&mut self, key: usize, value: Bytes, condition: Condition) -> Answer {
        match self.platform.write(KEYS[key], value, condition).await {
            Ok(version) => {
                assert!(self.versions.iter().all(|earlier| *earlier < version));
                self.versions.push(version);
                Answer::Written
            }
            Err(error) => self.error(error),
        }
    }

    fn object(
        &self,
        found: cicada_lib::platform::Result<Option<cicada_lib::platform::Object>>,
    ) -> Answer {
        match found {
            Ok(None) => Answer::Object(None),
            Ok(Some(object)) => {
                let write = self.write_of(object.version);
                Answer::Object(write.map(|write| (write, object.value)))
            }
            Err(error) => self.error(error),
        }
    }

    fn error(&self, error: PlatformError) -> Answer {
        match error {
            PlatformError::Conflict { found } => {
                Answer::Conflict(found.and_then(|version| self.write_of(version)))
            }
            PlatformError::TooLarge(_) => Answer::TooLarge,
            other => Answer::Other(other.to_string()),
        }
    }

    /// The version that a write made; one that none made where there was no such write.
    fn version(&self, write: usize) -> Version {
        self.versions.get(write).copied().unwrap_or_default()
    }

    fn write_of(&self, version: Version) -> Option<usize> {
        self.versions.iter().position(|made| *made == version)
    }
}

async fn alike(calls: &[Call]) -> bool {
    let settings = PlatformSettings {
        latency: Duration::ZERO,
        write_rate: 1e9,
        read_rate: 1e9,
        ..PlatformSettings::new()
    };
    let server = PlatformServer::start(settings).expect("a free port");
    let http = HttpPlatform::new(server.addr(), "");
    let memory = MemoryPlatform::new();
    let mut sides = [&memory as &dyn Platform, &http].map(|platform| Side {
        platform,
        versions: Vec::new(),
    });
    for &call in calls {
        let one = sides[0].call(call).await;
        let other = sides[1].call(call).await;
        assert_eq!(one, other, "{call:?}");
    }
    true
}

#[test]
fn both_answer_alike() {
    fn holds(calls: Vec<Call>) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(alike(&calls))
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(holds as fn(Vec<Call>) -> bool);
}
