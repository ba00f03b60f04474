//! Incarnations of backend servers: which have ended and which have started, as far as the server
//! list does not show it yet.
//!
//! Load pattern: all hosts lose power at once and are back within two seconds, while callers wait.
//! The list names the previous incarnations until their entries lapse, four seconds later or more.
//! Each request finds a different server at the address than the one expected, goes on to the next
//! address and is refused after a few; and each read of the list brings the dead servers back.
//!
//! An observed end therefore overrides the list, and an incarnation that was observed at an address
//! is kept until the list can have it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::Name;
use crate::server_leaving::Leaving;
use crate::server_limit::LimitState;
use crate::server_rest::RestState;
use crate::site::ServerRecord;
use crate::time::Time;

/// How long an observed end overrides the list. Entries lapse after three heartbeats of about a
/// second, and later when the directory was unavailable. A server that is wrongly held to have ended
/// is idle for no longer than this.
const ENDED_RETENTION: Duration = Duration::from_secs(8);

/// How long an identifier observed at an address is used before the list has it: a server that
/// starts writes its entry within a heartbeat or two.
const OBSERVED_RETENTION: Duration = Duration::from_secs(4);

/// How long a server that was removed from the list may still run: most serve for some seconds more,
/// some for many.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

/// How long a removed incarnation is ignored when the directory was rolled back to a copy that still
/// lists it: until its entry has lapsed there.
const SUPPRESSED_RETENTION: Duration = Duration::from_secs(8);

/// Recently observed ends and starts of servers.
#[derive(Debug, Default)]
pub(crate) struct ServerIncarnations {
    // When each incarnation ended, and its start time: the identifier alone may be used again.
    ended: HashMap<Name, (Time, u64)>,
    // When a server at the address was removed from the list.
    removed_addresses: HashMap<SocketAddr, Time>,
    // When each incarnation was removed from the list, and its start time.
    removed: HashMap<Name, (Time, u64)>,
    // Incarnations that were removed before the directory was rolled back: when the rollback was
    // noticed, and their start times.
    suppressed: HashMap<Name, (Time, u64)>,
    // What incarnations that are not listed stated about themselves.
    stated: HashMap<Name, UnlistedStatements>,
}

/// What an incarnation stated about itself, as far as it still holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct StandingStatements {
    pub(crate) leaving: Option<Leaving>,
    pub(crate) limit: LimitState,
    pub(crate) rest: RestState,
}

/// The statements of an incarnation that has no entry in the list.
#[derive(Clone, Debug)]
struct UnlistedStatements {
    recorded_at: Time,
    // Its start time.
    born: u64,
    statements: StandingStatements,
}

impl ServerIncarnations {
    /// Records that the record's incarnation has ended.
    pub(crate) fn record_end(&mut self, now: Time, record: &ServerRecord) {
        self.ended
            .retain(|_, (at, _)| now.since(*at) < ENDED_RETENTION);
        self.ended.insert(record.id.clone(), (now, record.born));
    }

    /// Whether the record's incarnation is known to have ended.
    pub(crate) fn has_ended(&self, now: Time, record: &ServerRecord) -> bool {
        self.ended
            .get(&record.id)
            .is_some_and(|(at, born)| now.since(*at) < ENDED_RETENTION && *born == record.born)
    }

    /// Records that the server was removed from the list.
    pub(crate) fn record_removal(&mut self, now: Time, record: &ServerRecord) {
        self.removed_addresses
            .retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        self.removed_addresses.insert(record.address, now);
        self.removed
            .retain(|_, (at, _)| now.since(*at) < REMOVED_RETENTION);
        self.removed.insert(record.id.clone(), (now, record.born));
    }

    /// Keeps what an incarnation stated that is not listed: an entry of before, or one that comes late, must not revoke
    /// it.
    pub(crate) fn keep_statements(
        &mut self,
        now: Time,
        id: &Name,
        born: u64,
        statements: StandingStatements,
    ) {
        self.stated
            .retain(|_, known| now.since(known.recorded_at) < REMOVED_RETENTION);
        let known = UnlistedStatements {
            recorded_at: now,
            born,
            statements,
        };
        self.stated.insert(id.clone(), known);
    }

    /// What the record's incarnation stated before it was listed again.
    pub(crate) fn take_statements(
        &mut self,
        now: Time,
        record: &ServerRecord,
    ) -> Option<StandingStatements> {
        let known = self.stated.get(&record.id)?;
        let holds = now.since(known.recorded_at) < REMOVED_RETENTION && known.born == record.born;
        if !holds {
            return None;
        }
        Some(self.stated.remove(&record.id)?.statements)
    }

    /// Suppresses the removed incarnations, which the older copy of the directory may list again.
    pub(crate) fn directory_rolled_back(&mut self, now: Time) {
        let removed = std::mem::take(&mut self.removed).into_iter();
        let suppressed = removed.map(|(id, (_, born))| (id, (now, born)));
        self.suppressed.extend(suppressed);
    }

    /// Whether the record's incarnation was removed before the directory was rolled back.
    pub(crate) fn is_suppressed(&self, now: Time, record: &ServerRecord) -> bool {
        let suppressed = self.suppressed.get(&record.id);
        suppressed
            .is_some_and(|(at, born)| now.since(*at) < SUPPRESSED_RETENTION && *born == record.born)
    }

    /// Lifts the suppression of a server that has written its entry again.
    pub(crate) fn entry_written(&mut self, now: Time, id: &Name) {
        self.suppressed
            .retain(|_, (at, _)| now.since(*at) < SUPPRESSED_RETENTION);
        self.suppressed.remove(id);
    }

    /// Whether a server at the address was removed from the list recently and may still run there.
    pub(crate) fn was_removed_at(&self, now: Time, address: SocketAddr) -> bool {
        let at = self.removed_addresses.get(&address);
        at.is_some_and(|at| now.since(*at) < REMOVED_RETENTION)
    }

    /// Records that the server with this identifier answers: it has not ended.
    pub(crate) fn record_observed(&mut self, id: &Name) {
        self.ended.remove(id);
    }

    /// Whether a server observed at `since` may still be missing from the list.
    pub(crate) fn may_be_unlisted(now: Time, since: Time) -> bool {
        now.since(since) < OBSERVED_RETENTION
    }
}
