//! A platform in memory that loses answers, refuses, and delays writes by a seed.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::sync::Mutex;
use std::task::Poll;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cicada_lib::ids::Version;
use cicada_lib::platform::Condition;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::MAX_VALUE;
use cicada_lib::platform::Object;
use cicada_lib::platform::Platform;
use cicada_lib::platform::PlatformError;
use cicada_lib::platform::Result;

/// How often calls go wrong, each figure a part of 100.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The call is refused.
    pub refused: u32,
    /// The call does not take effect, and its answer is lost.
    pub lost_before: u32,
    /// The call takes effect, and its answer is lost.
    pub lost_after: u32,
    /// The answer is lost, and a write reaches the store some calls later.
    pub late: u32,
}

/// What the calls came to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Calls that read, lists and watches included.
    pub reads: u64,
    /// Calls that write or delete.
    pub writes: u64,
    /// Bytes of the values read.
    pub bytes_read: u64,
    /// Bytes of the values written.
    pub bytes_written: u64,
}

/// The platform.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    state: Mutex<State>,
    /// Whether calls let other tasks run before and after they take effect.
    interleaved: bool,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Object>,
    hosts: Vec<HostRecord>,
    version: u64,
    faults: Faults,
    down: bool,
    rng: fastrand::Rng,
    late: Vec<Write>,
    // Every write that took effect, in order.
    journal: Vec<Write>,
    usage: Usage,
}

#[derive(Clone, Debug)]
struct Write {
    key: String,
    value: Bytes,
    condition: Condition,
}

enum Fault {
    Refused,
    LostBefore,
    LostAfter,
    Late,
}

impl MemoryPlatform {
    /// A platform that works.
    pub fn new() -> Self {
        MemoryPlatform::default()
    }

    /// A platform whose calls go wrong by `seed`, and let other tasks run in between.
    pub fn with_faults(seed: u64, faults: Faults) -> Self {
        let platform = MemoryPlatform {
            interleaved: true,
            ..MemoryPlatform::default()
        };
        platform.state().rng = fastrand::Rng::with_seed(seed);
        platform.set_faults(faults);
        platform
    }

    /// Sets how often calls go wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Takes the store down, so that every call is refused, or up.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// Sets the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        self.state().hosts = hosts;
    }

    /// What the calls since the last time came to.
    pub fn take_usage(&self) -> Usage {
        std::mem::take(&mut self.state().usage)
    }

    /// The objects as they stand.
    pub fn objects(&self) -> BTreeMap<String, Object> {
        self.state().objects.clone()
    }

    /// Puts objects back to an earlier state, as a restore from a backup does.
    pub fn restore(&self, objects: BTreeMap<String, Object>) {
        self.state().objects = objects;
    }

    /// The values that an object has had, the oldest first.
    pub fn values(&self, key: &str) -> Vec<Bytes> {
        let state = self.state();
        let writes = state.journal.iter().filter(|w| w.key == key);
        writes.map(|w| w.value.clone()).collect()
    }

    /// Lets the delayed writes that are still under way reach the store.
    pub fn settle(&self) {
        self.state().deliver(0);
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no call panics")
    }

    async fn pass(&self) {
        if self.interleaved {
            yield_once().await;
        }
    }
}

impl State {
    // One draw for each call; the classes of faults share it, so that their sum is the part of calls
    // that go wrong.
    fn fault(&mut self) -> Option<Fault> {
        if self.down {
            return Some(Fault::Refused);
        }
        let draw = self.rng.u32(0..100);
        let faults = self.faults;
        let refused = faults.refused;
        let before = refused + faults.lost_before;
        let after = before + faults.lost_after;
        let late = after + faults.late;
        match draw {
            d if d < refused => Some(Fault::Refused),
            d if d < before => Some(Fault::LostBefore),
            d if d < after => Some(Fault::LostAfter),
            d if d < late => Some(Fault::Late),
            _ => None,
        }
    }

