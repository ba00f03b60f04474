//! What is known of the lives of backend servers beyond the list: which have ended, which have begun.
//!
//! Load pattern: all hosts lose power at once and are back within two seconds, with callers who have
//! waited since. The list names the servers' former lives until those lapse, four seconds and more. Each
//! request finds another server at the address, goes on to the next one, and is turned away after a few;
//! and each reading of the list brings the dead ones back.
//!
//! So an end that was seen outlasts the list's word, and a life that was found at an address is kept until
//! the list can have it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::Name;
use crate::site::ServerRecord;
use crate::time::Time;

/// How long an end that was seen counts for more than the list: entries lapse after three heartbeats of
/// about a second, and later where the directory was away. Were the word of the end wrong, the server
/// would stand idle for no longer than this.
const ENDED: Duration = Duration::from_secs(8);

/// How long an identifier counts that was found at an address, or that the list does not have yet: a
/// server that starts writes its entry within a heartbeat or two.
const FOUND: Duration = Duration::from_secs(4);

/// How long a server that has left the list may still be there: it serves on for some seconds, at times
/// for many.
const LEFT: Duration = Duration::from_secs(30);

/// How long a life that has left counts as gone where the directory has gone back to a copy that still lists it: until
/// its entry has lapsed there.
const BARRED: Duration = Duration::from_secs(8);

/// Ends and beginnings that were seen lately.
#[derive(Debug, Default)]
pub(crate) struct ServerLives {
    // When each life ended, with its start: the identifier alone may come back.
    ended: HashMap<Name, (Time, u64)>,
    // When a server at the address left the list.
    left: HashMap<SocketAddr, Time>,
    // When each life left the list, with its start.
    departed: HashMap<Name, (Time, u64)>,
    // Lives that had left before the directory went back, with their starts, and when that was noticed.
    barred: HashMap<Name, (Time, u64)>,
    // Identifiers that were found at addresses in place of the expected ones.
    found: HashMap<SocketAddr, (Time, Name)>,
}

impl ServerLives {
    /// The record's life has ended.
    pub(crate) fn ended(&mut self, now: Time, record: &ServerRecord) {
        self.ended.retain(|_, (at, _)| now.since(*at) < ENDED);
        self.ended.insert(record.id.clone(), (now, record.born));
    }

    /// Whether the life that the record tells of is known to have ended.
    pub(crate) fn has_ended(&self, now: Time, record: &ServerRecord) -> bool {
        self.ended
            .get(&record.id)
            .is_some_and(|(at, born)| now.since(*at) < ENDED && *born == record.born)
    }

    /// The server has left the list.
    pub(crate) fn left(&mut self, now: Time, record: &ServerRecord) {
        self.left.retain(|_, at| now.since(*at) < LEFT);
        self.left.insert(record.address, now);
        self.departed.retain(|_, (at, _)| now.since(*at) < LEFT);
        self.departed.insert(record.id.clone(), (now, record.born));
    }

    /// The directory has gone back to a copy, which may list lives that have left.
    pub(crate) fn directory_returned(&mut self, now: Time) {
        let departed = std::mem::take(&mut self.departed).into_iter();
        let barred = departed.map(|(id, (_, born))| (id, (now, born)));
        self.barred.extend(barred);
    }

    /// Whether a list names the record's life though it had left before the directory went back.
    pub(crate) fn is_barred(&self, now: Time, record: &ServerRecord) -> bool {
        let barred = self.barred.get(&record.id);
        barred.is_some_and(|(at, born)| now.since(*at) < BARRED && *born == record.born)
    }

    /// The server has written its entry, whatever was known of it before.
    pub(crate) fn wrote(&mut self, now: Time, id: &Name) {
        self.barred.retain(|_, (at, _)| now.since(*at) < BARRED);
        self.barred.remove(id);
    }

    /// Whether a server at the address left the list lately, and may still be there.
    pub(crate) fn has_left(&self, now: Time, address: SocketAddr) -> bool {
        let at = self.left.get(&address);
        at.is_some_and(|at| now.since(*at) < LEFT)
    }

    /// A server of this identifier answers at the address.
    pub(crate) fn found(&mut self, now: Time, address: SocketAddr, id: &Name) {
        self.ended.remove(id);
        self.found.insert(address, (now, id.clone()));
    }

    /// The identifier that was found at the address lately.
    pub(crate) fn found_at(&mut self, now: Time, address: SocketAddr) -> Option<Name> {
        self.found.retain(|_, (at, _)| now.since(*at) < FOUND);
        self.found.get(&address).map(|(_, id)| id.clone())
    }

    /// Whether a server that was found at `since` need not be in the list yet.
    pub(crate) fn is_young(now: Time, since: Time) -> bool {
        now.since(since) < FOUND
    }
}
