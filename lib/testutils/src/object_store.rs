//! The platform's objects: versions, conditional updates, and a signal at each change.

use std::collections::BTreeMap;

use bytes::Bytes;
use cicada_lib::ids::Version;
use cicada_lib::platform::Condition;
use cicada_lib::platform::Object;
use tokio::sync::watch;

/// The most keys in one answer.
pub const MAX_KEYS: usize = 1_000;

/// The objects, in memory.
#[derive(Debug)]
pub struct ObjectStore {
    objects: BTreeMap<String, Object>,
    // Grows with every change of any object, so that a version is never used twice, not even by an
    // object that is deleted and created again.
    last: u64,
    changes: watch::Sender<u64>,
}

impl ObjectStore {
    /// A store without objects.
    pub fn new() -> Self {
        ObjectStore {
            objects: BTreeMap::new(),
            last: 0,
            changes: watch::Sender::new(0),
        }
    }

    /// Sees each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// An object.
    pub fn read(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes an object if the condition holds; else returns the version found.
    pub fn write(
        &mut self,
        key: &str,
        value: Bytes,
        condition: Option<Condition>,
    ) -> Result<Version, Option<Version>> {
        self.check(key, condition)?;
        let version = self.next();
        let object = Object { version, value };
        self.objects.insert(key.to_string(), object);
        self.changes.send_replace(version.0);
        Ok(version)
    }

    /// Deletes an object if the condition holds; else returns the version found.
    pub fn delete(
        &mut self,
        key: &str,
        condition: Option<Condition>,
    ) -> Result<(), Option<Version>> {
        self.check(key, condition)?;
        self.objects.remove(key);
        let version = self.next();
        self.changes.send_replace(version.0);
        Ok(())
    }

    /// The keys that begin with `prefix`, after `after`.
    pub fn list(&self, prefix: &str, after: &str) -> Vec<String> {
        let start = prefix.max(after).to_string();
        self.objects
            .range(start..)
            .map(|(key, _)| key)
            .skip_while(|key| key.as_str() <= after && !after.is_empty())
            .take_while(|key| key.starts_with(prefix))
            .take(MAX_KEYS)
            .cloned()
            .collect()
    }

    /// The objects as they stand.
    pub fn snapshot(&self) -> BTreeMap<String, Object> {
        self.objects.clone()
    }

    /// Puts the objects back to an earlier state, as a restore from a backup does: readers see older
    /// versions than they saw before.
    pub fn restore(&mut self, objects: BTreeMap<String, Object>) {
        self.objects = objects;
        let version = self.next();
        self.changes.send_replace(version.0);
    }

    fn check(&self, key: &str, condition: Option<Condition>) -> Result<(), Option<Version>> {
        let found = self.objects.get(key).map(|object| object.version);
        let holds = match condition {
            None => true,
            Some(Condition::Absent) => found.is_none(),
            Some(Condition::At(version)) => found == Some(version),
        };
        if holds { Ok(()) } else { Err(found) }
    }

    fn next(&mut self) -> Version {
        self.last += 1;
        Version(self.last)
    }
}

impl Default for ObjectStore {
    fn default() -> Self {
        ObjectStore::new()
    }
}