    // Each delayed write arrives with one chance in three, or surely if `odds` is 0.
    fn deliver(&mut self, odds: u32) {
        for write in std::mem::take(&mut self.late) {
            if odds > 0 && self.rng.u32(0..odds) > 0 {
                self.late.push(write);
            } else {
                let _ = self.apply(&write);
            }
        }
    }

    fn apply(&mut self, write: &Write) -> Result<Version> {
        let found = self.objects.get(&write.key).map(|o| o.version);
        let holds = match write.condition {
            Condition::Absent => found.is_none(),
            Condition::At(version) => found == Some(version),
        };
        if !holds {
            return Err(PlatformError::Conflict { found });
        }
        self.version += 1;
        let version = Version(self.version);
        let value = write.value.clone();
        let object = Object { version, value };
        self.objects.insert(write.key.clone(), object);
        self.journal.push(write.clone());
        Ok(version)
    }

    fn reading<T>(&mut self, value: impl FnOnce(&State) -> T) -> Result<T> {
        self.deliver(3);
        self.usage.reads += 1;
        match self.fault() {
            Some(Fault::Refused) => Err(refused()),
            Some(_) => Err(lost()),
            None => Ok(value(self)),
        }
    }
}

fn refused() -> PlatformError {
    PlatformError::Refused("rate limit".to_owned())
}

fn lost() -> PlatformError {
    PlatformError::Unknown("timeout".to_owned())
}

#[async_trait]
impl Platform for MemoryPlatform {
    async fn read(&self, key: &str) -> Result<Option<Object>> {
        self.pass().await;
        let found = self.state().reading(|s| s.objects.get(key).cloned());
        self.pass().await;
        let length = found
            .iter()
            .flatten()
            .map(|o| o.value.len() as u64)
            .sum::<u64>();
        self.state().usage.bytes_read += length;
        found
    }

    async fn write(&self, key: &str, value: Bytes, condition: Condition) -> Result<Version> {
        if value.len() > MAX_VALUE {
            return Err(PlatformError::TooLarge(value.len()));
        }
        self.pass().await;
        let result = {
            let key = key.to_owned();
            let write = Write {
                key,
                value,
                condition,
            };
            let mut state = self.state();
            state.deliver(3);
            state.usage.writes += 1;
            state.usage.bytes_written += write.value.len() as u64;
            match state.fault() {
                None => state.apply(&write),
                Some(Fault::Refused) => Err(refused()),
                Some(Fault::LostBefore) => Err(lost()),
                Some(Fault::LostAfter) => {
                    let _ = state.apply(&write);
                    Err(lost())
                }
                Some(Fault::Late) => {
                    state.late.push(write);
                    Err(lost())
                }
            }
        };
        self.pass().await;
        result
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        self.pass().await;
        let mut state = self.state();
        state.usage.writes += 1;
        if state.fault().is_some() {
            return Err(refused());
        }
        let found = state.objects.get(key).map(|o| o.version);
        if found != Some(version) {
            return Err(PlatformError::Conflict { found });
        }
        state.objects.remove(key);
        Ok(())
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Vec<String>> {
        self.pass().await;
        self.state().reading(|s| {
            let keys = s.objects.keys();
            let wanted = keys.filter(|k| k.starts_with(prefix) && k.as_str() > after);
            wanted.take(1_000).cloned().collect()
        })
    }

    async fn watch(&self, key: &str, version: Version, wait: Duration) -> Result<Option<Object>> {
        let step = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        loop {
            let found = self.state().reading(|s| s.objects.get(key).cloned())?;
            if let Some(object) = found.filter(|o| o.version > version) {
                return Ok(Some(object));
            }
            if waited >= wait {
                return Ok(None);
            }
            tokio::time::sleep(step).await;
            waited += step;
        }
    }

    async fn hosts(&self) -> Result<Vec<HostRecord>> {
        self.state().reading(|s| s.hosts.clone())
    }
}

async fn yield_once() {
    let mut yielded = false;
    poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await
}
